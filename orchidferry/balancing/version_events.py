"""What the versions of a configuration take as events, and the actions that they ask of a node."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.balancing.configuration import Configuration, Content, Part, Source

# Events


@dataclass(frozen=True, slots=True)
class Started:
    """The node starts, with the configuration of its file and the last good one if there is one."""

    file: Configuration
    saved: Configuration | None = None


@dataclass(frozen=True, slots=True)
class Offered:
    """The service offers a part. `content` is None if it can't be read or is empty: `problem` says why."""

    part: Part
    version: str
    nonce: str
    content: Content | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """The node has carried out `Apply`, or failed with a problem."""

    problem: str = ""


@dataclass(frozen=True, slots=True)
class StreamChanged:
    """The stream to the service came up or was lost: nonces are a stream's own."""

    up: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer that was set is due."""


Event = Started | Offered | Applied | StreamChanged | TimerFired


# Actions


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply this configuration completely, and report with `Applied`."""

    configuration: Configuration
    changed: frozenset[Part]
    source: Source


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer the service: an ACK, or with a reason a NACK. `version` is the one that is applied now."""

    part: Part
    version: str
    nonce: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Drain:
    """Send nothing new to these servers from now on; what is applied later says more of them."""

    servers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SaveLastGood:
    """Save this as the last good one."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Hand in `TimerFired` after `delay_ms`."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Apply | Answer | Drain | SaveLastGood | SetTimer | Log
