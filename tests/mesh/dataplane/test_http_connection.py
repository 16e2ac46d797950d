"""Connections to servers: the result of each response, and the matching of responses to attempts."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any

import pytest

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.http_connection import HttpConnection
from orchidferry.mesh.dataplane.messages import (
    ServerResponse,
    attempt_result,
    forwarded_reply,
)
from tests.mesh.fakes import proxied_request, server_response
from tests.mesh.wire_fakes import RecordedAttempt, Transport, loop_and_pool

ANSWERS: dict[str, tuple[ServerResponse, Result]] = {
    "sealed": (server_response(), Result.SERVED),
    "no seal": (server_response(sealed=False), Result.ERROR),
    "encoded": (server_response(encoded=True), Result.ERROR),
    "no id": (server_response(attempt_id=None), Result.ERROR),
    "client error": (server_response(404, sealed=False), Result.SERVED),
    "for another incarnation": (server_response(421, sealed=False), Result.MOOT),
    "for another incarnation, and not executed": (
        server_response(421, sealed=False, not_executed=True),
        Result.MOOT,
    ),
    "not executed": (server_response(503, sealed=False, not_executed=True), Result.REFUSED),
    "not executed, without an id": (server_response(503, attempt_id=None, not_executed=True), Result.ERROR),
    "server error": (server_response(500), Result.ERROR),
    "gate: not run": (server_response(503, gate_outcome=b"unrun"), Result.REFUSED),
    "gate: gone": (server_response(503, gate_outcome=b"gone"), Result.MOOT),
    "gate: lost": (server_response(502, gate_outcome=b"lost"), Result.RESET),
    "gate: late": (server_response(504, gate_outcome=b"late"), Result.TIMEOUT),
    "gate: unknown outcome": (server_response(200, gate_outcome=b"fine"), Result.ERROR),
}


@pytest.mark.parametrize("name", ANSWERS)
def test_the_result_of_a_response(name: str) -> None:
    answer, result = ANSWERS[name]
    assert attempt_result(answer) is result


class ConnectionHarness:
    """A connection that carries one attempt, with the id `t1`."""

    def __init__(self, sock: socket.socket) -> None:
        _, self.connections = loop_and_pool()
        transport: Any = Transport(sock)
        self.transport = transport
        self.connection = HttpConnection(self.connections, 1, ("127.0.0.1", 1))
        self.connection.connection_made(self.transport)
        self.sent = RecordedAttempt(proxied_request())
        self.connection.send_attempt(self.sent)

    @property
    def kept(self) -> bool:
        return not self.transport.closed and bool(self.connections._idle.get(1))

    def end(self) -> tuple[Result, bytes]:
        [(result, answer)] = self.sent.ends
        return result, answer.body if answer is not None else b""


@pytest.fixture
def harness() -> Iterator[ConnectionHarness]:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ConnectionHarness(ours)


def wire(body: bytes, id: bytes = b"t1", more: bytes = b"") -> bytes:
    return b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Seal: x\r\n%bContent-Length: %d\r\n\r\n%b" % (
        id,
        more,
        len(body),
        body,
    )


@pytest.mark.parametrize("step", [1, 7, 10_000])
def test_a_response_with_the_id_of_another_request_is_discarded(
    harness: ConnectionHarness, step: int
) -> None:
    data = wire(b"other's", b"t0") + wire(b"mine")
    for at in range(0, len(data), step):
        harness.connection.data_received(data[at : at + step])
    assert harness.end() == (Result.SERVED, b"mine") and not harness.kept


def test_such_a_response_that_ends_with_its_connection_is_discarded(harness: ConnectionHarness) -> None:
    harness.connection.data_received(
        b"HTTP/1.1 200 OK\r\nAttempt-Id: t0\r\nServer-Seal: x\r\nConnection: close\r\n\r\nother's"
    )
    harness.connection.connection_lost(None)
    assert harness.end()[0] is Result.RESET


@pytest.mark.parametrize("cut", [1, 30, 60, 80])
def test_a_truncated_response_is_a_reset(harness: ConnectionHarness, cut: int) -> None:
    harness.connection.data_received(wire(b"a whole answer")[:cut])
    harness.connection.connection_lost(None)
    assert harness.end() == (Result.RESET, b"")


def test_a_response_is_forwarded_with_one_attempt_id(harness: ConnectionHarness) -> None:
    harness.connection.data_received(wire(b"mine", more=b"Kind: a\r\nKind: b\r\n"))
    more = forwarded_reply(harness.sent.ends[0][1]).more
    assert sorted(more) == [(b"Attempt-Id", b"t1"), (b"Kind", b"a"), (b"Kind", b"b"), (b"Server-Seal", b"x")]


def test_a_connection_is_kept_after_exactly_one_complete_response(harness: ConnectionHarness) -> None:
    harness.connection.data_received(wire(b"mine"))
    assert harness.end() == (Result.SERVED, b"mine") and harness.kept
    harness.connection.data_received(b"x")
    assert harness.transport.closed and not harness.kept


@pytest.mark.parametrize("extra", [b"x", b"HTTP/1.1 200 OK\r\n", wire(b"other's", b"t0")])
def test_extra_bytes_close_the_connection(harness: ConnectionHarness, extra: bytes) -> None:
    harness.connection.data_received(wire(b"mine") + extra)
    assert harness.end() == (Result.SERVED, b"mine") and not harness.kept


def test_headers_of_an_interim_response_are_not_those_of_the_final_one(harness: ConnectionHarness) -> None:
    harness.connection.data_received(
        b"HTTP/1.1 103 Early\r\nAttempt-Id: t1\r\nServer-Seal: x\r\nLink: y\r\n\r\n"
    )
    harness.connection.data_received(b"HTTP/1.1 200 OK\r\nAttempt-Id: t1\r\nContent-Length: 0\r\n\r\n")
    [(result, answer)] = harness.sent.ends
    assert result is Result.ERROR and answer.attempt_id == b"t1" and not answer.sealed and not answer.headers
