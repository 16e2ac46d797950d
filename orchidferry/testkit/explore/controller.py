"""A controller's process with its disk in memory, around one shipping `Shard`.

It carries out the shard's actions as `orchidferry.mesh.control.controller.Controller` does, and leaves the
clock, the random generator and the way between processes to its host.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from enum import StrEnum
from typing import Any, Protocol

from orchidferry.balancing.register import AcceptorState
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.actions import (
    Action,
    RequestEnded,
    SendMessage,
    SendReply,
    StateChanged,
    WriteRecords,
)
from orchidferry.mesh.control.order_records import orders_of
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.shard import Shard, initial_records
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.storage.record_format import RecordWrite, unpack
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, KeyRelease
from orchidferry.mesh.wire.shard_messages import ShardBody

WINDOW_S = 60.0
MAX_KEYS = 1_000
SEEDS = ("a", "b", "c")
MAX_BEATS = 16  # heartbeats that may be acknowledged yet


class ControllerCall(StrEnum):
    """The methods of a `Controller` that take messages, by which these are sent."""

    RECEIVE = "receive"
    HEARTBEAT = "receive_heartbeat"
    HEARTBEAT_ACK = "receive_heartbeat_ack"
    CLAIM_KEY = "claim_key"
    RECORD_ANSWER = "record_answer"
    RELEASE_KEY = "release_key"


class ControllerHost(Protocol):
    """The world in which a controller's process runs."""

    now: float

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Have a controller's method called, later or never.

        :param kind: a `ControllerCall`
        :param message: its arguments
        """

    def answer(self, name: str, answer: SendReply) -> None:
        """Have a controller's answer sent."""

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Take note that a controller knows a newer state."""

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Take the end of a request that was made at a controller."""


class Controller:
    """A process with its disk, which writes when it is told to.

    :ivar disk: the records on disk, by database and key
    :ivar writes: that are pending, the oldest first
    :ivar beats: when the heartbeats were sent that may be acknowledged yet, by number
    """

    def __init__(
        self,
        name: str,
        world: ControllerHost,
        founder: bool,
        number: int,
        rng: random.Random,
        seeds: tuple[str, ...] = SEEDS,
    ) -> None:
        """Start with an empty disk.

        :param founder: whether it is of the group at the very first start
        :param number: of the shard
        :param seeds: the founders, as many as the group should have
        """
        self.name = name
        self.world = world
        self.number = number
        self.rng = rng
        self.seeds = seeds
        self.disk: dict[tuple[str, bytes], bytes] = {}
        disk_id = shard_state.FOUNDER_DISK_ID if founder else rng.randrange(2, 2**50)
        self.write_to_disk(initial_records(number, AcceptorState(disk_id), founder))
        self.start()

    def write_to_disk(self, puts: list[RecordWrite]) -> None:
        """Have records on disk at once."""
        for name, key, value in puts:
            if value is None:
                self.disk.pop((name, key), None)
            else:
                self.disk[name, key] = value

    def start(self) -> None:
        """Start the process, with what is on disk."""
        self.alive = True
        self.writes: list[WriteRecords] = []
        self.peers = Peers(self.world.now)
        self.beats: dict[int, float] = {}
        self.count = 0  # number of the heartbeat that was sent last
        kept = shard_state_codec.unpack_acceptor_state(
            unpack(self.disk["about", f"kept/{self.number}".encode()])
        )
        caught = ("about", f"caught/{self.number}".encode()) in self.disk
        first = shard_state.genesis(self.seeds)
        parameters = ShardParameters(self.number, self.name, first, len(self.seeds), WINDOW_S, MAX_KEYS)
        self.shard = Shard(parameters, kept, caught, self.peers, self.rng)
        for (name, key), value in self.disk.items():
            if name == "slips":
                self.shard.load_key(key.decode(), unpack(value))
        rows = [(key, value) for (name, key), value in self.disk.items() if name == "about"]
        self.shard.load_orders(orders_of(self.number, rows))

    def wipe(self) -> None:
        """Empty the disk, and begin a new one."""
        self.disk = {}
        disk_id = self.rng.randrange(2, 2**50)
        self.write_to_disk(initial_records(self.number, AcceptorState(disk_id), False))

    def execute(self, actions: list[Action]) -> None:
        """Carry out the shard's actions, in their order."""
        for action in actions:
            match action:
                case SendMessage():
                    message = action.message.body
                    self.world.send(self.name, action.to, ControllerCall.RECEIVE, self.name, message)
                case SendReply():
                    self.world.answer(self.name, action)
                case WriteRecords():
                    self.writes.append(action)
                case StateChanged():
                    self.world.state_changed(self.name, action)
                case RequestEnded():
                    self.world.request_ended(self.name, action)

    def complete_write(self) -> None:
        """Have the oldest pending write reach the disk."""
        write = self.writes.pop(0)
        self.write_to_disk(write.puts)
        if write.completion is not None:
            self.execute(self.shard.write_finished(write.completion, True, self.world.now))

    def tick(self) -> None:
        """Do what is due."""
        self.execute(self.shard.tick(self.world.now))

    def send_heartbeats(self, names: Iterable[str]) -> None:
        """Send a heartbeat to other controllers."""
        self.count += 1
        self.beats[self.count] = self.world.now
        if len(self.beats) > MAX_BEATS:
            del self.beats[next(iter(self.beats))]
        for name in names:
            known = self.shard.known.version
            learned = self.shard.has_learned(self.world.now)
            own = (self.peers.fit, known, self.peers.stopping, learned)
            self.world.send(self.name, name, ControllerCall.HEARTBEAT, self.name, self.count, *own)

    # Messages

    def receive(self, sender: str, message: ShardBody) -> None:
        """Take a message of another controller's shard."""
        self.execute(self.shard.receive(sender, message, self.world.now))

    def receive_heartbeat(
        self, sender: str, number: int, fit: bool, version: int, leaves: bool, learned: bool
    ) -> None:
        """Take a heartbeat, and acknowledge it."""
        self.peers.heard_s[sender] = self.world.now
        (self.peers.leaving.add if leaves else self.peers.leaving.discard)(sender)
        self.peers.learning[sender] = () if learned else (self.number,)
        (self.peers.unfit.discard if fit else self.peers.unfit.add)(sender)
        token = self.shard.accepted_fencing_token
        self.world.send(self.name, sender, ControllerCall.HEARTBEAT_ACK, self.name, number, token)
        self.execute(self.shard.heartbeat_received(version, sender))

    def receive_heartbeat_ack(self, sender: str, number: int, fencing_token: int) -> None:
        """Take the acknowledgement of a heartbeat."""
        if number in self.beats:
            self.shard.heartbeat_acknowledged(sender, self.beats[number], fencing_token)

    def claim_key(self, reply_to: Any, request: int, epoch: int, key: str, holder: str) -> None:
        """Take a node's claim of an operation key."""
        claim = KeyClaim(request, epoch, key, holder)
        self.execute(self.shard.claim_key(reply_to, claim, True, self.world.now))

    def record_answer(self, key: str, holder: str, answer: Any) -> None:
        """Take the answer of a key's first run."""
        self.execute(self.shard.record_answer(KeyAnswer(key, holder, answer), self.world.now))

    def release_key(self, reply_to: Any, number: int, key: str, holder: str) -> None:
        """Take a node's release of an operation key."""
        self.execute(self.shard.release_key(reply_to, KeyRelease(number, key, holder), self.world.now))
