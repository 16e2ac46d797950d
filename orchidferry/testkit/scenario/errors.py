"""Errors of scenario files."""

from __future__ import annotations

from orchidferry.errors import OrchidferryError


class ScenarioError(OrchidferryError):
    """A scenario that can't be run; the message names file and field."""


class ScenarioValueError(OrchidferryError):
    """An invalid value or an invalid combination of values; the file is added by the code that catches it."""
