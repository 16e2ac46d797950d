"""A controller's process with its disk in memory, round one shipping `shard.Shard`: it does what the
shard wants as `Controller` does, and leaves clock, chance and the way between processes to the world that
it stands in.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any, Protocol

from orchidferry.balancing.register import AcceptorState
from orchidferry.mesh.control import shard_state
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
MAX_BEATS = 16  # that may be acknowledged yet, as at `Controller`


class Around(Protocol):
    """What a controller's process meets."""

    now: float

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Have a controller's method of that name called, later or never."""

    def answer(self, name: str, answer: SendReply) -> None:
        """A controller answers."""

    def decided(self, name: str, changed: StateChanged) -> None:
        """A controller has learned a newer state."""

    def told(self, name: str, end: RequestEnded) -> None:
        """What was asked for at a controller is over."""


class Controller:
    """A process with its disk, which writes when it is told to (`disk_turn`)."""

    def __init__(
        self,
        name: str,
        world: Around,
        founder: bool,
        number: int,
        rng: random.Random,
        seeds: tuple[str, ...] = SEEDS,
    ) -> None:
        """`number`: of the shard; `seeds`: the founders, as many as the group should have."""
        self.name = name
        self.world = world
        self.number = number
        self.rng = rng
        self.seeds = seeds
        self.disk: dict[tuple[str, bytes], bytes] = {}
        self.put(
            initial_records(
                number, AcceptorState(shard_state.GENESIS if founder else rng.randrange(2, 2**50)), founder
            )
        )
        self.start()

    def put(self, puts: list[RecordWrite]) -> None:
        """Have these on disk."""
        for name, key, value in puts:
            if value is None:
                self.disk.pop((name, key), None)
            else:
                self.disk[name, key] = value

    def start(self) -> None:
        """A new life, with what is on the disk."""
        self.alive, self.writes = True, list[WriteRecords]()
        self.peers, self.beats, self.count = Peers(self.world.now), dict[int, float](), 0
        kept = shard_state.unpack_kept(unpack(self.disk["about", f"kept/{self.number}".encode()]))
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
        """An empty disk, with a new memory."""
        self.disk = {}
        self.put(initial_records(self.number, AcceptorState(self.rng.randrange(2, 2**50)), False))

    def do(self, actions: list[Action]) -> None:
        """What the shard wants done, in its order."""
        for action in actions:
            match action:
                case SendMessage():
                    self.world.send(self.name, action.to, "heard", self.name, action.message.body)
                case SendReply():
                    self.world.answer(self.name, action)
                case WriteRecords():
                    self.writes.append(action)
                case StateChanged():
                    self.world.decided(self.name, action)
                case RequestEnded():
                    self.world.told(self.name, action)

    def disk_turn(self) -> None:
        """The oldest write reaches the disk."""
        write = self.writes.pop(0)
        self.put(write.puts)
        if write.completion is not None:
            self.do(self.shard.write_finished(write.completion, True, self.world.now))

    def tick(self) -> None:
        """Let time pass."""
        self.do(self.shard.tick(self.world.now))

    def beat_to(self, names: Iterable[str]) -> None:
        """Tell others that this one lives."""
        self.count += 1
        self.beats[self.count] = self.world.now
        if len(self.beats) > MAX_BEATS:
            del self.beats[next(iter(self.beats))]
        for name in names:
            known = self.shard.known.version
            learned = self.shard.has_learned(self.world.now)
            own = (self.peers.fit, known, self.peers.stopping, learned)
            self.world.send(self.name, name, "beat", self.name, self.count, *own)

    # What comes

    def heard(self, sender: str, message: ShardBody) -> None:
        """A message of another controller."""
        self.do(self.shard.receive(sender, message, self.world.now))

    def beat(self, sender: str, number: int, fit: bool, version: int, leaves: bool, learned: bool) -> None:
        """Another one lives."""
        self.peers.heard_s[sender] = self.world.now
        (self.peers.leaving.add if leaves else self.peers.leaving.discard)(sender)
        self.peers.learning[sender] = () if learned else (self.number,)
        (self.peers.unfit.discard if fit else self.peers.unfit.add)(sender)
        self.world.send(self.name, sender, "pulse", self.name, number, self.shard.accepted_fencing_token)
        self.do(self.shard.heartbeat_received(version, sender))

    def pulse(self, sender: str, number: int, fence: int) -> None:
        """A beat was heard."""
        if number in self.beats:
            self.shard.heartbeat_acknowledged(sender, self.beats[number], fence)

    def claim(self, who: Any, rid: int, under: int, key: str, holder: str) -> None:
        """A try wants a key."""
        self.do(self.shard.claim_key(who, KeyClaim(rid, under, key, holder), True, self.world.now))

    def done(self, key: str, holder: str, answer: Any) -> None:
        """A key's run was answered."""
        self.do(self.shard.record_answer(KeyAnswer(key, holder, answer), self.world.now))

    def drop(self, who: Any, give_back: int, key: str, holder: str) -> None:
        """A key is given back."""
        self.do(self.shard.release_key(who, KeyRelease(give_back, key, holder), self.world.now))
