"""Special hours of a large fleet in virtual time: a zone gone, everybody restarted, regions apart.

`python -m rehearsal.capacity.hours NODES [HOUR...]` prints figures as JSON, one a line.
"""

from __future__ import annotations

import gc
import json
import statistics
import sys
from collections.abc import Iterator, Sequence
from dataclasses import asdict
from functools import partial

from loguru import logger

from rehearsal.capacity.figures import BY_NODES, VIRTUAL, Figure
from rehearsal.capacity.plan import services_of
from rehearsal.capacity.regions import ZONES, Fleet, Metered, MeteredNode, Use, region_of
from rehearsal.capacity.texts import kept

ZONE, RESTARTS, APART = HOURS = ("zone", "restarts", "apart")
SETTLE_S = 16.0
LOOK_S = 0.5  # how often it is looked whether everybody knows
KNOWN_S = 40.0  # after that it is given up
RESTARTS_S = 60.0
DOWN_S = 1.0  # from a process's end to its start
APART_S = 300.0
RECORDS_EACH_S, CONFIGURATIONS_EACH_S = 1.0, 27.0  # 3,200 configurations a day


class Hour:
    """One fleet, and what it has used since the hour began."""

    def __init__(self, name: str, nodes: int) -> None:
        self.name, self._nodes = name, nodes
        self.fleet, self.figures = Fleet(nodes), list[Figure]()
        self.fleet.run(SETTLE_S)

    def add(self, role: str, what: str, unit: str, value: float) -> None:
        """A figure of this hour."""
        note = f"{self._nodes} nodes"
        name = f"{self.name}: {what}"
        self.figures.append(Figure(role, name, unit, BY_NODES, self._nodes, value, VIRTUAL, note))

    def begin(self) -> None:
        """Count from now on; nodes that start later count from their start."""
        self.fleet.reset()
        self._began_s = self.fleet.now

    def used(self, what: str = "all along") -> None:
        """What all used since it began."""
        passed = self.fleet.now - self._began_s
        controllers = [c.use for c in self.fleet.controllers.values() if isinstance(c, Metered)]
        nodes = [node.use for node in self.fleet.live()]
        for role, uses in (("proxy", nodes), ("controller", controllers)):
            self.add(
                role, f"{what}, bytes in", "B/s", statistics.fmean(u.into.total() for u in uses) / passed
            )
            self.add(
                role, f"{what}, bytes out", "B/s", statistics.fmean(u.out.total() for u in uses) / passed
            )
            cpu = 100.0 * max(u.cpu_s for u in uses) / passed
            self.add(role, f"{what}, CPU of the pure code, most", "% of a core", cpu)

    def until_known(self, what: str) -> None:
        """How long until every live node knows just the live ones."""
        fleet, began = self.fleet, self.fleet.now
        unknowing = self._unknowing()
        while unknowing and fleet.now - began < KNOWN_S:
            fleet.run(LOOK_S)
            unknowing = self._unknowing()
        self.add("proxy", f"{what}, until all know", "s", fleet.now - began)
        self.add("proxy", f"{what}, nodes that do not know all", "nodes", float(unknowing))

    def _unknowing(self) -> int:
        names = {node.name for node in self.fleet.live()}
        unknowing = 0
        for node in self.fleet.live():
            node.look()
            unknowing += set(node.members) != names
        return unknowing


def zone_gone(nodes: int) -> list[Figure]:
    """All nodes of one zone end at once, stay away, and come back within a second."""
    hour = Hour("zone gone and back", nodes)
    fleet = hour.fleet
    gone = [node.name for node in fleet.live() if node.zone == "z0"]
    hour.begin()
    for name in gone:
        fleet.nodes.pop(name).kill()
    hour.until_known("gone")
    hour.used("gone")
    hour.begin()
    for name in gone:
        fleet.at(fleet.now + fleet.rng.random(), partial(fleet.start, name, 0))
    fleet.run(1.0)
    hour.until_known("back, a second after the first")
    hour.used("back")
    return hour.figures


def all_restarted(nodes: int) -> list[Figure]:
    """Each node is ended and started again, one after the other, over a minute."""
    hour = Hour("all restarted in a minute", nodes)
    fleet = hour.fleet
    hour.begin()
    busy: dict[str, Use] = {}

    def stop(name: str) -> None:
        old = fleet.nodes.pop(name)
        assert isinstance(old, MeteredNode)
        busy[name] = old.use
        old.kill()
        fleet.at(fleet.now + DOWN_S, partial(fleet.start, name, int(old.zone[1:])))

    for at, name in enumerate(fleet.names):
        fleet.at(fleet.now + RESTARTS_S * at / nodes, partial(stop, name))
    fleet.run(RESTARTS_S + DOWN_S + 0.5)
    for name, use in busy.items():  # both lives
        node = fleet.nodes[name]
        assert isinstance(node, MeteredNode)
        node.use.into.update(use.into)
        node.use.out.update(use.out)
        node.use.cpu_s += use.cpu_s
    hour.used()
    hour.until_known("after the last")
    return hour.figures


def regions_apart(nodes: int, apart_s: float) -> list[Figure]:
    """The regions lose each other; records and configurations change in the first, then they meet again."""
    hour = Hour("regions apart", nodes)
    fleet = hour.fleet
    first = [node for node in fleet.live() if region_of(node.zone) == 0]
    raw, revision = kept(services_of(nodes)), 0
    hour.begin()
    fleet.apart = True
    until, records_s, next_s = fleet.now + apart_s, fleet.now, fleet.now + 5.0
    while fleet.now < until:
        fleet.run(min(RECORDS_EACH_S, until - fleet.now))
        if fleet.now >= records_s:
            records_s += RECORDS_EACH_S
            fleet.rng.choice(first).publish()
        if fleet.now >= next_s:
            next_s, revision = next_s + CONFIGURATIONS_EACH_S, revision + 1
            _decide_at_first_region(fleet, revision, raw)
    hour.used()
    behind = sum(node.revision < revision for node in fleet.live())
    hour.add("proxy", "nodes without the newest configuration", "nodes", float(behind))
    hour.begin()
    fleet.apart = False
    met_s = fleet.now
    for controller in fleet.controllers.values():  # as the register's own catching up does
        if region_of(controller.zone) == 1 and revision:
            controller.revise(revision, raw)
    hour.until_known("met again")
    had = [fleet.in_force.get((revision, node.name), fleet.now) - met_s for node in fleet.live()]
    hour.add("proxy", "met again, newest configuration in force at the last", "s", max(0.0, *had))
    hour.used("met again")
    return hour.figures


def _decide_at_first_region(fleet: Fleet, revision: int, raw: bytes) -> None:
    """The majority of the controllers is there."""
    for controller in fleet.controllers.values():
        if region_of(controller.zone) == 0:
            controller.revise(revision, raw)


def measure(nodes: int, apart_s: float = APART_S, names: Sequence[str] = HOURS) -> Iterator[Figure]:
    """Hours at one size, as they are played."""
    assert nodes >= ZONES
    if ZONE in names:
        yield from zone_gone(nodes)
    if RESTARTS in names:
        yield from all_restarted(nodes)
    if APART in names:
        yield from regions_apart(nodes, apart_s)


def main() -> None:
    """Play the hours that are named, or all; print their figures."""
    logger.disable("mesh")
    gc.disable()  # a collection walks the whole fleet, and would count for the process that it falls on
    for figure in measure(int(sys.argv[1]), names=sys.argv[2:] or HOURS):
        print(json.dumps(asdict(figure)), flush=True)


if __name__ == "__main__":
    main()
