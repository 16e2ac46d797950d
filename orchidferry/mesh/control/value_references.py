"""States that a message names by their ballot, because the receiver has them.

One ballot proposes one state, so whoever has accepted a ballot has its state. A proposer says with `Prepare`
which ballot it has accepted itself, and gets no copy of that state; an `Accept` to a voter that promised with
some state carries what differs from it; whoever was asked to accept a ballot is told of its decision by the
ballot alone. What can't be resolved is never taken for "no state": it is dropped, as if it were lost. Pure.
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
    """What one replica may refer to in the round that it proposes."""

    ballot: Ballot = NO_BALLOT  # of the round
    accepted: Ballot = NO_BALLOT  # that this replica had accepted when the round began, and its state
    value: Value | None = None
    held: dict[str, tuple[Ballot, Value]] = field(default_factory=dict)  # by voter: what it promised with
    asked: set[str] = field(default_factory=set)  # voters that were sent an accept

    def pack(self, to: str, message: Message, kept: AcceptorState) -> RegisterBody:
        """A message of the register as it goes out; `kept`: what this replica has accepted."""
        if isinstance(message, Prepare):
            if message.ballot != self.ballot:
                self.ballot = message.ballot
                self.accepted = kept.accepted
                self.value = kept.value
                self.held = {}
                self.asked = set()
            message = replace(message, known_ballot=self.accepted)
        elif isinstance(message, Accept) and message.ballot == self.ballot:
            self.asked.add(to)
            if to in self.held:
                base, value = self.held[to]
                return RegisterAccept(message.ballot, pack_value(message.value, value), base)
        return pack_message(message)

    def resolve(self, sender: str, promise: Promise) -> Promise | None:
        """A promise with its state; None if it is named and not known here."""
        if promise.ballot != self.ballot or promise.accepted == NO_BALLOT:
            return promise
        value = promise.value
        if value is None and promise.accepted == self.accepted:
            value = self.value
        if value is None:
            return None
        self.held[sender] = (promise.accepted, value)
        return replace(promise, value=value)

    def knows_ballot(self, name: str, ballot: Ballot) -> bool:
        """Whether a voter was asked to accept this ballot, in this replica's newest round."""
        return ballot == self.ballot and name in self.asked


def unpack(body: RegisterBody, kept: AcceptorState) -> Message | None:
    """A message that came; None for one that builds on a state which this voter has not accepted."""
    if not isinstance(body, RegisterAccept) or body.base is None:
        return unpack_message(body)
    if body.ballot == kept.accepted and kept.value is not None:  # sent again
        return Accept(kept.accepted, kept.value)
    if body.base != kept.accepted:
        return None
    value = unpack_value(body.state, kept.value)
    return Accept(body.ballot, value) if value is not None else None


def refusal(body: RegisterBody, voter: Voter, kept: AcceptorState) -> Accepted | None:
    """The answer to an accept that can't be resolved, where its ballot would be refused anyway."""
    return Accepted(body.ballot, voter, kept.promised) if body.ballot < kept.promised else None
