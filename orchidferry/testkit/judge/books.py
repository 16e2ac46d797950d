"""A record of the mesh, indexed for its judge: who was in touch when, what became of each request. Pure."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field

from orchidferry.testkit.judge.touch import ALL, out_of_touch
from orchidferry.testkit.mesh.configuration import RouteTable, Rule
from orchidferry.testkit.mesh.facts import (
    Answered,
    Arrived,
    Began,
    ControlCall,
    Cut,
    Done,
    Dropped,
    Event,
    Extra,
    Fact,
    Harm,
    Notice,
    Process,
    Put,
    Read,
    Record,
    Sent,
    ServerEnd,
    Turned,
)
from orchidferry.testkit.mesh.table import UNPLANNED

MAX_TOLD = 20  # breaks of one rule that are told; all are counted


@dataclass(slots=True)
class Break:
    """One break of a rule."""

    t: float  # seconds since the traffic began
    request: str
    what: str
    story: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Finding:
    """What is found of one rule."""

    checked: int = 0
    count: int = 0
    broken: list[Break] = field(default_factory=list)

    @property
    def held(self) -> bool:
        return self.count == 0


@dataclass(slots=True)
class Run:
    """All that a server did with one arrival."""

    arrived: Arrived
    began: float | None = None
    turned: Turned | None = None
    done: Done | None = None
    dropped: float | None = None


class Books:
    """A record, indexed."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.bounds = record.bounds
        self.sent: dict[str, Sent] = {}
        self.ends: dict[str, Answered | Cut] = {}
        self.extra: list[Extra] = []
        self.runs: dict[int, Run] = {}
        self.by_id: dict[str, list[Run]] = defaultdict(list)
        self.notices: list[Notice] = []
        self.server_ends: dict[str, float] = {}
        self.puts: list[Put] = []
        self.reads: list[Read] = []
        self.control_calls: list[ControlCall] = []
        self.processes: list[Process] = []
        self.events: list[Event] = []
        self.harms: list[Harm] = []
        self.seals: dict[str, Run] = {}
        self.tries: dict[str, list[Sent]] = defaultdict(list)
        for fact in sorted(record.facts, key=lambda fact: fact.t):
            self._put(fact)
        self.spans = out_of_touch(
            self.processes, self.harms, record.services, self.bounds.contact_ms / 1000.0
        )
        acked = [put for put in self.puts if put.acked is not None]
        self.acked = sorted(acked, key=lambda put: put.revision)
        self._routes = {id(put): RouteTable(put.config) for put in self.puts}

    def rule(self, put: Put, sent: Sent) -> Rule | None:
        """The route that a version has for a request; None: it has none."""
        return self._routes[id(put)].find(sent.host, sent.path)

    def _put(self, fact: Fact) -> None:
        match fact:
            case Sent():
                self.sent[fact.id] = fact
                self.tries[fact.root].append(fact)
            case Answered() | Cut():
                self.ends.setdefault(fact.id, fact)
            case Extra():
                self.extra.append(fact)
            case Arrived():
                run = self.runs[fact.n] = Run(fact)
                self.by_id[fact.id].append(run)
            case Began():
                self.runs[fact.n].began = fact.t
            case Turned():
                self.runs[fact.n].turned = fact
            case Done():
                self.runs[fact.n].done = fact
                self.seals[fact.seal] = self.runs[fact.n]
            case Dropped():
                self.runs[fact.n].dropped = fact.t
            case Notice():
                self.notices.append(fact)
            case ServerEnd():
                self.server_ends[fact.server] = fact.t
            case Put():
                self.puts.append(fact)
            case Read():
                self.reads.append(fact)
            case ControlCall():
                self.control_calls.append(fact)
            case Process():
                self.processes.append(fact)
            case Harm():
                self.harms.append(fact)
            case Event():
                self.events.append(fact)

    def in_touch(self, start: float, end: float, *machines: str) -> bool:
        """Whether these machines were in touch all through."""
        spans = [span for machine in (ALL, *machines) for span in self.spans.get(machine, ())]
        return not any(low < end and high > start for low, high in spans)

    def harmed(self, start: float, end: float, one: str, other: str) -> bool:
        """Whether the link between two machines was harmed within a contact's time of this span."""
        contact = self.bounds.contact_ms / 1000.0
        pair = {one, other}
        return any(
            harm.t <= end and harm.until >= start - contact and any(set(link) == pair for link in harm.links)
            for harm in self.harms
        )

    def troubled(self, start: float, end: float) -> bool:
        """Whether anything unplanned went on."""
        contact = self.bounds.contact_ms / 1000.0
        own = any(fact.what == "exit" and start - contact <= fact.t <= end for fact in self.processes)
        return own or any(
            event.do in UNPLANNED and event.t <= end and event.until >= start - contact
            for event in self.events
        )

    def at(self, t: float) -> float:
        return t - self.record.start

    def ended(self, id: str) -> float:
        """When its client had its end, or the record's."""
        end = self.ends.get(id)
        return self.record.end if end is None else end.t

    def may_be_in_force(self, start: float, end: float) -> list[Put]:
        """Versions that a request of this time may be handled by: the newest that was acknowledged
        `config_apply_ms` before it, and all valid ones after that were sent by its end."""
        apply = self.bounds.config_apply_ms / 1000.0
        old = [put for put in self.acked if put.acked is not None and put.acked + apply < start]
        oldest = old[-1].revision if old else 0
        return [
            put
            for put in self.puts
            if put.valid and put.status != 412 and put.revision >= oldest and put.t <= end
        ]

    def runs_that_began(self) -> Iterator[Run]:
        return (run for run in self.runs.values() if run.began is not None)

    def story(self, id: str) -> list[str]:
        """What the record has of a request, for people."""
        lines: list[tuple[float, str]] = []
        if (sent := self.sent.get(id)) is not None:
            key = f", key {sent.key}" if sent.key else ""
            left = f"{sent.ends - sent.t:.3f} s left"
            what = f"{sent.kind} sent at {sent.machine}: {sent.method} {sent.path}{key}, {left}"
            lines.append((sent.t, what))
        for run in self.by_id.get(id, ()):
            lines.append((run.arrived.t, f"server {run.arrived.server} ({run.arrived.service}) read it"))
            if run.began is not None:
                lines.append((run.began, f"server {run.arrived.server} began"))
            if run.turned is not None:
                lines.append((run.turned.t, f"{run.arrived.server} turned it away: {run.turned.status}"))
            if run.done is not None:
                lines.append((run.done.t, f"server {run.arrived.server} answered {run.done.status}"))
            if run.dropped is not None:
                lines.append((run.dropped, f"its connection to {run.arrived.server} closed"))
        match self.ends.get(id):
            case Answered() as end:
                lines.append((end.t, f"answered {end.status}, seal {end.seal or 'none'}"))
            case Cut() as end:
                lines.append((end.t, f"no answer: {end.how}"))
        return [f"{self.at(t):9.3f} s  {text}" for t, text in sorted(lines)]

    def broke(self, finding: Finding, t: float, id: str, what: str, story: Sequence[str] = ()) -> None:
        """Note a break; its story is that of the request `id`, if there is one."""
        finding.count += 1
        if len(finding.broken) < MAX_TOLD:
            finding.broken.append(Break(self.at(t), id, what, self.story(id) if id else list(story)))
