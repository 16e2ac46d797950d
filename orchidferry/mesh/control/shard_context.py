"""Context that is shared by the components of one shard at one controller.

It holds the identity of the shard and the controller, the time of the current event, and the actions that
result from that event.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import Any

from orchidferry.mesh.control.actions import Action, Log, SendMessage, SendReply, WriteRecords
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.write_completions import WriteCompletion
from orchidferry.mesh.storage.record_format import RecordWrite
from orchidferry.mesh.wire.messages import ShardMessage
from orchidferry.mesh.wire.shard_messages import ShardBody


@dataclass(slots=True)
class ShardContext:
    """Shared context of a shard's components at one controller.

    :param number: number of the shard.
    :param name: name of the controller.
    :param peers: state of the other controllers as observed here, shared by all shards.
    :param rng: the source of all random choices.
    :param now: time of the current event, in seconds on the event loop's clock.
    :param actions: the actions that result from the current event, in the order of their execution.
    """

    number: int
    name: str
    peers: Peers
    rng: random.Random
    now: float
    actions: list[Action] = field(default_factory=list)

    def send(self, to: str, body: ShardBody) -> None:
        """Send a message to another controller, by name."""
        self.actions.append(SendMessage(to, ShardMessage(self.number, body)))

    def reply(self, to: Any, body: ShardBody) -> None:
        """Reply to a message.

        :param to: the link that was passed in together with the message.
        :param body: the reply.
        """
        self.actions.append(SendReply(to, ShardMessage(self.number, body)))

    def write(self, puts: list[RecordWrite], completion: WriteCompletion | None = None) -> None:
        """Write records to disk, in one transaction.

        :param puts: the writes, which include deletions.
        :param completion: passed back together with the result; None if the result is not needed.
        """
        self.actions.append(WriteRecords(puts, completion))

    def log(self, text: str) -> None:
        """Write a line to the log."""
        self.actions.append(Log(text))

    def metadata(self, name: str, value: bytes | None) -> RecordWrite:
        """Return the write of a metadata record of this shard, or its deletion if `value` is None."""
        return "about", f"{name}/{self.number}".encode(), value

    def take_actions(self) -> list[Action]:
        """Remove and return the collected actions, in the order in which they must be carried out."""
        actions = self.actions
        self.actions = []
        return actions
