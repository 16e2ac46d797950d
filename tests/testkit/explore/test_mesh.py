"""The mesh's controllers in all interleavings of small scenes.

Each break caught by the one that is its own.
"""

from __future__ import annotations

import pickle
import random
import sys
from typing import Any

import pytest

from orchidferry.testkit.cli import main
from orchidferry.testkit.explore import mesh


@pytest.mark.parametrize("scene", mesh.SCENES)
def test_every_interleaving_without_a_fault_ends_as_wished(scene: str) -> None:
    found = mesh.search(scene, 0, workers=1)
    assert found.exhausted and not found.violations
    assert found.succeeded > 0
    assert found.runs == found.succeeded or scene == "slow"  # where a disk may say nothing till the end


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
    found = mesh.search(scene, faults, kinds, limit_s=120.0, workers=2)
    assert found.exhausted and not found.violations, found.story
    assert found.runs > 5


@pytest.mark.parametrize("name", mesh.BREAKS)
def test_each_break_is_caught_by_its_scene(name: str) -> None:
    one = mesh.BREAKS[name]
    found = mesh.search(one.scene, one.faults, one.kinds, name, 120.0, workers=2)
    assert found.violations and found.story


def test_a_copy_has_the_same_future_and_another_choice_another_one() -> None:
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
    ("arguments", "code", "words"),
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
def test_the_command(arguments: list[str], code: int, words: str, capsys: Any, monkeypatch: Any) -> None:
    monkeypatch.setattr(sys, "argv", ["orchidferry", "explore", "--workers", "1", *arguments])
    assert main() == code
    told = capsys.readouterr()
    assert words in (told.err if code == 2 else told.out)
    assert code != 2 or told.err.count("\n") == 1
