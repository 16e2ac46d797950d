"""Mesh rules on configurations: the version that handles a request, acknowledgements, and reads."""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from dataclasses import dataclass

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.connectivity import ALL_MACHINES
from orchidferry.testkit.judge.mesh.trace import MeshTrace
from orchidferry.testkit.mesh.configuration import Config, route_count
from orchidferry.testkit.mesh.facts import Answered, Put, Read, Sent

PRECONDITION_FAILED = 412
"""The status of a version that was refused because a concurrent one was accepted on the same base."""

ACK_PER_ROUTE_MS = 3.0
"""Additional time for an acknowledgement per route of the configuration, in milliseconds."""

MIN_ALLOWED_LOST_DRAINS = 3.0
DRAINS_PER_ALLOWED_LOSS = 5.0
"""One drain notice in this many may stay unacknowledged, and `MIN_ALLOWED_LOST_DRAINS` in any case."""


@dataclass(frozen=True, slots=True)
class Handling:
    """How a request was handled, from which the possible versions of the configuration follow."""

    t: float  # time of the first execution or of the answer, in seconds on the record's clock
    services: frozenset[str] | None  # services that executed the request; None: it was answered with 404
    description: str

    def allowed_by(self, trace: MeshTrace, put: Put, sent: Sent) -> bool:
        """Whether a configuration version allows a request to be handled in this way."""
        rule = trace.route_of(put, sent)
        if self.services is None:
            return rule is None
        return rule is not None and self.services <= rule.services


def handling_of(trace: MeshTrace, request_id: str) -> Handling | None:
    """How a request was handled; None if it was neither executed nor answered with 404."""
    runs = trace.executed_runs_of(request_id)
    if runs:
        services = frozenset(run.arrived.service for run in runs)
        return Handling(runs[0].began or 0.0, services, f"run by {', '.join(sorted(services))}")
    end = trace.ends.get(request_id)
    if isinstance(end, Answered) and end.status == 404:
        return Handling(end.t, None, "refused with 404")
    return None


def configuration_consistent(trace: MeshTrace) -> Finding:
    """Accepted versions are applied in time and never undone, refused ones are not, and reads are current."""
    finding = Finding()
    _check_applied(trace, finding)
    _check_acknowledged(trace, finding)
    _check_reads(trace, finding)
    _check_final_read(trace, finding)
    return finding


@dataclass(frozen=True, slots=True)
class _Handled:
    """A request that was handled as some version allows that is valid and was not refused."""

    sent: Sent
    description: str  # how the request was handled
    newest: int  # revision of the newest version that allows this handling


def _check_applied(trace: MeshTrace, finding: Finding) -> None:
    """Requests are handled by a version in force, and no process reverts to an older version."""
    valid = sorted((put for put in trace.puts if put.valid), key=lambda put: put.revision)
    acceptable = [put for put in valid if put.status != PRECONDITION_FAILED]
    refused = [put for put in trace.puts if not put.valid or put.status == PRECONDITION_FAILED]
    applied: dict[str, list[tuple[float, int]]] = defaultdict(list)  # see `_check_no_reversion`
    handled: list[_Handled] = []
    for request_id, sent in trace.requests.items():
        handling = handling_of(trace, request_id)
        if handling is None:
            continue
        oldest = next((put.revision for put in acceptable if handling.allowed_by(trace, put, sent)), None)
        newest = next(
            (put.revision for put in reversed(acceptable) if handling.allowed_by(trace, put, sent)), None
        )
        if newest is not None:
            handled.append(_Handled(sent, handling.description, newest))
        _check_in_force(trace, finding, sent, handling)
        if oldest is None and any(handling.allowed_by(trace, put, sent) for put in refused):
            problem = f"{handling.description}, as only a configuration that was refused has it"
            trace.report(finding, handling.t, request_id, problem)
        if oldest is not None and trace.runs_by_request.get(request_id) and oldest > valid[0].revision:
            applied[sent.machine].append((handling.t, oldest))
    _check_no_reversion(trace, finding, applied, handled)


def _check_in_force(trace: MeshTrace, finding: Finding, sent: Sent, handling: Handling) -> None:
    """Report a request that was handled in a way which no version in force allows."""
    current = trace.versions_in_force(sent.t, trace.end_time(sent.id))
    if not current or not trace.were_connected(sent.t, handling.t, sent.machine):
        return
    finding.checked += 1
    if not any(handling.allowed_by(trace, put, sent) for put in current):
        revisions = [put.revision for put in current]
        problem = f"{handling.description} at {sent.machine}, as none of versions {revisions} has it"
        trace.report(finding, handling.t, sent.id, problem)


def _check_no_reversion(
    trace: MeshTrace, finding: Finding, applied: dict[str, list[tuple[float, int]]], handled: list[_Handled]
) -> None:
    """Report requests handled by an older version than the same process had applied before.

    :param applied: by machine, the times at which a request proved that a version was applied there, each
        with the lowest revision that the version can have
    """
    slack = trace.bounds.revert_slack_ms / 1000.0
    starts = process_starts(trace)
    for machine, versions in applied.items():
        versions.sort()
        for request in handled:
            sent = request.sent
            if sent.machine != machine:
                continue
            started = max((t for t in starts[machine] if t <= sent.t), default=-math.inf)
            known = [version for t, version in versions if started <= t < sent.t - slack]
            if known and request.newest < max(known):
                problem = f"{request.description}, though {machine} was at {max(known)} before"
                trace.report(finding, sent.t, sent.id, problem)


def process_starts(trace: MeshTrace) -> dict[str, list[float]]:
    """The start times of processes in ascending order, by machine."""
    starts: dict[str, list[float]] = defaultdict(list)
    for fact in trace.processes:
        if fact.what == "start":
            starts[fact.machine].append(fact.t)
    return starts


def _check_acknowledged(trace: MeshTrace, finding: Finding) -> None:
    """No invalid version is acknowledged, nor two different ones on one base or with one revision number."""
    by_base: dict[int, Put] = {}
    by_revision: dict[int, Put] = {}
    for put in trace.puts:
        finding.checked += 1
        if put.acked is None:
            continue
        if not put.valid:
            problem = f"version {put.revision} is invalid, and was acknowledged"
        elif (other := by_base.setdefault(put.base, put)).config != put.config:
            problem = f"{other.revision} and {put.revision} were both acknowledged on top of {put.base}"
        elif by_revision.setdefault(put.revision, put).config != put.config:
            problem = f"two contents were acknowledged as version {put.revision}"
        else:
            continue
        trace.report(finding, put.acked, "", problem)


def _revision(config: Config) -> int:
    """The revision number in a configuration; 0 if it has none."""
    revision: int = config.get("revision_number", 0)
    return revision


def _check_reads(trace: MeshTrace, finding: Finding) -> None:
    """A read returns a version no older than any that was acknowledged or read before the read began."""
    refused = [
        put
        for put in trace.puts
        if not put.valid or (put.status == PRECONDITION_FAILED and put.tries.count(";") < 2)
    ]
    known: list[tuple[float, int]] = [
        (put.acked, put.revision) for put in trace.acknowledged if put.acked is not None
    ]
    for read in trace.reads:
        if read.config is None:
            continue
        finding.checked += 1
        revision = _revision(read.config)
        began = read.t if read.asked is None else read.asked
        newest = max((number for t, number in known if t < began), default=0)
        if revision < newest:
            problem = f"read {revision}, after {newest} was acknowledged or read"
            trace.report(finding, read.t, "", problem)
        if any(put.config == read.config for put in refused):
            trace.report(finding, read.t, "", f"read {revision}, which was refused")
        elif read.t < trace.record.end and not _was_sent(trace, read):
            trace.report(finding, read.t, "", f"read {revision}, which is not what was sent under it")
        known.append((read.t, revision))


def _was_sent(trace: MeshTrace, read: Read) -> bool:
    """Whether the configuration that was read is one that an operator sent."""
    return any(put.config == read.config for put in trace.puts)


def _check_final_read(trace: MeshTrace, finding: Finding) -> None:
    """A read after the end of the traffic returns the newest acknowledged version, or a later one."""
    final = [read for read in trace.reads if read.t >= trace.record.end]
    finding.checked += bool(final)
    if not final or not trace.acknowledged:
        return
    newest = trace.acknowledged[-1].revision
    when = final[-1].t
    last = next((read for read in reversed(final) if read.config is not None), None)
    if last is None or last.config is None:
        trace.report(finding, when, "", "read back at the end, it did not come")
    elif (revision := _revision(last.config)) < newest:
        problem = f"read back {revision}, older than the acknowledged {newest}"
        trace.report(finding, when, "", problem)
    elif not _was_sent(trace, last):
        trace.report(finding, when, "", f"read back {revision}, which is not what was sent under it")


def restarted_nodes_current(trace: MeshTrace) -> Finding:
    """A node does not handle requests by a version older than any acknowledged before its process started.

    The rule holds during faults too: a node that cannot know the newest version is not ready, and refuses
    requests.
    """
    finding = Finding()
    starts = process_starts(trace)
    oldest_allowed = {t: _acknowledged_before(trace, t) for times in starts.values() for t in times}
    for request_id, sent in trace.requests.items():
        times = starts.get(sent.machine, [])
        process_count = bisect.bisect_right(times, sent.t)
        if not process_count or not (oldest := oldest_allowed[times[process_count - 1]]):
            continue
        handling = handling_of(trace, request_id)
        if handling is None:
            continue
        finding.checked += 1
        end = trace.end_time(request_id)
        versions = [
            put
            for put in trace.puts
            if put.valid and put.status != PRECONDITION_FAILED and put.revision >= oldest and put.t <= end
        ]
        if not any(handling.allowed_by(trace, put, sent) for put in versions):
            since = sent.t - times[process_count - 1]
            where = f"at {sent.machine}, {since:.1f} s after its start"
            problem = f"{handling.description} {where}, as no version from {oldest} on has it"
            trace.report(finding, handling.t, request_id, problem)
    return finding


def _acknowledged_before(trace: MeshTrace, t: float) -> int:
    """The newest revision that was acknowledged before `t`; 0 if there was none."""
    before = (put.revision for put in trace.acknowledged if put.acked is not None and put.acked < t)
    return max(before, default=0)


def acknowledged_in_time(trace: MeshTrace) -> Finding:
    """Acceptable versions are acknowledged in time while the controllers are settled; drain notices as well.

    A drain notice is a server's message that it is about to stop.
    """
    finding = Finding()
    for put in trace.puts:
        if put.valid and put.status != PRECONDITION_FAILED:
            _check_acknowledgement_time(trace, finding, put)
    drains = [notice for notice in trace.notices if notice.state == "draining"]
    servers = sorted({notice.server for notice in drains})
    finding.checked += len(servers)
    lost = [server for server in servers if not any(n.acked for n in drains if n.server == server)]
    allowed = max(MIN_ALLOWED_LOST_DRAINS, len(servers) / DRAINS_PER_ALLOWED_LOSS)
    if len(lost) > allowed or (servers and len(lost) == len(servers)):
        problem = f"the leaves of {', '.join(lost)} were not acknowledged"
        trace.report(finding, trace.record.end, "", problem)
    return finding


def _check_acknowledgement_time(trace: MeshTrace, finding: Finding, put: Put) -> None:
    """Report a version that was not acknowledged within its bound, unless a fault excuses the delay."""
    bound = (trace.bounds.ack_ms + ACK_PER_ROUTE_MS * route_count(put.config)) / 1000.0
    # For a version sent while the controllers are unsettled, the bound counts from when they have settled.
    unsettled = trace.disconnected.get(ALL_MACHINES, ())
    since = max([put.t, *(high for low, high in unsettled if low <= put.t < high)])
    faulty = any(fault.t < since + bound and fault.until > since for fault in trace.link_faults)
    if faulty or not trace.were_connected(since, since + bound):
        return
    finding.checked += 1
    if put.acked is None or put.acked - since > bound:
        problem = f"version {put.revision} was not acknowledged in {bound:.1f} s"
        trace.report(finding, put.t, "", problem)
