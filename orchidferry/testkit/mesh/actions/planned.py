"""Planned operations: a server is drained, configurations change."""

from __future__ import annotations

import asyncio

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.actions.targets import Action
from orchidferry.testkit.mesh.configuration import build_configuration, make_invalid
from orchidferry.testkit.mesh.day import ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.revisions import (
    FIRST_REVISION,
    INVALID_REVISION,
    LOSING_REVISION,
    SECOND_REVISION,
)
from orchidferry.testkit.mesh.servers import Server

CHANGE_LIMIT_S = 8.0
"""How long a change is retried until it gets a definite answer."""

REFUSAL_LIMIT_S = 3.0
"""How long a change that must be rejected is retried until it gets a definite answer."""

APPLY_MARGIN_S = 0.2
"""The time beyond `config_apply_ms` until the nodes are probed for the configuration in force."""


def _server_to_drain(env: Environment, scheduled: ScheduledAction) -> Server:
    """The server that the schedule names, or one of the largest service, chosen by the seed."""
    if scheduled.target:
        return env.servers[scheduled.target]
    servers = [s for s in env.servers.values() if s.machine.service == env.sidecars[0].service]
    return servers[int(seeded_random.uniform(env.seed, "drain", high=len(servers)))]


async def _drain(env: Environment, scheduled: ScheduledAction) -> str:
    """Drain and deregister a server, then terminate the proxy of its machine."""
    server = _server_to_drain(env, scheduled)
    await server.leave()
    node = env.nodes[server.machine.name]
    await node.stop()
    env.platform.removed.add(server.machine.name)
    return server.machine.name


async def _change(env: Environment, scheduled: ScheduledAction) -> str:
    """Change the configuration, then have another operator send a change based on the superseded version."""
    apply_s = env.day.bounds.config_apply_ms / 1000.0
    second = build_configuration(env.day, env.seed, SECOND_REVISION, True)
    put = await env.operator.put(second, FIRST_REVISION, True, CHANGE_LIMIT_S)
    await env.clients.probe_routes()
    if put.acked is not None:
        losing = build_configuration(env.day, env.seed, LOSING_REVISION, False)
        await env.other_operator.put(losing, FIRST_REVISION, True, REFUSAL_LIMIT_S)
    await asyncio.sleep(apply_s + APPLY_MARGIN_S)
    await env.clients.probe_routes()
    return f"{FIRST_REVISION} to {SECOND_REVISION}"


async def _invalid_change(env: Environment, scheduled: ScheduledAction) -> str:
    """Send an invalid configuration."""
    invalid = make_invalid(build_configuration(env.day, env.seed, INVALID_REVISION, True), INVALID_REVISION)
    await env.other_operator.put(invalid, SECOND_REVISION, False, REFUSAL_LIMIT_S)
    return str(INVALID_REVISION)


PLANNED_ACTIONS: dict[str, Action] = {
    "drain": _drain,
    "change": _change,
    "bad-change": _invalid_change,
}
