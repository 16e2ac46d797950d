"""The judge of fleet membership on handwritten records, the effects of link faults, and their drawing."""

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


def journal_line(t: float, node: str, subject: str, status: str = "alive", incarnation: str = "L") -> str:
    kind = "self" if node == subject else "view"
    return json.dumps(
        {
            "t_ms": t * 1000.0,
            "kind": kind,
            "name": subject,
            "status": status,
            "life": f"{subject}{incarnation}",
        }
    )


def complete_journal(node: str, at: float = -0.5) -> list[str]:
    return [
        journal_line(at, node, node),
        *(journal_line(at, node, other) for other in NODES if other != node),
    ]


def judge_run(
    journals: dict[str, list[str]], *facts: Fact, links: tuple[LinkFault, ...] = ()
) -> dict[str, Any]:
    scenario = Scenario("x", length_s=30.0, fleet=FleetSettings(on=True))
    starts: list[Fact] = [NodeUp(-1.0, node, 0) for node in NODES]
    all_facts = sorted([*starts, *facts], key=lambda fact: fact.t)
    trace = build_trace(scenario, all_facts, 0.0, 40.0, True)
    return judge_fleet(trace, all_facts, journals, 0.0, links)[0]


def test_detection_of_a_death_is_timed_and_a_missed_one_is_a_problem() -> None:
    journals = {node: complete_journal(node) for node in NODES}
    journals["n0"].append(journal_line(13.0, "n0", "n2", "lost"))
    killed = NodeDown(10.0, "n2", "killed")
    found = judge_run(journals, killed, LinkBytes(5.0, "n0", 800, 2))
    assert found["problems"] == ["1 nodes never knew of a death", "views do not agree at the end"]
    journals["n1"].append(journal_line(14.0, "n1", "n2", "lost"))
    found = judge_run(journals, killed, LinkBytes(5.0, "n0", 800, 2))
    assert found["problems"] == [] and (found["known_dead_p50_s"], found["known_dead_p99_s"]) == (3.0, 4.0)
    assert found["false_deaths"] == 0 and found["bytes_a_node_s"] == pytest.approx(
        800 / (35 + 35 + 10), abs=0.2
    )


def test_false_death_counts_only_while_running_and_reachable_for_agree_s() -> None:
    journals = {node: complete_journal(node) for node in NODES}
    journals["n0"] += [journal_line(8.0, "n0", "n1", "lost"), journal_line(20.0, "n0", "n1")]
    assert judge_run(journals)["false_deaths"] == 1  # n0 and n1 were connected all the time
    one = frozenset({"n0"})
    rest = frozenset({"n1", "n2"})
    cut = LinkFault(5.0, 16.0, one, rest, cut=True)
    found = judge_run(journals, links=(cut,))
    assert found["false_deaths"] == 0 and found["views_agree_after_s"] == pytest.approx(4.0, abs=0.15)
    pair = LinkFault(5.0, 16.0, one, frozenset({"n1"}), cut=True)
    assert judge_run(journals, links=(pair,))["false_deaths"] == 1  # n1 reaches n0 through n2
    paused = NodePaused(5.0, 16.0, "n1")
    assert judge_run(journals, paused)["false_deaths"] == 0
    short_cut = LinkFault(5.0, 10.0, one, rest, cut=True)
    found = judge_run(journals, links=(short_cut,))
    assert found["false_deaths"] == 1 and any(
        "did not agree within 5 s of 10.0 s" in p for p in found["problems"]
    )


def test_restarted_node_begins_with_an_empty_view() -> None:
    journals = {node: complete_journal(node) for node in NODES}
    journals["n0"] += [journal_line(10.0, "n0", "n0", incarnation="M")]  # restarted; knows no other node
    found = judge_run(journals, NodeDown(9.0, "n0", "killed"), NodeUp(10.0, "n0", 0))
    assert "views do not agree at the end" in found["problems"]


def test_link_faults_take_effect_and_are_reproducible_from_the_seed() -> None:
    one, other = frozenset({"a"}), frozenset({"b"})
    faults = (
        LinkFault(0.0, 10.0, one, other, loss=0.3),
        LinkFault(10.0, 20.0, one, other, one_way=True, cut=True),
        LinkFault(20.0, 30.0, one, other, cut=True, flap_s=1.0),
        LinkFault(30.0, 40.0, one, other, rate=1_000.0),
        LinkFault(40.0, 50.0, one, other, late=0.5, late_s=20.0, duplicate=0.5),
    )

    def delays(sender: str, to: str, t: float, count: int, size: int = 100) -> list[list[float]]:
        return [links.datagram(sender, to, size, t) for _ in range(count)]

    links = Links(faults, 1)
    first = delays("a", "b", 5.0, 1_000)
    assert 0.25 < sum(not copies for copies in first) / 1_000 < 0.35
    links = Links(faults, 1)
    assert delays("a", "b", 5.0, 1_000) == first
    assert not any(delays("a", "b", 15.0, 10)) and all(delays("b", "a", 15.0, 10))
    assert links.stream("a", "b", 10, 15.0) is None and links.stream("b", "a", 10, 15.0) is not None
    assert not any(delays("a", "b", 20.5, 3)) and all(delays("a", "b", 21.5, 3))
    assert max(wait for copies in delays("a", "b", 30.0, 10, 500) for wait in copies) == pytest.approx(
        5.0, abs=0.01
    )
    late = delays("a", "b", 45.0, 200)
    assert 60 < sum(len(copies) == 2 for copies in late) < 140 and any(copies[0] > 19.0 for copies in late)


def test_timeline_draws_link_faults_and_rejects_invalid_ones() -> None:
    base = {"name": "x", "front": {"nodes": 6}, "fleet": {"on": True}}
    cut = {"at": "1s", "do": "link-cut", "for": "2s"}
    drawn = [
        draw(read_scenario(base | {"timeline": [cut | more]}, "x.toml")).links[0]
        for more in ({"zone": "b"}, {"share": 0.3}, {"pair": True, "one_way": True})
    ]
    assert drawn[0].one == {"n1", "n4"} and drawn[0].other == {"n0", "n2", "n3", "n5"}
    assert [len(fault.one) for fault in drawn] == [2, 2, 1] and len(drawn[2].other) == 1 and drawn[2].one_way
    invalid: list[tuple[dict[str, Any], str]] = [
        ({"fleet": {}}, "[fleet] is not on"),
        ({"timeline": [cut | {"zone": "z"}]}, "no zone 'z'"),
        ({"front": {"nodes": 1}}, "two nodes at least"),
    ]
    for change, expected_text in invalid:
        with pytest.raises(ScenarioError) as caught:
            read_scenario(base | {"timeline": [cut]} | change, "x.toml")
        assert expected_text in str(caught.value) and str(caught.value).startswith("x.toml: ")
