"""Messages under way that change nothing any more, whenever they come, and answers nothing.

Delivering one commutes with all else that may happen, and so does losing it or holding it up: an
exploration may take it for delivered as soon as it is dead, and nothing that can be told apart is left out.
Each rule here rests on something that only rises while the receiver lives; a receiver that dies loses what
was on its way to it.
"""

from __future__ import annotations

from orchidferry.balancing.register import Ballot
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.wire.shard_messages import (
    AcceptedState,
    DecidedBallot,
    DecidedState,
    RegisterAccepted,
    RegisterMessage,
    RegisterPromise,
    ShardBody,
)

VERSION_AT = 0  # of a packed state


def is_dead(message: ShardBody, receiver: Shard) -> bool:
    """Whether a message between replicas does nothing at its receiver, now and later."""
    match message:
        case DecidedState():  # versions that are known only rise
            return message.state is not None and message.state[VERSION_AT] <= receiver.known.version
        case DecidedBallot():
            return message.version <= receiver.known.version
        case AcceptedState():  # each reading has a number of its own
            reading = receiver.reader.reads.current
            return reading is None or reading.number != message.reading
        case RegisterMessage(body=RegisterPromise() | RegisterAccepted()):  # each round has its own ballot
            return ballot_of_round(receiver) != message.body.ballot
    return False


def ballot_of_round(shard: Shard) -> Ballot | None:
    """The ballot of the round that a shard's proposer runs; None for none."""
    round_ = shard.register.proposer._round
    return round_.ballot if round_ is not None else None
