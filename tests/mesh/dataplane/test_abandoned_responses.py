"""Responses that are given up while they come: which count, and for what cause."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from typing import Any

import pytest

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.abandoned_responses import AbandonCause
from orchidferry.mesh.dataplane.service_client import ServiceClient
from tests.mesh.dataplane.test_http_connection import Scene as ConnectionScene
from tests.mesh.dataplane.test_http_connection import wire
from tests.mesh.dataplane.test_service_client import Scene, TakenRequest
from tests.mesh.fakes import route


@pytest.fixture
def connection() -> Iterator[ConnectionScene]:
    ours, theirs = socket.socketpair()
    with ours, theirs:
        yield ConnectionScene(ours)


def test_only_a_response_that_has_begun_counts_as_abandoned(connection: ConnectionScene) -> None:
    connection.sent.abort(Result.CANCELLED)
    assert not connection.connections.abandoned_responses.by_cause


@pytest.mark.parametrize(
    ("give_up", "cause"),
    [
        (lambda attempt: attempt.abort(Result.CANCELLED), AbandonCause.CLIENT_CLOSED),
        (lambda attempt: attempt.on_timeout(), AbandonCause.TIMEOUT),
    ],
)
def test_a_response_that_is_given_up_half_way_counts_once(
    connection: ConnectionScene, give_up: Callable[[Any], None], cause: AbandonCause
) -> None:
    connection.connection.data_received(wire(b"x" * 100)[:60])
    give_up(connection.sent)
    give_up(connection.sent)
    assert connection.connections.abandoned_responses.by_cause == {cause: 1}


def test_a_response_that_came_whole_does_not_count(connection: ConnectionScene) -> None:
    connection.connection.data_received(wire(b"x" * 100))
    connection.sent.abort(Result.CANCELLED)
    assert not connection.connections.abandoned_responses.by_cause


def client_leaves(client: ServiceClient, request: Any) -> None:
    client.client_disconnected(request)


def time_is_over(client: ServiceClient, request: Any) -> None:
    client.deadline_passed(request)


@pytest.mark.parametrize(
    ("end", "cause"),
    [(client_leaves, AbandonCause.CLIENT_CLOSED), (time_is_over, AbandonCause.DEADLINE)],
)
def test_an_attempt_knows_how_its_request_ended(
    end: Callable[[ServiceClient, Any], None], cause: AbandonCause, monkeypatch: pytest.MonkeyPatch
) -> None:
    scene = Scene(monkeypatch, route())
    taken = TakenRequest(scene, route(), keyed=False)
    [attempt] = scene.open_attempts()
    assert attempt.abandon_cause() is AbandonCause.SUPERSEDED
    end(scene.service, taken.pending)
    assert attempt.abandon_cause() is cause
