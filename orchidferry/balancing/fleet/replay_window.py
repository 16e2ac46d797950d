"""Detection of duplicate messages from one sender."""

from __future__ import annotations

WINDOW = 512  # serials behind the newest one of a sender: about 50 s of messages of a busy node


class ReplayWindow:
    """The received serials of a sender (the sliding window of RFC 4303, 3.4.3)."""

    __slots__ = ("_mask", "_top")

    def __init__(self) -> None:
        self._top = 0
        self._mask = 0

    def take(self, serial: int) -> bool:
        """Record a serial; returns whether it is new. A serial behind the window counts as a duplicate."""
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
