"""Measures real controllers and proxies over loopback, in fleets whose other nodes are hollow.

CPU time is the kernel's count for all threads of a process, scaled to the reference speed (`reference`).
There are three controllers, as in the current group, and two real proxies. The proxies are the heads of zones
of their own, so that each receives all updates from the controllers.
"""

from __future__ import annotations

import asyncio
import statistics
import time

from orchidferry.testkit.bench.mesh_fleet import HOST, READY_S, Fleet
from orchidferry.testkit.bench.process_usage import CpuMeter
from orchidferry.testkit.capacity.figures import BY_NODES, BY_SERVICES, Figure
from orchidferry.testkit.capacity.hollow import HollowFleet, Traffic
from orchidferry.testkit.capacity.plan import services_of
from orchidferry.testkit.capacity.reference import Speed
from orchidferry.testkit.capacity.rounds import Rounds
from orchidferry.testkit.capacity.texts import configuration_for, service_names
from orchidferry.testkit.mesh.control_api import call

CONTROLLERS = 3
PROXIES = (1, 1)
SYNC_MS = 1.0  # delay added to each commit of a controller
SETTLE_S = 2.0
ROUNDS = 5
# Rate of record changes, and the share of a round's time for which they go on. The measurement of leases
# alone, which has to cover the heartbeats of the servers, takes all of that time.
CHANGES_PER_S = 40
CHANGES_SHARE = 0.5
CONFIGURATIONS = 2  # changes per round
APPLY_WAIT_S = 0.2  # wait after a configuration has arrived, for the work that it causes
CONFIGURATION_TIMEOUT_S = 5.0


class FleetMeasurement:
    """Measures one fleet of real and hollow nodes."""

    def __init__(self, fleet: Fleet, nodes: int, services: int, axis: str, seconds: float) -> None:
        self._fleet = fleet
        self._axis = axis
        self._seconds = seconds
        own = sorted({machine.service for machine in fleet.sidecars})
        self._services = [*own, *service_names(services - len(own))]
        first = fleet.cores[0].ip.split(".")
        own_ip = f"127.{first[1]}.31.1"
        self._hollow = HollowFleet(
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
        self._publish_index = 0  # selects the hollow node whose record changes

    async def run(self) -> list[Figure]:
        """Measure the connection of all nodes, then the rounds, then peak memory.

        In each round, leases alone, record changes and configuration changes are measured.
        """
        speed = asyncio.get_running_loop().create_task(self._speed.run())
        try:
            await self._put_configuration()
            await asyncio.sleep(SETTLE_S)
            await self._measure_connecting()
            for _ in range(ROUNDS):
                idle = await self._measure_idle()
                await self._measure_record_changes(idle)
                await self._measure_configurations(idle)
            for role, machines in self._roles:
                self._rounds.add(role, "peak memory", "MB", *self._fleet.peaks(machines))
            self._hollow.check()
        finally:
            speed.cancel()
            self._hollow.close()
        return self._rounds.figures(self._axis, self._at)

    def _start_meters(self) -> list[tuple[str, CpuMeter]]:
        """Start CPU meters for all roles, and a new measurement of the machine's speed."""
        self._speed.slowness()
        return [(role, self._fleet.meter(machines)) for role, machines in self._roles]

    def _cpu_seconds(self, meters: list[tuple[str, CpuMeter]]) -> dict[str, list[float]]:
        """Return the CPU seconds of each process by role, at the reference speed."""
        cpu_seconds = {role: meter.read().cpu_s for role, meter in meters}
        slowness = self._speed.slowness()
        return {role: [cpu_s / slowness for cpu_s in process_s] for role, process_s in cpu_seconds.items()}

    async def _measure_connecting(self) -> None:
        meters = self._start_meters()
        duration_s = await self._hollow.connect_all()
        await asyncio.sleep(SETTLE_S)
        for role, cpu_seconds in self._cpu_seconds(meters).items():
            self._rounds.add_single(role, "whole fleet joins: CPU", "s", *cpu_seconds)
        self._rounds.add_single("controller", "whole fleet joins: time to connect", "s", duration_s)

    async def _measure_idle(self) -> dict[str, float]:
        """Measure leases alone; return the mean CPU time per second of a process, by role."""
        meters = self._start_meters()
        before = _traffic_totals(self._hollow.traffic)
        began = time.monotonic()
        await asyncio.sleep(self._seconds)
        passed = time.monotonic() - began
        idle = {
            role: statistics.fmean(cpu_seconds) / passed
            for role, cpu_seconds in self._cpu_seconds(meters).items()
        }
        for role, share in idle.items():
            self._rounds.add(role, "leases alone: CPU", "% of a core", 100.0 * share)
        now = _traffic_totals(self._hollow.traffic)
        bytes_up, bytes_down, up, down = ((b - a) / passed for a, b in zip(before, now, strict=True))
        add = self._rounds.add
        count = len(self._hollow.nodes)
        add("controller", "leases alone: messages in", "a second", up / CONTROLLERS)
        add("controller", "leases alone: messages out", "a second", down / CONTROLLERS)
        add("controller", "leases alone: bytes in", "B/s", bytes_up / CONTROLLERS)
        add("controller", "leases alone: bytes out", "B/s", bytes_down / CONTROLLERS)
        add("proxy", "leases alone: bytes in and out", "B/s", (bytes_up + bytes_down) / count)
        return idle

    async def _measure_record_changes(self, idle: dict[str, float]) -> None:
        meters = self._start_meters()
        began = time.monotonic()
        count = max(4, round(CHANGES_PER_S * CHANGES_SHARE * self._seconds))
        for _ in range(count):
            self._publish_index += 7
            self._hollow.nodes[self._publish_index % len(self._hollow.nodes)].publish()
            await asyncio.sleep(1.0 / CHANGES_PER_S)
        self._add_change_cost("record change", meters, count, idle, time.monotonic() - began)

    def _add_change_cost(
        self, name: str, meters: list[tuple[str, CpuMeter]], count: int, idle: dict[str, float], passed: float
    ) -> None:
        """Add the cost of one change; the CPU time of leases alone is subtracted.

        :param name: kind of change
        :param count: number of changes made
        :param passed: duration in seconds
        """
        for role, cpu_seconds in self._cpu_seconds(meters).items():
            spent_s = statistics.fmean(cpu_seconds) - idle[role] * passed
            self._rounds.add(role, f"{name}: CPU", "ms a change", 1e3 * spent_s / count)

    async def _measure_configurations(self, idle: dict[str, float]) -> None:
        meters = self._start_meters()
        began = time.monotonic()
        for _ in range(CONFIGURATIONS):
            sent = time.monotonic()
            done = await self._put_configuration()
            self._rounds.add("controller", "configuration: to its acknowledgement", "ms", 1e3 * (done - sent))
            heads = await self._hollow.wait_for_configuration(self._fleet.revision, CONFIGURATION_TIMEOUT_S)
            if len(heads) < self._hollow.heads:
                raise ValueError(
                    f"revision {self._fleet.revision} reached only {len(heads)} of {self._hollow.heads} heads"
                )
            await asyncio.sleep(APPLY_WAIT_S)
        self._add_change_cost("configuration", meters, CONFIGURATIONS, idle, time.monotonic() - began)

    async def _put_configuration(self) -> float:
        """Put the next configuration.

        :returns: the time of its acknowledgement
        :raises ValueError: if it is not acknowledged within `READY_S`
        """
        fleet = self._fleet
        base = fleet.revision
        fleet.revision = fleet.revision + 1
        body = configuration_for(fleet.revision, self._services, fleet.routes())
        address = (fleet.cores[0].ip, fleet.ports.control)
        until = time.monotonic() + READY_S
        while time.monotonic() < until:
            outcome, _ = await call(
                fleet.run_context.pool(fleet.cores[0]),
                address,
                "PUT",
                "/orchidferry/configuration",
                body,
                base,
                5.0,
            )
            if outcome.how == "answer" and outcome.status == 200:
                return outcome.t
            await asyncio.sleep(0.05)
        raise ValueError(f"no configuration was accepted: {outcome.status} {outcome.body[:200]!r} at {HOST}")


def _traffic_totals(traffic: Traffic) -> tuple[float, float, float, float]:
    return traffic.up.total(), traffic.down.total(), traffic.up_messages, traffic.down_messages


async def measure(nodes: int, services: int, axis: str, seconds: float) -> list[Figure]:
    """Measure one fleet; its processes have ended when this returns.

    :param nodes: number of nodes
    :param services: number of services
    :param axis: which of the two numbers is varied, `BY_NODES` or `BY_SERVICES`
    :param seconds: duration of each round
    """
    async with Fleet(CONTROLLERS, PROXIES, SYNC_MS) as fleet:
        return await FleetMeasurement(fleet, nodes, services, axis, seconds).run()


async def by_nodes(nodes: int, seconds: float) -> list[Figure]:
    """Measure a fleet with the default number of services for its size."""
    return await measure(nodes, services_of(nodes), BY_NODES, seconds)


async def by_services(nodes: int, services: int, seconds: float) -> list[Figure]:
    """Measure a fleet with a given number of services."""
    return await measure(nodes, services, BY_SERVICES, seconds)
