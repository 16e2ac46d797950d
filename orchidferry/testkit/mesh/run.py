"""A day being played on the mesh: all of the kit's parts in a run, its course and its end."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Awaitable
from dataclasses import dataclass
from pathlib import Path

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.mesh.ask import Scene
from orchidferry.testkit.mesh.changes import Changes
from orchidferry.testkit.mesh.clients import Clients, Platform
from orchidferry.testkit.mesh.closing_deeds import CLOSING_DEEDS
from orchidferry.testkit.mesh.configuration import build
from orchidferry.testkit.mesh.day import KINDS, Day, Machine, Ports, Trouble, machines, ports
from orchidferry.testkit.mesh.deeds import FIRST
from orchidferry.testkit.mesh.facts import Event, Record
from orchidferry.testkit.mesh.link_deeds import LINK_DEEDS
from orchidferry.testkit.mesh.links import Links
from orchidferry.testkit.mesh.operator import Operator
from orchidferry.testkit.mesh.planned_deeds import PLANNED_DEEDS
from orchidferry.testkit.mesh.process_deeds import PROCESS_DEEDS
from orchidferry.testkit.mesh.processes import AGAIN_S, MAX_STARTS, Node
from orchidferry.testkit.mesh.servers import Server
from orchidferry.testkit.mesh.table import UNPLANNED, table
from orchidferry.testkit.mesh.tasks import TaskSet
from orchidferry.testkit.mesh.worst_days import WORST_DEEDS
from orchidferry.testkit.world.addresses import Block, NoFreeAddressesError

START_S = 10.0  # from the machines' start to the traffic, at most; earlier where all is ready
LEAD_S = 3.0  # after that: servers have said that they are warm
TICK_S = 0.02
REST_S = 6.0  # for what is open after the last arrival
OPERATORS = ("operator-1", "operator-2")
FIRST_PORT = 8140
LAST_PORT = 12000
STEP = 60
DEEDS = PLANNED_DEEDS | PROCESS_DEEDS | LINK_DEEDS | CLOSING_DEEDS | WORST_DEEDS


class RunAbortedError(OrchidferryError):
    """The run can't go on; the text says why."""


@dataclass
class Progress:
    """What a watcher is shown."""

    phase: str = "starting"
    t: float = 0.0
    asked: int = 0
    served: int = 0
    now: str = ""


def free_ports(ips: list[str]) -> Ports:
    """Ports that nobody has, at all of these addresses."""
    for base in range(FIRST_PORT, LAST_PORT, STEP):
        try:
            for ip in ips:
                for port in (*range(base, base + 6), base + 20):
                    with socket.socket() as held:
                        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        held.bind((ip, port))
        except OSError:
            continue
        return ports(base)
    raise NoFreeAddressesError(f"no ports are free from {FIRST_PORT} to {LAST_PORT}")


class Play:
    """A day being played."""

    def __init__(
        self, day: Day, seed: int, seconds: float, block: Block, folder: Path, watch: Progress
    ) -> None:
        self.day = day
        self.seed = seed
        self.seconds = seconds
        self.progress = watch
        self.block = block.number
        self._folder = folder
        self.cores, self.sidecars = machines(day, block.number, seed)  # the first as the operators list them
        every = [*self.cores, *self.sidecars]
        services = {machine.name: machine.service for machine in self.sidecars}
        self.record = Record(
            day.name,
            seed,
            day.bounds,
            {kind.name: kind for kind in KINDS},
            services,
            tuple(machine.name for machine in self.cores),
        )
        places = free_ports([ip for m in every for ip in (m.ip, m.bind)])
        self.scene = Scene(seed, places, self.record.facts.append, time.monotonic())
        self.links = Links(places)
        self.nodes: dict[str, Node] = {}
        for machine in every:
            self.add(machine, True)
        self.servers = {m.name: Server(self.scene, day, m) for m in self.sidecars}
        self.platform = Platform(self.scene, self.sidecars)
        self.clients = Clients(self.scene, self.platform, seconds, day.again_s)
        self.operator, self.other = (
            Operator(self.scene, self.cores, name, self.links.outsider(name, f"127.{block.number}.200.{n}"))
            for n, name in enumerate(OPERATORS, 1)
        )
        self.changes = Changes(
            self.scene, day, self.cores, (self.operator, self.other), self.clients, self.spawn
        )
        self.cut: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._tasks = TaskSet(self._failed)
        self._closing = False

    def add(self, machine: Machine, founds: bool) -> Node:
        """A machine with its process, not started yet, and its relays."""
        node = self.nodes[machine.name] = Node(
            self.scene, self.day, machine, self.cores, self._folder, self._died, self.links.down, founds
        )
        self.links.add(machine)
        return node

    def cut_off(self, why: str) -> None:
        if not self.cut.done():
            self.cut.set_result(why)

    async def until_cut(self) -> object:
        """Why the run ends before its time, once it does."""
        return await asyncio.shield(self.cut)

    def spawn(self, work: Awaitable[object]) -> asyncio.Task[None]:
        """Have something done beside the rest; if it fails, the run ends."""

        async def run() -> None:
            await work

        return self._tasks.spawn(run())

    def _failed(self, problem: BaseException) -> None:
        self.cut_off(f"the kit failed: {problem!r:.200}")

    def _died(self, node: Node, status: int) -> None:
        """A process ended by itself: it is started again, as the platform does."""
        if self._closing:
            return
        if node.lives >= MAX_STARTS or self.progress.phase == "starting":
            tail = " | ".join(node.tail(2))
            return self.cut_off(f"{node.machine.name} ended by itself (status {status}): {tail[-200:]}")
        self.spawn(self.again(node, True))

    async def again(self, node: Node, own: bool) -> None:
        """Start a process once more; `own`: after an end of its own."""
        await asyncio.sleep(AGAIN_S)
        if not self._closing:
            await node.start(own)

    # Its course

    async def whole(self) -> None:
        """All of it; `RunAbortedError` where it can't go on."""
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        started = self.scene.now()
        self.spawn(self._watch())
        self.spawn(self.platform.probe())
        for server in self.servers.values():
            await server.start()
        first = build(self.day, self.seed, FIRST, False)
        put = self.spawn(self.operator.put(first, 0, True, START_S + 5.0))
        while self.scene.now() - started < START_S:
            if put.done() and len(self.platform.known) == len(self.sidecars):
                break
            await asyncio.sleep(0.05)
        await put
        if not self.platform.known:
            raise RunAbortedError(f"no machine was ready within {START_S:g} s of the start")
        await asyncio.sleep(LEAD_S)
        self.progress.phase = "playing"
        start = self.record.start = self.scene.now()
        self.spawn(self._troubles(start))
        await self.clients.play(start)
        await self.clients.rest(REST_S)
        self.record.end = self.scene.now()
        self.progress.phase = "reading back"
        await self.operator.read_for(self.day.bounds.contact_ms / 1000.0)

    async def _troubles(self, start: float) -> None:
        """One after another; after one that was not planned what was lost has the time to catch up."""
        rest = 0.0
        for trouble in table(self.day, self.seed, self.seconds):
            due = max(start + trouble.at * self.seconds, rest)
            await asyncio.sleep(max(0.0, due - self.scene.now()))
            await self._play(trouble)
            if trouble.do in UNPLANNED:
                rest = self.scene.now() + self.day.bounds.catch_up_s

    async def _play(self, trouble: Trouble) -> None:
        deed = DEEDS[trouble.do]
        at = self.scene.now()
        event = Event(at, at + trouble.for_s, trouble.do, trouble.whom)
        self.record.facts.append(event)
        self.progress.now = trouble.do
        event.whom = await deed(self, trouble) or event.whom
        event.until = max(event.until, self.scene.now())
        self.progress.now = ""

    async def _watch(self) -> None:
        """Once in a while: idle connections, the loop's own lateness, what processes use, progress."""
        loop = asyncio.get_running_loop()
        swept = 0.0
        while True:
            due = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            late = loop.time() - due
            now = self.scene.now()
            if self.progress.phase == "playing":
                self.record.stall_s = max(self.record.stall_s, late)
                self.progress.t = now - self.record.start
                self.progress.asked, self.progress.served = (
                    self.clients.counts[n] for n in ("asked", "served")
                )
            if now - swept > 1.0:
                swept = now
                self.scene.sweep()
                for server in self.servers.values():
                    server.sweep()
                for node in self.nodes.values():
                    node.look()
                    if self.progress.phase == "playing":
                        self.record.starved = max(self.record.starved, node.starved)

    async def close(self) -> None:
        """End all of it."""
        self._closing = True
        self.progress.phase = "ending"
        self.clients.close()
        self._tasks.cancel()
        for server in self.servers.values():
            server.end()
        await asyncio.gather(*(node.stop() for node in self.nodes.values()), return_exceptions=True)
        self.links.close()
        self.scene.close()

    def kill(self) -> None:
        """Whatever is still there."""
        for node in self.nodes.values():
            node.kill("killed")
