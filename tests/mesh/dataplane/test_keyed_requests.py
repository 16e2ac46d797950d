"""Keyed requests at a node: the claim of the key, and the reply to a repeat of it."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.endpoints import IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.dataplane.keyed_requests import KeyedRequests
from orchidferry.mesh.dataplane.messages import (
    stored_answer,
)
from orchidferry.node.reply import Reply
from tests.mesh.fakes import (
    header,
    loop_and_connections,
    patch_clock,
    proxied_request,
    route,
    server_response,
    service_client,
)


class FakeControlClient:
    """A control client whose claims the test answers; records how keys are settled."""

    def __init__(self) -> None:
        self.claims = self
        self.callbacks: list[Callable[[str, Any], None]] = []
        self.claimed: list[str] = []
        self.holders: list[str] = []
        self.calls: list[tuple[Any, ...]] = []

    def claim(self, key: str, holder: str, for_s: float, callback: Callable[[str, Any], None]) -> None:
        self.claimed.append(key)
        self.holders.append(holder)
        self.callbacks.append(callback)

    def record_answer(self, key: str, holder: str, answer: Any) -> None:
        self.calls.append(("record_answer", key, holder, answer))

    def release(self, key: str, holder: str) -> None:
        self.calls.append(("release", key, holder))


class Harness:
    """A node with one service, reduced to the handling of keyed requests."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.loop, self.connections = loop_and_connections()
        patch_clock(patch, self.loop.now_ms)
        self.route = route("keyed", 2)
        self.service = service_client(self.loop, self.connections)
        server = Server("1", "s", "z", IN_SERVICE, 4, 0.0)
        self.service.update_servers({"1": NodeRecord("1", 1, 1, "z", "127.0.0.1", 1, server)})
        self.service.set_routes([self.route])
        control_client: Any = FakeControlClient()
        self.control_client = control_client
        self.keyed_requests = KeyedRequests(control_client)
        self.replies: dict[str, Reply] = {}

    def ask(self, id: str, key: bytes = b"k") -> Any:
        message = proxied_request(id)
        message.key = key

        def answer(reply: Reply) -> None:
            assert id not in self.replies
            self.replies[id] = reply

        deadline_ms = self.loop.now_ms() + 1_000.0
        return self.keyed_requests.accept(message, self.route, self.service, deadline_ms, answer)

    def run(self, id: str) -> Any:
        """Send a request and grant its claim; return its attempt."""
        self.ask(id)
        self.control_client.callbacks[-1](ClaimOutcome.GRANTED, None)
        return self.connections.sent[-1]


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(monkeypatch)


@pytest.mark.parametrize("status", [200, 404, 500])
def test_a_repeat_gets_the_first_runs_response_with_its_own_attempt_id(harness: Harness, status: int) -> None:
    attempt = harness.run("a")
    attempt.on_sent()
    first = server_response(status, b"a")
    first.body = b"the first run's"
    first.headers = [(b"Server-Seal", b"s1"), (b"Kind", b"x")]
    attempt.end(Result.ERROR if status == 500 else Result.SERVED, first)
    harness.loop.pass_ms(1_000.0)
    [(call, key, holder, stored)] = harness.control_client.calls
    assert (call, key, holder) == ("record_answer", "k", "a")
    harness.ask("b")
    harness.control_client.callbacks[-1](ClaimOutcome.HELD_BY_OTHER, stored)
    for id in "ab":
        reply = harness.replies[id]
        assert (reply.status, reply.body) == (status, b"the first run's")
        assert (header(reply, b"Server-Seal"), header(reply, b"Attempt-Id")) == (b"s1", id.encode())
        assert len([name for name, _ in reply.more if name == b"Attempt-Id"]) == 1
    assert len(harness.connections.sent) == 1


def lose_connection(attempt: Any) -> None:
    attempt.on_sent()
    attempt.end(Result.RESET)


def send_half(attempt: Any) -> None:
    attempt.request_written()
    attempt.end(Result.UNREACHABLE)


def time_out(attempt: Any) -> None:
    attempt.on_sent()
    attempt.on_timeout()


def reject_as_not_run(attempt: Any) -> None:
    attempt.on_sent()
    attempt.end(Result.REFUSED, server_response(503, b"a", gate_outcome=b"unrun"))


def fail_to_connect(attempt: Any) -> None:
    attempt.end(Result.UNREACHABLE)


@pytest.mark.parametrize("end", [lose_connection, send_half, time_out])
def test_the_key_of_a_run_that_was_lost_stays_claimed(harness: Harness, end: Callable[[Any], None]) -> None:
    """Even if the service deduplicates: an interrupted run can't be told from a lost response."""
    end(harness.run("a"))
    harness.loop.pass_ms(1_001.0)
    assert (
        harness.replies["a"].status in (502, 504)
        and harness.control_client.calls == []
        and len(harness.connections.sent) == 1
    )
    harness.ask("b")
    harness.control_client.callbacks[-1](ClaimOutcome.HELD_BY_OTHER, None)
    assert harness.replies["b"].status == 409 and len(harness.connections.sent) == 1


def test_an_unproven_not_run_status_is_neither_forwarded_nor_stored(harness: Harness) -> None:
    """A server's 503 without a proof would promise the caller and repeats that the request has not run."""
    attempt = harness.run("a")
    attempt.on_sent()
    attempt.end(Result.ERROR, server_response(503, b"a"))
    harness.loop.pass_ms(1_001.0)
    assert (
        harness.replies["a"].status == 502
        and harness.control_client.calls == []
        and stored_answer(server_response(503)) is None
    )


@pytest.mark.parametrize("end", [reject_as_not_run, fail_to_connect])
def test_the_key_of_a_run_that_never_began_is_released(harness: Harness, end: Callable[[Any], None]) -> None:
    harness.run("a")
    for attempt in harness.connections.sent:
        if not attempt.over:
            end(attempt)
    harness.loop.pass_ms(1_001.0)
    for attempt in harness.connections.sent:
        if not attempt.over:
            end(attempt)
    assert harness.replies["a"].status == 503 and harness.control_client.calls == [("release", "k", "a")]


def test_a_key_granted_to_a_disconnected_caller_is_released(harness: Harness) -> None:
    harness.ask("a").client_disconnected()
    harness.control_client.callbacks[-1](ClaimOutcome.GRANTED, None)
    assert (
        harness.control_client.calls == [("release", "k", "a")]
        and not harness.connections.sent
        and not harness.replies
    )


def test_an_empty_key_is_refused_at_once(harness: Harness) -> None:
    """Its claim could never be stored: the request waited a second, and the controllers' disks degraded."""
    harness.ask("a", b"")
    assert harness.replies["a"].status == 400 and not harness.control_client.claimed
    assert not harness.connections.sent


def test_a_key_that_is_too_long_for_a_record_is_claimed_and_settled_by_its_digest(harness: Harness) -> None:
    keys = [b"k" * 600, b"k" * 16_000, b"k" * 599 + b"x"]
    for number, key in enumerate(keys):
        harness.ask(f"a{number}", key)
        harness.ask(f"b{number}", key)
    claimed = harness.control_client.claimed
    assert claimed[::2] == claimed[1::2] and len(set(claimed)) == len(keys)
    assert max(map(len, claimed)) < 100
    harness.control_client.callbacks[0](ClaimOutcome.GRANTED, None)
    attempt = harness.connections.sent[-1]
    attempt.on_sent()
    attempt.end(Result.SERVED, server_response(200, b"a0"))
    message = proxied_request("a1")
    message.key = keys[1]
    harness.keyed_requests.store_orphaned(message, server_response(200, b"a1"))
    settled = [(kind, key, holder) for kind, key, holder, *_ in harness.control_client.calls]
    assert settled == [("record_answer", claimed[0], "a0"), ("record_answer", claimed[2], "a1")]


def test_a_long_attempt_id_is_kept_by_controllers_in_a_short_form(harness: Harness) -> None:
    id = "i" * 12_000
    harness.run(id).end(Result.SERVED, server_response(200, id.encode()))
    [holder] = harness.control_client.holders
    assert len(holder) < 100
    [(call, _, settled_by, _)] = harness.control_client.calls
    assert (call, settled_by) == ("record_answer", holder)
    message = proxied_request(id)
    message.key = b"k"
    harness.keyed_requests.store_orphaned(message, server_response(200, id.encode()))
    assert harness.control_client.calls[-1][2] == holder
    assert header(harness.replies[id], b"Attempt-Id") == id.encode()
