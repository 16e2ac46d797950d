"""Servers that have just started: how warm they are, and what they get by the stated budget (rule 4)."""

from __future__ import annotations

from orchidferry.balancing import interface as api
from orchidferry.balancing.delay import DelayController
from orchidferry.balancing.judgement import Server
from orchidferry.balancing.listing import Fleet

COLD_CHECK_MS = 10.0  # how soon a cold server without budget is looked at again
COLD_SHARE = 0.5  # of the stated cold budget that all copies together use


class ColdStart:
    """The settings on cold servers, applied to what is measured."""

    def __init__(self, settings: api.Settings, fleet: Fleet, controller: DelayController) -> None:
        self.settings = settings
        self._fleet = fleet
        self._controller = controller

    def warmth(self, server: Server, now: float) -> float:
        """The share of its capacity that a server surely has by now."""
        settings = self.settings
        if server.started_ms is None or not settings.ramp_time_ms:
            return 1.0
        ramp = min(1.0, max(0.0, (now - server.started_ms) / settings.ramp_time_ms))
        return settings.start_capacity + (1.0 - settings.start_capacity) * ramp

    def tokens(self, server: Server, warmth: float, now: float) -> float:
        """This copy's part of a cold server's budget, in attempts; its capacity is guessed from its peers."""
        part = server.part
        all_s = self._controller.answers.per_s()
        bearable = all_s * part / max(self._fleet.weight, part) / 1000.0
        per_ms = COLD_SHARE * self.settings.overload_factor * warmth * bearable
        return server.budget.refill(per_ms, max(1.0, per_ms * self.settings.overload_for_ms), now)
