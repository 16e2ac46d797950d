"""Errors of the traffic commands."""

from __future__ import annotations

from orchidferry.errors import OrchidferryError


class UsageError(OrchidferryError):
    """A command-line argument can't be used; the text names it, in one line."""
