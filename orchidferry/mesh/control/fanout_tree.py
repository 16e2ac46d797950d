"""News from controllers to nodes, and the tree of relays that it comes down. Pure: no I/O, no clock.

A controller numbers what changes in its list of members and in the configuration: a stream, with a life
drawn at the controller's start and a number that rises by one. Whoever has a stream can tell another what
came after that one's place in it, as a difference while its log reaches back so far, else as the whole list.
"""

from __future__ import annotations

import hashlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from typing import Generic, TypeVar

import msgspec

from orchidferry.mesh.control.endpoints import Record

HEADS = 2  # nodes of a zone that follow the controllers themselves
FANOUT = 8
MAX_FOLLOWERS = FANOUT + 2  # of a relay: views of the tree differ for a while
LOG = 256  # steps that a difference may reach back
LOG_NAMES = 2_048  # and names in them

Place = tuple[int, int]  # in a stream: life, number
L = TypeVar("L")


@lru_cache(maxsize=8_192)
def rank(name: str, boot: int) -> bytes:
    """Where a process stands in its zone's row: by chance, and the same for all who know of it."""
    return hashlib.blake2b(f"{boot} {name}".encode(), digest_size=8).digest() + name.encode()


def parents(
    members: Iterable[Record], name: str, boot: int, zone: str, heads: int = HEADS, fanout: int = FANOUT
) -> list[Record]:
    """Whom this node follows, the nearest first and a head last; nobody, if it is a head itself.

    They all come before it in its zone's row, so that nodes whose views differ make no ring.

    >>> row = [Record(f"n{n}", 1, 1, "z", "", 0, None) for n in range(40)]
    >>> row.sort(key=lambda record: rank(record.name, 1))
    >>> [row.index(record) for record in parents(row, row[30].name, 1, "z", heads=2, fanout=4)]
    [7, 1]
    >>> parents(row, row[1].name, 1, "z")
    []
    """
    own = rank(name, boot)
    row = [(r, m) for m in members if m.zone == zone and m.name != name and (r := rank(m.name, m.boot)) < own]
    row.sort(key=lambda entry: entry[0])
    chain, at = [], len(row)
    while at >= heads:
        at = (at - heads) // fanout
        chain.append(row[at][1])
    return chain


class Change(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What changed in a controller's stream after `since`, up to `number`; with `since` -1 it is all there
    is.
    """

    controller: str
    life: int
    since: int
    number: int
    entries: list[Record]
    gone: list[str]
    revision: int  # of the configuration, as the controller knows it; 0 for none

    def __post_init__(self) -> None:
        if not -1 <= self.since < self.number:
            raise ValueError("a change ends after its beginning")


class Stream:
    """One controller's news, at that controller or at whoever has it from there."""

    def __init__(self, controller: str, life: int = 0, number: int = -1) -> None:
        # number -1: nothing of this life yet
        self.controller = controller
        self.life = life
        self.number = number
        self.records: dict[str, Record] = {}
        self.revision = 0
        self._log: deque[tuple[int, int, tuple[str, ...]]] = deque()  # since, number, names
        self._names = 0  # in the log

    def begin(self, life: int) -> None:
        """The controller has a new life; what it said in the old one stands until its list is here."""
        self.life = life
        self.number = -1
        self._log.clear()
        self._names = 0

    def step(self, entries: Iterable[Record] = (), gone: Iterable[str] = (), revision: int = 0) -> None:
        """Something has changed, at the controller itself."""
        changed = list(entries)
        left = list(gone)
        self._apply(Change(self.controller, self.life, self.number, self.number + 1, changed, left, revision))

    def take(self, change: Change) -> bool:
        """Take what came; whether it was news, and fitted on what is here."""
        if change.life != self.life or change.number <= self.number or change.since > self.number:
            return False
        if change.since < 0:  # what came and went in between is not told: the log begins anew
            self.begin(self.life)
            self.records.clear()
        self._apply(change)
        return True

    def _apply(self, change: Change) -> None:
        for record in change.entries:
            self.records[record.name] = record
        for name in change.gone:
            self.records.pop(name, None)
        if self.number >= 0:
            names = (*(record.name for record in change.entries), *change.gone)
            self._log.append((self.number, change.number, names))
            self._names += len(names)
            while len(self._log) > LOG or self._names > LOG_NAMES:
                self._names -= len(self._log.popleft()[2])
        self.number = change.number
        self.revision = max(self.revision, change.revision)

    def after(self, life: int, number: int) -> Change | None:
        """What somebody at this place lacks, None for nothing; all, if the log does not reach back to it."""
        here = life == self.life
        if self.number < 0 or (here and number >= self.number):
            return None
        if not here or not self._log or number < self._log[0][0]:
            every = list(self.records.values())
            return Change(self.controller, self.life, -1, self.number, every, [], self.revision)
        names = {name for _, to, some in self._log if to > number for name in some}
        entries = [self.records[name] for name in names if name in self.records]
        gone = [name for name in names if name not in self.records]
        return Change(self.controller, self.life, number, self.number, entries, gone, self.revision)


class Followers(Generic[L]):
    """Who is told as news comes, each by a link, and how far each has been told."""

    def __init__(self, most: int = MAX_FOLLOWERS) -> None:
        self._most = most
        self.places: dict[L, dict[str, Place]] = {}  # by follower, by controller

    def follow(self, link: L, places: Iterable[tuple[str, int, int]]) -> bool:
        """Somebody follows from these places on; False if there are too many already."""
        if link not in self.places and len(self.places) >= self._most:
            return False
        self.places[link] = {controller: (life, number) for controller, life, number in places}
        return True

    def leave(self, link: L) -> None:
        """It follows no more."""
        self.places.pop(link, None)

    def due(self, stream: Stream) -> list[tuple[Change, list[L]]]:
        """What is to be told of a stream, and to whom; it counts as told.

        Only those are told who said that they know of this life: each has that from the controller itself.
        """
        groups: dict[int, list[L]] = {}
        for link, places in self.places.items():
            life, number = places.get(stream.controller, (0, 0))
            if life == stream.life and number < stream.number:
                groups.setdefault(number, []).append(link)
                places[stream.controller] = (life, stream.number)
        found = [(stream.after(stream.life, number), links) for number, links in groups.items()]
        return [(change, links) for change, links in found if change is not None]


@dataclass(slots=True)
class Tally:
    """Messages and bytes that one process sent to nodes."""

    sent: dict[tuple[str, bool], list[int]] = field(default_factory=dict)  # by kind, and whether in its zone

    def count(self, kind: str, near: bool, size: int) -> None:
        """One message of `size` bytes went out."""
        entry = self.sent.setdefault((kind, near), [0, 0])
        entry[0] += 1
        entry[1] += size

    def bytes(self, near: bool) -> int:
        """All bytes that stayed within the zone, or left it."""
        return sum(size for (_, within), (_, size) in self.sent.items() if within is near)

    def messages(self, kind: str) -> int:
        """All messages of a kind."""
        return sum(count for (of, _), (count, _) in self.sent.items() if of == kind)
