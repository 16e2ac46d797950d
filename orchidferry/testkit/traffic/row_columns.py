"""Columns of a recording's rows, while a block of a log is read."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

import numpy as np

from orchidferry.testkit.traffic.recording import ABORTED, MAX_BYTES, NO_TIME, ROW, SPREAD, Rows

JUMP_S = 60.0  # a clock that goes back by more is reported
MAX_JUMPS = 10  # of a block


class ClockJump(NamedTuple):
    """A line at which the time of a log went back, and by how much."""

    line: int
    by_s: float


class TimedRows(NamedTuple):
    """Rows in order of time."""

    rows: Rows
    clock_jumps: list[ClockJump]


@dataclass
class FastRows:
    """Rows that were made of a block all at once, in order: the lines' numbers, and what `Columns` holds."""

    line: Any
    t: Any
    took: Any
    client: Any
    object: Any
    sent: Any
    cls: Any
    status: Any
    resolution_s: float


class Columns:
    """Rows as they are made, a list for each column; `fast`: those that were made all at once."""

    def __init__(self) -> None:
        self.t: list[float] = []
        self.resolution_s: list[float] = []
        self.took: list[float] = []  # seconds, below 0: not known
        self.client: list[int] = []
        self.object: list[int] = []
        self.sent: list[int] = []
        self.received: list[int] = []
        self.cls: list[int] = []
        self.status: list[int] = []
        self.aborted: list[bool] = []
        self.line: list[int] = []
        self.fast: FastRows | None = None

    def join(self) -> None:
        """Merge the fast rows with the others, in order of their lines."""
        fast = self.fast
        if fast is None:
            return
        order = np.argsort(np.concatenate([fast.line, np.array(self.line, np.int64)]), kind="stable")
        resolution_s = np.full(len(fast.line), fast.resolution_s)
        nothing = np.zeros(len(fast.line), np.int64)
        for name, values in (
            ("line", fast.line),
            ("t", fast.t),
            ("resolution_s", resolution_s),
            ("took", fast.took),
            ("client", fast.client),
            ("object", fast.object),
            ("sent", fast.sent),
            ("received", nothing),
            ("cls", fast.cls),
            ("status", fast.status),
            ("aborted", fast.status == 499),
        ):
            rest = np.array(getattr(self, name), values.dtype)
            setattr(self, name, np.concatenate([values, rest])[order] if len(rest) else values)
        self.fast = None

    def rows(self, shift_s: float, rng: np.random.Generator) -> TimedRows:
        """Make the rows.

        :param shift_s: added to all times.
        :param rng: for the part of a second that was not logged.
        :returns: the rows in order of time, and where the clock went back.
        """
        self.join()
        count = len(self.t)
        found = np.zeros(count, ROW)
        if not count:
            return TimedRows(found, [])
        start = np.array(self.t)
        took = np.array(self.took)
        resolution_s = np.array(self.resolution_s)
        said = start + np.maximum(took, 0.0)
        before = np.maximum.accumulate(said)
        fell = before - said
        fell[1:] = before[:-1] - said[1:]
        # Only where it begins to be behind: all that follows is behind as well.
        at = np.flatnonzero((fell > JUMP_S) & (np.diff(fell, prepend=0.0) > JUMP_S))[:MAX_JUMPS]
        back = [ClockJump(int(self.line[n]), float(fell[n])) for n in at]
        spread = rng.random(count) * resolution_s
        found["t"] = np.rint((start + shift_s + spread) * 1e6).astype(np.uint64)
        found["took"] = np.where(took < 0.0, NO_TIME, np.minimum(np.rint(took * 1e6), NO_TIME - 1))
        found["client"] = np.array(self.client, np.uint64)
        found["object"] = np.array(self.object, np.uint64)
        found["sent"] = np.minimum(np.array(self.sent, np.int64), MAX_BYTES)
        found["received"] = np.minimum(np.array(self.received, np.int64), MAX_BYTES)
        found["cls"] = self.cls
        found["status"] = self.status
        found["flags"] = np.where(self.aborted, ABORTED, 0) | np.where(resolution_s > 0.0, SPREAD, 0)
        return TimedRows(found[np.argsort(found["t"], kind="stable")], back)
