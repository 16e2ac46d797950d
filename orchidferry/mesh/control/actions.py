"""What a replica wants done: its actions, carried out in the order in which it returns them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidferry.balancing.register import Value
from orchidferry.mesh.storage.store import Put
from orchidferry.mesh.wire.messages import KeyGrant, KeyReleaseAck, ShardMessage


@dataclass(frozen=True, slots=True)
class Tell:
    """To another controller; lost if there is no link to it."""

    to: str
    message: ShardMessage


@dataclass(frozen=True, slots=True)
class Answer:
    """To whoever sent what this answers."""

    to: Any
    message: ShardMessage | KeyGrant | KeyReleaseAck


@dataclass(frozen=True, slots=True)
class Write:
    """Put these on disk, together; `written` wants `then` back with what came of it, unless it is None."""

    puts: list[Put]
    then: tuple[Any, ...] | None = None


@dataclass(frozen=True, slots=True)
class Changed:
    """A newer state is known to be decided."""

    old: Value
    new: Value


@dataclass(frozen=True, slots=True)
class Ended:
    """A change or a reading that was asked for here is over; `value` None: nothing is known in time, and
    what was asked for may come true yet unless `why` is `OUT_OF_CONTACT`.
    """

    id: str
    value: Value | None
    why: str = ""


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the log."""

    text: str


Action = Tell | Answer | Write | Changed | Ended | Note
