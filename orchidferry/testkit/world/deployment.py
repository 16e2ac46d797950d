"""The running parts of a rehearsal: servers, nodes, service discovery and the test kit's own processes."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from orchidferry.testkit import seeded_random
from orchidferry.testkit.record import Recorder
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.child import Child
from orchidferry.testkit.world.discovery import DiscoveryService, ListedServer
from orchidferry.testkit.world.node_files import NEW_POOL_KIND, fleet_text
from orchidferry.testkit.world.nodes import NodeProcess, NodeSpec
from orchidferry.testkit.world.plan import Plan, Server, in_new_pool
from orchidferry.testkit.world.worker import sidecar_of, worker_index

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import CertificateFiles

STANDIN_KIND = "standin-1c"  # machine type of stand-in servers in discovery


class Deployment:
    """Starts and ends the parts of one run, and keeps their state.

    :param folder: the run's folder, for records, logs and the nodes' files
    """

    def __init__(self, plan: Plan, folder: Path, block: Block) -> None:
        self.plan = plan
        self.scenario = plan.scenario
        self.folder = folder
        self.block = block
        self.zero = time.monotonic()
        self.recorder = Recorder(folder / "director.facts", self.zero)
        self.discovery = DiscoveryService(len(self.scenario.tiers), self.recorder, time.time())
        self.workers: list[Child] = []
        self.clients: list[Child] = []
        self.nodes: dict[str, NodeProcess] = {}
        self.usable_nodes: set[str] = set()  # names of the nodes that clients may use
        # start time of each running server, in seconds on the record's clock; 0: before the load
        self.running: dict[str, float] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        self.aborted: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.closing = False
        self.files: CertificateFiles | None = None  # certificates, with HTTP/3
        self.start = 0.0  # start of the load, in seconds on the record's clock; 0: not started
        self.control_at: tuple[str, int] | None = None  # address of the control service
        self._starting: dict[str, asyncio.Event] = {}  # by server; set when the server serves

    def abort(self, why: str) -> None:
        """End the run early; only the first reason is kept."""
        if not self.aborted.done() and not self.closing:
            self.aborted.set_result(why)

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a background task; it is cancelled at the end of the run, and its failure aborts the run."""
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self.tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self.abort(f"the kit failed: {problem!r:.200}")

    def worker_of(self, server: Server) -> Child:
        """Return the worker process that runs a server."""
        return self.workers[worker_index(self.scenario, server)]

    def make_node(
        self, name: str, tier: int, number: int, siblings: int, server: Server | None
    ) -> NodeProcess:
        """Create a node, without starting it.

        :param tier: index of the tier whose servers the node uses
        :param number: the node's index among its siblings
        :param siblings: number of nodes that use the same tier, this node included
        :param server: the server that the node is a sidecar of; None for a front node
        """
        address = self.block.front_node(number) if server is None else self.block.sidecar_node(server.number)
        spec = NodeSpec(name, tier, number, siblings, address, self.block.discovery_for(address))
        node = NodeProcess(spec, self.scenario, self.folder, self.recorder, self._on_node_exit, self.files)
        if server is None:
            node.control = self.control_at
            if self.scenario.fleet.on:
                node.fleet_text = partial(fleet_text, self.scenario, self.block, name, number, siblings)
                node.admin = self.block.admin(number)
        self.nodes[name] = node
        return node

    def _on_node_exit(self, node: NodeProcess, why: str) -> None:
        tail = " | ".join(node.log_tail(2))
        self.abort(f"node {node.name} ended by itself ({why}){': ' + tail[-160:] if tail else ''}")

    def sidecar_node(self, server: Server) -> NodeProcess | None:
        """Return the sidecar node of a server, created on the first call; None in the last tier."""
        sidecar = sidecar_of(self.scenario, self.block, server)
        if sidecar is None:
            return None
        if sidecar[0] in self.nodes:
            return self.nodes[sidecar[0]]
        siblings = self.scenario.tiers[server.tier].servers
        return self.make_node(sidecar[0], server.tier + 1, server.position, siblings, server)

    async def start_node(self, node: NodeProcess) -> None:
        """Start a node and wait until it is ready; if that fails, the run is aborted."""
        await self.discovery.attach(node.name, node.spec.tier, node.spec.discovery)
        if not await node.start(self.discovery.known_list(node.spec.tier, node.name)) and not self.closing:
            self.abort(f"node {node.name} did not become ready: {' | '.join(node.log_tail(2))[-160:]}")

    def endpoints(self) -> list[dict[str, Any]]:
        """Return the servers of the first tier in the format of the control service."""
        listed = self.discovery.registries[0].servers.values()
        return [
            {
                "name": server.name,
                "address": server.address,
                "zone": server.zone,
                "type": server.kind,
                "group": server.cell,
                "status": server.status,
                "since_ms": 0,
            }
            for server in listed
            if server.status in ("active", "leaving")
        ]

    def entry(self, server: Server, since: float, status: str = "active") -> ListedServer:
        """Return a server's entry in the list of service discovery.

        :param since: start time of the server, in seconds on the record's clock; 0: before the run
        """
        host, port = self.block.server(server.number)
        zone = self.scenario.tiers[server.tier].zone
        address = f"{host}:{port}"
        h3 = self.scenario.network.protocol == "h3"
        return ListedServer(
            server.name,
            server.tier,
            address,
            zone,
            server.cell,
            status,
            since,
            address if h3 else "",
            NEW_POOL_KIND if in_new_pool(self.scenario, server) else STANDIN_KIND,
        )

    async def start_server(self, server: Server, cold: bool) -> None:
        """Start a server and wait until it serves.

        :param cold: whether the server begins with slow start
        """
        started = asyncio.Event()
        self._starting[server.name] = started
        self.worker_of(server).send_order({"do": "up", "whom": server.name, "cold": cold})
        await started.wait()

    async def start_first_servers(self, servers: list[Server]) -> None:
        """List and start the servers that exist from the start of the run, at full capacity."""
        for server in servers:
            self.discovery.registries[server.tier].servers[server.name] = self.entry(server, 0.0)
        await asyncio.gather(*(self.start_server(server, False) for server in servers))

    def on_server_up(self, name: str) -> None:
        """Handle the report that a server serves."""
        self.running[name] = self.recorder.now() if self.start else 0.0
        if name in self._starting:
            self._starting.pop(name).set()

    def on_server_down(self, name: str) -> None:
        """Handle the end of a server: list it as gone after a delay, and kill its sidecar node."""
        if self.closing or name not in self.running:
            return
        self.list_later(name, "left", self.scenario.discovery.notice)
        self.running.pop(name, None)
        node = self.nodes.get(f"{name}/node")
        if node is not None:
            node.kill()
            self.discovery.detach(node.name)

    def publish_usable_nodes(self) -> None:
        """Send the clients the names of the nodes that they may use."""
        for child in self.clients:
            child.send_order({"do": "deal", "nodes": sorted(self.usable_nodes)})

    def list_later(self, name: str, status: str, between: tuple[float, float]) -> None:
        """Change a server's status in service discovery after a random delay.

        :param between: bounds of the delay in seconds
        """
        server = self.plan.server(name)
        entry = self.entry(server, self.running.get(name, 0.0), status)
        self.discovery.list_later(entry, self.delay(between, name, status))

    def delay(self, between: tuple[float, float], *name: str) -> float:
        """Draw a delay in seconds; the same seed and the same `name` always give the same delay.

        :param between: bounds of the delay in seconds
        """
        return seeded_random.uniform(self.scenario.seed, "delay", *name, low=between[0], high=between[1])
