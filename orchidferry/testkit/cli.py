"""The console script `orchidferry`: with no arguments the node, else one of the kit's commands.

Nothing of the kit is imported before its command is asked for, as small machines have none of its libraries.
Exit status: 0 done, 1 a rule broken or a proof missed, 2 bad input or usage, 130 interrupted.
"""

from __future__ import annotations

import argparse
import importlib
import os
import sys

from orchidferry.testkit import capacity, control, explore, fleet, traffic

EXAMPLES = {
    "rehearse": "orchidferry rehearse slow-server --seed 7 --report slow.html",
    "bench": "orchidferry bench spread slow-server --runs 5",
}
MESH_ROLES = ("proxy", "controller")  # they read their own words: nothing of the kit is loaded for them
PACKAGES = {
    "control": control,
    "traffic": traffic,
    "explore": explore,
    "fleet": fleet,
    "capacity": capacity,
}  # each brings its arguments, and no library


class _Parser(argparse.ArgumentParser):
    """Says what is wrong in one line."""

    def error(self, message: str) -> None:  # type: ignore[override]
        print(f"{self.prog}: {message}; see {self.prog} --help", file=sys.stderr)
        raise SystemExit(2)


def _parser() -> argparse.ArgumentParser:
    parser = _Parser(
        prog="orchidferry",
        description="A load-balancing node, and its test and rehearsal kit. With no command: the node, "
        "from the file that NODE_CONFIG names. The roles of the mesh are `orchidferry proxy` and "
        "`orchidferry controller`: see their --help.",
        epilog=f"example: {EXAMPLES['rehearse']}",
    )
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    rehearse = commands.add_parser(
        "rehearse",
        help="play an incident on real nodes between stand-ins, and judge the four rules",
        description="Starts stand-in tiers, discovery and clients on loopback with real nodes between them, "
        "plays a scenario, and judges the four rules and the service from outside.",
        epilog=f"example: {EXAMPLES['rehearse']}; exit status: 0 no rule broken, 1 a rule broken, the run "
        "cut off or void, 2 bad input, 130 interrupted",
    )
    rehearse.add_argument(
        "scenario", nargs="?", metavar="SCENARIO|FILE.toml", help="a shipped one, or a file"
    )
    rehearse.add_argument("--list", action="store_true", help="tell the shipped scenarios, a line each")
    rehearse.add_argument("--seed", type=int, metavar="N", help="in place of the scenario's")
    rehearse.add_argument(
        "--seeds", type=int, metavar="N", help="days of the mesh: N runs, each under the next seed"
    )
    rehearse.add_argument(
        "--seconds", type=float, metavar="S", help="of arrivals, in place of the scenario's"
    )
    rehearse.add_argument(
        "--protocol", choices=("h1", "h3"), help="that clients and servers speak, in place of the scenario's"
    )
    rehearse.add_argument(
        "--loss", type=float, metavar="SHARE", help="of datagrams, each way, with h3; such as 0.01"
    )
    rehearse.add_argument("--json", metavar="FILE", help="write the verdict there, complete or not")
    rehearse.add_argument("--report", metavar="FILE.html", help="write a page with plots there")
    rehearse.add_argument("--keep", metavar="FOLDER", help="leave the record and the nodes' logs there")
    rehearse.add_argument(
        "--no-fleet", action="store_true", help="with nodes that know nothing of each other, over whole links"
    )
    traffic.replay_arguments(rehearse)
    _add_bench(commands)
    for name, package in PACKAGES.items():
        package.arguments(commands.add_parser(name, help=package.ABOUT, epilog=f"example: {package.EXAMPLE}"))
    return parser


def _add_bench(commands: argparse._SubParsersAction[_Parser]) -> None:
    bench = commands.add_parser(
        "bench",
        help="measure what the kit can do on this machine",
        description="Measurements that are too long for CI; each tells the machine's size.",
        epilog=f"example: {EXAMPLES['bench']}",
    )
    kinds = bench.add_subparsers(dest="what", metavar="WHAT", required=True)
    kinds.add_parser("lists", help="what a long list holds up in a node, by fleet size")
    kinds.add_parser("rehearsal", help="how much the kit drives before a run is void")
    for name, about, runs in (
        ("spread", "one scenario and seed, several times", 5),
        ("retries", "a scenario with and without retries", 1),
    ):
        kind = kinds.add_parser(name, help=about, epilog=f"example: orchidferry bench {name} slow-server")
        kind.add_argument("scenario", metavar="SCENARIO|FILE.toml")
        kind.add_argument("--runs", type=int, default=runs, metavar="N", help=f"each ({runs})")
    kinds.add_parser("apply", help="what a version of the configuration costs a node, by fleet size")
    kind = kinds.add_parser(
        "ingest",
        help="how fast logs become a recording, and in how much memory",
        epilog="example: orchidferry bench ingest --mb 1000",
    )
    kind.add_argument("--mb", type=float, default=1_000.0, metavar="N", help="of plain log (1000)")
    kind.add_argument("--workers", type=int, default=0, metavar="N", help="processes (one a core)")
    kind = kinds.add_parser(
        "chain",
        help="budgets down the chain: their cost, and a stall of the last of four tiers, in virtual time",
        epilog="example: orchidferry bench chain --servers 1000 --seeds 2",
    )
    kind.add_argument("--servers", type=int, default=1_000, metavar="N", help="over all tiers (1000)")
    kind.add_argument("--load", type=float, default=0.8, metavar="SHARE", help="of the capacity (0.8)")
    kind.add_argument("--seeds", type=int, default=2, metavar="N", help="(2)")
    kind = kinds.add_parser(
        "worth",
        help="service by class where the last tier is too small, by what its nodes know of worth",
        epilog="example: orchidferry bench worth --runs 2",
    )
    kind.add_argument("--runs", type=int, default=1, metavar="N", help="seeds of each (1)")
    kind = kinds.add_parser(
        "moves",
        help="moves between pools in virtual time: false alarms, time to an undo, cost of a route",
        epilog="example: orchidferry bench moves --seeds 20",
    )
    kind.add_argument(
        "--seeds", type=int, default=20, metavar="N", help="of each shape; equal pools 10 N (20)"
    )
    kind = kinds.add_parser(
        "replay",
        help="whether a replay is what was recorded: shares, gaps, lateness, retries",
        epilog="example: orchidferry bench replay --rate 20 --seconds 3600 --speed 5 --cut 600",
    )
    for flag, default, about in (
        ("--rate", 20.0, "first tries a second of the recorded morning"),
        ("--seconds", 3_600.0, "of it"),
        ("--speed", 5.0, "at which all of it is replayed"),
        ("--cut", 600.0, "seconds of it that are replayed in their own time"),
    ):
        kind.add_argument(flag, type=float, default=default, metavar="N", help=f"{about} ({default:g})")
    kind.add_argument("--seed", type=int, default=7, metavar="N", help="(7)")
    kind = kinds.add_parser(
        "libraries",
        help="QUIC libraries side by side: CPU a request, memory a connection",
        epilog="example: pip install qh3 && orchidferry bench libraries",
    )
    kind.add_argument("--requests", type=int, default=2_000, metavar="N", help="of each measurement (2000)")
    kind.add_argument("--turns", type=int, default=3, metavar="N", help="of each; the best counts (3)")
    kind = kinds.add_parser(
        "decisions",
        help="what a request and a list change cost in the decision module, by fleet size",
        epilog="example: orchidferry bench decisions --against ../before",
    )
    kind.add_argument("--requests", type=int, default=5_000, metavar="N", help="of each measurement (5000)")
    kind.add_argument("--against", metavar="FOLDER", help="another checkout, measured by turns")
    kind = kinds.add_parser(
        "forward",
        help="CPU a request of the whole node, beside a bare forwarder",
        epilog="example: orchidferry bench forward --servers 1000 --turns 5",
    )
    kind.add_argument("--servers", type=int, metavar="N", help="that many only (10, then 1000)")
    kind.add_argument("--rate", type=float, default=500.0, metavar="R", help="requests a second (500)")
    kind.add_argument("--seconds", type=float, default=6.0, metavar="S", help="of each turn (6)")
    kind.add_argument("--turns", type=int, default=3, metavar="N", help="of each (3)")
    kind.add_argument("--protocol", choices=("h1", "h3"), default="h1", help="h3: HTTP/3 beside HTTP/1.1")
    kind.add_argument("--mix", action="store_true", help="all classes; else those safe to repeat alone")
    kind.add_argument("--against", metavar="FOLDER", help="another checkout's node, in turn too")
    kind = kinds.add_parser(
        "fleet",
        help="rehearsals of a fleet over many seeds, and some with nodes that know nothing of each other",
        epilog="example: orchidferry bench fleet --seeds 20 --off 5 --at-once 2",
    )
    kind.add_argument(
        "--scenarios",
        nargs="+",
        default=["fleet-split", "fleet-loss", "fleet-pauses"],
        metavar="NAME",
        help="(fleet-split fleet-loss fleet-pauses)",
    )
    kind.add_argument("--seeds", type=int, default=20, metavar="N", help="of each (20)")
    kind.add_argument("--off", type=int, default=5, metavar="N", help="of each, with the fleet off (5)")
    kind.add_argument("--at-once", type=int, default=1, metavar="N", help="rehearsals side by side (1)")
    kind = kinds.add_parser(
        "members",
        help="who knows of a death when, in virtual time, by fleet size and loss",
        epilog="example: orchidferry bench members --nodes 100,1000 --loss 0,0.3 --plot members.png",
    )
    kind.add_argument("--nodes", default="100,1000,5000", metavar="LIST", help="(100,1000,5000)")
    kind.add_argument("--loss", default="0,0.1,0.3", metavar="LIST", help="of datagrams (0,0.1,0.3)")
    kind.add_argument("--seconds", type=float, default=30.0, metavar="S", help="after the death (30)")
    kind.add_argument("--seed", type=int, default=1, metavar="N", help="(1)")
    kind.add_argument("--plot", metavar="FILE.png", help="draw it there")
    kind = kinds.add_parser(
        "peers",
        help="memory and CPU of one real node in a fleet of many",
        epilog="example: orchidferry bench peers --peers 999",
    )
    kind.add_argument("--peers", type=int, default=999, metavar="N", help="(999)")
    kind.add_argument("--seconds", type=float, default=20.0, metavar="S", help="measured (20)")
    kind = kinds.add_parser(
        "mesh",
        help="what the mesh costs: claims, requests, memory, bytes of an idle mesh, news",
        epilog="example: orchidferry bench mesh --only claims,requests --plot mesh.png",
    )
    kind.add_argument("--only", metavar="NAME,...", help="of claims, requests, memory, bytes, news (all)")
    kind.add_argument("--seconds", type=float, default=2.0, metavar="S", help="of each measurement (2)")
    kind.add_argument("--turns", type=int, default=3, metavar="N", help="of each (3)")
    kind.add_argument("--nodes", default="100", metavar="LIST", help="of news in virtual time (100)")
    kind.add_argument("--plot", metavar="FILE.png", help="draw it there")
    for kind in kinds.choices.values():
        kind.add_argument("--json", metavar="FILE", help="write the figures there")


def main() -> int:
    """The program."""
    if len(sys.argv) < 2:
        from orchidferry.node.main import main as node

        return node()
    if sys.argv[1] in MESH_ROLES:
        from orchidferry.mesh.__main__ import main as role

        return role(sys.argv[1:])
    try:
        args = _parser().parse_args()
        if args.command is None:
            print("orchidferry: a command is missing; see orchidferry --help", file=sys.stderr)
            return 2
        try:
            command = importlib.import_module(f"orchidferry.testkit.{args.command}")
        except ModuleNotFoundError as problem:
            if problem.name is None or problem.name.partition(".")[0] in ("orchidferry",):
                raise
            needs = f"{args.command} needs {problem.name}"
            print(f"orchidferry: {needs}: pip install 'orchidferry[kit]'", file=sys.stderr)
            return 2
        status = int(command.main(args))
        sys.stdout.flush()
        return status
    except KeyboardInterrupt:
        return 130
    except BrokenPipeError:  # whoever read this has gone; the interpreter must not fail on it at its end
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        return 1


if __name__ == "__main__":
    sys.exit(main())
