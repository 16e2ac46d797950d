"""The base class of all errors that orchidferry raises itself.

Each package derives its own errors from `OrchidferryError`, with names that end in `Error`. The message of an
error is one readable line that names the file, field or peer at fault.
"""

from __future__ import annotations


class OrchidferryError(Exception):
    """Base class of all of orchidferry's own errors."""
