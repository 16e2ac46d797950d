"""`orchidferry capacity`: measures the resource use of each role of the mesh by size, and fits slopes."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

ABOUT = (
    "measure the cost of each role of the mesh at 12 to 1,500 nodes, and slopes by nodes, services and calls"
)
EXAMPLE = "orchidferry capacity --json capacity.json --plot capacity.png"


def arguments(parser: Any) -> None:
    """Add the command's options to its parser."""
    parser.add_argument(
        "--nodes", default="12,100,300,740,1500", metavar="LIST", help="fleet sizes (12,100,300,740,1500)"
    )
    parser.add_argument(
        "--services",
        default="2,50",
        metavar="LIST",
        help="numbers of services to measure at the size nearest 740, besides its default (2,50)",
    )
    parser.add_argument(
        "--calls", default="50,100,200", metavar="LIST", help="calls per second at one node (50,100,200)"
    )
    parser.add_argument(
        "--only", metavar="NAME,...", help="parts to run: processes, fleets, hours, calls, claims (all)"
    )
    parser.add_argument(
        "--seconds", type=float, default=1.0, metavar="S", help="duration of each round of a measurement (1)"
    )
    parser.add_argument("--json", metavar="FILE", help="write the figures to this file")
    parser.add_argument(
        "--compare", nargs=2, metavar="FILE", help="compare the figures in two files written by --json"
    )
    parser.add_argument("--plot", metavar="FILE.png", help="plot the figures to this file")


def main(args: argparse.Namespace) -> int:
    """Run the command and return its exit status."""
    from orchidferry.testkit.capacity.plan import PlanError, parse_plan
    from orchidferry.testkit.mesh.processes import missing_library

    if args.compare:
        from orchidferry.testkit.capacity import compare

        return compare.main(*args.compare)
    try:
        plan = parse_plan(args.nodes, args.services, args.calls, args.only, args.seconds)
        for path in (args.json, args.plot):
            if path and not Path(path).resolve().parent.is_dir():
                raise PlanError(f"{path}: no such folder")
        if missing := missing_library():
            raise PlanError(f"the library {missing} is missing: pip install 'orchidferry[mesh]'")
    except PlanError as error:
        print(f"orchidferry capacity: {error}", file=sys.stderr)
        return 2
    from orchidferry.testkit.capacity import run

    return run.main(plan, args.json, args.plot)
