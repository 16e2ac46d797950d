"""All current suspicions of a node, and their timers."""

from __future__ import annotations

from orchidferry.balancing.fleet.member_table import MemberTable
from orchidferry.balancing.fleet.members import Entry
from orchidferry.balancing.fleet.suspicion import Suspicion, Timing, bounds_ms
from orchidferry.balancing.fleet.timers import TimerKind, Timers

ROUNDING_MS = 0.01  # tolerance for the rounding of the caller's clock, which may make a tick early


class Suspicions:
    """Keeps one suspicion for each suspected member."""

    def __init__(self, table: MemberTable, timers: Timers, timing: Timing) -> None:
        self._table = table
        self._timers = timers
        self._timing = timing
        self.by_name: dict[str, Suspicion] = {}

    def begin(self, entry: Entry, now: float) -> None:
        """Begin to suspect a member."""
        min_ms, max_ms = bounds_ms(self._timing, self._table.size)
        needed = self._timing.confirmations
        if self._table.size - 2 < needed:
            needed = 0  # there are too few nodes to confirm it
        suspicion = Suspicion(now, min_ms, max_ms, needed, {entry.by})
        self.by_name[entry.name] = suspicion
        self._set_timer(entry.name, suspicion)

    def confirm(self, name: str, by: str) -> bool:
        """Record that one more node suspects a member; returns whether that shortens the suspicion."""
        suspicion = self.by_name.get(name)
        if suspicion is None or not by or not suspicion.confirm(by):
            return False
        self._set_timer(name, suspicion)
        return True

    def _set_timer(self, name: str, suspicion: Suspicion) -> None:
        self._timers.set(suspicion.ends_ms(), 0.0, TimerKind.SUSPICION_END, name)

    def end(self, name: str) -> None:
        """Stop suspecting a member."""
        self.by_name.pop(name, None)

    def is_over(self, name: str, now: float) -> bool:
        """Whether a suspected member has had its full time to refute the suspicion."""
        suspicion = self.by_name.get(name)
        # No further timer is set for this end, so allow for two roundings: the tick may be early by one, and
        # the end, to which `postpone` has added, may be late by up to another.
        return suspicion is not None and now + 2.0 * ROUNDING_MS >= suspicion.ends_ms()

    def postpone(self, by_ms: float) -> None:
        """Extend all suspicions by a time in which this node did not run."""
        for suspicion in self.by_name.values():
            suspicion.postpone(by_ms)
