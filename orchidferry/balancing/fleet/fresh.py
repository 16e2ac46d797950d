"""What may be believed to be new, and how much of anything there may be a second. Pure."""

from __future__ import annotations

WINDOW = 512  # messages of one sender, back from its newest: some 50 s of a busy node's


class Window:
    """Which of a sender's messages have come (the sliding window of RFC 4303, 3.4.3)."""

    __slots__ = ("_mask", "_top")

    def __init__(self) -> None:
        self._top = 0
        self._mask = 0

    def take(self, serial: int) -> bool:
        """Whether this one is new; it is not from now on. One from before the window is taken for a copy."""
        ahead = serial - self._top
        if ahead > 0:
            self._mask = ((self._mask << ahead) | 1) & ((1 << WINDOW) - 1) if ahead < WINDOW else 1
            self._top = serial
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW or self._mask & bit:
            return False
        self._mask |= bit
        return True


class Credit:
    """So many a second, and so many at once (a token bucket)."""

    __slots__ = ("_at_ms", "_left", "_most", "_per_ms")

    def __init__(self, per_s: float, most: float) -> None:
        self._per_ms = per_s / 1000.0
        self._most = most
        self._left = most
        self._at_ms = 0.0

    def take(self, now_ms: float) -> bool:
        """Whether there is one left; it is used up then."""
        self._left = min(self._most, self._left + max(0.0, now_ms - self._at_ms) * self._per_ms)
        self._at_ms = now_ms
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
