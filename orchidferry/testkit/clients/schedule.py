"""The arrivals of the open-loop load, drawn before the run from its seed. Free of I/O.

Arrivals are a Poisson process with a rate that follows the load's shape, drawn by thinning (Lewis and
Shedler, 1979), or evenly spaced. They do not depend on the outcome of earlier requests.
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

HIGH_PHASE_FRACTION = 0.3  # fraction of a period in which a bursty load is above its mean
ZIPF_EXPONENT = 0.9  # exponent of the Zipf distribution of the objects' popularity
EVEN_STEPS_PER_ARRIVAL = 8.0  # integration steps per arrival when the rate is integrated numerically
# An impatient client abandons an attempt after a fraction of its timeout between these bounds.
MIN_ABANDONED_FRACTION = 0.02
MAX_ABANDONED_FRACTION = 0.6


@dataclass(frozen=True, slots=True)
class Arrival:
    """A client request: its due time, and the client's behaviour for all attempts."""

    t: float  # when the first attempt is due, in seconds since the load began
    root: str  # id that the ids of all attempts begin with
    cls: Class
    object: int  # index of the requested object
    attempt_timeout_s: float
    honours_retry_after: bool
    retries_unsafe: bool  # the client retries even if the failed attempt may have been executed


def rate_at(plan: Plan, t: float) -> float:
    """The target rate of the load at `t`.

    :param t: seconds since the load began
    :returns: first attempts per second
    """
    load = plan.scenario.load
    rate = load.rate
    if load.shape == "bursty":
        is_high = (t / load.period_s) % 1.0 < HIGH_PHASE_FRACTION
        # The rate is above the mean for a short phase and below it for the rest, so that the mean stays.
        rate *= (
            1.0 + load.swing
            if is_high
            else 1.0 - load.swing * HIGH_PHASE_FRACTION / (1.0 - HIGH_PHASE_FRACTION)
        )
    elif load.shape == "ramp":
        rate *= 1.0 - load.swing + 2.0 * load.swing * t / plan.scenario.length_s
    for start, end, factor in plan.bursts:
        if start <= t < end:
            rate *= factor
    return rate


def arrival_times(plan: Plan) -> Iterator[float]:
    """Generate the times of all arrivals.

    :returns: times in seconds since the load began, in ascending order
    """
    load = plan.scenario.load
    length_s = plan.scenario.length_s
    factor = math.prod(max(1.0, burst[2]) for burst in plan.bursts)
    max_rate = load.rate * (1.0 + load.swing) * factor
    rng = seeded_random.generator(plan.scenario.seed, "arrivals")
    t = 0.0
    expected = 0.0  # integral of the rate since the last arrival
    while True:
        if load.arrivals == "even":
            # There is one arrival each time the integral of the rate reaches an integer.
            step = 1.0 / max_rate / EVEN_STEPS_PER_ARRIVAL
            while expected < 1.0 and t < length_s:
                expected += rate_at(plan, t) * step
                t += step
            expected -= 1.0
        else:
            t += rng.expovariate(max_rate)
        if t >= length_s:
            return
        if load.arrivals == "even" or rng.random() * max_rate < rate_at(plan, t):
            yield t


def arrivals(plan: Plan) -> list[Arrival]:
    """Draw all client requests of a run.

    :returns: the arrivals, in ascending order of time
    """
    scenario = plan.scenario
    clients = scenario.clients
    seed = scenario.seed
    classes = scenario.classes
    bounds = list(itertools.accumulate(cls.share for cls in classes))
    weights = list(itertools.accumulate((n + 1) ** -ZIPF_EXPONENT for n in range(scenario.load.objects)))
    result = []
    for number, t in enumerate(arrival_times(plan)):
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
                attempt_timeout_s=cls.gives_up_s
                * seeded_random.uniform(seed, "try", number, low=low, high=high),
                honours_retry_after=seeded_random.uniform(seed, "honours", number) < clients.honour,
                retries_unsafe=seeded_random.uniform(seed, "again", number) < clients.unsafe_again,
            )
        )
    return result


def abandoned_after(clients: Clients, seed: int, attempt_id: str, timeout_s: float) -> float | None:
    """Draw when an impatient client abandons an attempt.

    :param timeout_s: the attempt's timeout in seconds
    :returns: seconds from the start of the attempt; None if the client waits for the timeout
    """
    if seeded_random.uniform(seed, "impatient", attempt_id) >= clients.impatient:
        return None
    fraction = seeded_random.uniform(
        seed, "leaves", attempt_id, low=MIN_ABANDONED_FRACTION, high=MAX_ABANDONED_FRACTION
    )
    return timeout_s * fraction
