"""Runs a rehearsal: starts all processes, executes the plan, and ends all processes in any case."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import shutil
import signal
import socket
import tempfile
from pathlib import Path
from typing import Any

from orchidferry.testkit.process import LAG_INTERVAL_S, MIN_STALL_S, Order, WorkerScript, monotonic_at
from orchidferry.testkit.record import FLUSH_S, Incident, Lag, read_folder
from orchidferry.testkit.scenario import Scenario
from orchidferry.testkit.stop_signals import on_stop_signals
from orchidferry.testkit.traffic.guard import new_key
from orchidferry.testkit.world.actions import ActionExecutor
from orchidferry.testkit.world.addresses import Block, claim
from orchidferry.testkit.world.child import CLOSE_TIMEOUT_S, Child, Counts, start_child
from orchidferry.testkit.world.deployment import Deployment
from orchidferry.testkit.world.nodes import CPU_SAMPLE_S, NodeProcess
from orchidferry.testkit.world.plan import Plan, Server, draw
from orchidferry.testkit.world.run import Progress, Run, RunAbortedError

__all__ = ["RESULT", "Director", "Progress", "Run", "RunAbortedError", "rehearse"]

START_TIMEOUT_S = 60.0  # time for all processes to become ready
MAX_CONCURRENT_STARTS = 8  # number of nodes that are started at the same time
LEAD_S = 0.3  # time from the order to start the load to the start of the load
END_TIMEOUT_S = 15.0  # time from the last client's deadline until the run is aborted
LATE_ANSWERS_S = 0.2  # time to wait for answers that arrive after their clients have ended
MAX_NOTES = 20  # number of error lines from the nodes' logs in the result
MAX_NOTE_LENGTH = 200  # characters of one of these lines
RESULT = "control.json"  # file in the run's folder to which the control service's process writes its result


class Director:
    """Controls one run from its start to its end: all processes, and the plan.

    :param progress: updated while the run is under way
    """

    def __init__(self, plan: Plan, folder: Path, block: Block, progress: Progress) -> None:
        self.deployment = Deployment(plan, folder, block)
        self.progress = progress
        self._action_executor = ActionExecutor(self.deployment)
        self._control: Child | None = None
        self._hub: Child | None = None
        self._control_listening = asyncio.Event()
        self._result_written = asyncio.Event()

    async def _start_child(self, module: str, name: str, index: int) -> Child:
        return await start_child(
            self.deployment.folder, module, name, index, self._on_report, self._on_child_end
        )

    def _on_report(self, child: Child, report: Order) -> None:
        match report["did"]:
            case "ready":
                child.ready.set()
            case "listening":
                self.deployment.control_at = "127.0.0.1", report["port"]
                self._control_listening.set()
            case "told":
                self._result_written.set()
            case "played":
                child.load_ended.set()
            case "tick":
                child.counts = Counts(report["asked"], report["served"], report["open"])
                self._sum_counts()
            case "up":
                self.deployment.on_server_up(report["whom"])
            case "fell":
                self.deployment.on_server_down(report["whom"])
            case "failed":
                self.deployment.abort(f"{child.name} failed at {report['order']!r}: {report['why']}")

    def _sum_counts(self) -> None:
        counts = [child.counts for child in self.deployment.clients]
        self.progress.asked = sum(count.asked for count in counts)
        self.progress.served = sum(count.served for count in counts)
        self.progress.open = sum(count.open for count in counts)

    def _on_child_end(self, child: Child, status: int) -> None:
        self.deployment.abort(f"{child.name}, a process of the kit, ended with status {status}")

    async def start(self) -> None:
        """Start all processes, so that the load can begin."""
        deployment = self.deployment
        scenario = self.deployment.scenario
        if scenario.network.protocol == "h3":
            from orchidferry.testkit.quic import certs

            deployment.files = certs.make(deployment.folder / "certs")
        foreign = scenario.guard.target is not None
        await self._start_workers(foreign)
        if foreign:  # a replay to an external target: no stand-in servers and no nodes are started
            deployment.usable_nodes = {"target"}
            return deployment.publish_usable_nodes()
        servers = [server for server in deployment.plan.servers if not server.starts_later]
        await deployment.start_first_servers(servers)
        if scenario.control.service:
            await self._start_control()
        if scenario.fleet.on:
            self._hub = await self._start_child("orchidferry.testkit.world.hub", "hub", 0)
            await self._hub.ready.wait()
        await self._start_nodes(servers)
        deployment.usable_nodes = set(deployment.plan.nodes)
        deployment.publish_usable_nodes()
        return None

    async def _start_workers(self, foreign: bool) -> None:
        """Start the worker processes of the clients and of the stand-in servers.

        :param foreign: whether all requests go to an external target, so that no stand-in servers are needed
        """
        deployment = self.deployment
        scenario = self.deployment.scenario
        key = new_key() if scenario.traffic and not foreign else ""
        script = WorkerScript(
            deployment.plan, deployment.zero, deployment.block.number, deployment.files, key
        )
        script.write(deployment.folder)
        workers = 0 if foreign else scenario.workers
        children = await asyncio.gather(
            *(self._start_child("orchidferry.testkit.world.worker", f"world{n}", n) for n in range(workers)),
            *(
                self._start_child("orchidferry.testkit.clients.generator", f"clients{n}", n)
                for n in range(scenario.clients.processes)
            ),
        )
        deployment.workers = children[:workers]
        deployment.clients = children[workers:]
        await asyncio.gather(*(child.ready.wait() for child in children))

    async def _start_nodes(self, servers: list[Server]) -> None:
        """Start the front nodes and the sidecar nodes of the servers."""
        deployment = self.deployment
        names = deployment.plan.nodes
        nodes = [deployment.make_node(name, 0, n, len(names), None) for n, name in enumerate(names)]
        for server in servers:
            sidecar = deployment.sidecar_node(server)
            if sidecar is not None:
                nodes.append(sidecar)
        limit = asyncio.Semaphore(MAX_CONCURRENT_STARTS)

        async def start(node: NodeProcess) -> None:
            async with limit:
                await deployment.start_node(node)

        await asyncio.gather(*(start(node) for node in nodes))

    async def _start_control(self) -> None:
        """Start the control service in its own process, as gRPC's threads are incompatible with fork."""
        child = await self._start_child("orchidferry.testkit.control.worker", "control", 0)
        self._control = child
        await child.ready.wait()
        child.send_order({"do": "listen", "endpoints": self.deployment.endpoints()})
        await self._control_listening.wait()

    async def control_result(self) -> dict[str, Any] | None:
        """Return the result of the control service; None if there is none or it does not answer in time."""
        child = self._control
        if child is None or child.process.returncode is not None:
            return None
        child.send_order({"do": "tell", "folder": str(self.deployment.folder)})
        try:
            await asyncio.wait_for(self._result_written.wait(), CLOSE_TIMEOUT_S)
        except TimeoutError:
            return None
        result: dict[str, Any] = json.loads((self.deployment.folder / RESULT).read_text())
        return result

    async def run_plan(self) -> None:
        """Run the load and execute the plan's actions until all clients have ended.

        :raises RunAbortedError: if the clients do not end in time
        """
        deployment = self.deployment
        start = deployment.recorder.now() + LEAD_S
        deployment.start = start
        for child in deployment.clients:
            child.send_order({"do": "play", "at": start})
        for incident in deployment.plan.incidents:
            deployment.recorder.put(
                Incident(start + incident.t, start + incident.until, incident.do, incident.whom)
            )
            self.progress.incidents.append((incident.t, incident.until, f"{incident.do} {incident.whom}"))
        self.progress.phase = "playing"
        deployment.spawn(self._monitor())
        for child_or_none in (self._control, self._hub):
            if child_or_none is not None:
                child_or_none.send_order({"do": "play", "at": start})
        for action in deployment.plan.actions:
            wait = monotonic_at(deployment.zero, start + action.t)
            if wait > 0:
                await asyncio.sleep(wait)
            self._action_executor.execute(action)
        await self._wait_for_clients()
        await asyncio.sleep(LATE_ANSWERS_S)

    async def _wait_for_clients(self) -> None:
        deployment = self.deployment
        longest = max(cls.gives_up_s for cls in deployment.scenario.classes)
        end = deployment.start + deployment.scenario.length_s + longest + END_TIMEOUT_S
        try:
            async with asyncio.timeout(max(0.0, monotonic_at(deployment.zero, end))):
                for child in deployment.clients:
                    await child.load_ended.wait()
        except TimeoutError:
            raise RunAbortedError("the clients did not come to their end") from None

    async def _monitor(self) -> None:
        """Flush the record regularly; measure this event loop's lag and the nodes' waits for a CPU core."""
        loop = asyncio.get_running_loop()
        recorder = self.deployment.recorder
        sampled = loop.time()
        flushed = sampled
        for node in self.deployment.nodes.values():
            node.sample_cpu(False)
        while True:
            due = loop.time() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            now = loop.time()
            self.progress.t = recorder.now() - self.deployment.start
            if now - due > MIN_STALL_S:
                recorder.put(Lag(recorder.now(), "director", "stall", now - due))
            if now - flushed > FLUSH_S:
                recorder.flush()
                flushed = now
            if now - sampled >= CPU_SAMPLE_S:
                sampled = now
                for node in list(self.deployment.nodes.values()):
                    node.sample_cpu(True)

    async def until_aborted(self) -> None:
        """Wait until the run is aborted.

        :raises RunAbortedError: with the reason
        """
        raise RunAbortedError(await asyncio.shield(self.deployment.aborted))

    async def close(self) -> None:
        """End all processes and close all ports, whatever their state."""
        self.deployment.closing = True
        self.progress.phase = "ending"
        for task in set(self.deployment.tasks):
            task.cancel()
        for node in self.deployment.nodes.values():
            node.sample_cpu(False)
        services = [child for child in (self._control, self._hub) if child is not None]
        # Clients end first, so that the shutdown of nodes and servers does not affect their last requests.
        children = [*self.deployment.clients, *services, *self.deployment.workers]
        for child in children:
            child.send_order({"do": "close"})
        for child in children:
            await child.close()
        for node in self.deployment.nodes.values():
            node.kill("end")
        await asyncio.gather(
            *(node.wait_ended() for node in self.deployment.nodes.values()), return_exceptions=True
        )
        self.deployment.discovery.close()
        self.deployment.recorder.close()

    def cpu_s(self) -> float:
        """Return the CPU time that the nodes have used, in seconds."""
        return sum(node.cpu_s for node in self.deployment.nodes.values())

    def processes(self) -> int:
        """Return the number of node processes."""
        return len(self.deployment.nodes)

    def workers(self) -> int:
        """Return the number of worker processes of clients and servers."""
        return len(self.deployment.workers) + len(self.deployment.clients)

    def journals(self) -> dict[str, list[str]]:
        """Return the lines of the nodes' journals of fleet membership, by node."""
        return {
            name: node.journal()
            for name, node in self.deployment.nodes.items()
            if node.fleet_text is not None
        }

    def notes(self) -> list[str]:
        """Return the lines of the nodes' logs that report an error, up to a limit."""
        found = []
        for node in self.deployment.nodes.values():
            found += [
                line[:MAX_NOTE_LENGTH]
                for line in node.log_lines()
                if " ERROR " in line or "Traceback" in line
            ]
        return found[:MAX_NOTES]


async def rehearse(scenario: Scenario, progress: Progress, keep: Path | None = None) -> Run:
    """Run a scenario once.

    SIGINT, SIGTERM and the unexpected end of a process abort the run; the result then contains the facts
    recorded so far.

    :param progress: updated while the run is under way
    :param keep: a folder in which the record and the nodes' logs are kept; None: they are deleted at the end
    :raises ValueError: if the timeline gives too many servers or actions
    :raises NoFreeAddressesError: if all address blocks are in use
    """
    plan = draw(scenario)
    block, reservation = claim()
    folder = Path(tempfile.mkdtemp(prefix="orchidferry-rehearsal-")) if keep is None else keep
    folder.mkdir(parents=True, exist_ok=True)
    director = Director(plan, folder, block, progress)
    received: list[signal.Signals] = []

    def on_signal(number: signal.Signals) -> None:
        received.append(number)
        director.deployment.abort(f"stopped by {number.name}")

    gc.freeze()
    with contextlib.ExitStack() as cleaning:
        if keep is None:
            cleaning.callback(shutil.rmtree, folder, ignore_errors=True)
        cleaning.callback(_release, reservation)
        cleaning.enter_context(on_stop_signals(on_signal))
        end, why = await _run_to_end(director)
        versions = await director.control_result()
        await director.close()
        return Run(
            plan=plan,
            facts=read_folder(folder),
            start=director.deployment.start,
            end=end,
            complete=why is None,
            why=why or "",
            interrupted=bool(received),
            nodes_cpu_s=director.cpu_s(),
            processes=director.processes() + director.workers(),
            notes=director.notes(),
            control=versions,
            journals=director.journals(),
            zero=director.deployment.zero,
        )


async def _run_to_end(director: Director) -> tuple[float, str | None]:
    """Start all processes and run the plan.

    :returns: when the run ended, in seconds on the record's clock, and the reason if it was aborted
    """
    loop = asyncio.get_running_loop()
    work = loop.create_task(_start_and_run_plan(director))
    aborted = loop.create_task(director.until_aborted())
    done, _ = await asyncio.wait({work, aborted}, return_when=asyncio.FIRST_COMPLETED)
    end = director.deployment.recorder.now()
    for task in (work, aborted):
        task.cancel()
    await asyncio.gather(work, aborted, return_exceptions=True)
    try:
        for task in done:
            task.result()
    except RunAbortedError as problem:
        return end, str(problem)
    return end, None


def _release(reservation: socket.socket) -> None:
    with contextlib.suppress(OSError):
        reservation.close()


async def _start_and_run_plan(director: Director) -> None:
    try:
        async with asyncio.timeout(START_TIMEOUT_S):
            await director.start()
    except TimeoutError:
        raise RunAbortedError(f"not all came up within {START_TIMEOUT_S:g} s") from None
    await director.run_plan()
