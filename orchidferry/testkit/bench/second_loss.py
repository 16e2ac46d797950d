"""`python -m orchidferry.testkit.bench.second_loss`: recovery time of a replica after the loss of its disk.

Measures the time until a replica that lost its disk, or a new replica that replaces a leaving one, holds all
operation keys and grants claims again, while keyed requests continue.

The production shards run in virtual time. The processor time of each step (encoding and decoding of messages,
lmdb transactions) is measured on this machine and charged to the simulated one, which has the fraction
`CPU_SHARE` of a core. A commit additionally takes `SYNC_S` and the writing of at least a page for each
record; a message takes `HOP_S` and the transmission of its bytes.
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

DISK = "ORCHIDFERRY_BENCH_DISK"  # environment variable: a folder in memory, as for `orchidferry bench mesh`
CPU_SHARE = 0.245  # fraction of a CPU core that a controller has
SYNC_S = 0.001  # duration of a disk sync
DISK_BYTES_S = 60e6  # write throughput of a disk
PAGE_BYTES = 4_096  # page size of the store: the minimum cost of a write
HOP_S = 0.0005  # one-way latency between machines
LINK_BYTES_S = 125e6  # throughput of a link
HEARTBEAT_S = 0.4  # interval between two heartbeats
TICK_S = 0.05  # interval between two ticks of the shards
WINDOW_S = 60.0  # key window of the shards
KEPT_S = 140.0  # the keys of this duration are stored before the run starts
ANSWER_BYTES = 1_500  # size of a stored response
CALL_S = 0.05  # time from a claim to the answer of the call
SETTLE_S = 2.5  # time from the start of the run to the loss
MAX_S = 40.0  # maximum time from the loss to the end of the run
MAX_KEYS = 1_000_000  # limit of keys in a shard


class World:
    """The simulated machines, the virtual clock and the queue of events."""

    def __init__(self, replicas: int, spare: int, rate: float, seed: int, folder: str) -> None:
        self.now, self._count, self._queue = 1.0, 0, list[tuple[float, int, Callable[[], None]]]()
        self.rng = random.Random(seed)
        self.rate = rate
        self.claims = 0
        names = "abcdefghi"[: replicas + spare]
        self.seeds = tuple(names[:replicas])
        self.machines = {name: Machine(name, self, name in self.seeds, folder) for name in names}
        self.granted: dict[str, set[str]] = {}  # machines that granted each key

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a time."""
        self._count += 1
        heapq.heappush(self._queue, (when, self._count, callback))

    def play(self, until: float, done: Callable[[], bool] = lambda: False) -> None:
        """Run all events up to a time, or until `done` returns true."""
        while self._queue and self._queue[0][0] <= until and not done():
            self.now, _, callback = heapq.heappop(self._queue)
            callback()

    def store_earlier_keys(self) -> None:
        """Store the keys of the last `KEPT_S` at all founders."""
        for number in range(int(self.rate * KEPT_S)):
            key = key_of(number)
            for name in self.seeds:
                shard = self.machines[name].shards[shard_state.shard_of(key)]
                shard.load_key(key, [f"node {number}", 0, [200, [], self.rng.randbytes(ANSWER_BYTES)]])

    def claim(self) -> None:
        """Claim a key at all controllers, and report the answer of its call to them later."""
        self.at(self.now + self.rng.expovariate(self.rate), self.claim)
        self.claims += 1
        key, holder = key_of(-self.claims), f"node {self.claims}"
        answer = [200, [], self.rng.randbytes(ANSWER_BYTES)]
        for machine in self.machines.values():
            if machine.alive:
                shard = machine.shards[shard_state.shard_of(key)]
                machine.claim(shard, key, holder)
                self.at(self.now + CALL_S, lambda m=machine, s=shard: m.record_answer(s, key, holder, answer))  # type: ignore[misc]


def key_of(number: int) -> str:
    """Return the key of a number; keys are unordered."""
    return hashlib.blake2b(str(number).encode(), digest_size=16).hexdigest()


@dataclass
class Cost:
    """The resources that one machine has used since the loss."""

    cpu_s: float = 0.0
    sent: int = 0  # bytes
    written: int = 0  # bytes
    pages: int = 0  # received messages with key records


class Machine:
    """A controller's process with its disk and a processor of its own."""

    def __init__(self, name: str, world: World, founder: bool, folder: str) -> None:
        self.name = name
        self.world = world
        self.founder = founder
        self.folder = folder
        self.alive = False
        self.incarnation = 0  # number of starts
        self.free_s = 0.0  # when the processor is free
        self.disk_busy = False
        self.cost = Cost()

    def start(self, founder: bool) -> None:
        """Start the process with empty memory and an empty disk."""
        self.alive = True
        self.incarnation = self.incarnation + 1
        self.free_s, self.disk_busy, self.jobs = self.world.now, False, list[tuple[Shard, WriteRecords]]()
        self.env = open_environment(tempfile.mkdtemp(dir=self.folder))
        with self.env.begin(write=True) as txn:
            self.dbs = {name: self.env.open_db(name.encode(), txn=txn) for name in DATABASE_NAMES}
            write_seal(txn, self.dbs)
        self.peers = Peers(self.world.now)
        rng = self.world.rng
        initial_state = shard_state.genesis(self.world.seeds)
        self.shards = dict[int, Shard]()
        for number in shard_state.KEY_SHARDS:
            acceptor = AcceptorState(shard_state.FOUNDER_DISK_ID if founder else rng.randrange(2, 2**50))
            parameters = ShardParameters(
                number, self.name, initial_state, len(self.world.seeds), WINDOW_S, MAX_KEYS
            )
            self.shards[number] = Shard(parameters, acceptor, founder, self.peers, rng)
            self.jobs.append((self.shards[number], WriteRecords(initial_records(number, acceptor, founder))))
        self.heartbeats_s = dict[int, float]()
        self.number = 0
        self._repeat(HEARTBEAT_S, self.send_heartbeat, self.incarnation)
        self._repeat(TICK_S, self.tick, self.incarnation)

    def _repeat(self, every_s: float, callback: Callable[[], None], incarnation: int) -> None:
        if self.alive and self.incarnation == incarnation:
            self.run(callback)
            self.world.at(self.world.now + every_s, lambda: self._repeat(every_s, callback, incarnation))

    def run(self, callback: Callable[[], Any]) -> None:
        """Run a callback as soon as the processor is free, and charge its processor time."""
        incarnation, start = self.incarnation, max(self.world.now, self.free_s)
        if start > self.world.now:
            return self.world.at(
                start, lambda: self.run(callback) if self.alive and self.incarnation == incarnation else None
            )
        start_s = time.thread_time()
        callback()
        spent_s = time.thread_time() - start_s
        self.cost.cpu_s += spent_s
        self.free_s = self.world.now + spent_s / CPU_SHARE
        if self.jobs and not self.disk_busy:
            self.commit()
        return None

    def execute(self, shard: Shard, actions: list[Action]) -> None:
        """Execute the actions of a shard."""
        for action in actions:
            if isinstance(action, SendMessage | SendReply) and isinstance(action.to, str):
                self.send(action.to, action.message)
            elif isinstance(action, WriteRecords):
                self.jobs.append((shard, action))

    def send(self, to: str, message: Message) -> None:
        """Send a message to another machine; the sender encodes it, the receiver decodes it."""
        other, data, sender = self.world.machines[to], encode(message)[LENGTH_BYTES:], self.name
        self.cost.sent += len(data)
        incarnation = other.incarnation
        arrives = max(self.world.now, self.free_s) + HOP_S + len(data) / LINK_BYTES_S

        def deliver() -> None:
            if other.alive and other.incarnation == incarnation:
                other.run(lambda: other.receive(sender, decode(data)))

        self.world.at(arrives, deliver)

    def commit(self) -> None:
        """Write all waiting records in one transaction."""
        jobs = self.jobs
        self.jobs = []
        self.disk_busy = True
        incarnation, size, start_s = self.incarnation, 0, time.thread_time()
        with self.env.begin(write=True) as txn:
            write_seal(txn, self.dbs)
            for _, write in jobs:
                for name, key, value in write.puts:
                    # Keys are unordered, so each record writes at least a page of its own.
                    size += max(PAGE_BYTES, len(key) + len(value or b""))
                    if value is None:
                        txn.delete(key, db=self.dbs[name])
                    else:
                        txn.put(key, add_checksum(name, key, value), db=self.dbs[name])
        spent_s = time.thread_time() - start_s
        self.cost.cpu_s += spent_s
        self.cost.written += size
        self.free_s = max(self.free_s, self.world.now) + spent_s / CPU_SHARE

        def on_committed() -> None:
            self.disk_busy = False
            for shard, write in jobs:
                if write.completion is not None:
                    self.execute(shard, shard.write_finished(write.completion, True, self.world.now))

        def on_synced() -> None:
            if self.alive and self.incarnation == incarnation:
                self.run(on_committed)

        self.world.at(self.free_s + SYNC_S + size / DISK_BYTES_S, on_synced)

    # Events

    def tick(self) -> None:
        """Pass the time to all shards, and execute their actions."""
        for shard in self.shards.values():
            self.execute(shard, shard.tick(self.world.now))

    def send_heartbeat(self) -> None:
        """Send a heartbeat to the others."""
        self.number += 1
        self.heartbeats_s[self.number] = self.world.now
        versions = [s.known.version for s in self.shards.values()]
        learning = [n for n, s in self.shards.items() if not s.has_learned(self.world.now)]
        heartbeat = Heartbeat(self.name, self.number, True, versions, self.peers.stopping, learning)
        for other in self.world.machines.values():
            if other is not self and other.alive:
                self.send(other.name, heartbeat)

    def receive(self, sender: str, message: Message) -> None:
        """Handle a message."""
        now = self.world.now
        match message:
            case Heartbeat():
                self.peers.heard_s[sender] = now
                (self.peers.leaving.add if message.leaving else self.peers.leaving.discard)(sender)
                self.peers.learning[sender] = tuple(message.missing_shards)
                fences = [s.accepted_fencing_token for s in self.shards.values()]
                self.send(sender, HeartbeatAck(self.name, message.number, fences))
                for shard, version in zip(self.shards.values(), message.versions, strict=True):
                    self.execute(shard, shard.heartbeat_received(version, sender))
            case HeartbeatAck():
                for shard, fence in zip(self.shards.values(), message.fencing_tokens, strict=True):
                    shard.heartbeat_acknowledged(sender, self.heartbeats_s.get(message.number, 0.0), fence)
            case ShardMessage():
                self.cost.pages += isinstance(message.body, KeyPage | KeyRecords | Handoff)
                shard = self.shards[message.shard]
                self.execute(shard, shard.receive(sender, message.body, now))

    def claim(self, shard: Shard, key: str, holder: str) -> None:
        """Claim a key."""
        epoch_at_claim = shard.body.epoch

        def claim() -> None:
            message = KeyClaim(0, epoch_at_claim, key, holder)
            self.execute(shard, shard.claim_key(None, message, True, self.world.now))

        self.run(claim)

    def record_answer(self, shard: Shard, key: str, holder: str, answer: Any) -> None:
        """Record the answer of a key."""
        if self.alive and shard in self.shards.values():

            def record() -> None:
                message = KeyAnswer(key, holder, cbor2.loads(cbor2.dumps(answer)))
                self.execute(shard, shard.record_answer(message, self.world.now))

            self.run(record)

    @property
    def keys(self) -> int:
        """Number of keys that the machine holds."""
        return sum(len(shard.operation_keys.records) for shard in self.shards.values())

    @property
    def grants(self) -> bool:
        """Whether all shards of the machine grant claims now."""
        return all(shard.grants(shard.body.epoch) for shard in self.shards.values())


def measure_loss(how: str, replicas: int, rate: float, seed: int, folder: str) -> dict[str, Any]:
    """Simulate one loss.

    :param how: `wiped` (a replica loses its disk), `two wiped`, or `leaves` (a new replica replaces one).
    :param rate: keyed requests per second.
    :returns: a row of figures.
    """
    world = World(replicas, int(how == "leaves"), rate, seed, folder)
    for name in world.seeds:
        world.machines[name].start(True)
    world.store_earlier_keys()
    gc.collect()
    gc.freeze()
    world.at(world.now + 0.5, world.claim)
    world.play(world.now + SETTLE_S)
    lost = [world.machines[name] for name in world.seeds[: 2 if how == "two wiped" else 1]]
    replacements = lost
    if how == "leaves":
        lost[0].peers.stopping = True
        replacements = [world.machines["abcdefghi"[replicas]]]
    for machine in replacements:
        machine.alive = False
        machine.start(False)
    start_s = world.now
    sources = [m for m in world.machines.values() if m.alive and m not in replacements and m not in lost]
    for machine in world.machines.values():
        machine.cost = Cost()
    granting_s: list[float] = []

    def done() -> bool:
        granting_s.extend(
            [world.now - start_s] * (len([m for m in replacements if m.grants]) - len(granting_s))
        )
        return len(granting_s) == len(replacements)

    world.play(start_s + MAX_S, done)
    held = min(m.keys for m in replacements) / max(1, max(m.keys for m in sources))
    sender = max(sources, key=lambda m: m.cost.cpu_s)
    return {
        "how": how,
        "replicas": replicas,
        "rate": rate,
        "keys": max(m.keys for m in sources),
        "share held": held,
        "granting after s": granting_s[-1] if len(granting_s) == len(replacements) else None,
        "newcomer cpu s": max(m.cost.cpu_s for m in replacements),
        "most of a source cpu s": sender.cost.cpu_s,
        "MB sent by all": sum(m.cost.sent for m in world.machines.values()) / 1e6,
        "newcomer MB written": max(m.cost.written for m in replacements) / 1e6,
    }


def main() -> int:
    """Print a row for each loss."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, action="append", help="keyed requests per second")
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
                    row = measure_loss(how, replicas, rate, args.seed, folder)
                    text = (f"{k} {v:.3g}" if isinstance(v, float) else f"{k} {v}" for k, v in row.items())
                    print("; ".join(text), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
