"""Random runs of a small world, and the shrinking of a run that violates a property."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from orchidferry.testkit.explore.breaks import broken
from orchidferry.testkit.explore.counterexample import describe, play
from orchidferry.testkit.explore.loop import LoopNeverIdleError
from orchidferry.testkit.explore.search_totals import MAX_DEPTH, Totals
from orchidferry.testkit.explore.world import World
from orchidferry.testkit.explore.world_size import WorldSize

RUNS_PER_REPORT = 50
COST_WEIGHT = 0.3
"""By how much an action's cost lowers its priority."""


def random_walk(
    size: WorldSize,
    seconds: float,
    seed: int,
    break_: str = "",
    watch: Callable[[Totals], None] = lambda _: None,
) -> Totals:
    """Play random runs until one violates a property or the time is over.

    Actions are scheduled as in PCT (probabilistic concurrency testing, Burckhardt et al., 2010): each action
    has a random priority, and a few times in a run the action with the highest priority gets the lowest.

    :param seconds: the time limit.
    :param break_: the deliberate break that is in force; "" for none.
    :param watch: called with the totals after every `RUNS_PER_REPORT` runs.
    """
    totals = Totals()
    began_s = time.monotonic()
    number = 0
    with broken(break_):
        while time.monotonic() - began_s < seconds and totals.counterexample is None:
            path, world = _random_run(size, random.Random(f"{seed}/{number}"))
            number += 1
            totals.runs += 1
            totals.transitions += len(path)
            totals.depth = max(totals.depth, len(path))
            if world.violations:
                totals.violations.update(violation.name for violation in world.violations)
                short = shrink(size, path, world.violations[0].name, break_)
                again = play(size, short, break_, to_end=True)
                totals.counterexample = describe(size, short, again, again.violations[0], break_)
            totals.seconds = time.monotonic() - began_s
            if number % RUNS_PER_REPORT == 0:
                watch(totals)
    return totals


def _random_run(size: WorldSize, rng: random.Random) -> tuple[list[str], World]:
    """Play one random run; return its path and the world at its end."""
    path: list[str] = []
    world = World(size)
    priorities: dict[str, float] = {}
    changes = {rng.randrange(MAX_DEPTH // 2) for _ in range(size.events)}
    while not world.over and not world.violations and (actions := world.actions()):
        for label, cost in actions:
            priorities.setdefault(label, rng.random() - COST_WEIGHT * cost)
        label = max((label for label, _ in actions), key=priorities.__getitem__)
        if len(path) in changes:
            priorities[label] = -1.0
            label = max((label for label, _ in actions), key=priorities.__getitem__)
        path.append(label)
        world.apply(label)
        if len(path) >= MAX_DEPTH:
            return path, world
    if not world.violations:
        world.finish()
    return path, world


def shrink(size: WorldSize, path: list[str], name: str, break_: str) -> list[str]:
    """Return a shorter path that violates the same property.

    Parts of the path are removed as long as the violation remains, halves first (delta debugging with ddmin,
    Zeller and Hildebrandt, 2002).

    :param name: the violated property.
    """

    def fails(shorter: list[str]) -> bool:
        try:
            world = play(size, shorter, break_, to_end=True)
        except (ValueError, IndexError, StopIteration, LoopNeverIdleError):
            return False
        return any(violation.name == name for violation in world.violations)

    part_length = max(1, len(path) // 2)
    while part_length:
        start = 0
        while start < len(path):
            shorter = path[:start] + path[start + part_length :]
            if fails(shorter):
                path = shorter
            else:
                start += part_length
        part_length //= 2
    return path
