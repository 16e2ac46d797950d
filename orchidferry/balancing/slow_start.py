"""Slow start: the capacity of a server that warms up, and the number of attempts it may get (rule 4)."""

from __future__ import annotations

from orchidferry.balancing import interface as api
from orchidferry.balancing.delay import DelayController
from orchidferry.balancing.records import Server
from orchidferry.balancing.server_set import ServerSet

SLOW_START_CHECK_MS = 10.0  # interval at which a warming server without tokens is checked again
BUDGET_SHARE = 0.5  # share of the overload allowed by the settings that all nodes together use


class SlowStart:
    """Applies the slow start settings to the measured load."""

    def __init__(self, settings: api.Settings, server_set: ServerSet, controller: DelayController) -> None:
        self.settings = settings
        self._server_set = server_set
        self._controller = controller

    def capacity_share(self, server: Server, now: float) -> float:
        """The share of its full capacity that a server is sure to have by now, up to 1."""
        settings = self.settings
        if server.started_ms is None or not settings.ramp_time_ms:
            return 1.0
        ramp = min(1.0, max(0.0, (now - server.started_ms) / settings.ramp_time_ms))
        return settings.start_capacity + (1.0 - settings.start_capacity) * ramp

    def available_tokens(self, server: Server, capacity_share: float, now: float) -> float:
        """The number of attempts that this node may send to a warming server now.

        The limit derives from the answer rate that a warm server of the same weight has.
        """
        weight = server.assigned_share
        answers_per_s = self._controller.answers.per_s()
        warm_per_ms = answers_per_s * weight / max(self._server_set.weight, weight) / 1000.0
        per_ms = BUDGET_SHARE * self.settings.overload_factor * capacity_share * warm_per_ms
        return server.slow_start_tokens.refill(per_ms, max(1.0, per_ms * self.settings.overload_for_ms), now)
