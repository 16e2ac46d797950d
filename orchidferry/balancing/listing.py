"""The list of servers: who is in it, what of it is this copy's to use, and what is known of whom."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable

from orchidferry.balancing import interface as api
from orchidferry.balancing.bag import Bag
from orchidferry.balancing.calls import Call
from orchidferry.balancing.interface import Group, Health, ListKind, Repeat
from orchidferry.balancing.judgement import Server
from orchidferry.balancing.subset import Slices

SLICES = 4  # of the fleet, each cut evenly among all copies: few servers, so that a copy sees each often
AGAIN_AMONG = 16  # servers of a group, drawn where it has more, among which one is picked for another attempt
GUESTS = 256  # servers beyond its own part that a copy remembers, as retries went there
# changes of the list, and servers, that one event works off of a long list
STEP = 64
PARTS_STEP = 128
MAX_NARROW = 1_000  # servers up to which a list change brings a copy back to its first slices
BULK = 0.125  # of all members: a change of more than this cuts the slices anew, in steps
MAX_CUT = 20_000  # members that one event may put in order


class Fleet:
    """The server list as last heard, and this copy's part of it; a change costs what it changes.

    `moved` is told of each server whose part of this copy's changed, to 0 as well. A long list is worked off
    in steps; what drains or is gone counts at once.
    """

    def __init__(self, settings: api.Settings, rng: random.Random, moved: Callable[[Server], None]) -> None:
        self._nodes = settings.nodes
        self._rng = rng
        self._moved = moved
        self.entries: dict[int, api.ServerEntry] = {}  # all that are listed
        self.servers: dict[int, Server] = {}  # those of which something is known
        self.ready: dict[int, Server] = {}  # those in service that are this copy's to use
        self.usable = Bag()  # all that are in service
        self._groups: dict[Group, dict[str | int | None, Bag]] = {}
        self.regroup(settings)
        self.weight = 0.0  # of all ready servers that may be picked, by difference
        self.slices = Slices(settings.number, settings.nodes)
        self._target = SLICES
        self.slices.widen(SLICES)
        self._order = 0
        self._bulk = False  # so much has changed that the slices are cut anew
        self._changed: dict[int, None] = {}  # members that the slices have not been told of
        self._parts: dict[int, float] = {}  # parts that their servers have not been told of

    @property
    def slice(self) -> float:  # how many servers one slice is worth
        return len(self.usable) / self._nodes

    def apply(self, news: api.ServerList) -> None:
        """Take changes, or a whole list that replaces the old one; `work` does the rest."""
        if news.kind is not ListKind.CHANGES:
            listed = {entry.server for entry in news.entries}
            for id in [id for id in self.entries if id not in listed]:
                self._take(id, None)
        for entry in news.entries:
            self._take(entry.server, None if entry.health is Health.GONE else entry)
        # Where this copy takes all of every member nothing is cut, and one change costs next to nothing.
        if len(self._changed) > max(STEP, BULK * len(self.slices.shares)) and not self.slices.whole:
            self._bulk = True
        if self._target > SLICES and len(self.usable) <= MAX_NARROW:
            self._target = SLICES
            self._parts.update(self.slices.widen(SLICES))

    def _take(self, id: int, entry: api.ServerEntry | None) -> None:
        """One server is listed so from now on, or no more."""
        old = self.entries.get(id)
        if entry == old:
            return
        now = entry is not None and entry.health is Health.IN_SERVICE
        if old is not None and old.health is Health.IN_SERVICE:
            self._group(old, False)
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
            if now:
                self._group(entry, True)
        if id in self.ready:
            if not now:
                self.ready.pop(id).part = 0.0
            if server is not None:
                self._moved(server)
        self._changed[id] = None

    def regroup(self, settings: api.Settings) -> None:
        """Keep the groups that these classes need; a new kind is made from all that are in service."""
        kinds = {cls.group for cls in settings.classes if cls.repeat is Repeat.KEYED}
        for kind in (Group.ZONE, Group.CELL):
            if kind in kinds and kind not in self._groups:
                values = self._groups[kind] = {}
                for id in self.usable.items:
                    entry = self.entries[id]
                    values.setdefault(entry.zone if kind is Group.ZONE else entry.cell, Bag()).add(id)

    def _group(self, entry: api.ServerEntry, comes: bool) -> None:
        bags = [self.usable]
        for kind, values in self._groups.items():
            value = entry.zone if kind is Group.ZONE else entry.cell
            bags.append(values.setdefault(value, Bag()))
            if not comes and len(values[value]) == 1:
                del values[value]
        for bag in bags:
            (bag.add if comes else bag.remove)(entry.server)

    def work(self, now: float) -> bool:
        """Work off a step of what has changed; whether more is left."""
        if self._bulk:
            self._bulk = False
            self._changed.clear()
            self._parts.clear()
            self._target = SLICES
            shares = {id: max(self.entries[id].share, 0.0) for id in self.usable.items}
            self.slices.reset(shares, min(SLICES, self._most_orders()))
            held = {id: server.part for id, server in self.ready.items()}
            self._parts.update((id, 0.0) for id in held if id not in self.slices.parts)
            self._parts.update((id, part) for id, part in self.slices.parts.items() if held.get(id) != part)
        elif self.slices.slices < min(self._target, self._nodes):
            more = min(self._target, self.slices.slices + self._most_orders())
            self._parts.update(self.slices.widen(more))
        elif self._changed:
            for id in list(itertools.islice(self._changed, PARTS_STEP if self.slices.whole else STEP)):
                del self._changed[id]
                self._parts.update(self.slices.change(id, self._share(id)))
                # It left and came back before the slices were told of either: its part is as it was.
                if id not in self.ready and id in self.slices.parts:
                    self._parts[id] = self.slices.parts[id]
        for id in list(itertools.islice(self._parts, PARTS_STEP)):
            self._own(id, self._parts.pop(id), now)
        return bool(self._changed or self._parts or self.slices.slices < min(self._target, self._nodes))

    def _most_orders(self) -> int:  # that are cut at once: sorting 10,000 takes some milliseconds
        return max(1, MAX_CUT // max(1, len(self.usable)))

    def widen(self) -> None:
        """Use twice the slices: a hot caller needs more of the fleet.

        Not more, as many copies going round all servers need more connections than they accept.
        """
        self._target = min(2 * self.slices.slices, self._nodes)

    def may_widen(self) -> bool:
        return self.slices.slices == self._target < self._nodes

    def _share(self, id: int) -> float | None:
        entry = self.entries.get(id)
        return max(entry.share, 0.0) if entry is not None and entry.health is Health.IN_SERVICE else None

    def _own(self, id: int, part: float, now: float) -> None:
        """A server's part of this copy's has changed."""
        if part > 0.0 and self._share(id) is not None:
            server = self.ready[id] = self.know(id, now)
            server.part = part
            self._moved(server)
        elif (gone := self.ready.pop(id, None)) is not None:
            gone.part = 0.0
            self._moved(gone)

    def know(self, id: int, now: float) -> Server:
        """What is known of a listed server; also of one that is another copy's, where a retry can go too."""
        server = self.servers.get(id)
        if server is None:
            if len(self.servers) > len(self.ready) + GUESTS:
                idle = (s for s in self.servers.values() if s.id not in self.ready and not s.out)
                if (oldest := next(idle, None)) is not None:
                    del self.servers[oldest.id]
            self._order += 1
            server = self.servers[id] = Server(self.entries[id], now, self._rng, self._order)
        return server

    def again(self, call: Call) -> list[int]:
        """Where a call that may have run can still go to; of a large group some, drawn by chance."""
        bag = self._groups.get(call.cls.group, {}).get(call.pin) if call.pin is not None else self.usable
        if bag is None:
            return []
        return bag.items if len(bag) <= AGAIN_AMONG else self._rng.sample(bag.items, AGAIN_AMONG)
