"""States that a message names by their ballot, because the receiver has them. Free of I/O.

One ballot proposes one state, so a replica that has accepted a ballot has its state. A proposer says with
`Prepare` which ballot it has accepted itself, and gets no copy of that state; an `Accept` to a voter that
promised with some state carries the difference to it; a replica that was asked to accept a ballot is notified
of its decision by the ballot alone. What can't be resolved is never taken for "no state": it is dropped, as
if it were lost.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from orchidferry.balancing.register import (
    NO_BALLOT,
    Accept,
    Accepted,
    AcceptorState,
    Ballot,
    Message,
    Prepare,
    Promise,
    Value,
    Voter,
)
from orchidferry.mesh.control.register_messages import pack_message, unpack_message
from orchidferry.mesh.control.shard_state_codec import pack_value, unpack_value
from orchidferry.mesh.wire.shard_messages import RegisterAccept, RegisterBody


@dataclass(slots=True)
class ValueReferences:
    """What one replica may refer to in the round that it proposes.

    :param ballot: of the round.
    :param accepted: the ballot that this replica had accepted when the round began.
    :param value: the state of that ballot.
    :param promised: by voter: the ballot that it had accepted as it promised, and its state.
    :param asked: voters that were sent an `Accept`.
    """

    ballot: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value | None = None
    promised: dict[str, tuple[Ballot, Value]] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)

    def pack(self, to: str, message: Message, state: AcceptorState) -> RegisterBody:
        """Pack a message of the register.

        :param to: the name of the receiver.
        :param state: what this replica has accepted.
        """
        if isinstance(message, Prepare):
            if message.ballot != self.ballot:
                self.ballot = message.ballot
                self.accepted = state.accepted
                self.value = state.value
                self.promised = {}
                self.asked = set()
            message = replace(message, known_ballot=self.accepted)
        elif isinstance(message, Accept) and message.ballot == self.ballot:
            self.asked.add(to)
            if to in self.promised:
                base, value = self.promised[to]
                return RegisterAccept(message.ballot, pack_value(message.value, value), base)
        return pack_message(message)

    def resolve(self, sender: str, promise: Promise) -> Promise | None:
        """Complete a promise with its state; None if the state is named and not known here."""
        if promise.ballot != self.ballot or promise.accepted == NO_BALLOT:
            return promise
        value = promise.value
        if value is None and promise.accepted == self.accepted:
            value = self.value
        if value is None:
            return None
        self.promised[sender] = (promise.accepted, value)
        return replace(promise, value=value)

    def knows_ballot(self, name: str, ballot: Ballot) -> bool:
        """Whether a voter was asked to accept a ballot, in this replica's newest round."""
        return ballot == self.ballot and name in self.asked


def unpack(body: RegisterBody, state: AcceptorState) -> Message | None:
    """Unpack a message of the register.

    :param state: what this voter has accepted.
    :returns: None for a message that builds on a state which this voter has not accepted.
    """
    if not isinstance(body, RegisterAccept) or body.base is None:
        return unpack_message(body)
    if body.ballot == state.accepted and state.value is not None:  # sent again
        return Accept(state.accepted, state.value)
    if body.base != state.accepted:
        return None
    value = unpack_value(body.state, state.value)
    return Accept(body.ballot, value) if value is not None else None


def refusal(body: RegisterBody, voter: Voter, state: AcceptorState) -> Accepted | None:
    """Refuse an `Accept` that can't be resolved, if its ballot would be refused anyway.

    :returns: the refusal; None if the message has to be dropped.
    """
    return Accepted(body.ballot, voter, state.promised) if body.ballot < state.promised else None
