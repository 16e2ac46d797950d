"""Deeds on links between machines: cuts, delays, resets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.day import Trouble
from orchidferry.testkit.mesh.deeds import Deed, choose, live, machine_of
from orchidferry.testkit.mesh.facts import LinkFault
from orchidferry.testkit.mesh.relay import SOUND, Fault, Pair

if TYPE_CHECKING:
    from orchidferry.testkit.mesh.run import Play

DELAY_S = 0.02, 0.4  # of slow links, each way
RESETS = 3
RESET_EVERY_S = 0.25


def _links(play: Play, trouble: Trouble) -> tuple[list[Pair], str]:
    """Links as directions away from one machine, and in words: its links to all others, to all
    controllers, or to one controller; never more than one controller is apart from the others."""
    machine = machine_of(play, trouble)
    others = [m for m in (*play.cores, *live(play)) if m.name != machine.name]
    controllers = [m for m in play.cores if m.name != machine.name]
    shape = 0 if trouble.whom else choose(play, trouble, 3, "shape")
    if shape == 2:
        controllers = [controllers[choose(play, trouble, len(controllers), "other")]]
    far = others if shape == 0 else controllers
    to = "all" if shape == 0 else " ".join(m.name for m in far)
    return [(machine.name, m.name) for m in far], f"{machine.name} from {to}"


def both(pairs: list[Pair]) -> list[Pair]:
    """The same links in both directions."""
    return [*pairs, *((there, here) for here, there in pairs)]


async def harm(play: Play, what: str, pairs: list[Pair], fault: Fault, for_s: float) -> None:
    """These links are harmed for a while."""
    now = play.scene.now()
    harm = LinkFault(now, now + for_s, what, pairs)
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
    await harm(play, "cut", both(pairs), Fault(cut=True), trouble.for_s)
    return words


async def _cut_one_way(play: Play, trouble: Trouble) -> str:
    """Links are cut one way, by the seed to the machine or from it."""
    pairs, words = _links(play, trouble)
    to = choose(play, trouble, 2, "way") == 0
    if to:
        pairs = [(there, here) for here, there in pairs]
    await harm(play, "cut", pairs, Fault(cut=True), trouble.for_s)
    return f"{words}, {'to' if to else 'from'} it"


async def _slow_link(play: Play, trouble: Trouble) -> str:
    """Links are late, each way."""
    pairs, words = _links(play, trouble)
    low, high = DELAY_S
    late = draws.uniform(play.seed, "late", f"{trouble.at:.4f}", low=low, high=high)
    await harm(play, "slow", both(pairs), Fault(delay_s=late), trouble.for_s)
    return f"{words}, {late * 1000.0:.0f} ms"


async def _reset_links(play: Play, trouble: Trouble) -> str:
    """All connections are reset, some times in a row."""
    pairs, words = _links(play, trouble)
    for n in range(RESETS):
        now = play.scene.now()
        play.scene.note(LinkFault(now, now, "reset", both(pairs)))
        play.links.reset(pairs)
        if n < RESETS - 1:
            await asyncio.sleep(RESET_EVERY_S)
    return words


LINK_DEEDS: dict[str, Deed] = {
    "cut": _cut,
    "cut-one-way": _cut_one_way,
    "slow-link": _slow_link,
    "reset-links": _reset_links,
}
