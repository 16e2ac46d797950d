"""Simulates tiers of servers, each server with a sidecar node, and a stall of the last tier in virtual time.

Each tier has `fan_out` times the servers of the tier before it. A server is a queue in front of one worker. A
request makes `fan_out` concurrent calls to the next tier through the node beside its server; the node picks
the shorter queue of two random servers and retries failures. `orchidferry.balancing.chain` decides which
calls a node admits, retries and forwards; without budgets, `attempts` limits the attempts of a call. Servers
reject requests when their queue is full, and skip requests whose deadline, as far as they know it, has
passed. Clients form an open loop and send each request once.

The model has no network, no connections and no delay control loop: it shows the effect of the budgets alone.
"""

from __future__ import annotations

import functools
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidferry.balancing.chain import Chain, Limits
from orchidferry.balancing.interface import Carried, Result

RETRY_WAIT_MS = 50.0  # mean wait before each attempt after the first
RETRY_SPREAD = (0.5, 1.5)  # range of the wait, relative to its mean
WORK_SPREAD = (0.5, 1.5)  # range of the work of one request, relative to its mean

CallEnded = Callable[[Result, bool, int], None]  # result, whether a lower tier failed, attempts made there


@dataclass(frozen=True, slots=True)
class Scenario:
    """Tiers under load, with a stall of the last tier.

    :ivar tiers: number of tiers
    :ivar servers: approximate number of servers of all tiers, each with a node
    :ivar fan_out: number of calls that a request makes to the next tier
    :ivar work_ms: mean processing time of a request in any tier, without its calls
    :ivar load: offered load, as a fraction of each tier's capacity
    :ivar queue_limit: maximum number of requests that wait at a server
    :ivar deadline_ms: time after which a client's request has failed
    :ivar timeout_ms: timeout of an attempt, shortened to the time left until the deadline
    :ivar attempts: maximum number of attempts of a call, without budgets
    :ivar stall: begin and end of the stall of the last tier, in milliseconds
    :ivar duration_ms: how long clients send requests
    :ivar budgets: whether nodes apply the budgets of `orchidferry.balancing.chain`
    :ivar seed: seed of the random choices
    """

    tiers: int = 4
    servers: int = 1_000
    fan_out: int = 3
    work_ms: float = 100.0
    load: float = 0.8
    queue_limit: int = 20
    deadline_ms: float = 5_000.0
    timeout_ms: float = 2_000.0
    attempts: int = 3
    stall: tuple[float, float] = (10_000.0, 15_000.0)
    duration_ms: float = 40_000.0
    budgets: bool = True
    seed: int = 1


@dataclass(slots=True)
class Outcome:
    """Counts by tier, and counts of client requests by the second of their arrival.

    :ivar calls: number of calls to each tier
    :ivar attempts: number of attempts of these calls
    :ivar calls_in_stall: calls that began during the stall
    :ivar attempts_in_stall: attempts that began during the stall
    :ivar served: client requests that were served, by second
    :ivar requested: all client requests, by second
    """

    calls: list[int]
    attempts: list[int]
    calls_in_stall: list[int]
    attempts_in_stall: list[int]
    served: list[int] = field(default_factory=list)
    requested: list[int] = field(default_factory=list)

    def recovery_s(self, stall_end_ms: float, fraction: float = 0.99, window_s: int = 3) -> float | None:
        """Return the time from the stall's end until nearly all requests are served again.

        :param fraction: fraction of the requests that must be served
        :param window_s: length of the period in which that fraction must be served
        :returns: time in seconds; None if the service does not recover
        """
        first = int(stall_end_ms // 1_000)
        for second in range(first, len(self.served) - window_s + 1):
            window = slice(second, second + window_s)
            if sum(self.served[window]) >= fraction * sum(self.requested[window]):
                return float(second - first)
        return None


@dataclass(slots=True)
class _Work:
    """A request at a server."""

    tier: int
    deadline_ms: float  # time after which the caller has given up, as far as the server knows
    carried: Carried | None
    on_ended: CallEnded
    calls_left: int = 0
    failed: bool = False
    failed_below: bool = False
    attempts_below: int = 0


@dataclass(frozen=True, slots=True)
class _Call:
    """A call of a node to the tier behind it."""

    node: Chain
    tier: int
    id: str
    deadline_ms: float
    on_ended: CallEnded


class _Server:
    """A queue in front of one worker."""

    def __init__(self, node: Chain) -> None:
        self.node = node
        self.queue: deque[_Work] = deque()
        self.busy = False
        self.stalled = False

    @property
    def load(self) -> int:
        """Requests that wait or are worked on."""
        return len(self.queue) + self.busy


class ChainSimulation:
    """One run of a scenario.

    :ivar clients_per_s: client requests per second, all clients together
    """

    def __init__(self, scenario: Scenario) -> None:
        self._scenario = scenario
        self._rng = random.Random(scenario.seed)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._serial = itertools.count()  # numbers events and calls
        self._now_ms = 0.0
        tree_size = sum(scenario.fan_out**n for n in range(scenario.tiers))
        first = max(1, round(scenario.servers / tree_size))
        sizes = [first * scenario.fan_out**n for n in range(scenario.tiers)]
        self.clients_per_s = scenario.load * first * 1_000.0 / scenario.work_ms
        self._entry_nodes = _nodes(0, first)
        self._tiers = [[_Server(node) for node in _nodes(tier + 1, size)] for tier, size in enumerate(sizes)]
        zeros = [0] * scenario.tiers
        self._outcome = Outcome(zeros[:], zeros[:], zeros[:], zeros[:])

    @property
    def server_count(self) -> int:
        """Number of servers of all tiers."""
        return sum(map(len, self._tiers))

    def run(self) -> Outcome:
        """Run the scenario to its end."""
        scenario = self._scenario
        seconds = int(scenario.duration_ms // 1_000)
        self._outcome.served = [0] * seconds
        self._outcome.requested = [0] * seconds
        self._schedule(0.0, self._client_request)
        stall_begin_ms, stall_end_ms = scenario.stall
        self._schedule(stall_begin_ms, lambda: self._set_stalled(True))
        self._schedule(stall_end_ms, lambda: self._set_stalled(False))
        while self._events and self._events[0][0] < scenario.duration_ms + scenario.deadline_ms:
            self._now_ms, _, event = heapq.heappop(self._events)
            event()
        return self._outcome

    def _schedule(self, time_ms: float, event: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time_ms, next(self._serial), event))

    def _in_stall(self) -> bool:
        return self._scenario.stall[0] <= self._now_ms < self._scenario.stall[1]

    def _set_stalled(self, stalled: bool) -> None:
        for server in self._tiers[-1]:
            server.stalled = stalled
            if not stalled:
                self._work_next(server)

    def _client_request(self) -> None:
        if self._now_ms >= self._scenario.duration_ms:
            return
        second = int(self._now_ms // 1_000)
        interval_ms = self._rng.expovariate(self.clients_per_s / 1_000.0)
        self._schedule(self._now_ms + interval_ms, self._client_request)
        self._outcome.requested[second] += 1

        def on_ended(result: Result, failed_below: bool, attempts_below: int) -> None:
            self._outcome.served[second] += result is Result.SERVED

        node = self._rng.choice(self._entry_nodes)
        self._call(node, 0, None, self._now_ms + self._scenario.deadline_ms, on_ended)

    # A node

    def _call(
        self, node: Chain, tier: int, carried: Carried | None, deadline_ms: float, on_ended: CallEnded
    ) -> None:
        """Begin a call to a tier of servers, through a node."""
        call = _Call(node, tier, str(next(self._serial)), deadline_ms, on_ended)
        self._outcome.calls[tier] += 1
        self._outcome.calls_in_stall[tier] += self._in_stall()
        if self._scenario.budgets:
            time_left_ms = deadline_ms - self._now_ms
            if node.admit(call.id, carried, "a", 1.0, time_left_ms, self._now_ms) is not None:
                return on_ended(Result.REFUSED, True, 0)
        self._attempt(call, 0)
        return None

    def _may_attempt(self, call: _Call, number: int) -> bool:
        if self._scenario.budgets:
            allowed = call.node.may_send(call.id, self._now_ms)
        else:
            allowed = number < self._scenario.attempts
        return allowed and self._now_ms < call.deadline_ms

    def _attempt(self, call: _Call, number: int) -> None:
        """Make an attempt, or end the call if there may be no more.

        :param number: number of the attempt, starting at 0
        """
        if not self._may_attempt(call, number):
            failed_below, attempts_below = call.node.verdict(call.id)
            call.node.done(call.id)
            return call.on_ended(Result.ERROR, failed_below, attempts_below)
        scenario = self._scenario
        self._outcome.attempts[call.tier] += 1
        self._outcome.attempts_in_stall[call.tier] += self._in_stall()
        carried = call.node.send(call.id, self._now_ms) if scenario.budgets else None
        timeout_at_ms = min(self._now_ms + scenario.timeout_ms, call.deadline_ms)
        on_ended = self._attempt_ended(call, number)
        self._schedule(timeout_at_ms, lambda: on_ended(Result.TIMEOUT, False, 0))
        # Without budgets, requests do not carry the remaining time.
        known_deadline_ms = timeout_at_ms if scenario.budgets else self._now_ms + scenario.deadline_ms
        server = self._choose_server(call.tier)
        self._enqueue(server, _Work(call.tier, known_deadline_ms, carried, on_ended))
        return None

    def _attempt_ended(self, call: _Call, number: int) -> CallEnded:
        """Return the callback for the end of an attempt; only its first invocation counts."""
        began_ms = self._now_ms
        ended = False

        def on_ended(result: Result, failed_below: bool, attempts_below: int) -> None:
            nonlocal ended
            if ended:
                return None
            ended = True
            budgets = self._scenario.budgets
            if budgets:
                took_ms = self._now_ms - began_ms
                call.node.attempt_ended(call.id, result, failed_below, attempts_below, took_ms, self._now_ms)
            if result is Result.SERVED:
                call.node.done(call.id)
                return call.on_ended(result, False, 0)
            wait_ms = self._rng.uniform(*RETRY_SPREAD) * RETRY_WAIT_MS
            if budgets and not call.node.may_send(call.id, self._now_ms):
                wait_ms = 0.0
            self._schedule(self._now_ms + wait_ms, lambda: self._attempt(call, number + 1))
            return None

        return on_ended

    def _choose_server(self, tier: int) -> _Server:
        """Return the less loaded one of two random servers."""
        first, second = (self._rng.choice(self._tiers[tier]) for _ in range(2))
        return first if first.load <= second.load else second

    # A server

    def _enqueue(self, server: _Server, work: _Work) -> None:
        if len(server.queue) >= self._scenario.queue_limit:
            return work.on_ended(Result.REFUSED, False, 0)
        server.queue.append(work)
        self._work_next(server)
        return None

    def _work_next(self, server: _Server) -> None:
        while not server.busy and not server.stalled and server.queue:
            work = server.queue.popleft()
            if self._now_ms >= work.deadline_ms:
                continue
            server.busy = True
            work_ms = self._scenario.work_ms * self._rng.uniform(*WORK_SPREAD)
            self._schedule(self._now_ms + work_ms, functools.partial(self._work_done, server, work))

    def _work_done(self, server: _Server, work: _Work) -> None:
        server.busy = False
        self._work_next(server)
        if work.tier + 1 == self._scenario.tiers:
            return work.on_ended(Result.SERVED, False, 0)
        work.calls_left = self._scenario.fan_out
        for _ in range(self._scenario.fan_out):
            self._call_next_tier(server, work)
        return None

    def _call_next_tier(self, server: _Server, work: _Work) -> None:
        """Make one call of a request, which ends with its last call and is served if all its calls are."""

        def on_ended(result: Result, failed_below: bool, attempts_below: int) -> None:
            work.failed_below = work.failed_below or failed_below
            work.attempts_below += attempts_below
            work.failed = work.failed or result is not Result.SERVED
            work.calls_left -= 1
            if not work.calls_left and work.failed:
                work.on_ended(Result.ERROR, work.failed_below, work.attempts_below)
            elif not work.calls_left:
                work.on_ended(Result.SERVED, False, 0)

        self._call(server.node, work.tier + 1, work.carried, work.deadline_ms, on_ended)


def _nodes(tier: int, count: int) -> list[Chain]:
    """Return the nodes that call a tier."""
    return [Chain(Limits(f"t{tier}", f"n{n}", tier == 0, nodes=count), f"{tier}.{n}.") for n in range(count)]
