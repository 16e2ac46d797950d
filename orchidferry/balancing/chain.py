"""Admission, retries and forwarded limits of requests that pass a chain of tiers. No I/O.

Where each tier retries on its own, the attempts multiply: three tiers that try three times each make 27
attempts of one request. A request therefore carries the number of retries left for the whole chain, its value
to the first tier's operators, and the path of nodes that it has passed. This module decides for one node:

- whether a request is admitted: not if it has passed this tier before (a loop), nor if the time left is too
  short; and at the first tier not while the tier below rejects or stalls most calls (`Gate`);
- whether a request is retried: only if it has a retry left and the node's budget allows one (`RetryBudget`),
  and not if the tier below has reported overload, since a retry would only add to it;
- the limits that are forwarded with each attempt.

These checks come before the delay control in `orchidferry.balancing.logic` and don't replace it: a request
that is admitted here still has to pass that. A server between two nodes that drops the headers cuts the chain
in two; each half then keeps its own limits.

Sources: retry budgets of Finagle (`RetryBudget`: a share of requests and a floor) and gRPC (A6, retry
throttling); Google's SRE book, "Handling Overload" (at most 10 % retries, "overloaded; don't retry"); loop
detection as in RFC 8586; the gate opens by doubling, as TCP's slow start does (RFC 5681, section 3.1).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from orchidferry.balancing.interface import Carried, Result
from orchidferry.balancing.token_bucket import TokenBucket

MAX_HOPS = 16  # nodes on a path: no chain has as many tiers, so a longer path is a loop
MAX_EXTRA = 8  # retries (attempts beyond the first) that a request may carry
MAX_WORTH = 1e6
MAX_WEIGHT = 10  # the exponent of the greatest weight: 2 ** 10, about a thousand
BUDGET_SPAN_MS = 10_000.0  # the time over which requests earn retries, as in Finagle's budget
CLOSE_AT_NET_FAILURES = (
    8  # surplus of bad outcomes that closes the gate; happens by chance with 3^-8 if one in four is bad
)
INITIAL_PROBES = 1.0  # concurrent calls through a gate that has just closed
PROBE_INTERVAL_MS = (100.0, 300.0)  # wait after a bad probe: the first and the longest; doubled in between
INFLIGHT_SAMPLES = 64.0  # calls over which duration and outstanding calls are averaged
STUCK_FACTOR = 2.0  # multiple of the mean duration: with no success for as long, the tier below is stuck
MAX_CLOSED_MS = 30_000.0  # a closed gate that has sent nothing for this time lets one call through
QUICKEST_SHARE = 0.8  # share of the quickest recent duration; with less time left a request is rejected
QUICKEST_GROWTH = 1.02  # factor by which the quickest recent duration grows with each response
RESERVE_MS = 1.0  # part of the time left for the answer's way back; constant, as that time is not measured


@dataclass(frozen=True, slots=True)
class Limits:
    """An operator's limits for one node. All nodes of a chain should have the same `extra`."""

    tier: str  # the name of this node's tier, as in paths
    node: str  # the name of this node, as in paths
    first: bool  # whether clients connect to this tier: limits that they send are ignored
    extra: int = 1  # retries of a request that carries no limit
    share: float = 0.1  # retries allowed as a share of first attempts, over `BUDGET_SPAN_MS`
    floor_per_s: float = 2.0  # further retries per second that all nodes of the tier may make
    nodes: int = 1  # nodes of the tier, which share this floor
    shed: bool = False  # deeper tiers too shed the requests of least value when overloaded

    def __post_init__(self) -> None:
        """Reject limits out of range.

        :raises ValueError: a limit is out of range; the text names the field
        """
        for name, low, high in (("extra", 0, MAX_EXTRA), ("share", 0.0, 1.0), ("floor_per_s", 0.0, 1e6)):
            if not low <= getattr(self, name) <= high:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not within {low} to {high}")
        if self.nodes < 1:
            raise ValueError(f"nodes: {self.nodes} is less than 1")
        for name in ("tier", "node"):
            text = getattr(self, name)
            if not 0 < len(text) <= 64 or not all(c.isascii() and (c.isalnum() or c in "._-") for c in text):
                raise ValueError(f"{name}: {text!r:.70} is no name of 1 to 64 letters, digits, dots, - and _")


class Rejection(Enum):
    """Why a request is not admitted."""

    LOOP = "loop"  # it has passed this tier before
    LATE = "late"  # it can't be completed in the time left
    BELOW = "below"  # the tier below does not keep up


class Verdict(NamedTuple):
    """What this node reports to the tier above about a request that it did not serve."""

    below: bool  # the tier below is overloaded: a retry would only add to that
    used: int  # retries that were made here and below


class RetryBudget:
    """The retries that a node may make: a share of first attempts, and its part of the tier's floor.

    Even an idle node has one retry in hand, so that a single failing request gets its second attempt. All
    nodes of the tier together make at most share * first attempts + floor + one each, and never more than
    `extra` for one request.
    """

    def __init__(self, share: float, floor_per_s: float, nodes: int) -> None:
        self._share = share
        self._per_ms = floor_per_s / nodes / 1000.0
        self._earned = 0.0  # retries earned by recent first attempts; limits the tokens that may be saved up
        self._updated_ms = 0.0
        self._bucket = TokenBucket(1.0, 0.0)

    def _capacity(self, now: float) -> float:
        self._earned *= math.exp(min(0.0, self._updated_ms - now) / BUDGET_SPAN_MS)
        self._updated_ms = max(self._updated_ms, now)
        return max(1.0, self._earned + self._per_ms * BUDGET_SPAN_MS)

    def record_request(self, now: float) -> None:
        """Record the first attempt of an admitted request, which earns a share of a retry."""
        capacity = self._capacity(now)
        self._earned += self._share
        self._bucket.refill(self._per_ms, capacity, now)
        self._bucket.tokens = min(self._bucket.tokens + self._share, capacity)

    def allows(self, now: float) -> bool:
        """Whether there is a token for one more retry."""
        return self._bucket.refill(self._per_ms, self._capacity(now), now) >= 1.0

    def spend(self) -> None:
        """Take the token of one retry."""
        self._bucket.tokens -= 1.0


class Gate:
    """A circuit breaker with probing. Unlike in the usual terms, it lets all calls pass while it is open.

    If one server of ten is slow, a tenth of the calls fail and retrying elsewhere helps: the gate stays open.
    If most calls are rejected for overload or time out, whatever the server, retries make the overload worse:
    the gate closes. It closes by Wald's sequential test of a bad share of three in four against one in four,
    whose steps are of equal size: when `CLOSE_AT_NET_FAILURES` more outcomes were bad than good since the two
    counts were last level. It also closes, before any outcome is known to be bad, if more calls than that are
    outstanding and none was served for `STUCK_FACTOR` times the mean duration. While it is closed, each call
    that is served doubles the number of concurrent calls, up to the usual number, at which the gate opens;
    each bad outcome resets it to `INITIAL_PROBES`.
    """

    def __init__(self) -> None:
        self._net_failures = 0  # surplus of bad outcomes over good ones
        self._last_start_ms = 0.0
        self._next_probe_ms = 0.0
        self._probe_interval_ms = PROBE_INTERVAL_MS[0]
        self._last_success_ms = 0.0
        self._opened_ms = 0.0
        self._mean_duration_ms = 0.0  # mean duration of calls that were served
        self._mean_inflight = 0.0  # outstanding calls at the time of a good outcome, while the gate was open
        self.inflight = 0  # outstanding calls
        self.limit = math.inf  # greatest number of outstanding calls; infinite while the gate is open

    @property
    def closed(self) -> bool:
        """Whether the gate lets only probes through."""
        return self.limit < math.inf

    def allows(self, now: float) -> bool:
        """Whether one more call may be sent."""
        if self.inflight < self.limit:
            return now >= self._next_probe_ms
        return now - self._last_start_ms > MAX_CLOSED_MS

    def call_started(self, now: float) -> None:
        """Record that a call was sent."""
        self.inflight += 1
        self._last_start_ms = now
        silent_ms = now - max(self._last_success_ms, self._opened_ms)
        stuck = self._mean_duration_ms and silent_ms > STUCK_FACTOR * self._mean_duration_ms
        if stuck and not self.closed and self.inflight > CLOSE_AT_NET_FAILURES:
            self._close(now)

    def _close(self, now: float) -> None:
        self.limit = INITIAL_PROBES
        self._net_failures = 0
        self._next_probe_ms = now + self._probe_interval_ms

    def call_ended(self, bad: bool, counts: bool, duration_ms: float, now: float) -> None:
        """Record the outcome of a call.

        :param bad: whether it was rejected for overload or timed out
        :param counts: whether its outcome shows if the tier below keeps up
        :param duration_ms: the time that the call took
        """
        inflight = self.inflight
        self.inflight = max(0, self.inflight - 1)
        if not counts:
            return
        if not bad:
            self._last_success_ms = now
            samples = INFLIGHT_SAMPLES if self._mean_duration_ms else 1.0
            self._mean_duration_ms += (duration_ms - self._mean_duration_ms) / samples
        if not self.closed:
            if not bad:  # good outcomes only: outstanding calls pile up while no responses come back
                self._mean_inflight += (inflight - self._mean_inflight) / INFLIGHT_SAMPLES
            self._net_failures = max(0, self._net_failures + (1 if bad else -1))
            if self._net_failures >= CLOSE_AT_NET_FAILURES:
                self._close(now)
        elif bad:
            # Wait before the next probe: calls that are rejected at once would make a rapid series of probes.
            self.limit = INITIAL_PROBES
            self._next_probe_ms = now + self._probe_interval_ms
            self._probe_interval_ms = min(2.0 * self._probe_interval_ms, PROBE_INTERVAL_MS[1])
        else:
            self.limit = 2.0 * self.limit
            self._next_probe_ms = now
            self._probe_interval_ms = PROBE_INTERVAL_MS[0]
            if self.limit > max(self._mean_inflight, INITIAL_PROBES + 1.0):
                self.limit = math.inf
                self._opened_ms = now


@dataclass(slots=True)
class _OpenRequest:
    """A request that this node has admitted."""

    carried: Carried
    cls: str
    initial_extra: int  # retries left when the request arrived
    attempts: int = 0
    below: bool = False  # the tier below has reported overload for this request


@dataclass
class Chain:
    """One node's part in a chain. Requests are tracked from `admit` to `done`."""

    limits: Limits
    salt: str = ""  # prefix that makes this node's request ids unique among all nodes
    budget: RetryBudget = field(init=False)
    gate: Gate = field(default_factory=Gate)
    rejected: dict[Rejection, int] = field(default_factory=lambda: dict.fromkeys(Rejection, 0))
    _open: dict[str, _OpenRequest] = field(default_factory=dict)
    _quickest_ms: dict[str, float] = field(default_factory=dict)  # quickest recent durations, by class

    def __post_init__(self) -> None:
        limits = self.limits
        self.budget = RetryBudget(limits.share, limits.floor_per_s, limits.nodes)
        self._hop = f"{limits.tier}/{limits.node}"

    # Requests

    def is_loop(self, carried: Carried | None) -> bool:
        """Whether a request has passed this tier before, or has passed `MAX_HOPS` nodes."""
        if carried is None:
            return False
        tiers = [hop.partition("/")[0] for hop in carried.path]
        return self.limits.tier in tiers or len(carried.path) >= MAX_HOPS

    def admit(
        self, id: str, carried: Carried | None, cls: str, worth: float, left_ms: float, now: float
    ) -> Rejection | None:
        """Admit a request, or return the reason for rejecting it.

        :param id: the id of the request at this node
        :param carried: the limits that the request carries; None if none arrived that can be trusted
        :param cls: the class of the request
        :param worth: the value of the class at this node
        :param left_ms: the time until the request's deadline
        :returns: None if the request was admitted
        """
        rejection = self._rejection(carried, cls, left_ms, now)
        if rejection is not None:
            self.rejected[rejection] += 1
            return rejection
        if carried is None or self.limits.first:
            carried = Carried(f"{self.salt}{id}", self.limits.extra, worth)
        # A request may not carry more retries than this tier itself would grant.
        extra = min(max(carried.extra, 0), self.limits.extra)
        carried = replace(carried, extra=extra, worth=min(max(carried.worth, 0.0), MAX_WORTH))
        self._open[id] = _OpenRequest(carried, cls, extra)
        self.budget.record_request(now)
        return None

    def _rejection(self, carried: Carried | None, cls: str, left_ms: float, now: float) -> Rejection | None:
        if self.is_loop(carried):
            return Rejection.LOOP
        if left_ms - RESERVE_MS < QUICKEST_SHARE * self._quickest_ms.get(cls, 0.0):
            return Rejection.LATE
        return Rejection.BELOW if self._gate_rejects(now) else None

    def _gate_rejects(self, now: float) -> bool:
        # The gate works at the first tier only. A rejection deeper down wastes the work done above it; and in
        # the model, gates of several tiers in a row never opened again, because one call through the upper
        # gate needs several concurrent calls through the lower one.
        return self.limits.first and not self.gate.allows(now)

    def may_send(self, id: str, now: float) -> bool:
        """Whether an attempt, the first one or a retry, may be made now."""
        request = self._open.get(id)
        if request is None or self._gate_rejects(now):
            return False
        if not request.attempts:
            return True
        return not request.below and request.carried.extra > 0 and self.budget.allows(now)

    def send(self, id: str, now: float) -> Carried:
        """Record an attempt; returns the limits to forward with it."""
        request = self._open[id]
        if request.attempts:
            self.budget.spend()
            request.carried = replace(request.carried, extra=request.carried.extra - 1)
        request.attempts += 1
        self.gate.call_started(now)
        return replace(request.carried, path=(*request.carried.path, self._hop))

    def left_ms(self, left_ms: float) -> float:
        """The time that an attempt may take, given the time left to this node, in ms."""
        return max(0.0, left_ms - RESERVE_MS)

    def attempt_ended(
        self, id: str, result: Result, below: bool, used: int, duration_ms: float, now: float
    ) -> None:
        """Record the outcome of an attempt.

        :param below: whether the attempt was rejected because a deeper tier is overloaded
        :param used: the retries that were made below; they are no longer left here
        :param duration_ms: the time that the attempt took
        """
        bad = below or result in (Result.TIMEOUT, Result.REFUSED)
        counts = bad or result in (Result.SERVED, Result.ERROR)
        self.gate.call_ended(bad, counts, duration_ms, now)
        request = self._open.get(id)
        if request is None:
            return
        request.below = request.below or below
        if used > 0:
            request.carried = replace(request.carried, extra=max(0, request.carried.extra - used))
        if result is Result.SERVED:
            quickest_ms = self._quickest_ms.get(request.cls, math.inf)
            self._quickest_ms[request.cls] = min(quickest_ms * QUICKEST_GROWTH, duration_ms)

    def verdict(self, id: str) -> Verdict:
        """The report to the tier above that goes with a response other than a success."""
        request = self._open.get(id)
        if request is None:
            return Verdict(False, 0)
        below = request.below or (self.limits.first and self.gate.closed)
        return Verdict(below, request.initial_extra - request.carried.extra)

    def weight(self, id: str, own_value: float) -> float:
        """The value of a request to the first tier's operators, relative to the value of its class here.

        Rounded to a power of two to keep the number of distinct weights small; 1 if either value is zero.
        """
        request = self._open.get(id)
        if request is None or request.carried.worth <= 0.0 or own_value <= 0.0:
            return 1.0
        return 2.0 ** min(max(round(math.log2(request.carried.worth / own_value)), -MAX_WEIGHT), MAX_WEIGHT)

    def done(self, id: str) -> None:
        """Stop tracking a request that was answered, or that the client has abandoned."""
        self._open.pop(id, None)

    @property
    def open(self) -> int:
        """The number of requests that are being tracked."""
        return len(self._open)


def loop_message(path: Iterable[str], hop: str) -> str:
    """The log line about a request that has gone in a loop."""
    return f"request loop: {' > '.join((*path, hop))}; does a server list name servers of another tier?"
