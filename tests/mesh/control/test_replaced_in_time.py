"""A machine that replaces another one is a voter in time, before the next disk may be lost."""

from __future__ import annotations

from collections.abc import Sequence

import pytest

from orchidferry.testkit.explore.controller import Controller
from tests.mesh.control.test_group_without_founders import Cluster

CATCH_UP_S = 4.0  # `catch_up_s`: how long a machine counts as lost after its return
DOWN_S = 1.0  # from the removal of a machine to the return of another one
THREE = ("a", "b", "c")
FIVE = ("a", "b", "c", "d", "e")


def replace(world: Cluster, removed: Sequence[str], start_s: float) -> list[str]:
    """Replace controllers by empty ones, and run until the new machines no longer count as lost.

    :param start_s: time from the return of the machines to the start of their processes
    :returns: the names of the new controllers
    """
    for name in removed:
        del world.controllers[name]
    world.run_without_faults(DOWN_S + start_s)
    successors = [name.upper() for name in removed]
    for name in successors:
        world.controllers[name] = Controller(name, world, False, 1, world.rng, world.seeds)
    world.run_without_faults(CATCH_UP_S - start_s)
    return successors


@pytest.mark.parametrize("start_s", [0.2, 1.0, 1.6, 2.4])
@pytest.mark.parametrize("seeds", [THREE, FIVE], ids=["three", "five"])
def test_what_was_acknowledged_is_read_after_disks_are_lost_behind_a_replacement(
    seeds: tuple[str, ...], start_s: float
) -> None:
    """The group still counted the removed machines, and the disks that were left were no majority."""
    tolerated = len(seeds) // 2
    for seed in range(5):
        world = Cluster(seed, seeds)
        removed = world.rng.sample(seeds, tolerated)
        successors = replace(world, removed, start_s)
        kept = [name for name in seeds if name not in removed]
        unaware = world.controllers[successors[0]]
        revision = world.acknowledge(world.controllers[kept[0]], unaware)
        world.lose_all_power(*(world.controllers[name] for name in kept[:tolerated]))
        assert world.revisions_read() == dict.fromkeys(world.controllers, revision)
