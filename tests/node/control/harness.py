"""A stand-in control service, and agents whose callbacks only record what they are called with."""

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
    """Return an endpoint in the format of discovery."""
    return {"name": f"s{number}", "address": f"127.0.0.1:{9000 + number}", "zone": "z1"} | changes


def members(*numbers: int, **changes: Any) -> tuple[Part, str, Any]:
    """Return a change of the pool to these endpoints, for `Service.push`."""
    return Part.MEMBERS, POOL, pool_message(POOL, [endpoint(n, **changes) for n in numbers])


def node(pool: str = POOL, **changes: Any) -> tuple[Part, str, Any]:
    """Return a change of the node's settings, for `Service.push`."""
    return Part.SETTINGS, "entrada", node_message("entrada", pool, peers.settings(**changes))


def file_configuration() -> Configuration:
    """Return the configuration of the node's own file, which has no pool."""
    return Configuration(Pools({}), NodeSettings(POOL, read_settings(peers.settings())))


class RecordingAgent(Agent):
    """An agent whose callbacks record what they are called with, and can be made to fail."""

    def __init__(self, service: Service, name: str, state: Path | None, **options: Any) -> None:
        self.applied: list[Configuration] = []
        self.drained: list[int] = []
        self.problem = ""  # the failure that applying a configuration reports; empty: it succeeds
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
        calls = NodeCallbacks(self._record, self.drained.extend)
        super().__init__(control, file_configuration(), calls, random.Random(1), store)

    def _record(self, configuration: Configuration, changed: frozenset[Part]) -> str:
        if not self.problem:
            self.applied.append(configuration)
        return self.problem

    def applied_version(self, part: Part = Part.MEMBERS) -> str:
        return self.versions.applied.versions[part] if self.versions.applied is not None else ""

    def servers(self) -> list[Member]:
        return list(self.applied[-1].members())


@contextlib.asynccontextmanager
async def service_and_agents(
    *agent_options: dict[str, Any], credentials: Any = None
) -> AsyncIterator[tuple[Service, list[RecordingAgent]]]:
    """Run a service with a first version `v0`, and agents that have applied it.

    :param agent_options: the options of each `RecordingAgent`.
    """
    service = Service()
    service.push("v0", members(1, 2), node())
    await service.start(credentials)
    agents = [
        RecordingAgent(service, f"n{n}", options.pop("state", None), **options)
        for n, options in enumerate(agent_options)
    ]
    try:
        for agent in agents:
            agent.start()
        await until(
            lambda: all(a.applied_version() == "v0" == a.applied_version(Part.SETTINGS) for a in agents)
        )
        await until(lambda: len(service.answers) == 2 * len(agents))  # all ACKs have arrived
        yield service, agents
    finally:
        for agent in agents:
            await agent.close()
        await service.stop()


def reasons(service: Service, label: str) -> list[str]:
    """Return the reason in each node's answer to a version; empty for an ACK."""
    return [answer.reason for answer in service.answers if answer.label == label]
