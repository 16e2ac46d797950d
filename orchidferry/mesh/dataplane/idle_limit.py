"""How long a connection to one server may rest and be used again. Pure.

A server closes idle connections after the time that its `Keep-Alive` states, if it states one, and some
forget them sooner without a word: what is sent next is reset. For a request that may run once nobody can make
that good, so it goes only on a connection that was used a moment ago.

>>> limit = IdleLimit(7_000.0, 500.0)
>>> limit.allows(6_000.0, False, 0.0), limit.allows(6_000.0, True, 0.0), limit.allows(400.0, True, 0.0)
(True, False, True)
>>> limit.states(b"timeout=4, max=100")
>>> limit.allows(2_700.0, False, 0.0), limit.allows(2_900.0, False, 0.0)
(True, False)
>>> limit.forgotten_after(1_000.0, 0.0)
>>> limit.allows(600.0, False, 1.0), limit.allows(600.0, False, 1.0 + FORGOTTEN_FOR_MS)
(False, True)
"""

from __future__ import annotations

import math
import re

STATED_SHARE = 0.7  # of the time that a server states: a request that crosses its close ends as a reset
FORGOTTEN_SHARE = 0.5  # of the time after which a connection was found dead
MIN_MS = 250.0  # a connection that died younger than this did not die of resting
FORGOTTEN_FOR_MS = 30_000.0  # what was found is believed for so long
TIMEOUT = re.compile(rb"(?:^|[\s,;])timeout=([0-9]{1,6})(?![0-9])", re.IGNORECASE)


class IdleLimit:
    """What is known of one server's patience with idle connections."""

    __slots__ = ("_found_ms", "_found_until_ms", "_longest_ms", "_most_ms", "_once_ms", "_stated")

    def __init__(self, most_ms: float, once_ms: float) -> None:
        """`most_ms`: where nothing is known; `once_ms`: for requests that may run once only."""
        self._most_ms = most_ms
        self._once_ms = once_ms
        self._stated = b""
        self._longest_ms = most_ms
        self._found_ms = math.inf
        self._found_until_ms = -math.inf

    def states(self, header: bytes) -> None:
        """The server's own word: the value of its `Keep-Alive`."""
        if header != self._stated:
            self._stated = header
            found = TIMEOUT.search(header)
            stated_ms = float(found[1]) * 1e3 if found is not None else math.inf
            self._longest_ms = min(self._most_ms, STATED_SHARE * stated_ms)

    def forgotten_after(self, idle_ms: float, now_ms: float) -> None:
        """A connection that had rested for so long was found dead."""
        if idle_ms < MIN_MS:
            return
        if now_ms >= self._found_until_ms:
            self._found_ms = math.inf
        self._found_ms = min(self._found_ms, idle_ms)
        self._found_until_ms = now_ms + FORGOTTEN_FOR_MS

    def allows(self, idle_ms: float, once: bool, now_ms: float) -> bool:
        """Whether a connection that has rested for so long may carry a request."""
        if idle_ms > self._longest_ms or (once and idle_ms > self._once_ms):
            return False
        return now_ms >= self._found_until_ms or idle_ms <= FORGOTTEN_SHARE * self._found_ms
