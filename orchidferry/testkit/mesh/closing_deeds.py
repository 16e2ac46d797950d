"""Deeds that close a day: a loss right after a configuration was acknowledged."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.configuration import build
from orchidferry.testkit.mesh.day import Trouble
from orchidferry.testkit.mesh.deeds import LAST, Deed, choose, controllers_to_lose, live
from orchidferry.testkit.mesh.process_deeds import kill_all

if TYPE_CHECKING:
    from orchidferry.testkit.mesh.run import Play

ALONE = 0.5  # of closing wipes: the other controllers go on; else all are killed at once


async def _acknowledged(play: Play) -> bool:
    """A configuration on top of what is read, its routes those of the first; whether it was acknowledged."""
    await play.changes.stop()
    base = await play.operator.newest(5.0)
    if base is None:
        return False
    number = max(LAST, play.changes.next_number())
    put = await play.operator.put(build(play.day, play.seed, number, False), base, True, 8.0)
    return put.acked is not None


async def _after_ack_kill(play: Play, trouble: Trouble) -> str:
    """Every process of all machines is killed; by the seed those of the core alone."""
    acked = await _acknowledged(play)
    names = [m.name for m in (play.cores if choose(play, trouble, 3) == 0 else (*play.cores, *live(play)))]
    done = await kill_all(play, [play.nodes[name] for name in names], trouble.for_s)
    return done if acked else f"{done} (nothing was acknowledged)"


async def _after_ack_wipe(play: Play, trouble: Trouble) -> str:
    """Controllers lose their disks; by the seed all others are killed too."""
    acked = await _acknowledged(play)
    wiped = controllers_to_lose(play, trouble)
    alone = draws.uniform(play.seed, "alone") < ALONE
    nodes = wiped if alone else [play.nodes[m.name] for m in play.cores]
    done = await kill_all(play, nodes, trouble.for_s, wiped)
    return done if acked else f"{done} (nothing was acknowledged)"


CLOSING_DEEDS: dict[str, Deed] = {"after-ack-kill": _after_ack_kill, "after-ack-wipe": _after_ack_wipe}
