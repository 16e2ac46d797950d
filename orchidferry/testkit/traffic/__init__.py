"""Recorded traffic: logs and HAR files read, mapped to classes, recorded, and `orchidferry traffic`."""

from __future__ import annotations

import argparse
from typing import Any

ABOUT = "recorded traffic: from access logs and HAR files to a recording, and what is in it"
EXAMPLE = "orchidferry traffic import access.log.gz --format combined --classes classes.toml --to monday.rec"


def arguments(traffic: Any) -> None:
    """Add the commands of `orchidferry traffic`.

    :param traffic: the parser of `orchidferry traffic`.
    """
    kinds = traffic.add_subparsers(dest="what", metavar="WHAT", required=True)
    _add_import(kinds)
    _add_show(kinds)
    _add_export(kinds)
    _add_replay(kinds)
    _add_generate(kinds)


def _add_import(kinds: Any) -> None:
    parser = kinds.add_parser(
        "import",
        help="access logs and HAR files into a recording",
        description="Reads plain, gzip and zstd files in constant memory. Clients and objects become keyed "
        "hashes; paths, queries, addresses, cookies and bodies are not kept.",
        epilog=f"example: {EXAMPLE}; exit status: 0 done, 1 more can't be read than may be, 2 bad input",
    )
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.add_argument("--to", required=True, metavar="RECORDING", help="the recording that is made")
    parser.add_argument(
        "--format",
        default="combined",
        metavar="FORM",
        help="of logs: common, combined (the default), alb, an Apache LogFormat or nginx log_format string, "
        "json:KEY=FIELD,... or tab:KEY=COLUMN,...",
    )
    parser.add_argument("--classes", metavar="FILE.toml", help="the classes; without it they are proposed")
    parser.add_argument("--zone", default="UTC", metavar="ZONE", help="of times that name none (UTC)")
    parser.add_argument(
        "--seed", type=int, default=0, metavar="N", help="of times spread within a second (0)"
    )
    parser.add_argument(
        "--shift", action="append", default=[], metavar="FILE=S", help="put a file's clock on by so much"
    )
    parser.add_argument("--window", type=float, default=30.0, metavar="S", help="for a retry (30)")
    parser.add_argument("--rejects", metavar="FILE", help="where rejected lines go (RECORDING.rejects.jsonl)")
    parser.add_argument(
        "--rejects-share", type=float, default=0.05, metavar="SHARE", help="that may be rejected (0.05)"
    )
    parser.add_argument("--workers", type=int, default=0, metavar="N", help="processes (one a core)")
    parser.add_argument("--json", metavar="FILE", help="write what was done there")


def _add_show(kinds: Any) -> None:
    parser = kinds.add_parser(
        "show",
        help="what is in a recording",
        epilog="example: orchidferry traffic show monday.rec; exit status: 0 done, 2 no recording",
    )
    parser.add_argument("recording", metavar="RECORDING")
    parser.add_argument("--json", action="store_true", help="all figures, the rate by second too")
    parser.add_argument("--report", metavar="FILE.html", help="write a page with plots there")


def _add_export(kinds: Any) -> None:
    parser = kinds.add_parser(
        "export",
        help="a recording as a log of JSON lines, with its classes file",
        description="Writes FILE and FILE.classes.toml. What it tells is what the recording holds: clients "
        "and objects by their hashes.",
        epilog="example: orchidferry traffic export monday.rec --to monday.jsonl; exit status: 0 done, 2 no "
        "recording",
    )
    parser.add_argument("recording", metavar="RECORDING")
    parser.add_argument("--to", required=True, metavar="FILE")


def _add_replay(kinds: Any) -> None:
    parser = kinds.add_parser(
        "replay",
        help="a recording as the load of a rehearsal, or of one target",
        description="Sends what was recorded, when it was recorded, through the rehearsal's clients: to the "
        "kit's own world, under the same judge, or to a --target. Unsafe classes go to what the kit started "
        "and what proves it; to a --target they go only if --send names both, and marked.",
        epilog="example: orchidferry traffic replay monday.rec --speed 5 --from 10m --to 20m; exit status: 0 "
        "no rule broken, 1 a rule broken, the run cut off or void, 2 bad input, 130 interrupted",
    )
    parser.add_argument("recording", nargs="+", metavar="RECORDING", help="several are laid over each other")
    parser.add_argument(
        "--scenario", default="replay", metavar="SCENARIO|FILE.toml", help="the world and its faults (replay)"
    )
    replay_arguments(parser, named=False)
    parser.add_argument("--seed", type=int, metavar="N", help="in place of the scenario's")
    parser.add_argument("--seconds", type=float, metavar="S", help="of arrivals at most")
    parser.add_argument("--protocol", choices=("h1", "h3"), help="that clients and servers speak")
    parser.add_argument("--json", metavar="FILE", help="write the verdict there, complete or not")
    parser.add_argument("--report", metavar="FILE.html", help="write a page with plots there")
    parser.add_argument("--keep", metavar="FOLDER", help="leave the record and the nodes' logs there")
    parser.add_argument("--target", metavar="URL", help="http://ADDRESS:PORT that the kit did not start")
    parser.add_argument(
        "--send",
        action="append",
        default=[],
        metavar="CLASS@URL",
        help="this class may go to that target, marked, though it is unsafe or the target no loopback",
    )
    parser.add_argument("--classes", metavar="FILE.toml", help="its methods and paths, for a --target")


def _add_generate(kinds: Any) -> None:
    parser = kinds.add_parser(
        "generate",
        help="a log and a HAR of a morning with publish spikes, drawn by seed",
        epilog="example: orchidferry traffic generate monday --rate 50 --seconds 3600; exit status: 0 done, "
        "2 bad usage",
    )
    parser.add_argument("folder", metavar="FOLDER")
    parser.add_argument("--rate", type=float, default=50.0, metavar="R", help="first tries a second (50)")
    parser.add_argument("--seconds", type=float, default=3_600.0, metavar="S", help="of traffic (3600)")
    parser.add_argument("--seed", type=int, default=7, metavar="N", help="(7)")


def replay_arguments(parser: Any, named: bool = True) -> None:
    """Add the options of a replay.

    :param parser: of the command.
    :param named: whether the recording is an option too.
    """
    if named:
        parser.add_argument(
            "--recording", action="append", default=[], metavar="FILE", help="replay it; repeat to lay over"
        )
    parser.add_argument("--speed", type=float, metavar="X", help="of the recording's own time (1)")
    parser.add_argument("--from", dest="from_", metavar="T", help="of the recording, such as 10m")
    parser.add_argument("--to", metavar="T", help="of the recording, such as 20m")
    parser.add_argument("--loop", action="store_true", help="again and again, up to the scenario's length")
    parser.add_argument("--scale", type=float, metavar="SHARE", help="of its clients, with all they ask (1)")
    parser.add_argument(
        "--retries",
        choices=("kit", "recorded"),
        help="whose are sent: the kit's clients' own (the default), or those of the recording",
    )


def main(args: argparse.Namespace) -> int:
    """Run a command of `orchidferry traffic`.

    :returns: the exit status.
    """
    from orchidferry.testkit.traffic import (
        command,  # it needs the kit's libraries, which asking for help does not
    )

    return command.main(args)
