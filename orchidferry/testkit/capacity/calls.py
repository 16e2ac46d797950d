"""Measures the cost of a call at a node by the rate of calls, compared to a bare forwarder, and profiles it.

One client sends the same requests to one server, which answers immediately, over several paths; the paths
take turns in each round. The latency that a path adds is its quantile minus the quantile of direct calls to
the server, at the same rate in the same round.
"""

from __future__ import annotations

import asyncio
import os
import signal
import statistics
import sys
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from orchidferry.testkit.bench import forward_bench
from orchidferry.testkit.bench.mesh_fleet import Fleet
from orchidferry.testkit.bench.mesh_requests import READS, SAVES
from orchidferry.testkit.bench.open_loop import offer_load
from orchidferry.testkit.bench.process_usage import CpuMeter
from orchidferry.testkit.capacity.figures import BY_CALLS, Figure
from orchidferry.testkit.capacity.hops import ACCEPT, ANSWER, GATE, KEY, PICK, WRITE, seconds_by_hop
from orchidferry.testkit.capacity.reference import Speed
from orchidferry.testkit.capacity.rounds import Rounds
from orchidferry.testkit.wire import Address

SYNC_MS = 1.0  # delay added to each commit of a controller
WARMUP_S = 0.2
ROUNDS = 5
PROFILE_ROUNDS = 3
REPORTED_HOPS = {  # hops that take 5% or more of a profile; the others are summed up
    "reads, outbound": (ACCEPT, PICK, WRITE, ANSWER),
    "reads, inbound": (ACCEPT, WRITE, GATE, ANSWER),
    "keyed, outbound": (ACCEPT, PICK, KEY, WRITE, ANSWER),
    "keyed, inbound": (ACCEPT, WRITE, GATE, ANSWER),
}
DIRECT = "server asked directly"
BARE = "bare forwarder"
ONE_MACHINE = "one machine"
TWO_MACHINES = "two machines"
KEYED = "two machines, keyed"
PROFILED_CALLS_PER_S = 200.0
DUMP_TIMEOUT_S = 3.0
RequestWriter = Callable[[int, str], bytes]


@dataclass(frozen=True, slots=True)
class RequestPath:
    """One path to the server.

    :ivar name: name of the path in figures
    :ivar address: where the client sends its requests
    :ivar pids: ids of the proxy or forwarder processes on the path
    :ivar write: returns the bytes of a request
    """

    name: str
    address: Address
    pids: list[int]
    write: RequestWriter


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The result of one load of calls over one path.

    :ivar p50_ms: median latency
    :ivar p99_ms: 99th percentile of the latency
    :ivar path_cpu_s: CPU time of all processes on the path, at the reference speed
    :ivar controller_cpu_s: mean CPU time of a controller, at the reference speed
    :ivar calls: number of calls made
    :ivar failed: number of calls that failed
    """

    p50_ms: float
    p99_ms: float
    path_cpu_s: float
    controller_cpu_s: float
    calls: int
    failed: int


class CallMeasurement:
    """Measures the costs of all paths to one server, in rounds in which the paths take turns."""

    def __init__(self, fleet: Fleet, seconds: float, speed: Speed) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._speed = speed
        self._server_machine, self._client_machine = fleet.sidecars
        self._serial = 0

    async def run(self, rates: tuple[int, ...]) -> list[Figure]:
        """Measure all paths at all rates.

        :param rates: calls per second
        """
        bench = forward_bench.Bench(self._fleet.block, self._fleet.folder, 0)
        bench.servers = [(self._server_machine.ip, self._fleet.ports.application)]
        results = {rate: Rounds() for rate in rates}
        try:
            paths = await self._paths(bench)
            for _ in range(ROUNDS):
                for rate, rounds in results.items():
                    await self._round(rate, paths, rounds)
        finally:
            await bench.close()
        return [figure for rate, rounds in results.items() for figure in rounds.figures(BY_CALLS, rate)]

    async def _paths(self, bench: forward_bench.Bench) -> list[RequestPath]:
        bare, bare_address = await bench.start("bare")
        machines = (self._server_machine, self._client_machine)
        server_pid, client_pid = (self._fleet.pids([machine])[0] for machine in machines)
        outbound = self._fleet.ports.outbound
        return [
            RequestPath(DIRECT, bench.servers[0], [], READS),
            RequestPath(BARE, bare_address, [bare.pid], READS),
            RequestPath(ONE_MACHINE, (self._server_machine.ip, outbound), [server_pid], READS),
            RequestPath(TWO_MACHINES, (self._client_machine.ip, outbound), [client_pid, server_pid], READS),
            RequestPath(KEYED, (self._client_machine.ip, outbound), [client_pid, server_pid], SAVES),
        ]

    async def _round(self, rate: int, paths: list[RequestPath], rounds: Rounds) -> None:
        """Measure all paths once at one rate: direct calls first, the bare forwarder second."""
        results = {path.name: await self._offer_load(path, rate) for path in paths}
        direct = results[DIRECT]
        bare = results[BARE]
        for path in paths[1:]:
            result = results[path.name]
            rounds.add("call", f"{path.name}: added, p50", "ms", result.p50_ms - direct.p50_ms)
            rounds.add("call", f"{path.name}: added, p99", "ms", result.p99_ms - direct.p99_ms)
            rounds.add("call", f"{path.name}: CPU", "us a call", 1e6 * result.path_cpu_s / result.calls)
            rounds.add(
                "call", f"{path.name}: CPU of a core", "%", 100.0 * result.path_cpu_s * rate / result.calls
            )
            rounds.add("call", f"{path.name}: not answered", "calls", result.failed)
            if path.name != BARE:
                ratio = result.path_cpu_s / result.calls / (bare.path_cpu_s / bare.calls)
                rounds.add("call", f"{path.name}: CPU, times bare", "times", ratio)
        claims_s = results[KEYED].controller_cpu_s - direct.controller_cpu_s
        claim_us = 1e6 * claims_s / results[KEYED].calls
        rounds.add("controller", "keyed calls: CPU of each controller", "us a call", claim_us)

    async def _offer_load(self, path: RequestPath, rate: float) -> LoadResult:
        self._serial += 1
        await offer_load(path.address, rate, WARMUP_S, f"w{self._serial}-", path.write)
        self._speed.slowness()
        meter = CpuMeter(path.pids) if path.pids else None
        controllers = CpuMeter(self._fleet.pids(self._fleet.cores))
        report = await offer_load(path.address, rate, self._seconds, f"m{self._serial}-", path.write)
        spent_s = sum(meter.read().cpu_s) if meter is not None else 0.0
        controllers_s = controllers.read().cpu_s
        slowness = self._speed.slowness()
        if report.p50_ms is None or report.p99_ms is None:
            raise ValueError(f"no call to {path.address} was answered: {report.why}")
        return LoadResult(
            report.p50_ms,
            report.p99_ms,
            spent_s / slowness,
            statistics.fmean(controllers_s) / slowness,
            report.asked,
            report.failed,
        )


async def measure(rates: tuple[int, ...], seconds: float) -> list[Figure]:
    """Measure all rates, and profile calls at one rate.

    :param rates: calls per second
    :param seconds: duration of each load
    """
    speed = Speed()
    speed_task = asyncio.get_running_loop().create_task(speed.run())
    try:
        async with Fleet(3, (1, 1), SYNC_MS) as fleet:
            results = await CallMeasurement(fleet, seconds, speed).run(rates)
    finally:
        speed_task.cancel()
    return results + await profile(seconds)


async def profile(seconds: float) -> list[Figure]:
    """Measure the shares of a call's hops in a proxy's CPU time; the profiler overstates short functions."""
    fleet = Fleet(3, (1, 1), SYNC_MS, proxy_command=_profiled_command)
    rounds = Rounds()
    async with fleet:
        address = (fleet.sidecars[1].ip, fleet.ports.outbound)
        for kind, write in (("reads", READS), ("keyed", SAVES)):
            await offer_load(address, PROFILED_CALLS_PER_S, WARMUP_S, f"w{kind}-", write)
            for number in range(PROFILE_ROUNDS):
                tag = f"m{kind}-{number}-"
                outbound, inbound = await _profile_once(fleet, address, seconds, tag, write)
                _add_shares(rounds, f"{kind}, outbound", outbound)
                _add_shares(rounds, f"{kind}, inbound", inbound)
    return rounds.figures(BY_CALLS, PROFILED_CALLS_PER_S)


async def _profile_once(
    fleet: Fleet, address: Address, seconds: float, tag: str, write: RequestWriter
) -> tuple[dict[str, float], dict[str, float]]:
    """Profile one load; return the seconds by hop in the proxies beside the client and beside the server."""
    server_machine, client_machine = fleet.sidecars
    files = [fleet.folder / f"{machine.name}.profile" for machine in (client_machine, server_machine)]
    pids = fleet.pids([client_machine, server_machine])
    for pid in pids:
        os.kill(pid, signal.SIGUSR1)
    await offer_load(address, PROFILED_CALLS_PER_S, seconds, tag, write)
    for pid in pids:
        os.kill(pid, signal.SIGUSR1)
    profiles = []
    for file in files:
        await _wait_for_file(file)
        profiles.append(seconds_by_hop(file))
        file.unlink()
    return profiles[0], profiles[1]


def _add_shares(rounds: Rounds, name: str, hop_seconds: dict[str, float]) -> None:
    """Add each reported hop's share of the profile, and the share of all others."""
    total = sum(hop_seconds.values())
    reported = {hop: spent for hop, spent in hop_seconds.items() if hop in REPORTED_HOPS[name]}
    for hop, spent in reported.items():
        rounds.add("call", f"{name}, profiled: {hop}", "% of the profile", 100.0 * spent / total)
    rest = 100.0 * (total - sum(reported.values())) / total
    rounds.add("call", f"{name}, profiled: all else", "% of the profile", rest)


def _profiled_command(folder: Path, name: str) -> tuple[str, ...]:
    return (
        sys.executable,
        "-B",
        "-m",
        "orchidferry.testkit.capacity.profiled",
        str(folder / f"{name}.profile"),
    )


async def _wait_for_file(file: Path) -> None:
    for _ in range(int(DUMP_TIMEOUT_S / 0.05)):
        if file.exists() and file.stat().st_size:
            await asyncio.sleep(0.2)
            return
        await asyncio.sleep(0.05)
    raise ValueError(f"no profile was written: {file.name}")
