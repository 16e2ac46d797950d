"""What each node of a fleet believed of the others over a run, and whom it could hear of.

Beliefs are taken from the nodes' journals, process and link states from what the kit saw. Both are sampled
every `STEP_S`.
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
    """A line of a node's journal."""

    t: float  # seconds on the record's clock
    incarnation: str  # of the process that wrote it
    subject: str  # the node that it is about
    status: str
    subject_incarnation: str
    about_itself: bool


class MemberState(NamedTuple):
    """What a node believes of another one."""

    status: str
    incarnation: str

    @property
    def gone(self) -> bool:
        """Whether the other is taken for not there."""
        return self.status in GONE_STATUSES


NodeView = dict[str, MemberState]
"""What a node believes of each other one that it has heard of."""


def read_journals(journals: dict[str, list[str]], zero: float) -> dict[str, list[JournalEntry]]:
    """Parse the nodes' journals; a last line that is cut off is what a killed process leaves.

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
    """The views of all nodes, sampled."""

    times: list[float]  # seconds since the load began
    views: dict[str, list[NodeView]]  # by observer, at each time
    running: list[list[str]] = field(default_factory=list)  # the nodes that ran, at each time
    reachable: list[dict[str, set[str]]] = field(
        default_factory=list
    )  # at each time, whom each running node can hear of

    def can_hear_of(self, sample: int, observer: str, subject: str) -> bool:
        """Whether both ran, and some path led from one to the other."""
        return observer in self.reachable[sample] and subject in self.reachable[sample][observer]


def sample_views(
    trace: RunTrace, journals: dict[str, list[JournalEntry]], links: tuple[LinkFault, ...], end: float
) -> FleetViews:
    """Sample what each node believed of each other over the run.

    :param links: the faults of the links between nodes
    :param end: when to stop, on the record's clock
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
    """One node's view at each time."""
    found: list[NodeView] = []
    view: NodeView = {}
    incarnation = ""
    read = 0
    for t in times:
        while read < len(entries) and entries[read].t <= trace.start + t:
            entry = entries[read]
            read += 1
            if entry.incarnation != incarnation:  # another process, which knows nothing yet
                view = {}
                incarnation = entry.incarnation
            if not entry.about_itself:
                view = view | {entry.subject: MemberState(entry.status, entry.subject_incarnation)}
        found.append(view)
    return found


def _running_spans(trace: RunTrace, node: str) -> list[tuple[float, float]]:
    """From when to when a node was ready, and had not ended, been told to end or been stopped."""
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
    """Whom each running node can hear of, directly or through others."""

    def connected(one: str, other: str) -> bool:
        return passes(links, one, other, t)

    return {node: reachable(running, node, connected) for node in running}


def views_agree(views: FleetViews, sample: int) -> bool:
    """Whether all running nodes know of each other, and believe the same incarnations to be there."""
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
    """Sizes of the fleet over time, as they are plotted."""

    times: list[float]
    running: list[int]
    believed: dict[str, list[int | None]]  # by observer, itself counted; None while it does not run


def count_members(views: FleetViews) -> MemberCounts:
    """How many nodes ran, and how many each running one believed to be there."""
    believed: dict[str, list[int | None]] = {}
    for observer, samples in views.views.items():
        believed[observer] = [
            1 + sum(not state.gone for state in view.values()) if observer in views.running[n] else None
            for n, view in enumerate(samples)
        ]
    return MemberCounts(views.times, [len(running) for running in views.running], believed)
