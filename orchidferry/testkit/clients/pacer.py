"""Precise waits with timerfd_create(2), as the timers of event loops are rounded to milliseconds.

At a thousand requests per second, a millisecond is the whole interval between two requests.
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
    """The C structure itimerspec: the interval, then the initial expiration (value)."""

    _fields_ = tuple((name, ctypes.c_long) for name in ("interval_s", "interval_ns", "value_s", "value_ns"))


class Pacer:
    """Waits for points in time, one wait at a time. The owner must call `close`."""

    def __init__(self) -> None:
        """Create a timer; must be called in a running event loop.

        :raises OSError: if the kernel cannot create the timer
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
        """Wait until `t`, in seconds on the monotonic clock; return at once if that time has passed.

        :raises OSError: if the timer cannot be set
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
