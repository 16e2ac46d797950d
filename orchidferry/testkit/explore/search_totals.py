"""What a search over the choices of a small world has done and found."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import Any

MAX_DEPTH = 60
"""Choices in one run; a longer one is left."""

COUNTED = ("states", "transitions", "runs", "depth", "too_long")
"""The numbers that a search which is cut keeps for the next one."""


@dataclass
class Totals:
    """What a search, or a part of it, has done."""

    states: int = 0
    transitions: int = 0
    runs: int = 0
    depth: int = 0
    too_long: int = 0  # runs that were left after `MAX_DEPTH` choices
    exhausted: bool = False
    violations: Counter[str] = field(default_factory=Counter)
    counterexample: dict[str, Any] | None = None  # the shortest
    outcomes: set[str] = field(default_factory=set)
    seconds: float = 0.0
    why: str = ""  # the whole search was cut
    rest: list[list[str]] = field(default_factory=list)  # paths that were left then

    @property
    def gap(self) -> str:
        """Why not all was walked; empty if it was."""
        return self.why or (f"a run of over {MAX_DEPTH} choices" if self.too_long else "")

    def add(self, other: Totals) -> None:
        """Add the totals of another part of the search."""
        self.states += other.states
        self.transitions += other.transitions
        self.runs += other.runs
        self.depth = max(self.depth, other.depth)
        self.too_long += other.too_long
        self.violations += other.violations
        self.outcomes |= other.outcomes
        self.rest += other.rest
        if other.counterexample is not None:
            self.add_counterexample(other.counterexample)

    def add_counterexample(self, found: dict[str, Any]) -> None:
        """Keep a counterexample if it is the shortest."""
        shortest = self.counterexample
        if shortest is None or len(found["path"]) < len(shortest["path"]):
            self.counterexample = found
