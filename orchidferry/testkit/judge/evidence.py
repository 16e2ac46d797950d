"""A run's record, indexed for the judge. Pure: facts in, books out."""

from __future__ import annotations

import bisect
from collections import defaultdict
from dataclasses import dataclass, field, replace

from orchidferry.testkit.record import (
    Answered,
    Asked,
    Began,
    Cut,
    Down,
    Ended,
    Extra,
    Fact,
    Got,
    Incident,
    NodeDown,
    NodePaused,
    NodeUp,
    Told,
    Unanswered,
    Up,
    Wanted,
)
from orchidferry.testkit.scenario import Class, Scenario

Request = tuple[int, str]  # tier and id
Seen = Asked | Answered | Cut | Unanswered | Extra
MAX_STORY = 24  # lines of what happened to one request

# Ends of a node's process that are not its own doing: what it held is for its caller to ask again.
KILLED = ("killed", "end")


@dataclass
class Evidence:
    """What the facts say of each request, server and node."""

    scenario: Scenario
    start: float  # of the load
    end: float  # of the record
    complete: bool  # all clients came to their end
    classes: dict[str, Class]
    seen: dict[Request, list[Seen]] = field(default_factory=lambda: defaultdict(list))  # by the asker
    got: dict[Request, list[Got]] = field(default_factory=lambda: defaultdict(list))  # by servers
    began: dict[Request, list[Began]] = field(default_factory=lambda: defaultdict(list))
    ended: dict[Request, list[Ended]] = field(default_factory=lambda: defaultdict(list))
    wanted: list[Wanted] = field(default_factory=list)
    told: dict[tuple[str, str], list[Told]] = field(default_factory=lambda: defaultdict(list))
    ups: list[Up] = field(default_factory=list)
    downs: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    node_downs: dict[str, list[NodeDown]] = field(default_factory=lambda: defaultdict(list))
    node_ups: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    paused: dict[str, list[tuple[float, float]]] = field(default_factory=lambda: defaultdict(list))
    incidents: list[Incident] = field(default_factory=list)
    reached: dict[str, list[Got]] = field(default_factory=lambda: defaultdict(list))  # by server

    def node_of(self, got: Got) -> str | None:
        """Which node an attempt came from: the one that its id was asked of."""
        for fact in self.seen.get((got.tier, got.id), ()):
            if isinstance(fact, Asked):
                return fact.node
        return None

    def refused_at(self, got: Got) -> float | None:
        """When its server turned an attempt away, in the hearing of its node; None if it may have run."""
        for fact in self.ended.get((got.tier, got.id), ()):
            if fact.server == got.server and fact.t >= got.t:
                return fact.t if fact.how == "rejected" else None
        return None

    def out_of_service(self, node: str, server: str, t: float) -> float | None:
        """Since when a node knows, at `t`, that a server drains or is gone; None if it is in service."""
        since: float | None = None
        for fact in self.told.get((node, server), ()):
            if fact.t > t:
                break
            if fact.status == "active":
                since = None
            elif since is None:
                since = fact.t
        return since

    def ended_node(self, node: str, after: float, before: float) -> NodeDown | None:
        """The end of a node's process between two times, if there was one."""
        for fact in self.node_downs.get(node, ()):
            if after <= fact.t <= before and fact.why != "term":
                return fact
        return None

    def node_was_dead(self, node: str, t: float) -> bool:
        """Whether a node had been killed by then, and was not up again.

        A datagram to a process that is no more is not refused: its sender knows no better, and asks.
        """
        ends = [fact.t for fact in self.node_downs.get(node, ()) if fact.why in KILLED and fact.t <= t]
        return bool(ends) and not any(ends[-1] <= up <= t for up in self.node_ups.get(node, ()))

    def was_paused(self, node: str, after: float, before: float) -> bool:
        """Whether a node stood still, stopped from outside, at any time between two."""
        return any(start <= before and end >= after for start, end in self.paused.get(node, ()))

    def told_to_end(self, node: str, before: float) -> bool:
        """Whether a node had been told to end (SIGTERM) before a time."""
        return any(fact.why == "term" and fact.t <= before for fact in self.node_downs.get(node, ()))

    def asker_died(self, node: str, after: float) -> bool:
        """Whether the server that the node belongs to went down: with it the asker of its calls."""
        server = node.partition("/")[0]
        return any(t >= after for t in self.downs.get(server, ()))

    def at(self, t: float) -> float:
        """Seconds since the load began."""
        return t - self.start

    def story(self, request: Request) -> list[str]:
        """All that the record has of a request, in order, as lines for people."""
        facts: list[Fact] = [
            *self.seen.get(request, ()),
            *self.got.get(request, ()),
            *self.began.get(request, ()),
            *self.ended.get(request, ()),
        ]
        facts.sort(key=lambda fact: fact.t)
        lines = [f"{self.at(fact.t):9.3f} s  {_told(fact, self)}" for fact in facts]
        if len(lines) > MAX_STORY:
            lines = [*lines[:MAX_STORY], f"and {len(lines) - MAX_STORY} lines more"]
        return lines


def _told(fact: Fact, evidence: Evidence) -> str:
    match fact:
        case Asked():
            left = fact.ends - fact.t
            return f"{fact.id} ({fact.cls}) asked of node {fact.node}, {left:.3f} s left"
        case Answered():
            return f"node {fact.node} answered {fact.status}" + (
                "" if fact.sound else ", with a body no server made"
            )
        case Cut():
            return f"the connection to node {fact.node} ended: {fact.how}" + (
                ", reused" if fact.reused else ""
            )
        case Unanswered():
            return "the client left of itself" if fact.left else f"time up, no answer from node {fact.node}"
        case Extra():
            return f"node {fact.node} sent bytes that nobody asked for"
        case Got():
            first = evidence.at(fact.first)
            return f"server {fact.server} (cell {fact.cell}) had read it, first byte at {first:.3f}"
        case Began():
            return f"server {fact.server} began to work on it"
        case Ended():
            return f"server {fact.server}: {fact.how}"
    return fact.tag


def index(scenario: Scenario, facts: list[Fact], start: float, end: float, complete: bool) -> Evidence:
    """Sort a record's facts into books; they must be in order of time."""
    books = Evidence(scenario, start, end, complete, {cls.name: cls for cls in scenario.classes})
    for fact in facts:
        if isinstance(fact, NodePaused):
            books.paused[fact.node].append((fact.t, fact.until))
    for fact in facts:
        match fact:
            case Asked() | Answered() | Cut() | Unanswered() | Extra():
                books.seen[fact.tier, fact.id].append(fact)
            case Got():
                books.got[fact.tier, fact.id].append(fact)
                books.reached[fact.server].append(fact)
            case Began():
                books.began[fact.tier, fact.id].append(fact)
            case Ended():
                books.ended[fact.tier, fact.id].append(fact)
            case Wanted():
                books.wanted.append(fact)
            case Told():
                # What is written to a node that stands still it can hear when it goes on, not before.
                pauses = books.paused.get(fact.node, ())
                heard = max((end for start, end in pauses if start <= fact.t <= end), default=fact.t)
                books.told[fact.node, fact.server].append(replace(fact, t=heard))
            case Up():
                books.ups.append(fact)
            case Down():
                books.downs[fact.server].append(fact.t)
            case NodeUp():
                books.node_ups[fact.node].append(fact.t)
            case NodeDown():
                books.node_downs[fact.node].append(fact)
            case Incident():
                books.incidents.append(fact)
    return books


def between(facts: list[Got], low: float, high: float) -> list[Got]:
    """Those of a list in order of time that came from low to high."""
    left = bisect.bisect_left(facts, low, key=lambda fact: fact.t)
    right = bisect.bisect_right(facts, high, key=lambda fact: fact.t)
    return facts[left:right]
