"""What is drawn from a seed: the script, the arrivals, the work."""

from __future__ import annotations

import itertools
import statistics
from collections import Counter
from typing import Any

import pytest

from orchidferry.testkit import seeded_random
from orchidferry.testkit.clients.schedule import abandoned_after, arrivals, rate_at
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


def test_arrivals_have_the_rate_the_mix_and_the_gaps_that_were_asked_for() -> None:
    plan = draw(scenario(load={"rate": 100}))
    some = arrivals(plan)
    assert len(some) == pytest.approx(6000, rel=0.05)
    shares = Counter(a.cls.name for a in some)
    for cls in plan.scenario.classes:
        assert shares[cls.name] / len(some) == pytest.approx(cls.share, abs=0.03)
    gaps = [b.t - a.t for a, b in itertools.pairwise(some)]
    assert statistics.stdev(gaps) == pytest.approx(statistics.mean(gaps), rel=0.1)  # as Poisson's are
    assert all(0.42 * a.cls.gives_up_s <= a.attempt_timeout_s <= 0.55 * a.cls.gives_up_s for a in some)


def test_even_arrivals_are_evenly_spaced() -> None:
    some = arrivals(draw(scenario(load={"rate": 50, "arrivals": "even"})))
    gaps = [b.t - a.t for a, b in itertools.pairwise(some)]
    assert len(some) == pytest.approx(3000, abs=2)
    assert max(gaps) < 0.03


def test_a_burst_is_in_the_arrivals_while_it_lasts() -> None:
    burst = {"at": "20s", "do": "burst", "factor": 3, "for": "20s"}
    some = arrivals(draw(scenario(load={"rate": 50}, timeline=[burst])))
    within = sum(20.0 <= a.t < 40.0 for a in some)
    assert within == pytest.approx(3000, rel=0.08)
    assert len(some) - within == pytest.approx(2000, rel=0.08)


@pytest.mark.parametrize("shape", ["bursty", "ramp"])
def test_shapes_keep_the_mean_rate(shape: str) -> None:
    plan = draw(scenario(load={"rate": 50, "shape": shape, "swing": 0.6}))
    rates = [rate_at(plan, n * 0.01) for n in range(6000)]
    assert statistics.mean(rates) == pytest.approx(50.0, rel=0.05)
    assert max(rates) > 1.5 * min(rates)


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


def test_some_clients_are_impatient() -> None:
    one = scenario(clients={"impatient": 0.1})
    waits = [abandoned_after(one.clients, 1, f"r{n}", 2.0) for n in range(5000)]
    gone = [w for w in waits if w is not None]
    assert len(gone) == pytest.approx(500, rel=0.15)
    assert all(0.0 < w < 2.0 for w in gone)


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
    with pytest.raises(ValueError, match="comes to over"):
        draw(scenario(timeline=[entry]))
