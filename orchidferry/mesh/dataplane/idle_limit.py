"""How long a connection to one server may be idle and be used again. Pure.

A server closes idle connections after the time that its `Keep-Alive` states, if it states one, and some
forget them sooner without a word: what is sent next is reset. For a request that may run at most once nobody
can make that good, so it goes only on a connection that was used a moment ago.

>>> limit = IdleLimit(7_000.0, 500.0)
>>> limit.allows(6_000.0, False, 0.0), limit.allows(6_000.0, True, 0.0), limit.allows(400.0, True, 0.0)
(True, False, True)
>>> limit.keep_alive_stated(b"timeout=4, max=100")
>>> limit.allows(2_700.0, False, 0.0), limit.allows(2_900.0, False, 0.0)
(True, False)
>>> limit.closed_after(1_000.0, 0.0)
>>> limit.allows(600.0, False, 1.0), limit.allows(600.0, False, 1.0 + OBSERVATION_VALID_MS)
(False, True)
"""

from __future__ import annotations

import math
import re

STATED_FRACTION = 0.7  # of the time that a server states: a request that crosses its close ends as a reset
OBSERVED_FRACTION = 0.5  # of the idle time after which a connection was found dead
MIN_OBSERVED_MS = 250.0  # a connection that died after less did not die of being idle
OBSERVATION_VALID_MS = 30_000.0
TIMEOUT = re.compile(rb"(?:^|[\s,;])timeout=([0-9]{1,6})(?![0-9])", re.IGNORECASE)


class IdleLimit:
    """The idle time that one server allows its connections, as far as it is known."""

    __slots__ = (
        "_at_most_once_ms",
        "_default_ms",
        "_keep_alive",
        "_max_idle_ms",
        "_observed_ms",
        "_observed_until_ms",
    )

    def __init__(self, default_ms: float, at_most_once_ms: float) -> None:
        """:param default_ms: the limit while nothing is known.

        :param at_most_once_ms: the limit for requests that may run at most once.
        """
        self._default_ms = default_ms
        self._at_most_once_ms = at_most_once_ms
        self._keep_alive = b""
        self._max_idle_ms = default_ms
        self._observed_ms = math.inf
        self._observed_until_ms = -math.inf

    def keep_alive_stated(self, header: bytes) -> None:
        """Take the value of the server's `Keep-Alive` header."""
        if header != self._keep_alive:
            self._keep_alive = header
            match = TIMEOUT.search(header)
            stated_ms = float(match[1]) * 1e3 if match is not None else math.inf
            self._max_idle_ms = min(self._default_ms, STATED_FRACTION * stated_ms)

    def closed_after(self, idle_ms: float, now_ms: float) -> None:
        """A connection that had been idle for so long was found dead."""
        if idle_ms < MIN_OBSERVED_MS:
            return
        if now_ms >= self._observed_until_ms:
            self._observed_ms = math.inf
        self._observed_ms = min(self._observed_ms, idle_ms)
        self._observed_until_ms = now_ms + OBSERVATION_VALID_MS

    def allows(self, idle_ms: float, at_most_once: bool, now_ms: float) -> bool:
        """Whether a connection that has been idle for so long may carry a request."""
        if idle_ms > self._max_idle_ms or (at_most_once and idle_ms > self._at_most_once_ms):
            return False
        return now_ms >= self._observed_until_ms or idle_ms <= OBSERVED_FRACTION * self._observed_ms
