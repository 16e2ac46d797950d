"""All other nodes that a node knows, those that are gone among them, and random choices among these."""

from __future__ import annotations

import random
from collections.abc import Iterable

from orchidferry.balancing.fleet.members import Entry, Status
from orchidferry.balancing.fleet.messages import Address

MAX_SEEDS = 64


class MemberTable:
    """Members by name, the ring in which they are probed, and the seeds: addresses to begin with."""

    def __init__(self, seeds: Iterable[Address], rng: random.Random) -> None:
        self._rng = rng
        self.members: dict[str, Entry] = {}  # all that are known, also lost ones
        self.since: dict[str, tuple[float, str]] = {}  # when and on whose word an entry became what it is
        self.present = 0  # of them, alive or suspected
        self.lost: dict[str, None] = {}
        self.gone_ms: dict[str, float] = {}  # since when those that are lost or have left are gone
        self.seeds = dict.fromkeys(list(seeds)[:MAX_SEEDS], "")  # the name of the member at each, or ""
        self._ring: list[str] = []
        self.ring_position = 0

    @property
    def size(self) -> int:
        """Nodes that are present, this one included."""
        return self.present + 1

    def load(self, entries: Iterable[Entry]) -> None:
        """Begin with these members, as if they had always been there. For models."""
        for entry in entries:
            self.members[entry.name] = entry
            self._ring.append(entry.name)
            self.present += 1
        self._rng.shuffle(self._ring)

    def put(self, entry: Entry, by: str, now: float) -> Entry | None:
        """Set the entry of a member, on the word of `by`; the one before."""
        name = entry.name
        before = self.members.get(name)
        self.members[name] = entry
        self.since[name] = now, by
        address = (entry.host, entry.port)
        if before is None:
            self._insert(name)
        elif (before.host, before.port) != address and self.seeds.get((before.host, before.port)):
            self.seeds[before.host, before.port] = ""
        if address in self.seeds:
            self.seeds[address] = name
        self.present += entry.present - (before is not None and before.present)
        if entry.present:
            self.gone_ms.pop(name, None)
        else:
            self.gone_ms.setdefault(name, now)
        if entry.status is Status.LOST:
            self.lost[name] = None
        else:
            self.lost.pop(name, None)
        return before

    def _insert(self, name: str) -> None:
        """Give a new member a random place in the ring, as in SWIM."""
        ring = self._ring
        ring.append(name)
        place = int(self._rng.random() * len(ring))
        ring[place], ring[-1] = ring[-1], ring[place]

    def remove(self, name: str) -> Entry:
        """Forget a member that is gone."""
        entry = self.members.pop(name)
        self._ring.remove(name)
        self.lost.pop(name, None)
        self.gone_ms.pop(name, None)
        self.since.pop(name, None)
        seed = (entry.host, entry.port)
        if self.seeds.get(seed) == name:
            self.seeds[seed] = ""
        return entry

    def longest_gone(self) -> str:
        """The member that has been gone for longest, or ""."""
        return min(self.gone_ms, key=self.gone_ms.__getitem__) if self.gone_ms else ""

    def empty_seeds(self) -> list[Address]:
        """The seeds at which no present member is known."""
        return [seed for seed, name in self.seeds.items() if not (name and self.members[name].present)]

    def next_to_probe(self) -> Entry | None:
        """Round robin over a ring that each round shuffles: each is probed within twice the ring's length."""
        for _ in range(len(self._ring)):
            if self.ring_position >= len(self._ring):
                self.ring_position = 0
                self._rng.shuffle(self._ring)
            entry = self.members[self._ring[self.ring_position]]
            self.ring_position += 1
            if entry.present:
                return entry
        return None

    def sample(self, count: int, leave_out: str = "", alive: bool = False) -> list[Entry]:
        """Up to `count` present members at random; with `alive` none that is suspected."""
        found: dict[str, Entry] = {}
        ring = self._ring
        if len(ring) <= 4 * count:  # few: try all
            names: Iterable[str] = self._rng.sample(ring, len(ring))
        else:
            names = (ring[int(self._rng.random() * len(ring))] for _ in range(8 * count))
        for name in names:
            entry = self.members[name]
            if entry.present and name != leave_out and not (alive and entry.status is Status.SUSPECT):
                found[name] = entry
                if len(found) == count:
                    break
        return list(found.values())
