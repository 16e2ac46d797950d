"""Replicas of one shard in virtual time, with every byte between them counted.

Shipping `Shard`s round disks in memory (`orchidferry.testkit.explore.controller`); each machine sends its
messages in order, at the rate of its link and after a delay, and each disk answers a write after one sync.
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

BEAT_S = 0.4
TICK_S = 0.05
SYNC_S = 0.001
DELAY_S = 0.002


def example(revision: int, routes: int = 350, services: int = 40) -> bytes:
    """A configuration as an operator's tool writes it, of some 200 bytes a route."""
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
    whole = {
        "revision_number": revision,
        "limit_set": {"max_header_bytes": 16_384, "header_timer_ms": 3_000, "idle_timer_ms": 15_000},
        "access_points": [{"host_name": "feeds.example", "rule_set": rules}],
        "trunk_groups": [{"identifier": f"service-{n}", "max_connections": 500} for n in range(services)],
    }
    return json.dumps(whole).encode()


def encoded(kind: str, message: tuple[Any, ...]) -> bytes:
    """The bytes of a message between replicas."""
    found: Message
    match kind:
        case ControllerCall.HEARTBEAT:
            name, number, fit, version, leaving, learned = message
            learning = [] if learned else [shard_state.CONFIGURATION]
            found = Heartbeat(name, number, fit, [version], leaving, learning)
        case ControllerCall.HEARTBEAT_ACK:
            name, number, fence = message
            found = HeartbeatAck(name, number, [fence])
        case _:
            found = ShardMessage(shard_state.CONFIGURATION, message[1])
    return encode(found)


class ReplicaGroup:
    """So many founders, and a clock that `run` moves."""

    def __init__(
        self, replicas: int, bits_per_s: float = float("inf"), seed: int = 1, folder: Path | None = None
    ) -> None:
        """`folder`: where the last replica has a real store; None: all disks are in memory."""
        self.now, self.bits_per_s, self.rng = 1.0, bits_per_s, random.Random(seed)
        self.seeds = tuple("abcdefghijk"[:replicas])
        self.bytes = Counter[str]()  # sent between replicas, by kind of message
        self.link_bytes = Counter[tuple[str, str]]()
        self.ended: dict[str, tuple[float, RequestEnded]] = {}
        self.dark: set[str] = set()  # that hear nobody and are heard by nobody
        self.owners: list[tuple[int, str]] = []  # fences under which duties were done, in their order
        self._free_s: dict[str, float] = {}  # when each machine has sent what it has
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self._states: dict[int, Any] = {}  # decided, by version
        self.controllers: dict[str, Controller] = {name: self._controller(name) for name in self.seeds}
        if folder is not None:
            last = self.seeds[-1]
            self.controllers[last] = StoredController(folder, *self._arguments(last))
        for name in self.seeds:
            self._beat(name)
            self._tick(name)

    def _arguments(self, name: str) -> tuple[Any, ...]:
        return name, self, True, shard_state.CONFIGURATION, self.rng, self.seeds

    def _controller(self, name: str) -> Controller:
        return Controller(*self._arguments(name))

    # Time

    def at(self, when_s: float, call: Callable[[], None]) -> None:
        """Have something done then."""
        self._count += 1
        heapq.heappush(self._events, (when_s, self._count, call))

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.now + seconds
        while self._events and self._events[0][0] <= until:
            self.now, _, call = heapq.heappop(self._events)
            call()
        self.now = until

    def run_until(self, over: Callable[[], bool], most_s: float) -> float:
        """Let time pass until this holds, and tell how much; `TimeoutError` after `most_s`."""
        began = self.now
        while not over():
            if self.now - began > most_s:
                raise TimeoutError(f"not within {most_s} s")
            self.run(0.01)
        return self.now - began

    # Processes

    def _alive(self, name: str) -> bool:
        return self.controllers[name].alive and name not in self.dark

    def _beat(self, name: str) -> None:
        self.at(self.now + BEAT_S, lambda: self._beat(name))
        if self.controllers[name].alive:
            self.controllers[name].send_heartbeats(n for n in self.controllers if n != name)
            self._sync(name)

    def _tick(self, name: str) -> None:
        self.at(self.now + TICK_S, lambda: self._tick(name))
        if self.controllers[name].alive:
            self.controllers[name].tick()
            self._sync(name)
        self._judge()

    def _judge(self) -> None:
        """One owner at a time, and fences only rise."""
        now = [
            (fence, name)
            for name, one in self.controllers.items()
            if one.alive and (fence := one.shard.owns(self.now)) is not None
        ]
        assert len(now) < 2, now
        if now and now[0] not in self.owners[-1:]:
            assert not self.owners or now[0][0] > self.owners[-1][0], (self.owners, now)
            self.owners += now

    def kill(self, name: str, for_s: float = 0.1, wipe: bool = False) -> None:
        """End a process; it begins anew later, its disk kept or empty."""
        controller = self.controllers[name]
        controller.alive = False
        controller.writes = []
        if wipe:
            controller.wipe()
        self.at(self.now + for_s, controller.start)

    def _sync(self, name: str) -> None:
        """Have the writes that wait reach the disk."""
        controller = self.controllers[name]
        waiting = list(controller.writes)

        def written() -> None:
            for write in waiting:
                if controller.alive and write in controller.writes:
                    controller.complete_write()
            self._sync(name)

        if waiting:
            self.at(self.now + SYNC_S, written)

    # Between them

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """A message between replicas."""
        size = len(encoded(kind, message))
        self.bytes[tag_of(message[1]) if kind == ControllerCall.RECEIVE else kind] += size
        self.link_bytes[sender, to] += size
        if not self._alive(sender) or not self._alive(to):
            return
        free = max(self.now, self._free_s.get(sender, 0.0)) + 8 * size / self.bits_per_s
        self._free_s[sender] = free
        life = self.controllers[to].shard
        self.at(free + DELAY_S, lambda: self._deliver(to, life, kind, message))

    def _deliver(self, to: str, life: Any, kind: str, message: tuple[Any, ...]) -> None:
        controller = self.controllers[to]
        if self._alive(to) and controller.shard is life:
            getattr(controller, kind)(*message)
            self._sync(to)

    def answer(self, name: str, answer: SendReply) -> None:
        """An answer, on the link of whoever asked."""
        assert isinstance(answer.message, ShardMessage)
        self.send(name, str(answer.to), ControllerCall.RECEIVE, name, answer.message.body)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Whoever learns a version learns the same."""
        assert self._states.setdefault(changed.new.version, changed.new) == changed.new

    def request_ended(self, name: str, end: RequestEnded) -> None:
        """A change or a reading is over."""
        self.ended[end.id] = (self.now, end)

    # What is asked

    def put(self, name: str, id: str, change: shard_state.PutConfiguration, for_s: float = 4.0) -> None:
        """Ask a controller for a change."""
        controller = self.controllers[name]
        controller.execute(controller.shard.request_change(id, change, for_s, self.now))
        self._sync(name)

    def read(self, name: str, id: str) -> None:
        """Ask a controller for the newest state."""
        controller = self.controllers[name]
        controller.execute(controller.shard.request_read(id, self.now))
        self._sync(name)
