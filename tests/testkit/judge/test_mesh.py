"""The judge of the mesh: a small recorded run that is clean, and each rule broken in it by single events."""

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


class Scene:
    """Writes a run down, request by request."""

    def __init__(self) -> None:
        self.facts: list[Fact] = [Process(0.0, machine, "start") for machine in ("core", "m1", "m2", "m3")]
        self.facts.append(Put(1.0, "o", 3, 0, True, OLD, 1.1, 1.1, 200))
        self.n = 0

    def sent(self, id: str, t: float, kind: str, machine: str = "m1", key: str = "", parent: int = 0) -> None:
        what = BY_NAME[kind]
        method = "GET" if what.repeatable else "POST"
        path = f"{path_prefix(SEED, kind)}x"
        ends = t + what.deadline_ms / 1000.0
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
                what.repeatable,
                ends,
                id,
                t,
                parent,
            )
        )

    def run(self, id: str, t: float, server: str = "i-1", work: float | None = 0.1, seal: str = "") -> int:
        """It reaches a server; `work` None: it goes on and on."""
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

    def served(
        self, id: str, t: float, kind: str, server: str = "i-1", machine: str = "m1", key: str = ""
    ) -> None:
        self.sent(id, t, kind, machine, key)
        n = self.run(id, t + 0.01, server)
        self.answer(id, t + 0.15, seal=f"s{n}")


def clean() -> Scene:
    """A run in which each rule has something to check, and none is broken."""
    run = Scene()
    run.facts += [Process(9.0, "m3", "killed"), Process(9.5, "m3", "start")]
    run.served("a", 10.0, "feed-read")
    run.served("b", 10.5, "stream-read", "i-3", "m3")
    run.served("k1", 11.0, "episode-publish", "i-2", "m2", "key")
    run.sent("k2", 11.5, "episode-publish", "m1", "key")  # a repeat, at another machine
    run.answer("k2", 11.6, seal="s3")
    run.served("c", 12.0, "member-charge")
    run.sent("r", 12.1, "member-charge", "m2")  # refused, and never run
    run.answer("r", 12.2, 503)
    run.facts.append(Put(20.0, "o", 7, 3, True, NEW, 20.2, 20.2, 200))
    run.facts.append(Put(20.3, "p", 8, 3, True, OLD | {"revision_number": 8}, 20.4, None, 412))
    run.facts.append(Put(21.0, "p", 11, 7, False, make_invalid(NEW, 11), 21.1, None, 400))
    run.served("d", 25.0, "stream-read", "i-1", "m2")  # the change moved it
    run.facts.append(Notice(30.0, "i-2", "m2", "draining", 9, 30.1, "m2"))
    run.served("e", 32.2, "feed-read")  # another server of the service, after the bound
    run.facts += [ServerEnd(32.7, "i-2"), Process(33.0, "m2", "term")]
    run.sent("f", 32.95, "feed-read", "m2")
    run.run("f", 32.96)
    run.answer("f", 33.2, seal=f"s{run.n}")
    run.facts.append(Process(34.0, "m2", "ended"))
    run.facts.append(Event(16.0, 16.5, "after-ack-kill", "core"))
    run.facts.append(Read(40.0, NEW))
    # Orders call by call; and a controller that is cut off from the two others for 5 s.
    run.facts += [Process(0.0, name, "start") for name in ("core2", "core3")]
    run.facts.append(LinkFault(34.5, 39.5, "cut", ALONE))
    run.facts.append(control_call(20.0, 20.2, "core", 200, NEW))
    run.facts.append(control_call(35.0, 35.1, "core2", 200, NEW))
    run.facts.append(control_call(38.0, 38.1, "core3", 503))
    return run


ALONE = [("core3", "core"), ("core", "core3"), ("core3", "core2"), ("core2", "core3")]


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
    """An operator's call; with no configuration a reading."""
    revision = 0 if config is None else config["revision_number"]
    sent = "" if config is None else content_digest(config)
    retry_after = retry_after if status == 503 else ""
    return ControlCall(t, until, "o", machine, revision, sent, status, how, lost, "", retry_after)


def called(*what: ControlCall) -> Break:
    return lambda run: run.facts.extend(what)


def record(scene: Scene) -> Record:
    services = dict(SERVERS.values())
    return Record("mesh-calm", SEED, DAY.bounds, BY_NAME, services, ("core",), scene.facts, 9.0, 40.0)


Break = Callable[[Scene], object]


def change_last(kind: type[Fact], whose: str, /, **to: object) -> Break:
    """The last fact of a kind about a request, changed."""

    def change(run: Scene) -> None:
        at = max(n for n, f in enumerate(run.facts) if type(f) is kind and getattr(f, "id", whose) == whose)
        run.facts[at] = replace(run.facts[at], **to)  # type: ignore[arg-type]

    return change


def cut_short(run: Scene) -> None:
    run.sent("z", 32.8, "feed-read", "m2")
    run.run("z", 32.9, work=None)
    run.facts.append(NoAnswer(33.5, "z", "closed"))


def cut_with_502(run: Scene) -> None:
    cut_short(run)
    run.facts.pop()
    run.answer("z", 33.5, 502)


def cut_in_the_middle(run: Scene) -> None:
    """With no planned work about."""
    run.sent("z", 27.0, "feed-read", "m1")
    run.run("z", 27.01)
    run.facts.append(NoAnswer(27.12, "z", "broken"))


def not_found(run: Scene) -> None:
    run.sent("z", 26.0, "feed-read")
    run.answer("z", 26.1, 404)


def old_route(id: str, t: float) -> Break:
    return lambda run: run.served(id, t, "stream-read", "i-3", "m2")


def turned_late(run: Scene) -> None:
    run.sent("z", 32.0, "feed-read")
    run.facts.append(
        Arrived(32.3, 90, "z", "i-2", A, "m2", "GET", f"{path_prefix(SEED, 'feed-read')}x", "b", A, "", "")
    )
    run.facts.append(Rejected(32.3, 90, 503))


def read_only(run: Scene) -> None:
    path = f"{path_prefix(SEED, 'member-charge')}x"
    run.facts.append(Arrived(12.15, 90, "r", "i-2", A, "m2", "POST", path, "b", A, "", "i-2"))


def many_denied(run: Scene) -> None:
    for n in range(6):
        run.sent(f"z{n}", 15.0, "feed-read")
        run.answer(f"z{n}", 15.1, 404 if n % 2 else 400)


def change_first(run: Scene) -> None:
    first = next(fact for fact in run.facts if isinstance(fact, Put))
    first.acked = first.until = 8.2  # the core is settled from 3 s on


def over_budget(run: Scene) -> None:
    run.sent("z", 15.0, "feed-read")
    for _ in range(63):
        run.run("z", 15.1)


def repeated_calls(run: Scene) -> None:
    """Calls of a run that was itself a repeat are repeats where they go."""
    run.sent("z", 15.0, "feed-read")
    run.run("z", 15.1)
    parent = run.run("z", 15.2)
    for n in range(80):
        run.sent(f"z{n}", 15.3, "tally-read", "m1", parent=parent)
        run.run(f"z{n}", 15.4, "i-3")


def old_after_start(run: Scene) -> None:
    """A node that has just been started anew goes by the first version; nothing else binds it yet."""
    run.facts += [Process(25.5, "m2", "killed"), Process(25.6, "m2", "start")]
    old_route("z", 25.8)(run)


def nothing_served(run: Scene) -> None:
    late = [fact.id for fact in run.facts if isinstance(fact, Sent) and fact.t > 31.5]
    run.facts = [
        NoAnswer(f.t, f.id, "closed") if isinstance(f, Answered) and f.id in late else f for f in run.facts
    ]


BROKEN: list[tuple[str, str, Break]] = [
    ("mixed", "a body cut short", change_last(Answered, "a", digest="half")),
    ("mixed", "a seal that no server gave", change_last(Answered, "a", seal="made-up")),
    ("mixed", "another request's answer", change_last(Answered, "a", seal="s2")),
    ("mixed", "another request's id", change_last(Answered, "a", attempt="b")),
    ("mixed", "a success of what failed", change_last(Done, "", status=500)),
    ("mixed", "a repeat with another answer", change_last(Answered, "k2", seal="s1")),
    ("mixed", "bytes that nobody asked for", lambda run: run.facts.append(Extra(15.0, "a"))),
    ("unasked", "an id that nobody sent", change_last(Arrived, "a", id="other")),
    ("unasked", "a path that was changed", change_last(Arrived, "a", path="/")),
    ("unasked", "a wrong Calling-Service", change_last(Arrived, "b", calling=A)),
    ("twice", "a try that ran twice", lambda run: run.run("c", 12.3, "i-2")),
    ("twice", "a key that ran twice", lambda run: run.run("k2", 11.55)),
    ("refused", "what had run", lambda run: run.run("r", 12.15)),
    ("refused", "what ran later", lambda run: run.run("r", 12.4)),
    ("refused", "what a server had read and not turned away", read_only),
    ("denied", "six of few", many_denied),
    ("route", "another service", change_last(Arrived, "a", service=B)),
    ("route", "another server than was meant", change_last(Arrived, "a", target="i-9")),
    ("drain", "a request after the bound", turned_late),
    ("lost", "closed after a SIGTERM", cut_short),
    ("lost", "502 after a SIGTERM", cut_with_502),
    ("cut", "an answer that broke off", cut_in_the_middle),
    ("cut", "closed after a SIGTERM", cut_short),
    ("config", "the old service after the bound", old_route("z", 22.5)),
    ("config", "back to the old one", old_route("z", 25.5)),
    ("config", "404 of a route that is there", not_found),
    ("config", "an invalid one was taken", change_last(Put, "", acked=21.1, status=200)),
    (
        "config",
        "two on top of one",
        lambda run: run.facts.append(
            Put(22.0, "q", 9, 3, True, OLD | {"revision_number": 9}, 22.1, 22.1, 200)
        ),
    ),
    ("config", "read back too old", change_last(Read, "", config=OLD)),
    ("config", "read back nothing", change_last(Read, "", config=None)),
    ("config", "read back changed", change_last(Read, "", config=NEW | {"trunk_groups": []})),
    (
        "config",
        "two contents under one number",
        lambda run: run.facts.append(
            Put(22.0, "q", 7, 5, True, OLD | {"revision_number": 7}, 22.1, 22.1, 200)
        ),
    ),
    (
        "config",
        "two contents under one number on top of one",
        lambda run: run.facts.append(
            Put(22.0, "q", 7, 3, True, OLD | {"revision_number": 7}, 22.1, 22.1, 200)
        ),
    ),
    (
        "config",
        "read the loser of two under one number",
        lambda run: run.facts.extend(
            (
                Put(20.0, "q", 7, 3, True, OLD | {"revision_number": 7}, 20.1, None, 412),
                Read(22.0, OLD | {"revision_number": 7}, 21.0),
            )
        ),
    ),
    (
        "config",
        "read what nobody sent",
        lambda run: run.facts.append(Read(22.0, NEW | {"trunk_groups": []}, 21.0)),
    ),
    ("resent", "what was acknowledged is refused", called(control_call(36.0, 36.1, "core2", 412, NEW))),
    (
        "resent",
        "what was acknowledged, unheard, is refused",
        called(
            control_call(26.0, 26.1, "core", 200, LATER, lost=True),
            control_call(27.1, 27.2, "core2", 412, LATER),
        ),
    ),
    (
        "resent",
        "what was read is refused",
        lambda run: run.facts.extend(
            (
                Put(26.0, "q", 12, 7, True, LATER, 32.0, None, 0),
                Read(28.0, LATER, 27.9),
                control_call(29.0, 29.1, "core", 422, LATER),
                Read(41.0, LATER),
            )
        ),
    ),
    ("isolated", "silence", called(control_call(37.0, 38.0, "core3", 0, how="timeout"))),
    ("isolated", "no connection", called(control_call(37.0, 38.0, "core3", 0, NEW, how="silent"))),
    ("isolated", "it acknowledged", called(control_call(37.0, 37.1, "core3", 200, LATER))),
    (
        "isolated",
        "it does not say when to come back",
        called(control_call(37.0, 37.1, "core3", 503, retry_after="")),
    ),
    (
        "one_answer",
        "two contents under one number, one unheard",
        called(control_call(26.0, 26.1, "core", 200, OLD | {"revision_number": 7}, lost=True)),
    ),
    (
        "one_answer",
        "two on top of one, one unheard",
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
        called(control_call(26.0, 26.1, "core", 412, LATER), control_call(27.0, 27.1, "core2", 200, LATER)),
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
    ("fresh", "an old version after a start", old_after_start),
    (
        "acks",
        "a version too late",
        lambda run: run.facts.append(
            Put(24.0, "q", 12, 7, True, NEW | {"revision_number": 12}, 29.9, 29.9, 200)
        ),
    ),
    ("acks", "a first version too late", change_first),
    ("acks", "a leave with none", change_last(Notice, "", acked=None)),
    (
        "config",
        "read back older than was read before",
        lambda run: run.facts.extend((Read(18.0, OLD | {"revision_number": 6}, 17.9), Read(19.0, OLD, 18.5))),
    ),
    ("config", "read older than was acknowledged", lambda run: run.facts.append(Read(22.0, OLD, 20.3))),
    (
        "config",
        "read what lost its race",
        lambda run: run.facts.append(Read(22.0, OLD | {"revision_number": 8}, 21.0)),
    ),
    ("recover", "nothing served after the closing loss", nothing_served),
    ("budget", "more tries than are shared", over_budget),
    ("budget", "calls of a repeated run", repeated_calls),
    ("stays_up", "an end of its own", lambda run: run.facts.append(Process(15.0, "m1", "exit"))),
]


def test_a_clean_run_holds_and_each_rule_was_seen() -> None:
    verdict = judge(record(clean()))
    assert verdict.passed
    assert {name: finding.passed for name, finding in verdict.rules.items()} == dict.fromkeys(RULES, True)
    assert all(finding.checked for finding in verdict.rules.values())
    found = as_json(verdict)
    assert found["requests"] == {"asked": 9, "tries": 9}
    assert found["classes"]["member-charge"]["refused"] == 1
    assert found["rules"]["drain"] == {"held": True, "checked": 1, "breaks": 0, "broken": []}


@pytest.mark.parametrize(("rule", "what", "broken"), BROKEN, ids=[f"{r}: {w}" for r, w, _ in BROKEN])
def test_one_event_breaks_a_rule(rule: str, what: str, broken: Break) -> None:
    run = clean()
    broken(run)
    verdict = judge(record(run))
    assert rule in verdict.broken_rules
    assert not verdict.passed
    assert as_json(verdict)["rules"][rule]["broken"][0]["what"]


def test_what_was_broken_off_before_a_shutdown_is_not_lost_by_it() -> None:
    """An attempt that had timed out counted as one that the shutdown broke off."""
    run = clean()
    run.sent("z", 32.2, "feed-read", "m2")
    n = run.run("z", 32.3, work=None)
    run.facts.append(Dropped(32.9, n))  # the SIGTERM comes at 33.0
    run.answer("z", 33.5, 502)
    assert "lost" not in judge(record(run)).broken_rules


UNDISTURBED: list[tuple[str, list[Fact]]] = [
    (
        "the winner of two under one number is read",
        [Put(20.0, "q", 7, 3, True, OLD | {"revision_number": 7}, 20.1, None, 412), Read(22.0, NEW, 21.0)],
    ),
    (
        "an order under way twice, one call of it is refused before the other is answered",
        [control_call(26.0, 26.3, "core", 200, LATER), control_call(26.1, 26.2, "core2", 412, LATER)],
    ),
    (
        "sent again with no clear answer",
        [
            control_call(36.0, 37.0, "core2", 0, NEW, how="timeout"),
            control_call(36.1, 36.2, "core", 503, NEW),
            control_call(36.3, 36.4, "core", 429, NEW),
        ],
    ),
    (
        "what was acknowledged is acknowledged again by one that is alone",
        [control_call(37.0, 37.1, "core3", 200, NEW)],
    ),
    ("silent, alone for less than two seconds", [control_call(36.0, 37.0, "core3", 0, how="timeout")]),
    ("silent until the cut's end", [control_call(39.0, 40.0, "core3", 0, how="timeout")]),
    ("silent, the kit lost its answer", [control_call(37.0, 38.0, "core3", 503, lost=True)]),
    (
        "silent, its process had just been stopped",
        [Process(36.9, "core3", "paused"), control_call(37.0, 38.0, "core3", 0, how="timeout")],
    ),
    (
        "silent, its process had just begun",
        [
            Process(35.0, "core3", "killed"),
            Process(36.5, "core3", "start"),
            control_call(37.0, 38.0, "core3", 0, how="timeout"),
        ],
    ),
    ("silent, in touch with a majority", [control_call(37.0, 38.0, "core2", 0, how="timeout")]),
    (
        "silent, cut from a node only",
        [
            LinkFault(25.0, 32.0, "cut", [("core2", "m1")]),
            control_call(30.0, 31.0, "core2", 0, how="timeout"),
        ],
    ),
]


@pytest.mark.parametrize(("what", "facts"), UNDISTURBED, ids=[what for what, _ in UNDISTURBED])
def test_what_breaks_no_rule_of_orders(what: str, facts: list[Fact]) -> None:
    run = clean()
    run.facts += facts
    verdict = judge(record(run))
    assert not verdict.broken_rules


def test_the_story_of_an_order_that_was_sent_again() -> None:
    run = clean()
    called(control_call(36.0, 36.1, "core2", 412, NEW))(run)
    assert judge(record(run)).rules["resent"].violations[0].history == [
        "   11.000 s  o to core: 200 after 0.200 s",
        "   26.000 s  o to core2: 200 after 0.100 s",
        "   27.000 s  o to core2: 412 after 0.100 s",
    ]


CORES = ("core", "core2", "core3")


def cores(*facts: Fact) -> list[Fact]:
    return [*(Process(0.0, name, "start") for name in CORES[1:]), *facts]


LINK_FAULTS: list[tuple[str, bool, list[Fact]]] = [
    ("its links to a controller were cut", True, cores(LinkFault(21.0, 22.4, "cut", [("m2", "core")]))),
    ("cut one way is cut", True, cores(LinkFault(21.0, 22.4, "cut", [("core", "m2")]))),
    ("late is harmed", True, cores(LinkFault(21.0, 22.4, "slow", [("m2", "m1")]))),
    ("reset is harmed", True, cores(LinkFault(22.0, 22.0, "reset", [("m2", "core")]))),
    ("too long ago", False, cores(LinkFault(18.0, 19.0, "cut", [("m2", "core")]))),
    ("another's links", False, cores(LinkFault(21.0, 22.4, "cut", [("m1", "core")]))),
    ("cut from a machine that keeps nothing", False, cores(LinkFault(21.0, 22.4, "cut", [("m2", "m1")]))),
    (
        "a controller that reaches no other binds nobody",
        False,
        cores(
            LinkFault(15.0, 24.0, "cut", [("core", name) for name in ("core2", "core3", "m1", "m2", "m3")])
        ),
    ),
    (
        "it was cut from the others just now",
        True,
        cores(
            LinkFault(21.0, 24.0, "cut", [("core", name) for name in ("core2", "core3", "m1", "m2", "m3")])
        ),
    ),
    ("a slow link of the core", True, cores(LinkFault(15.0, 24.0, "slow", [("core", "core2")]))),
    ("a controller is down, and has been for long", False, cores(Process(15.0, "core", "killed"))),
    ("two are", True, cores(Process(15.0, "core", "killed"), Process(15.0, "core2", "killed"))),
    (
        "two are, one of them by itself",
        False,
        cores(Process(15.0, "core", "killed"), Process(15.0, "core2", "exit")),
    ),
    (
        "one was replaced long ago, one is down",
        False,
        cores(
            Process(10.0, "core", "killed"),
            Process(10.1, "core", "removed"),
            Process(10.5, "core4", "start"),
            Process(15.0, "core2", "killed"),
        ),
    ),
    (
        "one was taken away, and one is down",
        True,
        cores(
            Process(10.0, "core", "killed"),
            Process(10.1, "core", "removed"),
            Process(15.0, "core2", "killed"),
        ),
    ),
]


@pytest.mark.parametrize(("what", "excused", "facts"), LINK_FAULTS, ids=[what for what, _, _ in LINK_FAULTS])
def test_what_is_out_of_touch_is_not_bound_in_time(what: str, excused: bool, facts: list[Fact]) -> None:
    run = clean()
    old_route("z", 22.5)(run)
    run.facts += facts
    assert judge(record(run)).rules["config"].passed is excused


def test_a_late_arrival_over_a_link_that_was_harmed_is_no_break() -> None:
    run = clean()
    turned_late(run)
    run.facts.append(LinkFault(31.0, 31.2, "cut", [("m1", "m2")]))
    assert judge(record(run)).rules["drain"].passed


def test_nothing_seen_is_not_kept() -> None:
    verdict = judge(record(Scene()))
    assert not verdict.rules["drain"].checked
    assert not verdict.passed  # nothing was served


def test_seeds_are_told_in_a_line_each_and_add_up() -> None:
    def play(seed: int) -> tuple[Verdict, CompletedRun]:
        run = clean()
        if seed == 2:
            run.run("c", 12.3, "i-2")
        found = record(run)
        found.seed, found.stall_s = seed, float(seed == 3)
        return judge(found), CompletedRun(found)

    told: list[int] = []
    console = Console(file=io.StringIO(), width=500)
    for last, status in ((1, 0), (2, 1), (3, 1)):
        objects, got = seeds.run(
            console, range(1, last + 1), play, lambda one, _: told.append(one.record.seed)
        )
        assert (len(objects), got) == (last, status)
    assert told == [2, 2] and isinstance(console.file, io.StringIO)
    lines = console.file.getvalue().splitlines()
    assert [line.split(";")[0] for line in lines if line.startswith("seed ")][-3:] == [
        "seed 1: held",
        "seed 2: BROKEN twice",
        "seed 3: void",
    ]
    assert "; isolated: 1 503, 100 ms at most; 1 changes resent, after up to 0 others; " in lines[0]
    assert "3 seeds: 1 BROKEN, 1 held, 1 void" in lines
    assert lines[-1] == "rules broken: twice in 1"
