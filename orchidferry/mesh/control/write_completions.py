"""Completions of writes, which say what a write of a shard was for.

A `WriteRecords` action can carry a completion; the runner of the shard passes it back unchanged to
`Shard.write_finished` once it is known whether the records are on disk.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidferry.balancing.register import AcceptorState, Message
from orchidferry.mesh.control.key_transfer import PageRequest
from orchidferry.mesh.control.operation_keys import KeyRecord


@dataclass(frozen=True, slots=True)
class VoteSaved:
    """A write of the register acceptor's vote.

    :param reply_to: link over which the register message came; None if this replica sent it to itself.
    :param state: the acceptor's in-memory state when the write was begun.
    :param replies: the replies that are sent once the vote is on disk.
    :param order_numbers: numbers of earlier committed orders that were not on disk yet and are written in the
        same transaction.
    """

    reply_to: Any
    state: AcceptorState
    replies: list[Message]
    order_numbers: list[int]


@dataclass(frozen=True, slots=True)
class OrdersSaved:
    """A write of older orders that another replica sent.

    :param order_numbers: numbers of the orders.
    """

    order_numbers: list[int]


@dataclass(frozen=True, slots=True)
class RemovalSaved:
    """A write recording that this replica was removed from the group: it is no longer caught up."""


@dataclass(frozen=True, slots=True)
class CaughtUpSaved:
    """A write recording that this replica has caught up.

    :param epoch: epoch of the group in which it has caught up.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class VoidRecordDeleted:
    """A deletion of the record of having caught up, as the group had changed before it was on disk."""


@dataclass(frozen=True, slots=True)
class ClaimSaved:
    """A write of the claim of an operation key.

    :param reply_to: link over which the claim came.
    :param request: number of the claim.
    :param epoch: the epoch that the claim named.
    :param key: the operation key.
    :param holder: id of the attempt that claimed the key.
    :param record: the key's record that is written.
    :param changes: number of the record's change that is written, by operation key.
    """

    reply_to: Any
    request: int
    epoch: int
    key: str
    holder: str
    record: KeyRecord
    changes: dict[str, int]


@dataclass(frozen=True, slots=True)
class KeyAnswerSaved:
    """A write of the answer of the first execution under an operation key.

    :param key: the operation key.
    :param record: the key's record, with the answer.
    :param changes: number of the record's change that is written, by operation key.
    """

    key: str
    record: KeyRecord
    changes: dict[str, int]


@dataclass(frozen=True, slots=True)
class KeyReleaseSaved:
    """A write of an operation key's state after a release.

    :param reply_to: link over which the release came.
    :param number: number of the release.
    :param changes: number of the change that is written if another attempt holds the key; else empty.
    """

    reply_to: Any
    number: int
    changes: dict[str, int]


@dataclass(frozen=True, slots=True)
class KeyPageSaved:
    """A write of a page of key records that another replica sent so that this one can catch up.

    :param source: name of the replica that sent the page.
    :param request: the request that the page answers.
    :param changes: number of the change of each record that is written, by operation key.
    """

    source: str
    request: PageRequest
    changes: dict[str, int]


@dataclass(frozen=True, slots=True)
class HandoffSaved:
    """A write of key records that another replica handed over after this one had been silent.

    :param reply_to: link over which the records came.
    :param number: number of the page of the handoff.
    :param changes: number of the change of each record that is written, by operation key.
    """

    reply_to: Any
    number: int
    changes: dict[str, int]


WriteCompletion = (
    VoteSaved
    | OrdersSaved
    | RemovalSaved
    | CaughtUpSaved
    | VoidRecordDeleted
    | ClaimSaved
    | KeyAnswerSaved
    | KeyReleaseSaved
    | KeyPageSaved
    | HandoffSaved
)
