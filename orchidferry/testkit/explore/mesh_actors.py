"""The messages, clients and nodes of the exploration of the mesh."""

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
from orchidferry.testkit.explore.fleet import MidpointRandom

if TYPE_CHECKING:
    from orchidferry.testkit.explore.mesh import MeshWorld

KEY = "k"  # the operation key of all key requests


class SequentialRandom(MidpointRandom):
    """A deterministic generator: floats are 0.5, and each integer that it draws is a new one."""

    def __init__(self, count: int = 0) -> None:
        """:param count: the last integer that was drawn"""
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
    """A message between two processes that has not been delivered.

    :param method: the receiver's method that handles it
    :param arguments: of that method
    :param is_reply: whether it is a reply, over the link that its receiver opened
    :param late: whether it is delayed until nothing else is in flight
    """

    sender: str
    to: str
    method: str
    arguments: tuple[Any, ...]
    is_reply: bool = False
    late: bool = False

    def __str__(self) -> str:
        """Return the message's kind, sender and receiver."""
        kind = tag_of(self.arguments[-1]) if self.method == ControllerCall.RECEIVE else self.method
        return f"{kind} from {self.sender} to {self.to}"


@dataclass
class ConfigurationClient:
    """A client that puts a configuration based on version 0, and then reads.

    :param put_at: the controller at which it puts
    :param read_at: the controller at which it puts again, if its first put was not answered, and reads
    :param revision: of its configuration
    :ivar step: `put`, `again` (its second put), `read` or `over`
    :ivar pending_request: the controller and the id of the request that it waits for; "" for none
    :ivar next_step_s: when it takes its next step, or gives up waiting
    :ivar acknowledged_before: the highest revision that was acknowledged to any client before it read
    :ivar tries: its calls so far
    :ivar read: whether it has read
    """

    name: str
    put_at: str
    read_at: str
    revision: int
    step: str = "put"
    pending_request: str = ""
    next_step_s: float = 0.0
    acknowledged_before: int = 0
    tries: int = 0
    read: bool = False

    def change(self) -> shard_state.PutConfiguration:
        """Return the change that it requests, the same for each put."""
        content = self.name.encode()
        return shard_state.PutConfiguration(content, self.revision, content, 0)


class KeyNode:
    """A node with its operation key client."""

    def __init__(self, name: str, world: MeshWorld) -> None:
        self.name = name
        self.world = world
        self.claims = OperationKeyClient(world.scene.seeds, self.send, WINDOW_S)

    def send(self, to: str, message: Message) -> None:
        """Send a message to a controller, as a call of the method that handles it."""
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
    """An attempt at a request with the operation key, at some node.

    :param holder: the attempt's name
    :param due_s: when it claims the key, in seconds since the scene began
    :param run_outcome: `done`: the run is answered; `broke`: it breaks off; `drop`: it does not run, and the
        key is released; a subclass of the world may have more
    :ivar began: whether the key was claimed
    :ivar outcome: the `ClaimOutcome`; "" while the claim is in flight
    """

    world: MeshWorld = field(repr=False)
    holder: str
    node: str
    due_s: float
    run_outcome: str
    began: bool = False
    outcome: str = ""

    def begin(self) -> None:
        """Claim the key."""
        self.began = True
        self.world.log(f"{self.holder} claims the key at {self.node}")
        timeout_s = self.world.scene.claim_timeout_s
        self.world.nodes[self.node].claims.claim(KEY, self.holder, timeout_s, self.on_claimed, self.world.now)

    def on_claimed(self, outcome: ClaimOutcome, answer: Any) -> None:
        """Run the attempt if the key was granted; check an answer that was replayed."""
        world = self.world
        self.outcome = outcome
        world.log(
            f"{self.holder}'s claim: {outcome}{'' if answer is None else f', with the answer {answer}'}"
        )
        if outcome is ClaimOutcome.GRANTED:
            world.key_granted(self)
            client = world.nodes[self.node].claims
            if self.run_outcome == "done":
                client.record_answer(KEY, self.holder, self.holder)
            elif self.run_outcome == "drop":
                world.granted_attempts.remove(self.holder)
                client.release(KEY, self.holder)
        elif answer is not None and answer != next(iter(world.granted_attempts), None):
            world.report_violation(
                f"answer: {self.holder} gets the answer {answer}, but {world.granted_attempts} ran"
            )
