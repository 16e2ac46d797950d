"""What a rollout takes as events, and the actions that it asks for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class State(Enum):
    """Where a rollout is."""

    OFFERING = "offering"
    WATCHING = "watching"
    DONE = "done"
    ROLLING_BACK = "undoing"
    ROLLED_BACK = "undone"


@dataclass(frozen=True, slots=True)
class NodeMetrics:
    """Whether a node is ready, and all its answers since its start, as its operators' endpoint says."""

    ready: bool
    good: int
    failed: int


# Events


@dataclass(frozen=True, slots=True)
class Start:
    """Begin, with the nodes that have a stream."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeAnswered:
    """A node has answered an offer: with a reason it refused the version, without one it acknowledged."""

    node: str
    version: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class StreamsChanged:
    """The nodes that have a stream now."""

    nodes: frozenset[str]


@dataclass(frozen=True, slots=True)
class NodeObserved:
    """The metrics of a node; None: they can't be had."""

    node: str
    metrics: NodeMetrics | None


@dataclass(frozen=True, slots=True)
class Tick:
    """Some time has passed; due every `TICK_MS`."""


@dataclass(frozen=True, slots=True)
class Abort:
    """The operator wants it rolled back, or has gone."""

    reason: str


Event = Start | NodeAnswered | StreamsChanged | NodeObserved | Tick | Abort


# Actions


@dataclass(frozen=True, slots=True)
class Offer:
    """Offer the version to these nodes."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Accept:
    """The version is every node's from now on, also of nodes that come later."""


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Offer these nodes the version that they had before."""

    nodes: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class Report:
    """A line for the operator."""

    state: State
    text: str


Action = Offer | Accept | Withdraw | Report
