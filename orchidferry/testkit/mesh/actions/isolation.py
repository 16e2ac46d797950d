"""Actions of the `worst-days` scenarios.

A continuous stream of configuration changes, hundreds of changes in quick succession, the isolation of
controllers during such changes, and connections that are reset during non-idempotent calls.
"""

from __future__ import annotations

import asyncio
from enum import Enum

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.actions.links import (
    LinkSelection,
    both_ways,
    impose_fault,
    reversed_directions,
)
from orchidferry.testkit.mesh.actions.targets import Action, live_sidecars, random_index
from orchidferry.testkit.mesh.day import Machine, ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.relay import Direction, LinkCondition

ROLLING_RESTART_SHARE = 0.5
"""The chance that all proxies are restarted in turn during an isolation; else a few restart at random."""

ROLLING_PAUSE_S = 0.5
"""The time from the start of one proxy to the termination of the next."""

RESTARTS = 3
"""How many proxies are restarted during an isolation without a rolling restart."""

SIGTERM_SHARE = 0.5
"""The fraction of these restarts that begin with SIGTERM rather than SIGKILL."""

CHANGES_IN_A_ROW = 300
FIRST_BROKEN_CHUNK = 2
LAST_BROKEN_CHUNK = 4
"""Bounds of the number of the chunk at which connections between proxies are reset; see `LinkCondition`."""


class IsolationDirection(Enum):
    """The directions in which a controller is isolated, with the texts that records have."""

    BOTH = "both ways"
    INWARDS = "to it"
    OUTWARDS = "from it"


async def _start_changes(env: Environment, scheduled: ScheduledAction) -> str:
    """Start the stream of changes, which continues until the fault at the end of the scenario."""
    env.changes.start()
    return ""


async def _change_in_a_row(env: Environment, scheduled: ScheduledAction) -> str:
    """Send many changes, each as soon as the previous one is acknowledged, then resend some earlier ones."""
    return await env.changes.change_in_a_row(CHANGES_IN_A_ROW, scheduled.for_s)


async def _resend_changes(env: Environment, scheduled: ScheduledAction) -> str:
    """Resend some changes that were acknowledged earlier."""
    await env.changes.resend_some()
    return ""


def controllers_to_isolate(env: Environment, scheduled: ScheduledAction) -> list[Machine]:
    """The controllers that the schedule names, or some chosen by the seed, at most `Day.tolerance`."""
    if scheduled.target:
        return [env.nodes[name].machine for name in scheduled.target.split()]
    count = 1 + int(seeded_random.uniform(env.seed, "isolated", high=env.day.tolerance))
    return seeded_random.sample(env.cores, count, env.seed, "isolate")


def links_to_cut(env: Environment, machines: list[Machine]) -> LinkSelection:
    """The links to cut so that controllers are isolated.

    The seed determines whether they are isolated from the other controllers or from all machines, and in
    which directions.
    """
    from_all = seeded_random.uniform(env.seed, "isolate", "far") < 0.5
    far = [*env.cores, *live_sidecars(env)] if from_all else env.cores
    directions = [(one.name, other.name) for one in machines for other in far if other is not one]
    choices = tuple(IsolationDirection)
    chosen = choices[int(seeded_random.uniform(env.seed, "isolate", "way", high=len(choices)))]
    if chosen is IsolationDirection.BOTH:
        directions = both_ways(directions)
    elif chosen is IsolationDirection.INWARDS:
        directions = reversed_directions(directions)
    names = " ".join(machine.name for machine in machines)
    far_names = "all" if from_all else "the other controllers"
    return LinkSelection(directions, f"{names} from {far_names}, {chosen.value}")


async def _isolate(env: Environment, scheduled: ScheduledAction) -> str:
    """Isolate controllers; meanwhile replace the servers of one service and restart proxies."""
    isolated = controllers_to_isolate(env, scheduled)
    links = links_to_cut(env, isolated)
    env.changes.isolated = isolated
    if seeded_random.uniform(env.seed, "rolling") < ROLLING_RESTART_SHARE:
        work = [_rolling_restart(env, isolated[0], scheduled.for_s)]
    else:
        work = [_restart_one(env, isolated[0], number, scheduled.for_s) for number in range(RESTARTS)]
    work.append(_replace_servers(env, scheduled.for_s))
    meanwhile = [asyncio.ensure_future(one) for one in work]
    try:
        await impose_fault(env, "cut", links.directions, LinkCondition(cut=True), scheduled.for_s)
    finally:
        env.changes.isolated = []
        renewed = await asyncio.gather(*meanwhile)
    return f"{links.description}; meanwhile new: {', '.join(renewed)}"


async def _restart_one(env: Environment, isolated: Machine, number: int, for_s: float) -> str:
    """Restart a proxy at a random moment of an isolation.

    For every second restart the isolated controller is the proxy's first seed.

    :param number: number of the restart, from 0
    :param for_s: duration of the isolation
    :returns: a description for the record
    """
    low = (0.1 + 0.25 * number) * for_s
    await asyncio.sleep(seeded_random.uniform(env.seed, "restart", number, low=low, high=low + 0.15 * for_s))
    machines = live_sidecars(env)
    chosen = int(seeded_random.uniform(env.seed, "restarted", number, high=len(machines)))
    node = env.nodes[machines[chosen].name]
    node.first_seed = isolated if number % 2 == 0 else None
    if seeded_random.uniform(env.seed, "told", number) < SIGTERM_SHARE:
        await node.stop()
    else:
        node.kill()
        await node.wait_ended()
    await node.start()
    return node.machine.name + (" (its first seed isolated)" if node.first_seed else "")


async def _rolling_restart(env: Environment, isolated: Machine, for_s: float) -> str:
    """Restart all proxies one after another, as many as fit into the duration.

    For every second proxy the isolated controller is its first seed.

    :param for_s: duration of the isolation
    :returns: a description for the record
    """
    until = env.context.now() + for_s
    restarted = 0
    for number, machine in enumerate(live_sidecars(env)):
        if env.context.now() >= until:
            break
        node = env.nodes[machine.name]
        node.first_seed = isolated if number % 2 == 0 else None
        await node.stop()
        await node.start()
        restarted += 1
        await asyncio.sleep(ROLLING_PAUSE_S)
    return f"{restarted} nodes in turn"


async def _replace_servers(env: Environment, for_s: float) -> str:
    """Replace the servers of one service one after another, as many as fit into the duration.

    Each is drained and deregistered, then its successor starts at the same address.

    :param for_s: duration of the isolation
    :returns: a description for the record
    """
    until = env.context.now() + for_s
    replaced = 0
    services = list(dict.fromkeys(machine.service for machine in live_sidecars(env)))
    service = services[int(seeded_random.uniform(env.seed, "release", high=len(services)))]
    for machine in live_sidecars(env):
        if machine.service != service or env.context.now() >= until:
            continue
        server = env.servers[machine.name]
        await server.leave()
        env.servers[machine.name] = server.successor()
        await env.servers[machine.name].start()
        replaced += 1
    return f"{replaced} servers of {service}"


def _links_to_reset(env: Environment) -> list[Direction]:
    """One direction, chosen by the seed, of each link between two proxies.

    On connections dialled by the sending side requests are interrupted, on the others responses.
    """
    names = [machine.name for machine in live_sidecars(env)]
    found = []
    for n, one in enumerate(names):
        for other in names[n + 1 :]:
            forward = seeded_random.uniform(env.seed, "broken", one, other) < 0.5
            found.append((one, other) if forward else (other, one))
    return found


async def _reset_calls(env: Environment, scheduled: ScheduledAction) -> str:
    """Make servers inject faults into non-idempotent calls.

    In the first half of the duration connections between proxies are reset in the middle of a chunk, too.
    """
    servers = [server for server in env.servers.values() if not server.closed]
    chunks = LAST_BROKEN_CHUNK - FIRST_BROKEN_CHUNK + 1
    chunk = FIRST_BROKEN_CHUNK + random_index(env, scheduled, chunks, "chunk")
    half_s = scheduled.for_s / 2.0
    for server in servers:
        server.faulty = True
    try:
        await impose_fault(env, "reset", _links_to_reset(env), LinkCondition(broken_chunk=chunk), half_s)
        await asyncio.sleep(half_s)
    finally:
        for server in servers:
            server.faulty = False
    return f"at {len(servers)} servers; between nodes in chunk {chunk}"


ISOLATION_ACTIONS: dict[str, Action] = {
    "changes": _start_changes,
    "many-changes": _change_in_a_row,
    "isolate": _isolate,
    "reset-calls": _reset_calls,
    "send-again": _resend_changes,
}
