"""The scenario `mesh-series`: its schedule, and a short run on real processes."""

from __future__ import annotations

import itertools
from dataclasses import replace
from pathlib import Path

import pytest

from orchidferry.testkit.mesh.actions import ACTIONS
from orchidferry.testkit.mesh.day import DAYS, ScheduledAction
from orchidferry.testkit.mesh.schedule import schedule
from orchidferry.testkit.mesh.series_schedule import (
    CLOSING_FAULT,
    CONTROLLER_FAULTS_S,
    LANE,
    LAST_FAULTS,
    PROXY_RATES_PER_S,
)
from tests.testkit.mesh.real_runs import broken_rules, first_sound_verdict

DAY = DAYS["mesh-series"]
SECONDS = 36.0
ROUNDING_S = 1e-6


def controller_faults(seed: int) -> list[ScheduledAction]:
    """The faults of controllers under a seed, the closing one included."""
    return [one for one in schedule(DAY, seed, DAY.seconds) if one.lane == LANE]


def test_controllers_are_struck_one_at_a_time_and_recover_before_the_next_one() -> None:
    orders = set()
    for seed in range(200):
        faults = controller_faults(seed)
        assert faults[-1].action == CLOSING_FAULT
        assert {fault.action for fault in faults[:-1]} <= set(CONTROLLER_FAULTS_S)
        for one, following in itertools.pairwise(faults):
            gap_s = (following.at - one.at) * DAY.seconds - one.for_s
            assert gap_s > DAY.bounds.catch_up_s - ROUNDING_S
        orders.add(tuple(fault.action for fault in faults))
    assert len(orders) > 150


def test_the_closing_fault_strikes_as_soon_as_the_last_machine_no_longer_counts_as_lost() -> None:
    last_actions = set()
    for seed in range(50):
        *_, last, closing = controller_faults(seed)
        last_actions.add(last.action)
        assert (closing.at - last.at) * DAY.seconds == pytest.approx(last.for_s + DAY.bounds.catch_up_s)
    assert last_actions == set(LAST_FAULTS)


def test_faults_of_proxies_overlap_and_every_action_is_known() -> None:
    for seed in range(50):
        found = schedule(DAY, seed, DAY.seconds)
        assert found == schedule(DAY, seed, DAY.seconds)
        assert {one.action for one in found} <= set(ACTIONS)
        proxies = [one for one in found if one.action in PROXY_RATES_PER_S]
        times = [(one.at * DAY.seconds, one.for_s) for one in proxies]
        assert any(b < a + for_s for (a, for_s), (b, _) in itertools.pairwise(times))


@pytest.mark.parametrize("seed", [3, 5])
def test_what_was_acknowledged_is_served_and_read_back_after_a_series_of_faults(
    seed: int, tmp_path: Path
) -> None:
    verdict = first_sound_verdict(replace(DAY, seconds=SECONDS), seed, SECONDS, tmp_path)
    assert verdict.record.complete, verdict.record.why
    assert not broken_rules(verdict)
    assert verdict.rules["config"].checked and verdict.rules["fresh"].checked
