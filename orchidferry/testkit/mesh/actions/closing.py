"""Faults at the end of a scenario: controllers are lost right after they acknowledged a configuration."""

from __future__ import annotations

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.actions.processes import kill_and_restart
from orchidferry.testkit.mesh.actions.targets import Action, controllers_to_lose, live_sidecars, random_index
from orchidferry.testkit.mesh.configuration import build_configuration
from orchidferry.testkit.mesh.day import ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.revisions import LAST_REVISION

WIPED_ALONE_SHARE = 0.5
"""The chance that the other controllers keep running during a wipe; otherwise all are killed at once."""

READ_LIMIT_S = 5.0
"""How long reading the newest revision is tried."""

CHANGE_LIMIT_S = 8.0
"""How long a change is retried until it gets a definite answer."""

NOT_ACKNOWLEDGED = " (nothing was acknowledged)"


async def last_change_acknowledged(env: Environment) -> bool:
    """Send a last configuration, based on the newest one and with the routes of the first.

    :returns: whether it was acknowledged
    """
    await env.changes.stop()
    base = await env.operator.newest_revision(READ_LIMIT_S)
    if base is None:
        return False
    revision = max(LAST_REVISION, env.changes.next_revision())
    config = build_configuration(env.day, env.seed, revision, False)
    put = await env.operator.put(config, base, True, CHANGE_LIMIT_S)
    return put.acked is not None


async def _kill_all(env: Environment, scheduled: ScheduledAction) -> str:
    """Kill and restart the processes of all machines or, under some seeds, of the controllers alone."""
    acknowledged = await last_change_acknowledged(env)
    controllers_only = random_index(env, scheduled, 3) == 0
    machines = env.cores if controllers_only else [*env.cores, *live_sidecars(env)]
    nodes = [env.nodes[machine.name] for machine in machines]
    done = await kill_and_restart(nodes, scheduled.for_s)
    return done if acknowledged else done + NOT_ACKNOWLEDGED


async def _wipe_controllers(env: Environment, scheduled: ScheduledAction) -> str:
    """Wipe the disks of some controllers; under some seeds the others are killed too."""
    acknowledged = await last_change_acknowledged(env)
    wiped = controllers_to_lose(env, scheduled)
    alone = seeded_random.uniform(env.seed, "alone") < WIPED_ALONE_SHARE
    nodes = wiped if alone else [env.nodes[machine.name] for machine in env.cores]
    done = await kill_and_restart(nodes, scheduled.for_s, wiped)
    return done if acknowledged else done + NOT_ACKNOWLEDGED


CLOSING_ACTIONS: dict[str, Action] = {
    "after-ack-kill": _kill_all,
    "after-ack-wipe": _wipe_controllers,
}
