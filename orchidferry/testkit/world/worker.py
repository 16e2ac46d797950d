"""Worker process of stand-in servers; the servers of one cell run in one process, as they share seen keys."""

from __future__ import annotations

import sys

from orchidferry.testkit.exchange import RequestSender
from orchidferry.testkit.process import Order, SendReport, WorkerScript, run_worker
from orchidferry.testkit.record import Recorder
from orchidferry.testkit.scenario import Class, Scenario
from orchidferry.testkit.wire import Address
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.machine import SeenKeys
from orchidferry.testkit.world.plan import SERVER_FAULTS, Server
from orchidferry.testkit.world.standin import StandIn, WorkerContext


def worker_index(scenario: Scenario, server: Server) -> int:
    """Return the index of the worker that runs a server; servers that share seen keys run in the same one."""
    shared_beyond_cell = any(cls.repeat == "keyed" and cls.group != "cell" for cls in scenario.classes)
    return (server.tier if shared_beyond_cell else server.tier * 7 + server.cell) % scenario.workers


def sidecar_of(scenario: Scenario, block: Block, server: Server) -> tuple[str, Address] | None:
    """Return name and address of the sidecar node that forwards a server's calls; None in the last tier."""
    if server.tier == len(scenario.tiers) - 1:
        return None
    return f"{server.name}/node", block.sidecar_node(server.number)


class StandInWorker:
    """The stand-in servers of one process."""

    def __init__(
        self, script: WorkerScript, block: Block, recorder: Recorder, send_report: SendReport, index: int
    ) -> None:
        self._script = script
        self._block = block
        self._send_report = send_report
        scenario = script.plan.scenario
        self._sender = RequestSender(scenario, recorder, script.files, script.proof_key)
        self._context = WorkerContext(scenario, recorder, self._sender, script.files, script.proof_key)
        self._servers = {
            server.name: server for server in script.plan.servers if worker_index(scenario, server) == index
        }
        self._running: dict[str, StandIn] = {}
        self._keys: dict[tuple[int, str, int], SeenKeys] = {}

    def _keys_of(self, server: Server, cls: Class) -> SeenKeys:
        scope = (server.tier, cls.group, server.cell if cls.group == "cell" else 0)
        return self._keys.setdefault(scope, SeenKeys())

    async def handle_order(self, order: Order) -> None:
        """Carry out an order of the director: start or stop a server, or begin or end a fault of a server."""
        server = self._servers[order["whom"]]
        if order["do"] == "up":
            await self._start(server, bool(order["cold"]))
            return
        running = self._running.get(server.name)
        if running is None:
            return  # the server has collapsed, or has not started yet
        if order["do"] in SERVER_FAULTS:
            running.set_fault(order["do"], float(order["value"]), int(order["entry"]))
        elif order["do"] == "down":
            running.stop(order["why"])
            del self._running[server.name]

    async def _start(self, server: Server, cold: bool) -> None:
        scenario = self._script.plan.scenario
        standin = StandIn(
            server,
            self._context,
            lambda cls: self._keys_of(server, cls),
            sidecar_of(scenario, self._block, server),
            self._on_collapse,
        )
        await standin.start(self._block.server(server.number), cold)
        self._running[server.name] = standin
        self._send_report({"did": "up", "whom": server.name})

    def _on_collapse(self, name: str) -> None:
        del self._running[name]
        self._send_report({"did": "fell", "whom": name})

    def on_second(self) -> None:
        """Close idle connections."""
        self._sender.sweep()

    async def close(self) -> None:
        """Stop all servers and close all connections."""
        for standin in list(self._running.values()):
            standin.stop("end")
        await self._sender.close()


if __name__ == "__main__":
    sys.exit(run_worker(StandInWorker))
