"""What a membership exchanges: messages between nodes, events that it takes and actions that it asks for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from orchidferry.balancing.fleet.members import Entry, Phase

Address = tuple[str, int]


class Kind(Enum):
    """Of a message between two nodes; the values are those on the wire."""

    PING = "ping"  # a probe: acknowledge `number`
    ACK = "ack"  # the sender acknowledges, or the node that it was asked to probe did
    NACK = "nack"  # the node that the sender was asked to probe has not acknowledged in time
    PING_REQUEST = "ask"  # probe `target` for the sender
    GOSSIP = "news"  # nothing but updates
    STATE_REQUEST = "state"  # the sender's complete state; reply with yours
    STATE_REPLY = "whole"


class LogKind(Enum):
    """Warnings of which each kind is logged at a limited rate."""

    FULL = "full"
    JUMP = "jump"
    SLEPT = "slept"


@dataclass(slots=True)
class Message:
    """`to_life` names the process that it is for: one recorded before that process began is known by it."""

    kind: Kind
    sender: Entry
    to_life: int  # 0: the sender knows an address and no more
    serial: int  # counts all that this process sent: a copy is known by it
    number: int = 0  # of the probe
    target: Entry | None = None
    updates: tuple[Entry, ...] = ()


# Events


@dataclass(frozen=True, slots=True)
class Start:
    """Take part from now on."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message has come, proven to be from a node that has the key."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """It is `due_ms`, or later."""


@dataclass(frozen=True, slots=True)
class SelfChanged:
    """What this node says of itself has changed."""

    phase: Phase | None = None
    version: str | None = None


@dataclass(frozen=True, slots=True)
class Leave:
    """This node leaves on purpose, now."""


Event = Start | MessageReceived | Tick | SelfChanged | Leave


# Actions


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send this, once; it may be lost."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class ExchangeState:
    """Connect, send this, and hand in the reply; it may fail."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Reply:
    """Write this on the connection that the message just handed in came by."""

    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """An entry has changed. `before`: None for a new node; `after`: None for a forgotten one."""

    before: Entry | None
    after: Entry | None
    by: str  # the node on whose word; this node's own name for what it found itself


@dataclass(frozen=True, slots=True)
class SaveState:
    """What should outlast this process has changed: `Membership.saved_state` gives it."""


@dataclass(frozen=True, slots=True)
class Log:
    """A line for the operators."""

    text: str
    warning: bool = False


Action = SendDatagram | ExchangeState | Reply | MemberChanged | SaveState | Log
