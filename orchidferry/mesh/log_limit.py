"""A rate limit for the log lines of a recurring event."""

from __future__ import annotations


class LogLimit:
    """Allows a number of lines per window; a window begins with the first line after the previous window."""

    __slots__ = ("_lines", "_max_lines", "_since_s", "_window_s")

    def __init__(self, max_lines: int, window_s: float) -> None:
        """:param max_lines: number of lines per window.

        :param window_s: length of a window, in seconds.
        """
        self._max_lines = max_lines
        self._window_s = window_s
        self._since_s = -window_s
        self._lines = 0

    def allows(self, now_s: float) -> bool:
        """Return whether one more line may be written.

        :param now_s: time by a monotonic clock, in seconds.
        """
        if now_s - self._since_s >= self._window_s:
            self._since_s = now_s
            self._lines = 0
        self._lines += 1
        return self._lines <= self._max_lines
