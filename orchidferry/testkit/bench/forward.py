"""`orchidferry bench forward`: the complete node against a bare forwarder, alternating, at the same rate.

The servers run in a separate process and answer at once, so that only the forwarding is measured. CPU time is
the kernel's count for the process (`/proc/PID/schedstat`). Every response is checked, and a row notes when
the load generator fell behind its schedule.
"""

from __future__ import annotations

import argparse
import json
import statistics
import sys
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

import uvloop

from orchidferry.testkit.bench.forward_bench import WARM_S, Bench, cpu_s, lateness_text, rss_kb, serve
from orchidferry.testkit.bench.open_loop import offer_load, request_writer
from orchidferry.testkit.world.addresses import Block, claim

SIZES = (10, 1_000)  # numbers of servers to measure, unless `--servers` gives one


async def measure(
    bench: Bench, what: str, rate: float, seconds: float, mix: bool, path: str | None
) -> dict[str, Any]:
    """Start a forwarder, offer it a load after a warm-up, and stop it.

    :param what: `node`, `bare`, or `before` for the node of another checkout.
    :param rate: requests per second.
    :param seconds: duration of the measured load.
    :param mix: whether the load is the default mix of classes; otherwise it is reads only.
    :param path: the folder of the other checkout; None for this one.
    :returns: the fields of the `LoadReport`, and the CPU time and memory that the forwarder used.
    """
    process, address = await bench.start(what, path)
    write = request_writer(mix)
    await offer_load(address, rate, WARM_S, "w", write)
    before = cpu_s(process.pid)
    started_s = time.monotonic()
    report = await offer_load(address, rate, seconds, "m", write)
    spent_cpu_s = cpu_s(process.pid) - before
    result = asdict(report) | {
        "what": what,
        "rate": rate,
        "cpu_us": spent_cpu_s / report.asked * 1e6,
        "cpu_share": spent_cpu_s / (time.monotonic() - started_s),
        "rss_kb": rss_kb(process.pid),
    }
    await bench.stop(process)
    return result


async def compare(
    servers: int, rate: float, seconds: float, turns: int, mix: bool, against: str | None
) -> list[dict[str, Any]]:
    """Measure the node, the bare forwarder, and another checkout's node if one is named, alternating.

    :param servers: number of servers that the nodes list.
    :param rate: requests per second.
    :param seconds: duration of each load.
    :param turns: how often each forwarder is measured; a row has the medians.
    :param mix: whether the load is the default mix of classes; otherwise it is reads only.
    :param against: the folder of another checkout.
    :returns: a row for each forwarder, with the keys of `--json`.
    """
    block, block_claim = claim()
    measurements: dict[str, list[dict[str, Any]]] = {}
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as folder:
        bench = Bench(block, Path(folder), servers)
        try:
            await bench.start_servers()
            forwarders = [("node", None), ("bare", None), *([("before", against)] if against else [])]
            for _ in range(turns):
                for what, path in forwarders:
                    row = await measure(bench, what, rate, seconds, mix, path)
                    measurements.setdefault(what, []).append(row)
        finally:
            await bench.close()
            block_claim.close()
    bare_cpu_us = statistics.median(row["cpu_us"] for row in measurements["bare"])
    rows = []
    for what, repeats in measurements.items():
        load = {"what": what, "servers": servers, "rate": rate, "mix": mix, "turns": turns}
        row = load | _median_row(repeats, bare_cpu_us)
        rows.append(row)
        _print_row(row)
    return rows


def _median_row(repeats: list[dict[str, Any]], bare_cpu_us: float) -> dict[str, Any]:
    cpu_us = statistics.median(row["cpu_us"] for row in repeats)
    return {
        "cpu_us": cpu_us,
        "ratio": cpu_us / bare_cpu_us,
        "p50_ms": statistics.median(row["p50_ms"] or 0.0 for row in repeats),
        "p99_ms": statistics.median(row["p99_ms"] or 0.0 for row in repeats),
        "failed": sum(row["failed"] for row in repeats),
        "late_p99_ms": max(row["late_p99_ms"] for row in repeats),
        "rss_kb": max(row["rss_kb"] for row in repeats),
        "most_per_s": 1e6 / cpu_us,
    }


def _print_row(row: dict[str, Any]) -> None:
    print(
        f"{row['servers']:6} servers, {row['rate']:g}/s, {'mix' if row['mix'] else 'reads'}: {row['what']:6} "
        f"{row['cpu_us']:7.1f} us of CPU per request "
        f"({row['ratio']:.2f} times bare, {row['most_per_s']:.0f}/s per core), "
        f"p50 {row['p50_ms']:.2f} ms, p99 {row['p99_ms']:.2f} ms, {row['rss_kb'] / 1024:.1f} MB, "
        f"{row['failed']} failed{lateness_text(row['late_p99_ms'])}",
        flush=True,
    )


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run `orchidferry bench forward`.

    :returns: the rows of `--json`.
    :raises ValueError: if an argument is out of range.
    """
    if not 1.0 <= args.rate <= 20_000.0 or not 0.5 <= args.seconds <= 600.0 or not 1 <= args.turns <= 50:
        raise ValueError("--rate must be within 1 to 20000, --seconds 0.5 to 600, --turns 1 to 50")
    if args.against is not None and not (Path(args.against) / "orchidferry" / "node" / "node.py").is_file():
        raise ValueError(f"--against {args.against}: holds no orchidferry/node/node.py")
    if args.protocol == "h3":
        from orchidferry.testkit.bench import quic

        return quic.main(args)
    rows: list[dict[str, Any]] = []
    for servers in SIZES if args.servers is None else (args.servers,):
        rows += uvloop.run(compare(servers, args.rate, args.seconds, args.turns, args.mix, args.against))
    return rows


def _run_process(arguments: list[str]) -> None:
    """Run a helper process of a measurement.

    :param arguments: `serve BLOCK COUNT [CERTIFICATES]` or `ask HOST PORT RATE SECONDS TAG`.
    """
    if arguments[0] == "serve":
        block = Block(int(arguments[1]))
        files = None
        if len(arguments) > 3:
            from orchidferry.testkit.quic.certs import CertificateFiles

            folder = Path(arguments[3])
            files = CertificateFiles(folder / "ca.pem", folder / "server.pem", folder / "server.key")
        uvloop.run(serve([block.server(number) for number in range(int(arguments[2]))], files))
    else:
        host, port, rate, seconds, tag = arguments[1:6]
        load = offer_load((host, int(port)), float(rate), float(seconds), tag)
        print(json.dumps(asdict(uvloop.run(load))))


if __name__ == "__main__":
    _run_process(sys.argv[1:])
