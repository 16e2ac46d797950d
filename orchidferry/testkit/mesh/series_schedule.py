"""The schedule of the scenario `mesh-series`: faults and planned work in series that overlap, under changes.

Every zone has proxies that receive configurations over another proxy. Proxies are restarted, reloaded,
killed, paused and slowed at random times. Controllers are struck one at a time, some several times in a row,
and each has `catch_up_s` to recover. At the end one controller loses its disk while all other machines lose
power, just `catch_up_s` after the last one was back.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import replace
from random import Random

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.day import Day, ScheduledAction

CONTROLLER_FAULTS_S = {
    "kill-controller": (0.3, 6.0),
    "pause-controller": (0.5, 4.0),
    "fill-disk": (2.0, 5.0),
    "fill-disk-then-kill": (2.0, 4.0),
    "wipe": (0.3, 2.0),
    "replace": (0.3, 2.0),
    "replace-late": (0.3, 2.0),
    "replace-planned": (0.0, 0.0),
}
"""The faults of controllers, and the bounds of their durations."""

DOWN_AFTER_FULL_DISK_S = 5.0
"""How long a controller is down that is killed as soon as another one's disk has room again."""

PROXY_RATES_PER_S = {
    "restart": 0.25,
    "reload": 0.25,
    "kill-proxy": 0.12,
    "pause-proxy": 0.12,
    "slow-proxy": 0.12,
}
"""The mean rates of the actions on proxies, over all of them."""

PROXY_FAULT_S = (0.3, 2.0)
"""The bounds of the duration of a proxy's fault."""

LAST_FAULTS = ("kill-controller", "replace-late", "wipe")
"""The last fault of a controller before the closing fault, which follows it as soon as may be."""

CLOSING_FAULT = "after-ack-power-loss"
CLOSING_DOWN_S = 0.5
CLOSING_BEFORE_END_S = 18.0
"""The time from the closing fault to the end of the traffic."""

CALM_BEFORE_CLOSING_S = 3.0
FIRST_FAULT_S = 3.0
LANE = "controllers"
"""The lane of all faults of controllers, so that no more are lost at once than is tolerated."""

SERIES_FAULTS = frozenset((*CONTROLLER_FAULTS_S, "kill-proxy", "pause-proxy", "slow-proxy", CLOSING_FAULT))
"""The actions that are faults rather than planned work."""


def series_day(day: Day, seed: int, seconds: float) -> list[ScheduledAction]:
    """All actions of a run, in order of time.

    :param seconds: duration of the traffic
    """
    rng = Random(seeded_random.integer(seed, "table", day.name))
    closing_s = max(0.0, seconds - CLOSING_BEFORE_END_S)
    last_s = closing_s - CALM_BEFORE_CLOSING_S
    found = [ScheduledAction(0.0, "changes")]
    last_fault = _last_fault(day, rng, seconds, closing_s)
    found += [*_controller_faults(day, rng, seconds, last_fault.at * seconds), last_fault]
    for action, rate in PROXY_RATES_PER_S.items():
        t = rng.expovariate(rate)
        while t < last_s:
            found.append(ScheduledAction(t / seconds, action, for_s=rng.uniform(*PROXY_FAULT_S)))
            t += rng.expovariate(rate)
    found.append(ScheduledAction(closing_s / seconds, CLOSING_FAULT, for_s=CLOSING_DOWN_S, lane=LANE))
    return sorted(found, key=lambda scheduled: scheduled.at)


def _controller_faults(day: Day, rng: Random, seconds: float, last_s: float) -> list[ScheduledAction]:
    found = []
    t = FIRST_FAULT_S
    while t < last_s:
        fault = _controller_fault(rng, sorted(CONTROLLER_FAULTS_S), t / seconds)
        t += _longest_s(day, fault) + day.bounds.catch_up_s
        if t < last_s:
            found.append(fault)
    return found


def _controller_fault(rng: Random, actions: Sequence[str], at: float) -> ScheduledAction:
    action = rng.choice(actions)
    return ScheduledAction(at, action, for_s=rng.uniform(*CONTROLLER_FAULTS_S[action]), lane=LANE)


def _last_fault(day: Day, rng: Random, seconds: float, closing_s: float) -> ScheduledAction:
    """The last fault before the closing one: the machine is back `catch_up_s` before that."""
    fault = _controller_fault(rng, LAST_FAULTS, 0.0)
    return replace(fault, at=(closing_s - day.bounds.catch_up_s - _longest_s(day, fault)) / seconds)


def _longest_s(day: Day, fault: ScheduledAction) -> float:
    """The longest time that a fault of a controller takes."""
    if fault.action == "replace-planned":  # the old one ends `catch_up_s` after the new one's start
        return day.bounds.catch_up_s + day.bounds.grace_s
    if fault.action == "replace":
        return fault.for_s + day.bounds.grace_s
    if fault.action == "fill-disk-then-kill":
        return fault.for_s + DOWN_AFTER_FULL_DISK_S
    return fault.for_s
