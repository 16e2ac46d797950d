"""What goes into the membership and what comes out of it: messages between nodes, events and actions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from orchidferry.balancing.fleet.members import Entry, Phase

Address = tuple[str, int]


class Kind(Enum):
    """Of a message between two nodes."""

    PING = "ping"  # answer me: `number`
    ACK = "ack"  # I do, or whom you had me ask did
    NACK = "nack"  # whom you had me ask did not answer me either; but I am here
    ASK = "ask"  # ping `target` for me
    NEWS = "news"  # nothing but what rides on it
    STATE = "state"  # all that I know; tell me what you do
    WHOLE = "whole"  # the answer to that


@dataclass(slots=True)
class Message:
    """`to_life` names the process that it is for: one recorded before that process began is known by it."""

    kind: Kind
    sender: Entry
    to_life: int  # 0: the sender knows an address and no more
    serial: int  # counts all that this process sent: a copy is known by it
    number: int = 0  # of the probe
    target: Entry | None = None
    news: tuple[Entry, ...] = ()


# Events


@dataclass(frozen=True, slots=True)
class Begin:
    """Take part from now on."""


@dataclass(frozen=True, slots=True)
class Heard:
    """A message has come, proven to be from one who has the key."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """It is `due_ms`, or later."""


@dataclass(frozen=True, slots=True)
class Turned:
    """What this node says of itself has changed."""

    phase: Phase | None = None
    version: str | None = None


@dataclass(frozen=True, slots=True)
class Leave:
    """This node goes on purpose, now."""


Event = Begin | Heard | Tick | Turned | Leave


# Actions


@dataclass(frozen=True, slots=True)
class Datagram:
    """Send this, once; it may be lost."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Exchange:
    """Connect, send this, and hand in what is answered; it may fail."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Answer:
    """Write this on the connection that the message just handed in came by."""

    message: Message


@dataclass(frozen=True, slots=True)
class Changed:
    """The view has changed. `before`: None for a node not known till now; `after`: None for a forgotten
    one.
    """

    before: Entry | None
    after: Entry | None
    by: str  # whose word it was; this node's own name for what it found itself


@dataclass(frozen=True, slots=True)
class Keep:
    """What should outlast this process has changed: `Fleet.lasting` tells it."""


@dataclass(frozen=True, slots=True)
class Say:
    """A line for the operators."""

    text: str
    warning: bool = False


Action = Datagram | Exchange | Answer | Changed | Keep | Say
