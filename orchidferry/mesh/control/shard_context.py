"""What the parts of one shard at one controller share.

Which shard and controller they belong to, the time of the event in hand, and the actions that the event gives
rise to.
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
    """The surroundings of a shard's parts at one controller.

    :param number: of the shard.
    :param name: of the controller.
    :param peers: what is known of the other controllers, shared by all shards.
    :param rng: the source of all random choices.
    :param now: the time of the event in hand, in seconds on the clock of the event loop.
    :param actions: what is to be done for the event in hand, in this order.
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
        """Answer a message.

        :param to: the link, as it was handed in with the message.
        """
        self.actions.append(SendReply(to, ShardMessage(self.number, body)))

    def write(self, puts: list[RecordWrite], completion: WriteCompletion | None = None) -> None:
        """Put records on disk, in one transaction.

        :param completion: what is handed back with the result; None if no result is wanted.
        """
        self.actions.append(WriteRecords(puts, completion))

    def log(self, text: str) -> None:
        """Write a line to the log."""
        self.actions.append(Log(text))

    def metadata(self, name: str, value: bytes | None) -> RecordWrite:
        """What puts a record about this shard on disk, or deletes it (None)."""
        return "about", f"{name}/{self.number}".encode(), value

    def take_actions(self) -> list[Action]:
        """Hand over the actions that were collected.

        :returns: the actions, in the order in which they are to be carried out.
        """
        actions = self.actions
        self.actions = []
        return actions
