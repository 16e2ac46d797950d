"""The columns of the rows of one block, which are collected while the block is parsed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import numpy as np

from orchidferry.testkit.traffic.recording import ABORTED, MAX_BYTES, NO_TIME, ROW, SPREAD, Rows

JUMP_S = 60.0  # a logged time that goes back by more is reported
MAX_JUMPS = 10  # reported jumps of a block


class ClockJump(NamedTuple):
    """A line at which the logged time goes back."""

    line: int  # number of the line
    by_s: float  # difference to the latest time before the line


class TimedRows(NamedTuple):
    """Rows in order of time, and the clock jumps in their log."""

    rows: Rows
    clock_jumps: list[ClockJump]


@dataclass
class FastRows:
    """The columns of the rows from the fast path, as arrays in order of the lines; see `Columns`."""

    line: Any  # numbers of the lines
    t: Any
    took: Any
    client: Any
    object: Any
    sent: Any
    cls: Any
    status: Any
    resolution_s: float  # resolution of all times


class Columns:
    """The rows of a block, as a list for each column."""

    def __init__(self) -> None:
        self.t: list[float] = []  # start of the request, seconds since 1970
        self.resolution_s: list[float] = []  # of the logged time; 0.0 for a finer one than whole seconds
        self.took: list[float] = []  # duration in seconds; negative: unknown
        self.client: list[int] = []  # hash
        self.object: list[int] = []  # hash
        self.sent: list[int] = []  # bytes of the response body
        self.received: list[int] = []  # bytes of the request body
        self.cls: list[int] = []  # number of the class
        self.status: list[int] = []
        self.aborted: list[bool] = []
        self.line: list[int] = []  # number of the line in its file
        self.fast: FastRows | None = None  # the rows from the fast path, until `join` merges them

    def join(self) -> None:
        """Merge the rows from the fast path with the others, in order of their lines."""
        fast = self.fast
        if fast is None:
            return
        order = np.argsort(np.concatenate([fast.line, np.array(self.line, np.int64)]), kind="stable")
        resolution_s = np.full(len(fast.line), fast.resolution_s)
        zeros = np.zeros(len(fast.line), np.int64)
        for name, values in (
            ("line", fast.line),
            ("t", fast.t),
            ("resolution_s", resolution_s),
            ("took", fast.took),
            ("client", fast.client),
            ("object", fast.object),
            ("sent", fast.sent),
            ("received", zeros),
            ("cls", fast.cls),
            ("status", fast.status),
            ("aborted", fast.status == 499),
        ):
            rest = np.array(getattr(self, name), values.dtype)
            setattr(self, name, np.concatenate([values, rest])[order] if len(rest) else values)
        self.fast = None

    def rows(self, shift_s: float, rng: np.random.Generator) -> TimedRows:
        """Convert the columns to rows.

        :param shift_s: added to all times.
        :param rng: draws the random fraction that is added to a time in whole seconds.
        :returns: the rows in order of time, and the clock jumps.
        """
        self.join()
        count = len(self.t)
        found = np.zeros(count, ROW)
        if not count:
            return TimedRows(found, [])
        start = np.array(self.t)
        took = np.array(self.took)
        resolution_s = np.array(self.resolution_s)
        ended = start + np.maximum(took, 0.0)
        latest = np.maximum.accumulate(ended)
        behind_s = latest - ended
        behind_s[1:] = latest[:-1] - ended[1:]
        # Only the first line after a jump is reported; the lines that follow it are behind as well.
        at = np.flatnonzero((behind_s > JUMP_S) & (np.diff(behind_s, prepend=0.0) > JUMP_S))[:MAX_JUMPS]
        clock_jumps = [ClockJump(int(self.line[n]), float(behind_s[n])) for n in at]
        fractions_s = rng.random(count) * resolution_s
        found["t"] = np.rint((start + shift_s + fractions_s) * 1e6).astype(np.uint64)
        found["took"] = np.where(took < 0.0, NO_TIME, np.minimum(np.rint(took * 1e6), NO_TIME - 1))
        found["client"] = np.array(self.client, np.uint64)
        found["object"] = np.array(self.object, np.uint64)
        found["sent"] = np.minimum(np.array(self.sent, np.int64), MAX_BYTES)
        found["received"] = np.minimum(np.array(self.received, np.int64), MAX_BYTES)
        found["cls"] = self.cls
        found["status"] = self.status
        found["flags"] = np.where(self.aborted, ABORTED, 0) | np.where(resolution_s > 0.0, SPREAD, 0)
        return TimedRows(found[np.argsort(found["t"], kind="stable")], clock_jumps)
