"""Time series of a run for the plots of reports."""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidferry.testkit.judge.service import ClientRequest, Outcome, service_of
from orchidferry.testkit.judge.verdict import Verdict
from orchidferry.testkit.record import ConnectionClosed, RequestSent, RequestTimedOut, ResponseReceived

QUANTILES = (0.5, 0.9, 0.99)


@dataclass(slots=True)
class Series:
    """Time series; each list has one value per time step, None where there is no measurement."""

    step_s: float
    times: list[float] = field(default_factory=list)  # start of each step, in seconds of the load
    asked: list[float] = field(default_factory=list)  # first attempts per second
    service: list[float | None] = field(default_factory=list)  # service of the requests due in the step
    # quantiles of the latency of served requests
    latency_ms: dict[float, list[float | None]] = field(default_factory=dict)
    in_flight: list[float] = field(default_factory=list)  # clients' attempts at the end of the step
    attempts: list[list[float]] = field(default_factory=list)  # attempts per second, by tier
    rejected: list[list[float]] = field(default_factory=list)  # rejected attempts per second, by tier


def quantile(ordered: list[float], q: float) -> float | None:
    """Return the value at index int(q * n) of n ordered values; None if there are none."""
    return ordered[min(len(ordered) - 1, int(q * len(ordered)))] if ordered else None


def series(verdict: Verdict, step_s: float = 0.5) -> Series:
    """Compute the time series of a run, from the start of the load to the end of the record.

    :param step_s: length of a step in seconds
    """
    trace = verdict.trace
    steps = max(1, int((trace.end - trace.start) / step_s) + 1)

    def step(t: float) -> int:
        return min(steps - 1, max(0, int(trace.elapsed(t) / step_s)))

    result = Series(step_s, [n * step_s for n in range(steps)])
    _add_client_requests(result, verdict, step)
    result.in_flight = _in_flight(verdict, steps, step)
    tiers = len(verdict.scenario.tiers)
    result.attempts = [[0.0] * steps for _ in range(tiers)]
    result.rejected = [[0.0] * steps for _ in range(tiers)]
    for attempts in trace.arrivals.values():
        for received in attempts:
            result.attempts[received.tier][step(received.t)] += 1.0 / step_s
    for ends in trace.completions.values():
        for ended in ends:
            if ended.how == "rejected":
                result.rejected[ended.tier][step(ended.t)] += 1.0 / step_s
    return result


def _add_client_requests(result: Series, verdict: Verdict, step: Callable[[float], int]) -> None:
    by_step: dict[int, list[ClientRequest]] = defaultdict(list)
    for request in verdict.service.requests:
        by_step[step(request.t + verdict.trace.start)].append(request)
    result.latency_ms = {q: [] for q in QUANTILES}
    for n in range(len(result.times)):
        requests = by_step.get(n, [])
        result.asked.append(len(requests) / result.step_s)
        result.service.append(service_of(requests))
        latencies_ms = sorted(
            request.took_s * 1000.0 for request in requests if request.outcome is Outcome.SERVED
        )
        for q in QUANTILES:
            result.latency_ms[q].append(quantile(latencies_ms, q))


def _in_flight(verdict: Verdict, steps: int, step: Callable[[float], int]) -> list[float]:
    """Count the clients' attempts that are in flight at the end of each step."""
    change = [0] * (steps + 1)
    for key, events in verdict.trace.requester_events.items():
        if key.tier:
            continue
        is_in_flight = False
        for fact in events:
            # An attempt ends only once, even if a crossing close and a refused connection both follow.
            if isinstance(fact, RequestSent) and not is_in_flight:
                change[step(fact.t)] += 1
                is_in_flight = True
            elif isinstance(fact, ResponseReceived | ConnectionClosed | RequestTimedOut) and is_in_flight:
                change[step(fact.t)] -= 1
                is_in_flight = False
    return [float(count) for count in itertools.accumulate(change[:steps])]
