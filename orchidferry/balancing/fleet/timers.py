"""All timers of a membership in one heap, so that the caller needs a single timer."""

from __future__ import annotations

import heapq
from dataclasses import dataclass
from enum import Enum


class TimerKind(Enum):
    """The action that is due."""

    PROBE = "probe"
    INDIRECT_PROBE = "ask"
    PROBE_END = "judge"
    RELAY_END = "relay"
    SUSPICION_END = "suspect"
    GOSSIP = "gossip"
    SYNC = "sync"
    RECONNECT = "reach"
    FORGET = "forget"
    NAME_CONFLICT = "rival"
    LEAVE = "leave"


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that is due."""

    kind: TimerKind
    subject: int | str  # number of a probe, name of a member, or remaining number of leave announcements


class Timers:
    """Timers ordered by time; timers of the same time are ordered by when they were set."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = 0

    @property
    def due_ms(self) -> float:
        """The time of the next timer; infinite if there is none."""
        return self._heap[0][0] if self._heap else float("inf")

    def set(self, now: float, wait_ms: float, kind: TimerKind, subject: int | str = 0) -> None:
        """Set a timer `wait_ms` after `now`."""
        self._serial += 1
        heapq.heappush(self._heap, (now + wait_ms, self._serial, Timer(kind, subject)))

    def pop(self) -> Timer:
        """Remove the next timer and return it."""
        return heapq.heappop(self._heap)[2]

    def postpone(self, by_ms: float) -> None:
        """Postpone all timers."""
        self._heap = [(at + by_ms, serial, timer) for at, serial, timer in self._heap]

    def pending(self) -> list[tuple[float, Timer]]:
        """All timers that are set with their times, in no particular order."""
        return [(at, timer) for at, _, timer in self._heap]
