"""The history of committed orders, and the verdict on an order that arrives now. No I/O.

An order is an operator's request to replace the configuration: one content (identified by its digest) under
one revision number, based on one earlier revision. Each committed order is based on the order committed
before it, so a list of numbers and digests shows for every order above its oldest entry whether that order
was committed. Numbers only rise: a committed order stays committed, and an order in whose place another one
was committed never will be. For an order below the oldest entry the list gives no answer.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

MAX_ORDERS = 16_384  # orders that a replica keeps; they take a few megabytes
MAX_NUMBER = 2**53 - 1  # largest revision number; the largest integer that all JSON parsers read exactly

CommittedOrders = tuple[tuple[int, bytes], ...]  # number and digest of each order, newest last


class Verdict(Enum):
    """The verdict on an order. All verdicts but `NEW` and `NOT_YET` are permanent."""

    NEW = "can be committed now"
    COMMITTED = "was committed"
    OTHER_VERSION = "another order was committed in its place"
    OLD_VERSION = "its number is not above its base revision"
    NOT_YET = "its base revision does not exist yet"
    UNKNOWN = "older than the known history"

    @property
    def is_final(self) -> bool:
        """Whether the verdict is the same for this and every later decided state."""
        return self in (Verdict.COMMITTED, Verdict.OTHER_VERSION, Verdict.OLD_VERSION)


@dataclass(frozen=True, slots=True)
class Entry:
    """A committed order.

    :param digest: digest of the configuration's text.
    :param base: number of the order that it is based on; 0 for none, -1 if it is not known.
    """

    digest: bytes
    base: int


@dataclass
class OrderHistory:
    """The newest committed orders, without a gap from `floor` on.

    :param max_orders: maximum number of orders that are kept.
    :param floor: number of the oldest known order; 0 if the history goes back to the first order.
    :param numbers: numbers of the known orders, ascending.
    :param entries: the known orders, by number.
    :param unsaved: numbers of known orders that may not be on disk.
    :param outdated: numbers of orders that may be on disk but are no longer needed.
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
        """Whether no older orders are missing, or there is no room for them."""
        return self.floor == 0 or len(self.numbers) >= self.max_orders

    def verdict(self, number: int, digest: bytes, base: int, current: int) -> Verdict:
        """Return the verdict on an order.

        :param number: revision number of the order.
        :param digest: digest of the configuration's text.
        :param base: revision that the order is based on.
        :param current: newest committed revision.
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
        """Add the orders that a decided state lists.

        :param complete: whether the list begins with the first order ever committed.
        """
        if self._contradicted_by(orders):  # the group was restored from an older snapshot
            self._forget()
        known = self.newest
        if not orders or orders[-1][0] <= known:
            return
        numbers = [number for number, _ in orders]
        if known and known not in numbers:  # orders between the known ones and the list are missing
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
        """Add the orders before the floor that another replica has sent.

        :param older: consecutive orders up to and including the one at the floor.
        :param complete: whether they begin with the first order ever committed.
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
        """List the orders before another replica's floor.

        :param floor: number of the oldest order that the other replica knows.
        :param digest: digest of that order.
        :param max_orders: maximum number of older orders in the list.
        :returns: consecutive orders up to and including the one at the floor, and whether they begin with the
            first order ever committed; None if no older ones are known here.
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
        """Load the orders read from disk that form one chain with the newest one; must be the first call."""
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
        """Mark orders as written to disk."""
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
