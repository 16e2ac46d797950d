"""A queue of many timers that uses a single timer of the event loop.

Nearly all timeouts are cancelled long before they are due, and a timer of the event loop is several times as
expensive as an entry in a heap and a dictionary. Cancelling drops the callback at once, so that it keeps no
objects alive until the timer would have been due.
"""

from __future__ import annotations

import asyncio
import heapq
from collections.abc import Callable

from orchidferry.node.lateness import Lateness

MAX_CANCELLED = 1_024  # cancelled entries that the heap may contain beyond twice the active ones


class TimerQueue:
    """Calls functions when they are due: never early by the loop's clock, and as punctually as its timers."""

    __slots__ = ("_callbacks", "_due_s", "_heap", "_last_id", "_lateness", "_loop", "_timer")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._heap: list[tuple[float, int]] = []  # due time by the loop's clock and id of each timer
        self._callbacks: dict[int, Callable[[], object]] = {}  # callbacks of the active timers, by id
        self._last_id = 0
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0  # when `_timer` is due
        self._lateness = Lateness()

    def __len__(self) -> int:
        return len(self._callbacks)

    def schedule(self, delay_s: float, callback: Callable[[], object]) -> int:
        """Call a function after a delay.

        :returns: the id that `cancel` takes; never 0.
        """
        self._last_id += 1
        due_s = self._loop.time() + max(0.0, delay_s)
        heapq.heappush(self._heap, (due_s, self._last_id))
        self._callbacks[self._last_id] = callback
        if self._timer is None or due_s < self._due_s:
            self._arm(due_s)
        return self._last_id

    def lateness_s(self) -> float:
        """Return how late timers have recently fired, in seconds (see `Lateness`)."""
        return self._lateness.recent_s(self._loop.time())

    def cancel(self, timer_id: int) -> None:
        """Cancel a timer; no effect if it has fired or was cancelled before."""
        if self._callbacks.pop(timer_id, None) is None:
            return
        if len(self._heap) > 2 * len(self._callbacks) + MAX_CANCELLED:
            self._heap = [entry for entry in self._heap if entry[1] in self._callbacks]
            heapq.heapify(self._heap)

    def _arm(self, due_s: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._due_s = due_s
        self._timer = self._loop.call_at(due_s, self._run_due)

    def _run_due(self) -> None:
        """Call the functions that are due, and set the loop's timer for the next one."""
        self._timer = None
        now_s = self._loop.time()
        self._lateness.observe(now_s - self._due_s, now_s)
        due = self._pop_due()
        if self._heap:
            self._arm(self._heap[0][0])
        for timer_id in due:  # a callback may cancel another timer that is due at the same time
            callback = self._callbacks.pop(timer_id, None)
            if callback is not None:
                try:
                    callback()
                except Exception as problem:
                    self._loop.call_exception_handler(
                        {"message": "exception in a timer callback", "exception": problem}
                    )

    def _pop_due(self) -> list[int]:
        now_s = self._loop.time()
        heap = self._heap
        due = []
        while heap and (heap[0][0] <= now_s or heap[0][1] not in self._callbacks):
            _, timer_id = heapq.heappop(heap)
            if timer_id in self._callbacks:
                due.append(timer_id)
        return due
