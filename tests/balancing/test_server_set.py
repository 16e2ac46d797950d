"""Large server sets: lists are applied in steps, drains at once, and costs do not grow with the size.

Costs are measured as the number of Python calls, which does not depend on the load of the machine.
"""

from __future__ import annotations

import random
import sys
from collections import Counter
from typing import Any

import pytest

from orchidferry.balancing import interface as api
from orchidferry.balancing import logic, server_set
from orchidferry.balancing.indexed_set import IndexedSet
from orchidferry.balancing.interface import Health, Result
from orchidferry.balancing.logic import Balancer
from orchidferry.balancing.schedule import RotationState
from tests.balancing.helpers import Node, sends, timers
from tests.balancing.test_property import check_sums

IDS = [random.Random(5).getrandbits(64) + n for n in range(10_000)]


def entries(
    ids: list[int], health: Health = Health.IN_SERVICE, started: float | None = None
) -> list[api.ServerEntry]:
    return [api.ServerEntry(id, "z", "k", id % 97, health, 1.0, started) for id in ids]


def settle(node: Node, actions: list[api.Action]) -> int:
    """Apply the rest of a long list, and return the number of steps."""
    steps = 0
    while pending := [t for t in timers(actions) if t.token == logic.LIST_TIMER_TOKEN]:
        assert len(pending) == 1
        actions = node.do(api.TimerFired(pending[0].token))
        steps += 1
    return steps


def node_with_servers(count: int = 10_000, **changes: Any) -> Node:
    node = Node(servers=0, **changes)
    settle(node, node.list_all(entries(IDS[:count])))
    return node


def python_calls(node: Node, work: object) -> int:
    """The number of Python and C calls that `work` makes."""
    count = 0

    def count_call(frame: object, event: str, arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(count_call)
    try:
        work()  # type: ignore[operator]
    finally:
        sys.setprofile(None)
    return count


@pytest.mark.parametrize("nodes", [1, 50])
def test_a_request_costs_about_the_same_with_10_and_10_000_servers(nodes: int) -> None:
    costs = []
    for count in (10, 10_000):
        node = node_with_servers(count, nodes=nodes)
        node.serve(200)
        costs.append(python_calls(node, lambda node=node: node.serve(300)) / 300)
    assert costs[1] < 1.5 * costs[0]


@pytest.mark.parametrize("nodes", [1, 50])
def test_a_list_change_costs_little_with_10_000_servers(nodes: int) -> None:
    node = node_with_servers(nodes=nodes)
    cost = python_calls(node, lambda: [node.change(*entries([id], Health.DRAINING)) for id in IDS[:20]]) / 20
    assert cost < 6_000  # iterating over all servers would take 10,000 and more; sorting, 40,000


def test_a_long_list_is_applied_in_steps_with_requests_in_between() -> None:
    node = Node(servers=0, nodes=50)
    actions = node.list_all(entries(IDS))
    assert sends(node.ask("early"))  # some servers can be used at once
    assert settle(node, actions) >= 3
    check_sums(node.balancer)
    assert 700 < len(node.balancer.server_set.assigned) < 820


def test_a_drain_takes_effect_at_once_also_for_the_next_server_in_turn() -> None:
    node = node_with_servers(500)
    node.serve(50)
    balancer = node.balancer
    first = balancer.picker.schedule.peek()
    assert first is not None
    node.change(*entries([first.item.id], Health.DRAINING))
    assert first.item.id not in node.serve(600)
    check_sums(balancer)


def test_removed_servers_get_no_calls_before_a_long_list_is_applied() -> None:
    node = Node(servers=0)
    settle(node, node.list_all(entries(IDS[:2_000])))
    gone = set(IDS[:1_500])
    actions = node.list_all(entries(IDS[1_500:2_000]))
    assert not gone & set(node.serve(40))  # before the first step
    settle(node, actions)
    assert set(node.balancer.server_set.assigned) == set(IDS[1_500:2_000])
    check_sums(node.balancer)


def test_4_800_servers_that_start_at_once_get_few_calls_each() -> None:
    node = node_with_servers(200)
    node.serve(300)
    settle(node, node.change(*entries(IDS[200:5_000], started=node.now)))
    picked = Counter(node.serve(400))
    cold = [count for id, count in picked.items() if id in set(IDS[200:5_000])]
    assert cold and max(cold) <= 4
    check_sums(node.balancer)


def test_the_last_entry_counts_for_a_server_listed_twice_in_one_change() -> None:
    node = node_with_servers(20)
    both = [
        *entries(IDS[:1], Health.DRAINING),
        *entries(IDS[:1]),
        *entries(IDS[1:2]),
        *entries(IDS[1:2], Health.GONE),
    ]
    node.change(*both)
    picked = set(node.serve(60))
    assert IDS[0] in picked and IDS[1] not in picked
    check_sums(node.balancer)


def test_calls_of_a_server_that_left_and_came_back_end_correctly() -> None:
    node = node_with_servers(5)
    node.ask("a")
    [server] = node.sent["a"]
    node.change(*entries([server], Health.GONE))
    node.change(*entries([server], started=node.now))
    check_sums(node.balancer)
    node.end("a", Result.SERVED)
    assert node.balancer.inflight == 0
    check_sums(node.balancer)


def test_a_list_that_shrinks_to_one_server_sends_everything_there() -> None:
    node = node_with_servers(3_000, nodes=6)
    settle(node, node.list_all(entries(IDS[:1])))
    node.serve(5)
    assert set(node.balancer.server_set.assigned) == {IDS[0]}
    assert set(node.serve(20)) == {IDS[0]}
    check_sums(node.balancer)


def test_all_servers_but_one_are_ejected_and_return() -> None:
    node = node_with_servers(6)
    node.serve(60)
    balancer = node.balancer
    for id in IDS[:5]:
        server = balancer.server_set.servers[id]
        balancer.outliers.eject(server, node.now)
        balancer.picker.update_state(server)
    assert balancer.outliers.ejected_count == 5
    assert set(node.serve(10, gap_ms=1.0, delay_ms=5.0)) == {IDS[5]}
    node.now += 60_000.0
    assert len(set(node.serve(30))) == 6
    assert balancer.outliers.ejected_count == 0
    check_sums(balancer)


def test_servers_of_weight_0_get_nothing_while_there_are_others() -> None:
    node = Node(servers=0)
    node.list_all([api.ServerEntry(1, share=0.0), api.ServerEntry(2, share=1.0)])
    assert set(node.serve(20)) == {2}


def test_an_overloaded_server_returns_when_its_calls_end_or_its_peers_have_as_many() -> None:
    node = node_with_servers(4)
    node.serve(100)
    balancer = node.balancer
    balancer.controller.window = lambda servers, now: 100.0  # type: ignore[method-assign]
    for n in range(8):
        node.ask(f"r{n}")
    held = Counter(server for n in range(8) for server in node.sent[f"r{n}"])
    assert set(held.values()) == {2}
    check_sums(balancer)
    for n in range(8):
        node.end(f"r{n}", Result.SERVED, 1.0)
    assert all(s.member.state is RotationState.ACTIVE for s in balancer.server_set.assigned.values())


def test_a_fair_share_that_falls_during_an_update_causes_no_endless_loop() -> None:
    """A server was pushed to the heap with a lower fair share each time, endlessly."""
    node = node_with_servers(4)
    node.serve(20)
    balancer = node.balancer
    for n in range(12):
        node.ask(f"r{n}")
    count = 0

    def fair_share() -> float:
        nonlocal count
        count += 1
        assert count < 1_000
        return 9.0 if count % 7 == 1 else 0.1

    balancer.picker.fair_share = fair_share  # type: ignore[method-assign]
    for n in range(12):
        node.ask(f"s{n}")
    assert count >= 12


def test_ended_calls_are_dropped_also_before_there_is_a_baseline() -> None:
    node = node_with_servers(3)
    for n in range(500):
        node.ask(f"r{n}", "unsafe")
        node.end(f"r{n}", Result.ERROR, 1.0)
    assert sum(map(len, node.balancer.outstanding._on_time.values())) <= 2


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[tuple[float, api.Action]]:
        node = node_with_servers(700, nodes=12, number=3)
        node.serve(100)
        node.change(*entries(IDS[:3], Health.DRAINING), *entries(IDS[700:720], started=node.now))
        node.serve(100)
        return node.log

    assert play() == play()


def test_few_records_are_kept_of_unassigned_servers() -> None:
    node = node_with_servers(nodes=50)
    servers = node.balancer.server_set
    assert len(servers.servers) < 1_100
    for n in range(600):  # a repeat may go to any server
        node.ask(f"r{n}")
        timer = next(iter(timers(node.end(f"r{n}", Result.ERROR, 1.0))), None)
        if timer is not None and sends(node.do(api.TimerFired(timer.token), timer.delay_ms)):
            node.end(f"r{n}", Result.SERVED, 1.0)
    assert len(servers.servers) <= len(servers.assigned) + server_set.MAX_UNASSIGNED + 1


def test_an_indexed_set_holds_its_members() -> None:
    indexed_set = IndexedSet()
    model = set[int]()
    rng = random.Random(1)
    for _ in range(2_000):
        item = rng.randrange(40)
        (indexed_set.add if rng.random() < 0.5 else indexed_set.remove)(item)
        model = model | {item} if item in indexed_set else model - {item}
        assert set(indexed_set.items) == model and len(indexed_set) == len(model)


def test_a_list_timer_that_was_not_set_has_no_effect() -> None:
    balancer = Balancer(Node().balancer.settings, 1)
    assert balancer.handle(api.TimerFired(logic.LIST_TIMER_TOKEN), 0.0) == []
