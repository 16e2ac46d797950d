"""The admission gate: which requests are admitted and when, and the outcomes of rejected ones."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.endpoints import DRAINING, GONE, IN_SERVICE, Server
from orchidferry.mesh.dataplane.admission import AdmissionGate, GateHooks, GateRequest
from orchidferry.mesh.dataplane.messages import (
    GATE_HEADER,
    ServerResponse,
)
from orchidferry.node.reply import Reply
from tests.mesh.fakes import (
    admission_gate,
    header,
    loop_and_connections,
    patch_clock,
    proxied_request,
    server_response,
)


class Harness:
    """The gate of a server with two slots, and its replies."""

    def __init__(self, patch: pytest.MonkeyPatch) -> None:
        self.loop, self.connections = loop_and_connections()
        patch_clock(patch, self.loop.now_ms)
        self.changes: list[str] = []
        self.gate = admission_gate(
            self.connections,
            GateHooks(
                lambda: self.changes.append(self.state),
                lambda: False,
                lambda message, response: self.orphans.append((message.id, response.status)),
            ),
        )
        self.orphans: list[tuple[str, int]] = []
        self.replies: dict[str, Reply] = {}

    @property
    def state(self) -> str:
        return self.gate.server.state if self.gate.server is not None else ""

    def heartbeat(self, sequence: int, state: str = IN_SERVICE, id: str = "i") -> None:
        self.gate.heartbeat(Server(id, "s", "z", state, 1, 0.0), sequence)

    def ask(self, id: str, **headers: bytes) -> GateRequest:
        def answer(reply: Reply) -> None:
            assert id not in self.replies
            self.replies[id] = reply

        return self.gate.accept(proxied_request(id, **headers), answer)

    def outcome(self, id: str) -> bytes | None:
        return header(self.replies[id], GATE_HEADER) if id in self.replies else None

    def in_flight(self) -> list[str]:
        return [a.message.id for a in self.connections.sent if not a.over]


@pytest.fixture
def harness(monkeypatch: pytest.MonkeyPatch) -> Harness:
    return Harness(monkeypatch)


@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(st.tuples(st.integers(0, 3), st.integers(0, 3), st.booleans()), max_size=8))
def test_queued_requests_are_admitted_by_rank(
    monkeypatch: pytest.MonkeyPatch, arrivals: list[tuple[int, int, bool]]
) -> None:
    harness = Harness(monkeypatch)
    harness.heartbeat(1)
    harness.ask("x")
    harness.ask("y")
    admitted = []
    for n, (rank, queue_timeout, gone) in enumerate(arrivals):
        request = harness.ask(str(n), orchid_rank=b"%d" % rank, orchid_patience=b"%d" % (100 * queue_timeout))
        if gone:
            request.client_disconnected()
        elif queue_timeout > 1:
            admitted.append((rank, n))
    harness.loop.pass_ms(150.0)
    expired = {
        str(n) for n, (_, queue_timeout, gone) in enumerate(arrivals) if queue_timeout <= 1 and not gone
    }
    assert {id for id in harness.replies if harness.outcome(id) == b"unrun"} >= expired
    assert harness.in_flight() == ["x", "y"]
    for _, n in sorted(admitted):
        first = next(a for a in harness.connections.sent if not a.over)
        first.on_sent()
        first.end(Result.SERVED, server_response(attempt_id=first.message.id.encode()))
        assert harness.in_flight()[-1] == str(n)
    assert len(harness.in_flight()) == 2 and harness.gate._queue.length == 0


def test_a_queue_timeout_ends_as_not_run(harness: Harness) -> None:
    harness.heartbeat(1)
    for id in "abc":
        harness.ask(id, orchid_patience=b"50")
    harness.loop.pass_ms(49.0)
    assert not harness.replies
    harness.loop.pass_ms(2.0)
    assert harness.replies.keys() == {"c"}
    assert (harness.replies["c"].status, harness.outcome("c")) == (503, b"unrun")


def test_a_draining_server_is_sent_requests_for_a_limited_time(harness: Harness) -> None:
    harness.heartbeat(1, DRAINING)
    harness.loop.pass_ms(1_400.0)
    harness.heartbeat(2, DRAINING)  # the time counts from the first one
    harness.ask("a")
    assert harness.in_flight() == ["a"]
    harness.loop.pass_ms(200.0)
    harness.ask("b")
    assert harness.outcome("b") == b"gone"


def test_a_request_for_another_incarnation_is_rejected(harness: Harness) -> None:
    harness.heartbeat(1)
    harness.ask("a", target_instance=b"j")
    harness.ask("b", target_instance=b"i")
    assert (harness.outcome("a"), harness.in_flight()) == (b"gone", ["b"])
    harness.ask("c", target_instance=b"i")
    harness.ask("d", target_instance=b"i", orchid_patience=b"500")
    harness.heartbeat(1, id="j")  # rejects requests queued for the former incarnation
    for attempt in list(harness.connections.sent):
        attempt.end(Result.RESET)
    assert (harness.outcome("b"), harness.outcome("d")) == (b"lost", b"gone")


def test_stale_heartbeats_change_nothing(harness: Harness) -> None:
    harness.heartbeat(5, DRAINING)
    harness.heartbeat(4)
    harness.heartbeat(5)
    assert harness.state == DRAINING
    harness.heartbeat(1, id="j")
    harness.heartbeat(6)  # from the former incarnation
    assert harness.gate.server is not None and harness.gate.server.id == "j"
    harness.gate.deregister("j")
    harness.heartbeat(2, id="j")
    assert harness.state == GONE


@pytest.mark.parametrize(
    ("steps", "state", "id"),
    [
        # A tuple is a call: id, sequence, state (None: deregistration). A number is a pause in ms.
        ([("i", 1, DRAINING), 1_000, ("i", 2, IN_SERVICE)], DRAINING, "i"),  # a drain is final
        ([("i", 1, IN_SERVICE), ("i", None, ""), 9_000, ("i", 2, IN_SERVICE)], GONE, "i"),
        (
            [("i", None, ""), ("i", 2, IN_SERVICE)],
            "",
            "",
        ),  # deregistered before this process received a heartbeat
        ([("i", 1, IN_SERVICE), 900, ("j", 1, IN_SERVICE), 2_000, ("i", 2, IN_SERVICE)], IN_SERVICE, "i"),
        ([("i", 1, IN_SERVICE), 900, ("j", 1, IN_SERVICE), 900, ("i", 2, IN_SERVICE)], IN_SERVICE, "j"),
        # A proxy that has just started receives the last heartbeat of a former incarnation after the first
        # one of the current incarnation.
        (
            [
                ("j", 4, IN_SERVICE),
                ("i", 9, IN_SERVICE),
                1_000,
                ("j", 5, IN_SERVICE),
                1_000,
                ("j", 6, IN_SERVICE),
            ],
            IN_SERVICE,
            "j",
        ),
        ([("j", 4, DRAINING), ("i", 9, IN_SERVICE), 2_000, ("j", 5, DRAINING)], DRAINING, "j"),
    ],
)
def test_calls_that_arrive_out_of_order(harness: Harness, steps: list[Any], state: str, id: str) -> None:
    for step in steps:
        if isinstance(step, int):
            harness.loop.pass_ms(float(step))
        elif step[1] is None:
            harness.gate.deregister(step[0])
        else:
            harness.heartbeat(step[1], step[2], step[0])
    assert (harness.state, harness.gate.server.id if harness.gate.server is not None else "") == (state, id)


def test_a_drain_counts_from_its_first_acknowledgement_across_incarnations(harness: Harness) -> None:
    harness.heartbeat(1, DRAINING, "j")
    harness.heartbeat(9, IN_SERVICE, "i")  # the last heartbeat of a former incarnation
    harness.loop.pass_ms(1_600.0)  # longer than `DRAIN_FRACTION` of the drain time
    harness.heartbeat(2, DRAINING, "j")
    harness.ask("a", target_instance=b"j")
    assert (harness.state, harness.outcome("a")) == (DRAINING, b"gone")


def deregister(gate: AdmissionGate) -> None:
    """Deregister the server; some servers do so without draining first."""
    gate.deregister("i")


def miss_heartbeats(gate: AdmissionGate) -> None:
    gate._registration.last_heartbeat_ms = 0.0
    gate.check_heartbeat()


@pytest.mark.parametrize("end", [deregister, miss_heartbeats])
def test_a_server_that_is_gone_is_sent_nothing_and_requests_in_flight_end(
    harness: Harness, end: Callable[[AdmissionGate], None]
) -> None:
    harness.heartbeat(1)
    for id in "ab":
        harness.ask(id)
    harness.ask("queued", orchid_patience=b"9000", time_remaining=b"9000")
    end(harness.gate)
    harness.ask("late")
    assert harness.in_flight() == ["a", "b"]  # requests in flight go on
    assert [harness.outcome(id) for id in ("queued", "late")] == [b"gone", b"gone"]
    for attempt in harness.connections.sent:
        attempt.on_sent()
        attempt.end(Result.SERVED, server_response(attempt_id=attempt.message.id.encode()))
    assert [harness.replies[id].status for id in "ab"] == [200, 200] and len(harness.connections.sent) == 2


def test_a_heartbeat_restores_a_server_that_was_marked_gone(harness: Harness) -> None:
    harness.heartbeat(1)
    harness.loop.pass_ms(3_600.0)
    harness.gate.check_heartbeat()
    harness.ask("a")
    assert (harness.state, harness.outcome("a")) == (GONE, b"gone")
    harness.heartbeat(2)
    harness.loop.pass_ms(2_000.0)
    harness.ask("b")
    assert (harness.state, harness.in_flight()) == (IN_SERVICE, ["b"])
    assert harness.changes == [IN_SERVICE, GONE, IN_SERVICE]


def test_an_at_most_once_request_is_not_cancelled(harness: Harness) -> None:
    harness.heartbeat(1)
    for request in (harness.ask("a", orchid_once=b"1"), harness.ask("b")):
        assert request.attempt is not None
        request.attempt.on_sent()
        request.client_disconnected()
    assert harness.in_flight() == ["a"]
    harness.ask("c", orchid_once=b"1").client_disconnected()  # not sent yet, so it never ran
    assert harness.in_flight() == ["a"] and not harness.replies


@pytest.mark.parametrize(
    ("others", "later", "after_ms", "in_flight"),
    [
        (0, 0, 290.0, ["a"]),
        (0, 0, 310.0, []),  # while slots are free, it may go on for 300 ms
        (1, 0, 0.0, ["0"]),  # no slot is free: cancelled at once
        (0, 1, 0.0, ["a", "later"]),
        (0, 2, 0.0, ["later", "later"]),  # its slot is needed
    ],
)
def test_work_for_a_disconnected_caller_ends(
    harness: Harness, others: int, later: int, after_ms: float, in_flight: list[str]
) -> None:
    harness.heartbeat(1)
    request = harness.ask("a")
    for n in range(others):
        harness.ask(str(n))
    assert request.attempt is not None
    request.attempt.on_sent()
    request.client_disconnected()
    for _ in range(later):
        harness.ask("later")
    harness.loop.pass_ms(after_ms)
    assert harness.in_flight() == in_flight and not harness.gate._abandoned.keys() - {request}
    assert harness.gate.in_flight == len(in_flight) and not harness.replies


@pytest.mark.parametrize(
    ("headers", "disconnected", "answer", "stored"),
    [
        ({"orchid_once": b"1", "orchid_keyed": b"1"}, True, server_response(attempt_id=b"t"), [("t", 200)]),
        (
            {"orchid_once": b"1", "orchid_keyed": b"1"},
            False,
            server_response(attempt_id=b"t"),
            [],
        ),  # its sender stores it
        ({"orchid_once": b"1"}, True, server_response(attempt_id=b"t"), []),  # it has no claimed key
        (
            {"orchid_once": b"1", "orchid_keyed": b"1"},
            True,
            server_response(attempt_id=b"t", sealed=False),
            [],
        ),  # not authentic
    ],
)
def test_the_response_to_an_orphaned_keyed_request_is_stored(
    harness: Harness,
    headers: dict[str, bytes],
    disconnected: bool,
    answer: ServerResponse,
    stored: list[tuple[str, int]],
) -> None:
    """Otherwise repeats of its key would be rejected as in progress for the complete key window."""
    harness.heartbeat(1)
    request = harness.ask("t", **headers)
    harness.connections.sent[0].written = True
    if disconnected:
        request.client_disconnected()
    harness.connections.sent[0].end(Result.SERVED, answer)
    assert harness.orphans == stored and not harness.in_flight()
