"""Deterministic subsetting, updated incrementally; the caller decides how many slices a node uses.

All members are put into several pseudo-random orders, and a node uses one slice of each. A slice is 1/nodes
of an order by cumulative share, so that all nodes together use every member in proportion to its share. An
order is by hash, so that it is the same at all nodes that know the same members. (Google's subsetting
shuffles in rounds; here members keep their place when others come and go, as in consistent hashing.) Adding
or removing a member, wherever it is in the order, moves the ends of a slice by less than one member.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from random import Random

BLOCK = 256  # members of a block of an order, split above twice as many; a change or search reads one block
MIN_ASSIGNED_SHARE = 1e-9  # portions of a member up to this are rounding errors at the ends of a slice


def _hash_factor(number: int) -> int:
    """The factor by which the order of this number hashes its members."""
    return Random(number).getrandbits(32) | 1


def _overlap(position: float, share: float, start: float, end: float) -> float:
    """The portion of a member that is within a range; exactly `share` if the member is within completely.

    :param position: the cumulative share at which the member begins
    """
    if position >= start and position + share <= end:
        return share
    return max(0.0, min(position + share, end) - max(position, start))


class Order:
    """All members in one order, with their shares, and this node's slice of it."""

    def __init__(self, number: int, node: int, nodes: int, shares: dict[int, float]) -> None:
        """Create an order.

        :param number: the number of the order, which determines its hash
        :param node: the number of this node, from 0
        :param nodes: the number of nodes
        :param shares: the shares of all members, which the caller keeps up to date
        """
        self._hash_factor = _hash_factor(number)
        self._node = node
        self._nodes = nodes
        self._shares = shares
        members = sorted(shares, key=self._key)
        self._blocks = [members[position : position + BLOCK] for position in range(0, len(members), BLOCK)]
        self._sums = [sum(shares[m] for m in block) for block in self._blocks]
        self._total = sum(self._sums)
        self.shares_in_slice: dict[int, float] = {}  # portions of members in this node's slice, above 0
        # Keys of the first and last member of the slice
        self._slice_ends: tuple[tuple[int, int], tuple[int, int]] | None = None
        self._rebuild()

    def _key(self, member: int) -> tuple[int, int]:
        return member * self._hash_factor % 2**32, member

    def _block_of(self, key: tuple[int, int]) -> int:
        """The index of the block that a key belongs to."""
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
        """Add a member (`old_share` None), remove it (`new_share` None) or change its share.

        `shares` must contain the new share already.

        :returns: the new portions in the slice, of members for which it changed
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
        """Find the member at a point of the cumulative shares.

        :returns: the index of its block, its index in the block, and the cumulative share at which it begins
        """
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
        """The start and end of the slice, as cumulative shares."""
        size = self._total / self._nodes
        return self._node * size, (self._node + 1) * size

    def _walk_forwards(
        self, n: int, index: int, position: float, start: float, end: float
    ) -> Iterable[tuple[int, float]]:
        """The members from a position to the end of the slice, each with its portion in the slice."""
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
        """Recompute the slice.

        :returns: the new portions in the slice, of members for which it changed
        """
        before = self.shares_in_slice
        self.shares_in_slice = {}
        if self._total > 0.0:
            start, end = self._slice()
            for member, portion in self._walk_forwards(*self._find(start), start, end):
                if portion > MIN_ASSIGNED_SHARE:
                    self.shares_in_slice[member] = portion
        if self.shares_in_slice:
            first = next(iter(self.shares_in_slice))
            last = next(reversed(self.shares_in_slice))
            self._slice_ends = self._key(first), self._key(last)
        else:
            self._slice_ends = None
        return {
            m: self.shares_in_slice.get(m, 0.0)
            for m in (*before, *(m for m in self.shares_in_slice if m not in before))
            if before.get(m) != self.shares_in_slice.get(m)
        }

    def _shift_slice(self, member: int) -> dict[int, float]:
        """Move the ends of the slice after a change of one member.

        :returns: the new portions in the slice, of members for which it changed
        """
        if self._total <= 0.0 or self._slice_ends is None:
            return self._rebuild()
        start, end = self._slice()
        changed: dict[int, float] = {}
        head = self._find(start)
        tail = self._find(end)
        first = self._key(self._blocks[head[0]][head[1]])
        last = self._key(self._blocks[tail[0]][tail[1]])
        # The changed member itself, and members that are no longer in the slice.
        share = self._shares.get(member)
        if share is None:
            if self.shares_in_slice.pop(member, None) is not None:
                changed[member] = 0.0
        elif first < self._key(member) < last and self.shares_in_slice.get(member) != share:
            self.shares_in_slice[member] = changed[member] = share
        self._drop_outside(first, last, changed)
        # From each end inwards, up to a member that was in the slice completely before.
        self._update_shares_in_slice(self._walk_forwards(*head, start, end), changed)
        self._update_shares_in_slice(self._walk_backwards(*tail, start, end), changed)
        self._slice_ends = first, last
        return changed

    def _drop_outside(self, first: tuple[int, int], last: tuple[int, int], changed: dict[int, float]) -> None:
        """Drop the members before the new first and after the new last member of the slice."""
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
                    if not first <= self._key(m) <= last and self.shares_in_slice.pop(m, None) is not None:
                        changed[m] = 0.0
                n += 1

    def _walk_backwards(
        self, n: int, index: int, position: float, start: float, end: float
    ) -> Iterable[tuple[int, float]]:
        """The members from a position back to the start of the slice, each with its portion in the slice."""
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

    def _update_shares_in_slice(self, found: Iterable[tuple[int, float]], changed: dict[int, float]) -> None:
        """Set the portions found, up to a member that was in the slice completely before."""
        for member, portion in found:
            old_portion = self.shares_in_slice.get(member)
            if portion <= MIN_ASSIGNED_SHARE:
                if old_portion is not None:
                    del self.shares_in_slice[member]
                    changed[member] = 0.0
                continue
            if old_portion is not None and old_portion == portion and portion == self._shares[member]:
                return
            if old_portion != portion:
                self.shares_in_slice[member] = changed[member] = portion


class Slices:
    """The share of each member that is assigned to a node: the sum of its slices of several orders.

    With as many slices as nodes, all of every member is assigned to each node.
    """

    def __init__(self, number: int, nodes: int) -> None:
        # A node with a number not below the number of nodes would get nothing.
        self._number = number % nodes
        self._nodes = nodes
        self.shares: dict[int, float] = {}
        self.orders: list[Order] = []
        self.slices = 0
        self.assigned_shares: dict[int, float] = {}  # assigned shares above 0, by member

    @property
    def complete(self) -> bool:
        """Whether all of every member is assigned to this node."""
        return self.slices >= self._nodes

    def change(self, member: int, share: float | None) -> dict[int, float]:
        """Set the share of a member; None removes it.

        :returns: the new assigned shares, of members for which it changed
        """
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
                changed[m] = sum(order.shares_in_slice.get(m, 0.0) for order in self.orders)
        for m, portion in changed.items():
            if portion > MIN_ASSIGNED_SHARE:
                self.assigned_shares[m] = portion
            else:
                self.assigned_shares.pop(m, None)
        return changed

    def reset(self, shares: dict[int, float], slices: int) -> dict[int, float]:
        """Replace all members, and set the number of slices.

        :returns: the new assigned shares, of members for which it changed
        """
        self.shares = dict(shares)
        self.orders.clear()
        return self.widen(slices)

    def widen(self, slices: int) -> dict[int, float]:
        """Set the number of slices.

        :returns: the new assigned shares, of members for which it changed; 0 for those no longer assigned
        """
        before = self.assigned_shares
        self.slices = min(slices, self._nodes)
        if self.complete:
            self.orders.clear()
            self.assigned_shares = {member: share for member, share in self.shares.items() if share > 0.0}
        else:
            del self.orders[self.slices :]
            while len(self.orders) < self.slices:
                self.orders.append(Order(len(self.orders), self._number, self._nodes, self.shares))
            sums: dict[int, float] = {}
            for order in self.orders:
                for member, portion in order.shares_in_slice.items():
                    sums[member] = sums.get(member, 0.0) + portion
            self.assigned_shares = sums
        return {
            m: self.assigned_shares.get(m, 0.0)
            for m in (*before, *(m for m in self.assigned_shares if m not in before))
            if before.get(m) != self.assigned_shares.get(m)
        }
