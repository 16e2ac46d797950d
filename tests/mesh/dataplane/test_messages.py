"""The forwarding of requests and responses by the two nodes between a caller and a server."""

from __future__ import annotations

from typing import Any

import httptools
import pytest

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.endpoints import IN_SERVICE, Server
from tests.mesh.dataplane.test_listener import CallerHarness
from tests.mesh.dataplane.test_service_client import ServiceHarness
from tests.mesh.fakes import admission_gate, loop_and_connections, patch_clock, route, server_response


class Received:
    """A request as parsed by a server."""

    def __init__(self, data: bytes) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body = b""
        self.target = b""
        self.complete_count = 0
        parser = httptools.HttpRequestParser(self)
        parser.feed_data(data)
        self.method = parser.get_method()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers.append((name.lower(), value))

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.complete_count += 1

    def values(self, name: bytes) -> list[bytes]:
        return [value for received, value in self.headers if received == name]


class ForwardingPath:
    """A request's path: a caller's connection, the node's attempt, a connection to the gate, its attempt."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.service_harness = ServiceHarness(patch, route())
        deadline_ms = self.service_harness.loop.now_ms() + 900.0
        self.caller = CallerHarness(lambda message, answer: self._accept(message, answer, deadline_ms))
        loop, self.connections = loop_and_connections()
        patch_clock(patch, loop.now_ms)
        gate = admission_gate(self.connections)
        gate.heartbeat(Server(self.server_id(), "s", "z", IN_SERVICE, 4, 0.0), 1)
        self.gate, self.inbound = gate, CallerHarness(gate.accept)

    def server_id(self) -> str:
        return "1"

    def _accept(self, message: Any, answer: Any, deadline_ms: float) -> Any:
        return self.service_harness.service.accept(message, route(), deadline_ms, answer)

    def send(self, data: bytes) -> Received:
        """Send a request along the path; return the request that the server receives."""
        self.service_harness.servers(self.server_id())
        self.caller.send(data)
        [gate_attempt] = self.service_harness.open_attempts()
        self.inbound.send(gate_attempt.head_bytes())
        [server_attempt] = self.connections.sent
        return Received(server_attempt.head_bytes())


PLAIN = b"Host: Shop.example:80\r\nAttempt-Id: 9c41\r\nTime-Remaining: 800\r\n"
REQUESTS = {
    "plain": (b"GET /x/2f?q=%2F&r HTTP/1.1\r\n" + PLAIN, b""),
    "a body": (b"POST /x/ HTTP/1.1\r\n" + PLAIN + b"Content-Length: 5\r\n", b"a\x00b\r\n"),
    "chunks": (b"PUT /x/ HTTP/1.1\r\n" + PLAIN + b"Transfer-Encoding: chunked\r\n", b"a\x00b\r\n"),
    "a long id": (b"GET /x/ HTTP/1.1\r\n" + PLAIN.replace(b"9c41", b"9c41" * 2_000), b""),
    "an empty body": (b"POST /x/ HTTP/1.1\r\n" + PLAIN + b"Content-Length: 0\r\n", b""),
}


@pytest.mark.parametrize("name", REQUESTS)
def test_a_request_arrives_unchanged(monkeypatch: pytest.MonkeyPatch, name: str) -> None:
    head, body = REQUESTS[name]
    encoded_body = (
        body if b"chunked" not in head else b"2\r\n%b\r\n3\r\n%b\r\n0\r\n\r\n" % (body[:2], body[2:])
    )
    more = (
        b"Operation-Key: k-5512\r\nAccept: a\r\nAccept: b\r\nKind: \xff x\r\n"
        # Headers that the mesh overwrites or removes, and hop-by-hop headers.
        b"Calling-Service: other\r\nTarget-Instance: i-9\r\nOrchid-Rank: 0\r\nOrchid-Gate: unrun\r\n"
        b"Connection: keep-alive, Hop\r\nHop: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n"
    )
    received = ForwardingPath(monkeypatch).send(head + more + b"\r\n" + encoded_body)
    method, target, _ = head.split(b" ", 2)
    assert (received.method, received.target, received.body, received.complete_count) == (
        method,
        target,
        body,
        1,
    )
    for header, values in {
        b"host": [b"Shop.example:80"],
        b"attempt-id": [b"9c41" * (2_000 if name == "a long id" else 1)],
        b"operation-key": [b"k-5512"],
        b"accept": [b"a", b"b"],
        b"kind": [b"\xff x"],
        b"calling-service": [b"me"],
        b"target-instance": [b"1"],
        b"hop": [],
        b"keep-alive": [],
        b"te": [],
    }.items():
        assert received.values(header) == values, header
    assert len(received.values(b"time-remaining")) == 1 and not [
        n for n, _ in received.headers if n.startswith(b"orchid")
    ]


@pytest.mark.parametrize("status", [200, 206, 302, 404, 500])
def test_a_response_returns_unchanged(monkeypatch: pytest.MonkeyPatch, status: int) -> None:
    path = ForwardingPath(monkeypatch)
    path.send(REQUESTS["plain"][0] + b"\r\n")
    [server_attempt], answer = path.connections.sent, server_response(status, b"9c41")
    answer.headers = [(b"Server-Seal", b"3e1b"), (b"Content-Type", b"a/b"), (b"Kind", b"1"), (b"Kind", b"2")]
    answer.body = b"the server's bytes"
    server_attempt.on_sent()
    server_attempt.end(Result.ERROR if status >= 500 else Result.SERVED, answer)
    written = path.inbound.transport.written
    assert written.startswith(b"HTTP/1.1 %d" % status) and written.endswith(b"\r\n\r\nthe server's bytes")
    for line in (b"Server-Seal: 3e1b", b"Content-Type: a/b", b"Kind: 1\r\nKind: 2", b"Attempt-Id: 9c41"):
        assert written.count(line) == 1
