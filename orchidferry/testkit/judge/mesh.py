"""The mesh judged: its operators' rules, from what the kit saw on its own sockets and of its own processes.

Pure; no word of a node counts here. Each rule gives how often it could have been broken (`checked`) and every
break. Rules with a time bound bind machines in touch alone: those that nothing has happened to for
`contact_ms`, nor to the core.
"""

from __future__ import annotations

import bisect
import math
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from orchidferry.testkit.judge.books import Books, Finding
from orchidferry.testkit.judge.control_calls import figures as call_figures
from orchidferry.testkit.judge.control_calls import isolated, one_answer, resent
from orchidferry.testkit.judge.fresh import fresh
from orchidferry.testkit.judge.orders import acks, config, drain, lost
from orchidferry.testkit.judge.requests import REFUSALS, denied, mixed, refused, route, twice, unasked
from orchidferry.testkit.mesh.day import PROBE
from orchidferry.testkit.mesh.facts import (
    Answered,
    Cut,
    Record,
)
from orchidferry.testkit.mesh.table import CLOSING

FORMAT = 1
MAX_STALL_S = 0.25  # that the kit may stand still before its run says nothing
MAX_STARVED = 0.25  # of two seconds, that a process may wait for a core before it does so too
MIN_SERVED = 0.25  # of what is asked, once what was lost has had its time


# Further tries


def budget(books: Books) -> Finding:
    """A service's arrivals past the first of each request stay within what all nodes share."""
    finding = Finding()
    ratio = books.bounds.retry_ratio
    slack = books.bounds.retry_slack
    window = books.bounds.retry_window_s
    asked: dict[str, list[float]] = defaultdict(list)
    for sent in books.sent.values():
        services: set[str] = set()
        for put in books.may_be_in_force(sent.t, sent.t):
            rule = books.rule(put, sent)
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
        times = [t for t, _ in extra]
        there = sorted(asked[service])
        for n, (t, id) in enumerate(extra):
            count = n + 1 - bisect.bisect_left(times, t - window)
            most = max(
                bisect.bisect_right(there, t - back) - bisect.bisect_left(there, t - back - window)
                for back in (0.0, window / 2.0, window)
            )
            if count > ratio * most + slack:
                books.broke(
                    finding,
                    t,
                    id,
                    f"{count} further arrivals at {service} in {window:g} s, for {most} requests",
                )
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
        # first tries: asked, served
        before = [0, 0]
        after = [0, 0]
        for tries in books.tries.values():
            first = tries[0]
            end = books.ends.get(tries[-1].id)
            if first.kind == PROBE or not first.owed or first.parent or first.first > books.record.end:
                continue
            counts = before if first.first < event.t else after if first.first > back else None
            if counts is not None:
                counts[0] += 1
                counts[1] += isinstance(end, Answered) and 200 <= end.status < 300
        finding.checked += after[0]
        served = before[1] >= MIN_SERVED * before[0]
        if served and after[1] < MIN_SERVED * after[0]:
            books.broke(finding, back, "", f"{after[1]} of {after[0]} served after the closing loss")
    return finding


RULES: dict[str, Callable[[Books], Finding]] = {
    "mixed": mixed,
    "unasked": unasked,
    "twice": twice,
    "refused": refused,
    "denied": denied,
    "route": route,
    "drain": drain,
    "lost": lost,
    "config": config,
    "fresh": fresh,
    "acks": acks,
    "resent": resent,
    "one_answer": one_answer,
    "isolated": isolated,
    "budget": budget,
    "recover": recover,
    "stays_up": stays_up,
}


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
        kind = books.record.kinds[first.kind]
        row = rows[first.kind]
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
        stall = self.record.stall_s
        starved = self.record.starved
        if stall > MAX_STALL_S:
            return f"the kit itself stood still for {stall * 1000:.0f} ms"
        return f"a process waited for a core for {starved:.0%} of 2 s" if starved > MAX_STARVED else ""

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
            {
                "revision": put.revision,
                "valid": put.valid,
                "status": put.status,
                "acked_ms": None if put.acked is None else round((put.acked - put.t) * 1000.0, 1),
            }
            for put in books.puts
        ],
        "control_calls": call_figures(books),
        "leaves_acked_ms": [round(((n.acked or n.t) - n.t) * 1000.0, 1) for n in leaves],
        "answers": dict(sorted(statuses.items())),
        "turned_away": sum(run.turned is not None for run in books.runs.values()),
    }


def as_json(verdict: Verdict) -> dict[str, Any]:
    """The agreed object."""
    record = verdict.record
    books = verdict.books
    firsts = sum(row.asked for row in verdict.classes.values())
    names = list(dict.fromkeys(record.services.values()))
    by_service = [sum(run.arrived.service == name for run in books.runs.values()) for name in names]
    whole = verdict.service
    return {
        "format": FORMAT,
        "scenario": record.scenario,
        "seed": record.seed,
        "complete": record.complete,
        "service": None if whole is None else round(whole, 4),
        "classes": {
            name: {
                "asked": row.asked,
                "served": row.served,
                "refused": row.refused,
                "failed": row.failed,
                "unanswered": row.unanswered,
                "p50_ms": round(row.quantile_ms(0.5), 3),
                "p99_ms": round(row.quantile_ms(0.99), 3),
                "service": None if row.service is None else round(row.service, 4),
            }
            for name, row in verdict.classes.items()
        },
        "rules": {
            name: {
                "held": finding.held,
                "checked": finding.checked,
                "breaks": finding.count,
                "broken": [
                    {"at_s": round(one.t, 3), "request": one.request, "what": one.what, "story": one.story}
                    for one in finding.broken
                ],
            }
            for name, finding in verdict.rules.items()
        },
        "requests": {"asked": firsts, "tries": sum(s.kind != PROBE for s in books.sent.values())},
        "attempts": {
            "by_tier": by_service,
            "per_client_request": round(sum(by_service) / firsts, 4) if firsts else 0.0,
        },
        "timeline": [
            {
                "at_s": round(books.at(event.t), 3),
                "until_s": round(books.at(event.until), 3),
                "do": event.do,
                "whom": event.whom,
            }
            for event in books.events
        ],
        "mesh": figures(verdict),
        "run": {
            "why": record.why,
            "void": [verdict.void] if verdict.void else [],
            "lag_ms": {"stall": round(record.stall_s * 1000.0, 2)},
            "starved": round(record.starved, 4),
        },
    }
