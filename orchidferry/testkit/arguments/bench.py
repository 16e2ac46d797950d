"""Arguments of `orchidferry bench`: a function for each measurement, or a few that belong together."""

from __future__ import annotations

from typing import Any

EXAMPLE = "orchidferry bench spread slow-server --runs 5"


def add_parser(commands: Any) -> None:
    """Add the command's parser.

    :param commands: the subparsers of the console script
    """
    bench = commands.add_parser(
        "bench",
        help="measure what the kit can do on this machine",
        description="Measurements that are too long for CI; each tells the machine's size.",
        epilog=f"example: {EXAMPLE}",
    )
    kinds = bench.add_subparsers(dest="what", metavar="WHAT", required=True)
    _add_rehearsals(kinds)
    kinds.add_parser("apply", help="what a version of the configuration costs a node, by fleet size")
    _add_ingest(kinds)
    _add_chain(kinds)
    _add_worth(kinds)
    _add_moves(kinds)
    _add_replay(kinds)
    _add_libraries(kinds)
    _add_decisions(kinds)
    _add_forward(kinds)
    _add_fleet(kinds)
    _add_members(kinds)
    _add_peers(kinds)
    _add_mesh(kinds)
    for kind in kinds.choices.values():
        kind.add_argument("--json", metavar="FILE", help="write the figures there")


def _add_rehearsals(kinds: Any) -> None:
    kinds.add_parser("lists", help="what a long list holds up in a node, by fleet size")
    kinds.add_parser("rehearsal", help="how much the kit drives before a run is void")
    for name, about, runs in (
        ("spread", "one scenario and seed, several times", 5),
        ("retries", "a scenario with and without retries", 1),
    ):
        kind = kinds.add_parser(name, help=about, epilog=f"example: orchidferry bench {name} slow-server")
        kind.add_argument("scenario", metavar="SCENARIO|FILE.toml")
        kind.add_argument("--runs", type=int, default=runs, metavar="N", help=f"each ({runs})")


def _add_ingest(kinds: Any) -> None:
    kind = kinds.add_parser(
        "ingest",
        help="how fast logs become a recording, and in how much memory",
        epilog="example: orchidferry bench ingest --mb 1000",
    )
    kind.add_argument("--mb", type=float, default=1_000.0, metavar="N", help="of plain log (1000)")
    kind.add_argument("--workers", type=int, default=0, metavar="N", help="processes (one a core)")


def _add_chain(kinds: Any) -> None:
    kind = kinds.add_parser(
        "chain",
        help="budgets down the chain: their cost, and a stall of the last of four tiers, in virtual time",
        epilog="example: orchidferry bench chain --servers 1000 --seeds 2",
    )
    kind.add_argument("--servers", type=int, default=1_000, metavar="N", help="over all tiers (1000)")
    kind.add_argument("--load", type=float, default=0.8, metavar="SHARE", help="of the capacity (0.8)")
    kind.add_argument("--seeds", type=int, default=2, metavar="N", help="(2)")


def _add_worth(kinds: Any) -> None:
    kind = kinds.add_parser(
        "worth",
        help="service by class where the last tier is too small, by what its nodes know of worth",
        epilog="example: orchidferry bench worth --runs 2",
    )
    kind.add_argument("--runs", type=int, default=1, metavar="N", help="seeds of each (1)")


def _add_moves(kinds: Any) -> None:
    kind = kinds.add_parser(
        "moves",
        help="moves between pools in virtual time: false alarms, time to an undo, cost of a route",
        epilog="example: orchidferry bench moves --seeds 20",
    )
    kind.add_argument(
        "--seeds", type=int, default=20, metavar="N", help="of each shape; equal pools 10 N (20)"
    )


def _add_replay(kinds: Any) -> None:
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


def _add_libraries(kinds: Any) -> None:
    kind = kinds.add_parser(
        "libraries",
        help="QUIC libraries side by side: CPU a request, memory a connection",
        epilog="example: pip install qh3 && orchidferry bench libraries",
    )
    kind.add_argument("--requests", type=int, default=2_000, metavar="N", help="of each measurement (2000)")
    kind.add_argument("--turns", type=int, default=3, metavar="N", help="of each; the best counts (3)")


def _add_decisions(kinds: Any) -> None:
    kind = kinds.add_parser(
        "decisions",
        help="what a request and a list change cost in the decision module, by fleet size",
        epilog="example: orchidferry bench decisions --against ../before",
    )
    kind.add_argument("--requests", type=int, default=5_000, metavar="N", help="of each measurement (5000)")
    kind.add_argument("--against", metavar="FOLDER", help="another checkout, measured by turns")


def _add_forward(kinds: Any) -> None:
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


def _add_fleet(kinds: Any) -> None:
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


def _add_members(kinds: Any) -> None:
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


def _add_peers(kinds: Any) -> None:
    kind = kinds.add_parser(
        "peers",
        help="memory and CPU of one real node in a fleet of many",
        epilog="example: orchidferry bench peers --peers 999",
    )
    kind.add_argument("--peers", type=int, default=999, metavar="N", help="(999)")
    kind.add_argument("--seconds", type=float, default=20.0, metavar="S", help="measured (20)")


def _add_mesh(kinds: Any) -> None:
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
