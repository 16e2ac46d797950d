"""A control service for rehearsals and tests, and `orchidferry control`."""

from __future__ import annotations

import argparse
import os
from typing import Any

ABOUT = (
    "what nodes hold of the configuration that a control service sends them, and a stand-in of such a service"
)
EXAMPLE = "orchidferry control status 10.0.0.4:19000 10.0.0.5:19000"
PUSH = (
    "orchidferry control push v8.toml --to 127.0.0.1:18000 --canary 1 --doors 127.0.0.1:19000 127.0.0.1:19001"
)


def arguments(control: Any) -> None:
    """Give the command's parser its own commands."""
    kinds = control.add_subparsers(dest="what", metavar="WHAT", required=True)
    status = kinds.add_parser(
        "status",
        help="what each node holds, since when, what it refused last and why",
        description="Asks each node at its operators' door (admin_addr).",
        epilog=f"example: {EXAMPLE}; exit status: 0 all hold the same, 1 they don't or one says nothing, "
        "2 bad usage",
    )
    status.add_argument("nodes", nargs="+", metavar="HOST:PORT", help="the operators' doors")
    status.add_argument("--json", action="store_true", help="all that they say, by address")
    diff = kinds.add_parser(
        "diff",
        help="what differs between two versions",
        description="Each is a file (TOML, JSON, or a node's last-good), or host:port of the stand-in.",
        epilog="example: orchidferry control diff 127.0.0.1:18000 v8.toml; exit status: 0 they mean the "
        "same, 1 they don't, 2 bad input",
    )
    diff.add_argument("before", metavar="FILE|HOST:PORT")
    diff.add_argument("after", metavar="FILE|HOST:PORT")
    push = kinds.add_parser(
        "push",
        help="take a version to some nodes first, and on or back by what is seen of them",
        description="Each wave must acknowledge the version and is then watched at its nodes' doors beside "
        "the nodes that have not got it. A refusal, a node that stays away or more failed answers than "
        "elsewhere take it back everywhere; so does the end of this command before it is through.",
        epilog=f"example: {PUSH}; exit status: 0 every node has it, 1 it was taken back, 2 bad input",
    )
    push.add_argument("file", metavar="FILE", help="the version, TOML or JSON")
    push.add_argument("--to", required=True, metavar="HOST:PORT", help="the stand-in service")
    push.add_argument("--canary", type=int, required=True, metavar="N", help="nodes of the first wave")
    push.add_argument(
        "--widen", type=float, default=4.0, metavar="F", help="each wave: F times all before (4)"
    )
    push.add_argument("--watch", type=float, default=10.0, metavar="S", help="seconds a wave is watched (10)")
    push.add_argument("--least", type=int, default=20, metavar="N", help="answers a wave must give (20)")
    push.add_argument("--doors", nargs="*", default=[], metavar="HOST:PORT", help="the nodes' doors")
    serve = kinds.add_parser(
        "serve",
        help="a stand-in service on loopback that holds a version",
        epilog="example: orchidferry control serve v7.toml --listen 127.0.0.1:18000; exit status: 0 ended "
        "by a signal or --seconds, 2 bad input",
    )
    serve.add_argument("file", metavar="FILE", help="the version, TOML or JSON")
    serve.add_argument("--listen", default="127.0.0.1:0", metavar="HOST:PORT", help="(127.0.0.1, any port)")
    serve.add_argument("--seconds", type=float, metavar="S", help="end by itself after so long")


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status."""
    if args.what == "status":
        from orchidferry.testkit.control import (
            status,  # the rest of this package needs gRPC, which asking does not
        )

        return status.main(args)
    os.environ.setdefault("GRPC_VERBOSITY", "NONE")  # what went wrong is said here, in one line
    from orchidferry.testkit.control import operate

    return operate.main(args)
