"""A process that stand-in servers share. Servers of one cell stand together, as they share their keys."""

from __future__ import annotations

import sys

from orchidferry.testkit.exchange import RequestSender
from orchidferry.testkit.process import Order, SendReport, WorkerScript, run_worker
from orchidferry.testkit.record import Recorder
from orchidferry.testkit.scenario import Class, Scenario
from orchidferry.testkit.wire import Address
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.machine import Keys
from orchidferry.testkit.world.plan import TROUBLES, Server
from orchidferry.testkit.world.standin import StandIn


def home(scenario: Scenario, server: Server) -> int:
    """The worker that a server stands in: those that drop each other's repeats stand in one."""
    wide = any(cls.repeat == "keyed" and cls.group != "cell" for cls in scenario.classes)
    return (server.tier if wide else server.tier * 7 + server.cell) % scenario.workers


def own_node(scenario: Scenario, block: Block, server: Server) -> tuple[str, Address] | None:
    """The node beside a server, for its calls; none in the last tier."""
    if server.tier == len(scenario.tiers) - 1:
        return None
    return f"{server.name}/node", block.own_node(server.number)


class World:
    """The stand-ins of one process."""

    def __init__(
        self, script: WorkerScript, block: Block, recorder: Recorder, say: SendReport, index: int
    ) -> None:
        self._script = script
        self._block = block
        self._recorder = recorder
        self._say = say
        scenario = script.plan.scenario
        self._exchanges = RequestSender(scenario, recorder, script.files, script.proof_key)
        self._servers = {s.name: s for s in script.plan.servers if home(scenario, s) == index}
        self._running: dict[str, StandIn] = {}
        self._keys: dict[tuple[int, str, int], Keys] = {}

    def _scope(self, server: Server, cls: Class) -> Keys:
        place = (server.tier, cls.group, server.cell if cls.group == "cell" else 0)
        return self._keys.setdefault(place, Keys())

    async def handle_order(self, order: Order) -> None:
        server = self._servers[order["whom"]]
        if order["do"] == "up":
            await self._up(server, bool(order["cold"]))
            return
        running = self._running.get(server.name)
        if running is None:
            return  # it has fallen, or not come up yet
        if order["do"] in TROUBLES:
            running.trouble(order["do"], float(order["value"]), int(order["entry"]))
        elif order["do"] == "down":
            running.down(order["why"])
            del self._running[server.name]

    async def _up(self, server: Server, cold: bool) -> None:
        scenario = self._script.plan.scenario
        standin = StandIn(
            server,
            scenario,
            self._recorder,
            self._exchanges,
            lambda cls: self._scope(server, cls),
            own_node(scenario, self._block, server),
            self._fell,
            self._script.files,
            self._script.proof_key,
        )
        await standin.up(self._block.server(server.number), cold)
        self._running[server.name] = standin
        self._say({"did": "up", "whom": server.name})

    def _fell(self, name: str) -> None:
        del self._running[name]
        self._say({"did": "fell", "whom": name})

    def on_second(self) -> None:
        self._exchanges.sweep()

    async def close(self) -> None:
        for standin in list(self._running.values()):
            standin.down("end")
        await self._exchanges.close()


if __name__ == "__main__":
    sys.exit(run_worker(World))
