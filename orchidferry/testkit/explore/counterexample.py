"""A counterexample: the choices of a run that breaks a property, for people and to be played again."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path
from typing import Any

from orchidferry.testkit.explore.breaks import broken
from orchidferry.testkit.explore.properties import Violation
from orchidferry.testkit.explore.world import World
from orchidferry.testkit.explore.world_size import WorldSize

FORMAT = 1
START_S = 1_000.0  # the time of the world at the beginning of a run


def play(size: WorldSize, path: list[str], break_: str = "", to_end: bool = False) -> World:
    """Play a run by its path, and finish it if nothing more can come.

    :param to_end: finish it whatever could come, unless a property is broken.
    """
    with broken(break_):
        world = World(size)
        for label in path:
            world.do(label)
        if world.over or not world.actions() or (to_end and not world.violations):
            world.finish()
    return world


def describe(
    size: WorldSize, path: list[str], world: World, violation: Violation, break_: str
) -> dict[str, Any]:
    """Return a counterexample as `--replay` reads it.

    :param world: in which the path was played.
    """
    return {
        "format": FORMAT,
        "small": asdict(size),
        "break": break_,
        "path": path,
        "violation": asdict(violation),
        "story": [{"at_s": round(time_s - START_S, 6), "what": what} for time_s, what in world.story],
    }


def write(path: Path, counterexample: dict[str, Any]) -> None:
    """Write a counterexample to a file, whole or not at all."""
    part = path.with_name(path.name + ".part")
    part.write_text(json.dumps(counterexample, indent=1) + "\n", encoding="utf-8")
    part.replace(path)
