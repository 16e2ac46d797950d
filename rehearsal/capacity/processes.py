"""Real controllers and proxies over loopback, in fleets whose other nodes are hollow.

CPU is the kernel's count for all threads of a process. Three controllers, as today's group has; two real
proxies, heads of zones of their own, so that each takes all news from the controllers.
"""

from __future__ import annotations

import asyncio
import statistics
import time
from collections.abc import Callable

from rehearsal.bench.mesh_fleet import HOST, READY_S, Fleet, Meter
from rehearsal.capacity.figures import BY_NODES, BY_SERVICES, Figure
from rehearsal.capacity.hollow import Hollow, Traffic
from rehearsal.capacity.plan import services_of
from rehearsal.capacity.texts import names, whole
from rehearsal.mesh.ask import call
from rehearsal.mesh.day import Machine

CONTROLLERS, PROXIES = 3, (1, 1)
SYNC_MS = 1.0  # that a controller's commit takes longer
SETTLE_S = 2.5
CHANGES_A_SECOND = 10
CONFIGURATIONS = 5
KNOWN_S = 5.0
Add = Callable[..., None]


class Measured:
    """One fleet of real and hollow nodes, and the figures that it has given."""

    def __init__(self, fleet: Fleet, nodes: int, services: int, axis: str, seconds: float) -> None:
        self._fleet, self._nodes, self._axis, self._seconds = fleet, nodes, axis, seconds
        own = sorted({machine.service for machine in fleet.sidecars})
        self._services = [*own, *names(services - len(own))]
        first = fleet.cores[0].ip.split(".")
        own_ip = f"127.{first[1]}.31.1"
        self._hollow = Hollow(
            nodes - len(fleet.sidecars), self._services, [core.ip for core in fleet.cores],
            fleet.ports.internal, own_ip, fleet.ports.inbound,
        )  # fmt: skip
        self._at = float(nodes if axis == BY_NODES else services)
        self.figures: list[Figure] = []

    def _add(self, role: str, name: str, unit: str, value: float, note: str = "") -> None:
        self.figures.append(Figure(role, name, unit, self._axis, self._at, value, note=note))

    def _roles(self) -> list[tuple[str, list[Machine]]]:
        return [("controller", self._fleet.cores), ("proxy", self._fleet.sidecars)]

    async def run(self) -> None:
        """Join, rest, change records, change configurations; then read the memory."""
        try:
            await self._put()
            await asyncio.sleep(SETTLE_S)
            await self._join()
            idle = await self._idle()
            await self._record_changes(idle)
            await self._configurations(idle)
            for role, machines in self._roles():
                self._add(role, "peak memory", "MB", max(self._fleet.peaks(machines)))
            self._hollow.check()
        finally:
            self._hollow.close()

    async def _join(self) -> None:
        meters = [(role, self._fleet.meter(machines)) for role, machines in self._roles()]
        took = await self._hollow.join()
        await asyncio.sleep(SETTLE_S)
        for role, meter in meters:
            self._add(role, "whole fleet joins: CPU", "s", max(meter.read()[0]))
        self._add("controller", "whole fleet joins: time to connect", "s", took)

    async def _idle(self) -> dict[str, float]:
        """CPU a second of each role, with leases alone."""
        meters = [(role, self._fleet.meter(machines)) for role, machines in self._roles()]
        before = _totals(self._hollow.traffic)
        began = time.monotonic()
        await asyncio.sleep(self._seconds)
        passed = time.monotonic() - began
        now = _totals(self._hollow.traffic)
        idle = {}
        for role, meter in meters:
            idle[role] = statistics.fmean(meter.read()[0]) / passed
            self._add(role, "leases alone: CPU", "% of a core", 100.0 * idle[role])
        bytes_up, bytes_down, up, down = ((b - a) / passed for a, b in zip(before, now, strict=True))
        self._add("controller", "leases alone: messages in", "a second", up / CONTROLLERS)
        self._add("controller", "leases alone: messages out", "a second", down / CONTROLLERS)
        self._add("controller", "leases alone: bytes in", "B/s", bytes_up / CONTROLLERS)
        self._add("controller", "leases alone: bytes out", "B/s", bytes_down / CONTROLLERS)
        count = len(self._hollow.nodes)
        self._add("proxy", "leases alone: bytes in and out", "B/s", (bytes_up + bytes_down) / count)
        return idle

    async def _record_changes(self, idle: dict[str, float]) -> None:
        meters = [(role, self._fleet.meter(machines)) for role, machines in self._roles()]
        began, count = time.monotonic(), max(4, round(CHANGES_A_SECOND * self._seconds))
        for number in range(count):
            self._hollow.nodes[number * 7 % len(self._hollow.nodes)].publish()
            await asyncio.sleep(1.0 / CHANGES_A_SECOND)
        self._changes("record change", meters, count, idle, time.monotonic() - began)

    def _changes(
        self, what: str, meters: list[tuple[str, Meter]], count: int, idle: dict[str, float], passed: float
    ) -> None:
        for role, meter in meters:
            spent = statistics.fmean(meter.read()[0]) - idle[role] * passed
            self._add(role, f"{what}: CPU", "ms a change", max(0.0, 1e3 * spent / count))

    async def _configurations(self, idle: dict[str, float]) -> None:
        meters = [(role, self._fleet.meter(machines)) for role, machines in self._roles()]
        began, took, acknowledged = time.monotonic(), list[float](), list[float]()
        for _ in range(CONFIGURATIONS):
            sent = time.monotonic()
            done = await self._put()
            acknowledged.append(1e3 * (done - sent))
            heads = await self._hollow.texts(self._fleet.revision, KNOWN_S)
            if len(heads) < self._hollow.heads:
                raise ValueError(f"revision {self._fleet.revision} came to {len(heads)} heads")
            took.append(1e3 * (max(heads) - done))
            await asyncio.sleep(0.2)
        self._changes("configuration", meters, CONFIGURATIONS, idle, time.monotonic() - began)
        self._add(
            "controller", "configuration: to its acknowledgement", "ms", statistics.median(acknowledged)
        )
        self._add("relay", "configuration: to the last head", "ms", statistics.median(took))

    async def _put(self) -> float:
        """Have the next configuration taken; when that was acknowledged."""
        fleet = self._fleet
        base, fleet.revision = fleet.revision, fleet.revision + 1
        body = whole(fleet.revision, self._services, fleet.routes())
        where = (fleet.cores[0].ip, fleet.ports.control)
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            outcome, _ = await call(
                fleet.scene.pool(fleet.cores[0]), where, "PUT", "/orchidferry/configuration", body, base, 5.0
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
        measured = Measured(fleet, nodes, services, axis, seconds)
        await measured.run()
        return measured.figures


async def by_nodes(nodes: int, seconds: float) -> list[Figure]:
    """With as many services as a fleet of that size has."""
    return await measure(nodes, services_of(nodes), BY_NODES, seconds)


async def by_services(nodes: int, services: int, seconds: float) -> list[Figure]:
    """With any number of services."""
    return await measure(nodes, services, BY_SERVICES, seconds)
