"""How long a connection to one server may be idle and still be reused. Pure: no I/O; times are passed in.

A server closes idle connections after the time that its `Keep-Alive` header states, if it sends one. Some
drop them sooner without closing them, so that the next request is reset. An at-most-once request that is lost
that way can't be retried, so it is sent only on a connection that was used recently.

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

# Usable fraction of the idle time that a server states: a request that is in transit when the server closes
# the connection is reset.
STATED_FRACTION = 0.7
OBSERVED_FRACTION = 0.5  # usable fraction of the idle time after which a connection was found closed
MIN_OBSERVED_MS = 250.0  # a connection that was lost after a shorter idle time was not closed for being idle
OBSERVATION_VALID_MS = 30_000.0  # time after which an observation no longer counts
KEEP_ALIVE_TIMEOUT = re.compile(rb"(?:^|[\s,;])timeout=([0-9]{1,6})(?![0-9])", re.IGNORECASE)


class IdleLimit:
    """The limit on the idle time of connections to one server."""

    __slots__ = (
        "_at_most_once_ms",
        "_default_ms",
        "_keep_alive",
        "_max_idle_ms",
        "_observed_ms",
        "_observed_until_ms",
    )

    def __init__(self, default_ms: float, at_most_once_ms: float) -> None:
        """:param default_ms: upper bound of the limit, used while nothing is known of the server.

        :param at_most_once_ms: upper bound of the limit for at-most-once requests.
        """
        self._default_ms = default_ms
        self._at_most_once_ms = at_most_once_ms
        self._keep_alive = b""  # last value of the `Keep-Alive` header
        self._max_idle_ms = default_ms
        self._observed_ms = math.inf  # the shortest idle time after which a connection was found closed
        self._observed_until_ms = -math.inf  # time until which the observation counts

    def keep_alive_stated(self, header: bytes) -> None:
        """Handle the value of the server's `Keep-Alive` header."""
        if header != self._keep_alive:
            self._keep_alive = header
            match = KEEP_ALIVE_TIMEOUT.search(header)
            stated_ms = float(match[1]) * 1e3 if match is not None else math.inf
            self._max_idle_ms = min(self._default_ms, STATED_FRACTION * stated_ms)

    def closed_after(self, idle_ms: float, now_ms: float) -> None:
        """Record that a connection was found closed after being idle for `idle_ms`."""
        if idle_ms < MIN_OBSERVED_MS:
            return
        if now_ms >= self._observed_until_ms:
            self._observed_ms = math.inf
        self._observed_ms = min(self._observed_ms, idle_ms)
        self._observed_until_ms = now_ms + OBSERVATION_VALID_MS

    def allows(self, idle_ms: float, at_most_once: bool, now_ms: float) -> bool:
        """Whether a connection that has been idle for `idle_ms` may carry a request."""
        if idle_ms > self._max_idle_ms or (at_most_once and idle_ms > self._at_most_once_ms):
            return False
        return now_ms >= self._observed_until_ms or idle_ms <= OBSERVED_FRACTION * self._observed_ms
