"""Exploration of a second loss after a repair: all interleavings, and detection of each break."""

from __future__ import annotations

import pytest

from orchidferry.testkit.explore import worst_days
from orchidferry.testkit.explore.worst_days.second_loss import BREAKS, SCENES


@pytest.mark.parametrize("scene", [name for name, setup in SCENES.items() if setup.scene.group_size == 3])
def test_every_interleaving_without_a_fault_leaves_the_group_complete(scene: str) -> None:
    result = worst_days.search(scene, 0, workers=1)
    assert result.exhausted and not result.violations, result.story
    assert result.runs == result.succeeded > 0


def test_five_controllers_tolerate_two_losses_right_after_a_replacement() -> None:
    """Plays one order of messages; `explore --of worst-days --scene two-wiped` explores all of them."""
    world = worst_days.begin("two-wiped", 0)
    while not world.over:
        world.apply(world.actions()[0])
    world.finish()
    assert not world.violations and world.succeeded(), world.story


@pytest.mark.parametrize("name", BREAKS)
def test_each_break_is_detected_by_its_scene(name: str) -> None:
    break_ = BREAKS[name]
    result = worst_days.search(break_.scene, break_.faults, break_.kinds, name, 60.0, workers=1)
    assert result.violations and result.story


@pytest.mark.parametrize(("scene", "kinds"), [("returned", ("kill",))])
def test_every_interleaving_with_one_more_fault_is_safe(scene: str, kinds: tuple[str, ...]) -> None:
    result = worst_days.search(scene, 1, kinds, limit_s=60.0, workers=2)
    assert result.exhausted and not result.violations, result.story
