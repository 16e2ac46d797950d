"""Smooth weighted rotation as a schedule kept in order: a pick costs O(log n), and so does any change.

A data structure only: `orchidferry.balancing.picker` decides who may be picked, and what a weight is.

The rotation is worst-case fair weighted queueing (WF2Q+, Bennett and Zhang 1997; the same rule is EEVDF's,
Stoica and Abdel-Wahab 1995). Virtual time runs by 1 / total weight a pick. A member of weight w owns turns of
length 1 / w, each taken between its start and its deadline; of those whose turn has started, the one with
the earliest deadline is picked. So each member's picks stay within one of its share.
Members that can't be picked now are removed and keep the part of their turn that is left.
"""

from __future__ import annotations

import heapq
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")

ROUNDING_SLACK = 1e-9  # of a turn: starts that differ by rounding are the same
REBASE_AT = 1e9  # virtual time at which all is moved back to 0, for precision's sake
MAX_DEAD_ENTRIES = 64  # entries beyond one and a half times the members that heaps hold before they are swept
SWEEP_STEP = 8  # entries that are looked at for each that dies: one in three at least is dead then


class RotationState(Enum):
    """Whether a member may be picked."""

    REMOVED = "lifted out"
    ACTIVE = "in the rotation"
    FALLBACK = "picked only where nobody is in the rotation"


class Member(Generic[T]):
    """Something to be picked in turn; `order` breaks ties, so that the same calls give the same picks."""

    __slots__ = ("deadline", "item", "state", "order", "version", "weight")

    def __init__(self, item: T, order: int) -> None:
        self.item = item
        self.order = order
        self.weight = 0.0
        self.state = RotationState.REMOVED
        self.deadline = (
            0.0  # deadline of its turn: in its heap's virtual time, or in turns from now while REMOVED
        )
        self.version = 0  # entries of heaps that bear another are dead


Entry = tuple[float, int, int, Member[T]]


def _sweep_heap(heap: list[Entry[T]], position: int) -> int:
    """Remove the dead of the next `SWEEP_STEP` entries of a heap; the position to go on from."""
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
    """Replace the entry at a position of a heap, and restore the heap's order."""
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
        self._waiting: list[Entry[T]] = []  # by the start of their turn
        self._started: list[Entry[T]] = []  # by its deadline
        self._fallback: list[Entry[T]] = []  # by deadline, in a virtual time of their own
        self._virtual_time = self._fallback_time = 0.0
        self.active_count = self.fallback_count = 0
        self._sweep_positions = [0, 0, 0]  # in each heap: waiting, started, fallback
        self.total_weight = 0.0  # weight of those that are ACTIVE

    def set_state(self, member: Member[T], state: RotationState) -> None:
        """Move a member into the rotation, the fallback or neither; it keeps what is left of its turn."""
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
        """Remove a member from its heap; its deadline becomes the part of its turn that is left."""
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
        self._sweep_dead_entries()

    def _sweep_dead_entries(self) -> None:
        """Drop some dead entries once there are many.

        Some at a time: rebuilding a heap of 10,000 takes as long as a hundred requests.
        """
        if len(self._started) + len(self._waiting) > 1.5 * self.active_count + MAX_DEAD_ENTRIES:
            self._sweep_positions[0] = _sweep_heap(self._waiting, self._sweep_positions[0])
            self._sweep_positions[1] = _sweep_heap(self._started, self._sweep_positions[1])
        if len(self._fallback) > 1.5 * self.fallback_count + MAX_DEAD_ENTRIES:
            self._sweep_positions[2] = _sweep_heap(self._fallback, self._sweep_positions[2])

    def set_weight(self, member: Member[T], weight: float) -> None:
        """Change the weight of a member; what is left of its turn keeps its proportion."""
        state = member.state
        if state is not RotationState.REMOVED:
            self._remove(member)
        member.weight = weight
        if state is not RotationState.REMOVED:
            self.set_state(member, state)

    def peek(self) -> Member[T] | None:
        """The member whose turn it is; None if the rotation is empty."""
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
            self._virtual_time = waiting[0][0]  # no turn has started: time advances to the first start

    def peek_fallback(self) -> Member[T] | None:
        """The next member of the fallback; None if there is none."""
        fallback = self._fallback
        while fallback and fallback[0][2] != fallback[0][3].version:
            heapq.heappop(fallback)
        return fallback[0][3] if fallback else None

    def advance(self, member: Member[T]) -> None:
        """A member was picked: its next turn begins where this one was to end."""
        if member.state is RotationState.ACTIVE:
            self._virtual_time += 1.0 / self.total_weight
            if self._started and self._started[0][3] is member and self._started[0][2] == member.version:
                heapq.heappop(self._started)
            else:
                member.version += 1  # it was not the first; its old entry is dead
            member.deadline += 1.0 / member.weight
            # By rounding a turn may start slightly after the virtual time that it should start at.
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
            self._sweep_dead_entries()
        else:
            member.deadline += 1.0

    def _rebase(self) -> None:
        """Move virtual time back to 0."""
        back = self._virtual_time
        alive = [e[3] for e in (*self._started, *self._waiting) if e[2] == e[3].version]
        self._virtual_time = 0.0
        self._started = []
        self._waiting = []
        for member in alive:
            member.deadline -= back
            self._push_active(member)
