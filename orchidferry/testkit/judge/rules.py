"""The four rules, judged from outside on a run's record. Pure; no node's word counts here.

Each rule gives how often it could have been broken (`checked`) and every break, with its story. A rule with
nothing to check has not been kept: it has not been seen. `docs/design/rehearsal.md` says how each is judged
and why; the figures are the scenario's `[rules]`, as the nodes were told them.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from orchidferry.testkit.judge.evidence import KILLED, Evidence, Request, Seen, between
from orchidferry.testkit.record import Answered, Asked, Cut, Extra, Got, Unanswered, Up
from orchidferry.testkit.scenario import Class

REFUSALS = (429, 503)
NEAR_S = 1.0  # a process's end is in the record so much later at most than what its end did to connections
STARTED_S = 0.25  # discovery's word of when a server started and the server's own differ by less
INFORMED_SHARE = 2.0 / 3.0  # of the work that pushed a cold server over must be from nodes that knew,
COLD_SLACK = 1.1  # and the budget is taken so much larger, for chance
MAX_TOLD = 20  # breaks of one rule that are kept with their story; all are counted


@dataclass(slots=True)
class Break:
    """One break of a rule."""

    t: float  # seconds since the load began
    request: str
    tier: int
    what: str
    story: list[str] = field(default_factory=list)


@dataclass(slots=True)
class Finding:
    """What is found of one rule."""

    checked: int = 0
    count: int = 0  # of breaks
    broken: list[Break] = field(default_factory=list)  # the first of them

    @property
    def held(self) -> bool:
        return self.count == 0

    def add(self, books: Evidence, t: float, request: Request, what: str) -> None:
        self.count += 1
        if len(self.broken) < MAX_TOLD:
            story = books.story(request)
            self.broken.append(Break(books.at(t), request[1], request[0], what, story))


# Rule 1


def no_request_lost(books: Evidence) -> Finding:
    """Exactly one final answer in time to each request that a running node has taken."""
    finding = Finding()
    rules = books.scenario.rules
    slack = rules.answer_slack_s + rules.slack_s
    for request, seen in books.seen.items():
        asked = [fact for fact in seen if isinstance(fact, Asked)]
        if not asked:
            continue  # no node took it
        first = asked[0]
        deadline = first.ends + slack
        answers = [fact for fact in seen if isinstance(fact, Answered)]
        crossed = _closed_on(books, request, asked, seen)
        if crossed is not None:
            finding.add(
                books, crossed.t, request, f"node {crossed.node} sent it on and closed with no answer"
            )
        for extra in seen:
            if isinstance(extra, Extra):
                finding.add(books, extra.t, request, "bytes came after its answer: a second one")
        if len(answers) > 1:
            finding.add(books, answers[1].t, request, f"answered {len(answers)} times")
        if answers:
            finding.checked += 1
            answer = answers[0]
            if answer.t > deadline and not books.was_paused(answer.node, first.t, answer.t):
                late_ms = (answer.t - first.ends) * 1000.0
                finding.add(books, answer.t, request, f"answered {late_ms:.0f} ms after its time")
            if answer.status == 200 and not answer.sound:
                finding.add(books, answer.t, request, "served with a body that no server made for it")
            continue
        problem = _lost(books, request, asked, seen, deadline)
        if problem is None:
            continue
        finding.checked += 1
        if problem:
            finding.add(books, seen[-1].t, request, problem)
    return finding


def _closed_on(books: Evidence, request: Request, asked: list[Asked], seen: list[Seen]) -> Cut | None:
    """A close in between, after which the asker had to ask once more, though a server had it by then.

    A node may close a kept connection between requests. If that crosses one that it has not read, the asker
    sends it again; one that it has read and sent on it owes an answer.
    """
    for fact in seen:
        if isinstance(fact, Cut) and fact.t < asked[-1].t:
            died = books.ended_node(fact.node, fact.t - NEAR_S, fact.t + NEAR_S)
            if died is not None and died.why in KILLED:
                continue
            if any(got.t <= fact.t for got in books.got.get(request, ())):
                return fact
    return None


def _lost(
    books: Evidence, request: Request, asked: list[Asked], seen: list[Seen], deadline: float
) -> str | None:
    """Why a request with no answer is lost; "" if it is not; None if there is nothing to judge."""
    last = asked[-1]
    node = asked[-1].node
    cuts = [fact for fact in seen if isinstance(fact, Cut) and fact.t >= last.t]
    gone = [fact for fact in seen if isinstance(fact, Unanswered)]
    over = cuts[0].t if cuts else gone[0].t if gone else books.end
    ended = books.ended_node(node, asked[0].t - NEAR_S, over + NEAR_S)
    if ended is not None and ended.why in KILLED:
        return None  # with the node: its caller's to ask again
    if books.was_paused(node, asked[0].t - NEAR_S, over):
        return None  # it could do nothing, and its caller can ask again
    if books.node_was_dead(node, last.t):
        return None  # over QUIC: nobody was there to take it
    if cuts:
        if cuts[0].how in ("refused", "silent"):
            return None  # the second try after a close in between: no node took it
        if not books.got.get(request) and books.told_to_end(node, cuts[0].t):
            return ""  # it crossed the close of a node that ends, and was not sent on
        how = {"closed": "closed", "reset": "reset", "broken": "ended within an answer"}[cuts[0].how]
        return f"node {node} took it, and its connection was {how} with no whole answer"
    if gone:
        return "" if gone[0].left else f"node {node} took it, and no answer came before its time was up"
    if deadline > books.end or books.asker_died(node, asked[0].t):
        return None  # still open at the end of the record, or nobody was left to see its answer
    return f"node {node} took it, and the record has no end of it"


# Rule 2


def no_effect_twice(books: Evidence) -> Finding:
    """What may have run is sent again, or refused, only as its class allows; at every tier."""
    finding = Finding()
    for request, attempts in books.got.items():
        cls = books.classes.get(attempts[0].cls)
        if cls is None or cls.repeat == "safe":
            continue
        finding.checked += 1
        for t, what in _repeats(books, cls, attempts):
            finding.add(books, t, request, what)
        if cls.repeat == "keyed" and cls.group == "all":
            continue
        for fact in books.seen.get(request, ()):
            if isinstance(fact, Answered) and fact.status in REFUSALS:
                ran = [g for g in attempts if not _proved(books, g, fact.t)]
                if ran:
                    finding.add(books, fact.t, request, _refused(books, request, fact, ran[0]))
    return finding


def _proved(books: Evidence, attempt: Got, t: float) -> bool:
    """Whether it was known at a time that an attempt never ran."""
    refused = books.refused_at(attempt)
    return refused is not None and refused <= t


def _repeats(books: Evidence, cls: Class, attempts: list[Got]) -> Iterator[tuple[float, str]]:
    slack = books.scenario.rules.slack_s
    for n, later in enumerate(attempts):
        for earlier in attempts[:n]:
            if _proved(books, earlier, later.first):
                continue
            if cls.repeat == "unsafe":
                yield later.t, f"sent to {later.server} after {earlier.server} had it, where it may have run"
            elif cls.group == "cell" and later.cell != earlier.cell:
                yield (
                    later.t,
                    (
                        f"sent to {later.server} of cell {later.cell} after {earlier.server} of cell "
                        f"{earlier.cell} had it: its key is not known there"
                    ),
                )
            elif later.first - earlier.first > cls.window_s + slack:
                after = later.first - earlier.first
                yield (
                    later.t,
                    f"sent again {after:.3f} s after it may have run; its key is kept {cls.window_s:g} s",
                )
            else:
                continue
            break


def _refused(books: Evidence, request: Request, answer: Answered, attempt: Got) -> str:
    """A refusal tells the client that asking again is harmless: it was not."""
    text = f"refused ({answer.status}) though {attempt.server} had it and it may have run"
    if request[0] == 0 and books.began.get(request):
        root = request[1].partition(".")[0]
        others = [r for r in books.began if r[0] == 0 and r != request and r[1].partition(".")[0] == root]
        if others:
            text += f"; the client, told that this is harmless, asked again, and {others[0][1]} ran too"
    return text


def ran_twice_legally(books: Evidence) -> list[str]:
    """First tries of unsafe classes whose client asked again under a new id, with both run.

    No node can tie the two together, so rule 2 is judged by id: where the first was not refused, its client
    took the chance itself. Where it was refused though it ran, rule 2 has that break already.
    """
    refused = {
        request[1]
        for request, seen in books.seen.items()
        if request[0] == 0 and any(isinstance(f, Answered) and f.status in REFUSALS for f in seen)
    }
    ran: dict[str, list[str]] = defaultdict(list)
    for request in books.began:
        attempts = books.got.get(request, ())
        if request[0] == 0 and attempts and books.classes[attempts[0].cls].repeat == "unsafe":
            ran[request[1].partition(".")[0]].append(request[1])
    return sorted(root for root, ids in ran.items() if len(ids) > 1 and not refused & set(ids))


# Rule 3


def drains_kept(books: Evidence) -> Finding:
    """Nothing new to a server once the grace is over, counted from when its node was told."""
    finding = Finding()
    rules = books.scenario.rules
    grace = rules.drain_grace_s + rules.slack_s
    for facts in books.told.values():
        out = False
        for fact in facts:
            if fact.status == "active":
                out = False
            elif not out:
                out = True
                # Worth the name of a check only if the node lived on to break it.
                finding.checked += fact.t + grace < books.end
    for attempts in books.reached.values():
        for got in attempts:
            node = books.node_of(got)
            since = None if node is None else books.out_of_service(node, got.server, got.first)
            if since is not None and got.first - since > grace:
                what = (
                    f"node {node} sent it to {got.server} {got.first - since:.3f} s after it was told "
                    f"that this one drains or is gone ({rules.drain_grace_s:g} s allowed)"
                )
                finding.add(books, got.t, (got.tier, got.id), what)
    return finding


# Rule 4


def cold_servers_spared(books: Evidence) -> Finding:
    """No server that has just started is sent more than its budget, by all nodes together."""
    finding = Finding()
    rules = books.scenario.rules
    for up in books.ups:
        if not up.cold:
            continue
        warm = up.t + up.cold_for
        ends = min((t for t in books.downs.get(up.server, ()) if t > up.t), default=books.end)
        attempts = between(books.reached.get(up.server, []), up.t, min(warm, ends))
        finding.checked += bool(attempts)
        for n, got in enumerate(attempts):
            window = [g for g in attempts[: n + 1] if g.t > got.t - rules.overload_for_s]
            sent = sum(g.work for g in window)
            share = min(1.0, up.cold_from + (1.0 - up.cold_from) * (got.t - up.t) / up.cold_for)
            budget = rules.overload_factor * up.capacity * share * rules.overload_for_s
            if sent <= COLD_SLACK * budget:
                continue
            informed = sum(g.work for g in window if _informed(books, up, g))
            if informed < INFORMED_SHARE * sent:
                continue  # pushed over by nodes that could not know: nobody's break
            nodes = len({books.node_of(g) for g in window})
            what = (
                f"{up.server}, {got.t - up.t:.2f} s after its start, was sent {sent:.2f} core-seconds "
                f"of work within {rules.overload_for_s:g} s by {nodes} nodes; "
                f"{budget:.2f} is what it may get"
            )
            finding.add(books, got.t, (got.tier, got.id), what)
            break  # one break a start: from here it may have fallen
    return finding


def _informed(books: Evidence, up: Up, got: Got) -> bool:
    """Whether the node that sent it had been told of this start."""
    node = books.node_of(got)
    return node is not None and any(
        fact.t <= got.first and fact.since >= up.t - STARTED_S
        for fact in books.told.get((node, up.server), ())
    )


RULES = {
    "no_request_lost": no_request_lost,
    "no_effect_twice": no_effect_twice,
    "drains_kept": drains_kept,
    "cold_servers_spared": cold_servers_spared,
}
