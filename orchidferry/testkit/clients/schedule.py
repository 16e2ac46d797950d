"""Who asks what when: the open loop's arrivals, drawn ahead from the seed. Free of I/O.

Arrivals are a Poisson process whose rate follows the load's shape, by thinning (Lewis and Shedler, 1979):
they come when they come, whatever became of those before them.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections.abc import Iterator
from dataclasses import dataclass

from orchidferry.testkit import seeded_random
from orchidferry.testkit.scenario import Class, Clients
from orchidferry.testkit.world.plan import Plan

BURST_SHARE = 0.3  # of a period that a bursty load spends above its mean
ZIPF = 0.9  # exponent of the objects' popularity


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client's first try, and all that is drawn for it and its retries."""

    t: float  # seconds from the start of the load
    root: str
    cls: Class
    object: int
    try_s: float  # how long each try is waited for
    honours: bool  # keeps to Retry-After
    again: bool  # asks for an unsafe one again after a failure that promises nothing


def rate_at(plan: Plan, t: float) -> float:
    """First tries a second that are meant at a time."""
    load = plan.scenario.load
    rate = load.rate
    if load.shape == "bursty":
        high = (t / load.period_s) % 1.0 < BURST_SHARE
        # Above the mean for a short while and below it for the rest, so that the mean stays.
        rate *= 1.0 + load.swing if high else 1.0 - load.swing * BURST_SHARE / (1.0 - BURST_SHARE)
    elif load.shape == "ramp":
        rate *= 1.0 - load.swing + 2.0 * load.swing * t / plan.scenario.length_s
    for start, end, factor in plan.bursts:
        if start <= t < end:
            rate *= factor
    return rate


def times(plan: Plan) -> Iterator[float]:
    """The arrivals' times, in order."""
    load = plan.scenario.load
    length_s = plan.scenario.length_s
    factor = math.prod(max(1.0, burst[2]) for burst in plan.bursts)
    most = load.rate * (1.0 + load.swing) * factor
    rng = seeded_random.generator(plan.scenario.seed, "arrivals")
    t = owed = 0.0
    while True:
        if load.arrivals == "even":
            # One each time the integral of the rate passes a whole number.
            step = 1.0 / most / 8.0
            while owed < 1.0 and t < length_s:
                owed += rate_at(plan, t) * step
                t += step
            owed -= 1.0
        else:
            t += rng.expovariate(most)
        if t >= length_s:
            return
        if load.arrivals == "even" or rng.random() * most < rate_at(plan, t):
            yield t


def arrivals(plan: Plan) -> list[Arrival]:
    """All first tries of a run, in order of time."""
    scenario = plan.scenario
    clients = scenario.clients
    seed = scenario.seed
    classes = scenario.classes
    bounds = list(itertools.accumulate(cls.share for cls in classes))
    weights = list(itertools.accumulate((n + 1) ** -ZIPF for n in range(scenario.load.objects)))
    result = []
    for number, t in enumerate(times(plan)):
        root = f"r{number}"
        point = seeded_random.uniform(seed, "class", number, high=bounds[-1])
        cls = classes[min(bisect.bisect_right(bounds, point), len(classes) - 1)]
        obj = bisect.bisect_right(weights, seeded_random.uniform(seed, "object", number, high=weights[-1]))
        low, high = clients.try_share
        result.append(
            Arrival(
                t=t,
                root=root,
                cls=cls,
                object=min(obj, len(weights) - 1),
                try_s=cls.gives_up_s * seeded_random.uniform(seed, "try", number, low=low, high=high),
                honours=seeded_random.uniform(seed, "honours", number) < clients.honour,
                again=seeded_random.uniform(seed, "again", number) < clients.unsafe_again,
            )
        )
    return result


def leaves_after(clients: Clients, seed: int, id: str, try_s: float) -> float | None:
    """When an impatient client leaves a try, or None if it waits."""
    if seeded_random.uniform(seed, "impatient", id) >= clients.impatient:
        return None
    return try_s * seeded_random.uniform(seed, "leaves", id, low=0.02, high=0.6)
