"""Measures the time for a configuration to reach all nodes while a controller is isolated and nodes restart.

Controllers and nodes run in virtual time with the production `Shard` of the configuration, `Publisher`,
`ControlClient` and relay tree, over links of a given rate and on shares of a core
(`virtual_process.Machine`). CPU times were measured on a whole core; each use divides them by the machine's
share of a core. Runs with the same seed are identical.
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
CHANGE_INTERVAL_S = 0.5
PUT_TIMEOUT_S = 4.0  # timeout of an operator's change
START_S = 1.0  # assumed time from the kill of a node until its new process dials
READY_POLL_S = 0.01
SERVER_HEARTBEAT_S = 1.5  # a new node learns of the server beside it within this time

# CPU times on a full CPU core (docs/design/worst-days.md).
# Handling of one message; at a node, an update makes it check all members.
CONTROLLER_MESSAGE_S = 60e-6
NODE_MESSAGE_S = 200e-6
VALIDATION_S = 0.042  # validation and compression of a new text, at the controller that receives it
APPLY_S = 0.004  # decompression, parsing and application of a new text, at a node

ISOLATION_S = 20.0
SETTLING_S = 4.0  # time from the start of all processes to the first change


def random_name_configuration(revision: int) -> bytes:
    """Return an `example_configuration` with random names and paths, which are the same for each revision."""
    rng = random.Random(1)
    configuration = json.loads(example_configuration(revision))
    for rule in configuration["access_points"][0]["rule_set"]:
        rule["identifier"] = f"{rng.randrange(16**12):012x}"
        rule["criteria"]["path_prefix"] = f"/x/{rng.randrange(16**16):016x}/"
    return json.dumps(configuration).encode()


@dataclass(frozen=True, slots=True)
class Scenario:
    """The faults of one run; times are in seconds from the first change.

    :ivar isolated_s: from this time on, the next controller to acknowledge a change is isolated as it does so
    :ivar direction: messages that are cut: "both", "in" (to the isolated controller) or "out" (from it)
    :ivar scope: processes from which the controller is cut: "all", or "core" for other controllers only
    :ivar restarts: number of nodes that are restarted
    :ivar restarts_s: when nodes begin to be killed; all are killed within a second
    :ivar relays_first: whether the nodes with the most followers are restarted, instead of random ones
    :ivar length_s: duration of the run
    :ivar mixed_names: whether names in the text hardly repeat, so that it compresses to a ninth of its size
        instead of a 13th
    :ivar node_bits_per_s: rate of each node's link
    :ivar core_bits_per_s: rate of each controller's link
    :ivar node_share: share of a core that each node gets
    :ivar core_share: share of a core that each controller gets
    """

    isolated_s: float = 2.0
    direction: str = "both"
    scope: str = "all"
    restarts: int = 26
    restarts_s: float = 8.0
    relays_first: bool = False
    length_s: float = 26.0
    mixed_names: bool = False
    node_bits_per_s: float = 3.5e6
    core_bits_per_s: float = 86e6
    node_share: float = 0.43
    core_share: float = 0.245


@dataclass(slots=True)
class Outcome:
    """The measurements of one run.

    :ivar spread_s: by revision, seconds from its acknowledgement until the last node applied it
    :ivar last_node: by revision, the node that applied it last
    :ivar ready_s: by restarted node, seconds from its kill until it was ready
    :ivar missed: revisions and nodes that never applied them
    :ivar core_text_bytes: bytes of configuration texts sent by all controllers
    """

    spread_s: dict[int, float] = field(default_factory=dict)
    last_node: dict[int, str] = field(default_factory=dict)
    ready_s: dict[str, float] = field(default_factory=dict)
    missed: list[tuple[int, str]] = field(default_factory=list)
    core_text_bytes: int = 0


class Pending:
    """An awaitable for a link that is being established; `finish` resumes the coroutine that awaits it."""

    def __init__(self) -> None:
        self._callback: Callable[[Any], None] | None = None

    def __await__(self) -> Generator[Pending, Any, Any]:
        return (yield self)

    def on_finished(self, callback: Callable[[Any], None]) -> None:
        """Set the callback for the result."""
        self._callback = callback

    def finish(self, result: Any) -> None:
        """Pass on the result."""
        assert self._callback is not None
        self._callback(result)


class Task:
    """Runs a coroutine that awaits nothing but `Pending` objects, with the interface of `asyncio.Task`."""

    def __init__(self, work: Coroutine[Any, Any, Any]) -> None:
        self._work = work
        self._done: list[Callable[[Any], object]] = []
        self._over = False
        self._step(None)

    def _step(self, result: Any) -> None:
        try:
            self._work.send(result).on_finished(self._step)
        except StopIteration:
            self._over = True
            for call in self._done:
                call(self)

    def add_done_callback(self, call: Callable[[Any], object]) -> None:
        """Call back at the end of the coroutine, or now if it has ended."""
        if self._over:
            call(self)
        else:
            self._done.append(call)


class ControllerProcess(Process):
    """A replica of the configuration shard, and the publisher that announces its decisions to nodes."""

    def __init__(self, world: Rollout, name: str, zone: int, founder: bool, machine: Machine) -> None:
        super().__init__(world, name, zone, machine)
        self.rollout = world
        loop: Any = self
        incarnation = world.rng.randrange(1, 2**53)
        self.publisher = Publisher(name, self.zone, incarnation, loop, self._contact_age_ms)
        self.replica = Replica(
            name, world, founder, shard_state.CONFIGURATION, random.Random(world.rng.random()), world.voters
        )
        self.call_later(TICK_INTERVAL_S * world.rng.random(), self._tick)
        self.call_later(HEARTBEAT_INTERVAL_S * world.rng.random(), self._heartbeat)

    def _contact_age_ms(self) -> int | None:
        shard = self.replica.shard
        since_s = self.replica.peers.contact.since_s(shard.known.voters, shard.voter)
        return None if since_s == float("-inf") else max(0, round(1e3 * (self.time() - since_s)))

    def _tick(self) -> None:
        self.call_later(TICK_INTERVAL_S, self._tick)
        self.publisher.tick()
        self.replica.tick()
        self.sync()

    def _heartbeat(self) -> None:
        self.call_later(HEARTBEAT_INTERVAL_S, self._heartbeat)
        self.replica.send_heartbeats(name for name in self.rollout.controllers if name != self.name)
        self.sync()

    def sync(self) -> None:
        """Complete the pending writes after the time of a disk sync."""
        waiting = list(self.replica.writes)

        def written() -> None:
            for write in waiting:
                if write in self.replica.writes:
                    self.replica.complete_write()
            self.sync()

        if waiting:
            self.call_later(DISK_SYNC_S, written)

    def announce_state(self, changed: StateChanged) -> None:
        """Announce a new owner of the shard, or a new revision of the configuration, to the nodes."""
        old = shard_state.body(changed.old)
        new = shard_state.body(changed.new)
        if (new.epoch, new.fencing_token) != (old.epoch, old.fencing_token):
            self._announce_group(None)
        if new.revision != old.revision:
            self.publisher.announce_revision(new.revision)

    def _announce_group(self, link: Any) -> None:
        shard = self.replica.shard
        names = [voter.name for voter in shard.known.voters]
        for number in shard_state.SHARDS:
            own = shard.body
            group = GroupAnnouncement(number, own.epoch, names, own.owner, own.fencing_token)
            self.publisher.send_group(group, link)

    def put_configuration(
        self, change: shard_state.PutConfiguration, on_ended: Callable[[RequestEnded], None]
    ) -> None:
        """Handle an operator's change: validate it, then request its decision from the shard.

        :param change: configuration to put
        :param on_ended: called with the result
        """
        done_s = self.work(VALIDATION_S)
        self.world.at(done_s, lambda: self.run(lambda: self._request_change(change, on_ended)))

    def _request_change(
        self, change: shard_state.PutConfiguration, on_ended: Callable[[RequestEnded], None]
    ) -> None:
        id = self.rollout.register_request(on_ended)
        self.replica.execute(self.replica.shard.request_change(id, change, PUT_TIMEOUT_S, self.time()))
        self.sync()

    @property
    def text_bytes(self) -> int:
        """Bytes of configuration texts sent to nodes."""
        return sum(size for (kind, _), (_, size) in self.publisher.traffic.sent.items() if kind == "text")

    def disconnected(self, end: Any) -> None:
        """Handle the end of a node's link."""
        self.publisher.disconnected(end)

    def received(self, end: Any, message: Any) -> None:
        """Handle a message from a node."""
        publisher = self.publisher
        match message:
            case NodeHello():
                publisher.node_connected(end, message.name)
                self._announce_group(end)
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
        def send_revision(ended: RequestEnded) -> None:
            self.publisher.send_revision(end, Revision(request, newest_revision(ended)))

        id = self.rollout.register_request(send_revision)
        self.replica.execute(self.replica.shard.request_read(id, self.time()))
        self.sync()


class NodeProcess(Process):
    """A node that is reduced to its production `ControlClient`."""

    def __init__(self, world: Rollout, name: str, zone: int, machine: Machine) -> None:
        super().__init__(world, name, zone, machine)
        self.rollout = world
        self.revision = 0  # newest configuration that it has applied
        self.applied_s: list[tuple[float, int]] = []  # time and revision of each configuration applied
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
            heartbeat_interval_ms=1e3 * SERVER_HEARTBEAT_S,
            max_file_descriptors=4_100,
            memory_mb=200.0,
        )
        loop: Any = self
        rng = random.Random(world.rng.random())
        self.client = ControlClient(
            settings, loop, lambda members: None, self._configuration_received, self._dial, rng
        )
        self.client.start()
        self._poll_ready()
        self._publish(1, None)
        server = Server(f"{name}-{self.client.boot_id:x}", "catalogo", self.zone, IN_SERVICE, 3, 0.0, "v1")
        self.call_later(rng.random() * SERVER_HEARTBEAT_S, self._publish, 2, server)

    def create_task(self, work: Coroutine[Any, Any, Any]) -> Task:
        """Run a coroutine as an event loop does."""
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
        self.world.at(done_s, lambda: self.run(lambda: self._configuration_applied(revision)))

    def _configuration_applied(self, revision: int) -> None:
        self.revision = max(self.revision, revision)
        self.applied_s.append((self.time(), revision))

    def _poll_ready(self) -> None:
        if self.ready:
            return self.rollout.node_ready(self)
        self.call_later(READY_POLL_S, self._poll_ready)
        return None

    @property
    def ready(self) -> bool:
        """Whether the node is ready to serve requests."""
        return bool(self.applied_s) and self.client.has_initial_configuration

    @property
    def followers(self) -> int:
        """Number of nodes that receive updates through this one."""
        return len(self.client._subscriber.relay.followers.positions)

    def accept(self, end: Any) -> None:
        """Handle a new incoming link from a follower."""
        self.client._subscriber.relay.connected(end)

    def received(self, end: Any, message: Any) -> None:
        """Handle a message from a follower."""
        self.client._received_from_follower(end, message)

    def disconnected(self, end: Any) -> None:
        """Handle the end of a follower's link."""
        self.client._subscriber.relay.disconnected(end)


class Rollout(World):
    """All processes of one run, and the operator who changes the configuration."""

    controllers: dict[str, ControllerProcess]
    nodes: dict[str, NodeProcess]

    def __init__(self, seed: int, scenario: Scenario) -> None:
        super().__init__(seed, ZONES, controllers=0)
        self.scenario, self.outcome = scenario, Outcome()
        names = tuple(f"k{n}" for n in range(CONTROLLERS))
        self.voters = names[:VOTERS]
        self.seeds = names[:SEEDS]
        self._request_callbacks: dict[str, Callable[[RequestEnded], None]] = {}
        self._ids = 0
        self._isolate_from_s = float("inf")
        self._killed_s: dict[str, float] = {}
        self.isolated = ""  # name of the controller that is or was isolated
        # By revision: time of its acknowledgement, and the nodes that were ready then.
        self._acknowledged: dict[int, tuple[float, list[NodeProcess]]] = {}
        core = Machine(scenario.core_bits_per_s, scenario.core_share, CONTROLLER_MESSAGE_S)
        for n, name in enumerate(names):
            self.controllers[name] = ControllerProcess(self, name, n % ZONES, name in self.voters, core)
        for n in range(NODES):
            self._start_node(f"n{n}", n % ZONES)

    def _start_node(self, name: str, zone: int) -> None:
        machine = Machine(self.scenario.node_bits_per_s, self.scenario.node_share, NODE_MESSAGE_S)
        self.nodes[name] = NodeProcess(self, name, zone, machine)

    # Interface used by the processes

    def delay(self, one: Process, other: Process) -> float:
        """Return the one-way delay between two processes in seconds."""
        return WITHIN_ZONE_S if one.zone == other.zone else BETWEEN_ZONES_S

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Send a message between replicas; it is lost if the direction is cut.

        :param kind: the `ControllerCall` that the message makes at its receiver
        """
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
        """Send a replica's answer to the controller that made the request."""
        assert isinstance(answer.message, ShardMessage)
        self.send(name, str(answer.to), ControllerCall.RECEIVE, name, answer.message.body)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Handle a newer state that a replica has learned."""
        self.controllers[name].announce_state(changed)

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Pass the result of a change or a read to its callback."""
        self._request_callbacks.pop(end.id)(end)

    def register_request(self, on_ended: Callable[[RequestEnded], None]) -> str:
        """Register a callback for the result of a request, and return the id of the request."""
        self._ids += 1
        self._request_callbacks[str(self._ids)] = on_ended
        return str(self._ids)

    # The run

    def play(self) -> Outcome:
        """Run the complete scenario."""
        scenario = self.scenario
        self.run(SETTLING_S)
        begin_s = self.now
        self._isolate_from_s = begin_s + scenario.isolated_s
        self.at(begin_s + scenario.restarts_s, self._restart_nodes)
        self.at(begin_s, lambda: self._put_revision(1))
        self.run(scenario.length_s)
        self.outcome.core_text_bytes = sum(one.text_bytes for one in self.controllers.values())
        self._evaluate()
        return self.outcome

    def _isolate(self, isolated: str) -> None:
        self.isolated = isolated
        self.at(self.now + ISOLATION_S, self.cuts.clear)
        others = set(self.controllers) | (set(self.nodes) if self.scenario.scope == "all" else set())
        for name in others - {isolated}:
            if self.scenario.direction in ("both", "in"):
                self.cuts.add((name, isolated))
            if self.scenario.direction in ("both", "out"):
                self.cuts.add((isolated, name))

    def _restart_nodes(self) -> None:
        names = sorted(self.nodes)
        self.rng.shuffle(names)
        if self.scenario.relays_first:
            names.sort(key=lambda name: -self.nodes[name].followers)
        for name in names[: self.scenario.restarts]:
            self.at(self.now + self.rng.random(), lambda name=name: self._restart(name))  # type: ignore[misc]

    def _restart(self, name: str) -> None:
        old = self.nodes[name]
        self._killed_s[name] = self.now
        old.kill()
        self.at(self.now + START_S, lambda: self._start_node(name, int(old.zone[1:])))

    def node_ready(self, node: NodeProcess) -> None:
        """Record that a restarted node has become ready."""
        if node.name in self._killed_s:
            self.outcome.ready_s[node.name] = self.now - self._killed_s[node.name]

    def _put_revision(self, revision: int) -> None:
        """Send a revision to random controllers as the operator does, until one acknowledges it."""
        text = (
            random_name_configuration(revision)
            if self.scenario.mixed_names
            else example_configuration(revision)
        )
        change = shard_state.PutConfiguration(compress(text), revision, digest(text), revision - 1)
        next_s = self.now + CHANGE_INTERVAL_S

        def send() -> None:
            name = self.rng.choice([name for name in self.voters if name != self.isolated])
            self.controllers[name].put_configuration(change, lambda end: on_ended(name, end))

        def on_ended(name: str, end: RequestEnded) -> None:
            if end.value is None:
                return self.at(self.now + 0.1, send)
            if not self.isolated and self.now >= self._isolate_from_s:
                self._isolate(name)
            nodes = [node for node in self.nodes.values() if node.alive and node.ready]
            self._acknowledged[revision] = (self.now, nodes)
            self.at(max(self.now, next_s), lambda: self._put_revision(revision + 1))
            return None

        send()

    def _evaluate(self) -> None:
        """Evaluate, for each revision, when the nodes that were ready at its acknowledgement applied it."""
        for revision, (acknowledged_s, nodes) in self._acknowledged.items():
            if self.now - acknowledged_s < 2.0 * CHANGE_INTERVAL_S:
                continue  # the run may have ended too early for this revision
            for node in nodes:
                applied_s = min((at for at, of in node.applied_s if of >= revision), default=None)
                if applied_s is None:
                    if node.alive:
                        self.outcome.missed.append((revision, node.name))
                    continue
                spread_s = max(0.0, applied_s - acknowledged_s)
                if spread_s >= self.outcome.spread_s.get(revision, 0.0):
                    self.outcome.spread_s[revision] = spread_s
                    self.outcome.last_node[revision] = node.name


def main() -> None:
    """Run scenarios from the command line."""
    parser = argparse.ArgumentParser(description=__doc__.split("\n")[0])
    parser.add_argument("--seeds", type=int, default=1, help="run all seeds from 1 to this one")
    parser.add_argument("--direction", choices=("both", "in", "out"), default="both")
    parser.add_argument("--scope", choices=("all", "core"), default="all")
    parser.add_argument(
        "--relays-first", action="store_true", help="restart the nodes with the most followers"
    )
    parser.add_argument("--mixed-names", action="store_true", help="use a configuration that compresses less")
    parser.add_argument(
        "--share-left", type=float, default=1.0, help="share of the nodes' link rates and cores that is left"
    )
    given = parser.parse_args()
    logger.remove()
    scenario = Scenario(
        direction=given.direction,
        scope=given.scope,
        relays_first=given.relays_first,
        mixed_names=given.mixed_names,
        node_bits_per_s=Scenario().node_bits_per_s * given.share_left,
        node_share=Scenario().node_share * given.share_left,
    )
    for seed in range(1, given.seeds + 1):
        outcome = Rollout(seed, scenario).play()
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
