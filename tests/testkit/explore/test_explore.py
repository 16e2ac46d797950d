"""The small world: all of it walked, every break caught, traces that play again."""

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


def test_all_of_a_small_world_is_walked_and_no_property_is_broken() -> None:
    found = search(SMALL, workers=2, slots=SLOTS, limit_s=60.0)
    assert found.exhausted, (found.cut_reason, found.counterexample)
    assert found.states > 500 and len(found.outcomes) > 20


@pytest.mark.parametrize(
    "size", [WorldSize(clients=1, events=1), WorldSize(clients=1, servers=1, events=2), WorldSize(events=0)]
)
def test_telling_states_apart_loses_no_end(size: WorldSize) -> None:
    merged = search(size, workers=1, slots=SLOTS, limit_s=60.0)
    whole = search(size, workers=2, merge=False, limit_s=60.0)
    assert merged.exhausted and whole.exhausted
    assert merged.outcomes == whole.outcomes and merged.transitions <= whole.transitions


@pytest.mark.parametrize("name", BREAKS)
def test_each_break_is_caught_and_its_trace_plays_again(name: str) -> None:
    size = WorldSize(events=2, cold=1 if name == "hot-cold" else 0)
    found = search(size, workers=1, break_=name, slots=SLOTS, limit_s=60.0).counterexample
    assert found is not None
    again = play(size, found["path"], name)
    assert found["violation"]["name"] in {v.name for v in again.violations}
    assert [one["what"] for one in found["story"]] == [what for _, what in again.story][: len(found["story"])]
    with contextlib.suppress(ValueError):  # without the break another thing may come next
        assert play(size, found["path"]).violations == []  # it is the break, and nothing else


def test_a_run_is_its_choices_and_equal_states_are_one() -> None:
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


def test_a_search_that_is_cut_goes_on_from_where_it_was(tmp_path: Path) -> None:
    keep = tmp_path / "kept"
    size = WorldSize(events=1)
    cut = search(size, workers=1, slots=SLOTS, limit_s=0.3, resume_file=keep)
    assert not cut.exhausted and cut.cut_reason and keep.exists()
    with pytest.raises(ValueError, match="is of another world"):
        search(replace(size, clients=1), workers=1, slots=SLOTS, resume_file=keep)
    rest = search(size, workers=2, slots=SLOTS, limit_s=60.0, resume_file=keep)
    assert rest.exhausted and rest.states >= cut.states and not keep.exists()
    assert rest.outcomes == search(size, workers=2, slots=SLOTS, limit_s=60.0).outcomes


def test_random_runs_find_a_break_and_make_it_short() -> None:
    found = random_walk(WorldSize(events=3), 30.0, 1, "any-group").counterexample
    assert found is not None and len(found["path"]) <= 10
    long = ["ask c0", "up 0", "serve 0", *found["path"]]
    with broken("any-group"):
        assert len(
            shrink(WorldSize(events=3), found["path"], found["violation"]["name"], "any-group")
        ) <= len(long)


def test_a_full_table_of_states_says_so() -> None:
    seen = StateTable(1 << 6)
    assert seen.add(7) and not seen.add(7) and set(seen.keys()) == {7}
    # Few states told apart: the whole tree is walked, and that must be a small one.
    cut = search(WorldSize(events=0), workers=1, slots=1 << 4, limit_s=60.0)
    assert cut.states > 1 << 4 and not cut.exhausted and "table" in cut.cut_reason


@pytest.mark.parametrize(
    ("arguments", "code", "words"),
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
        # With one event some runs are too long; with two there is a counterexample.
        (["--events", "2", "--workers", "2", "--break", "lose-answer"], 1, "broken: "),
        (["--walk", "1", "--events", "2"], 0, "random runs prove nothing more"),
    ],
)
def test_the_command(
    arguments: list[str],
    code: int,
    words: str,
    tmp_path_factory: pytest.TempPathFactory,
    capsys: Any,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    folder = tmp_path_factory.getbasetemp() / "explore-command"
    folder.mkdir(exist_ok=True)
    monkeypatch.chdir(folder)
    (folder / "bad.json").write_text("{}")
    if "x.json" in arguments and code == 1 and not (folder / "x.json").exists():
        found = search(WorldSize(events=2), workers=1, break_="resend-unsafe", slots=SLOTS).counterexample
        (folder / "x.json").write_text(json.dumps(found))
    monkeypatch.setattr(sys, "argv", ["orchidferry", "explore", *arguments])
    assert main() == code
    told = capsys.readouterr()
    assert words in (told.err if code == 2 else told.out)
    assert code != 2 or told.err.count("\n") == 1
