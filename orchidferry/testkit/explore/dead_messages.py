"""Dead messages: messages in flight that will have no effect and get no reply, whenever they are delivered.

Delivering, losing or delaying a dead message commutes with all other actions. An exploration may therefore
discard a message as soon as it is dead, without missing any distinguishable run. Each rule here relies on a
value that only increases while the receiver runs; when the receiver dies, messages to it are lost anyway.
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

VERSION_AT = 0  # index of the version in a packed state


def is_dead(message: ShardBody, receiver: Shard) -> bool:
    """Return whether a message between replicas has no effect at its receiver, now and later."""
    match message:
        case DecidedState():  # known versions only increase
            return message.state is not None and message.state[VERSION_AT] <= receiver.known.version
        case DecidedBallot():
            return message.version <= receiver.known.version
        case AcceptedState():  # each quorum read has its own number
            reading = receiver.reader.reads.current
            return reading is None or reading.number != message.reading
        case RegisterMessage(body=RegisterPromise() | RegisterAccepted()):  # each round has its own ballot
            return ballot_of_round(receiver) != message.body.ballot
    return False


def ballot_of_round(shard: Shard) -> Ballot | None:
    """Return the ballot of the running round of a shard's proposer; None if no round runs."""
    round_ = shard.register.proposer._round
    return round_.ballot if round_ is not None else None
