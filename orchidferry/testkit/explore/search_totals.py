"""The totals and findings of a search over the runs of a small world."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

MAX_DEPTH = 60
"""The most choices in one run; a longer run is abandoned."""

COUNTED = ("states", "transitions", "runs", "depth", "too_long")
"""The totals that an interrupted search saves for the one that resumes it."""


@dataclass
class Totals:
    """The totals of a search or of a part of it.

    :ivar too_long: runs that were abandoned after `MAX_DEPTH` choices
    :ivar counterexample: the shortest that was found
    :ivar outcomes: the different `World.outcome`s, as JSON
    :ivar cut_reason: why the search ended early; "" if it did not
    :ivar remaining_paths: paths that were not explored when the search ended early
    """

    states: int = 0
    transitions: int = 0
    runs: int = 0
    depth: int = 0
    too_long: int = 0
    exhausted: bool = False
    violations: Counter[str] = field(default_factory=Counter)
    counterexample: dict[str, Any] | None = None
    outcomes: set[str] = field(default_factory=set)
    seconds: float = 0.0
    cut_reason: str = ""
    remaining_paths: list[list[str]] = field(default_factory=list)

    @property
    def incomplete_reason(self) -> str:
        """Return why not all runs were explored to their end; "" if they were."""
        return self.cut_reason or (f"a run of over {MAX_DEPTH} choices" if self.too_long else "")

    def add(self, other: Totals) -> None:
        """Add the totals of another part of the search."""
        self.states += other.states
        self.transitions += other.transitions
        self.runs += other.runs
        self.depth = max(self.depth, other.depth)
        self.too_long += other.too_long
        self.violations += other.violations
        self.outcomes |= other.outcomes
        self.remaining_paths += other.remaining_paths
        if other.counterexample is not None:
            self.add_counterexample(other.counterexample)

    def add_counterexample(self, found: dict[str, Any]) -> None:
        """Keep a counterexample if it is shorter than the one before."""
        shortest = self.counterexample
        if shortest is None or len(found["path"]) < len(shortest["path"]):
            self.counterexample = found
