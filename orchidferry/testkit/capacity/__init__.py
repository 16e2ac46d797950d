"""`orchidferry capacity`: what each role of the mesh costs by size, and the slopes that it has."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

ABOUT = "what each role of the mesh costs at 12 to 1,500 nodes, and the slopes by nodes, services and calls"
EXAMPLE = "orchidferry capacity --json capacity.json --plot capacity.png"


def arguments(parser: Any) -> None:
    """Give the command's parser its options."""
    parser.add_argument(
        "--nodes", default="12,100,300,740,1500", metavar="LIST", help="sizes (12,100,300,740,1500)"
    )
    parser.add_argument(
        "--services", default="2,50", metavar="LIST", help="at the size nearest 740, beside its own (2,50)"
    )
    parser.add_argument(
        "--calls", default="50,100,200", metavar="LIST", help="calls a second at one node (50,100,200)"
    )
    parser.add_argument("--only", metavar="NAME,...", help="of processes, fleets, hours, calls, claims (all)")
    parser.add_argument(
        "--seconds", type=float, default=1.0, metavar="S", help="of each round of a measurement (1)"
    )
    parser.add_argument("--json", metavar="FILE", help="write the figures there")
    parser.add_argument("--compare", nargs=2, metavar="FILE", help="two runs' files: which figures agree")
    parser.add_argument("--plot", metavar="FILE.png", help="draw them there")


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status."""
    from orchidferry.testkit.capacity.plan import PlanError, read_plan
    from orchidferry.testkit.mesh.processes import missing_library

    if args.compare:
        from orchidferry.testkit.capacity import compare

        return compare.main(*args.compare)
    try:
        plan = read_plan(args.nodes, args.services, args.calls, args.only, args.seconds)
        for path in (args.json, args.plot):
            if path and not Path(path).resolve().parent.is_dir():
                raise PlanError(f"{path}: no such folder")
        if lacking := missing_library():
            raise PlanError(f"the library {lacking} is missing: pip install 'orchidferry[mesh]'")
    except PlanError as problem:
        print(f"orchidferry capacity: {problem}", file=sys.stderr)
        return 2
    from orchidferry.testkit.capacity import run

    return run.main(plan, args.json, args.plot)
