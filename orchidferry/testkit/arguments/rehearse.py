"""Arguments of `orchidferry rehearse`."""

from __future__ import annotations

import argparse
from typing import Any

from orchidferry.testkit import traffic

EXAMPLE = "orchidferry rehearse slow-server --seed 7 --report slow.html"


def add_parser(commands: Any) -> None:
    """Add the command's parser.

    :param commands: the subparsers of the console script
    """
    parser: argparse.ArgumentParser = commands.add_parser(
        "rehearse",
        help="play an incident on real nodes between stand-ins, and judge the four rules",
        description="Starts stand-in tiers, discovery and clients on loopback with real nodes between them, "
        "plays a scenario, and judges the four rules and the service from outside.",
        epilog=f"example: {EXAMPLE}; exit status: 0 no rule broken, 1 a rule broken, the run "
        "cut off or void, 2 bad input, 130 interrupted",
    )
    _add_scenario(parser)
    _add_outputs(parser)
    parser.add_argument(
        "--no-fleet", action="store_true", help="with nodes that know nothing of each other, over whole links"
    )
    traffic.replay_arguments(parser)


def _add_scenario(parser: argparse.ArgumentParser) -> None:
    """What is played."""
    parser.add_argument("scenario", nargs="?", metavar="SCENARIO|FILE.toml", help="a shipped one, or a file")
    parser.add_argument("--list", action="store_true", help="tell the shipped scenarios, a line each")
    parser.add_argument("--seed", type=int, metavar="N", help="in place of the scenario's")
    parser.add_argument(
        "--seeds", type=int, metavar="N", help="days of the mesh: N runs, each under the next seed"
    )
    parser.add_argument("--seconds", type=float, metavar="S", help="of arrivals, in place of the scenario's")
    parser.add_argument(
        "--protocol", choices=("h1", "h3"), help="that clients and servers speak, in place of the scenario's"
    )
    parser.add_argument(
        "--loss", type=float, metavar="SHARE", help="of datagrams, each way, with h3; such as 0.01"
    )


def _add_outputs(parser: argparse.ArgumentParser) -> None:
    """Where results go."""
    parser.add_argument("--json", metavar="FILE", help="write the verdict there, complete or not")
    parser.add_argument("--report", metavar="FILE.html", help="write a page with plots there")
    parser.add_argument("--keep", metavar="FOLDER", help="leave the record and the nodes' logs there")
