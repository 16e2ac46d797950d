"""Open-loop clients of the machines' `outbound` ports, and the readiness probes of the platform."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from random import Random

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.configuration import (
    ADDED_PATH,
    RETIRED_PATH,
    UNROUTED_PATH,
    host_name,
    path_prefix,
)
from orchidferry.testkit.mesh.context import MIN_REMAINING_S, RunContext
from orchidferry.testkit.mesh.day import KINDS, PROBE, Kind, Machine
from orchidferry.testkit.mesh.facts import Ready, Sent, digest
from orchidferry.testkit.mesh.tasks import TaskSet
from orchidferry.testkit.wire import Outcome, get

READINESS_INTERVAL_S = 1.0
STARTUP_READINESS_INTERVAL_S = 0.2
"""The interval until every machine has been ready once."""

READINESS_TIMEOUT_S = 1.0
MAX_MISSES = 2
"""After this many consecutive failed probes a machine counts as not ready."""

MIN_RETRY_BACKOFF_S = 0.05
"""The pause before the first retry of a request; doubled for each further one."""

RETRY_AFTER_SHARE = 1.0 / 3.0
"""The longest pause that Retry-After can cause, as a fraction of the time until the request's deadline."""

LONG_KEY_SHARE = 0.2
"""The fraction of operation keys that have one of `LONG_KEY_BYTES`; the others are short."""

LONG_KEY_BYTES = (511, 512, 600, 4_000, 12_000)
"""Lengths of long operation keys; a store's own limit lies between the first two."""

REPEAT_SHARE = 0.2
"""The fraction of keyed requests that are sent again after they have succeeded."""

CHUNKED_SHARE = 0.25
"""The fraction of requests with a body that use chunked transfer encoding."""

ROUTE_PROBE_TIMEOUT_S = 2.0
MIN_BODY_BYTES = 100
MAX_BODY_BYTES = 2_000
REFUSALS = (408, 421, 429, 503)
"""Status codes of requests that were rejected without being executed."""

NOT_RETRIED = (400, 401, 404, 413, 431)
"""Status codes after which a client does not retry, as another attempt would fail in the same way."""


class Platform:
    """The platform on which the mesh runs: directs new requests to machines according to their readiness."""

    def __init__(self, context: RunContext, machines: list[Machine]) -> None:
        """Create a platform that regards no machine as ready yet."""
        self._context = context
        self._machines = machines
        # Consecutive failed readiness probes by machine name.
        self._misses = {machine.name: MAX_MISSES for machine in machines}
        self.seen_ready: set[str] = set()  # names of machines that have been ready at least once
        self.removed: set[str] = set()  # names of machines that were removed after their server was drained

    def available(self) -> list[Machine]:
        """The machines that get new requests.

        These are the ready ones of each zone, or all of the zone if fewer than half are ready.
        """
        found = []
        for zone in dict.fromkeys(machine.zone for machine in self._machines):
            machines = [m for m in self._machines if m.zone == zone and m.name not in self.removed]
            ready = [m for m in machines if self._misses[m.name] < MAX_MISSES]
            found += ready if len(ready) * 2 >= len(machines) else machines
        return found

    async def probe_readiness(self) -> None:
        """Probe the readiness of all machines periodically, until cancelled."""
        while True:
            await asyncio.gather(*(self._probe(m) for m in self._machines if m.name not in self.removed))
            all_seen = len(self.seen_ready) == len(self._machines)
            await asyncio.sleep(READINESS_INTERVAL_S if all_seen else STARTUP_READINESS_INTERVAL_S)

    async def _probe(self, machine: Machine) -> None:
        address = machine.bind, self._context.ports.ready
        outcome = await get(address, "/orchidferry/readiness", READINESS_TIMEOUT_S)
        ready = outcome.how == "answer" and outcome.status == 200
        self._context.record(Ready(self._context.now(), machine.name, ready))
        self._misses[machine.name] = 0 if ready else self._misses[machine.name] + 1
        if ready:
            self.seen_ready.add(machine.name)


@dataclass(frozen=True, slots=True)
class Arrival:
    """The time and kind of one client request."""

    t: float  # seconds since the start of the traffic
    number: int  # position in the order of time, from 0
    kind: Kind


def arrivals(seed: int, seconds: float) -> list[Arrival]:
    """The requests of all clients in order of time, as a Poisson process for each kind of request.

    :param seconds: duration of the traffic
    """
    found: list[tuple[float, Kind]] = []
    for kind in KINDS:
        rng = seeded_random.generator(seed, "arrivals", kind.name)
        t = 0.0
        while kind.rate:
            t += rng.expovariate(kind.rate)
            if t >= seconds:
                break
            found.append((t, kind))
    found.sort(key=lambda one: one[0])
    return [Arrival(t, number, kind) for number, (t, kind) in enumerate(found)]


def operation_key(seed: int, root: str) -> str:
    """Return the operation key of a request, mostly a short one.

    :param root: identifies the request in the record
    """
    key = f"k-{seeded_random.integer(seed, 'key', root):016x}"
    if seeded_random.uniform(seed, "long key", root) >= LONG_KEY_SHARE:
        return key
    [length] = seeded_random.sample(LONG_KEY_BYTES, 1, seed, "key length", root)
    return key.rjust(length, "k")


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """The properties that all attempts of one request have in common."""

    kind: Kind
    root: str  # identifies the request in the record
    subject: str  # determines path, query and body; the same for a request and its repeat
    key: str  # the operation key; empty: none
    due: float  # when its first attempt should be sent, on the run's clock
    deadline: float  # on the run's clock
    counts: bool  # whether it is part of the measured service level


class Clients:
    """All clients of a run, except those of `sessions`."""

    def __init__(
        self, context: RunContext, platform: Platform, seconds: float, repeat_after_s: tuple[float, float]
    ) -> None:
        """Create the clients; `play` starts them.

        :param seconds: duration of the traffic
        :param repeat_after_s: bounds of the time from the success of a keyed request to its repeat
        """
        self._context = context
        self._platform = platform
        self._repeat_after_s = repeat_after_s
        self._arrivals = arrivals(context.seed, seconds)
        self._tasks = TaskSet()
        self._probe_count = 0
        self.counts = Counter[str]()  # "asked" and "served": requests made and requests that succeeded

    async def play(self, start: float) -> None:
        """Send all requests at their times.

        :param start: the start of the traffic, on the run's clock
        """
        for arrival in self._arrivals:
            wait = start + arrival.t - self._context.now()
            if wait > 0:
                await asyncio.sleep(wait)
            self._tasks.spawn(self._request(arrival, start + arrival.t))

    async def drain(self, timeout_s: float) -> None:
        """Wait for the requests in flight."""
        await self._tasks.wait(timeout_s)

    def close(self) -> None:
        """Cancel the requests in flight."""
        self._tasks.cancel()

    def _random_machine(self, name: str, other_than: Machine | None = None) -> Machine | None:
        """An available machine, chosen by the seed and a name; None if there is none.

        :param other_than: this machine is not chosen
        """
        available = self._platform.available()
        machines = [m for m in available if other_than is None or m.name != other_than.name]
        if not machines:
            return None
        return machines[int(seeded_random.uniform(self._context.seed, "machine", name, high=len(machines)))]

    async def _request(self, arrival: Arrival, due: float) -> None:
        """Send a request with its retries; some keyed requests are repeated after they have succeeded."""
        seed = self._context.seed
        kind = arrival.kind
        root = f"r{arrival.number}"
        key = operation_key(seed, root) if kind.route_type == "keyed" else ""
        deadline_s = kind.deadline_ms / 1000.0
        self.counts["asked"] += 1
        request = ClientRequest(kind, root, root, key, due, due + deadline_s, True)
        machine, served = await self._attempts(request)
        self.counts["served"] += served
        if key and served and seeded_random.uniform(seed, "again", root) < REPEAT_SHARE:
            low, high = self._repeat_after_s
            await asyncio.sleep(seeded_random.uniform(seed, "later", root, low=low, high=high))
            now = self._context.now()
            repeat = ClientRequest(kind, f"{root}x", root, key, now, now + deadline_s, False)
            await self._attempts(repeat, other_than=machine)

    async def _attempts(
        self, request: ClientRequest, other_than: Machine | None = None
    ) -> tuple[Machine | None, bool]:
        """Send a request until it succeeds, its deadline passes, or no further retry is allowed.

        :param other_than: the first attempt does not go to this machine
        :returns: the machine of the last attempt, and whether the request succeeded
        """
        context = self._context
        kind = request.kind
        machine = self._random_machine(request.root, other_than)
        backoff = MIN_RETRY_BACKOFF_S
        body = b"" if kind.repeatable else self.body(request.subject)
        chunked = seeded_random.uniform(context.seed, "chunks", request.root) < CHUNKED_SHARE
        for number in range(1 + kind.repeats):
            if machine is None or request.deadline - context.now() < MIN_REMAINING_S:
                break
            if machine.name not in {m.name for m in self._platform.available()}:
                machine = self._random_machine(f"{request.root}.{number}") or machine
            sent = self.attempt(request, number, machine, body)
            outcome = await context.send(machine, sent, body, chunked, number > 0)
            if outcome.how == "answer" and 200 <= outcome.status < 300:
                return machine, True
            if not may_retry(kind, outcome):
                break
            remaining = request.deadline - context.now()
            pause = backoff
            if outcome.status in REFUSALS:
                pause = max(pause, min(_retry_after(outcome), remaining * RETRY_AFTER_SHARE))
            backoff *= 2.0
            await asyncio.sleep(max(0.0, min(pause, request.deadline - context.now())))
        return machine, False

    def attempt(self, request: ClientRequest, number: int, machine: Machine, body: bytes) -> Sent:
        """Create the record entry of an attempt that is about to be sent to a machine.

        :param number: how many attempts of the request were made before
        """
        seed = self._context.seed
        kind = request.kind
        query = f"of={seeded_random.integer(seed, 'of', request.subject):x}"
        return Sent(
            self._context.now(),
            f"{seeded_random.integer(seed, 'id', request.root, number):016x}",
            kind.name,
            machine.name,
            host_name(seed),
            "GET" if kind.repeatable else "POST",
            f"{path_prefix(seed, kind.name)}{request.subject}?{query}",
            digest(body),
            request.key,
            kind.repeatable,
            request.deadline,
            request.root,
            request.due,
            owed=request.counts,
        )

    def body(self, name: str) -> bytes:
        """A pseudo-random body, derived from the seed and a name."""
        rng = Random(seeded_random.integer(self._context.seed, "body", name))
        return rng.randbytes(rng.randint(MIN_BODY_BYTES, MAX_BODY_BYTES))

    async def probe_routes(self, paths: tuple[str, ...] = (RETIRED_PATH, ADDED_PATH, UNROUTED_PATH)) -> None:
        """Send requests to every node; their outcome shows which configuration is in force there.

        They do not count towards the measured service level.

        :param paths: prefixes of routes that only some configurations have
        """
        context = self._context
        for machine in self._platform.available():
            for path in paths:
                self._probe_count += 1
                root = f"p{self._probe_count}"
                now = context.now()
                sent = Sent(
                    now,
                    f"{seeded_random.integer(context.seed, 'id', root):016x}",
                    PROBE,
                    machine.name,
                    host_name(context.seed),
                    "GET",
                    f"{path}{root}",
                    digest(b""),
                    "",
                    True,
                    now + ROUTE_PROBE_TIMEOUT_S,
                    root,
                    now,
                    owed=False,
                )
                self._tasks.spawn(self._send_probe(machine, sent))

    async def _send_probe(self, machine: Machine, sent: Sent) -> None:
        await self._context.send(machine, sent, b"", False, False)


def may_retry(kind: Kind, outcome: Outcome) -> bool:
    """Whether a client may retry a request after this outcome.

    A non-idempotent request may be retried only if it certainly was not executed.
    """
    if outcome.how == "timeout" or (outcome.how == "answer" and outcome.status in NOT_RETRIED):
        return False
    if kind.route_type == "non_idempotent":
        never_sent = outcome.how in ("refused", "silent")  # no connection was established
        return never_sent or (outcome.how == "answer" and outcome.status in REFUSALS)
    return True


def _retry_after(outcome: Outcome) -> float:
    """The value of the Retry-After header in seconds; 0 if there is none or it is not a number."""
    try:
        return float(outcome.headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
