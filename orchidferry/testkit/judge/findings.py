"""The result of checking one rule: how often it was checked, and where it was violated."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

MAX_REPORTED = 20
"""Number of violations of one rule that are kept with their history; further ones are only counted."""


@dataclass(slots=True)
class Violation:
    """One violation of a rule."""

    t: float  # seconds since the load began
    request: str  # id of the request; empty if the violation does not concern a single request
    description: str
    history: list[str] = field(default_factory=list)  # recorded events of the request, one per line
    tier: int = 0  # index of the server tier that the request was for


@dataclass(slots=True)
class Finding:
    """The result of checking one rule.

    A rule with nothing to check (`checked` is 0) was never exercised, so the run does not confirm it.
    """

    checked: int = 0  # number of cases in which the rule could have been violated
    violation_count: int = 0
    violations: list[Violation] = field(default_factory=list)  # the first `MAX_REPORTED` violations

    @property
    def passed(self) -> bool:
        """Whether the rule was never violated."""
        return self.violation_count == 0

    def add(
        self, t: float, request: str, description: str, history: Callable[[], list[str]], tier: int = 0
    ) -> None:
        """Count a violation, and keep it unless `MAX_REPORTED` violations have been kept already.

        :param t: seconds since the load began
        :param request: the id of the request; empty if the violation does not concern a single request
        :param description: the problem, in one line
        :param history: returns the request's recorded events, one per line; called only if the violation is
            kept
        :param tier: index of the server tier that the request was for
        """
        self.violation_count += 1
        if len(self.violations) < MAX_REPORTED:
            self.violations.append(Violation(t, request, description, history(), tier))
