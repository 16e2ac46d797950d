"""Averages of what was observed; what follows from them is decided by `orchidferry.balancing.logic` and its
parts.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from orchidferry.balancing import interface as api


class Rate:
    """Events a second, forgotten with a time constant; the clock starts with the first event."""

    __slots__ = ("_seen_ms", "_window_ms", "events", "span_s")

    def __init__(self, window_ms: float) -> None:
        self._window_ms = window_ms
        self._seen_ms = -math.inf
        self.events = self.span_s = 0.0

    def count(self, events: float, now: float) -> None:
        """Add events, or none to let its clock run."""
        passed = max(0.0, now - self._seen_ms) if self._seen_ms > -math.inf else 0.0
        if passed or self._seen_ms == -math.inf:
            self._seen_ms = now
            kept = math.exp(-passed / self._window_ms)
            self.events *= kept
            self.span_s = self.span_s * kept + (1 - kept) * self._window_ms / 1000.0
        self.events += events

    def per_s(self) -> float:
        """The rate as of the last call, never from less than a second's evidence."""
        return self.events / max(1.0, self.span_s)


class SlidingCount:
    """Events within the last so many milliseconds, counted exactly, both ends included."""

    __slots__ = ("_span_ms", "_times")

    def __init__(self, span_ms: float) -> None:
        self._span_ms = span_ms
        self._times: deque[float] = deque()

    def add(self, now: float) -> None:
        self._times.append(now)
        self.count(now)  # whoever adds need not ask: what is over must go all the same

    def count(self, now: float) -> int:
        while self._times and self._times[0] < now - self._span_ms:
            self._times.popleft()
        return len(self._times)


class ClassRecord:
    """How each class of requests fares, in averages over so many requests."""

    def __init__(self, classes: Iterable[api.RequestClass], samples: float) -> None:
        self._samples, self.worth = samples, {cls.name: cls.worth for cls in classes}
        self.mix = dict.fromkeys(self.worth, 1.0 / len(self.worth))  # share of the requests
        self.in_time = dict.fromkeys(self.worth, 1.0)  # share answered within the aim
        self.delay_ms = dict.fromkeys(self.worth, 0.0)  # 0: not measured yet
        self._asked_for = list(self.worth)  # the classes that are taken now

    def change(self, classes: Iterable[api.RequestClass]) -> None:
        """Other classes from now on; what is known of those that go stays, for their open requests."""
        worth = {cls.name: cls.worth for cls in classes}
        for name in worth.keys() - self.worth.keys():
            self.mix[name] = 1.0 / len(worth)
            self.in_time[name] = 1.0
            self.delay_ms[name] = 0.0
        self.worth |= worth
        self._asked_for = list(worth)

    def asked(self, name: str) -> None:
        kept = 1.0 - 1.0 / self._samples
        mix = self.mix
        for other in mix:
            mix[other] *= kept
        mix[name] += 1.0 / self._samples

    def ended(self, name: str, in_time: bool) -> None:
        self.in_time[name] += (in_time - self.in_time[name]) / self._samples

    def answered(self, name: str, delay_ms: float) -> None:
        mean_ms = self.delay_ms[name]
        self.delay_ms[name] += (delay_ms - mean_ms) / (self._samples if mean_ms else 1.0)

    def worst(self) -> float:
        """The least share answered in time."""
        return min(self.in_time[name] for name in self._asked_for)

    def mean_worth(self) -> float:
        """Of a request."""
        return sum(self.mix[name] * worth for name, worth in self.worth.items())
