"""The judge of a fleet on made-up records, the links, and one real rehearsal with a node that is killed."""

from __future__ import annotations

import json
from typing import Any

import pytest

from orchidferry.testkit.judge.fleet import judge_fleet
from orchidferry.testkit.judge.trace import build_trace
from orchidferry.testkit.record import Fact, LinkBytes, NodeDown, NodePaused, NodeUp
from orchidferry.testkit.scenario import FleetSettings, Scenario, ScenarioError, read_scenario
from orchidferry.testkit.world.links import LinkFault, Links
from orchidferry.testkit.world.plan import draw

NODES = ("n0", "n1", "n2")


def line(t: float, node: str, subject: str, status: str = "alive", life: str = "L") -> str:
    kind = "self" if node == subject else "view"
    return json.dumps(
        {"t_ms": t * 1000.0, "kind": kind, "name": subject, "status": status, "life": f"{subject}{life}"}
    )


def joined(node: str, at: float = -0.5) -> list[str]:
    return [line(at, node, node), *(line(at, node, other) for other in NODES if other != node)]


def judged(journals: dict[str, list[str]], *facts: Fact, links: tuple[LinkFault, ...] = ()) -> dict[str, Any]:
    scenario = Scenario("x", length_s=30.0, fleet=FleetSettings(on=True))
    ups: list[Fact] = [NodeUp(-1.0, node, 0) for node in NODES]
    all_ = sorted([*ups, *facts], key=lambda fact: fact.t)
    trace = build_trace(scenario, all_, 0.0, 40.0, True)
    return judge_fleet(trace, all_, journals, 0.0, links)[0]


def test_a_death_that_all_learn_of_is_timed_and_a_view_that_stays_wrong_is_a_problem() -> None:
    journals = {node: joined(node) for node in NODES}
    journals["n0"].append(line(13.0, "n0", "n2", "lost"))
    killed = NodeDown(10.0, "n2", "killed")
    found = judged(journals, killed, LinkBytes(5.0, "n0", 800, 2))
    assert found["problems"] == ["1 nodes never knew of a death", "views do not agree at the end"]
    journals["n1"].append(line(14.0, "n1", "n2", "lost"))
    found = judged(journals, killed, LinkBytes(5.0, "n0", 800, 2))
    assert found["problems"] == [] and (found["known_dead_p50_s"], found["known_dead_p99_s"]) == (3.0, 4.0)
    assert found["false_deaths"] == 0 and found["bytes_a_node_s"] == pytest.approx(
        800 / (35 + 35 + 10), abs=0.2
    )


def test_held_for_lost_counts_only_while_there_and_within_reach_and_from_a_while_after_a_heal() -> None:
    journals = {node: joined(node) for node in NODES}
    journals["n0"] += [line(8.0, "n0", "n1", "lost"), line(20.0, "n0", "n1")]
    assert judged(journals)["false_deaths"] == 1  # nothing kept them apart
    one = frozenset({"n0"})
    rest = frozenset({"n1", "n2"})
    cut = LinkFault(5.0, 16.0, one, rest, cut=True)
    found = judged(journals, links=(cut,))
    assert found["false_deaths"] == 0 and found["views_agree_after_s"] == pytest.approx(4.0, abs=0.15)
    pair = LinkFault(5.0, 16.0, one, frozenset({"n1"}), cut=True)
    assert judged(journals, links=(pair,))["false_deaths"] == 1  # n2 could have told
    paused = NodePaused(5.0, 16.0, "n1")
    assert judged(journals, paused)["false_deaths"] == 0
    late = LinkFault(5.0, 10.0, one, rest, cut=True)
    found = judged(journals, links=(late,))
    assert found["false_deaths"] == 1 and any(
        "did not agree within 5 s of 10.0 s" in p for p in found["problems"]
    )


def test_another_process_of_the_same_name_knows_nothing_yet() -> None:
    journals = {node: joined(node) for node in NODES}
    journals["n0"] += [line(10.0, "n0", "n0", life="M")]  # started again, and never heard of any
    found = judged(journals, NodeDown(9.0, "n0", "killed"), NodeUp(10.0, "n0", 0))
    assert "views do not agree at the end" in found["problems"]


def test_links_lose_cut_slow_and_flap_as_told_and_the_same_for_a_seed() -> None:
    one, other = frozenset({"a"}), frozenset({"b"})
    faults = (
        LinkFault(0.0, 10.0, one, other, loss=0.3),
        LinkFault(10.0, 20.0, one, other, one_way=True, cut=True),
        LinkFault(20.0, 30.0, one, other, cut=True, flap_s=1.0),
        LinkFault(30.0, 40.0, one, other, rate=1_000.0),
        LinkFault(40.0, 50.0, one, other, late=0.5, late_s=20.0, duplicate=0.5),
    )

    def fates(sender: str, to: str, t: float, count: int, size: int = 100) -> list[list[float]]:
        return [links.datagram(sender, to, size, t) for _ in range(count)]

    links = Links(faults, 1)
    first = fates("a", "b", 5.0, 1_000)
    assert 0.25 < sum(not fate for fate in first) / 1_000 < 0.35
    links = Links(faults, 1)
    assert fates("a", "b", 5.0, 1_000) == first
    assert not any(fates("a", "b", 15.0, 10)) and all(fates("b", "a", 15.0, 10))
    assert links.stream("a", "b", 10, 15.0) is None and links.stream("b", "a", 10, 15.0) is not None
    assert not any(fates("a", "b", 20.5, 3)) and all(fates("a", "b", 21.5, 3))
    assert max(wait for fate in fates("a", "b", 30.0, 10, 500) for wait in fate) == pytest.approx(
        5.0, abs=0.01
    )
    late = fates("a", "b", 45.0, 200)
    assert 60 < sum(len(fate) == 2 for fate in late) < 140 and any(fate[0] > 19.0 for fate in late)


def test_the_timeline_draws_sides_zones_and_pairs_and_says_what_is_wrong() -> None:
    base = {"name": "x", "front": {"nodes": 6}, "fleet": {"on": True}}
    cut = {"at": "1s", "do": "link-cut", "for": "2s"}
    drawn = [
        draw(read_scenario(base | {"timeline": [cut | more]}, "x.toml")).links[0]
        for more in ({"zone": "b"}, {"share": 0.3}, {"pair": True, "one_way": True})
    ]
    assert drawn[0].one == {"n1", "n4"} and drawn[0].other == {"n0", "n2", "n3", "n5"}
    assert [len(fault.one) for fault in drawn] == [2, 2, 1] and len(drawn[2].other) == 1 and drawn[2].one_way
    wrong: list[tuple[dict[str, Any], str]] = [
        ({"fleet": {}}, "[fleet] is not on"),
        ({"timeline": [cut | {"zone": "z"}]}, "no zone 'z'"),
        ({"front": {"nodes": 1}}, "two nodes at least"),
    ]
    for change, says in wrong:
        with pytest.raises(ScenarioError) as caught:
            read_scenario(base | {"timeline": [cut]} | change, "x.toml")
        assert says in str(caught.value) and str(caught.value).startswith("x.toml: ")
