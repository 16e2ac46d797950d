"""What is drawn from a seed: the script, the arrivals, the work."""

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
def test_the_same_seed_draws_the_same_script_and_arrivals_and_another_does_not(name: str) -> None:
    one = load_scenario(name)
    plan = draw(one)
    assert plan == draw(one)
    assert arrivals(plan) == arrivals(draw(one))
    other = draw(override(one, one.seed + 1))
    assert [s.speed for s in other.servers] != [s.speed for s in plan.servers]
    assert arrivals(other) != arrivals(plan)


def test_work_is_log_normal_with_the_mean_and_spread_given() -> None:
    sample = [seeded_random.log_normal(0.1, 0.5, 7, "work", n) for n in range(20_000)]
    assert statistics.mean(sample) == pytest.approx(0.1, rel=0.02)
    assert statistics.stdev(sample) == pytest.approx(0.05, rel=0.05)


def test_a_requests_work_and_calls_do_not_depend_on_which_server_or_attempt_it_is() -> None:
    one = scenario()
    tier = one.tiers[0]
    cls = one.classes[0]
    assert draw_work(1, cls, tier, "r5") == draw_work(1, cls, tier, "r5") != draw_work(1, cls, tier, "r6")
    calls = [draw_call_count(1, tier, f"r{n}", False) for n in range(4000)]
    assert set(calls) == {1, 2}
    assert statistics.mean(calls) == pytest.approx(tier.calls, rel=0.05)


def test_troubles_strike_as_many_as_was_said_and_end() -> None:
    entry = {"at": "5s", "do": "slow", "tier": "registro", "share": 0.3, "factor": 4, "for": "2s"}
    actions = draw(scenario(timeline=[entry])).actions
    assert [(a.t, a.value) for a in actions] == [(5.0, 4.0)] * 3 + [(7.0, 0.0)] * 3
    assert len({a.whom for a in actions}) == 3


def test_a_rolling_restart_touches_each_server_once_in_order() -> None:
    entry = {"at": "5s", "do": "rolling-restart", "tier": "entrada", "gap": "4s", "renamed": True}
    plan = draw(scenario(timeline=[entry]))
    assert [a.t for a in plan.actions if a.do == "leave"] == [5.0 + 4.0 * n for n in range(6)]
    ups = [a.whom for a in plan.actions if a.do == "up"]
    assert len(set(ups)) == 6
    for name in ups:
        assert plan.server(name).starts_later
    # The new one stands at the old one's address.
    numbers = [s.number for s in plan.servers if s.tier == 0]
    assert sorted(numbers) == sorted([*range(6), *range(6)])


def test_a_timeline_that_comes_to_too_much_is_turned_away() -> None:
    entry = {"at": "1s", "do": "pauses", "every": "1ms", "length": "1ms", "for": "59s", "share": 1.0}
    with pytest.raises(ValueError, match="gives more than 50000 actions"):
        draw(scenario(timeline=[entry]))
