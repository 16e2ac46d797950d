"""Requests whose servers make calls of their own: how many are let through while those are turned away.

A request that needs two calls of which each has an even chance costs more than it earns: half of the work
below is done for parents that fail all the same. So the parents are shed before they begin, by class: a PI
loop holds the share of them that fail for want of what is below to a target. No clock, no chance of its own.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

TARGET = 0.35  # share of a class's requests that may fail for what is below
KP = 0.5
KI_PER_S = 0.6
SAMPLES = 10.0  # requests over which that share is averaged
MOST = 0.95  # of them is shed at most: the rest keeps the measurement going
FADE_MS = 4_000.0  # with no outcome the shedding fades


@dataclass(slots=True)
class _Class:
    share: float = 0.0  # of failures for what is below, averaged
    excess: float = 0.0  # the integral
    last_ms: float = -math.inf


class Nested:
    """One node's view of one service."""

    def __init__(self) -> None:
        self._classes: dict[str, _Class] = {}

    def outcome(self, name: str, below: bool, now_ms: float) -> None:
        """A request of a class was served, or failed because calls of its server were turned away."""
        known = self._classes.get(name)
        if known is None:
            if not below:
                return  # nothing of the kind has ever been seen
            known = self._classes[name] = _Class()
        passed_s = min(max(0.0, now_ms - known.last_ms), 500.0) / 1000.0
        known.last_ms = now_ms
        known.share += (below - known.share) / SAMPLES
        error = known.share - TARGET
        known.excess = min(max(known.excess + KI_PER_S * error * passed_s, 0.0), MOST)
        if not known.excess and known.share < TARGET / 8.0:
            del self._classes[name]

    def shed(self, name: str, now_ms: float) -> float:
        """The share of a class's first sends that is better not begun.

        >>> nested = Nested()
        >>> for n in range(40): nested.outcome("a", True, n * 100.0)
        >>> nested.shed("a", 4_000.0) > 0.9, nested.shed("b", 4_000.0)
        (True, 0.0)
        """
        known = self._classes.get(name)
        if known is None:
            return 0.0
        wanted = min(max(known.excess + KP * (known.share - TARGET), 0.0), MOST)
        return wanted * math.exp(min(0.0, known.last_ms - now_ms) / FADE_MS)
