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

from rehearsal.traffic.recording import ABORTED, NO_TIME, ROW, Rows

WINDOW_S = 30.0
SLACK_US = 50_000  # clocks and rounding: a retry may seem to begin a little before its first try's end
NUMBER_MOST = 255


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
    successes: int = 0
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
        rows = rows.copy()
        count = len(rows)
        if not count:
            return rows
        rows["chain"] = (self._next + np.arange(count)) & 0xFFFF_FFFF
        rows["number"] = 0
        self._next += count
        both = np.concatenate([self._carry, rows])
        new = np.arange(len(both)) >= len(self._carry)
        start = both["t"].astype(np.int64)
        took = np.where(both["took"] == NO_TIME, 0, both["took"]).astype(np.int64)
        # A spread second may stand up to 1 s off on either side: neither end is known better.
        slack = np.where((both["flags"] & 2) != 0, 1_000_000, 0) + SLACK_US
        # One key of the three: a collision of 64 bits would tie strangers once in a recording of billions.
        key = both["client"] ^ (both["object"] * np.uint64(0x9E3779B97F4A7C15))
        key = key ^ (both["cls"].astype(np.uint64) * np.uint64(0xC2B2AE3D27D4EB4F))
        order = np.lexsort((np.arange(len(both)), start, key))
        known = both["client"][order] != 0
        same = np.zeros(len(both), np.bool_)
        same[1:] = (key[order][1:] == key[order][:-1]) & known[1:]
        gap = np.zeros(len(both), np.int64)
        gap[1:] = start[order][1:] - (start + took)[order][:-1]
        room = np.zeros(len(both), np.int64)
        room[1:] = np.maximum(slack[order][1:], slack[order][:-1])
        near = same & (gap >= -room) & (gap <= self._window_us)
        wrong = failed(both)[order]
        before_wrong = np.zeros(len(both), np.bool_)
        before_wrong[1:] = wrong[:-1]
        tied = near & before_wrong & new[order]
        fresh = new[order]
        self.doubt.ties += int(tied.sum())
        self.doubt.repeats += int((near & ~before_wrong & fresh).sum())
        self.doubt.failures += int((wrong & fresh).sum())
        self.doubt.successes += int((~wrong & fresh).sum())
        chain, number = both["chain"][order], both["number"][order].astype(np.int64)
        for at in np.flatnonzero(tied):  # few: in order, so that retries of retries find theirs done
            chain[at] = chain[at - 1]
            number[at] = min(NUMBER_MOST, number[at - 1] + 1)
        both["chain"][order], both["number"][order] = chain, number
        rows = both[len(self._carry) :]
        last = int(start[-1])
        keep = (start + took + self._window_us >= last) & (both["client"] != 0)
        self._carry = both[keep]
        return rows
