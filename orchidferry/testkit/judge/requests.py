"""Rules of the mesh on requests and answers. Pure."""

from __future__ import annotations

import itertools
from collections import defaultdict

from orchidferry.testkit.judge.books import Books, Finding, Run
from orchidferry.testkit.mesh.facts import (
    Answered,
    Sent,
)

REFUSALS = (408, 421, 429, 503)
MAX_OWN = 5  # refusals of the mesh's own that are borne, and one in 500


def mixed(books: Books) -> Finding:
    """A success is a server's whole answer to that very request; nothing comes that nobody asked for."""
    finding = Finding()
    firsts = first_runs(books)
    for id, end in books.ends.items():
        if not isinstance(end, Answered):
            continue
        finding.checked += 1
        sent = books.sent[id]
        run = books.seals.get(end.seal)
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
        got = run.arrived
        sent = books.sent.get(run.arrived.id)
        if sent is None:
            books.broke(finding, got.t, got.id, f"server {got.server} ran an id that nobody sent")
        elif (got.method, got.path, got.digest, got.key) != (sent.method, sent.path, sent.digest, sent.key):
            books.broke(
                finding, got.t, got.id, f"server {got.server} ran it changed: {got.method} {got.path}"
            )
        elif got.calling != books.record.services[sent.machine]:
            books.broke(
                finding,
                got.t,
                got.id,
                f"Calling-Service {got.calling or 'missing'} from "
                f"{sent.machine}, where {books.record.services[sent.machine]} is",
            )
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
    """What was refused has not run and never will, and whoever refused it knew: each server that read it said
    that it has not run it.
    """
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
            if run.turned is None and run.arrived.t <= end.t:
                what = f"answered {end.status}, though {run.arrived.server} had read it"
                books.broke(finding, end.t, id, f"{what} and did not turn it away")
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
        allowed = versions and all(books.rule(put, sent) for put in versions)
        if allowed and books.in_touch(sent.t, end.t, sent.machine):
            found.append((end, id))
    if len(found) > MAX_OWN + finding.checked / 500.0:
        for end, id in found:
            books.broke(finding, end.t, id, f"ended with {end.status}, one of {len(found)}")
    return finding


def route(books: Books) -> Finding:
    """A service runs what some configuration lets go to it, at the server that was meant."""
    finding = Finding()
    for run in books.runs_that_began():
        finding.checked += 1
        got = run.arrived
        sent = books.sent.get(run.arrived.id)
        if got.target and got.target != got.server:
            books.broke(finding, got.t, got.id, f"server {got.server} ran what was meant for {got.target}")
        if sent is None:
            continue  # rule `unasked`
        rules = (books.rule(put, sent) for put in books.puts)
        if not any(rule is not None and got.service in rule.services for rule in rules):
            books.broke(finding, got.t, got.id, f"no configuration ever let it go to {got.service}")
    return finding
