"""Which recorded requests are retries of which first try. Free of I/O; numpy over blocks in order of time.

The rule: a request is a retry of the one before it by the same client, of the same class and object, if that
one failed (429, 5xx, no answer, or its client left: 0, 499), and this one began no earlier than that one
ended (or, where no duration was logged, began) and within `window_s` of that end. Retries of retries belong
to the same first try.

Its doubt: some who ask again would have asked anyway. How often a client asks for the same again within the
window after a success tells how many ties are chance.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from orchidferry.testkit.traffic.recording import ABORTED, NO_TIME, ROW, SPREAD, Rows

WINDOW_S = 30.0
SLACK_US = 50_000  # clocks and rounding: a retry may seem to begin a little before its first try's end
MAX_NUMBER = 255
MARKS = 1 << 20  # places of the table in which keys of failed requests are marked
# one client in so many stands for all, in slices of more requests than that
SAMPLE = 16
SAMPLE_FROM = 20_000


def failed(rows: Rows) -> np.ndarray[tuple[int], np.dtype[np.bool_]]:
    """Whether each went wrong for its client."""
    status = rows["status"]
    found: np.ndarray[tuple[int], np.dtype[np.bool_]] = (
        (status >= 500) | (status == 429) | (status == 0) | (status == 499) | ((rows["flags"] & ABORTED) != 0)
    )
    return found


@dataclass
class Doubt:
    """What the ties rest on."""

    failures: int = 0
    ties: int = 0
    successes: int = 0  # of the clients that stand for all, as `repeats`
    repeats: int = 0  # the same again within the window after a success

    @property
    def by_chance(self) -> float:
        """How many of the ties would be there without any retry."""
        if not self.successes:
            return 0.0
        return min(float(self.ties), self.failures * self.repeats / self.successes)


class Ties:
    """Ties retries in rows that come in order of time; keeps the last window's rows."""

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_us = int(window_s * 1e6)
        self._carry: Rows = np.zeros(0, ROW)
        self._next = 0  # number of the next row among all
        self.doubt = Doubt()

    def take(self, rows: Rows) -> Rows:
        """The same rows, with `chain` and `number` set."""
        count = len(rows)
        if not count:
            return rows
        self._next += count
        both = np.concatenate([self._carry, rows])
        old = len(self._carry)
        both["chain"][old:] = (self._next - count + np.arange(count)) & 0xFFFF_FFFF
        both["number"][old:] = 0
        start = both["t"].astype(np.int64)
        end = start + np.where(both["took"] == NO_TIME, 0, both["took"])
        # One key of the three: a collision of 64 bits would tie strangers once in a recording of billions.
        key = both["client"] ^ (both["object"] * np.uint64(0x9E3779B97F4A7C15))
        key ^= both["cls"].astype(np.uint64) * np.uint64(0xC2B2AE3D27D4EB4F)
        wrong = failed(both)
        # Only what has the key of something that failed can be tied: marked in a table, some by chance. The
        # doubt is reckoned from a sample of clients.
        marks = np.zeros(MARKS, np.bool_)
        place = (key >> np.uint64(20)) & np.uint64(MARKS - 1)
        marks[place[wrong]] = True
        sampled = (
            (both["client"] & np.uint64(SAMPLE - 1)) == 0
            if count > SAMPLE_FROM
            else np.ones(len(both), np.bool_)
        )
        some = np.flatnonzero(marks[place] | sampled)
        order = some[np.argsort(key[some], kind="stable")]  # of one key in order of time, as they come
        at = np.flatnonzero(key[order][1:] == key[order][:-1])
        first = order[at]
        then = order[at + 1]
        # A spread second may stand up to 1 s off on either side: neither end is known better.
        spread = ((both["flags"][first] | both["flags"][then]) & SPREAD) != 0
        gap = start[then] - end[first]
        near = (gap >= -np.where(spread, 1_000_000, 0) - SLACK_US) & (gap <= self._window_us)
        near &= (both["client"][first] != 0) & (then >= old)
        self.doubt.ties += int((near & wrong[first]).sum())
        self.doubt.failures += int(wrong[old:].sum())
        self.doubt.repeats += int((near & ~wrong[first] & sampled[then]).sum())
        self.doubt.successes += int((~wrong[old:] & sampled[old:]).sum())
        chain = both["chain"]
        number = both["number"]
        tied = np.flatnonzero(near & wrong[first])
        for before, one in zip(first[tied].tolist(), then[tied].tolist(), strict=True):
            # Few, and in order of time within a key: retries of retries find theirs done.
            chain[one] = chain[before]
            number[one] = min(MAX_NUMBER, int(number[before]) + 1)
        rows = both[old:]
        last = int(start[-1])
        keep = (end + self._window_us >= last) & (both["client"] != 0)
        self._carry = both[keep]
        return rows
