"""All of the kit's parts in a run on the mesh: processes, links, servers, clients, operators."""

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
LOG_TAIL_CHARACTERS = 200


def free_ports(ips: list[str]) -> Ports:
    """Ports that are free at all of these addresses.

    :raises NoFreeAddressesError: if there are none
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
    """The parts of a run, and what keeps them going: tasks, restarts, and the reason to abort."""

    def __init__(self, day: Day, seed: int, seconds: float, block: Block, folder: Path) -> None:
        """Create all parts, none of them started; must be called in the run's event loop.

        :param seconds: how long the traffic lasts
        :param block: the addresses of the run
        :param folder: for settings, logs and disks of the processes
        """
        self.day = day
        self.seed = seed
        self.seconds = seconds
        self.block = block.number
        self._folder = folder
        self.cores, self.sidecars = machines(day, block.number, seed)  # the first as the operators list them
        every = [*self.cores, *self.sidecars]
        self.record = _empty_record(day, seed, self.cores, self.sidecars)
        free = free_ports([ip for machine in every for ip in (machine.ip, machine.bind)])
        self.context = RunContext(seed, free, self.record.facts.append, time.monotonic())
        self.links = Links(free)
        self.nodes: dict[str, Node] = {}
        for machine in every:
            self.add_machine(machine, first_start=True)
        self.servers = {machine.name: Server(self.context, day, machine) for machine in self.sidecars}
        self.platform = Platform(self.context, self.sidecars)
        self.clients = Clients(self.context, self.platform, seconds, day.again_s)
        self.sessions = Sessions(self.context, self.clients, self.sidecars, day.sessions)
        self.operator = self._new_operator(1)
        self.other_operator = self._new_operator(2)
        operators = (self.operator, self.other_operator)
        self.changes = ChangeStream(self.context, day, self.cores, operators, self.clients, self.spawn)
        self.starting = True  # until the traffic begins
        self._aborted: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._tasks = TaskSet(self._on_task_failed)
        self._closing = False

    def _new_operator(self, number: int) -> Operator:
        name = OPERATORS[number - 1]
        ip = self.links.add_dialler(name, f"127.{self.block}.200.{number}")
        return Operator(self.context, self.cores, name, ip)

    def add_machine(self, machine: Machine, first_start: bool) -> Node:
        """Add a machine with its relays and its process, which is not started yet.

        :param first_start: it founds the system together with the others
        """
        on_ended = self.links.on_process_ended
        node = Node(
            self.context, self.day, machine, self.cores, self._folder, self._on_died, on_ended, first_start
        )
        self.nodes[machine.name] = node
        self.links.add_machine(machine)
        return node

    def abort(self, reason: str) -> None:
        """Have the run end before its time; the first reason counts."""
        if not self._aborted.done():
            self._aborted.set_result(reason)

    async def until_aborted(self) -> str:
        """Wait until the run has to end before its time; returns the reason."""
        return await asyncio.shield(self._aborted)

    def spawn(self, work: Awaitable[object]) -> asyncio.Task[None]:
        """Run something in the background; if it fails, the run is aborted."""

        async def run() -> None:
            await work

        return self._tasks.spawn(run())

    def _on_task_failed(self, problem: BaseException) -> None:
        self.abort(f"the kit failed: {problem!r:.200}")

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
        """Shut all parts down in order."""
        self._closing = True
        self.clients.close()
        self._tasks.cancel()
        for server in self.servers.values():
            server.close()
        await asyncio.gather(*(node.stop() for node in self.nodes.values()), return_exceptions=True)
        self.links.close()
        self.context.close()

    def kill(self) -> None:
        """Kill the processes that are still there."""
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
