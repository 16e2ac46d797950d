"""Gradual moves of traffic from one pool of servers to another, rolled back if the new pool is worse. No I/O.

A step sends a share of the requests of each class to the new pool and waits, for each class, for evidence
that the new pool is no worse than the old one over the same time, or that it is worse. Both are tests of
`sequential_tests`. A move is rolled back if the evidence that the new pool is worse reaches `1 / alpha`,
corrected for the number of classes and measures (Bonferroni). A step is done if, for each class, the evidence
reaches `1 / beta` that its rate is below the recent rate of the old pool plus a margin.

Two measures are compared: failures (errors, refusals, timeouts), and answers slower than nine in ten recent
answers of the old pool. A pool that is fast only because it fails at once is worse by the first measure. An
incident that strikes both pools shows in both and has no effect on the move. A class with too few requests to
judge pauses the move, or is moved last.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

from orchidferry.balancing.sequential_tests import NonInferiorityTest, WorseTest

T = TypeVar("T")
STEPS = (0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
RARE_FROM_SHARE = 0.05  # first share of the rare classes, once all other classes are moved
RECENT_OUTCOMES = 200  # outcomes of the old pool from which a class's usual failure rate and times are taken
MIN_OUTCOMES = 20  # outcomes that are needed for this
SLOW_QUANTILE = 0.9  # quantile of the old pool's times above which an answer counts as slow


class State(Enum):
    """The state of a move."""

    PLANNED = "planned"
    SHIFTING = "shifting"  # a step waits for evidence
    PAUSED = "holding"  # paused by an operator, or because the old pool has no servers to compare with
    ROLLING_BACK = "undoing"  # the new pool gets no new requests, and completes those in flight
    DONE = "done"
    FAILED = "failed"  # the rollback is complete


class RareClasses(Enum):
    """The treatment of classes with too few requests to judge."""

    HOLD = "hold"  # the move waits for them
    LAST = "last"  # they are moved after all other classes


@dataclass(frozen=True, slots=True)
class Plan:
    """The operator's parameters of a move."""

    classes: tuple[str, ...]
    steps: tuple[float, ...] = STEPS  # share of each class that goes to the new pool, by step
    alpha: float = 0.01  # probability of ever rolling back a move between two equal pools
    beta: float = 0.05  # probability, by class, of passing a step although the class is worse by `margin`
    margin: float = 0.05  # tolerated increase of the failure rate; of the slow rate, four times as much
    step_ms: float = 10_000.0  # shortest duration of a step
    rare: RareClasses = RareClasses.HOLD
    rare_ms: float = 120_000.0  # time without enough evidence after which a class is rare
    settle_ms: float = 6_000.0  # time from the start of a rollback until no requests are in flight

    def __post_init__(self) -> None:
        """Reject values out of range.

        :raises ValueError: a value is out of range; the text names the field
        """
        if not self.classes or len(set(self.classes)) < len(self.classes):
            raise ValueError("classes: at least one, each once")
        if not self.steps or any(a >= b for a, b in zip(self.steps, self.steps[1:], strict=False)):
            raise ValueError("steps: must rise")
        if self.steps[0] <= 0.0 or self.steps[-1] != 1.0:
            raise ValueError("steps: must begin above 0 and end with 1")
        for name in ("alpha", "beta", "margin"):
            if not 0.0 < getattr(self, name) < 1.0:
                raise ValueError(f"{name}: {getattr(self, name)} is not within 0 and 1")
        for name in ("step_ms", "rare_ms", "settle_ms"):
            if not 0.0 <= getattr(self, name) < math.inf:
                raise ValueError(f"{name}: {getattr(self, name)} is negative or not finite")


class _Baseline:
    """The recent outcomes of one class in the old pool."""

    __slots__ = ("_failures", "_outcomes", "_sorted", "_durations")

    def __init__(self) -> None:
        self._durations: deque[float] = deque()
        self._sorted: list[float] = []
        self._outcomes: deque[bool] = deque()
        self._failures = 0

    def add(self, bad: bool, duration_ms: float) -> None:
        self._outcomes.append(bad)
        self._failures += bad
        if len(self._outcomes) > RECENT_OUTCOMES:
            self._failures -= self._outcomes.popleft()
        if bad:
            return
        self._durations.append(duration_ms)
        bisect.insort(self._sorted, duration_ms)
        if len(self._durations) > RECENT_OUTCOMES:
            del self._sorted[bisect.bisect_left(self._sorted, self._durations.popleft())]

    @property
    def known(self) -> bool:
        return len(self._outcomes) >= MIN_OUTCOMES and len(self._sorted) >= MIN_OUTCOMES

    @property
    def rate(self) -> float:
        return self._failures / len(self._outcomes)

    @property
    def slow_ms(self) -> float:
        return self._sorted[int(SLOW_QUANTILE * len(self._sorted))]


def _for_each_measure(test: Callable[[], T]) -> dict[str, T]:
    """One test for each measure."""
    return {"failures": test(), "slow answers": test()}


@dataclass
class _TrackedClass:
    """The evidence for one class."""

    baseline: _Baseline = field(default_factory=_Baseline)
    worse: dict[str, WorseTest] = field(default_factory=lambda: _for_each_measure(WorseTest))
    no_worse: dict[str, NonInferiorityTest] = field(
        default_factory=lambda: _for_each_measure(NonInferiorityTest)
    )
    new_outcomes: int = 0  # outcomes of the new pool in the current step
    moved_last: bool = False  # whether it is rare, and is moved after all other classes

    def begin(self, max_value: float) -> None:
        for test in self.no_worse.values():
            test.begin(max_value)
        self.new_outcomes = 0


class Move:
    """One node's part in a move: takes the outcomes of requests, and returns the share of each class."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.state = State.PLANNED
        self.reason = ""
        self._classes = {name: _TrackedClass() for name in plan.classes}
        self._step = -1
        self._moving_rare = False  # whether the rare classes are being moved, after all others
        self._state_since_ms = 0.0  # time at which the step or the rollback began
        self.history: list[tuple[float, str]] = []  # time and text of each state change, for operators
        # Also test all classes together: a fault that affects them alike is detected earlier this way.
        self._all = _for_each_measure(WorseTest)
        measures = 2 * (len(plan.classes) + 1)
        self._roll_back_at = math.log(measures / plan.alpha)
        self._next_at = math.log(1.0 / plan.beta)

    def _set_state(self, state: State, now: float, reason: str) -> None:
        self.state = state
        self.reason = reason
        self.history.append((now, f"{state.value}: {reason}"))

    # Operators' commands

    def start(self, now: float) -> None:
        """Begin the first step."""
        if self.state is State.PLANNED:
            self._next_step(now)

    def pause(self, now: float, reason: str = "by an operator") -> None:
        """Keep the current shares."""
        if self.state is State.SHIFTING:
            self._set_state(State.PAUSED, now, reason)

    def resume(self, now: float) -> None:
        """End a pause; the current step starts again."""
        if self.state is State.PAUSED:
            self._state_since_ms = now
            self._set_state(State.SHIFTING, now, f"resumed at {self.plan.steps[self._step]:.1%}")

    def roll_back(self, now: float, reason: str = "by an operator") -> None:
        """Send no new requests to the new pool from now on."""
        if self.state in (State.SHIFTING, State.PAUSED, State.DONE):
            self._state_since_ms = now
            self._set_state(State.ROLLING_BACK, now, reason)

    # Shares

    def share(self, cls: str) -> float:
        """The share of a class that goes to the new pool now, from 0 to 1."""
        match self.state:
            case State.DONE:
                return 1.0
            case State.SHIFTING | State.PAUSED:
                tracked = self._classes.get(cls)
                if tracked is None:
                    return 0.0
                if tracked.moved_last is not self._moving_rare:  # not moved yet, or moved completely
                    return 0.0 if tracked.moved_last else 1.0
                return self.plan.steps[self._step]
        return 0.0

    # Outcomes

    def record_outcome(self, cls: str, new: bool, failed: bool, duration_ms: float, now: float) -> None:
        """Record the outcome of a request.

        :param cls: the class of the request
        :param new: whether it went to the new pool
        :param failed: whether it failed
        :param duration_ms: the time that it took
        """
        tracked = self._classes.get(cls)
        if tracked is None or self.state not in (State.SHIFTING, State.PAUSED):
            return None
        if not new:
            known = tracked.baseline.known
            slow_ms = tracked.baseline.slow_ms if known else math.inf
            tracked.baseline.add(failed, duration_ms)
            if known:
                for tests in (tracked.worse, self._all):
                    tests["failures"].record_old(failed)
                    if not failed:  # slow relative to its own class, so that classes can be counted together
                        tests["slow answers"].record_old(duration_ms > slow_ms)
            return None
        if not tracked.baseline.known:
            return None  # nothing to compare with
        tracked.new_outcomes += 1
        slow = duration_ms > tracked.baseline.slow_ms
        # No requests of a completely moved class go to the old pool, so that its baseline is out of date.
        for tests in (tracked.worse, self._all) if self.share(cls) < 1.0 else ():
            tests["failures"].record_new(failed)
            if not failed:
                tests["slow answers"].record_new(slow)
        tracked.no_worse["failures"].record_new(failed, tracked.baseline.rate + self.plan.margin)
        if not failed:
            tracked.no_worse["slow answers"].record_new(slow, 1.0 - SLOW_QUANTILE + 4.0 * self.plan.margin)
        for name, tests in ((cls, tracked.worse), ("all classes", self._all)):
            for measure, worse in tests.items():
                if worse.value >= self._roll_back_at:
                    return self.roll_back(now, f"{name}: more {measure} than the old pool")
        return None

    def tick(self, now: float, live_new: int = 1, live_old: int = 1) -> None:
        """Check time limits: end steps, detect rare classes, complete rollbacks.

        :param live_new: the number of servers in service in the new pool
        :param live_old: the number of servers in service in all other pools
        """
        if self.state is State.ROLLING_BACK and now - self._state_since_ms >= self.plan.settle_ms:
            self._set_state(State.FAILED, now, self.reason)
        elif self.state is State.SHIFTING and not live_new:
            self.roll_back(now, "the new pool has no live server")
        elif self.state is State.SHIFTING and not live_old and self.plan.steps[self._step] < 1.0:
            self.pause(now, "the old pool has no live server: there is nothing to compare with")
        elif self.state is State.SHIFTING and now - self._state_since_ms >= self.plan.step_ms:
            self._judge_step(now)

    def _judge_step(self, now: float) -> None:
        last = self._step == len(self.plan.steps) - 1  # the old pool gets no more requests to compare with
        for cls, tracked in self._classes.items():
            if tracked.moved_last is not self._moving_rare or last or self._is_shown_no_worse(tracked):
                continue
            overdue = now - self._state_since_ms >= self.plan.rare_ms
            if not overdue or self._moving_rare or self.plan.rare is RareClasses.HOLD:
                return
            tracked.moved_last = True
            self.history.append(
                (now, f"too few requests of {cls} to judge ({tracked.new_outcomes} in this step): moved last")
            )
        if not last:
            self._next_step(now)
        elif not self._moving_rare and any(tracked.moved_last for tracked in self._classes.values()):
            # Rare classes begin with a larger share, and each of their steps waits for evidence.
            self._moving_rare = True
            self._step = sum(step < RARE_FROM_SHARE for step in self.plan.steps) - 1
            self._next_step(now)
        else:
            self._set_state(State.DONE, now, "all traffic is moved")

    def _is_shown_no_worse(self, tracked: _TrackedClass) -> bool:
        """Whether a class is shown to be no worse in this step."""
        return all(test.max_value >= self._next_at for test in tracked.no_worse.values())

    def _next_step(self, now: float) -> None:
        self._step += 1
        self._state_since_ms = now
        for tracked in self._classes.values():
            tracked.begin(self._next_at)
        self._set_state(State.SHIFTING, now, f"{self.plan.steps[self._step]:.1%} of each class")
