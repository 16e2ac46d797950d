"""`orchidferry bench lists`: the delay that a long server list, or as many changes to it, adds to requests.

The setup is a real node, a discovery service and ten real servers; all further entries are other names at the
addresses of these servers. A separate process sends requests at a constant rate, because this process is busy
for a while encoding such a list. The longest request in the seconds after a list shows the delay.
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

SIZES = (10, 1_000, 10_000)  # servers of the list
REAL_SERVERS = 10  # servers that listen
RATE = 200.0  # requests per second
LOAD_S = 4.0  # duration of the load around each list


def entries(bench: Bench, count: int, cell: int) -> list[ListedServer]:
    """Return `count` list entries at the addresses of the real servers.

    :param cell: number of the first cell of eight entries.
    """
    result = []
    for n in range(count):
        host, port = bench.servers[n % REAL_SERVERS]
        result.append(ListedServer(f"s{n}", 0, f"{host}:{port}", "sala-poa", n // 8 + cell))
    return result


async def measure(count: int) -> list[dict[str, Any]]:
    """Measure requests before a long list, while the node applies it, and while all its entries change.

    :param count: servers of the list.
    """
    block, held = claim()
    rows = []
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as folder:
        recorder = Recorder(Path(folder) / "lists.facts", time.monotonic())
        service = DiscoveryService(1, recorder, time.time())
        registry = service.registries[0]
        bench = Bench(block, Path(folder), REAL_SERVERS)
        try:
            await bench.start_servers()
            address = block.front_node(1)
            registry.servers = {entry.name: entry for entry in entries(bench, REAL_SERVERS, 0)}
            await service.attach("n0", 0, Block.discovery_for(address))
            process, address = await bench.start("node", discovery=Block.discovery_for(address))
            await offer_load(address, RATE, 2.0, "w")
            for n, what in enumerate(("before", "the whole list", "every entry changes")):
                load = asyncio.ensure_future(bench.offer_elsewhere(address, RATE, LOAD_S, f"m{n}-"))
                await asyncio.sleep(1.0)  # the load generator needs a second to start
                if what == "the whole list":
                    registry.index += 1
                    registry.servers = {entry.name: entry for entry in entries(bench, count, 0)}
                    registry.changes.clear()  # so that watches get the whole list
                    service.notify_watches(0)
                elif what == "every entry changes":
                    for entry in entries(bench, count, 1):
                        registry.change(entry)
                    service.notify_watches(0)
                report = await load
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
    """Run the command.

    :returns: the rows of `--json`.
    """
    rows: list[dict[str, Any]] = []
    for count in SIZES:
        rows += uvloop.run(measure(count))
    return rows
