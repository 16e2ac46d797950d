"""Actions of the scenario `mesh-series`: faults of proxies that overlap, full disks, a loss of all power."""

from __future__ import annotations

import asyncio

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.actions.closing import NOT_ACKNOWLEDGED, last_change_acknowledged
from orchidferry.testkit.mesh.actions.links import MAX_DELAY_S, MIN_DELAY_S, both_ways, impose_fault
from orchidferry.testkit.mesh.actions.processes import kill_and_restart, pause_and_resume
from orchidferry.testkit.mesh.actions.targets import (
    Action,
    controllers_to_lose,
    live_sidecars,
    random_index,
    random_sidecar,
    running_proxy,
    target_controller,
)
from orchidferry.testkit.mesh.day import ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.relay import LinkCondition
from orchidferry.testkit.mesh.series_schedule import DOWN_AFTER_FULL_DISK_S


async def _kill_proxy(env: Environment, scheduled: ScheduledAction) -> str:
    """Kill a proxy, and start it again."""
    node = running_proxy(env, scheduled)
    return "" if node is None else await kill_and_restart([node], scheduled.for_s)


async def _pause_proxy(env: Environment, scheduled: ScheduledAction) -> str:
    """Suspend a proxy, and resume it."""
    node = running_proxy(env, scheduled)
    return "" if node is None else await pause_and_resume([node], scheduled.for_s)


async def _slow_proxy(env: Environment, scheduled: ScheduledAction) -> str:
    """Delay data on all links of a proxy in both directions."""
    machine = random_sidecar(env, scheduled)
    others = [one for one in (*env.cores, *live_sidecars(env)) if one.name != machine.name]
    time = f"{scheduled.at:.4f}"
    delay_s = seeded_random.uniform(env.seed, "proxy delay", time, low=MIN_DELAY_S, high=MAX_DELAY_S)
    links = both_ways([(machine.name, other.name) for other in others])
    await impose_fault(env, "slow", links, LinkCondition(delay_s=delay_s), scheduled.for_s)
    return f"{machine.name}, {delay_s * 1000.0:.0f} ms"


async def _kill_controller(env: Environment, scheduled: ScheduledAction) -> str:
    """Kill a controller, and start it again with its stored data."""
    return await kill_and_restart([target_controller(env, scheduled)], scheduled.for_s)


async def _pause_controller(env: Environment, scheduled: ScheduledAction) -> str:
    """Suspend a controller, and resume it."""
    return await pause_and_resume([target_controller(env, scheduled)], scheduled.for_s)


async def _fill_disk(env: Environment, scheduled: ScheduledAction) -> str:
    """Have the disk of a controller refuse every write."""
    node = target_controller(env, scheduled)
    node.fill_disk()
    try:
        await asyncio.sleep(scheduled.for_s)
    finally:
        node.free_disk()
    return node.machine.name


async def _fill_disk_then_kill(env: Environment, scheduled: ScheduledAction) -> str:
    """Fill the disk of a controller, and kill another one as soon as the disk has room again."""
    full = await _fill_disk(env, scheduled)
    others = [machine for machine in env.cores if machine.name != full]
    killed = env.nodes[others[random_index(env, scheduled, len(others), "killed")].name]
    return f"{full}, {await kill_and_restart([killed], DOWN_AFTER_FULL_DISK_S)}"


async def _lose_all_power(env: Environment, scheduled: ScheduledAction) -> str:
    """Wipe the disk of a controller, and kill all other machines at the same moment."""
    acknowledged = await last_change_acknowledged(env)
    wiped = controllers_to_lose(env, scheduled)
    nodes = [env.nodes[machine.name] for machine in (*env.cores, *live_sidecars(env))]
    done = await kill_and_restart(nodes, scheduled.for_s, wiped)
    return done if acknowledged else done + NOT_ACKNOWLEDGED


SERIES_ACTIONS: dict[str, Action] = {
    "kill-proxy": _kill_proxy,
    "pause-proxy": _pause_proxy,
    "slow-proxy": _slow_proxy,
    "kill-controller": _kill_controller,
    "pause-controller": _pause_controller,
    "fill-disk": _fill_disk,
    "fill-disk-then-kill": _fill_disk_then_kill,
    "after-ack-power-loss": _lose_all_power,
}
