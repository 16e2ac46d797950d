"""Recorded traffic: logs and HAR files read, mapped to classes, recorded, and `orchidferry traffic`."""

from __future__ import annotations

import argparse
from typing import Any

ABOUT = "recorded traffic: from access logs and HAR files to a recording, and what is in it"
EXAMPLE = "orchidferry traffic import access.log.gz --format combined --classes classes.toml --to monday.rec"


def arguments(traffic: Any) -> None:
    """Give the command's parser its own commands."""
    kinds = traffic.add_subparsers(dest="what", metavar="WHAT", required=True)
    take = kinds.add_parser(
        "import",
        help="access logs and HAR files into a recording",
        description="Reads plain, gzip and zstd files in constant memory. Clients and objects become keyed "
        "hashes; paths, queries, addresses, cookies and bodies are not kept.",
        epilog=f"example: {EXAMPLE}; exit status: 0 done, 1 more can't be read than may be, 2 bad input",
    )
    take.add_argument("files", nargs="+", metavar="FILE")
    take.add_argument("--to", required=True, metavar="RECORDING", help="the recording that is made")
    take.add_argument(
        "--format", default="combined", metavar="FORM",
        help="of logs: common, combined (the default), alb, an Apache LogFormat or nginx log_format string, "
        "json:KEY=FIELD,... or tab:KEY=COLUMN,...",
    )  # fmt: skip
    take.add_argument("--classes", metavar="FILE.toml", help="the classes; without it they are proposed")
    take.add_argument("--zone", default="UTC", metavar="ZONE", help="of times that name none (UTC)")
    take.add_argument("--seed", type=int, default=0, metavar="N", help="of times spread within a second (0)")
    take.add_argument(
        "--shift", action="append", default=[], metavar="FILE=S", help="put a file's clock on by so much"
    )
    take.add_argument("--window", type=float, default=30.0, metavar="S", help="for a retry (30)")
    take.add_argument("--rejects", metavar="FILE", help="where rejected lines go (RECORDING.rejects.jsonl)")
    take.add_argument(
        "--rejects-share", type=float, default=0.05, metavar="SHARE", help="that may be rejected (0.05)"
    )
    take.add_argument("--workers", type=int, default=0, metavar="N", help="processes (one a core)")
    take.add_argument("--json", metavar="FILE", help="write what was done there")
    show = kinds.add_parser(
        "show",
        help="what is in a recording",
        epilog="example: orchidferry traffic show monday.rec; exit status: 0 done, 2 no recording",
    )
    show.add_argument("recording", metavar="RECORDING")
    show.add_argument("--json", action="store_true", help="all figures, the rate by second too")
    make = kinds.add_parser(
        "generate",
        help="a log and a HAR of a morning with publish spikes, drawn by seed",
        epilog="example: orchidferry traffic generate monday --rate 50 --seconds 3600; exit status: 0 done, "
        "2 bad usage",
    )
    make.add_argument("folder", metavar="FOLDER")
    make.add_argument("--rate", type=float, default=50.0, metavar="R", help="first tries a second (50)")
    make.add_argument("--seconds", type=float, default=3_600.0, metavar="S", help="of traffic (3600)")
    make.add_argument("--seed", type=int, default=7, metavar="N", help="(7)")


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status."""
    from rehearsal.traffic import command  # it needs the kit's libraries, which asking for help does not

    return command.main(args)
