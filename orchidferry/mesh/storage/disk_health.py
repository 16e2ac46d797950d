"""Detects whether a controller's disk keeps up with its writes."""

from __future__ import annotations

import threading

from loguru import logger

MAX_WRITE_WAIT_S = 0.6  # the disk counts as degraded once a write has waited for longer
# A degraded disk counts as healthy again once all writes waited `PROMPT_WRITE_S` at most for `RECOVERY_S`.
PROMPT_WRITE_S = 0.3
RECOVERY_S = 1.0


class DiskHealth:
    """The health of a disk: degraded from a failed or delayed write on, until writes are prompt for a while.

    The methods are called on the event loop; the store's thread reads `is_degraded` and is woken when that
    becomes true.

    :ivar is_degraded: whether the disk is degraded
    :ivar failing_since_s: since when commits have failed, in seconds of the loop's clock; 0 if the last one
        succeeded
    """

    def __init__(self, wake: threading.Condition) -> None:
        """:param wake: the condition on which the store's thread waits"""
        self.is_degraded = False
        self.failing_since_s = 0.0
        self._wake = wake
        self._prompt_since_s: float | None = None  # while degraded: since when all writes have been prompt

    def write_failed(self, problem: str, now_s: float) -> None:
        """Record that a commit has failed.

        :param problem: error text of the failed commit
        :param now_s: current time in seconds of the loop's clock
        """
        self.failing_since_s = self.failing_since_s or now_s
        self._set_degraded(f"commit failed, the disk is degraded: {problem}")

    def write_waits(self, waited_s: float) -> None:
        """Record how long the oldest pending write has waited.

        :param waited_s: its waiting time in seconds
        """
        if waited_s > MAX_WRITE_WAIT_S:
            self._set_degraded(f"a write has waited {waited_s:.1f} s, the disk is degraded")

    def write_done(self, waited_s: float, now_s: float) -> None:
        """Record that a commit has succeeded.

        :param waited_s: how long the oldest write of the commit had waited, in seconds
        :param now_s: current time in seconds of the loop's clock
        """
        self.failing_since_s = 0.0
        if not self.is_degraded:
            self.write_waits(waited_s)
        elif waited_s > PROMPT_WRITE_S:
            self._prompt_since_s = None
        elif self._prompt_since_s is None:
            self._prompt_since_s = now_s
        elif now_s - self._prompt_since_s >= RECOVERY_S:
            logger.info("store: the disk keeps up again")
            self.is_degraded = False
            self._prompt_since_s = None

    def _set_degraded(self, reason: str) -> None:
        self._prompt_since_s = None
        if self.is_degraded:
            return
        logger.warning("store: {}", reason)
        with self._wake:
            self.is_degraded = True
            self._wake.notify()
