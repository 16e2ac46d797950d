"""Exploration of one node: complete searches, detection of every break, and replays of counterexamples."""

from __future__ import annotations

import contextlib
import json
import random
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from orchidferry.testkit.cli import main
from orchidferry.testkit.explore.breaks import BREAKS, broken
from orchidferry.testkit.explore.counterexample import play
from orchidferry.testkit.explore.random_walk import random_walk, shrink
from orchidferry.testkit.explore.search import search
from orchidferry.testkit.explore.state import fingerprint
from orchidferry.testkit.explore.state_table import StateTable
from orchidferry.testkit.explore.world import World
from orchidferry.testkit.explore.world_size import WorldSize

SMALL = WorldSize(events=1)
SLOTS = 1 << 16


def test_small_world_is_exhausted_without_a_violation() -> None:
    result = search(SMALL, workers=2, slots=SLOTS, limit_s=60.0)
    assert result.exhausted, (result.cut_reason, result.counterexample)
    assert result.states > 500 and len(result.outcomes) > 20


@pytest.mark.parametrize(
    "size", [WorldSize(clients=1, events=1), WorldSize(clients=1, servers=1, events=2), WorldSize(events=0)]
)
def test_merging_equal_states_loses_no_outcome(size: WorldSize) -> None:
    merged = search(size, workers=1, slots=SLOTS, limit_s=60.0)
    unmerged = search(size, workers=2, merge=False, limit_s=60.0)
    assert merged.exhausted and unmerged.exhausted
    assert merged.outcomes == unmerged.outcomes and merged.transitions <= unmerged.transitions


@pytest.mark.parametrize("name", BREAKS)
def test_each_break_is_detected_and_its_counterexample_replays(name: str) -> None:
    size = WorldSize(events=2, cold=1 if name == "hot-cold" else 0)
    result = search(size, workers=1, break_=name, slots=SLOTS, limit_s=60.0).counterexample
    assert result is not None
    again = play(size, result["path"], name)
    assert result["violation"]["name"] in {v.name for v in again.violations}
    assert [one["what"] for one in result["story"]] == [what for _, what in again.story][
        : len(result["story"])
    ]
    with contextlib.suppress(ValueError):  # without the break an action of the path may not be possible
        assert play(size, result["path"]).violations == []  # the violation comes from the break


def test_replays_are_deterministic_and_different_states_have_different_fingerprints() -> None:
    rng = random.Random(3)
    for _ in range(30):
        path: list[str] = []
        world = World(SMALL)
        while not world.over and (actions := world.actions()):
            path.append(rng.choice(actions)[0])
            world.apply(path[-1])
        assert fingerprint(play(SMALL, path[:-1])) == fingerprint(play(SMALL, path[:-1]))
        assert play(SMALL, path).outcome() == play(SMALL, path).outcome()
    served = ["ask c0", "ask c1", "up 0", "up 0"]
    assert len({fingerprint(play(SMALL, [*served, *rest])) for rest in ([], ["serve 0"], ["serve 1"])}) == 3


def test_interrupted_search_resumes_from_its_file(tmp_path: Path) -> None:
    resume_file = tmp_path / "kept"
    size = WorldSize(events=1)
    cut = search(size, workers=1, slots=SLOTS, limit_s=0.3, resume_file=resume_file)
    assert not cut.exhausted and cut.cut_reason and resume_file.exists()
    with pytest.raises(ValueError, match="is of another world"):
        search(replace(size, clients=1), workers=1, slots=SLOTS, resume_file=resume_file)
    resumed = search(size, workers=2, slots=SLOTS, limit_s=60.0, resume_file=resume_file)
    assert resumed.exhausted and resumed.states >= cut.states and not resume_file.exists()
    assert resumed.outcomes == search(size, workers=2, slots=SLOTS, limit_s=60.0).outcomes


def test_random_runs_find_a_break_and_shrink_it() -> None:
    result = random_walk(WorldSize(events=3), 30.0, 1, "any-group").counterexample
    assert result is not None and len(result["path"]) <= 10
    long = ["ask c0", "up 0", "serve 0", *result["path"]]
    with broken("any-group"):
        assert len(
            shrink(WorldSize(events=3), result["path"], result["violation"]["name"], "any-group")
        ) <= len(long)


def test_full_table_of_states_is_reported() -> None:
    seen = StateTable(1 << 6)
    assert seen.add(7) and not seen.add(7) and set(seen.keys()) == {7}
    # A full table merges no further states: nearly the whole tree is explored, so it must be small.
    cut = search(WorldSize(events=0), workers=1, slots=1 << 4, limit_s=60.0)
    assert cut.states > 1 << 4 and not cut.exhausted and "table" in cut.cut_reason


@pytest.mark.parametrize(
    ("arguments", "code", "expected_text"),
    [
        (["--clients", "9"], 2, "clients: 9 is not within 1 to 4"),
        (["--kinds", "pay,steal"], 2, "'steal' is none of"),
        (["--break", "none"], 2, "no such break"),
        (["--replay", "none.json"], 2, "none.json: No such file"),
        (["--replay", "bad.json"], 2, "bad.json: is no counterexample"),
        (["--seconds", "0"], 2, "must be above 0"),
        (["--list-breaks"], 0, "resend-unsafe"),
        (["--clients", "1", "--events", "1", "--workers", "1", "--json", "v.json"], 0, "exhausted: every"),
        (["--events", "2", "--workers", "1", "--break", "resend-unsafe", "--out", "x.json"], 1, "as a test:"),
        (["--replay", "x.json"], 1, "broken: no-effect-twice"),
        # With one event some runs exceed the maximum depth; with two there is a counterexample.
        (["--events", "2", "--workers", "2", "--break", "lose-answer"], 1, "broken: "),
        (["--walk", "1", "--events", "2"], 0, "random runs prove nothing more"),
    ],
)
def test_command(
    arguments: list[str],
    code: int,
    expected_text: str,
    tmp_path_factory: pytest.TempPathFactory,
    capsys: Any,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    directory = tmp_path_factory.getbasetemp() / "explore-command"
    directory.mkdir(exist_ok=True)
    monkeypatch.chdir(directory)
    (directory / "bad.json").write_text("{}")
    if "x.json" in arguments and code == 1 and not (directory / "x.json").exists():
        result = search(WorldSize(events=2), workers=1, break_="resend-unsafe", slots=SLOTS).counterexample
        (directory / "x.json").write_text(json.dumps(result))
    monkeypatch.setattr(sys, "argv", ["orchidferry", "explore", *arguments])
    assert main() == code
    captured = capsys.readouterr()
    assert expected_text in (captured.err if code == 2 else captured.out)
    assert code != 2 or captured.err.count("\n") == 1
