"""Whether a controller's disk keeps up with its writes."""

from __future__ import annotations

import threading

from loguru import logger

MAX_WRITE_WAIT_S = 0.6  # a write that has waited for so long: the disk is ailing
# well again once no write has waited longer than this, for so long
PROMPT_WRITE_S = 0.3
RECOVERY_S = 1.0


class DiskHealth:
    """Ailing from a failed or long delayed write on, until writes have been prompt for a while.

    Its methods are called on the loop; the store's thread reads `ailing` and is woken when it begins.
    """

    def __init__(self, wake: threading.Condition) -> None:
        self.ailing = False
        self.failing_since_s = 0.0  # when the disk last began to refuse writes; 0: it does not
        self._wake = wake
        self._prompt_since_s: float | None = None  # while ailing: since when all writes were prompt

    def write_failed(self, problem: str, now_s: float) -> None:
        """A commit has failed."""
        self.failing_since_s = self.failing_since_s or now_s
        self._begin_ailing(f"the disk refuses writes: {problem}")

    def write_waits(self, waited_s: float) -> None:
        """The oldest write has waited for so long, and still does."""
        if waited_s > MAX_WRITE_WAIT_S:
            self._begin_ailing(f"a write has waited {waited_s:.1f} s")

    def write_done(self, waited_s: float, now_s: float) -> None:
        """A commit has succeeded; its oldest write had waited for so long."""
        self.failing_since_s = 0.0
        if not self.ailing:
            self.write_waits(waited_s)
        elif waited_s > PROMPT_WRITE_S:
            self._prompt_since_s = None
        elif self._prompt_since_s is None:
            self._prompt_since_s = now_s
        elif now_s - self._prompt_since_s >= RECOVERY_S:
            logger.info("store: the disk keeps up again")
            self.ailing = False
            self._prompt_since_s = None

    def _begin_ailing(self, reason: str) -> None:
        self._prompt_since_s = None
        if self.ailing:
            return
        logger.warning("store: {}", reason)
        with self._wake:
            self.ailing = True
            self._wake.notify()
