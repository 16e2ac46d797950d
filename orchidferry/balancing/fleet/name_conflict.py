"""Two processes with one name: a newcomer takes a name over only from a process that does not answer."""

from __future__ import annotations

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.members import Entry
from orchidferry.balancing.fleet.outbox import Outbox
from orchidferry.balancing.fleet.suspicion import Timing
from orchidferry.balancing.fleet.timers import TimerKind, Timers

MAX_ATTEMPTS = 3  # pings that the other process may leave unanswered
RECHECK_MS = 5_000.0  # between pings of one that lives


class NameConflict:
    """The other process with this node's name, while there is one: this node is passive as long."""

    def __init__(self, outbox: Outbox, timers: Timers, timing: Timing) -> None:
        self._outbox = outbox
        self._timers = timers
        self._timing = timing
        self.other: Entry | None = None
        self.attempts = 0  # pings without an answer
        self.contested = False  # the other process lives
        self._answered = False

    def begin(self, other: Entry, now: float) -> None:
        """Another process has this name, or the other one has a newer entry."""
        if self.other is None:
            self._answered = False
            self.attempts = 0
            self._timers.set(now, 0.0, TimerKind.NAME_CONFLICT)
        self.other = other

    def end(self) -> None:
        """The other process is gone."""
        self.other = None
        self.contested = False

    def heard_from(self, life: int) -> None:
        """A process with this node's name has answered."""
        if self.other is not None and life == self.other.life:
            self._answered = True

    def check(self, now: float) -> Entry | None:
        """Ping the other process; it is returned once it has left too many unanswered: the name is free."""
        other = self.other
        if other is None:
            return None
        if self._answered:
            self._answered = False
            self.attempts = 0
            if not self.contested:
                self.contested = True
                text = f"another living process at {other.host}:{other.port} is called {other.name}"
                self._outbox.actions.append(api.Log(f"{text}; this one stays aside", True))
        elif self.attempts >= MAX_ATTEMPTS:
            if self.contested:
                text = f"the other process called {other.name} is gone; this one takes part"
                self._outbox.actions.append(api.Log(text))
            self.end()
            return other
        self.attempts += 1
        self._outbox.ping_address((other.host, other.port), other.life)
        wait_ms = RECHECK_MS if self.contested else self._timing.timeout_ms
        self._timers.set(now, wait_ms, TimerKind.NAME_CONFLICT)
        return None
