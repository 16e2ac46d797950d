"""`python -m orchidferry.testkit.bench.second_loss`.

How long a replica that lost its disk, or a newcomer in the place of one that leaves, takes to hold all keys
and to grant again.

The shipping shards in virtual time. Each step's processor time is measured here (messages packed and read,
lmdb transactions) and charged to its machine at `SHARE` of a core; a commit takes `SYNC_S` and a page for
each record longer, a message `HOP_S` and its bytes. Keyed calls go on meanwhile.
"""

from __future__ import annotations

import argparse
import gc
import hashlib
import heapq
import os
import random
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import cbor2

from orchidferry.balancing.register import AcceptorState
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import Action, SendMessage, SendReply, WriteRecords
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.shard import Shard, initial_records
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.storage.environment import DATABASE_NAMES, open_environment
from orchidferry.mesh.storage.record_format import add_checksum, write_seal
from orchidferry.mesh.wire.codec import LENGTH_BYTES, decode, encode
from orchidferry.mesh.wire.messages import Heartbeat, HeartbeatAck, KeyAnswer, KeyClaim, Message, ShardMessage
from orchidferry.mesh.wire.shard_messages import Handoff, KeyPage, KeyRecords

DISK = "ORCHIDFERRY_BENCH_DISK"  # names a folder in memory, as for `orchidferry bench mesh`
SHARE = 0.245  # of a core: what a controller has
SYNC_S = 0.001
DISK_BYTES_S = 60e6
PAGE = 4_096  # of the store: what the least write costs
HOP_S = 0.0005
LINK_BYTES_S = 125e6
BEAT_S = 0.4
TICK_S = 0.05
WINDOW_S = 60.0
KEPT_S = 140.0
ANSWER = 1_500  # bytes
RUN_S = 0.05  # from a grant to the run's answer
SETTLE_S = 2.5  # before the loss
MAX_S = 40.0  # after it
MAX_KEYS = 1_000_000


class World:
    """Machines, and what is to come."""

    def __init__(self, replicas: int, spare: int, rate: float, seed: int, folder: str) -> None:
        self.now, self._count, self._queue = 1.0, 0, list[tuple[float, int, Callable[[], None]]]()
        self.rng = random.Random(seed)
        self.rate = rate
        self.claims = 0
        names = "abcdefghi"[: replicas + spare]
        self.seeds = tuple(names[:replicas])
        self.machines = {name: Machine(name, self, name in self.seeds, folder) for name in names}
        self.granted: dict[str, set[str]] = {}  # keys and who said yours

    def at(self, when: float, what: Callable[[], None]) -> None:
        """Have something called at a time."""
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, what))

    def play(self, until: float, done: Callable[[], bool] = lambda: False) -> None:
        """Go on until then, or until it is done."""
        while self._queue and self._queue[0][0] <= until and not done():
            self.now, _, what = heapq.heappop(self._queue)
            what()

    def preload(self) -> None:
        """All keys that a day leaves behind, at all founders."""
        for number in range(int(self.rate * KEPT_S)):
            key = key_of(number)
            for name in self.seeds:
                shard = self.machines[name].shards[shard_state.shard_of(key)]
                shard.load_key(key, [f"node {number}", 0, [200, [], self.rng.randbytes(ANSWER)]])

    def claim(self) -> None:
        """A node claims a key at all controllers, and tells them the answer once it ran."""
        self.at(self.now + self.rng.expovariate(self.rate), self.claim)
        self.claims += 1
        key, holder = key_of(-self.claims), f"node {self.claims}"
        answer = [200, [], self.rng.randbytes(ANSWER)]
        for machine in self.machines.values():
            if machine.alive:
                shard = machine.shards[shard_state.shard_of(key)]
                machine.claim(shard, key, holder)
                self.at(self.now + RUN_S, lambda m=machine, s=shard: m.done(s, key, holder, answer))  # type: ignore[misc]


def key_of(number: int) -> str:
    """Keys come in no order."""
    return hashlib.blake2b(str(number).encode(), digest_size=16).hexdigest()


@dataclass
class Cost:
    """What one machine has spent since it was last asked."""

    cpu_s: float = 0.0
    sent: int = 0
    written: int = 0
    pages: int = 0


class Machine:
    """A controller's process with its disk, on a processor of its own."""

    def __init__(self, name: str, world: World, founder: bool, folder: str) -> None:
        self.name = name
        self.world = world
        self.founder = founder
        self.folder = folder
        self.alive = False
        self.life = 0
        self.free_s = 0.0
        self.disk_busy = False
        self.cost = Cost()

    def start(self, founder: bool) -> None:
        """A new memory, on an empty disk."""
        self.alive = True
        self.life = self.life + 1
        self.free_s, self.disk_busy, self.jobs = self.world.now, False, list[tuple[Shard, WriteRecords]]()
        self.env = open_environment(tempfile.mkdtemp(dir=self.folder))
        with self.env.begin(write=True) as txn:
            self.dbs = {name: self.env.open_db(name.encode(), txn=txn) for name in DATABASE_NAMES}
            write_seal(txn, self.dbs)
        self.peers = Peers(self.world.now)
        rng = self.world.rng
        first = shard_state.genesis(self.world.seeds)
        self.shards = dict[int, Shard]()
        for number in shard_state.KEY_SHARDS:
            kept = AcceptorState(shard_state.FOUNDER_DISK_ID if founder else rng.randrange(2, 2**50))
            parameters = ShardParameters(number, self.name, first, len(self.world.seeds), WINDOW_S, MAX_KEYS)
            self.shards[number] = Shard(parameters, kept, founder, self.peers, rng)
            self.jobs.append((self.shards[number], WriteRecords(initial_records(number, kept, founder))))
        self.beats = dict[int, float]()
        self.number = 0
        self._each(BEAT_S, self.beat, self.life)
        self._each(TICK_S, self.tick, self.life)

    def _each(self, every_s: float, what: Callable[[], None], life: int) -> None:
        if self.alive and self.life == life:
            self.run(what)
            self.world.at(self.world.now + every_s, lambda: self._each(every_s, what, life))

    def run(self, what: Callable[[], Any]) -> None:
        """Do it as soon as the processor is free, and charge it."""
        life, start = self.life, max(self.world.now, self.free_s)
        if start > self.world.now:
            return self.world.at(start, lambda: self.run(what) if self.alive and self.life == life else None)
        began = time.thread_time()
        what()
        took = time.thread_time() - began
        self.cost.cpu_s += took
        self.free_s = self.world.now + took / SHARE
        if self.jobs and not self.disk_busy:
            self.commit()
        return None

    def do(self, shard: Shard, actions: list[Action]) -> None:
        """What a shard wants done."""
        for action in actions:
            if isinstance(action, SendMessage | SendReply) and isinstance(action.to, str):
                self.send(action.to, action.message)
            elif isinstance(action, WriteRecords):
                self.jobs.append((shard, action))

    def send(self, to: str, message: Message) -> None:
        """To another machine; encoded here, decoded there."""
        other, data, sender = self.world.machines[to], encode(message)[LENGTH_BYTES:], self.name
        self.cost.sent += len(data)
        life = other.life
        arrives = max(self.world.now, self.free_s) + HOP_S + len(data) / LINK_BYTES_S

        def take() -> None:
            if other.alive and other.life == life:
                other.run(lambda: other.heard(sender, decode(data)))

        self.world.at(arrives, take)

    def commit(self) -> None:
        """All that waits, in one transaction."""
        jobs = self.jobs
        self.jobs = []
        self.disk_busy = True
        life, size, began = self.life, 0, time.thread_time()
        with self.env.begin(write=True) as txn:
            write_seal(txn, self.dbs)
            for _, write in jobs:
                for name, key, value in write.puts:
                    size += max(PAGE, len(key) + len(value or b""))  # keys come in no order
                    if value is None:
                        txn.delete(key, db=self.dbs[name])
                    else:
                        txn.put(key, add_checksum(name, key, value), db=self.dbs[name])
        took = time.thread_time() - began
        self.cost.cpu_s += took
        self.cost.written += size
        self.free_s = max(self.free_s, self.world.now) + took / SHARE

        def told() -> None:
            self.disk_busy = False
            for shard, write in jobs:
                if write.completion is not None:
                    self.do(shard, shard.write_finished(write.completion, True, self.world.now))

        def synced() -> None:
            if self.alive and self.life == life:
                self.run(told)

        self.world.at(self.free_s + SYNC_S + size / DISK_BYTES_S, synced)

    # What comes

    def tick(self) -> None:
        """Let each shard do what is due."""
        for shard in self.shards.values():
            self.do(shard, shard.tick(self.world.now))

    def beat(self) -> None:
        """Send a heartbeat to the others."""
        self.number += 1
        self.beats[self.number] = self.world.now
        versions = [s.known.version for s in self.shards.values()]
        learning = [n for n, s in self.shards.items() if not s.has_learned(self.world.now)]
        beat = Heartbeat(self.name, self.number, True, versions, self.peers.stopping, learning)
        for other in self.world.machines.values():
            if other is not self and other.alive:
                self.send(other.name, beat)

    def heard(self, sender: str, message: Message) -> None:
        """Take a message."""
        now = self.world.now
        match message:
            case Heartbeat():
                self.peers.heard_s[sender] = now
                (self.peers.leaving.add if message.leaving else self.peers.leaving.discard)(sender)
                self.peers.learning[sender] = tuple(message.missing_shards)
                fences = [s.accepted_fencing_token for s in self.shards.values()]
                self.send(sender, HeartbeatAck(self.name, message.number, fences))
                for shard, version in zip(self.shards.values(), message.versions, strict=True):
                    self.do(shard, shard.heartbeat_received(version, sender))
            case HeartbeatAck():
                for shard, fence in zip(self.shards.values(), message.fencing_tokens, strict=True):
                    shard.heartbeat_acknowledged(sender, self.beats.get(message.number, 0.0), fence)
            case ShardMessage():
                self.cost.pages += isinstance(message.body, KeyPage | KeyRecords | Handoff)
                shard = self.shards[message.shard]
                self.do(shard, shard.receive(sender, message.body, now))

    def claim(self, shard: Shard, key: str, holder: str) -> None:
        """Claim a key."""
        under = shard.body.epoch

        def claim() -> None:
            message = KeyClaim(0, under, key, holder)
            self.do(shard, shard.claim_key(None, message, True, self.world.now))

        self.run(claim)

    def done(self, shard: Shard, key: str, holder: str, answer: Any) -> None:
        """Record the answer of a key."""
        if self.alive and shard in self.shards.values():

            def record() -> None:
                message = KeyAnswer(key, holder, cbor2.loads(cbor2.dumps(answer)))
                self.do(shard, shard.record_answer(message, self.world.now))

            self.run(record)

    @property
    def keys(self) -> int:
        """How many keys it holds."""
        return sum(len(shard.operation_keys.records) for shard in self.shards.values())

    @property
    def grants(self) -> bool:
        """Whether it grants keys now."""
        return all(shard.grants(shard.body.epoch) for shard in self.shards.values())


def measured(how: str, replicas: int, rate: float, seed: int, folder: str) -> dict[str, Any]:
    """One loss: `wiped`, `two wiped` or `leaves`."""
    world = World(replicas, int(how == "leaves"), rate, seed, folder)
    for name in world.seeds:
        world.machines[name].start(True)
    world.preload()
    gc.collect()
    gc.freeze()
    world.at(world.now + 0.5, world.claim)
    world.play(world.now + SETTLE_S)
    lost = [world.machines[name] for name in world.seeds[: 2 if how == "two wiped" else 1]]
    back = lost
    if how == "leaves":
        lost[0].peers.stopping = True
        back = [world.machines["abcdefghi"[replicas]]]
    for machine in back:
        machine.alive = False
        machine.start(False)
    began = world.now
    others = [m for m in world.machines.values() if m.alive and m not in back and m not in lost]
    for machine in world.machines.values():
        machine.cost = Cost()
    at: list[float] = []

    def done() -> bool:
        at.extend([world.now - began] * (len([m for m in back if m.grants]) - len(at)))
        return len(at) == len(back)

    world.play(began + MAX_S, done)
    held = min(m.keys for m in back) / max(1, max(m.keys for m in others))
    sender = max(others, key=lambda m: m.cost.cpu_s)
    return {
        "how": how,
        "replicas": replicas,
        "rate": rate,
        "keys": max(m.keys for m in others),
        "share held": held,
        "granting after s": at[-1] if len(at) == len(back) else None,
        "newcomer cpu s": max(m.cost.cpu_s for m in back),
        "most of a source cpu s": sender.cost.cpu_s,
        "MB sent by all": sum(m.cost.sent for m in world.machines.values()) / 1e6,
        "newcomer MB written": max(m.cost.written for m in back) / 1e6,
    }


def main() -> int:
    """Print a row a loss."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, action="append", help="keyed calls a second")
    parser.add_argument("--replicas", type=int, action="append")
    parser.add_argument("--how", action="append", choices=("wiped", "two wiped", "leaves"))
    parser.add_argument("--seed", type=int, default=1)
    args = parser.parse_args()
    for replicas in args.replicas or [3, 5]:
        for how in args.how or ["wiped", "leaves", "two wiped"]:
            if how == "two wiped" and replicas < 5:
                continue
            for rate in args.rate or [100.0, 150.0]:
                with tempfile.TemporaryDirectory(dir=os.environ.get(DISK)) as folder:
                    row = measured(how, replicas, rate, args.seed, folder)
                    told = (f"{k} {v:.3g}" if isinstance(v, float) else f"{k} {v}" for k, v in row.items())
                    print("; ".join(told), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
