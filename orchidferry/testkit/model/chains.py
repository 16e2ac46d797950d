"""Tiers of servers with a node beside each, in virtual time: what a stall of the last one does to the chain.

Tiers grow by `fan`. Each server is a queue in front of one worker; a request of a tier makes `fan` calls to
the next at once, through the node beside its server, which takes the shorter queue of two servers and asks
again after failures. What it takes, asks again and hands on is `orchidferry.balancing.chain`'s, or, off, up
to `attempts` tries each. Servers turn away what finds their queue full, and begin nothing whose time is over,
where it is known to them. Clients are an open loop and ask once.

The model has no network, no connections and no delay loop: it shows what the budgets alone do.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidferry.balancing.chain import Chain, Limits
from orchidferry.balancing.interface import Carried, Result

WAIT_MS = 50.0  # before an attempt beyond the first, on average
SPREAD = (0.5, 1.5)  # of the work of one request, over its mean


@dataclass(frozen=True, slots=True)
class World:
    """What is modelled. Rates are a second, times milliseconds."""

    tiers: int = 4
    servers: int = 1_000  # over all tiers, each with a node
    fan: int = 3
    work_ms: float = 100.0  # of a request of any tier, its calls not counted
    load: float = 0.8  # of each tier's capacity
    queue: int = 20  # that a server holds at most
    deadline_ms: float = 5_000.0
    timeout_ms: float = 2_000.0  # of an attempt, and less where less time is left
    attempts: int = 3
    stall: tuple[float, float] = (10_000.0, 15_000.0)
    length_ms: float = 40_000.0
    on: bool = True
    seed: int = 1


@dataclass
class Outcome:
    """Figures by tier, and served by second of arrival."""

    asked: list[int]  # first tries of each tier's nodes, over the whole run,
    attempts: list[int]  # and attempts
    asked_stalled: list[int]  # in the stall
    attempts_stalled: list[int]
    served: list[int] = field(default_factory=list)  # clients' requests, by second
    wanted: list[int] = field(default_factory=list)

    def back_after_s(self, stall_end_ms: float, share: float = 0.99, for_s: int = 3) -> float | None:
        """Seconds from the stall's end until so much is served for some seconds on end; None: never."""
        start = int(stall_end_ms // 1_000)
        for at in range(start, len(self.served) - for_s + 1):
            if sum(self.served[at : at + for_s]) >= share * sum(self.wanted[at : at + for_s]):
                return float(at - start)
        return None


@dataclass(slots=True)
class _Work:
    """A request at a server."""

    tier: int
    ends_ms: float  # when nobody waits any more, as far as is known here
    carried: Carried | None
    done: Callable[[Result, bool, int], None]
    left: int = 0  # calls that are out
    failed: bool = False
    below: bool = False
    used: int = 0


class _Server:
    def __init__(self, node: Chain) -> None:
        self.node = node
        self.queue: deque[_Work] = deque()
        self.busy = self.stalled = False


class Model:
    """One run."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._rng = random.Random(world.seed)
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()
        self.now = 0.0
        first = max(1, round(world.servers / sum(world.fan**n for n in range(world.tiers))))
        sizes = [first * world.fan**n for n in range(world.tiers)]
        self.rate = world.load * first * 1_000.0 / world.work_ms  # of clients, a second

        def nodes(tier: int, count: int) -> list[Chain]:
            """Those that ask this tier."""
            return [
                Chain(Limits(f"t{tier}", f"n{n}", tier == 0, nodes=count), f"{tier}.{n}.")
                for n in range(count)
            ]

        self._front = nodes(0, first)
        self._tiers = [[_Server(node) for node in nodes(tier + 1, size)] for tier, size in enumerate(sizes)]
        zeros = [0] * world.tiers
        self.outcome = Outcome(zeros[:], zeros[:], zeros[:], zeros[:])

    def at(self, t: float, do: Callable[[], None]) -> None:
        heapq.heappush(self._heap, (t, next(self._serial), do))

    def run(self) -> Outcome:
        """Play it to its end."""
        world = self.world
        out = self.outcome
        seconds = int(world.length_ms // 1_000)
        out.served = [0] * seconds
        out.wanted = [0] * seconds
        self.at(0.0, self._arrive)
        for t, stalled in zip(world.stall, (True, False), strict=True):
            self.at(t, lambda stalled=stalled: self._stall(stalled))  # type: ignore[misc]
        while self._heap and self._heap[0][0] < world.length_ms + world.deadline_ms:
            self.now, _, do = heapq.heappop(self._heap)
            do()
        return out

    def _stall(self, stalled: bool) -> None:
        for server in self._tiers[-1]:
            server.stalled = stalled
            if not stalled:
                self._next(server)

    def _arrive(self) -> None:
        world, second = self.world, int(self.now // 1_000)
        if self.now >= world.length_ms:
            return
        self.at(self.now + self._rng.expovariate(self.rate / 1_000.0), self._arrive)
        self.outcome.wanted[second] += 1

        def over(result: Result, below: bool, used: int) -> None:
            self.outcome.served[second] += result is Result.SERVED

        self._ask(self._rng.choice(self._front), 0, None, self.now + world.deadline_ms, over)

    # A node

    def _ask(
        self,
        node: Chain,
        tier: int,
        carried: Carried | None,
        ends_ms: float,
        over: Callable[[Result, bool, int], None],
    ) -> None:
        """A request to a node, for the tier of servers behind it."""
        id = str(next(self._serial))
        out = self.outcome
        stalled = self.world.stall[0] <= self.now < self.world.stall[1]
        out.asked[tier] += 1
        out.asked_stalled[tier] += stalled
        if self.world.on and node.admit(id, carried, "a", 1.0, ends_ms - self.now, self.now) is not None:
            return over(Result.REFUSED, True, 0)
        self._try(node, tier, id, 0, ends_ms, over)

    def _try(
        self,
        node: Chain,
        tier: int,
        id: str,
        number: int,
        ends_ms: float,
        over: Callable[[Result, bool, int], None],
    ) -> None:
        world = self.world
        out = self.outcome
        began = self.now
        may = node.may_send(id, self.now) if world.on else number < world.attempts
        if not may or self.now >= ends_ms:
            below, used = node.verdict(id)
            node.done(id)
            return over(Result.ERROR, below, used)
        out.attempts[tier] += 1
        out.attempts_stalled[tier] += world.stall[0] <= self.now < world.stall[1]
        goes = node.send(id, self.now) if world.on else None
        until = min(self.now + world.timeout_ms, ends_ms)
        ended = [False]

        def end(result: Result, below: bool, used: int) -> None:
            if ended[0]:
                return
            ended[0] = True
            if world.on:
                node.ended(id, result, below, used, self.now - began, self.now)
            if result is Result.SERVED:
                node.done(id)
                return over(result, False, 0)
            wait = self._rng.uniform(0.5, 1.5) * WAIT_MS
            if world.on and not node.may_send(id, self.now):
                wait = 0.0
            self.at(self.now + wait, lambda: self._try(node, tier, id, number + 1, ends_ms, over))

        self.at(until, lambda: end(Result.TIMEOUT, False, 0))
        known = until if world.on else self.now + world.deadline_ms  # off, time is not carried
        one, other = (self._rng.choice(self._tiers[tier]) for _ in range(2))
        server = one if len(one.queue) + one.busy <= len(other.queue) + other.busy else other
        self._arrive_at(server, _Work(tier, known, goes, end))

    # A server

    def _arrive_at(self, server: _Server, work: _Work) -> None:
        if len(server.queue) >= self.world.queue:
            return work.done(Result.REFUSED, False, 0)
        server.queue.append(work)
        self._next(server)

    def _next(self, server: _Server) -> None:
        while not server.busy and not server.stalled and server.queue:
            work = server.queue.popleft()
            if self.now >= work.ends_ms:
                continue
            server.busy = True
            took = self.world.work_ms * self._rng.uniform(*SPREAD)
            self.at(self.now + took, lambda work=work: self._worked(server, work))  # type: ignore[misc]

    def _worked(self, server: _Server, work: _Work) -> None:
        server.busy = False
        self._next(server)
        if work.tier + 1 == self.world.tiers:
            return work.done(Result.SERVED, False, 0)
        work.left = self.world.fan
        for _ in range(self.world.fan):
            self._call(server, work)

    def _call(self, server: _Server, work: _Work) -> None:
        """One of its calls; when all are over it is, and served if all were."""

        def back(result: Result, below: bool, used: int) -> None:
            work.below = work.below or below
            work.used = work.used + used
            work.failed = work.failed or result is not Result.SERVED
            work.left -= 1
            if not work.left and work.failed:
                work.done(Result.ERROR, work.below, work.used)
            elif not work.left:
                work.done(Result.SERVED, False, 0)

        self._ask(server.node, work.tier + 1, work.carried, work.ends_ms, back)
