"""Faults of processes, disks and whole machines: kills, pauses, wipes, replacements."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from orchidferry.testkit.mesh.actions.targets import (
    Action,
    any_controller,
    any_machine,
    choose,
    controllers_to_lose,
)
from orchidferry.testkit.mesh.day import Machine, ScheduledAction, core_machine
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.facts import Process
from orchidferry.testkit.mesh.processes import Node

MAX_CORE_NUMBER = 300


def _named_nodes(env: Environment, scheduled: ScheduledAction) -> list[Node]:
    """The nodes that are named, or one by the seed."""
    names = scheduled.target.split() or [any_machine(env, scheduled).name]
    return [env.nodes[name] for name in names]


def _names(nodes: Sequence[Node]) -> str:
    return " ".join(node.machine.name for node in nodes)


async def _restart(nodes: list[Node], after_s: float) -> None:
    """Wait for the ends of processes that were killed, and start them again."""
    await asyncio.gather(*(node.wait_ended() for node in nodes))
    await asyncio.sleep(after_s)
    await asyncio.gather(*(node.start() for node in nodes))


async def kill_and_restart(nodes: list[Node], down_s: float, wiped: Sequence[Node] = ()) -> str:
    """Kill processes, empty the disks of some, and start them again.

    :param down_s: from the last one's end to the start
    :returns: whose processes they were, in words
    """
    for node in nodes:
        node.kill()
    for node in wiped:
        await node.wait_ended()
        node.wipe()
    await _restart(nodes, down_s)
    return f"{_names(nodes)}, {_names(wiped)} wiped" if wiped else _names(nodes)


async def _kill(env: Environment, scheduled: ScheduledAction) -> str:
    """Processes are killed, and come back."""
    return await kill_and_restart(_named_nodes(env, scheduled), scheduled.for_s)


async def _pause(env: Environment, scheduled: ScheduledAction) -> str:
    """Processes are stopped where they are, and go on."""
    nodes = _named_nodes(env, scheduled)
    for node in nodes:
        node.pause()
    try:
        await asyncio.sleep(scheduled.for_s)
    finally:
        for node in nodes:
            node.resume()
    return _names(nodes)


async def _wipe(env: Environment, scheduled: ScheduledAction) -> str:
    """Controllers are killed and lose their disks; they come back at their addresses."""
    nodes = controllers_to_lose(env, scheduled)
    return await kill_and_restart(nodes, scheduled.for_s, nodes)


async def _kill_controllers(env: Environment, scheduled: ScheduledAction) -> str:
    """All controllers are killed at once; their disks stay."""
    return await kill_and_restart(
        [env.nodes[core_machine.name] for core_machine in env.cores], scheduled.for_s
    )


def _successor(env: Environment, old: Machine) -> tuple[int, Machine]:
    """The old machine's index in the operators' list, and a new one of its zone at another address."""
    index = next(n for n, machine in enumerate(env.cores) if machine.name == old.name)
    candidates = (core_machine(env.block, number) for number in range(index % 3, MAX_CORE_NUMBER, 3))
    return index, next(machine for machine in candidates if machine.name not in env.nodes)


async def _replace(env: Environment, scheduled: ScheduledAction) -> str:
    """A controller's machine is lost for good, with SIGTERM or without.

    An empty one comes at another address.
    """
    old = any_controller(env, scheduled)
    if choose(env, scheduled, 2, "told"):
        await old.stop()
    else:
        old.kill()
        await old.wait_ended()
    _note_removed(env, old)
    index, new = _successor(env, old.machine)
    env.cores[index] = new
    env.record.cores += (new.name,)
    await asyncio.sleep(scheduled.for_s)
    _write_settings(env, old)
    await env.add_machine(new, first_start=False).start()
    return f"{old.machine.name} by {new.name}"


async def _replace_planned(env: Environment, scheduled: ScheduledAction) -> str:
    """An empty controller comes at another address; once it has caught up the old one is terminated."""
    old = any_controller(env, scheduled)
    index, new = _successor(env, old.machine)
    env.record.cores += (new.name,)
    await env.add_machine(new, first_start=False).start()
    await asyncio.sleep(env.day.bounds.catch_up_s)
    env.cores[index] = new
    _write_settings(env, old)
    await old.stop()
    _note_removed(env, old)
    return f"{old.machine.name} by {new.name}"


def _note_removed(env: Environment, node: Node) -> None:
    env.context.record(Process(env.context.now(), node.machine.name, "removed"))


def _write_settings(env: Environment, old: Node) -> None:
    """Write the settings of all but the old node anew: live processes reload them, others will read them."""
    for node in env.nodes.values():
        if node is not old:
            node.write_settings()


PROCESS_ACTIONS: dict[str, Action] = {
    "kill": _kill,
    "pause": _pause,
    "wipe": _wipe,
    "replace": _replace,
    "replace-planned": _replace_planned,
    "kill-core": _kill_controllers,
}
