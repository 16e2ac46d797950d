"""The verdict on a run: rules, service, attempts, and whether the machine was fast enough to say anything."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from typing import Any

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.fleet_views import FleetViews
from orchidferry.testkit.judge.lateness import Lateness, measure_lateness
from orchidferry.testkit.judge.rules import RULES, unsafe_duplicates
from orchidferry.testkit.judge.service import Service, measure
from orchidferry.testkit.judge.trace import RunTrace, build_trace
from orchidferry.testkit.record import Fact, RequestSent
from orchidferry.testkit.scenario import Scenario

FAULT_ONSET_S = 2.0
"""Seconds into a fault until what was in flight before it is over."""


@dataclass(slots=True)
class Verdict:
    """All that is judged of a run."""

    scenario: Scenario
    trace: RunTrace
    rules: dict[str, Finding]
    service: Service
    arrivals_by_tier: list[int]
    client_attempts: int  # requests that clients sent, retries counted
    unsafe_duplicates: list[str]
    lateness: Lateness
    complete: bool
    why: str  # the run is not complete
    control: dict[str, Any] | None = None  # what became of a control service's versions
    traffic: dict[str, Any] | None = None  # of a replay: what was sent, how late, and what was left out
    fleet: dict[str, Any] | None = None  # of nodes that know of each other
    views: FleetViews | None = None  # of theirs, over time

    @property
    def broken_rules(self) -> list[str]:
        """The keys of the rules that were violated."""
        return [name for name, finding in self.rules.items() if not finding.passed]

    @property
    def passed(self) -> bool:
        """Whether the run is complete, says something, and violated no rule."""
        proven = all(part is None or not part["problems"] for part in (self.control, self.fleet))
        return self.complete and not self.lateness.void and not self.broken_rules and proven

    @property
    def client_requests(self) -> int:
        """How many requests clients made, retries not counted."""
        return sum(row.asked for row in self.service.classes.values())

    @property
    def arrivals_per_client_request(self) -> float:
        """How many requests reached servers of any tier, for each client request."""
        return sum(self.arrivals_by_tier) / self.client_requests if self.client_requests else 0.0


def judge(
    scenario: Scenario, facts: list[Fact], start: float, end: float, complete: bool = True, why: str = ""
) -> Verdict:
    """Judge a record.

    :param facts: in order of time
    :param start: when the load began
    :param end: when the record ends
    :param complete: whether all clients came to their end
    :param why: the reason why they did not
    """
    trace = build_trace(scenario, facts, start, end, complete)
    service = measure(trace)
    arrivals = Counter(arrival.tier for found in trace.arrivals.values() for arrival in found)
    attempts = sum(
        1
        for request, events in trace.requester_events.items()
        if request.tier == 0 and isinstance(events[0], RequestSent)
    )
    return Verdict(
        scenario,
        trace,
        {name: rule(trace) for name, rule in RULES.items()},
        service,
        [arrivals[n] for n in range(len(scenario.tiers))],
        attempts,
        unsafe_duplicates(trace),
        measure_lateness(facts, scenario.limits, len(trace.wanted)),
        complete,
        why,
    )


@dataclass(frozen=True, slots=True)
class FaultAttempts:
    """What was asked and what reached servers while the longest fault lasted."""

    fault: str
    start_s: float  # seconds since the load began
    end_s: float
    asked: int
    arrivals_by_tier: list[int]

    @property
    def per_client_request(self) -> float | None:
        """Arrivals for each client request, to 4 digits; None if nothing was asked."""
        return round(sum(self.arrivals_by_tier) / self.asked, 4) if self.asked else None


def attempts_during_fault(verdict: Verdict) -> FaultAttempts | None:
    """Attempts from `FAULT_ONSET_S` into the longest fault until its end; None where none lasts longer."""
    trace = verdict.trace
    fault = max(trace.incidents, key=lambda fact: fact.until - fact.t, default=None)
    if fault is None or fault.until - fault.t <= FAULT_ONSET_S:
        return None
    start = fault.t + FAULT_ONSET_S
    end = fault.until
    by_tier = [0] * len(verdict.scenario.tiers)
    for arrivals in trace.arrivals.values():
        for arrival in arrivals:
            by_tier[arrival.tier] += start <= arrival.t < end
    asked = sum(start <= wanted.t < end for wanted in trace.wanted)
    return FaultAttempts(fault.do, trace.elapsed(start), trace.elapsed(end), asked, by_tier)


@dataclass(frozen=True, slots=True)
class NewPoolLoad:
    """What a new pool of servers carried."""

    requests: int  # client requests that reached it
    value_fraction: float  # of all value asked for, to 5 digits
    last_s: float | None  # when the last one came, in seconds since the load began, to 3 digits


def new_pool_load(verdict: Verdict) -> NewPoolLoad | None:
    """What the new pool of the first tier carried; None if the scenario has none."""
    scenario = verdict.scenario
    trace = verdict.trace
    if not scenario.pools.on:
        return None
    # A server's name begins with its tier and its number there.
    prefix = f"{scenario.tiers[0].name}-"
    new_servers = {
        up.server
        for up in trace.server_starts
        if up.tier == 0 and int(up.server.removeprefix(prefix).partition("-")[0]) >= scenario.new_from
    }
    roots: set[str] = set()
    last = None
    for arrivals in trace.arrivals.values():
        for arrival in arrivals:
            if arrival.tier == 0 and arrival.server in new_servers:
                roots.add(arrival.id.partition(".")[0])
                last = max(last or 0.0, trace.elapsed(arrival.t))
    values = {cls.name: cls.worth for cls in scenario.classes}
    total = sum(values[wanted.cls] for wanted in trace.wanted)
    carried = sum(values[wanted.cls] for wanted in trace.wanted if wanted.root in roots)
    last_s = None if last is None else round(last, 3)
    return NewPoolLoad(len(roots), round(carried / max(total, 1e-9), 5), last_s)
