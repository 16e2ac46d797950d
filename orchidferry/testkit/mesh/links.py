"""Links with faults between the mesh's processes: a relay of the kit's own in front of each machine.

A machine is known by its `ip`, where the relay listens; its process listens at `bind`, and dials from there,
so that the relay knows by the source who dials. One relayed connection: `relay.py`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from orchidferry.testkit.mesh.day import Machine, Ports
from orchidferry.testkit.mesh.relay import SOUND, Door, Fault, Line, Pair
from orchidferry.testkit.mesh.tasks import TaskSet

MAX_LINES = 4_096  # relayed connections, over all machines


class Links:
    """All relays of a run, and what ails them: `MAX_LINES` connections, `relay.MAX_HELD` bytes each way."""

    def __init__(self, ports: Ports) -> None:
        self._ports = ports
        self._loop = asyncio.get_running_loop()
        self.names: dict[str, str] = {}  # of machines, by the address that they dial from
        self._doors: dict[str, list[Door]] = {}
        self.lines: set[Line] = set()
        self._faults: dict[Pair, Fault] = {}
        self.tasks = TaskSet()

    def now(self) -> float:
        """The loop's clock, in seconds."""
        return self._loop.time()

    def at(self, due: float, then: Callable[[], None]) -> asyncio.TimerHandle:
        """Have it called at that time of this clock."""
        return self._loop.call_at(due, then)

    def add(self, machine: Machine) -> None:
        """Relay to a machine from when its process listens."""
        self.names[machine.bind] = machine.name
        ports = (
            self._ports.internal,
            self._ports.inbound if machine.role == "sidecar" else self._ports.control,
        )
        self._doors[machine.name] = [Door(self, machine, port) for port in ports]
        for door in self._doors[machine.name]:
            door.refused()

    def outsider(self, name: str, ip: str) -> str:
        """Someone who dials from this address, and is not dialled; returns the address."""
        self.names[ip] = name
        return ip

    def down(self, machine: Machine) -> None:
        """Its process has ended: it refuses, as a machine without one does."""
        for door in self._doors.get(machine.name, ()):
            door.refused()

    @property
    def full(self) -> bool:
        """Whether there are more connections than may be relayed."""
        return len(self.lines) > MAX_LINES

    def fault(self, pair: Pair) -> Fault:
        return self._faults.get(pair, SOUND)

    def set(self, pairs: Iterable[Pair], fault: Fault) -> None:
        """What ails these directions from now on; `SOUND`: nothing, and what was held goes on its way."""
        for pair in pairs:
            if fault == SOUND:
                self._faults.pop(pair, None)
            else:
                self._faults[pair] = fault
        for line in list(self.lines):
            line.go_on()

    def reset(self, pairs: Iterable[Pair]) -> None:
        """End all connections between these with a reset."""
        those = {frozenset(pair) for pair in pairs}
        for line in list(self.lines):
            if frozenset(line.near.pair) in those:
                line.end(True)

    def close(self) -> None:
        """End all of it."""
        for doors in self._doors.values():
            for door in doors:
                door.close()
        for line in list(self.lines):
            line.end(False)
        self.tasks.cancel()
