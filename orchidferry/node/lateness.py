"""How late a process lately was at what it had planned: for so long it waits for a core. Pure."""

from __future__ import annotations

HALF_LIFE_S = 1.0  # in which an old observation halves


class Lateness:
    """The greatest observed delay, which fades with time."""

    __slots__ = ("_greatest_s", "_observed_s")

    def __init__(self) -> None:
        self._greatest_s = 0.0
        self._observed_s = 0.0

    def observe(self, late_s: float, now: float) -> None:
        """Take an observation.

        :param late_s: how much later than planned something ran, in seconds.
        :param now: in seconds of one steady clock.
        """
        if late_s > self.recent_s(now):
            self._greatest_s = late_s
            self._observed_s = now

    def recent_s(self, now: float) -> float:
        """Return for how long the process may be held up now, by what was observed, in seconds."""
        faded: float = self._greatest_s * 0.5 ** ((now - self._observed_s) / HALF_LIFE_S)
        return faded
