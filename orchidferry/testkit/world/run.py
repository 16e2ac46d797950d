"""The state of a run: its progress while it is under way, and its result."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.record import Fact
from orchidferry.testkit.world.plan import Plan


class RunAbortedError(OrchidferryError):
    """The run was aborted; the text gives the reason."""


@dataclass
class Progress:
    """The progress of a run, updated while it is under way."""

    phase: str = "starting"
    t: float = 0.0  # seconds since the load began
    asked: int = 0  # client requests made, retries not counted
    served: int = 0  # client requests served
    open: int = 0  # client requests that have not ended
    incidents: list[tuple[float, float, str]] = field(default_factory=list)  # start, end, description


@dataclass
class Run:
    """The result of a run: its plan, its record and what was collected at its end."""

    plan: Plan
    facts: list[Fact]
    start: float  # when the load began, in seconds on the record's clock
    end: float  # when the record ends, on the same clock
    complete: bool  # whether all clients finished
    why: str = ""  # reason why the run is not complete; empty if it is
    interrupted: bool = False  # whether a signal ended the run
    nodes_cpu_s: float = 0.0  # CPU time of all nodes
    processes: int = 0  # number of processes of nodes, clients and servers
    notes: list[str] = field(default_factory=list)  # error lines from the nodes' logs
    control: dict[str, Any] | None = None  # result of the control service; None if there was none
    journals: dict[str, list[str]] = field(
        default_factory=dict
    )  # lines of the nodes' journals of fleet membership, by node
    zero: float = 0.0  # the record's zero on the monotonic clock, in seconds
