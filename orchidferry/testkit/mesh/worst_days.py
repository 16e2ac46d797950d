"""Deeds of the worst days: a stream of changes, hundreds of them in a row, controllers isolated under it,
calls that may not be repeated broken off.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.day import Machine, Trouble
from orchidferry.testkit.mesh.deeds import Deed, choose, live
from orchidferry.testkit.mesh.link_deeds import both, harm
from orchidferry.testkit.mesh.relay import Fault, Pair

if TYPE_CHECKING:
    from orchidferry.testkit.mesh.run import Play

ROLLING = 0.5  # of isolations during which all nodes are restarted in turn; else some at any moment
ROLLING_PAUSE_S = 0.5  # from one node's new start to the next one's end
RESTARTS = 3  # of nodes, during an isolation without a rolling restart
MANY = 300  # changes in a row
BROKEN_CHUNKS = 2, 4  # which chunk of a connection between nodes is broken in its middle
WAYS = ("both ways", "to it", "from it")
TELL = 0.5  # of restarts that begin with SIGTERM in place of a kill


async def _changes(play: Play, trouble: Trouble) -> str:
    """Operators begin to send changes, and go on until the closing loss."""
    play.changes.start()
    return ""


async def _many_changes(play: Play, trouble: Trouble) -> str:
    """Changes in a row, each once the one before is acknowledged; then orders from before them again."""
    return await play.changes.many(MANY, trouble.for_s)


async def _send_again(play: Play, trouble: Trouble) -> str:
    """Orders that were acknowledged are sent again."""
    await play.changes.send_again()
    return ""


def _isolated(play: Play, trouble: Trouble) -> list[Machine]:
    """Controllers by the seed, no more than may be lost at once."""
    if trouble.whom:
        return [play.nodes[name].machine for name in trouble.whom.split()]
    count = 1 + int(draws.uniform(play.seed, "isolated", high=play.day.tolerance))
    return draws.sample(play.cores, count, play.seed, "isolate")


def _pairs(play: Play, machines: list[Machine]) -> tuple[list[Pair], str]:
    """Directions of links that are cut, and in words."""
    from_all = draws.uniform(play.seed, "isolate", "far") < 0.5
    far = [*play.cores, *live(play)] if from_all else play.cores
    pairs = [(one.name, other.name) for one in machines for other in far if other is not one]
    way = WAYS[int(draws.uniform(play.seed, "isolate", "way", high=len(WAYS)))]
    if way == WAYS[0]:
        pairs = both(pairs)
    elif way == WAYS[1]:
        pairs = [(there, here) for here, there in pairs]
    names = " ".join(machine.name for machine in machines)
    return pairs, f"{names} from {'all' if from_all else 'the other controllers'}, {way}"


async def _isolate(play: Play, trouble: Trouble) -> str:
    """Controllers are cut off; meanwhile a service's servers are replaced one after another, and nodes are
    started anew: all in turn, or some at any moment.
    """
    machines = _isolated(play, trouble)
    pairs, words = _pairs(play, machines)
    play.changes.isolated = machines
    if draws.uniform(play.seed, "rolling") < ROLLING:
        work = [_rolling_restart(play, machines[0], trouble.for_s)]
    else:
        work = [_restart(play, machines[0], number, trouble.for_s) for number in range(RESTARTS)]
    meanwhile = [asyncio.ensure_future(one) for one in (*work, _release(play, trouble.for_s))]
    try:
        await harm(play, "cut", pairs, Fault(cut=True), trouble.for_s)
    finally:
        play.changes.isolated = []
        renewed = await asyncio.gather(*meanwhile)
    return f"{words}; meanwhile new: {', '.join(renewed)}"


async def _restart(play: Play, isolated: Machine, number: int, for_s: float) -> str:
    """A node is started anew; every other one is told of the isolated controller first."""
    low = (0.1 + 0.25 * number) * for_s
    await asyncio.sleep(draws.uniform(play.seed, "restart", number, low=low, high=low + 0.15 * for_s))
    some = live(play)
    node = play.nodes[some[int(draws.uniform(play.seed, "restarted", number, high=len(some)))].name]
    node.first_seed = isolated if number % 2 == 0 else None
    if draws.uniform(play.seed, "told", number) < TELL:
        await node.stop()
    else:
        node.kill()
        await node.gone()
    await node.start()
    return node.machine.name + (" (its first seed isolated)" if node.first_seed else "")


async def _rolling_restart(play: Play, isolated: Machine, for_s: float) -> str:
    """All nodes in turn are told to end and started anew, while there is time; every other one is told of the
    isolated controller first.
    """
    until = play.scene.now() + for_s
    restarted = 0
    for number, machine in enumerate(live(play)):
        if play.scene.now() >= until:
            break
        node = play.nodes[machine.name]
        node.first_seed = isolated if number % 2 == 0 else None
        await node.stop()
        await node.start()
        restarted += 1
        await asyncio.sleep(ROLLING_PAUSE_S)
    return f"{restarted} nodes in turn"


async def _release(play: Play, for_s: float) -> str:
    """The servers of one service are replaced one after another, while there is time: each leaves, and
    another one starts at its address.
    """
    until = play.scene.now() + for_s
    replaced = 0
    services = list(dict.fromkeys(machine.service for machine in live(play)))
    service = services[int(draws.uniform(play.seed, "release", high=len(services)))]
    for machine in live(play):
        if machine.service != service or play.scene.now() >= until:
            continue
        server = play.servers[machine.name]
        await server.leave()
        play.servers[machine.name] = server.successor()
        await play.servers[machine.name].start()
        replaced += 1
    return f"{replaced} servers of {service}"


# Calls that may not be repeated


def _broken_pairs(play: Play) -> list[Pair]:
    """One direction, by the seed, of each link between two nodes: requests break off on the connections that
    its sender has dialled, answers on the others.
    """
    names = [machine.name for machine in live(play)]
    found = []
    for n, one in enumerate(names):
        for other in names[n + 1 :]:
            forth = draws.uniform(play.seed, "broken", one, other) < 0.5
            found.append((one, other) if forth else (other, one))
    return found


async def _reset_calls(play: Play, trouble: Trouble) -> str:
    """Servers break off calls that may not be repeated; at first connections between nodes are reset in the
    middle of what they carry, too.
    """
    servers = [server for server in play.servers.values() if not server.closed]
    low, high = BROKEN_CHUNKS
    chunk = low + choose(play, trouble, high - low + 1, "chunk")
    for server in servers:
        server.faulty = True
    try:
        await harm(play, "reset", _broken_pairs(play), Fault(broken_chunk=chunk), trouble.for_s / 2.0)
        await asyncio.sleep(trouble.for_s / 2.0)
    finally:
        for server in servers:
            server.faulty = False
    return f"at {len(servers)} servers; between nodes in chunk {chunk}"


WORST_DEEDS: dict[str, Deed] = {
    "changes": _changes,
    "many-changes": _many_changes,
    "isolate": _isolate,
    "reset-calls": _reset_calls,
    "send-again": _send_again,
}
