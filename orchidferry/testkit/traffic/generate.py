"""Generates synthetic logs and HARs of a Monday morning from a seed, together with the ground truth.

Twice a show publishes: the request rate rises to a multiple within a minute, and falls off again. Clients
request popular objects more often (Zipf), and retry failed requests. Most failures occur in one period. The
logs contain what a server would write; `GeneratedRequest` also tells which request is a retry of which.
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
# Fraction of the requests, and mean duration, by class
SHARES = (("ler-feed", 0.8), ("salvar-episodio", 0.17), ("repasse-socio", 0.03))
MEAN_S = {"ler-feed": 0.08, "salvar-episodio": 0.2, "repasse-socio": 0.4}
START_TIME_S = 1_791_201_600.0  # Monday, 5 October 2026, 12:00 UTC
SPIKE = 6.0  # additional rate at a publication, as a multiple of the usual rate
RISE_S = 30.0  # duration of the linear rise of a spike
FALL_S = 240.0  # time constant of the exponential decay of a spike
MAX_RETRIES = 3  # retries of one request
RETRY_DELAY_S = 1.0  # mean delay of the first retry; it doubles with each further retry
# Start and end of the period with many failures, as fractions of the time, and the fraction that fails in it
FAILURE_PERIOD = (0.35, 0.45, 0.25)
FAILURE_RATE = 0.004  # fraction of the requests that fail at other times
FAILURE_STATUSES = (502, 503, 504, 499)


@dataclass(frozen=True, slots=True)
class GeneratedRequest:
    """One request, with the ground truth about retries."""

    t: float  # start of the request, in seconds since the start of the traffic
    took_s: float
    cls: str
    client: int  # number of the client
    object: int  # number of the object, in order of popularity
    status: int
    sent: int  # bytes of the response body
    root: int  # number of its first attempt among all first attempts
    number: int  # number of the attempt, from 0


def rate_at(t: float, rate: float, seconds: float) -> float:
    """Compute the rate of first attempts, with publications after one and two thirds of the time.

    :param t: seconds since the start of the traffic.
    :param rate: the usual rate of first attempts per second.
    :param seconds: length of the traffic.
    """
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
    """Generate all requests in order of their start.

    First attempts are a Poisson process with a varying rate, drawn by thinning.

    :param rate: the usual rate of first attempts per second.
    :param seconds: length of the traffic.
    :param seed: of all random values.
    :param clients: number of clients.
    :param objects: number of objects.
    """
    rng = seeded_random.generator(seed, "traffic")
    cumulative_popularity = list(itertools.accumulate((n + 1) ** -0.9 for n in range(objects)))
    classes = list(itertools.accumulate(share for _, share in SHARES))
    scheduled_retries: list[tuple[float, int, GeneratedRequest]] = []  # heap of retries, by time
    t = 0.0
    root = 0
    max_rate = rate * (1.0 + 2.0 * SPIKE)
    serial = itertools.count()
    while True:
        t += rng.expovariate(max_rate)
        while scheduled_retries and scheduled_retries[0][0] <= min(t, seconds):
            retry = heapq.heappop(scheduled_retries)[2]
            yield retry
            _schedule_retry(retry, rng, scheduled_retries, serial, seconds)
        if t >= seconds:
            return
        if rng.random() * max_rate >= rate_at(t, rate, seconds):
            continue
        name = SHARES[min(bisect.bisect(classes, rng.random()), len(SHARES) - 1)][0]
        object_number = bisect.bisect(cumulative_popularity, rng.random() * cumulative_popularity[-1])
        first = _draw_request(
            t, name, rng.randrange(clients), min(object_number, objects - 1), root, 0, rng, seconds
        )
        root += 1
        yield first
        _schedule_retry(first, rng, scheduled_retries, serial, seconds)


def _draw_request(
    t: float, name: str, client: int, object_number: int, root: int, number: int, rng: Random, seconds: float
) -> GeneratedRequest:
    in_failure_period = FAILURE_PERIOD[0] <= t / seconds < FAILURE_PERIOD[1]
    fails = rng.random() < (FAILURE_PERIOD[2] if in_failure_period else FAILURE_RATE)
    status = rng.choice(FAILURE_STATUSES) if fails else 200
    took_s = rng.expovariate(1.0 / MEAN_S[name]) + 0.002
    return GeneratedRequest(
        t,
        took_s,
        name,
        client,
        object_number,
        status,
        0 if fails else rng.randrange(200, 60_000),
        root,
        number,
    )


def _schedule_retry(
    one: GeneratedRequest,
    rng: Random,
    scheduled_retries: list[tuple[float, int, GeneratedRequest]],
    serial: Iterator[int],
    seconds: float,
) -> None:
    """Schedule the retry of a failed request with exponential backoff, except for the unsafe class."""
    if one.status == 200 or one.number >= MAX_RETRIES or one.cls == "repasse-socio":
        return
    at = one.t + one.took_s + RETRY_DELAY_S * 2.0**one.number * (0.5 + rng.random())
    retry = _draw_request(at, one.cls, one.client, one.object, one.root, one.number + 1, rng, seconds)
    heapq.heappush(scheduled_retries, (at, next(serial), retry))


def target(one: GeneratedRequest) -> tuple[str, str]:
    """:returns: method and request target."""
    match one.cls:
        case "ler-feed":
            return "GET", f"/feeds/{one.object}?page={one.object % 3}"
        case "salvar-episodio":
            return "PUT", f"/episodios/{one.object}"
        case _:
            return "POST", "/repasses"


def address(client: int) -> str:
    """:returns: the IP address of a client; one in five has IPv6."""
    return (
        f"2001:db8::{client:x}"
        if client % 5 == 0
        else f"10.{client >> 16}.{client >> 8 & 255}.{client & 255}"
    )


def log_lines(found: Iterator[GeneratedRequest]) -> Iterator[bytes]:
    """Format requests as lines in `LOG_FORMAT`, in the order in which a server logs them: by their end."""
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
    """Format requests as a HAR, in chunks."""
    yield b'{"log": {"version": "1.2", "creator": {"name": "rehearsal", "version": "1"}, "entries": ['
    for number, one in enumerate(found):
        method, path = target(one)
        started = datetime.fromtimestamp(START_TIME_S + one.t, UTC).isoformat(timespec="milliseconds")
        aborted = one.status == 499
        yield (b"," if number else b"") + json.dumps(
            {
                "startedDateTime": started,
                "time": -1 if aborted else one.took_s * 1e3,
                "_resourceType": "fetch",
                "request": {
                    "method": method,
                    "url": f"https://front.example{path}",
                    "bodySize": 0,
                    "headers": [{"name": "User-Agent", "value": f"Castbox/{one.client % 7}"}],
                    "cookies": [{"name": "sid", "value": f"c{one.client}"}],
                },
                "response": {
                    "status": 0 if aborted else one.status,
                    "bodySize": one.sent,
                    "content": {"size": one.sent},
                },
            }
        ).encode()
    yield b"]}}"
