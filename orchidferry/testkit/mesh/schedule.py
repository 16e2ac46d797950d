"""The schedule of a day's actions: as it is written, or drawn by the seed."""

from __future__ import annotations

from random import Random

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.day import Day, ScheduledAction

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
"""What may be lost in the middle of a drawn day, and for how long, in seconds."""

CLOSING_FAULTS = ("after-ack-kill", "after-ack-wipe")
UNPLANNED = frozenset((*FAULT_DURATIONS_S, *CLOSING_FAULTS, "isolate", "reset-calls"))
PLANNED_DURATIONS_S = {"change": 3.5, "drain": 6.0}
"""How long planned work takes, about, in seconds; each comes once."""

FIRST_ACTION_S = 1.0
"""From the start of the traffic to the first action."""

CLOSING_BEFORE_END_S = 14.0
"""From the closing fault to the end of the traffic."""

RESTART_S = 0.6
"""What a process takes to come back, about."""


def schedule(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """All actions of a day, in order; they run one after another, so their times are the earliest ones.

    :param seconds: of traffic
    """
    if day.drawn == "soak":
        return _soak_day(day, seed, seconds)
    if day.drawn == "worst":
        return _worst_day(day, seed, seconds)
    if day.drawn:
        return _with_faults(day, seed, seconds)
    return sorted(day.schedule, key=lambda scheduled: scheduled.at)


def _with_faults(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """Planned work among as many faults as there is time for, each before a calm; a closing fault."""
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
    """How long an action takes; for a fault with the time to restart and to catch up."""
    if action in PLANNED_DURATIONS_S:
        return PLANNED_DURATIONS_S[action]
    return FAULT_DURATIONS_S[action] + RESTART_S + day.bounds.catch_up_s


ISOLATED_S = 20.0
"""How long controllers are isolated."""

MANY_CHANGES_S = 12.0
"""How long changes are made in a row, at most."""

RESET_CALLS_S = 6.0
WORST_DURATIONS_S = {"isolate": ISOLATED_S, "many-changes": MANY_CHANGES_S, "reset-calls": RESET_CALLS_S}
SHORT_S = 0.5
"""The duration of the other actions."""

WORST_CLOSING_BEFORE_END_S = 20.0
RESEND_BEFORE_END_S = 6.0
"""From the last resends to the end of the traffic."""

WORST_BLOCKS = (
    ("isolate",),
    ("replace-planned", "wipe"),
    ("replace", "wipe"),
    ("many-changes",),
    ("reset-calls",),
)


def _worst_day(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """A stream of changes, and under it in an order by the seed what else goes wrong.

    That is an isolation, replacements with a loss right after each, hundreds of changes, calls broken off.
    Then comes a closing fault, and changes are sent again after it.
    """
    rng = Random(seeded_random.integer(seed, "table", day.name))
    blocks = rng.sample(WORST_BLOCKS, len(WORST_BLOCKS))
    found = [ScheduledAction(FIRST_ACTION_S / seconds, "changes")]
    t = FIRST_ACTION_S + 0.5
    for block in blocks:
        for action in block:
            for_s = WORST_DURATIONS_S.get(action, SHORT_S)
            # Distinct times tell two actions of one kind apart, in what they draw.
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
"""Of a soak: how often a second a proxy is restarted, about."""

MAX_RESTARTS_PER_S = 4.0
RELOADS_PER_S = 0.5
LAST_RESTART_BEFORE_END_S = 1.0
STOP_CHANGES_BEFORE_END_S = 0.5


def _soak_day(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """A stream of changes, and over all of it restarts of proxies and reloads at times by the seed."""
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
