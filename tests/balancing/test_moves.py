"""Moves between pools: the statistical tests, steps, rollbacks and operators' commands."""

from __future__ import annotations

import math
import random

import pytest

from orchidferry.balancing.moves import Move, Plan, RareClasses, State
from orchidferry.balancing.sequential_tests import NonInferiorityTest, WorseTest
from orchidferry.testkit.model.moves import PoolBehaviour, Scenario, simulate_move

PLAN = Plan(("a", "b"), steps=(0.05, 0.5, 1.0), step_ms=1_000.0, rare_ms=10_000.0)


@pytest.mark.parametrize(("rate", "share"), [(0.01, 0.1), (0.1, 0.5), (0.3, 0.02)])
def test_equal_streams_are_rarely_judged_worse_however_often_they_are_tested(
    rate: float, share: float
) -> None:
    rng = random.Random(5)
    alarms = 0
    for _ in range(200):
        worse = WorseTest()
        for _ in range(1_000):
            bad = rng.random() < rate
            (worse.record_new if rng.random() < share else worse.record_old)(bad)
        alarms += worse.max_value >= math.log(20.0)
    assert alarms <= 200 * 0.05 * 1.8  # the level of 5 % plus three standard deviations of the binomial


@pytest.mark.parametrize(("rate", "expected"), [(0.0, True), (0.02, True), (0.1, False), (0.3, False)])
def test_a_rate_at_or_above_its_bound_is_rarely_shown_to_be_below(rate: float, expected: bool) -> None:
    rng = random.Random(6)
    count = 0
    for _ in range(100):
        test = NonInferiorityTest()
        for _ in range(400):
            test.record_new(rng.random() < rate, 0.1)
        count += test.max_value >= math.log(20.0)
    assert count >= 95 if expected else count <= 9


def feed(
    move: Move, seconds: float, start: float, fails: dict[str, float] | None = None, rate: int = 40
) -> float:
    """Send requests of two classes; returns the time at the end, in ms.

    :param seconds: the duration
    :param start: the time at the start, in ms
    :param fails: the share of requests that fail in the new pool, by class
    :param rate: requests per second
    """
    rng = random.Random(7)
    now = start
    for n in range(int(seconds * rate)):
        now = start + n * 1_000.0 / rate
        cls = "ab"[n % 2]
        new = rng.random() < move.share(cls)
        move.record_outcome(
            cls, new, rng.random() < (fails or {}).get(cls, 0.0) * new, rng.uniform(10, 30), now
        )
        move.tick(now)
    return now


def started() -> tuple[Move, float]:
    move = Move(PLAN)
    move.start(0.0)
    return move, feed(move, 5.0, 0.0)


def test_a_move_to_an_equal_pool_passes_all_steps() -> None:
    move, now = started()
    feed(move, 300.0, now)
    assert move.state is State.DONE and move.share("a") == 1.0 and move.share("other") == 1.0
    assert move.history[0][1].endswith("5.0% of each class")


def test_one_failing_class_rolls_the_move_back_and_the_rollback_ends() -> None:
    move, now = started()
    now = feed(move, 60.0, now, {"b": 0.8})
    assert move.state in (State.ROLLING_BACK, State.FAILED) and "more failures" in move.reason
    assert move.share("a") == move.share("b") == 0.0
    move.tick(now + 60_000.0)
    assert move.state is State.FAILED
    move.roll_back(now)
    move.start(now)
    assert move.state is State.FAILED


def test_operators_commands_and_pools_without_servers() -> None:
    move, now = started()
    move.pause(now)
    assert move.state is State.PAUSED and move.share("a") == 0.05
    feed(move, 60.0, now)
    assert move.state is State.PAUSED and move.share("a") == 0.05
    move.resume(now + 60_000.0)
    move.tick(now + 60_000.0, live_new=3, live_old=0)
    assert (move.state.value, "old pool" in move.reason) == ("holding", True)
    move.resume(now + 61_000.0)
    move.tick(now + 61_000.0, live_new=0)
    assert (move.state.value, "no live server" in move.reason) == ("undoing", True)


@pytest.mark.parametrize("rare", RareClasses)
def test_a_class_without_requests_holds_the_move_or_is_moved_last(rare: RareClasses) -> None:
    plan = Plan(("a", "b", "never"), steps=PLAN.steps, step_ms=1_000.0, rare_ms=150_000.0, rare=rare)
    move = Move(plan)
    move.start(0.0)
    feed(move, 300.0, 0.0)
    assert move.state is State.SHIFTING
    assert move.share("a") == (0.05 if rare is RareClasses.HOLD else 1.0) and move.share("never") == 0.05


@pytest.mark.parametrize(
    ("new", "rolled_back"),
    [
        (PoolBehaviour(), False),
        (PoolBehaviour(failure_rate=1.0), True),
        (PoolBehaviour(failure_rate=0.3, fast_failures=True), True),
        (PoolBehaviour(failure_rates={"salvar-episodio": 0.5}), True),
        (PoolBehaviour(time_factor=2.0), True),
    ],
)
def test_only_a_move_to_a_worse_pool_is_rolled_back(new: PoolBehaviour, rolled_back: bool) -> None:
    for seed in range(2):
        found = simulate_move(Scenario(new_pool=new, seed=seed, duration_s=200.0, incident_s=(60.0, 80.0)))
        assert (found.state in (State.ROLLING_BACK, State.FAILED)) is rolled_back, found
        assert not rolled_back or found.moved_fraction_until_end < 0.05


@pytest.mark.parametrize(
    ("changes", "words"),
    [
        ({"classes": ()}, "classes"),
        ({"classes": ("a", "a")}, "classes"),
        ({"alpha": 0.0}, "alpha"),
        ({"steps": (0.5, 0.1, 1.0)}, "must rise"),
        ({"steps": (0.1, 0.5)}, "end with 1"),
        ({"steps": (0.0, 1.0)}, "begin above 0"),
        ({"margin": 1.0}, "margin"),
        ({"step_ms": -1.0}, "step_ms"),
        ({"rare_ms": math.inf}, "rare_ms"),
    ],
)
def test_an_invalid_plan_is_refused(changes: dict[str, object], words: str) -> None:
    with pytest.raises(ValueError, match=words):
        Plan(**{"classes": ("a",)} | changes)  # type: ignore[arg-type]
