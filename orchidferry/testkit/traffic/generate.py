"""Logs and HARs of a Monday morning that never was, with the truth beside them. Drawn from a seed.

A show publishes: within a minute its feed is asked for many times as often, episodes follow, and both fall
off again. Clients come and go, ask for what is popular (Zipf), and ask again after failures, which come in a
spell. What is written is what a server would log; `GeneratedRequest` says which request was a retry of which.
"""

from __future__ import annotations

import bisect
import heapq
import itertools
import json
import math
from collections.abc import Iterator
from dataclasses import dataclass
from datetime import UTC, datetime
from random import Random

from orchidferry.testkit import seeded_random

CLASSES = """
[[class]]
name = "ler-feed"
path = "/feeds/*"
method = "GET"
repeat = "safe"
wanted_s = 0.5
gives_up_s = 2.0

[[class]]
name = "salvar-episodio"
path = "/episodios/*"
method = "PUT"
repeat = "keyed"
wanted_s = 1.0
gives_up_s = 4.0
worth = 3.0

[[class]]
name = "repasse-socio"
path = "/repasses"
method = "POST"
repeat = "unsafe"
wanted_s = 2.0
gives_up_s = 6.0
worth = 8.0
"""
LOG_FORMAT = (
    '$remote_addr - - [$time_local] "$request" $status $body_bytes_sent "-" "$http_user_agent" '
    "$request_time $msec"
)
SHARES = (("ler-feed", 0.8), ("salvar-episodio", 0.17), ("repasse-socio", 0.03))
MEAN_S = {"ler-feed": 0.08, "salvar-episodio": 0.2, "repasse-socio": 0.4}
START_TIME_S = 1_791_201_600.0  # Monday, 5 October 2026, 12:00 UTC
# times the usual rate at a publication, and how it comes and goes
SPIKE = 6.0
RISE_S = 30.0
FALL_S = 240.0
RETRIES = 3
RETRY_S = 1.0
SPELL = (0.35, 0.45, 0.25)  # from, to (shares of the time), and how many requests fail within it
FAIL = 0.004  # and without it
STATUSES = (502, 503, 504, 499)


@dataclass(frozen=True, slots=True)
class GeneratedRequest:
    """One request as it was."""

    t: float  # its start, seconds from the first moment
    took_s: float
    cls: str
    client: int
    object: int
    status: int
    sent: int
    root: int  # number of its first try
    number: int  # which try it is


def rate_at(t: float, rate: float, seconds: float) -> float:
    """First tries a second: a third and two thirds into it something is published."""
    found = rate
    for at in (seconds / 3.0, seconds * 2.0 / 3.0):
        if at <= t < at + RISE_S:
            found += rate * SPIKE * (t - at) / RISE_S
        elif t >= at + RISE_S:
            found += rate * SPIKE * math.exp(-(t - at - RISE_S) / FALL_S)
    return found


def requests(
    rate: float, seconds: float, seed: int, clients: int = 5_000, objects: int = 2_000
) -> Iterator[GeneratedRequest]:
    """All requests in order of their start. First tries are a Poisson process by thinning."""
    rng = seeded_random.generator(seed, "traffic")
    popular = list(itertools.accumulate((n + 1) ** -0.9 for n in range(objects)))
    classes = list(itertools.accumulate(share for _, share in SHARES))
    later: list[tuple[float, int, GeneratedRequest]] = []  # retries that are still to come
    t = 0.0
    root = 0
    max_rate = rate * (1.0 + 2.0 * SPIKE)
    serial = itertools.count()
    while True:
        t += rng.expovariate(max_rate)
        while later and later[0][0] <= min(t, seconds):
            again = heapq.heappop(later)[2]
            yield again
            _plan_retry(again, rng, later, serial, seconds)
        if t >= seconds:
            return
        if rng.random() * max_rate >= rate_at(t, rate, seconds):
            continue
        name = SHARES[min(bisect.bisect(classes, rng.random()), len(SHARES) - 1)][0]
        thing = bisect.bisect(popular, rng.random() * popular[-1])
        first = _made(t, name, rng.randrange(clients), min(thing, objects - 1), root, 0, rng, seconds)
        root += 1
        yield first
        _plan_retry(first, rng, later, serial, seconds)


def _made(
    t: float, name: str, client: int, thing: int, root: int, number: int, rng: Random, seconds: float
) -> GeneratedRequest:
    in_spell = SPELL[0] <= t / seconds < SPELL[1]
    fails = rng.random() < (SPELL[2] if in_spell else FAIL)
    status = rng.choice(STATUSES) if fails else 200
    took_s = rng.expovariate(1.0 / MEAN_S[name]) + 0.002
    return GeneratedRequest(
        t, took_s, name, client, thing, status, 0 if fails else rng.randrange(200, 60_000), root, number
    )


def _plan_retry(
    one: GeneratedRequest,
    rng: Random,
    later: list[tuple[float, int, GeneratedRequest]],
    serial: Iterator[int],
    seconds: float,
) -> None:
    """Clients ask for what failed again, with a back-off; not for what may not be sent twice."""
    if one.status == 200 or one.number >= RETRIES or one.cls == "repasse-socio":
        return
    at = one.t + one.took_s + RETRY_S * 2.0**one.number * (0.5 + rng.random())
    made = _made(at, one.cls, one.client, one.object, one.root, one.number + 1, rng, seconds)
    heapq.heappush(later, (at, next(serial), made))


def target(one: GeneratedRequest) -> tuple[str, str]:
    """Method and target as the client wrote them."""
    match one.cls:
        case "ler-feed":
            return "GET", f"/feeds/{one.object}?page={one.object % 3}"
        case "salvar-episodio":
            return "PUT", f"/episodios/{one.object}"
        case _:
            return "POST", "/repasses"


def address(client: int) -> str:
    """Some clients have IPv6."""
    return (
        f"2001:db8::{client:x}"
        if client % 5 == 0
        else f"10.{client >> 16}.{client >> 8 & 255}.{client & 255}"
    )


def log_lines(found: Iterator[GeneratedRequest]) -> Iterator[bytes]:
    """Lines in `LOG_FORMAT`, in the order in which a server writes them: by the end of each."""
    out: list[tuple[float, int, GeneratedRequest]] = []
    for number, one in enumerate(found):
        heapq.heappush(out, (one.t + one.took_s, number, one))
        while out and out[0][0] <= one.t:
            yield _line(heapq.heappop(out)[2])
    while out:
        yield _line(heapq.heappop(out)[2])


def _line(one: GeneratedRequest) -> bytes:
    end = START_TIME_S + one.t + one.took_s
    local = datetime.fromtimestamp(end, UTC).strftime("%d/%b/%Y:%H:%M:%S +0000")
    method, path = target(one)
    return (
        f'{address(one.client)} - - [{local}] "{method} {path} HTTP/1.1" {one.status} {one.sent} "-" '
        f'"Castbox/{one.client % 7} \\"beta\\"" {one.took_s:.3f} {end:.3f}\n'
    ).encode()


def har(found: Iterator[GeneratedRequest]) -> Iterator[bytes]:
    """The same as a HAR, piece by piece."""
    yield b'{"log": {"version": "1.2", "creator": {"name": "rehearsal", "version": "1"}, "entries": ['
    for number, one in enumerate(found):
        method, path = target(one)
        started = datetime.fromtimestamp(START_TIME_S + one.t, UTC).isoformat(timespec="milliseconds")
        gone = one.status == 499
        yield (b"," if number else b"") + json.dumps(
            {
                "startedDateTime": started,
                "time": -1 if gone else one.took_s * 1e3,
                "_resourceType": "fetch",
                "request": {
                    "method": method,
                    "url": f"https://front.example{path}",
                    "bodySize": 0,
                    "headers": [{"name": "User-Agent", "value": f"Castbox/{one.client % 7}"}],
                    "cookies": [{"name": "sid", "value": f"c{one.client}"}],
                },
                "response": {
                    "status": 0 if gone else one.status,
                    "bodySize": one.sent,
                    "content": {"size": one.sent},
                },
            }
        ).encode()
    yield b"]}}"
