"""SIGHUP from a process's first moment.

By default SIGHUP ends a process. A program that begins to handle it once its modules are imported, its
settings read and its stores opened is ended by one that comes while it starts. So this module imports nothing
that takes time.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType
from typing import Protocol


class SignalLoop(Protocol):
    """The part of an event loop that signals need."""

    def add_signal_handler(self, sig: int, callback: Callable[[], object]) -> None:
        """Call back on a signal from now on."""


class ReloadSignal:
    """Handles SIGHUP from when it is created; one that comes too early is kept until it can be served."""

    def __init__(self) -> None:
        self._requested = False
        signal.signal(signal.SIGHUP, self._keep)

    def _keep(self, number: int, frame: FrameType | None) -> None:
        self._requested = True

    def connect(self, loop: SignalLoop, reload: Callable[[], object]) -> None:
        """Have the settings reloaded on each SIGHUP from now on, and at once if one has come before."""
        loop.add_signal_handler(signal.SIGHUP, reload)
        if self._requested:
            self._requested = False
            reload()
