"""The text format of a proxy's metrics."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from orchidferry.mesh.dataplane.abandoned_responses import AbandonCause, AbandonedResponses
from orchidferry.mesh.dataplane.proxy_metrics import render_metrics
from orchidferry.node.connection_end import EndCause, IncompleteEnd, Owed
from orchidferry.node.flow import Flow, FlowFailure
from tests.mesh.dataplane.test_listener import CallerHarness, Source, request


def test_each_line_of_the_metrics_is_a_name_and_a_number() -> None:
    harness = CallerHarness()
    harness.send(request(b"a"))
    harness.listener.incomplete_ends[EndCause.EVICTED, Owed.REST_OF_RESPONSE] = 2
    abandoned = AbandonedResponses("gate")
    abandoned.by_cause[AbandonCause.TIMEOUT] = 4
    pool: Any = SimpleNamespace(count=lambda: 1, abandoned_responses=abandoned)
    lines = render_metrics([harness.listener], {"gate": pool}, 3, 35, 36).decode().splitlines()
    metrics = {name: int(value) for name, value in (line.split("=") for line in lines)}
    assert metrics["proxy.configuration.wanted_revision"] == 36
    assert metrics["proxy.configuration.revision"] == 35 and metrics["proxy.gate.in_flight"] == 3
    assert metrics["proxy.outbound.connections"] == 1 and metrics["proxy.outbound.max_connections"] == 9
    assert metrics["proxy.outbound.connections.serving"] == 1
    assert metrics["proxy.outbound.incomplete.evicted.rest_of_response"] == 2
    assert metrics["proxy.outbound.incomplete.client_closed.response"] == 0
    assert metrics["proxy.pool.gate.connections"] == 1
    assert metrics["proxy.pool.gate.abandoned.timeout"] == 4
    assert metrics["proxy.pool.gate.abandoned.deadline"] == 0


def test_an_incomplete_end_is_reported_with_cause_reason_and_age(monkeypatch: pytest.MonkeyPatch) -> None:
    harness = CallerHarness()
    ends: list[IncompleteEnd] = []
    monkeypatch.setattr(harness.listener, "report_incomplete_end", ends.append)
    harness.send(request(b"a"))
    harness.loop.pass_ms(20.0)
    flow = Flow(Source(), 10, 0.0)
    harness.open[0].reply(flow=flow)
    flow.fail(FlowFailure.SOURCE_RESET)
    harness.caller.connection_lost(None)
    [end] = ends  # reported once, though it ended twice
    assert (end.cause, end.owed) == (EndCause.RESPONSE_FAILED, Owed.REST_OF_RESPONSE)
    assert end.detail == "source_reset" and round(end.connection_age_s, 3) == 0.02
