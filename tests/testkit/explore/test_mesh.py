"""Exploration of the mesh's controllers: all interleavings of small scenes, and detection of each break."""

from __future__ import annotations

import pickle
import random
import sys
from typing import Any

import pytest

from orchidferry.testkit.cli import main
from orchidferry.testkit.explore import mesh


@pytest.mark.parametrize("scene", mesh.SCENES)
def test_every_interleaving_without_a_fault_succeeds(scene: str) -> None:
    result = mesh.search(scene, 0, workers=1)
    assert result.exhausted and not result.violations
    assert result.succeeded > 0
    assert result.runs == result.succeeded or scene == "slow"  # its disk may stay slow until the end


@pytest.mark.parametrize(
    ("scene", "faults", "kinds"),
    [
        ("unwell", 1, ("cut", "unfit")),
        ("missed", 1, ("kill", "power")),
        ("learning", 1, ("lose",)),
        ("puts", 1, ("power",)),
        ("duties", 1, ("cut",)),
    ],
)
def test_every_interleaving_of_some_faults_is_safe(scene: str, faults: int, kinds: tuple[str, ...]) -> None:
    result = mesh.search(scene, faults, kinds, limit_s=120.0, workers=2)
    assert result.exhausted and not result.violations, result.story
    assert result.runs > 5


@pytest.mark.parametrize("name", mesh.BREAKS)
def test_each_break_is_detected_by_its_scene(name: str) -> None:
    break_ = mesh.BREAKS[name]
    result = mesh.search(break_.scene, break_.faults, break_.kinds, name, 120.0, workers=2)
    assert result.violations and result.story


def test_copy_has_the_same_future_and_each_action_changes_the_fingerprint() -> None:
    rng = random.Random(5)
    for scene in mesh.SCENES:
        world = mesh.begin(scene, 2)
        for _ in range(25):
            copy = pickle.loads(pickle.dumps(world))
            assert copy.fingerprint() == world.fingerprint() and copy.actions() == world.actions()
            if world.over:
                break
            label = rng.choice(world.actions())
            before = world.fingerprint()
            copy.apply(label)
            world.apply(label)
            assert copy.fingerprint() == world.fingerprint() != before
            assert not world.violations, world.story


@pytest.mark.parametrize(
    ("arguments", "code", "expected_text"),
    [
        (["--of", "mesh-keys", "--kinds", "kill,burn"], 2, "'burn' is none of kill"),
        (["--of", "mesh-keys", "--scene", "duties"], 2, "'duties' is none of answered"),
        (["--of", "mesh-shards", "--break", "any-one"], 2, "--break any-one: none of vote-forgotten"),
        (["--of", "mesh-keys", "--list-scenes"], 0, "learning"),
        (
            ["--of", "mesh-shards", "--scene", "unwell", "--faults", "1", "--kinds", "cut"],
            0,
            "exhausted: every",
        ),
        (["--of", "mesh-keys", "--break", "one-source", "--faults", "0"], 1, "abstains: b grants a key"),
    ],
)
def test_command(arguments: list[str], code: int, expected_text: str, capsys: Any, monkeypatch: Any) -> None:
    monkeypatch.setattr(sys, "argv", ["orchidferry", "explore", "--workers", "1", *arguments])
    assert main() == code
    captured = capsys.readouterr()
    assert expected_text in (captured.err if code == 2 else captured.out)
    assert code != 2 or captured.err.count("\n") == 1
