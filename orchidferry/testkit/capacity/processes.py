"""Real controllers and proxies over loopback, in fleets whose other nodes are hollow.

CPU is the kernel's count for all threads of a process, at the reference's speed (`reference`). Three
controllers, as today's group has; two real proxies, heads of zones of their own, so that each takes all
news from the controllers.
"""

from __future__ import annotations

import asyncio
import statistics
import time

from orchidferry.testkit.bench.mesh_fleet import HOST, READY_S, Fleet
from orchidferry.testkit.bench.process_usage import CpuMeter
from orchidferry.testkit.capacity.figures import BY_NODES, BY_SERVICES, Figure
from orchidferry.testkit.capacity.hollow import Hollow, Traffic
from orchidferry.testkit.capacity.plan import services_of
from orchidferry.testkit.capacity.reference import Speed
from orchidferry.testkit.capacity.rounds import Rounds
from orchidferry.testkit.capacity.texts import names, whole
from orchidferry.testkit.mesh.control_api import call

CONTROLLERS = 3
PROXIES = (1, 1)
SYNC_MS = 1.0  # that a controller's commit takes longer
SETTLE_S = 2.0
ROUNDS = 5
# so long, of a round's time, as the servers' beats take all of it
CHANGES_A_SECOND = 40
CHANGES_SHARE = 0.5
CONFIGURATIONS = 2  # of each round
CONFIGURED_S = 0.2  # after a configuration has come, for all work that it makes
KNOWN_S = 5.0


class Measured:
    """One fleet of real and hollow nodes, and the figures that it has given."""

    def __init__(self, fleet: Fleet, nodes: int, services: int, axis: str, seconds: float) -> None:
        self._fleet = fleet
        self._axis = axis
        self._seconds = seconds
        own = sorted({machine.service for machine in fleet.sidecars})
        self._services = [*own, *names(services - len(own))]
        first = fleet.cores[0].ip.split(".")
        own_ip = f"127.{first[1]}.31.1"
        self._hollow = Hollow(
            nodes - len(fleet.sidecars),
            self._services,
            [core.ip for core in fleet.cores],
            fleet.ports.internal,
            own_ip,
            fleet.ports.inbound,
        )
        self._at = float(nodes if axis == BY_NODES else services)
        self._roles = (("controller", fleet.cores), ("proxy", fleet.sidecars))
        self._speed, self._rounds = Speed(), Rounds()
        self._changed = 0  # nodes whose record has changed

    async def run(self) -> list[Figure]:
        """Join; then, in each round, rest, change records, change configurations; then read the memory."""
        speed = asyncio.get_running_loop().create_task(self._speed.keep())
        try:
            await self._put()
            await asyncio.sleep(SETTLE_S)
            await self._join()
            for _ in range(ROUNDS):
                idle = await self._idle()
                await self._record_changes(idle)
                await self._configurations(idle)
            for role, machines in self._roles:
                self._rounds.add(role, "peak memory", "MB", *self._fleet.peaks(machines))
            self._hollow.check()
        finally:
            speed.cancel()
            self._hollow.close()
        return self._rounds.figures(self._axis, self._at)

    def _begin(self) -> list[tuple[str, CpuMeter]]:
        """Meters of all roles, beside a new look at the machine's speed."""
        self._speed.slowness()
        return [(role, self._fleet.meter(machines)) for role, machines in self._roles]

    def _used(self, meters: list[tuple[str, CpuMeter]]) -> dict[str, list[float]]:
        """CPU seconds of each process by role, at the reference's speed."""
        used = {role: meter.read().cpu_s for role, meter in meters}
        slowness = self._speed.slowness()
        return {role: [cpu_s / slowness for cpu_s in some] for role, some in used.items()}

    async def _join(self) -> None:
        meters = self._begin()
        took = await self._hollow.join()
        await asyncio.sleep(SETTLE_S)
        for role, used in self._used(meters).items():
            self._rounds.once(role, "whole fleet joins: CPU", "s", *used)
        self._rounds.once("controller", "whole fleet joins: time to connect", "s", took)

    async def _idle(self) -> dict[str, float]:
        """CPU a second of each role, with leases alone."""
        meters = self._begin()
        before = _totals(self._hollow.traffic)
        began = time.monotonic()
        await asyncio.sleep(self._seconds)
        passed = time.monotonic() - began
        idle = {role: statistics.fmean(used) / passed for role, used in self._used(meters).items()}
        for role, share in idle.items():
            self._rounds.add(role, "leases alone: CPU", "% of a core", 100.0 * share)
        now = _totals(self._hollow.traffic)
        bytes_up, bytes_down, up, down = ((b - a) / passed for a, b in zip(before, now, strict=True))
        add = self._rounds.add
        count = len(self._hollow.nodes)
        add("controller", "leases alone: messages in", "a second", up / CONTROLLERS)
        add("controller", "leases alone: messages out", "a second", down / CONTROLLERS)
        add("controller", "leases alone: bytes in", "B/s", bytes_up / CONTROLLERS)
        add("controller", "leases alone: bytes out", "B/s", bytes_down / CONTROLLERS)
        add("proxy", "leases alone: bytes in and out", "B/s", (bytes_up + bytes_down) / count)
        return idle

    async def _record_changes(self, idle: dict[str, float]) -> None:
        meters = self._begin()
        began = time.monotonic()
        count = max(4, round(CHANGES_A_SECOND * CHANGES_SHARE * self._seconds))
        for _ in range(count):
            self._changed += 7
            self._hollow.nodes[self._changed % len(self._hollow.nodes)].publish()
            await asyncio.sleep(1.0 / CHANGES_A_SECOND)
        self._changes("record change", meters, count, idle, time.monotonic() - began)

    def _changes(
        self, what: str, meters: list[tuple[str, CpuMeter]], count: int, idle: dict[str, float], passed: float
    ) -> None:
        """What one change costs, over what goes on without it."""
        for role, used in self._used(meters).items():
            spent_s = statistics.fmean(used) - idle[role] * passed
            self._rounds.add(role, f"{what}: CPU", "ms a change", 1e3 * spent_s / count)

    async def _configurations(self, idle: dict[str, float]) -> None:
        meters = self._begin()
        began = time.monotonic()
        for _ in range(CONFIGURATIONS):
            sent = time.monotonic()
            done = await self._put()
            self._rounds.add("controller", "configuration: to its acknowledgement", "ms", 1e3 * (done - sent))
            heads = await self._hollow.texts(self._fleet.revision, KNOWN_S)
            if len(heads) < self._hollow.heads:
                raise ValueError(f"revision {self._fleet.revision} came to {len(heads)} heads")
            await asyncio.sleep(CONFIGURED_S)
        self._changes("configuration", meters, CONFIGURATIONS, idle, time.monotonic() - began)

    async def _put(self) -> float:
        """Have the next configuration taken; when that was acknowledged."""
        fleet = self._fleet
        base = fleet.revision
        fleet.revision = fleet.revision + 1
        body = whole(fleet.revision, self._services, fleet.routes())
        where = (fleet.cores[0].ip, fleet.ports.control)
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            outcome, _ = await call(
                fleet.run_context.pool(fleet.cores[0]),
                where,
                "PUT",
                "/orchidferry/configuration",
                body,
                base,
                5.0,
            )
            if outcome.how == "answer" and outcome.status == 200:
                return outcome.t
            await asyncio.sleep(0.05)
        raise ValueError(f"no configuration was taken: {outcome.status} {outcome.body[:200]!r} at {HOST}")


def _totals(traffic: Traffic) -> tuple[float, float, float, float]:
    return traffic.up.total(), traffic.down.total(), traffic.up_messages, traffic.down_messages


async def measure(nodes: int, services: int, axis: str, seconds: float) -> list[Figure]:
    """The figures of one fleet; its processes are gone when this ends."""
    async with Fleet(CONTROLLERS, PROXIES, SYNC_MS) as fleet:
        return await Measured(fleet, nodes, services, axis, seconds).run()


async def by_nodes(nodes: int, seconds: float) -> list[Figure]:
    """With as many services as a fleet of that size has."""
    return await measure(nodes, services_of(nodes), BY_NODES, seconds)


async def by_services(nodes: int, services: int, seconds: float) -> list[Figure]:
    """With any number of services."""
    return await measure(nodes, services, BY_SERVICES, seconds)
