"""Messages between nodes, and the events and actions of a `Membership`."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from orchidferry.balancing.fleet.members import Entry, Phase

Address = tuple[str, int]


class Kind(Enum):
    """The kind of a message between two nodes; the values are those on the wire."""

    PING = "ping"  # a probe, to be acknowledged with its `number`
    ACK = "ack"  # the probed node has acknowledged: the sender itself, or the target of a PING_REQUEST
    NACK = "nack"  # the target of a PING_REQUEST has not acknowledged in time
    PING_REQUEST = "ask"  # asks the receiver to probe `target` for the sender
    GOSSIP = "news"  # carries updates only
    STATE_REQUEST = "state"  # carries the sender's complete state, and asks for the receiver's
    STATE_REPLY = "whole"  # carries the complete state in reply to a STATE_REQUEST


class LogKind(Enum):
    """The kind of a warning; each kind is rate-limited separately."""

    FULL = "full"
    JUMP = "jump"
    SLEPT = "slept"


@dataclass(slots=True)
class Message:
    """A message between two nodes.

    A message that was recorded before the receiving process started, and is replayed, has another `to_life`.
    """

    kind: Kind
    sender: Entry
    to_life: int  # `life` of the receiving process; 0 if the sender knows only an address
    serial: int  # sequence number within the sending process, by which duplicates are detected
    number: int = 0  # number of the probe
    target: Entry | None = None  # the node to probe, in a PING_REQUEST
    updates: tuple[Entry, ...] = ()


# Events


@dataclass(frozen=True, slots=True)
class Start:
    """Join the fleet."""


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message has arrived and is authenticated as from a holder of the key."""

    message: Message


@dataclass(frozen=True, slots=True)
class Tick:
    """The time `due_ms` has come or passed."""


@dataclass(frozen=True, slots=True)
class SelfChanged:
    """This node's own phase or version has changed; None means unchanged."""

    phase: Phase | None = None
    version: str | None = None


@dataclass(frozen=True, slots=True)
class Leave:
    """This node leaves the fleet deliberately, now."""


Event = Start | MessageReceived | Tick | SelfChanged | Leave


# Actions


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """Send this datagram once; it may be lost."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class ExchangeState:
    """Connect, send this message and pass in the reply; the exchange may fail."""

    to: Address
    message: Message


@dataclass(frozen=True, slots=True)
class Reply:
    """Send this message on the connection on which the message being handled arrived."""

    message: Message


@dataclass(frozen=True, slots=True)
class MemberChanged:
    """An entry has changed."""

    before: Entry | None  # None for a new member
    after: Entry | None  # None for a member that was removed
    by: str  # name of the node that reported the change; this node's own name if it found out itself


@dataclass(frozen=True, slots=True)
class SaveState:
    """`Membership.saved_state` has changed and should be saved for later processes."""


@dataclass(frozen=True, slots=True)
class Log:
    """Log a line for operators."""

    text: str
    warning: bool = False


Action = SendDatagram | ExchangeState | Reply | MemberChanged | SaveState | Log
