"""The rule on nodes that were started anew: they serve by what was acknowledged before, or newer. Pure."""

from __future__ import annotations

import bisect
from collections import defaultdict

from orchidferry.testkit.judge.books import Books, Finding
from orchidferry.testkit.judge.orders import handled


def fresh(books: Books) -> Finding:
    """A node handles nothing by a version older than one that was acknowledged before its process started.

    No trouble excuses it: a node that can't know the newest version is not ready, and ends what it is sent
    with a refusal.
    """
    finding = Finding()
    starts: dict[str, list[float]] = defaultdict(list)
    for fact in books.processes:
        if fact.what == "start":
            starts[fact.machine].append(fact.t)
    floors = {start: _acknowledged_before(books, start) for times in starts.values() for start in times}
    for id, sent in books.sent.items():
        lives = starts.get(sent.machine, [])
        life = bisect.bisect_right(lives, sent.t)
        if not life or not (floor := floors[lives[life - 1]]):
            continue
        if (how := handled(books, id)) is None:
            continue
        finding.checked += 1
        t, allows, words = how
        versions = [
            put
            for put in books.puts
            if put.valid and put.status != 412 and put.revision >= floor and put.t <= books.ended(id)
        ]
        if not any(allows(put, sent) for put in versions):
            since = sent.t - lives[life - 1]
            at = f"at {sent.machine}, {since:.1f} s after its start"
            books.broke(finding, t, id, f"{words} {at}, as no version from {floor} on has it")
    return finding


def _acknowledged_before(books: Books, t: float) -> int:
    """The newest version that was acknowledged before; 0: none."""
    return max((put.revision for put in books.acked if put.acked is not None and put.acked < t), default=0)
