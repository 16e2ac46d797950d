"""Deterministic subsetting, updated incrementally; the caller decides how many slices a copy takes.

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

BLOCK = 256  # members of a block of an order, at most twice as many: what a change or a search reads
MIN_PART = 1e-9  # of a member: less is what rounding leaves at the end of a slice


def _factor(number: int) -> int:
    """The factor of the hash of the n-th order."""
    return Random(number).getrandbits(32) | 1


def _overlap(position: float, share: float, start: float, end: float) -> float:
    """How much of a member that begins at `position` lies within a range; exactly its share if all does."""
    if position >= start and position + share <= end:
        return share
    return max(0.0, min(position + share, end) - max(position, start))


class Order:
    """All members in one order, with their shares, and this copy's slice of it."""

    def __init__(self, number: int, copy: int, copies: int, shares: dict[int, float]) -> None:
        self._factor = _factor(number)
        self._copy = copy
        self._copies = copies
        self._shares = shares
        members = sorted(shares, key=self._key)
        self._blocks = [members[position : position + BLOCK] for position in range(0, len(members), BLOCK)]
        self._sums = [sum(shares[m] for m in block) for block in self._blocks]
        self._total = sum(self._sums)
        self.taken: dict[int, float] = {}
        self._slice_ends: tuple[tuple[int, int], tuple[int, int]] | None = None  # keys of the slice's ends
        self._rebuild()

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

    def change(self, member: int, old_share: float | None, new_share: float | None) -> dict[int, float]:
        """Add a member (`old_share` None), remove it (`new_share` None) or change its share, as in `shares`.

        :returns: the members whose taken part changed, with that part
        """
        key = self._key(member)
        if not self._blocks:
            self._blocks = [[]]
            self._sums = [0.0]
        n = self._block_of(key) if self._blocks[-1] else 0
        block = self._blocks[n]
        if old_share is None:
            block.insert(bisect_left(block, key, key=self._key), member)
        elif new_share is None:
            del block[bisect_left(block, key, key=self._key)]
        self._sums[n] = sum(self._shares[m] for m in block)
        if len(block) > 2 * BLOCK:
            self._blocks[n : n + 1] = [block[:BLOCK], block[BLOCK:]]
            self._sums[n : n + 1] = [sum(self._shares[m] for m in half) for half in self._blocks[n : n + 2]]
        elif not block and len(self._blocks) > 1:
            del self._blocks[n], self._sums[n]
        self._total = sum(self._sums)
        return self._shift_slice(member)

    def _find(self, point: float) -> tuple[int, int, float]:
        """Find a point of the cumulative shares: the block, the index in it, and where that member begins."""
        position = 0.0
        for n, size in enumerate(self._sums):
            if position + size > point or n == len(self._sums) - 1:
                block = self._blocks[n]
                for index, member in enumerate(block):
                    share = self._shares[member]
                    if position + share > point or index == len(block) - 1:
                        return n, index, position
                    position += share
            position += size
        return 0, 0, 0.0

    def _slice(self) -> tuple[float, float]:
        size = self._total / self._copies
        return self._copy * size, (self._copy + 1) * size

    def _walk_forwards(
        self, n: int, index: int, position: float, start: float, end: float
    ) -> Iterable[tuple[int, float]]:
        """The members from a position on with the part of each within the slice, until it ends."""
        while n < len(self._blocks):
            block = self._blocks[n]
            while index < len(block):
                if position >= end:
                    return
                member = block[index]
                share = self._shares[member]
                yield member, _overlap(position, share, start, end)
                position += share
                index += 1
            n = n + 1
            index = 0

    def _rebuild(self) -> dict[int, float]:
        """Cut the slice anew; the members whose part changed, with that part."""
        before = self.taken
        self.taken = {}
        if self._total > 0.0:
            start, end = self._slice()
            for member, part in self._walk_forwards(*self._find(start), start, end):
                if part > MIN_PART:
                    self.taken[member] = part
        if self.taken:
            first = next(iter(self.taken))
            last = next(reversed(self.taken))
            self._slice_ends = self._key(first), self._key(last)
        else:
            self._slice_ends = None
        return {
            m: self.taken.get(m, 0.0)
            for m in (*before, *(m for m in self.taken if m not in before))
            if before.get(m) != self.taken.get(m)
        }

    def _shift_slice(self, member: int) -> dict[int, float]:
        """Move the ends of the slice after a change; the members whose part changed, with that part."""
        if self._total <= 0.0 or self._slice_ends is None:
            return self._rebuild()
        start, end = self._slice()
        changed: dict[int, float] = {}
        head = self._find(start)
        tail = self._find(end)
        first = self._key(self._blocks[head[0]][head[1]])
        last = self._key(self._blocks[tail[0]][tail[1]])
        # The changed member itself, and what was taken and lies outside now.
        share = self._shares.get(member)
        if share is None:
            if self.taken.pop(member, None) is not None:
                changed[member] = 0.0
        elif first < self._key(member) < last and self.taken.get(member) != share:
            self.taken[member] = changed[member] = share
        self._drop_outside(first, last, changed)
        # From each end inwards, until a member is found that is taken completely already.
        self._update_taken(self._walk_forwards(*head, start, end), changed)
        self._update_taken(self._walk_backwards(*tail, start, end), changed)
        self._slice_ends = first, last
        return changed

    def _drop_outside(self, first: tuple[int, int], last: tuple[int, int], changed: dict[int, float]) -> None:
        """Drop what was taken before the new beginning of the slice and after its new end."""
        assert self._slice_ends is not None
        old_first, old_last = self._slice_ends
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

    def _walk_backwards(
        self, n: int, index: int, position: float, start: float, end: float
    ) -> Iterable[tuple[int, float]]:
        """The members backwards from a position with the part of each within the slice, until it begins."""
        while n >= 0:
            block = self._blocks[n]
            while index >= 0:
                member = block[index]
                share = self._shares[member]
                if position + share <= start:
                    return
                yield member, _overlap(position, share, start, end)
                index -= 1
                if index >= 0:
                    position -= self._shares[block[index]]
            n -= 1
            if n >= 0:
                index = len(self._blocks[n]) - 1
                position -= self._shares[self._blocks[n][index]]

    def _update_taken(self, found: Iterable[tuple[int, float]], changed: dict[int, float]) -> None:
        for member, part in found:
            taken_part = self.taken.get(member)
            if part <= MIN_PART:
                if taken_part is not None:
                    del self.taken[member]
                    changed[member] = 0.0
                continue
            if taken_part is not None and taken_part == part and part == self._shares[member]:
                return
            if taken_part != part:
                self.taken[member] = changed[member] = part


class Slices:
    """What copy `number` of `nodes` takes of each member: the sum of its slices of several orders.

    With as many slices as copies, each copy takes all of every member.
    """

    def __init__(self, number: int, nodes: int) -> None:
        # A copy numbered beyond their count would take nothing.
        self._number = number % nodes
        self._nodes = nodes
        self.shares: dict[int, float] = {}
        self.orders: list[Order] = []
        self.slices = 0
        self.parts: dict[int, float] = {}  # what is taken of each member, above 0

    @property
    def complete(self) -> bool:
        """Whether this copy takes all of every member."""
        return self.slices >= self._nodes

    def change(self, member: int, share: float | None) -> dict[int, float]:
        """Set the share of a member (None: it is removed); the members whose part changed, with that part."""
        old_share = self.shares.get(member)
        if old_share == share:
            return {}
        if share is None:
            del self.shares[member]
        else:
            self.shares[member] = share
        if self.complete:
            changed = {member: share or 0.0}
        else:
            affected: dict[int, None] = {}
            for order in self.orders:
                affected.update(dict.fromkeys(order.change(member, old_share, share)))
            changed = {}
            for m in affected:
                changed[m] = sum(order.taken.get(m, 0.0) for order in self.orders)
        for m, part in changed.items():
            if part > MIN_PART:
                self.parts[m] = part
            else:
                self.parts.pop(m, None)
        return changed

    def reset(self, shares: dict[int, float], slices: int) -> dict[int, float]:
        """Begin anew with these members and slices; the members whose part changed, with that part."""
        self.shares = dict(shares)
        self.orders.clear()
        return self.widen(slices)

    def widen(self, slices: int) -> dict[int, float]:
        """Take so many slices; the members whose part changed, with that part (0: nothing is taken)."""
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
