"""Special hours of a large fleet in virtual time: a zone gone, everybody restarted, regions apart.

`python -m orchidferry.testkit.capacity.hours NODES [HOUR...]` prints figures as JSON, one a line. The fleet
settles once; each hour is then played by a process of its own, forked from there.
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
from orchidferry.testkit.capacity.regions import ZONES, Fleet, Metered, MeteredNode, Use, region_of
from orchidferry.testkit.capacity.rounds import Rounds
from orchidferry.testkit.capacity.texts import kept

RESTARTS, ZONE, APART = HOURS = ("restarts", "zone", "apart")  # the longest first
SLICE_S = 0.05  # of virtual time between two looks at the machine's speed
LOOK_S = 0.5  # how often it is looked whether everybody knows
KNOWN_S = 40.0  # after that it is given up
RESTARTS_S = 60.0
RESTARTS_PLAYED = 0.2  # of that minute, as each second of it is like the others
DOWN_S = 1.0  # from a process's end to its start
AFTER_S = 0.5  # after the last start, before it is looked whether all know
GROUPS = 5  # of processes of one role, so that a share of CPU has an interval
AT_ONCE = 2  # hours that are played beside each other
APART_S = 300.0
PARTING_S = 10.0  # played in full: leases run out, places in the tree are looked at anew
PLAYED_S = 0.1  # of each later second: its change comes to all in 40 ms, and the rest of it is leases alone
CALM_S = 2.0  # in which leases alone are counted, for what is not played
# 3,200 configurations a day
RECORDS_EACH_S = 1.0
CONFIGURATIONS_EACH_S = 27.0


class Hour:
    """One fleet, and what it has used since the hour began."""

    def __init__(self, name: str, fleet: Fleet) -> None:
        self.name = name
        self.fleet = fleet
        self._nodes = len(fleet.names)
        self._speed, self._rounds = Speed(), Rounds()
        self._left_out_s = 0.0  # of the hour, in which nothing but leases goes on
        self._calm: dict[str, list[Use]] = {}  # of `CALM_S` with leases alone

    def figures(self) -> list[Figure]:
        """All that was found."""
        return self._rounds.figures(BY_NODES, self._nodes, VIRTUAL, f"{self._nodes} nodes")

    def add(self, role: str, what: str, unit: str, *values: float) -> None:
        """A figure of this hour, of one value or of one for each process."""
        self._rounds.add(role, f"{self.name}: {what}", unit, *values)

    def begin(self) -> None:
        """Count from now on; nodes that start later count from their start."""
        self.fleet.reset()
        self._speed.slowness()
        self._began_s = self.fleet.now
        self._left_out_s = 0.0

    def run(self, seconds: float) -> None:
        """Let time pass."""
        until = self.fleet.now + seconds
        while self.fleet.now < until:
            self.fleet.run(min(SLICE_S, until - self.fleet.now))
            self._speed.burst()

    def leave_out(self, seconds: float) -> None:
        """The hour has these seconds too, with leases alone; they are not played."""
        self._left_out_s += seconds

    def calm(self) -> None:
        """Count leases alone, for what is left out."""
        self.begin()
        self.run(CALM_S)
        self._calm = self._uses()

    def _uses(self) -> dict[str, list[Use]]:
        controllers = [c.use for c in self.fleet.controllers.values() if isinstance(c, Metered)]
        return {"proxy": [node.use for node in self.fleet.live()], "controller": controllers}

    def used(self, what: str = "all along") -> None:
        """What all used since it began: bytes of the mean process, CPU of the mean one of five groups."""
        all_s = self.fleet.now - self._began_s + self._left_out_s
        slowness = self._speed.slowness()
        left_out = self._left_out_s / CALM_S
        for role, uses in self._uses().items():
            calm = self._calm.get(role, [])
            into = _mean(u.into.total() for u in uses) + left_out * _mean(u.into.total() for u in calm)
            out = _mean(u.out.total() for u in uses) + left_out * _mean(u.out.total() for u in calm)
            self.add(role, f"{what}, bytes in", "B/s", into / all_s)
            self.add(role, f"{what}, bytes out", "B/s", out / all_s)
            calm_s = left_out * _mean(u.cpu_s for u in calm)
            groups = [uses[first::GROUPS] for first in range(min(GROUPS, len(uses)))]
            shares = [100.0 * (_mean(u.cpu_s for u in some) + calm_s) / all_s / slowness for some in groups]
            self.add(role, f"{what}, CPU of the pure code", "% of a core", *shares)

    def until_known(self, what: str) -> None:
        """How long until every live node knows just the live ones."""
        fleet = self.fleet
        began = self.fleet.now
        unknowing = self._unknowing()
        while unknowing and fleet.now - began < KNOWN_S:
            self.run(LOOK_S)
            unknowing = self._unknowing()
        self.add("proxy", f"{what}, until all know", "s", fleet.now - began)
        self.add("proxy", f"{what}, nodes that do not know all", "nodes", float(unknowing))

    def _unknowing(self) -> int:
        names = {node.name for node in self.fleet.live()}
        unknowing = 0
        for node in self.fleet.live():
            node.update_members()
            unknowing += set(node.members) != names
        return unknowing


def _mean(values: Iterator[float]) -> float:
    some = list(values)
    return sum(some) / len(some) if some else 0.0


def zone_gone(fleet: Fleet) -> list[Figure]:
    """All nodes of one zone end at once, stay away, and come back within a second."""
    hour = Hour("zone gone and back", fleet)
    gone = [node.name for node in fleet.live() if node.zone == "z0"]
    hour.begin()
    for name in gone:
        fleet.nodes.pop(name).kill()
    hour.until_known("gone")
    hour.used("gone")
    hour.begin()
    for name in gone:
        fleet.at(fleet.now + fleet.rng.random(), partial(fleet.start, name, 0))
    hour.run(1.0)
    hour.until_known("back, a second after the first")
    hour.used("back")
    return hour.figures()


def all_restarted(fleet: Fleet) -> list[Figure]:
    """Each node is ended and started again, one after the other, over a minute; the first fifth of it."""
    hour = Hour("all restarted in a minute", fleet)
    hour.begin()
    busy: dict[str, Use] = {}

    def stop(name: str) -> None:
        old = fleet.nodes.pop(name)
        assert isinstance(old, MeteredNode)
        busy[name] = old.use
        old.kill()
        fleet.at(fleet.now + DOWN_S, partial(fleet.start, name, int(old.zone[1:])))

    each_s = RESTARTS_S / len(fleet.names)
    for at, name in enumerate(fleet.names[: round(RESTARTS_PLAYED * len(fleet.names))]):
        fleet.at(fleet.now + each_s * at, partial(stop, name))
    hour.run(RESTARTS_PLAYED * RESTARTS_S)
    for name, use in busy.items():  # both lives
        node = fleet.nodes.get(name)
        if not isinstance(node, MeteredNode):
            continue  # not there again
        node.use.into.update(use.into)
        node.use.out.update(use.out)
        node.use.cpu_s += use.cpu_s
    hour.used()
    hour.run(DOWN_S + AFTER_S)
    hour.until_known("after the last")
    return hour.figures()


class RegionsApart:
    """The regions lose each other; records and configurations change in the first, then they meet again."""

    def __init__(self, fleet: Fleet, apart_s: float = APART_S) -> None:
        self._fleet = fleet
        self._apart_s = apart_s
        self._hour = Hour("regions apart", fleet)
        self._first = [node for node in fleet.live() if region_of(node.zone) == 0]
        self._raw = kept(services_of(len(fleet.names)))
        self._revision = 0
        self._next_s = 5.0  # of the time apart: when the next configuration is due

    def play(self) -> list[Figure]:
        """All of it; the figures."""
        hour = self._hour
        fleet = self._fleet
        fleet.apart = True
        hour.run(PARTING_S)
        hour.calm()
        hour.begin()
        self._change()
        hour.used()
        behind = sum(node.revision < self._revision for node in fleet.live())
        hour.add("proxy", "nodes without the newest configuration", "nodes", float(behind))
        self._meet()
        return hour.figures()

    def _change(self) -> None:
        """A record each second and a configuration each 27, in the first region."""
        passed_s = 0.0
        while passed_s < self._apart_s:
            self._fleet.rng.choice(self._first).publish()
            if passed_s >= self._next_s:
                self._next_s = self._next_s + CONFIGURATIONS_EACH_S
                self._revision = self._revision + 1
                self._tell_controllers(region=0)  # the majority of them is there
            self._hour.run(PLAYED_S)
            self._hour.leave_out(RECORDS_EACH_S - PLAYED_S)
            passed_s += RECORDS_EACH_S

    def _tell_controllers(self, region: int) -> None:
        for controller in self._fleet.controllers.values():
            if region_of(controller.zone) == region:
                controller.configuration_decided(self._revision, self._raw)

    def _meet(self) -> None:
        hour = self._hour
        fleet = self._fleet
        hour.begin()
        fleet.apart = False
        met_s = fleet.now
        if self._revision:
            self._tell_controllers(region=1)  # as the register's own catching up does
        hour.until_known("met again")
        had = [fleet.in_force.get((self._revision, node.name), fleet.now) - met_s for node in fleet.live()]
        hour.add("proxy", "met again, newest configuration in force at the last", "s", max(0.0, *had))
        hour.used("met again")


def settled(nodes: int) -> Fleet:
    """A fleet in which everybody knows everybody."""
    assert nodes >= ZONES
    fleet = Fleet(nodes)
    fleet.settle()
    return fleet


def play(name: str, fleet: Fleet, apart_s: float = APART_S) -> list[Figure]:
    """One hour; the fleet is not settled any more after it."""
    if name == ZONE:
        return zone_gone(fleet)
    return all_restarted(fleet) if name == RESTARTS else RegionsApart(fleet, apart_s).play()


def measure(nodes: int, apart_s: float = APART_S, names: Sequence[str] = HOURS) -> Iterator[Figure]:
    """Hours at one size, one after the other, each of a fleet of its own."""
    for name in names:
        yield from play(name, settled(nodes), apart_s)


def forked(work: Callable[[], None]) -> int:
    """A process that does this and ends; its id. The output of all is one pipe: each writes whole lines."""
    pid = os.fork()
    if pid:
        return pid
    status = 1
    try:
        work()
        status = 0
    except Exception:
        traceback.print_exc()
    finally:
        sys.stderr.flush()
        os._exit(status)


def tell(name: str, fleet: Fleet) -> None:
    """Play an hour and print its figures, a line each, in one write."""
    lines = [json.dumps(asdict(figure)) + "\n" for figure in play(name, fleet)]
    os.write(sys.stdout.fileno(), "".join(lines).encode())


def main() -> int:
    """Play the hours that are named, or all, beside each other; the exit status."""
    logger.disable("orchidferry.mesh")
    gc.disable()  # a collection walks the whole fleet, and would count for the process that it falls on
    fleet = settled(int(sys.argv[1]))
    gc.freeze()
    waiting = list(sys.argv[2:] or HOURS)
    playing = set[int]()
    status = 0
    while waiting or playing:
        while waiting and len(playing) < AT_ONCE:
            playing.add(forked(partial(tell, waiting.pop(0), fleet)))
        ended, how = os.wait()
        playing.discard(ended)
        status = status or abs(os.waitstatus_to_exitcode(how))
    return status


if __name__ == "__main__":
    sys.exit(main())
