"""Sequential tests of one rate against another, valid however often their results are checked.

The tests are products of e-values. Their probability of error is bounded over all times together (Ville's
inequality):

- **worse**: compares two Bernoulli streams in blocks of one new outcome and the old outcomes since the last
  block (Turner, Ly and Gruenwald, "Generic E-variables for exact sequential k-sample tests", 2021). The
  e-value is the likelihood of two rates, learned from earlier blocks, over the likelihood of a single common
  rate.
- **non-inferior**: bets on each new outcome that its rate is below a bound (Waudby-Smith and Ramdas,
  "Estimating means of bounded random variables by betting", 2023).
"""

from __future__ import annotations

import math
from collections import deque

MAX_BLOCK = 16  # old outcomes in one block; more would add little
PRIOR_BAD = 0.5  # bad outcomes assumed before the first block
PRIOR_ALL = 10.0  # all outcomes assumed before the first block; with `PRIOR_BAD`, a rate of one in twenty
KEPT_EVIDENCE = 0.5  # share of the evidence that is kept for the next step, which tests a higher load
MAX_BET = 0.9  # greatest bet, as a share of the capital


class WorseTest:
    """Evidence that the bad rate of a new stream is above that of an old one, as the log of an e-value."""

    __slots__ = ("_new_all", "_new_bad", "_old_all", "_old_bad", "_waiting", "max_value", "value")

    def __init__(self) -> None:
        self._old_bad = PRIOR_BAD
        self._new_bad = PRIOR_BAD
        self._old_all = PRIOR_ALL
        self._new_all = PRIOR_ALL
        self._waiting: deque[bool] = deque(maxlen=MAX_BLOCK)  # old outcomes since the last block
        self.value = 0.0
        self.max_value = 0.0  # the highest value so far, which Ville's inequality bounds

    def record_old(self, bad: bool) -> None:
        """Record an outcome of the old stream."""
        self._waiting.append(bad)

    def record_new(self, bad: bool) -> None:
        """Record an outcome of the new stream, which completes a block; ignored if no old one precedes it."""
        old = sum(self._waiting)
        count = len(self._waiting)
        if not count:
            return
        p = self._old_bad / self._old_all
        q = self._new_bad / self._new_all
        if q > p:  # otherwise the bet would be that the new stream is better, which is not tested
            both = (count * p + q) / (count + 1)
            self.value += old * math.log(p / both) + (count - old) * math.log((1 - p) / (1 - both))
            self.value += math.log(q / both) if bad else math.log((1 - q) / (1 - both))
            self.max_value = max(self.max_value, self.value)
        self._old_bad = self._old_bad + old
        self._old_all = self._old_all + count
        self._new_bad = self._new_bad + bad
        self._new_all = self._new_all + 1
        self._waiting.clear()


class NonInferiorityTest:
    """Evidence that a rate of bad outcomes is below a bound, as the log of an e-value."""

    __slots__ = ("_all", "_failures", "max_value", "value")

    def __init__(self) -> None:
        self._failures = PRIOR_BAD
        self._all = PRIOR_ALL
        self.value = 0.0
        self.max_value = 0.0

    def begin(self, max_value: float) -> None:
        """Begin another step, keeping part of the evidence, counted up to `max_value`."""
        self.value = self.max_value = KEPT_EVIDENCE * min(max(self.value, 0.0), max_value)

    def record_new(self, bad: bool, bound: float) -> None:
        """Record an outcome, together with the rate that must not be reached."""
        bound = min(max(bound, 0.01), 0.99)
        mean = self._failures / self._all
        # The Kelly bet for a coin that comes up bad at the mean rate so far, capped so that a loss is not
        # total.
        bet = min(max((bound - mean) / (bound * (1 - bound)), 0.0), MAX_BET / (1 - bound))
        self.value += math.log1p(bet * (bound - bad))
        self.max_value = max(self.max_value, self.value)
        self._failures = self._failures + bad
        self._all = self._all + 1
