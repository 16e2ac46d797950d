"""Estimate of how long the process is currently delayed, from how late its recent timers ran. No I/O."""

from __future__ import annotations

HALF_LIFE_S = 1.0  # time in which the weight of an observation halves


class Lateness:
    """The greatest observed delay, which decays exponentially."""

    __slots__ = ("_greatest_s", "_observed_s")

    def __init__(self) -> None:
        self._greatest_s = 0.0
        self._observed_s = 0.0

    def observe(self, late_s: float, now: float) -> None:
        """Record an observation.

        :param late_s: how much later than planned a callback ran, in seconds.
        :param now: the current time of a monotonic clock, in seconds.
        """
        if late_s > self.recent_s(now):
            self._greatest_s = late_s
            self._observed_s = now

    def recent_s(self, now: float) -> float:
        """Return the decayed greatest delay, in seconds.

        :param now: the current time of the same clock as in `observe`, in seconds.
        """
        faded: float = self._greatest_s * 0.5 ** ((now - self._observed_s) / HALF_LIFE_S)
        return faded
