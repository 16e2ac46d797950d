"""A service client: for any order of connection events, each request gets one correct reply."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from orchidferry.balancing.interface import Result
from orchidferry.balancing.logic import NEVER_RAN
from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.control.endpoints import DRAINING, IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.dataplane.messages import (
    ServerResponse,
)
from orchidferry.mesh.dataplane.pending_request import PendingRequest
from orchidferry.mesh.dataplane.retry_slack import SPARE_NODES
from orchidferry.mesh.settings import Bounds
from orchidferry.node.reply import Reply
from tests.mesh.fakes import (
    loop_and_connections,
    patch_clock,
    proxied_request,
    route,
    server_response,
    service_client,
)


class AcceptedRequest:
    """A request, its replies and its reported end; the end is reported only for a keyed request."""

    def __init__(self, harness: ServiceHarness, route: Route, keyed: bool = True) -> None:
        self.route, self.id, self.keyed = route, f"t{len(harness.accepted)}", keyed
        self.replies: list[Reply] = []
        self.ends: list[tuple[ServerResponse | None, bool]] = []
        self.disconnected = False
        harness.accepted[self.id] = self
        loop = harness.loop
        self.pending: PendingRequest = harness.service.accept(
            proxied_request(self.id),
            route,
            loop.now_ms() + 1_000.0,
            self.replies.append,
            (lambda response, ran: self.ends.append((response, ran))) if keyed else None,
        )


class ServiceHarness:
    """A service with three servers."""

    def __init__(self, patch: pytest.MonkeyPatch, *routes: Route) -> None:
        self.loop, self.connections = loop_and_connections()
        patch_clock(patch, self.loop.now_ms)
        self.service = service_client(self.loop, self.connections)
        self.accepted: dict[str, AcceptedRequest] = {}
        self.servers("1", "2", "3")
        self.service.set_routes(list(routes))

    def servers(self, *ids: str, state: str = IN_SERVICE, slow_start_ms: float = 0.0) -> None:
        self.service.update_servers(
            {
                id: NodeRecord(id, 1, 1, "z", "127.0.0.1", 1, Server(id, "s", "z", state, 4, slow_start_ms))
                for id in ids
            }
        )

    def open_attempts(self) -> list[Any]:
        return [attempt for attempt in self.connections.sent if not attempt.over]

    def attempts_of(self, id: str) -> list[Any]:
        return [attempt for attempt in self.connections.sent if attempt.message.id == id]


WRITTEN = (Result.SERVED, Result.ERROR, Result.REFUSED, Result.MOOT, Result.RESET, Result.TIMEOUT)


def random_response(result: Result, id: str, draw: float) -> ServerResponse | None:
    if result is Result.SERVED:
        return server_response(attempt_id=id.encode())
    if result is Result.REFUSED:
        return server_response(503, id.encode(), gate_outcome=b"unrun")
    if result is not Result.ERROR or 0.6 <= draw < 0.8:
        return None
    if draw < 0.6:
        return server_response(500, id.encode(), dependency_shed=draw < 0.3)
    return server_response(attempt_id=None)


class Checker:
    """Checks every attempt and reply against the outcomes of earlier attempts of the request."""

    def __init__(self, harness: ServiceHarness) -> None:
        self.harness, self.may_have_run, self.sent = harness, set[str](), 0

    def check(self) -> None:
        for attempt in self.harness.connections.sent[self.sent :]:
            assert attempt.message.id not in self.may_have_run, "sent again, though it may have run"
        self.sent = len(self.harness.connections.sent)
        for id, accepted in self.harness.accepted.items():
            assert len(accepted.replies) <= 1 and len(accepted.ends) <= 1
            assert len(self.harness.attempts_of(id)) <= accepted.route.max_attempts
            if accepted.disconnected and not accepted.keyed:
                assert all(attempt.over for attempt in self.harness.attempts_of(id)), (
                    "an attempt goes on after its caller has disconnected"
                )
            if accepted.replies and accepted.replies[0].status in (503, 429):
                assert id not in self.may_have_run and not any(
                    a.written and not a.over for a in self.harness.attempts_of(id)
                )

    def end(self, attempt: Any, result: Result, answer: ServerResponse | None) -> None:
        accepted = self.harness.accepted[attempt.message.id]
        if result not in NEVER_RAN and not accepted.route.idempotent:
            self.may_have_run.add(accepted.id)
        attempt.end(result, answer)


@pytest.mark.parametrize("draining", [False, True])
def test_a_draining_node_waits_for_attempts_at_a_server(
    monkeypatch: pytest.MonkeyPatch, draining: bool
) -> None:
    harness = ServiceHarness(monkeypatch, route("idempotent", 1))
    if draining:
        harness.service.drain_until(harness.loop.now_ms() + 5_000.0)
    accepted = AcceptedRequest(harness, route("idempotent", 1))
    [attempt] = harness.open_attempts()
    attempt.written = True
    attempt.on_timeout()  # the attempt times out long before the request's deadline
    assert attempt.over is bool(accepted.replies) is not draining
    harness.loop.pass_ms(1_000.0)
    assert [reply.status in (502, 504) for reply in accepted.replies] == [True] and attempt.over


def test_servers_in_slow_start_alone_are_sent_to_at_once(monkeypatch: pytest.MonkeyPatch) -> None:
    """After a power loss all servers are warming up, and no response rate shows their capacity."""
    harness = ServiceHarness(monkeypatch, route("idempotent", 2))
    harness.servers()
    harness.servers("7", "8", slow_start_ms=3_000.0)
    accepted = [AcceptedRequest(harness, route("idempotent", 2)) for _ in range(4)]
    assert len(harness.open_attempts()) == 4 and not any(one.replies for one in accepted)


@settings(max_examples=100, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.integers(0, 2**40))
def test_any_order_of_outcomes(monkeypatch: pytest.MonkeyPatch, seed: int) -> None:
    rng = random.Random(seed)
    routes = [route("idempotent", 3), route("non_idempotent", 2), route("keyed", 1)]
    harness = ServiceHarness(monkeypatch, *routes)
    checker = Checker(harness)
    for _ in range(120):
        draw = rng.random()
        open_attempts = harness.open_attempts()
        if draw < 0.25:
            AcceptedRequest(harness, rng.choice(routes), keyed=rng.random() < 0.5)
        elif draw < 0.85 and open_attempts:
            attempt = rng.choice(open_attempts)
            if not attempt.written and rng.random() < 0.7:
                attempt.on_sent()
            elif not attempt.written:
                checker.end(attempt, rng.choice((Result.UNREACHABLE, Result.MOOT)), None)
            else:
                result = rng.choice(WRITTEN)
                checker.end(attempt, result, random_response(result, attempt.message.id, rng.random()))
        elif draw < 0.92:
            harness.loop.pass_ms(rng.choice((1.0, 30.0, 300.0)))
        elif draw < 0.95 and harness.accepted:
            accepted = rng.choice(list(harness.accepted.values()))
            accepted.disconnected = True
            accepted.pending.client_disconnected()
        else:
            state = rng.choice((IN_SERVICE, IN_SERVICE, DRAINING))
            harness.servers(*rng.sample("1234", rng.randrange(4)), state=state)
        checker.check()
    harness.loop.pass_ms(3_000.0)
    for attempt in harness.open_attempts():
        checker.end(attempt, Result.RESET, None)
    checker.check()
    assert not harness.service.pending and not harness.service.attempts
    for accepted in harness.accepted.values():
        assert len(accepted.ends) == accepted.keyed and (accepted.disconnected or len(accepted.replies) == 1)
        if not accepted.keyed:
            continue
        response, ran = accepted.ends[0]
        assert ran or response is None
        if accepted.replies and response is not None and not accepted.disconnected:
            assert accepted.replies[0].status == response.status


def test_at_its_deadline_an_unsent_request_gets_503_and_a_sent_one_504(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ServiceHarness(monkeypatch, route("non_idempotent", 2))
    unwritten, written = (AcceptedRequest(harness, route("non_idempotent", 2)) for _ in range(2))
    harness.attempts_of(written.id)[0].on_sent()
    for attempt in harness.open_attempts():
        attempt.extend_timeout(60.0)  # the server does not answer
    harness.loop.pass_ms(1_001.0)
    assert [t.replies[0].status for t in (unwritten, written)] == [503, 504]
    harness.attempts_of(written.id)[0].end(Result.SERVED, server_response(attempt_id=written.id.encode()))
    assert len(written.replies) == 1 and written.ends[0][1]


def test_an_error_caused_by_a_shed_dependency_is_not_retried(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = ServiceHarness(monkeypatch, route())
    accepted = AcceptedRequest(harness, route())
    attempt = harness.open_attempts()[0]
    attempt.on_sent()
    attempt.end(Result.ERROR, server_response(500, accepted.id.encode(), dependency_shed=True))
    harness.loop.pass_ms(900.0)
    assert len(harness.attempts_of(accepted.id)) == 1 and [r.status for r in accepted.replies] == [500]


@pytest.mark.parametrize(
    ("kind", "keyed", "written", "over"),
    [
        ("idempotent", False, False, True),
        ("idempotent", False, True, True),
        ("download", False, True, True),
        ("non_idempotent", False, True, True),  # the gate lets it finish
        ("keyed", True, False, True),
        ("keyed", True, True, False),
    ],
)
def test_attempts_for_a_disconnected_caller_are_cancelled(
    monkeypatch: pytest.MonkeyPatch, kind: str, keyed: bool, written: bool, over: bool
) -> None:
    harness = ServiceHarness(monkeypatch, route(kind, 2))
    accepted = AcceptedRequest(harness, route(kind, 2), keyed)
    [attempt] = harness.open_attempts()
    if written:
        attempt.on_sent()
    accepted.pending.client_disconnected()
    harness.loop.pass_ms(500.0)
    assert attempt.over is over and harness.attempts_of(accepted.id) == [attempt] and not accepted.replies


def test_the_response_to_a_keyed_request_is_reported_after_its_caller_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness = ServiceHarness(monkeypatch, route("keyed", 2))
    accepted = AcceptedRequest(harness, route("keyed", 2))
    attempt = harness.open_attempts()[0]
    attempt.on_sent()
    accepted.pending.client_disconnected()
    assert not accepted.ends and not attempt.over
    attempt.end(Result.SERVED, server_response(attempt_id=accepted.id.encode()))
    assert [(response and response.status, ran) for response, ran in accepted.ends] == [
        (200, True)
    ] and not accepted.replies


@pytest.mark.parametrize("seed", range(3))
def test_retries_of_a_node_stay_within_its_part_of_the_budget(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Most attempts fail or are rejected; the retries in every retry window are counted."""
    rng = random.Random(seed)
    harness = ServiceHarness(monkeypatch, route("idempotent", 3))
    bounds = Bounds()
    harness.service.set_node_count(2)
    began_ms = harness.loop.now_ms()
    window_ms = 1e3 * bounds.retry_window_s
    first: list[float] = []
    retries: list[float] = []
    ids: set[str] = set()
    for step in range(1_500):
        if rng.random() < (0.9 if step % 500 < 250 else 0.1):
            AcceptedRequest(harness, route("idempotent", 3), keyed=False)
        harness.loop.pass_ms(25.0)
        sent = list(harness.connections.sent)
        harness.connections.sent[:] = []
        for attempt in sent:
            (retries if attempt.message.id in ids else first).append(harness.loop.now_ms())
            ids.add(attempt.message.id)
        for attempt in sent:
            attempt.on_sent()
            refused = rng.random() < 0.3
            answer = (
                server_response(503, attempt.message.id.encode(), gate_outcome=b"unrun") if refused else None
            )
            attempt.end(Result.REFUSED if refused else Result.RESET, answer)
    assert len(retries) > 20
    for end_ms in retries:
        within = [at for at in retries if end_ms - window_ms < at <= end_ms]
        asked_for = sum(end_ms - window_ms < at <= end_ms for at in first)
        slack = 0.0 if end_ms < began_ms + window_ms else bounds.retry_slack / SPARE_NODES / 2
        assert len(within) <= 0.4 * (bounds.retry_ratio * asked_for + slack) + 1


@pytest.mark.parametrize(
    ("kind", "accepted_before", "written", "status"),
    [
        ("idempotent", True, True, 504),
        ("non_idempotent", True, True, 504),
        ("keyed", True, True, 504),
        ("idempotent", False, True, 502),
        ("non_idempotent", False, True, 502),
        ("keyed", False, True, 502),
        ("idempotent", True, False, 503),
        ("idempotent", False, False, 503),
    ],
)
def test_requests_at_a_silent_server_are_answered_before_the_node_ends(
    monkeypatch: pytest.MonkeyPatch, kind: str, accepted_before: bool, written: bool, status: int
) -> None:
    """Their deadlines lie beyond the end of the process, whose connections would close without a reply."""
    harness = ServiceHarness(monkeypatch, route(kind, 1))
    stop_ms = harness.loop.now_ms() + 400.0
    if not accepted_before:
        harness.service.drain_until(stop_ms)
    accepted = AcceptedRequest(harness, route(kind, 1))
    [attempt] = harness.open_attempts()
    if written:
        attempt.on_sent()
    if accepted_before:
        harness.service.drain_until(stop_ms)
    harness.loop.pass_ms(350.0)
    assert not accepted.replies
    harness.loop.pass_ms(51.0)
    assert [reply.status for reply in accepted.replies] == [status]
