"""Collects the values of several rounds, and summarizes them as figures: a median with its interval."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from orchidferry.testkit.capacity.figures import ONCE, REAL, Figure

Key = tuple[str, str, str]  # role, name, unit


class Rounds:
    """The values of all rounds, by role, name and unit."""

    def __init__(self) -> None:
        self._values: dict[Key, list[float]] = {}
        self._single: set[Key] = set()

    def add(self, role: str, name: str, unit: str, *values: float) -> None:
        """Add a value of a round, or the values of several processes of the same role."""
        self._values.setdefault((role, name, unit), []).extend(values)

    def add_single(self, role: str, name: str, unit: str, *values: float) -> None:
        """Add a value that is measured just once, or such values of several processes."""
        self.add(role, name, unit, *values)
        self._single.add((role, name, unit))

    def figures(self, axis: str, at: float, time: str = REAL, note: str = "") -> list[Figure]:
        """Return a figure for each role, name and unit, all at one size.

        :param axis: quantity that is varied
        :param at: value of that quantity
        """
        return [
            summary(*key, axis, at, values, time, ONCE if key in self._single else note)
            for key, values in self._values.items()
        ]


def summary(
    role: str,
    name: str,
    unit: str,
    axis: str,
    at: float,
    values: Iterable[float],
    time: str = REAL,
    note: str = "",
) -> Figure:
    """Return a figure with the median, the minimum and the maximum of some values.

    >>> summary("proxy", "x", "ms", "nodes", 12, [1.0, 3.0, 2.0]).low
    1.0
    """
    ordered = sorted(values)
    return Figure(role, name, unit, axis, at, statistics.median(ordered), time, note, ordered[0], ordered[-1])
