"""`bench mesh`, memory and bytes: memory and CPU of nodes and controllers, and their traffic while idle."""

from __future__ import annotations

import asyncio
import time

from orchidferry.testkit.bench.claim_load import ClaimLoad
from orchidferry.testkit.bench.mesh_claims import MAX_CONCURRENT, SYNC_MS
from orchidferry.testkit.bench.mesh_fleet import Fleet
from orchidferry.testkit.bench.mesh_requests import RATE, READS, SAVES
from orchidferry.testkit.bench.mesh_rows import Row, figure_row
from orchidferry.testkit.bench.open_loop import offer_load

KEYS = 50_000  # keys claimed before the memory of a controller is measured
CLAIM_S = 28.0  # duration of the load that claims them
SETTLE_S = 2.5  # time from the start of a mesh until it is idle
# Numbers of servers of the two services; each server has a node.
SMALL_FLEET = (3, 3)
LARGE_FLEET = (6, 6)


async def measure_memory(seconds: float, turns: int) -> list[Row]:
    """Measure the memory of nodes and controllers, idle and after load; one fleet is measured once.

    :param seconds: duration of each load.
    :param turns: not used.
    """
    async with Fleet(3, (1, 1)) as fleet:
        claimer = await fleet.claimer()
        await asyncio.sleep(SETTLE_S)
        rows = await _idle_rows(fleet, seconds)
        for machine in fleet.sidecars:
            address = (machine.ip, fleet.ports.outbound)
            await offer_load(address, 2.0 * RATE, seconds, f"r{machine.name}-", READS)
            await offer_load(address, RATE, seconds, f"k{machine.name}-", SAVES)
        name = f"proxy, after {2 * RATE:g}/s reads, {RATE:g}/s keyed: most"
        rows.append(figure_row("memory", name, "MB", fleet.peaks(fleet.sidecars)))
        rows += await _claimed_rows(fleet, claimer)
        return rows


async def _idle_rows(fleet: Fleet, seconds: float) -> list[Row]:
    roles = (("controller", fleet.cores), ("proxy", fleet.sidecars))
    meters = [fleet.meter(machines) for _, machines in roles]
    await asyncio.sleep(seconds)
    rows = []
    for (role, machines), meter in zip(roles, meters, strict=True):
        percent = [100.0 * cpu_s / seconds for cpu_s in meter.read().cpu_s]
        rows.append(figure_row("memory", f"{role}, idle: CPU", "% of a core", percent))
        rows.append(figure_row("memory", f"{role}, idle: most", "MB", fleet.peaks(machines)))
    return rows


async def _claimed_rows(fleet: Fleet, claimer: asyncio.subprocess.Process) -> list[Row]:
    stored_before = fleet.stored()
    report = await fleet.load(claimer, ClaimLoad("memory", 0.0, CLAIM_S, MAX_CONCURRENT, KEYS))
    granted = report.granted
    details = {"broken": True} if granted < KEYS else {}
    name = f"controller, after {granted:,} keys"
    peaks = figure_row("memory", f"{name}: most", "MB", fleet.peaks(fleet.cores), **details)
    pairs = zip(fleet.stored(), stored_before, strict=True)
    stored = [(after - before) / max(1, granted) for after, before in pairs]
    return [peaks, figure_row("memory", f"{name}: kept on disk", "bytes a claim", stored)]


async def measure_idle_traffic(seconds: float, turns: int) -> list[Row]:
    """Measure the bytes that nodes and controllers exchange while idle, counted by a relay between them."""
    rows = []
    for servers in (SMALL_FLEET, LARGE_FLEET):
        async with Fleet(3, servers, SYNC_MS, relay=True) as fleet:
            rows += await _idle_traffic_rows(fleet, seconds, turns)
    return rows


async def _idle_traffic_rows(fleet: Fleet, seconds: float, turns: int) -> list[Row]:
    nodes = len(fleet.sidecars)
    up: list[float] = []
    down: list[float] = []
    kinds: set[str] = set()
    await asyncio.sleep(SETTLE_S)
    for _ in range(turns):
        for relay in fleet.relays:
            relay.clear()
        started_s = time.monotonic()
        await asyncio.sleep(seconds)
        node_seconds = (time.monotonic() - started_s) * nodes
        up.append(sum(relay.up.total() for relay in fleet.relays) / node_seconds)
        down.append(sum(relay.down.total() for relay in fleet.relays) / node_seconds)
        kinds.update(kind for relay in fleet.relays for kind in (*relay.up, *relay.down))
    fleet.check()
    name = f"3 controllers, {nodes} nodes, idle"
    unit = "bytes a node a second"
    return [
        figure_row("bytes", f"{name}: to the controllers", unit, up, kinds=" ".join(sorted(kinds))),
        figure_row("bytes", f"{name}: from the controllers", unit, down),
    ]
