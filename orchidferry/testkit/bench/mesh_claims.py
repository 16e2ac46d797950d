"""`bench mesh`, claims: operation keys claimed of one controller and of three."""

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

RATES = (150.0, 500.0)  # claims a second that are offered
MAX_CONCURRENT = 512  # claims under way where the largest rate is measured
MIN_GRANTED = 0.99  # of what is asked; below that a row is broken
MAX_CLAIMS = 40_000  # of one load
STORED_BODY_BYTES = 600
SYNC_MS = 1.0  # that each commit takes longer on a disk in memory: a core machine's sync
CORE_MACHINE_CPU = 0.645  # of a core: what a core machine has
# Where controllers write.
MEMORY_DISK = "1 ms a sync"
OWN_DISK = "this disk"


@dataclass(frozen=True, slots=True)
class Load:
    """A load that is offered to the controllers."""

    name: str
    rate: float  # claims a second; 0: `MAX_CONCURRENT` are always under way
    stored_bytes: int  # of the answer that is stored under each key


@dataclass(frozen=True, slots=True)
class LoadResult:
    """What came of one load, and what it cost the controllers."""

    report: ClaimReport
    controller_us: list[float]  # CPU a claim, of each controller
    controller_busy: list[float]  # fraction of a core, of each controller
    waited: float  # fraction of the time that a controller waited for a core
    written: list[float]  # bytes a claim, of each controller; 0 where the disk is in memory


@dataclass(frozen=True, slots=True)
class Options:
    """What is measured."""

    groups: Sequence[int] = (1, 3)  # controllers
    rates: Sequence[float] = RATES
    disks: Sequence[str] = (MEMORY_DISK, OWN_DISK)
    max_rate: bool = True  # whether the largest rate is measured

    def loads(self, own_disk: bool) -> list[Load]:
        """The loads of one fleet."""
        loads = [Load(f"{rate:g}/s", rate, 0) for rate in self.rates]
        if self.max_rate:
            loads.append(Load(f"{MAX_CONCURRENT} at once", 0.0, 0))
        if own_disk:
            rate = self.rates[-1]
            name = f"{rate:g}/s, answers of {STORED_BODY_BYTES} B kept"
            loads.append(Load(name, rate, STORED_BODY_BYTES))
        return loads


async def measure_claims(seconds: float, turns: int, options: Options | None = None) -> list[Row]:
    """Claim keys at rates and as fast as they go; each turn with new disks.

    The disk is in memory, with a commit 1 ms longer, as a core machine's is; the largest group's is also the
    folder for temporary files.
    """
    options = options or Options()
    results: dict[str, list[LoadResult]] = {}
    stored: list[float] = []
    for _ in range(turns):
        for controllers in options.groups:
            largest = controllers == max(options.groups)
            for disk in options.disks if largest else options.disks[:1]:
                stored += await _measure_fleet(controllers, disk, seconds, options, results)
    rows = [row for name, some in results.items() for row in claim_rows(name, some)]
    if stored:
        rows.append(figure_row("claims", "kept on disk", "bytes a claim", stored))
    if OWN_DISK in options.disks:
        synced_ms = disk_sync_ms(tempfile.gettempdir())
        rows.append(figure_row("claims", f"{OWN_DISK}: 4 KiB written and synced", "ms", synced_ms))
    return rows


async def _measure_fleet(
    controllers: int, disk: str, seconds: float, options: Options, results: dict[str, list[LoadResult]]
) -> list[float]:
    """Offer all loads to one fleet; bytes that each controller stores for a claim, after the largest rate."""
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
    """The rows of one load from its repeats; broken if too few claims were granted."""
    reports = [result.report for result in results]
    asked = sum(report.asked for report in reports)
    granted = sum(report.granted for report in reports)
    lost: Row = {"ungranted": asked - granted} if granted < asked else {}
    if granted < MIN_GRANTED * asked:
        lost["broken"] = True
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
            **lost,
        ),
        figure_row(
            "claims", f"{name}: CPU of a controller", "us a claim", cpu_us, core_machine=f"{max_rate:.0f}/s"
        ),
        figure_row("claims", f"{name}: p50", "ms", [quantile(some, 0.5) for some in took_ms]),
        figure_row(
            "claims",
            f"{name}: p99",
            "ms",
            [quantile(some, 0.99) for some in took_ms],
            asked_late_p99_ms=round(late_ms, 2),
        ),
    ]
    written = [count for result in results for count in result.written]
    if any(written):
        rows.append(figure_row("claims", f"{name}: written to disk", "bytes a claim", written))
    return rows
