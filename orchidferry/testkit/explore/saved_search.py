"""Saving an interrupted search to a file, and loading it to resume the search."""

from __future__ import annotations

import json
from dataclasses import asdict
from pathlib import Path

import numpy as np

from orchidferry.testkit.explore.search_totals import COUNTED, Totals
from orchidferry.testkit.explore.state_table import StateTable
from orchidferry.testkit.explore.world_size import WorldSize

FORMAT = 1


def save(path: Path, size: WorldSize, seen: StateTable | None, totals: Totals) -> None:
    """Save an interrupted search; remove the file if there is nothing left to resume.

    :param seen: the states that were visited; None without merging.
    """
    if not totals.remaining_paths or totals.counterexample is not None:
        path.unlink(missing_ok=True)
        return
    head = {
        "format": FORMAT,
        "small": asdict(size),
        "rest": totals.remaining_paths,
        "outcomes": sorted(totals.outcomes),
        **{name: getattr(totals, name) for name in COUNTED},
    }
    states = np.array(list(seen.keys()) if seen is not None else [], np.uint64)
    part = path.with_name(path.name + ".part")
    with part.open("wb") as out:
        np.savez_compressed(out, head=np.array(json.dumps(head)), states=states)
    part.replace(path)


def load(path: Path, size: WorldSize, seen: StateTable | None) -> tuple[Totals, list[list[str]]]:
    """Return a saved search's totals and remaining paths, and add its visited states to `seen`.

    :raises ValueError: if the file is no saved search, or is that of a world of another size.
    """
    try:
        with np.load(path) as data:
            head = json.loads(str(data["head"]))
            states = data["states"]
    except (OSError, KeyError, ValueError) as problem:
        raise ValueError(f"{path}: is no saved search: {problem!s:.80}") from None
    if head.get("format") != FORMAT or head["small"] != json.loads(json.dumps(asdict(size))):
        raise ValueError(f"{path}: is of another world")
    if seen is not None:
        for state in states.tolist():
            seen.add(state)
    # Files of earlier versions have no `too_long`.
    totals = Totals(**{name: head.get(name, 0) for name in COUNTED}, outcomes=set(head["outcomes"]))
    return totals, head["rest"]
