"""Zone-aware routing: the preference for servers in the node's own zone.

Traffic between zones is costly, and queueing is costlier: the preference falls at once when requests queue at
the servers of the zone, and rises again after a while.
"""

from __future__ import annotations

import math

from orchidferry.node.clock import now_ms

# Weight of a server in the same zone, by the average queue length up to which it applies.
WEIGHTS = ((0.02, 4.0), (0.1, 2.0), (math.inf, 1.0))
AVERAGED_RESPONSES = 20.0  # number of responses over which the queue length is averaged
MIN_RISE_INTERVAL_MS = 2_000.0  # the weight rises only this long after its last change


class ZonePreference:
    """The weight of servers in the same zone; servers in other zones have weight 1."""

    __slots__ = ("_changed_ms", "_queue_length", "weight")

    def __init__(self) -> None:
        self.weight = WEIGHTS[0][1]
        self._changed_ms = -math.inf
        self._queue_length = 0.0  # moving average

    def observe(self, queue_length: float) -> bool:
        """Record the queue length that a server in the same zone has reported.

        :returns: whether the weight has changed.
        """
        self._queue_length += (queue_length - self._queue_length) / AVERAGED_RESPONSES
        weight = next(weight for limit, weight in WEIGHTS if self._queue_length <= limit)
        rises = weight > self.weight and now_ms() > self._changed_ms + MIN_RISE_INTERVAL_MS
        if weight < self.weight or rises:
            self.weight = weight
            self._changed_ms = now_ms()
            return True
        return False
