"""Exploration of all interleavings of small worlds around the shipping code: `orchidferry explore`."""

from __future__ import annotations

import argparse
from typing import Any

ABOUT = "explore every interleaving of a small world around the shipping code, and check its properties"
EXAMPLE = "orchidferry explore --clients 2 --servers 2 --events 3"


def arguments(parser: Any) -> None:
    """Add the command's options to its parser."""
    parser.add_argument(
        "--of",
        choices=("node", "fleet", "slots", "mesh-shards", "mesh-keys", "worst-days"),
        default="node",
        help="the world to explore: a node among its peers, the membership of a few nodes (fleet), slots "
        "among three voters, controllers of the mesh with configurations and owners (mesh-shards) or "
        "with operation keys (mesh-keys), or the worst days of both (default: node)",
    )
    parser.add_argument("--nodes", type=int, default=3, metavar="N", help="nodes of a fleet (3)")
    parser.add_argument("--askers", type=int, default=2, metavar="N", help="clients that request a slot (2)")
    parser.add_argument(
        "--bound", type=int, default=1, metavar="N", help="slots that may be held at once (1)"
    )
    parser.add_argument(
        "--faults",
        type=int,
        default=2,
        metavar="N",
        help="faults in one run of a fleet, slots or the mesh (2)",
    )
    parser.add_argument(
        "--clients", type=int, default=2, metavar="N", help="clients of a node, with one request each (2)"
    )
    parser.add_argument("--servers", type=int, default=2, metavar="N", help="servers of a node (2)")
    parser.add_argument(
        "--events", type=int, default=3, metavar="N", help="disturbances in one run of a node (3)"
    )
    parser.add_argument(
        "--attempts", type=int, default=2, metavar="N", help="attempts at one request at most (2)"
    )
    parser.add_argument(
        "--kinds",
        metavar="LIST",
        help="kinds of request of a node's clients, in turn (pay,save,read), or of fault in the mesh "
        "(all that a scene has)",
    )
    parser.add_argument("--scene", metavar="LIST", help="scenes of the mesh (all); --list-scenes lists them")
    parser.add_argument("--list-scenes", action="store_true", help="list the scenes, one per line")
    parser.add_argument(
        "--cold", type=int, default=0, metavar="N", help="servers of a node that have just started (0)"
    )
    parser.add_argument("--workers", type=int, default=0, metavar="N", help="processes (one per core)")
    parser.add_argument(
        "--seconds", type=float, default=3_600.0, metavar="S", help="time limit in seconds (3600)"
    )
    parser.add_argument(
        "--no-merge", action="store_true", help="explore the whole tree, without merging equal states"
    )
    parser.add_argument(
        "--keep", metavar="FILE", help="save an interrupted search of a node there, and resume it from there"
    )
    parser.add_argument(
        "--walk", type=float, metavar="S", help="play random runs for this many seconds, in place of all runs"
    )
    parser.add_argument("--seed", type=int, default=1, metavar="N", help="seed of the random runs (1)")
    parser.add_argument(
        "--break", dest="break_", default="", metavar="NAME", help="apply a deliberate break to the code"
    )
    parser.add_argument("--list-breaks", action="store_true", help="list the deliberate breaks, one per line")
    parser.add_argument("--replay", metavar="FILE", help="replay a counterexample")
    parser.add_argument("--out", metavar="FILE", help="write the counterexample there")
    parser.add_argument("--json", metavar="FILE", help="write the result there")


def main(args: argparse.Namespace) -> int:
    """Run the command and return its exit status.

    0: no counterexample; 1: a counterexample; 2: wrong usage; 130: interrupted.
    """
    from orchidferry.testkit.explore import command

    return command.main(args)
