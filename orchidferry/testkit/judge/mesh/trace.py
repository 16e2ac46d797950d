"""The record of a run of the mesh, indexed for the rules."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from orchidferry.testkit.judge.findings import Finding
from orchidferry.testkit.judge.mesh.connectivity import (
    ALL_MACHINES,
    FaultHistory,
    disconnected_spans,
)
from orchidferry.testkit.mesh.configuration import Route, RouteTable
from orchidferry.testkit.mesh.facts import (
    Answered,
    Arrived,
    Began,
    ControlCall,
    Done,
    Dropped,
    Event,
    Extra,
    Fact,
    LinkFault,
    NoAnswer,
    Notice,
    Process,
    Put,
    Read,
    Record,
    Rejected,
    Sent,
    ServerEnd,
)
from orchidferry.testkit.mesh.schedule import UNPLANNED


@dataclass(slots=True)
class ServerRun:
    """One arrival of a request at a server, with everything that the server did with it."""

    arrived: Arrived
    began: float | None = None  # when execution began; None if it did not
    rejected: Rejected | None = None
    done: Done | None = None
    dropped: float | None = None  # when the connection closed during execution; None if it did not

    @property
    def executed(self) -> bool:
        """Whether the server began to execute the request."""
        return self.began is not None


class MeshTrace:
    """The facts of a run, grouped by their subject. All times are in seconds on the record's clock."""

    def __init__(self, record: Record) -> None:
        """Index a record.

        :param record: its facts may be in any order
        """
        self.record = record
        self.bounds = record.bounds
        self.requests: dict[str, Sent] = {}  # by id; each attempt has its own id
        self.attempts: dict[str, list[Sent]] = defaultdict(list)  # by the id of the first attempt
        self.ends: dict[str, Answered | NoAnswer] = {}  # how requests ended, by id
        self.extras: list[Extra] = []
        self.runs: dict[int, ServerRun] = {}  # by the number of the arrival
        self.runs_by_request: dict[str, list[ServerRun]] = defaultdict(list)
        self.runs_by_seal: dict[str, ServerRun] = {}
        self.notices: list[Notice] = []
        self.server_ends: dict[str, float] = {}
        self.puts: list[Put] = []
        self.reads: list[Read] = []
        self.control_calls: list[ControlCall] = []
        self.processes: list[Process] = []
        self.events: list[Event] = []
        self.link_faults: list[LinkFault] = []
        for fact in sorted(record.facts, key=lambda fact: fact.t):
            self._add(fact)
        self.fault_history = FaultHistory(self.processes, self.link_faults, frozenset(record.services))
        self.contact_s = self.bounds.contact_ms / 1000.0
        self.disconnected = disconnected_spans(self.fault_history, self.contact_s)
        acknowledged = [put for put in self.puts if put.acked is not None]
        self.acknowledged = sorted(acknowledged, key=lambda put: put.revision)
        self._routes = {id(put): RouteTable(put.config) for put in self.puts}

    def _add(self, fact: Fact) -> None:
        match fact:
            case Sent():
                self.requests[fact.id] = fact
                self.attempts[fact.root].append(fact)
            case Answered() | NoAnswer():
                self.ends.setdefault(fact.id, fact)
            case Extra():
                self.extras.append(fact)
            case Arrived():
                run = self.runs[fact.n] = ServerRun(fact)
                self.runs_by_request[fact.id].append(run)
            case Began():
                self.runs[fact.n].began = fact.t
            case Rejected():
                self.runs[fact.n].rejected = fact
            case Done():
                self.runs[fact.n].done = fact
                self.runs_by_seal[fact.seal] = self.runs[fact.n]
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
            case LinkFault():
                self.link_faults.append(fact)
            case Event():
                self.events.append(fact)

    def elapsed(self, t: float) -> float:
        """Seconds from the start of the traffic to `t`."""
        return t - self.record.start

    def end_time(self, request_id: str) -> float:
        """When the client saw the end of a request; the end of the record if it never did."""
        end = self.ends.get(request_id)
        return self.record.end if end is None else end.t

    def executed_runs(self) -> Iterator[ServerRun]:
        """All arrivals that servers began to execute."""
        return (run for run in self.runs.values() if run.executed)

    def executed_runs_of(self, request_id: str) -> list[ServerRun]:
        """The arrivals of a request that servers began to execute."""
        return [run for run in self.runs_by_request.get(request_id, ()) if run.executed]

    def route_of(self, put: Put, request: Sent) -> Route | None:
        """The route that a configuration version has for a request; None if it has none."""
        return self._routes[id(put)].find(request.host, request.path)

    def versions_in_force(self, start: float, end: float) -> list[Put]:
        """The versions by which a request that lasts from `start` to `end` may be handled.

        These are the newest version that was acknowledged more than `config_apply_ms` before the start, and
        all valid later versions that were sent by the end.
        """
        apply_s = self.bounds.config_apply_ms / 1000.0
        applied = [put for put in self.acknowledged if put.acked is not None and put.acked + apply_s < start]
        oldest = applied[-1].revision if applied else 0
        return [
            put
            for put in self.puts
            if put.valid and put.status != 412 and put.revision >= oldest and put.t <= end
        ]

    def were_connected(self, start: float, end: float, *machines: str) -> bool:
        """Whether these machines and the controllers were connected throughout the span."""
        spans = [span for machine in (ALL_MACHINES, *machines) for span in self.disconnected.get(machine, ())]
        return not any(low < end and high > start for low, high in spans)

    def link_was_faulty(self, start: float, end: float, one: str, other: str) -> bool:
        """Whether the link between two machines had a fault in a span or within `contact_s` before it."""
        pair = {one, other}
        return any(
            fault.t <= end
            and fault.until >= start - self.contact_s
            and any(set(link) == pair for link in fault.links)
            for fault in self.link_faults
        )

    def had_unplanned_event(self, start: float, end: float) -> bool:
        """Whether any fault or unexpected end of a process fell in a span or within `contact_s` before it."""
        return any(
            fact.what == "exit" and start - self.contact_s <= fact.t <= end for fact in self.processes
        ) or any(
            event.do in UNPLANNED and event.t <= end and event.until >= start - self.contact_s
            for event in self.events
        )

    def history(self, request_id: str) -> list[str]:
        """All recorded events of a request, in order of time, one line of text each."""
        lines: list[tuple[float, str]] = []
        if (sent := self.requests.get(request_id)) is not None:
            key = f", key {sent.key}" if sent.key else ""
            left = f"{sent.ends - sent.t:.3f} s left"
            description = f"{sent.kind} sent at {sent.machine}: {sent.method} {sent.path}{key}, {left}"
            lines.append((sent.t, description))
        for run in self.runs_by_request.get(request_id, ()):
            lines += _run_history(run)
        match self.ends.get(request_id):
            case Answered() as end:
                lines.append((end.t, f"answered {end.status}, seal {end.seal or 'none'}"))
            case NoAnswer() as end:
                lines.append((end.t, f"no answer: {end.how}"))
        return [f"{self.elapsed(t):9.3f} s  {text}" for t, text in sorted(lines)]

    def report(
        self, finding: Finding, t: float, request_id: str, description: str, history: Sequence[str] = ()
    ) -> None:
        """Add a violation to the finding of a rule.

        :param t: when it happened, on the record's clock
        :param request_id: the request that violated the rule, whose events become the history; empty if the
            violation does not concern a single request
        :param description: the problem, in one line
        :param history: the lines of the history if `request_id` is empty
        """

        def lines() -> list[str]:
            return self.history(request_id) if request_id else list(history)

        finding.add(self.elapsed(t), request_id, description, lines)


def _run_history(run: ServerRun) -> list[tuple[float, str]]:
    """The steps of a server's work on a request: time and description of each."""
    server = run.arrived.server
    lines = [(run.arrived.t, f"server {server} ({run.arrived.service}) read it")]
    if run.began is not None:
        lines.append((run.began, f"server {server} began"))
    if run.rejected is not None:
        lines.append((run.rejected.t, f"{server} turned it away: {run.rejected.status}"))
    if run.done is not None:
        lines.append((run.done.t, f"server {server} answered {run.done.status}"))
    if run.dropped is not None:
        lines.append((run.dropped, f"its connection to {server} closed"))
    return lines
