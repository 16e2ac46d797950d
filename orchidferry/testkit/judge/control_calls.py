"""Rules on single calls of operators at controllers: what an order is told, now and when it is sent again,
and how an isolated controller answers. Pure.
"""

from __future__ import annotations

import bisect
from collections import Counter
from typing import Any

from orchidferry.testkit.judge.books import Books, Finding
from orchidferry.testkit.judge.touch import without_majority
from orchidferry.testkit.mesh.configuration import content
from orchidferry.testkit.mesh.facts import ControlCall

CONTACT_S = 2.0  # without a majority: a controller that lost it so long ago knows that it has
STARTED_S = 2.0  # from a process's start until it is held to answer
SILENT = ("timeout", "silent")
UNAVAILABLE = 503
UNCLEAR = (408, 429)  # of the 4xx, those that refuse nothing


def _acknowledged(books: Books) -> dict[str, float]:
    """When each content was first acknowledged, whether the operator heard it or not."""
    found: dict[str, float] = {}
    for call in books.control_calls:
        if call.revision and 200 <= call.status < 300:
            found[call.content] = min(call.until, found.get(call.content, call.until))
    return found


def resent(books: Books) -> Finding:
    """An order that was taken, as an answer or a reading has told, is never refused when it is sent again."""
    finding = Finding()
    taken = _acknowledged(books)
    for read in books.reads:
        if read.config is not None:
            what = content(read.config)
            taken[what] = min(read.t, taken.get(what, read.t))
    for call in books.control_calls:
        if not call.revision or not taken.get(call.content, call.t) < call.t:
            continue
        finding.checked += 1
        if 400 <= call.status < 500 and call.status not in UNCLEAR:
            ago = call.t - taken[call.content]
            what = f"version {call.revision}, taken {ago:.1f} s before, sent again to {call.machine}"
            books.broke(finding, call.t, "", f"{what}: {call.status}", _story(books, call))
    return finding


def one_answer(books: Books) -> Finding:
    """One number and one base have one content: of two, one at most is ever confirmed, whether the operator
    heard it or not; and what was refused for good is not confirmed or read later.
    """
    finding = Finding()
    bases = {content(put.config): put.base for put in books.puts}
    by_number: dict[int, str] = {}
    by_base: dict[int, str] = {}
    refused: dict[str, ControlCall] = {}
    for call in sorted(books.control_calls, key=lambda call: call.until):
        if not call.revision:
            continue
        if 400 <= call.status < 500 and call.status not in UNCLEAR:
            refused.setdefault(call.content, call)
        if not 200 <= call.status < 300:
            continue
        finding.checked += 1
        what = f"version {call.revision} was confirmed by {call.machine}"
        if by_number.setdefault(call.revision, call.content) != call.content:
            books.broke(finding, call.t, "", f"{what} with another content", _story(books, call))
        base = bases.get(call.content)
        if base is not None and by_base.setdefault(base, call.content) != call.content:
            books.broke(finding, call.t, "", f"{what} on {base}, as another one was", _story(books, call))
        if (no := refused.get(call.content)) is not None and no.until < call.t:
            books.broke(finding, call.t, "", f"{what}, after {no.machine} refused it", _story(books, call))
    for read in books.reads:
        no = refused.get(content(read.config)) if read.config is not None else None
        if no is not None:
            finding.checked += 1
            what = f"version {no.revision} was read, though {no.machine} refused it"
            books.broke(finding, read.t, "", what, _story(books, no))
    return finding


def _story(books: Books, call: ControlCall) -> list[str]:
    """All calls with what this one carried, in order."""
    same = [one for one in books.control_calls if one.content == call.content]
    return [
        f"{books.at(one.t):9.3f} s  {one.operator} to {one.machine}: {one.status or one.how}"
        f" after {one.until - one.t:.3f} s{', lost on its way' if one.lost else ''}"
        for one in same
    ]


def isolated_calls(books: Books) -> list[ControlCall]:
    """Calls at controllers that ran and could be reached, and had had no path to a majority for long."""
    found = []
    spans = without_majority(books.processes, books.harms, books.record.services)
    for call in books.control_calls:
        alone = any(
            low + CONTACT_S <= call.t and call.until <= high for low, high in spans.get(call.machine, ())
        )
        started = any(
            fact.machine == call.machine and fact.what != "ended" and call.t - STARTED_S < fact.t < call.until
            for fact in books.processes
        )
        if alone and not started and not call.lost:
            found.append(call)
    return found


def isolated(books: Books) -> Finding:
    """A controller out of contact with a majority says so, and when to come back; it confirms nothing new."""
    finding = Finding()
    taken = _acknowledged(books)
    for call in isolated_calls(books):
        finding.checked += 1
        what = f"version {call.revision}" if call.revision else "a reading"
        took = call.until - call.t
        if call.how in SILENT:
            books.broke(finding, call.t, "", f"{what} at {call.machine}, alone: no answer in {took:.1f} s")
        elif call.revision and 200 <= call.status < 300 and taken[call.content] == call.until:
            alone = f"{what} was acknowledged by {call.machine}, alone"
            books.broke(finding, call.t, "", alone, _story(books, call))
        elif call.status == UNAVAILABLE and not call.retry_after:
            books.broke(finding, call.t, "", f"{what} at {call.machine}, alone: 503 without Retry-After")
    return finding


def orders_between(books: Books) -> list[int]:
    """For each order that was sent again after it was confirmed: how many others were confirmed between."""
    taken = _acknowledged(books)
    times = sorted(taken.values())
    found = []
    for call in books.control_calls:
        if call.revision and (first := taken.get(call.content, call.t)) < call.t:
            found.append(bisect.bisect_left(times, call.t) - bisect.bisect_right(times, first))
    return found


def _answered_as(call: ControlCall) -> str:
    """How a call ended, in a word or two."""
    return " ".join(filter(None, (str(call.status), call.error))) if call.status else call.how


def figures(books: Books) -> dict[str, Any]:
    """Calls of operators, by what was seen of them."""
    alone = isolated_calls(books)
    answered = [call.until - call.t for call in alone if call.how == "answer"]
    between = orders_between(books)
    return {
        "calls": len(books.control_calls),
        "answers_lost": sum(call.lost for call in books.control_calls),
        "sent_again": len(between),
        "sent_again_after_most": max(between, default=0),
        "alone": len(alone),
        "alone_silent": sum(call.how in SILENT for call in alone),
        "alone_confirmed": sum(200 <= call.status < 300 for call in alone),
        "alone_slowest_ms": round(max(answered, default=0.0) * 1000.0, 1),
        "alone_answers": dict(sorted(Counter(map(_answered_as, alone)).items())),
    }
