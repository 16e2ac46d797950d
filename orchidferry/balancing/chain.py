"""What a request brings along a chain of tiers, what this tier takes of it, and what it hands on. No I/O.

Each tier that asks again by itself multiplies what the tier below is asked: three that try three times make
27 of one. So a request brings how many attempts beyond the first are left for the whole chain, what it is
worth to whoever asked first, and the path that it came by. Here is decided, for one node:

- whether it is taken: not if it has been here (a loop), not if it can't be done in the time that is left; at
  the clients' tier not while what is below turns away or sits on most of what it gets (`Gate`);
- whether it is asked again: if an attempt is left of its own, if the node's budget bears it (`RetryBudget`),
  and not where the tier below has said that it is overloaded: all that it would do is add to it;
- what goes on with each attempt.

This comes before the gate of the delay loop in `orchidferry.balancing.logic`, never in its place: what is
refused here
is refused, what is let through still has that gate to pass. Servers between two nodes that drop the headers
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

from orchidferry.balancing.bucket import Bucket
from orchidferry.balancing.interface import Carried, Result

MAX_HOPS = 16  # of a path: no chain of tiers is as long; a path that is, is a loop that nobody named
MAX_EXTRA = 8  # attempts beyond the first that anybody may bring
MAX_WORTH = 1e6
MAX_WEIGHT = 10  # powers of two: a thousand times
SPAN_MS = 10_000.0  # over which first tries earn attempts, as Finagle's budget does
GATE_NET = 8  # bad outcomes beyond good ones that shut the gate: by chance at one in four bad, 3^-8
PROBES = 1.0  # calls at once through a shut gate, at first,
PROBE_MS = (100.0, 300.0)  # and how long after a bad one, doubling
USUAL_SAMPLES = 64.0  # calls that what is usually out is averaged over
STUCK = 2.0  # times the usual time without any answer: nothing below does any work
MAX_GATE_MS = 30_000.0  # a gate that no call has come back through for so long lets a further one through
QUICK_SHARE = 0.8  # of the quickest answer lately: with less time left than that nothing can be done
QUICK_GROWTH = 1.02  # by which that is forgotten, with each answer
RESERVE_MS = 1.0  # of the time left, kept for the way back; a constant, as nothing measures it yet


@dataclass(frozen=True, slots=True)
class Limits:
    """What an operator allows. All nodes of a chain should have the same `extra`."""

    tier: str  # names of this node's tier and of itself, as in paths
    node: str
    first: bool  # clients come here: nothing that they claim is believed
    extra: int = 1  # for requests that bring none
    share: float = 0.1  # of first tries that attempts beyond them may be, over `SPAN_MS`,
    floor_per_s: float = 2.0  # and so many a second of the whole tier besides
    nodes: int = 1  # that share this floor
    shed: bool = False  # deeper tiers too turn away what is worth least, where they are crowded

    def __post_init__(self) -> None:
        """Refuse what can't be meant."""
        for name, low, high in (("extra", 0, MAX_EXTRA), ("share", 0.0, 1.0), ("floor_per_s", 0.0, 1e6)):
            if not low <= getattr(self, name) <= high:
                raise ValueError(f"{name}: {getattr(self, name)!r} is not within {low} to {high}")
        if self.nodes < 1:
            raise ValueError(f"nodes: {self.nodes} is less than 1")
        for name in ("tier", "node"):
            text = getattr(self, name)
            if not 0 < len(text) <= 64 or not all(c.isascii() and (c.isalnum() or c in "._-") for c in text):
                raise ValueError(f"{name}: {text!r:.70} is no name of letters, digits, dots and hyphens")


class Why(Enum):
    """Why a request is not taken."""

    LOOP = "loop"  # it has been here
    LATE = "late"  # it can't be done in the time that is left
    BELOW = "below"  # the tier below does not keep up


class RetryBudget:
    """Attempts beyond the first that a node may make: a share of first tries, and its part of a floor.

    However quiet a node, it has one in hand: the one request that fails gets its second attempt. All copies
    together make no more than share * first tries + floor + one each, and never more than `extra` a request.
    """

    def __init__(self, share: float, floor_per_s: float, nodes: int) -> None:
        self._share = share
        self._per_ms = floor_per_s / nodes / 1000.0
        self._earned = 0.0  # by first tries lately, which bounds what may be saved up
        self._seen_ms = 0.0
        self._bucket = Bucket(1.0, 0.0)

    def _most(self, now: float) -> float:
        self._earned *= math.exp(min(0.0, self._seen_ms - now) / SPAN_MS)
        self._seen_ms = max(self._seen_ms, now)
        return max(1.0, self._earned + self._per_ms * SPAN_MS)

    def first_try(self, now: float) -> None:
        """A request was taken."""
        most = self._most(now)
        self._earned += self._share
        self._bucket.refill(self._per_ms, most, now)
        self._bucket.tokens = min(self._bucket.tokens + self._share, most)

    def bears(self, now: float) -> bool:
        """Whether one more is in it."""
        return self._bucket.refill(self._per_ms, self._most(now), now) >= 1.0

    def take(self) -> None:
        """One more is made."""
        self._bucket.tokens -= 1.0


class Gate:
    """Open while the tier below keeps up; shut, a few calls at once find out when it does again.

    One slow server of ten fails a tenth of the calls, and asking again elsewhere helps: the gate stays open.
    When most calls come back overloaded, timed out or turned away, from whichever server, asking again kills:
    it shuts, by Wald's sequential test of three in four against one in four, whose steps are even: `GATE_NET`
    more bad ones than good ones since these were last level. Or, before any is known to be bad, when so many
    are out and none was served for `STUCK` times as long as they usually take. Each call that is then served
    lets twice as many through at once, up to as many as usual; one that is bad brings it back to the first.
    """

    def __init__(self) -> None:
        self._net = 0  # bad outcomes beyond good ones
        self._went_ms = 0.0
        self._next_ms = 0.0
        self._pace_ms = PROBE_MS[0]
        self._good_ms = self._open_ms = self._took_ms = 0.0  # last served, opened; how long served ones took
        self._usual = 0.0  # calls out when one was served, while it was open, averaged
        self.out = 0  # calls out now
        self.limit = math.inf  # of them; inf: open

    @property
    def shut(self) -> bool:
        return self.limit < math.inf

    def lets(self, now: float) -> bool:
        """Whether one more may go."""
        if self.out < self.limit:
            return now >= self._next_ms
        return now - self._went_ms > MAX_GATE_MS

    def went(self, now: float) -> None:
        """A call is out."""
        self.out += 1
        self._went_ms = now
        stuck = self._took_ms and now - max(self._good_ms, self._open_ms) > STUCK * self._took_ms
        if stuck and not self.shut and self.out > GATE_NET:
            self._shut(now)

    def _shut(self, now: float) -> None:
        self.limit = PROBES
        self._net = 0
        self._next_ms = now + self._pace_ms

    def back(self, bad: bool, counts: bool, took_ms: float, now: float) -> None:
        """One is over; `counts`: it says whether the tier below keeps up."""
        out = self.out
        self.out = max(0, self.out - 1)
        if not counts:
            return
        if not bad:
            self._good_ms = now
            self._took_ms += (took_ms - self._took_ms) / (USUAL_SAMPLES if self._took_ms else 1.0)
        if not self.shut:
            if not bad:  # only then: when nothing comes back, what is out piles up
                self._usual += (out - self._usual) / USUAL_SAMPLES
            self._net = max(0, self._net + (1 if bad else -1))
            if self._net >= GATE_NET:
                self._shut(now)
        elif bad:
            # Where calls are turned away at once, one after the other would be many.
            self.limit = PROBES
            self._next_ms = now + self._pace_ms
            self._pace_ms = min(2.0 * self._pace_ms, PROBE_MS[1])
        else:
            self.limit = 2.0 * self.limit
            self._next_ms = now
            self._pace_ms = PROBE_MS[0]
            if self.limit > max(self._usual, PROBES + 1.0):
                self.limit = math.inf
                self._open_ms = now


@dataclass(slots=True)
class _Open:
    """A request that this node has taken."""

    carried: Carried
    cls: str
    brought: int  # attempts beyond the first that were left when it came
    attempts: int = 0
    below: bool = False  # the tier below has said that it is overloaded


@dataclass
class Chain:
    """One node's part in a chain. Requests are kept from `take` to `done`."""

    limits: Limits
    salt: str = ""  # makes this node's ids into ones that no other node has
    budget: RetryBudget = field(init=False)
    gate: Gate = field(default_factory=Gate)
    refused: dict[Why, int] = field(default_factory=lambda: dict.fromkeys(Why, 0))
    _open: dict[str, _Open] = field(default_factory=dict)
    _quick_ms: dict[str, float] = field(default_factory=dict)  # the quickest answers lately, by class

    def __post_init__(self) -> None:
        limits = self.limits
        self.budget = RetryBudget(limits.share, limits.floor_per_s, limits.nodes)
        self._hop = f"{limits.tier}/{limits.node}"

    # A request

    def looped(self, carried: Carried | None) -> bool:
        """Whether a request has been in this tier before, or has passed more hops than there are tiers."""
        if carried is None:
            return False
        tiers = [hop.partition("/")[0] for hop in carried.path]
        return self.limits.tier in tiers or len(carried.path) >= MAX_HOPS

    def take(
        self, id: str, carried: Carried | None, cls: str, worth: float, left_ms: float, now: float
    ) -> Why | None:
        """Take a request, or say why not. `carried` is None where nothing came that can be believed."""
        why = self._why_not(carried, cls, left_ms, now)
        if why is not None:
            self.refused[why] += 1
            return why
        if carried is None or self.limits.first:
            carried = Carried(f"{self.salt}{id}", self.limits.extra, worth)
        # Nobody brings more than this tier itself would give.
        extra = min(max(carried.extra, 0), self.limits.extra)
        carried = replace(carried, extra=extra, worth=min(max(carried.worth, 0.0), MAX_WORTH))
        self._open[id] = _Open(carried, cls, extra)
        self.budget.first_try(now)
        return None

    def _why_not(self, carried: Carried | None, cls: str, left_ms: float, now: float) -> Why | None:
        if self.looped(carried):
            return Why.LOOP
        if left_ms - RESERVE_MS < QUICK_SHARE * self._quick_ms.get(cls, 0.0):
            return Why.LATE
        return Why.BELOW if self._shut_out(now) else None

    def _shut_out(self, now: float) -> bool:
        # At the first tier alone. Deeper a refusal wastes what was done above; and in the model gates behind
        # each other never opened again: a call through the upper needs several through the lower at once.
        return self.limits.first and not self.gate.lets(now)

    def may_send(self, id: str, now: float) -> bool:
        """Whether an attempt may be made: the first one, or one more."""
        held = self._open.get(id)
        if held is None or self._shut_out(now):
            return False
        if not held.attempts:
            return True
        return not held.below and held.carried.extra > 0 and self.budget.bears(now)

    def send(self, id: str, now: float) -> Carried:
        """Make an attempt; what goes on with it."""
        held = self._open[id]
        if held.attempts:
            self.budget.take()
            held.carried = replace(held.carried, extra=held.carried.extra - 1)
        held.attempts += 1
        self.gate.went(now)
        return replace(held.carried, path=(*held.carried.path, self._hop))

    def left_ms(self, left_ms: float) -> float:
        """The time that an attempt may take, of what this node has left."""
        return max(0.0, left_ms - RESERVE_MS)

    def ended(self, id: str, result: Result, below: bool, used: int, took_ms: float, now: float) -> None:
        """An attempt is over. `below`: it was turned away for overload beneath; `used`: attempts beyond the
        first that were made there, which are not left here any more."""
        bad = below or result in (Result.TIMEOUT, Result.REFUSED)
        counts = bad or result in (Result.SERVED, Result.ERROR)
        self.gate.back(bad, counts, took_ms, now)
        held = self._open.get(id)
        if held is None:
            return
        held.below = held.below or below
        if used > 0:
            held.carried = replace(held.carried, extra=max(0, held.carried.extra - used))
        if result is Result.SERVED:
            quick = self._quick_ms.get(held.cls, math.inf)
            self._quick_ms[held.cls] = min(quick * QUICK_GROWTH, took_ms)

    def verdict(self, id: str) -> tuple[bool, int]:
        """What goes up with the answer: whether the tier below is overloaded, and attempts that were used."""
        held = self._open.get(id)
        if held is None:
            return False, 0
        return held.below or (self.limits.first and self.gate.shut), held.brought - held.carried.extra

    def weight(self, id: str, own: float) -> float:
        """What a request is worth to the first tier's operators, over what its class is worth here: the
        nearest power of two, so that there are few kinds of them; 1 where either is nothing."""
        held = self._open.get(id)
        if held is None or held.carried.worth <= 0.0 or own <= 0.0:
            return 1.0
        return 2.0 ** min(max(round(math.log2(held.carried.worth / own)), -MAX_WEIGHT), MAX_WEIGHT)

    def done(self, id: str) -> None:
        """A request has its answer, or nobody waits for it."""
        self._open.pop(id, None)

    @property
    def open(self) -> int:
        """Requests that are kept."""
        return len(self._open)


def told(path: Iterable[str], hop: str) -> str:
    """A loop, for the operators."""
    return f"a request went round: {' > '.join((*path, hop))}; does a list name servers of another tier?"
