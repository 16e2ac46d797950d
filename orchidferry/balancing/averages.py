"""Moving averages and counts of events. Times are milliseconds of one monotonic clock."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from orchidferry.balancing import interface as api


class DecayingRate:
    """The rate of events, decayed exponentially; measured from the first call of `add` on."""

    __slots__ = ("_updated_ms", "_window_ms", "events", "span_s")

    def __init__(self, window_ms: float) -> None:
        """`window_ms` is the time constant of the decay."""
        self._window_ms = window_ms
        self._updated_ms = -math.inf
        self.events = 0.0  # decayed number of events
        self.span_s = 0.0  # decayed time over which they were counted

    def add(self, events: float, now: float) -> None:
        """Add events; 0 only applies the decay up to now."""
        passed = max(0.0, now - self._updated_ms) if self._updated_ms > -math.inf else 0.0
        if passed or self._updated_ms == -math.inf:
            self._updated_ms = now
            decay = math.exp(-passed / self._window_ms)
            self.events *= decay
            self.span_s = self.span_s * decay + (1 - decay) * self._window_ms / 1000.0
        self.events += events

    def per_s(self) -> float:
        """Events per second as of the last `add`; the time counts as at least one second."""
        return self.events / max(1.0, self.span_s)


class SlidingCount:
    """Events within the last `span_ms`, counted exactly, both ends included."""

    __slots__ = ("_span_ms", "_times")

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        """Add an event."""
        self._times.append(now)
        self.count(now)  # drops expired events, also if the caller never counts them

    def count(self, now: float) -> int:
        """The number of events within the span before `now`."""
        while self._times and self._times[0] < now - self._span_ms:
            self._times.popleft()
        return len(self._times)


class ClassStatistics:
    """Statistics of each request class, as moving averages over `samples` requests."""

    def __init__(self, classes: Iterable[api.RequestClass], samples: float) -> None:
        self._samples = samples
        self.worth = {cls.name: cls.worth for cls in classes}
        self.request_share = dict.fromkeys(self.worth, 1.0 / len(self.worth))  # share of the requests
        self.in_time = dict.fromkeys(self.worth, 1.0)  # share answered within the latency target
        self.delay_ms = dict.fromkeys(self.worth, 0.0)  # 0: not measured yet
        self._current_names = list(self.worth)  # the classes that are served now

    def set_classes(self, classes: Iterable[api.RequestClass]) -> None:
        """Set the classes; the statistics of removed classes are kept for their open requests."""
        worth = {cls.name: cls.worth for cls in classes}
        for name in worth.keys() - self.worth.keys():
            self.request_share[name] = 1.0 / len(worth)
            self.in_time[name] = 1.0
            self.delay_ms[name] = 0.0
        self.worth |= worth
        self._current_names = list(worth)

    def record_request(self, name: str) -> None:
        """Record the arrival of a request."""
        decay = 1.0 - 1.0 / self._samples
        request_share = self.request_share
        for other in request_share:
            request_share[other] *= decay
        request_share[name] += 1.0 / self._samples

    def record_end(self, name: str, in_time: bool) -> None:
        """Record the end of a request.

        :param in_time: it was answered within its latency target
        """
        self.in_time[name] += (in_time - self.in_time[name]) / self._samples

    def record_answer(self, name: str, delay_ms: float) -> None:
        """Record the duration of the attempt that answered a request."""
        mean_ms = self.delay_ms[name]
        self.delay_ms[name] += (delay_ms - mean_ms) / (self._samples if mean_ms else 1.0)

    def min_in_time(self) -> float:
        """The smallest share answered in time among the classes that are served now."""
        return min(self.in_time[name] for name in self._current_names)

    def mean_worth(self) -> float:
        """The mean worth of a request."""
        return sum(self.request_share[name] * worth for name, worth in self.worth.items())
