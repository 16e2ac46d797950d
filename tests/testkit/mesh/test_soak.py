"""A short soak test on real processes: overlapping planned restarts, reloads and changes cut no request."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest

from orchidferry.testkit.mesh.day import DAYS, Day
from orchidferry.testkit.mesh.schedule import schedule
from tests.testkit.mesh.real_runs import broken_rules, first_sound_verdict

SECONDS = 8.0
SOAKS = [day for day in DAYS.values() if day.generated == "soak"]


@pytest.mark.parametrize("seed", [1, 2, 4, 302])
def test_restarts_reloads_and_changes_cut_nothing(seed: int, tmp_path: Path) -> None:
    verdict = first_sound_verdict(DAYS["mesh-soak"], seed, SECONDS, tmp_path)
    assert verdict.record.complete, verdict.record.why
    assert not broken_rules(verdict)
    assert verdict.rules["cut"].checked and verdict.rules["lost"].checked


@pytest.mark.parametrize("day", SOAKS, ids=[day.name for day in SOAKS])
def test_restarts_of_a_soak_test_overlap_and_differ_by_the_seed(day: Day) -> None:
    """A restart takes seconds, so some begin before the previous ones can have ended."""
    series = set()
    for seed in range(200):
        found = schedule(day, seed, day.seconds)
        assert found == schedule(day, seed, day.seconds)
        assert found[0].action == "changes" and found[-1].action == "stop-changes"
        assert {one.action for one in found} >= {"restart"}
        times = [one.at * day.seconds for one in found if one.action == "restart"]
        assert times == sorted(times)
        series.add(tuple(times))
        assert any(b - a < 2.0 for a, b in itertools.pairwise(times))
    assert len(series) == 200
