"""Scenario files: errors are one line that names file and field."""

from __future__ import annotations

import random
import tomllib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidferry.testkit.scenario import (
    FAULT_TYPES,
    MAX_FILE,
    ScenarioError,
    load_scenario,
    read_scenario,
    shipped,
)
from orchidferry.testkit.world.plan import draw

SLOW = 'name = "x"\n[[timeline]]\nat = "3s"\ndo = "slow"\nfactor = 2\nfor = "1s"\n'


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ('name = "x"\nlength = "20"\n', "top level.length: '20' is not a duration"),
        ('name = "x"\nlength = "20d"\n', "top level.length: '20d' is not a duration"),
        ('name = "x"\nlength = 20\n', "top level.length: 20 is not a duration"),
        ('name = "x"\nlength = "0s"\n', "top level.length: '0s' must be above 0"),
        ("length = '20s'\n", "top level.name: is missing"),
        ('name = "X Y"\n', "top level.name"),
        ('name = "x"\nspeed = 3\n', "top level.speed: no such field"),
        ('name = "x"\nload = 3\n', "[load]: 3 is not a table"),
        ('name = "x"\n[load]\nrate = -1\n', "[load].rate: -1 is not within"),
        ('name = "x"\n[load]\nrate = nan\n', "[load].rate: nan is not a number"),
        ('name = "x"\n[load]\nrate = true\n', "[load].rate: True is not a number"),
        ('name = "x"\n[load]\nshape = "round"\n', "[load].shape: 'round' is not one of steady"),
        ('name = "x"\ntier = []\n', "tier: at least one is needed"),
        ('name = "x"\ntier = 3\n', "tier: 3 is not a list of tables; write [[tier]]"),
        ('name = "x"\n[[tier]]\nname = "a"\nservers = 2\n', "tier[0].work: is missing"),
        ('name = "x"\n[[tier]]\nname = "a"\nservers = 0\nwork = 1\n', "tier[0].servers: 0 is not within"),
        (SLOW.replace('"slow"', '"meteor"'), "timeline[0].do: no such fault 'meteor'"),
        (SLOW.replace("factor = 2\n", ""), "timeline[0].factor: is missing; 'slow' requires it"),
        (SLOW + "share = -0.5\n", "timeline[0].share: -0.5 is not within 0 to 1"),
        (SLOW + "share = 0\n", "timeline[0].share: must be above 0"),
        (SLOW + 'length = "1s"\n', "timeline[0].length: 'slow' has no such field"),
        (SLOW + 'tier = "nowhere"\n', "timeline[0].tier: no tier 'nowhere'"),
        (SLOW + "count = 7\n", "timeline[0].count: entrada has 6 servers"),
        (SLOW + "count = 1\nshare = 0.5\n", "timeline[0].count: share and count exclude each other"),
        (SLOW.replace('"3s"', '"30s"'), "timeline[0].at: not before the end"),
        ('name = "x"\n[discovery]\nnotice = ["3s", "1s"]\n', "[discovery].notice"),
        ('name = "x"\n[node]\ncommand = []\n', "[node].command"),
        ("name = \n", "not TOML"),
    ],
)
def test_errors_name_file_and_field(tmp_path: Path, text: str, words: str) -> None:
    path = tmp_path / "mine.toml"
    path.write_text(text)
    with pytest.raises(ScenarioError) as caught:
        load_scenario(str(path))
    assert str(caught.value).startswith(f"{path}: ")
    assert words in str(caught.value)
    assert "\n" not in str(caught.value)


def test_classes_must_be_consistent(tmp_path: Path) -> None:
    cls = {"name": "a", "share": 0.5, "work": "10ms", "wanted": "1s", "gives_up": "2s", "repeat": "safe"}
    with pytest.raises(ScenarioError, match=r"class: the shares sum to 0\.5"):
        read_scenario({"name": "x", "class": [cls]}, "x")
    with pytest.raises(ScenarioError, match=r"class\[1\]\.name: 'a' is used twice"):
        read_scenario({"name": "x", "class": [cls, cls]}, "x")
    with pytest.raises(ScenarioError, match=r"class\[0\]\.gives_up: is less than wanted"):
        read_scenario({"name": "x", "class": [cls | {"share": 1.0, "gives_up": "500ms"}]}, "x")


def test_files_that_are_too_large_or_not_text_are_rejected(tmp_path: Path) -> None:
    path = tmp_path / "noise.toml"
    path.write_bytes(random.Random(1).randbytes(10 * 1024 * 1024))
    with pytest.raises(ScenarioError, match=f"over {MAX_FILE // 1024} KiB"):
        load_scenario(str(path))
    path.write_bytes(b"\xff\xfe" * 100)
    with pytest.raises(ScenarioError, match="not UTF-8"):
        load_scenario(str(path))


def test_missing_files_and_unknown_names_are_reported(tmp_path: Path) -> None:
    with pytest.raises(ScenarioError, match="No such file"):
        load_scenario(str(tmp_path / "none.toml"))
    with pytest.raises(ScenarioError, match="slow-serve: no such scenario"):
        load_scenario("slow-serve")


@given(st.text(max_size=300))
def test_any_toml_is_accepted_or_rejected_in_one_line(text: str) -> None:
    try:
        obj = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError):
        return
    try:
        draw(read_scenario(obj, "x"))
    except (ScenarioError, ValueError) as error:
        assert "\n" not in str(error)


def test_shipped_scenarios_are_valid_and_together_use_every_fault() -> None:
    assert len(shipped()) >= 13
    used = set()
    for name in shipped():
        scenario = load_scenario(name)
        assert scenario.name == name
        draw(scenario)
        used |= {step.do for step in scenario.timeline}
    assert used == set(FAULT_TYPES)
