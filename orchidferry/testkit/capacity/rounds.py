"""Values of several rounds, and the figures that they make: a median with its interval."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

from orchidferry.testkit.capacity.figures import ONCE, REAL, Figure

Key = tuple[str, str, str]  # role, name, unit


class Rounds:
    """What each round gave, by role, name and unit."""

    def __init__(self) -> None:
        self._values: dict[Key, list[float]] = {}
        self._once: set[Key] = set()

    def add(self, role: str, name: str, unit: str, *values: float) -> None:
        """One value of a round, or several of processes that do the same."""
        self._values.setdefault((role, name, unit), []).extend(values)

    def once(self, role: str, name: str, unit: str, *values: float) -> None:
        """What was timed just once, of one process or of several."""
        self.add(role, name, unit, *values)
        self._once.add((role, name, unit))

    def figures(self, axis: str, at: float, time: str = REAL, note: str = "") -> list[Figure]:
        """Of all that was added, at one size."""
        return [
            summary(*key, axis, at, values, time, ONCE if key in self._once else note)
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
    """The median of some values, between the least and the most of them.

    >>> summary("proxy", "x", "ms", "nodes", 12, [1.0, 3.0, 2.0]).low
    1.0
    """
    some = sorted(values)
    return Figure(role, name, unit, axis, at, statistics.median(some), time, note, some[0], some[-1])
