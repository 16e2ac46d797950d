"""Shared by the tests: settings, server lists and a driver that takes the node's part of the interface."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.logic import Balancer

SAFE = api.RequestClass("safe", 1000.0, 3000.0, 1.0, repeat=api.Repeat.SAFE)
KEYED = api.RequestClass("keyed", 1000.0, 3000.0, 2.0, 0.0, api.Repeat.KEYED, api.Group.CELL, 2000.0)
KEYED_ALL = api.RequestClass("keyed_all", 1000.0, 3000.0, 2.0, 0.0, api.Repeat.KEYED, api.Group.ALL, 2000.0)
UNSAFE = api.RequestClass("unsafe", 1000.0, 3000.0, 8.0)


def settings(**changes: Any) -> api.Settings:
    defaults: dict[str, Any] = {
        "classes": [SAFE, KEYED, KEYED_ALL, UNSAFE],
        "max_attempts": 3,
        "start_capacity": 0.25,
        "ramp_time_ms": 8000.0,
        "overload_factor": 3.0,
        "overload_for_ms": 1000.0,
        "drain_grace_ms": 500.0,
        "answer_slack_ms": 20.0,
        "tick_ms": 5.0,
    }
    return api.Settings(**(defaults | changes))


def entries(numbers: Iterable[int], **changes: Any) -> list[api.ServerEntry]:
    return [api.ServerEntry(n, "z", "k", n % 2, **changes) for n in numbers]


class Node:
    """Drives a balancer with a simulated clock, and records its actions."""

    def __init__(self, servers: int = 4, salt: int = 1, **changes: Any) -> None:
        self.balancer = Balancer(settings(**changes), salt)
        self.now = 1000.0
        self.log: list[tuple[float, api.Action]] = []
        self.sent: dict[str, list[int]] = {}
        self.do(api.Started())
        self.list_all(entries(range(servers)))

    def do(self, event: api.Event, after_ms: float = 0.0) -> list[api.Action]:
        self.now += after_ms
        actions = self.balancer.handle(event, self.now)
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, api.Send):
                self.sent.setdefault(action.id, []).append(action.server)
        return actions

    def list_all(self, servers: list[api.ServerEntry], version: int = 1) -> list[api.Action]:
        return self.do(api.ServerList(api.ListKind.FULL, version, servers))

    def change(self, *servers: api.ServerEntry) -> list[api.Action]:
        return self.do(api.ServerList(api.ListKind.CHANGES, 2, list(servers)))

    def ask(
        self, id: str, cls: str = "safe", ttl_ms: float = 3000.0, tenant: str | None = None
    ) -> list[api.Action]:
        return self.do(api.Request(id, cls, ttl_ms, tenant))

    def end(
        self, id: str, result: api.Result, after_ms: float = 50.0, settled: bool | None = None
    ) -> list[api.Action]:
        """End the last attempt of a request."""
        self.now += after_ms
        number = len(self.sent[id]) - 1
        settled = result is api.Result.SERVED if settled is None else settled
        event = api.AttemptEnded(id, number, self.sent[id][number], result, after_ms, settled)
        return self.do(event)

    def serve(self, count: int, cls: str = "safe", gap_ms: float = 10.0, delay_ms: float = 50.0) -> list[int]:
        """Send `count` requests one after another, all of which are served.

        :returns: the server of each
        """
        picked = []
        for n in range(count):
            id = f"serve-{self.now}-{n}"
            self.ask(id, cls)
            picked.append(self.sent[id][0])
            self.end(id, api.Result.SERVED, delay_ms)
            self.now += gap_ms
        return picked


def timers(actions: list[api.Action]) -> list[api.SetTimer]:
    return [a for a in actions if isinstance(a, api.SetTimer)]


def sends(actions: list[api.Action]) -> list[api.Send]:
    return [a for a in actions if isinstance(a, api.Send)]


def ends(actions: list[api.Action]) -> list[api.Action]:
    return [a for a in actions if isinstance(a, api.Fail | api.Refuse)]
