"""What runs during a rehearsal: servers, nodes, discovery and the kit's own processes."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Coroutine
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from orchidferry.testkit import seeded_random
from orchidferry.testkit.record import Recorder
from orchidferry.testkit.scenario import Scenario
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.child import Child
from orchidferry.testkit.world.discovery import DiscoveryService, ListedServer
from orchidferry.testkit.world.nodes import NEW_KIND, NodeProcess
from orchidferry.testkit.world.plan import Plan, Server, in_new_pool, zone_of
from orchidferry.testkit.world.worker import sidecar_of, worker_index

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import Files

STANDIN_KIND = "standin-1c"  # of a server's machine, as discovery names it


def fleet_file(scenario: Scenario, block: Block, name: str, number: int, nodes: int) -> str:
    """A node's file for the fleet: it listens at its own address, and is reached by the kit's links."""

    def text(where: tuple[str, int]) -> str:
        return f"{where[0]}:{where[1]}"

    seeds = [text(block.fleet_hub(n)) for n in range(nodes) if n != number]
    return (
        f'name = "{name}"\nlisten = "{text(block.fleet_node(number))}"\n'
        f'advertise = "{text(block.fleet_hub(number))}"\n'
        f'zone = "{zone_of(scenario, number)}"\nseeds = {json.dumps(seeds)}\nkeys = "fleet.keys"\n'
        f'state = "fleet-state"\njournal = "fleet.journal"\n'
        f"probe_ms = {scenario.fleet.probe_s * 1000.0}\n"
    )


class Deployment:
    """The parts of one run, and how each is started and ended."""

    def __init__(self, plan: Plan, folder: Path, block: Block) -> None:
        self.plan = plan
        self.scenario = plan.scenario
        self.folder = folder
        self.block = block
        self.zero = time.monotonic()
        self.recorder = Recorder(folder / "director.facts", self.zero)
        self.discovery = DiscoveryService(len(self.scenario.tiers), self.recorder, time.time())
        self.worlds: list[Child] = []
        self.clients: list[Child] = []
        self.nodes: dict[str, NodeProcess] = {}
        self.dealt: set[str] = set()  # nodes that clients may use
        self.running: dict[str, float] = {}  # servers that serve, and since when (0: from the start)
        self.tasks: set[asyncio.Task[None]] = set()
        self.cut: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.closing = False
        self.files: Files | None = None  # certificates, with HTTP/3
        self.start = 0.0  # of the load, on the record's clock
        self.control_at: tuple[str, int] | None = None  # where the control service listens
        self._came_up: dict[str, asyncio.Event] = {}

    def cut_off(self, why: str) -> None:
        """End the run now; the first reason counts."""
        if not self.cut.done() and not self.closing:
            self.cut.set_result(why)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a task beside the run; it is cancelled at the end, and its failure ends the run."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._task_over)

    def _task_over(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self.cut_off(f"the kit failed: {problem!r:.200}")

    def world_of(self, server: Server) -> Child:
        """The process that plays a server."""
        return self.worlds[worker_index(self.scenario, server)]

    def make_node(
        self, name: str, tier: int, number: int, siblings: int, server: Server | None
    ) -> NodeProcess:
        """A node: of the front, or a server's own."""
        address = self.block.front_node(number) if server is None else self.block.own_node(server.number)
        node = NodeProcess(
            name,
            tier,
            address,
            self.block.discovery_for(address),
            self.scenario,
            siblings,
            number,
            self.folder,
            self.recorder,
            self._node_died,
            self.files,
        )
        if server is None:
            node.control = self.control_at
            if self.scenario.fleet.on:
                node.fleet = partial(fleet_file, self.scenario, self.block, name, number, siblings)
                node.admin = self.block.admin(number)
        self.nodes[name] = node
        return node

    def _node_died(self, node: NodeProcess, why: str) -> None:
        tail = " | ".join(node.log_tail(2))
        self.cut_off(f"node {node.name} ended by itself ({why}){': ' + tail[-160:] if tail else ''}")

    def own_node(self, server: Server) -> NodeProcess | None:
        """The node that a server has of its own, made where there is none yet; None in the last tier."""
        own = sidecar_of(self.scenario, self.block, server)
        if own is None:
            return None
        if own[0] in self.nodes:
            return self.nodes[own[0]]
        siblings = self.scenario.tiers[server.tier].servers
        return self.make_node(own[0], server.tier + 1, server.place, siblings, server)

    async def start_node(self, node: NodeProcess) -> None:
        """Start a node, and wait until it is ready."""
        await self.discovery.attach(node.name, node.tier, node.discovery)
        if not await node.start(self.discovery.known_list(node.tier, node.name)) and not self.closing:
            self.cut_off(f"node {node.name} did not become ready: {' | '.join(node.log_tail(2))[-160:]}")

    def endpoints(self) -> list[dict[str, Any]]:
        """The first tier's servers, as discovery has them."""
        listed = self.discovery.registries[0].servers.values()
        return [
            {
                "name": one.name,
                "address": one.address,
                "zone": one.zone,
                "type": one.kind,
                "group": one.cell,
                "status": one.status,
                "since_ms": 0,
            }
            for one in listed
            if one.status in ("active", "leaving")
        ]

    def entry(self, server: Server, since: float, status: str = "active") -> ListedServer:
        """A server as discovery lists it."""
        host, port = self.block.server(server.number)
        zone = self.scenario.tiers[server.tier].zone
        where = f"{host}:{port}"
        h3 = self.scenario.network.protocol == "h3"
        return ListedServer(
            server.name,
            server.tier,
            where,
            zone,
            server.cell,
            status,
            since,
            where if h3 else "",
            NEW_KIND if in_new_pool(self.scenario, server) else STANDIN_KIND,
        )

    async def bring_up(self, server: Server, cold: bool) -> None:
        """Have a server started, and wait until it serves."""
        came = self._came_up[server.name] = asyncio.Event()
        self.world_of(server).tell({"do": "up", "whom": server.name, "cold": cold})
        await came.wait()

    async def bring_up_first(self, servers: list[Server]) -> None:
        """Have the servers of the beginning listed and started, warm."""
        for server in servers:
            self.discovery.registries[server.tier].servers[server.name] = self.entry(server, 0.0)
        await asyncio.gather(*(self.bring_up(server, False) for server in servers))

    def is_up(self, name: str) -> None:
        """A server serves."""
        self.running[name] = self.recorder.now() if self.start else 0.0
        if name in self._came_up:
            self._came_up.pop(name).set()

    def is_down(self, name: str, why: str) -> None:
        """A server has ended: so does its own node."""
        if self.closing or name not in self.running:
            return
        self.list_later(name, "left", self.scenario.discovery.notice)
        self.running.pop(name, None)
        node = self.nodes.get(f"{name}/node")
        if node is not None:
            node.kill()
            self.discovery.detach(node.name)

    def deal(self) -> None:
        """Tell the clients which nodes of the front they may use."""
        for child in self.clients:
            child.tell({"do": "deal", "nodes": sorted(self.dealt)})

    def list_later(self, name: str, status: str, between: tuple[float, float]) -> None:
        """Have discovery list a server's new status, after a delay that is drawn."""
        server = self.plan.server(name)
        entry = self.entry(server, self.running.get(name, 0.0), status)
        self.discovery.list_later(entry, self.delay(between, name, status))

    def delay(self, between: tuple[float, float], *name: str) -> float:
        """A delay that is drawn for this name."""
        return seeded_random.uniform(self.scenario.seed, "delay", *name, low=between[0], high=between[1])
