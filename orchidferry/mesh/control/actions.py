"""The actions that a shard returns; the runner of the shard carries them out in the returned order."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidferry.balancing.register import Value
from orchidferry.mesh.control.write_completions import WriteCompletion
from orchidferry.mesh.storage.record_format import RecordWrite
from orchidferry.mesh.wire.messages import KeyGrant, KeyReleaseAck, ShardMessage


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to another controller; the message is lost if there is no link to that controller.

    :param to: name of the other controller.
    :param message: the message.
    """

    to: str
    message: ShardMessage


@dataclass(frozen=True, slots=True)
class SendReply:
    """Reply to a message, over the link on which it was received.

    :param to: the link that was passed to the shard together with the received message.
    :param message: the reply.
    """

    to: Any
    message: ShardMessage | KeyGrant | KeyReleaseAck


@dataclass(frozen=True, slots=True)
class WriteRecords:
    """Write records to disk, in one transaction.

    :param puts: the writes, which include deletions.
    :param completion: to be passed to `Shard.write_finished` with the result; None if the result is not
        needed.
    """

    puts: list[RecordWrite]
    completion: WriteCompletion | None = None


@dataclass(frozen=True, slots=True)
class StateChanged:
    """Publish a newer state of the shard that is known to be decided.

    :param old: the newest state that was known before.
    :param new: the newer state.
    """

    old: Value
    new: Value


@dataclass(frozen=True, slots=True)
class RequestEnded:
    """Answer a request for a change or a read, which has ended.

    :param id: id of the request.
    :param value: the newest decided state; None if the outcome was not known in time. In that case a
        requested change may still be made, unless `why` is `OUT_OF_CONTACT`.
    :param why: the reason why the request was refused or given up; "" for none.
    """

    id: str
    value: Value | None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = SendMessage | SendReply | WriteRecords | StateChanged | RequestEnded | Log
