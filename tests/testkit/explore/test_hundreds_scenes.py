"""Exploration of replicas that missed many changes: all interleavings, and detection of each break."""

from __future__ import annotations

import pytest

from orchidferry.testkit.explore import worst_days
from orchidferry.testkit.explore.worst_days import hundreds


@pytest.mark.parametrize("scene", hundreds.SCENES)
def test_every_interleaving_without_a_fault_succeeds(scene: str) -> None:
    result = worst_days.search(scene, 0, workers=1)
    assert result.exhausted and not result.violations, result.story
    assert result.runs == result.succeeded > 0


@pytest.mark.parametrize("name", hundreds.BREAKS)
def test_each_break_is_detected_by_its_scene(name: str) -> None:
    break_ = hundreds.BREAKS[name]
    result = worst_days.search(break_.scene, break_.faults, break_.kinds, name, 60.0, workers=1)
    assert result.violations and result.story
