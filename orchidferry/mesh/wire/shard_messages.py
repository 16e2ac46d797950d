"""The messages between the replicas of one shard, one type each; they are sent inside a `ShardMessage`.

A state is sent as the list that `shard_state_codec.pack_value` returns, which is also its format on disk.
"""

from __future__ import annotations

from typing import Any

import msgspec

Ballot = tuple[int, str]  # counter, name of the proposer
PackedVoter = tuple[str, int]  # name, disk id
PackedState = list[Any] | None  # a state as `shard_state_codec.pack_value` returns it
# A record or a release of an operation key: the key; attempt id, age as `record_age.pack_age` returns it
# (`record_age.RELEASED` for a release), answer; whether the attempt was answered, even if the answer is
# omitted.
KeyRow = tuple[str, tuple[str, int, Any], bool]


class ShardBodyBase(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The base of all messages between replicas of a shard."""


# The replicated register (CASPaxos)


class RegisterPrepare(ShardBodyBase, frozen=True, tag="prepare"):
    """`register.Prepare` on the wire."""

    ballot: Ballot  # the ballot to be promised
    intent: list[str] | None  # purpose of the proposal, if voters may object to it
    known_ballot: Ballot  # ballot of the state that the proposer already has


class RegisterPromise(ShardBodyBase, frozen=True, tag="promise"):
    """`register.Promise` on the wire."""

    ballot: Ballot  # the ballot of `RegisterPrepare`
    voter: PackedVoter  # the sender of the promise
    promised: Ballot  # highest ballot that the voter has promised; above `ballot` in a rejection
    accepted: Ballot  # newest ballot in which this voter accepted a state
    state: PackedState  # the state accepted in that ballot, unless the proposer already has it
    objection: str  # why the voter objects to the change; "" if it does not


class RegisterAccept(ShardBodyBase, frozen=True, tag="accept"):
    """`register.Accept` on the wire."""

    ballot: Ballot  # the ballot to be accepted
    state: PackedState  # the proposed state, complete or as the difference from the state of `base`
    base: Ballot | None  # ballot of a state that the voter already has; None for a complete state


class RegisterAccepted(ShardBodyBase, frozen=True, tag="accepted"):
    """`register.Accepted` on the wire."""

    ballot: Ballot  # the ballot of `RegisterAccept`
    voter: PackedVoter  # the sender of this message
    promised: Ballot  # highest ballot that the voter has promised; above `ballot` in a rejection


RegisterBody = RegisterPrepare | RegisterPromise | RegisterAccept | RegisterAccepted


class RegisterMessage(ShardBodyBase, frozen=True, tag="register"):
    """A message of the replicated register."""

    sender: str  # name of the sending controller
    body: RegisterBody  # the message of the register


# Decided states and reads


class DecidedState(ShardBodyBase, frozen=True, tag="decided_state"):
    """A state that was decided."""

    state: PackedState  # the complete state


class DecidedBallot(ShardBodyBase, frozen=True, tag="decided_ballot"):
    """The ballot that the receiver was asked to accept was decided."""

    ballot: Ballot  # the decided ballot
    version: int  # version of the state that was decided in it


class DecidedStateRequest(ShardBodyBase, frozen=True, tag="decided_state_request"):
    """A controller requests the newest state that is known to be decided."""

    version: int  # newest version that the requesting controller knows


class AcceptedStateRequest(ShardBodyBase, frozen=True, tag="accepted_state_request"):
    """A reader asks a voter which state it has accepted."""

    reading: int  # number that identifies the read in the response
    known_ballot: Ballot  # ballot of the state that the reader already has


class AcceptedState(ShardBodyBase, frozen=True, tag="accepted_state"):
    """The response to `AcceptedStateRequest`."""

    reading: int  # number of the read
    voter: PackedVoter  # the responding voter
    accepted: Ballot  # newest ballot in which the voter accepted a state
    state: PackedState  # the state accepted in that ballot, unless the reader already has it


# Configuration changes and membership of the group


class OrdersRequest(ShardBodyBase, frozen=True, tag="orders_request"):
    """A controller requests configuration changes that are older than those that it knows."""

    number: int  # number of the oldest change that the requesting controller knows
    digest: bytes  # digest of that change


class Orders(ShardBodyBase, frozen=True, tag="orders"):
    """The response to `OrdersRequest`: older configuration changes, without a gap."""

    orders: list[tuple[int, bytes]]  # number and digest of each change, the newest last
    complete: bool  # whether the list begins with the very first change


class JoinRequest(ShardBodyBase, frozen=True, tag="join_request"):
    """A controller asks to become a voter of the group."""

    name: str  # name of the controller
    memory: int  # disk id with which the controller would vote
    epoch: int  # last epoch of the group that the controller knows
    ready: bool  # whether the controller has caught up as far as a non-voter can


# Repair of operation keys


class KeyPageRequest(ShardBodyBase, frozen=True, tag="key_page_request"):
    """A learner requests the next page of operation keys from a source, which is another replica."""

    name: str  # name of the learner
    number: int  # number of the request
    as_voter: bool  # whether the learner asks as a voter of `epoch`
    epoch: int  # epoch of the group that the learner knows
    incarnation: str  # incarnation of the source's process from which the learner has copied so far
    sequence: int  # number of the source's last change that the learner has on disk
    omit_answers: bool  # whether the page must not contain answers


class KeyPage(ShardBodyBase, frozen=True, tag="key_page"):
    """The response to `KeyPageRequest`: a page of the source's operation keys."""

    name: str  # name of the source
    number: int  # number of the request
    sequence: int  # number of the source's last change that the learner has once it has stored this page
    rows: list[KeyRow]  # records and releases of operation keys
    last: bool  # whether no newer change follows
    incarnation: str  # incarnation of the source's process
    as_voter: bool  # as in the request


class KeyPageRejection(ShardBodyBase, frozen=True, tag="key_page_refusal"):
    """The response to `KeyPageRequest` if the source can't send a page at the moment."""

    name: str  # name of the source
    number: int  # number of the request


class KeyRecordsRequest(ShardBodyBase, frozen=True, tag="key_records_request"):
    """A learner requests the complete records of operation keys from a page without answers."""

    name: str  # name of the learner
    number: int  # number of the request for the page
    keys: list[str]  # the operation keys


class KeyRecords(ShardBodyBase, frozen=True, tag="key_records"):
    """The response to `KeyRecordsRequest`: complete records of some operation keys."""

    name: str  # name of the source
    number: int  # number of the request for the page
    rows: list[KeyRow]  # records and releases of operation keys
    keys_covered: int  # number of requested keys, from the first on, that this response covers


class Handoff(ShardBodyBase, frozen=True, tag="handoff"):
    """A page of the operation keys that a controller missed while it was unreachable (hinted handoff)."""

    name: str  # name of the sender
    epoch: int  # epoch of the group
    number: int  # number of the page
    rows: list[KeyRow]  # records and releases of operation keys


class HandoffAck(ShardBodyBase, frozen=True, tag="handoff_ack"):
    """The acknowledgement of `Handoff`: the page is durably stored."""

    name: str  # name of the controller that received the page
    number: int  # number of the page


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
    """Return the tag that identifies a type of message on the wire.

    :param message: the type, or a message of it
    """
    return str(message.__struct_config__.tag)
