"""Large fleets: lists in steps, drains at once, and costs that do not grow; counted, not timed."""

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
    """Let a long list be worked off to its end; in how many steps."""
    steps = 0
    while work := [t for t in timers(actions) if t.token == logic.LIST_TIMER_TOKEN]:
        assert len(work) == 1
        actions = node.do(api.TimerFired(work[0].token))
        steps += 1
    return steps


def large(count: int = 10_000, **changes: Any) -> Node:
    node = Node(servers=0, **changes)
    settle(node, node.list_all(entries(IDS[:count])))
    return node


def calls(node: Node, work: object) -> int:
    """Python calls that some work makes: a measure of cost that no busy machine changes."""
    count = 0

    def counts(frame: object, event: str, arg: object) -> None:
        nonlocal count
        count += event in ("call", "c_call")

    sys.setprofile(counts)
    try:
        work()  # type: ignore[operator]
    finally:
        sys.setprofile(None)
    return count


@pytest.mark.parametrize("nodes", [1, 50])
def test_a_request_costs_the_same_calls_at_10_and_at_10_000_servers(nodes: int) -> None:
    costs = []
    for count in (10, 10_000):
        node = large(count, nodes=nodes)
        node.serve(200)
        costs.append(calls(node, lambda node=node: node.serve(300)) / 300)
    assert costs[1] < 1.5 * costs[0]


@pytest.mark.parametrize("nodes", [1, 50])
def test_a_list_change_costs_little_at_10_000_servers(nodes: int) -> None:
    node = large(nodes=nodes)
    cost = calls(node, lambda: [node.change(*entries([id], Health.DRAINING)) for id in IDS[:20]]) / 20
    assert cost < 6_000  # a walk of the fleet would be 10,000 and more; sorting it, 40,000


def test_a_long_list_is_taken_in_steps_and_requests_go_out_between_them() -> None:
    node = Node(servers=0, nodes=50)
    actions = node.list_all(entries(IDS))
    assert sends(node.ask("early"))  # a part of the fleet is there at once
    assert settle(node, actions) >= 3
    check_sums(node.balancer)
    assert 700 < len(node.balancer.server_set.assigned) < 820


def test_a_drain_takes_effect_at_once_wherever_the_server_stands() -> None:
    node = large(500)
    node.serve(50)
    balancer = node.balancer
    first = balancer.picker.schedule.peek()
    assert first is not None
    node.change(*entries([first.item.id], Health.DRAINING))
    assert first.item.id not in node.serve(600)
    check_sums(balancer)


def test_a_drain_counts_at_once_in_the_middle_of_a_long_list() -> None:
    node = Node(servers=0)
    settle(node, node.list_all(entries(IDS[:2_000])))
    gone = set(IDS[:1_500])
    actions = node.list_all(entries(IDS[1_500:2_000]))
    assert not gone & set(node.serve(40))  # before any step of it
    settle(node, actions)
    assert set(node.balancer.server_set.assigned) == set(IDS[1_500:2_000])
    check_sums(node.balancer)


def test_10_000_that_come_at_once_cold_are_spared_and_used() -> None:
    node = large(200)
    node.serve(300)
    settle(node, node.change(*entries(IDS[200:5_000], started=node.now)))
    picked = Counter(node.serve(400))
    cold = [count for id, count in picked.items() if id in set(IDS[200:5_000])]
    assert cold and max(cold) <= 4
    check_sums(node.balancer)


def test_the_same_server_twice_in_one_change_is_as_it_was_last() -> None:
    node = large(20)
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


def test_a_change_for_a_server_with_calls_out_books_their_ends() -> None:
    node = large(5)
    node.ask("a")
    [server] = node.sent["a"]
    node.change(*entries([server], Health.GONE))
    node.change(*entries([server], started=node.now))
    check_sums(node.balancer)
    node.end("a", Result.SERVED)
    assert node.balancer.inflight == 0
    check_sums(node.balancer)


def test_a_list_that_shrinks_to_one_leaves_it_all() -> None:
    node = large(3_000, nodes=6)
    settle(node, node.list_all(entries(IDS[:1])))
    node.serve(5)
    assert set(node.balancer.server_set.assigned) == {IDS[0]}
    assert set(node.serve(20)) == {IDS[0]}
    check_sums(node.balancer)


def test_all_but_one_out_for_errors_and_back() -> None:
    node = large(6)
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


def test_weights_of_0_get_nothing_while_others_are_there() -> None:
    node = Node(servers=0)
    node.list_all([api.ServerEntry(1, share=0.0), api.ServerEntry(2, share=1.0)])
    assert set(node.serve(20)) == {2}


def test_a_crowded_server_returns_when_its_calls_end_or_its_peers_hold_alike() -> None:
    node = large(4)
    node.serve(100)
    balancer = node.balancer
    balancer.controller.window = lambda part, now: 100.0  # type: ignore[method-assign]
    for n in range(8):
        node.ask(f"r{n}")
    held = Counter(server for n in range(8) for server in node.sent[f"r{n}"])
    assert set(held.values()) == {2}
    check_sums(balancer)
    for n in range(8):
        node.end(f"r{n}", Result.SERVED, 1.0)
    assert all(s.member.state is RotationState.ACTIVE for s in balancer.server_set.assigned.values())


def test_a_fair_part_that_falls_as_servers_are_placed_does_not_hold_the_event_up() -> None:
    """rude+garble+fleet: a server was parked again below the part it was looked at for, without end."""
    node = large(4)
    node.serve(20)
    balancer = node.balancer
    for n in range(12):
        node.ask(f"r{n}")
    asked = 0

    def fair() -> float:
        nonlocal asked
        asked += 1
        assert asked < 1_000
        return 9.0 if asked % 7 == 1 else 0.1

    balancer.picker.fair_share = fair  # type: ignore[method-assign]
    for n in range(12):
        node.ask(f"s{n}")
    assert asked >= 12


def test_calls_before_anything_is_usual_are_not_kept_for_ever() -> None:
    node = large(3)
    for n in range(500):
        node.ask(f"r{n}", "unsafe")
        node.end(f"r{n}", Result.ERROR, 1.0)
    assert sum(map(len, node.balancer.outstanding._on_time.values())) <= 2


def test_the_same_events_give_the_same_actions_whatever_the_hash_order() -> None:
    def play() -> list[tuple[float, api.Action]]:
        node = large(700, nodes=12, number=3)
        node.serve(100)
        node.change(*entries(IDS[:3], Health.DRAINING), *entries(IDS[700:720], started=node.now))
        node.serve(100)
        return node.log

    assert play() == play()


def test_memory_holds_nothing_for_servers_that_are_other_copies() -> None:
    node = large(nodes=50)
    fleet = node.balancer.server_set
    assert len(fleet.servers) < 1_100
    for n in range(600):  # retries go anywhere
        node.ask(f"r{n}")
        timer = next(iter(timers(node.end(f"r{n}", Result.ERROR, 1.0))), None)
        if timer is not None and sends(node.do(api.TimerFired(timer.token), timer.delay_ms)):
            node.end(f"r{n}", Result.SERVED, 1.0)
    assert len(fleet.servers) <= len(fleet.assigned) + server_set.MAX_UNASSIGNED + 1


def test_a_bag_draws_what_is_in_it() -> None:
    bag = IndexedSet()
    model = set[int]()
    rng = random.Random(1)
    for _ in range(2_000):
        item = rng.randrange(40)
        (bag.add if rng.random() < 0.5 else bag.remove)(item)
        model = model | {item} if item in bag else model - {item}
        assert set(bag.items) == model and len(bag) == len(model)


def test_work_that_nobody_asked_for_is_none() -> None:
    balancer = Balancer(Node().balancer.settings, 1)
    assert balancer.handle(api.TimerFired(logic.LIST_TIMER_TOKEN), 0.0) == []
