"""This node's share of the retry slack.

The nodes of a service may together send a ratio of its requests as retries, and beyond that a fixed number of
retries per retry window, the slack.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from orchidferry.mesh.settings import Bounds

SLACK_FRACTION = 0.4  # fraction of the slack that all nodes together use
# Divisor of each node's share, as nodes that have failed within the window may have used up their shares.
SPARE_NODES = 1.5


class RetrySlack:
    """The retry slack, which all nodes share equally.

    A node has no share until one retry window has passed since its start, as the retries of its previous
    process may still count.
    """

    def __init__(
        self, bounds: Bounds, loop: asyncio.AbstractEventLoop, on_available: Callable[[], None]
    ) -> None:
        """:param on_available: called when the node gets its share, if `retries` was called before."""
        self._bounds = bounds
        self._loop = loop
        self._on_available = on_available
        self._started_s = loop.time()
        self._timer_set = False
        self._nodes = 1  # the highest number of nodes so far

    def set_node_count(self, count: int) -> bool:
        """Set the number of nodes; return whether the node's share has changed.

        The share never grows, as nodes that are gone may have used up theirs.
        """
        if count <= self._nodes:
            return False
        self._nodes = count
        return self._available()

    def retries(self) -> float:
        """Return how many retries beyond the ratio this node may send within the retry window."""
        if self._available():
            return SLACK_FRACTION * self._bounds.retry_slack / (SPARE_NODES * max(1, self._nodes))
        if not self._timer_set:
            self._timer_set = True
            self._loop.call_later(self._bounds.retry_window_s, self._window_passed)
        return 0.0

    def _available(self) -> bool:
        return self._loop.time() - self._started_s >= self._bounds.retry_window_s

    def _window_passed(self) -> None:
        self._timer_set = False  # if the timer fired early, `retries` sets a new one
        self._on_available()
