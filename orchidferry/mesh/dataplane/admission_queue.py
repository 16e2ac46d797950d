"""The queue of an admission gate, a priority queue with a timeout for each request.

Requests wait for a slot at the server, ordered by rank (0 is the most important), then by arrival.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Generic, TypeVar

from orchidferry.node.timer_queue import TimerQueue


class QueuedRequest:
    """A request that can wait in an `AdmissionQueue`."""

    __slots__ = ("queue_timer", "queue_position", "rank")

    def __init__(self, rank: int) -> None:
        self.rank = rank
        self.queue_timer = 0  # number of the request's timer in the timer queue; 0 if it is not queued
        self.queue_position = 0  # position in the order of arrival


RequestT = TypeVar("RequestT", bound=QueuedRequest)


class AdmissionQueue(Generic[RequestT]):
    """Queued requests; all operations but `waiting` take constant time for a bounded number of ranks."""

    def __init__(self, timers: TimerQueue) -> None:
        self._timers = timers
        self._by_rank: dict[int, dict[int, RequestT]] = {}  # by position, in order of arrival
        self._last_position = 0
        self.length = 0

    def add(self, request: RequestT, timeout_s: float, on_timeout: Callable[[RequestT], None]) -> None:
        """Append a request to those of its rank.

        :param timeout_s: how long it may be queued, in seconds.
        :param on_timeout: called with the request after the timeout, when it is out of the queue.
        """
        self._last_position += 1
        self.length += 1
        request.queue_position = self._last_position
        self._by_rank.setdefault(request.rank, {})[request.queue_position] = request

        def expire() -> None:
            self.discard(request)
            on_timeout(request)

        request.queue_timer = self._timers.schedule(timeout_s, expire)

    def discard(self, request: RequestT) -> None:
        """Remove a request, if it is in the queue."""
        if request.queue_timer:
            self._timers.cancel(request.queue_timer)
            request.queue_timer = 0
            self.length -= 1
            del self._by_rank[request.rank][request.queue_position]

    def pop_first(self) -> RequestT:
        """Remove and return the oldest request of the most important rank."""
        rank = min(rank for rank, requests in self._by_rank.items() if requests)
        request = next(iter(self._by_rank[rank].values()))
        self.discard(request)
        return request

    def pop_last_below(self, rank: int) -> RequestT | None:
        """Remove and return the newest request of the least important rank, if that is below `rank`.

        :returns: None if no queued request is less important than `rank`.
        """
        last_rank = max(rank for rank, requests in self._by_rank.items() if requests)
        if last_rank <= rank:
            return None
        request = next(reversed(self._by_rank[last_rank].values()))
        self.discard(request)
        return request

    def waiting(self) -> list[RequestT]:
        """Return all queued requests, ordered by the first use of their rank, then by arrival."""
        return [request for requests in self._by_rank.values() for request in requests.values()]
