"""The four rules that nodes must keep, judged on the record of a run.

The record has only observations of clients, servers and the test kit itself, none that a node reported. Each
rule counts how often it could have been violated (`Finding.checked`). `docs/design/rehearsal.md` explains how
each rule is judged and why. The bounds come from `[rules]` of the scenario; the nodes are configured with the
same values.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterator

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.trace import KILLED, RequesterEvent, RequestKey, RunTrace, arrivals_between
from orchidferry.testkit.record import (
    ConnectionClosed,
    ExtraBytes,
    RequestReceived,
    RequestSent,
    RequestTimedOut,
    ResponseReceived,
    ServerUp,
)
from orchidferry.testkit.scenario import Class

REFUSALS = (429, 503)

NODE_STOP_SLACK_S = 1.0
"""Seconds by which the record may show the end of a process later than its effect on connections."""

START_SKEW_S = 0.25
"""Seconds by which discovery's time of a server's start may differ from the server's own time of it."""

INFORMED_SHARE = 2.0 / 3.0
"""Minimum share of a cold server's work that comes from nodes that knew of its start.

With a smaller share an overload of the server does not count as a violation.
"""

COLD_SLACK = 1.1
"""Factor by which the work sent to a cold server may exceed its budget by chance."""


def _report(finding: Finding, trace: RunTrace, t: float, request: RequestKey, description: str) -> None:
    """Add a violation with the history of its request."""
    finding.add(trace.elapsed(t), request.id, description, lambda: trace.history(request), tier=request.tier)


# Rule 1


def no_request_lost(trace: RunTrace) -> Finding:
    """Each request that a running node has accepted gets exactly one final answer, in time."""
    finding = Finding()
    rules = trace.scenario.rules
    slack = rules.answer_slack_s + rules.slack_s
    for request, events in trace.requester_events.items():
        sends = [fact for fact in events if isinstance(fact, RequestSent)]
        if not sends:
            continue  # no node accepted the request
        _check_single_answer(finding, trace, request, sends, events)
        deadline = sends[0].ends + slack
        answer = next((fact for fact in events if isinstance(fact, ResponseReceived)), None)
        if answer is not None:
            finding.checked += 1
            _check_answer(finding, trace, request, sends[0], answer, deadline)
            continue
        problem = _loss(trace, request, sends, events, deadline)
        if problem is None:
            continue
        finding.checked += 1
        if problem:
            _report(finding, trace, events[-1].t, request, problem)
    return finding


def _check_single_answer(
    finding: Finding,
    trace: RunTrace,
    request: RequestKey,
    sends: list[RequestSent],
    events: list[RequesterEvent],
) -> None:
    """Report a connection that closed after its request was forwarded, and anything after the answer."""
    close = _close_after_forwarding(trace, request, sends, events)
    if close is not None:
        description = f"node {close.node} sent it on and closed with no answer"
        _report(finding, trace, close.t, request, description)
    for fact in events:
        if isinstance(fact, ExtraBytes):
            _report(finding, trace, fact.t, request, "bytes came after its answer: a second one")
    answers = [fact for fact in events if isinstance(fact, ResponseReceived)]
    if len(answers) > 1:
        _report(finding, trace, answers[1].t, request, f"answered {len(answers)} times")


def _check_answer(
    finding: Finding,
    trace: RunTrace,
    request: RequestKey,
    first: RequestSent,
    answer: ResponseReceived,
    deadline: float,
) -> None:
    if answer.t > deadline and not trace.was_paused(answer.node, first.t, answer.t):
        late_ms = (answer.t - first.ends) * 1000.0
        _report(finding, trace, answer.t, request, f"answered {late_ms:.0f} ms after its time")
    if answer.status == 200 and not answer.sound:
        _report(finding, trace, answer.t, request, "served with a body that no server made for it")


def _close_after_forwarding(
    trace: RunTrace, request: RequestKey, sends: list[RequestSent], events: list[RequesterEvent]
) -> ConnectionClosed | None:
    """The close of a connection that made the requester resend a request which a server had received by then.

    A node may close a persistent connection between requests. If the close crosses a request that the node
    has not read, the requester resends the request. A request that the node has read and forwarded must be
    answered.
    """
    for fact in events:
        if isinstance(fact, ConnectionClosed) and fact.t < sends[-1].t:
            stop = trace.node_stop_between(fact.node, fact.t - NODE_STOP_SLACK_S, fact.t + NODE_STOP_SLACK_S)
            if stop is not None and stop.why in KILLED:
                continue
            if any(arrival.t <= fact.t for arrival in trace.arrivals.get(request, ())):
                return fact
    return None


def _loss(
    trace: RunTrace,
    request: RequestKey,
    sends: list[RequestSent],
    events: list[RequesterEvent],
    deadline: float,
) -> str | None:
    """Why a request with no answer counts as lost.

    :returns: the reason; empty if the request does not count as lost; None if it cannot be judged
    """
    last = sends[-1]
    node = last.node
    closes = [fact for fact in events if isinstance(fact, ConnectionClosed) and fact.t >= last.t]
    timeouts = [fact for fact in events if isinstance(fact, RequestTimedOut)]
    over = closes[0].t if closes else timeouts[0].t if timeouts else trace.end
    stop = trace.node_stop_between(node, sends[0].t - NODE_STOP_SLACK_S, over + NODE_STOP_SLACK_S)
    if stop is not None and stop.why in KILLED:
        return None  # lost because the test kit killed the node: the caller has to retry
    if trace.was_paused(node, sends[0].t - NODE_STOP_SLACK_S, over):
        return None  # the paused node could not answer, and the caller can retry
    if trace.node_was_dead(node, last.t):
        return None  # sent over QUIC to a node that was down, so no node accepted it
    if closes:
        return _loss_by_close(trace, request, node, closes[0])
    if timeouts:
        return "" if timeouts[0].left else f"node {node} took it, and no answer came before its time was up"
    if deadline > trace.end or trace.requester_died(node, sends[0].t):
        return None  # still open at the end of the record, or its sender was down and saw no answer
    return f"node {node} took it, and the record has no end of it"


def _loss_by_close(trace: RunTrace, request: RequestKey, node: str, close: ConnectionClosed) -> str | None:
    """Why a request is lost if its last connection closed; returns the same as `_loss`."""
    if close.how in ("refused", "silent"):
        return None  # resent after a close that crossed the request, and no node accepted the second attempt
    if not trace.arrivals.get(request) and trace.was_terminated(node, close.t):
        return ""  # crossed the close by a node that shut down, and was not forwarded
    how = {"closed": "closed", "reset": "reset", "broken": "ended within an answer"}[close.how]
    return f"node {node} took it, and its connection was {how} with no whole answer"


# Rule 2


def no_effect_twice(trace: RunTrace) -> Finding:
    """At every tier, a request that may have been executed is resent or refused only as its class allows."""
    finding = Finding()
    for request, arrivals in trace.arrivals.items():
        cls = trace.classes.get(arrivals[0].cls)
        if cls is None or cls.repeat == "safe":
            continue
        finding.checked += 1
        for t, description in _illegal_repeats(trace, cls, arrivals):
            _report(finding, trace, t, request, description)
        if cls.repeat == "keyed" and cls.group == "all":
            continue
        for fact in trace.requester_events.get(request, ()):
            if isinstance(fact, ResponseReceived) and fact.status in REFUSALS:
                executed = [one for one in arrivals if not _was_rejected(trace, one, fact.t)]
                if executed:
                    description = _refused_after_execution(trace, request, fact, executed[0])
                    _report(finding, trace, fact.t, request, description)
    return finding


def _was_rejected(trace: RunTrace, arrival: RequestReceived, t: float) -> bool:
    """Whether it was known at `t` that the server had rejected an arrival without executing it."""
    rejected = trace.rejected_at(arrival)
    return rejected is not None and rejected <= t


def _illegal_repeats(
    trace: RunTrace, cls: Class, arrivals: list[RequestReceived]
) -> Iterator[tuple[float, str]]:
    """Times and descriptions of arrivals that repeat an earlier one against the rules of their class."""
    for n, later in enumerate(arrivals):
        for earlier in arrivals[:n]:
            if _was_rejected(trace, earlier, later.first):
                continue
            problem = _repeat_problem(trace, cls, earlier, later)
            if problem:
                yield later.t, problem
                break


def _repeat_problem(trace: RunTrace, cls: Class, earlier: RequestReceived, later: RequestReceived) -> str:
    """Why an arrival must not follow an earlier one that may have been executed; empty if it may."""
    if cls.repeat == "unsafe":
        return f"sent to {later.server} after {earlier.server} had it, where it may have run"
    if cls.group == "cell" and later.cell != earlier.cell:
        return (
            f"sent to {later.server} of cell {later.cell} after {earlier.server} of cell "
            f"{earlier.cell} had it: its key is not known there"
        )
    after = later.first - earlier.first
    if after > cls.window_s + trace.scenario.rules.slack_s:
        return f"sent again {after:.3f} s after it may have run; its key is kept {cls.window_s:g} s"
    return ""


def _root(request_id: str) -> str:
    """The id of a client request, the common prefix of the ids of its attempts."""
    return request_id.partition(".")[0]


def _refused_after_execution(
    trace: RunTrace, request: RequestKey, answer: ResponseReceived, arrival: RequestReceived
) -> str:
    """Describe a refusal of a request that may have been executed.

    A refusal tells the client that a retry is harmless, which is wrong in this case.
    """
    text = f"refused ({answer.status}) though {arrival.server} had it and it may have run"
    if request.tier == 0 and trace.executions.get(request):
        root = _root(request.id)
        others = [
            other
            for other in trace.executions
            if other.tier == 0 and other != request and _root(other.id) == root
        ]
        if others:
            text += f"; the client, told that this is harmless, asked again, and {others[0].id} ran too"
    return text


def unsafe_duplicates(trace: RunTrace) -> list[str]:
    """Requests of unsafe classes that clients retried under a new id, with more than one attempt executed.

    No node can know that the two ids belong together, so rule 2 is judged by id: if the first attempt was not
    refused, the client took the risk itself. If it was refused although it was executed, rule 2 reports it.

    :returns: the ids of these client requests without the attempt number, in order
    """
    refused = {
        request.id
        for request, events in trace.requester_events.items()
        if request.tier == 0 and any(isinstance(f, ResponseReceived) and f.status in REFUSALS for f in events)
    }
    executed: dict[str, list[str]] = defaultdict(list)
    for request in trace.executions:
        arrivals = trace.arrivals.get(request, ())
        if request.tier == 0 and arrivals and trace.classes[arrivals[0].cls].repeat == "unsafe":
            executed[_root(request.id)].append(request.id)
    return sorted(root for root, ids in executed.items() if len(ids) > 1 and not refused & set(ids))


# Rule 3


def drains_kept(trace: RunTrace) -> Finding:
    """A server gets no new request after the grace period of its drain.

    The grace period counts from when the forwarding node was notified of the drain.
    """
    finding = Finding()
    rules = trace.scenario.rules
    grace = rules.drain_grace_s + rules.slack_s
    for announcements in trace.announcements.values():
        draining = False
        for fact in announcements:
            if fact.status == "active":
                draining = False
            elif not draining:
                draining = True
                # The drain counts as checked only if the record is long enough to show a violation.
                finding.checked += fact.t + grace < trace.end
    for arrivals in trace.arrivals_by_server.values():
        for arrival in arrivals:
            node = trace.node_of(arrival)
            since = None if node is None else trace.out_of_service_since(node, arrival.server, arrival.first)
            if since is not None and arrival.first - since > grace:
                description = (
                    f"node {node} sent it to {arrival.server} {arrival.first - since:.3f} s after it was "
                    f"told that this one drains or is gone ({rules.drain_grace_s:g} s allowed)"
                )
                request = RequestKey(arrival.tier, arrival.id)
                _report(finding, trace, arrival.t, request, description)
    return finding


# Rule 4


def cold_servers_spared(trace: RunTrace) -> Finding:
    """All nodes together send no more than its budget to a server that has just started."""
    finding = Finding()
    for start in trace.server_starts:
        if not start.cold:
            continue
        warm = start.t + start.cold_for
        stops = trace.server_stops.get(start.server, ())
        stop = min((t for t in stops if t > start.t), default=trace.end)
        all_arrivals = trace.arrivals_by_server.get(start.server, [])
        arrivals = arrivals_between(all_arrivals, start.t, min(warm, stop))
        finding.checked += bool(arrivals)
        _check_cold_start(finding, trace, start, arrivals)
    return finding


def _check_cold_start(
    finding: Finding, trace: RunTrace, start: ServerUp, arrivals: list[RequestReceived]
) -> None:
    """Report the first arrival that exceeded a cold server's budget.

    Later arrivals are not judged, as the overload may have made the server fail.
    """
    rules = trace.scenario.rules
    for n, arrival in enumerate(arrivals):
        window = [one for one in arrivals[: n + 1] if one.t > arrival.t - rules.overload_for_s]
        sent = sum(one.work for one in window)
        warmth = (arrival.t - start.t) / start.cold_for
        share = min(1.0, start.cold_from + (1.0 - start.cold_from) * warmth)
        budget = rules.overload_factor * start.capacity * share * rules.overload_for_s
        if sent <= COLD_SLACK * budget:
            continue
        informed = sum(one.work for one in window if _was_informed(trace, start, one))
        if informed < INFORMED_SHARE * sent:
            continue  # overloaded by nodes that could not know of the server's start
        nodes = len({trace.node_of(one) for one in window})
        description = (
            f"{start.server}, {arrival.t - start.t:.2f} s after its start, was sent {sent:.2f} core-seconds "
            f"of work within {rules.overload_for_s:g} s by {nodes} nodes; "
            f"{budget:.2f} is what it may get"
        )
        _report(finding, trace, arrival.t, RequestKey(arrival.tier, arrival.id), description)
        break


def _was_informed(trace: RunTrace, start: ServerUp, arrival: RequestReceived) -> bool:
    """Whether the node that forwarded a request had been notified of this start of the server."""
    node = trace.node_of(arrival)
    return node is not None and any(
        fact.t <= arrival.first and fact.since >= start.t - START_SKEW_S
        for fact in trace.announcements.get((node, start.server), ())
    )


RULES: dict[str, Callable[[RunTrace], Finding]] = {
    "no_request_lost": no_request_lost,
    "no_effect_twice": no_effect_twice,
    "drains_kept": drains_kept,
    "cold_servers_spared": cold_servers_spared,
}
"""All rules, by their keys in `--json`."""
