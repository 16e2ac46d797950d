"""The suspicions that a node has of others, and their timers."""

from __future__ import annotations

from orchidferry.balancing.fleet.member_table import MemberTable
from orchidferry.balancing.fleet.members import Entry
from orchidferry.balancing.fleet.suspicion import Suspicion, Timing, bounds_ms
from orchidferry.balancing.fleet.timers import TimerKind, Timers

ROUNDING_MS = 0.01  # what a caller's clock loses in other units: a tick that came in time is not too early


class Suspicions:
    """One suspicion for each member that is suspected."""

    def __init__(self, table: MemberTable, timers: Timers, timing: Timing) -> None:
        self._table = table
        self._timers = timers
        self._timing = timing
        self.by_name: dict[str, Suspicion] = {}

    def begin(self, entry: Entry, now: float) -> None:
        """Suspect a member from now on."""
        min_ms, max_ms = bounds_ms(self._timing, self._table.size)
        wanted = self._timing.confirmations
        if self._table.size - 2 < wanted:
            wanted = 0  # too few that could confirm
        suspicion = Suspicion(now, min_ms, max_ms, wanted, {entry.by})
        self.by_name[entry.name] = suspicion
        self._set_timer(entry.name, suspicion)

    def confirm(self, name: str, by: str) -> bool:
        """One more node suspects a member; whether that shortens the suspicion."""
        suspicion = self.by_name.get(name)
        if suspicion is None or not by or not suspicion.confirm(by):
            return False
        self._set_timer(name, suspicion)
        return True

    def _set_timer(self, name: str, suspicion: Suspicion) -> None:
        self._timers.set(suspicion.ends_ms(), 0.0, TimerKind.SUSPICION_END, name)

    def end(self, name: str) -> None:
        """The member is not suspected any more."""
        self.by_name.pop(name, None)

    def is_over(self, name: str, now: float) -> bool:
        """Whether a suspected member had its time to refute the suspicion."""
        suspicion = self.by_name.get(name)
        # No other timer is set for this end: a tick may be early by one rounding, the end that `postpone`
        # summed up late by less than another.
        return suspicion is not None and now + 2.0 * ROUNDING_MS >= suspicion.ends_ms()

    def postpone(self, by_ms: float) -> None:
        """This node did not run for so long: all have that much longer to refute."""
        for suspicion in self.by_name.values():
            suspicion.postpone(by_ms)
