"""`orchidferry bench apply`: what a version of the configuration costs a node that serves, by fleet size.

A real node, a stand-in control service in this process, ten real servers; all other members are further
names at their addresses. Measured are the time from a push to its acknowledgement, the longest that a
request took meanwhile (asked from a process of its own), the node's CPU and memory: for a whole pool that
is new, for one in which a tenth of the members changed weight, and for settings alone.
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

SIZES = (10, 1_000, 10_000)
TURNS = 12  # of one size: the first is a whole pool, each further one changes a tenth
REAL = 10
RATE = 200.0
LOOK_S = 4.0
WAIT_S = 30.0
POOL = "entrada"


def endpoints(bench: Bench, count: int, changed: int) -> list[dict[str, Any]]:
    """So many names at the real servers' addresses; of every ten the first has another weight."""
    found = []
    for n in range(count):
        host, port = bench.servers[n % REAL]
        weight = 0.9 if changed and n % 10 == 0 else 1.0
        found.append(
            {
                "name": f"s{n}",
                "address": f"{host}:{port}",
                "zone": "sala-poa",
                "group": n // 8,
                "weight": weight,
            }
        )
    return found


async def acknowledged(service: Service, label: str) -> float:
    """Wait for a version's ACK; when it came."""
    async with asyncio.timeout(WAIT_S):
        while True:
            for answer in service.answers:
                if answer.label == label:
                    if answer.reason:
                        raise ValueError(f"{label} was refused: {answer.reason}")
                    return time.monotonic()
            service.changed.clear()
            await service.changed.wait()


async def measure(count: int, keep: bool) -> list[dict[str, Any]]:
    """One fleet size; `keep`: with the last good one written to disk."""
    block, held = claim()
    rows = []
    service = Service()
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as name:
        folder = Path(name)
        bench = Bench(block, folder, REAL)
        try:
            await bench.start_servers()
            port = (await service.start())[1]
            control = folder / "control.toml"
            control.write_text(
                f'service = "127.0.0.1:{port}"\nnode = "n0"\npools = ["{POOL}"]\nsettings = "n0"\n'
                + ('state = "state"\n' if keep else "")
            )
            process, address = await bench.start("node", control=control)
            usual = settings(scenario(), 0, 1, 0)
            service.push("v0", (Part.MEMBERS, POOL, pool_message(POOL, endpoints(bench, REAL, 0))))
            await acknowledged(service, "v0")
            await offer_load(address, RATE, 2.0, "w")
            versions: list[tuple[str, list[tuple[Part, str, Any]]]] = [
                ("nothing", []),
                ("a whole pool", [(Part.MEMBERS, POOL, pool_message(POOL, endpoints(bench, count, 0)))]),
                ("nothing, with it", []),  # requests go to servers that no connection is up to yet
                ("a tenth changed", [(Part.MEMBERS, POOL, pool_message(POOL, endpoints(bench, count, 1)))]),
                ("settings", [(Part.SETTINGS, "n0", node_message("n0", POOL, usual))]),
            ]
            for n, (what, changes) in enumerate(versions, 1):
                asking = asyncio.ensure_future(bench.offer_elsewhere(address, RATE, LOOK_S, f"m{n}-"))
                await asyncio.sleep(1.5)  # a second and more to start in
                before = cpu_s(process.pid)
                began = time.monotonic()
                took = 0.0
                if changes:
                    service.push(f"v{n}", *changes)
                    took = await acknowledged(service, f"v{n}") - began
                cpu = cpu_s(process.pid) - before
                row = asdict(await asking) | {
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


def versions(count: int, number: int) -> Configuration:
    """A configuration of so many members; a tenth of them differs between an even and an odd number."""
    members = tuple(
        Member(
            api.ServerEntry(n + 1, "sala-poa", "", n // 8, share=0.9 if number % 2 and not n % 10 else 1.0),
            (f"127.1.{n >> 8}.{n & 255}", 9000),
        )
        for n in range(count)
    )
    usual = settings(scenario(), 0, 1, 0)
    usual["permissions"]["connect_timeout_ms"] += number // TURNS
    usual["classes"][0]["objective_ms"] += number // TURNS
    made = read_settings(usual)
    return Configuration(Pools({POOL: members}), NodeSettings(POOL, made))


async def turns(count: int) -> list[dict[str, Any]]:
    """The longest turn of a node's loop while it applies, in CPU of its thread: what other work waits for.

    A `Node` and a `Link` as they ship, on the standard event loop, fed with a helper's lines.
    """
    loop = asyncio.get_running_loop()
    longest = [0.0, 0.0]
    run = asyncio.Handle._run

    def timed(handle: asyncio.Handle) -> None:
        began = time.thread_time()
        run(handle)
        took = time.thread_time() - began
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
        versions(1, 0).node.settings,
    )
    node = Node(config, loop)
    control = Control(("127.0.0.1", 1), "n0", "", (POOL,), "n0", None, 1.0)
    link, teller, rows = Link(control, config.settings, node, loop), ChangeWriter(), []
    node.control = link
    node._handle(api.Started())
    last = versions(count, 0)
    for turn in range(TURNS + 1):
        whole = versions(count, turn)
        what = "a whole pool" if not turn else "a tenth changed" if turn < TURNS else "and settings"
        if turn:  # as the channel has it: what is as it was is the same object
            before = {m.entry.server: m for m in last.members()}
            same = [before[m.entry.server] if before[m.entry.server] == m else m for m in whole.members()]
            whole = Configuration(Pools({POOL: tuple(same)}), whole.node)
        last, said = whole, list[bytes]()
        reader = asyncio.StreamReader()
        for data in teller.change(whole):
            reader.feed_data(data)
        reader.feed_eof()
        asyncio.Handle._run = timed  # type: ignore
        try:
            await asyncio.sleep(0)  # what was made ready here is no turn of the node's
            longest[:] = [0.0, 0.0]
            async with asyncio.timeout(WAIT_S):
                await link.follow(reader, said.append)
                await link.members.idle.wait()
        finally:
            asyncio.Handle._run = run  # type: ignore
        assert said and teller.applied(turn + 1, "")
        rows.append({"members": count, "what": what, "turn_ms": longest[0] * 1e3, "all_ms": longest[1] * 1e3})
    node._discovery.close()
    return rows


def show_turns() -> list[dict[str, Any]]:
    """Measure and print them."""
    rows = []
    for count in SIZES:
        found = asyncio.run(turns(count))
        for what in dict.fromkeys(row["what"] for row in found):
            took = sorted(row["turn_ms"] for row in found if row["what"] == what)
            whole = sorted(row["all_ms"] for row in found if row["what"] == what)
            print(
                f"{count:6} members, {what:16} longest turn of the loop {took[len(took) // 2]:.2f} ms, "
                f"{took[-1]:.2f} at most of {len(took)}; {whole[len(whole) // 2]:.1f} ms in all",
                flush=True,
            )
        rows += found
    return rows


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
    rows: list[dict[str, Any]] = show_turns()
    for count in SIZES:
        for keep in (False, True):
            rows += asyncio.run(measure(count, keep))
    return rows
