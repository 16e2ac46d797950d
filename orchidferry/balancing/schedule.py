"""A smooth weighted rotation in which a pick, and any change, costs O(log n).

This is a data structure only: `orchidferry.balancing.picker` sets the states and weights of the members.

The rotation is worst-case fair weighted queueing (WF2Q+, Bennett and Zhang 1997; the same rule is EEVDF's,
Stoica and Abdel-Wahab 1995). Virtual time advances by 1 / total weight with each pick. A member of weight w
has turns of length 1 / w, and is picked once between the start and the deadline of each. Of the members whose
turn has started, the one with the earliest deadline is picked. So the number of picks of each member stays
within one of its share. Members that can't be picked now are removed, and keep the rest of their turn.
"""

from __future__ import annotations

import heapq
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")

ROUNDING_SLACK = 1e-9  # tolerance for rounding errors of a start, as a fraction of a turn
REBASE_AT = 1e9  # virtual time at which it is reset to 0, to keep floating-point precision
MAX_STALE_ENTRIES = 64  # heap entries beyond 1.5 times the members above which stale entries are removed
SWEEP_STEP = 8  # entries checked for each that becomes stale; at least one in three is stale by then


class RotationState(Enum):
    """Whether a member may be picked."""

    REMOVED = "not to be picked"
    ACTIVE = "in the rotation"
    FALLBACK = "picked only if the rotation is empty"


class Member(Generic[T]):
    """An item to be picked in turn; `order` breaks ties, so that the same calls give the same picks."""

    __slots__ = ("deadline", "item", "state", "order", "version", "weight")

    def __init__(self, item: T, order: int) -> None:
        self.item = item
        self.order = order
        self.weight = 0.0
        self.state = RotationState.REMOVED
        self.deadline = 0.0  # end of its turn, in the virtual time of its heap; in turns from now if REMOVED
        self.version = 0  # heap entries with another version are stale


Entry = tuple[float, int, int, Member[T]]


def _sweep_heap(heap: list[Entry[T]], position: int) -> int:
    """Remove the stale ones of the next `SWEEP_STEP` entries of a heap.

    :returns: the position at which to continue
    """
    for _ in range(SWEEP_STEP):
        if position >= len(heap):
            position = 0
        if not heap:
            break
        if heap[position][2] == heap[position][3].version:
            position += 1
            continue
        last = heap.pop()
        if position < len(heap):
            _replace_entry(heap, position, last)
    return position


def _replace_entry(heap: list[Entry[T]], position: int, entry: Entry[T]) -> None:
    """Replace the entry at a position of a heap, and restore the heap order."""
    while position and entry < heap[parent := (position - 1) >> 1]:
        heap[position] = heap[parent]
        position = parent
    while (child := 2 * position + 1) < len(heap):
        if child + 1 < len(heap) and heap[child + 1] < heap[child]:
            child += 1
        if entry < heap[child]:
            break
        heap[position] = heap[child]
        position = child
    heap[position] = entry


class Schedule(Generic[T]):
    """The rotation. A member of weight 0 is never ACTIVE: its turn would never end."""

    def __init__(self) -> None:
        self._waiting: list[Entry[T]] = []  # heap by start, of turns that have not started
        self._started: list[Entry[T]] = []  # heap by deadline, of turns that have started
        self._fallback: list[Entry[T]] = []  # heap by deadline, in the virtual time of the fallback
        self._virtual_time = self._fallback_time = 0.0
        self.active_count = self.fallback_count = 0
        self._sweep_positions = [0, 0, 0]  # next position to sweep in the heaps waiting, started, fallback
        self.total_weight = 0.0  # sum of the weights of ACTIVE members

    def set_state(self, member: Member[T], state: RotationState) -> None:
        """Move a member into the rotation, the fallback or neither; it keeps the rest of its turn."""
        if member.state is not RotationState.REMOVED:
            self._remove(member)
        if state is RotationState.REMOVED or (state is RotationState.ACTIVE and member.weight <= 0.0):
            return
        member.state = state
        if state is RotationState.ACTIVE:
            self.active_count += 1
            self.total_weight += member.weight
            member.deadline = self._virtual_time + member.deadline / member.weight
            self._push_active(member)
        else:
            self.fallback_count += 1
            member.deadline = self._fallback_time + member.deadline / (
                member.weight if member.weight > 0.0 else 1.0
            )
            heapq.heappush(self._fallback, (member.deadline, member.order, member.version, member))

    def _push_active(self, member: Member[T]) -> None:
        start = member.deadline - 1.0 / member.weight
        if start <= self._virtual_time:
            heapq.heappush(self._started, (member.deadline, member.order, member.version, member))
        else:
            heapq.heappush(self._waiting, (start, member.order, member.version, member))

    def _remove(self, member: Member[T]) -> None:
        """Remove a member from its heap; its deadline becomes the rest of its turn, as a fraction."""
        weight = member.weight if member.weight > 0.0 else 1.0
        if member.state is RotationState.ACTIVE:
            self.active_count -= 1
            self.total_weight = self.total_weight - member.weight if self.active_count else 0.0
            member.deadline = (member.deadline - self._virtual_time) * weight
        else:
            self.fallback_count -= 1
            member.deadline = max(0.0, (member.deadline - self._fallback_time) * weight)
        member.state = RotationState.REMOVED
        member.version += 1
        self._sweep_stale_entries()

    def _sweep_stale_entries(self) -> None:
        """Remove some stale entries if there are many.

        Only some at a time: rebuilding a heap of 10,000 takes as long as handling a hundred requests.
        """
        if len(self._started) + len(self._waiting) > 1.5 * self.active_count + MAX_STALE_ENTRIES:
            self._sweep_positions[0] = _sweep_heap(self._waiting, self._sweep_positions[0])
            self._sweep_positions[1] = _sweep_heap(self._started, self._sweep_positions[1])
        if len(self._fallback) > 1.5 * self.fallback_count + MAX_STALE_ENTRIES:
            self._sweep_positions[2] = _sweep_heap(self._fallback, self._sweep_positions[2])

    def set_weight(self, member: Member[T], weight: float) -> None:
        """Change the weight of a member; the rest of its turn stays the same fraction of a turn."""
        state = member.state
        if state is not RotationState.REMOVED:
            self._remove(member)
        member.weight = weight
        if state is not RotationState.REMOVED:
            self.set_state(member, state)

    def peek(self) -> Member[T] | None:
        """The member to be picked next; None if the rotation is empty."""
        started = self._started
        waiting = self._waiting
        while True:
            while waiting and (waiting[0][0] <= self._virtual_time or waiting[0][2] != waiting[0][3].version):
                _, order, version, member = heapq.heappop(waiting)
                if version == member.version:
                    heapq.heappush(started, (member.deadline, order, version, member))
            while started and started[0][2] != started[0][3].version:
                heapq.heappop(started)
            if started:
                return started[0][3]
            if not waiting:
                return None
            self._virtual_time = waiting[0][0]  # no turn has started: advance to the first start

    def peek_fallback(self) -> Member[T] | None:
        """The member of the fallback to be picked next; None if there is none."""
        fallback = self._fallback
        while fallback and fallback[0][2] != fallback[0][3].version:
            heapq.heappop(fallback)
        return fallback[0][3] if fallback else None

    def advance(self, member: Member[T]) -> None:
        """Record the pick of a member: its next turn starts at the deadline of this one."""
        if member.state is RotationState.ACTIVE:
            self._virtual_time += 1.0 / self.total_weight
            if self._started and self._started[0][3] is member and self._started[0][2] == member.version:
                heapq.heappop(self._started)
            else:
                member.version += 1  # it was not the next in turn; its old entry becomes stale
            member.deadline += 1.0 / member.weight
            # Rounding errors may put the start slightly after the virtual time that it should equal.
            if member.deadline - (1.0 - ROUNDING_SLACK) / member.weight <= self._virtual_time:
                heapq.heappush(self._started, (member.deadline, member.order, member.version, member))
            else:
                start = member.deadline - (1.0 - ROUNDING_SLACK) / member.weight
                heapq.heappush(self._waiting, (start, member.order, member.version, member))
            if self._virtual_time > REBASE_AT:
                self._rebase()
        elif member.state is RotationState.FALLBACK:
            self._fallback_time = max(self._fallback_time, member.deadline)
            member.version += 1
            member.deadline += 1.0 / member.weight if member.weight > 0.0 else 1.0
            heapq.heappush(self._fallback, (member.deadline, member.order, member.version, member))
            self._sweep_stale_entries()
        else:
            member.deadline += 1.0

    def _rebase(self) -> None:
        """Reset virtual time to 0."""
        offset = self._virtual_time
        members = [e[3] for e in (*self._started, *self._waiting) if e[2] == e[3].version]
        self._virtual_time = 0.0
        self._started = []
        self._waiting = []
        for member in members:
            member.deadline -= offset
            self._push_active(member)
