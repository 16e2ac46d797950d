"""The operators' orders that were taken, and what that says of an order that comes now. Pure.

An order is one configuration under one number, on top of one version. Each that was taken was built on the
one taken before it, so a list of numbers and digests tells of every order above its oldest entry whether it
was taken. Numbers only rise: what was taken stays taken, and an order that another one was taken in place of
never will be. Below its oldest entry a list can't tell, and must not guess.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MAX_ORDERS = 16_384  # that a replica remembers, some megabytes
MAX_NUMBER = 2**53 - 1  # of a configuration; the largest that all readers of JSON agree on

CommittedOrders = tuple[tuple[int, bytes], ...]  # number and digest of each order, the newest last


class Verdict(Enum):
    """What is to become of an order. All but `NEW` and `NOT_YET` stay true for ever."""

    NEW = "it may be taken now"
    COMMITTED = "it was taken"
    OTHER_VERSION = "another order was taken in its place"
    OLD_VERSION = "its number is not above the version that it builds on"
    NOT_YET = "it builds on a version that is not there"
    UNKNOWN = "it is older than what is remembered"

    @property
    def is_final(self) -> bool:
        """Whether nothing that comes later changes it, so that any decided state may tell it."""
        return self in (Verdict.COMMITTED, Verdict.OTHER_VERSION, Verdict.OLD_VERSION)


@dataclass(frozen=True, slots=True)
class Entry:
    """An order that was taken. `base`: the version it builds on; -1 where that is not known."""

    digest: bytes
    base: int


@dataclass
class OrderHistory:
    """The newest orders that were taken, without a gap from `floor` on."""

    max_orders: int = MAX_ORDERS
    floor: int = 0  # of orders up to this number it can't tell; 0: it knows them all
    numbers: deque[int] = field(default_factory=deque)  # rising
    entries: dict[int, Entry] = field(default_factory=dict)
    unsaved: set[int] = field(default_factory=set)  # not surely on disk
    outdated: list[int] = field(default_factory=list)  # on disk, and no longer needed

    @property
    def newest(self) -> int:
        """The number of the newest order."""
        return self.numbers[-1] if self.numbers else 0

    @property
    def is_complete(self) -> bool:
        """Whether there is nothing older to be learned, or no room for it."""
        return self.floor == 0 or len(self.numbers) >= self.max_orders

    def verdict(self, number: int, digest: bytes, base: int, current: int) -> Verdict:
        """What is to become of an order while `current` is the newest version."""
        if number <= base:
            return Verdict.OLD_VERSION
        if number > current:
            if base == current:
                return Verdict.NEW
            return Verdict.OTHER_VERSION if base < current else Verdict.NOT_YET
        if number <= self.floor:
            return Verdict.UNKNOWN
        return Verdict.COMMITTED if self.entries.get(number) == Entry(digest, base) else Verdict.OTHER_VERSION

    def merge(self, taken: CommittedOrders, complete: bool) -> None:
        """Learn the list of a decided state; `complete`: it begins with the first order of all."""
        if self._contradicted_by(taken):  # a group that was begun anew, from an older snapshot
            self._forget()
        known = self.newest
        if not taken or taken[-1][0] <= known:
            return
        numbers = [number for number, _ in taken]
        if known and known not in numbers:  # it missed more than the list holds
            self._forget()
        if not self.numbers and not complete:
            self.floor = numbers[0]
        for number, digest in taken:
            if number > self.newest:
                base = self.newest if self.numbers or not self.floor else -1
                self._append(number, Entry(digest, base))

    def _contradicted_by(self, taken: CommittedOrders) -> bool:
        inside = [(number, digest) for number, digest in taken if self.floor <= number <= self.newest]
        return any(
            number not in self.entries or self.entries[number].digest != digest for number, digest in inside
        )

    def prepend(self, older: CommittedOrders, complete: bool) -> None:
        """Learn orders that come right before the floor, from another replica; the last one is the floor's
        own.
        """
        if self.is_complete or not older or older[-1] != (self.floor, self.entries[self.floor].digest):
            return
        numbers = [number for number, _ in older]
        bases = [0 if complete else -1, *numbers]
        for at in range(len(older) - 1, -1, -1):
            number, digest = older[at]
            if number != self.floor:
                if len(self.numbers) >= self.max_orders:
                    return
                self.numbers.appendleft(number)
            self.entries[number] = Entry(digest, bases[at])
            self.unsaved.add(number)
            self.floor = number
        if complete:
            self.floor = 0

    def before(self, floor: int, digest: bytes, most: int) -> tuple[CommittedOrders, bool] | None:
        """What another replica, whose oldest order this is, may learn from this one: orders up to it, and
        whether the first of all is among them. None where it has none.
        """
        entry = self.entries.get(floor)
        if entry is None or entry.digest != digest or entry.base < 0:
            return None
        rows = [(floor, digest)]
        while len(rows) <= most and entry.base in self.entries:
            number = entry.base
            entry = self.entries[number]
            rows.append((number, entry.digest))
        return tuple(reversed(rows)), entry.base == 0

    # On disk

    def load(self, rows: Iterable[tuple[int, Entry]]) -> None:
        """What its own disk holds, before anything else; what hangs together with the newest is believed."""
        found = dict(rows)
        number = max(found, default=0)
        while number in found and len(self.numbers) < self.max_orders:
            entry = found.pop(number)
            self.numbers.appendleft(number)
            self.entries[number] = entry
            self.floor = 0 if entry.base == 0 else number
            number = entry.base
        if self.floor:
            digest = self.entries[self.floor].digest
            self.entries[self.floor] = Entry(digest, -1)
        self.outdated = sorted(found)

    def saved(self, numbers: Iterable[int]) -> None:
        """These are on disk."""
        self.unsaved.difference_update(numbers)

    # Its ends

    def _append(self, number: int, entry: Entry) -> None:
        self.numbers.append(number)
        self.entries[number] = entry
        self.unsaved.add(number)
        if len(self.numbers) > self.max_orders:
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest = self.numbers.popleft()
        del self.entries[oldest]
        self.unsaved.discard(oldest)
        self.outdated.append(oldest)
        self.floor = self.numbers[0]
        self.entries[self.floor] = Entry(self.entries[self.floor].digest, -1)

    def _forget(self) -> None:
        self.outdated += self.numbers
        self.numbers.clear()
        self.entries.clear()
        self.unsaved.clear()
        self.floor = 0
