"""Rules of the mesh on what it is told: leaves, planned ends, configurations. Pure."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable

from orchidferry.testkit.judge.books import Books, Finding
from orchidferry.testkit.judge.touch import ALL
from orchidferry.testkit.mesh.configuration import routes
from orchidferry.testkit.mesh.facts import (
    Answered,
    Cut,
    Put,
    Sent,
)

BROKEN_OFF = ("closed", "reset", "broken")
ROUTE_MS = 3.0  # more for an acknowledgement, for each route


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
        late = acked + bound
        gone = books.server_ends.get(server, math.inf)
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
    grace = books.bounds.grace_s
    slack = books.bounds.loss_slack_ms / 1000.0
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
    terms = [
        (fact.t, fact.t + books.bounds.grace_s + 1.0, fact.machine)
        for fact in books.processes
        if fact.what == "term"
    ]
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
        if last is None or last.config is None:
            books.broke(finding, when, "", "read back at the end, it did not come")
        elif (number := last.config.get("revision_number", 0)) < newest.revision:
            books.broke(
                finding, when, "", f"read back {number}, older than the acknowledged {newest.revision}"
            )
        elif not any(put.config == last.config for put in books.puts):
            books.broke(finding, when, "", f"read back {number}, which is not what was sent under it")
    return finding


def _read(books: Books, finding: Finding) -> None:
    """Whatever is read, at any time, is as new as all that was acknowledged or read before it was asked."""
    refused = [put for put in books.puts if not put.valid or (put.status == 412 and put.tries.count(";") < 2)]
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
        if any(put.config == read.config for put in refused):
            books.broke(finding, read.t, "", f"read {number}, which was refused")
        elif read.t < books.record.end and not any(put.config == read.config for put in books.puts):
            books.broke(finding, read.t, "", f"read {number}, which is not what was sent under it")
        seen.append((read.t, number))


def handled(books: Books, id: str) -> tuple[float, Callable[[Put, Sent], bool], str] | None:
    """How a request was handled: when, by what configurations that is allowed, in words."""
    runs = [run for run in books.by_id.get(id, ()) if run.began is not None]
    if runs:
        services = {run.arrived.service for run in runs}

        def ran(put: Put, sent: Sent) -> bool:
            rule = books.rule(put, sent)
            return rule is not None and services <= rule.services

        return runs[0].began or 0.0, ran, f"run by {', '.join(sorted(services))}"
    end = books.ends.get(id)
    if isinstance(end, Answered) and end.status == 404:
        return end.t, lambda put, sent: books.rule(put, sent) is None, "refused with 404"
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
    proper = [put for put in valid if put.status != 412]
    wrong = [put for put in books.puts if not put.valid or put.status == 412]
    found = []
    for id, sent in books.sent.items():
        how = handled(books, id)
        if how is None:
            continue
        t, allows, words = how
        oldest = next((put.revision for put in proper if allows(put, sent)), None)
        newest = next((put.revision for put in reversed(proper) if allows(put, sent)), None)
        if newest is not None:
            found.append((sent, words, newest))
        current = books.may_be_in_force(sent.t, books.ended(id))
        if current and books.in_touch(sent.t, t, sent.machine):
            finding.checked += 1
            if not any(allows(put, sent) for put in current):
                old = [put.revision for put in current]
                books.broke(finding, t, id, f"{words} at {sent.machine}, as none of versions {old} has it")
        if oldest is None and any(allows(put, sent) for put in wrong):
            books.broke(finding, t, id, f"{words}, as only a configuration that was refused has it")
        if oldest is not None and books.by_id.get(id) and oldest > valid[0].revision:
            effects[sent.machine].append((t, oldest))
    for machine, seen in effects.items():
        seen.sort()
        for sent, words, newest in found:
            if sent.machine != machine:
                continue
            life = max((t for t in lives[machine] if t <= sent.t), default=-math.inf)
            known = [version for t, version in seen if life <= t < sent.t - slack]
            if known and newest < max(known):
                books.broke(finding, sent.t, sent.id, f"{words}, though {machine} was at {max(known)} before")


def _taken_versions(books: Books, finding: Finding) -> None:
    """No invalid version is acknowledged, nor two on top of the same."""
    on_base: dict[int, Put] = {}
    by_number: dict[int, Put] = {}
    for put in books.puts:
        finding.checked += 1
        if put.acked is None:
            continue
        if not put.valid:
            books.broke(finding, put.acked, "", f"version {put.revision} is invalid, and was acknowledged")
        elif (other := on_base.setdefault(put.base, put)).config != put.config:
            both = f"{other.revision} and {put.revision}"
            books.broke(finding, put.acked, "", f"{both} were both acknowledged on top of {put.base}")
        elif by_number.setdefault(put.revision, put).config != put.config:
            what = f"two contents were acknowledged as version {put.revision}"
            books.broke(finding, put.acked, "", what)


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
