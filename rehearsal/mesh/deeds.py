"""What a day's table may name: each deed returns whom it was done to.

Where a trouble names nobody the seed chooses. A deed that harms ends its harm itself, come what may.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from rehearsal import draws
from rehearsal.mesh.configuration import build, spoil
from rehearsal.mesh.day import Machine, Trouble, core
from rehearsal.mesh.facts import Harm, Process
from rehearsal.mesh.links import SOUND, Fault, Pair
from rehearsal.mesh.servers import Server

if TYPE_CHECKING:
    from rehearsal.mesh.processes import Node
    from rehearsal.mesh.run import Play

FIRST, SECOND, LOSER, SPOILT, LAST = 3, 7, 8, 11, 19  # numbers of versions; they climb in uneven steps
DELAY_S = 0.02, 0.4  # of slow links, each way
RESETS, RESET_EVERY_S = 3, 0.25
ALONE = 0.5  # of closing wipes: the other controllers go on; else all are killed at once


def _one(play: Play, trouble: Trouble, count: int, *what: str) -> int:
    """A number below `count` by the seed."""
    return int(draws.uniform(play.seed, "whom", trouble.do, f"{trouble.at:.4f}", *what, high=count))


def _live(play: Play) -> list[Machine]:
    """Sidecar machines that have not left."""
    return [m for m in play.sidecars if m.name not in play.platform.gone]


def _machine(play: Play, trouble: Trouble) -> Machine:
    """The one that is named; else a controller's in three cases of four, or another."""
    if trouble.whom:
        return play.nodes[trouble.whom].machine
    some = play.cores if _one(play, trouble, 4, "role") else _live(play)
    return some[_one(play, trouble, len(some))]


# Planned


def _server(play: Play, trouble: Trouble) -> Server:
    """The one that is named, or one of the largest service."""
    if trouble.whom:
        return play.servers[trouble.whom]
    some = [s for s in play.servers.values() if s.machine.service == play.sidecars[0].service]
    return some[int(draws.uniform(play.seed, "drain", high=len(some)))]


async def _drain(play: Play, trouble: Trouble) -> str:
    """A server leaves as planned; its machine's process is told to end after it."""
    server = _server(play, trouble)
    await server.leave()
    node = play.nodes[server.machine.name]
    await node.stop()
    play.platform.gone.add(server.machine.name)
    return server.machine.name


async def _change(play: Play, trouble: Trouble) -> str:
    """The configuration changes; another operator builds on the version before it, and comes too late."""
    apply = play.day.bounds.config_apply_ms / 1000.0
    put = await play.operator.put(build(play.day, play.seed, SECOND, True), FIRST, True, 8.0)
    await play.clients.probes()
    if put.acked is not None:
        await play.other.put(build(play.day, play.seed, LOSER, False), FIRST, True, 3.0)
    await asyncio.sleep(apply + 0.2)
    await play.clients.probes()
    return f"{FIRST} to {SECOND}"


async def _bad_change(play: Play, trouble: Trouble) -> str:
    """An invalid configuration is sent."""
    wrong = spoil(build(play.day, play.seed, SPOILT, True), SPOILT)
    await play.other.put(wrong, SECOND, False, 3.0)
    return str(SPOILT)


# Processes and disks


async def _back(play: Play, nodes: list[Node], after_s: float) -> None:
    """Wait for the ends of processes that were killed, and start them again."""
    await asyncio.gather(*(node.gone() for node in nodes))
    await asyncio.sleep(after_s)
    await asyncio.gather(*(node.start() for node in nodes))


async def _kill(play: Play, trouble: Trouble) -> str:
    """Processes are killed, and come back."""
    nodes = [play.nodes[name] for name in trouble.whom.split() or [_machine(play, trouble).name]]
    for node in nodes:
        node.kill()
    await _back(play, nodes, trouble.for_s)
    return " ".join(node.machine.name for node in nodes)


async def _pause(play: Play, trouble: Trouble) -> str:
    """Processes are stopped where they are, and go on."""
    nodes = [play.nodes[name] for name in trouble.whom.split() or [_machine(play, trouble).name]]
    for node in nodes:
        node.pause(True)
    try:
        await asyncio.sleep(trouble.for_s)
    finally:
        for node in nodes:
            node.pause(False)
    return " ".join(node.machine.name for node in nodes)


def _keeper(play: Play, trouble: Trouble) -> Node:
    if trouble.whom:
        return play.nodes[trouble.whom]
    return play.nodes[play.cores[_one(play, trouble, len(play.cores))].name]


async def _wipe(play: Play, trouble: Trouble) -> str:
    """A controller is killed and loses its disk; it comes back at its address."""
    node = _keeper(play, trouble)
    node.kill()
    await node.gone()
    node.wipe()
    await _back(play, [node], trouble.for_s)
    return node.machine.name


async def _replace(play: Play, trouble: Trouble) -> str:
    """A controller's machine goes for good, with SIGTERM or without; an empty one comes at another
    address.
    """
    old = _keeper(play, trouble)
    if _one(play, trouble, 2, "told"):
        await old.stop()
    else:
        old.kill()
        await old.gone()
    name = old.machine.name
    play.scene.note(Process(play.scene.now(), name, "removed"))
    at = next(n for n, machine in enumerate(play.cores) if machine.name == name)
    number = next(n for n in range(at % 3, 300, 3) if core(play.block, n).name not in play.nodes)
    new = play.cores[at] = core(play.block, number)
    play.record.cores += (new.name,)
    await asyncio.sleep(trouble.for_s)
    for node in play.nodes.values():  # settings of the moment: live processes look at them, others will
        if node is not old:
            node.write()
    await play.add(new, False).start()
    return f"{name} by {new.name}"


async def _kill_core(play: Play, trouble: Trouble) -> str:
    """All controllers at once; their disks stay."""
    return await _kill_all(play, [play.nodes[m.name] for m in play.cores], trouble.for_s)


async def _kill_all(play: Play, nodes: list[Node], back_s: float, wiped: Node | None = None) -> str:
    for node in nodes:
        node.kill()
    if wiped is not None:
        await wiped.gone()
        wiped.wipe()
    await _back(play, nodes, back_s)
    names = " ".join(node.machine.name for node in nodes)
    return f"{names}, {wiped.machine.name} wiped" if wiped is not None else names


# Links


def _links(play: Play, trouble: Trouble) -> tuple[list[Pair], str]:
    """Links as directions away from one machine, and in words: its links to all others, to all
    controllers, or to one controller; never more than one controller is apart from the others."""
    machine = _machine(play, trouble)
    others = [m for m in (*play.cores, *_live(play)) if m.name != machine.name]
    controllers = [m for m in play.cores if m.name != machine.name]
    shape = 0 if trouble.whom else _one(play, trouble, 3, "shape")
    if shape == 2:
        controllers = [controllers[_one(play, trouble, len(controllers), "other")]]
    far = others if shape == 0 else controllers
    to = "all" if shape == 0 else " ".join(m.name for m in far)
    return [(machine.name, m.name) for m in far], f"{machine.name} from {to}"


def _both(pairs: list[Pair]) -> list[Pair]:
    return [*pairs, *((there, here) for here, there in pairs)]


async def _harm(play: Play, what: str, pairs: list[Pair], fault: Fault, for_s: float) -> None:
    """These links are harmed for a while."""
    now = play.scene.now()
    harm = Harm(now, now + for_s, what, pairs)
    play.scene.note(harm)
    play.links.set(pairs, fault)
    try:
        await asyncio.sleep(for_s)
    finally:
        play.links.set(pairs, SOUND)
        harm.until = play.scene.now()


async def _cut(play: Play, trouble: Trouble) -> str:
    """Links are cut both ways: silence."""
    pairs, words = _links(play, trouble)
    await _harm(play, "cut", _both(pairs), Fault(cut=True), trouble.for_s)
    return words


async def _cut_one_way(play: Play, trouble: Trouble) -> str:
    """Links are cut one way, by the seed to the machine or from it."""
    pairs, words = _links(play, trouble)
    to = _one(play, trouble, 2, "way") == 0
    if to:
        pairs = [(there, here) for here, there in pairs]
    await _harm(play, "cut", pairs, Fault(cut=True), trouble.for_s)
    return f"{words}, {'to' if to else 'from'} it"


async def _slow_link(play: Play, trouble: Trouble) -> str:
    """Links are late, each way."""
    pairs, words = _links(play, trouble)
    low, high = DELAY_S
    late = draws.uniform(play.seed, "late", f"{trouble.at:.4f}", low=low, high=high)
    await _harm(play, "slow", _both(pairs), Fault(delay_s=late), trouble.for_s)
    return f"{words}, {late * 1000.0:.0f} ms"


async def _reset_links(play: Play, trouble: Trouble) -> str:
    """All connections are reset, some times in a row."""
    pairs, words = _links(play, trouble)
    for n in range(RESETS):
        now = play.scene.now()
        play.scene.note(Harm(now, now, "reset", _both(pairs)))
        play.links.reset(pairs)
        if n < RESETS - 1:
            await asyncio.sleep(RESET_EVERY_S)
    return words


# Closing losses, right after an acknowledgement


async def _acknowledged(play: Play) -> bool:
    """A configuration on top of what is read, its routes those of the first; whether it was acknowledged."""
    base = await play.operator.newest(5.0)
    if base is None:
        return False
    put = await play.operator.put(build(play.day, play.seed, LAST, False), base, True, 8.0)
    return put.acked is not None


async def _after_ack_kill(play: Play, trouble: Trouble) -> str:
    """Every process of all machines is killed; by the seed those of the core alone."""
    acked = await _acknowledged(play)
    names = [m.name for m in (play.cores if _one(play, trouble, 3) == 0 else (*play.cores, *_live(play)))]
    done = await _kill_all(play, [play.nodes[name] for name in names], trouble.for_s)
    return done if acked else f"{done} (nothing was acknowledged)"


async def _after_ack_wipe(play: Play, trouble: Trouble) -> str:
    """A controller loses its disk; by the seed all others are killed too."""
    acked, node = await _acknowledged(play), _keeper(play, trouble)
    alone = draws.uniform(play.seed, "alone") < ALONE
    nodes = [node] if alone else [play.nodes[m.name] for m in play.cores]
    done = await _kill_all(play, nodes, trouble.for_s, node)
    return done if acked else f"{done} (nothing was acknowledged)"


Deed = Callable[["Play", Trouble], Awaitable[str]]
DEEDS: dict[str, Deed] = {
    "drain": _drain, "change": _change, "bad-change": _bad_change, "kill": _kill, "pause": _pause,
    "wipe": _wipe, "replace": _replace, "kill-core": _kill_core, "cut": _cut, "cut-one-way": _cut_one_way,
    "slow-link": _slow_link, "reset-links": _reset_links, "after-ack-kill": _after_ack_kill,
    "after-ack-wipe": _after_ack_wipe,
}  # fmt: skip
