"""Every interleaving of a few controllers of one shard of the mesh's state and their clients, with faults.

The world runs the shipping `Shard` and `OperationKeyClient`. Each message takes one step, as does each write
to a disk. Of what comes to one process in one step (messages, in order on each link, and the result of a
write) every order is explored; what comes to different processes commutes. Time moves when nothing is under
way: to the next grid point, where heartbeats are sent and all tick, or to what a shard has due sooner. What
is judged is what clients were told and what controllers sent, not the controllers' own view.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

import msgspec

from orchidferry.balancing import proposer, register
from orchidferry.balancing.register import Value
from orchidferry.mesh.control import (
    actions,
    operation_key_client,
    operation_keys,
    peers,
    replica,
    shard_state,
    write_completions,
)
from orchidferry.mesh.control import shard as shard_module
from orchidferry.mesh.control.actions import RequestEnded, SendReply, StateChanged
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.operation_key_client import ShardGroup
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.wire.messages import KeyGrant, KeyReleaseAck
from orchidferry.mesh.wire.shard_messages import KeyPage
from orchidferry.testkit.explore import mesh_faults, mesh_fingerprint, world_search
from orchidferry.testkit.explore.controller import Controller, ControllerCall
from orchidferry.testkit.explore.dead_messages import is_dead
from orchidferry.testkit.explore.mesh_actors import (
    KEY,
    ConfigurationClient,
    KeyNode,
    KeyRequest,
    MessageInFlight,
    SequentialRandom,
)
from orchidferry.testkit.explore.mesh_breaks import BREAKS, Break, broken
from orchidferry.testkit.explore.mesh_scenes import KINDS, SCENES, Scene
from orchidferry.testkit.explore.world_search import SearchResult

__all__ = ["BREAKS", "KINDS", "SCENES", "Break", "MeshWorld", "Scene", "begin", "broken", "search"]

START_S = 1.0
GRID_S = 0.4  # between heartbeats, and what a shard does now and then
MIN_TIME_STEP_S = 0.02
ROUNDING_S = 1e-6
CONTROLLER_NAMES = tuple("abcdefghij")
# Of a client of the configuration
MAX_TRIES = 8
MIN_READ_TRIES = 3  # that are left when it begins to read
CLIENT_TIMEOUT_S = 1.5  # after which it goes on
CHANGE_TIMEOUT_S = 1.2  # for which a controller tries to have a change decided
UNREACHABLE_PAUSE_S = 0.3
STEP_PAUSE_S = 0.01

for _module in (
    proposer,
    register,
    shard_state,
    actions,
    peers,
    replica,
    shard_module,
    operation_keys,
    operation_key_client,
    write_completions,
):
    mesh_fingerprint.pickle_by_fields(_module)


class MeshWorld:
    """Controllers, their clients, and what is under way between them.

    It is a world that `world_search` explores, and the host of its controllers (`ControllerHost`).

    :ivar messages: that are delivered in this step
    :ivar next_messages: that were sent in this step, and are delivered in the next
    :ivar writes_ready: how many writes of each controller were begun before this step
    :ivar last_receiver: the process that took something last in this step
    :ivar partitions: when each link, from and to, carries messages again
    :ivar owner_by_token: the controllers that did the singleton roles, by fencing token
    :ivar acknowledged_by_base: the client whose change was acknowledged, by the version that it builds on
    :ivar sources_heard: controllers that have forgotten, and those that sent them all keys since
    :ivar granted_attempts: attempts that were granted the key and have not released it
    """

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        """Play a scene until a controller does the singleton roles of the shard.

        :param faults: that may come at most, beside those of the scene's script
        :param kinds: of these faults
        """
        self.scene = scene
        self.faults_left = 0
        self.kinds = kinds
        self.now = START_S
        self.story: list[str] = []
        self.violations: list[str] = []
        self.messages: list[MessageInFlight] = []
        self.next_messages: list[MessageInFlight] = []
        self.writes_ready: dict[str, int] = {}
        self.slow_disks: set[str] = set()
        self.last_receiver = ""
        self.partitions: dict[tuple[str, str], float] = {}
        self.frozen_until: dict[str, float] = {}
        self.down_until: dict[str, float] = {}
        self.grid_index = 0
        self.decided_states: dict[int, Value] = {}  # by version
        self.owner_by_token: dict[int, str] = {}
        self.acknowledged_by_base: dict[int, str] = {}
        self.newest_acknowledged = 0
        self.sources_heard: dict[str, set[str]] = {}
        self.granted_attempts: list[str] = []
        self.clients = [
            ConfigurationClient("pq"[n], at, then, 2 - n) for n, (at, then) in enumerate(scene.clients)
        ]
        self.key_requests = [KeyRequest(self, f"t{n + 1}", *one) for n, one in enumerate(scene.key_requests)]
        self.nodes = {
            name: KeyNode(name, self) for name in dict.fromkeys(one[0] for one in scene.key_requests)
        }
        self.number = shard_state.shard_of(KEY) if self.nodes else scene.shard
        self.controllers: dict[str, Controller] = {}
        self.script: list[tuple[float, str]] = []
        self.began_s = math.inf  # of the scene
        self._start_controllers()
        self._run_until_owned()
        self.faults_left = faults
        self.began_s = self.now
        self.script = list(scene.script)
        self.story.clear()
        self._run_clients()
        self._begin_step()

    def _start_controllers(self) -> None:
        seeds = self.scene.seeds
        names = CONTROLLER_NAMES[: len(seeds) + self.scene.spare_controllers]
        for position, name in enumerate(names):
            rng = SequentialRandom(position * 1_000)
            self.controllers[name] = Controller(name, self, name in seeds, self.number, rng, seeds)
        self.sources_heard |= {name: set() for name in names if name not in seeds}

    def _run_until_owned(self) -> None:
        while not (self.is_quiet and any(one.shard.owns(self.now) for one in self.controllers.values())):
            self.apply(self.actions()[0])

    # State

    @property
    def is_quiet(self) -> bool:
        """Whether nothing is under way."""
        writes = any(controller.writes for controller in self.controllers.values())
        return not (self.messages or self.next_messages or writes)

    @property
    def over(self) -> bool:
        """Whether all clients are done and the scene has lasted long enough."""
        done = all(one.step == "over" for one in self.clients)
        done = done and all(one.outcome for one in self.key_requests)
        return done and self.now >= self.began_s + self.scene.min_duration_s - ROUNDING_S

    @property
    def newest_state(self) -> Value:
        """The newest state that was decided."""
        if not self.decided_states:
            return shard_state.genesis(self.scene.seeds)
        return self.decided_states[max(self.decided_states)]

    def succeeded(self) -> bool:
        """Return whether all clients were served as if there had been no fault."""
        if self.clients:
            return all(one.read for one in self.clients) and bool(self.acknowledged_by_base)
        if self.key_requests:
            decided = all(one.outcome != ClaimOutcome.UNDECIDED for one in self.key_requests)
            return len(self.granted_attempts) == 1 and decided
        return len(self._owners()) == 1

    def finish(self) -> None:
        """Do nothing: nothing comes after the clients' last step."""

    def fingerprint(self) -> bytes:
        """Return the same bytes for worlds that have the same futures."""
        return mesh_fingerprint.fingerprint_of(self)

    def log(self, line: str) -> None:
        """Add a line to the story of this run."""
        self.story.append(f"{(self.now - self.began_s) * 1000.0:7.0f} ms  {line}")

    def report_violation(self, line: str) -> None:
        """Report that a property is broken.

        :param line: the property's name, a colon, and what has happened
        """
        self.violations.append(line)

    # Choices

    def next_items(self) -> tuple[str, list[str]]:
        """Return the first process that has something to take, and the choices of what it takes first."""
        heads: dict[tuple[str, str, bool], int] = {}
        for position, message in enumerate(self.messages):
            if not message.late and message.to not in self.frozen_until:
                heads.setdefault((message.to, message.sender, message.back), position)
        disks = [
            name
            for name, count in self.writes_ready.items()
            if count and name not in self.frozen_until and name not in self.slow_disks
        ]
        receiver = min([to for to, _, _ in heads] + disks, default="")
        items = [f"deliver {position}" for (to, _, _), position in heads.items() if to == receiver]
        if receiver in disks:
            items.append(f"disk {receiver}")
        return receiver, items

    def actions(self) -> list[str]:
        """Return what may come next; the first comes without a fault."""
        receiver, items = self.next_items()
        anything_late = any(one.late for one in self.messages) or bool(self.slow_disks)
        idle = ["wait", "come"] if anything_late and not receiver else ["wait"]
        faults = mesh_faults.possible_faults(self, receiver, items) if self.faults_left else ()
        return (items or idle) + [one for one in faults if one.split()[0] in self.kinds]

    def apply(self, label: str) -> None:
        """Have one of `actions` happen."""
        kind, *about = label.split()
        match kind:
            case "deliver":
                self._deliver(self.messages.pop(int(about[0])))
            case "disk":
                self._complete_write(about[0])
            case "wait":
                self._advance_time()
            case "come":
                self._release_late()
            case _:
                self.faults_left -= 1
                self._apply_fault(kind, about)
        self._discard_dead_messages()
        self._begin_step()
        self._check_properties()

    def _begin_step(self) -> None:
        """Begin the next step, where this one is over."""
        if not self.next_items()[0]:
            self.messages = self.messages + self.next_messages
            self.next_messages = []
            self.last_receiver = ""
            self.writes_ready = {name: len(one.writes) for name, one in self.controllers.items() if one.alive}

    def _discard_dead_messages(self) -> None:
        """Take messages for delivered that change nothing any more."""
        self.messages = [one for one in self.messages if not self._is_dead(one)]
        self.next_messages = [one for one in self.next_messages if not self._is_dead(one)]

    def _is_dead(self, message: MessageInFlight) -> bool:
        receiver = self.controllers.get(message.to)
        if message.what != ControllerCall.RECEIVE or receiver is None:
            return False
        return is_dead(message.message[1], receiver.shard)

    def _release_late(self) -> None:
        """Let what was late come now."""
        for message in self.messages:
            message.late = False
        self.slow_disks.clear()

    def _apply_fault(self, kind: str, about: list[str]) -> None:
        """Have a fault happen, and log it."""
        is_message = about[0].isdigit()
        self.log(f"{kind}: {self.messages[int(about[0])]}" if is_message else " ".join([kind, *about]))
        mesh_faults.apply_fault(self, kind, about)

    # Processes

    def stop_process(self, name: str, for_s: float) -> None:
        """End a controller's process: what it sent is on its way, what was sent to it is lost.

        :param for_s: when it starts again, in seconds from now
        """
        controller = self.controllers[name]
        controller.alive = False
        controller.writes = []
        self.down_until[name] = self.now + for_s
        self.frozen_until.pop(name, None)
        self.slow_disks.discard(name)
        self.writes_ready.pop(name, None)
        self.messages = [one for one in self.messages if one.to != name]
        self.next_messages = [one for one in self.next_messages if one.to != name]

    def start_process(self, name: str) -> None:
        """Start a controller's process that is down."""
        if self.down_until.pop(name, None) is not None:
            self.controllers[name].start()

    def send_heartbeats(self, name: str) -> None:
        """Have a controller that is alive send its heartbeats."""
        controller = self.controllers[name]
        if controller.alive:
            controller.send_heartbeats(other for other in self.controllers if other != name)

    def _complete_write(self, name: str) -> None:
        self.last_receiver = name
        self.writes_ready[name] -= 1
        self.controllers[name].complete_write()

    def _is_running(self, name: str) -> bool:
        return self.controllers[name].alive and name not in self.frozen_until

    # Time

    def _advance_time(self) -> None:
        """Move time, as nothing is under way, and do what is due then."""
        self.now = max(self.now + MIN_TIME_STEP_S, math.ceil(self._next_due_s() * 1000.0) / 1000.0)
        self._end_faults()
        for message in [
            one
            for one in self.messages
            if one.what == ControllerCall.HEARTBEAT_ACK and one.to not in self.frozen_until
        ]:
            self.messages.remove(message)
            self.controllers[message.to].receive_heartbeat_ack(*message.message)
        on_grid = self.now >= self._next_grid_s() - ROUNDING_S
        if on_grid:
            self.grid_index += 1
            for name in self.controllers:
                if name not in self.frozen_until:
                    self.send_heartbeats(name)
        for name, controller in self.controllers.items():
            if self._is_running(name) and (on_grid or controller.shard.due_s <= self.now):
                controller.tick()
        if on_grid:
            self._tick_nodes()
        self._run_clients()

    def _next_grid_s(self) -> float:
        return START_S + (self.grid_index + 1) * GRID_S

    def _next_due_s(self) -> float:
        """Return when something is due next."""
        dues = [
            self._next_grid_s(),
            *self.partitions.values(),
            *self.frozen_until.values(),
            *self.down_until.values(),
        ]
        dues += [one.shard.due_s for name, one in self.controllers.items() if self._is_running(name)]
        if self.began_s < math.inf:
            dues += [self.began_s + one.due_s for one in self.key_requests if not one.began]
            dues += [one.until_s for one in self.clients if one.step != "over"]
            dues += [self.began_s + since_s for since_s, _ in self.script]
        return min(dues)

    def _end_faults(self) -> None:
        """End the faults whose time is over."""
        now = self.now
        self.partitions = {pair: until_s for pair, until_s in self.partitions.items() if until_s > now}
        self.frozen_until = {name: until_s for name, until_s in self.frozen_until.items() if until_s > now}
        for name in [name for name, until_s in self.down_until.items() if until_s <= now]:
            self.start_process(name)

    def _tick_nodes(self) -> None:
        for node in self.nodes.values():
            for name, controller in self.controllers.items():
                if self._is_running(name):
                    self._send_group(controller, node.name)
            node.claims.tick(self.now)

    # Messages

    def _reaches(self, sender: str, to: str) -> bool:
        controller = self.controllers.get(to)
        return (sender, to) not in self.partitions and (controller is None or controller.alive)

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """Put a message to a controller on its way; heartbeats take no time.

        :param kind: the method of the controller that takes it
        """
        if to not in self.controllers or not self._reaches(sender, to):
            return
        if kind == ControllerCall.HEARTBEAT and to in self.frozen_until:
            return  # it gets the next one
        if kind == ControllerCall.HEARTBEAT or (
            kind == ControllerCall.HEARTBEAT_ACK and to not in self.frozen_until
        ):
            getattr(self.controllers[to], kind)(*message)
        else:
            self.next_messages.append(MessageInFlight(sender, to, kind, message))

    def answer(self, name: str, answer: SendReply) -> None:
        """Put a controller's answer on its way."""
        message = answer.message
        if isinstance(message, KeyGrant):
            self._check_grant(name, message)
        if not self._reaches(name, answer.to):
            return
        match message:
            case KeyReleaseAck():
                reply = MessageInFlight(name, answer.to, "dropped", (message.number,), True)
            case KeyGrant():
                fields = msgspec.structs.astuple(message)
                reply = MessageInFlight(name, answer.to, "grant", fields, True)
            case _:
                reply = MessageInFlight(name, answer.to, ControllerCall.RECEIVE, (name, message.body), True)
        self.next_messages.append(reply)

    def _deliver(self, message: MessageInFlight) -> None:
        self.last_receiver = message.to
        if message.to in self.nodes:
            self._deliver_to_node(message)
            return
        controller = self.controllers[message.to]
        if message.what == ControllerCall.RECEIVE:
            self._record_source(message)
        getattr(controller, message.what)(*message.message)
        if message.what == ControllerCall.CLAIM_KEY and message.message[2] != controller.shard.body.epoch:
            self._send_group(controller, message.sender)

    def _deliver_to_node(self, message: MessageInFlight) -> None:
        claims = self.nodes[message.to].claims
        match message.what:
            case "grant":
                claims.handle_grant(message.sender, KeyGrant(*message.message))
            case "dropped":
                claims.releases.acknowledge(message.sender, *message.message)
            case _:
                number, group = message.message
                claims.update_group(number, group, self.now)

    def _record_source(self, message: MessageInFlight) -> None:
        """Remember who has sent all keys to a controller that forgot, once that is a voter again."""
        page = message.message[1]
        sources = self.sources_heard.get(message.to)
        if sources is not None and isinstance(page, KeyPage) and page.last and page.as_voter:
            sources.add(message.sender)

    def _send_group(self, controller: Controller, node: str) -> None:
        """Send a node the shard's group, where the controller knows a newer one."""
        body = controller.shard.body
        known = self.nodes[node].claims.groups[controller.number]
        is_newer = body.epoch > known.epoch or body.fencing_token > known.fencing_token
        if is_newer and self._reaches(controller.name, node):
            names = tuple(voter.name for voter in controller.shard.known.voters)
            group = ShardGroup(body.epoch, names, body.owner, body.fencing_token)
            message = MessageInFlight(controller.name, node, "group", (controller.number, group), True)
            self.next_messages.append(message)

    # Clients of the configuration

    def _run_clients(self) -> None:
        """Do what the script and the clients have due."""
        if self.began_s == math.inf:
            return
        due_s = self.now - self.began_s + ROUNDING_S
        while self.script and self.script[0][0] <= due_s:
            self._run_script_step(self.script.pop(0)[1])
        for request in self.key_requests:
            if not request.began and request.due_s <= due_s:
                request.begin()
        for client in self.clients:
            if client.step == "over" or self.now < client.until_s:
                continue
            if client.waits:  # it was not answered
                self._advance_client(client)
            else:
                self._send_request(client)

    def _run_script_step(self, step: str) -> None:
        kind, *about = step.split()
        match kind:
            case "down":
                self.log(f"{about[0]} goes away")
                self.stop_process(about[0], math.inf)
            case "up":
                self.start_process(about[0])
            case _:
                self._apply_fault(kind, about)

    def _send_request(self, client: ConfigurationClient) -> None:
        name = client.at if client.step == "put" else client.then
        controller = self.controllers[name]
        client.tries += 1
        if client.tries > MAX_TRIES:
            client.step = "over"
        elif not self._is_running(name):
            client.until_s = self.now + UNREACHABLE_PAUSE_S
        else:
            id = f"{client.name}{client.tries}"
            client.waits = f"{name} {id}"
            client.until_s = self.now + CLIENT_TIMEOUT_S
            if client.step == "read":
                client.newest = self.newest_acknowledged
                controller.execute(controller.shard.request_read(id, self.now))
            else:
                change = client.change()
                controller.execute(controller.shard.request_change(id, change, CHANGE_TIMEOUT_S, self.now))

    def _advance_client(self, client: ConfigurationClient, settled: bool = False) -> None:
        """Have a client go on with its next step.

        :param settled: whether it knows what became of its change
        """
        next_steps = {"put": "read" if settled else "again", "again": "read", "read": "over"}
        client.step = next_steps[client.step]
        client.waits = ""
        client.until_s = self.now + STEP_PAUSE_S
        if client.step == "read":
            client.tries = min(client.tries, MAX_TRIES - MIN_READ_TRIES)

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Take the end of a request that a client made at a controller."""
        client = next((one for one in self.clients if one.waits == f"{name} {end.id}"), None)
        if client is None:
            return
        if end.value is not None:
            self._record_decided(end.value)
        if client.step != "read":
            if end.value is not None and not end.why:
                self._change_acknowledged(client)
            self._advance_client(client, end.value is not None)
        elif end.value is None:
            client.waits = ""
            client.until_s = self.now + STEP_PAUSE_S
        else:
            revision = shard_state.body(end.value).revision
            self.log(f"{client.name} reads {revision}")
            if revision < client.newest:
                self.report_violation(f"older: {client.newest} was acknowledged before it was read")
            client.read = True
            self._advance_client(client)

    def _change_acknowledged(self, client: ConfigurationClient) -> None:
        self.log(f"{client.name} is told that its configuration was taken")
        if self.acknowledged_by_base.setdefault(0, client.name) != client.name:
            self.report_violation("two-puts: two changes of one version were acknowledged")
        self.newest_acknowledged = max(self.newest_acknowledged, client.revision)

    # Properties

    def key_granted(self, request: KeyRequest) -> None:
        """Record that an attempt may run; the key is granted to one at most."""
        if self.granted_attempts:
            self.report_violation(
                f"two-tries: the key is {self.granted_attempts[0]}'s, and {request.holder}'s"
            )
        self.granted_attempts.append(request.holder)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Take a controller's word that it knows a newer state; all states are one chain."""
        self._record_decided(changed.new)
        if epoch(changed.new) > epoch(changed.old):
            self.log(f"{name} learns of epoch {epoch(changed.new)}")
            for controller in self.controllers.values():  # whoever is left out misses what is granted
                if controller.shard.voter not in changed.new.voters and changed.new == self.newest_state:
                    self.sources_heard[controller.name] = set()
        for node in self.nodes:
            self._send_group(self.controllers[name], node)

    def _record_decided(self, value: Value) -> None:
        if self.decided_states.setdefault(value.version, value) != value:
            self.report_violation(f"chain: two states of version {value.version} were decided")

    def _owners(self) -> list[tuple[Controller, int]]:
        """Return the controllers that do the singleton roles now, with their fencing tokens."""
        found: list[tuple[Controller, int]] = []
        for controller in self.controllers.values():
            token = controller.shard.owns(self.now) if controller.alive else None
            if token is not None:
                found.append((controller, token))
        return found

    def _check_properties(self) -> None:
        owners = self._owners()
        if len(owners) > 1:
            names = " and ".join(controller.name for controller, _ in owners)
            self.report_violation(f"two-owners: {names} do the duties")
        for controller, token in owners:
            recorded = self.owner_by_token.setdefault(token, controller.name)
            if recorded != controller.name or token < max(self.owner_by_token):
                self.report_violation(f"fence: {controller.name} does the duties under fence {token}")
        for name in list(self.sources_heard):
            if self.controllers[name].shard.standing.caught_up and self._has_learned(name):
                del self.sources_heard[name]

    def _check_grant(self, name: str, grant: KeyGrant) -> None:
        """Check that a controller that has forgotten grants nothing."""
        if grant.outcome != ClaimOutcome.GRANTED or name not in self.sources_heard:
            return
        if not self._has_learned(name):
            sources = sorted(self.sources_heard[name])
            self.report_violation(f"abstains: {name} grants a key, and has learned from {sources}")

    def _has_learned(self, name: str) -> bool:
        """Return whether a controller that forgot has heard so many that no majority is missed."""
        group_size = self.scene.group_size
        return len(self.sources_heard[name]) >= group_size - group_size // 2


def begin(scene: str, faults: int = 2, kinds: tuple[str, ...] = KINDS) -> MeshWorld:
    """Return a scene's world, as soon as a controller does the singleton roles of the shard."""
    one = SCENES[scene]
    return MeshWorld(one, faults, tuple(k for k in kinds if k in one.kinds))


def search(
    scene: str,
    faults: int = 2,
    kinds: tuple[str, ...] = KINDS,
    break_: str = "",
    limit_s: float = 600.0,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Explore all of a scene; the parameters are those of `world_search.search`."""
    return world_search.search(lambda: begin(scene, faults, kinds), broken, break_, limit_s, watch, workers)
