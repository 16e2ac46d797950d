"""A short soak test on real processes: overlapping planned restarts, reloads and changes cut no request."""

from __future__ import annotations

import itertools
from pathlib import Path

import pytest
import uvloop

from orchidferry.testkit.judge.mesh.verdict import Verdict, judge
from orchidferry.testkit.mesh.day import DAYS, Day
from orchidferry.testkit.mesh.run import Progress
from orchidferry.testkit.mesh.schedule import schedule
from orchidferry.testkit.mesh.session import play

SECONDS = 8.0
MAX_RUNS = 4  # runs of a seed; a run is repeated while its verdict is void as the machine was too busy
TIMELESS_RULES = ("cut", "mixed", "unasked", "twice", "refused", "route", "stays_up")
"""Rules without time limits: a violation is a fault of the mesh, however slow the machine was."""

SOAKS = [day for day in DAYS.values() if day.generated == "soak"]


def soak(seed: int, folder: Path) -> Verdict:
    """The verdict on the first run that is not void, or on the last; all runs must keep `TIMELESS_RULES`."""
    for number in range(MAX_RUNS):
        kept = folder / f"play-{number}"
        kept.mkdir()
        completed = uvloop.run(play(DAYS["mesh-soak"], seed, SECONDS, Progress(), kept))
        verdict = judge(completed.record)
        violations = {rule: verdict.rules[rule].violations for rule in TIMELESS_RULES}
        assert not any(violations.values()), violations
        if not verdict.void:
            break
    return verdict


@pytest.mark.parametrize("seed", [1, 2, 4, 302])
def test_restarts_reloads_and_changes_cut_nothing(seed: int, tmp_path: Path) -> None:
    verdict = soak(seed, tmp_path)
    assert verdict.record.complete, verdict.record.why
    broken = {rule: finding.violations for rule, finding in verdict.rules.items() if not finding.passed}
    assert not broken
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
