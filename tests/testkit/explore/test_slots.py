"""Exploration of slots: random walks, all interleavings, and deliberate breaks."""

from __future__ import annotations

import random

import pytest

from orchidferry.testkit.explore import slots as explore


@pytest.mark.parametrize(("requesters", "bound"), [(2, 1), (3, 1), (3, 2)])
def test_random_walks_never_exceed_the_budget(requesters: int, bound: int) -> None:
    succeeded = 0
    for seed in range(60):
        rng = random.Random(seed)
        world = explore.begin(requesters, rng.randrange(9), bound)
        for _ in range(3_000):
            if world.over:
                break
            actions = world.actions()
            plain = [one for one in actions if one.startswith(("deliver", "wait"))]
            world.apply(rng.choice(actions if rng.random() < 0.2 else plain))
            assert not world.violations, world.story
        succeeded += world.succeeded()
    assert succeeded > 20  # of 60 runs, although faults may make some fail


def test_every_interleaving_of_two_requesters_without_a_fault_succeeds() -> None:
    result = explore.search(2, 0, workers=1)
    assert result.exhausted and result.runs == result.succeeded > 0


@pytest.mark.parametrize(
    ("name", "faults", "kinds"),
    [
        ("no-majority", 1, ("lose",)),
        ("promise-forgotten", 1, ("lose",)),
        ("not-read", 1, ("cut",)),
        ("not-counted", 0, ()),
        ("on-a-word", 0, ()),
        ("same-token", 0, ()),
    ],
)
def test_deliberate_breaks_are_caught(name: str, faults: int, kinds: tuple[str, ...]) -> None:
    result = explore.search(2, faults, 1, name, 120.0, kinds, workers=2)
    assert result.violations and result.story
