"""Matches recorded retries with their first attempts, with numpy over blocks in order of time. No I/O.

A request is taken for a retry of the preceding request with the same client, class and object if that request
failed (429, 5xx, 499, or 0 for no answer, or the client aborted it), and if it starts after the failed one
ended and within `window_s` of that end. If no duration was logged, the start is used as the end. Retries of
retries belong to the same first attempt.

Some of these matches are false: the client would have repeated the request anyway. Their number is estimated
from how often clients repeat a request within the window after a success.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import numpy as np

from orchidferry.testkit.traffic.recording import ABORTED, NO_TIME, ROW, SPREAD, Rows

Array = np.ndarray[Any, Any]

WINDOW_S = 30.0  # default of the maximum time from the end of a failed request to its retry
# Clock differences and rounding: a retry may seem to start this long before the failed request ended.
SLACK_US = 50_000
MAX_NUMBER = 255  # largest stored number of an attempt
FAILED_TABLE_SIZE = 1 << 20  # slots of the table in which keys of failed requests are marked
# For the estimate of false matches, slices with more than SAMPLE_FROM rows use one client in SAMPLE.
SAMPLE = 16
SAMPLE_FROM = 20_000
SPREAD_US = 1_000_000  # maximum error of a time that was logged in whole seconds


def failed(rows: Rows) -> np.ndarray[tuple[int], np.dtype[np.bool_]]:
    """:returns: for each row, whether the request failed from the view of its client."""
    status = rows["status"]
    mask: np.ndarray[tuple[int], np.dtype[np.bool_]] = (
        (status >= 500) | (status == 429) | (status == 0) | (status == 499) | ((rows["flags"] & ABORTED) != 0)
    )
    return mask


@dataclass
class MatchStatistics:
    """Counts of matched retries, and the counts from which false matches are estimated."""

    failures: int = 0  # failed requests
    matches: int = 0  # requests that were matched as retries
    successes: int = 0  # successful requests of the sampled clients
    repeats: int = 0  # successful requests of the sampled clients that were repeated within the window

    @property
    def false_matches(self) -> float:
        """The estimated number of matched requests that are not retries."""
        if not self.successes:
            return 0.0
        return min(float(self.matches), self.failures * self.repeats / self.successes)


class RetryMatcher:
    """Matches retries with their first attempts, in rows that come in order of time.

    The rows of the last window are kept, to match retries in the next slice with them.

    :param window_s: maximum time from the end of a failed request to its retry.
    """

    def __init__(self, window_s: float = WINDOW_S) -> None:
        self._window_us = int(window_s * 1e6)
        self._carry: Rows = np.zeros(0, ROW)
        self._next = 0  # position of the next row among all rows
        self.statistics = MatchStatistics()

    def match(self, rows: Rows) -> Rows:
        """Match a slice of rows with each other and with the rows before the slice.

        :param rows: in order of time.
        :returns: the same rows, with `chain` and `number` set.
        """
        count = len(rows)
        if not count:
            return rows
        self._next += count
        carried = len(self._carry)
        both = np.concatenate([self._carry, rows])
        both["chain"][carried:] = (self._next - count + np.arange(count)) & 0xFFFF_FFFF
        both["number"][carried:] = 0
        start = both["t"].astype(np.int64)
        end = start + np.where(both["took"] == NO_TIME, 0, both["took"])
        self._match_pairs(both, start, end, carried)
        keep = (end + self._window_us >= int(start[-1])) & (both["client"] != 0)
        self._carry = both[keep]
        return both[carried:]

    def _match_pairs(self, both: Rows, start: Array, end: Array, carried: int) -> None:
        """Set `chain` and `number` of the retries in `both`; its first `carried` rows are already matched."""
        has_failed = failed(both)
        sampled = np.ones(len(both), np.bool_)
        if len(both) - carried > SAMPLE_FROM:
            sampled = (both["client"] & np.uint64(SAMPLE - 1)) == 0
        earlier, later = _consecutive(_keys(both), has_failed, sampled)
        # A time logged in whole seconds may be off by up to 1 s in either direction.
        spread = ((both["flags"][earlier] | both["flags"][later]) & SPREAD) != 0
        gap = start[later] - end[earlier]
        in_window = (gap >= -np.where(spread, SPREAD_US, 0) - SLACK_US) & (gap <= self._window_us)
        in_window &= (both["client"][earlier] != 0) & (later >= carried)
        self.statistics.matches += int((in_window & has_failed[earlier]).sum())
        self.statistics.failures += int(has_failed[carried:].sum())
        self.statistics.repeats += int((in_window & ~has_failed[earlier] & sampled[later]).sum())
        self.statistics.successes += int((~has_failed[carried:] & sampled[carried:]).sum())
        chain = both["chain"]
        number = both["number"]
        matched = np.flatnonzero(in_window & has_failed[earlier])
        for failure, retry in zip(earlier[matched].tolist(), later[matched].tolist(), strict=True):
            # A loop is fast enough for the few retries. They are in order of time within a key, so that the
            # failed request of a pair already has its chain and number.
            chain[retry] = chain[failure]
            number[retry] = min(MAX_NUMBER, int(number[failure]) + 1)


def _keys(rows: Rows) -> Array:
    """Combine client, object and class to one key.

    A collision of these 64 bits, which matches unrelated requests, occurs about once in billions.
    """
    keys = rows["client"] ^ (rows["object"] * np.uint64(0x9E3779B97F4A7C15))
    keys ^= rows["cls"].astype(np.uint64) * np.uint64(0xC2B2AE3D27D4EB4F)
    return keys


def _consecutive(keys: Array, has_failed: Array, sampled: Array) -> tuple[Array, Array]:
    """Find pairs of consecutive rows with the same key.

    Only rows with the key of a failed row can be retries. The keys of failed rows are marked in a table, and
    all rows with a marked slot are candidates. Rows of sampled clients are included for the statistics.

    :returns: the positions of the earlier and of the later row of each pair.
    """
    table = np.zeros(FAILED_TABLE_SIZE, np.bool_)
    slots = (keys >> np.uint64(20)) & np.uint64(FAILED_TABLE_SIZE - 1)
    table[slots[has_failed]] = True
    candidates = np.flatnonzero(table[slots] | sampled)
    # Sorted by key; the stable sort keeps the order of time within a key.
    order = candidates[np.argsort(keys[candidates], kind="stable")]
    at = np.flatnonzero(keys[order][1:] == keys[order][:-1])
    return order[at], order[at + 1]
