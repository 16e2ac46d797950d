"""The operators' orders that were committed, and what follows for an order that comes now. Free of I/O.

An order is one configuration under one number, on top of one version. Each order that was committed builds on
the one committed before it, so a list of numbers and digests tells of every order above its oldest entry
whether it was committed. Numbers only rise: a committed order stays committed, and an order in whose place
another one was committed never will be. Of an order below its oldest entry a list can't tell.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MAX_ORDERS = 16_384  # that a replica keeps, some megabytes
MAX_NUMBER = 2**53 - 1  # of a configuration; the largest that all readers of JSON agree on

CommittedOrders = tuple[tuple[int, bytes], ...]  # number and digest of each order, the newest last


class Verdict(Enum):
    """What is to become of an order. All verdicts but `NEW` and `NOT_YET` stay true for ever."""

    NEW = "it may be taken now"
    COMMITTED = "it was taken"
    OTHER_VERSION = "another order was taken in its place"
    OLD_VERSION = "its number is not above the version that it builds on"
    NOT_YET = "it builds on a version that is not there"
    UNKNOWN = "it is older than what is remembered"

    @property
    def is_final(self) -> bool:
        """Whether no later state changes it, so that it follows from any decided state."""
        return self in (Verdict.COMMITTED, Verdict.OTHER_VERSION, Verdict.OLD_VERSION)


@dataclass(frozen=True, slots=True)
class Entry:
    """An order that was committed.

    :param base: the version that it builds on; -1 where that is not known.
    """

    digest: bytes
    base: int


@dataclass
class OrderHistory:
    """The newest orders that were committed, without a gap from `floor` on.

    :param floor: the number of the oldest order that is known; 0 if all are known.
    :param numbers: of the orders, ascending.
    :param entries: the orders, by number.
    :param unsaved: numbers of orders that may not be on disk.
    :param outdated: numbers of orders that are on disk, and no longer needed.
    """

    max_orders: int = MAX_ORDERS
    floor: int = 0
    numbers: deque[int] = field(default_factory=deque)
    entries: dict[int, Entry] = field(default_factory=dict)
    unsaved: set[int] = field(default_factory=set)
    outdated: list[int] = field(default_factory=list)

    @property
    def newest(self) -> int:
        """The number of the newest order; 0 for none."""
        return self.numbers[-1] if self.numbers else 0

    @property
    def is_complete(self) -> bool:
        """Whether there are no older orders to be learned, or no room for them."""
        return self.floor == 0 or len(self.numbers) >= self.max_orders

    def verdict(self, number: int, digest: bytes, base: int, current: int) -> Verdict:
        """Tell what is to become of an order.

        :param number: of the order.
        :param base: the version that the order builds on.
        :param current: the newest version.
        """
        if number <= base:
            return Verdict.OLD_VERSION
        if number > current:
            if base == current:
                return Verdict.NEW
            return Verdict.OTHER_VERSION if base < current else Verdict.NOT_YET
        if number <= self.floor:
            return Verdict.UNKNOWN
        return Verdict.COMMITTED if self.entries.get(number) == Entry(digest, base) else Verdict.OTHER_VERSION

    def merge(self, orders: CommittedOrders, complete: bool) -> None:
        """Learn the list of a decided state.

        :param complete: whether the list begins with the first order of all.
        """
        if self._contradicted_by(orders):  # a group that was begun anew, from an older snapshot
            self._forget()
        known = self.newest
        if not orders or orders[-1][0] <= known:
            return
        numbers = [number for number, _ in orders]
        if known and known not in numbers:  # it has missed more than the list holds
            self._forget()
        if not self.numbers and not complete:
            self.floor = numbers[0]
        for number, digest in orders:
            if number > self.newest:
                base = self.newest if self.numbers or not self.floor else -1
                self._append(number, Entry(digest, base))

    def _contradicted_by(self, orders: CommittedOrders) -> bool:
        inside = [(number, digest) for number, digest in orders if self.floor <= number <= self.newest]
        return any(
            number not in self.entries or self.entries[number].digest != digest for number, digest in inside
        )

    def prepend(self, older: CommittedOrders, complete: bool) -> None:
        """Learn orders that come right before the floor, from another replica.

        :param older: the last one is the floor's own.
        :param complete: whether they begin with the first order of all.
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

    def older_than(self, floor: int, digest: bytes, max_orders: int) -> tuple[CommittedOrders, bool] | None:
        """List the orders that another replica can learn from this one.

        :param floor: the number of the oldest order that the other knows.
        :param digest: of that order.
        :returns: orders up to that one, and whether the first of all is among them; None if there are none.
        """
        entry = self.entries.get(floor)
        if entry is None or entry.digest != digest or entry.base < 0:
            return None
        rows = [(floor, digest)]
        while len(rows) <= max_orders and entry.base in self.entries:
            number = entry.base
            entry = self.entries[number]
            rows.append((number, entry.digest))
        return tuple(reversed(rows)), entry.base == 0

    def load(self, rows: Iterable[tuple[int, Entry]]) -> None:
        """Load the orders on disk, before any other call: those that form one history with the newest."""
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

    def mark_saved(self, numbers: Iterable[int]) -> None:
        """Orders are on disk."""
        self.unsaved.difference_update(numbers)

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
