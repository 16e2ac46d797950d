"""Faults of a stand-in server around calls that may not be repeated: where its connection breaks off, or that
it says nothing. Drawn by the seed and the call's id. Pure.
"""

from __future__ import annotations

from enum import Enum

from orchidferry.testkit import draws


class CallFault(Enum):
    """What goes wrong with one call at its server."""

    RESET_UNRUN = "reset once it was read, before it ran"
    RESET_HALF_RUN = "reset in the middle of its run"
    RESET_RUN = "run whole, then reset with no byte of an answer"
    RESET_IN_ANSWER = "run whole, then reset in the middle of its answer"
    SILENT = "run whole, then silence"


SHARE = 0.3  # of the calls that reach a faulty server
_FAULTS = tuple(CallFault)


def drawn(seed: int, id: str) -> CallFault | None:
    """What a faulty server does to the call with this id; None: it serves it."""
    if draws.uniform(seed, "call-fault", id) >= SHARE:
        return None
    return _FAULTS[int(draws.uniform(seed, "which-call-fault", id, high=len(_FAULTS)))]
