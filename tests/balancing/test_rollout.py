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

NODES = tuple(f"n{n}" for n in range(10))


@dataclass
class Scene:
    """A rollout over ten nodes, with metrics that the test increases."""

    plan: Plan = field(default_factory=lambda: Plan("v2", 1, watch_ms=1000.0))
    now: float = 0.0
    history: tuple[int, int] = (1000, 1)  # initial good and failed answers of each node

    def __post_init__(self) -> None:
        self.rollout = Rollout(self.plan)
        self.offered: list[str] = []
        self.withdrawn: list[str] = []
        self.accepted = 0
        self.reports: list[str] = []
        self.totals = {node: list(self.history) for node in NODES}
        self.observe()
        self.handle(events.Start(NODES))

    def handle(self, event: events.Event, after_ms: float = 0.0) -> None:
        self.now += after_ms
        for action in self.rollout.handle(event, self.now):
            match action:
                case Offer():
                    self.offered += action.nodes
                case Withdraw():
                    self.withdrawn += action.nodes
                case Accept():
                    self.accepted += 1
                case Report():
                    self.reports.append(action.text)

    def observe(self, ready: bool = True, silent: tuple[str, ...] = ()) -> None:
        for node, (good, failed) in self.totals.items():
            self.handle(
                events.NodeObserved(node, None if node in silent else NodeMetrics(ready, good, failed))
            )

    def answer(self, *nodes: str, version: str = "v2", reason: str = "") -> None:
        for node in nodes:
            self.handle(events.NodeAnswered(node, version, reason))

    def serve(self, nodes: Any, good: int, failed: int) -> None:
        for node in nodes:
            self.totals[node][0] += good
            self.totals[node][1] += failed
        self.observe()

    def wave(self, good: int = 50, failed: int = 0) -> None:
        """Complete one wave, with these answers on every node."""
        self.answer(*self.offered)
        self.serve(NODES, good, failed)
        self.handle(events.Tick(), 1000.0)


def test_a_good_version_reaches_every_node_in_waves() -> None:
    scene = Scene()
    sizes = []
    while not scene.rollout.ended:
        sizes.append(len(scene.offered))
        scene.wave()
    assert sizes == [1, 5, 10] and sorted(scene.offered) == sorted(NODES)
    assert (scene.rollout.state, scene.accepted, scene.withdrawn) == (State.DONE, 1, [])
    assert r.wave_sizes(1000, Plan("v", 3, widen=9.0)) == [3, 27, 270, 700]
    assert r.node_order(NODES, "v2") == r.node_order(reversed(NODES), "v2") != r.node_order(NODES, "v3")
    assert scene.rollout.handle(events.NodeAnswered(NODES[0], "v2", "too late"), 0.0) == []


def refused(s: Scene) -> None:
    s.answer(s.offered[0], reason="no live server")


def refused_later(s: Scene) -> None:
    s.wave()
    s.answer(s.offered[0], reason="it could not be applied")


def never_acknowledged(s: Scene) -> None:
    s.handle(events.Tick(), r.ACKNOWLEDGE_TIMEOUT_MS)


def stream_lost(s: Scene) -> None:
    s.answer(*s.offered)
    s.handle(events.StreamsChanged(frozenset(NODES) - set(s.offered)))
    s.handle(events.Tick(), r.UNAVAILABLE_TIMEOUT_MS)


def not_ready(s: Scene) -> None:
    s.answer(*s.offered)
    s.observe(ready=False)
    s.handle(events.Tick(), r.UNAVAILABLE_TIMEOUT_MS)


def metrics_unavailable(s: Scene) -> None:
    s.answer(*s.offered)
    s.observe(silent=tuple(s.offered))
    s.handle(events.Tick(), r.UNAVAILABLE_TIMEOUT_MS)


def fails_more(s: Scene) -> None:
    s.answer(*s.offered)
    s.serve(s.offered, 30, 20)
    s.serve(set(NODES) - set(s.offered), 50, 0)
    s.handle(events.Tick(), 10.0)


def fails_more_after_a_restart(s: Scene) -> None:
    s.answer(*s.offered)
    s.serve(s.offered, 0, 30)
    s.totals[s.offered[0]] = [0, 0]  # restarted: it counts from 0, but its earlier failures still count
    s.serve(s.offered, 10, 0)
    s.handle(events.Tick(), 10.0)


def fails_in_the_last_wave(s: Scene) -> None:
    s.wave()
    s.wave()
    s.answer(*s.offered)
    s.serve(NODES, 30, 20)  # no node is without the version: compared with the fleet before the rollout
    s.handle(events.Tick(), 10.0)


def too_few_answers(s: Scene) -> None:
    s.answer(*s.offered)
    s.serve(s.offered, 3, 0)
    for _ in range(3):
        s.handle(events.Tick(), 1000.0)


def aborted(s: Scene) -> None:
    s.handle(events.Abort("whoever pushed it has gone"))


ROLLBACK_CAUSES = {
    refused: "refused it: no live server",
    refused_later: "could not be applied",
    never_acknowledged: "did not acknowledge it within 15 s",
    stream_lost: "no stream for 15 s",
    not_ready: "is not ready",
    metrics_unavailable: "its metrics endpoint (door) does not answer",
    fails_more: "20 of 50 answers failed",
    fails_more_after_a_restart: "30 of 40 answers failed",
    fails_in_the_last_wave: "200 of 500 answers failed",
    too_few_answers: "too few answers to judge it: 3 of 20",
    aborted: "has gone",
}


@pytest.mark.parametrize("cause", ROLLBACK_CAUSES)
def test_each_fault_rolls_back_every_node_that_was_offered_the_version(cause: Any) -> None:
    scene = Scene()
    cause(scene)
    assert scene.rollout.state is State.ROLLING_BACK and not scene.accepted
    assert ROLLBACK_CAUSES[cause] in scene.rollout.reason and ROLLBACK_CAUSES[cause] in scene.reports[-1]
    assert sorted(scene.withdrawn) == sorted(scene.offered)
    scene.handle(events.Abort("again"))
    scene.answer(*scene.offered[1:], version="v1")
    assert not scene.rollout.ended
    scene.answer(scene.offered[0], version="v1")
    assert scene.rollout.status()["state"] == "undone" and sorted(scene.withdrawn) == sorted(scene.offered)
    assert scene.reports[-1] == "all nodes were given back their previous version"


def test_unrelated_faults_do_not_roll_back() -> None:
    scene = Scene()
    scene.answer(NODES[0], NODES[1], "stranger", version="v9", reason="of another")
    scene.answer(*scene.offered)
    scene.serve(NODES, 30, 20)  # an incident everywhere
    scene.handle(events.StreamsChanged(frozenset()))
    scene.handle(events.StreamsChanged(frozenset(NODES)), r.UNAVAILABLE_TIMEOUT_MS - 1.0)
    scene.handle(events.Tick(), 1.0)
    assert len(scene.offered) == 5 and not scene.withdrawn


def test_a_node_that_does_not_confirm_its_rollback_is_named_and_does_not_block_it() -> None:
    scene = Scene()
    refused(scene)
    scene.handle(events.Tick(), r.ACKNOWLEDGE_TIMEOUT_MS - 1.0)
    assert not scene.rollout.ended
    scene.handle(events.Tick(), 1.0)
    assert scene.rollout.ended and f"such as {scene.offered[0]}" in scene.reports[-1]


def test_without_metrics_only_acknowledgements_and_streams_count_and_it_is_reported() -> None:
    scene = Scene(Plan("v2", 10, watch_ms=0.0, has_metrics=False), history=(0, 0))
    assert "no metrics endpoints (doors) given" in scene.reports[0]
    scene.answer(*NODES)
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
        scene.handle(event, after_ms)
        assert len(set(scene.offered)) == len(scene.offered)
        assert not (scene.accepted and scene.withdrawn) and scene.accepted <= 1
    for _ in range(400):  # after any events, the passing of time ends the rollout
        scene.handle(events.Tick(), 1000.0)
    assert scene.rollout.ended
    if scene.rollout.state is State.ROLLED_BACK:
        assert sorted(scene.withdrawn) == sorted(scene.offered)
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
