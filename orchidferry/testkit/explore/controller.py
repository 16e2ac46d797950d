"""A simulated controller process with an in-memory disk, around one shipping `Shard`.

It executes the shard's actions as `orchidferry.mesh.control.controller.Controller` does. Its host provides
the clock, the random generator and the transport of messages.
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
from orchidferry.mesh.control.shard import AGE_BUCKET_RECORD, Shard, initial_records
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.storage.environment import KEYS_DB
from orchidferry.mesh.storage.record_format import RecordWrite, pack, unpack
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, KeyRelease
from orchidferry.mesh.wire.shard_messages import ShardBody

WINDOW_S = 60.0  # minimum time for which operation keys are kept
MAX_KEYS = 1_000  # operation keys that a shard may hold
SEEDS = ("a", "b", "c")  # the founders' names
MAX_UNACKNOWLEDGED = 16  # heartbeats whose acknowledgements are awaited


class ControllerCall(StrEnum):
    """The methods of a `Controller` that handle messages; a message's kind is the method's name."""

    RECEIVE = "receive"
    HEARTBEAT = "receive_heartbeat"
    HEARTBEAT_ACK = "receive_heartbeat_ack"
    CLAIM_KEY = "claim_key"
    RECORD_ANSWER = "record_answer"
    RELEASE_KEY = "release_key"


class ControllerHost(Protocol):
    """The simulation in which a controller's process runs."""

    now: float

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Send a message: a call of a controller's method that may be delayed or lost.

        :param kind: a `ControllerCall`
        :param message: the method's arguments
        """

    def answer(self, name: str, answer: SendReply) -> None:
        """Send a controller's reply."""

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Handle that a controller knows a newer state."""

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Handle the end of a request that was made at a controller."""


class Controller:
    """A controller's process with its disk; pending writes complete only when the host completes them.

    :ivar disk: the records on disk, by database and key
    :ivar alive: whether the process runs
    :ivar refuses_writes: whether the disk is full: pending writes fail when the host completes them
    :ivar writes: the pending writes, the oldest first
    :ivar heartbeat_sent_s: when each heartbeat was sent that may still be acknowledged, by number
    :ivar count: the number of the last heartbeat that was sent
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
        """Start the process with an empty disk.

        :param founder: whether it belongs to the initial group
        :param number: of the shard
        :param seeds: the founders; their number is the target size of the group
        """
        self.name = name
        self.world = world
        self.number = number
        self.rng = rng
        self.seeds = seeds
        self.disk: dict[tuple[str, bytes], bytes] = {}
        self.refuses_writes = False
        disk_id = shard_state.FOUNDER_DISK_ID if founder else rng.randrange(2, 2**50)
        self.write_to_disk(initial_records(number, AcceptorState(disk_id), founder))
        self.start()

    def write_to_disk(self, puts: list[RecordWrite]) -> None:
        """Put records on disk at once."""
        for name, key, value in puts:
            if value is None:
                self.disk.pop((name, key), None)
            else:
                self.disk[name, key] = value

    def start(self) -> None:
        """Start the process with the records that are on disk."""
        self.alive = True
        self.writes: list[WriteRecords] = []
        self.peers = Peers(self.world.now)
        self.heartbeat_sent_s: dict[int, float] = {}
        self.count = 0
        acceptor_state = shard_state_codec.unpack_acceptor_state(
            unpack(self.disk["about", f"kept/{self.number}".encode()])
        )
        caught_up = ("about", f"caught/{self.number}".encode()) in self.disk
        initial_state = shard_state.genesis(self.seeds)
        parameters = ShardParameters(
            self.number, self.name, initial_state, len(self.seeds), WINDOW_S, MAX_KEYS
        )
        self.shard = Shard(parameters, acceptor_state, caught_up, self.peers, self.rng)
        age_bucket = self.disk.get(("about", f"{AGE_BUCKET_RECORD}/{self.number}".encode()))
        if age_bucket is not None:
            self.shard.load_age_bucket(unpack(age_bucket))
        for (name, key), value in self.disk.items():
            if name == KEYS_DB:
                self.shard.load_key(key.decode("latin-1"), unpack(value))
        rows = [(key, value) for (name, key), value in self.disk.items() if name == "about"]
        self.shard.load_orders(orders_of(self.number, rows))

    def wipe(self) -> None:
        """Replace the disk by an empty one."""
        self.disk = {}
        disk_id = self.rng.randrange(2, 2**50)
        self.write_to_disk(initial_records(self.number, AcceptorState(disk_id), False))

    def execute(self, actions: list[Action]) -> None:
        """Execute the shard's actions, in order."""
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
        """Complete the oldest pending write; it fails, and nothing of it is on disk, if the disk is full."""
        write = self.writes.pop(0)
        written = not self.refuses_writes
        if written:
            self.write_to_disk(write.puts)
        if write.completion is not None:
            self.execute(self.shard.write_finished(write.completion, written, self.world.now))

    def held_keys(self) -> dict[str, bytes]:
        """Return the records of operation keys in memory, in their stored form, by key."""
        return {key: pack(record.packed()) for key, record in self.shard.operation_keys.records.items()}

    def keys_after_restart(self) -> dict[str, bytes]:
        """Return the records of operation keys that a restart would load once all writes are complete."""
        stored = {key: value for (name, key), value in self.disk.items() if name == KEYS_DB}
        for write in self.writes:
            for name, key, value in write.puts:
                if name != KEYS_DB:
                    continue
                if value is None:
                    stored.pop(key, None)
                else:
                    stored[key] = value
        return {key.decode("latin-1"): value for key, value in stored.items()}

    def tick(self) -> None:
        """Run the shard's due work."""
        self.execute(self.shard.tick(self.world.now))

    def send_heartbeats(self, names: Iterable[str]) -> None:
        """Send a heartbeat to other controllers."""
        self.count += 1
        self.heartbeat_sent_s[self.count] = self.world.now
        if len(self.heartbeat_sent_s) > MAX_UNACKNOWLEDGED:
            del self.heartbeat_sent_s[next(iter(self.heartbeat_sent_s))]
        for name in names:
            known = self.shard.known.version
            learned = self.shard.has_learned(self.world.now)
            own = (self.peers.fit, known, self.peers.stopping, learned)
            self.world.send(self.name, name, ControllerCall.HEARTBEAT, self.name, self.count, *own)

    # Messages

    def receive(self, sender: str, message: ShardBody) -> None:
        """Handle a message from another controller's shard."""
        self.execute(self.shard.receive(sender, message, self.world.now))

    def receive_heartbeat(
        self, sender: str, number: int, fit: bool, version: int, leaves: bool, learned: bool
    ) -> None:
        """Handle a heartbeat and acknowledge it.

        :param fit: whether the sender can own a shard
        :param version: the newest version of the state that the sender knows
        :param leaves: whether the sender is stopping
        :param learned: whether the sender has caught up in this shard
        """
        self.peers.heard_s[sender] = self.world.now
        (self.peers.leaving.add if leaves else self.peers.leaving.discard)(sender)
        self.peers.learning[sender] = () if learned else (self.number,)
        (self.peers.unfit.discard if fit else self.peers.unfit.add)(sender)
        token = self.shard.accepted_fencing_token
        self.world.send(self.name, sender, ControllerCall.HEARTBEAT_ACK, self.name, number, token)
        self.execute(self.shard.heartbeat_received(version, sender))

    def receive_heartbeat_ack(self, sender: str, number: int, fencing_token: int) -> None:
        """Handle the acknowledgement of a heartbeat."""
        if number in self.heartbeat_sent_s:
            self.shard.heartbeat_acknowledged(sender, self.heartbeat_sent_s[number], fencing_token)

    def claim_key(self, reply_to: Any, request: int, epoch: int, key: str, holder: str) -> None:
        """Handle a node's claim of an operation key."""
        claim = KeyClaim(request, epoch, key, holder)
        self.execute(self.shard.claim_key(reply_to, claim, True, self.world.now))

    def record_answer(self, key: str, holder: str, answer: Any) -> None:
        """Handle the answer of a key's first run."""
        self.execute(self.shard.record_answer(KeyAnswer(key, holder, answer), self.world.now))

    def release_key(self, reply_to: Any, number: int, key: str, holder: str) -> None:
        """Handle a node's release of an operation key."""
        self.execute(self.shard.release_key(reply_to, KeyRelease(number, key, holder), self.world.now))
