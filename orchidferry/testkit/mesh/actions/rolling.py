"""Planned restarts and reloads of processes, while servers and clients keep running."""

from __future__ import annotations

import asyncio

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.actions.targets import Action, running_proxy
from orchidferry.testkit.mesh.day import ScheduledAction
from orchidferry.testkit.mesh.environment import Environment

RELOAD_SHARE = 0.5
"""The fraction of processes that reload their settings in one action."""

RELOAD_GAP_S = 0.05
"""The pause between the reloads of two processes."""


async def _restart(env: Environment, scheduled: ScheduledAction) -> str:
    """Terminate a proxy, and start it again once it has ended; does nothing if it is being restarted already.

    :returns: the name of the machine; empty if nothing was done
    """
    node = running_proxy(env, scheduled)
    if node is None:
        return ""
    await node.stop()
    await node.start()
    return node.machine.name


async def _reload(env: Environment, scheduled: ScheduledAction) -> str:
    """Rewrite the settings files of some processes, and have each reload it (SIGHUP)."""
    reloaded = []
    for name, node in list(env.nodes.items()):
        if seeded_random.uniform(env.seed, "reload", name, f"{scheduled.at:.4f}") < RELOAD_SHARE:
            node.reload()
            reloaded.append(name)
            await asyncio.sleep(RELOAD_GAP_S)
    return " ".join(reloaded)


async def _stop_changes(env: Environment, scheduled: ScheduledAction) -> str:
    """Stop the stream of changes."""
    await env.changes.stop()
    return ""


ROLLING_ACTIONS: dict[str, Action] = {
    "restart": _restart,
    "reload": _reload,
    "stop-changes": _stop_changes,
}
