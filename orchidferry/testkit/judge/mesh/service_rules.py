"""Mesh rules on retries, on processes, and on recovery after the final fault of a run."""

from __future__ import annotations

import bisect
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.trace import MeshTrace
from orchidferry.testkit.mesh.day import PROBE
from orchidferry.testkit.mesh.facts import Answered, Sent
from orchidferry.testkit.mesh.schedule import CLOSING_FAULTS

MIN_SERVED_SHARE = 0.25
"""Share of requests that must be served after the final fault of a run and the time to recover from it."""


def retries_within_budget(trace: MeshTrace) -> Finding:
    """Retries that reach a service stay within the retry budget that all nodes share."""
    finding = Finding()
    bounds = trace.bounds
    window = bounds.retry_window_s
    requests_by_service = _request_times(trace)
    retries = _retry_arrivals(trace)
    finding.checked += sum(len(runs) for runs in trace.runs_by_request.values())
    for service, arrivals in retries.items():
        arrivals.sort()
        times = [t for t, _ in arrivals]
        request_times = sorted(requests_by_service[service])
        for n, (t, request_id) in enumerate(arrivals):
            count = n + 1 - bisect.bisect_left(times, t - window)
            max_requests = max(
                bisect.bisect_right(request_times, t - back)
                - bisect.bisect_left(request_times, t - back - window)
                for back in (0.0, window / 2.0, window)
            )
            if count > bounds.retry_ratio * max_requests + bounds.retry_slack:
                problem = (
                    f"{count} further arrivals at {service} in {window:g} s, for {max_requests} requests"
                )
                trace.report(finding, t, request_id, problem)
                break
    return finding


def _request_times(trace: MeshTrace) -> dict[str, list[float]]:
    """By service, the times at which requests were sent that some version in force routes to the service."""
    found: dict[str, list[float]] = defaultdict(list)
    for sent in trace.requests.values():
        services: set[str] = set()
        for put in trace.versions_in_force(sent.t, sent.t):
            rule = trace.route_of(put, sent)
            services |= rule.services if rule is not None else set()
        for service in services:
            found[service].append(sent.t)
    return found


def _retry_arrivals(trace: MeshTrace) -> dict[str, list[tuple[float, str]]]:
    """Arrivals caused by retries, by service: the time and the id of the request.

    These are all arrivals of a request except the first, and all arrivals of calls that a repeated execution
    makes.
    """
    found: dict[str, list[tuple[float, str]]] = defaultdict(list)
    run_numbers: dict[int, int] = {}  # by number of the arrival: how many runs of its request began before
    for request_id in trace.runs_by_request:
        executed = trace.executed_runs_of(request_id)
        run_numbers |= {run.arrived.n: number for number, run in enumerate(executed)}
    for request_id, runs in trace.runs_by_request.items():
        sent = trace.requests.get(request_id)
        parent = sent.parent if sent is not None else 0
        for number, run in enumerate(runs):
            if number or run_numbers.get(parent, 0):
                found[run.arrived.service].append((run.arrived.t, request_id))
    return found


def processes_stay_up(trace: MeshTrace) -> Finding:
    """No process exits on its own, and each one exits within the grace period after a SIGTERM."""
    finding = Finding()
    for fact in trace.processes:
        finding.checked += fact.what == "start"
        if fact.what == "exit":
            trace.report(finding, fact.t, "", f"{fact.machine} ended by itself")
        elif fact.what == "late":
            trace.report(finding, fact.t, "", f"{fact.machine} did not end within its grace")
    return finding


@dataclass(slots=True)
class _Count:
    """Counts of client requests in a span of time."""

    asked: int = 0
    served: int = 0

    def add(self, served: bool) -> None:
        self.asked += 1
        self.served += served

    @property
    def enough_served(self) -> bool:
        return self.served >= MIN_SERVED_SHARE * self.asked


def service_recovers(trace: MeshTrace) -> Finding:
    """After the final fault and the time to recover, enough requests are served, if that was so before it."""
    finding = Finding()
    for event in trace.events:
        if event.do not in CLOSING_FAULTS:
            continue
        recovered = event.until + trace.bounds.recovery_s
        before = _Count()
        after = _Count()
        for attempts in client_attempts(trace):
            scheduled = attempts[0].first
            count = before if scheduled < event.t else after if scheduled > recovered else None
            if count is not None and not attempts[0].parent:
                end = trace.ends.get(attempts[-1].id)
                count.add(isinstance(end, Answered) and 200 <= end.status < 300)
        finding.checked += after.asked
        if before.enough_served and not after.enough_served:
            problem = f"{after.served} of {after.asked} served after the closing loss"
            trace.report(finding, recovered, "", problem)
    return finding


def client_attempts(trace: MeshTrace) -> Iterator[list[Sent]]:
    """The attempts of each client request that counts: not a probe, and due before the end of the traffic."""
    for attempts in trace.attempts.values():
        first = attempts[0]
        if first.kind != PROBE and first.owed and first.first <= trace.record.end:
            yield attempts
