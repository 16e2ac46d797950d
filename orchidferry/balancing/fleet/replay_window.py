"""Which messages of a sender are new."""

from __future__ import annotations

WINDOW = 512  # messages of one sender, back from its newest: some 50 s of a busy node's


class ReplayWindow:
    """The serials of a sender that were received (the sliding window of RFC 4303, 3.4.3)."""

    __slots__ = ("_mask", "_top")

    def __init__(self) -> None:
        self._top = 0
        self._mask = 0

    def take(self, serial: int) -> bool:
        """Whether this serial is new; it is not from now on. One from before the window counts as a copy."""
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
