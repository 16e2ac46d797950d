"""`bench mesh`, claims: throughput and latency of claims of operation keys at one and three controllers."""

from __future__ import annotations

import asyncio
import statistics
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass

from orchidferry.testkit.bench.claim_load import ClaimLoad, ClaimReport
from orchidferry.testkit.bench.mesh_fleet import Fleet
from orchidferry.testkit.bench.mesh_rows import Row, figure_row, quantile
from orchidferry.testkit.bench.process_usage import CpuMeter, disk_sync_ms, written_bytes

RATES = (150.0, 500.0)  # offered claims per second
MAX_CONCURRENT = 512  # concurrent claims while the maximum rate is measured
MIN_GRANTED = 0.99  # fraction of the claims; a row with fewer granted ones is broken
MAX_CLAIMS = 40_000  # claims of one load
STORED_BODY_BYTES = 600  # size of a stored response
SYNC_MS = 1.0  # added to each commit on a disk in memory, to simulate the sync of a controller's disk
CORE_MACHINE_CPU = 0.645  # fraction of a CPU core that a controller has
# The disks that controllers write to.
MEMORY_DISK = "1 ms a sync"
OWN_DISK = "this disk"


@dataclass(frozen=True, slots=True)
class Load:
    """A load of claims offered to the controllers."""

    name: str
    rate: float  # claims per second; 0 keeps `MAX_CONCURRENT` claims in flight
    stored_bytes: int  # size of the response that is stored under each key


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The results of one load, and the resource usage of the controllers."""

    report: ClaimReport
    controller_us: list[float]  # CPU per claim, of each controller
    controller_busy: list[float]  # fraction of a CPU core that each controller used
    waited: float  # the largest fraction of time for which a controller waited for a CPU core
    written: list[float]  # bytes per claim that each controller wrote; 0 for a disk in memory


@dataclass(frozen=True, slots=True)
class Options:
    """The fleets, rates and disks that are measured."""

    groups: Sequence[int] = (1, 3)  # numbers of controllers
    rates: Sequence[float] = RATES
    disks: Sequence[str] = (MEMORY_DISK, OWN_DISK)
    max_rate: bool = True  # whether the maximum rate is measured too

    def loads(self, own_disk: bool) -> list[Load]:
        """Return the loads that are offered to one fleet."""
        loads = [Load(f"{rate:g}/s", rate, 0) for rate in self.rates]
        if self.max_rate:
            loads.append(Load(f"{MAX_CONCURRENT} at once", 0.0, 0))
        if own_disk:
            rate = self.rates[-1]
            name = f"{rate:g}/s, answers of {STORED_BODY_BYTES} B kept"
            loads.append(Load(name, rate, STORED_BODY_BYTES))
        return loads


async def measure_claims(seconds: float, turns: int, options: Options | None = None) -> list[Row]:
    """Claim keys at fixed rates and at the maximum rate; each repeat starts with empty disks.

    The disk is in memory, and commits take 1 ms longer, as on a core machine. The largest group is also
    measured on the disk of the folder for temporary files.
    """
    options = options or Options()
    results: dict[str, list[LoadResult]] = {}
    stored: list[float] = []
    for _ in range(turns):
        for controllers in options.groups:
            largest = controllers == max(options.groups)
            for disk in options.disks if largest else options.disks[:1]:
                stored += await _measure_fleet(controllers, disk, seconds, options, results)
    rows = [row for name, repeats in results.items() for row in claim_rows(name, repeats)]
    if stored:
        rows.append(figure_row("claims", "kept on disk", "bytes a claim", stored))
    if OWN_DISK in options.disks:
        synced_ms = disk_sync_ms(tempfile.gettempdir())
        rows.append(figure_row("claims", f"{OWN_DISK}: 4 KiB written and synced", "ms", synced_ms))
    return rows


async def _measure_fleet(
    controllers: int, disk: str, seconds: float, options: Options, results: dict[str, list[LoadResult]]
) -> list[float]:
    """Offer all loads to one fleet.

    :returns: the stored bytes per claim of each controller after the load at the maximum rate.
    """
    own_disk = disk == OWN_DISK
    folder = tempfile.gettempdir() if own_disk else None
    sync_ms = 0.0 if own_disk else SYNC_MS
    group = "1 controller" if controllers == 1 else f"{controllers} controllers"
    stored: list[float] = []
    async with Fleet(controllers, sync_ms=sync_ms, disk=folder) as fleet:
        claimer = await fleet.claimer()
        stored_before = fleet.stored()
        granted = 0
        for load in options.loads(own_disk):
            result = await _offer(fleet, claimer, load, seconds)
            results.setdefault(f"{group}, {disk}, {load.name}", []).append(result)
            granted += result.report.granted
            if not load.rate:
                pairs = zip(fleet.stored(), stored_before, strict=True)
                stored += [(after - before) / granted for after, before in pairs]
    return stored


async def _offer(fleet: Fleet, claimer: asyncio.subprocess.Process, load: Load, seconds: float) -> LoadResult:
    pids = fleet.pids(fleet.cores)
    meter = CpuMeter(pids)
    written_before = [written_bytes(pid) for pid in pids]
    report = await fleet.load(
        claimer,
        ClaimLoad(load.name, load.rate, seconds, MAX_CONCURRENT, MAX_CLAIMS, load.stored_bytes),
    )
    usage = meter.read()
    claims = max(1, report.granted)
    return LoadResult(
        report,
        [cpu_s / claims * 1e6 for cpu_s in usage.cpu_s],
        [cpu_s / report.seconds for cpu_s in usage.cpu_s],
        usage.waited,
        [(written_bytes(pid) - before) / claims for pid, before in zip(pids, written_before, strict=True)],
    )


def claim_rows(name: str, results: list[LoadResult]) -> list[Row]:
    """Make the rows of one load from its repeats; the first is broken if too few claims were granted."""
    reports = [result.report for result in results]
    asked = sum(report.asked for report in reports)
    granted = sum(report.granted for report in reports)
    details: Row = {"ungranted": asked - granted} if granted < asked else {}
    if granted < MIN_GRANTED * asked:
        details["broken"] = True
    cpu_us = [cpu_us for result in results for cpu_us in result.controller_us]
    max_rate = CORE_MACHINE_CPU / statistics.median(cpu_us) * 1e6
    took_ms = [[took_s * 1e3 for took_s in report.took_s] for report in reports if report.took_s]
    late_ms = max(quantile(report.late_s, 0.99) for report in reports) * 1e3
    rows = [
        figure_row(
            "claims",
            f"{name}: granted",
            "a second",
            [report.granted / report.seconds for report in reports],
            controller_busy=f"{max(busy for result in results for busy in result.controller_busy):.0%}",
            claimer_busy=f"{max(report.claimer_cpu_s / report.seconds for report in reports):.0%}",
            waited_for_a_core=f"{max(result.waited for result in results):.0%}",
            **details,
        ),
        figure_row(
            "claims", f"{name}: CPU of a controller", "us a claim", cpu_us, core_machine=f"{max_rate:.0f}/s"
        ),
        figure_row("claims", f"{name}: p50", "ms", [quantile(times_ms, 0.5) for times_ms in took_ms]),
        figure_row(
            "claims",
            f"{name}: p99",
            "ms",
            [quantile(times_ms, 0.99) for times_ms in took_ms],
            asked_late_p99_ms=round(late_ms, 2),
        ),
    ]
    written = [count for result in results for count in result.written]
    if any(written):
        rows.append(figure_row("claims", f"{name}: written to disk", "bytes a claim", written))
    return rows
