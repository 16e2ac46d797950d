"""Scenes of rare failures that bring down control planes: `orchidferry explore --of worst-days`.

Each module covers one kind of failure: `SCENES` are its scenes with the worlds that play them, `BREAKS` the
deliberate breaks that the scenes detect. This package joins them, and has the same interface as
`orchidferry.testkit.explore.mesh`.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager

from orchidferry.testkit.explore import world_search
from orchidferry.testkit.explore.mesh import KINDS, Break, MeshWorld
from orchidferry.testkit.explore.mesh_breaks import in_force
from orchidferry.testkit.explore.world_search import SearchResult
from orchidferry.testkit.explore.worst_days import hundreds, isolated, one_number, second_loss
from orchidferry.testkit.explore.worst_days.scene_setup import SceneSetup

MODULES = (isolated, one_number, second_loss, hundreds)
SETUPS: dict[str, SceneSetup] = {name: setup for module in MODULES for name, setup in module.SCENES.items()}
SCENES = {name: setup.scene for name, setup in SETUPS.items()}
BREAKS: dict[str, Break] = {name: one for module in MODULES for name, one in module.BREAKS.items()}


def begin(scene: str, faults: int = 2, kinds: tuple[str, ...] = KINDS) -> MeshWorld:
    """Return a scene's world at the start of the scene, when a controller owns the shard."""
    setup = SETUPS[scene]
    return setup.world(setup.scene, faults, tuple(kind for kind in kinds if kind in setup.scene.kinds))


def search(
    scene: str,
    faults: int = 2,
    kinds: tuple[str, ...] = KINDS,
    break_: str = "",
    limit_s: float = 600.0,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Explore all runs of a scene; the other parameters are those of `world_search.search`.

    :param faults: how many faults may happen in a run, besides those of the scene's script
    :param kinds: of these faults
    """
    return world_search.search(lambda: begin(scene, faults, kinds), broken, break_, limit_s, watch, workers)


def broken(name: str) -> AbstractContextManager[None]:
    """Apply one of `BREAKS` while the context lasts; "" for none."""
    return in_force(BREAKS[name] if name else None)
