"""Faults of processes, disks and complete machines: kills, pauses, wipes, replacements."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from orchidferry.testkit.mesh.actions.targets import (
    Action,
    controllers_to_lose,
    random_index,
    target_controller,
    target_machine,
)
from orchidferry.testkit.mesh.day import Machine, ScheduledAction, core_machine
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.facts import Process
from orchidferry.testkit.mesh.processes import Node

MAX_CORE_NUMBER = 300
"""Upper bound of the numbers of controllers' machines, replacements included."""

LATE_START_S = 1.5
"""The time from the return of a machine to the start of its process, where that starts late."""


def _named_nodes(env: Environment, scheduled: ScheduledAction) -> list[Node]:
    """The nodes that the schedule names, or one chosen by the seed."""
    names = scheduled.target.split() or [target_machine(env, scheduled).name]
    return [env.nodes[name] for name in names]


def _names(nodes: Sequence[Node]) -> str:
    return " ".join(node.machine.name for node in nodes)


async def _restart(nodes: list[Node], after_s: float) -> None:
    """Wait until processes that were killed have ended, and start them again.

    :param after_s: from the end of the last one to the start
    """
    await asyncio.gather(*(node.wait_ended() for node in nodes))
    await asyncio.sleep(after_s)
    await asyncio.gather(*(node.start() for node in nodes))


async def kill_and_restart(nodes: list[Node], down_s: float, wiped: Sequence[Node] = ()) -> str:
    """Kill processes, wipe the disks of some, and start all again.

    :param down_s: from the end of the last one to the start
    :param wiped: those of the nodes whose disks are wiped
    :returns: a description of the nodes for the record
    """
    for node in nodes:
        node.kill()
    for node in wiped:
        await node.wait_ended()
        node.wipe()
    await _restart(nodes, down_s)
    return f"{_names(nodes)}, {_names(wiped)} wiped" if wiped else _names(nodes)


async def _kill(env: Environment, scheduled: ScheduledAction) -> str:
    """Kill and restart processes."""
    return await kill_and_restart(_named_nodes(env, scheduled), scheduled.for_s)


async def pause_and_resume(nodes: Sequence[Node], for_s: float) -> str:
    """Suspend processes, and resume them after a time.

    :returns: the names of their machines
    """
    for node in nodes:
        node.pause()
    try:
        await asyncio.sleep(for_s)
    finally:
        for node in nodes:
            node.resume()
    return _names(nodes)


async def _pause(env: Environment, scheduled: ScheduledAction) -> str:
    """Suspend processes, and resume them."""
    return await pause_and_resume(_named_nodes(env, scheduled), scheduled.for_s)


async def _wipe(env: Environment, scheduled: ScheduledAction) -> str:
    """Kill controllers, wipe their disks, and restart them at the same addresses."""
    nodes = controllers_to_lose(env, scheduled)
    return await kill_and_restart(nodes, scheduled.for_s, nodes)


async def _kill_controllers(env: Environment, scheduled: ScheduledAction) -> str:
    """Kill all controllers at once, and restart them with their stored data."""
    return await kill_and_restart(
        [env.nodes[core_machine.name] for core_machine in env.cores], scheduled.for_s
    )


def _successor(env: Environment, old: Machine) -> tuple[int, Machine]:
    """Find a replacement for a controller's machine.

    :returns: the old machine's index in the list of controllers, and a new machine in the same zone
    """
    index = next(n for n, machine in enumerate(env.cores) if machine.name == old.name)
    candidates = (core_machine(env.block, number) for number in range(index % 3, MAX_CORE_NUMBER, 3))
    return index, next(machine for machine in candidates if machine.name not in env.nodes)


async def _replace(env: Environment, scheduled: ScheduledAction) -> str:
    """Remove a controller's machine for good, and start an empty one at another address.

    The seed determines whether the old process gets SIGTERM or is killed.
    """
    old = target_controller(env, scheduled)
    if random_index(env, scheduled, 2, "told"):
        await old.stop()
    else:
        await _kill_for_good(old)
    new = await _add_successor(env, old, scheduled.for_s)
    await new.start()
    return f"{old.machine.name} by {new.machine.name}"


async def _replace_late(env: Environment, scheduled: ScheduledAction) -> str:
    """Replace a controller's machine by one whose process starts `LATE_START_S` after the machine's return.

    The action ends with the return of the machine.
    """
    old = target_controller(env, scheduled)
    await _kill_for_good(old)
    new = await _add_successor(env, old, scheduled.for_s)

    async def start_late() -> None:
        await asyncio.sleep(LATE_START_S)
        await new.start()

    env.spawn(start_late())
    return f"{old.machine.name} by {new.machine.name}"


async def _kill_for_good(node: Node) -> None:
    node.kill()
    await node.wait_ended()


async def _add_successor(env: Environment, old: Node, after_s: float) -> Node:
    """Add an empty machine in place of a controller's that has ended, without starting its process.

    :param after_s: time from the removal of the old machine to the return of the new one
    """
    _record_removed(env, old)
    index, new = _successor(env, old.machine)
    env.cores[index] = new
    env.record.cores += (new.name,)
    await asyncio.sleep(after_s)
    _write_settings(env, old)
    return env.add_machine(new, first_start=False)


async def _replace_planned(env: Environment, scheduled: ScheduledAction) -> str:
    """Start an empty controller at another address, and terminate the old one after `catch_up_s`."""
    old = target_controller(env, scheduled)
    index, new = _successor(env, old.machine)
    env.record.cores += (new.name,)
    await env.add_machine(new, first_start=False).start()
    await asyncio.sleep(env.day.bounds.catch_up_s)
    env.cores[index] = new
    _write_settings(env, old)
    await old.stop()
    _record_removed(env, old)
    return f"{old.machine.name} by {new.name}"


def _record_removed(env: Environment, node: Node) -> None:
    env.context.record(Process(env.context.now(), node.machine.name, "removed"))


def _write_settings(env: Environment, old: Node) -> None:
    """Rewrite the settings files of all nodes but the old one.

    Running processes reload the file; the others read it at their next start.
    """
    for node in env.nodes.values():
        if node is not old:
            node.write_settings()


PROCESS_ACTIONS: dict[str, Action] = {
    "kill": _kill,
    "pause": _pause,
    "wipe": _wipe,
    "replace": _replace,
    "replace-late": _replace_late,
    "replace-planned": _replace_planned,
    "kill-core": _kill_controllers,
}
