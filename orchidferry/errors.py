"""The base of every error that orchidferry raises itself.

Each package derives its own errors from `OrchidferryError`, under a name that ends in `Error`. The text of an
error is one line for a person: it names the file, field or peer that is at fault.
"""

from __future__ import annotations


class OrchidferryError(Exception):
    """Base class of orchidferry's own errors; a handler that catches it misses no other of them."""
