"""Mesh rules on requests, their execution by servers, and their answers."""

from __future__ import annotations

import itertools
from collections import defaultdict

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.trace import MeshTrace, ServerRun
from orchidferry.testkit.mesh.facts import Answered, Sent

REFUSALS = (408, 421, 429, 503)
"""Statuses that promise that a request was not executed."""

CONFLICT = 409

MAX_UNDUE_REJECTIONS = 5
"""Number of acceptable requests that the mesh may reject, in addition to one in `REQUESTS_PER_REJECTION`."""

REQUESTS_PER_REJECTION = 500.0


def answers_match_requests(trace: MeshTrace) -> Finding:
    """A successful answer is a server's complete answer to the same request, and no stray bytes arrive."""
    finding = Finding()
    first_runs = _first_runs_by_key(trace)
    for request_id, end in trace.ends.items():
        if not isinstance(end, Answered):
            continue
        finding.checked += 1
        problem = _answer_problem(trace, trace.requests[request_id], end, first_runs)
        if problem:
            trace.report(finding, end.t, request_id, problem)
    for extra in trace.extras:
        trace.report(finding, extra.t, extra.id, "bytes came that no request waited for")
    return finding


def _answer_problem(
    trace: MeshTrace, request: Sent, answer: Answered, first_runs: dict[str, ServerRun]
) -> str:
    """Why an answer does not belong to this request; empty if it does."""
    run = trace.runs_by_seal.get(answer.seal)
    if answer.attempt and answer.attempt != request.id:
        return f"the answer carries the id {answer.attempt}"
    if not 200 <= answer.status < 300:
        if run is None or run.arrived.id == request.id or (request.key and run.arrived.key == request.key):
            return ""
        return f"the answer is that to {run.arrived.id}"
    if run is None or run.done is None:
        return f"success with the seal {answer.seal or '-'}, which no server gave"
    if not 200 <= run.done.status < 300:
        return f"success where the server answered {run.done.status}"
    if run.done.digest != answer.digest:
        return "success with a body that is not the server's whole one"
    if request.key:
        if run is first_runs[request.key]:
            return ""
        return "the key was answered with a run that is not its first"
    return "" if run.arrived.id == request.id else f"the answer is that to {run.arrived.id}"


def _first_runs_by_key(trace: MeshTrace) -> dict[str, ServerRun]:
    """The run that began first, by idempotency key."""
    found: dict[str, ServerRun] = {}
    for run in sorted(trace.executed_runs(), key=lambda run: run.began or 0.0):
        if run.arrived.key:
            found.setdefault(run.arrived.key, run)
    return found


def executed_as_sent(trace: MeshTrace) -> Finding:
    """Servers execute requests as they were sent, with the Calling-Service header of the sending service."""
    finding = Finding()
    for run in trace.executed_runs():
        finding.checked += 1
        arrived = run.arrived
        sent = trace.requests.get(arrived.id)
        if sent is None:
            problem = f"server {arrived.server} ran an id that nobody sent"
        elif (arrived.method, arrived.path, arrived.digest, arrived.key) != (
            sent.method,
            sent.path,
            sent.digest,
            sent.key,
        ):
            problem = f"server {arrived.server} ran it changed: {arrived.method} {arrived.path}"
        elif arrived.calling != trace.record.services[sent.machine]:
            problem = (
                f"Calling-Service {arrived.calling or 'missing'} from "
                f"{sent.machine}, where {trace.record.services[sent.machine]} is"
            )
        else:
            continue
        trace.report(finding, arrived.t, arrived.id, problem)
    return finding


def executed_once(trace: MeshTrace) -> Finding:
    """Attempts at non-repeatable requests, and keys within their window, are executed at most once."""
    finding = Finding()
    executed_by_key: dict[str, list[Sent]] = defaultdict(list)
    for request_id in trace.runs_by_request:
        sent = trace.requests.get(request_id)
        executed = trace.executed_runs_of(request_id)
        if sent is None or sent.repeatable or not executed:
            continue
        finding.checked += 1
        if len(executed) > 1:
            second = executed[1].began or 0.0
            trace.report(finding, second, request_id, f"it ran {len(executed)} times")
        if sent.key:
            executed_by_key[sent.key].append(sent)
    for key, attempts in executed_by_key.items():
        attempts.sort(key=lambda sent: sent.t)
        for one, other in itertools.pairwise(attempts):
            if other.t - one.t < trace.bounds.key_window_s:
                problem = f"key {key} ran for {one.id} and for {other.id}"
                trace.report(finding, other.t, other.id, problem)
    return finding


def refused_not_executed(trace: MeshTrace) -> Finding:
    """A refused request has not been executed and never will be, and each server that read it rejected it."""
    finding = Finding()
    for request_id, end in trace.ends.items():
        sent = trace.requests[request_id]
        if not isinstance(end, Answered) or end.status not in REFUSALS or sent.repeatable:
            continue
        finding.checked += 1
        for run in trace.runs_by_request.get(request_id, ()):
            server = run.arrived.server
            if run.began is not None:
                when = "had run" if run.began <= end.t else "ran later"
                trace.report(finding, end.t, request_id, f"answered {end.status}, and it {when} at {server}")
                break
            if run.rejected is None and run.arrived.t <= end.t:
                problem = f"answered {end.status}, though {server} had read it and did not turn it away"
                trace.report(finding, end.t, request_id, problem)
                break
    return finding


def few_undue_rejections(trace: MeshTrace) -> Finding:
    """The mesh itself answers no more than a few acceptable requests with a 3xx or 4xx status."""
    finding = Finding()
    rejections: list[Answered] = []
    for request_id, sent in trace.requests.items():
        end = trace.ends.get(request_id)
        finding.checked += 1
        if isinstance(end, Answered) and _is_undue_rejection(trace, sent, end):
            rejections.append(end)
    if len(rejections) > MAX_UNDUE_REJECTIONS + finding.checked / REQUESTS_PER_REJECTION:
        for end in rejections:
            trace.report(finding, end.t, end.id, f"ended with {end.status}, one of {len(rejections)}")
    return finding


def _is_undue_rejection(trace: MeshTrace, sent: Sent, end: Answered) -> bool:
    """Whether a request was rejected, though every version in force has a route for it."""
    if not 300 <= end.status < 500 or end.status in (408, 421, 429):
        return False
    if end.status == CONFLICT and sent.key:
        return False
    runs = trace.runs_by_request.get(sent.id, ())
    if any(run.done is not None and run.done.status == end.status for run in runs):
        return False  # the status came from the server
    versions = trace.versions_in_force(sent.t, end.t)
    if not versions or not all(trace.route_of(put, sent) for put in versions):
        return False
    return trace.were_connected(sent.t, end.t, sent.machine)


def executed_where_routed(trace: MeshTrace) -> Finding:
    """A service executes only requests that some configuration routes to it, on the targeted server."""
    finding = Finding()
    for run in trace.executed_runs():
        finding.checked += 1
        arrived = run.arrived
        sent = trace.requests.get(arrived.id)
        if arrived.target and arrived.target != arrived.server:
            problem = f"server {arrived.server} ran what was meant for {arrived.target}"
            trace.report(finding, arrived.t, arrived.id, problem)
        if sent is None:
            continue  # reported by `executed_as_sent`
        rules = (trace.route_of(put, sent) for put in trace.puts)
        if not any(rule is not None and arrived.service in rule.services for rule in rules):
            problem = f"no configuration ever let it go to {arrived.service}"
            trace.report(finding, arrived.t, arrived.id, problem)
    return finding
