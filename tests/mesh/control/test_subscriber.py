"""Subscriptions in the fan-out tree: in the end, all nodes have the record that each node published last.

Most tests run the production publishers and subscribers in virtual time
(`orchidferry.testkit.model.fanout_world`).
"""

from __future__ import annotations

import asyncio
import dataclasses
import random
import socket
from functools import partial
from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control import subscriber as subscriber_module
from orchidferry.mesh.control.control_client import ControlClient
from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord
from orchidferry.mesh.control.fanout_tree import FANOUT, HEADS, MAX_FOLLOWERS, parent_candidates, tree_rank
from orchidferry.mesh.control.subscriber import CATCH_UP_DELAY_S, MAX_GAPS, Backoff, Subscriber
from orchidferry.mesh.control.update_stream import StreamChange
from orchidferry.mesh.wire.messages import (
    Message,
    RelayAccepted,
    RelayAlive,
    RelayFull,
    Update,
    UpdateRequest,
    UpdateSubscription,
    UpdateUnsubscription,
)
from orchidferry.testkit.model.fanout_world import BETWEEN_ZONES_S, World
from orchidferry.testkit.model.subscribing_node import Node
from tests.mesh.control.fakes import RecordingLink, make_controller, make_subscriber, record

# Maximum delay of an update past a faulty relay: a renewal interval, the catch-up delay and network delays.
MAX_DELAY_S = 0.5 + CATCH_UP_DELAY_S + 0.02


def fleet(seed: int, nodes: int, zones: int, settle_s: float = 25.0) -> World:
    world = World(seed, zones)
    for n in range(nodes):
        world.start(f"n{n}", n % zones)
    world.run(settle_s)
    return world


def relays(world: World) -> list[Node]:
    return [node for node in world.nodes.values() if node.subscriber.relay.followers.positions]


def assert_agreement(world: World) -> None:
    """Assert that all controllers and live nodes have the records that the live nodes published last."""
    live = {name: node for name, node in world.nodes.items() if node.alive}
    expected = {name: node.record for name, node in live.items()}
    for controller in world.controllers.values():
        assert controller.stream.records == expected
        for node in live.values():
            copy = node.subscriber.streams[controller.name]
            assert (copy.incarnation, copy.number) == (
                controller.stream.incarnation,
                controller.stream.number,
            )
            assert copy.records == expected and node.members == expected
            assert node.revision == max(k.revision for k in world.controllers.values())


STEPS = ("start", "kill", "again", "freeze", "thaw", "cut", "join", "mute", "publish", "revise", "restart")


@settings(max_examples=40, deadline=None)
@given(st.integers(0, 2**40), st.lists(st.sampled_from(STEPS), max_size=30))
def test_all_nodes_agree_after_any_order_of_faults(seed: int, steps: list[str]) -> None:
    world = fleet(seed, 14, 2, 10.0)
    rng = random.Random(seed)
    revision = 0
    for step in steps:
        name = rng.choice(list(world.nodes))
        node = world.nodes[name]
        if step in ("kill", "again"):
            node.kill()
        if (step == "start" and not node.alive) or step == "again":
            world.start(name, int(node.zone[1:]))
        elif step in ("freeze", "thaw") and node.alive:
            getattr(node, step)()
        elif step == "mute":
            node.withholds_updates = not node.withholds_updates
        elif step == "cut":
            world.cuts.add((name, rng.choice([*world.nodes, *world.controllers])))
            world.cuts.add((rng.choice([*world.nodes, *world.controllers]), name))
        elif step == "join":
            world.cuts.clear()
        elif step == "restart":
            world.restart(rng.choice(list(world.controllers)))
        elif step == "publish" and node.alive and not node.frozen:
            node.publish()
        elif step == "revise":
            revision += 1
            for controller in world.controllers.values():
                controller.configuration_decided(revision, b"x" * revision)
        world.run(rng.choice((0.0, 0.01, 0.3, 2.5)))
    world.cuts.clear()
    for node in world.nodes.values():
        node.withholds_updates = False
        node.thaw()
    world.run(8.0)
    assert_agreement(world)


@pytest.mark.parametrize("fault", ["freeze", "kill", "mute", "deaf"])
@pytest.mark.parametrize("seed", range(3))
def test_a_faulty_relay_delays_updates_by_one_renewal(seed: int, fault: str) -> None:
    """The bound holds while half of the relays are frozen, dead, silent or cut off from the controllers."""
    world = fleet(seed, 60, 2)
    all_relays = relays(world)
    assert len(all_relays) > 4 and all(
        len(n.subscriber.relay.followers.positions) <= MAX_FOLLOWERS for n in all_relays
    )
    faulty = {node.name for node in all_relays[::2]}
    for node in all_relays[::2]:
        if fault == "mute":
            node.withholds_updates = True
        elif fault == "deaf":
            world.cuts |= {(controller, node.name) for controller in world.controllers}
        else:
            getattr(node, fault)()
    [publishing, *_] = [node for name, node in world.nodes.items() if name not in faulty]
    world.record_changes()
    for wait_s in (0.9, 1.7, 1.0):
        world.change_times_s.clear()
        publishing.publish()
        world.run(wait_s)
        changes = [key for key, began in world.change_times_s.items() if began < world.now - MAX_DELAY_S]
        assert len(changes) >= 3
        for key in changes:
            for name in world.nodes.keys() - faulty:
                assert world.arrival_times_s[key][name] - world.change_times_s[key] < MAX_DELAY_S
        parents = {
            n.subscriber.parent.record.name
            for n in world.nodes.values()
            if n.name not in faulty and n.subscriber.parent is not None
        }
        assert fault != "freeze" or not faulty & parents  # a frozen parent is dropped after one gap


def test_controllers_send_updates_to_heads_only() -> None:
    world = fleet(1, 60, 2)
    followed = [len(controller.publisher._followers.positions) for controller in world.controllers.values()]
    assert followed == [HEADS * 2] * 3
    world.record_changes()
    sent = [controller.publisher.traffic.messages("news") for controller in world.controllers.values()]
    world.nodes["n7"].publish()
    for controller in world.controllers.values():
        controller.configuration_decided(1, b"text")
    world.run(0.1)
    assert_agreement(world)
    after = [controller.publisher.traffic.messages("news") for controller in world.controllers.values()]
    assert [b - a for a, b in zip(sent, after, strict=True)] == [HEADS * 2 * 2] * 3
    texts = [controller.publisher.traffic.messages("text") for controller in world.controllers.values()]
    assert sum(texts) == HEADS * 2
    world.restart("k0")
    world.run(8.0)
    world.change_times_s.clear()
    world.nodes["n7"].publish()
    world.run(0.1)
    assert_agreement(world)
    assert (
        sum(key[:2] == ("k0", world.controllers["k0"].stream.incarnation) for key in world.change_times_s)
        == 1
    )
    hops = max(
        world.arrival_times_s[key][name] - began
        for key, began in world.change_times_s.items()
        for name in world.nodes
    )
    assert hops < 5 * BETWEEN_ZONES_S


def test_a_rejected_node_tries_the_next_ancestor_and_returns_later() -> None:
    """A node follows the nearest ancestor that is not in backoff, and the controllers while there is none."""
    zone = sorted((record(f"n{i}") for i in range(60)), key=lambda r: tree_rank(r.name, 1))
    own = zone[HEADS + HEADS * FANOUT + 3]
    subscriber, dialled = make_subscriber(own.name, 1)
    controller = subscriber._controllers["k"]
    assert controller.kinds() == [UpdateSubscription]
    subscriber.set_members({r.name: r for r in zone})
    first, second = [r.name for r in parent_candidates(zone, NodeIdentity(own.name, 1, "z"))]

    def dial(name: str, answer: Message) -> RecordingLink:
        subscriber._loop.world.run(16.0)
        subscriber.tick()
        assert dialled[-1] == name
        link = RecordingLink()
        subscriber.dial_finished(name, link)
        subscriber.from_parent(link, answer)
        return link

    assert dial(first, RelayFull()).closed
    subscriber._backoffs[first] = Backoff(1e9, 1.0)
    second_link = dial(second, RelayAccepted())
    assert controller.kinds() == [UpdateSubscription, UpdateUnsubscription] and not second_link.closed
    subscriber._backoffs.clear()
    first_link = dial(first, RelayAccepted())
    assert second_link.closed and subscriber.parent.record.name == first
    subscriber.parent_disconnected(first_link)
    assert controller.kinds() == [UpdateSubscription, UpdateUnsubscription, UpdateSubscription]
    subscriber._loop.world.run(0.11)
    subscriber.tick()
    assert dialled[-1] == second


@pytest.mark.parametrize("sends_some", [False, True])
def test_a_parent_that_sends_no_updates_is_dropped_after_three_gaps(sends_some: bool) -> None:
    """It is dropped although it is alive; a parent that sends an update between the gaps is kept."""
    zone = sorted((record(f"n{i}") for i in range(60)), key=lambda r: tree_rank(r.name, 1))
    own = zone[HEADS + 3]
    subscriber, _ = make_subscriber(own.name, 1)
    subscriber.set_members({r.name: r for r in zone})
    subscriber._loop.world.run(3.0)
    subscriber.tick()
    link = RecordingLink()
    subscriber.dial_finished(subscriber._candidate.record.name, link)
    subscriber.from_parent(link, RelayAccepted())
    controller = subscriber._controllers["k"]
    number = 1
    subscriber.from_controller(controller, Update(StreamChange("k", 7, -1, number, [], [], 0)))
    for gap in range(MAX_GAPS):
        if gap and sends_some:
            number += 1
            subscriber.from_parent(link, Update(StreamChange("k", 7, number - 1, number, [], [], 0)))
        assert subscriber.parent is not None
        subscriber.lease_renewed("k", 7, number + 1)
        subscriber._loop.world.run(0.5)
        assert UpdateRequest(7, number) in controller.sent
        subscriber.from_parent(link, RelayAlive())
        number += 1
        subscriber.from_controller(controller, Update(StreamChange("k", 7, number - 1, number, [], [], 0)))
    assert (subscriber.parent is not None) is sends_some and link.closed is not sends_some
    assert controller.kinds()[-1] is (UpdateRequest if sends_some else UpdateSubscription)


def test_a_configuration_is_relayed_over_sockets(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Of four nodes in a zone, two follow the controller, and the others receive the text from these two."""
    monkeypatch.setattr(subscriber_module, "FIRST_REVIEW_S", 0.02)
    monkeypatch.setattr(subscriber_module, "REVIEW_INTERVAL_S", (0.02, 0.05))

    def received(text: asyncio.Future[bytes], revision: int, raw: bytes) -> None:
        text.set_result(raw)

    async def main() -> None:
        loop, stopping, formed = asyncio.get_running_loop(), asyncio.Event(), asyncio.Event()
        with socket.socket() as free:
            free.bind(("127.0.0.1", 0))
            port = free.getsockname()[1]
        controller = make_controller(tmp_path, port)
        serving = loop.create_task(controller.run(stopping))
        texts: list[asyncio.Future[bytes]] = []
        nodes: list[ControlClient] = []
        original = Subscriber._update_subscriptions

        def update_subscriptions(self: Subscriber) -> None:
            original(self)
            if sum(node._subscriber.parent is not None for node in nodes) == 2:
                formed.set()

        monkeypatch.setattr(Subscriber, "_update_subscriptions", update_subscriptions)
        for n in range(2, 6):
            node_settings = dataclasses.replace(controller._settings, name=f"n{n}", ip=f"127.0.0.{n}")
            text = loop.create_future()
            node = ControlClient(node_settings, loop, lambda members: None, partial(received, text))
            await node.listen()
            node.start()
            node.publish(NodeRecord(f"n{n}", node.boot_id, 1, node_settings.zone, node_settings.ip, 1, None))
            nodes.append(node)
            texts.append(text)
        await asyncio.wait_for(formed.wait(), 10.0)
        sent_before = controller._publisher.traffic.messages("text")
        put = controller._runner.configuration_shard.request_change(
            "", shard_state.PutConfiguration(b"text", 7, b"mark", 0), 4.0, loop.time()
        )
        controller._runner.carry_out(controller._runner.configuration_shard, put)
        assert await asyncio.wait_for(asyncio.gather(*texts), 10.0) == [b"text"] * 4
        assert controller._publisher.traffic.messages("text") - sent_before == 2
        assert sum(node._subscriber.relay.traffic.messages("text") for node in nodes) == 2
        stopping.set()
        await asyncio.wait_for(serving, 10.0)
        controller._store._env.close()

    asyncio.run(main())


def test_a_node_keeps_one_copy_of_a_record_that_all_controllers_list() -> None:
    world = World(1, 2)
    for n in range(4):
        world.start(f"n{n}", n % 2)
    world.run(5.0)
    world.nodes["n1"].publish()
    world.run(5.0)
    for node in world.nodes.values():
        for name in world.nodes:
            copies = [stream.records[name] for stream in node.subscriber.streams.values()]
            assert len(copies) == 3 and len({id(record) for record in copies}) == 1
