"""Measures the CPU time of operation-key claims at each of three controllers, by the rate of claims."""

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
SYNC_MS = 1.0  # delay added to each commit of a controller
ROUNDS = 5
CLAIMS_PER_S = (250, 1_000, 4_000)
MAX_CONCURRENT_CLAIMS = 4_096  # maximum number of concurrent claims


@dataclass(frozen=True, slots=True)
class Load:
    """A load of claims.

    :ivar rate: claims per second
    :ivar seconds: duration
    :ivar tag: prefix that distinguishes its keys from those of other loads
    """

    rate: int
    seconds: float
    tag: str


async def measure(seconds: float) -> list[Figure]:
    """Measure all rates in each round; the CPU time of the claiming process is not included.

    :param seconds: duration of each load
    """
    speed = Speed()
    speed_task = asyncio.get_running_loop().create_task(speed.run())
    rounds_by_rate = {rate: Rounds() for rate in CLAIMS_PER_S}
    try:
        async with Fleet(CONTROLLERS, sync_ms=SYNC_MS) as fleet:
            claimer = await fleet.claimer()
            for number in range(ROUNDS):
                idle_share = await _measure_idle(fleet, seconds, speed)
                for rate, rounds in rounds_by_rate.items():
                    load = Load(rate, seconds, f"{rate}-{number}-")
                    await _round(fleet, claimer, load, idle_share, speed, rounds)
    finally:
        speed_task.cancel()
    return [figure for rate, rounds in rounds_by_rate.items() for figure in rounds.figures(BY_CLAIMS, rate)]


async def _measure_idle(fleet: Fleet, seconds: float, speed: Speed) -> float:
    """Return the mean CPU time of a controller per second without load, when it only sends heartbeats."""
    speed.slowness()
    meter = fleet.meter(fleet.cores)
    await asyncio.sleep(seconds)
    return statistics.fmean(meter.read().cpu_s) / speed.slowness() / seconds


async def _round(
    fleet: Fleet,
    claimer: asyncio.subprocess.Process,
    load: Load,
    idle_share: float,
    speed: Speed,
    rounds: Rounds,
) -> None:
    """Measure one load; the CPU time of an idle controller is subtracted."""
    speed.slowness()
    meter = fleet.meter(fleet.cores)
    claims = round(load.rate * load.seconds)
    report = await fleet.load(
        claimer, ClaimLoad(load.tag, load.rate, load.seconds, MAX_CONCURRENT_CLAIMS, claims)
    )
    spent_s = statistics.fmean(meter.read().cpu_s) / speed.slowness()
    claims_s = spent_s - idle_share * report.seconds
    share = 100.0 * claims_s / report.asked * load.rate
    rounds.add("controller", "claims: CPU of each controller", "% of a core", share)
    latencies_s = sorted(report.took_s)
    rounds.add("controller", "claims: to the answer, p50", "ms", 1e3 * latencies_s[len(latencies_s) // 2])
    rounds.add("controller", "claims: not granted", "%", 100.0 * (1.0 - report.granted / report.asked))
