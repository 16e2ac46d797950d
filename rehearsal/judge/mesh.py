"""The mesh judged: its operators' rules, from what the kit saw on its own sockets and of its own processes.

Pure; no word of a node counts here. Each rule gives how often it could have been broken (`checked`) and every
break. Rules with a time bound bind machines in touch alone: those that nothing has happened to for
`contact_ms`, nor to the core.
"""

from __future__ import annotations

import bisect
import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

from rehearsal.judge.touch import ALL, out_of_touch
from rehearsal.mesh.configuration import Config, lookup, routes
from rehearsal.mesh.day import PROBE
from rehearsal.mesh.facts import (
    Answered,
    Arrived,
    Began,
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
from rehearsal.mesh.table import CLOSING, UNPLANNED

FORMAT = 1
REFUSALS = (408, 421, 429, 503)
BROKEN_OFF = ("closed", "reset", "broken")
MOST_TOLD = 20  # breaks of one rule that are told; all are counted
MOST_STALL_S = 0.25  # that the kit may stand still before its run says nothing
MOST_STARVED = 0.25  # of two seconds, that a process may wait for a core before it does so too
MOST_OWN = 5  # refusals of the mesh's own that are borne, and one in 500
ROUTE_MS = 3.0  # more for an acknowledgement, for each route
LEAST_SERVED = 0.25  # of what is asked, once what was lost has had its time


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
        self.record, self.bounds = record, record.bounds
        self.sent: dict[str, Sent] = {}
        self.ends: dict[str, Answered | Cut] = {}
        self.extra: list[Extra] = []
        self.runs: dict[int, Run] = {}
        self.by_id: dict[str, list[Run]] = defaultdict(list)
        self.notices: list[Notice] = []
        self.server_ends: dict[str, float] = {}
        self.puts: list[Put] = []
        self.reads: list[Read] = []
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
        contact, pair = self.bounds.contact_ms / 1000.0, {one, other}
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
            put for put in self.puts
            if put.valid and put.status != 412 and put.revision >= oldest and put.t <= end
        ]  # fmt: skip

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

    def broke(self, finding: Finding, t: float, id: str, what: str) -> None:
        finding.count += 1
        if len(finding.broken) < MOST_TOLD:
            finding.broken.append(Break(self.at(t), id, what, self.story(id) if id else []))


# Requests and answers


def mixed(books: Books) -> Finding:
    """A success is a server's whole answer to that very request; nothing comes that nobody asked for."""
    finding = Finding()
    firsts = first_runs(books)
    for id, end in books.ends.items():
        if not isinstance(end, Answered):
            continue
        finding.checked += 1
        sent, run = books.sent[id], books.seals.get(end.seal)
        if end.attempt and end.attempt != id:
            books.broke(finding, end.t, id, f"the answer carries the id {end.attempt}")
        elif not 200 <= end.status < 300:
            if run is not None and run.arrived.id != id and not (sent.key and run.arrived.key == sent.key):
                books.broke(finding, end.t, id, f"the answer is that to {run.arrived.id}")
        elif run is None or run.done is None:
            books.broke(finding, end.t, id, f"success with the seal {end.seal or '-'}, which no server gave")
        elif not 200 <= run.done.status < 300:
            books.broke(finding, end.t, id, f"success where the server answered {run.done.status}")
        elif run.done.digest != end.digest:
            books.broke(finding, end.t, id, "success with a body that is not the server's whole one")
        elif sent.key and run is not firsts[sent.key]:
            books.broke(finding, end.t, id, "the key was answered with a run that is not its first")
        elif not sent.key and run.arrived.id != id:
            books.broke(finding, end.t, id, f"the answer is that to {run.arrived.id}")
    for extra in books.extra:
        books.broke(finding, extra.t, extra.id, "bytes came that no request waited for")
    return finding


def first_runs(books: Books) -> dict[str, Run]:
    """Of each key the run that began first."""
    found: dict[str, Run] = {}
    for run in sorted(books.runs_that_began(), key=lambda run: run.began or 0.0):
        if run.arrived.key:
            found.setdefault(run.arrived.key, run)
    return found


def unasked(books: Books) -> Finding:
    """What runs is what was sent, and says whose service sent it."""
    finding = Finding()
    for run in books.runs_that_began():
        finding.checked += 1
        got, sent = run.arrived, books.sent.get(run.arrived.id)
        if sent is None:
            books.broke(finding, got.t, got.id, f"server {got.server} ran an id that nobody sent")
        elif (got.method, got.path, got.digest, got.key) != (sent.method, sent.path, sent.digest, sent.key):
            books.broke(
                finding, got.t, got.id, f"server {got.server} ran it changed: {got.method} {got.path}"
            )
        elif got.calling != books.record.services[sent.machine]:
            books.broke(finding, got.t, got.id, f"Calling-Service {got.calling or 'missing'} from "
                        f"{sent.machine}, where {books.record.services[sent.machine]} is")  # fmt: skip
    return finding


def twice(books: Books) -> Finding:
    """What is not repeatable runs once: a try, and a key within its window."""
    finding = Finding()
    keys: dict[str, list[Sent]] = defaultdict(list)
    for id, runs in books.by_id.items():
        sent = books.sent.get(id)
        began = [run for run in runs if run.began is not None]
        if sent is None or sent.repeatable or not began:
            continue
        finding.checked += 1
        if len(began) > 1:
            books.broke(finding, began[1].began or 0.0, id, f"it ran {len(began)} times")
        if sent.key:
            keys[sent.key].append(sent)
    for key, tries in keys.items():
        tries.sort(key=lambda sent: sent.t)
        for one, other in itertools.pairwise(tries):
            if other.t - one.t < books.bounds.key_window_s:
                books.broke(finding, other.t, other.id, f"key {key} ran for {one.id} and for {other.id}")
    return finding


def refused(books: Books) -> Finding:
    """What was refused has not run and never will."""
    finding = Finding()
    for id, end in books.ends.items():
        sent = books.sent[id]
        if not isinstance(end, Answered) or end.status not in REFUSALS or sent.repeatable:
            continue
        finding.checked += 1
        for run in books.by_id.get(id, ()):
            if run.began is not None:
                when = "had run" if run.began <= end.t else "ran later"
                books.broke(
                    finding, end.t, id, f"answered {end.status}, and it {when} at {run.arrived.server}"
                )
                break
    return finding


def denied(books: Books) -> Finding:
    """Proper requests are not ended by a 3xx or 4xx of the mesh's own, but for a few."""
    finding = Finding()
    found: list[tuple[Answered, str]] = []
    for id, sent in books.sent.items():
        end = books.ends.get(id)
        finding.checked += 1
        if not isinstance(end, Answered) or not 300 <= end.status < 500 or end.status in (408, 421, 429):
            continue
        if end.status == 409 and sent.key:
            continue
        if any(run.done is not None and run.done.status == end.status for run in books.by_id.get(id, ())):
            continue  # the server's own
        versions = books.may_be_in_force(sent.t, end.t)
        allowed = versions and all(lookup(put.config, sent.host, sent.path) for put in versions)
        if allowed and books.in_touch(sent.t, end.t, sent.machine):
            found.append((end, id))
    if len(found) > MOST_OWN + finding.checked / 500.0:
        for end, id in found:
            books.broke(finding, end.t, id, f"ended with {end.status}, one of {len(found)}")
    return finding


def route(books: Books) -> Finding:
    """A service runs what some configuration lets go to it, at the server that was meant."""
    finding = Finding()
    for run in books.runs_that_began():
        finding.checked += 1
        got, sent = run.arrived, books.sent.get(run.arrived.id)
        if got.target and got.target != got.server:
            books.broke(finding, got.t, got.id, f"server {got.server} ran what was meant for {got.target}")
        if sent is None:
            continue  # rule `unasked`
        rules = [lookup(put.config, sent.host, sent.path) for put in books.puts]
        if not any(rule is not None and got.service in rule.services for rule in rules):
            books.broke(finding, got.t, got.id, f"no configuration ever let it go to {got.service}")
    return finding


# Leaving in order


def drain(books: Books) -> Finding:
    """No request reaches a server later than `drain_ms` after its leave was acknowledged."""
    finding = Finding()
    bound = books.bounds.drain_ms / 1000.0
    services = {run.arrived.server: run.arrived.service for run in books.runs.values()}
    since: dict[str, float] = {}
    for notice in books.notices:
        if notice.acked is not None and notice.state in ("draining", "gone"):
            since[notice.server] = min(notice.acked, since.get(notice.server, math.inf))
    for server, acked in since.items():
        late, gone = acked + bound, books.server_ends.get(server, math.inf)
        for run in books.runs.values():
            got = run.arrived
            if not late < got.t <= gone or got.service != services.get(server):
                continue
            finding.checked += 1  # it went to this server, or to another of the service
            sent = books.sent.get(got.id)
            if got.server != server or sent is None or (run.turned and run.turned.status == 421):
                continue
            if books.harmed(sent.t, got.t, sent.machine, got.machine):
                continue
            if books.in_touch(sent.t, got.t, sent.machine, got.machine):
                books.broke(finding, got.t, got.id, f"reached {server} {got.t - acked:.3f} s after its leave")
    return finding


def lost(books: Books) -> Finding:
    """Nothing that a process has read is broken off around planned work."""
    finding = Finding()
    grace, slack = books.bounds.grace_s, books.bounds.loss_slack_ms / 1000.0
    terms = [
        fact for fact in books.processes if fact.what == "term" and fact.machine in books.record.services
    ]
    for fact in terms:
        for id, sent in books.sent.items():
            end = books.ends.get(id)
            if sent.machine != fact.machine or end is None or not fact.t <= end.t <= fact.t + grace + 1.0:
                continue
            if isinstance(end, Cut) and end.how in ("refused", "silent"):
                continue  # no process read it
            finding.checked += 1
            if books.troubled(sent.t, end.t) or _excused(books, sent, end, fact.t + grace / 2.0):
                continue
            if isinstance(end, Cut):
                if _taken(books, sent, end, slack):
                    books.broke(finding, end.t, id, f"closed {end.t - fact.t:.3f} s after the SIGTERM")
            elif end.status in (500, 502, 504) and not end.seal and _at_work(books, id, end.t):
                books.broke(finding, end.t, id, f"answered {end.status} after the SIGTERM, while it was run")
    _lost_by_change(books, finding, slack)
    return finding


def _taken(books: Books, sent: Sent, end: Cut, slack: float) -> bool:
    """Whether a connection closed under a request that must have been read."""
    passed = any(run.arrived.t <= end.t for run in books.by_id.get(sent.id, ()))
    return end.how in BROKEN_OFF and end.t < sent.ends and (passed or end.t - sent.t > slack)


def _at_work(books: Books, id: str, t: float) -> bool:
    runs = [run for run in books.by_id.get(id, ()) if run.began is not None and run.began <= t]
    return any((run.done is None or run.done.t > t) for run in runs)


def _excused(books: Books, sent: Sent, end: Answered | Cut, half: float) -> bool:
    """Its time was up, or its server still worked in the second half of the grace."""
    runs = [run for run in books.by_id.get(sent.id, ()) if run.began is not None]
    still = any((run.done.t if run.done else run.dropped or math.inf) > half for run in runs)
    return end.t >= sent.ends - 0.01 or (still and end.t >= half)


def _lost_by_change(books: Books, finding: Finding, slack: float) -> None:
    after = books.bounds.config_apply_ms / 1000.0 + 1.0
    windows = [
        (put.t, (put.acked if put.acked is not None else put.until) + after)
        for put in books.puts
        if put.valid
    ]
    terms = [(fact.t, fact.t + books.bounds.grace_s + 1.0, fact.machine)
             for fact in books.processes if fact.what == "term"]  # fmt: skip
    inside: dict[str, list[tuple[Sent, bool]]] = defaultdict(list)
    outside: dict[str, list[tuple[Sent, bool]]] = defaultdict(list)
    for id, sent in books.sent.items():
        end = books.ends.get(id)
        if end is None or books.troubled(sent.t, end.t):
            continue
        if any(low <= end.t <= high and machine == sent.machine for low, high, machine in terms):
            continue  # counted above
        cut = isinstance(end, Cut) and _taken(books, sent, end, slack)
        within = any(low <= end.t <= high for low, high in windows)
        (inside if within else outside)[sent.machine].append((sent, cut))
    for machine, there in inside.items():
        finding.checked += len(there)
        cut_in = [sent for sent, cut in there if cut]
        elsewhere = outside.get(machine, [])
        usual = sum(cut for _, cut in elsewhere) / max(1, len(elsewhere))
        if len(cut_in) > 3.0 * usual * len(there):
            for sent in cut_in:
                books.broke(finding, books.ended(sent.id), sent.id, "closed around a change of configuration")


# Configuration


def config(books: Books) -> Finding:
    """A version applies in time, stays, is the one that won, and is read back."""
    finding = Finding()
    _applied(books, finding)
    _taken_versions(books, finding)
    _read(books, finding)
    final = [read for read in books.reads if read.t >= books.record.end]
    finding.checked += bool(final)
    newest = books.acked[-1] if books.acked else None
    last = next((read for read in reversed(final) if read.config is not None), None)
    if final and newest is not None:
        when = final[-1].t
        by_number = {put.revision: put for put in books.puts}
        if last is None or last.config is None:
            books.broke(finding, when, "", "read back at the end, it did not come")
        elif (number := last.config.get("revision_number", 0)) < newest.revision:
            books.broke(
                finding, when, "", f"read back {number}, older than the acknowledged {newest.revision}"
            )
        elif number not in by_number or by_number[number].config != last.config:
            books.broke(finding, when, "", f"read back {number}, which is not what was sent under it")
    return finding


def _read(books: Books, finding: Finding) -> None:
    """Whatever is read, at any time, is as new as all that was acknowledged or read before it was asked."""
    refused = {
        put.revision
        for put in books.puts
        if not put.valid or (put.status == 412 and put.tries.count(";") < 2)
    }
    seen: list[tuple[float, int]] = [
        (put.acked, put.revision) for put in books.acked if put.acked is not None
    ]
    for read in books.reads:
        if read.config is None:
            continue
        finding.checked += 1
        number = read.config.get("revision_number", 0)
        asked = read.t if read.asked is None else read.asked
        newest = max((revision for t, revision in seen if t < asked), default=0)
        if number < newest:
            books.broke(finding, read.t, "", f"read {number}, after {newest} was acknowledged or read")
        if number in refused:
            books.broke(finding, read.t, "", f"read {number}, which was refused")
        seen.append((read.t, number))


def _handled(books: Books, id: str) -> tuple[float, Callable[[Config, Sent], bool], str] | None:
    """How a request was handled: when, by what configurations that is allowed, in words."""
    runs = [run for run in books.by_id.get(id, ()) if run.began is not None]
    if runs:
        services = {run.arrived.service for run in runs}

        def ran(one: Config, sent: Sent) -> bool:
            rule = lookup(one, sent.host, sent.path)
            return rule is not None and services <= rule.services

        return runs[0].began or 0.0, ran, f"run by {', '.join(sorted(services))}"
    end = books.ends.get(id)
    if isinstance(end, Answered) and end.status == 404:
        return end.t, lambda one, sent: lookup(one, sent.host, sent.path) is None, "refused with 404"
    return None


def _applied(books: Books, finding: Finding) -> None:
    """Requests handled by what is in force; nor does a machine go back within one life."""
    slack = books.bounds.revert_slack_ms / 1000.0
    effects: dict[str, list[tuple[float, int]]] = defaultdict(list)  # machine: when seen, least version
    lives: dict[str, list[float]] = defaultdict(list)
    for fact in books.processes:
        if fact.what == "start":
            lives[fact.machine].append(fact.t)
    valid = sorted((put for put in books.puts if put.valid), key=lambda put: put.revision)
    wrong = [put for put in books.puts if not put.valid or put.status == 412]
    found = []
    for id, sent in books.sent.items():
        handled = _handled(books, id)
        if handled is None:
            continue
        t, allows, words = handled
        by = [put.revision for put in valid if put.status != 412 and allows(put.config, sent)]
        found.append((sent, words, by))
        current = books.may_be_in_force(sent.t, books.ended(id))
        if current and books.in_touch(sent.t, t, sent.machine):
            finding.checked += 1
            if not any(allows(put.config, sent) for put in current):
                old = [put.revision for put in current]
                books.broke(finding, t, id, f"{words} at {sent.machine}, as none of versions {old} has it")
        if not by and any(allows(put.config, sent) for put in wrong):
            books.broke(finding, t, id, f"{words}, as only a configuration that was refused has it")
        if by and books.by_id.get(id) and by[0] > valid[0].revision:
            effects[sent.machine].append((t, by[0]))
    for machine, seen in effects.items():
        seen.sort()
        for sent, words, by in found:
            if sent.machine != machine or not by:
                continue
            life = max((t for t in lives[machine] if t <= sent.t), default=-math.inf)
            known = [version for t, version in seen if life <= t < sent.t - slack]
            if known and max(by) < max(known):
                books.broke(finding, sent.t, sent.id, f"{words}, though {machine} was at {max(known)} before")


def _taken_versions(books: Books, finding: Finding) -> None:
    """No invalid version is acknowledged, nor two on top of the same."""
    winners: dict[int, Put] = {}
    for put in books.puts:
        finding.checked += 1
        if put.acked is None:
            continue
        if not put.valid:
            books.broke(finding, put.acked, "", f"version {put.revision} is invalid, and was acknowledged")
        elif (other := winners.setdefault(put.base, put)) is not put and other.revision != put.revision:
            both = f"{other.revision} and {put.revision}"
            books.broke(finding, put.acked, "", f"{both} were both acknowledged on top of {put.base}")


def acks(books: Books) -> Finding:
    """Proper orders and leaves are acknowledged in time, while the core is settled."""
    finding = Finding()
    for put in books.puts:
        if not put.valid or put.status == 412:
            continue
        bound = (books.bounds.ack_ms + ROUTE_MS * routes(put.config)) / 1000.0
        # One that is sent while the core is not settled has its time from when it is.
        unsettled = [high for low, high in books.spans.get(ALL, ()) if low <= put.t < high]
        since = max([put.t, *unsettled])
        harmed = any(harm.t < since + bound and harm.until > since for harm in books.harms)
        if harmed or not books.in_touch(since, since + bound):
            continue
        finding.checked += 1
        if put.acked is None or put.acked - since > bound:
            books.broke(finding, put.t, "", f"version {put.revision} was not acknowledged in {bound:.1f} s")
    leaves = [notice for notice in books.notices if notice.state == "draining"]
    said = sorted({notice.server for notice in leaves})
    finding.checked += len(said)
    without = [server for server in said if not any(n.acked for n in leaves if n.server == server)]
    if len(without) > max(3.0, len(said) / 5.0) or (said and len(without) == len(said)):
        books.broke(
            finding, books.record.end, "", f"the leaves of {', '.join(without)} were not acknowledged"
        )
    return finding


# Further tries


def budget(books: Books) -> Finding:
    """A service's arrivals past the first of each request stay within what all nodes share."""
    finding = Finding()
    ratio, slack, window = (
        books.bounds.retry_ratio, books.bounds.retry_slack, books.bounds.retry_window_s,
    )  # fmt: skip
    asked: dict[str, list[float]] = defaultdict(list)
    for sent in books.sent.values():
        services: set[str] = set()
        for put in books.may_be_in_force(sent.t, sent.t):
            rule = lookup(put.config, sent.host, sent.path)
            services |= rule.services if rule is not None else set()
        for service in services:
            asked[service].append(sent.t)
    more: dict[str, list[tuple[float, str]]] = defaultdict(list)
    nth: dict[int, int] = {}
    for runs in books.by_id.values():
        began = [run for run in runs if run.began is not None]
        nth |= {run.arrived.n: number for number, run in enumerate(began)}
    for id, runs in books.by_id.items():
        parent = books.sent[id].parent if id in books.sent else 0
        for number, run in enumerate(runs):
            finding.checked += 1
            if number or nth.get(parent, 0):
                more[run.arrived.service].append((run.arrived.t, id))
    for service, extra in more.items():
        extra.sort()
        times, there = [t for t, _ in extra], sorted(asked[service])
        for n, (t, id) in enumerate(extra):
            count = n + 1 - bisect.bisect_left(times, t - window)
            most = max(
                bisect.bisect_right(there, t - back) - bisect.bisect_left(there, t - back - window)
                for back in (0.0, window / 2.0, window)
            )
            if count > ratio * most + slack:
                books.broke(finding, t, id, f"{count} further arrivals at {service} in {window:g} s, "
                            f"for {most} requests")  # fmt: skip
                break
    return finding


def stays_up(books: Books) -> Finding:
    """No process ends by itself, and each ends when told to, within its grace."""
    finding = Finding()
    for fact in books.processes:
        finding.checked += fact.what == "start"
        if fact.what == "exit":
            books.broke(finding, fact.t, "", f"{fact.machine} ended by itself")
        elif fact.what == "late":
            books.broke(finding, fact.t, "", f"{fact.machine} did not end within its grace")
    return finding


def recover(books: Books) -> Finding:
    """After a closing loss and the time to recover a quarter is served, if it was before."""
    finding = Finding()
    for event in books.events:
        if event.do not in CLOSING:
            continue
        back = event.until + books.bounds.recovery_s
        before, after = [0, 0], [0, 0]  # first tries: asked, served
        for tries in books.tries.values():
            first, end = tries[0], books.ends.get(tries[-1].id)
            if first.kind == PROBE or not first.owed or first.parent or first.first > books.record.end:
                continue
            counts = before if first.first < event.t else after if first.first > back else None
            if counts is not None:
                counts[0] += 1
                counts[1] += isinstance(end, Answered) and 200 <= end.status < 300
        finding.checked += after[0]
        served = before[1] >= LEAST_SERVED * before[0]
        if served and after[1] < LEAST_SERVED * after[0]:
            books.broke(finding, back, "", f"{after[1]} of {after[0]} served after the closing loss")
    return finding


RULES: dict[str, Callable[[Books], Finding]] = {
    "mixed": mixed, "unasked": unasked, "twice": twice, "refused": refused, "denied": denied,
    "route": route, "drain": drain, "lost": lost, "config": config, "acks": acks, "budget": budget,
    "recover": recover, "stays_up": stays_up,
}  # fmt: skip


# The measure of service


@dataclass(slots=True)
class Row:
    """A kind of request over the run."""

    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    unanswered: int = 0
    earned: float = 0.0
    owed: float = 0.0
    took_ms: list[float] = field(default_factory=list)

    @property
    def service(self) -> float | None:
        return self.earned / self.owed if self.owed else None

    def quantile_ms(self, q: float) -> float:
        values = sorted(self.took_ms)
        return values[min(len(values) - 1, math.ceil(q * len(values)) - 1)] if values else 0.0


def measure(books: Books) -> dict[str, Row]:
    """Each first try, by how its last try ended."""
    rows = {name: Row() for name in books.record.kinds}
    for tries in books.tries.values():
        first = tries[0]
        if first.kind == PROBE or not first.owed or first.first > books.record.end:
            continue
        kind, row = books.record.kinds[first.kind], rows[first.kind]
        ends = [books.ends.get(sent.id) for sent in tries]
        row.asked += 1
        row.owed += kind.worth
        good = next((e for e in ends if isinstance(e, Answered) and 200 <= e.status < 300), None)
        last = ends[-1]
        if good is not None:
            took = (good.t - first.first) * 1000.0
            row.served += 1
            row.took_ms.append(took)
            row.earned += kind.worth if took <= kind.aim_ms else kind.late
        elif last is None or (isinstance(last, Cut) and last.how == "timeout"):
            row.unanswered += 1
        elif isinstance(last, Answered) and last.status in REFUSALS:
            row.refused += 1
        else:
            row.failed += 1
    return rows


@dataclass(slots=True)
class Verdict:
    """All that is judged of a run."""

    record: Record
    books: Books
    rules: dict[str, Finding]
    classes: dict[str, Row]

    @property
    def service(self) -> float | None:
        owed = sum(row.owed for row in self.classes.values())
        return sum(row.earned for row in self.classes.values()) / owed if owed else None

    @property
    def broken(self) -> list[str]:
        return [name for name, finding in self.rules.items() if not finding.held]

    @property
    def void(self) -> str:
        """Why the run says nothing; empty: it does."""
        stall, starved = self.record.stall_s, self.record.starved
        if stall > MOST_STALL_S:
            return f"the kit itself stood still for {stall * 1000:.0f} ms"
        return f"a process waited for a core for {starved:.0%} of 2 s" if starved > MOST_STARVED else ""

    @property
    def served(self) -> int:
        return sum(row.served for row in self.classes.values())

    @property
    def passed(self) -> bool:
        return self.record.complete and not self.broken and not self.void and self.served > 0


def judge(record: Record) -> Verdict:
    """Judge a record."""
    books = Books(record)
    return Verdict(record, books, {name: rule(books) for name, rule in RULES.items()}, measure(books))


def figures(verdict: Verdict) -> dict[str, Any]:
    """The mesh's own part of the agreed object: how soon it took what it was told."""
    books = verdict.books
    leaves = [notice for notice in books.notices if notice.state == "draining" and notice.acked is not None]
    statuses: dict[str, int] = defaultdict(int)
    for id, end in books.ends.items():
        if books.sent[id].kind != PROBE:
            statuses[str(end.status) if isinstance(end, Answered) else end.how] += 1
    return {
        "processes": sum(fact.what == "start" for fact in books.processes),
        "versions": [
            {"revision": put.revision, "valid": put.valid, "status": put.status,
             "acked_ms": None if put.acked is None else round((put.acked - put.t) * 1000.0, 1)}
            for put in books.puts
        ],
        "leaves_acked_ms": [round(((n.acked or n.t) - n.t) * 1000.0, 1) for n in leaves],
        "answers": dict(sorted(statuses.items())),
        "turned_away": sum(run.turned is not None for run in books.runs.values()),
    }  # fmt: skip


def as_json(verdict: Verdict) -> dict[str, Any]:
    """The agreed object."""
    record, books = verdict.record, verdict.books
    firsts = sum(row.asked for row in verdict.classes.values())
    names = list(dict.fromkeys(record.services.values()))
    by_service = [sum(run.arrived.service == name for run in books.runs.values()) for name in names]
    whole = verdict.service
    return {
        "format": FORMAT, "scenario": record.scenario, "seed": record.seed, "complete": record.complete,
        "service": None if whole is None else round(whole, 4),
        "classes": {
            name: {
                "asked": row.asked, "served": row.served, "refused": row.refused, "failed": row.failed,
                "unanswered": row.unanswered, "p50_ms": round(row.quantile_ms(0.5), 3),
                "p99_ms": round(row.quantile_ms(0.99), 3),
                "service": None if row.service is None else round(row.service, 4),
            }
            for name, row in verdict.classes.items()
        },
        "rules": {
            name: {
                "held": finding.held, "checked": finding.checked, "breaks": finding.count,
                "broken": [
                    {"at_s": round(one.t, 3), "request": one.request, "what": one.what, "story": one.story}
                    for one in finding.broken
                ],
            }
            for name, finding in verdict.rules.items()
        },
        "requests": {"asked": firsts, "tries": sum(s.kind != PROBE for s in books.sent.values())},
        "attempts": {"by_tier": by_service,
                     "per_client_request": round(sum(by_service) / firsts, 4) if firsts else 0.0},
        "timeline": [
            {"at_s": round(books.at(event.t), 3), "until_s": round(books.at(event.until), 3),
             "do": event.do, "whom": event.whom}
            for event in books.events
        ],
        "mesh": figures(verdict),
        "run": {"why": record.why, "void": [verdict.void] if verdict.void else [],
                "lag_ms": {"stall": round(record.stall_s * 1000.0, 2)},
                "starved": round(record.starved, 4)},
    }  # fmt: skip
