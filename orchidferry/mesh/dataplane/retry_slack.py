"""The node's part of the retries that a service's nodes may send beyond a ratio of its requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from orchidferry.mesh.settings import Bounds

SLACK_FRACTION = 0.4  # of the slack, over all nodes
SPARE_NODES = 1.5  # nodes that may have died with what they had spent, over those that live


class RetrySlack:
    """The slack that all nodes of a service share in equal parts.

    A node has none until a retry window has passed since its start, as what its former incarnation spent
    may still count.
    """

    def __init__(
        self, bounds: Bounds, loop: asyncio.AbstractEventLoop, on_available: Callable[[], None]
    ) -> None:
        """`on_available` is called when the node has its part, if it was asked for before."""
        self._bounds = bounds
        self._loop = loop
        self._on_available = on_available
        self._started_s = loop.time()
        self._timer_set = False
        self._nodes = 1

    def set_node_count(self, count: int) -> bool:
        """Take how many nodes there are; whether the node's part has changed.

        The part never grows: nodes that are gone may have died with what they had spent.
        """
        if count <= self._nodes:
            return False
        self._nodes = count
        return self._available()

    def retries(self) -> float:
        """Retries that this node may send within the retry window, beyond the ratio."""
        if self._available():
            return SLACK_FRACTION * self._bounds.retry_slack / (SPARE_NODES * max(1, self._nodes))
        if not self._timer_set:
            self._timer_set = True
            self._loop.call_later(self._bounds.retry_window_s, self._window_passed)
        return 0.0

    def _available(self) -> bool:
        return self._loop.time() - self._started_s >= self._bounds.retry_window_s

    def _window_passed(self) -> None:
        self._timer_set = False  # a timer that is early sets another
        self._on_available()
