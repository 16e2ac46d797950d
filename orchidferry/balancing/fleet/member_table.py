"""All other nodes that a node knows, including nodes that are gone, and random selections of them."""

from __future__ import annotations

import random
from collections.abc import Iterable

from orchidferry.balancing.fleet.members import Entry, Status
from orchidferry.balancing.fleet.messages import Address

MAX_SEEDS = 64


class MemberTable:
    """Members by name, the ring in which members are probed, and the seeds: addresses for first contact."""

    def __init__(self, seeds: Iterable[Address], rng: random.Random) -> None:
        self._rng = rng
        self.members: dict[str, Entry] = {}  # all known members, including lost ones, by name
        self.since: dict[str, tuple[float, str]] = {}  # time and reporting node of the last update, by name
        self.present = 0  # number of members that are alive or suspected
        self.lost: dict[str, None] = {}
        self.gone_ms: dict[str, float] = {}  # time since which a member is lost or has left, by name
        self.seeds = dict.fromkeys(list(seeds)[:MAX_SEEDS], "")  # name of the member at each seed, or ""
        self._ring: list[str] = []
        self.ring_position = 0

    @property
    def size(self) -> int:
        """The number of present nodes, including this one."""
        return self.present + 1

    def load(self, entries: Iterable[Entry]) -> None:
        """Start with these members as if they had been known all along; for models."""
        for entry in entries:
            self.members[entry.name] = entry
            self._ring.append(entry.name)
            self.present += 1
        self._rng.shuffle(self._ring)

    def put(self, entry: Entry, by: str, now: float) -> Entry | None:
        """Replace the entry of a member; returns the previous one.

        :param by: the name of the node that reported the entry
        """
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
        """Insert a new member at a random position of the ring, as in SWIM."""
        ring = self._ring
        ring.append(name)
        position = int(self._rng.random() * len(ring))
        ring[position], ring[-1] = ring[-1], ring[position]

    def remove(self, name: str) -> Entry:
        """Remove a member that is gone."""
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
        """The name of the member that has been gone for longest; "" if there is none."""
        return min(self.gone_ms, key=self.gone_ms.__getitem__) if self.gone_ms else ""

    def empty_seeds(self) -> list[Address]:
        """The seeds at which no present member is known."""
        return [seed for seed, name in self.seeds.items() if not (name and self.members[name].present)]

    def next_to_probe(self) -> Entry | None:
        """Choose the next member of a ring shuffled each round: none waits over twice the ring's length."""
        for _ in range(len(self._ring)):
            if self.ring_position >= len(self._ring):
                self.ring_position = 0
                self._rng.shuffle(self._ring)
            entry = self.members[self._ring[self.ring_position]]
            self.ring_position += 1
            if entry.present:
                return entry
        return None

    def sample(self, count: int, exclude: str = "", alive: bool = False) -> list[Entry]:
        """Choose up to `count` present members at random.

        :param exclude: the name of a member that is not chosen
        :param alive: whether to choose no suspected members
        """
        found: dict[str, Entry] = {}
        ring = self._ring
        if len(ring) <= 4 * count:  # few members: try all
            names: Iterable[str] = self._rng.sample(ring, len(ring))
        else:
            names = (ring[int(self._rng.random() * len(ring))] for _ in range(8 * count))
        for name in names:
            entry = self.members[name]
            if entry.present and name != exclude and not (alive and entry.status is Status.SUSPECT):
                found[name] = entry
                if len(found) == count:
                    break
        return list(found.values())
