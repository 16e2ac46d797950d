"""References to states by their ballots, in messages to replicas that have those states. Performs no I/O.

Each ballot proposes exactly one state, so a replica that has accepted a ballot has its state. This saves
bytes in three ways: a proposer names in `Prepare` the ballot that it has accepted itself, and promises do not
return a copy of that state; an `Accept` to a voter that promised with some state contains only the difference
from that state; and a replica that was asked to accept a ballot is notified of the decision by the ballot
alone. A message with a reference that can't be resolved is never treated as having no state: it is dropped,
as if it were lost.
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
    """The states that one proposer can refer to in its current ballot round.

    :param ballot: ballot of the round.
    :param accepted: the ballot that the proposing replica had accepted when the round began.
    :param value: the state of that ballot; None if there was none.
    :param promised: for each voter by name, the ballot that it had accepted when it promised, and the state
        of that ballot.
    :param asked: names of the voters that were sent an `Accept`.
    """

    ballot: Ballot = NO_BALLOT
    accepted: Ballot = NO_BALLOT
    value: Value | None = None
    promised: dict[str, tuple[Ballot, Value]] = field(default_factory=dict)
    asked: set[str] = field(default_factory=set)

    def pack(self, to: str, message: Message, state: AcceptorState) -> RegisterBody:
        """Pack a message of the register.

        :param to: name of the receiver.
        :param message: the message.
        :param state: this replica's acceptor state.
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
        """Return a promise with its complete state; None if it refers to a state that is not known here."""
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
        """Whether a voter was asked to accept a ballot, and that ballot is this replica's newest one."""
        return ballot == self.ballot and name in self.asked


def unpack(body: RegisterBody, state: AcceptorState) -> Message | None:
    """Unpack a message of the register.

    :param body: the wire form of the message.
    :param state: this voter's acceptor state.
    :returns: the message; None if it is based on a state that this voter has not accepted.
    """
    if not isinstance(body, RegisterAccept) or body.base is None:
        return unpack_message(body)
    if body.ballot == state.accepted and state.value is not None:  # the message was resent
        return Accept(state.accepted, state.value)
    if body.base != state.accepted:
        return None
    value = unpack_value(body.state, state.value)
    return Accept(body.ballot, value) if value is not None else None


def refusal(body: RegisterBody, voter: Voter, state: AcceptorState) -> Accepted | None:
    """Return the refusal of an `Accept` that can't be resolved, if its ballot would be refused anyway.

    :param body: the wire form of the `Accept`.
    :param voter: this replica's identity as a voter.
    :param state: this voter's acceptor state.
    :returns: the refusal; None if the message must be dropped.
    """
    return Accepted(body.ballot, voter, state.promised) if body.ballot < state.promised else None
