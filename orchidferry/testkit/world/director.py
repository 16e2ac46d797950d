"""Runs a rehearsal: starts what there is, plays the script, and ends it all, whatever happened."""

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
from orchidferry.testkit.world.acts import ActPlayer
from orchidferry.testkit.world.addresses import Block, claim
from orchidferry.testkit.world.child import CLOSE_S, Child, Counts, start_child
from orchidferry.testkit.world.deployment import Deployment
from orchidferry.testkit.world.nodes import WINDOW_S, NodeProcess
from orchidferry.testkit.world.plan import Plan, Server, draw
from orchidferry.testkit.world.run import Progress, Run, RunAbortedError

__all__ = ["RESULT", "Director", "Progress", "Run", "RunAbortedError", "rehearse"]

START_S = 60.0  # for all to come up
AT_ONCE = 8  # nodes that start at the same time
LEAD_S = 0.3  # from the order to play to the first arrival
AFTER_S = 15.0  # beyond the last client's time: a run that has not ended by then is cut off
LATE_S = 0.2  # for what comes after an answer that nobody asked for
MAX_NOTES = 20
RESULT = "control.json"  # of the control service's process, in the run's folder


class Director:
    """One run from beginning to end."""

    def __init__(self, plan: Plan, folder: Path, block: Block, progress: Progress) -> None:
        self.deployment = Deployment(plan, folder, block)
        self.progress = progress
        self._acts = ActPlayer(self.deployment)
        self._control: Child | None = None
        self._hub: Child | None = None
        self._listening, self._told = asyncio.Event(), asyncio.Event()

    # The kit's own processes

    async def _start_child(self, module: str, name: str, index: int) -> Child:
        return await start_child(self.deployment.folder, module, name, index, self._heard, self._ended)

    def _heard(self, child: Child, news: Order) -> None:
        match news["did"]:
            case "ready":
                child.ready.set()
            case "listening":
                self.deployment.control_at = "127.0.0.1", news["port"]
                self._listening.set()
            case "told":
                self._told.set()
            case "played":
                child.played.set()
            case "tick":
                child.counts = Counts(news["asked"], news["served"], news["open"])
                self._sum_counts()
            case "up":
                self.deployment.is_up(news["whom"])
            case "fell":
                self.deployment.is_down(news["whom"], "fell")
            case "failed":
                self.deployment.cut_off(f"{child.name} failed at {news['order']!r}: {news['why']}")

    def _sum_counts(self) -> None:
        counts = [child.counts for child in self.deployment.clients]
        self.progress.asked = sum(one.asked for one in counts)
        self.progress.served = sum(one.served for one in counts)
        self.progress.open = sum(one.open for one in counts)

    def _ended(self, child: Child, status: int) -> None:
        self.deployment.cut_off(f"{child.name}, a process of the kit, ended with status {status}")

    # Beginning

    async def begin(self) -> None:
        """Start all, up to the moment in which the load could begin."""
        deployment = self.deployment
        scenario = self.deployment.scenario
        if scenario.network.protocol == "h3":
            from orchidferry.testkit.quic import certs

            deployment.files = certs.make(deployment.folder / "certs")
        foreign = scenario.guard.target is not None
        await self._start_workers(foreign)
        if foreign:  # there are no servers here: all goes to the one target
            deployment.dealt = {"target"}
            return deployment.deal()
        servers = [server for server in deployment.plan.servers if not server.start]
        await deployment.bring_up_first(servers)
        if scenario.control.service:
            await self._begin_control()
        if scenario.fleet.on:
            self._hub = await self._start_child("orchidferry.testkit.world.hub", "hub", 0)
            await self._hub.ready.wait()
        await self._start_nodes(servers)
        deployment.dealt = set(deployment.plan.nodes)
        deployment.deal()

    async def _start_workers(self, foreign: bool) -> None:
        """The processes of clients, and of servers unless the target is foreign."""
        deployment = self.deployment
        scenario = self.deployment.scenario
        key = new_key() if scenario.traffic and not foreign else ""
        script = WorkerScript(
            deployment.plan, deployment.zero, deployment.block.number, deployment.files, key
        )
        script.write(deployment.folder)
        workers = 0 if foreign else scenario.workers
        made = await asyncio.gather(
            *(self._start_child("orchidferry.testkit.world.worker", f"world{n}", n) for n in range(workers)),
            *(
                self._start_child("orchidferry.testkit.clients.generator", f"clients{n}", n)
                for n in range(scenario.clients.processes)
            ),
        )
        deployment.worlds = made[:workers]
        deployment.clients = made[workers:]
        await asyncio.gather(*(child.ready.wait() for child in made))

    async def _start_nodes(self, servers: list[Server]) -> None:
        """The nodes of the front, and those that servers have of their own."""
        deployment = self.deployment
        names = deployment.plan.nodes
        nodes = [deployment.make_node(name, 0, n, len(names), None) for n, name in enumerate(names)]
        for server in servers:
            own = deployment.own_node(server)
            if own is not None:
                nodes.append(own)
        gate = asyncio.Semaphore(AT_ONCE)

        async def start(node: NodeProcess) -> None:
            async with gate:
                await deployment.start_node(node)

        await asyncio.gather(*(start(node) for node in nodes))

    async def _begin_control(self) -> None:
        """A process of its own: gRPC's threads and the forks that start nodes don't go together."""
        child = self._control = await self._start_child("orchidferry.testkit.control.worker", "control", 0)
        await child.ready.wait()
        child.tell({"do": "listen", "endpoints": self.deployment.endpoints()})
        await self._listening.wait()

    async def control(self) -> dict[str, Any] | None:
        """What became of the versions; None where there is no such service, or it says nothing."""
        child = self._control
        if child is None or child.process.returncode is not None:
            return None
        child.tell({"do": "tell", "folder": str(self.deployment.folder)})
        try:
            await asyncio.wait_for(self._told.wait(), CLOSE_S)
        except TimeoutError:
            return None
        found: dict[str, Any] = json.loads((self.deployment.folder / RESULT).read_text())
        return found

    # The script

    async def play(self) -> None:
        """Play the whole script; `RunAbortedError` if it can't be played to its end."""
        deployment = self.deployment
        start = deployment.start = deployment.recorder.now() + LEAD_S
        for child in deployment.clients:
            child.tell({"do": "play", "at": start})
        for shown in deployment.plan.shown:
            deployment.recorder.put(Incident(start + shown.t, start + shown.until, shown.do, shown.whom))
            self.progress.incidents.append((shown.t, shown.until, f"{shown.do} {shown.whom}"))
        self.progress.phase = "playing"
        deployment.spawn(self._look())
        for told in (self._control, self._hub):
            if told is not None:
                told.tell({"do": "play", "at": start})
        for act in deployment.plan.acts:
            wait = monotonic_at(deployment.zero, start + act.t)
            if wait > 0:
                await asyncio.sleep(wait)
            self._acts.play(act)
        await self._wait_for_clients()
        await asyncio.sleep(LATE_S)

    async def _wait_for_clients(self) -> None:
        deployment = self.deployment
        longest = max(cls.gives_up_s for cls in deployment.scenario.classes)
        end = deployment.start + deployment.scenario.length_s + longest + AFTER_S
        try:
            async with asyncio.timeout(max(0.0, monotonic_at(deployment.zero, end))):
                for child in deployment.clients:
                    await child.played.wait()
        except TimeoutError:
            raise RunAbortedError("the clients did not come to their end") from None

    async def _look(self) -> None:
        """Keep the record flowing, and watch this loop and the nodes' share of the machine."""
        loop = asyncio.get_running_loop()
        recorder = self.deployment.recorder
        looked = flushed = loop.time()
        for node in self.deployment.nodes.values():
            node.look(False)
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
            if now - looked >= WINDOW_S:
                looked = now
                for node in list(self.deployment.nodes.values()):
                    node.look(True)

    # Its end

    async def until_cut(self) -> None:
        """Wait until something ends the run before its time."""
        raise RunAbortedError(await asyncio.shield(self.deployment.cut))

    async def close(self) -> None:
        """End every process and close every port, whatever state they are in."""
        self.deployment.closing = True
        self.progress.phase = "ending"
        for task in set(self.deployment.tasks):
            task.cancel()
        for node in self.deployment.nodes.values():
            node.look(False)
        more = [child for child in (self._control, self._hub) if child is not None]
        # Clients first: what they see last is the nodes' own.
        children = [*self.deployment.clients, *more, *self.deployment.worlds]
        for child in children:
            child.tell({"do": "close"})
        for child in children:
            await child.close()
        for node in self.deployment.nodes.values():
            node.kill("end")
        await asyncio.gather(
            *(node.gone() for node in self.deployment.nodes.values()), return_exceptions=True
        )
        self.deployment.discovery.close()
        self.deployment.recorder.close()

    def cpu_s(self) -> float:
        """CPU seconds that the nodes have used."""
        return sum(node.cpu_s for node in self.deployment.nodes.values())

    def processes(self) -> int:
        """Nodes that there were."""
        return len(self.deployment.nodes)

    def workers(self) -> int:
        """The kit's own processes."""
        return len(self.deployment.worlds) + len(self.deployment.clients)

    def journals(self) -> dict[str, list[str]]:
        """What nodes wrote down of their fleet."""
        return {
            name: node.journal() for name, node in self.deployment.nodes.items() if node.fleet is not None
        }

    def notes(self) -> list[str]:
        """Lines of the nodes' logs that tell of trouble inside them."""
        found = []
        for node in self.deployment.nodes.values():
            found += [line[:200] for line in node.log_lines() if " ERROR " in line or "Traceback" in line]
        return found[:MAX_NOTES]


async def rehearse(scenario: Scenario, progress: Progress, keep: Path | None = None) -> Run:
    """Play a scenario once. `ValueError`: its timeline comes to too much; `NoFreeAddressesError`: none is
    free.

    SIGINT and SIGTERM end the run early; what was seen until then comes back, as it does when a node or
    a process of the kit dies. `keep`: a folder that the record and the nodes' logs are left in.
    """
    plan = draw(scenario)
    block, held = claim()
    folder = Path(tempfile.mkdtemp(prefix="orchidferry-rehearsal-")) if keep is None else keep
    folder.mkdir(parents=True, exist_ok=True)
    loop = asyncio.get_running_loop()
    director = Director(plan, folder, block, progress)
    caught: list[signal.Signals] = []

    def signalled(number: signal.Signals) -> None:
        caught.append(number)
        director.deployment.cut_off(f"stopped by {number.name}")

    gc.freeze()
    complete = False
    why = ""
    with contextlib.ExitStack() as cleaning:
        if keep is None:
            cleaning.callback(shutil.rmtree, folder, ignore_errors=True)
        cleaning.callback(_release, held)
        cleaning.enter_context(on_stop_signals(signalled))
        work = loop.create_task(_whole(director))
        cut = loop.create_task(director.until_cut())
        done, _ = await asyncio.wait({work, cut}, return_when=asyncio.FIRST_COMPLETED)
        end = director.deployment.recorder.now()
        for task in (work, cut):
            task.cancel()
        await asyncio.gather(work, cut, return_exceptions=True)
        try:
            for task in done:
                task.result()
            complete = True
        except RunAbortedError as reason:
            why = str(reason)
        versions = await director.control()
        await director.close()
        facts = read_folder(folder)
        return Run(
            plan,
            facts,
            director.deployment.start,
            end,
            complete,
            why,
            bool(caught),
            director.cpu_s(),
            director.processes() + director.workers(),
            director.notes(),
            versions,
            director.journals(),
            director.deployment.zero,
        )


def _release(block: socket.socket) -> None:
    with contextlib.suppress(OSError):
        block.close()


async def _whole(director: Director) -> None:
    try:
        async with asyncio.timeout(START_S):
            await director.begin()
    except TimeoutError:
        raise RunAbortedError(f"not all came up within {START_S:g} s") from None
    await director.play()
