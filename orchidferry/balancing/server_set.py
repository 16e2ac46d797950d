"""The server set: the servers that are listed, those assigned to this node, and what is known of each."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from random import Random

from orchidferry.balancing import interface as api
from orchidferry.balancing.indexed_set import IndexedSet
from orchidferry.balancing.interface import Group, Health, ListKind, Repeat
from orchidferry.balancing.records import Call, Server
from orchidferry.balancing.subset import Slices

SLICES = 4  # slices that a node normally uses: few servers, so that the node sees each of them often
MAX_RETRY_CANDIDATES = 16  # size of the random sample of a large group from which a repeat's server is picked
MAX_UNASSIGNED = 256  # records that are kept of unassigned servers, as calls were repeated there
CHANGES_PER_STEP = 64  # changes of a long list that are applied to the slices per event
ASSIGNMENTS_PER_STEP = 128  # assigned shares that are updated per event
MAX_NARROW = 1_000  # largest service for which a list change returns a node to its first SLICES slices
REBUILD_SHARE = 0.125  # share of all members above which a change recomputes the slices, in steps
MAX_SORTED = 20_000  # members that are sorted per event


class ServerSet:
    """The server list as last received, and the servers of it that are assigned to this node.

    The cost of an update grows with the number of changed servers, not with the size of the list. A long list
    is applied in steps, but a server that drains or is gone gets no more calls at once.
    """

    def __init__(
        self, settings: api.Settings, rng: Random, assignment_changed: Callable[[Server], None]
    ) -> None:
        """Create an empty set.

        :param assignment_changed: called with each server whose assigned share changed, also to 0
        """
        self._nodes = settings.nodes
        self._rng = rng
        self._assignment_changed = assignment_changed
        self.entries: dict[int, api.ServerEntry] = {}  # all listed servers
        self.servers: dict[int, Server] = {}  # records of the servers that this node has used or may use
        self.assigned: dict[int, Server] = {}  # servers in service that are assigned to this node
        self.in_service_ids = IndexedSet()
        self._groups: dict[Group, dict[str | int | None, IndexedSet]] = {}
        self.update_groups(settings)
        self.weight = 0.0  # sum of `counted_weight` of all servers, updated incrementally
        self.slices = Slices(settings.number, settings.nodes)
        self._target_slices = SLICES
        self.slices.widen(SLICES)
        self._last_order = 0  # `order` of the server record created last
        self._rebuild = False  # so much has changed that the slices are recomputed
        self._changed: dict[int, None] = {}  # ids of changed servers that are not yet applied to the slices
        self._pending_shares: dict[int, float] = {}  # assigned shares that are not yet set on their servers

    @property
    def slice_size(self) -> float:
        """The number of servers, possibly fractional, in one slice."""
        return len(self.in_service_ids) / self._nodes

    def apply(self, update: api.ServerList) -> None:
        """Apply changes, or a complete list that replaces the old one.

        The assigned shares follow in `apply_step`.
        """
        if update.kind is not ListKind.CHANGES:
            listed = {entry.server for entry in update.entries}
            for id in [id for id in self.entries if id not in listed]:
                self._set_entry(id, None)
        for entry in update.entries:
            self._set_entry(entry.server, None if entry.health is Health.GONE else entry)
        # If all of every server is assigned to this node there are no slices, and a change is cheap.
        max_changes = max(CHANGES_PER_STEP, REBUILD_SHARE * len(self.slices.shares))
        if len(self._changed) > max_changes and not self.slices.complete:
            self._rebuild = True
        if self._target_slices > SLICES and len(self.in_service_ids) <= MAX_NARROW:
            self._target_slices = SLICES
            self._pending_shares.update(self.slices.widen(SLICES))

    def _set_entry(self, id: int, entry: api.ServerEntry | None) -> None:
        """Set the list entry of a server; None if it is no longer listed."""
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
                self.assigned.pop(id).assigned_share = 0.0
            if server is not None:
                self._assignment_changed(server)
        self._changed[id] = None

    def update_groups(self, settings: api.Settings) -> None:
        """Create the groups that the classes of the settings need, from all servers in service."""
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
        """Apply a step of the pending changes, and return whether more are left."""
        if self._rebuild:
            self._rebuild_slices()
        elif self.slices.slices < min(self._target_slices, self._nodes):
            more = min(self._target_slices, self.slices.slices + self._max_orders())
            self._pending_shares.update(self.slices.widen(more))
        elif self._changed:
            step = ASSIGNMENTS_PER_STEP if self.slices.complete else CHANGES_PER_STEP
            for id in list(itertools.islice(self._changed, step)):
                del self._changed[id]
                self._pending_shares.update(self.slices.change(id, self._share(id)))
                # The server left and came back before the slices were updated: its share is as before.
                if id not in self.assigned and id in self.slices.assigned_shares:
                    self._pending_shares[id] = self.slices.assigned_shares[id]
        for id in list(itertools.islice(self._pending_shares, ASSIGNMENTS_PER_STEP)):
            self._assign(id, self._pending_shares.pop(id), now)
        widening = self.slices.slices < min(self._target_slices, self._nodes)
        return bool(self._changed or self._pending_shares or widening)

    def _rebuild_slices(self) -> None:
        self._rebuild = False
        self._changed.clear()
        self._pending_shares.clear()
        self._target_slices = SLICES
        shares = {id: max(self.entries[id].share, 0.0) for id in self.in_service_ids.items}
        self.slices.reset(shares, min(SLICES, self._max_orders()))
        old = {id: server.assigned_share for id, server in self.assigned.items()}
        self._pending_shares.update((id, 0.0) for id in old if id not in self.slices.assigned_shares)
        self._pending_shares.update(
            (id, share) for id, share in self.slices.assigned_shares.items() if old.get(id) != share
        )

    def _max_orders(self) -> int:
        """The number of orders to sort per event: sorting 10,000 servers takes some milliseconds."""
        return max(1, MAX_SORTED // max(1, len(self.in_service_ids)))

    def widen(self) -> None:
        """Double the slices, as a node with much traffic needs more of the service.

        Not further: many nodes that use all servers need more connections than the servers accept.
        """
        self._target_slices = min(2 * self.slices.slices, self._nodes)

    def may_widen(self) -> bool:
        """Whether more slices can be added, and an earlier widening is complete."""
        return self.slices.slices == self._target_slices < self._nodes

    def _share(self, id: int) -> float | None:
        entry = self.entries.get(id)
        return max(entry.share, 0.0) if entry is not None and entry.health is Health.IN_SERVICE else None

    def _assign(self, id: int, share: float, now: float) -> None:
        if share > 0.0 and self._share(id) is not None:
            server = self.assigned[id] = self.get_or_create(id, now)
            server.assigned_share = share
            self._assignment_changed(server)
        elif (removed := self.assigned.pop(id, None)) is not None:
            removed.assigned_share = 0.0
            self._assignment_changed(removed)

    def get_or_create(self, id: int, now: float) -> Server:
        """The record of a listed server; also of an unassigned one, as calls may be repeated there."""
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
        """The servers that may repeat a call that may have run; a random sample of a large group."""
        candidates: IndexedSet | None = self.in_service_ids
        if call.repeat_group is not None:
            candidates = self._groups.get(call.cls.group, {}).get(call.repeat_group)
        if candidates is None:
            return []
        ids = candidates.items
        return ids if len(ids) <= MAX_RETRY_CANDIDATES else self._rng.sample(ids, MAX_RETRY_CANDIDATES)
