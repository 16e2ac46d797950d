"""Replicas of one shard in virtual time, with every byte between them counted.

Shipping `Shard`s round disks in memory (`rehearsal.explore.controller`); each machine sends its messages in
order, at the rate of its link and after a delay, and each disk answers a write after one sync.
"""

from __future__ import annotations

import heapq
import json
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

from mesh.control import shard_state
from mesh.control.replica import Answer, Changed, Ended
from mesh.wire.framing import pack
from rehearsal.explore.controller import Controller

BEAT_S, TICK_S = 0.4, 0.05
SYNC_S, DELAY_S = 0.001, 0.002


def example(revision: int, routes: int = 350, services: int = 40) -> bytes:
    """A configuration as an operator's tool writes it, of some 200 bytes a route."""
    rules = [
        {
            "identifier": f"route-{n}-{(n * 2_654_435_761) % 65_536:04x}", "route_type": "idempotent",
            "target_ms": 200 + n % 7 * 100, "precedence": n % 3,
            "criteria": {"path_prefix": f"/listen/{n % 23}/{n * 40_503 + revision * (n % 50 == 0):x}/"},
            "treatment": {
                "service_name": f"service-{n % services}", "guard_timer_ms": 3_000, "max_attempts": 2,
            },
        }
        for n in range(routes)
    ]  # fmt: skip
    whole = {
        "revision_number": revision,
        "limit_set": {"max_header_bytes": 16_384, "header_timer_ms": 3_000, "idle_timer_ms": 15_000},
        "access_points": [{"host_name": "feeds.example", "rule_set": rules}],
        "trunk_groups": [{"identifier": f"service-{n}", "max_connections": 500} for n in range(services)],
    }
    return json.dumps(whole).encode()


class ReplicaGroup:
    """So many founders, and a clock that `run` moves."""

    def __init__(self, replicas: int, bits_per_s: float = float("inf"), seed: int = 1) -> None:
        self.now, self.bits_per_s, self.rng = 1.0, bits_per_s, random.Random(seed)
        self.seeds = tuple("abcdefghijk"[:replicas])
        self.bytes = Counter[str]()  # sent between replicas, by kind of message
        self.link_bytes = Counter[tuple[str, str]]()
        self.ended: dict[str, tuple[float, Ended]] = {}
        self.dark: set[str] = set()  # that hear nobody and are heard by nobody
        self.decided_states: dict[int, Any] = {}
        self._free_s: dict[str, float] = {}  # when each machine has sent what it has
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._count = 0
        self.controllers: dict[str, Controller] = {name: self._controller(name) for name in self.seeds}
        for name in self.seeds:
            self._beat(name)
            self._tick(name)

    def _controller(self, name: str) -> Controller:
        return Controller(name, self, True, shard_state.CONFIGURATION, self.rng, self.seeds)

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
            self.controllers[name].beat_to(n for n in self.controllers if n != name)
            self._sync(name)

    def _tick(self, name: str) -> None:
        self.at(self.now + TICK_S, lambda: self._tick(name))
        if self.controllers[name].alive:
            self.controllers[name].tick()
            self._sync(name)

    def _sync(self, name: str) -> None:
        """Have the writes that wait reach the disk."""
        controller = self.controllers[name]
        waiting = list(controller.writes)

        def written() -> None:
            for write in waiting:
                if controller.alive and write in controller.writes:
                    controller.disk_turn()
            self._sync(name)

        if waiting:
            self.at(self.now + SYNC_S, written)

    # Between them

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        """A message between replicas."""
        size = len(pack([kind, *message]))
        self.bytes[message[1][0] if kind == "heard" else kind] += size
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

    def answer(self, name: str, answer: Answer) -> None:
        """An answer, on the link of whoever asked."""
        self.send(name, str(answer.to), "heard", name, answer.message[2:])

    def decided(self, name: str, changed: Changed) -> None:
        """Whoever learns a version learns the same."""
        assert self.decided_states.setdefault(changed.new.version, changed.new) == changed.new

    def told(self, name: str, end: Ended) -> None:
        """A change or a reading is over."""
        self.ended[end.id] = (self.now, end)

    # What is asked

    def put(self, name: str, id: str, change: shard_state.Put, for_s: float = 4.0) -> None:
        """Ask a controller for a change."""
        controller = self.controllers[name]
        controller.do(controller.shard.ask(id, change, for_s, self.now))
        self._sync(name)

    def read(self, name: str, id: str) -> None:
        """Ask a controller for the newest state."""
        controller = self.controllers[name]
        controller.do(controller.shard.read(id, self.now))
        self._sync(name)
