"""Replicas of one shard in virtual time, with a count of all bytes sent between them.

The replicas run the production `Shard` on in-memory disks (`orchidferry.testkit.explore.controller`). Each
machine sends its messages in order, at the rate of its link and with a delay; a write is complete after one
sync of the disk.
"""

from __future__ import annotations

import heapq
import json
import random
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded, SendReply, StateChanged
from orchidferry.mesh.wire.codec import encode
from orchidferry.mesh.wire.messages import Heartbeat, HeartbeatAck, Message, ShardMessage
from orchidferry.mesh.wire.shard_messages import tag_of
from orchidferry.testkit.explore.controller import Controller, ControllerCall
from orchidferry.testkit.model.stored_controller import StoredController

HEARTBEAT_INTERVAL_S = 0.4
TICK_INTERVAL_S = 0.05
DISK_SYNC_S = 0.001
LINK_DELAY_S = 0.002
RUN_STEP_S = 0.01  # interval between two checks of a condition


def example_configuration(revision: int, routes: int = 350, services: int = 40) -> bytes:
    """Return a configuration as an operator's tool writes it, with about 200 bytes per route.

    :param revision: number of the revision; one route in 50 changes with each revision
    :param routes: number of routes
    :param services: number of services
    """
    rules = [
        {
            "identifier": f"route-{n}-{(n * 2_654_435_761) % 65_536:04x}",
            "route_type": "idempotent",
            "target_ms": 200 + n % 7 * 100,
            "precedence": n % 3,
            "criteria": {"path_prefix": f"/listen/{n % 23}/{n * 40_503 + revision * (n % 50 == 0):x}/"},
            "treatment": {
                "service_name": f"service-{n % services}",
                "guard_timer_ms": 3_000,
                "max_attempts": 2,
            },
        }
        for n in range(routes)
    ]
    configuration = {
        "revision_number": revision,
        "limit_set": {"max_header_bytes": 16_384, "header_timer_ms": 3_000, "idle_timer_ms": 15_000},
        "access_points": [{"host_name": "feeds.example", "rule_set": rules}],
        "trunk_groups": [{"identifier": f"service-{n}", "max_connections": 500} for n in range(services)],
    }
    return json.dumps(configuration).encode()


def encode_call(call: str, arguments: tuple[Any, ...]) -> bytes:
    """Return an encoded message between replicas.

    :param call: the `ControllerCall` that the message makes at its receiver
    :param arguments: arguments of that call
    """
    message: Message
    match call:
        case ControllerCall.HEARTBEAT:
            name, number, eligible, version, leaving, learned = arguments
            missing_shards = [] if learned else [shard_state.CONFIGURATION]
            message = Heartbeat(name, number, eligible, [version], leaving, missing_shards)
        case ControllerCall.HEARTBEAT_ACK:
            name, number, fencing_token = arguments
            message = HeartbeatAck(name, number, [fencing_token])
        case _:
            message = ShardMessage(shard_state.CONFIGURATION, arguments[1])
    return encode(message)


class ReplicaGroup:
    """The founding replicas of a group, and a virtual clock that `run` advances.

    :ivar now: virtual time, in seconds
    :ivar seeds: names of the controllers
    :ivar bytes_by_type: bytes sent between replicas, by type of message
    :ivar bytes_by_link: bytes sent between replicas, by sender and receiver
    :ivar ended_requests: time and result of each request that has ended, by id
    :ivar isolated: names of controllers that exchange no messages with others
    :ivar ownerships: fencing tokens and owners, in order of acquisition
    :ivar controllers: controllers by name
    """

    def __init__(
        self, replicas: int, bits_per_s: float = float("inf"), seed: int = 1, directory: Path | None = None
    ) -> None:
        """Create a `ReplicaGroup`.

        :param replicas: number of controllers
        :param bits_per_s: rate of each machine's outgoing link
        :param seed: seed of the random choices
        :param directory: data directory of the last replica, which then uses the production store; None if
            all disks are in memory
        """
        self.now = 1.0
        self.bits_per_s = bits_per_s
        self.rng = random.Random(seed)
        self.seeds = tuple("abcdefghijk"[:replicas])
        self.bytes_by_type = Counter[str]()
        self.bytes_by_link = Counter[tuple[str, str]]()
        self.ended_requests: dict[str, tuple[float, RequestEnded]] = {}
        self.isolated: set[str] = set()
        self.ownerships: list[tuple[int, str]] = []
        self._link_free_s: dict[str, float] = {}  # when each machine will have sent all queued messages
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_count = 0
        self._decided_states: dict[int, Any] = {}  # by version
        self.controllers: dict[str, Controller] = {name: self._controller(name) for name in self.seeds}
        if directory is not None:
            last = self.seeds[-1]
            self.controllers[last] = StoredController(directory, *self._arguments(last))
        for name in self.seeds:
            self._heartbeat(name)
            self._tick(name)

    def _arguments(self, name: str) -> tuple[Any, ...]:
        return name, self, True, shard_state.CONFIGURATION, self.rng, self.seeds

    def _controller(self, name: str) -> Controller:
        return Controller(*self._arguments(name))

    # Time

    def schedule(self, time_s: float, call: Callable[[], None]) -> None:
        """Schedule a call.

        :param time_s: virtual time of the call
        """
        self._event_count += 1
        heapq.heappush(self._events, (time_s, self._event_count, call))

    def run(self, seconds: float) -> None:
        """Advance virtual time."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def run_until(self, condition: Callable[[], bool], timeout_s: float) -> float:
        """Advance virtual time until a condition holds.

        :returns: the time that it took
        :raises TimeoutError: if the condition does not hold within `timeout_s`
        """
        began_s = self.now
        while not condition():
            if self.now - began_s > timeout_s:
                raise TimeoutError(f"the condition did not hold within {timeout_s} s")
            self.run(RUN_STEP_S)
        return self.now - began_s

    # Processes

    def _alive(self, name: str) -> bool:
        return self.controllers[name].alive and name not in self.isolated

    def _heartbeat(self, name: str) -> None:
        self.schedule(self.now + HEARTBEAT_INTERVAL_S, lambda: self._heartbeat(name))
        if self.controllers[name].alive:
            self.controllers[name].send_heartbeats(n for n in self.controllers if n != name)
            self._sync(name)

    def _tick(self, name: str) -> None:
        self.schedule(self.now + TICK_INTERVAL_S, lambda: self._tick(name))
        if self.controllers[name].alive:
            self.controllers[name].tick()
            self._sync(name)
        self._check_ownership()

    def _check_ownership(self) -> None:
        """Check that there is one owner at a time, and that fencing tokens only rise."""
        current = [
            (fencing_token, name)
            for name, controller in self.controllers.items()
            if controller.alive and (fencing_token := controller.shard.owns(self.now)) is not None
        ]
        assert len(current) < 2, current
        if current and current[0] not in self.ownerships[-1:]:
            last = self.ownerships[-1:]
            assert not last or current[0][0] > last[0][0], (self.ownerships, current)
            self.ownerships += current

    def restart(self, name: str, downtime_s: float = 0.1, wipe: bool = False) -> None:
        """Kill a controller's process and restart it later.

        :param name: name of the controller
        :param downtime_s: time between the kill and the restart
        :param wipe: whether its disk is emptied
        """
        controller = self.controllers[name]
        controller.alive = False
        controller.writes = []
        if wipe:
            controller.wipe()
        self.schedule(self.now + downtime_s, controller.start)

    def _sync(self, name: str) -> None:
        """Complete the pending writes of a controller's disk after the time of one sync."""
        controller = self.controllers[name]
        pending = list(controller.writes)

        def written() -> None:
            for write in pending:
                if controller.alive and write in controller.writes:
                    controller.complete_write()
            self._sync(name)

        if pending:
            self.schedule(self.now + DISK_SYNC_S, written)

    # Messages, and callbacks of the controllers

    def send(self, sender: str, to: str, call: str, *arguments: Any) -> None:
        """Send a message between replicas.

        :param call: the `ControllerCall` that the message makes at its receiver
        :param arguments: arguments of that call
        """
        size = len(encode_call(call, arguments))
        message_type = tag_of(arguments[1]) if call == ControllerCall.RECEIVE else call
        self.bytes_by_type[message_type] += size
        self.bytes_by_link[sender, to] += size
        if not self._alive(sender) or not self._alive(to):
            return
        free_s = max(self.now, self._link_free_s.get(sender, 0.0)) + 8 * size / self.bits_per_s
        self._link_free_s[sender] = free_s
        incarnation = self.controllers[to].shard
        self.schedule(free_s + LINK_DELAY_S, lambda: self._deliver(to, incarnation, call, arguments))

    def _deliver(self, to: str, incarnation: Any, call: str, arguments: tuple[Any, ...]) -> None:
        controller = self.controllers[to]
        if self._alive(to) and controller.shard is incarnation:
            getattr(controller, call)(*arguments)
            self._sync(to)

    def answer(self, name: str, answer: SendReply) -> None:
        """Send an answer to the controller that made the request."""
        assert isinstance(answer.message, ShardMessage)
        self.send(name, str(answer.to), ControllerCall.RECEIVE, name, answer.message.body)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Check that all controllers learn the same state for the same version."""
        assert self._decided_states.setdefault(changed.new.version, changed.new) == changed.new

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """Record the result of a change or a read."""
        self.ended_requests[end.id] = (self.now, end)

    # Requests

    def request_change(
        self, name: str, id: str, change: shard_state.PutConfiguration, timeout_s: float = 4.0
    ) -> None:
        """Request a change from a controller.

        :param name: name of the controller
        :param id: id of the request
        :param change: configuration to put
        :param timeout_s: timeout of the request
        """
        controller = self.controllers[name]
        controller.execute(controller.shard.request_change(id, change, timeout_s, self.now))
        self._sync(name)

    def request_read(self, name: str, id: str) -> None:
        """Request the newest state from a controller.

        :param name: name of the controller
        :param id: id of the request
        """
        controller = self.controllers[name]
        controller.execute(controller.shard.request_read(id, self.now))
        self._sync(name)
