"""The server set: which servers are listed, which part of them is this copy's, and what is known of each."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from random import Random

from orchidferry.balancing import interface as api
from orchidferry.balancing.indexed_set import IndexedSet
from orchidferry.balancing.interface import Group, Health, ListKind, Repeat
from orchidferry.balancing.records import Call, Server
from orchidferry.balancing.subset import Slices

SLICES = 4  # of the service, each cut evenly among all copies: few servers, so that a copy sees each often
MAX_RETRY_CANDIDATES = 16  # servers drawn of a larger group, among which a retry's server is picked
MAX_UNASSIGNED = 256  # servers beyond its own part that a copy remembers, as retries went there
CHANGES_PER_STEP = 64  # changes of a long list that one event applies,
PARTS_PER_STEP = 128  # and servers whose parts it updates
MAX_NARROW = 1_000  # servers up to which a list change brings a copy back to its first slices
REBUILD_SHARE = 0.125  # of all members: a larger change cuts the slices anew, in steps
MAX_SORTED = 20_000  # members that one event may sort


class ServerSet:
    """The server list as last received, and this copy's part of it; a change costs what it changes.

    `part_changed` is called with each server whose part of this copy's changed, to 0 as well. A long list is
    applied in steps; what drains or is gone counts at once.
    """

    def __init__(self, settings: api.Settings, rng: Random, part_changed: Callable[[Server], None]) -> None:
        self._nodes = settings.nodes
        self._rng = rng
        self._part_changed = part_changed
        self.entries: dict[int, api.ServerEntry] = {}  # all that are listed
        self.servers: dict[int, Server] = {}  # those of which something is known
        self.assigned: dict[int, Server] = {}  # those in service that are this copy's to use
        self.in_service_ids = IndexedSet()
        self._groups: dict[Group, dict[str | int | None, IndexedSet]] = {}
        self.update_groups(settings)
        self.weight = 0.0  # of all assigned servers that may be picked, kept by difference
        self.slices = Slices(settings.number, settings.nodes)
        self._target_slices = SLICES
        self.slices.widen(SLICES)
        self._last_order = 0  # of the servers known so far
        self._rebuild = False  # so much has changed that the slices are cut anew
        self._changed: dict[int, None] = {}  # members of which the slices don't know yet
        self._new_parts: dict[int, float] = {}  # parts of which their servers don't know yet

    @property
    def slice_size(self) -> float:
        """How many servers one slice is worth."""
        return len(self.in_service_ids) / self._nodes

    def apply(self, update: api.ServerList) -> None:
        """Take changes, or a complete list that replaces the old one; `apply_step` does the rest."""
        if update.kind is not ListKind.CHANGES:
            listed = {entry.server for entry in update.entries}
            for id in [id for id in self.entries if id not in listed]:
                self._set_entry(id, None)
        for entry in update.entries:
            self._set_entry(entry.server, None if entry.health is Health.GONE else entry)
        # Where this copy takes all of every member nothing is cut, and one change costs next to nothing.
        max_changes = max(CHANGES_PER_STEP, REBUILD_SHARE * len(self.slices.shares))
        if len(self._changed) > max_changes and not self.slices.complete:
            self._rebuild = True
        if self._target_slices > SLICES and len(self.in_service_ids) <= MAX_NARROW:
            self._target_slices = SLICES
            self._new_parts.update(self.slices.widen(SLICES))

    def _set_entry(self, id: int, entry: api.ServerEntry | None) -> None:
        """One server is listed like this from now on, or not any more."""
        old = self.entries.get(id)
        if entry == old:
            return
        in_service = entry is not None and entry.health is Health.IN_SERVICE
        if old is not None and old.health is Health.IN_SERVICE:
            self._update_groups_of(old, False)
        if entry is None:
            del self.entries[id]
            server = self.servers.pop(id, None)
            if server is not None:
                server.in_service = False
        else:
            self.entries[id] = entry
            server = self.servers.get(id)
            if server is not None:
                server.update(entry)
            if in_service:
                self._update_groups_of(entry, True)
        if id in self.assigned:
            if not in_service:
                self.assigned.pop(id).part = 0.0
            if server is not None:
                self._part_changed(server)
        self._changed[id] = None

    def update_groups(self, settings: api.Settings) -> None:
        """Keep the groups that these classes need; a new kind is made from all that are in service."""
        kinds = {cls.group for cls in settings.classes if cls.repeat is Repeat.KEYED}
        for kind in (Group.ZONE, Group.CELL):
            if kind in kinds and kind not in self._groups:
                values = self._groups[kind] = {}
                for id in self.in_service_ids.items:
                    entry = self.entries[id]
                    values.setdefault(entry.zone if kind is Group.ZONE else entry.cell, IndexedSet()).add(id)

    def _update_groups_of(self, entry: api.ServerEntry, added: bool) -> None:
        sets = [self.in_service_ids]
        for kind, values in self._groups.items():
            value = entry.zone if kind is Group.ZONE else entry.cell
            sets.append(values.setdefault(value, IndexedSet()))
            if not added and len(values[value]) == 1:
                del values[value]
        for members in sets:
            (members.add if added else members.remove)(entry.server)

    def apply_step(self, now: float) -> bool:
        """Apply a step of what has changed; whether more is left."""
        if self._rebuild:
            self._rebuild_slices()
        elif self.slices.slices < min(self._target_slices, self._nodes):
            more = min(self._target_slices, self.slices.slices + self._max_orders())
            self._new_parts.update(self.slices.widen(more))
        elif self._changed:
            step = PARTS_PER_STEP if self.slices.complete else CHANGES_PER_STEP
            for id in list(itertools.islice(self._changed, step)):
                del self._changed[id]
                self._new_parts.update(self.slices.change(id, self._share(id)))
                # It left and came back before the slices knew of either: its part is as it was.
                if id not in self.assigned and id in self.slices.parts:
                    self._new_parts[id] = self.slices.parts[id]
        for id in list(itertools.islice(self._new_parts, PARTS_PER_STEP)):
            self._set_part(id, self._new_parts.pop(id), now)
        widening = self.slices.slices < min(self._target_slices, self._nodes)
        return bool(self._changed or self._new_parts or widening)

    def _rebuild_slices(self) -> None:
        self._rebuild = False
        self._changed.clear()
        self._new_parts.clear()
        self._target_slices = SLICES
        shares = {id: max(self.entries[id].share, 0.0) for id in self.in_service_ids.items}
        self.slices.reset(shares, min(SLICES, self._max_orders()))
        old = {id: server.part for id, server in self.assigned.items()}
        self._new_parts.update((id, 0.0) for id in old if id not in self.slices.parts)
        self._new_parts.update((id, part) for id, part in self.slices.parts.items() if old.get(id) != part)

    def _max_orders(self) -> int:  # that are cut at once: sorting 10,000 takes some milliseconds
        return max(1, MAX_SORTED // max(1, len(self.in_service_ids)))

    def widen(self) -> None:
        """Use twice the slices: a hot caller needs more of the service.

        Not more, as many copies going round all servers need more connections than they accept.
        """
        self._target_slices = min(2 * self.slices.slices, self._nodes)

    def may_widen(self) -> bool:
        """Whether there are more slices to use, and none is being added."""
        return self.slices.slices == self._target_slices < self._nodes

    def _share(self, id: int) -> float | None:
        entry = self.entries.get(id)
        return max(entry.share, 0.0) if entry is not None and entry.health is Health.IN_SERVICE else None

    def _set_part(self, id: int, part: float, now: float) -> None:
        if part > 0.0 and self._share(id) is not None:
            server = self.assigned[id] = self.get_or_create(id, now)
            server.part = part
            self._part_changed(server)
        elif (removed := self.assigned.pop(id, None)) is not None:
            removed.part = 0.0
            self._part_changed(removed)

    def get_or_create(self, id: int, now: float) -> Server:
        """The record of a listed server; also of one that is another copy's, where a retry can go too."""
        server = self.servers.get(id)
        if server is None:
            if len(self.servers) > len(self.assigned) + MAX_UNASSIGNED:
                unused = (s for s in self.servers.values() if s.id not in self.assigned and not s.outstanding)
                if (oldest := next(unused, None)) is not None:
                    del self.servers[oldest.id]
            self._last_order += 1
            server = self.servers[id] = Server(self.entries[id], now, self._rng, self._last_order)
        return server

    def retry_candidates(self, call: Call) -> list[int]:
        """Where a call that may have run can still go to; of a large group some, drawn at random."""
        candidates: IndexedSet | None = self.in_service_ids
        if call.repeat_group is not None:
            candidates = self._groups.get(call.cls.group, {}).get(call.repeat_group)
        if candidates is None:
            return []
        ids = candidates.items
        return ids if len(ids) <= MAX_RETRY_CANDIDATES else self._rng.sample(ids, MAX_RETRY_CANDIDATES)
