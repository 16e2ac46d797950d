"""Arguments of `orchidferry bench`: one function for each measurement or group of related ones."""

from __future__ import annotations

from typing import Any

EXAMPLE = "orchidferry bench spread slow-server --runs 5"


def add_parser(commands: Any) -> None:
    """Add the command's parser.

    :param commands: the subparsers action of the console script
    """
    bench = commands.add_parser(
        "bench",
        help="run benchmarks that take too long for CI",
        description="Benchmarks that take too long for CI; each prints the size of the machine.",
        epilog=f"example: {EXAMPLE}",
    )
    measurements = bench.add_subparsers(dest="what", metavar="WHAT", required=True)
    _add_rehearsals(measurements)
    measurements.add_parser("apply", help="cost of applying a configuration version on a node, by fleet size")
    _add_ingest(measurements)
    _add_chain(measurements)
    _add_worth(measurements)
    _add_moves(measurements)
    _add_replay(measurements)
    _add_libraries(measurements)
    _add_decisions(measurements)
    _add_forward(measurements)
    _add_fleet(measurements)
    _add_members(measurements)
    _add_peers(measurements)
    _add_mesh(measurements)
    for parser in measurements.choices.values():
        parser.add_argument("--json", metavar="FILE", help="write the figures to this file")


def _add_rehearsals(measurements: Any) -> None:
    measurements.add_parser("lists", help="delay of requests by a long server list, by fleet size")
    measurements.add_parser("rehearsal", help="largest load that the test kit can drive on this machine")
    for name, description, runs in (
        ("spread", "variation between several runs of one scenario and seed", 5),
        ("retries", "effect of retries: a scenario with and without them", 1),
    ):
        parser = measurements.add_parser(
            name, help=description, epilog=f"example: orchidferry bench {name} slow-server"
        )
        parser.add_argument("scenario", metavar="SCENARIO|FILE.toml")
        parser.add_argument(
            "--runs", type=int, default=runs, metavar="N", help=f"runs of each variant ({runs})"
        )


def _add_ingest(measurements: Any) -> None:
    parser = measurements.add_parser(
        "ingest",
        help="throughput and memory of importing logs into a recording",
        epilog="example: orchidferry bench ingest --mb 1000",
    )
    parser.add_argument(
        "--mb", type=float, default=1_000.0, metavar="N", help="size of the uncompressed log in MB (1000)"
    )
    parser.add_argument("--workers", type=int, default=0, metavar="N", help="worker processes (one per core)")


def _add_chain(measurements: Any) -> None:
    parser = measurements.add_parser(
        "chain",
        help="cost of retry budgets, and their effect on a stall of the last of four tiers, in virtual time",
        epilog="example: orchidferry bench chain --servers 1000 --seeds 2",
    )
    parser.add_argument(
        "--servers", type=int, default=1_000, metavar="N", help="servers over all tiers (1000)"
    )
    parser.add_argument(
        "--load", type=float, default=0.8, metavar="SHARE", help="load as a fraction of the capacity (0.8)"
    )
    parser.add_argument("--seeds", type=int, default=2, metavar="N", help="number of seeds (2)")


def _add_worth(measurements: Any) -> None:
    parser = measurements.add_parser(
        "worth",
        help="service by class while the last tier is overloaded, by whether its nodes know of worth",
        epilog="example: orchidferry bench worth --runs 2",
    )
    parser.add_argument("--runs", type=int, default=1, metavar="N", help="seeds of each variant (1)")


def _add_moves(measurements: Any) -> None:
    parser = measurements.add_parser(
        "moves",
        help="moves between pools in virtual time: false rollbacks, time to a rollback, cost of routing",
        epilog="example: orchidferry bench moves --seeds 20",
    )
    parser.add_argument(
        "--seeds", type=int, default=20, metavar="N", help="seeds of each case; 10 N for equal pools (20)"
    )


def _add_replay(measurements: Any) -> None:
    parser = measurements.add_parser(
        "replay",
        help="accuracy of a replay of recorded traffic: shares, gaps, lateness, retries",
        epilog="example: orchidferry bench replay --rate 20 --seconds 3600 --speed 5 --cut 600",
    )
    for flag, default, description in (
        ("--rate", 20.0, "first attempts per second of the recorded traffic"),
        ("--seconds", 3_600.0, "duration of the recorded traffic"),
        ("--speed", 5.0, "speed of the replay of all traffic"),
        ("--cut", 600.0, "seconds of the traffic that are replayed at the original speed"),
    ):
        parser.add_argument(
            flag, type=float, default=default, metavar="N", help=f"{description} ({default:g})"
        )
    parser.add_argument("--seed", type=int, default=7, metavar="N", help="seed (7)")


def _add_libraries(measurements: Any) -> None:
    parser = measurements.add_parser(
        "libraries",
        help="QUIC libraries compared: CPU per request, memory per connection",
        epilog="example: pip install qh3 && orchidferry bench libraries",
    )
    parser.add_argument(
        "--requests", type=int, default=2_000, metavar="N", help="requests of each measurement (2000)"
    )
    parser.add_argument(
        "--turns",
        type=int,
        default=3,
        metavar="N",
        help="repeats of each measurement, of which the best counts (3)",
    )


def _add_decisions(measurements: Any) -> None:
    parser = measurements.add_parser(
        "decisions",
        help="CPU time per request and per list change in the balancing module, by fleet size",
        epilog="example: orchidferry bench decisions --against ../before",
    )
    parser.add_argument(
        "--requests", type=int, default=5_000, metavar="N", help="requests of each measurement (5000)"
    )
    parser.add_argument("--against", metavar="FOLDER", help="another checkout to compare with")


def _add_forward(measurements: Any) -> None:
    parser = measurements.add_parser(
        "forward",
        help="CPU per request of the node, compared with a bare forwarder",
        epilog="example: orchidferry bench forward --servers 1000 --turns 5",
    )
    parser.add_argument("--servers", type=int, metavar="N", help="number of servers (10, then 1000)")
    parser.add_argument("--rate", type=float, default=500.0, metavar="R", help="requests per second (500)")
    parser.add_argument("--seconds", type=float, default=6.0, metavar="S", help="duration of each load (6)")
    parser.add_argument("--turns", type=int, default=3, metavar="N", help="repeats (3)")
    parser.add_argument(
        "--protocol", choices=("h1", "h3"), default="h1", help="h3: compare HTTP/3 with HTTP/1.1"
    )
    parser.add_argument(
        "--mix", action="store_true", help="load of all request classes instead of reads only"
    )
    parser.add_argument("--against", metavar="FOLDER", help="another checkout to compare with")


def _add_fleet(measurements: Any) -> None:
    parser = measurements.add_parser(
        "fleet",
        help="rehearsals of a fleet over many seeds, and some whose nodes do not know of each other",
        epilog="example: orchidferry bench fleet --seeds 20 --off 5 --at-once 2",
    )
    parser.add_argument(
        "--scenarios",
        nargs="+",
        default=["fleet-split", "fleet-loss", "fleet-pauses"],
        metavar="NAME",
        help="scenarios (fleet-split fleet-loss fleet-pauses)",
    )
    parser.add_argument("--seeds", type=int, default=20, metavar="N", help="seeds of each scenario (20)")
    parser.add_argument(
        "--off", type=int, default=5, metavar="N", help="seeds of each scenario without fleet membership (5)"
    )
    parser.add_argument("--at-once", type=int, default=1, metavar="N", help="concurrent rehearsals (1)")


def _add_members(measurements: Any) -> None:
    parser = measurements.add_parser(
        "members",
        help="time until all nodes detect a death, in virtual time, by fleet size and loss",
        epilog="example: orchidferry bench members --nodes 100,1000 --loss 0,0.3 --plot members.png",
    )
    parser.add_argument(
        "--nodes", default="100,1000,5000", metavar="LIST", help="fleet sizes (100,1000,5000)"
    )
    parser.add_argument(
        "--loss", default="0,0.1,0.3", metavar="LIST", help="fractions of lost datagrams (0,0.1,0.3)"
    )
    parser.add_argument(
        "--seconds", type=float, default=30.0, metavar="S", help="simulated time after the death (30)"
    )
    parser.add_argument("--seed", type=int, default=1, metavar="N", help="seed (1)")
    parser.add_argument("--plot", metavar="FILE.png", help="write a plot to this file")


def _add_peers(measurements: Any) -> None:
    parser = measurements.add_parser(
        "peers",
        help="memory and CPU of one real node in a large fleet",
        epilog="example: orchidferry bench peers --peers 999",
    )
    parser.add_argument("--peers", type=int, default=999, metavar="N", help="number of other nodes (999)")
    parser.add_argument(
        "--seconds", type=float, default=20.0, metavar="S", help="duration of the measurement (20)"
    )


def _add_mesh(measurements: Any) -> None:
    parser = measurements.add_parser(
        "mesh",
        help="cost of the mesh: claims, requests, memory, idle traffic, propagation of changes",
        epilog="example: orchidferry bench mesh --only claims,requests --plot mesh.png",
    )
    parser.add_argument(
        "--only", metavar="NAME,...", help="some of claims, requests, memory, bytes, news (all)"
    )
    parser.add_argument("--seconds", type=float, default=2.0, metavar="S", help="duration of each load (2)")
    parser.add_argument("--turns", type=int, default=3, metavar="N", help="repeats (3)")
    parser.add_argument(
        "--nodes", default="100", metavar="LIST", help="mesh sizes for news in virtual time (100)"
    )
    parser.add_argument("--plot", metavar="FILE.png", help="write a plot to this file")
