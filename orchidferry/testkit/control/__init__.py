"""A stand-in control service for rehearsals and tests, and the commands of `orchidferry control`."""

from __future__ import annotations

import argparse
import os
from typing import Any

ABOUT = "the configuration that nodes have from a control service, and a stand-in for such a service"
EXAMPLE = "orchidferry control status 10.0.0.4:19000 10.0.0.5:19000"
PUSH = (
    "orchidferry control push v8.toml --to 127.0.0.1:18000 --canary 1 --doors 127.0.0.1:19000 127.0.0.1:19001"
)


def arguments(control: Any) -> None:
    """Add the subcommands to the parser of `orchidferry control`."""
    commands = control.add_subparsers(dest="what", metavar="WHAT", required=True)
    status = commands.add_parser(
        "status",
        help="show each node's versions, since when it has them, and its last refusal with the reason",
        description="Asks each node at its admin address (admin_addr).",
        epilog=f"example: {EXAMPLE}; exit status: 0 all nodes have the same versions, 1 they don't or one "
        "does not answer, 2 bad usage",
    )
    status.add_argument("nodes", nargs="+", metavar="HOST:PORT", help="the nodes' admin addresses")
    status.add_argument("--json", action="store_true", help="print the nodes' full status, by address")
    diff = commands.add_parser(
        "diff",
        help="show the differences between two versions",
        description="Each version is a file (TOML, JSON, or a node's last-good), or host:port of a stand-in "
        "service.",
        epilog="example: orchidferry control diff 127.0.0.1:18000 v8.toml; exit status: 0 the versions are "
        "equivalent, 1 they differ, 2 bad input",
    )
    diff.add_argument("before", metavar="FILE|HOST:PORT")
    diff.add_argument("after", metavar="FILE|HOST:PORT")
    push = commands.add_parser(
        "push",
        help="roll a version out to nodes in waves, and roll it back if a wave fails",
        description="The nodes of each wave must acknowledge the version. Then the metrics at their admin "
        "addresses are compared with those of the nodes that don't have it yet. A refusal, a node that stays "
        "unavailable, or more failed answers than elsewhere roll the version back on all nodes; so does the "
        "end of this command before the rollout is complete.",
        epilog=f"example: {PUSH}; exit status: 0 every node has the version, 1 it was rolled back, "
        "2 bad input",
    )
    push.add_argument("file", metavar="FILE", help="the version, TOML or JSON")
    push.add_argument("--to", required=True, metavar="HOST:PORT", help="the stand-in service")
    push.add_argument("--canary", type=int, required=True, metavar="N", help="nodes in the first wave")
    push.add_argument(
        "--widen",
        type=float,
        default=4.0,
        metavar="F",
        help="size of each further wave, as a multiple of all nodes before it (4)",
    )
    push.add_argument(
        "--watch", type=float, default=10.0, metavar="S", help="seconds to observe each wave (10)"
    )
    push.add_argument(
        "--least", type=int, default=20, metavar="N", help="answers needed from a wave to judge it (20)"
    )
    push.add_argument(
        "--doors", nargs="*", default=[], metavar="HOST:PORT", help="the nodes' admin addresses"
    )
    serve = commands.add_parser(
        "serve",
        help="run a stand-in control service on loopback that serves a version",
        epilog="example: orchidferry control serve v7.toml --listen 127.0.0.1:18000; exit status: 0 ended "
        "by a signal or --seconds, 2 bad input",
    )
    serve.add_argument("file", metavar="FILE", help="the version, TOML or JSON")
    serve.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT", help="(127.0.0.1, any port)")
    serve.add_argument("--seconds", type=float, metavar="S", help="exit after this time")


def main(args: argparse.Namespace) -> int:
    """Run the command.

    :returns: the exit status.
    """
    if args.what == "status":
        # Imported here because this command, unlike the rest of the package, does not need gRPC.
        from orchidferry.testkit.control import status

        return status.main(args)
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")  # the command prints errors itself, in one line each
    from orchidferry.testkit.control import operate

    return operate.main(args)
