"""An event loop with virtual time, a connection pool that only records attempts, and example objects."""

from __future__ import annotations

import heapq
import importlib
import pkgutil
from collections.abc import Callable
from typing import Any

import pytest

from orchidferry.mesh import dataplane
from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.dataplane.admission import AdmissionGate, GateHooks
from orchidferry.mesh.dataplane.messages import ProxiedRequest, ServerResponse
from orchidferry.mesh.dataplane.service_client import ClientContext, ServiceClient
from orchidferry.mesh.settings import Bounds
from orchidferry.node import client_connection, upstream
from orchidferry.node.attempt import Attempt
from orchidferry.node.reply import Reply
from orchidferry.node.timer_queue import TimerQueue


class Timer:
    """A scheduled call of the loop."""

    def __init__(self, call: Callable[[], object]) -> None:
        self.call: Callable[[], object] | None = call

    def cancel(self) -> None:
        self.call = None


class Loop:
    """The part of an event loop that the code under test uses, with virtual time."""

    def __init__(self) -> None:
        self.now_s, self._calls, self._number = 1_000.0, list[tuple[float, int, Timer]](), 0

    def time(self) -> float:
        return self.now_s

    def now_ms(self) -> float:
        return self.now_s * 1e3

    def call_at(self, due_s: float, call: Callable[..., object], *args: Any) -> Timer:
        timer = Timer(lambda: call(*args))
        self._number += 1
        heapq.heappush(self._calls, (due_s, self._number, timer))
        return timer

    def call_later(self, delay_s: float, call: Callable[..., object], *args: Any) -> Timer:
        return self.call_at(self.now_s + delay_s, call, *args)

    def pass_ms(self, ms: float) -> None:
        """Advance the time and run the calls that become due."""
        until = self.now_s + ms / 1e3
        while self._calls and self._calls[0][0] <= until:
            due, _, timer = heapq.heappop(self._calls)
            self.now_s = max(self.now_s, due)
            if timer.call is not None:
                timer.call()
        self.now_s = until


class FakeConnections:
    """A connection pool that records the attempts it is given."""

    def __init__(self, timers: Any) -> None:
        self.timers, self.sent = timers, list[Attempt]()

    def send(self, attempt: Attempt) -> None:
        attempt.set_timeout(self.timers, attempt.timeout_ms / 1e3)
        self.sent.append(attempt)

    def server_removed(self, server: int) -> None:
        pass

    close_idle = server_removed


def loop_and_connections() -> tuple[Any, Any]:
    """Return a loop and a fake connection pool with timers on it."""
    loop: Any = Loop()
    return loop, FakeConnections(TimerQueue(loop))


def proxied_request(id: str = "t1", **headers: bytes) -> ProxiedRequest:
    """Return a request with these headers."""
    named = {name.replace("_", "-").encode(): value for name, value in headers.items()}
    return ProxiedRequest(
        b"GET", b"/x/", id, "", 1_000.0, None, False, None, None, b"", host=b"h", headers=named
    )


def server_response(
    status: int = 200, attempt_id: bytes | None = b"t1", sealed: bool = True, **more: Any
) -> ServerResponse:
    """Return a response of a server."""
    return ServerResponse(status, b"", None, None, sealed=sealed, attempt_id=attempt_id, **more)


def service_client(
    loop: Any,
    connections: Any,
    name: str = "s",
    server_number: Callable[[str], int] = int,
    client_class: type[ServiceClient] = ServiceClient,
) -> Any:
    """Return a client of a service, on a node of the service `me` in the zone `z`."""
    context = ClientContext("me", "z", Bounds(), loop, connections.timers, connections, server_number)
    return client_class(name, context)


def admission_gate(connections: Any, hooks: GateHooks | None = None) -> AdmissionGate:
    """Return the gate of a server that sends one heartbeat per second."""
    hooks = hooks or GateHooks(lambda: None, lambda: False, lambda message, response: None)
    return AdmissionGate(("127.0.0.1", 1), Bounds(), 1_000.0, connections.timers, connections, hooks)


def route(kind: str = "idempotent", attempts: int = 3, **more: Any) -> Route:
    """Return a route with a latency target of 200 ms and a guard timer of 1,000 ms."""
    return Route("r", "h", "/x/", kind, 200.0, 0, 1_000.0, attempts, (("s", 1.0),), **more)


def header(reply: Reply, name: bytes) -> bytes | None:
    """Return a header of a reply; None if it is missing."""
    return dict(reply.more).get(name)


def patch_clock(patch: pytest.MonkeyPatch, now_ms: Callable[[], float]) -> None:
    """Make all modules of the data plane, and the connections of the node, use this clock."""
    names = [f"{dataplane.__name__}.{module.name}" for module in pkgutil.iter_modules(dataplane.__path__)]
    for module in (*map(importlib.import_module, names), client_connection, upstream):
        if hasattr(module, "now_ms"):
            patch.setattr(module, "now_ms", now_ms)
