"""Messages between the benchmark and its claimer process: one JSON object per line."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass


@dataclass(frozen=True, slots=True)
class ClaimerSetup:
    """The addresses of the controllers and of the claimer."""

    seeds: list[str]  # IP addresses of the controllers
    port: int  # port of the controllers
    ip: str  # IP address of the claimer


@dataclass(frozen=True, slots=True)
class ClaimLoad:
    """A load of claims, each of a new key."""

    tag: str  # distinguishes the keys of this load from those of others
    rate: float  # claims per second; 0 keeps `max_concurrent` claims in flight
    seconds: float  # duration
    max_concurrent: int  # claims in flight; only used if `rate` is 0
    max_claims: int  # number of claims after which the load ends early
    stored_bytes: int = 0  # size of the response that is stored under each key; 0 stores none


@dataclass(frozen=True, slots=True)
class ClaimReport:
    """The results of a load of claims."""

    asked: int  # claims made
    granted: int  # claims granted
    seconds: float  # duration of the load
    took_s: list[float]  # latency of each granted claim, measured from its scheduled time
    late_s: list[float]  # delay of each claim behind its scheduled time
    claimer_cpu_s: float  # CPU time of the claimer during the load


def encode_line(message: ClaimerSetup | ClaimLoad | ClaimReport) -> bytes:
    """Encode a message as a line.

    >>> ClaimerSetup(**json.loads(encode_line(ClaimerSetup(["10.0.0.1"], 80, "10.0.0.2"))))
    ClaimerSetup(seeds=['10.0.0.1'], port=80, ip='10.0.0.2')
    """
    return json.dumps(asdict(message)).encode() + b"\n"
