"""How much more of the requests the servers of the node's own zone are given.

Bytes between zones are dear, and waiting is dearer: the preference falls as requests queue before these
servers, at once, and rises again after a while.
"""

from __future__ import annotations

import math

from orchidferry.node.clock import now_ms

# Weight of a server of the same zone, by the queue length (averaged) up to which it applies.
WEIGHTS = ((0.02, 4.0), (0.1, 2.0), (math.inf, 1.0))
AVERAGED_RESPONSES = 20.0
MIN_RISE_INTERVAL_MS = 2_000.0


class ZonePreference:
    """The weight of servers of the same zone, those of other zones having 1."""

    __slots__ = ("_changed_ms", "_queue_length", "weight")

    def __init__(self) -> None:
        self.weight = WEIGHTS[0][1]
        self._changed_ms = -math.inf
        self._queue_length = 0.0

    def observe(self, queue_length: float) -> bool:
        """Take the queue length that a server of the zone has reported; whether the weight has changed."""
        self._queue_length += (queue_length - self._queue_length) / AVERAGED_RESPONSES
        weight = next(weight for limit, weight in WEIGHTS if self._queue_length <= limit)
        rises = weight > self.weight and now_ms() > self._changed_ms + MIN_RISE_INTERVAL_MS
        if weight < self.weight or rises:
            self.weight = weight
            self._changed_ms = now_ms()
            return True
        return False
