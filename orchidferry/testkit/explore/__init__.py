"""Every interleaving of a small world, on the code that ships, and `orchidferry explore`."""

from __future__ import annotations

import argparse
from typing import Any

ABOUT = "every interleaving of a small world round the real node, with the four rules as properties"
EXAMPLE = "orchidferry explore --clients 2 --servers 2 --events 3"


def arguments(parser: Any) -> None:
    """Give the command's parser its options."""
    parser.add_argument(
        "--of",
        choices=("node", "fleet", "slots", "mesh-shards", "mesh-keys", "worst-days"),
        default="node",
        help="a node among its peers, the membership of a few nodes, slots among three voters, or keepers of "
        "the mesh: configurations and duties, operation keys, or the worst days of both (node)",
    )
    parser.add_argument("--nodes", type=int, default=3, metavar="N", help="of a fleet (3)")
    parser.add_argument("--askers", type=int, default=2, metavar="N", help="that want a slot (2)")
    parser.add_argument("--bound", type=int, default=1, metavar="N", help="slots at once (1)")
    parser.add_argument(
        "--faults", type=int, default=2, metavar="N", help="of a fleet, slots or the mesh, in one run (2)"
    )
    parser.add_argument("--clients", type=int, default=2, metavar="N", help="that ask once each (2)")
    parser.add_argument("--servers", type=int, default=2, metavar="N", help="(2)")
    parser.add_argument("--events", type=int, default=3, metavar="N", help="disturbances in one run (3)")
    parser.add_argument("--attempts", type=int, default=2, metavar="N", help="at one request at most (2)")
    parser.add_argument(
        "--kinds",
        metavar="LIST",
        help="of the clients in turn (pay,save,read); of the mesh: of faults (all that a scene has)",
    )
    parser.add_argument("--scene", metavar="LIST", help="of the mesh (all); --list-scenes tells them")
    parser.add_argument("--list-scenes", action="store_true", help="tell them, a line each")
    parser.add_argument("--cold", type=int, default=0, metavar="N", help="servers that have just started (0)")
    parser.add_argument("--workers", type=int, default=0, metavar="N", help="processes (one a core)")
    parser.add_argument("--seconds", type=float, default=3_600.0, metavar="S", help="at most (3600)")
    parser.add_argument(
        "--no-merge", action="store_true", help="walk the tree whole, without telling states apart"
    )
    parser.add_argument("--keep", metavar="FILE", help="leave a search that is cut there, and go on from it")
    parser.add_argument("--walk", type=float, metavar="S", help="random runs for so long, in place of all")
    parser.add_argument("--seed", type=int, default=1, metavar="N", help="of these (1)")
    parser.add_argument(
        "--break", dest="break_", default="", metavar="NAME", help="with one of the deliberate breaks"
    )
    parser.add_argument("--list-breaks", action="store_true", help="tell them, a line each")
    parser.add_argument("--replay", metavar="FILE", help="play a counterexample again")
    parser.add_argument("--out", metavar="FILE", help="write a counterexample there")
    parser.add_argument("--json", metavar="FILE", help="write the verdict there")


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status: 0 no counterexample, 1 one, 2 bad usage, 130 interrupted."""
    from orchidferry.testkit.explore import command

    return command.main(args)
