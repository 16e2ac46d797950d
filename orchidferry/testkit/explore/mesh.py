"""Exploration of all interleavings of one shard's controllers and their clients, with faults.

The world runs the shipping `Shard` and `OperationKeyClient`, in the steps of `mesh_world`. The properties are
checked on the answers that clients got and the messages that controllers sent, not on controllers' own views.
"""

from __future__ import annotations

import math
from collections.abc import Callable

import msgspec

from orchidferry.balancing import proposer, register
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
from orchidferry.mesh.control.operation_key_client import ShardGroup
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.wire.messages import KeyGrant, KeyReleaseAck
from orchidferry.testkit.explore import mesh_fingerprint, world_search
from orchidferry.testkit.explore.controller import Controller, ControllerCall
from orchidferry.testkit.explore.mesh_actors import (
    KEY,
    ConfigurationClient,
    KeyNode,
    KeyRequest,
    MessageInFlight,
)
from orchidferry.testkit.explore.mesh_breaks import BREAKS, Break, broken
from orchidferry.testkit.explore.mesh_scenes import KINDS, SCENES, Scene
from orchidferry.testkit.explore.mesh_world import ROUNDING_S, ControllersWorld
from orchidferry.testkit.explore.world_search import SearchResult

__all__ = ["BREAKS", "KINDS", "SCENES", "Break", "MeshWorld", "Scene", "begin", "broken", "search"]

# Limits and times of a `ConfigurationClient`
MAX_TRIES = 8  # calls after which the client gives up
MIN_READ_TRIES = 3  # minimum of the calls that are left for reading
CLIENT_TIMEOUT_S = 1.5  # time without an answer after which the client takes its next step
CHANGE_TIMEOUT_S = 1.2  # time within which a controller tries to get a change decided
UNREACHABLE_PAUSE_S = 0.3  # pause before the next call after a controller was down
STEP_PAUSE_S = 0.01  # pause between the client's steps

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


class MeshWorld(ControllersWorld):
    """Controllers, with clients of the configuration and nodes that claim a key.

    :ivar acknowledged_by_base: the client of each acknowledged change, by the version it is based on
    :ivar newest_acknowledged: the highest revision that was acknowledged to any client
    :ivar granted_attempts: attempts that were granted the key and have not released it
    :ivar script: the remaining steps of the scene's script, with their times
    """

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        """Start the controllers and run until one of them owns the shard, which begins the scene.

        :param faults: how many faults may happen at most, besides those of the scene's script
        :param kinds: of these faults
        """
        super().__init__(scene, kinds, shard_state.shard_of(KEY) if scene.key_requests else scene.shard)
        self.acknowledged_by_base: dict[int, str] = {}
        self.newest_acknowledged = 0
        self.granted_attempts: list[str] = []
        self.script: list[tuple[float, str]] = []
        self.clients = [
            ConfigurationClient("pq"[n], at, then, 2 - n) for n, (at, then) in enumerate(scene.clients)
        ]
        self.key_requests = [KeyRequest(self, f"t{n + 1}", *one) for n, one in enumerate(scene.key_requests)]
        for request in self.key_requests:
            if request.node not in self.nodes:
                self.nodes[request.node] = KeyNode(request.node, self)
        self._start_controllers()
        self._run_until_owned()
        self.faults_left = faults
        self.began_s = self.now
        self.script = list(scene.script)
        self.story.clear()
        self._run_clients()
        self._begin_step()

    # State

    @property
    def over(self) -> bool:
        """Whether all clients are done and the scene's minimum duration is over."""
        done = all(client.step == "over" for client in self.clients)
        done = done and all(request.outcome for request in self.key_requests)
        return done and self.now >= self.began_s + self.scene.min_duration_s - ROUNDING_S

    def succeeded(self) -> bool:
        """Return whether all clients were served as in a run without faults."""
        if self.clients:
            return all(client.read for client in self.clients) and bool(self.acknowledged_by_base)
        if self.key_requests:
            decided = all(request.outcome != ClaimOutcome.UNDECIDED for request in self.key_requests)
            return len(self.granted_attempts) == 1 and decided
        return len(self._owners()) == 1

    def finish(self) -> None:
        """Do nothing: nothing happens after the clients' last step."""

    def fingerprint(self) -> bytes:
        """Return a digest of the state; worlds with equal digests have the same futures."""
        return mesh_fingerprint.fingerprint_of(self)

    # Nodes

    def answer(self, name: str, answer: SendReply) -> None:
        """Send a controller's reply to another controller or a node."""
        message = answer.message
        if isinstance(message, KeyGrant):
            self._check_grant(name, message)
        if not isinstance(message, KeyGrant | KeyReleaseAck):
            super().answer(name, answer)
        elif self._reaches(name, answer.to):
            method = "grant" if isinstance(message, KeyGrant) else "dropped"
            fields = msgspec.structs.astuple(message)
            self.next_messages.append(MessageInFlight(name, answer.to, method, fields, True))

    def _deliver(self, message: MessageInFlight) -> None:
        if message.to in self.nodes:
            self.last_receiver = message.to
            self._deliver_to_node(message)
            return
        super()._deliver(message)
        if message.method == ControllerCall.CLAIM_KEY:
            controller = self.controllers[message.to]
            if message.arguments[2] != controller.shard.body.epoch:
                self._send_group(controller, message.sender)

    def _deliver_to_node(self, message: MessageInFlight) -> None:
        claims = self.nodes[message.to].claims
        match message.method:
            case "grant":
                claims.handle_grant(message.sender, KeyGrant(*message.arguments))
            case "dropped":
                claims.releases.acknowledge(message.sender, *message.arguments)
            case _:
                number, group = message.arguments
                claims.update_group(number, group, self.now)

    def _tick_nodes(self) -> None:
        for node in self.nodes.values():
            for name, controller in self.controllers.items():
                if self._is_running(name):
                    self._send_group(controller, node.name)
            node.claims.tick(self.now)

    def _send_group(self, controller: Controller, node: str) -> None:
        """Send a node the shard's group if the controller knows a newer one than the node."""
        body = controller.shard.body
        known = self.nodes[node].claims.groups[controller.number]
        is_newer = body.epoch > known.epoch or body.fencing_token > known.fencing_token
        if is_newer and self._reaches(controller.name, node):
            names = tuple(voter.name for voter in controller.shard.known.voters)
            group = ShardGroup(body.epoch, names, body.owner, body.fencing_token)
            message = MessageInFlight(controller.name, node, "group", (controller.number, group), True)
            self.next_messages.append(message)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Handle that a controller knows a newer state: check it, and send the group to the nodes."""
        super().state_changed(name, changed)
        for node in self.nodes:
            self._send_group(self.controllers[name], node)

    def key_granted(self, request: KeyRequest) -> None:
        """Record that an attempt was granted the key, and check that no other attempt holds it."""
        if self.granted_attempts:
            self.report_violation(
                f"two-tries: the key was granted to {self.granted_attempts[0]} and {request.holder}"
            )
        self.granted_attempts.append(request.holder)

    def _check_grant(self, name: str, grant: KeyGrant) -> None:
        """Check that a controller that lost its records grants no key before it has caught up."""
        if grant.outcome != ClaimOutcome.GRANTED or name not in self.sources_heard:
            return
        if not self._has_learned(name):
            sources = sorted(self.sources_heard[name])
            self.report_violation(f"abstains: {name} grants a key, but has only learned from {sources}")

    def _check_properties(self) -> None:
        super()._check_properties()
        for name, controller in self.controllers.items():
            if controller.alive and controller.held_keys() != controller.keys_after_restart():
                self.report_violation(f"restart: {name} would load other operation keys than it holds")

    # Configuration clients

    def _client_dues_s(self) -> list[float]:
        """Return the times at which clients and the script have something to do."""
        if self.began_s == math.inf:
            return []
        dues = [self.began_s + request.due_s for request in self.key_requests if not request.began]
        dues += [client.next_step_s for client in self.clients if client.step != "over"]
        dues += [self.began_s + since_s for since_s, _ in self.script]
        return dues

    def _run_clients(self) -> None:
        """Run the due steps of the script and of the clients."""
        if self.began_s == math.inf:
            return
        due_s = self.now - self.began_s + ROUNDING_S
        while self.script and self.script[0][0] <= due_s:
            self._run_script_step(self.script.pop(0)[1])
        for request in self.key_requests:
            if not request.began and request.due_s <= due_s:
                request.begin()
        for client in self.clients:
            if client.step == "over" or self.now < client.next_step_s:
                continue
            if client.pending_request:  # the request has timed out
                self._advance_client(client)
            else:
                self._send_request(client)

    def _run_script_step(self, step: str) -> None:
        kind, *target = step.split()
        match kind:
            case "down":
                self.log(f"{target[0]} goes down")
                self.stop_process(target[0], math.inf)
            case "up":
                self.start_process(target[0])
            case _:
                self._apply_fault(kind, target)

    def _send_request(self, client: ConfigurationClient) -> None:
        name = client.put_at if client.step == "put" else client.read_at
        controller = self.controllers[name]
        client.tries += 1
        if client.tries > MAX_TRIES:
            client.step = "over"
        elif not self._is_running(name):
            client.next_step_s = self.now + UNREACHABLE_PAUSE_S
        else:
            id = f"{client.name}{client.tries}"
            client.pending_request = f"{name} {id}"
            client.next_step_s = self.now + CLIENT_TIMEOUT_S
            if client.step == "read":
                client.acknowledged_before = self.newest_acknowledged
                controller.execute(controller.shard.request_read(id, self.now))
            else:
                change = client.change()
                controller.execute(controller.shard.request_change(id, change, CHANGE_TIMEOUT_S, self.now))

    def _advance_client(self, client: ConfigurationClient, settled: bool = False) -> None:
        """Move a client to its next step.

        :param settled: whether the outcome of its change is known
        """
        next_steps = {"put": "read" if settled else "again", "again": "read", "read": "over"}
        client.step = next_steps[client.step]
        client.pending_request = ""
        client.next_step_s = self.now + STEP_PAUSE_S
        if client.step == "read":
            client.tries = min(client.tries, MAX_TRIES - MIN_READ_TRIES)

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Handle the end of a client's request at a controller."""
        client = next((one for one in self.clients if one.pending_request == f"{name} {end.id}"), None)
        if client is None:
            return
        if end.value is not None:
            self._record_decided(end.value)
        if client.step != "read":
            if end.value is not None and not end.why:
                self._change_acknowledged(client)
            self._advance_client(client, end.value is not None)
        elif end.value is None:
            client.pending_request = ""
            client.next_step_s = self.now + STEP_PAUSE_S
        else:
            revision = shard_state.body(end.value).revision
            self.log(f"{client.name} reads {revision}")
            if revision < client.acknowledged_before:
                self.report_violation(
                    f"older: {client.acknowledged_before} had been acknowledged before {revision} was read"
                )
            client.read = True
            self._advance_client(client)

    def _change_acknowledged(self, client: ConfigurationClient) -> None:
        self.log(f"{client.name}'s configuration is acknowledged")
        if self.acknowledged_by_base.setdefault(0, client.name) != client.name:
            self.report_violation("two-puts: two changes based on one version were acknowledged")
        self.newest_acknowledged = max(self.newest_acknowledged, client.revision)


def begin(scene: str, faults: int = 2, kinds: tuple[str, ...] = KINDS) -> MeshWorld:
    """Return a scene's world at the start of the scene, when a controller owns the shard."""
    played = SCENES[scene]
    return MeshWorld(played, faults, tuple(kind for kind in kinds if kind in played.kinds))


def search(
    scene: str,
    faults: int = 2,
    kinds: tuple[str, ...] = KINDS,
    break_: str = "",
    limit_s: float = 600.0,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Explore all runs of a scene; the other parameters are those of `world_search.search`.

    :param faults: how many faults may happen in a run, besides those of the scene's script
    :param kinds: of these faults
    """
    return world_search.search(lambda: begin(scene, faults, kinds), broken, break_, limit_s, watch, workers)
