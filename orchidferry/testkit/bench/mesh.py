"""`orchidferry bench mesh`: what the mesh costs, real processes on loopback; large meshes in virtual time.

Every figure is the median of its repeats, with the least and the most. CPU is the kernel's count for the
process (`/proc/PID/task/*/schedstat`), so it bears other work on the machine better than a time does.
"""

from __future__ import annotations

import argparse
import asyncio
import importlib
import importlib.util
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from pathlib import Path
from typing import Any

import uvloop

from orchidferry.testkit.bench import forward
from orchidferry.testkit.bench.forward import ask_all
from orchidferry.testkit.bench.mesh_fleet import FEED, HOST, SAVE, Fleet, Meter, disk_sync_ms, written_bytes
from orchidferry.testkit.exchange import message
from orchidferry.testkit.mesh.day import Machine
from orchidferry.testkit.mesh.processes import missing
from orchidferry.testkit.stop_signals import until_stopped
from orchidferry.testkit.wire import Address, Outcome

Row = dict[str, Any]
RATES = (150.0, 500.0)  # claims a second that are offered
AT_ONCE = 512  # claims that are out where the most is asked for
GRANTED = 0.99  # of what is asked, claims and requests: below that a row is broken
MAX_CLAIMS = 40_000  # of one such load
ANSWER = 600  # bytes of an answer that is kept
SYNC_MS = 1.0  # that each commit takes longer on a disk of memory: a core machine's sync
# where controllers write
MEMORY = "1 ms a sync"
OWN = "this disk"
SHARE = 0.645  # of a core: what a core machine has
REQUESTS = 300.0  # requests a second offered to a forwarder
WARM_S = 0.6
WAITED = 0.02  # a share of the time that is told where a process waited so long for a core
KEYS = 50_000  # claimed for the memory row
# servers of the two services, one a node
SMALL = (3, 3)
LARGE = (6, 6)
NEWS = (11, 1)  # the one is drained
# of one measurement
CHANGES = 8
DRAINS = 4
SETTLE_S = 2.5  # after the start, before a mesh is idle
POLL_S = 0.006
KNOWN_S = 5.0  # for all nodes to know of a change
ROUTE_MS = 1_000
# of the model
ZONES = 3
SEED = 1
VIRTUAL_CHANGES = 20  # of each
WIDE = 50.0  # times the least median of a panel
MODEL = "orchidferry.testkit.bench.mesh_news"


def quantile(values: Sequence[float], q: float) -> float:
    """The value that a share `q` of them do not exceed.

    >>> quantile([3, 1, 2, 4], 0.5), quantile([5], 0.99), quantile(range(1, 101), 0.99)
    (2, 5, 99)
    """
    ordered = sorted(values)
    return ordered[max(0, -int(-q * len(ordered) // 1) - 1)]


def row(what: str, name: str, unit: str, values: Sequence[float], **more: Any) -> Row:
    """A figure over its repeats, printed as it comes; `ValueError` where nothing was measured."""
    if not values:
        raise ValueError(f"{what}: {name}: nothing was measured")
    made = {
        "what": what,
        "name": name,
        "unit": unit,
        "min": round(min(values), 4),
        "median": round(statistics.median(values), 4),
        "max": round(max(values), 4),
        "of": len(values),
        **more,
    }
    notes = "".join(f"; {key} {value}" for key, value in more.items() if key != "broken")
    print(
        f"  {name:58} {made['median']:>10.5g} {unit} ({made['min']:.5g} to {made['max']:.5g}, "
        f"of {len(values)}){notes}{'  BROKEN' if more.get('broken') else ''}",
        flush=True,
    )
    return made


# Claims


def claim_rows(name: str, loads: list[dict[str, Any]]) -> list[Row]:
    """The rows of one load from its repeats."""
    asked, granted = (sum(load[key] for load in loads) for key in ("asked", "granted"))
    took = [sorted(t * 1e3 for t in load["took"]) for load in loads]
    late = max(quantile(load["late"], 0.99) for load in loads) * 1e3
    lost: Row = {"ungranted": asked - granted} if granted < asked else {}
    if granted < GRANTED * asked:
        lost["broken"] = True
    busy = [load["granted"] / load["seconds"] for load in loads]
    cpu = [cpu for load in loads for cpu in load["controller_us"]]
    wrote = [b for load in loads for b in load["written"]]  # nothing where the disk is of memory
    most = SHARE / statistics.median(cpu) * 1e6
    return [
        row(
            "claims",
            f"{name}: granted",
            "a second",
            busy,
            controller_busy=f"{max(s for load in loads for s in load['controller_share']):.0%}",
            claimer_busy=f"{max(load['cpu_s'] / load['seconds'] for load in loads):.0%}",
            waited_for_a_core=f"{max(load['waited'] for load in loads):.0%}",
            **lost,
        ),
        row("claims", f"{name}: CPU of a controller", "us a claim", cpu, core_machine=f"{most:.0f}/s"),
        row("claims", f"{name}: p50", "ms", [quantile(t, 0.5) for t in took if t]),
        row(
            "claims",
            f"{name}: p99",
            "ms",
            [quantile(t, 0.99) for t in took if t],
            asked_late_p99_ms=round(late, 2),
        ),
        *([row("claims", f"{name}: written to disk", "bytes a claim", wrote)] if any(wrote) else []),
    ]


async def claims(
    seconds: float,
    turns: int,
    groups: Sequence[int] = (1, 3),
    rates: Sequence[float] = RATES,
    disks: Sequence[str] = (MEMORY, OWN),
    most: bool = True,
) -> list[Row]:
    """Keys claimed of one controller and of three, at rates and as fast as they go; each turn with new disks.

    The disk is of memory, with a commit 1 ms longer, as a core machine's is; the largest group's also the
    folder for temporary files.
    """
    found: dict[str, list[dict[str, Any]]] = {}
    stored: list[float] = []
    for _ in range(turns):
        for controllers in groups:
            for where in disks if controllers == max(groups) else disks[:1]:
                own = where == OWN
                folder, sync = (tempfile.gettempdir(), 0.0) if own else (None, SYNC_MS)
                async with Fleet(controllers, sync_ms=sync, disk=folder) as fleet:
                    claimer = await fleet.claimer()
                    before = fleet.stored()
                    asked = 0
                    loads = [(f"{rate:g}/s", rate, 0) for rate in rates]
                    if most:
                        loads.append((f"{AT_ONCE} at once", 0.0, 0))
                    if own:
                        loads.append((f"{rates[-1]:g}/s, answers of {ANSWER} B kept", rates[-1], ANSWER))
                    for name, rate, answer in loads:
                        pids = fleet.pids(fleet.cores)
                        meter = Meter(pids)
                        wrote = [written_bytes(pid) for pid in pids]
                        load = await fleet.load(
                            claimer,
                            tag=name,
                            rate=rate,
                            seconds=seconds,
                            at_once=AT_ONCE,
                            count=MAX_CLAIMS,
                            answer=answer,
                        )
                        spent, load["waited"] = meter.read()
                        count = max(1, load["granted"])
                        load["controller_us"] = [s / count * 1e6 for s in spent]
                        load["controller_share"] = [s / load["seconds"] for s in spent]
                        load["written"] = [
                            (written_bytes(pid) - was) / count for pid, was in zip(pids, wrote, strict=True)
                        ]
                        who = "1 controller" if controllers == 1 else f"{controllers} controllers"
                        found.setdefault(f"{who}, {where}, {name}", []).append(load)
                        asked += load["granted"]
                        if not rate:
                            stored += [
                                (now - was) / asked for now, was in zip(fleet.stored(), before, strict=True)
                            ]
    rows = [one for name, some in found.items() for one in claim_rows(name, some)]
    if stored:
        rows.append(row("claims", "kept on disk", "bytes a claim", stored))
    if OWN in disks:
        took = disk_sync_ms(tempfile.gettempdir())
        rows.append(row("claims", f"{OWN}: 4 KiB written and synced", "ms", took))
    return rows


# Requests


def asked_as(name: str, prefix: str, keyed: bool) -> Callable[[int, str], bytes]:
    """Requests that the present node and the mesh both read: the same bytes go to all."""
    cls = next(cls for cls in forward.scenario().classes if cls.name == name)

    def write(number: int, id: str) -> bytes:
        more = [f"Attempt-Id: {id}", f"Time-Remaining: {forward.BUDGET_S * 1e3:.0f}"]
        if keyed:
            more.append(f"Operation-Key: k-{id}")
        target = f"{prefix}x?obj={number:x}"
        return message(
            cls, id, f"k-{id}", number, forward.BUDGET_S, False, b"x" * 100, HOST, target, more=more
        )

    return write


READS = asked_as("ler-feed", FEED, False)
SAVES = asked_as("salvar-episodio", SAVE, True)


async def requests(seconds: float, turns: int) -> list[Row]:
    """CPU a request of a node of the mesh beside the bare forwarder and the present node, by turns."""
    found: dict[str, list[dict[str, Any]]] = {}
    async with Fleet(3, (1, 1), SYNC_MS) as fleet:
        near, far = fleet.sidecars
        bench = forward.Bench(fleet.block, fleet.folder, 0)
        bench.servers = [(near.ip, fleet.ports.application)]
        serial = 0

        async def one(
            name: str, address: Address, pids: list[int], write: Callable[[int, str], bytes]
        ) -> None:
            nonlocal serial
            serial += 1
            await ask_all(address, REQUESTS, WARM_S, False, f"w{serial}-", write=write)
            controllers = fleet.meter(fleet.cores)
            meter = Meter(pids)
            result = await ask_all(address, REQUESTS, seconds, False, f"m{serial}-", write=write)
            spent, result["waited"] = meter.read()
            result["cpu_us"] = [s / result["asked"] * 1e6 for s in spent]
            result["controller_us"] = [s / result["asked"] * 1e6 for s in controllers.read()[0]]
            found.setdefault(name, []).append(result)

        try:
            for _ in range(turns):
                for what in ("bare", "node"):
                    process, address = await bench.start(what)
                    title = "bare forwarder" if what == "bare" else "present node"
                    await one(f"{title}, reads", address, [process.pid], READS)
                    if what == "node":
                        await one(f"{title}, keyed", address, [process.pid], SAVES)
                    await bench.stop(process)
                by = {machine: fleet.pids([machine])[0] for machine in (near, far)}
                for kind, write in (("reads", READS), ("keyed", SAVES)):
                    door = (near.ip, fleet.ports.outbound)
                    await one(f"proxy, one machine, {kind}", door, [by[near]], write)
                    door = (far.ip, fleet.ports.outbound)
                    await one(f"proxy, two machines, {kind}", door, [by[far], by[near]], write)
        finally:
            await bench.close()
    return request_rows(found)


def request_rows(found: dict[str, list[dict[str, Any]]]) -> list[Row]:
    """The rows of all turns; the bare forwarder is what others are compared with."""
    bare = statistics.median(sum(one["cpu_us"]) for one in found["bare forwarder, reads"])
    rows = []
    for name, some in found.items():
        failed = sum(one["failed"] for one in some)
        more: Row = {}
        if failed:
            asked = sum(one["asked"] for one in some)
            why = sum((Counter(one["why"]) for one in some), Counter())
            more = {"failed": f"{failed} of {asked}", "why": " ".join(sorted(why))}
            if failed > (1.0 - GRANTED) * asked:
                more["broken"] = True
        parts = [statistics.median(one["cpu_us"][n] for one in some) for n in range(len(some[0]["cpu_us"]))]
        if len(parts) > 1:
            more["outbound_us"], more["inbound_us"] = (round(part, 1) for part in parts)
        total = [sum(one["cpu_us"]) for one in some]
        late = max(one["late_p99_ms"] for one in some)
        if late > forward.LATE_MS:
            more["asked_late_p99_ms"] = round(late, 1)
        if (waited := max(one["waited"] for one in some)) > WAITED:
            more["waited_for_a_core"] = f"{waited:.0%}"
        if name.startswith("proxy") and name.endswith("keyed"):
            more["each_controller_us"] = round(
                statistics.median(k for one in some for k in one["controller_us"]), 1
            )
        rows.append(
            row(
                "requests",
                f"{name}: CPU",
                "us a request",
                total,
                ratio=round(statistics.median(total) / bare, 2),
                **more,
            )
        )
        rows.append(row("requests", f"{name}: p50", "ms", [one["p50_ms"] or 0.0 for one in some]))
        rows.append(row("requests", f"{name}: p99", "ms", [one["p99_ms"] or 0.0 for one in some]))
    return rows


# Memory


async def memory(seconds: float, turns: int) -> list[Row]:
    """The most memory of a node and a controller, idle and after load: one fleet, over its processes."""
    async with Fleet(3, (1, 1)) as fleet:
        claimer = await fleet.claimer()
        await asyncio.sleep(SETTLE_S)
        kinds: list[tuple[str, list[Machine]]] = [("controller", fleet.cores), ("proxy", fleet.sidecars)]
        meters = [fleet.meter(some) for _, some in kinds]
        await asyncio.sleep(seconds)
        rows = []
        for (name, some), meter in zip(kinds, meters, strict=True):
            shares = [100.0 * s / seconds for s in meter.read()[0]]
            rows.append(row("memory", f"{name}, idle: CPU", "% of a core", shares))
            rows.append(row("memory", f"{name}, idle: most", "MB", fleet.peaks(some)))
        for machine in fleet.sidecars:
            door = (machine.ip, fleet.ports.outbound)
            tag = f"{machine.name}-"
            await ask_all(door, 2.0 * REQUESTS, seconds, False, f"r{tag}", write=READS)
            await ask_all(door, REQUESTS, seconds, False, f"k{tag}", write=SAVES)
        rows.append(
            row(
                "memory",
                f"proxy, after {2 * REQUESTS:g}/s reads, {REQUESTS:g}/s keyed: most",
                "MB",
                fleet.peaks(fleet.sidecars),
            )
        )
        stored = fleet.stored()
        load = await fleet.load(
            claimer, tag="memory", rate=0.0, seconds=28.0, at_once=AT_ONCE, count=KEYS, answer=0
        )
        count = load["granted"]
        more = {"broken": True} if count < KEYS else {}
        name = f"controller, after {count:,} keys"
        rows.append(row("memory", f"{name}: most", "MB", fleet.peaks(fleet.cores), **more))
        grown = [(now - was) / max(1, count) for now, was in zip(fleet.stored(), stored, strict=True)]
        rows.append(row("memory", f"{name}: kept on disk", "bytes a claim", grown))
        return rows


# What an idle mesh says


async def idle(seconds: float, turns: int) -> list[Row]:
    """Bytes that nodes and controllers exchange while nothing happens, counted by a relay between them."""
    rows = []
    for servers in (SMALL, LARGE):
        async with Fleet(3, servers, SYNC_MS, relay=True) as fleet:
            nodes = len(fleet.sidecars)
            await asyncio.sleep(SETTLE_S)
            up = []
            down = []
            kinds = set()
            for _ in range(turns):
                for relay in fleet.relays:
                    relay.up.clear()
                    relay.down.clear()
                began = time.monotonic()
                await asyncio.sleep(seconds)
                node_s = (time.monotonic() - began) * nodes
                up.append(sum(relay.up.total() for relay in fleet.relays) / node_s)
                down.append(sum(relay.down.total() for relay in fleet.relays) / node_s)
                kinds |= {kind for relay in fleet.relays for kind in (*relay.up, *relay.down)}
            fleet.check()
            said = " ".join(sorted(kinds))
            name = f"3 controllers, {nodes} nodes, idle"
            rows.append(row("bytes", f"{name}: to the controllers", "bytes a node a second", up, kinds=said))
            rows.append(row("bytes", f"{name}: from the controllers", "bytes a node a second", down))
    return rows


# News


class Watch:
    """Polls all nodes for one target, over a connection each, and notes when each node's answer turned.

    Where a success is wanted that is when it came; where the end of them is, when that request was sent, as
    a node may hold one that no server is there for.
    """

    def __init__(self, fleet: Fleet, target: str, wanted: bool) -> None:
        self._fleet = fleet
        self._target = target
        self._wanted = wanted
        self.turned: dict[str, float] = {}

    async def node(self, machine: Machine) -> None:
        address = (machine.ip, self._fleet.ports.outbound)
        number = 0
        pool = self._fleet.scene.pool(machine)
        while machine.name not in self.turned:
            number += 1
            id = f"p{machine.number}-{number}"
            asked = (
                f"GET {self._target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n"
                f"Time-Remaining: {ROUTE_MS}\r\n\r\n"
            )
            connection = await pool.connection(address)
            sent = time.monotonic()
            if not isinstance(connection, Outcome):
                try:
                    outcome = await asyncio.wait_for(connection.ask(id, asked.encode()), ROUTE_MS / 1e3 + 0.5)
                except TimeoutError:
                    connection.drop()
                    continue
                pool.put_back(address, connection)
                if outcome.how == "answer" and (outcome.status == 200) is self._wanted:
                    self.turned[machine.name] = outcome.t if self._wanted else sent
            await asyncio.sleep(POLL_S)

    async def turn(self, change: Callable[[], Awaitable[float]] | None = None) -> list[float]:
        """Poll all until each has turned; ms from the acknowledgement of `change`, made meanwhile, if any."""
        fleet = self._fleet
        acked = time.monotonic()
        polling = [fleet.spawn(self.node(machine)) for machine in fleet.sidecars]
        try:
            if change is not None:
                await asyncio.sleep(5.0 * POLL_S)
                if self.turned:
                    raise ValueError(f"{next(iter(self.turned))} knew of a change before it was made")
                acked = await change()
            await asyncio.wait(polling, timeout=KNOWN_S)
        finally:
            for task in polling:
                task.cancel()
        fleet.check()
        return [1e3 * (t - acked) for t in self.turned.values()]


async def news(seconds: float, turns: int) -> list[Row]:
    """Time from an acknowledgement to nodes knowing, real processes."""
    changes: list[list[float]] = []
    drains: list[list[float]] = []
    async with Fleet(3, NEWS, SYNC_MS) as fleet:
        lone, nodes = fleet.sidecars[-1], len(fleet.sidecars)
        extra = [("/alone/", lone.service, "idempotent")]
        await fleet.put([*fleet.routes(), *extra])
        await asyncio.sleep(SETTLE_S)
        for number in range(CHANGES):
            prefix = f"/added{number}/"
            extra.append((prefix, fleet.sidecars[0].service, "idempotent"))

            async def put() -> float:
                return await fleet.put([*fleet.routes(), *extra])

            changes.append(await Watch(fleet, prefix, True).turn(put))
        for number in range(DRAINS):
            await Watch(fleet, "/alone/", True).turn()

            async def drain() -> float:
                fleet.lives[lone.name] = (fleet.lives[lone.name][0], "draining")
                if not await fleet.say(lone):
                    raise ValueError("a drain was not acknowledged")
                return time.monotonic()

            drains.append(await Watch(fleet, "/alone/", False).turn(drain))
            fleet.lives[lone.name] = (f"i-{lone.number}-{number + 1}", "in_service")
            await fleet.say(lone)
    rows = news_rows(f"{nodes} nodes, a configuration", nodes, changes)
    rows += news_rows(f"{nodes} nodes, a drain", nodes, drains)
    return rows


def news_rows(name: str, nodes: int, found: list[list[float]]) -> list[Row]:
    """The rows of some changes, each the times at which nodes knew; broken where some never did."""
    whole = [one for one in found if len(one) == nodes]
    more: Row = {} if len(whole) == len(found) else {"broken": True, "unknown_at": len(found) - len(whole)}
    return [
        row("news", f"{name}: p50 of the nodes", "ms", [quantile(one, 0.5) for one in whole], **more),
        row("news", f"{name}: p99 of all", "ms", [quantile([t for one in whole for t in one], 0.99)]),
        row("news", f"{name}: the last node", "ms", [max(one) for one in whole]),
    ]


def virtual(sizes: list[int]) -> list[Row]:
    """What the model of news in large meshes says, where that is built."""
    if importlib.util.find_spec(MODEL) is None:
        print(f"  no {MODEL}: nothing of larger meshes")
        return []
    from loguru import logger

    measure = importlib.import_module(MODEL).measure
    rows = []
    logger.disable("orchidferry.mesh")
    try:
        for nodes in sizes:
            one = measure(nodes, ZONES, SEED, changes=VIRTUAL_CHANGES)
            name = f"{nodes:,} nodes, virtual time"
            more: Row = {"broken": True, "missed": one.missed} if one.missed else {}
            rows.append(row("news", f"{name}: p50 of the last node", "ms", [one.p50_ms], **more))
            rows.append(
                row(
                    "news",
                    f"{name}: p99 of the last node",
                    "ms",
                    [one.p99_ms],
                    controller_bytes=one.controller_bytes,
                )
            )
    finally:
        logger.enable("orchidferry.mesh")
    return rows


# The command


MEASURES: dict[str, Callable[[float, int], Coroutine[Any, Any, list[Row]]]] = {
    "claims": claims,
    "requests": requests,
    "memory": memory,
    "bytes": idle,
    "news": news,
}


def plot(rows: list[Row], path: str) -> None:
    """A panel a unit: medians as bars, the least and the most as lines across their ends.

    A panel whose medians lie far apart has a scale by powers of ten, straight below its least.
    """
    from matplotlib.figure import Figure

    units = list(dict.fromkeys(row["unit"] for row in rows))
    tall = [sum(row["unit"] == unit for row in rows) for unit in units]
    drawing = Figure(figsize=(10, 1.2 * len(units) + 0.22 * len(rows)), layout="constrained")
    panels = drawing.subplots(len(units), 1, squeeze=False, height_ratios=[n + 2 for n in tall])
    colours = {what: f"C{n}" for n, what in enumerate(MEASURES)}
    for (axis,), unit in zip(panels, units, strict=True):
        some = [row for row in rows if row["unit"] == unit]
        at = range(len(some))
        middle = [row["median"] for row in some]
        spread = [
            [m - row["min"] for m, row in zip(middle, some, strict=True)],
            [row["max"] - m for m, row in zip(middle, some, strict=True)],
        ]
        axis.barh(at, middle, xerr=spread, color=[colours[row["what"]] for row in some], alpha=0.7)
        axis.set_yticks(at, [row["name"] for row in some], fontsize=7)
        axis.invert_yaxis()
        least = min((value for value in middle if value > 0.0), default=1.0)
        if max(middle) > WIDE * least:
            axis.set_xscale("symlog", linthresh=least)
        axis.set_xlabel(unit, fontsize=8)
        axis.grid(alpha=0.25, axis="x")
    drawing.savefig(path, dpi=110)


def chosen(only: str | None) -> list[str]:
    """The measurements that are asked for; `ValueError` names one that is unknown."""
    names = list(MEASURES) if only is None else only.split(",")
    for name in names:
        if name not in MEASURES:
            raise ValueError(f"--only {name}: not one of {', '.join(MEASURES)}")
    return names


def main(args: argparse.Namespace) -> list[Row]:
    """The command; its figures. A row is broken if claims or requests failed or news did not arrive."""
    names = chosen(args.only)
    nodes = [int(text) for text in args.nodes.split(",")]
    if not all(3 <= n <= 10_000 for n in nodes):
        raise ValueError("--nodes must be 3 to 10000, with commas between")
    if not 0.5 <= args.seconds <= 20.0 or not 1 <= args.turns <= 10:
        raise ValueError("--seconds must be within 0.5 to 20, --turns 1 to 10")
    if args.plot and not Path(args.plot).resolve().parent.is_dir():
        raise ValueError(f"--plot {args.plot}: no such folder")
    if lacking := missing():
        raise ValueError(f"the library {lacking} is missing: pip install 'orchidferry[mesh]'")
    rows: list[Row] = []
    for name in names:
        print(f"{name}:", flush=True)
        began = time.monotonic()
        rows += uvloop.run(until_stopped(MEASURES[name](args.seconds, args.turns)))
        if name == "news":
            rows += virtual(nodes)
        print(f"  in {time.monotonic() - began:.0f} s", flush=True)
    if args.plot:
        plot(rows, args.plot)
    return rows
