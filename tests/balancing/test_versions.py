"""Versions of the configuration: offered, checked, applied or refused, and what is held meanwhile."""

from __future__ import annotations

import dataclasses
import math
from typing import Any

import pytest
from hypothesis import given, settings, strategies

from orchidferry.balancing import configuration_checks
from orchidferry.balancing import interface as api
from orchidferry.balancing import versions as module
from orchidferry.balancing.configuration import (
    Configuration,
    Content,
    Member,
    NodeSettings,
    Part,
    Pools,
    Source,
)
from orchidferry.balancing.configuration_checks import check_members, check_parts_match, drained, merged
from orchidferry.balancing.version_events import (
    Action,
    Answer,
    Applied,
    Apply,
    Drain,
    Event,
    Log,
    Offered,
    SaveLastGood,
    SetTimer,
    Started,
    StreamChanged,
    TimerFired,
)
from orchidferry.balancing.versions import (
    APPLY_BURST,
    APPLY_PER_S,
    FIRST_VERSION_TIMEOUT_MS,
    MAX_REFUSALS,
    Versions,
)
from tests.balancing import helpers

LEAVING = api.Health.DRAINING


def member(server: int, health: api.Health = api.Health.IN_SERVICE, share: float = 1.0) -> Member:
    return Member(api.ServerEntry(server, health=health, share=share), ("127.0.0.1", 9000 + server))


def pools(*servers: int | Member, name: str = "catalogo") -> Pools:
    return Pools({name: tuple(s if isinstance(s, Member) else member(s) for s in servers)})


def node(pool: str = "catalogo", **changes: Any) -> NodeSettings:
    return NodeSettings(pool, helpers.settings(**changes))


FILE = Configuration(pools(1, 2), node())


class Service:
    """The module with a clock and a node that does what it is told, unless a test does that itself."""

    def __init__(self, saved: Configuration | None = None, applies: bool = True, first: bool = True) -> None:
        self.versions = Versions()
        self.now = 0.0
        self.nonce = 0
        self.applies = applies
        self.log: list[Action] = []
        self.woken_ms: list[float] = []
        self.node: Configuration | None = None
        self.do(Started(FILE, saved))
        self.do(StreamChanged(True))
        if first:
            self.pass_ms(FIRST_VERSION_TIMEOUT_MS)
            self.log.clear()

    def do(self, event: Event) -> list[Action]:
        actions = self.versions.handle(event, self.now)
        self.log += actions
        for action in actions:
            if isinstance(action, SetTimer):
                self.woken_ms.append(self.now + action.delay_ms)
            if isinstance(action, Apply) and self.applies:
                self.node = action.configuration
                actions = actions + self.do(Applied())
        return actions

    def offer(
        self, content: Content | None, version: str = "", problem: str = "", nonce: str = ""
    ) -> list[Action]:
        self.nonce += 1
        part = Part.SETTINGS if isinstance(content, NodeSettings) else Part.MEMBERS
        version = version or f"v{self.nonce}"
        return self.do(Offered(part, version, nonce or f"n{self.nonce}", content, problem))

    def pass_ms(self, ms: float) -> None:
        end = self.now + ms
        while self.woken_ms and min(self.woken_ms) <= end:
            self.now = min(self.woken_ms)
            self.woken_ms.remove(self.now)
            self.do(TimerFired())
        self.now = end

    def held(self, part: Part = Part.MEMBERS) -> str:
        assert self.versions.applied is not None
        return self.versions.applied.versions[part]


def only(actions: list[Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


# A start


def test_a_start_waits_for_the_service_and_then_takes_the_last_good_one_or_the_file() -> None:
    for saved, source in ((None, Source.FILE), (Configuration(pools(7), node()), Source.SAVED)):
        service = Service(saved, first=False)
        assert not only(service.log, Apply)
        service.pass_ms(FIRST_VERSION_TIMEOUT_MS - 1.0)
        assert not only(service.log, Apply)
        service.pass_ms(1.0)
        [apply] = only(service.log, Apply)
        assert (apply.source, apply.configuration) == (source, saved or FILE)
        assert apply.changed == frozenset(Part)
        assert not only(service.log, SaveLastGood)  # it is on disk, or in the file


def test_a_first_version_in_time_is_taken_at_once_and_the_wait_ends_with_nothing() -> None:
    service = Service(Configuration(pools(7), node()), first=False)
    [apply] = only(service.offer(pools(3), "1"), Apply)
    assert apply.source is Source.CONTROL and apply.changed == frozenset(Part)
    service.pass_ms(FIRST_VERSION_TIMEOUT_MS)
    assert len(only(service.log, Apply)) == 1 and service.held() == "1"


@pytest.mark.parametrize(
    ("saved", "words"),
    [
        (Configuration(pools(member(7, LEAVING)), node()), "names no live server"),
        (Configuration(pools(7), node(tick_ms=1.0)), "needs a restart"),
        (Configuration(pools(7), node(drain_grace_ms=9000.0)), "looser"),
    ],
)
def test_a_last_good_one_that_does_not_fit_this_node_any_more_is_left(
    saved: Configuration, words: str
) -> None:
    service = Service(saved, first=False)
    service.pass_ms(FIRST_VERSION_TIMEOUT_MS)
    assert service.node == FILE
    assert any(words in log.text for log in only(service.log, Log))


def test_a_part_that_comes_before_the_other_goes_with_the_last_good_one_of_that() -> None:
    """hundred-versions 2: a node that had been killed refused good settings, as its members were bad then."""
    service = Service(Configuration(pools(7, name="kept"), node("kept")), first=False)
    bad = only(service.offer(None, "m1", problem="unreadable"), Answer)
    [apply] = only(service.offer(node("kept", max_attempts=2), "s1"), Apply)
    assert bad[0].reason and apply.configuration.members() == (member(7),)
    assert apply.changed == frozenset(Part) and service.held(Part.SETTINGS) == "s1"


def test_a_version_refused_before_there_is_anything_leaves_the_start_as_it_was() -> None:
    service = Service(first=False)
    [answer] = only(service.offer(pools(), "1"), Answer)
    assert answer.version == "" and "no live server" in answer.reason
    service.pass_ms(FIRST_VERSION_TIMEOUT_MS)
    assert service.node == FILE


# What is refused


def keyed(**changes: Any) -> list[api.RequestClass]:
    return [dataclasses.replace(helpers.KEYED, **changes)]


REFUSED: dict[str, tuple[Content | None, str]] = {
    "unreadable": (None, "endpoints[3]: no address"),
    "no live server": (pools(member(1, LEAVING), member(2, api.Health.GONE)), "'catalogo': names no live"),
    "empty": (Pools({}), "is none of no pools"),
    "another pool only": (pools(1, name="registro"), "'catalogo' is none of registro"),
    "twice": (pools(1, 1), "member 1 is there twice"),
    "share below 0": (pools(member(1, share=-1.0)), "share -1.0 is out of range"),
    "share without end": (pools(member(1, share=math.inf)), "share inf is out of range"),
    "to no pool": (node("nowhere"), "'nowhere' is none of catalogo"),
    "restart": (node(nodes=9), "nodes: 1 to 9 needs a restart"),
    "drain": (node(drain_grace_ms=501.0), "drain_grace_ms: 501 is looser than the 500"),
    "ramp": (node(ramp_time_ms=7999.0), "ramp_time_ms: 7999 is looser"),
    "cold": (node(start_capacity=0.5), "start_capacity: 0.5 is looser"),
    "class": (node(classes=[dataclasses.replace(helpers.UNSAFE, repeat=api.Repeat.SAFE)]), "safe is looser"),
    "group": (node(classes=keyed(group=api.Group.ALL)), "all is wider than cell"),
    "window": (node(classes=keyed(window_ms=2001.0)), "window_ms: 2001 is longer than 2000"),
    "shares": (node(tenants=[api.Tenant("a", 0.6), api.Tenant("b", 0.6)]), "add up to 1.2"),
}


@pytest.mark.parametrize(("content", "words"), REFUSED.values(), ids=REFUSED.keys())
def test_what_does_not_fit_is_refused_with_its_reason_and_the_old_one_stays(
    content: Content | None, words: str
) -> None:
    service = Service()
    service.offer(pools(1, 2, 3), "good")
    before = service.versions.applied
    actions = service.offer(content, "bad", problem="endpoints[3]: no address", nonce="bad-nonce")
    [answer] = only(actions, Answer)
    assert words in answer.reason and answer.nonce == "bad-nonce"
    assert answer.version == ("good" if answer.part is Part.MEMBERS else "")
    assert not only(actions, Apply) and not only(actions, SaveLastGood)
    assert service.versions.applied is before and service.node is before
    [refused] = service.versions.status()["refused"]
    assert (refused["version"], refused["reason"]) == ("bad", answer.reason)


def test_rules_may_become_stricter_and_a_class_that_comes_again_comes_no_looser() -> None:
    service = Service()
    strict = [dataclasses.replace(helpers.SAFE, name="new", repeat=api.Repeat.UNSAFE)]
    assert not only(service.offer(node(classes=strict, drain_grace_ms=100.0), "1"), Answer)[0].reason
    assert not only(service.offer(node(), "2"), Answer)[0].reason  # without it
    again = [dataclasses.replace(helpers.SAFE, name="new")]
    [answer] = only(service.offer(node(classes=again), "3"), Answer)
    assert "classes[new].repeat: safe is looser than unsafe" in answer.reason


def test_bounds_on_how_much_a_version_holds(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_checks, "MAX_MEMBERS", 3)
    monkeypatch.setattr(configuration_checks, "MAX_POOLS", 2)
    monkeypatch.setattr(configuration_checks, "MAX_CLASSES", 4)
    monkeypatch.setattr(configuration_checks, "MAX_TENANTS", 1)
    monkeypatch.setattr(configuration_checks, "MAX_NAMES", 5)
    service = Service()

    def reason(content: Content) -> str:
        return str(only(service.offer(content), Answer)[0].reason)

    assert "4 members, 3 at most" in reason(pools(1, 2, 3, 4))
    assert "3 pools, 2 at most" in reason(Pools(dict.fromkeys("abc", ())))
    five = [dataclasses.replace(helpers.SAFE, name=f"c{n}") for n in range(5)]
    assert "classes: 5, 4 at most" in reason(node(classes=five))
    assert "tenants: 2, 1 at most" in reason(node(tenants=[api.Tenant("a"), api.Tenant("b")]))
    assert "more than 5 names" in reason(node(classes=five[:2]))
    assert reason(node(classes=five[:1])) == ""


def test_a_check_that_breaks_is_a_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    service = Service()

    def broken(pools: Pools) -> None:
        raise ZeroDivisionError("division by zero")

    monkeypatch.setattr(module, "check_members", broken)
    [answer] = only(service.offer(pools(5)), Answer)
    assert answer.reason == "the check broke: ZeroDivisionError: division by zero"


def test_refusals_are_kept_within_bounds_and_a_repeated_one_is_counted() -> None:
    service = Service()
    for _ in range(3):
        service.offer(pools(), "same")
    assert [r["times"] for r in service.versions.status()["refused"]] == [3]
    assert len(only(service.log, Log)) == 1
    for n in range(2 * MAX_REFUSALS):
        service.offer(None, f"v{n}", problem="x" * 5000)
    kept = service.versions.status()["refused"]
    assert len(kept) == MAX_REFUSALS and kept[-1]["version"] == f"v{2 * MAX_REFUSALS - 1}"
    assert max(len(r["reason"]) for r in kept) <= module.MAX_REASON_LENGTH


# Whole, or not at all


def test_parts_that_only_go_together_are_applied_together_whichever_came_first() -> None:
    for first, second in ((pools(5, name="new"), node("new")), (node("new"), pools(5, name="new"))):
        service = Service()
        [answer] = only(service.offer(first, "a"), Answer)
        assert answer.reason
        actions = service.offer(second, "b")
        [apply] = only(actions, Apply)
        assert apply.configuration.members() == (member(5),) and apply.changed == frozenset(Part)
        assert [(a.version, a.reason) for a in only(actions, Answer)] == [("a", ""), ("b", "")]


def test_a_part_refused_on_an_old_stream_is_not_put_together_with_a_new_one() -> None:
    service = Service()
    service.offer(pools(5, name="new"), "a")
    service.do(StreamChanged(False))
    service.do(StreamChanged(True))
    [answer] = only(service.offer(node("new"), "b"), Answer)
    assert "is none of catalogo" in answer.reason


def test_what_could_not_be_applied_is_refused_and_the_old_one_put_back() -> None:
    service = Service()
    service.offer(pools(1, 2, 3), "good")
    service.applies = False
    [apply] = only(service.offer(pools(4), "bad", nonce="x"), Apply)
    assert apply.configuration.members() == (member(4),)
    actions = service.do(Applied("no room"))
    [answer] = only(actions, Answer)
    assert (answer.nonce, answer.version, answer.reason) == ("x", "good", "it could not be applied: no room")
    [back] = only(actions, Apply)
    assert back.configuration.members() == (member(1), member(2), member(3))
    since = service.versions.since_ms
    service.now += 100.0
    assert not only(service.do(Applied()), SaveLastGood)
    assert service.held() == "good" and service.versions.since_ms == since


def test_while_one_is_being_applied_the_next_waits_and_only_the_newest_of_them_is_taken() -> None:
    service = Service()
    service.applies = False
    service.offer(pools(1), "1")
    for n in range(2, 6):
        assert not only(service.offer(pools(n), f"{n}"), Apply)
    service.applies = True
    [apply] = only(service.do(Applied()), Apply)
    assert apply.configuration.members() == (member(5),)
    assert service.held() == "5" and service.versions.counts["superseded"] == 3
    assert [a.version for a in only(service.log, Answer)] == ["1", "5"]


def test_applied_out_of_turn_changes_nothing() -> None:
    service = Service()
    assert service.do(Applied()) == [] and service.do(Applied("x")) == []
    assert service.versions.applied == FILE


def test_a_file_that_cannot_be_applied_is_said_and_held_all_the_same() -> None:
    service = Service(applies=False, first=False)
    service.pass_ms(FIRST_VERSION_TIMEOUT_MS)
    [log] = only(service.do(Applied("no pool")), Log)
    assert "no pool" in log.text and service.versions.applied == FILE


# A stream that misbehaves


def test_the_same_nonce_twice_is_looked_at_once() -> None:
    service = Service()
    assert only(service.offer(pools(3), "1", nonce="n"), Answer)
    assert service.offer(pools(4), "2", nonce="n") == []
    service.do(StreamChanged(False))
    service.do(StreamChanged(True))
    assert only(service.offer(pools(4), "2", nonce="n"), Answer)  # another stream, another nonce


def test_a_thousand_versions_in_a_second_are_applied_at_a_bounded_rate_and_end_on_the_last() -> None:
    service = Service()
    for n in range(1000):
        service.offer(pools(n % 50, 50), f"{n}")
        service.pass_ms(1.0)
    applied = len(only(service.log, Apply))
    assert applied <= APPLY_BURST + APPLY_PER_S * 1.0 + 1
    service.pass_ms(1000.0)
    assert service.held() == "999"
    counts = service.versions.counts
    assert counts["offered"] == 1000 == counts["applied"] + counts["superseded"]
    answers = only(service.log, Answer)
    assert len(answers) == counts["applied"] and answers[-1].version == "999"


def test_a_flood_right_after_the_start_does_not_wait_for_the_starts_own_time() -> None:
    service = Service(first=False)
    for n in range(int(APPLY_BURST) + 1):
        service.offer(pools(n, 50), f"{n}")
    service.pass_ms(1000.0 / APPLY_PER_S + 1.0)
    assert service.held() == f"{int(APPLY_BURST)}"


def test_a_bad_one_after_a_good_one_that_waits_leaves_the_held_one() -> None:
    """The newest of a part is what the service means; what it superseded is not gone back to."""
    service = Service()
    for n in range(int(APPLY_BURST)):
        service.offer(pools(n), f"{n}")
    service.offer(pools(70), "waits")
    service.offer(pools(), "bad")
    service.pass_ms(2000.0)
    assert service.held() == f"{int(APPLY_BURST) - 1}"
    assert only(service.log, Answer)[-1].reason


def test_drains_are_told_at_once_though_their_version_waits() -> None:
    service = Service()
    for n in range(int(APPLY_BURST)):
        service.offer(pools(1, 2, 3 + n), f"{n}")
    actions = service.offer(pools(1, member(2, LEAVING)), "waits")
    assert not only(actions, Apply)
    [drain] = only(actions, Drain)
    assert set(drain.servers) == {2, 2 + int(APPLY_BURST)}
    assert not only(service.offer(pools(member(1, LEAVING)), "would empty it"), Drain)
    assert not only(service.offer(node("nowhere"), "settings"), Drain)


def test_a_stream_that_is_lost_takes_what_waits_with_it_and_nothing_that_is_held() -> None:
    service = Service()
    service.offer(pools(5), "1")
    service.applies = False
    service.offer(pools(6), "2")
    service.offer(pools(7), "3")
    service.do(StreamChanged(False))
    service.applies = True
    service.do(Applied())
    service.pass_ms(60_000.0)
    assert service.held() == "2" and service.versions.counts["superseded"] == 1


def test_an_older_version_after_the_service_came_back_is_taken_like_any_other() -> None:
    """Versions are opaque (xDS): a node that refused would differ from one that has just started."""
    service = Service()
    for n in ("1", "2", "3"):
        service.offer(pools(int(n)), n)
    service.do(StreamChanged(False))
    service.do(StreamChanged(True))
    service.offer(pools(2), "2")
    assert service.held() == "2" and service.node is not None and service.node.members() == (member(2),)


def test_a_service_that_comes_back_empty_drains_nobody() -> None:
    service = Service()
    service.offer(pools(5, 6), "1")
    service.do(StreamChanged(False))
    service.do(StreamChanged(True))
    actions = service.offer(Pools({}), "2") + service.offer(None, "3", problem="no settings")
    assert not only(actions, Apply) and not only(actions, Drain)
    assert service.held() == "1"


def test_status_tells_what_is_held_what_waits_and_since_when() -> None:
    service = Service()
    service.now = 50_000.0
    service.offer(pools(5), "1")
    service.applies = False
    service.offer(node(), "s1")
    service.offer(pools(6), "2")
    status = service.versions.status()
    assert status["source"] == "the control service" and status["since_ms"] == 50_000.0
    assert status["versions"] == {"members": "1", "settings": ""}
    assert status["deferred"] == {"members": "2"}
    assert status["counts"]["offered"] == 3


# Members from two sides


def test_discovery_knows_first_of_a_process_and_the_service_who_is_a_member() -> None:
    control = (member(1), member(2, share=0.5), member(3, LEAVING), member(4))
    heard = {1: LEAVING, 2: api.Health.IN_SERVICE, 3: api.Health.IN_SERVICE, 9: api.Health.IN_SERVICE}
    found = {entry.server: (entry.health, entry.share) for entry in merged(control, heard)}
    assert found == {
        1: (LEAVING, 1.0),
        2: (api.Health.IN_SERVICE, 0.5),
        3: (LEAVING, 1.0),
        4: (api.Health.IN_SERVICE, 1.0),
    }
    gone = {entry.server: entry.health for entry in merged(control, {1: api.Health.GONE})}
    assert gone[1] is api.Health.GONE
    assert control[0].entry.health is api.Health.IN_SERVICE  # what was given is not changed


def test_drained_are_those_that_leave_service_in_any_way() -> None:
    before = Configuration(pools(1, 2, 3, member(4, LEAVING)), node())
    after = Configuration(pools(1, member(2, LEAVING), member(4, api.Health.GONE)), node())
    assert set(drained(before, after)) == {2, 3}


# Whatever comes

contents = strategies.one_of(
    strategies.none(),
    strategies.lists(strategies.integers(1, 4), max_size=3).map(lambda ids: pools(*ids)),
    strategies.sampled_from(
        [node(), node("nowhere"), node(nodes=2), pools(member(1, LEAVING)), node(max_attempts=2)]
    ),
)
steps = strategies.one_of(
    contents, strategies.sampled_from(["applied", "failed", "lost", "wait", "same nonce"])
)


@settings(max_examples=300, deadline=None)
@given(strategies.lists(steps, max_size=40))
def test_whatever_comes_what_is_held_fits_and_every_offer_has_one_answer(script: list[Any]) -> None:
    service = Service(applies=False, first=False)
    out = 0
    answered = []
    for step in script:
        if step == "applied" or step == "failed":
            actions = service.do(Applied("broken" if step == "failed" else ""))
            out -= 1 if out else 0
        elif step == "lost":
            actions = service.do(StreamChanged(False)) + service.do(StreamChanged(True))
        elif step == "wait":
            mark = len(service.log)
            service.pass_ms(700.0)
            actions = service.log[mark:]
        elif step == "same nonce":
            actions = service.do(Offered(Part.MEMBERS, "x", f"n{service.nonce}", pools(3)))
        else:
            actions = service.offer(step, problem="unreadable")
        out += len(only(actions, Apply))
        assert out <= 1  # one at a time
        answered += [(a.part, a.nonce, bool(a.reason)) for a in only(actions, Answer)]
        held = service.versions.applied
        if held is not None:
            check_members(held.pools)
            check_parts_match(held)
        for save in only(actions, SaveLastGood):
            assert save.configuration == held
    taken = [a for a in answered if not a[2]]
    assert len(set(taken)) == len(taken)  # none is acknowledged twice
    counts = service.versions.counts
    waiting = len(service.versions._deferred) + out
    assert counts["applied"] + counts["refused"] + counts["superseded"] + waiting >= counts["offered"]
