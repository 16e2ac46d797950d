"""Deterministic subsetting, kept up by difference; how many slices a copy takes, and when, is the caller's.

A copy takes one slice each of so many shuffles of all members; a slice is 1/nodes of the whole, so that all
copies together use every member in proportion to its share. Each shuffle is the same at every copy that knows
the same members: an order by hash (Google's subsetting shuffles round by round; here members keep their place
when others come and go, as in consistent hashing). One member more or less moves the ends of a slice by less
than a member, wherever it stands.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from random import Random

BLOCK = 256  # members of a block of an order, at most twice as many: what a change or a search walks through
LEAST = 1e-9  # of a member: what rounding leaves of one at the end of a slice is none


def _factor(number: int) -> int:
    """What the n-th order multiplies members by."""
    return Random(number).getrandbits(32) | 1


def _overlap(at: float, share: float, start: float, end: float) -> float:
    """How much of a member that begins at `at` lies from start to end; its very share if all of it does."""
    if at >= start and at + share <= end:
        return share
    return max(0.0, min(at + share, end) - max(at, start))


class Order:
    """All members in one order, with their shares, and this copy's slice of it."""

    def __init__(self, number: int, copy: int, copies: int, shares: dict[int, float]) -> None:
        self._factor = _factor(number)
        self._copy = copy
        self._copies = copies
        self._shares = shares
        members = sorted(shares, key=self._key)
        self._blocks = [members[at : at + BLOCK] for at in range(0, len(members), BLOCK)]
        self._sums = [sum(shares[m] for m in block) for block in self._blocks]
        self._total = sum(self._sums)
        self.taken: dict[int, float] = {}
        self._ends: tuple[tuple[int, int], tuple[int, int]] | None = None  # keys of the slice's ends
        self._take_all()

    def _key(self, member: int) -> tuple[int, int]:
        return member * self._factor % 2**32, member

    def _block_of(self, key: tuple[int, int]) -> int:
        """The block that a key belongs to."""
        low = 0
        high = len(self._blocks) - 1
        while low < high:
            middle = (low + high) // 2
            if self._key(self._blocks[middle][-1]) < key:
                low = middle + 1
            else:
                high = middle
        return low

    def change(self, member: int, was: float | None, now: float | None) -> dict[int, float]:
        """A member comes (`was` None), goes (`now` None) or has another share; what of whom is taken now.

        `shares` has it already.
        """
        key = self._key(member)
        if not self._blocks:
            self._blocks = [[]]
            self._sums = [0.0]
        n = self._block_of(key) if self._blocks[-1] else 0
        block = self._blocks[n]
        if was is None:
            block.insert(bisect_left(block, key, key=self._key), member)
        elif now is None:
            del block[bisect_left(block, key, key=self._key)]
        self._sums[n] = sum(self._shares[m] for m in block)
        if len(block) > 2 * BLOCK:
            self._blocks[n : n + 1] = [block[:BLOCK], block[BLOCK:]]
            self._sums[n : n + 1] = [sum(self._shares[m] for m in half) for half in self._blocks[n : n + 2]]
        elif not block and len(self._blocks) > 1:
            del self._blocks[n], self._sums[n]
        self._total = sum(self._sums)
        return self._move(member)

    def _find(self, point: float) -> tuple[int, int, float]:
        """Where a point of the cumulated shares falls: block, index, and where that member begins."""
        at = 0.0
        for n, size in enumerate(self._sums):
            if at + size > point or n == len(self._sums) - 1:
                block = self._blocks[n]
                for index, member in enumerate(block):
                    share = self._shares[member]
                    if at + share > point or index == len(block) - 1:
                        return n, index, at
                    at += share
            at += size
        return 0, 0, 0.0

    def _slice(self) -> tuple[float, float]:
        size = self._total / self._copies
        return self._copy * size, (self._copy + 1) * size

    def _walk(self, n: int, index: int, at: float, start: float, end: float) -> Iterable[tuple[int, float]]:
        """Members from a place on with what of each falls within the slice, until it ends."""
        while n < len(self._blocks):
            block = self._blocks[n]
            while index < len(block):
                if at >= end:
                    return
                member = block[index]
                share = self._shares[member]
                yield member, _overlap(at, share, start, end)
                at += share
                index += 1
            n = n + 1
            index = 0

    def _take_all(self) -> dict[int, float]:
        """Cut the slice anew."""
        before = self.taken
        self.taken = {}
        if self._total > 0.0:
            start, end = self._slice()
            for member, part in self._walk(*self._find(start), start, end):
                if part > LEAST:
                    self.taken[member] = part
        if self.taken:
            first = next(iter(self.taken))
            last = next(reversed(self.taken))
            self._ends = self._key(first), self._key(last)
        else:
            self._ends = None
        return {
            m: self.taken.get(m, 0.0)
            for m in (*before, *(m for m in self.taken if m not in before))
            if before.get(m) != self.taken.get(m)
        }

    def _move(self, member: int) -> dict[int, float]:
        """Move the slice's ends to where they belong now; what changed for whom."""
        if self._total <= 0.0 or self._ends is None:
            return self._take_all()
        start, end = self._slice()
        changed: dict[int, float] = {}
        head = self._find(start)
        tail = self._find(end)
        first = self._key(self._blocks[head[0]][head[1]])
        last = self._key(self._blocks[tail[0]][tail[1]])
        # The member itself, and what was taken and lies outside now.
        share = self._shares.get(member)
        if share is None:
            if self.taken.pop(member, None) is not None:
                changed[member] = 0.0
        elif first < self._key(member) < last and self.taken.get(member) != share:
            self.taken[member] = changed[member] = share
        self._drop_outside(first, last, changed)
        # From each end inwards, until what is found is taken whole already.
        self._settle(self._walk(*head, start, end), changed)
        self._settle(self._back(*tail, start, end), changed)
        self._ends = first, last
        return changed

    def _drop_outside(self, first: tuple[int, int], last: tuple[int, int], changed: dict[int, float]) -> None:
        """Give up what the slice held before its new beginning and after its new end."""
        assert self._ends is not None
        old_first, old_last = self._ends
        for low, high in ((old_first, first), (last, old_last)):
            if low >= high:
                continue
            n = self._block_of(low)
            while n < len(self._blocks) and self._key(self._blocks[n][0]) <= high:
                block = self._blocks[n]
                for m in block[bisect_left(block, low, key=self._key) :]:
                    if self._key(m) > high:
                        break
                    if not first <= self._key(m) <= last and self.taken.pop(m, None) is not None:
                        changed[m] = 0.0
                n += 1

    def _back(self, n: int, index: int, at: float, start: float, end: float) -> Iterable[tuple[int, float]]:
        """Members from a place backwards with what of each falls within the slice."""
        while n >= 0:
            block = self._blocks[n]
            while index >= 0:
                member = block[index]
                share = self._shares[member]
                if at + share <= start:
                    return
                yield member, _overlap(at, share, start, end)
                index -= 1
                if index >= 0:
                    at -= self._shares[block[index]]
            n -= 1
            if n >= 0:
                index = len(self._blocks[n]) - 1
                at -= self._shares[self._blocks[n][index]]

    def _settle(self, found: Iterable[tuple[int, float]], changed: dict[int, float]) -> None:
        for member, part in found:
            held = self.taken.get(member)
            if part <= LEAST:
                if held is not None:
                    del self.taken[member]
                    changed[member] = 0.0
                continue
            if held is not None and held == part and part == self._shares[member]:
                return
            if held != part:
                self.taken[member] = changed[member] = part


class Slices:
    """What copy `number` of `nodes` takes of each member: the sum of its slices of so many orders.

    Where the slices are as many as the copies, each takes all of every member.
    """

    def __init__(self, number: int, nodes: int) -> None:
        # A copy numbered beyond their count would take nothing.
        self._number = number % nodes
        self._nodes = nodes
        self.shares: dict[int, float] = {}
        self.orders: list[Order] = []
        self.slices = 0
        self.parts: dict[int, float] = {}  # what is taken of whom, in all; none of it is 0

    @property
    def complete(self) -> bool:
        """Whether this copy takes all of every member."""
        return self.slices >= self._nodes

    def change(self, member: int, share: float | None) -> dict[int, float]:
        """A member has this share from now on (None: it is gone); whose part changed, and to what."""
        was = self.shares.get(member)
        if was == share:
            return {}
        if share is None:
            del self.shares[member]
        else:
            self.shares[member] = share
        if self.complete:
            changed = {member: share or 0.0}
        else:
            touched: dict[int, None] = {}
            for order in self.orders:
                touched.update(dict.fromkeys(order.change(member, was, share)))
            changed = {}
            for m in touched:
                changed[m] = sum(order.taken.get(m, 0.0) for order in self.orders)
        for m, part in changed.items():
            if part > LEAST:
                self.parts[m] = part
            else:
                self.parts.pop(m, None)
        return changed

    def reset(self, shares: dict[int, float], slices: int) -> dict[int, float]:
        """Begin anew with these members and so many slices; whose part changed, and to what."""
        self.shares = dict(shares)
        self.orders.clear()
        return self.widen(slices)

    def widen(self, slices: int) -> dict[int, float]:
        """Take so many slices, more or fewer; whose part changed, and to what (0: none of it)."""
        before = self.parts
        self.slices = min(slices, self._nodes)
        if self.complete:
            self.orders.clear()
            self.parts = {member: share for member, share in self.shares.items() if share > 0.0}
        else:
            del self.orders[self.slices :]
            while len(self.orders) < self.slices:
                self.orders.append(Order(len(self.orders), self._number, self._nodes, self.shares))
            sums: dict[int, float] = {}
            for order in self.orders:
                for member, part in order.taken.items():
                    sums[member] = sums.get(member, 0.0) + part
            self.parts = sums
        return {
            m: self.parts.get(m, 0.0)
            for m in (*before, *(m for m in self.parts if m not in before))
            if before.get(m) != self.parts.get(m)
        }
