"""Exploration of slots: random walks, all interleavings, and deliberate breaks."""

from __future__ import annotations

import random

import pytest

from orchidferry.testkit.explore import slots as explore


@pytest.mark.parametrize(("askers", "bound"), [(2, 1), (3, 1), (3, 2)])
def test_random_walks_never_exceed_the_budget(askers: int, bound: int) -> None:
    ended = 0
    for seed in range(60):
        rng = random.Random(seed)
        world = explore.begin(askers, rng.randrange(9), bound)
        for _ in range(3_000):
            if world.over:
                break
            actions = world.actions()
            plain = [one for one in actions if one.startswith(("deliver", "wait"))]
            world.apply(rng.choice(actions if rng.random() < 0.2 else plain))
            assert not world.violations, world.story
        ended += world.succeeded()
    assert ended > 20  # and most get their turn


def test_every_interleaving_of_two_requesters_without_a_fault_succeeds() -> None:
    found = explore.search(2, 0, workers=1)
    assert found.exhausted and found.runs == found.succeeded > 0


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
    found = explore.search(2, faults, 1, name, 120.0, kinds, workers=2)
    assert found.violations and found.story
