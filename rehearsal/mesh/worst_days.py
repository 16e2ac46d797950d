"""Deeds of the worst days: a stream of changes, and controllers that are isolated under it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from rehearsal import draws
from rehearsal.mesh.day import Machine, Trouble
from rehearsal.mesh.deeds import Deed, both, harm, live
from rehearsal.mesh.links import Fault, Pair

if TYPE_CHECKING:
    from rehearsal.mesh.run import Play

RESTARTS = 3  # of nodes, during an isolation
WAYS = ("both ways", "to it", "from it")
TELL = 0.5  # of restarts that begin with SIGTERM in place of a kill


async def _changes(play: Play, trouble: Trouble) -> str:
    """Operators begin to send changes, and go on until the closing loss."""
    play.changes.start()
    return ""


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
    """Controllers are cut off; nodes are started anew meanwhile, some with settings that name these first."""
    machines = _isolated(play, trouble)
    pairs, words = _pairs(play, machines)
    play.changes.isolated = machines
    restarts = [asyncio.ensure_future(_restart(play, machines[0], n, trouble.for_s)) for n in range(RESTARTS)]
    try:
        await harm(play, "cut", pairs, Fault(cut=True), trouble.for_s)
    finally:
        play.changes.isolated = []
        restarted = await asyncio.gather(*restarts)
    return f"{words}; meanwhile new: {', '.join(restarted)}"


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


WORST: dict[str, Deed] = {"changes": _changes, "isolate": _isolate, "send-again": _send_again}
