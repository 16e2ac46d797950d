"""The state of a run: its progress while it is under way, and its result."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.record import Fact
from orchidferry.testkit.world.plan import Plan


class RunAbortedError(OrchidferryError):
    """The run can't be continued; the text names the reason."""


@dataclass
class Progress:
    """The progress of a run, updated while it is under way; `t` is seconds since the load began."""

    phase: str = "starting"
    t: float = 0.0
    asked: int = 0
    served: int = 0
    open: int = 0
    incidents: list[tuple[float, float, str]] = field(default_factory=list)


@dataclass
class Run:
    """The result of a run: its plan, its record and what was collected at its end."""

    plan: Plan
    facts: list[Fact]
    start: float  # of the load, in seconds of the record's clock
    end: float  # of the record
    complete: bool
    why: str = ""  # it is not complete
    interrupted: bool = False
    nodes_cpu_s: float = 0.0
    processes: int = 0
    notes: list[str] = field(default_factory=list)
    control: dict[str, Any] | None = None  # the result of the control service, if there was one
    journals: dict[str, list[str]] = field(
        default_factory=dict
    )  # the nodes' journals of their fleet, by node
    zero: float = 0.0  # the record's zero on the monotonic clock, in seconds
