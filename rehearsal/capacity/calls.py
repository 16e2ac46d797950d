"""What a call costs a node by the rate of calls, beside a bare forwarder, and where the time goes.

One client, one server that answers at once, the same bytes through each way, by turns. What a way adds to a
call is its quantile less that of the server asked directly, at the same rate in the same run.
"""

from __future__ import annotations

import asyncio
import os
import signal
import statistics
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from rehearsal.bench import forward
from rehearsal.bench.forward import ask_all
from rehearsal.bench.mesh import READS, SAVES
from rehearsal.bench.mesh_fleet import Fleet, Meter
from rehearsal.capacity.figures import BY_CALLS, Figure
from rehearsal.capacity.hops import shares
from rehearsal.wire import Address

SYNC_MS = 1.0
WARM_S = 0.5
DIRECT, BARE, ONE, TWO, KEYED = (
    "server asked directly", "bare forwarder", "one machine", "two machines", "two machines, keyed"
)  # fmt: skip
PROFILED_RATE = 200.0
DUMPED_S = 3.0
Write = Callable[[int, str], bytes]


class Calls:
    """The ways to one server, and what each has cost."""

    def __init__(self, fleet: Fleet, seconds: float) -> None:
        self._fleet, self._seconds = fleet, seconds
        self._near, self._far = fleet.sidecars
        self._serial = 0
        self.figures: list[Figure] = []

    async def run(self, rates: tuple[int, ...]) -> None:
        """All ways at all rates."""
        bench = forward.Bench(self._fleet.block, self._fleet.folder, 0)
        bench.servers = [(self._near.ip, self._fleet.ports.application)]
        try:
            bare, address = await bench.start("bare")
            near, far = (self._fleet.pids([machine])[0] for machine in (self._near, self._far))
            outbound = self._fleet.ports.outbound
            ways: list[tuple[str, Address, list[int], Write]] = [
                (DIRECT, bench.servers[0], [], READS),
                (BARE, address, [bare.pid], READS),
                (ONE, (self._near.ip, outbound), [near], READS),
                (TWO, (self._far.ip, outbound), [far, near], READS),
                (KEYED, (self._far.ip, outbound), [far, near], SAVES),
            ]
            for rate in rates:
                await self._rate(rate, ways)
        finally:
            await bench.close()

    async def _rate(self, rate: int, ways: list[tuple[str, Address, list[int], Write]]) -> None:
        direct: dict[str, Any] = {}
        bare_us = 0.0
        idle_s = 0.0  # of a controller, while nobody claims
        for name, address, pids, write in ways:
            found = await self._ask(address, rate, pids, write)
            if name == DIRECT:
                direct, idle_s = found, statistics.fmean(found["controllers"])
            else:
                for quantile in ("p50_ms", "p99_ms"):
                    value = found[quantile] - direct[quantile]
                    self._add(rate, f"{name}: added, {quantile[:3]}", "ms", value, found["note"])
            if name == KEYED:
                claims_s = max(0.0, statistics.fmean(found["controllers"]) - idle_s)
                share = 100.0 * claims_s / self._seconds
                self._add(rate, "keyed calls: CPU of each controller", "%", share, role="controller")
            if pids:
                total = 1e6 * sum(found["cpu"]) / found["asked"]
                self._add(rate, f"{name}: CPU", "us a call", total, found["note"])
                self._add(rate, f"{name}: CPU of a core", "%", 100.0 * sum(found["cpu"]) / self._seconds)
                bare_us = total if name == BARE else bare_us
                if name != BARE:
                    self._add(rate, f"{name}: CPU, times bare", "times", total / bare_us)

    async def _ask(self, address: Address, rate: float, pids: list[int], write: Write) -> dict[str, Any]:
        self._serial += 1
        await ask_all(address, rate, WARM_S, False, f"w{self._serial}-", write=write)
        meter = Meter(pids) if pids else None
        controllers = Meter(self._fleet.pids(self._fleet.cores))
        found = await ask_all(address, rate, self._seconds, False, f"m{self._serial}-", write=write)
        found["cpu"] = meter.read()[0] if meter is not None else []
        found["controllers"] = controllers.read()[0]
        found["note"] = f"failed {found['failed']}" if found["failed"] else ""
        if found["p50_ms"] is None:
            raise ValueError(f"no call to {address} was answered: {found['why']}")
        return found

    def _add(self, at: float, name: str, unit: str, value: float, note: str = "", role: str = "call") -> None:
        self.figures.append(Figure(role, name, unit, BY_CALLS, at, value, note=note))


async def measure(rates: tuple[int, ...], seconds: float) -> list[Figure]:
    """The figures of all rates, and the shares of a call's CPU at one."""
    async with Fleet(3, (1, 1), SYNC_MS) as fleet:
        calls = Calls(fleet, seconds)
        await calls.run(rates)
    return calls.figures + await profile(seconds)


async def profile(seconds: float) -> list[Figure]:
    """Where a call's time goes in a proxy, by its hops; the profiler makes short functions dearer."""
    fleet = Fleet(3, (1, 1), SYNC_MS, proxy_command=_profiled)
    found: list[Figure] = []
    async with fleet:
        near, far = fleet.sidecars
        address = (far.ip, fleet.ports.outbound)
        for kind, write in (("reads", READS), ("keyed", SAVES)):
            await ask_all(address, PROFILED_RATE, WARM_S, False, f"w{kind}-", write=write)
            files = [fleet.folder / f"{machine.name}.profile" for machine in (far, near)]
            pids = fleet.pids([far, near])
            for pid in pids:
                os.kill(pid, signal.SIGUSR1)
            result = await ask_all(address, PROFILED_RATE, seconds, False, f"m{kind}-", write=write)
            for pid in pids:
                os.kill(pid, signal.SIGUSR1)
            for role, file in zip(("outbound", "inbound"), files, strict=True):
                await _there(file)
                for hop, spent in shares(file).items():
                    us = 1e6 * spent / max(1, result["asked"])
                    name = f"{kind}, {role}, profiled: {hop}"
                    found.append(Figure("call", name, "us a call", BY_CALLS, PROFILED_RATE, us))
                file.unlink()
    return found


def _profiled(folder: Path, name: str) -> tuple[str, ...]:
    return (sys.executable, "-B", "-m", "rehearsal.capacity.profiled", str(folder / f"{name}.profile"))


async def _there(file: Path) -> None:
    for _ in range(int(DUMPED_S / 0.05)):
        if file.exists() and file.stat().st_size:
            await asyncio.sleep(0.2)
            return
        await asyncio.sleep(0.05)
    raise ValueError(f"no profile was written: {file.name}")
