"""The verdict on a run: rules, service, attempts, and whether the machine was fast enough for a valid run."""

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
"""Seconds after the start of a fault until the requests in flight at its start have ended."""


@dataclass(slots=True)
class Verdict:
    """The result of judging a run."""

    scenario: Scenario
    trace: RunTrace
    rules: dict[str, Finding]  # by the rule's key in `--json`
    service: Service
    arrivals_by_tier: list[int]  # number of requests that reached the servers of each tier
    client_attempts: int  # number of requests that clients sent, retries included
    unsafe_duplicates: list[str]  # see `unsafe_duplicates` in `judge.rules`
    lateness: Lateness
    complete: bool  # whether all clients finished
    why: str  # reason why the run is not complete; empty if it is
    control: dict[str, Any] | None = None  # result of the control service's configuration versions, if any
    traffic: dict[str, Any] | None = None  # of a replay: requests sent, their lateness, and those left out
    fleet: dict[str, Any] | None = None  # result for the fleet membership, if the nodes form a fleet
    views: FleetViews | None = None  # the nodes' membership views over time, if they form a fleet

    @property
    def broken_rules(self) -> list[str]:
        """The keys of the rules that were violated."""
        return [name for name, finding in self.rules.items() if not finding.passed]

    @property
    def passed(self) -> bool:
        """Whether the run is complete and not void, and neither a rule nor a further check failed."""
        no_problems = all(part is None or not part["problems"] for part in (self.control, self.fleet))
        return self.complete and not self.lateness.void and not self.broken_rules and no_problems

    @property
    def client_requests(self) -> int:
        """Number of requests that clients made, retries not counted."""
        return sum(row.asked for row in self.service.classes.values())

    @property
    def arrivals_per_client_request(self) -> float:
        """Number of requests that reached servers of any tier, per client request."""
        return sum(self.arrivals_by_tier) / self.client_requests if self.client_requests else 0.0


def judge(
    scenario: Scenario, facts: list[Fact], start: float, end: float, complete: bool = True, why: str = ""
) -> Verdict:
    """Judge a record.

    :param facts: in order of time
    :param start: when the load began, in seconds on the record's clock
    :param end: when the record ends, on the same clock
    :param complete: whether all clients finished
    :param why: the reason why they did not; empty if they did
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
        measure_lateness(facts, scenario.limits, len(trace.scheduled)),
        complete,
        why,
    )


@dataclass(frozen=True, slots=True)
class FaultAttempts:
    """Client requests, and arrivals at servers, during the longest fault."""

    fault: str  # the kind of fault, as in the scenario's timeline
    start_s: float  # seconds since the load began
    end_s: float  # seconds since the load began
    asked: int  # number of client requests that were due, retries not counted
    arrivals_by_tier: list[int]

    @property
    def per_client_request(self) -> float | None:
        """Arrivals per client request, rounded to 4 digits; None if there was no client request."""
        return round(sum(self.arrivals_by_tier) / self.asked, 4) if self.asked else None


def attempts_during_fault(verdict: Verdict) -> FaultAttempts | None:
    """Count attempts from `FAULT_ONSET_S` after the start of the longest fault until its end.

    :returns: the counts; None if no fault lasted longer than `FAULT_ONSET_S`
    """
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
    asked = sum(start <= scheduled.t < end for scheduled in trace.scheduled)
    return FaultAttempts(fault.do, trace.elapsed(start), trace.elapsed(end), asked, by_tier)


@dataclass(frozen=True, slots=True)
class NewPoolLoad:
    """The load that a new pool of servers received."""

    requests: int  # number of client requests that reached the pool
    value_fraction: float  # their value divided by that of all client requests, to 5 digits
    last_s: float | None  # arrival of the last one, in seconds since the load began, to 3 digits


def new_pool_load(verdict: Verdict) -> NewPoolLoad | None:
    """The load that the new pool of the first tier received; None if the scenario has no new pool."""
    scenario = verdict.scenario
    trace = verdict.trace
    if not scenario.pools.on:
        return None
    # A server's name begins with its tier's name and its number within the tier.
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
    total = sum(values[scheduled.cls] for scheduled in trace.scheduled)
    carried = sum(values[scheduled.cls] for scheduled in trace.scheduled if scheduled.root in roots)
    last_s = None if last is None else round(last, 3)
    return NewPoolLoad(len(roots), round(carried / max(total, 1e-9), 5), last_s)
