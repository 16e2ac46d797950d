"""The scenes of a second loss in all interleavings, and each break caught by the scene that is its own."""

from __future__ import annotations

import pytest

from orchidferry.testkit.explore import worst_days
from orchidferry.testkit.explore.worst_days.second_loss import BREAKS, SCENES


@pytest.mark.parametrize("scene", [name for name, setup in SCENES.items() if setup.scene.group_size == 3])
def test_every_interleaving_without_a_fault_leaves_the_group_whole(scene: str) -> None:
    found = worst_days.search(scene, 0, workers=1)
    assert found.exhausted and not found.violations, found.story
    assert found.runs == found.succeeded > 0


def test_five_bear_two_losses_right_after_a_replacement() -> None:
    """In one order of what comes; all are walked by `explore --of worst-days --scene two-wiped`."""
    world = worst_days.begin("two-wiped", 0)
    while not world.over:
        world.apply(world.actions()[0])
    world.finish()
    assert not world.violations and world.succeeded(), world.story


@pytest.mark.parametrize("name", BREAKS)
def test_each_break_is_caught_by_its_scene(name: str) -> None:
    one = BREAKS[name]
    found = worst_days.search(one.scene, one.faults, one.kinds, name, 60.0, workers=1)
    assert found.violations and found.story


@pytest.mark.parametrize(("scene", "kinds"), [("returned", ("kill",))])
def test_every_interleaving_with_one_more_fault_is_safe(scene: str, kinds: tuple[str, ...]) -> None:
    found = worst_days.search(scene, 1, kinds, limit_s=60.0, workers=2)
    assert found.exhausted and not found.violations, found.story
