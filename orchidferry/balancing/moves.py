"""A move of traffic from one pool of servers to another, step by step, by what is measured. No I/O.

A step sends a share of worth to the new pool and waits for evidence, by class: that the new pool is no worse
than the old one was in the same moments, or that it is. Both are sequential tests whose error rate holds
however often one looks, as they are products of e-values (Ville's inequality):

- **worse**: two Bernoulli streams side by side, in blocks of one new outcome and the old ones since the last
  (Turner, Ly and Gruenwald, "Generic E-variables for exact sequential k-sample tests", 2021): the likelihood
  of two rates, learned from the blocks before, over that of the one rate between them. Undone at
  `1 / alpha`, divided among all classes and measures (Bonferroni).
- **no worse**: a bet on each new outcome that its rate is below the old one's, lately, plus a margin
  (Waudby-Smith and Ramdas, "Estimating means of bounded random variables by betting", 2023). A step is done
  when it has won `1 / beta` for each class.

What is compared are failures (errors, refusals, time-outs), and answers slower than nine in ten of the old
pool's lately: a pool that is fast because it fails at once is worse by the first. An incident that strikes
both shows in both, and moves nothing. A class that is too rare to tell holds the move, or is moved last.
"""

from __future__ import annotations

import bisect
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import TypeVar

T = TypeVar("T")
STEPS = (0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0)
MAX_OLD = 16  # old outcomes in one block: more say little
# what each rate is taken for before the first block: one in twenty
PRIOR_BAD = 0.5
PRIOR_ALL = 10.0
RARE_FROM = 0.05  # share with which rare classes begin, once all others are moved
RECENT = 200  # old outcomes that a class's usual rate and times are taken from,
MIN_RECENT = 20  # and the least of them
SLOW_FROM = 0.9  # quantile of the old pool's times from which an answer is slow
KEPT = 0.5  # of the evidence of one step that still counts in the next: more load is another question
MAX_BET = 0.9  # share of what may be bet at most


class State(Enum):
    """Where a move is."""

    PLANNED = "planned"
    SHIFTING = "shifting"  # a step waits for evidence
    HOLDING = "holding"  # by an operator's word, or as the new pool has too few servers
    UNDOING = "undoing"  # nothing new goes to the new pool; what is in flight ends there
    DONE = "done"
    FAILED = "failed"  # undone


class Rare(Enum):
    """What becomes of classes of which too little comes."""

    HOLD = "hold"
    LAST = "last"


@dataclass(frozen=True, slots=True)
class Plan:
    """What an operator asks for."""

    classes: tuple[str, ...]
    steps: tuple[float, ...] = STEPS  # shares of worth
    alpha: float = 0.01  # of undoing a move between two equal pools, at any time
    beta: float = 0.05  # of a step's ending though a class is worse by `margin`, by class
    margin: float = 0.05  # of a rate of failures: what is still no worse; of slow answers four times that
    step_ms: float = 10_000.0  # that a step lasts at least
    rare: Rare = Rare.HOLD
    rare_ms: float = 120_000.0  # without enough evidence for so long a class is rare
    settle_ms: float = 6_000.0  # from an undo until all that was in flight is over

    def __post_init__(self) -> None:
        """Refuse what can't be meant."""
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


class Worse:
    """Evidence that the new pool's rate of something bad is above the old one's, as the log of an e-value."""

    __slots__ = ("_new_all", "_new_bad", "_old_all", "_old_bad", "_waiting", "most", "value")

    def __init__(self) -> None:
        self._old_bad = self._new_bad = PRIOR_BAD
        self._old_all = self._new_all = PRIOR_ALL
        self._waiting: deque[bool] = deque(maxlen=MAX_OLD)  # old outcomes since the last block
        self.value = self.most = 0.0  # the highest that it was: what Ville's inequality bounds

    def old(self, bad: bool) -> None:
        """An outcome of the old pool."""
        self._waiting.append(bad)

    def new(self, bad: bool) -> None:
        """An outcome of the new pool: a block is whole. Without an old one beside it, it tells nothing."""
        old = sum(self._waiting)
        count = len(self._waiting)
        if not count:
            return
        p = self._old_bad / self._old_all
        q = self._new_bad / self._new_all
        if q > p:  # else the bet would be on its being better, which is not what is asked
            both = (count * p + q) / (count + 1)
            self.value += old * math.log(p / both) + (count - old) * math.log((1 - p) / (1 - both))
            self.value += math.log(q / both) if bad else math.log((1 - q) / (1 - both))
            self.most = max(self.most, self.value)
        self._old_bad = self._old_bad + old
        self._old_all = self._old_all + count
        self._new_bad = self._new_bad + bad
        self._new_all = self._new_all + 1
        self._waiting.clear()


class NoWorse:
    """Evidence that the new pool's rate is below a bound, as the log of an e-value."""

    __slots__ = ("_all", "_bad", "most", "value")

    def __init__(self) -> None:
        self._bad = PRIOR_BAD
        self._all = PRIOR_ALL
        self.value = self.most = 0.0

    def begin(self, most: float) -> None:
        """Another step: some of what was won, up to what a step needs, is kept."""
        self.value = self.most = KEPT * min(max(self.value, 0.0), most)

    def new(self, bad: bool, bound: float) -> None:
        """An outcome of the new pool, and the rate that it must not reach."""
        bound = min(max(bound, 0.01), 0.99)
        mean = self._bad / self._all
        # Kelly's share for a coin that comes up bad with the rate seen so far, cut to what may be lost.
        bet = min(max((bound - mean) / (bound * (1 - bound)), 0.0), MAX_BET / (1 - bound))
        self.value += math.log1p(bet * (bound - bad))
        self.most = max(self.most, self.value)
        self._bad = self._bad + bad
        self._all = self._all + 1


class _Usual:
    """The old pool's outcomes lately, of one class."""

    __slots__ = ("_bad", "_bads", "_sorted", "_times")

    def __init__(self) -> None:
        self._times: deque[float] = deque()
        self._sorted: list[float] = []
        self._bads: deque[bool] = deque()
        self._bad = 0

    def add(self, bad: bool, took_ms: float) -> None:
        self._bads.append(bad)
        self._bad += bad
        if len(self._bads) > RECENT:
            self._bad -= self._bads.popleft()
        if bad:
            return
        self._times.append(took_ms)
        bisect.insort(self._sorted, took_ms)
        if len(self._times) > RECENT:
            del self._sorted[bisect.bisect_left(self._sorted, self._times.popleft())]

    @property
    def known(self) -> bool:
        return len(self._bads) >= MIN_RECENT and len(self._sorted) >= MIN_RECENT

    @property
    def rate(self) -> float:
        return self._bad / len(self._bads)

    @property
    def slow_ms(self) -> float:
        return self._sorted[int(SLOW_FROM * len(self._sorted))]


def _both(test: Callable[[], T]) -> dict[str, T]:
    """A test of each measure."""
    return {"failures": test(), "slow answers": test()}


@dataclass
class _Class:
    """What is known of a class."""

    usual: _Usual = field(default_factory=_Usual)
    worse: dict[str, Worse] = field(default_factory=lambda: _both(Worse))
    no_worse: dict[str, NoWorse] = field(default_factory=lambda: _both(NoWorse))
    new: int = 0  # outcomes of the new pool in this step
    last: bool = False  # too rare: it is moved when all others are

    def begin(self, most: float) -> None:
        for test in self.no_worse.values():
            test.begin(most)
        self.new = 0


class Move:
    """One node's part of a move: tell it outcomes, ask it for shares."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.state = State.PLANNED
        self.why = ""
        self._classes = {name: _Class() for name in plan.classes}
        self._step = -1
        self._rare = False  # the rare classes are being moved, behind all others
        self._since_ms = 0.0  # of the step, or of the undo
        self.story: list[tuple[float, str]] = []  # for operators; one line a step
        # All classes together too: what strikes them alike shows sooner there.
        self._all = _both(Worse)
        measures = 2 * (len(plan.classes) + 1)
        self._undo_at = math.log(measures / plan.alpha)
        self._next_at = math.log(1.0 / plan.beta)

    def _enter(self, state: State, now: float, why: str) -> None:
        self.state = state
        self.why = why
        self.story.append((now, f"{state.value}: {why}"))

    # Operators' words

    def start(self, now: float) -> None:
        """Begin with the first step."""
        if self.state is State.PLANNED:
            self._next(now)

    def hold(self, now: float, why: str = "by an operator") -> None:
        """Stay with the shares as they are."""
        if self.state is State.SHIFTING:
            self._enter(State.HOLDING, now, why)

    def go_on(self, now: float) -> None:
        """End a hold; the step's time counts anew."""
        if self.state is State.HOLDING:
            self._since_ms = now
            self._enter(State.SHIFTING, now, f"goes on at {self.plan.steps[self._step]:.1%}")

    def undo(self, now: float, why: str = "by an operator") -> None:
        """Nothing new to the new pool from now on."""
        if self.state in (State.SHIFTING, State.HOLDING, State.DONE):
            self._since_ms = now
            self._enter(State.UNDOING, now, why)

    # What is sent where

    def share(self, cls: str) -> float:
        """The share of a class's worth that goes to the new pool now."""
        match self.state:
            case State.DONE:
                return 1.0
            case State.SHIFTING | State.HOLDING:
                held = self._classes.get(cls)
                if held is None:
                    return 0.0
                if held.last is not self._rare:  # not yet, or through
                    return 0.0 if held.last else 1.0
                return self.plan.steps[self._step]
        return 0.0

    # What came of it

    def ended(self, cls: str, new: bool, failed: bool, took_ms: float, now: float) -> None:
        """A request's outcome, of the old pool or the new one."""
        held = self._classes.get(cls)
        if held is None or self.state not in (State.SHIFTING, State.HOLDING):
            return
        if not new:
            known = held.usual.known
            slow_ms = held.usual.slow_ms if known else math.inf
            held.usual.add(failed, took_ms)
            if known:
                for tests in (held.worse, self._all):
                    tests["failures"].old(failed)
                    if not failed:  # slow for its class, which classes have in common
                        tests["slow answers"].old(took_ms > slow_ms)
            return
        if not held.usual.known:
            return  # nothing to compare with
        held.new += 1
        slow = took_ms > held.usual.slow_ms
        # Of a class that is moved whole nothing is old any more, and what was usual there is of another time.
        for tests in (held.worse, self._all) if self.share(cls) < 1.0 else ():
            tests["failures"].new(failed)
            if not failed:
                tests["slow answers"].new(slow)
        held.no_worse["failures"].new(failed, held.usual.rate + self.plan.margin)
        if not failed:
            held.no_worse["slow answers"].new(slow, 1.0 - SLOW_FROM + 4.0 * self.plan.margin)
        for name, tests in ((cls, held.worse), ("all classes", self._all)):
            for measure, worse in tests.items():
                if worse.value >= self._undo_at:
                    return self.undo(now, f"{name}: more {measure} than the old pool")

    def tick(self, now: float, live_new: int = 1, live_old: int = 1) -> None:
        """Look at the time: steps end, classes turn out to be rare, an undo is over."""
        if self.state is State.UNDOING and now - self._since_ms >= self.plan.settle_ms:
            self._enter(State.FAILED, now, self.why)
        elif self.state is State.SHIFTING and not live_new:
            self.undo(now, "the new pool has no live server")
        elif self.state is State.SHIFTING and not live_old and self.plan.steps[self._step] < 1.0:
            self.hold(now, "the old pool has no live server: there is nothing to compare with")
        elif self.state is State.SHIFTING and now - self._since_ms >= self.plan.step_ms:
            self._judge(now)

    def _judge(self, now: float) -> None:
        last = self._step == len(self.plan.steps) - 1  # the old pool has nothing to tell any more
        for cls, held in self._classes.items():
            if held.last is not self._rare or last or self._shown(held):
                continue
            late = now - self._since_ms >= self.plan.rare_ms
            if not late or self._rare or self.plan.rare is Rare.HOLD:
                return
            held.last = True
            self.story.append((now, f"{cls} is too rare to tell ({held.new} in this step): moved last"))
        if not last:
            self._next(now)
        elif not self._rare and any(held.last for held in self._classes.values()):
            # Little comes of these: they begin with more, and each step waits for its evidence.
            self._rare, self._step = True, sum(step < RARE_FROM for step in self.plan.steps) - 1
            self._next(now)
        else:
            self._enter(State.DONE, now, "all of it is moved")

    def _shown(self, held: _Class) -> bool:
        """Whether a class is shown to be no worse, in this step."""
        return all(test.most >= self._next_at for test in held.no_worse.values())

    def _next(self, now: float) -> None:
        self._step += 1
        self._since_ms = now
        for held in self._classes.values():
            held.begin(self._next_at)
        self._enter(State.SHIFTING, now, f"{self.plan.steps[self._step]:.1%} of worth")
