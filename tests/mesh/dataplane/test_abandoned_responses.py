"""Which responses count as abandoned, and for which cause."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.abandoned_responses import AbandonCause
from orchidferry.mesh.dataplane.service_client import ServiceClient
from tests.mesh.dataplane.test_http_connection import ConnectionHarness, wire
from tests.mesh.dataplane.test_service_client import AcceptedRequest, ServiceHarness
from tests.mesh.fakes import route


@pytest.fixture
def connection() -> Iterator[ConnectionHarness]:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ConnectionHarness(ours)


def test_only_a_response_that_has_begun_counts_as_abandoned(connection: ConnectionHarness) -> None:
    connection.sent.abort(Result.CANCELLED)
    assert not connection.connections.abandoned_responses.by_cause


@pytest.mark.parametrize(
    ("abandon", "cause"),
    [
        (lambda attempt: attempt.abort(Result.CANCELLED), AbandonCause.CLIENT_CLOSED),
        (lambda attempt: attempt.on_timeout(), AbandonCause.TIMEOUT),
    ],
)
def test_a_response_that_is_abandoned_half_way_counts_once(
    connection: ConnectionHarness, abandon: Callable[[Any], None], cause: AbandonCause
) -> None:
    connection.connection.data_received(wire(b"x" * 100)[:60])
    abandon(connection.sent)
    abandon(connection.sent)
    assert connection.connections.abandoned_responses.by_cause == {cause: 1}


def test_a_complete_response_does_not_count_as_abandoned(connection: ConnectionHarness) -> None:
    connection.connection.data_received(wire(b"x" * 100))
    connection.sent.abort(Result.CANCELLED)
    assert not connection.connections.abandoned_responses.by_cause


def disconnect_client(client: ServiceClient, request: Any) -> None:
    client.client_disconnected(request)


def pass_deadline(client: ServiceClient, request: Any) -> None:
    client.deadline_passed(request)


@pytest.mark.parametrize(
    ("end", "cause"),
    [(disconnect_client, AbandonCause.CLIENT_CLOSED), (pass_deadline, AbandonCause.DEADLINE)],
)
def test_an_attempt_knows_how_its_request_ended(
    end: Callable[[ServiceClient, Any], None], cause: AbandonCause, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness = ServiceHarness(monkeypatch, route())
    accepted = AcceptedRequest(harness, route(), keyed=False)
    [attempt] = harness.open_attempts()
    assert attempt.abandon_cause() is AbandonCause.SUPERSEDED
    end(harness.service, accepted.pending)
    assert attempt.abandon_cause() is cause
