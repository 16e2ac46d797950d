"""A mesh for benchmarks: controllers, nodes and stand-in servers as processes on loopback.

A relay between nodes and controllers can count the bytes that they exchange: the nodes' settings then
name the relay's port as the internal one.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any

from orchidferry.testkit.bench.claim_load import ClaimerSetup, ClaimLoad, ClaimReport, encode_line
from orchidferry.testkit.bench.counting_relay import CountingRelay
from orchidferry.testkit.bench.process_usage import CpuMeter, peak_memory_mb
from orchidferry.testkit.mesh.context import RunContext
from orchidferry.testkit.mesh.control_api import call
from orchidferry.testkit.mesh.day import Day, Machine, Ports, machines
from orchidferry.testkit.mesh.environment import free_ports
from orchidferry.testkit.mesh.processes import ROOT, Node
from orchidferry.testkit.wire import Outcome, get
from orchidferry.testkit.world.addresses import Block, claim
from orchidferry.testkit.world.nodes import prepare_child

SEED = 1
HOST = "api.internal"
READY_S = 20.0  # time-out for the start of the processes
END_S = 10.0  # time-out for the end of the processes
HEARTBEAT_S = 1.0  # interval between two heartbeats of a server
SLOTS = 64  # capacity of each server, so large that no node has to queue requests
DESCRIPTORS = 4_096  # limit of file descriptors of a helper process
# A folder in memory, if there is one, so that other work on this machine's disk does not distort the figures.
DISK = os.environ.get("ORCHIDFERRY_BENCH_DISK", "")
RELAY_PORT_OFFSET = 20  # offset of a machine's relay port from the port of its readiness listener
LOAD_MODULE = "orchidferry.testkit.bench.mesh_load"
# Path prefixes of the routes, named after the request classes of the forwarding benchmark.
FEED = "/ler-feed/"
SAVE = "/salvar-episodio/"
KEYED = "keyed"
Route = tuple[str, str, str]  # path prefix, service, route type


def configuration(revision: int, routes: list[Route], services: list[str]) -> dict[str, Any]:
    """Make a configuration with these routes of one host.

    :param revision: number of the revision.
    :param services: names of the services.
    """
    rules = [
        {
            "identifier": f"r{n}",
            "route_type": kind,
            "target_ms": 1_000,
            "precedence": 1,
            "criteria": {"path_prefix": prefix},
            "treatment": {"service_name": service, "guard_timer_ms": 3_000, "max_attempts": 2},
        }
        for n, (prefix, service, kind) in enumerate(routes)
    ]
    return {
        "revision_number": revision,
        "limit_set": {"max_header_bytes": 16_384, "header_timer_ms": 3_000, "idle_timer_ms": 15_000},
        "access_points": [{"host_name": HOST, "rule_set": rules}],
        "trunk_groups": [{"identifier": name, "max_connections": 500} for name in services],
    }


class Fleet:
    """The processes of a mesh, as an asynchronous context manager that stops them on exit in any case."""

    def __init__(
        self,
        cores: int,
        servers: tuple[int, int] = (0, 0),
        sync_ms: float = 0.0,
        disk: str | None = None,
        relay: bool = False,
        proxy_command: Callable[[Path, str], tuple[str, ...]] | None = None,
    ) -> None:
        """Prepare a fleet; its processes start when the context is entered.

        :param cores: number of controllers.
        :param servers: how many servers each of the two services has; each runs beside a proxy of its own.
        :param sync_ms: how much longer a controller's commit takes.
        :param disk: the folder for the files; None for the one that `ORCHIDFERRY_BENCH_DISK` names.
        :param relay: whether relays count the bytes that controllers and proxies exchange.
        :param proxy_command: makes the command of a proxy, given the fleet's folder and the machine's name.
        """
        self._day = Day("bench", "", 0.0, (), cores=cores, servers=servers)
        self._sync_ms = sync_ms
        self._relay = relay
        self._proxy_command = proxy_command
        self._disk = DISK if disk is None and DISK and Path(DISK).is_dir() else disk
        self._address_claim: Any = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._own_processes: list[asyncio.subprocess.Process] = []
        self._sequence = 0
        self._failure = ""
        self.relays: list[CountingRelay] = []
        self.nodes: dict[str, Node] = {}
        self.servers: dict[str, tuple[str, str]] = {}  # instance id and state of the server, by machine
        self.revision = 0

    async def __aenter__(self) -> Fleet:
        self.block, self._address_claim = claim()
        self.folder = Path(tempfile.mkdtemp(prefix="orchidferry-bench-mesh-", dir=self._disk))
        try:
            await self._start()
        except BaseException:
            await self.close()
            raise
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, problem: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    async def _start(self) -> None:
        block: Block = self.block
        # The machines are connected directly, without the test kit's simulated links.
        cores, sidecars = machines(self._day, block.number, SEED)
        self.cores = [replace(machine, bind=machine.ip) for machine in cores]
        self.sidecars = [replace(machine, bind=machine.ip) for machine in sidecars]
        self.ports: Ports = free_ports([m.ip for m in (*self.cores, *self.sidecars)])
        self.run_context = RunContext(SEED, self.ports, lambda _: None, time.monotonic())
        proxy_context = await self._start_relays() if self._relay else self.run_context
        for machine in (*self.cores, *self.sidecars):
            context = self.run_context if machine.role == "core" else proxy_context
            node = Node(
                context, self._day, machine, self.cores[:3], self.folder, self._exited, lambda _: None
            )
            if machine.role == "core" and self._sync_ms:
                node.command = (sys.executable, "-B", "-m", LOAD_MODULE, "slow", str(self._sync_ms))
            if machine.role == "sidecar" and self._proxy_command is not None:
                node.command = self._proxy_command(self.folder, machine.name)
            self.nodes[machine.name] = node
        await asyncio.gather(*(node.start() for node in self.nodes.values()))
        if self.sidecars:
            addresses = [f"{m.ip}:{self.ports.application}" for m in self.sidecars]
            await self._start_own_process("servers", *addresses)
            self.servers = {m.name: (f"i-{m.number}-0", "in_service") for m in self.sidecars}
            await self._until_ready()

    async def _start_relays(self) -> RunContext:
        """Start a relay in front of each controller.

        :returns: the context of the nodes that use the relays.
        """
        relayed = self.ports._replace(internal=self.ports.ready + RELAY_PORT_OFFSET)
        for controller in self.cores:
            relay = CountingRelay()
            self.relays.append(relay)
            await relay.start((controller.ip, relayed.internal), (controller.ip, self.ports.internal))
        return RunContext(SEED, relayed, lambda _: None, self.run_context.zero)

    def _exited(self, node: Node, status: int) -> None:
        self._failure = (
            f"{node.machine.name} exited unexpectedly (status {status}): {' | '.join(node.tail(2))}"
        )

    def check(self) -> None:
        """Check that all processes of the mesh are running.

        :raises ValueError: if one has exited.
        """
        if self._failure:
            raise ValueError(self._failure)

    async def _start_own_process(
        self, *arguments: str, first_input: bytes = b""
    ) -> asyncio.subprocess.Process:
        """Start a process of `mesh_load`, and wait until it reports that it is ready.

        :param first_input: is written to its standard input.
        :raises ValueError: if it exits before.
        """
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            LOAD_MODULE,
            *arguments,
            cwd=ROOT,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=2**24,
            stderr=(self.folder / "bench.log").open("ab"),
            start_new_session=True,
            preexec_fn=partial(prepare_child, DESCRIPTORS),
        )
        self._own_processes.append(process)
        assert process.stdin is not None and process.stdout is not None
        process.stdin.write(first_input)
        if not await asyncio.wait_for(process.stdout.readline(), READY_S):
            tail = (self.folder / "bench.log").read_text("utf-8", "replace").splitlines()[-1:]
            raise ValueError(f"{arguments[0]} did not start: {' '.join(tail)}")
        return process

    async def claimer(self, number: int = 0) -> asyncio.subprocess.Process:
        """Start a claimer of keys, to which `load` then passes loads.

        :param number: distinguishes its address from those of other claimers.
        """
        controllers = [machine.ip for machine in self.cores]
        ip = f"127.{self.block.number}.30.{number + 1}"
        setup = ClaimerSetup(controllers, self.ports.internal, ip)
        return await self._start_own_process("claims", first_input=encode_line(setup))

    async def load(self, claimer: asyncio.subprocess.Process, load: ClaimLoad) -> ClaimReport:
        """Have a claimer make the claims of a load.

        :raises ValueError: if a process of the mesh or the claimer has exited.
        """
        assert claimer.stdin is not None and claimer.stdout is not None
        claimer.stdin.write(encode_line(load))
        line = await asyncio.wait_for(claimer.stdout.readline(), load.seconds + READY_S)
        self.check()
        if not line:
            raise ValueError("a claimer exited unexpectedly")
        return ClaimReport(**json.loads(line))

    # Servers and configurations

    async def send_heartbeat(self, machine: Machine) -> bool:
        """Send a heartbeat of a machine's server to its node.

        :returns: whether it was acknowledged.
        """
        self._sequence += 1
        id, state = self.servers[machine.name]
        payload = {
            "address": f"{machine.ip}:{self.ports.application}",
            "information": {"service_name": machine.service, "zone": machine.zone, "capacity": SLOTS},
            "condition": {"state": state, "call_sequence": self._sequence},
        }
        where = (machine.ip, self.ports.control)
        path = f"/orchidferry/instances/{id}"
        outcome, _ = await call(self.run_context.pool(machine), where, "PUT", path, payload)
        return outcome.how == "answer" and outcome.status == 200

    async def _send_heartbeats(self) -> None:
        while True:
            for machine in self.sidecars:
                await self.send_heartbeat(machine)
            await asyncio.sleep(HEARTBEAT_S)

    async def put(self, routes: list[Route]) -> float:
        """Store a configuration with these routes.

        :returns: the time of the acknowledgement.
        :raises ValueError: if there is no acknowledgement in time.
        """
        base = self.revision
        self.revision = self.revision + 1
        services = sorted({m.service for m in self.sidecars})
        body = configuration(self.revision, routes, services)
        until = time.monotonic() + READY_S
        last = Outcome("none", 0.0)
        while time.monotonic() < until:
            where = (self.cores[0].ip, self.ports.control)
            pool = self.run_context.pool(self.cores[0])
            last, _ = await call(pool, where, "PUT", "/orchidferry/configuration", body, base, 5.0)
            if last.how == "answer" and last.status == 200:
                return last.t
            await asyncio.sleep(0.1)
        raise ValueError(f"no configuration was acknowledged: {last.status} {last.body[:200]!r}")

    def routes(self) -> list[Route]:
        """Return the default routes: reads (`FEED`) and keyed requests (`SAVE`) of the first service."""
        first = self.sidecars[0].service
        return [(FEED, first, "idempotent"), (SAVE, first, KEYED)]

    async def _until_ready(self) -> None:
        self.spawn(self._send_heartbeats())
        await self.put(self.routes())
        until = time.monotonic() + READY_S
        waiting = list(self.sidecars)
        while waiting:
            self.check()
            if time.monotonic() > until:
                raise ValueError(f"{waiting[0].name} did not become ready")
            outcome = await get((waiting[0].ip, self.ports.ready), "/orchidferry/readiness")
            if outcome.how == "answer" and outcome.status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.05)

    def spawn(self, work: Any) -> asyncio.Task[None]:
        """Run a coroutine, which is cancelled when the fleet is closed."""
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # Resource usage

    def pids(self, machines: list[Machine]) -> list[int]:
        """Return the ids of these machines' processes."""
        self.check()
        return [pid for m in machines if (pid := self.nodes[m.name].pid) is not None]

    def meter(self, machines: list[Machine]) -> CpuMeter:
        """Start measuring the CPU usage of these machines' processes."""
        return CpuMeter(self.pids(machines))

    def peaks(self, machines: list[Machine]) -> list[float]:
        """Return the peak memory of each machine's process, in MiB."""
        return [peak_memory_mb(pid) for pid in self.pids(machines)]

    def stored(self) -> list[int]:
        """Return the bytes that the files of each controller take on disk."""
        folders = [self.folder / machine.name / "data" for machine in self.cores]
        return [sum(f.stat().st_blocks * 512 for f in folder.rglob("*") if f.is_file()) for folder in folders]

    async def close(self) -> None:
        """Kill all processes, and remove their files."""
        for task in set(self._tasks):
            task.cancel()
        for node in self.nodes.values():
            node.kill()
        for process in self._own_processes:
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.kill()
        for relay in self.relays:
            relay.close()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(END_S):
                for process in self._own_processes:
                    await process.wait()
                for node in self.nodes.values():
                    while node.pid is not None:
                        await asyncio.sleep(0.01)
        if hasattr(self, "run_context"):
            self.run_context.close()
        self._address_claim.close()
        shutil.rmtree(self.folder, ignore_errors=True)
