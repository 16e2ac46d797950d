"""The events that `versions.Versions` processes, and the actions that it returns to the node."""

from __future__ import annotations

from dataclasses import dataclass

from orchidferry.balancing.configuration import Configuration, Content, Part, Source

# Events


@dataclass(frozen=True, slots=True)
class Started:
    """The node starts, with the configuration of its file and, if there is one, the last good one on disk."""

    file: Configuration
    saved: Configuration | None = None


@dataclass(frozen=True, slots=True)
class Offered:
    """The service offers a part of the configuration.

    :param part: the part that is offered.
    :param version: the version of the part, an opaque text.
    :param nonce: identifies this offer on the current stream.
    :param content: the part itself; None if it is unreadable or empty.
    :param problem: the reason why there is no content.
    """

    part: Part
    version: str
    nonce: str
    content: Content | None
    problem: str = ""


@dataclass(frozen=True, slots=True)
class Applied:
    """The node has carried out `Apply`, or has failed to if a problem is given."""

    problem: str = ""


@dataclass(frozen=True, slots=True)
class StreamChanged:
    """The stream to the service was opened or lost; nonces are valid on one stream only."""

    up: bool


@dataclass(frozen=True, slots=True)
class TimerFired:
    """The timer set by `SetTimer` has fired."""


Event = Started | Offered | Applied | StreamChanged | TimerFired


# Actions


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply this configuration completely, then report `Applied`."""

    configuration: Configuration
    changed: frozenset[Part]
    source: Source


@dataclass(frozen=True, slots=True)
class Answer:
    """Answer an offer: an ACK or, if a reason is given, a NACK. `version` is the version in force."""

    part: Part
    version: str
    nonce: str
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Drain:
    """Send no new requests to these servers, until a configuration that is applied later says otherwise."""

    servers: tuple[int, ...]


@dataclass(frozen=True, slots=True)
class SaveLastGood:
    """Save this configuration to disk as the last good one."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Pass in `TimerFired` after `delay_ms`."""

    delay_ms: float


@dataclass(frozen=True, slots=True)
class Log:
    """Log a line for operators."""

    text: str


Action = Apply | Answer | Drain | SaveLastGood | SetTimer | Log
