"""The messages between the replicas of one shard, one type each: they are sent inside a `ShardMessage`.

A state is sent as the list that `shard_state_codec.pack_value` makes; on disk it has the same form.
"""

from __future__ import annotations

from typing import Any

import msgspec

Ballot = tuple[int, str]  # counter and name of the proposer
PackedVoter = tuple[str, int]  # name and memory number
PackedState = list[Any] | None  # as `shard_state_codec.pack_value` makes it
KeyRow = tuple[str, tuple[str, int, Any], bool]  # key; attempt id, time slot, answer; whether it is answered


class ShardBodyBase(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The base of all messages between replicas of a shard."""


# The register


class RegisterPrepare(ShardBodyBase, frozen=True, tag="prepare"):
    """`register.Prepare` on the wire."""

    ballot: Ballot  # that is prepared
    intent: list[str] | None  # purpose of the proposal, if voters may object to it
    known_ballot: Ballot  # of the state that the proposer has already


class RegisterPromise(ShardBodyBase, frozen=True, tag="promise"):
    """`register.Promise` on the wire."""

    ballot: Ballot  # that is answered
    voter: PackedVoter  # who promises
    promised: Ballot  # a rejection if it is above `ballot`
    accepted: Ballot  # the newest that this voter accepted
    state: PackedState  # of that one, unless the proposer has it
    objection: str  # why the voter objects to the change; "" if it does not


class RegisterAccept(ShardBodyBase, frozen=True, tag="accept"):
    """`register.Accept` on the wire."""

    ballot: Ballot  # that is to be accepted
    state: PackedState  # complete, or the difference from the state of `base`
    base: Ballot | None  # ballot of the state that the voter has already


class RegisterAccepted(ShardBodyBase, frozen=True, tag="accepted"):
    """`register.Accepted` on the wire."""

    ballot: Ballot  # that is answered
    voter: PackedVoter  # who answers
    promised: Ballot  # a rejection if it is above `ballot`


RegisterBody = RegisterPrepare | RegisterPromise | RegisterAccept | RegisterAccepted


class RegisterMessage(ShardBodyBase, frozen=True, tag="register"):
    """A message of the replicated register."""

    sender: str  # the controller's name
    body: RegisterBody  # the message


# Decided states and reads


class DecidedState(ShardBodyBase, frozen=True, tag="decided_state"):
    """A state that was decided."""

    state: PackedState  # complete


class DecidedBallot(ShardBodyBase, frozen=True, tag="decided_ballot"):
    """The state of a ballot that the receiver was asked to accept was decided."""

    ballot: Ballot  # that was decided
    version: int  # of its state


class DecidedStateRequest(ShardBodyBase, frozen=True, tag="decided_state_request"):
    """A controller asks for the newest state that is known to be decided."""

    version: int  # the newest that it knows


class AcceptedStateRequest(ShardBodyBase, frozen=True, tag="accepted_state_request"):
    """A reader asks a voter what it has accepted."""

    reading: int  # number of the read, to be named in the answer
    known_ballot: Ballot  # of the state that the reader has already


class AcceptedState(ShardBodyBase, frozen=True, tag="accepted_state"):
    """What a voter has accepted."""

    reading: int  # number of the read that is answered
    voter: PackedVoter  # who answers
    accepted: Ballot  # the newest that it accepted
    state: PackedState  # of that one, unless the reader has it


# Configuration changes and membership of the group


class OrdersRequest(ShardBodyBase, frozen=True, tag="orders_request"):
    """A controller asks for configuration changes that are older than those it knows."""

    number: int  # of the oldest change that it knows
    digest: bytes  # of that one


class Orders(ShardBodyBase, frozen=True, tag="orders"):
    """Older configuration changes, without a gap."""

    orders: list[tuple[int, bytes]]  # number and digest of each, the newest last
    complete: bool  # whether they begin with the very first change


class JoinRequest(ShardBodyBase, frozen=True, tag="join_request"):
    """A controller asks to become a voter of the group."""

    name: str  # of the controller
    memory: int  # memory number that it would vote with
    epoch: int  # the last that it knows
    ready: bool  # whether it has caught up as far as a non-voter can


# Repair of operation keys


class KeyPageRequest(ShardBodyBase, frozen=True, tag="key_page_request"):
    """A learner asks a source for its next page of keys."""

    name: str  # of the learner
    number: int  # of the request
    as_voter: bool  # whether it asks as a voter of `epoch`
    epoch: int  # of the group that the learner knows
    incarnation: str  # of the source's process from which the learner has copied so far
    sequence: int  # number of the last change that the learner has on disk
    omit_answers: bool  # whether the page is to come without answers


class KeyPage(ShardBodyBase, frozen=True, tag="key_page"):
    """A page of a source's keys."""

    name: str  # of the source
    number: int  # of the request
    sequence: int  # number of the last change that the learner has with this page
    rows: list[KeyRow]  # the keys
    last: bool  # whether no newer change follows
    incarnation: str  # of the source's process
    as_voter: bool  # as in the request


class KeyPageRejection(ShardBodyBase, frozen=True, tag="key_page_refusal"):
    """A source can't send a page at the moment."""

    name: str  # of the source
    number: int  # of the request


class KeyRecordsRequest(ShardBodyBase, frozen=True, tag="key_records_request"):
    """A learner asks for the records of keys whose answers a page omitted."""

    name: str  # of the learner
    number: int  # of the request for the page
    keys: list[str]  # whose records are missing


class KeyRecords(ShardBodyBase, frozen=True, tag="key_records"):
    """Complete records of some keys."""

    name: str  # of the source
    number: int  # of the request for the page
    rows: list[KeyRow]  # the records
    keys_covered: int  # how many of the requested keys are dealt with by these records


class Handoff(ShardBodyBase, frozen=True, tag="handoff"):
    """A page of the keys that a controller missed while it was unreachable (hinted handoff)."""

    name: str  # of the sender
    epoch: int  # of the group
    number: int  # of the page
    rows: list[KeyRow]  # the keys


class HandoffAck(ShardBodyBase, frozen=True, tag="handoff_ack"):
    """A page of a handoff is durably stored."""

    name: str  # of the receiver of the page
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
    | KeyPageRejection
    | KeyRecordsRequest
    | KeyRecords
    | Handoff
    | HandoffAck
)


def tag_of(message: msgspec.Struct | type[msgspec.Struct]) -> str:
    """Return the tag that names a type of message on the wire."""
    return str(message.__struct_config__.tag)
