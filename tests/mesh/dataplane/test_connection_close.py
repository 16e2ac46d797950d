"""The closing of a caller's connection: not while it reads its response or a request of it is unread."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from typing import Any

import pytest

from orchidferry.node.connection_end import EndCause
from orchidferry.node.connection_stage import LIMITS_S, PROGRESS, Stage
from tests.mesh.dataplane.test_listener import CallerHarness, Transport, request

UNSENT = 10 * PROGRESS


class SocketTransport(Transport):
    """A transport on one end of a socket pair, with a configurable number of unsent bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.unsent = 0
        self.half_closed = False
        self.own, self.peer = socket.socketpair()

    def get_extra_info(self, name: str) -> Any:
        return self.own

    def get_write_buffer_size(self) -> int:
        return self.unsent

    def write_eof(self) -> None:
        self.half_closed = True


@pytest.fixture
def harness() -> Iterator[CallerHarness]:
    harness = CallerHarness()
    transport = SocketTransport()
    harness.transport = transport
    harness.caller._transport = transport  # type: ignore[assignment]
    yield harness
    transport.own.close()
    transport.peer.close()


def transport_of(harness: CallerHarness) -> SocketTransport:
    assert isinstance(harness.transport, SocketTransport)
    return harness.transport


def respond_unread(harness: CallerHarness, headers: bytes) -> SocketTransport:
    """Answer a request, with `UNSENT` bytes of the response not read by the caller."""
    harness.send(request(b"a", more=headers))
    transport = transport_of(harness)
    transport.unsent = UNSENT
    harness.open[0].reply()
    harness.caller.pause_writing()
    return transport


@pytest.mark.parametrize(
    ("headers", "stage"), [(b"", Stage.BLOCKED), (b"Connection: close\r\n", Stage.LEAVING)]
)
@pytest.mark.parametrize("read", [0, PROGRESS - 1, PROGRESS])
def test_only_a_caller_that_does_not_read_is_cut_off(
    harness: CallerHarness, headers: bytes, stage: Stage, read: int
) -> None:
    """Guards against a limit on the total time of a response, which cut off callers that read slowly."""
    transport = respond_unread(harness, headers)
    assert harness.caller.stage is stage
    limit_ms = LIMITS_S[stage] * 1000.0
    for _ in range(5):
        transport.unsent -= read
        harness.loop.pass_ms(limit_ms + 300.0)
    cut = harness.listener.incomplete_ends.total()
    assert cut == (0 if read >= PROGRESS else 1)
    assert all(cause is EndCause.STAGE_TIMEOUT for cause, _ in harness.listener.incomplete_ends)


def test_an_unread_request_is_served_before_its_connection_is_closed(harness: CallerHarness) -> None:
    """Closing a connection with unread data resets it."""
    transport = transport_of(harness)
    transport.peer.send(request(b"a"))
    harness.caller.close_gracefully()
    assert not transport.ended
    harness.send(transport.own.recv(1 << 16))
    harness.open[0].reply()
    assert harness.answers() == [(200, b"a", True)] and transport.ended
    assert b"connection: close" in transport.written.lower()


def test_a_connection_with_an_unread_request_is_not_closed_as_idle(
    harness: CallerHarness,
) -> None:
    transport = transport_of(harness)
    transport.peer.send(request(b"a"))
    harness.caller.on_stage_timeout()
    assert not transport.ended
    harness.send(transport.own.recv(1 << 16))
    harness.open[0].reply()
    assert harness.answers() == [(200, b"a", True)] and transport.ended


def test_the_last_response_is_not_reset_by_data_sent_after_its_request(
    harness: CallerHarness,
) -> None:
    harness.send(request(b"a", more=b"Connection: close\r\n"))
    transport = transport_of(harness)
    transport.peer.send(request(b"b"))
    harness.open[0].reply()
    assert transport.half_closed and not transport.ended and harness.caller.stage is Stage.LEAVING
    harness.send(transport.own.recv(1 << 16))
    assert len(harness.accepted) == 1  # the second one is dropped
    harness.loop.pass_ms(LIMITS_S[Stage.LEAVING] * 1000.0 + 300.0)
    assert transport.ended and not harness.listener.incomplete_ends
