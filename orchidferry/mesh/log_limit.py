"""A limit on how many log lines a recurring event may write."""

from __future__ import annotations


class LogLimit:
    """Allows so many lines in a window; a window begins with the first line after the last one has ended."""

    __slots__ = ("_lines", "_max_lines", "_since_s", "_window_s")

    def __init__(self, max_lines: int, window_s: float) -> None:
        """:param window_s: length of a window, in seconds."""
        self._max_lines = max_lines
        self._window_s = window_s
        self._since_s = -window_s
        self._lines = 0

    def allows(self, now_s: float) -> bool:
        """Return whether one more line may be written.

        :param now_s: time by a steady clock, in seconds.
        """
        if now_s - self._since_s >= self._window_s:
            self._since_s = now_s
            self._lines = 0
        self._lines += 1
        return self._lines <= self._max_lines
