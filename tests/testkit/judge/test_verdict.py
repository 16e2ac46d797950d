"""The judge of the four node rules on handwritten records: a clean run, and the same run with more events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import pytest

from orchidferry.testkit.judge.lateness import measure_lateness
from orchidferry.testkit.judge.rules import RULES
from orchidferry.testkit.judge.verdict import Verdict, judge
from orchidferry.testkit.judge.verdict_json import as_json
from orchidferry.testkit.record import (
    ConnectionClosed,
    ExecutionEnded,
    ExecutionStarted,
    ExtraBytes,
    Fact,
    Incident,
    Lag,
    NodeDown,
    NodeUp,
    RequestReceived,
    RequestScheduled,
    RequestSent,
    RequestTimedOut,
    ResponseReceived,
    ServerUp,
    StatusAnnounced,
)
from orchidferry.testkit.scenario import Scenario, read_scenario

SCENARIO: Scenario = read_scenario({"name": "recorded", "length": "20s"}, "test")
END = 60.0


class RecordBuilder:
    """Builds the record of a run: requests to node n0, their arrivals at servers, and their answers."""

    def __init__(self) -> None:
        self.facts: list[Fact] = []

    def put(self, *facts: Fact) -> None:
        self.facts += facts

    def ask(self, id: str, cls: str, t: float, ends: float | None = None, tier: int = 0) -> None:
        root = id.partition(".")[0]
        if tier == 0 and id.endswith(".0"):
            self.put(RequestScheduled(t, root, cls))
        ends = t + 2.0 if ends is None else ends
        self.put(RequestSent(t, tier, id, cls, "n0", root, int(id[-1]), t, ends))

    def arrive(
        self,
        id: str,
        cls: str,
        t: float,
        how: str | None = "served",
        server: str = "a",
        cell: int = 0,
        tier: int = 0,
        work: float = 0.05,
    ) -> None:
        self.put(RequestReceived(t, t - 0.0002, tier, server, cell, id, cls, f"k-{id}", work))
        if how in ("served", "error", "lost"):
            self.put(ExecutionStarted(t + 0.001, tier, server, id))
        if how is not None:
            self.put(ExecutionEnded(t + 0.05, tier, server, id, how))

    def answer(self, id: str, t: float, status: int = 200, sound: bool = True, tier: int = 0) -> None:
        self.put(ResponseReceived(t, tier, id, "n0", status, sound))

    def judge(self, complete: bool = True) -> Verdict:
        return judge(SCENARIO, sorted(self.facts, key=lambda fact: fact.t), 0.0, END, complete)


def clean() -> RecordBuilder:
    """A record without violations in which each rule has something to check."""
    run = RecordBuilder()
    for n, cls in enumerate(("ler-feed", "salvar-episodio", "repasse-socio")):
        run.ask(f"r{n}.0", cls, 1.0 + n)
        run.arrive(f"r{n}.0", cls, 1.01 + n)
        run.answer(f"r{n}.0", 1.1 + n)
    # Rejected by one server, which proves that the request was not executed, and sent to another.
    run.ask("r3.0", "repasse-socio", 5.0)
    run.arrive("r3.0", "repasse-socio", 5.01, "rejected", "a")
    run.arrive("r3.0", "repasse-socio", 5.07, "served", "b", 1)
    run.answer("r3.0", 5.2)
    # Resent with the same operation key, within its cell and its window.
    run.ask("r4.0", "salvar-episodio", 6.0)
    run.arrive("r4.0", "salvar-episodio", 6.01, "error", "a")
    run.arrive("r4.0", "salvar-episodio", 6.5, "served", "c")
    run.answer("r4.0", 6.7)
    # Refused, as no server accepted the request; the client retries under a new id.
    run.ask("r5.0", "repasse-socio", 7.0)
    run.arrive("r5.0", "repasse-socio", 7.01, "rejected")
    run.answer("r5.0", 7.1, 503)
    run.ask("r5.1", "repasse-socio", 7.4)
    run.arrive("r5.1", "repasse-socio", 7.41)
    run.answer("r5.1", 7.6)
    run.put(
        StatusAnnounced(0.5, "n0", "a", "active", 0.0, False),
        StatusAnnounced(0.5, "n0", "d", "active", 0.0, False),
    )
    run.put(StatusAnnounced(8.0, "n0", "d", "leaving", 0.0, False))
    run.ask("r6.0", "ler-feed", 8.5)
    run.arrive("r6.0", "ler-feed", 8.51, server="d")  # within the grace period of the drain
    run.answer("r6.0", 8.6)
    # A cold start with 0.34 of a core at first, so that the budget is 1.02 core-seconds within 1 s.
    run.put(
        ServerUp(20.0, 0, "e", True, 1.0, 0.34, 8.5), StatusAnnounced(20.5, "n0", "e", "active", 20.0, False)
    )
    for n in range(10):
        run.ask(f"c{n}.0", "ler-feed", 21.0 + n * 0.01)
        run.arrive(f"c{n}.0", "ler-feed", 21.001 + n * 0.01, server="e", work=0.05)
        run.answer(f"c{n}.0", 21.5 + n * 0.01)
    return run


def test_clean_run_violates_no_rule_and_exercises_each() -> None:
    verdict = clean().judge()
    assert {name: f.violations for name, f in verdict.rules.items()} == {name: [] for name in RULES}
    assert all(finding.checked for finding in verdict.rules.values())
    assert verdict.passed
    assert verdict.service.overall == 1.0


EventWriter = Callable[[RecordBuilder], None]


def answered_late(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0, ends=11.0)
    run.arrive("x.0", "ler-feed", 10.01)
    run.answer("x.0", 11.2)


def answered_within_slack(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0, ends=11.0)
    run.arrive("x.0", "ler-feed", 10.01)
    run.answer("x.0", 11.06)


def never_answered(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0, ends=11.0)
    run.put(RequestTimedOut(11.07, 0, "x.0", "n0", False))


def client_gave_up(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0, ends=11.0)
    run.put(RequestTimedOut(10.2, 0, "x.0", "n0", True))


def no_recorded_end(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0, ends=11.0)


def connection_closed(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0)
    run.put(ConnectionClosed(10.1, 0, "x.0", "n0", "closed", False))


def answer_cut_off(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0)
    run.put(ConnectionClosed(10.1, 0, "x.0", "n0", "broken", False))


def node_killed(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0)
    run.put(ConnectionClosed(10.1, 0, "x.0", "n0", "reset", False), NodeDown(10.102, "n0", "killed"))


def node_exited(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0)
    run.put(ConnectionClosed(10.1, 0, "x.0", "n0", "reset", False), NodeDown(10.102, "n0", "exit 1"))


def closed_during_shutdown(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0)
    run.arrive("x.0", "ler-feed", 10.01)
    run.put(NodeDown(9.0, "n0", "term"), ConnectionClosed(10.1, 0, "x.0", "n0", "closed", False))


def close_crossed_request(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0)
    run.put(ConnectionClosed(10.001, 0, "x.0", "n0", "closed", True))
    run.put(RequestSent(10.002, 0, "x.0", "ler-feed", "n0", "x", 0, 10.0, 12.0))
    run.arrive("x.0", "ler-feed", 10.01)
    run.answer("x.0", 10.2)


def closed_after_forwarding(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0)
    run.arrive("x.0", "ler-feed", 10.0005)
    run.put(ConnectionClosed(10.001, 0, "x.0", "n0", "closed", True))
    run.put(RequestSent(10.002, 0, "x.0", "ler-feed", "n0", "x", 0, 10.0, 12.0))
    run.answer("x.0", 10.2)


def answered_twice(run: RecordBuilder) -> None:
    run.answer("r0.0", 1.2)


def stray_bytes(run: RecordBuilder) -> None:
    run.put(ExtraBytes(1.3, 0, "r0.0", "n0"))


def body_of_no_server(run: RecordBuilder) -> None:
    run.ask("x.0", "ler-feed", 10.0)
    run.arrive("x.0", "ler-feed", 10.01)
    run.answer("x.0", 10.1, 200, sound=False)


def lost_in_lower_tier(run: RecordBuilder) -> None:
    run.ask("x-0.a.1", "ler-feed", 10.0, ends=11.0, tier=1)
    run.put(RequestTimedOut(11.07, 1, "x-0.a.1", "n0", False))


def sent_to_dead_node(run: RecordBuilder) -> None:
    run.put(NodeDown(9.0, "n0", "killed"), NodeUp(14.0, "n0", 0))
    run.ask("x.0", "ler-feed", 10.0)
    run.put(RequestTimedOut(12.07, 0, "x.0", "n0", False))


def sent_to_restarted_node(run: RecordBuilder) -> None:
    run.put(NodeDown(8.0, "n0", "killed"), NodeUp(9.0, "n0", 0))
    run.ask("x.0", "ler-feed", 10.0)
    run.put(RequestTimedOut(12.07, 0, "x.0", "n0", False))


def never_accepted(run: RecordBuilder) -> None:
    run.put(RequestScheduled(10.0, "x", "ler-feed"), ConnectionClosed(10.0, 0, "x.0", "n0", "refused", False))


@pytest.mark.parametrize(
    ("write_event", "expected_text"),
    [
        (answered_late, "after its time"),
        (never_answered, "no answer came"),
        (no_recorded_end, "no end of it"),
        (connection_closed, "closed with no whole answer"),
        (answer_cut_off, "within an answer"),
        (node_exited, "reset with no whole answer"),
        (closed_during_shutdown, "closed with no whole"),
        (closed_after_forwarding, "sent it on and closed"),
        (answered_twice, "answered 2 times"),
        (stray_bytes, "a second one"),
        (body_of_no_server, "no server made"),
        (lost_in_lower_tier, "no answer came"),
        (sent_to_restarted_node, "no answer came"),
    ],
)
def test_event_violates_no_request_lost(write_event: EventWriter, expected_text: str) -> None:
    run = clean()
    write_event(run)
    verdict = run.judge()
    assert verdict.broken_rules == ["no_request_lost"]
    [violation] = verdict.rules["no_request_lost"].violations
    assert expected_text in violation.description
    assert violation.history
    assert not verdict.passed


@pytest.mark.parametrize(
    "event",
    [
        answered_within_slack,
        client_gave_up,
        node_killed,
        close_crossed_request,
        never_accepted,
        sent_to_dead_node,
    ],
)
def test_event_does_not_count_as_lost_request(event: EventWriter) -> None:
    run = clean()
    event(run)
    assert run.judge().broken_rules == []


def test_request_open_at_end_of_record_is_not_judged() -> None:
    run = clean()
    checked = run.judge().rules["no_request_lost"].checked
    run.ask("x.0", "ler-feed", 59.0, ends=61.0)
    verdict = run.judge(complete=False)
    assert verdict.broken_rules == []
    assert verdict.rules["no_request_lost"].checked == checked
    assert verdict.service.classes["ler-feed"].open == 1
    assert verdict.service.overall == 1.0


def resent_unsafe(run: RecordBuilder) -> None:
    run.arrive("r2.0", "repasse-socio", 3.06, server="b", cell=1)


def resent_before_rejection(run: RecordBuilder) -> None:
    run.ask("x.0", "repasse-socio", 10.0)
    run.arrive("x.0", "repasse-socio", 10.01, "rejected", "a")
    run.arrive("x.0", "repasse-socio", 10.03, "served", "b")
    run.answer("x.0", 10.2)


def resent_after_lost_request(run: RecordBuilder) -> None:
    run.ask("x.0", "repasse-socio", 10.0)
    run.arrive("x.0", "repasse-socio", 10.01, "lost", "a")
    run.arrive("x.0", "repasse-socio", 10.2, "served", "b")
    run.answer("x.0", 10.4)


def resent_to_other_cell(run: RecordBuilder) -> None:
    run.arrive("r1.0", "salvar-episodio", 2.07, server="b", cell=1)


def resent_after_key_window(run: RecordBuilder) -> None:
    run.ask("x.0", "salvar-episodio", 10.0, ends=20.0)
    run.arrive("x.0", "salvar-episodio", 10.01, "error", "a")
    run.arrive("x.0", "salvar-episodio", 16.2, "served", "c")
    run.answer("x.0", 16.4)


def refused_after_execution(run: RecordBuilder) -> None:
    run.ask("x.0", "repasse-socio", 10.0)
    run.arrive("x.0", "repasse-socio", 10.01, "error")
    run.answer("x.0", 10.1, 503)


def refused_during_execution(run: RecordBuilder) -> None:
    run.ask("x.0", "salvar-episodio", 10.0)
    run.arrive("x.0", "salvar-episodio", 10.01, "served")
    run.answer("x.0", 10.02, 429)


def resent_in_lower_tier(run: RecordBuilder) -> None:
    run.ask("x-0.a.1", "repasse-socio", 10.0, tier=2)
    run.arrive("x-0.a.1", "repasse-socio", 10.01, "error", "y", tier=2)
    run.arrive("x-0.a.1", "repasse-socio", 10.3, "served", "z", tier=2)
    run.answer("x-0.a.1", 10.5, tier=2)


@pytest.mark.parametrize(
    ("write_event", "expected_text"),
    [
        (resent_unsafe, "may have run"),
        (resent_before_rejection, "may have run"),
        (resent_after_lost_request, "may have run"),
        (resent_to_other_cell, "not known there"),
        (resent_after_key_window, "its key is kept"),
        (refused_after_execution, "refused (503)"),
        (refused_during_execution, "refused (429)"),
        (resent_in_lower_tier, "may have run"),
    ],
)
def test_event_violates_no_effect_twice(write_event: EventWriter, expected_text: str) -> None:
    run = clean()
    write_event(run)
    verdict = run.judge()
    assert verdict.broken_rules == ["no_effect_twice"]
    [violation] = verdict.rules["no_effect_twice"].violations
    assert expected_text in violation.description


def test_retry_after_failure_may_execute_both_attempts() -> None:
    run = clean()
    run.ask("x.0", "repasse-socio", 10.0)
    run.arrive("x.0", "repasse-socio", 10.01, "error")
    run.answer("x.0", 10.1, 502)  # unlike a refusal, this status does not promise that nothing was executed
    run.ask("x.1", "repasse-socio", 10.4)
    run.arrive("x.1", "repasse-socio", 10.41)
    run.answer("x.1", 10.6)
    verdict = run.judge()
    assert verdict.broken_rules == []
    assert verdict.unsafe_duplicates == ["x"]
    assert as_json(verdict)["run"]["unsafe_run_twice_legally"] == ["x"]


def test_retry_after_refusal_must_not_execute_both_attempts() -> None:
    run = clean()
    refused_after_execution(run)
    run.ask("x.1", "repasse-socio", 10.4)
    run.arrive("x.1", "repasse-socio", 10.41)
    run.answer("x.1", 10.6)
    verdict = run.judge()
    [violation] = verdict.rules["no_effect_twice"].violations
    assert "asked again, and x.1 ran too" in violation.description
    assert verdict.unsafe_duplicates == []


def test_request_after_drain_grace_violates_drains_kept() -> None:
    run = clean()
    run.ask("x.0", "ler-feed", 9.0)
    run.arrive("x.0", "ler-feed", 9.1, server="d")
    run.answer("x.0", 9.3)
    verdict = run.judge()
    assert verdict.broken_rules == ["drains_kept"]
    assert "1.100 s after it was told" in verdict.rules["drains_kept"].violations[0].description


def test_drain_counts_from_announcement_to_the_sending_node() -> None:
    run = clean()
    # The drain is announced to n1 and not to n0, which sends the request.
    run.put(StatusAnnounced(8.0, "n1", "a", "leaving", 0.0, False))
    run.ask("x.0", "ler-feed", 30.0)
    run.arrive("x.0", "ler-feed", 30.01, server="a")
    run.answer("x.0", 30.2)
    assert run.judge().broken_rules == []


def test_restarted_server_is_in_service() -> None:
    run = clean()
    run.put(
        StatusAnnounced(9.5, "n0", "d", "left", 0.0, False),
        StatusAnnounced(12.0, "n0", "d", "active", 11.0, False),
    )
    run.ask("x.0", "ler-feed", 12.5)
    run.arrive("x.0", "ler-feed", 12.51, server="d")
    run.answer("x.0", 12.7)
    assert run.judge().broken_rules == []


def test_left_after_leaving_does_not_restart_the_grace() -> None:
    run = clean()
    run.put(StatusAnnounced(8.9, "n0", "d", "left", 0.0, False))
    run.ask("x.0", "ler-feed", 9.2)
    run.arrive("x.0", "ler-feed", 9.3, server="d")
    run.answer("x.0", 9.5)
    assert run.judge().broken_rules == ["drains_kept"]


def overload_cold_server(run: RecordBuilder, informed: bool) -> None:
    for n in range(10):
        run.ask(f"f{n}.0", "ler-feed", 21.2 + n * 0.01)
        run.arrive(f"f{n}.0", "ler-feed", 21.201 + n * 0.01, server="e", work=0.1)
        run.answer(f"f{n}.0", 21.9 + n * 0.01)
    if not informed:
        run.facts = [f for f in run.facts if not (isinstance(f, StatusAnnounced) and f.server == "e")]


def test_exceeding_the_cold_budget_violates_cold_servers_spared() -> None:
    run = clean()
    overload_cold_server(run, informed=True)
    verdict = run.judge()
    assert verdict.broken_rules == ["cold_servers_spared"]
    assert "within 1 s by 1 nodes" in verdict.rules["cold_servers_spared"].violations[0].description


def test_uninformed_nodes_do_not_violate_cold_servers_spared() -> None:
    run = clean()
    overload_cold_server(run, informed=False)
    assert run.judge().broken_rules == []


def test_rule_that_was_never_exercised_reports_zero_checks() -> None:
    run = RecordBuilder()
    run.ask("r0.0", "ler-feed", 1.0)
    run.arrive("r0.0", "ler-feed", 1.01)
    run.answer("r0.0", 1.1)
    rules = as_json(run.judge())["rules"]
    assert {name: rule["checked"] for name, rule in rules.items()} == {
        "no_request_lost": 1,
        "no_effect_twice": 0,
        "drains_kept": 0,
        "cold_servers_spared": 0,
    }


def test_service_counts_late_worth_and_retries_with_the_first_attempt() -> None:
    run = RecordBuilder()
    run.ask("r0.0", "repasse-socio", 1.0, ends=3.0)
    run.put(RequestTimedOut(3.07, 0, "r0.0", "n0", False))
    run.ask("r0.1", "repasse-socio", 3.3, ends=6.0)
    run.answer("r0.1", 4.0)  # 3 s after the first attempt was due: late, earns 0.3 of the value 8
    run.ask("r1.0", "ler-feed", 1.0)
    run.answer("r1.0", 1.5)
    service = run.judge().service
    assert service.overall == pytest.approx((0.3 * 8.0 + 1.0) / 9.0)
    row = service.classes["repasse-socio"]
    assert (row.asked, row.served) == (1, 1)
    assert row.quantile_ms(50.0) == pytest.approx(3000.0, rel=0.002)
    assert service.worst_class == "repasse-socio"


def test_latency_of_a_late_client_counts_from_the_due_time() -> None:
    run = RecordBuilder()
    run.put(RequestScheduled(1.0, "r0", "ler-feed"))
    run.put(RequestSent(1.9, 0, "r0.0", "ler-feed", "n0", "r0", 0, 1.0, 2.5))  # 0.9 s late
    # Answered 0.4 s after the request was sent, but 1.3 s after it was due; the target is 1.2 s.
    run.answer("r0.0", 2.3)
    service = run.judge().service
    assert service.requests[0].took_s == pytest.approx(1.3)
    assert service.overall == pytest.approx(0.2)


def test_worst_10_s_window() -> None:
    run = RecordBuilder()
    for n in range(20):
        run.ask(f"r{n}.0", "ler-feed", float(n))
        run.answer(f"r{n}.0", n + 0.1, 200 if n < 8 or n > 12 else 502)
    service = run.judge().service
    assert (service.worst_window, service.worst_window_at) == (0.5, 3.0)


@pytest.mark.parametrize(
    ("lag", "expected_text"),
    [
        (Lag(1.0, "clients", "late", 0.5), "ms late"),
        (Lag(1.0, "world0", "stall", 0.3), "world0"),
        (Lag(1.0, "n0", "starved", 0.5), "waited for a core"),
    ],
)
def test_slow_machine_makes_a_run_void_without_violations(lag: Lag, expected_text: str) -> None:
    run = clean()
    run.put(lag)
    verdict = run.judge()
    assert any(expected_text in why for why in verdict.lateness.void)
    assert not verdict.passed
    assert verdict.broken_rules == []


def test_lateness_quantile_includes_punctual_requests() -> None:
    facts: list[Fact] = [Lag(1.0, "clients", "late", 0.1) for _ in range(2)]
    assert measure_lateness(facts, SCENARIO.limits, 1000).p99_s == 0.0
    assert measure_lateness(facts, SCENARIO.limits, 100).p99_s == pytest.approx(0.1)


def test_json_keys() -> None:
    run = clean()
    run.put(Incident(3.0, 5.0, "slow", "a"))
    obj = as_json(run.judge())
    assert set(obj) == {
        "format",
        "scenario",
        "seed",
        "complete",
        "service",
        "classes",
        "rules",
        "requests",
        "attempts",
        "timeline",
        "run",
    }
    assert set(obj["classes"]["ler-feed"]) == {
        "asked",
        "served",
        "refused",
        "failed",
        "unanswered",
        "p50_ms",
        "p99_ms",
        "service",
    }
    assert set(obj["rules"]) == set(RULES)
    assert obj["attempts"]["by_tier"] == [20, 0, 0]
    assert obj["attempts"]["per_client_request"] == pytest.approx(20 / 17, rel=1e-3)
    assert obj["timeline"] == [{"at_s": 3.0, "until_s": 5.0, "do": "slow", "whom": "a"}]


def test_refused_request_counts_as_refused() -> None:
    run = clean()
    run.facts = [
        replace(f, status=503) if isinstance(f, ResponseReceived) and f.id == "r0.0" else f for f in run.facts
    ]
    row = run.judge().service.classes["ler-feed"]
    assert (row.refused, row.served) == (1, row.asked - 1)
