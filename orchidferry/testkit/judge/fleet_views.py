"""Each node's view of its fleet over a run, and the nodes that it could receive information about.

Views come from the nodes' journals; the states of processes and links are those that the test kit observed.
Both are sampled every `STEP_S` seconds.
"""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, field
from typing import NamedTuple

from orchidferry.testkit.judge.trace import RunTrace
from orchidferry.testkit.world.links import LinkFault, passes, reachable

STEP_S = 0.1
GONE_STATUSES = ("lost", "left", "forgotten")


@dataclass(slots=True)
class JournalEntry:
    """One line of a node's journal: the membership status of a node, as the writing node sees it."""

    t: float  # seconds on the record's clock
    incarnation: str  # incarnation of the process that wrote the line
    subject: str  # name of the node whose status the line gives
    status: str
    subject_incarnation: str
    about_itself: bool  # the line is about the node that wrote it


class MemberState(NamedTuple):
    """The state in which a node believes another one to be."""

    status: str
    incarnation: str

    @property
    def gone(self) -> bool:
        """Whether the other node is believed to have died or left."""
        return self.status in GONE_STATUSES


NodeView = dict[str, MemberState]
"""A node's view: the believed state of each other node that it knows, by name."""


def read_journals(journals: dict[str, list[str]], zero: float) -> dict[str, list[JournalEntry]]:
    """Parse the nodes' journals, skipping an incomplete last line, which a killed process may leave.

    :param journals: JSON lines, by node
    :param zero: the record's zero on the journals' clock, in seconds
    """
    return {node: _read_journal(lines, zero) for node, lines in journals.items()}


def _read_journal(lines: list[str], zero: float) -> list[JournalEntry]:
    entries = []
    incarnation = ""
    for line in lines:
        try:
            obj = json.loads(line)
        except ValueError:
            continue
        about_itself = obj["kind"] == "self"
        incarnation = obj["life"] if about_itself else incarnation
        t = obj["t_ms"] / 1000.0 - zero
        entries.append(JournalEntry(t, incarnation, obj["name"], obj["status"], obj["life"], about_itself))
    return entries


@dataclass(slots=True)
class FleetViews:
    """The views of all nodes at each sampling time."""

    times: list[float]  # sampling times, in seconds since the load began
    views: dict[str, list[NodeView]]  # by observer, one per sampling time
    running: list[list[str]] = field(default_factory=list)  # names of running nodes, one list per time
    reachable: list[dict[str, set[str]]] = field(
        default_factory=list
    )  # per sampling time: for each running node, those it is connected to, directly or through others

    def can_hear_of(self, sample: int, observer: str, subject: str) -> bool:
        """Whether both nodes ran and the subject's messages could reach the observer, if through others.

        :param sample: index of the sampling time
        """
        return observer in self.reachable[sample] and subject in self.reachable[sample][observer]


def sample_views(
    trace: RunTrace, journals: dict[str, list[JournalEntry]], links: tuple[LinkFault, ...], end: float
) -> FleetViews:
    """Sample each node's view of the others over the run.

    :param links: the faults of the links between nodes
    :param end: time of the end of sampling, in seconds on the record's clock
    """
    nodes = sorted(journals)
    count = max(1, int((end - trace.start) / STEP_S))
    times = [n * STEP_S for n in range(count)]
    views = FleetViews(times, {node: _views_of(trace, journals[node], times) for node in nodes})
    spans = {node: _running_spans(trace, node) for node in nodes}
    cuts = [fault for fault in links if fault.cut]
    cache: dict[tuple[frozenset[str], tuple[bool, ...]], dict[str, set[str]]] = {}
    for t in times:
        now = trace.start + t
        running = [node for node in nodes if any(start <= now < stop for start, stop in spans[node])]
        key = frozenset(running), tuple(fault.is_active(t) for fault in cuts)
        if key not in cache:
            cache[key] = _reachability(running, links, t)
        views.running.append(running)
        views.reachable.append(cache[key])
    return views


def _views_of(trace: RunTrace, entries: list[JournalEntry], times: list[float]) -> list[NodeView]:
    """One node's view at each sampling time."""
    found: list[NodeView] = []
    view: NodeView = {}
    incarnation = ""
    read = 0
    for t in times:
        while read < len(entries) and entries[read].t <= trace.start + t:
            entry = entries[read]
            read += 1
            if entry.incarnation != incarnation:  # the node was restarted, so its view is empty again
                view = {}
                incarnation = entry.incarnation
            if not entry.about_itself:
                view = view | {entry.subject: MemberState(entry.status, entry.subject_incarnation)}
        found.append(view)
    return found


def _running_spans(trace: RunTrace, node: str) -> list[tuple[float, float]]:
    """The spans in which a node was ready and was neither shutting down, ended nor paused."""
    ends = sorted(stop.t for stop in trace.node_stops.get(node, ()))
    spans = []
    for start in trace.node_starts.get(node, ()):
        end = min((t for t in ends if t > start), default=math.inf)
        for paused, resumed in sorted(trace.node_pauses.get(node, ())):
            if start <= paused < end:
                spans.append((start, paused))
                start = resumed
        spans.append((start, end))
    return spans


def _reachability(running: list[str], links: tuple[LinkFault, ...], t: float) -> dict[str, set[str]]:
    """For each running node, the nodes it is connected to at `t`, directly or through others."""

    def connected(one: str, other: str) -> bool:
        return passes(links, one, other, t)

    return {node: reachable(running, node, connected) for node in running}


def views_agree(views: FleetViews, sample: int) -> bool:
    """Whether all running nodes know of each other and believe the same incarnations to be present.

    :param sample: index of the sampling time
    """
    running = views.running[sample]
    present = []
    for observer in running:
        view = views.views[observer][sample]
        present.append({name: state.incarnation for name, state in view.items() if not state.gone})
    for observer, mine in zip(running, present, strict=True):
        if any(other != observer and other not in mine for other in running):
            return False
        for theirs in present:
            if any(
                mine.get(name, incarnation) != incarnation or (name not in mine and name != observer)
                for name, incarnation in theirs.items()
            ):
                return False
    return True


@dataclass(frozen=True, slots=True)
class MemberCounts:
    """Sizes of the fleet over time, for plotting."""

    times: list[float]  # sampling times, in seconds since the load began
    running: list[int]  # number of running nodes
    believed: dict[str, list[int | None]]  # fleet size by observer, itself included; None while it is down


def count_members(views: FleetViews) -> MemberCounts:
    """Count the running nodes, and the nodes that each running node believed to be present."""
    believed: dict[str, list[int | None]] = {}
    for observer, samples in views.views.items():
        believed[observer] = [
            1 + sum(not state.gone for state in view.values()) if observer in views.running[n] else None
            for n, view in enumerate(samples)
        ]
    return MemberCounts(views.times, [len(running) for running in views.running], believed)
