"""Mesh rules on operators' calls to controllers: answers to changes and resent changes, and isolation.

A controller is isolated if it runs but does not reach a majority of the controllers.
"""

from __future__ import annotations

import bisect
from collections import Counter
from typing import Any

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.connectivity import spans_without_majority
from orchidferry.testkit.judge.mesh.trace import MeshTrace
from orchidferry.testkit.mesh.configuration import content_digest
from orchidferry.testkit.mesh.facts import ControlCall

ISOLATION_NOTICED_S = 2.0
"""Seconds after which a controller must have noticed that it has lost its majority."""

STARTUP_S = 2.0
"""Seconds after the start of a process in which it need not answer."""

NO_RESPONSE = ("timeout", "silent")
SERVICE_UNAVAILABLE = 503
RETRYABLE = (408, 429)
"""The 4xx statuses that do not refuse a change permanently."""


def _confirms(call: ControlCall) -> bool:
    """Whether a call was answered with success."""
    return 200 <= call.status < 300


def _refuses(call: ControlCall) -> bool:
    """Whether a call was refused permanently."""
    return 400 <= call.status < 500 and call.status not in RETRYABLE


def _confirmation_times(trace: MeshTrace) -> dict[str, float]:
    """When each content was first confirmed, by its digest, whether or not the operator got the answer."""
    found: dict[str, float] = {}
    for call in trace.control_calls:
        if call.revision and _confirms(call):
            found[call.content] = min(call.until, found.get(call.content, call.until))
    return found


def resent_changes_accepted(trace: MeshTrace) -> Finding:
    """A change that an answer or a read has shown to be in force is never refused when it is resent."""
    finding = Finding()
    known_at = _confirmation_times(trace)
    for read in trace.reads:
        if read.config is not None:
            digest = content_digest(read.config)
            known_at[digest] = min(read.t, known_at.get(digest, read.t))
    for call in trace.control_calls:
        if not call.revision or not known_at.get(call.content, call.t) < call.t:
            continue
        finding.checked += 1
        if _refuses(call):
            ago = call.t - known_at[call.content]
            what = f"version {call.revision}, taken {ago:.1f} s before, sent again to {call.machine}"
            trace.report(finding, call.t, "", f"{what}: {call.status}", _call_history(trace, call))
    return finding


def one_content_per_revision(trace: MeshTrace) -> Finding:
    """At most one of several contents with the same revision or the same base is ever confirmed.

    Confirmations count whether or not the operator received the answer. A content that was refused
    permanently is neither confirmed nor read later.
    """
    finding = Finding()
    bases = {content_digest(put.config): put.base for put in trace.puts}
    by_revision: dict[int, str] = {}
    by_base: dict[int, str] = {}
    refused: dict[str, ControlCall] = {}
    for call in sorted(trace.control_calls, key=lambda call: call.until):
        if not call.revision:
            continue
        if _refuses(call):
            refused.setdefault(call.content, call)
        if not _confirms(call):
            continue
        finding.checked += 1
        confirmed = f"version {call.revision} was confirmed by {call.machine}"
        problems = []
        if by_revision.setdefault(call.revision, call.content) != call.content:
            problems.append(f"{confirmed} with another content")
        base = bases.get(call.content)
        if base is not None and by_base.setdefault(base, call.content) != call.content:
            problems.append(f"{confirmed} on {base}, as another one was")
        refusal = refused.get(call.content)
        if refusal is not None and refusal.until < call.t:
            problems.append(f"{confirmed}, after {refusal.machine} refused it")
        for problem in problems:
            trace.report(finding, call.t, "", problem, _call_history(trace, call))
    _check_refused_not_read(trace, finding, refused)
    return finding


def _check_refused_not_read(trace: MeshTrace, finding: Finding, refused: dict[str, ControlCall]) -> None:
    """Report reads of a content that was refused permanently.

    :param refused: the first refusal of each content, by its digest
    """
    for read in trace.reads:
        refusal = refused.get(content_digest(read.config)) if read.config is not None else None
        if refusal is not None:
            finding.checked += 1
            problem = f"version {refusal.revision} was read, though {refusal.machine} refused it"
            trace.report(finding, read.t, "", problem, _call_history(trace, refusal))


def _call_history(trace: MeshTrace, call: ControlCall) -> list[str]:
    """All calls that carried the same content as this one, in order, one line of text each."""
    same = [one for one in trace.control_calls if one.content == call.content]
    return [
        f"{trace.elapsed(one.t):9.3f} s  {one.operator} to {one.machine}: {one.status or one.how}"
        f" after {one.until - one.t:.3f} s{', lost on its way' if one.lost else ''}"
        for one in same
    ]


def calls_at_isolated_controllers(trace: MeshTrace) -> list[ControlCall]:
    """Calls to running, reachable controllers that had been without a majority for `ISOLATION_NOTICED_S`."""
    found = []
    spans = spans_without_majority(trace.fault_history)
    for call in trace.control_calls:
        isolated = any(
            low + ISOLATION_NOTICED_S <= call.t and call.until <= high
            for low, high in spans.get(call.machine, ())
        )
        started = any(
            fact.machine == call.machine and fact.what != "ended" and call.t - STARTUP_S < fact.t < call.until
            for fact in trace.processes
        )
        if isolated and not started and not call.lost:
            found.append(call)
    return found


def isolated_controllers_refuse(trace: MeshTrace) -> Finding:
    """A controller without a majority answers 503 with Retry-After, and confirms no new change."""
    finding = Finding()
    confirmed_at = _confirmation_times(trace)
    for call in calls_at_isolated_controllers(trace):
        finding.checked += 1
        what = f"version {call.revision}" if call.revision else "a reading"
        took = call.until - call.t
        if call.how in NO_RESPONSE:
            problem = f"{what} at {call.machine}, alone: no answer in {took:.1f} s"
            trace.report(finding, call.t, "", problem)
        elif call.revision and _confirms(call) and confirmed_at[call.content] == call.until:
            problem = f"{what} was acknowledged by {call.machine}, alone"
            trace.report(finding, call.t, "", problem, _call_history(trace, call))
        elif call.status == SERVICE_UNAVAILABLE and not call.retry_after:
            problem = f"{what} at {call.machine}, alone: 503 without Retry-After"
            trace.report(finding, call.t, "", problem)
    return finding


def changes_between_resends(trace: MeshTrace) -> list[int]:
    """For each change resent after its confirmation, the number of others confirmed in between."""
    confirmed_at = _confirmation_times(trace)
    times = sorted(confirmed_at.values())
    found = []
    for call in trace.control_calls:
        if call.revision and (first := confirmed_at.get(call.content, call.t)) < call.t:
            found.append(bisect.bisect_left(times, call.t) - bisect.bisect_right(times, first))
    return found


def _outcome(call: ControlCall) -> str:
    """How a call ended: the status and the error code, or the reason why there was no answer."""
    return " ".join(filter(None, (str(call.status), call.error))) if call.status else call.how


def control_call_statistics(trace: MeshTrace) -> dict[str, Any]:
    """Counts of operators' calls, as they appear in `--json`."""
    isolated = calls_at_isolated_controllers(trace)
    answered = [call.until - call.t for call in isolated if call.how == "answer"]
    between = changes_between_resends(trace)
    return {
        "calls": len(trace.control_calls),
        "answers_lost": sum(call.lost for call in trace.control_calls),
        "sent_again": len(between),
        "sent_again_after_most": max(between, default=0),
        "alone": len(isolated),
        "alone_silent": sum(call.how in NO_RESPONSE for call in isolated),
        "alone_confirmed": sum(_confirms(call) for call in isolated),
        "alone_slowest_ms": round(max(answered, default=0.0) * 1000.0, 1),
        "alone_answers": dict(sorted(Counter(map(_outcome, isolated)).items())),
    }
