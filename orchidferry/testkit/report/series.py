"""What reports plot: statistics over the time of a run."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from orchidferry.testkit.judge.service import ClientRequest, Outcome, service_of
from orchidferry.testkit.judge.verdict import Verdict
from orchidferry.testkit.record import ConnectionClosed, RequestSent, RequestTimedOut, ResponseReceived

QUANTILES = (0.5, 0.9, 0.99)


@dataclass(slots=True)
class Series:
    """Each list has a value for each step of time; None where there is nothing to tell."""

    step_s: float
    times: list[float] = field(default_factory=list)
    asked: list[float] = field(default_factory=list)  # first tries a second
    service: list[float | None] = field(default_factory=list)  # of what was asked in the step
    latency_ms: dict[float, list[float | None]] = field(
        default_factory=dict
    )  # of what was served, by quantile
    in_flight: list[float] = field(default_factory=list)  # clients' requests out at the step's end
    attempts: list[list[float]] = field(default_factory=list)  # by tier, a second
    rejected: list[list[float]] = field(default_factory=list)  # by tier, a second


def quantile(ordered: list[float], q: float) -> float | None:
    """By nearest rank; None of nothing."""
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else None


def series(verdict: Verdict, step_s: float = 0.5) -> Series:
    """The figures of a run, in steps from the start of the load to the end of the record."""
    trace = verdict.trace
    steps = max(1, int((trace.end - trace.start) / step_s) + 1)

    def step(t: float) -> int:
        return min(steps - 1, max(0, int(trace.elapsed(t) / step_s)))

    result = Series(step_s, [n * step_s for n in range(steps)])
    by_step: dict[int, list[ClientRequest]] = defaultdict(list)
    for request in verdict.service.requests:
        by_step[step(request.t + trace.start)].append(request)
    result.latency_ms = {q: [] for q in QUANTILES}
    for n in range(steps):
        some = by_step.get(n, [])
        result.asked.append(len(some) / step_s)
        result.service.append(service_of(some))
        took = sorted(one.took_s * 1000.0 for one in some if one.outcome is Outcome.SERVED)
        for q in QUANTILES:
            result.latency_ms[q].append(quantile(took, q))
    change = [0] * (steps + 1)
    for key, events in trace.requester_events.items():
        if key.tier:
            continue
        out_now = False
        for fact in events:
            # A close that crossed it, and a refused connection after that, end it once.
            if isinstance(fact, RequestSent) and not out_now:
                change[step(fact.t)] += 1
                out_now = True
            elif isinstance(fact, ResponseReceived | ConnectionClosed | RequestTimedOut) and out_now:
                change[step(fact.t)] -= 1
                out_now = False
    out = 0
    for n in range(steps):
        out += change[n]
        result.in_flight.append(float(out))
    tiers = len(verdict.scenario.tiers)
    result.attempts = [[0.0] * steps for _ in range(tiers)]
    result.rejected = [[0.0] * steps for _ in range(tiers)]
    for attempts in trace.arrivals.values():
        for got in attempts:
            result.attempts[got.tier][step(got.t)] += 1.0 / step_s
    for ends in trace.completions.values():
        for ended in ends:
            if ended.how == "rejected":
                result.rejected[ended.tier][step(ended.t)] += 1.0 / step_s
    return result
