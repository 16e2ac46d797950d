"""The schedule of a day's actions: as it is written, or drawn by the seed."""

from __future__ import annotations

from random import Random

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.day import Day, ScheduledAction

LOSSES = {
    "kill": 1.0,
    "pause": 2.0,
    "cut": 3.5,
    "cut-one-way": 3.5,
    "slow-link": 3.0,
    "reset-links": 0.6,
    "wipe": 1.0,
    "replace": 0.5,
    "kill-core": 0.5,
}
"""What may be lost in the middle of a drawn day, and for how long, in seconds."""
CLOSING = ("after-ack-kill", "after-ack-wipe")
UNPLANNED = frozenset((*LOSSES, *CLOSING, "isolate", "reset-calls"))
PLANNED = {"change": 3.5, "drain": 6.0}  # each comes once; how long they take, about
# of traffic before the first action, and from the closing one on
BEGIN_S = 1.0
END_S = 14.0
START_S = 0.6  # that a process takes to come back, about


def schedule(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """All actions of a day, in order; they run one after another, so their times are the earliest ones.

    :param seconds: of traffic
    """
    if day.drawn == "worst":
        return _worst(day, seed, seconds)
    if day.drawn:
        return _losses(day, seed, seconds)
    return sorted(day.schedule, key=lambda scheduled: scheduled.at)


def _losses(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """Planned ends and a change among as many losses as have room, each before a calm; a closing loss."""
    rng = Random(draws.number(seed, "table", day.name))
    losses = rng.sample(sorted(LOSSES), len(LOSSES))
    room = seconds - END_S - BEGIN_S - sum(PLANNED.values())
    chosen: list[str] = []
    for loss in losses:
        takes = LOSSES[loss] + START_S + day.bounds.catch_up_s
        if takes <= room:
            chosen.append(loss)
            room -= takes
    order = [*chosen, *PLANNED]
    rng.shuffle(order)
    found = []
    t = BEGIN_S
    for do in order:
        found.append(ScheduledAction(t / seconds, do, for_s=LOSSES.get(do, 0.0)))
        t += PLANNED[do] if do in PLANNED else LOSSES[do] + START_S + day.bounds.catch_up_s
    found.append(ScheduledAction(max(0.0, seconds - END_S) / seconds, rng.choice(CLOSING), for_s=0.5))
    return found


ISOLATED_S = 20.0  # that controllers are cut off
# for which changes are made in a row, at most; and calls are broken off
MANY_S = 12.0
RESET_CALLS_S = 6.0
WORST_S = {"isolate": ISOLATED_S, "many-changes": MANY_S, "reset-calls": RESET_CALLS_S}
SHORT_S = 0.5  # of the other actions
# from the closing loss, from the last resends to the traffic's end
WORST_END_S = 20.0
AGAIN_END_S = 6.0
WORST_BLOCKS = (
    ("isolate",),
    ("replace-planned", "wipe"),
    ("replace", "wipe"),
    ("many-changes",),
    ("reset-calls",),
)


def _worst(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """A stream of changes, and under it, in an order of the seed's, an isolation, replacements with a loss
    right after each, hundreds of changes, calls broken off; a closing loss; orders sent again after it.
    """
    rng = Random(draws.number(seed, "table", day.name))
    blocks = rng.sample(WORST_BLOCKS, len(WORST_BLOCKS))
    found = [ScheduledAction(BEGIN_S / seconds, "changes")]
    t = BEGIN_S + 0.5
    for block in blocks:
        for do in block:
            for_s = WORST_S.get(do, SHORT_S)
            # Distinct times tell two actions of one kind apart, in what they draw.
            found.append(ScheduledAction(t / seconds, do, for_s=for_s))
            t += for_s + START_S
            if do != "replace-planned" or rng.random() < 0.5:
                t += day.bounds.catch_up_s
    found.append(ScheduledAction((seconds - WORST_END_S) / seconds, rng.choice(CLOSING), for_s=0.5))
    found.append(ScheduledAction((seconds - AGAIN_END_S) / seconds, "send-again"))
    return found
