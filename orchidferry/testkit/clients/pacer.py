"""Precise waits by timerfd (timerfd_create(2)), as event loops round theirs to milliseconds.

At a thousand requests a second a millisecond is the whole gap between two of them.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import os
import time

CLOCK_MONOTONIC = 1
TFD_TIMER_ABSTIME = 1
_libc = ctypes.CDLL(None, use_errno=True)


class _TimerSpec(ctypes.Structure):
    """struct itimerspec: interval, then value."""

    _fields_ = tuple((name, ctypes.c_long) for name in ("interval_s", "interval_ns", "value_s", "value_ns"))


class Pacer:
    """Waits for points in time, one wait at a time. Its owner closes it."""

    def __init__(self) -> None:
        """Create a timer; must be called in the event loop.

        :raises OSError: if the kernel gives none
        """
        self._fd = _libc.timerfd_create(CLOCK_MONOTONIC, os.O_NONBLOCK | os.O_CLOEXEC)
        if self._fd < 0:
            raise OSError(ctypes.get_errno(), "timerfd_create")
        self._loop = asyncio.get_running_loop()
        self._expired: asyncio.Future[None] | None = None
        self._loop.add_reader(self._fd, self._on_expired)

    def _on_expired(self) -> None:
        with contextlib.suppress(BlockingIOError):
            os.read(self._fd, 8)
        if self._expired is not None and not self._expired.done():
            self._expired.set_result(None)

    async def until(self, t: float) -> None:
        """Wait until a time of the monotonic clock; returns at once if it has passed.

        :raises OSError: if the timer can't be set
        """
        if t <= time.monotonic():
            return
        seconds = int(t)
        spec = _TimerSpec(0, 0, seconds, max(1, round((t - seconds) * 1e9)))
        if _libc.timerfd_settime(self._fd, TFD_TIMER_ABSTIME, ctypes.byref(spec), None):
            raise OSError(ctypes.get_errno(), "timerfd_settime")
        self._expired = self._loop.create_future()
        await self._expired

    def close(self) -> None:
        """Release the timer; a wait in progress is cancelled."""
        if self._fd >= 0:
            self._loop.remove_reader(self._fd)
            os.close(self._fd)
            self._fd = -1
        if self._expired is not None:
            self._expired.cancel()
