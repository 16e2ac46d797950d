"""Arguments of `orchidferry rehearse`."""

from __future__ import annotations

import argparse
from typing import Any

from orchidferry.testkit import traffic

EXAMPLE = "orchidferry rehearse slow-server --seed 7 --report slow.html"


def add_parser(commands: Any) -> None:
    """Add the command's parser.

    :param commands: the subparsers action of the console script
    """
    parser: argparse.ArgumentParser = commands.add_parser(
        "rehearse",
        help="run a fault scenario on real nodes between stand-ins, and check the four rules",
        description="Starts stand-in tiers, discovery and clients on loopback with real nodes between them, "
        "runs a scenario, and checks the four rules and the service from outside the nodes.",
        epilog=f"example: {EXAMPLE}; exit status: 0 no rule broken, 1 a rule broken, or the run "
        "cut off or void, 2 bad input, 130 interrupted",
    )
    _add_scenario(parser)
    _add_outputs(parser)
    parser.add_argument(
        "--no-fleet",
        action="store_true",
        help="nodes do not know of each other, and the links between them have no faults",
    )
    traffic.replay_arguments(parser)


def _add_scenario(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that select what is run."""
    parser.add_argument(
        "scenario", nargs="?", metavar="SCENARIO|FILE.toml", help="a built-in scenario, or a file"
    )
    parser.add_argument("--list", action="store_true", help="list the built-in scenarios")
    parser.add_argument("--seed", type=int, metavar="N", help="seed, instead of the scenario's")
    parser.add_argument(
        "--seeds", type=int, metavar="N", help="days of the mesh: N runs with consecutive seeds"
    )
    parser.add_argument(
        "--seconds", type=float, metavar="S", help="duration of the load, instead of the scenario's"
    )
    parser.add_argument(
        "--protocol", choices=("h1", "h3"), help="protocol of clients and servers, instead of the scenario's"
    )
    parser.add_argument(
        "--loss",
        type=float,
        metavar="SHARE",
        help="fraction of lost datagrams in each direction, with h3; such as 0.01",
    )


def _add_outputs(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that say where results are written."""
    parser.add_argument(
        "--json", metavar="FILE", help="write the verdict to this file, even if the run is incomplete"
    )
    parser.add_argument("--report", metavar="FILE.html", help="write a page with plots to this file")
    parser.add_argument("--keep", metavar="FOLDER", help="keep the record and the nodes' logs in this folder")
