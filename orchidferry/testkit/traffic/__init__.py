"""Recorded traffic: imports logs and HAR files into recordings, and replays them; `orchidferry traffic`."""

from __future__ import annotations

import argparse
from typing import Any

ABOUT = "recorded traffic: import access logs and HAR files, inspect, export and replay recordings"
EXAMPLE = "orchidferry traffic import access.log.gz --format combined --classes classes.toml --to monday.rec"


def arguments(traffic: Any) -> None:
    """Add the commands of `orchidferry traffic`.

    :param traffic: the argument parser of `orchidferry traffic`.
    """
    subparsers = traffic.add_subparsers(dest="what", metavar="WHAT", required=True)
    _add_import(subparsers)
    _add_show(subparsers)
    _add_export(subparsers)
    _add_replay(subparsers)
    _add_generate(subparsers)


def _add_import(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "import",
        help="import access logs and HAR files into a recording",
        description="Reads plain, gzip and zstd files in constant memory. Clients and objects are stored as "
        "keyed hashes; paths, queries, addresses, cookies and bodies are not stored.",
        epilog=f"example: {EXAMPLE}; exit status: 0 done, 1 too many lines were rejected, 2 bad input",
    )
    parser.add_argument("files", nargs="+", metavar="FILE")
    parser.add_argument("--to", required=True, metavar="RECORDING", help="the recording to write")
    parser.add_argument(
        "--format",
        default="combined",
        metavar="FORM",
        help="log format: common, combined (the default), alb, an Apache LogFormat or nginx log_format "
        "string, json:KEY=FIELD,... or tab:KEY=COLUMN,...",
    )
    parser.add_argument("--classes", metavar="FILE.toml", help="classes file (default: propose one)")
    parser.add_argument(
        "--zone", default="UTC", metavar="ZONE", help="time zone of times without a zone (UTC)"
    )
    parser.add_argument(
        "--seed",
        type=int,
        default=0,
        metavar="N",
        help="seed of the random fractions added to times in whole seconds (0)",
    )
    parser.add_argument(
        "--shift", action="append", default=[], metavar="FILE=S", help="add seconds to all times of a file"
    )
    parser.add_argument(
        "--window",
        type=float,
        default=30.0,
        metavar="S",
        help="maximum time from a failed request to its retry (30)",
    )
    parser.add_argument("--rejects", metavar="FILE", help="list of rejected lines (RECORDING.rejects.jsonl)")
    parser.add_argument(
        "--rejects-share",
        type=float,
        default=0.05,
        metavar="SHARE",
        help="share of the lines that may be rejected (0.05)",
    )
    parser.add_argument(
        "--workers", type=int, default=0, metavar="N", help="processes (default: one per core)"
    )
    parser.add_argument("--json", metavar="FILE", help="write the import's report there")


def _add_show(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "show",
        help="show statistics of a recording",
        epilog="example: orchidferry traffic show monday.rec; exit status: 0 done, 2 not a recording",
    )
    parser.add_argument("recording", metavar="RECORDING")
    parser.add_argument("--json", action="store_true", help="print all figures, with the rate per second")
    parser.add_argument("--report", metavar="FILE.html", help="write a page with plots there")


def _add_export(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "export",
        help="export a recording as a log of JSON lines, with its classes file",
        description="Writes FILE and FILE.classes.toml. The log contains no more than the recording: clients "
        "and objects are hashes.",
        epilog="example: orchidferry traffic export monday.rec --to monday.jsonl; exit status: 0 done, 2 not "
        "a recording",
    )
    parser.add_argument("recording", metavar="RECORDING")
    parser.add_argument("--to", required=True, metavar="FILE")


def _add_replay(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "replay",
        help="replay recordings as the load of a rehearsal, or of one target",
        description="Sends the recorded requests at their recorded times with the rehearsal's clients: to "
        "servers that the kit starts, judged as in a rehearsal, or to a --target. Unsafe classes are sent "
        "only to servers that prove that the kit started them; to a --target only if --send names class and "
        "target, and marked as replayed.",
        epilog="example: orchidferry traffic replay monday.rec --speed 5 --from 10m --to 20m; exit status: 0 "
        "no rule broken, 1 a rule broken, the run cut off or void, 2 bad input, 130 interrupted",
    )
    parser.add_argument("recording", nargs="+", metavar="RECORDING", help="several are superimposed")
    parser.add_argument(
        "--scenario",
        default="replay",
        metavar="SCENARIO|FILE.toml",
        help="scenario with servers, nodes and faults (replay)",
    )
    replay_arguments(parser, named=False)
    parser.add_argument("--seed", type=int, metavar="N", help="seed, instead of the scenario's")
    parser.add_argument(
        "--seconds", type=float, metavar="S", help="maximum time in which new requests arrive"
    )
    parser.add_argument("--protocol", choices=("h1", "h3"), help="protocol of clients and servers")
    parser.add_argument("--json", metavar="FILE", help="write the verdict there, complete or not")
    parser.add_argument("--report", metavar="FILE.html", help="write a page with plots there")
    parser.add_argument("--keep", metavar="FOLDER", help="keep the run's record and the nodes' logs there")
    parser.add_argument(
        "--target", metavar="URL", help="send to http://ADDRESS:PORT, which the kit did not start"
    )
    parser.add_argument(
        "--send",
        action="append",
        default=[],
        metavar="CLASS@URL",
        help="allow the class for the target, marked as replayed, if it is unsafe or the target not loopback",
    )
    parser.add_argument(
        "--classes", metavar="FILE.toml", help="methods and paths of the classes, for a --target"
    )


def _add_generate(subparsers: Any) -> None:
    parser = subparsers.add_parser(
        "generate",
        help="generate a log and a HAR of a morning with publication spikes",
        epilog="example: orchidferry traffic generate monday --rate 50 --seconds 3600; exit status: 0 done, "
        "2 bad usage",
    )
    parser.add_argument("folder", metavar="FOLDER")
    parser.add_argument(
        "--rate", type=float, default=50.0, metavar="R", help="first attempts per second (50)"
    )
    parser.add_argument(
        "--seconds", type=float, default=3_600.0, metavar="S", help="length of the traffic (3600)"
    )
    parser.add_argument("--seed", type=int, default=7, metavar="N", help="seed of the traffic (7)")


def replay_arguments(parser: Any, named: bool = True) -> None:
    """Add the options of a replay.

    :param parser: the argument parser of the command.
    :param named: whether recordings are given by the option `--recording`.
    """
    if named:
        parser.add_argument(
            "--recording",
            action="append",
            default=[],
            metavar="FILE",
            help="recording to replay; repeat to superimpose",
        )
    parser.add_argument("--speed", type=float, metavar="X", help="multiple of the recorded speed (1)")
    parser.add_argument("--from", dest="from_", metavar="T", help="start in the recording, such as 10m")
    parser.add_argument("--to", metavar="T", help="end in the recording, such as 20m")
    parser.add_argument("--loop", action="store_true", help="repeat until the scenario's end")
    parser.add_argument(
        "--scale",
        type=float,
        metavar="SHARE",
        help="share of the clients to replay, with all of their requests (1)",
    )
    parser.add_argument(
        "--retries",
        choices=("kit", "recorded"),
        help="send retries of the kit's clients (the default), or the recorded ones",
    )


def main(args: argparse.Namespace) -> int:
    """Run a command of `orchidferry traffic`.

    :param args: the command-line arguments.
    :returns: the exit status.
    """
    from orchidferry.testkit.traffic import (
        command,  # imported here because it needs the kit's libraries, and `--help` does not
    )

    return command.main(args)
