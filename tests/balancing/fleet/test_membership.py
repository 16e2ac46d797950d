"""The membership protocol in a simulated network: all difficult cases that need no real process."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.gossip_queue import MAX_QUEUED, GossipQueue, max_transmissions
from orchidferry.balancing.fleet.members import Entry, Phase, Status, order
from orchidferry.balancing.fleet.membership import Membership
from orchidferry.balancing.fleet.messages import Kind, Message
from orchidferry.balancing.fleet.replay_window import ReplayWindow
from orchidferry.balancing.fleet.suspicion import Suspicion, Timing
from orchidferry.balancing.fleet.suspicions import ROUNDING_MS
from orchidferry.testkit.explore import fleet as explore
from orchidferry.testkit.model.fleet import SimulatedFleet
from orchidferry.testkit.model.fleet import split as split_names
from orchidferry.testkit.world.links import LinkFault

FAST = Timing(interval_ms=500.0, timeout_ms=200.0, gossip_ms=100.0, sync_ms=7_500.0, reach_ms=500.0)
HEAL_S = 5.0


def agreed_fleet(nodes: int = 9, seed: int = 1, *faults: LinkFault, **more: Any) -> SimulatedFleet:
    """A simulated fleet in which all views agree."""
    fleet = SimulatedFleet(nodes, seed, faults, FAST, **more)
    assert fleet.run_until_agreed(20.0) is not None
    return fleet


def add_fault(
    fleet: SimulatedFleet, for_s: float, one: frozenset[str], other: frozenset[str], **effects: Any
) -> None:
    fault = LinkFault(fleet.now, fleet.now + for_s, one, other, **effects)
    fleet.links._faults += (fault,)
    fleet.links._active_span = (0.0, 0.0)


def split(fleet: SimulatedFleet, for_s: float, share: float = 0.45) -> None:
    add_fault(fleet, for_s, *split_names(fleet, share), cut=True)


@pytest.mark.parametrize("seed", range(5))
def test_halves_agree_soon_after_a_partition_in_which_nodes_left_died_and_started(seed: int) -> None:
    fleet = agreed_fleet(9, seed)
    split(fleet, 10.0)
    names = random.Random(seed).sample(sorted(fleet.nodes), 4)
    fleet.schedule(fleet.now + 2.0, fleet.kill, names[0])
    fleet.schedule(fleet.now + 3.0, fleet.leave, names[1])
    fleet.schedule(fleet.now + 4.0, fleet.kill, names[2])
    fleet.schedule(fleet.now + 7.0, fleet.start, names[2])
    fleet.run(fleet.now + 10.0)
    assert not fleet.agree()
    took = fleet.run_until_agreed(30.0)
    assert took is not None and took <= HEAL_S
    left = [
        node.membership.members[names[1]].status
        for node in fleet.running()
        if names[1] in node.membership.members
    ]
    assert Status.LEFT in left and Status.LOST not in left[:1]  # a leave is not taken for a death


@pytest.mark.parametrize(
    "effects",
    [
        {"cut": True, "one_way": True},
        {"cut": True, "flap_s": 0.3},
        {"loss": 0.3},
        {"duplicate": 0.5, "reorder": 0.5, "late": 0.2, "late_s": 20.0},
        {"rate": 3_000.0},
    ],
)
def test_no_node_that_is_reachable_through_others_is_lost(effects: dict[str, Any]) -> None:
    """The faults are either on the links of one pair or on all links."""
    lost = []
    fleet = agreed_fleet(
        9,
        3,
        on_change=lambda t, n, c: lost.append(c.after) if c.after and c.after.status is Status.LOST else 0,
    )
    one, other = frozenset({"n1"}), frozenset({"n2"})
    everybody = frozenset(fleet.nodes)
    add_fault(fleet, 60.0, *((one, other) if effects.get("cut") else (everybody, everybody)), **effects)
    fleet.run(fleet.now + 60.0)
    assert lost == []


def test_a_paused_node_is_lost_but_suspects_no_others_after_its_pause() -> None:
    changes: list[tuple[str, str]] = []
    fleet = agreed_fleet(
        9, 5, on_change=lambda t, n, c: changes.append((n, c.after.status.name)) if c.after else None
    )
    fleet.pause("n4", 6.0)
    fleet.run(fleet.now + 5.9)
    assert all(not node.membership.members["n4"].present for node in fleet.running() if node.name != "n4")
    changes.clear()
    fleet.run(fleet.now + 0.2)
    assert fleet.run_until_agreed(HEAL_S) is not None
    assert ("n4", "LOST") not in changes and ("n4", "SUSPECT") not in changes


@pytest.mark.parametrize("early_ms", [0.0, ROUNDING_MS / 3.0, ROUNDING_MS])
def test_a_tick_that_is_early_by_a_rounding_error_still_ends_a_suspicion(early_ms: float) -> None:
    membership, _ = started_membership()
    now = 10_000.0
    while now < 40_000.0 and membership.members["peer"].present:
        now = max(now, membership.due_ms - early_ms)
        membership.handle(api.Tick(), now)
    assert membership.members["peer"].status is Status.LOST and now < 15_000.0


def test_a_dead_node_is_lost_whenever_the_others_pause() -> None:
    """The other processes pause once, as if their machine did; incoming messages wait in their buffers."""
    for step in range(40):
        fleet = agreed_fleet(3, 7)
        fleet.kill("n2")
        fleet.run(fleet.now + 0.1 * step)
        for name in ("n0", "n1"):
            fleet.pause(name, 1.7)
        fleet.run(fleet.now + 1.7 + 8.0)
        for name in ("n0", "n1"):
            membership = fleet.nodes[name].membership
            assert membership.members["n2"].status is Status.LOST and membership.size == 2, (
                f"{name}, step {step}"
            )


def test_nodes_all_restarted_within_a_second_without_a_disk_are_recognised_as_new() -> None:
    fleet = agreed_fleet()
    before = {node.name: node.membership.me.life for node in fleet.running()}
    for n, name in enumerate(fleet.nodes):
        fleet.schedule(fleet.now + 0.1 * n, fleet.kill, name)
        fleet.schedule(fleet.now + 0.1 * n + 0.05, fleet.start, name)
    fleet.run(fleet.now + 1.0)
    assert fleet.run_until_agreed(HEAL_S) is not None
    assert all(node.membership.me.life != before[node.name] for node in fleet.running())


def test_a_name_is_taken_over_at_another_address_only_once_the_old_process_is_silent() -> None:
    """Of two living processes with one name, the second stays passive until the first is gone."""
    fleet = agreed_fleet()
    log_lines: list[str] = []
    fleet.nodes["second"] = twin = replace(
        fleet.nodes["n3"], name="second", address=("10.9.9.9", 9100), pending_events=[]
    )
    twin.membership = fleet._membership("n3", twin.address, 77)
    twin.next_tick_s = float("inf")
    twin.sent_messages = 0
    fleet._node_at[twin.address] = twin
    handle = twin.membership.handle

    def handle_and_log(event: api.Event, now: float) -> list[api.Action]:
        actions = handle(event, now)
        log_lines.extend(action.text for action in actions if isinstance(action, api.Log))
        return actions

    twin.membership.handle = handle_and_log  # type: ignore[method-assign]
    fleet._handle(twin, api.Start())
    fleet.run(fleet.now + 12.0)
    assert twin.membership.contested and len(log_lines) == 1
    assert "another living process" in log_lines[0]
    first = fleet.nodes["n3"].membership.me.life
    assert all(
        n.membership.members["n3"].life == first for n in fleet.running() if n.membership.me.name != "n3"
    )
    fleet.kill("n3")
    fleet.run(fleet.now + 30.0)
    assert not twin.membership.contested
    others = [n for n in fleet.running() if n.membership.me.name != "n3"]
    assert all(n.membership.members["n3"].life == twin.membership.me.life for n in others)


def receive_gossip(
    membership: Membership, sender: Entry, serial: int, *updates: Entry, now: float = 10_000.0
) -> list[api.Action]:
    return membership.handle(
        api.MessageReceived(Message(Kind.GOSSIP, sender, membership.me.life, serial, updates=updates)), now
    )


def started_membership(max_nodes: int = 64) -> tuple[Membership, Entry]:
    membership = Membership(Entry("me", "10.0.0.1", 9100, 1), [], random.Random(1), FAST, max_nodes)
    membership.handle(api.Start(), 9_900.0)
    peer = Entry("peer", "10.0.0.2", 9100, 2, phase=Phase.SERVING)
    receive_gossip(membership, peer, 1)
    return membership, peer


def test_false_updates_with_a_valid_key_are_bounded_and_logged_once() -> None:
    membership, peer = started_membership()
    made_up = [Entry(f"x{n}", "10.1.1.1", 1 + n, 9) for n in range(1_000)]
    lines = []
    for serial in range(2, 12):
        lines += [a for a in receive_gossip(membership, peer, serial, *made_up) if isinstance(a, api.Log)]
    assert (
        len(membership.members) == 63
        and len(membership._prober.unproven) <= 63
        and len(membership._outbox.gossip) <= MAX_QUEUED
    )
    assert len(lines) == 1 and "the limit of 64 nodes is reached" in lines[0].text
    receive_gossip(
        membership, peer, 12, replace(peer, incarnation=2**32), replace(membership.me, incarnation=2**31)
    )
    assert membership.members["peer"].incarnation == 0 and membership.me.incarnation == 0


def test_non_existent_nodes_are_detected_in_parallel_not_one_for_each_probe() -> None:
    fleet = agreed_fleet()
    liar = fleet.nodes["n0"].membership
    liar._outbox.gossip._queued.clear()
    for n in range(30):
        liar._set(Entry(f"x{n}", "10.1.1.1", 1 + n, 9), "n0", fleet.now * 1000.0)
    assert fleet.run_until_agreed(60.0) is not None


def test_messages_for_an_earlier_process_and_duplicates_are_ignored() -> None:
    membership, peer = started_membership()
    other = Entry("other", "10.0.0.3", 9100, 3)
    old = Message(Kind.GOSSIP, peer, 999, 2, updates=(other,))
    assert membership.handle(api.MessageReceived(old), 10_000.0) == [] and "other" not in membership.members
    again = Message(Kind.GOSSIP, replace(peer, incarnation=5), membership.me.life, 1)
    assert (
        membership.handle(api.MessageReceived(again), 10_000.0) == []
        and membership.members["peer"].incarnation == 0
    )
    ping = Message(Kind.PING, peer, 999, 3, number=8)
    (answer,) = membership.handle(api.MessageReceived(ping), 10_000.0)
    assert (
        isinstance(answer, api.SendDatagram)
        and answer.message.kind is Kind.ACK
        and not answer.message.updates
    )


ENTRIES = st.builds(
    Entry,
    st.sampled_from(["a", "b"]),
    st.just("10.0.0.9"),
    st.integers(1, 3),
    st.integers(1, 3),
    st.integers(0, 3),
    st.sampled_from([Status.ALIVE, Status.SUSPECT]),
    st.sampled_from(Phase),
    st.sampled_from(["", "z"]),
)


@settings(max_examples=200, deadline=None)
@given(st.lists(ENTRIES, max_size=8), st.randoms(use_true_random=False))
def test_updates_in_any_order_and_any_number_of_times_give_one_view(updates: list[Entry], rng: Any) -> None:
    views = []
    for _ in range(3):
        membership, peer = started_membership()
        shuffled = updates * 2
        rng.shuffle(shuffled)
        for serial, update in enumerate(shuffled, 2):
            receive_gossip(membership, peer, serial, update)
        views.append({name: replace(e, by="") for name, e in membership.members.items() if name != "peer"})
    assert views[0] == views[1] == views[2]
    for name, entry in views[0].items():
        assert order(entry) == max(order(update) for update in updates if update.name == name)


@settings(max_examples=25, deadline=None)
@given(
    st.integers(0, 10**6),
    st.lists(st.sampled_from(["loss", "twice", "cut", "pause", "kill", "start"]), max_size=5),
)
def test_after_any_schedule_of_faults_all_views_agree(seed: int, faults: list[str]) -> None:
    rng = random.Random(seed)
    fleet = SimulatedFleet(5, seed, (), FAST)
    everybody = frozenset(fleet.nodes)
    for fault in faults:
        fleet.run(fleet.now + rng.uniform(0.0, 4.0))
        name = rng.choice(sorted(everybody))
        match fault:
            case "loss":
                add_fault(fleet, 6.0, everybody, everybody, loss=0.6)
            case "twice":
                add_fault(fleet, 6.0, everybody, everybody, duplicate=0.7, reorder=0.5, late=0.3, late_s=3.0)
            case "cut":
                split(fleet, rng.uniform(1.0, 8.0), rng.uniform(0.2, 0.6))
            case "pause" if fleet.nodes[name].running:
                fleet.pause(name, rng.uniform(0.5, 6.0))
            case "kill":
                fleet.kill(name)
            case "start" if not fleet.nodes[name].running:
                fleet.start(name)
    fleet.run(fleet.now + 8.0)  # until the last fault is over
    assert fleet.run_until_agreed(20.0) is not None


def test_a_replay_window_accepts_each_serial_once_in_any_order() -> None:
    window = ReplayWindow()
    serials = [*range(1, 400)] * 2
    random.Random(2).shuffle(serials)
    assert sorted(serial for serial in serials if window.take(serial)) == [*range(1, 400)]
    assert window.take(10_000) and not window.take(9_000) and window.take(9_999)


def test_confirmations_shorten_a_suspicion_and_updates_have_a_limit_of_transmissions() -> None:
    suspicion = Suspicion(0.0, 1_000.0, 6_000.0, 3, {"a"})
    ends = [suspicion.ends_ms()]
    for by in ("a", "b", "c", "d", "e"):
        suspicion.confirm(by)
        ends.append(suspicion.ends_ms())
    assert (
        ends[0] == ends[1] == 6_000.0
        and ends[-1] == ends[-2] == 1_000.0
        and ends == sorted(ends, reverse=True)
    )
    queue = GossipQueue()
    entry = Entry("a", "10.0.0.1", 1, 1)
    queue.add(entry)
    assert sum(bool(queue.take(1_000, 9)) for _ in range(50)) == max_transmissions(9)
    assert not queue.take(1_000, 9, "a") and not queue


def test_every_interleaving_of_three_nodes_with_one_fault_is_correct() -> None:
    kinds = ("lose", "twice", "kill")
    found = explore.search(3, 1, kinds=kinds, workers=2)
    assert found.exhausted and not found.violations and found.runs > 200, found.story


@pytest.mark.parametrize(
    ("name", "faults", "kinds", "broken"),
    [
        ("no-refuting", 1, ("pause",), "agree"),
        ("no-incarnations", 1, ("pause",), "agree"),
        ("dead-at-once", 2, ("lose",), "spared"),
        ("no-reach", 1, ("cut",), "agree"),
        ("no-end", 1, ("kill",), "agree"),
    ],
)
def test_deliberate_faults_are_detected_with_a_counterexample(
    name: str, faults: int, kinds: Any, broken: str
) -> None:
    found = explore.search(3, faults, name, kinds=kinds, workers=2, limit_s=120.0)
    assert broken in found.violations and len(found.story) >= 2
