"""Rollouts: every cause of a rollback as a table, and invariants under events in any order."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given, settings, strategies

from orchidferry.balancing import proportions
from orchidferry.balancing import rollout as r
from orchidferry.balancing import rollout_events as events
from orchidferry.balancing.rollout import Plan, Rollout
from orchidferry.balancing.rollout_events import Accept, NodeMetrics, Offer, Report, State, Withdraw

NODES = tuple(f"n{at}" for at in range(10))


@dataclass
class Scene:
    """A rollout over ten nodes, with metrics that the test increases."""

    plan: Plan = field(default_factory=lambda: Plan("v2", 1, watch_ms=1000.0))
    now: float = 0.0
    history: tuple[int, int] = (1000, 1)  # initial good and failed answers of each node

    def __post_init__(self) -> None:
        self.rollout = Rollout(self.plan)
        self.offered: list[str] = []
        self.back: list[str] = []
        self.accepted = 0
        self.reports: list[str] = []
        self.totals = {node: list(self.history) for node in NODES}
        self.see()
        self.do(events.Start(NODES))

    def do(self, event: events.Event, after_ms: float = 0.0) -> None:
        self.now += after_ms
        for action in self.rollout.handle(event, self.now):
            match action:
                case Offer():
                    self.offered += action.nodes
                case Withdraw():
                    self.back += action.nodes
                case Accept():
                    self.accepted += 1
                case Report():
                    self.reports.append(action.text)

    def see(self, ready: bool = True, silent: tuple[str, ...] = ()) -> None:
        for node, (good, failed) in self.totals.items():
            self.do(events.NodeObserved(node, None if node in silent else NodeMetrics(ready, good, failed)))

    def say(self, *nodes: str, version: str = "v2", reason: str = "") -> None:
        for node in nodes:
            self.do(events.NodeAnswered(node, version, reason))

    def serve(self, nodes: Any, good: int, failed: int) -> None:
        for node in nodes:
            self.totals[node][0] += good
            self.totals[node][1] += failed
        self.see()

    def wave(self, good: int = 50, failed: int = 0) -> None:
        """Complete one wave, with these answers on every node."""
        self.say(*self.offered)
        self.serve(NODES, good, failed)
        self.do(events.Tick(), 1000.0)


def test_a_good_version_reaches_every_node_in_waves() -> None:
    scene = Scene()
    sizes = []
    while not scene.rollout.ended:
        sizes.append(len(scene.offered))
        scene.wave()
    assert sizes == [1, 5, 10] and sorted(scene.offered) == sorted(NODES)
    assert (scene.rollout.state, scene.accepted, scene.back) == (State.DONE, 1, [])
    assert r.wave_sizes(1000, Plan("v", 3, widen=9.0)) == [3, 27, 270, 700]
    assert r.node_order(NODES, "v2") == r.node_order(reversed(NODES), "v2") != r.node_order(NODES, "v3")
    assert scene.rollout.handle(events.NodeAnswered(NODES[0], "v2", "too late"), 0.0) == []


def refused(s: Scene) -> None:
    s.say(s.offered[0], reason="no live server")


def refused_later(s: Scene) -> None:
    s.wave()
    s.say(s.offered[0], reason="it could not be applied")


def never_acknowledged(s: Scene) -> None:
    s.do(events.Tick(), r.ACKNOWLEDGE_TIMEOUT_MS)


def stream_lost(s: Scene) -> None:
    s.say(*s.offered)
    s.do(events.StreamsChanged(frozenset(NODES) - set(s.offered)))
    s.do(events.Tick(), r.UNAVAILABLE_TIMEOUT_MS)


def not_ready(s: Scene) -> None:
    s.say(*s.offered)
    s.see(ready=False)
    s.do(events.Tick(), r.UNAVAILABLE_TIMEOUT_MS)


def door_silent(s: Scene) -> None:
    s.say(*s.offered)
    s.see(silent=tuple(s.offered))
    s.do(events.Tick(), r.UNAVAILABLE_TIMEOUT_MS)


def fails_more(s: Scene) -> None:
    s.say(*s.offered)
    s.serve(s.offered, 30, 20)
    s.serve(set(NODES) - set(s.offered), 50, 0)
    s.do(events.Tick(), 10.0)


def fails_more_after_a_restart(s: Scene) -> None:
    s.say(*s.offered)
    s.serve(s.offered, 0, 30)
    s.totals[s.offered[0]] = [0, 0]  # restarted: it counts from 0, but its earlier failures still count
    s.serve(s.offered, 10, 0)
    s.do(events.Tick(), 10.0)


def fails_in_the_last_wave(s: Scene) -> None:
    s.wave()
    s.wave()
    s.say(*s.offered)
    s.serve(NODES, 30, 20)  # no node is without the version: compared with the fleet before the rollout
    s.do(events.Tick(), 10.0)


def says_nothing(s: Scene) -> None:
    s.say(*s.offered)
    s.serve(s.offered, 3, 0)
    for _ in range(3):
        s.do(events.Tick(), 1000.0)


def given_up(s: Scene) -> None:
    s.do(events.Abort("whoever pushed it has gone"))


BACK = {
    refused: "refused it: no live server",
    refused_later: "could not be applied",
    never_acknowledged: "did not acknowledge it within 15 s",
    stream_lost: "no stream for 15 s",
    not_ready: "is not ready",
    door_silent: "its metrics endpoint (door) does not answer",
    fails_more: "20 of 50 answers failed",
    fails_more_after_a_restart: "30 of 40 answers failed",
    fails_in_the_last_wave: "200 of 500 answers failed",
    says_nothing: "too few answers to judge it: 3 of 20",
    given_up: "has gone",
}


@pytest.mark.parametrize("cause", BACK)
def test_each_fault_rolls_back_every_node_that_was_offered_the_version(cause: Any) -> None:
    scene = Scene()
    cause(scene)
    assert scene.rollout.state is State.ROLLING_BACK and not scene.accepted
    assert BACK[cause] in scene.rollout.reason and BACK[cause] in scene.reports[-1]
    assert sorted(scene.back) == sorted(scene.offered)
    scene.do(events.Abort("again"))
    scene.say(*scene.offered[1:], version="v1")
    assert not scene.rollout.ended
    scene.say(scene.offered[0], version="v1")
    assert scene.rollout.status()["state"] == "undone" and sorted(scene.back) == sorted(scene.offered)
    assert scene.reports[-1] == "all nodes were given back their previous version"


def test_unrelated_faults_do_not_roll_back() -> None:
    scene = Scene()
    scene.say(NODES[0], NODES[1], "stranger", version="v9", reason="of another")
    scene.say(*scene.offered)
    scene.serve(NODES, 30, 20)  # an incident everywhere
    scene.do(events.StreamsChanged(frozenset()))
    scene.do(events.StreamsChanged(frozenset(NODES)), r.UNAVAILABLE_TIMEOUT_MS - 1.0)
    scene.do(events.Tick(), 1.0)
    assert len(scene.offered) == 5 and not scene.back


def test_a_node_that_does_not_confirm_its_rollback_is_named_and_does_not_block_it() -> None:
    scene = Scene()
    refused(scene)
    scene.do(events.Tick(), r.ACKNOWLEDGE_TIMEOUT_MS - 1.0)
    assert not scene.rollout.ended
    scene.do(events.Tick(), 1.0)
    assert scene.rollout.ended and f"such as {scene.offered[0]}" in scene.reports[-1]


def test_without_metrics_only_acknowledgements_and_streams_count_and_it_is_reported() -> None:
    scene = Scene(Plan("v2", 10, watch_ms=0.0, has_metrics=False), history=(0, 0))
    assert "no metrics endpoints (doors) given" in scene.reports[0]
    scene.say(*NODES)
    assert scene.rollout.state is State.DONE
    empty = Rollout(scene.plan)
    actions = empty.handle(events.Start(()), 0.0)
    assert empty.state is State.ROLLED_BACK and isinstance(actions[0], Report)


@pytest.mark.parametrize("bad", [{"first": 0}, {"widen": 0.5}, {"watch_ms": -1.0}, {"min_answers": -1}])
def test_an_invalid_plan_is_refused(bad: dict[str, Any]) -> None:
    with pytest.raises(ValueError):
        Plan("v", **({"first": 1} | bad))


def test_the_wilson_interval_contains_the_rate_and_matches_a_published_value() -> None:
    assert proportions.wilson_interval(0, 0) == (0.0, 1.0)
    for failed, total in ((0, 10), (5, 10), (10, 10), (1, 1000)):
        low, high = proportions.wilson_interval(failed, total)
        assert 0.0 <= low <= failed / total <= high <= 1.0
    assert proportions.wilson_interval(50, 100, 1.96) == pytest.approx(
        (0.4038, 0.5962), abs=1e-4
    )  # a published value


EVENTS = strategies.one_of(
    strategies.builds(
        events.NodeAnswered,
        strategies.sampled_from([*NODES, "x"]),
        strategies.sampled_from(["v1", "v2"]),
        strategies.sampled_from(["", "", "", "no"]),
    ),
    strategies.builds(
        events.StreamsChanged, strategies.frozensets(strategies.sampled_from(NODES), min_size=5)
    ),
    strategies.builds(
        events.NodeObserved,
        strategies.sampled_from(NODES),
        strategies.one_of(
            strategies.none(),
            strategies.builds(
                NodeMetrics, strategies.booleans(), strategies.integers(0, 2000), strategies.integers(0, 5)
            ),
        ),
    ),
    strategies.just(events.Tick()),
)


@settings(max_examples=200, deadline=None)
@given(strategies.lists(strategies.tuples(EVENTS, strategies.floats(0.0, 5000.0)), max_size=80))
def test_with_events_in_any_order_a_rollout_ends_and_is_never_both_accepted_and_withdrawn(
    script: list[tuple[events.Event, float]],
) -> None:
    scene = Scene()
    for event, after_ms in script:
        scene.do(event, after_ms)
        assert len(set(scene.offered)) == len(scene.offered)
        assert not (scene.accepted and scene.back) and scene.accepted <= 1
    for _ in range(400):  # after any events, the passing of time ends the rollout
        scene.do(events.Tick(), 1000.0)
    assert scene.rollout.ended
    if scene.rollout.state is State.ROLLED_BACK:
        assert sorted(scene.back) == sorted(scene.offered)
    else:
        assert sorted(scene.offered) == sorted(NODES)


def test_the_status_keeps_its_keys() -> None:
    """Operators' programs read these keys."""
    status = r.Rollout(Plan("v2", 1)).status()
    assert list(status) == [
        "version",
        "state",
        "reason",
        "wave",
        "waves",
        "offered",
        "acknowledged",
        "waiting",
    ]
