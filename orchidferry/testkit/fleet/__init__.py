"""`orchidferry fleet`: what nodes know of each other, asked at one node's door."""

from __future__ import annotations

import argparse
from typing import Any

ABOUT = "what one node of a fleet knows of the others"
EXAMPLE = "orchidferry fleet status 10.0.0.4:19000"


def arguments(fleet: Any) -> None:
    """Give the command's parser its own commands."""
    kinds = fleet.add_subparsers(dest="what", metavar="WHAT", required=True)
    status = kinds.add_parser(
        "status",
        help="whom it holds for here, suspected, lost or gone, since when and by whose word",
        description="Asks one node at its operators' door (admin_addr). What it says is its own view: "
        "a node that is cut off holds the others for lost.",
        epilog=f"example: {EXAMPLE}; exit status: 0 it takes part and none is suspected or lost, 1 not so, "
        "or no answer, 2 bad usage",
    )
    status.add_argument("node", metavar="HOST:PORT", help="its operators' door")
    status.add_argument("--json", action="store_true", help="all that it says")


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status."""
    from orchidferry.testkit.fleet import status

    return status.main(args)
