"""Versions of the configuration: offering, checking, applying, refusing, and the version in force."""

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

DRAINING = api.Health.DRAINING


def member(server: int, health: api.Health = api.Health.IN_SERVICE, share: float = 1.0) -> Member:
    return Member(api.ServerEntry(server, health=health, share=share), ("127.0.0.1", 9000 + server))


def pools(*servers: int | Member, name: str = "catalogo") -> Pools:
    return Pools({name: tuple(s if isinstance(s, Member) else member(s) for s in servers)})


def node(pool: str = "catalogo", **changes: Any) -> NodeSettings:
    return NodeSettings(pool, helpers.settings(**changes))


FILE = Configuration(pools(1, 2), node())


class Service:
    """`Versions` with a clock, and a node that applies each configuration at once.

    :param saved: the last good configuration
    :param applies: whether the node applies at once; if not, the test reports `Applied` itself
    :param first: whether the wait for a first version is over
    """

    def __init__(self, saved: Configuration | None = None, applies: bool = True, first: bool = True) -> None:
        self.versions = Versions()
        self.now = 0.0
        self.nonce = 0
        self.applies = applies
        self.log: list[Action] = []
        self.timers_ms: list[float] = []
        self.node: Configuration | None = None
        self.handle(Started(FILE, saved))
        self.handle(StreamChanged(True))
        if first:
            self.advance(FIRST_VERSION_TIMEOUT_MS)
            self.log.clear()

    def handle(self, event: Event) -> list[Action]:
        actions = self.versions.handle(event, self.now)
        self.log += actions
        for action in actions:
            if isinstance(action, SetTimer):
                self.timers_ms.append(self.now + action.delay_ms)
            if isinstance(action, Apply) and self.applies:
                self.node = action.configuration
                actions = actions + self.handle(Applied())
        return actions

    def offer(
        self, content: Content | None, version: str = "", problem: str = "", nonce: str = ""
    ) -> list[Action]:
        self.nonce += 1
        part = Part.SETTINGS if isinstance(content, NodeSettings) else Part.MEMBERS
        version = version or f"v{self.nonce}"
        return self.handle(Offered(part, version, nonce or f"n{self.nonce}", content, problem))

    def advance(self, ms: float) -> None:
        end = self.now + ms
        while self.timers_ms and min(self.timers_ms) <= end:
            self.now = min(self.timers_ms)
            self.timers_ms.remove(self.now)
            self.handle(TimerFired())
        self.now = end

    def applied_version(self, part: Part = Part.MEMBERS) -> str:
        assert self.versions.applied is not None
        return self.versions.applied.versions[part]


def of_type(actions: list[Action], kind: type) -> list[Any]:
    return [action for action in actions if isinstance(action, kind)]


# Start


def test_a_start_waits_for_the_service_and_then_applies_the_last_good_configuration_or_the_file() -> None:
    for saved, source in ((None, Source.FILE), (Configuration(pools(7), node()), Source.SAVED)):
        service = Service(saved, first=False)
        assert not of_type(service.log, Apply)
        service.advance(FIRST_VERSION_TIMEOUT_MS - 1.0)
        assert not of_type(service.log, Apply)
        service.advance(1.0)
        [apply] = of_type(service.log, Apply)
        assert (apply.source, apply.configuration) == (source, saved or FILE)
        assert apply.changed == frozenset(Part)
        assert not of_type(service.log, SaveLastGood)  # it is already on disk or in the file


def test_a_first_version_in_time_is_applied_at_once_and_ends_the_wait() -> None:
    service = Service(Configuration(pools(7), node()), first=False)
    [apply] = of_type(service.offer(pools(3), "1"), Apply)
    assert apply.source is Source.CONTROL and apply.changed == frozenset(Part)
    service.advance(FIRST_VERSION_TIMEOUT_MS)
    assert len(of_type(service.log, Apply)) == 1 and service.applied_version() == "1"


@pytest.mark.parametrize(
    ("saved", "words"),
    [
        (Configuration(pools(member(7, DRAINING)), node()), "names no live server"),
        (Configuration(pools(7), node(tick_ms=1.0)), "needs a restart"),
        (Configuration(pools(7), node(drain_grace_ms=9000.0)), "looser"),
    ],
)
def test_a_last_good_configuration_that_has_become_invalid_is_not_used(
    saved: Configuration, words: str
) -> None:
    service = Service(saved, first=False)
    service.advance(FIRST_VERSION_TIMEOUT_MS)
    assert service.node == FILE
    assert any(words in log.text for log in of_type(service.log, Log))


def test_a_part_that_is_offered_first_is_applied_with_the_last_good_version_of_the_other() -> None:
    """A restarted node refused valid settings while its members were invalid."""
    service = Service(Configuration(pools(7, name="kept"), node("kept")), first=False)
    bad = of_type(service.offer(None, "m1", problem="unreadable"), Answer)
    [apply] = of_type(service.offer(node("kept", max_attempts=2), "s1"), Apply)
    assert bad[0].reason and apply.configuration.members() == (member(7),)
    assert apply.changed == frozenset(Part) and service.applied_version(Part.SETTINGS) == "s1"


def test_a_refusal_before_the_first_version_does_not_change_the_start() -> None:
    service = Service(first=False)
    [answer] = of_type(service.offer(pools(), "1"), Answer)
    assert answer.version == "" and "no live server" in answer.reason
    service.advance(FIRST_VERSION_TIMEOUT_MS)
    assert service.node == FILE


# Refusals


def keyed(**changes: Any) -> list[api.RequestClass]:
    return [dataclasses.replace(helpers.KEYED, **changes)]


REFUSED: dict[str, tuple[Content | None, str]] = {
    "unreadable": (None, "endpoints[3]: no address"),
    "no live server": (pools(member(1, DRAINING), member(2, api.Health.GONE)), "'catalogo': names no live"),
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
def test_an_invalid_version_is_refused_with_a_reason_and_the_previous_one_stays(
    content: Content | None, words: str
) -> None:
    service = Service()
    service.offer(pools(1, 2, 3), "good")
    before = service.versions.applied
    actions = service.offer(content, "bad", problem="endpoints[3]: no address", nonce="bad-nonce")
    [answer] = of_type(actions, Answer)
    assert words in answer.reason and answer.nonce == "bad-nonce"
    assert answer.version == ("good" if answer.part is Part.MEMBERS else "")
    assert not of_type(actions, Apply) and not of_type(actions, SaveLastGood)
    assert service.versions.applied is before and service.node is before
    [refused] = service.versions.status()["refused"]
    assert (refused["version"], refused["reason"]) == ("bad", answer.reason)


def test_rules_may_become_stricter_and_a_class_that_is_added_again_must_not_be_looser() -> None:
    service = Service()
    strict = [dataclasses.replace(helpers.SAFE, name="new", repeat=api.Repeat.UNSAFE)]
    assert not of_type(service.offer(node(classes=strict, drain_grace_ms=100.0), "1"), Answer)[0].reason
    assert not of_type(service.offer(node(), "2"), Answer)[0].reason  # without the class
    again = [dataclasses.replace(helpers.SAFE, name="new")]
    [answer] = of_type(service.offer(node(classes=again), "3"), Answer)
    assert "classes[new].repeat: safe is looser than unsafe" in answer.reason


def test_limits_on_the_size_of_a_version(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(configuration_checks, "MAX_MEMBERS", 3)
    monkeypatch.setattr(configuration_checks, "MAX_POOLS", 2)
    monkeypatch.setattr(configuration_checks, "MAX_CLASSES", 4)
    monkeypatch.setattr(configuration_checks, "MAX_TENANTS", 1)
    monkeypatch.setattr(configuration_checks, "MAX_NAMES", 5)
    service = Service()

    def reason(content: Content) -> str:
        return str(of_type(service.offer(content), Answer)[0].reason)

    assert "4 members, 3 at most" in reason(pools(1, 2, 3, 4))
    assert "3 pools, 2 at most" in reason(Pools(dict.fromkeys("abc", ())))
    five = [dataclasses.replace(helpers.SAFE, name=f"c{n}") for n in range(5)]
    assert "classes: 5, 4 at most" in reason(node(classes=five))
    assert "tenants: 2, 1 at most" in reason(node(tenants=[api.Tenant("a"), api.Tenant("b")]))
    assert "more than 5 names" in reason(node(classes=five[:2]))
    assert reason(node(classes=five[:1])) == ""


def test_an_exception_in_a_check_is_a_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    service = Service()

    def broken(pools: Pools) -> None:
        raise ZeroDivisionError("division by zero")

    monkeypatch.setattr(module, "check_members", broken)
    [answer] = of_type(service.offer(pools(5)), Answer)
    assert answer.reason == "the check broke: ZeroDivisionError: division by zero"


def test_the_list_of_refusals_is_bounded_and_repeated_ones_are_counted() -> None:
    service = Service()
    for _ in range(3):
        service.offer(pools(), "same")
    assert [r["times"] for r in service.versions.status()["refused"]] == [3]
    assert len(of_type(service.log, Log)) == 1
    for n in range(2 * MAX_REFUSALS):
        service.offer(None, f"v{n}", problem="x" * 5000)
    kept = service.versions.status()["refused"]
    assert len(kept) == MAX_REFUSALS and kept[-1]["version"] == f"v{2 * MAX_REFUSALS - 1}"
    assert max(len(r["reason"]) for r in kept) <= module.MAX_REASON_LENGTH


# Atomic application


def test_parts_that_match_only_together_are_applied_together_in_either_order() -> None:
    for first, second in ((pools(5, name="new"), node("new")), (node("new"), pools(5, name="new"))):
        service = Service()
        [answer] = of_type(service.offer(first, "a"), Answer)
        assert answer.reason
        actions = service.offer(second, "b")
        [apply] = of_type(actions, Apply)
        assert apply.configuration.members() == (member(5),) and apply.changed == frozenset(Part)
        assert [(a.version, a.reason) for a in of_type(actions, Answer)] == [("a", ""), ("b", "")]


def test_a_part_refused_on_an_old_stream_is_not_combined_with_one_of_a_new_stream() -> None:
    service = Service()
    service.offer(pools(5, name="new"), "a")
    service.handle(StreamChanged(False))
    service.handle(StreamChanged(True))
    [answer] = of_type(service.offer(node("new"), "b"), Answer)
    assert "is none of catalogo" in answer.reason


def test_a_version_that_could_not_be_applied_is_refused_and_the_previous_one_restored() -> None:
    service = Service()
    service.offer(pools(1, 2, 3), "good")
    service.applies = False
    [apply] = of_type(service.offer(pools(4), "bad", nonce="x"), Apply)
    assert apply.configuration.members() == (member(4),)
    actions = service.handle(Applied("no room"))
    [answer] = of_type(actions, Answer)
    assert (answer.nonce, answer.version, answer.reason) == ("x", "good", "it could not be applied: no room")
    [restored] = of_type(actions, Apply)
    assert restored.configuration.members() == (member(1), member(2), member(3))
    since = service.versions.since_ms
    service.now += 100.0
    assert not of_type(service.handle(Applied()), SaveLastGood)
    assert service.applied_version() == "good" and service.versions.since_ms == since


def test_offers_during_an_application_are_deferred_and_only_the_newest_is_applied() -> None:
    service = Service()
    service.applies = False
    service.offer(pools(1), "1")
    for n in range(2, 6):
        assert not of_type(service.offer(pools(n), f"{n}"), Apply)
    service.applies = True
    [apply] = of_type(service.handle(Applied()), Apply)
    assert apply.configuration.members() == (member(5),)
    assert service.applied_version() == "5" and service.versions.counts["superseded"] == 3
    assert [a.version for a in of_type(service.log, Answer)] == ["1", "5"]


def test_an_unexpected_applied_event_has_no_effect() -> None:
    service = Service()
    assert service.handle(Applied()) == [] and service.handle(Applied("x")) == []
    assert service.versions.applied == FILE


def test_a_file_that_cannot_be_applied_is_logged_and_stays_in_force() -> None:
    service = Service(applies=False, first=False)
    service.advance(FIRST_VERSION_TIMEOUT_MS)
    [log] = of_type(service.handle(Applied("no pool")), Log)
    assert "no pool" in log.text and service.versions.applied == FILE


# Misbehaving streams


def test_a_repeated_nonce_is_processed_once() -> None:
    service = Service()
    assert of_type(service.offer(pools(3), "1", nonce="n"), Answer)
    assert service.offer(pools(4), "2", nonce="n") == []
    service.handle(StreamChanged(False))
    service.handle(StreamChanged(True))
    assert of_type(service.offer(pools(4), "2", nonce="n"), Answer)  # nonces are valid on one stream only


def test_a_thousand_versions_in_a_second_are_applied_at_a_limited_rate_and_end_with_the_last() -> None:
    service = Service()
    for n in range(1000):
        service.offer(pools(n % 50, 50), f"{n}")
        service.advance(1.0)
    applied = len(of_type(service.log, Apply))
    assert applied <= APPLY_BURST + APPLY_PER_S * 1.0 + 1
    service.advance(1000.0)
    assert service.applied_version() == "999"
    counts = service.versions.counts
    assert counts["offered"] == 1000 == counts["applied"] + counts["superseded"]
    answers = of_type(service.log, Answer)
    assert len(answers) == counts["applied"] and answers[-1].version == "999"


def test_a_flood_after_the_first_version_does_not_wait_for_the_start_timer() -> None:
    service = Service(first=False)
    for n in range(int(APPLY_BURST) + 1):
        service.offer(pools(n, 50), f"{n}")
    service.advance(1000.0 / APPLY_PER_S + 1.0)
    assert service.applied_version() == f"{int(APPLY_BURST)}"


def test_an_invalid_offer_that_supersedes_a_deferred_one_leaves_the_applied_version() -> None:
    """The newest offer of a part is the one that the service intends; superseded offers are not revived."""
    service = Service()
    for n in range(int(APPLY_BURST)):
        service.offer(pools(n), f"{n}")
    service.offer(pools(70), "waits")
    service.offer(pools(), "bad")
    service.advance(2000.0)
    assert service.applied_version() == f"{int(APPLY_BURST) - 1}"
    assert of_type(service.log, Answer)[-1].reason


def test_drains_take_effect_at_once_although_their_version_is_deferred() -> None:
    service = Service()
    for n in range(int(APPLY_BURST)):
        service.offer(pools(1, 2, 3 + n), f"{n}")
    actions = service.offer(pools(1, member(2, DRAINING)), "waits")
    assert not of_type(actions, Apply)
    [drain] = of_type(actions, Drain)
    assert set(drain.servers) == {2, 2 + int(APPLY_BURST)}
    assert not of_type(service.offer(pools(member(1, DRAINING)), "would empty it"), Drain)
    assert not of_type(service.offer(node("nowhere"), "settings"), Drain)


def test_a_lost_stream_discards_deferred_offers_but_not_the_version_being_applied() -> None:
    service = Service()
    service.offer(pools(5), "1")
    service.applies = False
    service.offer(pools(6), "2")
    service.offer(pools(7), "3")
    service.handle(StreamChanged(False))
    service.applies = True
    service.handle(Applied())
    service.advance(60_000.0)
    assert service.applied_version() == "2" and service.versions.counts["superseded"] == 1


def test_an_older_version_after_a_reconnect_is_applied_like_any_other() -> None:
    """Versions are opaque (xDS): a node that refused it would differ from one that has just started."""
    service = Service()
    for n in ("1", "2", "3"):
        service.offer(pools(int(n)), n)
    service.handle(StreamChanged(False))
    service.handle(StreamChanged(True))
    service.offer(pools(2), "2")
    assert (
        service.applied_version() == "2"
        and service.node is not None
        and service.node.members() == (member(2),)
    )


def test_a_service_that_returns_without_a_configuration_drains_no_server() -> None:
    service = Service()
    service.offer(pools(5, 6), "1")
    service.handle(StreamChanged(False))
    service.handle(StreamChanged(True))
    actions = service.offer(Pools({}), "2") + service.offer(None, "3", problem="no settings")
    assert not of_type(actions, Apply) and not of_type(actions, Drain)
    assert service.applied_version() == "1"


def test_status_reports_applied_and_deferred_versions_and_the_time() -> None:
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


# Members from control service and discovery


def test_discovery_decides_that_a_process_ends_and_the_service_who_is_a_member() -> None:
    control = (member(1), member(2, share=0.5), member(3, DRAINING), member(4))
    discovered = {1: DRAINING, 2: api.Health.IN_SERVICE, 3: api.Health.IN_SERVICE, 9: api.Health.IN_SERVICE}
    found = {entry.server: (entry.health, entry.share) for entry in merged(control, discovered)}
    assert found == {
        1: (DRAINING, 1.0),
        2: (api.Health.IN_SERVICE, 0.5),
        3: (DRAINING, 1.0),
        4: (api.Health.IN_SERVICE, 1.0),
    }
    gone = {entry.server: entry.health for entry in merged(control, {1: api.Health.GONE})}
    assert gone[1] is api.Health.GONE
    assert control[0].entry.health is api.Health.IN_SERVICE  # the input is not changed


def test_servers_that_leave_service_in_any_way_are_drained() -> None:
    before = Configuration(pools(1, 2, 3, member(4, DRAINING)), node())
    after = Configuration(pools(1, member(2, DRAINING), member(4, api.Health.GONE)), node())
    assert set(drained(before, after)) == {2, 3}


# Random sequences of events

contents = strategies.one_of(
    strategies.none(),
    strategies.lists(strategies.integers(1, 4), max_size=3).map(lambda ids: pools(*ids)),
    strategies.sampled_from(
        [node(), node("nowhere"), node(nodes=2), pools(member(1, DRAINING)), node(max_attempts=2)]
    ),
)
steps = strategies.one_of(
    contents, strategies.sampled_from(["applied", "failed", "lost", "wait", "same nonce"])
)


@settings(max_examples=300, deadline=None)
@given(strategies.lists(steps, max_size=40))
def test_in_any_sequence_the_applied_version_is_valid_and_every_offer_has_one_answer(
    script: list[Any],
) -> None:
    service = Service(applies=False, first=False)
    applying = 0
    answered = []
    for step in script:
        if step == "applied" or step == "failed":
            actions = service.handle(Applied("broken" if step == "failed" else ""))
            applying -= 1 if applying else 0
        elif step == "lost":
            actions = service.handle(StreamChanged(False)) + service.handle(StreamChanged(True))
        elif step == "wait":
            mark = len(service.log)
            service.advance(700.0)
            actions = service.log[mark:]
        elif step == "same nonce":
            actions = service.handle(Offered(Part.MEMBERS, "x", f"n{service.nonce}", pools(3)))
        else:
            actions = service.offer(step, problem="unreadable")
        applying += len(of_type(actions, Apply))
        assert applying <= 1  # at most one configuration is being applied
        answered += [(a.part, a.nonce, bool(a.reason)) for a in of_type(actions, Answer)]
        applied = service.versions.applied
        if applied is not None:
            check_members(applied.pools)
            check_parts_match(applied)
        for save in of_type(actions, SaveLastGood):
            assert save.configuration == applied
    acknowledged = [a for a in answered if not a[2]]
    assert len(set(acknowledged)) == len(acknowledged)  # none is acknowledged twice
    counts = service.versions.counts
    unanswered = len(service.versions._deferred) + applying
    assert counts["applied"] + counts["refused"] + counts["superseded"] + unanswered >= counts["offered"]
