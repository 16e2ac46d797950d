"""The events that a rollout processes, and the actions that it returns."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """The state of a rollout."""

    OFFERING = "offering"
    WATCHING = "watching"
    DONE = "done"
    ROLLING_BACK = "undoing"
    ROLLED_BACK = "undone"


@dataclass(frozen=True, slots=True)
class NodeMetrics:
    """The readiness of a node and the counts of its answers since its start, from its metrics endpoint."""

    ready: bool
    good: int
    failed: int


# Events


@dataclass(frozen=True, slots=True)
class Start:
    """Begin the rollout, to the nodes that have a stream."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeAnswered:
    """A node has acknowledged a version, or has refused it if a reason is given."""

    node: str
    version: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StreamsChanged:
    """The set of nodes with a stream has changed to this one."""

    nodes: frozenset[str]


@dataclass(frozen=True, slots=True)
class NodeObserved:
    """The metrics of a node; None if they are not available."""

    node: str
    metrics: NodeMetrics | None


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed; to be passed in every `TICK_MS`."""


@dataclass(frozen=True, slots=True)
class Abort:
    """The operator asks for a rollback, or has disconnected."""

    reason: str


Event = Start | NodeAnswered | StreamsChanged | NodeObserved | Tick | Abort


# Actions


@dataclass(frozen=True, slots=True)
class Offer:
    """Offer the version to these nodes."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Accept:
    """Make the version the current one of all nodes, including nodes that connect later."""


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Offer these nodes their previous version again."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """Report a line of text to the operator."""

    state: State
    text: str


Action = Offer | Accept | Withdraw | Report
