"""Replicas that missed many changes, in all interleavings of small scenes; each break caught by its own."""

from __future__ import annotations

import pytest

from orchidferry.testkit.explore import worst_days
from orchidferry.testkit.explore.worst_days import hundreds


@pytest.mark.parametrize("scene", hundreds.SCENES)
def test_every_interleaving_without_a_fault_ends_as_wished(scene: str) -> None:
    found = worst_days.search(scene, 0, workers=1)
    assert found.exhausted and not found.violations, found.story
    assert found.runs == found.succeeded > 0


@pytest.mark.parametrize("name", hundreds.BREAKS)
def test_each_break_is_caught_by_its_scene(name: str) -> None:
    one = hundreds.BREAKS[name]
    found = worst_days.search(one.scene, one.faults, one.kinds, name, 60.0, workers=1)
    assert found.violations and found.story
