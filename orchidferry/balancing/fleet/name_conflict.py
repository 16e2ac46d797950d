"""Conflicts of two processes with one name: a new process takes over a name only if the other is silent."""

from __future__ import annotations

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.members import Entry
from orchidferry.balancing.fleet.outbox import Outbox
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.balancing.fleet.timers import TimerKind, Timers

MAX_ATTEMPTS = 3  # unanswered pings after which the other process is taken to be gone
RECHECK_MS = 5_000.0  # interval between pings of another process that is alive


class NameConflict:
    """Tracks another process with this node's name; this node is passive while there is one."""

    def __init__(self, outbox: Outbox, timers: Timers, timing: Timing) -> None:
        self._outbox = outbox
        self._timers = timers
        self._timing = timing
        self.other: Entry | None = None
        self.attempts = 0  # consecutive unanswered pings
        self.contested = False  # whether the other process is known to be alive
        self._answered = False

    def begin(self, other: Entry, now: float) -> None:
        """Record another process with this name, or a newer entry of it."""
        if self.other is None:
            self._answered = False
            self.attempts = 0
            self._timers.set(now, 0.0, TimerKind.NAME_CONFLICT)
        self.other = other

    def end(self) -> None:
        """Record that the other process is gone."""
        self.other = None
        self.contested = False

    def heard_from(self, life: int) -> None:
        """Record an answer of a process with this node's name."""
        if self.other is not None and life == self.other.life:
            self._answered = True

    def check(self, now: float) -> Entry | None:
        """Ping the other process; returns its entry if it is taken to be gone, which frees the name."""
        other = self.other
        if other is None:
            return None
        if self._answered:
            self._answered = False
            self.attempts = 0
            if not self.contested:
                self.contested = True
                text = f"another living process at {other.host}:{other.port} has the name {other.name}"
                self._outbox.actions.append(api.Log(f"{text}; this one stays passive", True))
        elif self.attempts >= MAX_ATTEMPTS:
            if self.contested:
                text = f"the other process with the name {other.name} is gone; this one joins the fleet"
                self._outbox.actions.append(api.Log(text))
            self.end()
            return other
        self.attempts += 1
        self._outbox.ping_address((other.host, other.port), other.life)
        wait_ms = RECHECK_MS if self.contested else self._timing.timeout_ms
        self._timers.set(now, wait_ms, TimerKind.NAME_CONFLICT)
        return None
