"""The record of a run, indexed by request, server and node for the rules."""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from orchidferry.testkit.record import (
    ConnectionClosed,
    ExecutionEnded,
    ExecutionStarted,
    ExtraBytes,
    Fact,
    Incident,
    NodeDown,
    NodePaused,
    NodeUp,
    RequestReceived,
    RequestScheduled,
    RequestSent,
    RequestTimedOut,
    ResponseReceived,
    ServerDown,
    ServerUp,
    StatusAnnounced,
)
from orchidferry.testkit.scenario import Class, Scenario

RequesterEvent = RequestSent | ResponseReceived | ConnectionClosed | RequestTimedOut | ExtraBytes
"""The events of a request that its sender records: a client, or a server that calls the next tier."""

MAX_HISTORY_LINES = 24

KILLED = ("killed", "end")
"""Values of `NodeDown.why` for a node that the test kit killed: open requests are lost, and callers retry."""


class RequestKey(NamedTuple):
    """Identifies a request: ids are unique within a tier."""

    tier: int
    id: str


@dataclass
class RunTrace:
    """The facts of a run, grouped by their subject. All times are in seconds on the record's clock."""

    scenario: Scenario
    start: float  # when the load began
    end: float  # when the record ends
    complete: bool  # whether all clients finished
    classes: dict[str, Class]  # request classes, by name
    requester_events: dict[RequestKey, list[RequesterEvent]] = field(
        default_factory=lambda: defaultdict(list)
    )
    arrivals: dict[RequestKey, list[RequestReceived]] = field(default_factory=lambda: defaultdict(list))
    executions: dict[RequestKey, list[ExecutionStarted]] = field(default_factory=lambda: defaultdict(list))
    completions: dict[RequestKey, list[ExecutionEnded]] = field(default_factory=lambda: defaultdict(list))
    scheduled: list[RequestScheduled] = field(default_factory=list)
    announcements: dict[tuple[str, str], list[StatusAnnounced]] = field(
        default_factory=lambda: defaultdict(list)
    )  # by node and server
    server_starts: list[ServerUp] = field(default_factory=list)
    server_stops: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    node_stops: dict[str, list[NodeDown]] = field(default_factory=lambda: defaultdict(list))
    node_starts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    node_pauses: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    incidents: list[Incident] = field(default_factory=list)
    arrivals_by_server: dict[str, list[RequestReceived]] = field(default_factory=lambda: defaultdict(list))

    def node_of(self, arrival: RequestReceived) -> str | None:
        """The node that forwarded a request to a server; None if the record does not show it."""
        for fact in self.requester_events.get(RequestKey(arrival.tier, arrival.id), ()):
            if isinstance(fact, RequestSent):
                return fact.node
        return None

    def rejected_at(self, arrival: RequestReceived) -> float | None:
        """When a server rejected a request, and the node could know; None if it may have been executed."""
        for fact in self.completions.get(RequestKey(arrival.tier, arrival.id), ()):
            if fact.server == arrival.server and fact.t >= arrival.t:
                return fact.t if fact.how == "rejected" else None
        return None

    def out_of_service_since(self, node: str, server: str, t: float) -> float | None:
        """Since when a node has known, at `t`, that a server drains or is gone; None if it is in service."""
        since: float | None = None
        for fact in self.announcements.get((node, server), ()):
            if fact.t > t:
                break
            if fact.status == "active":
                since = None
            elif since is None:
                since = fact.t
        return since

    def node_stop_between(self, node: str, after: float, before: float) -> NodeDown | None:
        """The first end of a node's process from `after` to `before`, if there was one."""
        for fact in self.node_stops.get(node, ()):
            if after <= fact.t <= before and fact.why != "term":
                return fact
        return None

    def node_was_dead(self, node: str, t: float) -> bool:
        """Whether a node had been killed before `t` and was not up again by then.

        Over QUIC a client cannot notice this: a datagram to a process that has ended is not refused.
        """
        ends = [fact.t for fact in self.node_stops.get(node, ()) if fact.why in KILLED and fact.t <= t]
        return bool(ends) and not any(ends[-1] <= up <= t for up in self.node_starts.get(node, ()))

    def was_paused(self, node: str, after: float, before: float) -> bool:
        """Whether a node's process was paused (SIGSTOP) at any time from `after` to `before`."""
        return any(start <= before and end >= after for start, end in self.node_pauses.get(node, ()))

    def was_terminated(self, node: str, before: float) -> bool:
        """Whether a node had been sent SIGTERM by the time `before`."""
        return any(fact.why == "term" and fact.t <= before for fact in self.node_stops.get(node, ()))

    def requester_died(self, node: str, after: float) -> bool:
        """Whether the server beside a node, which sends the node's requests, went down after `after`."""
        server = node.partition("/")[0]
        return any(t >= after for t in self.server_stops.get(server, ()))

    def elapsed(self, t: float) -> float:
        """Seconds from the start of the load to `t`."""
        return t - self.start

    def history(self, request: RequestKey) -> list[str]:
        """All recorded events of a request, in order of time, one line of text each."""
        facts: list[Fact] = [
            *self.requester_events.get(request, ()),
            *self.arrivals.get(request, ()),
            *self.executions.get(request, ()),
            *self.completions.get(request, ()),
        ]
        facts.sort(key=lambda fact: fact.t)
        lines = [f"{self.elapsed(fact.t):9.3f} s  {_describe(fact, self)}" for fact in facts]
        if len(lines) > MAX_HISTORY_LINES:
            lines = [*lines[:MAX_HISTORY_LINES], f"and {len(lines) - MAX_HISTORY_LINES} lines more"]
        return lines


def _describe(fact: Fact, trace: RunTrace) -> str:
    match fact:
        case RequestSent():
            left = fact.ends - fact.t
            return f"{fact.id} ({fact.cls}) asked of node {fact.node}, {left:.3f} s left"
        case ResponseReceived():
            remark = "" if fact.sound else ", with a body no server made"
            return f"node {fact.node} answered {fact.status}{remark}"
        case ConnectionClosed():
            remark = ", reused" if fact.reused else ""
            return f"the connection to node {fact.node} ended: {fact.how}{remark}"
        case RequestTimedOut():
            return "the client left of itself" if fact.left else f"time up, no answer from node {fact.node}"
        case ExtraBytes():
            return f"node {fact.node} sent bytes that nobody asked for"
        case RequestReceived():
            first = trace.elapsed(fact.first)
            return f"server {fact.server} (cell {fact.cell}) had read it, first byte at {first:.3f}"
        case ExecutionStarted():
            return f"server {fact.server} began to work on it"
        case ExecutionEnded():
            return f"server {fact.server}: {fact.how}"
    return fact.tag


def build_trace(scenario: Scenario, facts: list[Fact], start: float, end: float, complete: bool) -> RunTrace:
    """Index the facts of a record.

    :param facts: in order of time
    :param start: when the load began
    :param end: when the record ends
    :param complete: whether all clients finished
    """
    trace = RunTrace(scenario, start, end, complete, {cls.name: cls for cls in scenario.classes})
    for fact in facts:
        if isinstance(fact, NodePaused):
            trace.node_pauses[fact.node].append((fact.t, fact.until))
    for fact in facts:
        _add_fact(trace, fact)
    return trace


def _add_fact(trace: RunTrace, fact: Fact) -> None:
    match fact:
        case RequestSent() | ResponseReceived() | ConnectionClosed() | RequestTimedOut() | ExtraBytes():
            trace.requester_events[RequestKey(fact.tier, fact.id)].append(fact)
        case RequestReceived():
            trace.arrivals[RequestKey(fact.tier, fact.id)].append(fact)
            trace.arrivals_by_server[fact.server].append(fact)
        case ExecutionStarted():
            trace.executions[RequestKey(fact.tier, fact.id)].append(fact)
        case ExecutionEnded():
            trace.completions[RequestKey(fact.tier, fact.id)].append(fact)
        case RequestScheduled():
            trace.scheduled.append(fact)
        case StatusAnnounced():
            # A paused node reads an announcement only when it is resumed.
            pauses = trace.node_pauses.get(fact.node, ())
            received = max((end for start, end in pauses if start <= fact.t <= end), default=fact.t)
            trace.announcements[fact.node, fact.server].append(replace(fact, t=received))
        case ServerUp():
            trace.server_starts.append(fact)
        case ServerDown():
            trace.server_stops[fact.server].append(fact.t)
        case NodeUp():
            trace.node_starts[fact.node].append(fact.t)
        case NodeDown():
            trace.node_stops[fact.node].append(fact)
        case Incident():
            trace.incidents.append(fact)


def arrivals_between(arrivals: list[RequestReceived], low: float, high: float) -> list[RequestReceived]:
    """The arrivals from `low` to `high`, both included.

    :param arrivals: in order of time
    """
    left = bisect.bisect_left(arrivals, low, key=lambda fact: fact.t)
    right = bisect.bisect_right(arrivals, high, key=lambda fact: fact.t)
    return arrivals[left:right]
