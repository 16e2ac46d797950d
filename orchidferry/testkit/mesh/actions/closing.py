"""Faults that close a day: a loss right after a configuration was acknowledged."""

from __future__ import annotations

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.actions.processes import kill_and_restart
from orchidferry.testkit.mesh.actions.targets import Action, choose, controllers_to_lose, live_sidecars
from orchidferry.testkit.mesh.configuration import build_configuration
from orchidferry.testkit.mesh.day import ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.revisions import LAST_REVISION

WIPED_ALONE_SHARE = 0.5
"""Of closing wipes, those in which the other controllers go on; else all are killed at once."""

READ_LIMIT_S = 5.0
CHANGE_LIMIT_S = 8.0
NOT_ACKNOWLEDGED = " (nothing was acknowledged)"


async def _last_change_acknowledged(env: Environment) -> bool:
    """Send a configuration on top of the newest, with the first one's routes; whether it was acknowledged."""
    await env.changes.stop()
    base = await env.operator.newest_revision(READ_LIMIT_S)
    if base is None:
        return False
    revision = max(LAST_REVISION, env.changes.next_revision())
    config = build_configuration(env.day, env.seed, revision, False)
    put = await env.operator.put(config, base, True, CHANGE_LIMIT_S)
    return put.acked is not None


async def _kill_all(env: Environment, scheduled: ScheduledAction) -> str:
    """Every process of all machines is killed; by the seed those of the controllers alone."""
    acknowledged = await _last_change_acknowledged(env)
    controllers_only = choose(env, scheduled, 3) == 0
    machines = env.cores if controllers_only else [*env.cores, *live_sidecars(env)]
    nodes = [env.nodes[machine.name] for machine in machines]
    done = await kill_and_restart(nodes, scheduled.for_s)
    return done if acknowledged else done + NOT_ACKNOWLEDGED


async def _wipe_controllers(env: Environment, scheduled: ScheduledAction) -> str:
    """Controllers lose their disks; by the seed all others are killed too."""
    acknowledged = await _last_change_acknowledged(env)
    wiped = controllers_to_lose(env, scheduled)
    alone = seeded_random.uniform(env.seed, "alone") < WIPED_ALONE_SHARE
    nodes = wiped if alone else [env.nodes[machine.name] for machine in env.cores]
    done = await kill_and_restart(nodes, scheduled.for_s, wiped)
    return done if acknowledged else done + NOT_ACKNOWLEDGED


CLOSING_ACTIONS: dict[str, Action] = {
    "after-ack-kill": _kill_all,
    "after-ack-wipe": _wipe_controllers,
}
