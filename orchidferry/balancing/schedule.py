"""Smooth weighted rotation as a schedule kept in order: a pick costs O(log n), and so does any change.

Here stand data structures only; who may be picked, and what a weight is, `orchidferry.balancing.pick`
decides.

The rotation is worst-case fair weighted queueing (WF2Q+, Bennett and Zhang 1997; the same rule is EEVDF's,
Stoica and Abdel-Wahab 1995). Virtual time runs by 1 / total weight a pick. A member of weight w owns turns of
length 1 / w, each taken between its start and its deadline; of those whose turn has started, the one with
the earliest deadline is picked. So each member's picks stay within one of its share.
Members that can't be picked now are lifted out and keep how far they are through their turn.
"""

from __future__ import annotations

import heapq
from enum import Enum
from typing import Generic, TypeVar

T = TypeVar("T")

SLACK = 1e-9  # of a turn: starts that differ by rounding are the same
REBASE = 1e9  # virtual time at which all is moved back to 0, for precision's sake
STALE = 64  # entries beyond one and a half times the members that heaps hold before they are swept
SWEEP = 8  # entries that are looked at for each that dies: one in three at least is dead then


class Lot(Enum):
    """Where a member stands."""

    OFF = "lifted out"
    ON = "in the rotation"
    ASIDE = "picked only where nobody is in the rotation"


class Member(Generic[T]):
    """Something to be picked in turn, and how far it is through its turn."""

    __slots__ = ("due", "item", "lot", "order", "stamp", "weight")

    def __init__(self, item: T, order: int) -> None:
        # it breaks ties, so that the same calls give the same picks
        self.item = item
        self.order = order
        self.weight = 0.0
        self.lot = Lot.OFF
        self.due = 0.0  # deadline of its turn: in its heap's virtual time, or in turns from now while OFF
        self.stamp = 0  # entries of heaps that bear another are dead


Entry = tuple[float, int, int, Member[T]]


def _sweep(heap: list[Entry[T]], at: int) -> int:
    """Take the dead of the next `SWEEP` entries out of a heap; where to go on."""
    for _ in range(SWEEP):
        if at >= len(heap):
            at = 0
        if not heap:
            break
        if heap[at][2] == heap[at][3].stamp:
            at += 1
            continue
        last = heap.pop()
        if at < len(heap):
            _settle(heap, at, last)
    return at


def _settle(heap: list[Entry[T]], at: int, entry: Entry[T]) -> None:
    """Put an entry in another's place in a heap, up or down to where it belongs."""
    while at and entry < heap[above := (at - 1) >> 1]:
        heap[at] = heap[above]
        at = above
    while (below := 2 * at + 1) < len(heap):
        if below + 1 < len(heap) and heap[below + 1] < heap[below]:
            below += 1
        if entry < heap[below]:
            break
        heap[at] = heap[below]
        at = below
    heap[at] = entry


class Schedule(Generic[T]):
    """All members. A member of weight 0 is never ON: its turn would never end."""

    def __init__(self) -> None:
        self._waiting: list[Entry[T]] = []  # by the start of their turn
        self._started: list[Entry[T]] = []  # by its deadline
        self._aside: list[Entry[T]] = []  # by deadline, in a virtual time of their own
        self._clock = self._aside_clock = 0.0
        self.count = self.aside_count = 0
        self._swept = [0, 0, 0]  # how far each heap was looked through: waiting, started, aside
        self.total = 0.0  # weight of those that are ON

    def put(self, member: Member[T], lot: Lot) -> None:
        """Move a member: into the rotation, aside, or out of both. It keeps its place in its turn."""
        if member.lot is not Lot.OFF:
            self._lift(member)
        if lot is Lot.OFF or (lot is Lot.ON and member.weight <= 0.0):
            return
        member.lot = lot
        if lot is Lot.ON:
            self.count += 1
            self.total += member.weight
            member.due = self._clock + member.due / member.weight
            self._enter(member)
        else:
            self.aside_count += 1
            member.due = self._aside_clock + member.due / (member.weight if member.weight > 0.0 else 1.0)
            heapq.heappush(self._aside, (member.due, member.order, member.stamp, member))

    def _enter(self, member: Member[T]) -> None:
        start = member.due - 1.0 / member.weight
        if start <= self._clock:
            heapq.heappush(self._started, (member.due, member.order, member.stamp, member))
        else:
            heapq.heappush(self._waiting, (start, member.order, member.stamp, member))

    def _lift(self, member: Member[T]) -> None:
        """Out of its heap; its deadline becomes the part of its turn that is left."""
        weight = member.weight if member.weight > 0.0 else 1.0
        if member.lot is Lot.ON:
            self.count -= 1
            self.total = self.total - member.weight if self.count else 0.0
            member.due = (member.due - self._clock) * weight
        else:
            self.aside_count -= 1
            member.due = max(0.0, (member.due - self._aside_clock) * weight)
        member.lot = Lot.OFF
        member.stamp += 1
        self._clear()

    def _clear(self) -> None:
        """Drop some dead entries once there are many: a pick's cost stays that of the living.

        Some at a time: making a heap of 10,000 anew takes as long as a hundred requests.
        """
        if len(self._started) + len(self._waiting) > 1.5 * self.count + STALE:
            self._swept[0] = _sweep(self._waiting, self._swept[0])
            self._swept[1] = _sweep(self._started, self._swept[1])
        if len(self._aside) > 1.5 * self.aside_count + STALE:
            self._swept[2] = _sweep(self._aside, self._swept[2])

    def reweigh(self, member: Member[T], weight: float) -> None:
        """Give a member another weight from now on; what is left of its turn keeps its proportion."""
        lot = member.lot
        if lot is not Lot.OFF:
            self._lift(member)
        member.weight = weight
        if lot is not Lot.OFF:
            self.put(member, lot)

    def first(self) -> Member[T] | None:
        """Whose turn it is; None if nobody is in the rotation."""
        started = self._started
        waiting = self._waiting
        while True:
            while waiting and (waiting[0][0] <= self._clock or waiting[0][2] != waiting[0][3].stamp):
                _, order, stamp, member = heapq.heappop(waiting)
                if stamp == member.stamp:
                    heapq.heappush(started, (member.due, order, stamp, member))
            while started and started[0][2] != started[0][3].stamp:
                heapq.heappop(started)
            if started:
                return started[0][3]
            if not waiting:
                return None
            self._clock = waiting[0][0]  # nobody's turn has started: time goes on to the first that does

    def first_aside(self) -> Member[T] | None:
        """Who is next of those that are aside."""
        aside = self._aside
        while aside and aside[0][2] != aside[0][3].stamp:
            heapq.heappop(aside)
        return aside[0][3] if aside else None

    def charge(self, member: Member[T]) -> None:
        """It was picked: its next turn begins where this one was to end."""
        if member.lot is Lot.ON:
            self._clock += 1.0 / self.total
            if self._started and self._started[0][3] is member and self._started[0][2] == member.stamp:
                heapq.heappop(self._started)
            else:
                member.stamp += 1  # it was not the first; its old entry is dead
            member.due += 1.0 / member.weight
            # A turn may start a rounding's breadth after the clock that it should start with.
            if member.due - (1.0 - SLACK) / member.weight <= self._clock:
                heapq.heappush(self._started, (member.due, member.order, member.stamp, member))
            else:
                start = member.due - (1.0 - SLACK) / member.weight
                heapq.heappush(self._waiting, (start, member.order, member.stamp, member))
            if self._clock > REBASE:
                self._rebase()
        elif member.lot is Lot.ASIDE:
            self._aside_clock = max(self._aside_clock, member.due)
            member.stamp += 1
            member.due += 1.0 / member.weight if member.weight > 0.0 else 1.0
            heapq.heappush(self._aside, (member.due, member.order, member.stamp, member))
            self._clear()
        else:
            member.due += 1.0

    def _rebase(self) -> None:
        """Move virtual time back to 0."""
        back = self._clock
        alive = [e[3] for e in (*self._started, *self._waiting) if e[2] == e[3].stamp]
        self._clock = 0.0
        self._started = []
        self._waiting = []
        for member in alive:
            member.due -= back
            self._enter(member)
