"""Runs a rehearsal: starts what there is, plays the script, and ends it all, whatever happened."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import Coroutine
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rehearsal import draws
from rehearsal.process import STALL_S, TICK_S, Order, Script, monotonic_at
from rehearsal.record import FLUSH_S, Fact, Incident, Lag, Recorder, read_folder
from rehearsal.scenario import Scenario
from rehearsal.traffic.guard import new_key
from rehearsal.world.addresses import Block, claim
from rehearsal.world.discovery import DiscoveryService, Listed
from rehearsal.world.nodes import NEW_KIND, WINDOW_S, NodeProcess
from rehearsal.world.plan import TROUBLES, Act, Plan, Server, draw, in_new_pool, zone_of
from rehearsal.world.worker import home, own_node

if TYPE_CHECKING:
    from rehearsal.quic.certs import Files

START_S = 60.0  # for all to come up
AT_ONCE = 8  # nodes that start at the same time
LEAD_S = 0.3  # from the order to play to the first arrival
AFTER_S = 15.0  # beyond the last client's time: a run that has not ended by then is cut off
RESULT = "control.json"  # of the control service's process, in the run's folder
CLOSE_S = 5.0  # for a worker to write its record and go
LEAVE_DEAL_S = (0.2, 0.4)  # until the front deals no more to a node that was told to end


class CutOff(Exception):
    """The run can't go on; the text says why."""


@dataclass
class Progress:
    """What a watcher is shown, as it changes."""

    phase: str = "starting"
    t: float = 0.0
    asked: int = 0
    served: int = 0
    open: int = 0
    incidents: list[tuple[float, float, str]] = field(default_factory=list)


@dataclass
class Run:
    """What is left of a run: its script and its record."""

    plan: Plan
    facts: list[Fact]
    start: float  # of the load, on the record's clock
    end: float  # up to when it is recorded
    complete: bool
    why: str = ""  # it is not
    interrupted: bool = False
    nodes_cpu_s: float = 0.0
    processes: int = 0
    notes: list[str] = field(default_factory=list)
    control: dict[str, Any] | None = None  # what became of the versions, where a control service sent any
    journals: dict[str, list[str]] = field(default_factory=dict)  # what nodes wrote of their fleet, by name
    zero: float = 0.0  # of the record's clock, by time.monotonic


class _Child:
    """A worker process of the kit's own."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name, self.process = name, process
        self.ready = asyncio.Event()
        self.played = asyncio.Event()
        self.counts = (0, 0, 0)
        self.reader: asyncio.Task[None] | None = None

    def tell(self, order: Order) -> None:
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(order).encode() + b"\n")


class Director:
    """One run from beginning to end."""

    def __init__(self, plan: Plan, folder: Path, block: Block, progress: Progress) -> None:
        self.plan, self.scenario = plan, plan.scenario
        self._folder, self._block, self.progress = folder, block, progress
        self.zero = time.monotonic()
        self.recorder = Recorder(folder / "director.facts", self.zero)
        self._discovery = DiscoveryService(len(self.scenario.tiers), self.recorder, time.time())
        self._worlds: list[_Child] = []
        self._clients: list[_Child] = []
        self._nodes: dict[str, NodeProcess] = {}
        self._dealt: set[str] = set()
        self._running: dict[str, float] = {}  # servers that serve, and since when (0: from the start)
        self._came_up: dict[str, asyncio.Event] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._cut: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self._closing = False
        self._files: Files | None = None  # certificates, with HTTP/3
        self.start = 0.0
        self._control: _Child | None = None
        self._hub: _Child | None = None
        self._control_at: tuple[str, int] | None = None
        self._listening, self._told = asyncio.Event(), asyncio.Event()

    # Its parts

    def cut_off(self, why: str) -> None:
        """End the run now; the first reason counts."""
        if not self._cut.done() and not self._closing:
            self._cut.set_result(why)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._task_over)

    def _task_over(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (problem := task.exception()) is not None:
            self.cut_off(f"the kit failed: {problem!r:.200}")

    async def _child(self, module: str, name: str, index: int) -> _Child:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", module, str(self._folder), name, str(index),
            stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE,
            stderr=(self._folder / f"{name}.log").open("wb"), start_new_session=True,
        )  # fmt: skip
        child = _Child(name, process)
        child.reader = asyncio.get_running_loop().create_task(self._listen(child))
        return child

    async def _listen(self, child: _Child) -> None:
        assert child.process.stdout is not None
        while text := await child.process.stdout.readline():
            news: Order = json.loads(text)
            match news["did"]:
                case "ready":
                    child.ready.set()
                case "listening":
                    self._control_at = "127.0.0.1", news["port"]
                    self._listening.set()
                case "told":
                    self._told.set()
                case "played":
                    child.played.set()
                case "tick":
                    child.counts = (news["asked"], news["served"], news["open"])
                    counts = [c.counts for c in self._clients]
                    sums = [sum(count[n] for count in counts) for n in range(3)]
                    self.progress.asked, self.progress.served, self.progress.open = sums
                case "up":
                    self._is_up(news["whom"])
                case "fell":
                    self._is_down(news["whom"], "fell")
                case "failed":
                    self.cut_off(f"{child.name} failed at {news['order']!r}: {news['why']}")
        status = await child.process.wait()
        self.cut_off(f"{child.name}, a process of the kit, ended with status {status}")

    def _world_of(self, server: Server) -> _Child:
        return self._worlds[home(self.scenario, server)]

    def _make_node(
        self, name: str, tier: int, number: int, siblings: int, server: Server | None
    ) -> NodeProcess:
        address = self._block.front_node(number) if server is None else self._block.own_node(server.number)
        node = NodeProcess(
            name, tier, address, self._block.discovery_for(address), self.scenario, siblings, number,
            self._folder, self.recorder, self._node_died, self._files,
        )  # fmt: skip
        if server is None:
            node.control = self._control_at
            if self.scenario.fleet.on:
                node.fleet = partial(self._fleet_text, name, number, siblings)
                node.door = self._block.door(number)
        self._nodes[name] = node
        return node

    def _fleet_text(self, name: str, number: int, nodes: int) -> str:
        """A node's file for the fleet: it listens at its own address, and is reached by the kit's links."""

        def text(where: tuple[str, int]) -> str:
            return f"{where[0]}:{where[1]}"

        seeds = [text(self._block.fleet_hub(n)) for n in range(nodes) if n != number]
        return (
            f'name = "{name}"\nlisten = "{text(self._block.fleet_node(number))}"\n'
            f'advertise = "{text(self._block.fleet_hub(number))}"\n'
            f'zone = "{zone_of(self.scenario, number)}"\nseeds = {json.dumps(seeds)}\nkeys = "fleet.keys"\n'
            f'state = "fleet-state"\njournal = "fleet.journal"\n'
            f"probe_ms = {self.scenario.fleet.probe_s * 1000.0}\n"
        )

    def _node_died(self, node: NodeProcess, why: str) -> None:
        tail = " | ".join(node.log_tail(2))
        self.cut_off(f"node {node.name} ended by itself ({why}){': ' + tail[-160:] if tail else ''}")

    async def _start_node(self, node: NodeProcess) -> None:
        await self._discovery.attach(node.name, node.tier, node.discovery)
        if not await node.start(self._discovery.known_list(node.tier, node.name)) and not self._closing:
            self.cut_off(f"node {node.name} did not become ready: {' | '.join(node.log_tail(2))[-160:]}")

    # Beginning

    async def begin(self) -> None:
        """Start all, up to the moment in which the load could begin."""
        scenario = self.scenario
        if scenario.network.protocol == "h3":
            from rehearsal.quic import certs

            self._files = certs.make(self._folder / "certs")
        foreign = scenario.guard.target is not None
        key = new_key() if scenario.traffic and not foreign else ""
        Script(self.plan, self.zero, self._block.number, self._files, key).write(self._folder)
        workers = 0 if foreign else scenario.workers
        made = await asyncio.gather(
            *(self._child("rehearsal.world.worker", f"world{n}", n) for n in range(workers)),
            *(self._child("rehearsal.clients.generator", f"clients{n}", n)
              for n in range(scenario.clients.processes)),
        )  # fmt: skip
        self._worlds, self._clients = made[:workers], made[workers:]
        await asyncio.gather(*(child.ready.wait() for child in made))
        if foreign:  # there is no world: all goes to the one target
            self._dealt = {"target"}
            return self._deal()
        there = [server for server in self.plan.servers if not server.start]
        for server in there:
            self._discovery.registries[server.tier].servers[server.name] = self._entry(server, 0.0)
        await asyncio.gather(*(self._bring_up(server, False) for server in there))
        if scenario.control.service:
            await self._begin_control()
        if scenario.fleet.on:
            self._hub = await self._child("rehearsal.world.hub", "hub", 0)
            await self._hub.ready.wait()
        gate = asyncio.Semaphore(AT_ONCE)
        nodes = [
            self._make_node(name, 0, n, len(self.plan.nodes), None) for n, name in enumerate(self.plan.nodes)
        ]
        for server in there:
            own = own_node(scenario, self._block, server)
            if own is not None:
                siblings = scenario.tiers[server.tier].servers
                nodes.append(self._make_node(own[0], server.tier + 1, server.place, siblings, server))

        async def start(node: NodeProcess) -> None:
            async with gate:
                await self._start_node(node)

        await asyncio.gather(*(start(node) for node in nodes))
        self._dealt = set(self.plan.nodes)
        self._deal()

    async def _begin_control(self) -> None:
        """A process of its own: gRPC's threads and the forks that start nodes don't go together."""
        child = self._control = await self._child("rehearsal.control.worker", "control", 0)
        await child.ready.wait()
        child.tell({"do": "listen", "endpoints": self._endpoints()})
        await self._listening.wait()

    def _endpoints(self) -> list[dict[str, Any]]:
        """The first tier's servers, as discovery has them."""
        listed = self._discovery.registries[0].servers.values()
        return [
            {"name": one.name, "address": one.address, "zone": one.zone, "type": one.kind,
             "group": one.cell, "status": one.status, "since_ms": 0}
            for one in listed if one.status in ("active", "leaving")
        ]  # fmt: skip

    async def control(self) -> dict[str, Any] | None:
        """What became of the versions; None where there is no such service, or it says nothing."""
        child = self._control
        if child is None or child.process.returncode is not None:
            return None
        child.tell({"do": "tell", "folder": str(self._folder)})
        try:
            await asyncio.wait_for(self._told.wait(), CLOSE_S)
        except TimeoutError:
            return None
        found: dict[str, Any] = json.loads((self._folder / RESULT).read_text())
        return found

    def _entry(self, server: Server, since: float, status: str = "active") -> Listed:
        host, port = self._block.server(server.number)
        zone = self.scenario.tiers[server.tier].zone
        where, h3 = f"{host}:{port}", self.scenario.network.protocol == "h3"
        return Listed(
            server.name, server.tier, where, zone, server.cell, status, since, where if h3 else "",
            NEW_KIND if in_new_pool(self.scenario, server) else "standin-1c",
        )  # fmt: skip

    async def _bring_up(self, server: Server, cold: bool) -> None:
        came = self._came_up[server.name] = asyncio.Event()
        self._world_of(server).tell({"do": "up", "whom": server.name, "cold": cold})
        await came.wait()

    def _is_up(self, name: str) -> None:
        self._running[name] = self.recorder.now() if self.start else 0.0
        if name in self._came_up:
            self._came_up.pop(name).set()

    def _deal(self) -> None:
        for child in self._clients:
            child.tell({"do": "deal", "nodes": sorted(self._dealt)})

    # The script

    async def play(self) -> None:
        """Play the whole script; `CutOff` if it can't be played to its end."""
        self.start = self.recorder.now() + LEAD_S
        for child in self._clients:
            child.tell({"do": "play", "at": self.start})
        for shown in self.plan.shown:
            self.recorder.put(Incident(self.start + shown.t, self.start + shown.until, shown.do, shown.whom))
            self.progress.incidents.append((shown.t, shown.until, f"{shown.do} {shown.whom}"))
        self.progress.phase = "playing"
        self._spawn(self._look())
        for told in (self._control, self._hub):
            if told is not None:
                told.tell({"do": "play", "at": self.start})
        for act in self.plan.acts:
            wait = monotonic_at(self.zero, self.start + act.t)
            if wait > 0:
                await asyncio.sleep(wait)
            self._act(act)
        longest = max(cls.gives_up_s for cls in self.scenario.classes)
        left = monotonic_at(self.zero, self.start + self.scenario.length_s + longest + AFTER_S)
        try:
            async with asyncio.timeout(max(0.0, left)):
                for child in self._clients:
                    await child.played.wait()
        except TimeoutError:
            raise CutOff("the clients did not come to their end") from None
        await asyncio.sleep(0.2)  # what comes after an answer that nobody asked for

    def _act(self, act: Act) -> None:
        if act.do in TROUBLES:
            if act.whom in self._running:
                order = {"do": act.do, "whom": act.whom, "value": act.value, "entry": act.entry}
                self._world_of(self.plan.server(act.whom)).tell(order)
            return
        match act.do:
            case "leave":
                if act.whom in self._running:
                    self._list_later(act.whom, "leaving", self.scenario.discovery.notice)
            case "down" | "crash":
                if act.whom in self._running:
                    why = "stopped" if act.do == "down" else "crashed"
                    server = self.plan.server(act.whom)
                    self._world_of(server).tell({"do": "down", "whom": act.whom, "why": why})
                    self._is_down(act.whom, why)
            case "up":
                self._spawn(self._come_up(self.plan.server(act.whom)))
            case "kill":
                self._nodes[act.whom].kill()
                self._discovery.detach(act.whom)
                self._spawn(self._notice(act.whom, self.scenario.front.notice))
            case "term":
                self._spawn(self._stop_node(self._nodes[act.whom]))
                self._spawn(self._notice(act.whom, LEAVE_DEAL_S))
            case "start":
                self._spawn(self._start_again(act.whom))
            case "pause":
                self._nodes[act.whom].pause()
                self._spawn(self._notice(act.whom, self.scenario.front.notice))
            case "resume":
                node = self._nodes[act.whom]
                node.resume()
                if node.pid is not None and node.ready:
                    self._dealt.add(act.whom)
                    self._deal()
            case "discovery-down":
                self._discovery.set_down(True)
            case "discovery-up":
                self._discovery.set_down(False)

    def _list_later(self, name: str, status: str, between: tuple[float, float]) -> None:
        server = self.plan.server(name)
        entry = self._entry(server, self._running.get(name, 0.0), status)
        self._discovery.list_later(entry, self._delay(between, name, status))

    def _delay(self, between: tuple[float, float], *name: str) -> float:
        return draws.uniform(self.scenario.seed, "delay", *name, low=between[0], high=between[1])

    def _is_down(self, name: str, why: str) -> None:
        if self._closing or name not in self._running:
            return
        self._list_later(name, "left", self.scenario.discovery.notice)
        self._running.pop(name, None)
        node = self._nodes.get(f"{name}/node")
        if node is not None:
            node.kill()
            self._discovery.detach(node.name)

    async def _come_up(self, server: Server) -> None:
        """Start a server, cold; it serves once its own node is ready."""
        own = own_node(self.scenario, self._block, server)
        if own is not None:
            node = self._nodes.get(own[0])
            if node is None:
                siblings = self.scenario.tiers[server.tier].servers
                node = self._make_node(own[0], server.tier + 1, server.place, siblings, server)
            await node.gone()
            await self._start_node(node)
        await self._bring_up(server, True)
        self._list_later(server.name, "active", self.scenario.discovery.add)

    async def _stop_node(self, node: NodeProcess) -> None:
        await node.stop()
        self._discovery.detach(node.name)

    async def _notice(self, node: str, between: tuple[float, float]) -> None:
        """The front deals no more to a node, once it has noticed."""
        seen = self._nodes[node]
        lives, paused = seen.lives, seen.paused_at
        await asyncio.sleep(self._delay(between, node, str(lives)))
        if seen.lives == lives and seen.paused_at == paused:
            self._dealt.discard(node)
            self._deal()

    async def _start_again(self, name: str) -> None:
        node = self._nodes[name]
        await node.gone()
        await self._start_node(node)
        self._dealt.add(name)
        self._deal()

    async def _look(self) -> None:
        """Keep the record flowing, and watch this loop and the nodes' share of the machine."""
        loop = asyncio.get_running_loop()
        looked = flushed = loop.time()
        for node in self._nodes.values():
            node.look(False)
        while True:
            due = loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            now = loop.time()
            self.progress.t = self.recorder.now() - self.start
            if now - due > STALL_S:
                self.recorder.put(Lag(self.recorder.now(), "director", "stall", now - due))
            if now - flushed > FLUSH_S:
                self.recorder.flush()
                flushed = now
            if now - looked >= WINDOW_S:
                looked = now
                for node in list(self._nodes.values()):
                    node.look(True)

    # Its end

    async def until_cut(self) -> None:
        """Wait until something ends the run before its time."""
        raise CutOff(await asyncio.shield(self._cut))

    async def close(self) -> None:
        """End every process and close every port, whatever state they are in."""
        self._closing = True
        self.progress.phase = "ending"
        for task in set(self._tasks):
            task.cancel()
        for node in self._nodes.values():
            node.look(False)
        more = [child for child in (self._control, self._hub) if child is not None]
        children = [
            *self._clients,
            *more,
            *self._worlds,
        ]  # clients first: what they see last is the nodes' own
        for child in children:
            child.tell({"do": "close"})
        for child in children:
            try:
                await asyncio.wait_for(child.process.wait(), CLOSE_S)
            except TimeoutError:
                child.process.kill()
                await child.process.wait()
            if child.reader is not None:
                child.reader.cancel()
        for node in self._nodes.values():
            node.kill("end")
        await asyncio.gather(*(node.gone() for node in self._nodes.values()), return_exceptions=True)
        self._discovery.close()
        self.recorder.close()

    def cpu_s(self) -> float:
        """CPU seconds that the nodes have used."""
        return sum(node.cpu_s for node in self._nodes.values())

    def processes(self) -> int:
        """Nodes that there were."""
        return len(self._nodes)

    def workers(self) -> int:
        """The kit's own processes."""
        return len(self._worlds) + len(self._clients)

    def journals(self) -> dict[str, list[str]]:
        """What nodes wrote down of their fleet."""
        return {name: node.journal() for name, node in self._nodes.items() if node.fleet is not None}

    def notes(self) -> list[str]:
        """Lines of the nodes' logs that tell of trouble inside them."""
        found = []
        for node in self._nodes.values():
            found += [line[:200] for line in node.log_lines() if " ERROR " in line or "Traceback" in line]
        return found[:20]


async def rehearse(scenario: Scenario, progress: Progress, keep: Path | None = None) -> Run:
    """Play a scenario once. `ValueError`: its timeline comes to too much; `NoAddresses`: none is free.

    SIGINT and SIGTERM end the run early; what was seen until then comes back, as it does when a node or
    a process of the kit dies. `keep`: a folder that the record and the nodes' logs are left in.
    """
    plan = draw(scenario)
    block, held = claim()
    folder = Path(tempfile.mkdtemp(prefix="orchidferry-rehearsal-")) if keep is None else keep
    folder.mkdir(parents=True, exist_ok=True)
    loop = asyncio.get_running_loop()
    director = Director(plan, folder, block, progress)
    caught: list[int] = []

    def signalled(number: int) -> None:
        caught.append(number)
        director.cut_off(f"stopped by {signal.Signals(number).name}")

    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, signalled, number)
    gc.freeze()
    complete, why = False, ""
    try:
        work = loop.create_task(_whole(director))
        cut = loop.create_task(director.until_cut())
        done, _ = await asyncio.wait({work, cut}, return_when=asyncio.FIRST_COMPLETED)
        end = director.recorder.now()
        for task in (work, cut):
            task.cancel()
        await asyncio.gather(work, cut, return_exceptions=True)
        try:
            for task in done:
                task.result()
            complete = True
        except CutOff as reason:
            why = str(reason)
        versions = await director.control()
        await director.close()
        facts = read_folder(folder)
        return Run(
            plan, facts, director.start, end, complete, why, bool(caught), director.cpu_s(),
            director.processes() + director.workers(), director.notes(),
            versions, director.journals(), director.zero,
        )  # fmt: skip
    finally:
        for number in (signal.SIGINT, signal.SIGTERM):
            loop.remove_signal_handler(number)
        with contextlib.suppress(OSError):
            held.close()
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


async def _whole(director: Director) -> None:
    try:
        async with asyncio.timeout(START_S):
            await director.begin()
    except TimeoutError:
        raise CutOff(f"not all came up within {START_S:g} s") from None
    await director.play()
