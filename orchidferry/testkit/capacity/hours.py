"""Failure scenarios ("hours") of a large fleet in virtual time: zone outage, restarts, region partition.

`python -m orchidferry.testkit.capacity.hours NODES [HOUR...]` prints figures as JSON, one per line. The fleet
is started and settled once; each hour is then simulated in a process of its own that is forked from there.
"""

from __future__ import annotations

import gc
import json
import os
import sys
import traceback
from collections.abc import Callable, Iterator, Sequence
from dataclasses import asdict
from functools import partial

from loguru import logger

from orchidferry.testkit.capacity.figures import BY_NODES, VIRTUAL, Figure
from orchidferry.testkit.capacity.plan import services_of
from orchidferry.testkit.capacity.reference import Speed
from orchidferry.testkit.capacity.regions import ZONES, Fleet, MeteredNode, MeteredProcess, Usage, region_of
from orchidferry.testkit.capacity.rounds import Rounds
from orchidferry.testkit.capacity.texts import compressed_configuration

RESTARTS, ZONE, PARTITION = HOURS = ("restarts", "zone", "apart")  # names of the scenarios, the longest first
SPEED_INTERVAL_S = 0.05  # virtual time between two measurements of the machine's speed
CONVERGENCE_POLL_S = 0.5  # interval between two checks for convergence
CONVERGENCE_TIMEOUT_S = 40.0  # time after which waiting for convergence ends
RESTART_PERIOD_S = 60.0  # period over which all nodes are restarted
SIMULATED_RESTARTS = 0.2  # share of that period that is simulated, as all its seconds are alike
DOWNTIME_S = 1.0  # time from the end of a process to its restart
SETTLING_S = 0.5  # wait after the last restart, before the checks for convergence
CPU_GROUPS = 5  # groups of processes of one role, so that a CPU share has an interval
MAX_PARALLEL = 2  # maximum number of scenarios simulated in parallel
PARTITION_S = 300.0  # duration of a region partition
# The start of a partition is simulated in full: leases expire, and nodes choose new places in the tree.
PARTITION_START_S = 10.0
# Simulated part of each later second: a change reaches all nodes in 40 ms, and only lease traffic follows.
SIMULATED_S = 0.1
BASELINE_S = 2.0  # period of lease traffic alone that stands for the time that is not simulated
# Intervals of changes during a partition; 3,200 configurations a day.
RECORD_INTERVAL_S = 1.0
CONFIGURATION_INTERVAL_S = 27.0


class ScenarioMeter:
    """Measures one fleet during one scenario.

    :ivar name: name of the scenario in figures
    :ivar fleet: the simulated fleet
    """

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = name
        self.fleet = fleet
        self._nodes = len(fleet.names)
        self._speed, self._rounds = Speed(), Rounds()
        self._skipped_s = 0.0  # time of the scenario that is not simulated, with lease traffic alone
        self._baseline: dict[str, list[Usage]] = {}  # by role: usage in `BASELINE_S` with lease traffic alone

    def figures(self) -> list[Figure]:
        """Return all figures."""
        return self._rounds.figures(BY_NODES, self._nodes, VIRTUAL, f"{self._nodes} nodes")

    def add(self, role: str, name: str, unit: str, *values: float) -> None:
        """Add a figure with one value, or with the values of several processes or groups."""
        self._rounds.add(role, f"{self.name}: {name}", unit, *values)

    def begin(self) -> None:
        """Start metering; nodes that start later are metered from their start."""
        self.fleet.reset()
        self._speed.slowness()
        self._began_s = self.fleet.now
        self._skipped_s = 0.0

    def run(self, seconds: float) -> None:
        """Advance virtual time, and measure the machine's speed meanwhile."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.fleet.run(min(SPEED_INTERVAL_S, until - self.fleet.now))
            self._speed.burst()

    def skip(self, seconds: float) -> None:
        """Account for a period of lease traffic alone without simulating it."""
        self._skipped_s += seconds

    def measure_baseline(self) -> None:
        """Measure lease traffic alone, to account for skipped time."""
        self.begin()
        self.run(BASELINE_S)
        self._baseline = self._usages()

    def _usages(self) -> dict[str, list[Usage]]:
        controllers = [c.usage for c in self.fleet.controllers.values() if isinstance(c, MeteredProcess)]
        return {"proxy": [node.usage for node in self.fleet.live()], "controller": controllers}

    def add_usage(self, phase: str = "all along") -> None:
        """Add the usage since `begin`: mean bytes of a process, and mean CPU of a process in each group.

        :param phase: name of the phase in figures
        """
        all_s = self.fleet.now - self._began_s + self._skipped_s
        slowness = self._speed.slowness()
        skipped = self._skipped_s / BASELINE_S
        for role, usages in self._usages().items():
            baseline = self._baseline.get(role, [])
            bytes_in = _mean(u.bytes_in.total() for u in usages) + skipped * _mean(
                u.bytes_in.total() for u in baseline
            )
            bytes_out = _mean(u.bytes_out.total() for u in usages) + skipped * _mean(
                u.bytes_out.total() for u in baseline
            )
            self.add(role, f"{phase}, bytes in", "B/s", bytes_in / all_s)
            self.add(role, f"{phase}, bytes out", "B/s", bytes_out / all_s)
            baseline_s = skipped * _mean(u.cpu_s for u in baseline)
            groups = [usages[first::CPU_GROUPS] for first in range(min(CPU_GROUPS, len(usages)))]
            shares = [
                100.0 * (_mean(u.cpu_s for u in group) + baseline_s) / all_s / slowness for group in groups
            ]
            self.add(role, f"{phase}, CPU of the pure code", "% of a core", *shares)

    def run_until_converged(self, phase: str) -> None:
        """Run until each running node knows exactly the running nodes, and add the time that this takes.

        :param phase: name of the phase in figures
        """
        fleet = self.fleet
        began = self.fleet.now
        unconverged = self._count_unconverged()
        while unconverged and fleet.now - began < CONVERGENCE_TIMEOUT_S:
            self.run(CONVERGENCE_POLL_S)
            unconverged = self._count_unconverged()
        self.add("proxy", f"{phase}, until all know", "s", fleet.now - began)
        self.add("proxy", f"{phase}, nodes that do not know all", "nodes", float(unconverged))

    def _count_unconverged(self) -> int:
        names = {node.name for node in self.fleet.live()}
        unconverged = 0
        for node in self.fleet.live():
            node.update_members()
            unconverged += set(node.members) != names
        return unconverged


def _mean(values: Iterator[float]) -> float:
    items = list(values)
    return sum(items) / len(items) if items else 0.0


def zone_outage(fleet: Fleet) -> list[Figure]:
    """Kill all nodes of one zone at once; when all others have detected it, restart them within 1 s."""
    meter = ScenarioMeter("zone gone and back", fleet)
    zone_nodes = [node.name for node in fleet.live() if node.zone == "z0"]
    meter.begin()
    for name in zone_nodes:
        fleet.nodes.pop(name).kill()
    meter.run_until_converged("gone")
    meter.add_usage("gone")
    meter.begin()
    for name in zone_nodes:
        fleet.at(fleet.now + fleet.rng.random(), partial(fleet.start, name, 0))
    meter.run(1.0)
    meter.run_until_converged("back, a second after the first")
    meter.add_usage("back")
    return meter.figures()


def rolling_restart(fleet: Fleet) -> list[Figure]:
    """Restart all nodes one after the other over a minute, of which the first fifth is simulated."""
    meter = ScenarioMeter("all restarted in a minute", fleet)
    meter.begin()
    old_usages: dict[str, Usage] = {}

    def kill(name: str) -> None:
        old = fleet.nodes.pop(name)
        assert isinstance(old, MeteredNode)
        old_usages[name] = old.usage
        old.kill()
        fleet.at(fleet.now + DOWNTIME_S, partial(fleet.start, name, int(old.zone[1:])))

    interval_s = RESTART_PERIOD_S / len(fleet.names)
    for at, name in enumerate(fleet.names[: round(SIMULATED_RESTARTS * len(fleet.names))]):
        fleet.at(fleet.now + interval_s * at, partial(kill, name))
    meter.run(SIMULATED_RESTARTS * RESTART_PERIOD_S)
    for name, usage in old_usages.items():  # usage before and after the restart
        node = fleet.nodes.get(name)
        if not isinstance(node, MeteredNode):
            continue  # not restarted yet
        node.usage.bytes_in.update(usage.bytes_in)
        node.usage.bytes_out.update(usage.bytes_out)
        node.usage.cpu_s += usage.cpu_s
    meter.add_usage()
    meter.run(DOWNTIME_S + SETTLING_S)
    meter.run_until_converged("after the last")
    return meter.figures()


class RegionPartition:
    """A partition between the regions, during which the first region changes records and configurations."""

    def __init__(self, fleet: Fleet, partition_s: float = PARTITION_S) -> None:
        self._fleet = fleet
        self._partition_s = partition_s
        self._meter = ScenarioMeter("regions apart", fleet)
        self._first_region_nodes = [node for node in fleet.live() if region_of(node.zone) == 0]
        self._compressed_text = compressed_configuration(services_of(len(fleet.names)))
        self._revision = 0
        self._next_s = 5.0  # time from the start of the partition to the next configuration

    def run_scenario(self) -> list[Figure]:
        """Run the scenario and return its figures."""
        meter = self._meter
        fleet = self._fleet
        fleet.partitioned = True
        meter.run(PARTITION_START_S)
        meter.measure_baseline()
        meter.begin()
        self._make_changes()
        meter.add_usage()
        outdated = sum(node.revision < self._revision for node in fleet.live())
        meter.add("proxy", "nodes without the newest configuration", "nodes", float(outdated))
        self._heal()
        return meter.figures()

    def _make_changes(self) -> None:
        """Change a record each second and the configuration every 27 seconds, in the first region."""
        passed_s = 0.0
        while passed_s < self._partition_s:
            self._fleet.rng.choice(self._first_region_nodes).publish()
            if passed_s >= self._next_s:
                self._next_s = self._next_s + CONFIGURATION_INTERVAL_S
                self._revision = self._revision + 1
                self._announce_configuration(region=0)  # it has the majority of the controllers
            self._meter.run(SIMULATED_S)
            self._meter.skip(RECORD_INTERVAL_S - SIMULATED_S)
            passed_s += RECORD_INTERVAL_S

    def _announce_configuration(self, region: int) -> None:
        for controller in self._fleet.controllers.values():
            if region_of(controller.zone) == region:
                controller.configuration_decided(self._revision, self._compressed_text)

    def _heal(self) -> None:
        meter = self._meter
        fleet = self._fleet
        meter.begin()
        fleet.partitioned = False
        healed_s = fleet.now
        if self._revision:
            self._announce_configuration(region=1)  # as the replicated state does when it catches up
        meter.run_until_converged("met again")
        apply_times_s = [
            fleet.applied_s.get((self._revision, node.name), fleet.now) - healed_s for node in fleet.live()
        ]
        meter.add(
            "proxy", "met again, newest configuration in force at the last", "s", max(0.0, *apply_times_s)
        )
        meter.add_usage("met again")


def settled_fleet(nodes: int) -> Fleet:
    """Return a fleet in which all nodes know each other."""
    assert nodes >= ZONES
    fleet = Fleet(nodes)
    fleet.settle()
    return fleet


def run_scenario(name: str, fleet: Fleet, partition_s: float = PARTITION_S) -> list[Figure]:
    """Run one scenario; it leaves the fleet in a changed state.

    :param name: one of `HOURS`
    :param partition_s: duration of a region partition
    """
    if name == ZONE:
        return zone_outage(fleet)
    return rolling_restart(fleet) if name == RESTARTS else RegionPartition(fleet, partition_s).run_scenario()


def measure(nodes: int, partition_s: float = PARTITION_S, names: Sequence[str] = HOURS) -> Iterator[Figure]:
    """Run scenarios one after the other, each with a fleet of its own.

    :param nodes: number of nodes
    :param partition_s: duration of a region partition
    :param names: some of `HOURS`
    """
    for name in names:
        yield from run_scenario(name, settled_fleet(nodes), partition_s)


def fork(function: Callable[[], None]) -> int:
    """Fork a process that runs a function and exits.

    All processes share one output pipe, so each must write whole lines.

    :returns: the id of the process
    """
    pid = os.fork()
    if pid:
        return pid
    status = 1
    try:
        function()
        status = 0
    except Exception:
        traceback.print_exc()
    finally:
        sys.stderr.flush()
        os._exit(status)


def print_figures(name: str, fleet: Fleet) -> None:
    """Run a scenario and print its figures, one per line, in a single write."""
    lines = [json.dumps(asdict(figure)) + "\n" for figure in run_scenario(name, fleet)]
    os.write(sys.stdout.fileno(), "".join(lines).encode())


def main() -> int:
    """Run the given scenarios, or all, in parallel.

    :returns: the exit status
    """
    logger.disable("orchidferry.mesh")
    # A garbage collection traverses the complete fleet, and would count for the process that triggers it.
    gc.disable()
    fleet = settled_fleet(int(sys.argv[1]))
    gc.freeze()
    waiting = list(sys.argv[2:] or HOURS)
    running = set[int]()
    status = 0
    while waiting or running:
        while waiting and len(running) < MAX_PARALLEL:
            running.add(fork(partial(print_figures, waiting.pop(0), fleet)))
        ended, wait_status = os.wait()
        running.discard(ended)
        status = status or abs(os.waitstatus_to_exitcode(wait_status))
    return status


if __name__ == "__main__":
    sys.exit(main())
