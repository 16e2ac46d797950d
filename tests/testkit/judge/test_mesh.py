"""The judge of the mesh: a handwritten record without violations, and single changes that violate rules."""

from __future__ import annotations

import io
from collections.abc import Callable
from dataclasses import replace

import pytest
from rich.console import Console

from orchidferry.testkit.judge.mesh.verdict import RULES, Verdict, judge
from orchidferry.testkit.judge.mesh.verdict_json import as_json
from orchidferry.testkit.mesh import seeds
from orchidferry.testkit.mesh.configuration import (
    Config,
    build_configuration,
    content_digest,
    host_name,
    make_invalid,
    path_prefix,
)
from orchidferry.testkit.mesh.day import DAYS, KINDS, service_names
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
from orchidferry.testkit.mesh.session import CompletedRun

DAY = DAYS["mesh-calm"]
SEED = 7
A, B = service_names(DAY, SEED)
OLD = build_configuration(DAY, SEED, 3, False)
NEW = build_configuration(DAY, SEED, 7, True)
LATER = OLD | {"revision_number": 12}
BY_NAME = {kind.name: kind for kind in KINDS}
SERVERS = {"i-1": ("m1", A), "i-2": ("m2", A), "i-3": ("m3", B)}


class RecordBuilder:
    """Builds the record of a run, request by request."""

    def __init__(self) -> None:
        self.facts: list[Fact] = [Process(0.0, machine, "start") for machine in ("core", "m1", "m2", "m3")]
        self.facts.append(Put(1.0, "o", 3, 0, True, OLD, 1.1, 1.1, 200))
        self.n = 0

    def send(self, id: str, t: float, kind: str, machine: str = "m1", key: str = "", parent: int = 0) -> None:
        request_kind = BY_NAME[kind]
        method = "GET" if request_kind.repeatable else "POST"
        path = f"{path_prefix(SEED, kind)}x"
        ends = t + request_kind.deadline_ms / 1000.0
        self.facts.append(
            Sent(
                t,
                id,
                kind,
                machine,
                host_name(SEED),
                method,
                path,
                "b",
                key,
                request_kind.repeatable,
                ends,
                id,
                t,
                parent,
            )
        )

    def execute(
        self, id: str, t: float, server: str = "i-1", work: float | None = 0.1, seal: str = ""
    ) -> int:
        """Record that a request reaches a server and is executed for `work` seconds (None: without end)."""
        self.n += 1
        sent = next(fact for fact in self.facts if isinstance(fact, Sent) and fact.id == id)
        machine, service = SERVERS[server]
        calling = SERVERS[{"m1": "i-1", "m2": "i-2", "m3": "i-3"}[sent.machine]][1]
        self.facts += [
            Arrived(
                t,
                self.n,
                id,
                server,
                service,
                machine,
                sent.method,
                sent.path,
                "b",
                calling,
                sent.key,
                server,
            ),
            Began(t, self.n),
        ]
        if work is not None:
            self.facts.append(Done(t + work, self.n, 200, seal or f"s{self.n}", "d"))
        return self.n

    def answer(self, id: str, t: float, status: int = 200, seal: str = "", digest: str = "d") -> None:
        self.facts.append(Answered(t, id, status, seal, digest, id))

    def serve(
        self, id: str, t: float, kind: str, server: str = "i-1", machine: str = "m1", key: str = ""
    ) -> None:
        self.send(id, t, kind, machine, key)
        n = self.execute(id, t + 0.01, server)
        self.answer(id, t + 0.15, seal=f"s{n}")


def clean() -> RecordBuilder:
    """A record without violations in which each rule has something to check."""
    run = RecordBuilder()
    run.facts += [Process(9.0, "m3", "killed"), Process(9.5, "m3", "start")]
    run.serve("a", 10.0, "feed-read")
    run.serve("b", 10.5, "stream-read", "i-3", "m3")
    run.serve("k1", 11.0, "episode-publish", "i-2", "m2", "key")
    run.send("k2", 11.5, "episode-publish", "m1", "key")  # the same key, sent from another machine
    run.answer("k2", 11.6, seal="s3")
    run.serve("c", 12.0, "member-charge")
    run.send("r", 12.1, "member-charge", "m2")  # refused, and never executed
    run.answer("r", 12.2, 503)
    run.facts.append(Put(20.0, "o", 7, 3, True, NEW, 20.2, 20.2, 200))
    run.facts.append(Put(20.3, "p", 8, 3, True, OLD | {"revision_number": 8}, 20.4, None, 412))
    run.facts.append(Put(21.0, "p", 11, 7, False, make_invalid(NEW, 11), 21.1, None, 400))
    run.serve("d", 25.0, "stream-read", "i-1", "m2")  # the new version routes it to another service
    run.facts.append(Notice(30.0, "i-2", "m2", "draining", 9, 30.1, "m2"))
    run.serve("e", 32.2, "feed-read")  # goes to another server of the service, after the drain's bound
    run.facts += [ServerEnd(32.7, "i-2"), Process(33.0, "m2", "term")]
    run.send("f", 32.95, "feed-read", "m2")
    run.execute("f", 32.96)
    run.answer("f", 33.2, seal=f"s{run.n}")
    run.facts.append(Process(34.0, "m2", "ended"))
    run.facts.append(Event(16.0, 16.5, "after-ack-kill", "core"))
    run.facts.append(Read(40.0, NEW))
    # Single calls of operators, and a controller that is cut off from the two others for 5 s.
    run.facts += [Process(0.0, name, "start") for name in ("core2", "core3")]
    run.facts.append(LinkFault(34.5, 39.5, "cut", ISOLATING_LINKS))
    run.facts.append(control_call(20.0, 20.2, "core", 200, NEW))
    run.facts.append(control_call(35.0, 35.1, "core2", 200, NEW))
    run.facts.append(control_call(38.0, 38.1, "core3", 503))
    return run


ISOLATING_LINKS = [("core3", "core"), ("core", "core3"), ("core3", "core2"), ("core2", "core3")]


def control_call(
    t: float,
    until: float,
    machine: str,
    status: int,
    config: Config | None = None,
    how: str = "answer",
    lost: bool = False,
    retry_after: str = "1",
) -> ControlCall:
    """An operator's call: a change, or a read if there is no configuration."""
    revision = 0 if config is None else config["revision_number"]
    sent = "" if config is None else content_digest(config)
    retry_after = retry_after if status == 503 else ""
    return ControlCall(t, until, "o", machine, revision, sent, status, how, lost, "", retry_after)


def add_calls(*calls: ControlCall) -> Change:
    return lambda run: run.facts.extend(calls)


def record(run: RecordBuilder) -> Record:
    services = dict(SERVERS.values())
    return Record("mesh-calm", SEED, DAY.bounds, BY_NAME, services, ("core",), run.facts, 9.0, 40.0)


Change = Callable[[RecordBuilder], object]


def change_last(kind: type[Fact], request_id: str, /, **to: object) -> Change:
    """Change fields of the last fact of a kind that is about a request, or about none if the id is empty."""

    def change(run: RecordBuilder) -> None:
        at = max(
            n
            for n, f in enumerate(run.facts)
            if type(f) is kind and getattr(f, "id", request_id) == request_id
        )
        run.facts[at] = replace(run.facts[at], **to)  # type: ignore[arg-type]

    return change


def closed_during_shutdown(run: RecordBuilder) -> None:
    run.send("z", 32.8, "feed-read", "m2")
    run.execute("z", 32.9, work=None)
    run.facts.append(NoAnswer(33.5, "z", "closed"))


def status_502_during_shutdown(run: RecordBuilder) -> None:
    closed_during_shutdown(run)
    run.facts.pop()
    run.answer("z", 33.5, 502)


def broken_without_planned_work(run: RecordBuilder) -> None:
    """A connection breaks while no planned work is under way."""
    run.send("z", 27.0, "feed-read", "m1")
    run.execute("z", 27.01)
    run.facts.append(NoAnswer(27.12, "z", "broken"))


def answered_404(run: RecordBuilder) -> None:
    run.send("z", 26.0, "feed-read")
    run.answer("z", 26.1, 404)


def handled_by_old_route(id: str, t: float) -> Change:
    return lambda run: run.serve(id, t, "stream-read", "i-3", "m2")


def arrival_after_drain(run: RecordBuilder) -> None:
    run.send("z", 32.0, "feed-read")
    run.facts.append(
        Arrived(32.3, 90, "z", "i-2", A, "m2", "GET", f"{path_prefix(SEED, 'feed-read')}x", "b", A, "", "")
    )
    run.facts.append(Rejected(32.3, 90, 503))


def read_without_rejection(run: RecordBuilder) -> None:
    path = f"{path_prefix(SEED, 'member-charge')}x"
    run.facts.append(Arrived(12.15, 90, "r", "i-2", A, "m2", "POST", path, "b", A, "", "i-2"))


def many_rejections(run: RecordBuilder) -> None:
    for n in range(6):
        run.send(f"z{n}", 15.0, "feed-read")
        run.answer(f"z{n}", 15.1, 404 if n % 2 else 400)


def late_first_acknowledgement(run: RecordBuilder) -> None:
    first = next(fact for fact in run.facts if isinstance(fact, Put))
    first.acked = first.until = 8.2  # the controllers are settled from 3 s on


def retries_over_budget(run: RecordBuilder) -> None:
    run.send("z", 15.0, "feed-read")
    for _ in range(63):
        run.execute("z", 15.1)


def calls_of_repeated_execution(run: RecordBuilder) -> None:
    """Calls made by a repeated execution count as retries at the services that receive them."""
    run.send("z", 15.0, "feed-read")
    run.execute("z", 15.1)
    parent = run.execute("z", 15.2)
    for n in range(80):
        run.send(f"z{n}", 15.3, "tally-read", "m1", parent=parent)
        run.execute(f"z{n}", 15.4, "i-3")


def old_version_after_restart(run: RecordBuilder) -> None:
    """A restarted node handles a request by the first version, before any rule with a time bound applies."""
    run.facts += [Process(25.5, "m2", "killed"), Process(25.6, "m2", "start")]
    handled_by_old_route("z", 25.8)(run)


def nothing_served_after_final_fault(run: RecordBuilder) -> None:
    late = [fact.id for fact in run.facts if isinstance(fact, Sent) and fact.t > 31.5]
    run.facts = [
        NoAnswer(f.t, f.id, "closed") if isinstance(f, Answered) and f.id in late else f for f in run.facts
    ]


VIOLATIONS: list[tuple[str, str, Change]] = [
    ("mixed", "a body cut short", change_last(Answered, "a", digest="half")),
    ("mixed", "a seal that no server created", change_last(Answered, "a", seal="made-up")),
    ("mixed", "another request's answer", change_last(Answered, "a", seal="s2")),
    ("mixed", "another request's id", change_last(Answered, "a", attempt="b")),
    ("mixed", "success for a failed execution", change_last(Done, "", status=500)),
    ("mixed", "a repeated key with another answer", change_last(Answered, "k2", seal="s1")),
    ("mixed", "stray bytes", lambda run: run.facts.append(Extra(15.0, "a"))),
    ("unasked", "an id that nobody sent", change_last(Arrived, "a", id="other")),
    ("unasked", "a changed path", change_last(Arrived, "a", path="/")),
    ("unasked", "a wrong Calling-Service", change_last(Arrived, "b", calling=A)),
    ("twice", "an attempt executed twice", lambda run: run.execute("c", 12.3, "i-2")),
    ("twice", "a key executed twice", lambda run: run.execute("k2", 11.55)),
    ("refused", "executed before the refusal", lambda run: run.execute("r", 12.15)),
    ("refused", "executed after the refusal", lambda run: run.execute("r", 12.4)),
    ("refused", "read by a server and not rejected", read_without_rejection),
    ("denied", "six rejections, one more than allowed", many_rejections),
    ("route", "another service", change_last(Arrived, "a", service=B)),
    ("route", "another server than the target", change_last(Arrived, "a", target="i-9")),
    ("drain", "a request after the bound", arrival_after_drain),
    ("lost", "closed after a SIGTERM", closed_during_shutdown),
    ("lost", "502 after a SIGTERM", status_502_during_shutdown),
    ("cut", "an answer cut off without planned work", broken_without_planned_work),
    ("cut", "closed after a SIGTERM", closed_during_shutdown),
    ("config", "the old service after the bound", handled_by_old_route("z", 22.5)),
    ("config", "reversion to the old version", handled_by_old_route("z", 25.5)),
    ("config", "404 for an existing route", answered_404),
    ("config", "an invalid version was acknowledged", change_last(Put, "", acked=21.1, status=200)),
    (
        "config",
        "two versions on one base",
        lambda run: run.facts.append(
            Put(22.0, "q", 9, 3, True, OLD | {"revision_number": 9}, 22.1, 22.1, 200)
        ),
    ),
    ("config", "final read too old", change_last(Read, "", config=OLD)),
    ("config", "final read without an answer", change_last(Read, "", config=None)),
    ("config", "final read of a changed content", change_last(Read, "", config=NEW | {"trunk_groups": []})),
    (
        "config",
        "two contents with one revision",
        lambda run: run.facts.append(
            Put(22.0, "q", 7, 5, True, OLD | {"revision_number": 7}, 22.1, 22.1, 200)
        ),
    ),
    (
        "config",
        "two contents with one revision on one base",
        lambda run: run.facts.append(
            Put(22.0, "q", 7, 3, True, OLD | {"revision_number": 7}, 22.1, 22.1, 200)
        ),
    ),
    (
        "config",
        "read of the refused one of two contents with one revision",
        lambda run: run.facts.extend(
            (
                Put(20.0, "q", 7, 3, True, OLD | {"revision_number": 7}, 20.1, None, 412),
                Read(22.0, OLD | {"revision_number": 7}, 21.0),
            )
        ),
    ),
    (
        "config",
        "read of a content that no operator sent",
        lambda run: run.facts.append(Read(22.0, NEW | {"trunk_groups": []}, 21.0)),
    ),
    ("resent", "an acknowledged change is refused", add_calls(control_call(36.0, 36.1, "core2", 412, NEW))),
    (
        "resent",
        "a change whose acknowledgement was lost is refused",
        add_calls(
            control_call(26.0, 26.1, "core", 200, LATER, lost=True),
            control_call(27.1, 27.2, "core2", 412, LATER),
        ),
    ),
    (
        "resent",
        "a change that was read is refused",
        lambda run: run.facts.extend(
            (
                Put(26.0, "q", 12, 7, True, LATER, 32.0, None, 0),
                Read(28.0, LATER, 27.9),
                control_call(29.0, 29.1, "core", 422, LATER),
                Read(41.0, LATER),
            )
        ),
    ),
    ("isolated", "no answer", add_calls(control_call(37.0, 38.0, "core3", 0, how="timeout"))),
    ("isolated", "no connection", add_calls(control_call(37.0, 38.0, "core3", 0, NEW, how="silent"))),
    ("isolated", "an acknowledged change", add_calls(control_call(37.0, 37.1, "core3", 200, LATER))),
    (
        "isolated",
        "503 without Retry-After",
        add_calls(control_call(37.0, 37.1, "core3", 503, retry_after="")),
    ),
    (
        "one_answer",
        "two contents with one revision, one acknowledgement lost",
        add_calls(control_call(26.0, 26.1, "core", 200, OLD | {"revision_number": 7}, lost=True)),
    ),
    (
        "one_answer",
        "two versions on one base, one acknowledgement lost",
        lambda run: run.facts.extend(
            (
                Put(20.0, "q", 12, 3, True, LATER, 26.2, None, 0),
                control_call(26.0, 26.1, "core", 200, LATER, lost=True),
            )
        ),
    ),
    (
        "one_answer",
        "refused, then acknowledged",
        add_calls(
            control_call(26.0, 26.1, "core", 412, LATER), control_call(27.0, 27.1, "core2", 200, LATER)
        ),
    ),
    (
        "one_answer",
        "refused, and read",
        lambda run: run.facts.extend(
            (
                Put(26.0, "q", 12, 7, True, LATER, 27.0, None, 412),
                control_call(26.0, 26.1, "core", 412, LATER),
                Read(28.0, LATER, 27.9),
            )
        ),
    ),
    ("fresh", "an old version after a restart", old_version_after_restart),
    (
        "acks",
        "a version acknowledged too late",
        lambda run: run.facts.append(
            Put(24.0, "q", 12, 7, True, NEW | {"revision_number": 12}, 29.9, 29.9, 200)
        ),
    ),
    ("acks", "the first version acknowledged too late", late_first_acknowledgement),
    ("acks", "a drain notice without an acknowledgement", change_last(Notice, "", acked=None)),
    (
        "config",
        "read of an older version than was read before",
        lambda run: run.facts.extend((Read(18.0, OLD | {"revision_number": 6}, 17.9), Read(19.0, OLD, 18.5))),
    ),
    (
        "config",
        "read of an older version than was acknowledged",
        lambda run: run.facts.append(Read(22.0, OLD, 20.3)),
    ),
    (
        "config",
        "read of a version refused because of a concurrent one",
        lambda run: run.facts.append(Read(22.0, OLD | {"revision_number": 8}, 21.0)),
    ),
    ("recover", "nothing served after the final fault", nothing_served_after_final_fault),
    ("budget", "more retries than the shared budget", retries_over_budget),
    ("budget", "calls of a repeated execution", calls_of_repeated_execution),
    ("stays_up", "an unexpected exit", lambda run: run.facts.append(Process(15.0, "m1", "exit"))),
]


def test_clean_run_violates_no_rule_and_exercises_each() -> None:
    verdict = judge(record(clean()))
    assert verdict.passed
    assert {name: finding.passed for name, finding in verdict.rules.items()} == dict.fromkeys(RULES, True)
    assert all(finding.checked for finding in verdict.rules.values())
    found = as_json(verdict)
    assert found["requests"] == {"asked": 9, "tries": 9}
    assert found["classes"]["member-charge"]["refused"] == 1
    assert found["rules"]["drain"] == {"held": True, "checked": 1, "breaks": 0, "broken": []}


@pytest.mark.parametrize(
    ("rule", "description", "change"), VIOLATIONS, ids=[f"{rule}: {text}" for rule, text, _ in VIOLATIONS]
)
def test_changed_record_violates_rule(rule: str, description: str, change: Change) -> None:
    run = clean()
    change(run)
    verdict = judge(record(run))
    assert rule in verdict.broken_rules
    assert not verdict.passed
    assert as_json(verdict)["rules"][rule]["broken"][0]["what"]


def test_execution_dropped_before_a_shutdown_is_not_lost_by_it() -> None:
    """Guards against counting an attempt that had already timed out as cut off by the shutdown."""
    run = clean()
    run.send("z", 32.2, "feed-read", "m2")
    n = run.execute("z", 32.3, work=None)
    run.facts.append(Dropped(32.9, n))  # the SIGTERM comes at 33.0
    run.answer("z", 33.5, 502)
    assert "lost" not in judge(record(run)).broken_rules


ALLOWED_CALLS: list[tuple[str, list[Fact]]] = [
    (
        "the accepted one of two contents with one revision is read",
        [Put(20.0, "q", 7, 3, True, OLD | {"revision_number": 7}, 20.1, None, 412), Read(22.0, NEW, 21.0)],
    ),
    (
        "a change sent twice at once: one call is refused before the other is acknowledged",
        [control_call(26.0, 26.3, "core", 200, LATER), control_call(26.1, 26.2, "core2", 412, LATER)],
    ),
    (
        "a resent change without a definite answer",
        [
            control_call(36.0, 37.0, "core2", 0, NEW, how="timeout"),
            control_call(36.1, 36.2, "core", 503, NEW),
            control_call(36.3, 36.4, "core", 429, NEW),
        ],
    ),
    (
        "an isolated controller acknowledges a change that was acknowledged before",
        [control_call(37.0, 37.1, "core3", 200, NEW)],
    ),
    ("no answer, isolated for less than two seconds", [control_call(36.0, 37.0, "core3", 0, how="timeout")]),
    ("no answer, isolation ends during the call", [control_call(39.0, 40.0, "core3", 0, how="timeout")]),
    ("no answer, as the test kit dropped it", [control_call(37.0, 38.0, "core3", 503, lost=True)]),
    (
        "no answer, the process had just been paused",
        [Process(36.9, "core3", "paused"), control_call(37.0, 38.0, "core3", 0, how="timeout")],
    ),
    (
        "no answer, the process had just started",
        [
            Process(35.0, "core3", "killed"),
            Process(36.5, "core3", "start"),
            control_call(37.0, 38.0, "core3", 0, how="timeout"),
        ],
    ),
    ("no answer, connected to a majority", [control_call(37.0, 38.0, "core2", 0, how="timeout")]),
    (
        "no answer, cut off from a sidecar machine only",
        [
            LinkFault(25.0, 32.0, "cut", [("core2", "m1")]),
            control_call(30.0, 31.0, "core2", 0, how="timeout"),
        ],
    ),
]


@pytest.mark.parametrize(
    ("description", "facts"), ALLOWED_CALLS, ids=[description for description, _ in ALLOWED_CALLS]
)
def test_calls_violate_no_rule(description: str, facts: list[Fact]) -> None:
    run = clean()
    run.facts += facts
    verdict = judge(record(run))
    assert not verdict.broken_rules


def test_history_of_a_resent_change() -> None:
    run = clean()
    add_calls(control_call(36.0, 36.1, "core2", 412, NEW))(run)
    assert judge(record(run)).rules["resent"].violations[0].history == [
        "   11.000 s  o to core: 200 after 0.200 s",
        "   26.000 s  o to core2: 200 after 0.100 s",
        "   27.000 s  o to core2: 412 after 0.100 s",
    ]


CONTROLLERS = ("core", "core2", "core3")


def with_controllers(*facts: Fact) -> list[Fact]:
    return [*(Process(0.0, name, "start") for name in CONTROLLERS[1:]), *facts]


LINK_FAULTS: list[tuple[str, bool, list[Fact]]] = [
    ("a link to a controller is cut", True, with_controllers(LinkFault(21.0, 22.4, "cut", [("m2", "core")]))),
    (
        "a link from a controller is cut",
        True,
        with_controllers(LinkFault(21.0, 22.4, "cut", [("core", "m2")])),
    ),
    ("a slow link to another machine", True, with_controllers(LinkFault(21.0, 22.4, "slow", [("m2", "m1")]))),
    ("a reset of a link", True, with_controllers(LinkFault(22.0, 22.0, "reset", [("m2", "core")]))),
    (
        "a cut that ended too long ago",
        False,
        with_controllers(LinkFault(18.0, 19.0, "cut", [("m2", "core")])),
    ),
    (
        "a cut link of another machine",
        False,
        with_controllers(LinkFault(21.0, 22.4, "cut", [("m1", "core")])),
    ),
    (
        "a cut link to a sidecar machine",
        False,
        with_controllers(LinkFault(21.0, 22.4, "cut", [("m2", "m1")])),
    ),
    (
        "a controller cut off from all others for long",
        False,
        with_controllers(
            LinkFault(15.0, 24.0, "cut", [("core", name) for name in ("core2", "core3", "m1", "m2", "m3")])
        ),
    ),
    (
        "a controller cut off from all others just now",
        True,
        with_controllers(
            LinkFault(21.0, 24.0, "cut", [("core", name) for name in ("core2", "core3", "m1", "m2", "m3")])
        ),
    ),
    (
        "a slow link between controllers",
        True,
        with_controllers(LinkFault(15.0, 24.0, "slow", [("core", "core2")])),
    ),
    ("one controller has been down for long", False, with_controllers(Process(15.0, "core", "killed"))),
    (
        "two controllers have been down for long",
        True,
        with_controllers(Process(15.0, "core", "killed"), Process(15.0, "core2", "killed")),
    ),
    (
        "two controllers are down, one of them by an unexpected exit",
        False,
        with_controllers(Process(15.0, "core", "killed"), Process(15.0, "core2", "exit")),
    ),
    (
        "one controller was replaced long ago, and one is down",
        False,
        with_controllers(
            Process(10.0, "core", "killed"),
            Process(10.1, "core", "removed"),
            Process(10.5, "core4", "start"),
            Process(15.0, "core2", "killed"),
        ),
    ),
    (
        "one controller was removed without replacement, and one is down",
        True,
        with_controllers(
            Process(10.0, "core", "killed"),
            Process(10.1, "core", "removed"),
            Process(15.0, "core2", "killed"),
        ),
    ),
]


@pytest.mark.parametrize(
    ("description", "excused", "facts"), LINK_FAULTS, ids=[description for description, _, _ in LINK_FAULTS]
)
def test_disconnected_machines_have_no_time_bound(description: str, excused: bool, facts: list[Fact]) -> None:
    run = clean()
    handled_by_old_route("z", 22.5)(run)
    run.facts += facts
    assert judge(record(run)).rules["config"].passed is excused


def test_late_arrival_over_a_faulty_link_is_allowed() -> None:
    run = clean()
    arrival_after_drain(run)
    run.facts.append(LinkFault(31.0, 31.2, "cut", [("m1", "m2")]))
    assert judge(record(run)).rules["drain"].passed


def test_empty_run_does_not_pass() -> None:
    verdict = judge(record(RecordBuilder()))
    assert not verdict.rules["drain"].checked
    assert not verdict.passed  # nothing was served


def test_seeds_report_one_line_each_and_a_summary() -> None:
    def run_seed(seed: int) -> tuple[Verdict, CompletedRun]:
        run = clean()
        if seed == 2:
            run.execute("c", 12.3, "i-2")
        found = record(run)
        found.seed, found.stall_s = seed, float(seed == 3)
        return judge(found), CompletedRun(found)

    reported: list[int] = []
    console = Console(file=io.StringIO(), width=500)
    for last, status in ((1, 0), (2, 1), (3, 1)):
        objects, exit_status = seeds.run(
            console, range(1, last + 1), run_seed, lambda one, _: reported.append(one.record.seed)
        )
        assert (len(objects), exit_status) == (last, status)
    assert reported == [2, 2] and isinstance(console.file, io.StringIO)
    lines = console.file.getvalue().splitlines()
    assert [line.split(";")[0] for line in lines if line.startswith("seed ")][-3:] == [
        "seed 1: held",
        "seed 2: BROKEN twice",
        "seed 3: void",
    ]
    assert "; isolated: 1 503, 100 ms at most; 1 changes resent, after up to 0 others; " in lines[0]
    assert "3 seeds: 1 BROKEN, 1 held, 1 void" in lines
    assert lines[-1] == "rules broken: twice in 1"
