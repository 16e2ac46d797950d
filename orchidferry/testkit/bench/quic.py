"""`orchidferry bench forward --protocol h3`: HTTP/3 against HTTP/1.1 in one run, alternating.

CPU per request of the node at the same offered rate: HTTP/1.1 on both sides, HTTP/3 from clients with one and
with many streams per connection, HTTP/3 on both sides; memory per client connection; and the effect of floods
on other clients.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import statistics
import struct
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import asdict, dataclass
from pathlib import Path
from typing import Any

import uvloop

from orchidferry.testkit.bench.forward_bench import WARM_S, Bench, cpu_s, lateness_text, rss_kb
from orchidferry.testkit.bench.open_loop import BUDGET_S, offer_load, scenario
from orchidferry.testkit.exchange import encode_request, expected_body
from orchidferry.testkit.quic import certs
from orchidferry.testkit.quic.client import RequesterConnection, RequesterStream, connect
from orchidferry.testkit.quic.pool import H3Pool
from orchidferry.testkit.wire import Address, Outcome, Pool
from orchidferry.testkit.world.addresses import claim

SERVERS = 10  # number of servers, unless `--servers` gives one
CONNECTIONS = 200  # connections held open to measure the memory of one
FLOOD_S = 8.0  # duration of each flood
OTHER_CLIENT_RATE = 100.0  # requests per second of another client during a flood
GOOD_S = 1.0  # time within which a response counts as served


class NarrowPool(H3Pool):
    """One request at a time on each connection, as with HTTP/1.1."""

    MAX_STREAMS = 1


class WidePool(H3Pool):
    """Many requests at a time on each connection."""

    MAX_STREAMS = 100


@dataclass(frozen=True, slots=True)
class ProtocolCase:
    """A measurement: the protocol of the clients and of the servers.

    :ivar pool: makes the connection pool of the clients, given the path of the CA certificate.
    :ivar servers_h3: whether the servers speak HTTP/3.
    """

    name: str
    pool: Callable[[str], Any]
    servers_h3: bool = False


PROTOCOL_CASES = (
    ProtocolCase("h1", lambda ca: Pool(lambda _: None)),
    ProtocolCase("h3, 1 stream", lambda ca: NarrowPool(lambda _: None, ca)),
    ProtocolCase("h3, 100 streams", lambda ca: WidePool(lambda _: None, ca)),
    ProtocolCase("h3 both ways", lambda ca: WidePool(lambda _: None, ca), True),
)


async def _measure_case(
    bench: Bench, files: certs.CertificateFiles, case: ProtocolCase, rate: float, seconds: float
) -> dict[str, Any]:
    process, address = await bench.start("node", files=files, servers_h3=case.servers_h3)
    ca = str(files.ca)
    await offer_load(address, rate, WARM_S, "w", pool=case.pool(ca))
    before = cpu_s(process.pid)
    report = await offer_load(address, rate, seconds, "m", pool=case.pool(ca))
    cpu_us = (cpu_s(process.pid) - before) / report.asked * 1e6
    result = asdict(report) | {"cpu_us": cpu_us, "rss_kb": rss_kb(process.pid)}
    await bench.stop(process)
    return result


async def _measure_cpu(
    bench: Bench, files: certs.CertificateFiles, args: argparse.Namespace
) -> list[dict[str, Any]]:
    measurements: dict[str, list[dict[str, Any]]] = {case.name: [] for case in PROTOCOL_CASES}
    for _ in range(args.turns):
        for case in PROTOCOL_CASES:
            measurements[case.name].append(await _measure_case(bench, files, case, args.rate, args.seconds))
    rows = []
    base = statistics.median(row["cpu_us"] for row in measurements["h1"])
    for name, repeats in measurements.items():
        cpu = statistics.median(row["cpu_us"] for row in repeats)
        late_ms = max(row["late_p99_ms"] for row in repeats)
        failed = sum(row["failed"] for row in repeats)
        row = {
            "what": name,
            "rate": args.rate,
            "turns": args.turns,
            "cpu_us": cpu,
            "ratio": cpu / base,
            "p50_ms": statistics.median(row["p50_ms"] or 0.0 for row in repeats),
            "p99_ms": statistics.median(row["p99_ms"] or 0.0 for row in repeats),
            "failed": failed,
            "late_p99_ms": late_ms,
            "rss_kb": max(row["rss_kb"] for row in repeats),
        }
        rows.append(row)
        print(
            f"{name:16} {cpu:7.0f} us of CPU per request ({row['ratio']:.2f} times h1), "
            f"p50 {row['p50_ms']:.2f} ms, p99 {row['p99_ms']:.2f} ms, {row['rss_kb'] / 1024:.1f} MB, "
            f"{failed} failed{lateness_text(late_ms)}",
            flush=True,
        )
    return rows


async def _measure_memory(bench: Bench, files: certs.CertificateFiles) -> list[dict[str, Any]]:
    """Measure the node's memory for each client connection that has carried one request."""
    rows = []
    for name in ("h1", "h3"):
        process, address = await bench.start("node", files=files)
        ca = str(files.ca)
        pools: list[Any] = [
            Pool(lambda _: None) if name == "h1" else H3Pool(lambda _: None, ca) for _ in range(CONNECTIONS)
        ]
        first = await request_once(pools[0], address, "first")
        before = rss_kb(process.pid)
        outcomes = [first] + [await request_once(pool, address, f"{n}") for n, pool in enumerate(pools[1:])]
        kb = (rss_kb(process.pid) - before) / (CONNECTIONS - 1)
        answered = sum(outcome.status == 200 for outcome in outcomes)
        what = f"connection, {name}"
        rows.append({"what": what, "connections": CONNECTIONS, "kb": kb, "answered": answered})
        print(f"{what}: {kb:.1f} KB each at {CONNECTIONS} ({answered} answered)", flush=True)
        for pool in pools:
            pool.close()
        await bench.stop(process)
    return rows


async def request_once(pool: Any, address: Address, id: str) -> Outcome:
    """Send one read, and keep its connection if it was answered.

    :param id: of the call; the id of the request's first attempt is derived from it.
    :returns: the outcome; `timeout` if there was no response within the budget.
    """
    defaults = scenario()
    cls = next(cls for cls in defaults.classes if cls.name == "ler-feed")
    connection = await pool.connection(address)
    if isinstance(connection, Outcome):
        return connection
    response = connection.ask(id, encode_request(cls, f"{id}.0", "k", 1, BUDGET_S, False, b""))
    await asyncio.wait({response}, timeout=BUDGET_S)
    if not response.done():
        return Outcome("timeout", time.monotonic())
    pool.put_back(address, connection)
    outcome: Outcome = response.result()
    return outcome


async def _no_flood(address: Address, ca: str, until: float) -> int:
    while time.monotonic() < until:
        await asyncio.sleep(0.05)
    return 0


async def _flood_initial_packets(address: Address, ca: str, until: float) -> int:
    """Send QUIC Initial packets that never complete a handshake, as fast as one socket allows.

    :returns: the number of packets sent.
    """
    loop = asyncio.get_running_loop()
    transport, _ = await loop.create_datagram_endpoint(asyncio.DatagramProtocol, remote_addr=address)
    sent = 0
    while time.monotonic() < until:
        for _ in range(50):
            head = struct.pack(">BI", 0xC0, 1) + b"\x08" + os.urandom(8) + b"\x08" + os.urandom(8)
            transport.sendto(head + b"\x00\x44\x00" + bytes(1200 - len(head) - 3))
            sent += 1
        await asyncio.sleep(0.01)
    transport.close()
    return sent


async def _flood_resets(address: Address, ca: str, until: float) -> int:
    """Open and reset streams as fast as possible, on a new connection whenever one is closed.

    :returns: the number of streams.
    """
    defaults = scenario()
    cls = next(cls for cls in defaults.classes if cls.name == "ler-feed")
    sent = 0
    while time.monotonic() < until:
        try:
            connection: RequesterConnection = await connect(address, ca, limit_s=1.0)
        except (OSError, TimeoutError):
            await asyncio.sleep(0.05)
            continue
        while time.monotonic() < until and connection.http is not None:
            for _ in range(20):
                if connection.http is None:
                    break
                stream = RequesterStream(connection)
                stream.ask("", encode_request(cls, f"f{sent}.0", "k", 1, BUDGET_S, False, b""))
                stream.drop()
                sent += 1
            await asyncio.sleep(0.005)
        connection.drop()
    return sent


FLOODS: tuple[tuple[str, Callable[[Address, str, float], Awaitable[int]]], ...] = (
    ("calm", _no_flood),
    ("first packets", _flood_initial_packets),
    ("resets", _flood_resets),
)


async def _offer_beside_flood(address: Address, ca: str, until: float) -> tuple[int, int]:
    """Send requests of another client during a flood.

    :returns: how many were sent, and how many were answered correctly in time.
    """
    pool = WidePool(lambda _: None, ca)
    defaults = scenario()
    asked = good = 0
    tasks: set[asyncio.Task[None]] = set()

    async def ask(number: int) -> None:
        nonlocal good
        started_s = time.monotonic()
        outcome = await request_once(pool, address, f"o{number}")
        correct = outcome.status == 200 and outcome.body == expected_body(defaults.seed, f"o{number}.0")
        good += correct and time.monotonic() - started_s <= GOOD_S

    while time.monotonic() < until:
        asked += 1
        task = asyncio.create_task(ask(asked))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(1.0 / OTHER_CLIENT_RATE)
    while tasks:
        await asyncio.wait(set(tasks))
    pool.close()
    return asked, good


async def _measure_floods(bench: Bench, files: certs.CertificateFiles) -> list[dict[str, Any]]:
    rows = []
    ca = str(files.ca)
    for name, flood in FLOODS:
        process, address = await bench.start("node", files=files)
        await _offer_beside_flood(address, ca, time.monotonic() + WARM_S)
        before = cpu_s(process.pid)
        until = time.monotonic() + FLOOD_S
        (asked, good), sent = await asyncio.gather(
            _offer_beside_flood(address, ca, until), flood(address, ca, until)
        )
        share = (cpu_s(process.pid) - before) / FLOOD_S
        rows.append(
            {"what": f"flood, {name}", "sent": sent, "asked": asked, "good": good, "cpu_share": share}
        )
        print(
            f"flood, {name}: {sent / FLOOD_S:.0f} per second; another client: {good} of {asked} "
            f"in {GOOD_S:g} s ({100.0 * good / asked:.2f} %), node at {100.0 * share:.0f} % of a core",
            flush=True,
        )
        await bench.stop(process)
    return rows


async def _measure_all(args: argparse.Namespace) -> list[dict[str, Any]]:
    block, block_claim = claim()
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as folder:
        files = certs.make(Path(folder) / "certs")
        bench = Bench(block, Path(folder), args.servers or SERVERS)
        try:
            await bench.start_servers(files)
            rows = await _measure_cpu(bench, files, args)
            rows += await _measure_memory(bench, files)
            rows += await _measure_floods(bench, files)
        finally:
            await bench.close()
            block_claim.close()
    return rows


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run `orchidferry bench forward --protocol h3`.

    :returns: the rows of `--json`.
    :raises ValueError: for options that HTTP/3 is not measured with.
    """
    if args.mix or args.against:
        raise ValueError(
            "--protocol h3 measures reads of this checkout only: neither --mix nor --against can be used"
        )
    return uvloop.run(_measure_all(args))
