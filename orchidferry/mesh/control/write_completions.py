"""What a write of a shard was for.

A `WriteRecords` action carries one of these; whoever runs the shard hands it back, unchanged, to
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
    """A vote of the register's acceptor.

    :param reply_to: who sent the message of the register; None for this replica itself.
    :param state: what the acceptor kept in memory when the write was begun.
    :param replies: leave once the vote is on disk.
    :param order_numbers: earlier orders, which were committed before this vote and not yet on disk: they were
        written along with it.
    """

    reply_to: Any
    state: AcceptorState
    replies: list[Message]
    order_numbers: list[int]


@dataclass(frozen=True, slots=True)
class OrdersSaved:
    """Older orders, as another replica sent them."""

    order_numbers: list[int]


@dataclass(frozen=True, slots=True)
class RemovalSaved:
    """This replica was put out of the group: it is no longer caught up."""


@dataclass(frozen=True, slots=True)
class CaughtUpSaved:
    """This replica has caught up.

    :param epoch: of the group in which it has.
    """

    epoch: int


@dataclass(frozen=True, slots=True)
class ClaimSaved:
    """A claim of an operation key.

    :param reply_to: who claimed it.
    :param request: number of the claim.
    :param epoch: under which it was claimed.
    """

    reply_to: Any
    request: int
    epoch: int
    key: str
    holder: str
    record: KeyRecord


@dataclass(frozen=True, slots=True)
class KeyAnswerSaved:
    """The answer of the first run under an operation key."""

    key: str
    record: KeyRecord


@dataclass(frozen=True, slots=True)
class KeyReleaseSaved:
    """The release of an operation key.

    :param reply_to: who released it.
    :param number: of the release.
    """

    reply_to: Any
    number: int


@dataclass(frozen=True, slots=True)
class KeyPageSaved:
    """A page of key records that another replica sent while this one catches up.

    :param source: the name of the replica that sent it.
    :param request: the request that the page answers.
    """

    source: str
    request: PageRequest


@dataclass(frozen=True, slots=True)
class HandoffSaved:
    """Key records that another replica handed over after this one had been silent.

    :param reply_to: the replica that sent them.
    :param number: of the handoff.
    """

    reply_to: Any
    number: int


WriteCompletion = (
    VoteSaved
    | OrdersSaved
    | RemovalSaved
    | CaughtUpSaved
    | ClaimSaved
    | KeyAnswerSaved
    | KeyReleaseSaved
    | KeyPageSaved
    | HandoffSaved
)
