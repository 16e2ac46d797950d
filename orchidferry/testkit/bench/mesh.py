"""`orchidferry bench mesh`: the cost of a mesh of real processes on loopback; large meshes in virtual time.

Every figure is the median of its repeats, with the minimum and the maximum. CPU time is the kernel's count
for the process (`/proc/PID/task/*/schedstat`), which other work on the machine distorts less than elapsed
time.
"""

from __future__ import annotations

import argparse
import time
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any

import uvloop

from orchidferry.testkit.bench.mesh_claims import measure_claims
from orchidferry.testkit.bench.mesh_propagation import measure_propagation, measure_virtual
from orchidferry.testkit.bench.mesh_requests import measure_requests
from orchidferry.testkit.bench.mesh_resources import measure_idle_traffic, measure_memory
from orchidferry.testkit.bench.mesh_rows import Row
from orchidferry.testkit.mesh.processes import missing_library
from orchidferry.testkit.stop_signals import until_stopped

MIN_NODES = 3
MAX_NODES = 10_000
# Ratio of a panel's largest median to its smallest above which the scale of the panel is logarithmic.
LOGARITHMIC_FROM = 50.0

# Makes the rows of a measurement, given the seconds of each load and the number of repeats.
Measurement = Callable[[float, int], Coroutine[Any, Any, list[Row]]]

MEASUREMENTS: dict[str, Measurement] = {
    "claims": measure_claims,
    "requests": measure_requests,
    "memory": measure_memory,
    "bytes": measure_idle_traffic,
    "news": measure_propagation,
}


def main(args: argparse.Namespace) -> list[Row]:
    """Run the command. A row is broken if claims or requests failed, or a node missed a change.

    :returns: the rows of `--json`.
    :raises ValueError: if an option is invalid.
    """
    names = selected(args.only)
    nodes = [int(text) for text in args.nodes.split(",")]
    _check(args, nodes)
    rows: list[Row] = []
    for name in names:
        print(f"{name}:", flush=True)
        started_s = time.monotonic()
        rows += uvloop.run(until_stopped(MEASUREMENTS[name](args.seconds, args.turns)))
        if name == "news":
            rows += measure_virtual(nodes)
        print(f"  took {time.monotonic() - started_s:.0f} s", flush=True)
    if args.plot:
        plot(rows, args.plot)
    return rows


def selected(only: str | None) -> list[str]:
    """Return the names of the selected measurements.

    :param only: names separated by commas; None for all.
    :raises ValueError: if a name is unknown.
    """
    names = list(MEASUREMENTS) if only is None else only.split(",")
    for name in names:
        if name not in MEASUREMENTS:
            raise ValueError(f"--only {name}: not one of {', '.join(MEASUREMENTS)}")
    return names


def _check(args: argparse.Namespace, nodes: list[int]) -> None:
    if not all(MIN_NODES <= count <= MAX_NODES for count in nodes):
        raise ValueError(f"--nodes must be {MIN_NODES} to {MAX_NODES}, separated by commas")
    if not 0.5 <= args.seconds <= 20.0 or not 1 <= args.turns <= 10:
        raise ValueError("--seconds must be within 0.5 to 20, --turns 1 to 10")
    if args.plot and not Path(args.plot).resolve().parent.is_dir():
        raise ValueError(f"--plot {args.plot}: no such folder")
    if library := missing_library():
        raise ValueError(f"the library {library} is missing: pip install 'orchidferry[mesh]'")


def plot(rows: list[Row], path: str) -> None:
    """Draw a panel for each unit: medians as bars, with error bars from the minimum to the maximum.

    A panel with widely different medians has a logarithmic scale, which is linear below the smallest median.
    """
    from matplotlib.figure import Figure

    units = list(dict.fromkeys(row["unit"] for row in rows))
    heights = [sum(row["unit"] == unit for row in rows) + 2 for unit in units]
    figure = Figure(figsize=(10, 1.2 * len(units) + 0.22 * len(rows)), layout="constrained")
    panels = figure.subplots(len(units), 1, squeeze=False, height_ratios=heights)
    for (axis,), unit in zip(panels, units, strict=True):
        _draw_panel(axis, unit, [row for row in rows if row["unit"] == unit])
    figure.savefig(path, dpi=110)


def _draw_panel(axis: Any, unit: str, rows: list[Row]) -> None:
    colours = {what: f"C{number}" for number, what in enumerate(MEASUREMENTS)}
    positions = range(len(rows))
    medians = [row["median"] for row in rows]
    spread = [
        [row["median"] - row["min"] for row in rows],
        [row["max"] - row["median"] for row in rows],
    ]
    axis.barh(positions, medians, xerr=spread, color=[colours[row["what"]] for row in rows], alpha=0.7)
    axis.set_yticks(positions, [row["name"] for row in rows], fontsize=7)
    axis.invert_yaxis()
    smallest = min((value for value in medians if value > 0.0), default=1.0)
    if max(medians) > LOGARITHMIC_FROM * smallest:
        axis.set_xscale("symlog", linthresh=smallest)
    axis.set_xlabel(unit, fontsize=8)
    axis.grid(alpha=0.25, axis="x")
