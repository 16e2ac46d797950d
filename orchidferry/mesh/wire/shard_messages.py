"""The messages between the controllers' halves of one shard, one type each: they travel in a `ShardMessage`.

A state travels as `shard_state.pack_value` has it, as a list: on disk it has the same form.
"""

from __future__ import annotations

from typing import Any

import msgspec

Ballot = tuple[int, str]  # a counter, and whose it is
PackedVoter = tuple[str, int]  # name and memory
PackedState = list[Any] | None  # as `shard_state.pack_value` makes it
KeyRow = tuple[str, tuple[str, int, Any], bool]  # key; holder, shelf, answer; whether there is an answer


class Body(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """What all messages inside a shard have in common."""


# The register


class RegisterPrepare(Body, frozen=True, tag="prepare"):
    """`register.Prepare` as it travels."""

    ballot: Ballot  # that is prepared
    intent: list[str] | None  # what the round is for, where voters may object
    has: Ballot  # the ballot whose state the proposer has


class RegisterPromise(Body, frozen=True, tag="promise"):
    """`register.Promise` as it travels."""

    ballot: Ballot  # that is answered
    voter: PackedVoter  # who promises
    promised: Ballot  # above `ballot` it is a refusal
    accepted: Ballot  # the newest that this voter accepted
    state: PackedState  # of that one, unless the proposer has it
    objection: str  # why the voter does not want the change; "" if it does not mind


class RegisterAccept(Body, frozen=True, tag="accept"):
    """`register.Accept` as it travels."""

    ballot: Ballot  # that is to be accepted
    state: PackedState  # whole, or what differs from that of `base`
    base: Ballot | None  # the ballot whose state the voter has


class RegisterAccepted(Body, frozen=True, tag="accepted"):
    """`register.Accepted` as it travels."""

    ballot: Ballot  # that is answered
    voter: PackedVoter  # who answers
    promised: Ballot  # above `ballot` it is a refusal


RegisterBody = RegisterPrepare | RegisterPromise | RegisterAccept | RegisterAccepted


class RegisterMessage(Body, frozen=True, tag="register"):
    """A message of the register."""

    sender: str  # the controller's name
    body: RegisterBody  # what it says


# Decided states and readings


class DecidedState(Body, frozen=True, tag="decided_state"):
    """A state that was decided."""

    state: PackedState  # whole


class DecidedBallot(Body, frozen=True, tag="decided_ballot"):
    """The state of a ballot was decided, which the receiver was asked to accept."""

    ballot: Ballot  # that was decided
    version: int  # of its state


class DecidedStateRequest(Body, frozen=True, tag="decided_state_request"):
    """A controller asks for the newest state that is known to be decided."""

    version: int  # the newest that it knows


class AcceptedStateRequest(Body, frozen=True, tag="accepted_state_request"):
    """A reader asks a voter what it has accepted."""

    reading: int  # to be named in the answer
    has: Ballot  # the ballot whose state the reader has


class AcceptedState(Body, frozen=True, tag="accepted_state"):
    """What a voter has accepted."""

    reading: int  # that is answered
    voter: PackedVoter  # who answers
    accepted: Ballot  # the newest that it accepted
    state: PackedState  # of that one, unless the reader has it


# Orders and places


class OrdersRequest(Body, frozen=True, tag="orders_request"):
    """A controller asks for orders older than it knows."""

    number: int  # of the oldest order that it knows
    digest: bytes  # of that one


class Orders(Body, frozen=True, tag="orders"):
    """Older orders, without a gap."""

    orders: list[tuple[int, bytes]]  # number and digest of each, the newest last
    complete: bool  # whether the first of all is among them


class JoinRequest(Body, frozen=True, tag="join_request"):
    """A controller asks for a place in the group."""

    name: str  # of the controller
    memory: int  # it would vote as
    epoch: int  # the last that it knows
    ready: bool  # whether it has learned what it can without a place


# Repair of operation keys


class KeyPageRequest(Body, frozen=True, tag="key_page_request"):
    """A learner asks a source for its next page of keys."""

    name: str  # of the learner
    number: int  # of the request
    counted: bool  # whether it asks as a voter of this epoch
    epoch: int  # that the learner knows
    life: str  # of the source's process that the learner has copied from
    sequence: int  # the change up to which the learner has all on disk
    brief: bool  # whether answers are to be left out


class KeyPage(Body, frozen=True, tag="key_page"):
    """A page of a source's keys."""

    name: str  # of the source
    number: int  # of the request
    sequence: int  # the change up to which the learner has all with this page
    rows: list[KeyRow]  # the keys
    last: bool  # whether it is the source's newest
    life: str  # of the source's process
    counted: bool  # as the learner asked


class KeyPageRefusal(Body, frozen=True, tag="key_page_refusal"):
    """A source has nothing to give now."""

    name: str  # of the source
    number: int  # of the request


class KeyRecordsRequest(Body, frozen=True, tag="key_records_request"):
    """A learner asks for the records of keys whose answers a page left out."""

    name: str  # of the learner
    number: int  # of the request for the page
    keys: list[str]  # that it lacks


class KeyRecords(Body, frozen=True, tag="key_records"):
    """Whole records of some keys."""

    name: str  # of the source
    number: int  # of the request for the page
    rows: list[KeyRow]  # the records
    covered: int  # how many of the keys asked for these are all of


class Handoff(Body, frozen=True, tag="handoff"):
    """A page of what a controller missed while it was silent."""

    name: str  # of the controller that hands over
    epoch: int  # of the group
    number: int  # of the page
    rows: list[KeyRow]  # the keys


class HandoffAck(Body, frozen=True, tag="handoff_ack"):
    """A page of a handoff is on disk."""

    name: str  # of the controller that took it
    number: int  # of the page


ShardBody = (
    RegisterMessage
    | DecidedState
    | DecidedBallot
    | DecidedStateRequest
    | AcceptedStateRequest
    | AcceptedState
    | OrdersRequest
    | Orders
    | JoinRequest
    | KeyPageRequest
    | KeyPage
    | KeyPageRefusal
    | KeyRecordsRequest
    | KeyRecords
    | Handoff
    | HandoffAck
)


def tag_of(body: Body | type[Body]) -> str:
    """Its kind, as it stands on the wire."""
    return str(body.__struct_config__.tag)
