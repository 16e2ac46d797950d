"""`orchidferry bench forward`: the whole node beside a bare forwarder, at the same offered rate, by turns.

Servers answer at once from a process of their own, so that what is measured is the forwarding. CPU is the
kernel's count for the process (`/proc/PID/schedstat`); its answers are checked, and a run in which the asking
side fell behind is said to be so.
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

from orchidferry.testkit.bench.forward_bench import LATE_MS, WARM_S, Bench, cpu_s, rss_kb, serve
from orchidferry.testkit.bench.open_loop import offer_load, request_writer
from orchidferry.testkit.world.addresses import Block, claim

SIZES = (10, 1_000)  # servers, where none are named


async def measure(
    bench: Bench, what: str, rate: float, seconds: float, mix: bool, path: str | None
) -> dict[str, Any]:
    """One turn of one of them."""
    process, address = await bench.start(what, path)
    write = request_writer(mix)
    await offer_load(address, rate, WARM_S, "w", write)
    before = cpu_s(process.pid)
    began = time.monotonic()
    report = await offer_load(address, rate, seconds, "m", write)
    spent = cpu_s(process.pid) - before
    result = asdict(report) | {
        "what": what,
        "rate": rate,
        "cpu_us": spent / report.asked * 1e6,
        "cpu_share": spent / (time.monotonic() - began),
        "rss_kb": rss_kb(process.pid),
    }
    await bench.stop(process)
    return result


async def compare(
    servers: int, rate: float, seconds: float, turns: int, mix: bool, against: str | None
) -> list[dict[str, Any]]:
    """The node, the bare forwarder, and another checkout's node if one is named, by turns."""
    block, held = claim()
    found: dict[str, list[dict[str, Any]]] = {}
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as folder:
        bench = Bench(block, Path(folder), servers)
        try:
            await bench.start_servers()
            whom = [("node", None), ("bare", None), *([("before", against)] if against else [])]
            for _ in range(turns):
                for what, path in whom:
                    row = await measure(bench, what, rate, seconds, mix, path)
                    found.setdefault(what, []).append(row)
        finally:
            await bench.close()
            held.close()
    rows = []
    bare = statistics.median(row["cpu_us"] for row in found["bare"])
    for what, some in found.items():
        cpu = statistics.median(row["cpu_us"] for row in some)
        late = max(row["late_p99_ms"] for row in some)
        row = {
            "what": what,
            "servers": servers,
            "rate": rate,
            "mix": mix,
            "turns": turns,
            "cpu_us": cpu,
            "ratio": cpu / bare,
            "p50_ms": statistics.median(row["p50_ms"] or 0.0 for row in some),
            "p99_ms": statistics.median(row["p99_ms"] or 0.0 for row in some),
            "failed": sum(row["failed"] for row in some),
            "late_p99_ms": late,
            "rss_kb": max(row["rss_kb"] for row in some),
            "most_per_s": 1e6 / cpu,
        }
        rows.append(row)
        print(
            f"{servers:6} servers, {rate:g}/s, {'mix' if mix else 'reads'}: {what:6} {cpu:7.1f} us of CPU a "
            f"request ({row['ratio']:.2f} times bare, {row['most_per_s']:.0f}/s a core), "
            f"p50 {row['p50_ms']:.2f} ms, p99 {row['p99_ms']:.2f} ms, {row['rss_kb'] / 1024:.1f} MB, "
            f"{row['failed']} failed"
            + (f"; the asking side was {late:.0f} ms late" if late > LATE_MS else ""),
            flush=True,
        )
    return rows


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
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


if __name__ == "__main__":
    if sys.argv[1] == "serve":
        claimed = Block(int(sys.argv[2]))
        known = None
        if len(sys.argv) > 4:
            from orchidferry.testkit.quic.certs import Files

            where = Path(sys.argv[4])
            known = Files(where / "ca.pem", where / "server.pem", where / "server.key")
        uvloop.run(serve([claimed.server(n) for n in range(int(sys.argv[3]))], known))
    else:
        host, port, rate, seconds, tag = sys.argv[2:7]
        load = offer_load((host, int(port)), float(rate), float(seconds), tag)
        print(json.dumps(asdict(uvloop.run(load))))
