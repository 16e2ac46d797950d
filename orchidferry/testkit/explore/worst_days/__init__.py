"""Scenes of the days that break control planes, explored on the shipping code: `explore --of worst-days`.

Each module here has the scenes of one concern, with the worlds that play them and the deliberate breaks that
they catch: `SCENES` and `BREAKS`. This package joins them and offers what `orchidferry.testkit.explore.mesh`
does.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import AbstractContextManager

from orchidferry.testkit.explore import world_search
from orchidferry.testkit.explore.mesh import KINDS, Break, MeshWorld
from orchidferry.testkit.explore.mesh_breaks import in_force
from orchidferry.testkit.explore.world_search import SearchResult
from orchidferry.testkit.explore.worst_days import hundreds, isolated, one_number, second_loss
from orchidferry.testkit.explore.worst_days.play import Play

MODULES = (isolated, one_number, second_loss, hundreds)
PLAYS: dict[str, Play] = {name: play for module in MODULES for name, play in module.SCENES.items()}
SCENES = {name: play.scene for name, play in PLAYS.items()}
BREAKS: dict[str, Break] = {name: one for module in MODULES for name, one in module.BREAKS.items()}


def begin(scene: str, faults: int = 2, kinds: tuple[str, ...] = KINDS) -> MeshWorld:
    """Return a scene's world, as soon as a controller does the singleton roles of the shard."""
    play = PLAYS[scene]
    return play.world(play.scene, faults, tuple(kind for kind in kinds if kind in play.scene.kinds))


def search(
    scene: str,
    faults: int = 2,
    kinds: tuple[str, ...] = KINDS,
    break_: str = "",
    limit_s: float = 600.0,
    watch: Callable[[SearchResult], None] = lambda _: None,
    workers: int = 0,
) -> SearchResult:
    """Explore all of a scene; the parameters are those of `world_search.search`."""
    return world_search.search(lambda: begin(scene, faults, kinds), broken, break_, limit_s, watch, workers)


def broken(name: str) -> AbstractContextManager[None]:
    """Have one of `BREAKS` in force; "" for none."""
    return in_force(BREAKS[name] if name else None)
