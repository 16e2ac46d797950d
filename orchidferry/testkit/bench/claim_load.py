"""What the bench and its claimer process tell each other: a JSON object a line."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class ClaimerSetup:
    """Where the controllers are, and the address of the claimer."""

    seeds: list[str]
    port: int
    ip: str


@dataclass(frozen=True, slots=True)
class ClaimLoad:
    """A load of claims, each of a new key."""

    tag: str  # tells the keys of one load from those of others
    rate: float  # claims a second; 0: `max_concurrent` are always under way
    seconds: float
    max_concurrent: int
    max_claims: int
    stored_bytes: int = 0  # of the answer that is stored under each key


@dataclass(frozen=True, slots=True)
class ClaimReport:
    """What came of a load."""

    asked: int
    granted: int
    seconds: float
    took_s: list[float]  # of each claim that was granted, from when it was due
    late_s: list[float]  # by which each claim was made too late
    claimer_cpu_s: float


def encode_line(message: ClaimerSetup | ClaimLoad | ClaimReport) -> bytes:
    """A message as a line.

    >>> ClaimerSetup(**json.loads(encode_line(ClaimerSetup(["10.0.0.1"], 80, "10.0.0.2"))))
    ClaimerSetup(seeds=['10.0.0.1'], port=80, ip='10.0.0.2')
    """
    return json.dumps(asdict(message)).encode() + b"\n"
