"""Faults of a stand-in server under calls that are not idempotent, drawn by the seed and the call's id."""

from __future__ import annotations

from enum import Enum

from orchidferry.testkit import seeded_random

FAULTY_SHARE = 0.3
"""Of the calls that reach a faulty server, those that are struck."""


class CallFault(Enum):
    """What goes wrong with one call at its server."""

    RESET_BEFORE_EXECUTION = "reset once it was read, before it was executed"
    RESET_DURING_EXECUTION = "reset in the middle of its execution"
    RESET_AFTER_EXECUTION = "executed, then reset with no byte of an answer"
    RESET_DURING_ANSWER = "executed, then reset in the middle of its answer"
    SILENT = "executed, then silence"


_FAULTS = tuple(CallFault)


def call_fault(seed: int, request_id: str) -> CallFault | None:
    """What a faulty server does to a call; None if it serves it."""
    if seeded_random.uniform(seed, "call-fault", request_id) >= FAULTY_SHARE:
        return None
    return _FAULTS[int(seeded_random.uniform(seed, "which-call-fault", request_id, high=len(_FAULTS)))]
