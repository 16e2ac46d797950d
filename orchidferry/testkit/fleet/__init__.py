"""The command `orchidferry fleet`: the fleet's members as one node sees them."""

from __future__ import annotations

import argparse
from typing import Any

ABOUT = "the members of a fleet as one node sees them"
EXAMPLE = "orchidferry fleet status 10.0.0.4:19000"


def arguments(fleet: Any) -> None:
    """Add the subcommands to the command's parser."""
    commands = fleet.add_subparsers(dest="what", metavar="WHAT", required=True)
    status = commands.add_parser(
        "status",
        help="which members are alive, suspected, lost or left, since when, and which node reported it",
        description="Asks one node at its admin address (admin_addr). The answer is this node's own view: "
        "a node that is cut off from the network regards the others as lost.",
        epilog=f"example: {EXAMPLE}; exit status: 0 the node has joined and no member is suspected or lost, "
        "1 otherwise, or if there is no answer, 2 bad usage",
    )
    status.add_argument("node", metavar="HOST:PORT", help="the node's admin address")
    status.add_argument("--json", action="store_true", help="print the complete answer as JSON")


def main(args: argparse.Namespace) -> int:
    """Run the command; returns its exit status."""
    from orchidferry.testkit.fleet import status

    return status.main(args)
