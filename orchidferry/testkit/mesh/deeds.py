"""What a day's deeds share: whom a trouble strikes, drawn by the seed where it names nobody.

A deed does what a line of a day's table names, and returns whom it was done to. One that harms ends its harm
itself, come what may. Deeds are in the modules named `..._deeds` and in `worst_days`.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.day import Machine, Trouble

if TYPE_CHECKING:
    from orchidferry.testkit.mesh.processes import Node
    from orchidferry.testkit.mesh.run import Play

# numbers of versions; they climb in uneven steps
FIRST = 3
SECOND = 7
LOSER = 8
SPOILT = 11
LAST = 19

Deed = Callable[["Play", Trouble], Awaitable[str]]


def choose(play: Play, trouble: Trouble, count: int, *what: str) -> int:
    """A number below `count` by the seed."""
    return int(draws.uniform(play.seed, "whom", trouble.do, f"{trouble.at:.4f}", *what, high=count))


def live(play: Play) -> list[Machine]:
    """Sidecar machines that have not left."""
    return [m for m in play.sidecars if m.name not in play.platform.gone]


def machine_of(play: Play, trouble: Trouble) -> Machine:
    """The one that is named; else a controller's in three cases of four, or another."""
    if trouble.whom:
        return play.nodes[trouble.whom].machine
    some = play.cores if choose(play, trouble, 4, "role") else live(play)
    return some[choose(play, trouble, len(some))]


def controller_of(play: Play, trouble: Trouble) -> Node:
    """The controller that is named, or one by the seed."""
    if trouble.whom:
        return play.nodes[trouble.whom]
    return play.nodes[play.cores[choose(play, trouble, len(play.cores))].name]


def controllers_to_lose(play: Play, trouble: Trouble) -> list[Node]:
    """Some controllers by the seed, no more than may be lost at once."""
    if trouble.whom:
        return [play.nodes[name] for name in trouble.whom.split()]
    count = 1 + choose(play, trouble, play.day.tolerance, "count")
    first = choose(play, trouble, len(play.cores))
    return [play.nodes[play.cores[(first + n) % len(play.cores)].name] for n in range(count)]
