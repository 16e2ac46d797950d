"""Conversion between the register's messages and their wire form. Performs no I/O."""

from __future__ import annotations

from orchidferry.balancing.register import Accept, Accepted, Message, Prepare, Promise, Voter
from orchidferry.mesh.control.shard_state_codec import pack_value, unpack_value
from orchidferry.mesh.wire.shard_messages import (
    PackedVoter,
    RegisterAccept,
    RegisterAccepted,
    RegisterBody,
    RegisterPrepare,
    RegisterPromise,
)


def pack_voter(voter: Voter) -> PackedVoter:
    """Return the wire form of a voter."""
    return voter.name, voter.disk_id


def pack_message(message: Message) -> RegisterBody:
    """Return the wire form of a message; a state in it is packed completely."""
    match message:
        case Prepare():
            return RegisterPrepare(message.ballot, message.intent, message.known_ballot)
        case Promise():
            return RegisterPromise(
                message.ballot,
                pack_voter(message.voter),
                message.promised,
                message.accepted,
                pack_value(message.value),
                message.objection,
            )
        case Accept():
            return RegisterAccept(message.ballot, pack_value(message.value), None)
        case Accepted():
            return RegisterAccepted(message.ballot, pack_voter(message.voter), message.promised)


def unpack_message(body: RegisterBody) -> Message:
    """Return the message for a wire form.

    :raises ValueError: for an `Accept` without a state.
    """
    match body:
        case RegisterPrepare():
            return Prepare(body.ballot, body.intent, body.known_ballot)
        case RegisterPromise():
            return Promise(
                body.ballot,
                Voter(*body.voter),
                body.promised,
                body.accepted,
                unpack_value(body.state),
                body.objection,
            )
        case RegisterAccepted():
            return Accepted(body.ballot, Voter(*body.voter), body.promised)
        case RegisterAccept():
            value = unpack_value(body.state)
            if value is None:
                raise ValueError("accept: state: missing")
            return Accept(body.ballot, value)
