"""Moves between two pools in virtual time: how often a sound one is undone, how soon a broken one.

A stream of requests of some classes; each goes to the new pool with the move's share, and has a failure or a
time by what its pool is. Bursts double the rate and the times for a while; an incident strikes both pools.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from orchidferry.balancing.moves import Move, Plan, RareClasses, State

SHARES = {"ler-feed": 0.80, "salvar-episodio": 0.17, "repasse-socio": 0.03}
WORTH = {"ler-feed": 1.0, "salvar-episodio": 2.0, "repasse-socio": 8.0}
MEAN_MS = {"ler-feed": 60.0, "salvar-episodio": 120.0, "repasse-socio": 200.0}
SIGMA = 0.6  # of the logarithm of times


@dataclass(frozen=True, slots=True)
class Pool:
    """How a pool behaves, by class where that is not all the same."""

    fails: float = 0.005
    factor: float = 1.0  # on times
    fails_of: dict[str, float] = field(default_factory=dict)
    chokes_at: float = 2.0  # share from which it fails half
    quick_errors: bool = False
    cold_s: float = 0.0  # slower by four times for so long after it got its first request


@dataclass(frozen=True, slots=True)
class World:
    """A move under load."""

    new: Pool = Pool()
    old: Pool = Pool()
    rate: float = 100.0  # requests a second at one node
    length_s: float = 1_800.0
    bursts: bool = True
    incident_s: tuple[float, float] | None = None  # in both: a third fails
    seed: int = 1


@dataclass
class Outcome:
    """What became of a move."""

    state: State
    why: str
    at_s: float  # when it ended, or was undone
    carried: float  # worth that went to the new pool until then, over all worth of the whole time
    carried_then: float  # over all worth until then
    harm: float  # worth that failed there


def run(world: World, plan: Plan | None = None) -> Outcome:
    """One move from its start to its end, or to the end of the time."""
    plan = plan or Plan(tuple(SHARES), rare=RareClasses.LAST)
    move = Move(plan)
    rng = random.Random(world.seed)
    classes = list(SHARES)
    weights = list(SHARES.values())
    t = next_tick = carried = worth = harm = 0.0
    began_s: float | None = None
    burst = (rng.uniform(0, 60), rng.uniform(5, 20)) if world.bursts else (math.inf, 0.0)
    mean = sum(SHARES[name] * WORTH[name] for name in classes)
    move_from = 20.0  # the old pool has a past by then
    while t < world.length_s:
        bursting = burst[0] <= t < burst[0] + burst[1]
        if t >= burst[0] + burst[1]:
            burst = (t + rng.expovariate(1 / 120.0), rng.uniform(5, 20))
        t += rng.expovariate(world.rate * (2.0 if bursting else 1.0))
        if t >= next_tick:
            next_tick = t + 0.25
            if t >= move_from:
                move.start(t * 1000.0)
            move.tick(t * 1000.0)
        if move.state in (State.DONE, State.FAILED, State.ROLLING_BACK):
            break
        cls = rng.choices(classes, weights)[0]
        worth += WORTH[cls]
        share = move.share(cls)
        new = rng.random() < share
        pool = world.new if new else world.old
        if new and began_s is None:
            began_s = t
        fails = pool.fails_of.get(cls, pool.fails)
        if world.incident_s is not None and world.incident_s[0] <= t < world.incident_s[1]:
            fails = max(fails, 0.33)
        if new and share >= pool.chokes_at:
            fails = max(fails, 0.5)
        failed = rng.random() < fails
        cold = new and began_s is not None and t - began_s < pool.cold_s
        took = MEAN_MS[cls] * pool.factor * (4.0 if cold else 1.0) * (1.5 if bursting else 1.0)
        took *= math.exp(rng.gauss(0.0, SIGMA))
        if failed and pool.quick_errors:
            took = 1.0
        if new:
            carried += WORTH[cls]
            harm += WORTH[cls] * failed
        move.ended(cls, new, failed, took, t * 1000.0)
    all_worth = mean * world.rate * world.length_s
    return Outcome(move.state, move.reason, t, carried / all_worth, carried / max(worth, 1e-9), harm)
