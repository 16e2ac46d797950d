"""The values drawn from a seed: the plan, the arrivals, and the work of requests."""

from __future__ import annotations

import statistics
from typing import Any

import pytest

from orchidferry.testkit import seeded_random
from orchidferry.testkit.clients.schedule import arrivals
from orchidferry.testkit.scenario import Scenario, load_scenario, override, read_scenario, shipped
from orchidferry.testkit.world.machine import draw_call_count, draw_work
from orchidferry.testkit.world.plan import draw


def scenario(**changes: Any) -> Scenario:
    return read_scenario({"name": "x", "length": "60s"} | changes, "x")


@pytest.mark.parametrize("name", shipped())
def test_plan_and_arrivals_are_reproducible_and_depend_on_the_seed(name: str) -> None:
    one = load_scenario(name)
    plan = draw(one)
    assert plan == draw(one)
    assert arrivals(plan) == arrivals(draw(one))
    other = draw(override(one, one.seed + 1))
    assert [s.speed for s in other.servers] != [s.speed for s in plan.servers]
    assert arrivals(other) != arrivals(plan)


def test_log_normal_has_the_given_mean_and_spread() -> None:
    sample = [seeded_random.log_normal(0.1, 0.5, 7, "work", n) for n in range(20_000)]
    assert statistics.mean(sample) == pytest.approx(0.1, rel=0.02)
    assert statistics.stdev(sample) == pytest.approx(0.05, rel=0.05)


def test_work_and_calls_depend_on_the_request_and_not_on_server_or_attempt() -> None:
    one = scenario()
    tier = one.tiers[0]
    cls = one.classes[0]
    assert draw_work(1, cls, tier, "r5") == draw_work(1, cls, tier, "r5") != draw_work(1, cls, tier, "r6")
    calls = [draw_call_count(1, tier, f"r{n}", False) for n in range(4000)]
    assert set(calls) == {1, 2}
    assert statistics.mean(calls) == pytest.approx(tier.calls, rel=0.05)


def test_fault_affects_the_given_share_of_servers_and_ends() -> None:
    entry = {"at": "5s", "do": "slow", "tier": "registro", "share": 0.3, "factor": 4, "for": "2s"}
    actions = draw(scenario(timeline=[entry])).actions
    assert [(a.t, a.value) for a in actions] == [(5.0, 4.0)] * 3 + [(7.0, 0.0)] * 3
    assert len({a.whom for a in actions}) == 3


def test_rolling_restart_restarts_each_server_once_in_order() -> None:
    entry = {"at": "5s", "do": "rolling-restart", "tier": "entrada", "gap": "4s", "renamed": True}
    plan = draw(scenario(timeline=[entry]))
    assert [a.t for a in plan.actions if a.do == "leave"] == [5.0 + 4.0 * n for n in range(6)]
    ups = [a.whom for a in plan.actions if a.do == "up"]
    assert len(set(ups)) == 6
    for name in ups:
        assert plan.server(name).starts_later
    # A renamed server has the address of the old one.
    numbers = [s.number for s in plan.servers if s.tier == 0]
    assert sorted(numbers) == sorted([*range(6), *range(6)])


def test_timeline_with_too_many_actions_is_rejected() -> None:
    entry = {"at": "1s", "do": "pauses", "every": "1ms", "length": "1ms", "for": "59s", "share": 1.0}
    with pytest.raises(ValueError, match="gives more than 50000 actions"):
        draw(scenario(timeline=[entry]))
