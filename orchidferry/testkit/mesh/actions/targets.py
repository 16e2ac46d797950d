"""Which machines an action strikes: those that the schedule names, or some chosen by the seed."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.day import Machine, ScheduledAction
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.processes import Node

Action = Callable[[Environment, ScheduledAction], Awaitable[str]]


def choose(env: Environment, scheduled: ScheduledAction, count: int, *purpose: str) -> int:
    """A number below `count` by the seed, the action and its time."""
    time = f"{scheduled.at:.4f}"
    return int(seeded_random.uniform(env.seed, "whom", scheduled.action, time, *purpose, high=count))


def live_sidecars(env: Environment) -> list[Machine]:
    """Sidecar machines that have not left."""
    return [machine for machine in env.sidecars if machine.name not in env.platform.gone]


def any_machine(env: Environment, scheduled: ScheduledAction) -> Machine:
    """The machine that is named; else a controller's in three cases of four, or another."""
    if scheduled.target:
        return env.nodes[scheduled.target].machine
    machines = env.cores if choose(env, scheduled, 4, "role") else live_sidecars(env)
    return machines[choose(env, scheduled, len(machines))]


def any_controller(env: Environment, scheduled: ScheduledAction) -> Node:
    """The controller that is named, or one by the seed."""
    if scheduled.target:
        return env.nodes[scheduled.target]
    return env.nodes[env.cores[choose(env, scheduled, len(env.cores))].name]


def controllers_to_lose(env: Environment, scheduled: ScheduledAction) -> list[Node]:
    """Some controllers by the seed, no more than may be lost at once."""
    if scheduled.target:
        return [env.nodes[name] for name in scheduled.target.split()]
    count = 1 + choose(env, scheduled, env.day.tolerance, "count")
    first = choose(env, scheduled, len(env.cores))
    return [env.nodes[env.cores[(first + n) % len(env.cores)].name] for n in range(count)]
