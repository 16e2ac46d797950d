"""Deeds on processes, disks and whole machines: kills, pauses, wipes, replacements."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from typing import TYPE_CHECKING

from orchidferry.testkit.mesh.day import Machine, Trouble, core
from orchidferry.testkit.mesh.deeds import Deed, choose, controller_of, controllers_to_lose, machine_of
from orchidferry.testkit.mesh.facts import Process

if TYPE_CHECKING:
    from orchidferry.testkit.mesh.processes import Node
    from orchidferry.testkit.mesh.run import Play


async def _back(play: Play, nodes: list[Node], after_s: float) -> None:
    """Wait for the ends of processes that were killed, and start them again."""
    await asyncio.gather(*(node.gone() for node in nodes))
    await asyncio.sleep(after_s)
    await asyncio.gather(*(node.start() for node in nodes))


async def _kill(play: Play, trouble: Trouble) -> str:
    """Processes are killed, and come back."""
    nodes = [play.nodes[name] for name in trouble.whom.split() or [machine_of(play, trouble).name]]
    for node in nodes:
        node.kill()
    await _back(play, nodes, trouble.for_s)
    return " ".join(node.machine.name for node in nodes)


async def _pause(play: Play, trouble: Trouble) -> str:
    """Processes are stopped where they are, and go on."""
    nodes = [play.nodes[name] for name in trouble.whom.split() or [machine_of(play, trouble).name]]
    for node in nodes:
        node.pause(True)
    try:
        await asyncio.sleep(trouble.for_s)
    finally:
        for node in nodes:
            node.pause(False)
    return " ".join(node.machine.name for node in nodes)


async def _wipe(play: Play, trouble: Trouble) -> str:
    """Controllers are killed and lose their disks; they come back at their addresses."""
    nodes = controllers_to_lose(play, trouble)
    return await kill_all(play, nodes, trouble.for_s, nodes)


def _successor(play: Play, old: Machine) -> tuple[int, Machine]:
    """Its place in the operators' list, and a machine of its zone at another address."""
    at = next(n for n, machine in enumerate(play.cores) if machine.name == old.name)
    number = next(n for n in range(at % 3, 300, 3) if core(play.block, n).name not in play.nodes)
    return at, core(play.block, number)


async def _replace(play: Play, trouble: Trouble) -> str:
    """A controller's machine goes for good, with SIGTERM or without; an empty one comes at another
    address.
    """
    old = controller_of(play, trouble)
    if choose(play, trouble, 2, "told"):
        await old.stop()
    else:
        old.kill()
        await old.gone()
    name = old.machine.name
    play.scene.note(Process(play.scene.now(), name, "removed"))
    at, new = _successor(play, old.machine)
    play.cores[at] = new
    play.record.cores += (new.name,)
    await asyncio.sleep(trouble.for_s)
    _write_settings(play, old)
    await play.add(new, False).start()
    return f"{name} by {new.name}"


async def _replace_planned(play: Play, trouble: Trouble) -> str:
    """An empty controller comes at another address; once it has had its time the old one is told to end."""
    old = controller_of(play, trouble)
    at, new = _successor(play, old.machine)
    play.record.cores += (new.name,)
    await play.add(new, False).start()
    await asyncio.sleep(play.day.bounds.catch_up_s)
    play.cores[at] = new
    _write_settings(play, old)
    await old.stop()
    play.scene.note(Process(play.scene.now(), old.machine.name, "removed"))
    return f"{old.machine.name} by {new.name}"


def _write_settings(play: Play, old: Node) -> None:
    """Settings of the moment: live processes look at them, others will."""
    for node in play.nodes.values():
        if node is not old:
            node.write()


async def _kill_core(play: Play, trouble: Trouble) -> str:
    """All controllers at once; their disks stay."""
    return await kill_all(play, [play.nodes[m.name] for m in play.cores], trouble.for_s)


async def kill_all(play: Play, nodes: list[Node], back_s: float, wiped: Sequence[Node] = ()) -> str:
    """Kill processes, empty the disks of some, and start them again; whose, in words."""
    for node in nodes:
        node.kill()
    for node in wiped:
        await node.gone()
        node.wipe()
    await _back(play, nodes, back_s)
    names = " ".join(node.machine.name for node in nodes)
    lost = " ".join(node.machine.name for node in wiped)
    return f"{names}, {lost} wiped" if wiped else names


PROCESS_DEEDS: dict[str, Deed] = {
    "kill": _kill,
    "pause": _pause,
    "wipe": _wipe,
    "replace": _replace,
    "replace-planned": _replace_planned,
    "kill-core": _kill_core,
}
