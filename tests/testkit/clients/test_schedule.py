"""The arrivals of the open-loop load, and the attempts that impatient clients abandon."""

from __future__ import annotations

import itertools
import statistics
from collections import Counter
from typing import Any

import pytest

from orchidferry.testkit.clients.schedule import abandoned_after, arrivals, rate_at
from orchidferry.testkit.scenario import Scenario, read_scenario
from orchidferry.testkit.world.plan import draw


def scenario(**changes: Any) -> Scenario:
    return read_scenario({"name": "x", "length": "60s"} | changes, "x")


def test_arrivals_have_the_configured_rate_class_mix_and_poisson_gaps() -> None:
    plan = draw(scenario(load={"rate": 100}))
    all_arrivals = arrivals(plan)
    assert len(all_arrivals) == pytest.approx(6000, rel=0.05)
    shares = Counter(a.cls.name for a in all_arrivals)
    for cls in plan.scenario.classes:
        assert shares[cls.name] / len(all_arrivals) == pytest.approx(cls.share, abs=0.03)
    gaps = [b.t - a.t for a, b in itertools.pairwise(all_arrivals)]
    # The intervals of a Poisson process have a standard deviation equal to their mean.
    assert statistics.stdev(gaps) == pytest.approx(statistics.mean(gaps), rel=0.1)
    assert all(
        0.42 * a.cls.gives_up_s <= a.attempt_timeout_s <= 0.55 * a.cls.gives_up_s for a in all_arrivals
    )


def test_even_arrivals_are_evenly_spaced() -> None:
    all_arrivals = arrivals(draw(scenario(load={"rate": 50, "arrivals": "even"})))
    gaps = [b.t - a.t for a, b in itertools.pairwise(all_arrivals)]
    assert len(all_arrivals) == pytest.approx(3000, abs=2)
    assert max(gaps) < 0.03


def test_burst_multiplies_the_rate_while_it_lasts() -> None:
    burst = {"at": "20s", "do": "burst", "factor": 3, "for": "20s"}
    all_arrivals = arrivals(draw(scenario(load={"rate": 50}, timeline=[burst])))
    within = sum(20.0 <= a.t < 40.0 for a in all_arrivals)
    assert within == pytest.approx(3000, rel=0.08)
    assert len(all_arrivals) - within == pytest.approx(2000, rel=0.08)


@pytest.mark.parametrize("shape", ["bursty", "ramp"])
def test_shapes_keep_the_mean_rate(shape: str) -> None:
    plan = draw(scenario(load={"rate": 50, "shape": shape, "swing": 0.6}))
    rates = [rate_at(plan, n * 0.01) for n in range(6000)]
    assert statistics.mean(rates) == pytest.approx(50.0, rel=0.05)
    assert max(rates) > 1.5 * min(rates)


def test_impatient_clients_abandon_attempts_before_the_timeout() -> None:
    one = scenario(clients={"impatient": 0.1})
    waits = [abandoned_after(one.clients, 1, f"r{n}", 2.0) for n in range(5000)]
    abandoned = [w for w in waits if w is not None]
    assert len(abandoned) == pytest.approx(500, rel=0.15)
    assert all(0.0 < w < 2.0 for w in abandoned)
