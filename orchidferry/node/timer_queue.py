"""Many time limits on one timer of the event loop.

Nearly all limits are called off long before they are due, and a timer of the loop costs several times what
an entry of a heap and of a dictionary does. Calling one off drops what it would have called at once, so that
nothing is kept alive by its time.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

DEAD = 1_024  # entries called off beyond the living ones that the heap may hold


class TimerQueue:
    """Calls things at their time; never early by the loop's clock, and late by no more than a timer is."""

    __slots__ = ("_calls", "_heap", "_loop", "_next", "_number", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._heap: list[tuple[float, int]] = []
        self._calls: dict[int, Callable[[], object]] = {}
        self._number = 0
        self._timer: asyncio.TimerHandle | None = None
        self._next = 0.0  # when that timer is due

    def __len__(self) -> int:
        return len(self._calls)

    def after(self, delay_s: float, call: Callable[[], object]) -> int:
        """Call it after so many seconds; the number to call that off by, which is never 0."""
        self._number += 1
        due = self._loop.time() + max(0.0, delay_s)
        heapq.heappush(self._heap, (due, self._number))
        self._calls[self._number] = call
        if self._timer is None or due < self._next:
            self._arm(due)
        return self._number

    def cancel(self, number: int) -> None:
        """Call one off; nothing if it has been called or called off."""
        if self._calls.pop(number, None) is not None and len(self._heap) > 2 * len(self._calls) + DEAD:
            self._heap = [entry for entry in self._heap if entry[1] in self._calls]
            heapq.heapify(self._heap)

    def _arm(self, due: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._next = due
        self._timer = self._loop.call_at(due, self._ring)

    def _ring(self) -> None:
        """Call what is due, and set the timer for what is next."""
        self._timer = None
        now = self._loop.time()
        heap = self._heap
        calls = self._calls
        due = []
        while heap and (heap[0][0] <= now or heap[0][1] not in calls):
            _, number = heapq.heappop(heap)
            if number in calls:
                due.append(number)
        if heap:
            self._arm(heap[0][0])
        for number in due:  # one may call off another that is due with it
            call = calls.pop(number, None)
            if call is not None:
                try:
                    call()
                except Exception as problem:
                    self._loop.call_exception_handler({"message": "a time limit", "exception": problem})
