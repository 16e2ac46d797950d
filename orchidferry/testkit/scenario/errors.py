"""Errors of scenario files."""

from __future__ import annotations

from orchidferry.errors import OrchidferryError


class ScenarioError(OrchidferryError):
    """A scenario that can't be played; the text names file and field."""


class ScenarioValueError(OrchidferryError):
    """What is wrong with a value; whoever reads the table adds the file."""
