"""What a request brings along a chain of tiers, what this tier takes of it, and what it hands on. No I/O.

Each tier that asks again by itself multiplies what the tier below is asked: three that try three times make
27 of one. So a request brings how many attempts beyond the first are left for the whole chain, what it is
worth to whoever asked first, and the path that it came by. Here is decided, for one node:

- whether it is taken: not if it has been here (a loop), not if it can't be done in the time that is left; at
  the clients' tier not while what is below turns away or sits on most of what it gets (`Gate`);
- whether it is asked again: if an attempt is left of its own, if the node's budget bears it (`RetryBudget`),
  and not where the tier below has said that it is overloaded: all that it would do is add to it;
- what goes on with each attempt.

This comes before the delay control in `orchidferry.balancing.logic`, never in its place: what is let through
here still has to pass that. Servers between two nodes that drop the headers
cut the chain in two; each half then keeps its own bounds.

Sources: retry budgets of Finagle (`RetryBudget`: a share of requests and a floor) and gRPC (A6, retry
throttling); Google's SRE book, "Handling Overload" (at most 10 % retries, "overloaded; don't retry"); loops
after RFC 8586; the gate opens by doubling, as TCP's slow start does (RFC 5681, section 3.1).
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum
from typing import NamedTuple

from orchidferry.balancing.interface import Carried, Result
from orchidferry.balancing.token_bucket import TokenBucket

MAX_HOPS = 16  # of a path: no chain of tiers is as long; a path that is, is a loop that nobody named
MAX_EXTRA = 8  # attempts beyond the first that anybody may bring
MAX_WORTH = 1e6
MAX_WEIGHT = 10  # powers of two: a thousand times
BUDGET_SPAN_MS = 10_000.0  # over which requests earn retries, as in Finagle's budget
CLOSE_AT_NET_FAILURES = (
    8  # bad outcomes beyond good ones that close the gate: by chance at one in four bad, 3^-8
)
INITIAL_PROBES = 1.0  # calls at once through a closed gate, at first,
PROBE_INTERVAL_MS = (100.0, 300.0)  # and how long after a bad one, doubling
INFLIGHT_SAMPLES = 64.0  # calls over which duration and outstanding calls are averaged
STUCK_FACTOR = 2.0  # times the mean duration without any answer: nothing below does any work
MAX_CLOSED_MS = 30_000.0  # a closed gate through which none was sent for so long lets one through
QUICKEST_SHARE = 0.8  # of the quickest recent answer: with less time left a request is rejected
QUICKEST_GROWTH = 1.02  # by which that rises with each answer
RESERVE_MS = 1.0  # of the time left, kept for the way back; a constant, as nothing measures it yet


@dataclass(frozen=True, slots=True)
class Limits:
    """What an operator allows. All nodes of a chain should have the same `extra`."""

    tier: str  # names of this node's tier and of itself, as in paths
    node: str
    first: bool  # clients come here: nothing that they claim is believed
    extra: int = 1  # for requests that bring none
    share: float = 0.1  # of first tries that attempts beyond them may be, over `BUDGET_SPAN_MS`,
    floor_per_s: float = 2.0  # and so many a second of the whole tier besides
    nodes: int = 1  # that share this floor
    shed: bool = False  # deeper tiers too turn away what is worth least, where they are crowded

    def __post_init__(self) -> None:
        """Reject limits out of range.

        :raises ValueError: its text names the field
        """
        for name, low, high in (("extra", 0, MAX_EXTRA), ("share", 0.0, 1.0), ("floor_per_s", 0.0, 1e6)):
            if not low <= getattr(self, name) <= high:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not within {low} to {high}")
        if self.nodes < 1:
            raise ValueError(f"nodes: {self.nodes} is less than 1")
        for name in ("tier", "node"):
            text = getattr(self, name)
            if not 0 < len(text) <= 64 or not all(c.isascii() and (c.isalnum() or c in "._-") for c in text):
                raise ValueError(f"{name}: {text!r:.70} is no name of letters, digits, dots and hyphens")


class Rejection(Enum):
    """Why a request is not admitted."""

    LOOP = "loop"  # it has been here
    LATE = "late"  # it can't be done in the time that is left
    BELOW = "below"  # the tier below does not keep up


class Verdict(NamedTuple):
    """What this node tells the tier above about a request that it did not serve."""

    below: bool  # the tier below is overloaded: a retry only adds to that
    used: int  # attempts beyond the first that were made here and below


class RetryBudget:
    """Attempts beyond the first that a node may make: a share of first tries, and its part of a floor.

    However quiet a node, it has one in hand: the one request that fails gets its second attempt. All copies
    together make no more than share * first tries + floor + one each, and never more than `extra` a request.
    """

    def __init__(self, share: float, floor_per_s: float, nodes: int) -> None:
        self._share = share
        self._per_ms = floor_per_s / nodes / 1000.0
        self._earned = 0.0  # by first tries lately, which bounds what may be saved up
        self._updated_ms = 0.0
        self._bucket = TokenBucket(1.0, 0.0)

    def _capacity(self, now: float) -> float:
        self._earned *= math.exp(min(0.0, self._updated_ms - now) / BUDGET_SPAN_MS)
        self._updated_ms = max(self._updated_ms, now)
        return max(1.0, self._earned + self._per_ms * BUDGET_SPAN_MS)

    def record_request(self, now: float) -> None:
        """A request was admitted: its first attempt earns a share of a retry."""
        capacity = self._capacity(now)
        self._earned += self._share
        self._bucket.refill(self._per_ms, capacity, now)
        self._bucket.tokens = min(self._bucket.tokens + self._share, capacity)

    def allows(self, now: float) -> bool:
        """Whether there is a token for one more retry."""
        return self._bucket.refill(self._per_ms, self._capacity(now), now) >= 1.0

    def spend(self) -> None:
        """A retry is made."""
        self._bucket.tokens -= 1.0


class Gate:
    """A circuit breaker that probes: open while the tier below keeps up; closed, it lets a few calls through.

    One slow server of ten fails a tenth of the calls, and asking again elsewhere helps: the gate stays open.
    When most calls come back overloaded, timed out or turned away, from whichever server, asking again kills:
    it closes, by Wald's sequential test of three in four against one in four, whose steps are even:
    `CLOSE_AT_NET_FAILURES` more bad ones than good ones since these were last level. Or, before any is known
    to be bad, when so many are outstanding and none was served for `STUCK_FACTOR` times their mean duration.
    Each call that is then served lets twice as many through at once, up to the usual number; one that is bad
    brings it back to the first.
    """

    def __init__(self) -> None:
        self._net_failures = 0  # bad outcomes beyond good ones
        self._last_start_ms = 0.0
        self._next_probe_ms = 0.0
        self._probe_interval_ms = PROBE_INTERVAL_MS[0]
        self._last_success_ms = 0.0
        self._opened_ms = 0.0
        self._mean_duration_ms = 0.0  # of calls that were served
        self._mean_inflight = 0.0  # outstanding calls when one was served, while it was open
        self.inflight = 0  # outstanding calls
        self.limit = math.inf  # of them; inf: open

    @property
    def closed(self) -> bool:
        """Whether only probes are let through."""
        return self.limit < math.inf

    def allows(self, now: float) -> bool:
        """Whether one more call may be sent."""
        if self.inflight < self.limit:
            return now >= self._next_probe_ms
        return now - self._last_start_ms > MAX_CLOSED_MS

    def call_started(self, now: float) -> None:
        """A call was sent."""
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
        """A call has ended.

        :param bad: it was rejected for overload or timed out
        :param counts: its outcome says whether the tier below keeps up
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
            if not bad:  # only then: when nothing comes back, outstanding calls pile up
                self._mean_inflight += (inflight - self._mean_inflight) / INFLIGHT_SAMPLES
            self._net_failures = max(0, self._net_failures + (1 if bad else -1))
            if self._net_failures >= CLOSE_AT_NET_FAILURES:
                self._close(now)
        elif bad:
            # Where calls are rejected at once, probes one after the other would be many.
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
    initial_extra: int  # attempts beyond the first that were left when it came
    attempts: int = 0
    below: bool = False  # the tier below has said that it is overloaded


@dataclass
class Chain:
    """One node's part in a chain. Requests are kept from `admit` to `done`."""

    limits: Limits
    salt: str = ""  # makes this node's ids into ones that no other node has
    budget: RetryBudget = field(init=False)
    gate: Gate = field(default_factory=Gate)
    rejected: dict[Rejection, int] = field(default_factory=lambda: dict.fromkeys(Rejection, 0))
    _open: dict[str, _OpenRequest] = field(default_factory=dict)
    _quickest_ms: dict[str, float] = field(default_factory=dict)  # the quickest answers lately, by class

    def __post_init__(self) -> None:
        limits = self.limits
        self.budget = RetryBudget(limits.share, limits.floor_per_s, limits.nodes)
        self._hop = f"{limits.tier}/{limits.node}"

    # A request

    def is_loop(self, carried: Carried | None) -> bool:
        """Whether a request has been in this tier before, or has passed more hops than there are tiers."""
        if carried is None:
            return False
        tiers = [hop.partition("/")[0] for hop in carried.path]
        return self.limits.tier in tiers or len(carried.path) >= MAX_HOPS

    def admit(
        self, id: str, carried: Carried | None, cls: str, worth: float, left_ms: float, now: float
    ) -> Rejection | None:
        """Admit a request, or say why not.

        :param carried: None where nothing came that can be trusted
        :param worth: the value of its class here
        :param left_ms: until its deadline
        :returns: None if it was admitted
        """
        rejection = self._rejection(carried, cls, left_ms, now)
        if rejection is not None:
            self.rejected[rejection] += 1
            return rejection
        if carried is None or self.limits.first:
            carried = Carried(f"{self.salt}{id}", self.limits.extra, worth)
        # Nobody brings more than this tier itself would give.
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
        # At the first tier alone. Deeper a refusal wastes what was done above; and in the model gates behind
        # each other never opened again: a call through the upper needs several through the lower at once.
        return self.limits.first and not self.gate.allows(now)

    def may_send(self, id: str, now: float) -> bool:
        """Whether an attempt may be made: the first one, or one more."""
        request = self._open.get(id)
        if request is None or self._gate_rejects(now):
            return False
        if not request.attempts:
            return True
        return not request.below and request.carried.extra > 0 and self.budget.allows(now)

    def send(self, id: str, now: float) -> Carried:
        """Make an attempt; what goes on with it."""
        request = self._open[id]
        if request.attempts:
            self.budget.spend()
            request.carried = replace(request.carried, extra=request.carried.extra - 1)
        request.attempts += 1
        self.gate.call_started(now)
        return replace(request.carried, path=(*request.carried.path, self._hop))

    def left_ms(self, left_ms: float) -> float:
        """The time that an attempt may take, of what this node has left."""
        return max(0.0, left_ms - RESERVE_MS)

    def ended(self, id: str, result: Result, below: bool, used: int, duration_ms: float, now: float) -> None:
        """An attempt is over.

        `below`: it was turned away for overload beneath; `used`: attempts beyond the first that were made
        there, which are not left here any more.
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
        """What goes up with an answer that is not a success."""
        request = self._open.get(id)
        if request is None:
            return Verdict(False, 0)
        below = request.below or (self.limits.first and self.gate.closed)
        return Verdict(below, request.initial_extra - request.carried.extra)

    def weight(self, id: str, own_value: float) -> float:
        """What a request is worth to the first tier's operators, over what its class is worth here.

        The nearest power of two, so that there are few kinds of them; 1 where either is nothing.
        """
        request = self._open.get(id)
        if request is None or request.carried.worth <= 0.0 or own_value <= 0.0:
            return 1.0
        return 2.0 ** min(max(round(math.log2(request.carried.worth / own_value)), -MAX_WEIGHT), MAX_WEIGHT)

    def done(self, id: str) -> None:
        """A request has its answer, or nobody waits for it."""
        self._open.pop(id, None)

    @property
    def open(self) -> int:
        """Requests that are kept."""
        return len(self._open)


def loop_message(path: Iterable[str], hop: str) -> str:
    """The line for the operators about a loop."""
    return f"a request went round: {' > '.join((*path, hop))}; does a list name servers of another tier?"
