"""The actions that a shard's replica returns.

Whoever runs it carries them out, in the order in which they are returned.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidferry.balancing.register import Value
from orchidferry.mesh.control.write_completions import WriteCompletion
from orchidferry.mesh.storage.record_format import RecordWrite
from orchidferry.mesh.wire.messages import KeyGrant, KeyReleaseAck, ShardMessage


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another controller; it is lost if there is no link to that.

    :param to: the controller's name.
    """

    to: str
    message: ShardMessage


@dataclass(frozen=True, slots=True)
class SendReply:
    """Answer a message, over the link by which it came.

    :param to: the link, as it was handed in with the message.
    """

    to: Any
    message: ShardMessage | KeyGrant | KeyReleaseAck


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Put these records on disk, in one transaction.

    :param completion: to be handed back to `Shard.write_finished` with the result; None if no result is
        wanted.
    """

    puts: list[RecordWrite]
    completion: WriteCompletion | None = None


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Publish a newer state of the shard, which is known to be decided."""

    old: Value
    new: Value


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Answer whoever asked here for a change or a read: it is over.

    :param id: of the request.
    :param value: the newest decided state; None if nothing is known in time. Then a change that was asked for
        may still be made, unless `why` is `OUT_OF_CONTACT`.
    :param why: the reason for which the request was refused or given up; "" for none.
    """

    id: str
    value: Value | None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = SendMessage | SendReply | WriteRecords | StateChanged | RequestEnded | Log
