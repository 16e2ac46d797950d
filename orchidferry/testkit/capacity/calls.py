"""What a call costs a node by the rate of calls, beside a bare forwarder, and where the time goes.

One client, one server that answers at once, the same bytes through each way, by turns in each round. What a
way adds to a call is its quantile less that of the server asked directly, at the same rate in the same round.
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
from orchidferry.testkit.capacity.hops import ACCEPT, ANSWER, GATE, KEY, PICK, WRITE, shares
from orchidferry.testkit.capacity.reference import Speed
from orchidferry.testkit.capacity.rounds import Rounds
from orchidferry.testkit.wire import Address

SYNC_MS = 1.0
WARM_S = 0.2
ROUNDS = 5
PROFILES = 3
HOPS_TOLD = {  # the hops that are a twentieth or more of a profile; the others are told together
    "reads, outbound": (ACCEPT, PICK, WRITE, ANSWER),
    "reads, inbound": (ACCEPT, WRITE, GATE, ANSWER),
    "keyed, outbound": (ACCEPT, PICK, KEY, WRITE, ANSWER),
    "keyed, inbound": (ACCEPT, WRITE, GATE, ANSWER),
}
DIRECT = "server asked directly"
BARE = "bare forwarder"
ONE = "one machine"
TWO = "two machines"
KEYED = "two machines, keyed"
PROFILED_RATE = 200.0
DUMPED_S = 3.0
Write = Callable[[int, str], bytes]


@dataclass(frozen=True, slots=True)
class Way:
    """One way to the server, and the processes on it."""

    name: str
    address: Address
    pids: list[int]
    write: Write


@dataclass(frozen=True, slots=True)
class Asked:
    """What one load of calls over one way found."""

    p50_ms: float
    p99_ms: float
    way_s: float  # CPU of the way's processes together, at the reference's speed
    controller_s: float  # and of a controller
    asked: int
    failed: int


class Calls:
    """The ways to one server, and what each has cost, in rounds in which all ways take turns."""

    def __init__(self, fleet: Fleet, seconds: float, speed: Speed) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._speed = speed
        self._near, self._far = fleet.sidecars
        self._serial = 0

    async def run(self, rates: tuple[int, ...]) -> list[Figure]:
        """All ways at all rates."""
        bench = forward_bench.Bench(self._fleet.block, self._fleet.folder, 0)
        bench.servers = [(self._near.ip, self._fleet.ports.application)]
        found = {rate: Rounds() for rate in rates}
        try:
            ways = await self._ways(bench)
            for _ in range(ROUNDS):
                for rate, rounds in found.items():
                    await self._round(rate, ways, rounds)
        finally:
            await bench.close()
        return [figure for rate, rounds in found.items() for figure in rounds.figures(BY_CALLS, rate)]

    async def _ways(self, bench: forward_bench.Bench) -> list[Way]:
        bare, bare_address = await bench.start("bare")
        near, far = (self._fleet.pids([machine])[0] for machine in (self._near, self._far))
        outbound = self._fleet.ports.outbound
        return [
            Way(DIRECT, bench.servers[0], [], READS),
            Way(BARE, bare_address, [bare.pid], READS),
            Way(ONE, (self._near.ip, outbound), [near], READS),
            Way(TWO, (self._far.ip, outbound), [far, near], READS),
            Way(KEYED, (self._far.ip, outbound), [far, near], SAVES),
        ]

    async def _round(self, rate: int, ways: list[Way], rounds: Rounds) -> None:
        """All ways once at one rate; the server asked directly comes first, the bare forwarder next."""
        found = {way.name: await self._ask(way, rate) for way in ways}
        direct = found[DIRECT]
        bare = found[BARE]
        for way in ways[1:]:
            one = found[way.name]
            rounds.add("call", f"{way.name}: added, p50", "ms", one.p50_ms - direct.p50_ms)
            rounds.add("call", f"{way.name}: added, p99", "ms", one.p99_ms - direct.p99_ms)
            rounds.add("call", f"{way.name}: CPU", "us a call", 1e6 * one.way_s / one.asked)
            rounds.add("call", f"{way.name}: CPU of a core", "%", 100.0 * one.way_s * rate / one.asked)
            rounds.add("call", f"{way.name}: not answered", "calls", one.failed)
            if way.name != BARE:
                times = one.way_s / one.asked / (bare.way_s / bare.asked)
                rounds.add("call", f"{way.name}: CPU, times bare", "times", times)
        claims_s = found[KEYED].controller_s - direct.controller_s
        us = 1e6 * claims_s / found[KEYED].asked
        rounds.add("controller", "keyed calls: CPU of each controller", "us a call", us)

    async def _ask(self, way: Way, rate: float) -> Asked:
        self._serial += 1
        await offer_load(way.address, rate, WARM_S, f"w{self._serial}-", way.write)
        self._speed.slowness()
        meter = CpuMeter(way.pids) if way.pids else None
        controllers = CpuMeter(self._fleet.pids(self._fleet.cores))
        report = await offer_load(way.address, rate, self._seconds, f"m{self._serial}-", way.write)
        spent_s = sum(meter.read().cpu_s) if meter is not None else 0.0
        controllers_s = controllers.read().cpu_s
        slowness = self._speed.slowness()
        if report.p50_ms is None or report.p99_ms is None:
            raise ValueError(f"no call to {way.address} was answered: {report.why}")
        return Asked(
            report.p50_ms,
            report.p99_ms,
            spent_s / slowness,
            statistics.fmean(controllers_s) / slowness,
            report.asked,
            report.failed,
        )


async def measure(rates: tuple[int, ...], seconds: float) -> list[Figure]:
    """The figures of all rates, and the shares of a call's CPU at one."""
    speed = Speed()
    keeping = asyncio.get_running_loop().create_task(speed.keep())
    try:
        async with Fleet(3, (1, 1), SYNC_MS) as fleet:
            found = await Calls(fleet, seconds, speed).run(rates)
    finally:
        keeping.cancel()
    return found + await profile(seconds)


async def profile(seconds: float) -> list[Figure]:
    """Where a call's time goes in a proxy, by its hops; the profiler makes short functions dearer."""
    fleet = Fleet(3, (1, 1), SYNC_MS, proxy_command=_profiled)
    rounds = Rounds()
    async with fleet:
        address = (fleet.sidecars[1].ip, fleet.ports.outbound)
        for kind, write in (("reads", READS), ("keyed", SAVES)):
            await offer_load(address, PROFILED_RATE, WARM_S, f"w{kind}-", write)
            for number in range(PROFILES):
                tag = f"m{kind}-{number}-"
                outbound, inbound = await _profile_once(fleet, address, seconds, tag, write)
                _add_shares(rounds, f"{kind}, outbound", outbound)
                _add_shares(rounds, f"{kind}, inbound", inbound)
    return rounds.figures(BY_CALLS, PROFILED_RATE)


async def _profile_once(
    fleet: Fleet, address: Address, seconds: float, tag: str, write: Write
) -> tuple[dict[str, float], dict[str, float]]:
    """Seconds by hop in the caller's proxy and in the server's, while calls go on."""
    near, far = fleet.sidecars
    files = [fleet.folder / f"{machine.name}.profile" for machine in (far, near)]
    pids = fleet.pids([far, near])
    for pid in pids:
        os.kill(pid, signal.SIGUSR1)
    await offer_load(address, PROFILED_RATE, seconds, tag, write)
    for pid in pids:
        os.kill(pid, signal.SIGUSR1)
    found = []
    for file in files:
        await _there(file)
        found.append(shares(file))
        file.unlink()
    return found[0], found[1]


def _add_shares(rounds: Rounds, name: str, found: dict[str, float]) -> None:
    """Each hop of some length as a share of all."""
    total = sum(found.values())
    long = {hop: spent for hop, spent in found.items() if hop in HOPS_TOLD[name]}
    for hop, spent in long.items():
        rounds.add("call", f"{name}, profiled: {hop}", "% of the profile", 100.0 * spent / total)
    rest = 100.0 * (total - sum(long.values())) / total
    rounds.add("call", f"{name}, profiled: all else", "% of the profile", rest)


def _profiled(folder: Path, name: str) -> tuple[str, ...]:
    return (
        sys.executable,
        "-B",
        "-m",
        "orchidferry.testkit.capacity.profiled",
        str(folder / f"{name}.profile"),
    )


async def _there(file: Path) -> None:
    for _ in range(int(DUMPED_S / 0.05)):
        if file.exists() and file.stat().st_size:
            await asyncio.sleep(0.2)
            return
        await asyncio.sleep(0.05)
    raise ValueError(f"no profile was written: {file.name}")
