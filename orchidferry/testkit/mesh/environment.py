"""All components of a run on the mesh: processes, links, servers, clients, operators."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable
from pathlib import Path

from orchidferry.testkit.mesh.changes import ChangeStream
from orchidferry.testkit.mesh.clients import Clients, Platform
from orchidferry.testkit.mesh.context import RunContext
from orchidferry.testkit.mesh.day import KINDS, Day, Machine, Ports, machines, ports_from
from orchidferry.testkit.mesh.facts import Record
from orchidferry.testkit.mesh.links import Links
from orchidferry.testkit.mesh.operator import Operator
from orchidferry.testkit.mesh.processes import MAX_STARTS, RESTART_DELAY_S, Node
from orchidferry.testkit.mesh.servers import Server
from orchidferry.testkit.mesh.sessions import Sessions
from orchidferry.testkit.mesh.tasks import TaskSet
from orchidferry.testkit.world.addresses import Block, NoFreeAddressesError

OPERATORS = ("operator-1", "operator-2")
FIRST_PORT = 8140
LAST_PORT = 12000
PORT_STEP = 60
INTERNAL_PROBE_OFFSET = 20
"""Offset of the last internal port from the first port: it is checked for being free, too."""

LOG_TAIL_CHARACTERS = 200
"""How much of a log is quoted when the run is aborted because its process ended."""


def free_ports(ips: list[str]) -> Ports:
    """Find a range of ports that is free at all of these addresses.

    :raises NoFreeAddressesError: if there is none
    """
    for base in range(FIRST_PORT, LAST_PORT, PORT_STEP):
        try:
            for ip in ips:
                for port in (*range(base, base + 6), base + INTERNAL_PROBE_OFFSET):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((ip, port))
        except OSError:
            continue
        return ports_from(base)
    raise NoFreeAddressesError(f"no ports are free from {FIRST_PORT} to {LAST_PORT}")


class Environment:
    """The components of a run, with its background tasks, restarts of processes, and the reason to abort."""

    def __init__(self, day: Day, seed: int, seconds: float, block: Block, folder: Path) -> None:
        """Create all components without starting them; must be called in the run's event loop.

        :param seconds: duration of the traffic
        :param block: the block of loopback addresses of the run
        :param folder: where the processes' settings, logs and stored data go
        """
        self.day = day
        self.seed = seed
        self.seconds = seconds
        self.block = block.number
        self._folder = folder
        # Actions that replace a controller update the list of controllers, which operators and nodes share.
        self.cores, self.sidecars = machines(day, block.number, seed)
        all_machines = [*self.cores, *self.sidecars]
        self.record = _empty_record(day, seed, self.cores, self.sidecars)
        ports = free_ports([ip for machine in all_machines for ip in (machine.ip, machine.bind)])
        self.context = RunContext(seed, ports, self.record.facts.append, time.monotonic())
        self.links = Links(ports)
        self.nodes: dict[str, Node] = {}
        for machine in all_machines:
            self.add_machine(machine, first_start=True)
        self.servers = {machine.name: Server(self.context, day, machine) for machine in self.sidecars}
        self.platform = Platform(self.context, self.sidecars)
        self.clients = Clients(self.context, self.platform, seconds, day.repeat_after_s)
        self.sessions = Sessions(self.context, self.clients, self.sidecars, day.sessions)
        self.operator = self._new_operator(1)
        self.other_operator = self._new_operator(2)
        operators = (self.operator, self.other_operator)
        self.changes = ChangeStream(self.context, day, self.cores, operators, self.clients, self.spawn)
        self.starting = True  # until the traffic starts; a process that ends by itself then aborts the run
        self._aborted: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._tasks = TaskSet(self._on_task_failed)
        self._closing = False

    def _new_operator(self, number: int) -> Operator:
        name = OPERATORS[number - 1]
        ip = self.links.add_dialler(name, f"127.{self.block}.200.{number}")
        return Operator(self.context, self.cores, name, ip)

    def add_machine(self, machine: Machine, first_start: bool) -> Node:
        """Add a machine with its relays, and a node whose process is not started yet.

        :param first_start: whether the node's first process takes part in bootstrapping the cluster
        """
        on_ended = self.links.on_process_ended
        node = Node(
            self.context, self.day, machine, self.cores, self._folder, self._on_died, on_ended, first_start
        )
        self.nodes[machine.name] = node
        self.links.add_machine(machine)
        return node

    def abort(self, reason: str) -> None:
        """Abort the run; only the first call's reason is kept."""
        if not self._aborted.done():
            self._aborted.set_result(reason)

    async def until_aborted(self) -> str:
        """Wait until the run is aborted; returns the reason."""
        return await asyncio.shield(self._aborted)

    def spawn(self, work: Awaitable[object]) -> asyncio.Task[None]:
        """Run an awaitable in the background; the run is aborted if it fails."""

        async def run() -> None:
            await work

        return self._tasks.spawn(run())

    def _on_task_failed(self, problem: BaseException) -> None:
        self.abort(f"internal error of the test kit: {problem!r:.200}")

    def _on_died(self, node: Node, status: int) -> None:
        """Restart a process that ended by itself, as the platform does."""
        if self._closing:
            return
        if node.starts >= MAX_STARTS or self.starting:
            tail = " | ".join(node.tail(2))[-LOG_TAIL_CHARACTERS:]
            self.abort(f"{node.machine.name} ended by itself (status {status}): {tail}")
            return
        self.spawn(self._restart(node))

    async def _restart(self, node: Node) -> None:
        await asyncio.sleep(RESTART_DELAY_S)
        if not self._closing:
            await node.start(again=True)

    async def close(self) -> None:
        """Shut all components down in order."""
        self._closing = True
        self.clients.close()
        self._tasks.cancel()
        for server in self.servers.values():
            server.close()
        await asyncio.gather(*(node.stop() for node in self.nodes.values()), return_exceptions=True)
        self.links.close()
        self.context.close()

    def kill(self) -> None:
        """Kill the processes that are still running."""
        for node in self.nodes.values():
            node.kill("killed")


def _empty_record(day: Day, seed: int, cores: list[Machine], sidecars: list[Machine]) -> Record:
    return Record(
        day.name,
        seed,
        day.bounds,
        {kind.name: kind for kind in KINDS},
        {machine.name: machine.service for machine in sidecars},
        tuple(machine.name for machine in cores),
    )
