"""What a judge finds of one rule: how often it was checked, and where it was violated."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

MAX_REPORTED = 20
"""Violations of one rule that are kept with their history; all of them are counted."""


@dataclass(slots=True)
class Violation:
    """One violation of a rule."""

    t: float  # seconds since the load began
    request: str  # empty: it is not about one request
    description: str
    history: list[str] = field(default_factory=list)  # what the record has of the request, a line an event
    tier: int = 0  # of the servers that the request was for


@dataclass(slots=True)
class Finding:
    """The result of checking one rule.

    A rule that had nothing to check (`checked` is 0) was not confirmed: it was never exercised.
    """

    checked: int = 0
    violation_count: int = 0
    violations: list[Violation] = field(default_factory=list)  # the first `MAX_REPORTED` of them

    @property
    def passed(self) -> bool:
        """Whether the rule was violated nowhere."""
        return self.violation_count == 0

    def add(
        self, t: float, request: str, description: str, history: Callable[[], list[str]], tier: int = 0
    ) -> None:
        """Count a violation, and keep it if there are not too many already.

        :param t: seconds since the load began
        :param request: the id of the request, or empty
        :param history: makes the lines of its history; called only if the violation is kept
        """
        self.violation_count += 1
        if len(self.violations) < MAX_REPORTED:
            self.violations.append(Violation(t, request, description, history(), tier))
