"""Errors of the traffic commands."""

from __future__ import annotations

from orchidferry.errors import OrchidferryError


class UsageError(OrchidferryError):
    """An argument of the command line can't be used; the text says which, in one line."""
