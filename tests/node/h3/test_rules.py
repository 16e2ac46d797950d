"""The same scenarios over HTTP/1.1 and HTTP/3: complete runs of the test kit, judged by the same rules."""

from __future__ import annotations

from typing import Any

import pytest

from orchidferry.testkit.record import RequestReceived, RequestSent, ResponseReceived
from tests.testkit.test_run import ADD, DRAIN, ERRORS, QUICK, play, scenario

NETWORKS: dict[str, dict[str, Any]] = {
    "h1": {"protocol": "h1"},
    "h3": {"protocol": "h3"},
    "h3, 5 % lost": {"protocol": "h3", "loss": 0.05, "reorder": 0.05, "duplicate": 0.02},
}


@pytest.mark.parametrize("network", NETWORKS.values(), ids=NETWORKS.keys())
@pytest.mark.parametrize(
    "incident",
    [
        [DRAIN | {"after": "3s"}, ADD],
        [{"at": "1s", "do": "crash", "tier": "back", "count": 1, "back": "500ms"}, ERRORS],
    ],
    ids=["drain and add", "crash and errors"],
)
def test_the_four_rules_hold_and_every_client_is_answered_once(
    incident: list[dict[str, Any]], network: dict[str, Any]
) -> None:
    run, verdict = play(scenario(*incident, length="5s", network=network, discovery=QUICK))
    assert run.complete, run.why
    rules = verdict.rules
    broken = {
        name: [repr(violation) for violation in rules[name].violations] for name in verdict.broken_rules
    }
    assert len(rules) == 4 and not broken, (broken, verdict.lateness)
    assert rules["no_request_lost"].checked > 100 and rules["no_effect_twice"].checked > 20
    if incident[0]["do"] == "drain":
        assert rules["drains_kept"].checked > 0 and rules["cold_servers_spared"].checked > 0
    sent = [fact.id for fact in run.facts if isinstance(fact, RequestSent) and fact.tier == 0]
    answered = [fact.id for fact in run.facts if isinstance(fact, ResponseReceived) and fact.tier == 0]
    assert len(answered) == len(set(answered)) and set(answered) <= set(sent)
    assert len(answered) > 0.9 * len(sent) > 90
    assert any(isinstance(fact, RequestReceived) for fact in run.facts)
