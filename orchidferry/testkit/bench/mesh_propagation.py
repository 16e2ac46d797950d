"""`bench mesh`, news: the time from the acknowledgement of a change until all nodes act on it."""

from __future__ import annotations

import asyncio
import importlib
import importlib.util
import time
from collections.abc import Awaitable, Callable

from orchidferry.testkit.bench.mesh_claims import SYNC_MS
from orchidferry.testkit.bench.mesh_fleet import HOST, Fleet
from orchidferry.testkit.bench.mesh_resources import SETTLE_S
from orchidferry.testkit.bench.mesh_rows import Row, figure_row, quantile
from orchidferry.testkit.mesh.day import Machine
from orchidferry.testkit.wire import Outcome

SERVERS = (11, 1)  # of the two services, each beside a node; the single server of the second one is drained
CONFIGURATIONS = 8  # configuration changes that are measured
DRAINS = 4  # drains that are measured
POLL_S = 0.006  # interval between two requests to a node
PROPAGATION_TIMEOUT_S = 5.0
REQUEST_TIMEOUT_MS = 1_000
REQUEST_GRACE_S = 0.5
DRAINED_PREFIX = "/alone/"  # route to the service with a single server
# The model in virtual time.
MODEL = "orchidferry.testkit.bench.mesh_news"
ZONES = 3
SEED = 1
VIRTUAL_CHANGES = 20  # changes of each kind

Change = Callable[[], Awaitable[float]]  # makes a change, and returns the time of its acknowledgement


class TargetPoller:
    """Polls all nodes with requests for one target, over a connection to each, until their responses change.

    If a success is awaited, a node has changed when the first successful response arrives. If a failure is
    awaited, it has changed when the first failing request is sent, as a node may hold a request while there
    is no server for it.
    """

    def __init__(self, fleet: Fleet, target: str, wanted: bool) -> None:
        """Make a poller.

        :param target: the request target.
        :param wanted: whether a successful response is awaited; otherwise a failure.
        """
        self._fleet = fleet
        self._target = target
        self._wanted = wanted
        self._changed_s: dict[str, float] = {}  # time of each node's change, by machine

    async def poll_until_changed(self, change: Change | None = None) -> list[float]:
        """Poll until all nodes have changed or the time-out has passed.

        :param change: makes the change after the polling has started; None if there is nothing to make.
        :returns: for each node that has changed, the time in ms since the acknowledgement of the change, or
            since this call if there is no change to make.
        :raises ValueError: if a node changed before the change was made.
        """
        fleet = self._fleet
        acknowledged_s = time.monotonic()
        polls = [fleet.spawn(self._poll(machine)) for machine in fleet.sidecars]
        try:
            if change is not None:
                await asyncio.sleep(5.0 * POLL_S)
                if self._changed_s:
                    raise ValueError(f"{next(iter(self._changed_s))} acted on a change before it was made")
                acknowledged_s = await change()
            await asyncio.wait(polls, timeout=PROPAGATION_TIMEOUT_S)
        finally:
            for poll in polls:
                poll.cancel()
        fleet.check()
        return [1e3 * (changed_s - acknowledged_s) for changed_s in self._changed_s.values()]

    async def _poll(self, machine: Machine) -> None:
        number = 0
        while machine.name not in self._changed_s:
            number += 1
            if await self._send_request(machine, f"p{machine.number}-{number}"):
                await asyncio.sleep(POLL_S)

    async def _send_request(self, machine: Machine, id: str) -> bool:
        """Send one request, and record the time of a changed response.

        :returns: False if there was no response in time.
        """
        pool = self._fleet.run_context.pool(machine)
        address = (machine.ip, self._fleet.ports.outbound)
        request = (
            f"GET {self._target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\n"
            f"Time-Remaining: {REQUEST_TIMEOUT_MS}\r\n\r\n"
        )
        connection = await pool.connection(address)
        sent_s = time.monotonic()
        if isinstance(connection, Outcome):
            return True
        try:
            timeout_s = REQUEST_TIMEOUT_MS / 1e3 + REQUEST_GRACE_S
            outcome = await asyncio.wait_for(connection.ask(id, request.encode()), timeout_s)
        except TimeoutError:
            connection.drop()
            return False
        pool.put_back(address, connection)
        if outcome.how == "answer" and (outcome.status == 200) is self._wanted:
            self._changed_s[machine.name] = outcome.t if self._wanted else sent_s
        return True


async def measure_propagation(seconds: float, turns: int) -> list[Row]:
    """Measure the time from the acknowledgement of a change until nodes act on it, with real processes.

    :param seconds: not used.
    :param turns: not used.
    """
    async with Fleet(3, SERVERS, SYNC_MS) as fleet:
        nodes = len(fleet.sidecars)
        routes = [*fleet.routes(), (DRAINED_PREFIX, fleet.sidecars[-1].service, "idempotent")]
        await fleet.put(routes)
        await asyncio.sleep(SETTLE_S)
        configurations = [await _add_route(fleet, routes, number) for number in range(CONFIGURATIONS)]
        drains = [await _drain(fleet, number) for number in range(DRAINS)]
    rows = propagation_rows(f"{nodes} nodes, a configuration", nodes, configurations)
    rows += propagation_rows(f"{nodes} nodes, a drain", nodes, drains)
    return rows


async def _add_route(fleet: Fleet, routes: list[tuple[str, str, str]], number: int) -> list[float]:
    prefix = f"/added{number}/"
    routes.append((prefix, fleet.sidecars[0].service, "idempotent"))
    return await TargetPoller(fleet, prefix, True).poll_until_changed(lambda: fleet.put(routes))


async def _drain(fleet: Fleet, number: int) -> list[float]:
    """Drain the single server of the second service, then replace it by a new one."""
    machine = fleet.sidecars[-1]
    await TargetPoller(fleet, DRAINED_PREFIX, True).poll_until_changed()

    async def drain() -> float:
        id, _ = fleet.servers[machine.name]
        fleet.servers[machine.name] = (id, "draining")
        if not await fleet.send_heartbeat(machine):
            raise ValueError("a drain was not acknowledged")
        return time.monotonic()

    took_ms = await TargetPoller(fleet, DRAINED_PREFIX, False).poll_until_changed(drain)
    fleet.servers[machine.name] = (f"i-{machine.number}-{number + 1}", "in_service")
    await fleet.send_heartbeat(machine)
    return took_ms


def propagation_rows(name: str, nodes: int, changes: list[list[float]]) -> list[Row]:
    """Make the rows of some changes.

    :param changes: for each change, the times of the nodes that acted on it; if there are fewer than `nodes`,
        the first row is broken.
    """
    complete = [times_ms for times_ms in changes if len(times_ms) == nodes]
    missed = len(changes) - len(complete)
    details: Row = {"broken": True, "unknown_at": missed} if missed else {}
    medians = [quantile(times_ms, 0.5) for times_ms in complete]
    p99 = [quantile([time_ms for times_ms in complete for time_ms in times_ms], 0.99)] if complete else []
    return [
        figure_row("news", f"{name}: p50 of the nodes", "ms", medians, **details),
        figure_row("news", f"{name}: p99 of all", "ms", p99),
        figure_row("news", f"{name}: the last node", "ms", [max(times_ms) for times_ms in complete]),
    ]


def measure_virtual(sizes: list[int]) -> list[Row]:
    """Measure the propagation in large meshes with the model in virtual time, if its module is installed.

    :param sizes: numbers of nodes.
    """
    if importlib.util.find_spec(MODEL) is None:
        print(f"  module {MODEL} is not installed: large meshes are skipped")
        return []
    from loguru import logger

    measure = importlib.import_module(MODEL).measure
    rows = []
    logger.disable("orchidferry.mesh")
    try:
        for nodes in sizes:
            result = measure(nodes, ZONES, SEED, changes=VIRTUAL_CHANGES)
            name = f"{nodes:,} nodes, virtual time"
            details: Row = {"broken": True, "missed": result.missed} if result.missed else {}
            rows.append(figure_row("news", f"{name}: p50 of the last node", "ms", [result.p50_ms], **details))
            p99_name = f"{name}: p99 of the last node"
            sent = result.controller_bytes
            rows.append(figure_row("news", p99_name, "ms", [result.p99_ms], controller_bytes=sent))
    finally:
        logger.enable("orchidferry.mesh")
    return rows
