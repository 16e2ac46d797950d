"""A run's verdict: rules, service, attempts, and whether the machine was fast enough to say anything."""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

from orchidferry.testkit.judge.evidence import Evidence, index
from orchidferry.testkit.judge.fleet import Views
from orchidferry.testkit.judge.rules import RULES, Finding, ran_twice_legally
from orchidferry.testkit.judge.service import Service, measure
from orchidferry.testkit.record import Asked, Fact, Lag
from orchidferry.testkit.scenario import Limits, Scenario

FORMAT = 1


@dataclass(slots=True)
class Lateness:
    """How far the kit itself fell behind."""

    p99_s: float = 0.0  # of first tries, behind their time
    most_s: float = 0.0
    stall_s: float = 0.0  # the longest of a stand-in's event loop
    starved: float = 0.0  # the worst share of a window that a node waited for a core
    void: list[str] = field(default_factory=list)  # why the run says nothing


@dataclass(slots=True)
class Verdict:
    """All that is judged of a run."""

    scenario: Scenario
    books: Evidence
    rules: dict[str, Finding]
    service: Service
    attempts: list[int]  # by tier
    tries: int  # requests that clients sent, retries counted
    ran_twice: list[str]
    lateness: Lateness
    complete: bool
    why: str
    control: dict[str, Any] | None = None  # what became of a control service's versions
    traffic: dict[str, Any] | None = None  # of a replay: what was sent, how late, and what was left out
    fleet: dict[str, Any] | None = None  # of nodes that know of each other
    views: Views | None = None  # of theirs, over time

    @property
    def broken(self) -> list[str]:
        return [name for name, finding in self.rules.items() if not finding.held]

    @property
    def passed(self) -> bool:
        """Whether the run is complete, says something, and broke no rule."""
        proven = all(part is None or not part["problems"] for part in (self.control, self.fleet))
        return self.complete and not self.lateness.void and not self.broken and proven

    @property
    def first_tries(self) -> int:
        return sum(row.asked for row in self.service.classes.values())

    @property
    def per_client_request(self) -> float:
        return sum(self.attempts) / self.first_tries if self.first_tries else 0.0


def lateness(facts: list[Fact], limits: Limits, asked: int) -> Lateness:
    """What the kit's own lag comes to. A client's time counts from when it should have asked, so a slow
    generator looks like slow nodes: past these limits a run is void."""
    result = Lateness()
    late = sorted(fact.amount for fact in facts if isinstance(fact, Lag) and fact.kind == "late")
    # Those that were in time are not in the record: they count as 0.
    rank = math.ceil(0.99 * asked) - (asked - len(late)) - 1
    result.p99_s = late[rank] if late and rank >= 0 else 0.0
    result.most_s = late[-1] if late else 0.0
    stalls = [fact for fact in facts if isinstance(fact, Lag) and fact.kind == "stall"]
    worst = max(stalls, key=lambda fact: fact.amount, default=None)
    result.stall_s = worst.amount if worst else 0.0
    hungry: dict[str, float] = defaultdict(float)
    for fact in facts:
        if isinstance(fact, Lag) and fact.kind == "starved":
            hungry[fact.who] = max(hungry[fact.who], fact.amount)
    result.starved = max(hungry.values(), default=0.0)
    if result.p99_s > limits.lag_p99_s:
        result.void.append(f"clients asked late: {result.p99_s * 1000:.0f} ms at p99")
    if result.most_s > limits.lag_most_s:
        result.void.append(f"a client asked {result.most_s * 1000:.0f} ms late")
    if worst is not None and worst.amount > limits.stall_s:
        result.void.append(f"{worst.who}, a process of the kit, stood still for {worst.amount * 1000:.0f} ms")
    if result.starved > limits.starved:
        node = max(hungry, key=lambda name: hungry[name])
        result.void.append(f"node {node} waited for a core for {result.starved:.0%} of 2 s")
    return result


def judge(
    scenario: Scenario, facts: list[Fact], start: float, end: float, complete: bool = True, why: str = ""
) -> Verdict:
    """Judge a record; facts must be in order of time."""
    books = index(scenario, facts, start, end, complete)
    service = measure(books)
    reached = Counter(got.tier for attempts in books.got.values() for got in attempts)
    tries = sum(1 for (tier, _), seen in books.seen.items() if tier == 0 and isinstance(seen[0], Asked))
    return Verdict(
        scenario,
        books,
        {name: rule(books) for name, rule in RULES.items()},
        service,
        [reached[n] for n in range(len(scenario.tiers))],
        tries,
        ran_twice_legally(books),
        lateness(facts, scenario.limits, len(books.wanted)),
        complete,
        why,
    )


FAULT_SETTLES_S = 2.0  # into a fault, until what was under way before it is over


def during_fault(verdict: Verdict) -> dict[str, Any] | None:
    """Attempts from 2 s into the longest fault until its end; None where none lasts longer."""
    books = verdict.books
    fault = max(books.incidents, key=lambda fact: fact.until - fact.t, default=None)
    if fault is None or fault.until - fault.t <= FAULT_SETTLES_S:
        return None
    start = fault.t + FAULT_SETTLES_S
    end = fault.until
    by_tier = [0] * len(verdict.scenario.tiers)
    for attempts in books.got.values():
        for got in attempts:
            by_tier[got.tier] += start <= got.t < end
    asked = sum(start <= wanted.t < end for wanted in books.wanted)
    return {
        "fault": fault.do,
        "from_s": round(books.at(start), 3),
        "until_s": round(books.at(end), 3),
        "asked": asked,
        "by_tier": by_tier,
        "per_client_request": round(sum(by_tier) / asked, 4) if asked else None,
    }


def move_of(verdict: Verdict) -> dict[str, Any] | None:
    """What a new pool carried: worth of client requests that reached it, over all that was asked."""
    scenario = verdict.scenario
    books = verdict.books
    if not scenario.pools.on:
        return None
    # By its place: a server's name begins with its tier and place.
    first = scenario.tiers[0].name
    new = {
        up.server
        for up in books.ups
        if up.tier == 0 and int(up.server.removeprefix(f"{first}-").partition("-")[0]) >= scenario.new_from
    }
    roots: set[str] = set()
    last = None
    for attempts in books.got.values():
        for got in attempts:
            if got.tier == 0 and got.server in new:
                roots.add(got.id.partition(".")[0])
                last = max(last or 0.0, books.at(got.t))
    worth = {cls.name: cls.worth for cls in scenario.classes}
    all_worth = sum(worth[wanted.cls] for wanted in books.wanted)
    carried = sum(worth[wanted.cls] for wanted in books.wanted if wanted.root in roots)
    return {
        "requests": len(roots),
        "worth": round(carried / max(all_worth, 1e-9), 5),
        "last_s": None if last is None else round(last, 3),
    }


def as_json(verdict: Verdict) -> dict[str, Any]:
    """The agreed object; `run` is the kit's own part, and tells what the other keys can't."""
    service = verdict.service
    books = verdict.books
    scenario = verdict.scenario

    def more() -> dict[str, Any]:
        found = {
            "control": verdict.control,
            "traffic": verdict.traffic,
            "moves": move_of(verdict),
            "fleet": verdict.fleet,
        }
        return {name: value for name, value in found.items() if value is not None}

    def number(value: float | None, digits: int = 4) -> float | None:
        return None if value is None else round(value, digits)

    return {
        "format": FORMAT,
        "scenario": scenario.name,
        "seed": scenario.seed,
        "complete": verdict.complete,
        "service": number(service.whole),
        "classes": {
            name: {
                "asked": row.asked,
                "served": row.served,
                "refused": row.refused,
                "failed": row.failed,
                "unanswered": row.unanswered,
                "p50_ms": round(row.quantile_ms(50.0), 3),
                "p99_ms": round(row.quantile_ms(99.0), 3),
                "service": number(row.service),
            }
            for name, row in service.classes.items()
        },
        "rules": {
            name: {
                "held": finding.held,
                "checked": finding.checked,
                "breaks": finding.count,
                "broken": [
                    {
                        "at_s": round(b.t, 3),
                        "request": b.request,
                        "tier": scenario.tiers[b.tier].name,
                        "what": b.what,
                        "story": b.story,
                    }
                    for b in finding.broken
                ],
            }
            for name, finding in verdict.rules.items()
        },
        "requests": {"asked": verdict.first_tries, "tries": verdict.tries},
        "attempts": {
            "by_tier": verdict.attempts,
            "per_client_request": round(verdict.per_client_request, 4),
            "during_fault": during_fault(verdict),
        },
        "timeline": [
            {
                "at_s": round(books.at(fact.t), 3),
                "until_s": round(books.at(fact.until), 3),
                "do": fact.do,
                "whom": fact.whom,
            }
            for fact in books.incidents
        ],
        **more(),
        "run": {
            "why": verdict.why,
            "void": verdict.lateness.void,
            "worst_10s": {"service": number(service.worst_window), "from_s": service.worst_window_at},
            "worst_class": service.worst_class,
            "open_at_end": sum(row.open for row in service.classes.values()),
            "unsafe_run_twice_legally": verdict.ran_twice,
            "lag_ms": {
                "p99": round(verdict.lateness.p99_s * 1000, 2),
                "most": round(verdict.lateness.most_s * 1000, 2),
                "stall": round(verdict.lateness.stall_s * 1000, 2),
            },
            "starved": number(verdict.lateness.starved),
        },
    }
