"""Planned work on processes, with their servers and callers left as they are: restarts and reloads."""

from __future__ import annotations

import asyncio

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.actions.targets import Action, choose, live_sidecars
from orchidferry.testkit.mesh.day import ScheduledAction
from orchidferry.testkit.mesh.environment import Environment

RELOAD_SHARE = 0.5
"""Of all processes, those that are told to reload their settings."""

RELOAD_GAP_S = 0.05
"""From one process to the next."""


async def _restart(env: Environment, scheduled: ScheduledAction) -> str:
    """A proxy is terminated, and started again once it has ended; not while it is restarted already."""
    machines = live_sidecars(env)
    node = env.nodes[machines[choose(env, scheduled, len(machines))].name]
    if node.stopping or node.pid is None:
        return ""
    await node.stop()
    await node.start()
    return node.machine.name


async def _reload(env: Environment, scheduled: ScheduledAction) -> str:
    """Processes get SIGHUP, one after another; their settings files are written anew."""
    reloaded = []
    for name, node in list(env.nodes.items()):
        if seeded_random.uniform(env.seed, "reload", name, f"{scheduled.at:.4f}") < RELOAD_SHARE:
            node.reload()
            reloaded.append(name)
            await asyncio.sleep(RELOAD_GAP_S)
    return " ".join(reloaded)


async def _stop_changes(env: Environment, scheduled: ScheduledAction) -> str:
    """Operators send no more changes."""
    await env.changes.stop()
    return ""


ROLLING_ACTIONS: dict[str, Action] = {
    "restart": _restart,
    "reload": _reload,
    "stop-changes": _stop_changes,
}
