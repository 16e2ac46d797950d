"""`orchidferry bench lists`: what a long list, and a watch with as many changes, cost the requests meanwhile.

A real node, with discovery and ten real servers; all other entries are further names at their addresses.
Requests go on at one rate, from a process of their own, as rendering such a list takes this one a while; the
longest that one took in the seconds after a list came is what the list held up.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

import uvloop

from orchidferry.testkit.bench.forward_bench import Bench, rss_kb
from orchidferry.testkit.bench.open_loop import offer_load
from orchidferry.testkit.record import Recorder
from orchidferry.testkit.world.addresses import Block, claim
from orchidferry.testkit.world.discovery import DiscoveryService, ListedServer

SIZES = (10, 1_000, 10_000)
REAL = 10
RATE = 200.0
LOOK_S = 4.0


def entries(bench: Bench, count: int, cell: int) -> list[ListedServer]:
    """So many names at the real servers' addresses."""
    result = []
    for n in range(count):
        host, port = bench.servers[n % REAL]
        result.append(ListedServer(f"s{n}", 0, f"{host}:{port}", "sala-poa", n // 8 + cell))
    return result


async def measure(count: int) -> list[dict[str, Any]]:
    """Before the list, while it is taken, and while every entry of it changes."""
    block, held = claim()
    rows = []
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as folder:
        recorder = Recorder(Path(folder) / "lists.facts", time.monotonic())
        service = DiscoveryService(1, recorder, time.time())
        registry = service.registries[0]
        bench = Bench(block, Path(folder), REAL)
        try:
            await bench.start_servers()
            address = block.front_node(1)
            registry.servers = {entry.name: entry for entry in entries(bench, REAL, 0)}
            await service.attach("n0", 0, Block.discovery_for(address))
            process, address = await bench.start("node", discovery=Block.discovery_for(address))
            await offer_load(address, RATE, 2.0, "w")
            for n, what in enumerate(("before", "the whole list", "every entry changes")):
                asking = asyncio.ensure_future(bench.offer_elsewhere(address, RATE, LOOK_S, f"m{n}-"))
                await asyncio.sleep(1.0)  # a second to start in
                if what == "the whole list":
                    registry.index += 1
                    registry.servers = {entry.name: entry for entry in entries(bench, count, 0)}
                    registry.changes.clear()  # so that watches get all of it
                    service.notify_watches(0)
                elif what == "every entry changes":
                    for entry in entries(bench, count, 1):
                        registry.change(entry)
                    service.notify_watches(0)
                report = await asking
                row = asdict(report) | {"what": what, "servers": count, "rss_kb": rss_kb(process.pid)}
                rows.append(row)
                print(
                    f"{count:6} servers, {what:20} p50 {row['p50_ms']:.2f} ms, p99 {row['p99_ms']:.2f} ms, "
                    f"longest {row['most_ms']:.1f} ms, {row['rss_kb'] / 1024:.1f} MB, {row['failed']} failed",
                    flush=True,
                )
        finally:
            service.close()
            await bench.close()
            recorder.close()
            held.close()
    return rows


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
    rows: list[dict[str, Any]] = []
    for count in SIZES:
        rows += uvloop.run(measure(count))
    return rows
