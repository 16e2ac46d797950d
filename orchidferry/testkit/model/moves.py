"""Simulates moves between two pools in virtual time.

It shows how often the move to a healthy pool is rolled back, and how soon the move to a broken pool is.
Requests of several classes arrive; each goes to the new pool with the probability that the move sets, and its
failure and response time follow that pool's behaviour. Bursts double the request rate and lengthen the
response times for a while; an incident raises the failure rate of both pools.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from orchidferry.balancing.moves import Move, Plan, RareClasses, State

# Parameters by request class.
CLASS_PROPORTIONS = {"ler-feed": 0.80, "salvar-episodio": 0.17, "repasse-socio": 0.03}
CLASS_VALUES = {"ler-feed": 1.0, "salvar-episodio": 2.0, "repasse-socio": 8.0}
CLASS_MEDIAN_MS = {"ler-feed": 60.0, "salvar-episodio": 120.0, "repasse-socio": 200.0}
TIME_SIGMA = 0.6  # standard deviation of the logarithm of response times
MOVE_START_S = 20.0  # by this time the old pool has a history
TICK_INTERVAL_S = 0.25
BURST_DELAY_S = (0.0, 60.0)  # range of the start of the first burst
BURST_LENGTH_S = (5.0, 20.0)  # range of a burst's length
BURST_MEAN_INTERVAL_S = 120.0  # mean time from the end of a burst to the next
BURST_RATE_FACTOR = 2.0
BURST_TIME_FACTOR = 1.5
WARMUP_TIME_FACTOR = 4.0
INCIDENT_FAILURE_RATE = 0.33
OVERLOAD_FAILURE_RATE = 0.5
FAST_FAILURE_MS = 1.0
FINAL_STATES = (State.DONE, State.FAILED, State.ROLLING_BACK)


@dataclass(frozen=True, slots=True)
class PoolBehaviour:
    """How a pool behaves.

    :ivar failure_rate: fraction of requests that fail, for classes without a rate of their own
    :ivar time_factor: factor on response times
    :ivar failure_rates: failure rates by request class
    :ivar overload_share: share of the requests at and above which half of the pool's requests fail
    :ivar fast_failures: whether failures are answered immediately
    :ivar warmup_s: period after its first request in which the pool is slower
    """

    failure_rate: float = 0.005
    time_factor: float = 1.0
    failure_rates: dict[str, float] = field(default_factory=dict)
    overload_share: float = 2.0
    fast_failures: bool = False
    warmup_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """A move under load.

    :ivar new_pool: behaviour of the pool to which requests are moved
    :ivar old_pool: behaviour of the pool from which requests are moved
    :ivar requests_per_s: mean request rate at one node
    :ivar duration_s: time after which the simulation ends, even if the move has not
    :ivar bursts: whether there are bursts
    :ivar incident_s: begin and end of an incident, in which a third of the requests fail in both pools
    :ivar seed: seed of the random choices
    """

    new_pool: PoolBehaviour = PoolBehaviour()
    old_pool: PoolBehaviour = PoolBehaviour()
    requests_per_s: float = 100.0
    duration_s: float = 1_800.0
    bursts: bool = True
    incident_s: tuple[float, float] | None = None
    seed: int = 1


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of a move.

    :ivar state: final state of the move
    :ivar reason: why it is in this state
    :ivar ended_s: virtual time at which it was completed or rolled back
    :ivar moved_fraction: value of the requests that the new pool got until `ended_s`, relative to the
        expected value of all requests of the whole scenario
    :ivar moved_fraction_until_end: the same, relative to the value of all requests until `ended_s`
    :ivar failed_value: value of the requests that failed in the new pool
    """

    state: State
    reason: str
    ended_s: float
    moved_fraction: float
    moved_fraction_until_end: float
    failed_value: float


class _Bursts:
    """Random periods with a higher request rate and longer response times."""

    def __init__(self, rng: random.Random, enabled: bool) -> None:
        self._rng = rng
        self._begin_s = rng.uniform(*BURST_DELAY_S) if enabled else math.inf
        self._end_s = self._begin_s + (rng.uniform(*BURST_LENGTH_S) if enabled else 0.0)

    def active(self, now_s: float) -> bool:
        """Return whether there is a burst now; after the end of a burst, draw the next one."""
        active = self._begin_s <= now_s < self._end_s
        if now_s >= self._end_s:
            self._begin_s = now_s + self._rng.expovariate(1 / BURST_MEAN_INTERVAL_S)
            self._end_s = self._begin_s + self._rng.uniform(*BURST_LENGTH_S)
        return active


class _Simulation:
    """One move under load, request by request."""

    def __init__(self, scenario: Scenario, plan: Plan) -> None:
        self._scenario = scenario
        self._move = Move(plan)
        self._rng = random.Random(scenario.seed)
        self._bursts = _Bursts(self._rng, scenario.bursts)
        self._now_s = 0.0
        self._next_tick_s = 0.0
        self._first_moved_s: float | None = None  # when the new pool got its first request
        self._value = 0.0  # value of all requests until now
        self._moved_value = 0.0
        self._failed_value = 0.0

    def run(self) -> Outcome:
        """Run until the move or the scenario has ended."""
        classes = list(CLASS_PROPORTIONS)
        weights = list(CLASS_PROPORTIONS.values())
        while self._now_s < self._scenario.duration_s:
            burst = self._bursts.active(self._now_s)
            rate_factor = BURST_RATE_FACTOR if burst else 1.0
            self._now_s += self._rng.expovariate(self._scenario.requests_per_s * rate_factor)
            self._tick()
            if self._move.state in FINAL_STATES:
                break
            self._request(self._rng.choices(classes, weights)[0], burst)
        return self._outcome()

    def _tick(self) -> None:
        if self._now_s < self._next_tick_s:
            return
        self._next_tick_s = self._now_s + TICK_INTERVAL_S
        if self._now_s >= MOVE_START_S:
            self._move.start(self._now_s * 1000.0)
        self._move.tick(self._now_s * 1000.0)

    def _request(self, class_name: str, burst: bool) -> None:
        value = CLASS_VALUES[class_name]
        self._value += value
        share = self._move.share(class_name)
        moved = self._rng.random() < share
        pool = self._scenario.new_pool if moved else self._scenario.old_pool
        if moved and self._first_moved_s is None:
            self._first_moved_s = self._now_s
        failed = self._rng.random() < self._failure_rate(pool, class_name, share if moved else None)
        time_ms = self._time_ms(pool, class_name, moved, burst)
        if failed and pool.fast_failures:
            time_ms = FAST_FAILURE_MS
        if moved:
            self._moved_value += value
            self._failed_value += value * failed
        self._move.record_outcome(class_name, moved, failed, time_ms, self._now_s * 1000.0)

    def _failure_rate(self, pool: PoolBehaviour, class_name: str, share: float | None) -> float:
        """Return the current failure rate of a pool.

        :param share: share of the requests that the new pool gets; None for the old pool
        """
        rate = pool.failure_rates.get(class_name, pool.failure_rate)
        incident_s = self._scenario.incident_s
        if incident_s is not None and incident_s[0] <= self._now_s < incident_s[1]:
            rate = max(rate, INCIDENT_FAILURE_RATE)
        if share is not None and share >= pool.overload_share:
            rate = max(rate, OVERLOAD_FAILURE_RATE)
        return rate

    def _time_ms(self, pool: PoolBehaviour, class_name: str, moved: bool, burst: bool) -> float:
        begin_s = self._first_moved_s
        warming_up = moved and begin_s is not None and self._now_s - begin_s < pool.warmup_s
        time_ms = CLASS_MEDIAN_MS[class_name] * pool.time_factor
        time_ms *= WARMUP_TIME_FACTOR if warming_up else 1.0
        time_ms *= BURST_TIME_FACTOR if burst else 1.0
        return time_ms * math.exp(self._rng.gauss(0.0, TIME_SIGMA))

    def _outcome(self) -> Outcome:
        mean_value = sum(CLASS_PROPORTIONS[name] * CLASS_VALUES[name] for name in CLASS_PROPORTIONS)
        expected_value = mean_value * self._scenario.requests_per_s * self._scenario.duration_s
        return Outcome(
            self._move.state,
            self._move.reason,
            self._now_s,
            self._moved_value / expected_value,
            self._moved_value / max(self._value, 1e-9),
            self._failed_value,
        )


def simulate_move(scenario: Scenario, plan: Plan | None = None) -> Outcome:
    """Simulate one move from its start to its end, or to the end of the scenario.

    :param plan: plan of the move; None for one that moves all classes, the rare ones last
    """
    return _Simulation(scenario, plan or Plan(tuple(CLASS_PROPORTIONS), rare=RareClasses.LAST)).run()
