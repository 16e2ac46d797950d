"""What is known of a run: its progress while it plays, and what is left of it."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.record import Fact
from orchidferry.testkit.world.plan import Plan


class RunAbortedError(OrchidferryError):
    """The run can't go on; the text says why."""


@dataclass
class Progress:
    """What a watcher is shown, as it changes."""

    phase: str = "starting"
    t: float = 0.0
    asked: int = 0
    served: int = 0
    open: int = 0
    incidents: list[tuple[float, float, str]] = field(default_factory=list)


@dataclass
class Run:
    """What is left of a run: its script and its record."""

    plan: Plan
    facts: list[Fact]
    start: float  # of the load, on the record's clock
    end: float  # up to when it is recorded
    complete: bool
    why: str = ""  # it is not
    interrupted: bool = False
    nodes_cpu_s: float = 0.0
    processes: int = 0
    notes: list[str] = field(default_factory=list)
    control: dict[str, Any] | None = None  # what became of the versions, where a control service sent any
    journals: dict[str, list[str]] = field(default_factory=dict)  # what nodes wrote of their fleet, by name
    zero: float = 0.0  # of the record's clock, by time.monotonic
