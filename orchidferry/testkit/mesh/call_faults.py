"""Faults that a stand-in server injects into non-idempotent calls, chosen by the seed and the call's id."""

from __future__ import annotations

from enum import Enum

from orchidferry.testkit import seeded_random

FAULTY_SHARE = 0.3
"""The fraction of non-idempotent calls at a faulty server that get a fault."""


class CallFault(Enum):
    """A fault of one call at its server."""

    RESET_BEFORE_EXECUTION = "request read, connection reset before execution"
    RESET_DURING_EXECUTION = "connection reset in the middle of the execution"
    RESET_AFTER_EXECUTION = "executed, connection reset before any byte of the response"
    RESET_DURING_ANSWER = "executed, connection reset in the middle of the response"
    SILENT = "executed, no response, connection reset after the deadline"


_FAULTS = tuple(CallFault)


def call_fault(seed: int, request_id: str) -> CallFault | None:
    """The fault that a faulty server injects into a call; None: it serves the call normally."""
    if seeded_random.uniform(seed, "call-fault", request_id) >= FAULTY_SHARE:
        return None
    return _FAULTS[int(seeded_random.uniform(seed, "which-call-fault", request_id, high=len(_FAULTS)))]
