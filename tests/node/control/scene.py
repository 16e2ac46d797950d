"""A control service, and agents whose node only notes what it is told."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncIterator, Coroutine
from pathlib import Path
from typing import Any

from orchidferry.balancing.configuration import Configuration, Member, NodeSettings, Part, Pools
from orchidferry.balancing.settings import read_settings
from orchidferry.node.control.agent import Agent, NodeCallbacks
from orchidferry.node.control.messages import node_message, pool_message
from orchidferry.node.control.settings import Control
from orchidferry.node.control.store import Store
from orchidferry.testkit.control.service import Service
from tests.node import peers
from tests.node.peers import LIMIT_S, until

POOL = "catalogo"


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on the standard event loop: gRPC's poller on uvloop has aborted the process."""

    async def limited() -> None:
        await asyncio.wait_for(test, 2 * LIMIT_S)

    asyncio.run(limited())


def endpoint(number: int, **changes: Any) -> dict[str, Any]:
    return {"name": f"s{number}", "address": f"127.0.0.1:{9000 + number}", "zone": "z1"} | changes


def members(*numbers: int, **changes: Any) -> tuple[Part, str, Any]:
    """A change of the pool."""
    return Part.MEMBERS, POOL, pool_message(POOL, [endpoint(n, **changes) for n in numbers])


def node(pool: str = POOL, **changes: Any) -> tuple[Part, str, Any]:
    """A change of the node's settings."""
    return Part.SETTINGS, "entrada", node_message("entrada", pool, peers.settings(**changes))


def file() -> Configuration:
    """What the node's own file says: no pool yet."""
    return Configuration(Pools({}), NodeSettings(POOL, read_settings(peers.settings())))


class Told(Agent):
    """An agent whose node notes what it is told, and can be made to fail."""

    def __init__(self, service: Service, name: str, state: Path | None, **options: Any) -> None:
        self.applied: list[Configuration] = []
        self.drained: list[int] = []
        self.problem = ""
        control = Control(
            service.address,
            name,
            "c",
            (POOL, "other"),
            "entrada",
            state,
            options.pop("first_wait_s", 30.0),
            **options,
        )
        store = Store(state) if state is not None else None
        calls = NodeCallbacks(self._note, self.drained.extend)
        super().__init__(control, file(), calls, random.Random(1), store)

    def _note(self, whole: Configuration, changed: frozenset[Part]) -> str:
        if not self.problem:
            self.applied.append(whole)
        return self.problem

    def held(self, part: Part = Part.MEMBERS) -> str:
        return self.versions.applied.versions[part] if self.versions.applied is not None else ""

    def servers(self) -> list[Member]:
        return list(self.applied[-1].members())


@contextlib.asynccontextmanager
async def scene(
    *agents: dict[str, Any], credentials: Any = None
) -> AsyncIterator[tuple[Service, list[Told]]]:
    """A service that holds a first version, and agents that have it."""
    service = Service()
    service.push("v0", members(1, 2), node())
    await service.start(credentials)
    made = [Told(service, f"n{n}", options.pop("state", None), **options) for n, options in enumerate(agents)]
    try:
        for agent in made:
            agent.start()
        await until(lambda: all(a.held() == "v0" == a.held(Part.SETTINGS) for a in made))
        await until(lambda: len(service.answers) == 2 * len(made))  # and the service knows
        yield service, made
    finally:
        for agent in made:
            await agent.close()
        await service.stop()


def reasons(service: Service, label: str) -> list[str]:
    """What nodes said of a version; '' for an ACK."""
    return [answer.reason for answer in service.answers if answer.label == label]
