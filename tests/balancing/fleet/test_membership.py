"""The membership in a virtual network: every hard case that needs no real process."""

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


def net(nodes: int = 9, seed: int = 1, *faults: LinkFault, **more: Any) -> SimulatedFleet:
    made = SimulatedFleet(nodes, seed, faults, FAST, **more)
    assert made.run_until_agreed(20.0) is not None
    return made


def strike(
    made: SimulatedFleet, for_s: float, one: frozenset[str], other: frozenset[str], **what: Any
) -> None:
    fault = LinkFault(made.now, made.now + for_s, one, other, **what)
    made.links._faults += (fault,)
    made.links._active_span = (0.0, 0.0)


def split(made: SimulatedFleet, for_s: float, share: float = 0.45) -> None:
    strike(made, for_s, *split_names(made, share), cut=True)


@pytest.mark.parametrize("seed", range(5))
def test_halves_cut_while_nodes_leave_die_and_start_agree_soon_after_the_heal(seed: int) -> None:
    made = net(9, seed)
    split(made, 10.0)
    names = random.Random(seed).sample(sorted(made.nodes), 4)
    made.schedule(made.now + 2.0, made.kill, names[0])
    made.schedule(made.now + 3.0, made.leave, names[1])
    made.schedule(made.now + 4.0, made.kill, names[2])
    made.schedule(made.now + 7.0, made.start, names[2])
    made.run(made.now + 10.0)
    assert not made.agree()
    took = made.run_until_agreed(30.0)
    assert took is not None and took <= HEAL_S
    left = [
        node.membership.members[names[1]].status
        for node in made.running()
        if names[1] in node.membership.members
    ]
    assert Status.LEFT in left and Status.LOST not in left[:1]  # told apart from dying where it was heard


@pytest.mark.parametrize(
    "what",
    [
        {"cut": True, "one_way": True},
        {"cut": True, "flap_s": 0.3},
        {"loss": 0.3},
        {"duplicate": 0.5, "reorder": 0.5, "late": 0.2, "late_s": 20.0},
        {"rate": 3_000.0},
    ],
)
def test_nobody_that_can_be_heard_through_others_is_lost(what: dict[str, Any]) -> None:
    """One pair's links, or a bad network between all."""
    lost = []
    made = net(
        9,
        3,
        on_change=lambda t, n, c: lost.append(c.after) if c.after and c.after.status is Status.LOST else 0,
    )
    one, other = frozenset({"n1"}), frozenset({"n2"})
    everybody = frozenset(made.nodes)
    strike(made, 60.0, *((one, other) if what.get("cut") else (everybody, everybody)), **what)
    made.run(made.now + 60.0)
    assert lost == []


def test_a_paused_node_is_lost_and_draws_nothing_from_what_it_did_not_hear() -> None:
    words: list[tuple[str, str]] = []
    made = net(9, 5, on_change=lambda t, n, c: words.append((n, c.after.status.name)) if c.after else None)
    made.pause("n4", 6.0)
    made.run(made.now + 5.9)
    assert all(not node.membership.members["n4"].present for node in made.running() if node.name != "n4")
    words.clear()
    made.run(made.now + 0.2)
    assert made.run_until_agreed(HEAL_S) is not None
    assert ("n4", "LOST") not in words and ("n4", "SUSPECT") not in words


@pytest.mark.parametrize("early_ms", [0.0, ROUNDING_MS / 3.0, ROUNDING_MS])
def test_a_tick_that_is_early_by_a_rounding_still_ends_a_suspicion(early_ms: float) -> None:
    fleet, _ = begun()
    now = 10_000.0
    while now < 40_000.0 and fleet.members["peer"].present:
        now = max(now, fleet.due_ms - early_ms)
        fleet.handle(api.Tick(), now)
    assert fleet.members["peer"].status is Status.LOST and now < 15_000.0


def test_a_dead_node_is_lost_wherever_the_others_stand_still() -> None:
    """All of a process stands still once, as its machine does; what comes meanwhile waits in its buffers."""
    for step in range(40):
        made = net(3, 7)
        made.kill("n2")
        made.run(made.now + 0.1 * step)
        for name in ("n0", "n1"):
            made.pause(name, 1.7)
        made.run(made.now + 1.7 + 8.0)
        for name in ("n0", "n1"):
            fleet = made.nodes[name].membership
            assert fleet.members["n2"].status is Status.LOST and fleet.size == 2, f"{name}, step {step}"


def test_all_restarted_within_a_second_and_without_a_disk_are_known_as_new() -> None:
    made = net()
    before = {node.name: node.membership.me.life for node in made.running()}
    for n, name in enumerate(made.nodes):
        made.schedule(made.now + 0.1 * n, made.kill, name)
        made.schedule(made.now + 0.1 * n + 0.05, made.start, name)
    made.run(made.now + 1.0)
    assert made.run_until_agreed(HEAL_S) is not None
    assert all(node.membership.me.life != before[node.name] for node in made.running())


def test_a_name_on_another_port_is_taken_over_only_once_the_old_process_is_silent() -> None:
    """Two living processes with one name: the second stays aside until the first is gone."""
    made = net()
    said: list[str] = []
    made.nodes["second"] = twin = replace(
        made.nodes["n3"], name="second", address=("10.9.9.9", 9100), pending_events=[]
    )
    twin.membership = made._membership("n3", twin.address, 77)
    twin.next_tick_s = float("inf")
    twin.sent_messages = 0
    made._node_at[twin.address] = twin
    handle = twin.membership.handle

    def listen(event: api.Event, now: float) -> list[api.Action]:
        actions = handle(event, now)
        said.extend(action.text for action in actions if isinstance(action, api.Log))
        return actions

    twin.membership.handle = listen  # type: ignore[method-assign]
    made._handle(twin, api.Start())
    made.run(made.now + 12.0)
    assert twin.membership.contested and len(said) == 1 and "another living process" in said[0]
    first = made.nodes["n3"].membership.me.life
    assert all(
        n.membership.members["n3"].life == first for n in made.running() if n.membership.me.name != "n3"
    )
    made.kill("n3")
    made.run(made.now + 30.0)
    assert not twin.membership.contested
    others = [n for n in made.running() if n.membership.me.name != "n3"]
    assert all(n.membership.members["n3"].life == twin.membership.me.life for n in others)


def heard(
    fleet: Membership, sender: Entry, serial: int, *news: Entry, now: float = 10_000.0
) -> list[api.Action]:
    return fleet.handle(
        api.MessageReceived(Message(Kind.GOSSIP, sender, fleet.me.life, serial, updates=news)), now
    )


def begun(most: int = 64) -> tuple[Membership, Entry]:
    fleet = Membership(Entry("me", "10.0.0.1", 9100, 1), [], random.Random(1), FAST, most)
    fleet.handle(api.Start(), 9_900.0)
    peer = Entry("peer", "10.0.0.2", 9100, 2, phase=Phase.SERVING)
    heard(fleet, peer, 1)
    return fleet, peer


def test_lies_with_a_valid_key_are_bounded_and_said_once() -> None:
    fleet, peer = begun()
    made_up = [Entry(f"x{n}", "10.1.1.1", 1 + n, 9) for n in range(1_000)]
    lines = []
    for serial in range(2, 12):
        lines += [a for a in heard(fleet, peer, serial, *made_up) if isinstance(a, api.Log)]
    assert (
        len(fleet.members) == 63
        and len(fleet._prober.unproven) <= 63
        and len(fleet._outbox.gossip) <= MAX_QUEUED
    )
    assert len(lines) == 1 and "the most there may be" in lines[0].text
    heard(fleet, peer, 12, replace(peer, incarnation=2**32), replace(fleet.me, incarnation=2**31))
    assert fleet.members["peer"].incarnation == 0 and fleet.me.incarnation == 0


def test_made_up_nodes_are_found_out_side_by_side_not_one_a_probe() -> None:
    made = net()
    liar = made.nodes["n0"].membership
    liar._outbox.gossip._queued.clear()
    for n in range(30):
        liar._set(Entry(f"x{n}", "10.1.1.1", 1 + n, 9), "n0", made.now * 1000.0)
    assert made.run_until_agreed(60.0) is not None


def test_what_was_meant_for_an_earlier_process_and_copies_change_nothing() -> None:
    fleet, peer = begun()
    rumour = Entry("other", "10.0.0.3", 9100, 3)
    old = Message(Kind.GOSSIP, peer, 999, 2, updates=(rumour,))
    assert fleet.handle(api.MessageReceived(old), 10_000.0) == [] and "other" not in fleet.members
    again = Message(Kind.GOSSIP, replace(peer, incarnation=5), fleet.me.life, 1)
    assert fleet.handle(api.MessageReceived(again), 10_000.0) == [] and fleet.members["peer"].incarnation == 0
    ping = Message(Kind.PING, peer, 999, 3, number=8)
    (answer,) = fleet.handle(api.MessageReceived(ping), 10_000.0)
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
def test_words_in_any_order_and_any_number_of_times_end_in_one_view(words: list[Entry], rng: Any) -> None:
    views = []
    for _ in range(3):
        fleet, peer = begun()
        shuffled = words * 2
        rng.shuffle(shuffled)
        for serial, word in enumerate(shuffled, 2):
            heard(fleet, peer, serial, word)
        views.append({name: replace(e, by="") for name, e in fleet.members.items() if name != "peer"})
    assert views[0] == views[1] == views[2]
    for name, entry in views[0].items():
        assert order(entry) == max(order(word) for word in words if word.name == name)


@settings(max_examples=25, deadline=None)
@given(
    st.integers(0, 10**6),
    st.lists(st.sampled_from(["loss", "twice", "cut", "pause", "kill", "start"]), max_size=5),
)
def test_after_any_schedule_of_faults_all_views_agree(seed: int, faults: list[str]) -> None:
    rng = random.Random(seed)
    made = SimulatedFleet(5, seed, (), FAST)
    everybody = frozenset(made.nodes)
    for fault in faults:
        made.run(made.now + rng.uniform(0.0, 4.0))
        name = rng.choice(sorted(everybody))
        match fault:
            case "loss":
                strike(made, 6.0, everybody, everybody, loss=0.6)
            case "twice":
                strike(made, 6.0, everybody, everybody, duplicate=0.7, reorder=0.5, late=0.3, late_s=3.0)
            case "cut":
                split(made, rng.uniform(1.0, 8.0), rng.uniform(0.2, 0.6))
            case "pause" if made.nodes[name].running:
                made.pause(name, rng.uniform(0.5, 6.0))
            case "kill":
                made.kill(name)
            case "start" if not made.nodes[name].running:
                made.start(name)
    made.run(made.now + 8.0)  # the last fault is over
    assert made.run_until_agreed(20.0) is not None


def test_windows_take_each_serial_once_in_any_order() -> None:
    window = ReplayWindow()
    serials = [*range(1, 400)] * 2
    random.Random(2).shuffle(serials)
    assert sorted(serial for serial in serials if window.take(serial)) == [*range(1, 400)]
    assert window.take(10_000) and not window.take(9_000) and window.take(9_999)


def test_suspicion_shortens_with_each_that_confirms_and_rumours_are_told_so_often() -> None:
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
    rumours = GossipQueue()
    entry = Entry("a", "10.0.0.1", 1, 1)
    rumours.add(entry)
    assert sum(bool(rumours.take(1_000, 9)) for _ in range(50)) == max_transmissions(9)
    assert not rumours.take(1_000, 9, "a") and not rumours


def test_every_interleaving_of_three_nodes_with_a_fault_holds() -> None:
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
def test_deliberate_breaks_are_caught_with_a_story(name: str, faults: int, kinds: Any, broken: str) -> None:
    found = explore.search(3, faults, name, kinds=kinds, workers=2, limit_s=120.0)
    assert broken in found.violations and len(found.story) >= 2
