"""What a claim of an operation key costs each of three controllers, by how many come a second."""

from __future__ import annotations

import asyncio
import statistics
from dataclasses import dataclass

from orchidferry.testkit.bench.claim_load import ClaimLoad
from orchidferry.testkit.bench.mesh_fleet import Fleet
from orchidferry.testkit.capacity.figures import BY_CLAIMS, Figure
from orchidferry.testkit.capacity.reference import Speed
from orchidferry.testkit.capacity.rounds import Rounds

CONTROLLERS = 3
SYNC_MS = 1.0  # that a controller's commit takes longer
ROUNDS = 5
RATES = (250, 1_000, 4_000)
MAX_AT_ONCE = 4_096  # claims that may be out together


@dataclass(frozen=True, slots=True)
class Load:
    """Claims at a rate, for so long; the tag tells its keys from those of other loads."""

    rate: int
    seconds: float
    tag: str


async def measure(seconds: float) -> list[Figure]:
    """All rates in each round; the claimer's own time is not in it."""
    speed = Speed()
    keeping = asyncio.get_running_loop().create_task(speed.keep())
    found = {rate: Rounds() for rate in RATES}
    try:
        async with Fleet(CONTROLLERS, sync_ms=SYNC_MS) as fleet:
            claimer = await fleet.claimer()
            for number in range(ROUNDS):
                idle_s = await _idle(fleet, seconds, speed)
                for rate, rounds in found.items():
                    load = Load(rate, seconds, f"{rate}-{number}-")
                    await _round(fleet, claimer, load, idle_s, speed, rounds)
    finally:
        keeping.cancel()
    return [figure for rate, rounds in found.items() for figure in rounds.figures(BY_CLAIMS, rate)]


async def _idle(fleet: Fleet, seconds: float, speed: Speed) -> float:
    """CPU seconds a second of the mean controller, with its own beats alone."""
    speed.slowness()
    meter = fleet.meter(fleet.cores)
    await asyncio.sleep(seconds)
    return statistics.fmean(meter.read().cpu_s) / speed.slowness() / seconds


async def _round(
    fleet: Fleet,
    claimer: asyncio.subprocess.Process,
    load: Load,
    idle: float,
    speed: Speed,
    rounds: Rounds,
) -> None:
    """One load; what it cost over a controller's own beats."""
    speed.slowness()
    meter = fleet.meter(fleet.cores)
    claims = round(load.rate * load.seconds)
    report = await fleet.load(claimer, ClaimLoad(load.tag, load.rate, load.seconds, MAX_AT_ONCE, claims))
    spent_s = statistics.fmean(meter.read().cpu_s) / speed.slowness()
    claims_s = spent_s - idle * report.seconds
    share = 100.0 * claims_s / report.asked * load.rate
    rounds.add("controller", "claims: CPU of each controller", "% of a core", share)
    took = sorted(report.took_s)
    rounds.add("controller", "claims: to the answer, p50", "ms", 1e3 * took[len(took) // 2])
    rounds.add("controller", "claims: not granted", "%", 100.0 * (1.0 - report.granted / report.asked))
