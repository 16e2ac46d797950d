"""Mesh rules on planned work: draining servers, shutdowns of processes, and configuration changes."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.trace import MeshTrace
from orchidferry.testkit.mesh.facts import Answered, NoAnswer, Process, Sent

CLOSED_UNDER_REQUEST = ("closed", "reset", "broken")
MISDIRECTED = 421
OBSERVATION_S = 1.0
"""Seconds after the bound of planned work for which its effects are still looked for."""

DEADLINE_SLACK_S = 0.01
LAST_GRACE_FRACTION = 5.0 / 6.0
"""Fraction of the grace period; an execution that lasts longer may be cut by the end of the process."""

MAX_CLOSE_RATIO = 3.0
"""Maximum ratio of the share of connections closed around configuration changes to that at other times."""


def drained_servers_get_nothing(trace: MeshTrace) -> Finding:
    """No request reaches a server later than `drain_ms` after its drain notice was acknowledged."""
    finding = Finding()
    drain_s = trace.bounds.drain_ms / 1000.0
    services = {run.arrived.server: run.arrived.service for run in trace.runs.values()}
    for server, acknowledged in _drain_times(trace).items():
        late = acknowledged + drain_s
        end = trace.server_ends.get(server, math.inf)
        for run in trace.runs.values():
            arrived = run.arrived
            if not late < arrived.t <= end or arrived.service != services.get(server):
                continue
            finding.checked += 1  # the request was sent to this server or to another one of the service
            sent = trace.requests.get(arrived.id)
            if arrived.server != server or sent is None:
                continue
            if run.rejected and run.rejected.status == MISDIRECTED:
                continue
            if trace.link_was_faulty(sent.t, arrived.t, sent.machine, arrived.machine):
                continue
            if trace.were_connected(sent.t, arrived.t, sent.machine, arrived.machine):
                problem = f"reached {server} {arrived.t - acknowledged:.3f} s after its leave"
                trace.report(finding, arrived.t, arrived.id, problem)
    return finding


def _drain_times(trace: MeshTrace) -> dict[str, float]:
    """By server, when its notice that it drains or is gone was first acknowledged."""
    found: dict[str, float] = {}
    for notice in trace.notices:
        if notice.acked is not None and notice.state in ("draining", "gone"):
            found[notice.server] = min(notice.acked, found.get(notice.server, math.inf))
    return found


def planned_work_loses_nothing(trace: MeshTrace) -> Finding:
    """No request that a process has read is cut off by its shutdown or by a configuration change."""
    finding = Finding()
    for shutdown in trace.processes:
        if shutdown.what == "term" and shutdown.machine in trace.record.services:
            _check_shutdown(trace, finding, shutdown)
    _check_configuration_changes(trace, finding)
    return finding


def _check_shutdown(trace: MeshTrace, finding: Finding, shutdown: Process) -> None:
    """Check all requests of a machine that ended while the machine's process was shutting down."""
    grace = trace.bounds.grace_s
    for request_id, sent in trace.requests.items():
        end = trace.ends.get(request_id)
        if sent.machine != shutdown.machine or end is None:
            continue
        if not shutdown.t <= end.t <= shutdown.t + grace + OBSERVATION_S:
            continue
        if isinstance(end, NoAnswer) and end.how in ("refused", "silent"):
            continue  # no process read the request
        finding.checked += 1
        if trace.had_unplanned_event(sent.t, end.t) or _is_excused(
            trace, sent, end, shutdown.t + grace / 2.0
        ):
            continue
        if isinstance(end, NoAnswer):
            if _was_read(trace, sent, end):
                problem = f"closed {end.t - shutdown.t:.3f} s after the SIGTERM"
                trace.report(finding, end.t, request_id, problem)
        elif end.status in (500, 502, 504) and not end.seal and _was_cut_off(trace, request_id, shutdown.t):
            problem = f"answered {end.status} after the SIGTERM, while it was run"
            trace.report(finding, end.t, request_id, problem)


def nothing_is_cut(trace: MeshTrace) -> Finding:
    """Without a fault nearby, no request that has reached a server ends without a complete answer.

    A slow machine is no excuse: the only time measured here is the end of the grace period.
    """
    finding = Finding()
    grace_s = trace.bounds.grace_s
    for request_id, sent in trace.requests.items():
        end = trace.ends.get(request_id)
        if end is None or trace.had_unplanned_event(sent.t, end.t):
            continue
        finding.checked += 1
        if not isinstance(end, NoAnswer) or end.how not in CLOSED_UNDER_REQUEST:
            continue
        if not _was_forwarded(trace, end) or end.t >= sent.ends:
            continue
        shutdown_t = _last_shutdown(trace, sent.machine, end.t)
        late_t = math.inf if shutdown_t is None else shutdown_t + grace_s * LAST_GRACE_FRACTION
        if not _is_excused(trace, sent, end, late_t):
            trace.report(finding, end.t, request_id, f"its connection ended: {end.how}")
    return finding


def _last_shutdown(trace: MeshTrace, machine: str, t: float) -> float | None:
    """When a machine's process was last sent SIGTERM by time `t`; None if it never was."""
    times = [fact.t for fact in trace.processes if fact.what == "term" and fact.machine == machine]
    return max((term_t for term_t in times if term_t <= t), default=None)


def _was_read(trace: MeshTrace, sent: Sent, end: NoAnswer) -> bool:
    """Whether a connection closed before the answer to a request that a process must have read."""
    slack = trace.bounds.loss_slack_ms / 1000.0
    was_read = _was_forwarded(trace, end) or end.t - sent.t > slack
    return end.how in CLOSED_UNDER_REQUEST and end.t < sent.ends and was_read


def _was_forwarded(trace: MeshTrace, end: NoAnswer) -> bool:
    """Whether a request had reached a server by the time its connection ended."""
    return any(run.arrived.t <= end.t for run in trace.runs_by_request.get(end.id, ()))


def _was_cut_off(trace: MeshTrace, request_id: str, shutdown_t: float) -> bool:
    """Whether a server was executing a request when the shutdown began and had not answered it at its end."""
    end_t = trace.end_time(request_id)
    return any(
        run.began is not None
        and run.began <= end_t
        and (run.done is None or run.done.t > end_t)
        and (run.dropped is None or run.dropped >= shutdown_t)
        for run in trace.executed_runs_of(request_id)
    )


def _is_excused(trace: MeshTrace, sent: Sent, end: Answered | NoAnswer, late_t: float) -> bool:
    """Whether a request ended at its deadline, or late in the grace period while a server still executed it.

    :param late_t: time from which the grace period is so far advanced that executions may be cut
    """
    runs = trace.executed_runs_of(sent.id)
    executing = any((run.done.t if run.done else run.dropped or math.inf) > late_t for run in runs)
    return end.t >= sent.ends - DEADLINE_SLACK_S or (executing and end.t >= late_t)


@dataclass(frozen=True, slots=True)
class _Ended:
    """A request that ended."""

    request: Sent
    closed: bool  # its connection closed before the answer was complete


def _check_configuration_changes(trace: MeshTrace, finding: Finding) -> None:
    """Around configuration changes, no more requests lose their connection than at other times.

    The tolerance is `MAX_CLOSE_RATIO`.
    """
    inside: dict[str, list[_Ended]] = defaultdict(list)  # by machine
    outside: dict[str, list[_Ended]] = defaultdict(list)
    changes = _change_spans(trace)
    for request_id, sent in trace.requests.items():
        end = trace.ends.get(request_id)
        if end is None or trace.had_unplanned_event(sent.t, end.t):
            continue
        if _during_shutdown(trace, sent.machine, end.t):
            continue  # checked by `_check_shutdown`
        closed = isinstance(end, NoAnswer) and _was_read(trace, sent, end)
        in_change = any(low <= end.t <= high for low, high in changes)
        (inside if in_change else outside)[sent.machine].append(_Ended(sent, closed))
    for machine, ended in inside.items():
        finding.checked += len(ended)
        closed_requests = [one.request for one in ended if one.closed]
        elsewhere = outside.get(machine, [])
        baseline = sum(one.closed for one in elsewhere) / max(1, len(elsewhere))
        if len(closed_requests) > MAX_CLOSE_RATIO * baseline * len(ended):
            for sent in closed_requests:
                problem = "closed around a change of configuration"
                trace.report(finding, trace.end_time(sent.id), sent.id, problem)


def _change_spans(trace: MeshTrace) -> list[tuple[float, float]]:
    """The span from when each valid version was sent until it must have been applied."""
    after = trace.bounds.config_apply_ms / 1000.0 + OBSERVATION_S
    return [
        (put.t, (put.acked if put.acked is not None else put.until) + after)
        for put in trace.puts
        if put.valid
    ]


def _during_shutdown(trace: MeshTrace, machine: str, t: float) -> bool:
    """Whether a machine's process was shutting down at time `t`, or had just done so."""
    return any(
        fact.t <= t <= fact.t + trace.bounds.grace_s + OBSERVATION_S
        for fact in trace.processes
        if fact.what == "term" and fact.machine == machine
    )
