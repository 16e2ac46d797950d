"""Which recorded requests are retries of which first try. Free of I/O; numpy over blocks in order of time.

The rule: a request is a retry of the one before it by the same client, of the same class and object, if that
one failed (429, 5xx, no answer, or its client left: 0, 499), and this one began no earlier than that one
ended (or, where no duration was logged, began) and within `window_s` of that end. Retries of retries belong
to the same first try.

Its error: some clients that ask again would have asked anyway. How often a client asks for the same again
within the window after a success tells how many ties are chance.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from orchidferry.testkit.traffic.recording import ABORTED, NO_TIME, ROW, SPREAD, Rows

Array = np.ndarray[Any, Any]

WINDOW_S = 30.0
SLACK_US = 50_000  # clocks and rounding: a retry may seem to begin a little before its first try's end
MAX_NUMBER = 255
FAILED_TABLE_SIZE = 1 << 20  # of the table in which keys of failed requests are marked
# one client in so many is sampled, in slices of more requests than that
SAMPLE = 16
SAMPLE_FROM = 20_000
SPREAD_US = 1_000_000  # within which a time may be off that was logged to the second


def failed(rows: Rows) -> np.ndarray[tuple[int], np.dtype[np.bool_]]:
    """:returns: for each row, whether the request failed for its client."""
    status = rows["status"]
    mask: np.ndarray[tuple[int], np.dtype[np.bool_]] = (
        (status >= 500) | (status == 429) | (status == 0) | (status == 499) | ((rows["flags"] & ABORTED) != 0)
    )
    return mask


@dataclass
class MatchStatistics:
    """Counts of matched retries, and what an estimate of the false ones needs."""

    failures: int = 0
    ties: int = 0
    successes: int = 0  # of the sampled clients, as `repeats`
    repeats: int = 0  # the same request again within the window after a success

    @property
    def by_chance(self) -> float:
        """The estimated number of matches that are no retries."""
        if not self.successes:
            return 0.0
        return min(float(self.ties), self.failures * self.repeats / self.successes)


class RetryMatcher:
    """Matches retries with their first attempts, in rows that come in order of time.

    It keeps the rows of the last window.

    :param window_s: within which a request after a failed one is its retry.
    """

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_us = int(window_s * 1e6)
        self._carry: Rows = np.zeros(0, ROW)
        self._next = 0  # number of the next row among all
        self.statistics = MatchStatistics()

    def match(self, rows: Rows) -> Rows:
        """Match a slice of rows with those before it.

        :returns: the same rows, with `chain` and `number` set.
        """
        count = len(rows)
        if not count:
            return rows
        self._next += count
        old = len(self._carry)
        both = np.concatenate([self._carry, rows])
        both["chain"][old:] = (self._next - count + np.arange(count)) & 0xFFFF_FFFF
        both["number"][old:] = 0
        start = both["t"].astype(np.int64)
        end = start + np.where(both["took"] == NO_TIME, 0, both["took"])
        self._match_pairs(both, start, end, old)
        keep = (end + self._window_us >= int(start[-1])) & (both["client"] != 0)
        self._carry = both[keep]
        return both[old:]

    def _match_pairs(self, both: Rows, start: Array, end: Array, old: int) -> None:
        """Set `chain` and `number` of the retries among `both`, of which the first `old` are matched."""
        wrong = failed(both)
        sampled = np.ones(len(both), np.bool_)
        if len(both) - old > SAMPLE_FROM:
            sampled = (both["client"] & np.uint64(SAMPLE - 1)) == 0
        first, then = _consecutive(_keys(both), wrong, sampled)
        # A spread second may stand up to 1 s off on either side: neither end is known better.
        spread = ((both["flags"][first] | both["flags"][then]) & SPREAD) != 0
        gap = start[then] - end[first]
        near = (gap >= -np.where(spread, SPREAD_US, 0) - SLACK_US) & (gap <= self._window_us)
        near &= (both["client"][first] != 0) & (then >= old)
        self.statistics.ties += int((near & wrong[first]).sum())
        self.statistics.failures += int(wrong[old:].sum())
        self.statistics.repeats += int((near & ~wrong[first] & sampled[then]).sum())
        self.statistics.successes += int((~wrong[old:] & sampled[old:]).sum())
        chain = both["chain"]
        number = both["number"]
        matched = np.flatnonzero(near & wrong[first])
        for failure, retry in zip(first[matched].tolist(), then[matched].tolist(), strict=True):
            # Few, and in order of time within a key: retries of retries find theirs done.
            chain[retry] = chain[failure]
            number[retry] = min(MAX_NUMBER, int(number[failure]) + 1)


def _keys(rows: Rows) -> Array:
    """One key of client, object and class: a collision of 64 bits would match strangers once in billions."""
    keys = rows["client"] ^ (rows["object"] * np.uint64(0x9E3779B97F4A7C15))
    keys ^= rows["cls"].astype(np.uint64) * np.uint64(0xC2B2AE3D27D4EB4F)
    return keys


def _consecutive(keys: Array, wrong: Array, sampled: Array) -> tuple[Array, Array]:
    """Find pairs of consecutive rows with one key.

    Only rows that have the key of a failed one can be retries: those keys are marked in a table, others of
    the same slot with them. Rows of sampled clients are included for the statistics.

    :returns: the positions of the earlier and of the later row of each pair.
    """
    table = np.zeros(FAILED_TABLE_SIZE, np.bool_)
    slots = (keys >> np.uint64(20)) & np.uint64(FAILED_TABLE_SIZE - 1)
    table[slots[wrong]] = True
    candidates = np.flatnonzero(table[slots] | sampled)
    # By key, and within a key in order of time, as they come.
    order = candidates[np.argsort(keys[candidates], kind="stable")]
    at = np.flatnonzero(keys[order][1:] == keys[order][:-1])
    return order[at], order[at + 1]
