"""Clients at each machine's `outbound`, an open loop, and the platform's prober of readiness."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass
from random import Random

from orchidferry.testkit import draws
from orchidferry.testkit.mesh.ask import MIN_LEFT_S, Scene
from orchidferry.testkit.mesh.configuration import NEVER, NEW, OLD, host, prefix
from orchidferry.testkit.mesh.day import KINDS, PROBE, Kind, Machine
from orchidferry.testkit.mesh.facts import Ready, Sent, digest
from orchidferry.testkit.mesh.tasks import TaskSet
from orchidferry.testkit.wire import Outcome, get

# how often readiness is asked for, and how many misses take a machine out
PROBE_S = 1.0
MISSES = 2
WAIT_S = 0.05  # before a client's second try, doubling
ADVICE = 1.0 / 3.0  # of the time left, for which Retry-After is heeded
AGAIN = 0.2  # of keyed ones are sent again after a good answer
CHUNKED = 0.25  # of bodies
REFUSED = (408, 421, 429, 503)
NEVER_AGAIN = (400, 401, 404, 413, 431)


class Platform:
    """Which machines get new work."""

    def __init__(self, scene: Scene, machines: list[Machine]) -> None:
        self._scene = scene
        self.machines = machines
        self.misses = {machine.name: MISSES for machine in machines}  # out until first seen ready
        self.known: set[str] = set()  # seen ready once
        self.gone: set[str] = set()  # taken away with their server

    def there(self) -> list[Machine]:
        """Machines that get new work: those that answer; all of a zone where fewer than half do."""
        found = []
        for zone in dict.fromkeys(machine.zone for machine in self.machines):
            some = [m for m in self.machines if m.zone == zone and m.name not in self.gone]
            ready = [m for m in some if self.misses[m.name] < MISSES]
            found += ready if len(ready) * 2 >= len(some) else some
        return found

    async def probe(self) -> None:
        while True:
            await asyncio.gather(*(self._one(m) for m in self.machines if m.name not in self.gone))
            await asyncio.sleep(PROBE_S if len(self.known) == len(self.machines) else 0.2)

    async def _one(self, machine: Machine) -> None:
        where = machine.bind, self._scene.ports.ready
        outcome = await get(where, "/orchidferry/readiness", 1.0)
        ok = outcome.how == "answer" and outcome.status == 200
        self._scene.note(Ready(self._scene.now(), machine.name, ok))
        self.misses[machine.name] = 0 if ok else self.misses[machine.name] + 1
        if ok:
            self.known.add(machine.name)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A first try."""

    t: float
    number: int
    kind: Kind


def arrivals(seed: int, seconds: float) -> list[Arrival]:
    """All first tries, in order: a Poisson process for each kind."""
    found: list[tuple[float, Kind]] = []
    for kind in KINDS:
        rng = draws.stream(seed, "arrivals", kind.name)
        t = 0.0
        while kind.rate:
            t += rng.expovariate(kind.rate)
            if t >= seconds:
                break
            found.append((t, kind))
    found.sort(key=lambda one: one[0])
    return [Arrival(t, number, kind) for number, (t, kind) in enumerate(found)]


class Clients:
    """All clients of a run."""

    def __init__(
        self, scene: Scene, platform: Platform, seconds: float, again_s: tuple[float, float]
    ) -> None:
        self._scene = scene
        self._platform = platform
        self._again_s = again_s
        self._arrivals = arrivals(scene.seed, seconds)
        self._open = TaskSet()
        self._probes = 0
        self.counts = Counter[str]()

    async def play(self, start: float) -> None:
        """Ask all at their times; `start` is on the run's clock."""
        for arrival in self._arrivals:
            wait = start + arrival.t - self._scene.now()
            if wait > 0:
                await asyncio.sleep(wait)
            self._open.spawn(self._client(arrival, start + arrival.t))

    async def rest(self, limit_s: float) -> None:
        """Wait for what is open."""
        await self._open.wait(limit_s)

    def close(self) -> None:
        self._open.cancel()

    def _machine(self, name: str, beside: Machine | None = None) -> Machine | None:
        there = [m for m in self._platform.there() if beside is None or m.name != beside.name]
        if not there:
            return None
        return there[int(draws.uniform(self._scene.seed, "machine", name, high=len(there)))]

    async def _client(self, arrival: Arrival, due: float) -> None:
        """A first try and its repeats, and a keyed one once more after a good answer."""
        scene = self._scene
        kind = arrival.kind
        root = f"r{arrival.number}"
        key = f"k-{draws.number(scene.seed, 'key', root):016x}" if kind.route_type == "keyed" else ""
        ends = due + kind.deadline_ms / 1000.0
        self.counts["asked"] += 1
        machine, good = await self._tries(kind, root, key, due, ends, True)
        self.counts["served"] += good
        if key and good and draws.uniform(scene.seed, "again", root) < AGAIN:
            low, high = self._again_s
            await asyncio.sleep(draws.uniform(scene.seed, "later", root, low=low, high=high))
            now = scene.now()
            await self._tries(kind, f"{root}x", key, now, now + kind.deadline_ms / 1000.0, False, machine)

    async def _tries(
        self,
        kind: Kind,
        root: str,
        key: str,
        due: float,
        ends: float,
        owed: bool,
        beside: Machine | None = None,
    ) -> tuple[Machine | None, bool]:
        scene = self._scene
        machine = self._machine(root, beside)
        wait = WAIT_S
        body = b"" if kind.repeatable else self._body(root if owed else root.removesuffix("x"))
        chunked = draws.uniform(scene.seed, "chunks", root) < CHUNKED
        what = root.removesuffix("x")
        for number in range(1 + kind.repeats):
            now = scene.now()
            if machine is None or ends - now < MIN_LEFT_S:
                break
            if machine.name not in {m.name for m in self._platform.there()}:
                machine = self._machine(f"{root}.{number}") or machine
            sent = Sent(
                now,
                f"{draws.number(scene.seed, 'id', root, number):016x}",
                kind.name,
                machine.name,
                host(scene.seed),
                "GET" if kind.repeatable else "POST",
                f"{prefix(scene.seed, kind.name)}{what}?of={draws.number(scene.seed, 'of', what):x}",
                digest(body),
                key,
                kind.repeatable,
                ends,
                root,
                due,
                owed=owed,
            )
            outcome = await scene.ask(machine, sent, body, chunked, number > 0)
            if outcome.how == "answer" and 200 <= outcome.status < 300:
                return machine, True
            if not again(kind, outcome):
                break
            pause = wait
            if outcome.status in REFUSED:
                pause = max(pause, min(_advice(outcome), (ends - scene.now()) * ADVICE))
            wait *= 2.0
            await asyncio.sleep(max(0.0, min(pause, ends - scene.now())))
        return machine, False

    def _body(self, root: str) -> bytes:
        rng = Random(draws.number(self._scene.seed, "body", root))
        return rng.randbytes(rng.randint(100, 2_000))

    async def probes(self, paths: tuple[str, ...] = (OLD, NEW, NEVER)) -> None:
        """Ask every node a few of what shows which configuration is in force there; earns nothing."""
        scene = self._scene
        for machine in self._platform.there():
            for path in paths:
                self._probes += 1
                root = f"p{self._probes}"
                now = scene.now()
                sent = Sent(
                    now,
                    f"{draws.number(scene.seed, 'id', root):016x}",
                    PROBE,
                    machine.name,
                    host(scene.seed),
                    "GET",
                    f"{path}{root}",
                    digest(b""),
                    "",
                    True,
                    now + 2.0,
                    root,
                    now,
                    owed=False,
                )
                self._open.spawn(self._probe(machine, sent))

    async def _probe(self, machine: Machine, sent: Sent) -> None:
        await self._scene.ask(machine, sent, b"", False, False)


def again(kind: Kind, outcome: Outcome) -> bool:
    """Whether a client tries once more."""
    if outcome.how == "timeout" or (outcome.how == "answer" and outcome.status in NEVER_AGAIN):
        return False
    if kind.route_type == "non_idempotent":
        untaken = outcome.how in ("refused", "silent")
        return untaken or (outcome.how == "answer" and outcome.status in REFUSED)
    return True


def _advice(outcome: Outcome) -> float:
    try:
        return float(outcome.headers.get("retry-after", "0"))
    except ValueError:
        return 0.0
