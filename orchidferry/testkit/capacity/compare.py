"""Compares two runs: which of their figures agree."""

from __future__ import annotations

import json
import sys
from dataclasses import dataclass, field
from pathlib import Path

from orchidferry.testkit.capacity.figures import ONCE, Figure

TOLERANCE = 0.2  # two precise values agree if they differ by no more than this share of the larger one
Key = tuple[str, str, str, str, float, str]


@dataclass(slots=True)
class Agreement:
    """The result of a comparison of two runs.

    :ivar precise: number of figures that are precise in both runs
    :ivar intervals: number of figures that are an interval in at least one of the runs
    :ivar inconclusive: number of figures that are inconclusive in at least one of the runs
    :ivar single: number of figures that were measured just once in at least one of the runs
    :ivar disagreements: a line for each figure on which the runs disagree
    :ivar unmatched: number of figures that only one of the runs has
    """

    precise: int = 0
    intervals: int = 0
    inconclusive: int = 0
    single: int = 0
    disagreements: list[str] = field(default_factory=list)
    unmatched: int = 0

    def report(self) -> str:
        """Return the disagreements and a summary, as lines for a terminal."""
        comparable = self.precise + self.intervals
        summary = (
            f"{comparable - len(self.disagreements)} of {comparable} agree: "
            f"{self.precise} values within {TOLERANCE:.0%} and {self.intervals} intervals that overlap; "
            f"{self.inconclusive} unknown, {self.single} measured once, {self.unmatched} in only one run"
        )
        return "\n".join([*self.disagreements, summary])


def key(figure: Figure) -> Key:
    """Return the identity of a figure: everything except its value."""
    return figure.role, figure.name, figure.unit, figure.axis, figure.at, figure.time


def interval(figure: Figure) -> tuple[float, float]:
    """Return the interval of a figure; for a precise one, the interval of the values that agree with it."""
    if figure.is_precise or figure.low is None or figure.high is None:
        margin = TOLERANCE * abs(figure.value)
        return figure.value - margin, figure.value + margin
    return figure.low, figure.high


def agree(one: Figure, other: Figure) -> bool:
    """Return whether two conclusive figures agree.

    >>> of = ("proxy", "x", "ms", "nodes", 12)
    >>> agree(Figure(*of, 10.0), Figure(*of, 12.6)), agree(Figure(*of, 10.0), Figure(*of, 12.4))
    (False, True)
    >>> agree(Figure(*of, 10.0), Figure(*of, 20.0, low=11.0, high=22.0))
    True
    """
    if one.is_precise and other.is_precise:
        return abs(one.value - other.value) <= TOLERANCE * max(abs(one.value), abs(other.value))
    (low, high), (other_low, other_high) = interval(one), interval(other)
    return low <= other_high and other_low <= high


def compare_runs(first: list[Figure], second: list[Figure]) -> Agreement:
    """Compare the figures of two runs."""
    agreement = Agreement()
    others = {key(figure): figure for figure in second}
    for one in first:
        other = others.pop(key(one), None)
        if other is None:
            agreement.unmatched += 1
            continue
        if ONCE in (one.note, other.note):
            agreement.single += 1
            continue
        if one.is_inconclusive or other.is_inconclusive:
            agreement.inconclusive += 1
            continue
        if one.is_precise and other.is_precise:
            agreement.precise += 1
        else:
            agreement.intervals += 1
        if not agree(one, other):
            label = f"{one.role} {one.name}, {one.at:g} {one.axis}"
            agreement.disagreements.append(
                f"apart: {label}: {one.cell_text()}, {other.cell_text()} {one.unit}"
            )
    agreement.unmatched += len(others)
    return agreement


def main(first: str, second: str) -> int:
    """Compare two files written by `--json`.

    :returns: the exit status: 1 if the runs disagree, 2 if a file cannot be read
    """
    runs = []
    for path in (first, second):
        try:
            runs.append([Figure(**one) for one in json.loads(Path(path).read_text())["figures"]])
        except (OSError, ValueError, KeyError, TypeError) as error:
            print(f"orchidferry capacity: {path}: not a file of figures: {error}", file=sys.stderr)
            return 2
    agreement = compare_runs(*runs)
    print(agreement.report())
    return 1 if agreement.disagreements else 0
