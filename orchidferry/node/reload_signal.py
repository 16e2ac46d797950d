"""Handling of SIGHUP from the very start of a process.

By default SIGHUP ends a process. A program that installs its handler only after it has imported its modules,
read its settings and opened its stores is ended by a SIGHUP that arrives during startup. This module
therefore imports nothing that takes time.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType
from typing import Protocol


class SignalLoop(Protocol):
    """The part of an event loop's interface that handles signals."""

    def add_signal_handler(self, sig: int, callback: Callable[[], object]) -> None:
        """Call a function on each signal of this number."""


class ReloadSignal:
    """Handles SIGHUP from its creation on; an early signal is remembered until a reload is possible."""

    def __init__(self) -> None:
        self._requested = False
        signal.signal(signal.SIGHUP, self._keep)

    def _keep(self, number: int, frame: FrameType | None) -> None:
        self._requested = True

    def connect(self, loop: SignalLoop, reload: Callable[[], object]) -> None:
        """Call `reload` on each SIGHUP from now on, and at once if SIGHUP has arrived before."""
        loop.add_signal_handler(signal.SIGHUP, reload)
        if self._requested:
            self._requested = False
            reload()
