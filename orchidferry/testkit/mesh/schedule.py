"""The schedule of a run's actions: the one that the scenario lists, or one generated from the seed."""

from __future__ import annotations

from random import Random

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.day import Day, ScheduledAction
from orchidferry.testkit.mesh.series_schedule import SERIES_FAULTS, series_day

FAULT_DURATIONS_S = {
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
"""The faults that a generated schedule can have before its closing fault, with their durations."""

CLOSING_FAULTS = ("after-ack-kill", "after-ack-wipe")
"""Faults at the end of a schedule, one of which is chosen."""

UNPLANNED = frozenset((*FAULT_DURATIONS_S, *CLOSING_FAULTS, *SERIES_FAULTS, "isolate", "reset-calls"))
"""All actions that are faults rather than planned operations."""

PLANNED_DURATIONS_S = {"change": 3.5, "drain": 6.0}
"""Planned operations with their approximate durations; each occurs once in a schedule with faults."""

FIRST_ACTION_S = 1.0
"""The time from the start of the traffic to the first action."""

CLOSING_BEFORE_END_S = 14.0
"""The time from the closing fault to the end of the traffic."""

RESTART_S = 0.6
"""Approximate time that a process takes to restart."""


def schedule(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """All actions of a run, in order of time.

    An action can start later than scheduled: it waits for the previous one unless `Day.overlapping` is set.

    :param seconds: duration of the traffic
    """
    if day.generated == "soak":
        return _soak_day(day, seed, seconds)
    if day.generated == "series":
        return series_day(day, seed, seconds)
    if day.generated == "worst":
        return _worst_day(day, seed, seconds)
    if day.generated:
        return _with_faults(day, seed, seconds)
    return sorted(day.schedule, key=lambda scheduled: scheduled.at)


def _with_faults(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """Planned operations and as many faults as fit, each fault with time to recover; then a closing fault."""
    rng = Random(seeded_random.integer(seed, "table", day.name))
    faults = rng.sample(sorted(FAULT_DURATIONS_S), len(FAULT_DURATIONS_S))
    remaining_s = seconds - CLOSING_BEFORE_END_S - FIRST_ACTION_S - sum(PLANNED_DURATIONS_S.values())
    chosen: list[str] = []
    for fault in faults:
        duration_s = _duration_s(day, fault)
        if duration_s <= remaining_s:
            chosen.append(fault)
            remaining_s -= duration_s
    order = [*chosen, *PLANNED_DURATIONS_S]
    rng.shuffle(order)
    found = []
    t = FIRST_ACTION_S
    for action in order:
        found.append(ScheduledAction(t / seconds, action, for_s=FAULT_DURATIONS_S.get(action, 0.0)))
        t += _duration_s(day, action)
    closing_at = max(0.0, seconds - CLOSING_BEFORE_END_S) / seconds
    found.append(ScheduledAction(closing_at, rng.choice(CLOSING_FAULTS), for_s=SHORT_S))
    return found


def _duration_s(day: Day, action: str) -> float:
    """The duration of an action in seconds; for a fault including the time to restart and catch up."""
    if action in PLANNED_DURATIONS_S:
        return PLANNED_DURATIONS_S[action]
    return FAULT_DURATIONS_S[action] + RESTART_S + day.bounds.catch_up_s


ISOLATED_S = 20.0
"""For how long controllers are isolated."""

MANY_CHANGES_S = 12.0
"""For how long at most changes are sent in quick succession."""

RESET_CALLS_S = 6.0
WORST_DURATIONS_S = {"isolate": ISOLATED_S, "many-changes": MANY_CHANGES_S, "reset-calls": RESET_CALLS_S}
SHORT_S = 0.5
"""The duration of actions for which no other duration is given."""

WORST_CLOSING_BEFORE_END_S = 20.0
"""The same as `CLOSING_BEFORE_END_S`, for the worst-days scenarios."""

RESEND_BEFORE_END_S = 6.0
"""The time from the final resends of changes to the end of the traffic."""

WORST_BLOCKS = (
    ("isolate",),
    ("replace-planned", "wipe"),
    ("replace", "wipe"),
    ("many-changes",),
    ("reset-calls",),
)
"""Groups of consecutive actions in the worst-days scenarios; the seed determines the order of the groups."""


def _worst_day(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """The schedule of the worst-days scenarios: a stream of changes, and the groups of `WORST_BLOCKS`.

    A replacement is followed by a wipe, with or without time to catch up in between if the replacement was
    planned. A closing fault comes at the end, and changes are resent after it.
    """
    rng = Random(seeded_random.integer(seed, "table", day.name))
    blocks = rng.sample(WORST_BLOCKS, len(WORST_BLOCKS))
    found = [ScheduledAction(FIRST_ACTION_S / seconds, "changes")]
    t = FIRST_ACTION_S + 0.5
    for block in blocks:
        for action in block:
            for_s = WORST_DURATIONS_S.get(action, SHORT_S)
            # The times must differ: random choices of two actions of the same name derive from them.
            found.append(ScheduledAction(t / seconds, action, for_s=for_s))
            t += for_s + RESTART_S
            if action != "replace-planned" or rng.random() < 0.5:
                t += day.bounds.catch_up_s
    found.append(
        ScheduledAction(
            (seconds - WORST_CLOSING_BEFORE_END_S) / seconds, rng.choice(CLOSING_FAULTS), for_s=0.5
        )
    )
    found.append(ScheduledAction((seconds - RESEND_BEFORE_END_S) / seconds, "send-again"))
    return found


RESTARTS_PER_MACHINE_S = 0.12
"""The mean rate of restarts per second in a soak test, for each server."""

MAX_RESTARTS_PER_S = 4.0
"""Upper bound of the mean rate of restarts in a soak test, over all proxies."""

RELOADS_PER_S = 0.5
LAST_RESTART_BEFORE_END_S = 1.0
STOP_CHANGES_BEFORE_END_S = 0.5


def _soak_day(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """The schedule of a soak test: a stream of changes, and proxy restarts and reloads at random times."""
    rng = Random(seeded_random.integer(seed, "table", day.name))
    last_s = seconds - LAST_RESTART_BEFORE_END_S
    restarts_per_s = min(MAX_RESTARTS_PER_S, RESTARTS_PER_MACHINE_S * sum(day.servers))
    found = [ScheduledAction(0.0, "changes")]
    for action, rate in (("restart", restarts_per_s), ("reload", RELOADS_PER_S)):
        t = rng.expovariate(rate)
        while t < last_s:
            found.append(ScheduledAction(t / seconds, action))
            t += rng.expovariate(rate)
    found.append(ScheduledAction((seconds - STOP_CHANGES_BEFORE_END_S) / seconds, "stop-changes"))
    return sorted(found, key=lambda scheduled: scheduled.at)
