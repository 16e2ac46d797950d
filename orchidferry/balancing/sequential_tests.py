"""Sequential tests of one rate against another, valid at any number of looks.

They are products of e-values, whose error is bounded at all times together (Ville's inequality):

- **worse**: two Bernoulli streams side by side, in blocks of one new outcome and the old ones since the last
  (Turner, Ly and Gruenwald, "Generic E-variables for exact sequential k-sample tests", 2021): the likelihood
  of two rates, learned from the blocks before, over that of the one rate between them.
- **non-inferior**: a bet on each new outcome that its rate is below a bound (Waudby-Smith and Ramdas,
  "Estimating means of bounded random variables by betting", 2023).
"""

from __future__ import annotations

import math
from collections import deque

MAX_BLOCK = 16  # old outcomes in one block: more say little
PRIOR_BAD = 0.5  # bad outcomes, of
PRIOR_ALL = 10.0  # all, that each rate is taken for before the first block: one in twenty
KEPT_EVIDENCE = (
    0.5  # of the evidence of one step that still counts in the next: more load is another question
)
MAX_BET = 0.9  # share of what may be bet at most


class WorseTest:
    """Evidence that a stream's rate of bad outcomes is above another's, as the log of an e-value."""

    __slots__ = ("_new_all", "_new_bad", "_old_all", "_old_bad", "_waiting", "max_value", "value")

    def __init__(self) -> None:
        self._old_bad = PRIOR_BAD
        self._new_bad = PRIOR_BAD
        self._old_all = PRIOR_ALL
        self._new_all = PRIOR_ALL
        self._waiting: deque[bool] = deque(maxlen=MAX_BLOCK)  # old outcomes since the last block
        self.value = 0.0
        self.max_value = 0.0  # the highest so far: what Ville's inequality bounds

    def record_old(self, bad: bool) -> None:
        """Take an outcome of the old stream."""
        self._waiting.append(bad)

    def record_new(self, bad: bool) -> None:
        """Take an outcome of the new stream, which completes a block; without an old one it says nothing."""
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
        """Begin another step: part of the evidence, up to `max_value`, is kept."""
        self.value = self.max_value = KEPT_EVIDENCE * min(max(self.value, 0.0), max_value)

    def record_new(self, bad: bool, bound: float) -> None:
        """Take an outcome, and the rate that it must not reach."""
        bound = min(max(bound, 0.01), 0.99)
        mean = self._failures / self._all
        # Kelly's share for a coin that comes up bad with the rate seen so far, cut to what may be lost.
        bet = min(max((bound - mean) / (bound * (1 - bound)), 0.0), MAX_BET / (1 - bound))
        self.value += math.log1p(bet * (bound - bad))
        self.max_value = max(self.max_value, self.value)
        self._failures = self._failures + bad
        self._all = self._all + 1
