"""`orchidferry bench apply`: the cost of applying a configuration version on a serving node, by fleet size.

The setup is a real node, a stand-in control service in this process, and ten real servers; all further pool
members are other names at the addresses of these servers. Measured are the time from a push to its
acknowledgement, the longest request meanwhile (sent by a separate process), and the node's CPU and memory:
for a new pool, for a pool in which a tenth of the members changed weight, and for a change of settings only.
"""

from __future__ import annotations

import argparse
import asyncio
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any

from orchidferry.balancing import interface as api
from orchidferry.balancing.configuration import Configuration, Member, NodeSettings, Part, Pools
from orchidferry.balancing.settings import read_settings
from orchidferry.node.config import Config
from orchidferry.node.control.link import Link
from orchidferry.node.control.messages import node_message, pool_message
from orchidferry.node.control.pipe import ChangeWriter
from orchidferry.node.control.settings import Control
from orchidferry.node.garbage_collector import freeze_startup_objects
from orchidferry.node.node import Node
from orchidferry.node.server_listing import ServerListing
from orchidferry.testkit.bench.forward_bench import Bench, cpu_s, rss_kb
from orchidferry.testkit.bench.open_loop import offer_load, scenario
from orchidferry.testkit.control.service import Service
from orchidferry.testkit.world.addresses import claim
from orchidferry.testkit.world.node_files import settings

SIZES = (10, 1_000, 10_000)  # members of the pool
VERSIONS = 12  # versions after a pool's first: each changes a tenth of the members, the last also settings
REAL_SERVERS = 10  # servers that listen
RATE = 200.0  # requests per second
LOAD_S = 4.0  # duration of the load around each push
TIMEOUT_S = 30.0  # time limit for the acknowledgement of one version
POOL = "entrada"


def endpoints(bench: Bench, count: int, changed: int) -> list[dict[str, Any]]:
    """Return `count` endpoints at the addresses of the real servers.

    :param changed: if not 0, the first of every ten endpoints has another weight.
    """
    result = []
    for n in range(count):
        host, port = bench.servers[n % REAL_SERVERS]
        weight = 0.9 if changed and n % 10 == 0 else 1.0
        result.append(
            {
                "name": f"s{n}",
                "address": f"{host}:{port}",
                "zone": "sala-poa",
                "group": n // 8,
                "weight": weight,
            }
        )
    return result


async def wait_for_ack(service: Service, label: str) -> float:
    """Wait for the ACK of a version.

    :returns: its time on the monotonic clock.
    :raises ValueError: if the node rejected the version.
    """
    async with asyncio.timeout(TIMEOUT_S):
        while True:
            for answer in service.answers:
                if answer.label == label:
                    if answer.reason:
                        raise ValueError(f"the node rejected version {label}: {answer.reason}")
                    return time.monotonic()
            service.changed.clear()
            await service.changed.wait()


async def measure(count: int, keep: bool) -> list[dict[str, Any]]:
    """Measure one fleet size with a real node.

    :param count: members of the pool.
    :param keep: whether the node saves the last good configuration to disk.
    """
    block, held = claim()
    rows = []
    service = Service()
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as name:
        folder = Path(name)
        bench = Bench(block, folder, REAL_SERVERS)
        try:
            await bench.start_servers()
            port = (await service.start())[1]
            control = folder / "control.toml"
            control.write_text(
                f'service = "127.0.0.1:{port}"\nnode = "n0"\npools = ["{POOL}"]\nsettings = "n0"\n'
                + ('state = "state"\n' if keep else "")
            )
            process, address = await bench.start("node", control=control)
            default_settings = settings(scenario(), 0, 1, 0)
            service.push("v0", (Part.MEMBERS, POOL, pool_message(POOL, endpoints(bench, REAL_SERVERS, 0))))
            await wait_for_ack(service, "v0")
            await offer_load(address, RATE, 2.0, "w")
            pushes: list[tuple[str, list[tuple[Part, str, Any]]]] = [
                ("nothing", []),
                ("a whole pool", [(Part.MEMBERS, POOL, pool_message(POOL, endpoints(bench, count, 0)))]),
                ("nothing, with it", []),  # requests still open new connections to the new members
                ("a tenth changed", [(Part.MEMBERS, POOL, pool_message(POOL, endpoints(bench, count, 1)))]),
                ("settings", [(Part.SETTINGS, "n0", node_message("n0", POOL, default_settings))]),
            ]
            for n, (what, changes) in enumerate(pushes, 1):
                load = asyncio.ensure_future(bench.offer_elsewhere(address, RATE, LOAD_S, f"m{n}-"))
                await asyncio.sleep(1.5)  # the load generator needs more than a second to start
                before = cpu_s(process.pid)
                started_s = time.monotonic()
                took = 0.0
                if changes:
                    service.push(f"v{n}", *changes)
                    took = await wait_for_ack(service, f"v{n}") - started_s
                cpu = cpu_s(process.pid) - before
                row = asdict(await load) | {
                    "what": what,
                    "members": count,
                    "saved": keep,
                    "latency_ms": took * 1e3,
                    "cpu_ms": cpu * 1e3,
                    "rss_kb": rss_kb(process.pid),
                }
                rows.append(row)
                print(
                    f"{count:6} members, {'saved' if keep else 'unsaved'}, {what:16} acknowledged after "
                    f"{took * 1e3:6.1f} ms, {cpu * 1e3:6.1f} ms of CPU; requests p50 {row['p50_ms']:.2f} ms, "
                    f"longest {row['most_ms']:.1f} ms; {row['rss_kb'] / 1024:.1f} MB, {row['failed']} failed",
                    flush=True,
                )
        finally:
            await bench.close()
            await service.stop()
            held.close()
    return rows


def make_configuration(count: int, number: int) -> Configuration:
    """Make a configuration of `count` members.

    :param number: of the version; a tenth of the members differ between even and odd numbers.
    """
    members = tuple(
        Member(
            api.ServerEntry(n + 1, "sala-poa", "", n // 8, share=0.9 if number % 2 and not n % 10 else 1.0),
            (f"127.1.{n >> 8}.{n & 255}", 9000),
        )
        for n in range(count)
    )
    default_settings = settings(scenario(), 0, 1, 0)
    default_settings["permissions"]["connect_timeout_ms"] += number // VERSIONS
    default_settings["classes"][0]["objective_ms"] += number // VERSIONS
    parsed = read_settings(default_settings)
    return Configuration(Pools({POOL: members}), NodeSettings(POOL, parsed))


async def measure_loop(count: int) -> list[dict[str, Any]]:
    """Measure how long the node's event loop is blocked while it applies configurations.

    A callback of the loop blocks all other work; its duration is measured in CPU time of the thread. The
    `Node` and the `Link` are the production classes, on the standard event loop, fed with lines as the
    control helper writes them.
    """
    loop = asyncio.get_running_loop()
    longest = [0.0, 0.0]
    run = asyncio.Handle._run

    def timed(handle: asyncio.Handle) -> None:
        started_s = time.thread_time()
        run(handle)
        took = time.thread_time() - started_s
        longest[0], longest[1] = max(longest[0], took), longest[1] + took

    freeze_startup_objects()
    config = Config(
        "bench",
        ("127.0.0.1", 0),
        ("127.0.0.1", 1),
        1,
        1000,
        64.0,
        ServerListing(0, True, [], {}),
        make_configuration(1, 0).node.settings,
    )
    node = Node(config, loop)
    control = Control(("127.0.0.1", 1), "n0", "", (POOL,), "n0", None, 1.0)
    link, writer, rows = Link(control, config.settings, node, loop), ChangeWriter(), []
    node.control = link
    node._handle(api.Started())
    last = make_configuration(count, 0)
    for number in range(VERSIONS + 1):
        whole = make_configuration(count, number)
        what = "a whole pool" if not number else "a tenth changed" if number < VERSIONS else "and settings"
        if number:  # as on the control channel: an unchanged member stays the same object
            before = {m.entry.server: m for m in last.members()}
            same = [before[m.entry.server] if before[m.entry.server] == m else m for m in whole.members()]
            whole = Configuration(Pools({POOL: tuple(same)}), whole.node)
        last, replies = whole, list[bytes]()
        reader = asyncio.StreamReader()
        for data in writer.change(whole):
            reader.feed_data(data)
        reader.feed_eof()
        asyncio.Handle._run = timed  # type: ignore
        try:
            await asyncio.sleep(0)  # run callbacks that the setup scheduled, as they are not work of the node
            longest[:] = [0.0, 0.0]
            async with asyncio.timeout(TIMEOUT_S):
                await link.follow(reader, replies.append)
                await link.members.idle.wait()
        finally:
            asyncio.Handle._run = run  # type: ignore
        assert replies and writer.applied(number + 1, "")
        rows.append({"members": count, "what": what, "turn_ms": longest[0] * 1e3, "all_ms": longest[1] * 1e3})
    node._discovery.close()
    return rows


def measure_loops() -> list[dict[str, Any]]:
    """Measure the event loop of a node for all sizes, and print the results."""
    rows = []
    for count in SIZES:
        result = asyncio.run(measure_loop(count))
        for what in dict.fromkeys(row["what"] for row in result):
            took = sorted(row["turn_ms"] for row in result if row["what"] == what)
            whole = sorted(row["all_ms"] for row in result if row["what"] == what)
            print(
                f"{count:6} members, {what:16} longest callback: median {took[len(took) // 2]:.2f} ms, "
                f"maximum {took[-1]:.2f} of {len(took)}; all callbacks {whole[len(whole) // 2]:.1f} ms",
                flush=True,
            )
        rows += result
    return rows


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    rows: list[dict[str, Any]] = measure_loops()
    for count in SIZES:
        for keep in (False, True):
            rows += asyncio.run(measure(count, keep))
    return rows
