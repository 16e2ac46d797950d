"""The queue of an admission gate: requests that wait for a slot at the server, by rank, then by arrival.

Rank 0 is the most important. A request waits for its own queue timeout at most.
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
        self.queue_timer = 0  # the number of its timer; 0: it is not queued
        self.queue_position = 0


RequestT = TypeVar("RequestT", bound=QueuedRequest)


class AdmissionQueue(Generic[RequestT]):
    """Requests that wait; all operations but `waiting` take constant time for a bounded number of ranks."""

    def __init__(self, timers: TimerQueue) -> None:
        self._timers = timers
        self._by_rank: dict[int, dict[int, RequestT]] = {}  # by position, in the order of arrival
        self._last_position = 0
        self.length = 0

    def add(self, request: RequestT, timeout_s: float, on_timeout: Callable[[RequestT], None]) -> None:
        """Put a request behind those of its rank.

        :param on_timeout: called with the request, which is in the queue no more, when its time is over.
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
        """Take a request out, if it is in the queue."""
        if request.queue_timer:
            self._timers.cancel(request.queue_timer)
            request.queue_timer = 0
            self.length -= 1
            del self._by_rank[request.rank][request.queue_position]

    def pop_first(self) -> RequestT:
        """Take out the request of the most important rank that came first."""
        rank = min(rank for rank, requests in self._by_rank.items() if requests)
        request = next(iter(self._by_rank[rank].values()))
        self.discard(request)
        return request

    def pop_last_below(self, rank: int) -> RequestT | None:
        """Take out the request that would be the last one served, if it is less important than `rank`."""
        last_rank = max(rank for rank, requests in self._by_rank.items() if requests)
        if last_rank <= rank:
            return None
        request = next(reversed(self._by_rank[last_rank].values()))
        self.discard(request)
        return request

    def waiting(self) -> list[RequestT]:
        """All requests that wait, by the ranks' first use, then by arrival."""
        return [request for requests in self._by_rank.values() for request in requests.values()]
