"""`Time-Remaining`: servers receive the time left, never more than the client or the route allows."""

from __future__ import annotations

import math
from typing import Any

import pytest

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.configuration import Configuration, RouteTable
from orchidferry.mesh.control.endpoints import IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.dataplane.listener import Listener
from orchidferry.mesh.dataplane.messages import TRANSIT_MARGIN_MS, ProxiedRequest
from orchidferry.mesh.dataplane.proxy import Proxy
from orchidferry.mesh.settings import Bounds
from orchidferry.node.flow import MemoryPool
from orchidferry.node.reply import Reply
from tests.mesh.fakes import admission_gate, loop_and_connections, patch_clock, route, service_client

ADDRESS = ("127.0.0.1", 1)


class Harness:
    """A node and the gate of a server; their attempts are recorded."""

    def __init__(self, patch: pytest.MonkeyPatch, kind: str = "idempotent") -> None:
        self.loop, self.connections = loop_and_connections()
        patch_clock(patch, self.loop.now_ms)
        service = service_client(self.loop, self.connections)
        servers = {n: Server(n, "s", "z", IN_SERVICE, 4, 0.0) for n in ("1", "2")}
        service.update_servers(
            {n: NodeRecord(n, 1, 1, "z", "127.0.0.1", 1, one) for n, one in servers.items()}
        )
        routes = [route(kind)]  # with a guard timer of 1,000 ms
        service.set_routes(routes)
        proxy: Any = Proxy.__new__(Proxy)
        proxy._configuration, proxy._route_table = Configuration(1), RouteTable(routes)
        proxy._services = {"s": service}
        proxy._drain_deadline_ms = math.inf
        self.proxy = proxy
        self.gate = admission_gate(self.connections)
        self.replies: list[Reply] = []

    def ask(self, left: bytes | None) -> None:
        """Send a client's request with this `Time-Remaining`; None: without one."""
        headers = {b"host": b"h", b"attempt-id": b"t1"} | ({b"time-remaining": left} if left else {})
        message = read(headers)
        self.proxy._accept(message, self.replies.append)

    def remaining(self) -> list[float]:
        """The `Time-Remaining` of each attempt so far, if it were written now."""
        return [left_of(attempt.head_bytes()) for attempt in self.connections.sent]


def read(headers: dict[bytes, bytes]) -> ProxiedRequest:
    listener = Listener(lambda message, answer: None, 9, MemoryPool(0), lambda: True)  # type: ignore[arg-type,return-value]
    message = listener.read(b"GET", b"/x/", headers, b"", None)
    assert isinstance(message, ProxiedRequest)
    return message


def left_of(head: bytes) -> float:
    [line] = [line for line in head.split(b"\r\n") if line.lower().startswith(b"time-remaining: ")]
    return float(line.partition(b": ")[2])


@pytest.mark.parametrize(
    ("left", "max_ms"),
    [
        (b"300", 300.0),
        (b"99999", 1_000.0),
        (None, 1_000.0),
        (b"30.5", 30.5),
    ],
)
def test_a_server_receives_the_remaining_time(
    monkeypatch: pytest.MonkeyPatch, left: bytes | None, max_ms: float
) -> None:
    harness = Harness(monkeypatch)
    harness.ask(left)
    assert 0.0 < max_ms - harness.remaining()[0] <= 3 * TRANSIT_MARGIN_MS


def test_no_time_left_is_not_replaced_by_the_time_of_the_route(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness(monkeypatch)
    harness.ask(b"0")
    harness.loop.pass_ms(1.0)
    assert all(left <= 1.0 for left in harness.remaining()) and [r.status for r in harness.replies] == [503]


def test_a_retry_carries_the_time_remaining_then(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness(monkeypatch)
    harness.loop.pass_ms(1e3 * Bounds().retry_window_s + 1.0)  # a node that has just started does not retry
    harness.ask(b"900")
    harness.loop.pass_ms(100.0)
    [first] = harness.connections.sent
    first.end(Result.UNREACHABLE)
    harness.loop.pass_ms(400.0)
    _, second = harness.remaining()  # the heads are written now
    assert second <= 900.0 - 500.0


def test_a_gate_forwards_the_time_remaining_after_queueing(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness(monkeypatch)
    harness.gate.heartbeat(Server("i", "s", "z", IN_SERVICE, 1, 0.0), 1)
    for _ in range(3):
        named = {b"time-remaining": b"700", b"attempt-id": b"t", b"orchid-patience": b"500"}
        harness.gate.accept(read(named), harness.replies.append)
    harness.loop.pass_ms(300.0)
    harness.connections.sent[0].end(Result.RESET)
    assert left_of(harness.connections.sent[-1].head_bytes()) <= 400.0


def test_time_that_a_request_waited_unread_is_subtracted_at_the_node_and_at_the_gate(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against measuring a request's time from when it is read, which is late on a busy machine.

    A request with 3.000 s left was read 149 ms after it was sent. The node would have answered it within
    3,139 ms, 69 ms after its client had left, and its server received too long a time.
    """
    harness = Harness(monkeypatch)
    message = read({b"host": b"h", b"attempt-id": b"t1", b"time-remaining": b"900"})
    message.arrived_ms = harness.loop.now_ms() - 150.0
    harness.proxy._accept(message, harness.replies.append)
    [at_node] = harness.remaining()
    assert at_node <= 750.0
    message = read({b"host": b"h", b"attempt-id": b"t2", b"time-remaining": b"%d" % at_node})
    message.arrived_ms = harness.loop.now_ms() - 150.0
    harness.gate.accept(message, harness.replies.append)
    assert harness.remaining()[-1] <= at_node - 150.0


def test_a_gate_does_not_send_a_request_that_expired_while_unread(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = Harness(monkeypatch)
    message = read({b"host": b"h", b"attempt-id": b"t1", b"time-remaining": b"100"})
    message.arrived_ms = harness.loop.now_ms() - 150.0
    harness.gate.accept(message, harness.replies.append)
    assert not harness.connections.sent and [reply.status for reply in harness.replies] == [503]
