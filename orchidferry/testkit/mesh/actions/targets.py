"""Selects the targets of an action: the machines that the schedule names, or some chosen by the seed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.day import Machine, ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.processes import Node

Action = Callable[[Environment, ScheduledAction], Awaitable[str]]


def random_index(env: Environment, scheduled: ScheduledAction, count: int, *purpose: str) -> int:
    """A pseudo-random index below `count`, derived from the seed, the action and its scheduled time.

    :param purpose: tells several random choices of one action apart
    """
    time = f"{scheduled.at:.4f}"
    return int(seeded_random.uniform(env.seed, "whom", scheduled.action, time, *purpose, high=count))


def live_sidecars(env: Environment) -> list[Machine]:
    """The sidecar machines that have not been removed."""
    return [machine for machine in env.sidecars if machine.name not in env.platform.removed]


def random_sidecar(env: Environment, scheduled: ScheduledAction) -> Machine:
    """A sidecar machine chosen by the seed."""
    machines = live_sidecars(env)
    return machines[random_index(env, scheduled, len(machines))]


def running_proxy(env: Environment, scheduled: ScheduledAction) -> Node | None:
    """A proxy chosen by the seed; None if it is being restarted or is paused."""
    node = env.nodes[random_sidecar(env, scheduled).name]
    return None if node.stopping or node.paused or node.pid is None else node


def target_machine(env: Environment, scheduled: ScheduledAction) -> Machine:
    """The machine that the schedule names, or one chosen by the seed (a controller in 3 of 4 cases)."""
    if scheduled.target:
        return env.nodes[scheduled.target].machine
    machines = env.cores if random_index(env, scheduled, 4, "role") else live_sidecars(env)
    return machines[random_index(env, scheduled, len(machines))]


def target_controller(env: Environment, scheduled: ScheduledAction) -> Node:
    """The controller that the schedule names, or one chosen by the seed."""
    if scheduled.target:
        return env.nodes[scheduled.target]
    return env.nodes[env.cores[random_index(env, scheduled, len(env.cores))].name]


def controllers_to_lose(env: Environment, scheduled: ScheduledAction) -> list[Node]:
    """The controllers that the schedule names, or some chosen by the seed, at most `Day.tolerance`."""
    if scheduled.target:
        return [env.nodes[name] for name in scheduled.target.split()]
    count = 1 + random_index(env, scheduled, env.day.tolerance, "count")
    first = random_index(env, scheduled, len(env.cores))
    return [env.nodes[env.cores[(first + n) % len(env.cores)].name] for n in range(count)]
