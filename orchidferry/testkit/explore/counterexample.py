"""Counterexamples: runs that violate a property, as readable reports that can be replayed."""

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
START_S = 1_000.0  # the world's virtual time at the start of a run


def play(size: WorldSize, path: list[str], break_: str = "", to_end: bool = False) -> World:
    """Replay a run by its path, and finish it if no action is left.

    :param break_: the deliberate break that is in force; "" for none.
    :param to_end: whether to finish it even if actions are left, unless a property is violated.
    """
    with broken(break_):
        world = World(size)
        for label in path:
            world.apply(label)
        if world.over or not world.actions() or (to_end and not world.violations):
            world.finish()
    return world


def describe(
    size: WorldSize, path: list[str], world: World, violation: Violation, break_: str
) -> dict[str, Any]:
    """Return a counterexample in the format that `--replay` reads.

    :param world: the world in which the path was played.
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
    """Write a counterexample to a file atomically."""
    part = path.with_name(path.name + ".part")
    part.write_text(json.dumps(counterexample, indent=1) + "\n", encoding="utf-8")
    part.replace(path)
