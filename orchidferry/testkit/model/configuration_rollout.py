"""How long a new configuration takes to reach all nodes while a controller is isolated and nodes restart.

Controllers and nodes in virtual time: the shipping `Shard` of the configuration, `Publisher`, `ControlClient`
and tree of relays, over links of a given rate and on shares of a core (`virtual_process.Machine`). Constants
of cost were measured on a whole core; each use divides them by the machine's share. One seed gives one run.
"""

from __future__ import annotations

import argparse
import json
import random
from collections.abc import Callable, Coroutine, Generator
from dataclasses import dataclass, field
from typing import Any

from loguru import logger

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded, SendReply, StateChanged
from orchidferry.mesh.control.configuration import digest
from orchidferry.mesh.control.configuration_text import compress
from orchidferry.mesh.control.control_client import ControlClient
from orchidferry.mesh.control.endpoints import IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.control.message_handlers import newest_revision
from orchidferry.mesh.control.publisher import Publisher
from orchidferry.mesh.settings import Bounds, Settings
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    GroupAnnouncement,
    LeaseRenewal,
    NodeHello,
    Revision,
    RevisionRead,
    ShardMessage,
    UpdateRequest,
    UpdateSubscription,
    UpdateUnsubscription,
)
from orchidferry.testkit.explore.controller import Controller as Replica
from orchidferry.testkit.explore.controller import ControllerCall
from orchidferry.testkit.model.fanout_world import World
from orchidferry.testkit.model.replica_group import (
    DISK_SYNC_S,
    HEARTBEAT_INTERVAL_S,
    TICK_INTERVAL_S,
    encode_call,
    example_configuration,
)
from orchidferry.testkit.model.virtual_process import Machine, Process

ZONES = 3
NODES = 74
CONTROLLERS = 6
VOTERS = 5
SEEDS = 3
BETWEEN_ZONES_S = 0.0009
WITHIN_ZONE_S = 0.0001
CHANGE_EVERY_S = 0.5
PUT_S = 4.0  # for an order to be decided
START_S = 1.0  # of a process that was killed, until it dials: assumed
READY_LOOK_S = 0.01
SERVER_BEAT_S = 1.5  # a new node hears of the server beside it within this

# Work on a whole core, measured (docs/design/worst-days.md).
# one message; news makes a node look at all members
CONTROLLER_MESSAGE_S = 60e-6
NODE_MESSAGE_S = 200e-6
CHECK_S = 0.042  # an order's text: checked and compressed, at the controller that takes it
APPLY_S = 0.004  # a new text: expanded, read and put in force, at a node

ISOLATED_S = 20.0
SETTLED_S = 4.0  # from the start of all processes to the day's first change


def mixed(revision: int) -> bytes:
    """An example_configuration whose names and paths are drawn at random, the same for each revision."""
    rng = random.Random(1)
    whole = json.loads(example_configuration(revision))
    for rule in whole["access_points"][0]["rule_set"]:
        rule["identifier"] = f"{rng.randrange(16**12):012x}"
        rule["criteria"]["path_prefix"] = f"/x/{rng.randrange(16**16):016x}/"
    return json.dumps(whole).encode()


@dataclass(frozen=True, slots=True)
class Day:
    """What happens, in seconds from the first change on."""

    isolated_s: float = 2.0  # the controller that acknowledges next is cut off as it does so
    direction: str = "both"  # "both", "in" (the controller hears nobody) or "out" (nobody hears it)
    scope: str = "all"  # cut from "all" processes or from other controllers only ("core")
    restarts: int = 26
    restarts_s: float = 8.0  # when the first node is killed, all within a second
    relays_first: bool = False  # those whose followers are the most, in place of some drawn at random
    length_s: float = 26.0
    mixed_names: bool = (
        False  # a text whose names hardly repeat, which compresses by a ninth in place of a 13th
    )
    node_bits_per_s: float = 3.5e6
    core_bits_per_s: float = 86e6
    node_share: float = 0.43
    core_share: float = 0.245


@dataclass(slots=True)
class Outcome:
    """What was measured, in seconds."""

    spread_s: dict[int, float] = field(default_factory=dict)  # by revision: acknowledged to the last node
    last_node: dict[int, str] = field(default_factory=dict)  # by revision
    ready_s: dict[str, float] = field(default_factory=dict)  # by restarted node: from its kill
    missed: list[tuple[int, str]] = field(default_factory=list)  # revision, node: never served by it
    core_text_bytes: int = 0  # of configurations' texts, sent by controllers in all


class Pending:
    """A link that is being made; a coroutine that awaits it goes on once `finish` is called."""

    def __init__(self) -> None:
        self._then: Callable[[Any], None] | None = None

    def __await__(self) -> Generator[Pending, Any, Any]:
        return (yield self)

    def when_finished(self, then: Callable[[Any], None]) -> None:
        """Have this called with the result."""
        self._then = then

    def finish(self, result: Any) -> None:
        """The result is here."""
        assert self._then is not None
        self._then(result)


class Task:
    """A coroutine that awaits nothing but `Pending`s."""

    def __init__(self, work: Coroutine[Any, Any, Any]) -> None:
        self._work = work
        self._done: list[Callable[[Any], object]] = []
        self._over = False
        self._step(None)

    def _step(self, result: Any) -> None:
        try:
            self._work.send(result).when_finished(self._step)
        except StopIteration:
            self._over = True
            for call in self._done:
                call(self)

    def add_done_callback(self, call: Callable[[Any], object]) -> None:
        """Have this called at its end."""
        if self._over:
            call(self)
        else:
            self._done.append(call)


class ControllerProcess(Process):
    """A replica of the configuration's shard, and the publisher that tells nodes what it learns."""

    def __init__(self, world: Rollout, name: str, zone: int, founder: bool, machine: Machine) -> None:
        super().__init__(world, name, zone, machine)
        self.rollout = world
        loop: Any = self
        life = world.rng.randrange(1, 2**53)
        self.publisher = Publisher(name, self.zone, life, loop, self._contact_age_ms)
        self.replica = Replica(
            name, world, founder, shard_state.CONFIGURATION, random.Random(world.rng.random()), world.voters
        )
        self.call_later(TICK_INTERVAL_S * world.rng.random(), self._tick)
        self.call_later(HEARTBEAT_INTERVAL_S * world.rng.random(), self._beat)

    def _contact_age_ms(self) -> int | None:
        shard = self.replica.shard
        since_s = self.replica.peers.contact.since_s(shard.known.voters, shard.voter)
        return None if since_s == float("-inf") else max(0, round(1e3 * (self.time() - since_s)))

    def _tick(self) -> None:
        self.call_later(TICK_INTERVAL_S, self._tick)
        self.publisher.tick()
        self.replica.tick()
        self.sync()

    def _beat(self) -> None:
        self.call_later(HEARTBEAT_INTERVAL_S, self._beat)
        self.replica.send_heartbeats(name for name in self.rollout.controllers if name != self.name)
        self.sync()

    def sync(self) -> None:
        """Have the writes that wait reach the disk."""
        waiting = list(self.replica.writes)

        def written() -> None:
            for write in waiting:
                if write in self.replica.writes:
                    self.replica.complete_write()
            self.sync()

        if waiting:
            self.call_later(DISK_SYNC_S, written)

    def learned(self, changed: StateChanged) -> None:
        """The shard has a newer state."""
        old = shard_state.body(changed.old)
        new = shard_state.body(changed.new)
        if (new.epoch, new.fencing_token) != (old.epoch, old.fencing_token):
            self._tell_group(None)
        if new.revision != old.revision:
            self.publisher.announce_revision(new.revision)

    def _tell_group(self, link: Any) -> None:
        shard = self.replica.shard
        names = [voter.name for voter in shard.known.voters]
        for number in shard_state.SHARDS:
            own = shard.body
            group = GroupAnnouncement(number, own.epoch, names, own.owner, own.fencing_token)
            self.publisher.send_group(group, link)

    def order(self, change: shard_state.PutConfiguration, told: Callable[[RequestEnded], None]) -> None:
        """An operator's order comes: it is checked, then voted on."""
        done_s = self.work(CHECK_S)
        self.world.at(done_s, lambda: self.run(lambda: self._ask(change, told)))

    def _ask(self, change: shard_state.PutConfiguration, told: Callable[[RequestEnded], None]) -> None:
        id = self.rollout.wait_for(told)
        self.replica.execute(self.replica.shard.request_change(id, change, PUT_S, self.time()))
        self.sync()

    @property
    def text_bytes(self) -> int:
        """Of configurations' texts that were sent to nodes."""
        return sum(size for (kind, _), (_, size) in self.publisher.traffic.sent.items() if kind == "text")

    def disconnected(self, end: Any) -> None:
        """A link has ended."""
        self.publisher.disconnected(end)

    def received(self, end: Any, message: Any) -> None:
        """Take a message."""
        publisher = self.publisher
        match message:
            case NodeHello():
                publisher.node_connected(end, message.name)
                self._tell_group(end)
            case RevisionRead():
                self._read_revision(end, message.request)
            case ConfigurationFetch():
                state = self.replica.shard.body
                text = ConfigurationText(message.request, state.revision, state.compressed_text)
                publisher.send_configuration(end, text)
            case LeaseRenewal():
                publisher.renew_lease(end, message)
            case UpdateSubscription():
                publisher.subscribe(end, message)
            case UpdateUnsubscription():
                publisher.unsubscribe(end)
            case UpdateRequest():
                publisher.send_missed(end, message)

    def _read_revision(self, end: Any, request: int) -> None:
        def tell(ended: RequestEnded) -> None:
            self.publisher.send_revision(end, Revision(request, newest_revision(ended)))

        id = self.rollout.wait_for(tell)
        self.replica.execute(self.replica.shard.request_read(id, self.time()))
        self.sync()


class NodeProcess(Process):
    """A node's shipping `ControlClient`."""

    def __init__(self, world: Rollout, name: str, zone: int, machine: Machine) -> None:
        super().__init__(world, name, zone, machine)
        self.rollout = world
        self.revision = 0  # that it serves by
        self.served_s: list[tuple[float, int]] = []  # when it began to serve by which
        settings = Settings(
            name=name,
            role="proxy",
            ip=name,
            zone=self.zone,
            first_start=False,
            listen={},
            internal_port=1,
            seeds=world.seeds,
            bounds=Bounds(),
            heartbeat_interval_ms=1e3 * SERVER_BEAT_S,
            max_file_descriptors=4_100,
            memory_mb=200.0,
        )
        loop: Any = self
        rng = random.Random(world.rng.random())
        self.client = ControlClient(
            settings, loop, lambda members: None, self._configuration_received, self._dial, rng
        )
        self.client.start()
        self._look_at_ready()
        self._publish(1, None)
        server = Server(f"{name}-{self.client.boot_id:x}", "catalogo", self.zone, IN_SERVICE, 3, 0.0, "v1")
        self.call_later(rng.random() * SERVER_BEAT_S, self._publish, 2, server)

    def create_task(self, work: Coroutine[Any, Any, Any]) -> Task:
        """As a loop does."""
        return Task(work)

    def _publish(self, number: int, server: Server | None) -> None:
        record = NodeRecord(self.name, self.client.boot_id, number, self.zone, self.name, 1, server)
        self.client.publish(record)

    def _dial(self, on_message: Any, on_lost: Any, host: str, port: int, own_ip: str) -> Pending:
        pending = Pending()
        self.world.dial(self, host, on_message, on_lost, lambda name, link: pending.finish(link))
        return pending

    def _configuration_received(self, revision: int, text: bytes) -> None:
        done_s = self.work(APPLY_S)
        self.world.at(done_s, lambda: self.run(lambda: self._serve_by(revision)))

    def _serve_by(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        self.served_s.append((self.time(), revision))

    def _look_at_ready(self) -> None:
        if self.ready:
            return self.rollout.node_ready(self)
        self.call_later(READY_LOOK_S, self._look_at_ready)
        return None

    @property
    def ready(self) -> bool:
        """Whether it serves."""
        return bool(self.served_s) and self.client.has_initial_configuration

    @property
    def followers(self) -> int:
        """How many nodes follow this one."""
        return len(self.client._subscriber.relay.followers.positions)

    def accept(self, end: Any) -> None:
        """Take a new link."""
        self.client._subscriber.relay.connected(end)

    def received(self, end: Any, message: Any) -> None:
        """Take a message."""
        self.client._received_from_follower(end, message)

    def disconnected(self, end: Any) -> None:
        """A link has ended."""
        self.client._subscriber.relay.disconnected(end)


class Rollout(World):
    """All processes of one day, and its operator."""

    controllers: dict[str, ControllerProcess]
    nodes: dict[str, NodeProcess]

    def __init__(self, seed: int, day: Day) -> None:
        super().__init__(seed, ZONES, controllers=0)
        self.day, self.outcome = day, Outcome()
        names = tuple(f"k{n}" for n in range(CONTROLLERS))
        self.voters = names[:VOTERS]
        self.seeds = names[:SEEDS]
        self._waiting: dict[str, Callable[[RequestEnded], None]] = {}
        self._ids = 0
        self._isolate_from_s = float("inf")
        self._killed_s: dict[str, float] = {}
        self.isolated = ""  # the controller that is, or was
        self._acknowledged: dict[int, tuple[float, list[NodeProcess]]] = {}  # when, and the nodes in touch
        core = Machine(day.core_bits_per_s, day.core_share, CONTROLLER_MESSAGE_S)
        for n, name in enumerate(names):
            self.controllers[name] = ControllerProcess(self, name, n % ZONES, name in self.voters, core)
        for n in range(NODES):
            self._start_node(f"n{n}", n % ZONES)

    def _start_node(self, name: str, zone: int) -> None:
        machine = Machine(self.day.node_bits_per_s, self.day.node_share, NODE_MESSAGE_S)
        self.nodes[name] = NodeProcess(self, name, zone, machine)

    # What the processes ask of their world

    def delay(self, one: Process, other: Process) -> float:
        """The time in seconds that a message takes from one process to another."""
        return WITHIN_ZONE_S if one.zone == other.zone else BETWEEN_ZONES_S

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """A message between replicas; lost where the way is cut."""
        one = self.controllers[sender]
        other = self.controllers[to]
        if (sender, to) in self.cuts:
            return
        size = len(encode_call(kind, message))

        def handle() -> None:
            getattr(other.replica, kind)(*message)
            other.sync()

        self.at(one.send_out(size) + self.delay(one, other), lambda: other.receive(size, handle))

    def answer(self, name: str, answer: SendReply) -> None:
        """A replica's answer, on the link of whoever asked."""
        assert isinstance(answer.message, ShardMessage)
        self.send(name, str(answer.to), ControllerCall.RECEIVE, name, answer.message.body)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """A replica has learned a newer state."""
        self.controllers[name].learned(changed)

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """A change or a reading is over."""
        self._waiting.pop(end.id)(end)

    def wait_for(self, told: Callable[[RequestEnded], None]) -> str:
        """An id under which a replica is asked for something."""
        self._ids += 1
        self._waiting[str(self._ids)] = told
        return str(self._ids)

    # The day

    def play(self) -> Outcome:
        """The whole day."""
        day = self.day
        self.run(SETTLED_S)
        began_s = self.now
        self._isolate_from_s = began_s + day.isolated_s
        self.at(began_s + day.restarts_s, self._restart_nodes)
        self.at(began_s, lambda: self._order(1))
        self.run(day.length_s)
        self.outcome.core_text_bytes = sum(one.text_bytes for one in self.controllers.values())
        self._judge()
        return self.outcome

    def _isolate(self, isolated: str) -> None:
        self.isolated = isolated
        self.at(self.now + ISOLATED_S, self.cuts.clear)
        others = set(self.controllers) | (set(self.nodes) if self.day.scope == "all" else set())
        for name in others - {isolated}:
            if self.day.direction in ("both", "in"):
                self.cuts.add((name, isolated))
            if self.day.direction in ("both", "out"):
                self.cuts.add((isolated, name))

    def _restart_nodes(self) -> None:
        names = sorted(self.nodes)
        self.rng.shuffle(names)
        if self.day.relays_first:
            names.sort(key=lambda name: -self.nodes[name].followers)
        for name in names[: self.day.restarts]:
            self.at(self.now + self.rng.random(), lambda name=name: self._restart(name))  # type: ignore[misc]

    def _restart(self, name: str) -> None:
        old = self.nodes[name]
        self._killed_s[name] = self.now
        old.kill()
        self.at(self.now + START_S, lambda: self._start_node(name, int(old.zone[1:])))

    def node_ready(self, node: NodeProcess) -> None:
        """A node serves from now on."""
        if node.name in self._killed_s:
            self.outcome.ready_s[node.name] = self.now - self._killed_s[node.name]

    def _order(self, revision: int) -> None:
        """The operator sends the next version to some controller, and to another if it has no answer."""
        text = mixed(revision) if self.day.mixed_names else example_configuration(revision)
        change = shard_state.PutConfiguration(compress(text), revision, digest(text), revision - 1)
        next_s = self.now + CHANGE_EVERY_S

        def send() -> None:
            name = self.rng.choice([name for name in self.voters if name != self.isolated])
            self.controllers[name].order(change, lambda end: told(name, end))

        def told(name: str, end: RequestEnded) -> None:
            if end.value is None:
                return self.at(self.now + 0.1, send)
            if not self.isolated and self.now >= self._isolate_from_s:
                self._isolate(name)
            nodes = [node for node in self.nodes.values() if node.alive and node.ready]
            self._acknowledged[revision] = (self.now, nodes)
            self.at(max(self.now, next_s), lambda: self._order(revision + 1))
            return None

        send()

    def _judge(self) -> None:
        """When the last node that was in touch at each acknowledgement served by it."""
        for revision, (acknowledged_s, nodes) in self._acknowledged.items():
            if self.now - acknowledged_s < 2.0 * CHANGE_EVERY_S:
                continue  # too late in the day to tell
            for node in nodes:
                served_s = min((at for at, of in node.served_s if of >= revision), default=None)
                if served_s is None:
                    if node.alive:
                        self.outcome.missed.append((revision, node.name))
                    continue
                spread_s = max(0.0, served_s - acknowledged_s)
                if spread_s >= self.outcome.spread_s.get(revision, 0.0):
                    self.outcome.spread_s[revision] = spread_s
                    self.outcome.last_node[revision] = node.name


def main() -> None:
    """Play days from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int, default=1, help="seeds 1 to this")
    parser.add_argument("--direction", choices=("both", "in", "out"), default="both")
    parser.add_argument("--scope", choices=("all", "core"), default="all")
    parser.add_argument("--relays-first", action="store_true", help="restart those with the most followers")
    parser.add_argument("--mixed-names", action="store_true", help="a text that compresses less")
    parser.add_argument("--share-left", type=float, default=1.0, help="of nodes' links and cores")
    given = parser.parse_args()
    logger.remove()
    day = Day(
        direction=given.direction,
        scope=given.scope,
        relays_first=given.relays_first,
        mixed_names=given.mixed_names,
        node_bits_per_s=Day().node_bits_per_s * given.share_left,
        node_share=Day().node_share * given.share_left,
    )
    for seed in range(1, given.seeds + 1):
        outcome = Rollout(seed, day).play()
        spread = sorted(outcome.spread_s.values())
        print(
            f"seed {seed}: {len(spread)} changes, to the last node {spread[len(spread) // 2]:.2f} s at the "
            f"median, {spread[-1]:.2f} s at most, {len(outcome.missed)} missed; "
            f"{len(outcome.ready_s)} restarted nodes ready after {max(outcome.ready_s.values()):.2f} s at "
            f"most; {outcome.core_text_bytes / 1e6:.1f} MB of texts from controllers",
            flush=True,
        )


if __name__ == "__main__":
    main()
