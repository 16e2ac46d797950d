"""Runs of a scenario on real processes for tests: a run that the busy machine made void is repeated."""

from __future__ import annotations

from pathlib import Path

import uvloop

from orchidferry.testkit.judge.mesh.verdict import Verdict, judge
from orchidferry.testkit.mesh.day import Day
from orchidferry.testkit.mesh.run import Progress
from orchidferry.testkit.mesh.session import play

MAX_RUNS = 4  # runs of a seed; a run is repeated while its verdict is void as the machine was too busy
TIMELESS_RULES = ("cut", "mixed", "unasked", "twice", "refused", "route", "stays_up")
"""Rules without time limits: a violation is a fault of the mesh, however slow the machine was."""


def first_sound_verdict(day: Day, seed: int, seconds: float, folder: Path) -> Verdict:
    """The verdict on the first run that is not void, or on the last; all runs must keep `TIMELESS_RULES`."""
    for number in range(MAX_RUNS):
        kept = folder / f"play-{number}"
        kept.mkdir()
        completed = uvloop.run(play(day, seed, seconds, Progress(), kept))
        verdict = judge(completed.record)
        violations = {rule: verdict.rules[rule].violations for rule in TIMELESS_RULES}
        assert not any(violations.values()), violations
        if not verdict.void:
            break
    return verdict


def broken_rules(verdict: Verdict) -> dict[str, object]:
    """The violations of the rules that a run has broken, by rule."""
    return {rule: finding.violations for rule, finding in verdict.rules.items() if not finding.passed}
