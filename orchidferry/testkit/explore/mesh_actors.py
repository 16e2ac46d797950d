"""What takes part in the exploration of the mesh beside its controllers: messages, clients and nodes."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.operation_key_client import OperationKeyClient
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, KeyRelease, Message
from orchidferry.mesh.wire.shard_messages import tag_of
from orchidferry.testkit.explore.controller import WINDOW_S, ControllerCall
from orchidferry.testkit.explore.fleet import Middle

if TYPE_CHECKING:
    from orchidferry.testkit.explore.mesh import MeshWorld

KEY = "k"  # the operation key of all key requests


class SequentialRandom(Middle):
    """A generator whose numbers are in the middle of their range; each integer that it draws is a new one."""

    def __init__(self, count: int = 0) -> None:
        """:param count: the integer that was drawn last"""
        super().__init__(0)
        self.count = count

    def randrange(self, start: int, stop: int | None = None, step: int = 1) -> int:
        """Return the next integer."""
        self.count += 1
        return self.count if stop is None else start + self.count

    def __reduce__(self) -> Any:
        """Pickle the generator by its count."""
        return SequentialRandom, (self.count,)


@dataclass
class MessageInFlight:
    """A message between two processes.

    :param what: the method of the receiver that takes it
    :param message: the arguments of that method
    :param back: whether it is an answer, over the link that its receiver opened
    :param late: whether it is delayed until nothing else is under way
    """

    sender: str
    to: str
    what: str
    message: tuple[Any, ...]
    back: bool = False
    late: bool = False

    def __str__(self) -> str:
        """Return the message's kind, sender and receiver."""
        kind = tag_of(self.message[-1]) if self.what == ControllerCall.RECEIVE else self.what
        return f"{kind} from {self.sender} to {self.to}"


@dataclass
class ConfigurationClient:
    """A client that puts a configuration on top of version 0, and reads.

    :param at: the controller at which it puts
    :param then: the controller at which it puts again, if it was not answered, and reads
    """

    name: str
    at: str
    then: str
    revision: int
    step: str = "put"  # put, again, read, over
    waits: str = ""  # the request that it waits for
    until_s: float = 0.0
    newest: int = 0  # revision that was acknowledged to any client before it read
    tries: int = 0
    read: bool = False

    def change(self) -> shard_state.PutConfiguration:
        """Return the change that it asks for, the same each time."""
        content = self.name.encode()
        return shard_state.PutConfiguration(content, self.revision, content, 0)


class KeyNode:
    """A node with its client of operation keys."""

    def __init__(self, name: str, world: MeshWorld) -> None:
        self.name = name
        self.world = world
        self.claims = OperationKeyClient(world.scene.seeds, self.send, WINDOW_S)

    def send(self, to: str, message: Message) -> None:
        """Send a message to a controller, as the method that takes it."""
        match message:
            case KeyClaim():
                self.world.send(
                    self.name, to, ControllerCall.CLAIM_KEY, self.name, *msgspec.structs.astuple(message)
                )
            case KeyAnswer():
                self.world.send(
                    self.name, to, ControllerCall.RECORD_ANSWER, *msgspec.structs.astuple(message)
                )
            case KeyRelease():
                self.world.send(
                    self.name, to, ControllerCall.RELEASE_KEY, self.name, *msgspec.structs.astuple(message)
                )


@dataclass
class KeyRequest:
    """An attempt at a request with the key, at some node.

    :param holder: the attempt's name
    :param due_s: when it claims the key, since the scene began
    :param how: what becomes of its run: `done`, `broke` or `drop`; a subclass of the world may have more
    """

    world: MeshWorld = field(repr=False)
    holder: str
    node: str
    due_s: float
    how: str
    began: bool = False
    outcome: str = ""  # a `ClaimOutcome`; "" while the claim is in flight

    def begin(self) -> None:
        """Claim the key."""
        self.began = True
        self.world.log(f"{self.holder} claims at {self.node}")
        timeout_s = self.world.scene.claim_timeout_s
        self.world.nodes[self.node].claims.claim(KEY, self.holder, timeout_s, self.on_claimed, self.world.now)

    def on_claimed(self, outcome: ClaimOutcome, answer: Any) -> None:
        """Run if the key was granted; judge an answer that was repeated."""
        world = self.world
        self.outcome = outcome
        world.log(f"{self.holder} is told {outcome}{'' if answer is None else f' and the answer {answer}'}")
        if outcome is ClaimOutcome.GRANTED:
            world.key_granted(self)
            client = world.nodes[self.node].claims
            if self.how == "done":
                client.record_answer(KEY, self.holder, self.holder)
            elif self.how == "drop":
                world.granted_attempts.remove(self.holder)
                client.release(KEY, self.holder)
        elif answer is not None and answer != next(iter(world.granted_attempts), None):
            world.report_violation(
                f"answer: {self.holder} is told the answer {answer}, and {world.granted_attempts} ran"
            )
