"""What a claim of an operation key costs each of three controllers, by how many come a second."""

from __future__ import annotations

import asyncio
import statistics

from rehearsal.bench.mesh_fleet import Fleet
from rehearsal.capacity.figures import BY_CLAIMS, Figure
from rehearsal.capacity.reference import Speed
from rehearsal.capacity.rounds import Rounds

CONTROLLERS = 3
SYNC_MS = 1.0  # that a controller's commit takes longer
ROUNDS = 5
RATES = (250, 1_000, 4_000)
AT_ONCE_MOST = 4_096  # claims that may be out together


async def measure(seconds: float) -> list[Figure]:
    """All rates in each round; the claimer's own time is not in it."""
    speed = Speed()
    keeping = asyncio.get_running_loop().create_task(speed.keep())
    found = {rate: Rounds() for rate in RATES}
    try:
        async with Fleet(CONTROLLERS, sync_ms=SYNC_MS) as fleet:
            claimer = await fleet.claimer()
            for number in range(ROUNDS):
                for rate, rounds in found.items():
                    await _round(fleet, claimer, rate, f"{rate}-{number}-", seconds, speed, rounds)
    finally:
        keeping.cancel()
    return [figure for rate, rounds in found.items() for figure in rounds.figures(BY_CLAIMS, rate)]


async def _round(
    fleet: Fleet, claimer: asyncio.subprocess.Process, rate: int, tag: str, seconds: float, speed: Speed,
    rounds: Rounds,
) -> None:  # fmt: skip
    """One load; what it cost over a controller's own beats, which are counted for as long before it."""
    meter = fleet.meter(fleet.cores)
    speed.slowness()
    await asyncio.sleep(seconds)
    idle_s = statistics.fmean(meter.read()[0]) / speed.slowness()
    meter = fleet.meter(fleet.cores)
    count = round(rate * seconds)
    load = await fleet.load(
        claimer, tag=tag, rate=rate, seconds=seconds, at_once=AT_ONCE_MOST, count=count, answer=0
    )
    spent_s = statistics.fmean(meter.read()[0]) / speed.slowness()
    claims_s = spent_s - idle_s * load["seconds"] / seconds
    took = sorted(load["took"])
    share = 100.0 * claims_s / load["asked"] * rate
    rounds.add("controller", "claims: CPU of each controller", "% of a core", share)
    rounds.add("controller", "claims: to the answer, p50", "ms", 1e3 * took[len(took) // 2])
    rounds.add("controller", "claims: not granted", "%", 100.0 * (1.0 - load["granted"] / load["asked"]))
