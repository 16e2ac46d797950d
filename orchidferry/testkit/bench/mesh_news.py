"""The model behind `bench mesh`, news: propagation of updates, with and without the fan-out tree.

The model runs in virtual time. A hop is assumed to take 1 ms within a zone and 1.4 ms between zones, and a
message 30 us of its sender's time, at controllers and relays alike. Names, records and message
sizes are those on the wire.
"""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial

from orchidferry.mesh.control.fanout_tree import HEADS
from orchidferry.mesh.control.traffic_counter import TrafficCounter
from orchidferry.testkit.judge.quantiles import quantile
from orchidferry.testkit.model.fanout_world import BETWEEN_ZONES_S, World
from orchidferry.testkit.model.subscribing_node import HEADS_WITHOUT_TREE, Node

SETTLE_S = 30.0  # time from the start of the nodes to the start of the measurement
GAP_S = 0.2  # time between two changes of nodes; each is a change at all three controllers
FREEZE_INTERVAL_S = 3.0  # time between the starts of two freezes
FREEZE_S = 1.5  # duration of a freeze
END_S = 3.0  # time after the last change for updates to arrive
TEXT_BYTES = 64 * 1024  # size of a configuration
LATE_MS = 20.0  # a change that takes longer counts as late


@dataclass(frozen=True, slots=True)
class PropagationResult:
    """How updates propagated to the nodes of one fleet.

    Times are in ms, from a change at a controller until it has reached all nodes that were not frozen
    meanwhile.
    """

    nodes: int
    zones: int
    seed: int
    tree: bool  # whether nodes relay updates to each other
    frozen: float  # fraction of the nodes, all of them relays, that are frozen at a time
    changes: int  # changes at controllers
    p50_ms: float
    p99_ms: float
    last_ms: float  # the longest time
    late: int  # changes that took longer than 20 ms
    missed: int  # changes that did not reach some node within the run
    controller_messages: float  # updates that a controller sends per change of its own
    controller_bytes: float  # bytes of these updates
    controller_lease_bytes_s: float  # bytes per second that a controller sends in answer to lease renewals
    relay_bytes: float  # bytes of updates that all nodes forward, per change
    between_bytes: float  # bytes of updates between zones by all senders, per change
    text_controller_bytes: int  # bytes that all controllers send for one configuration of 64 KiB
    text_between_bytes: int  # bytes of these configurations between zones, by all senders


def measure(
    nodes: int, zones: int, seed: int, tree: bool = True, frozen: float = 0.0, changes: int = 100
) -> PropagationResult:
    """Simulate one fleet.

    :param tree: whether nodes relay updates to each other; if not, all follow a controller.
    :param frozen: fraction of the nodes that are frozen at a time; these are relays, chosen anew each time.
    :param changes: number of nodes' changes.
    """
    rng = random.Random(seed)
    world = World(seed, zones, HEADS if tree else HEADS_WITHOUT_TREE, checks_members_rarely=True)
    for n in range(nodes):
        world.at(world.now + rng.random(), partial(world.start, f"sidecar-{n % zones}-{n}", n % zones))
    world.run(SETTLE_S)
    raw = rng.randbytes(TEXT_BYTES)
    for name, controller in world.controllers.items():  # k0 decides, and the others learn of it after a hop
        world.at(
            world.now + (BETWEEN_ZONES_S if name != "k0" else 0.0),
            partial(controller.configuration_decided, 1, raw),
        )
    text = [_sent_bytes(world, "text", near) for near in (True, False)]
    world.run(END_S)
    text = [_sent_bytes(world, "text", near) - old for near, old in zip((True, False), text, strict=True)]
    text_controller = sum(
        _bytes(controller.publisher.traffic, "text") for controller in world.controllers.values()
    )
    assert all(node.revision == 1 for node in world.nodes.values())

    world.record_changes()
    before = _totals(world)
    freezes: list[tuple[str, float, float]] = []
    frozen_nodes: list[Node] = []
    next_s = world.now
    thaw_s = 0.0
    began_s = world.now
    for _ in range(changes):
        if frozen_nodes and world.now >= thaw_s:
            for node in frozen_nodes:
                node.thaw()
                freezes.append((node.name, thaw_s - FREEZE_S, world.now + 0.5))
            frozen_nodes = []
        if frozen and world.now >= next_s:
            relays = [node for node in world.nodes.values() if node.subscriber.relay.followers.positions]
            frozen_nodes = rng.sample(relays, min(len(relays), max(1, round(frozen * nodes))))
            next_s = world.now + FREEZE_INTERVAL_S
            thaw_s = world.now + FREEZE_S
            for node in frozen_nodes:
                node.freeze()
        live = [node for node in world.nodes.values() if not node.frozen]
        rng.choice(live).publish()
        world.run(GAP_S)
    for node in frozen_nodes:
        node.thaw()
        freezes.append((node.name, thaw_s - FREEZE_S, world.now + 0.5))
    duration_s = world.now - began_s
    world.run(END_S)
    after = _totals(world)
    times_ms = []
    missed = 0
    for key, changed_s in world.change_times_s.items():
        excluded = {name for name, since, until in freezes if since - 1.0 < changed_s < until}
        arrivals_s = [
            world.arrival_times_s.get(key, {}).get(name) for name in world.nodes if name not in excluded
        ]
        missed += None in arrivals_s
        times_ms.append(
            1e3 * (max((at for at in arrivals_s if at is not None), default=changed_s) - changed_s)
        )
    times_ms.sort()
    steps = len(times_ms)
    messages, controller_bytes, lease, relay, between = (b - a for a, b in zip(before, after, strict=True))
    return PropagationResult(
        nodes,
        zones,
        seed,
        tree,
        frozen,
        steps,
        _quantile_ms(times_ms, 0.5),
        _quantile_ms(times_ms, 0.99),
        _quantile_ms(times_ms, 1.0),
        sum(ms > LATE_MS for ms in times_ms),
        missed,
        round(messages / steps, 1),
        round(controller_bytes / steps),
        round(lease / 3 / (duration_s + END_S)),
        round(relay / steps),
        round(between / steps),
        text_controller,
        text[1],
    )


def _quantile_ms(times_ms: list[float], share: float) -> float:
    return round(quantile(times_ms, share) or 0.0, 2)


def _bytes(counter: TrafficCounter, kind: str) -> int:
    return sum(size for (of, _), (_, size) in counter.sent.items() if of == kind)


def _sent_bytes(world: World, kind: str, near: bool) -> int:
    """Return the bytes of a kind of message by all processes, within zones or between them."""
    counters = [controller.publisher.traffic for controller in world.controllers.values()]
    counters += [node.subscriber.relay.traffic for node in world.nodes.values()]
    return sum(counter.sent.get((kind, near), [0, 0])[1] for counter in counters)


def _totals(world: World) -> tuple[int, int, int, int, int]:
    """Return the totals so far.

    :returns: the controllers' messages and bytes of updates, bytes of leases, relays' updates, updates
        between zones.
    """
    counters = [controller.publisher.traffic for controller in world.controllers.values()]
    return (
        sum(counter.messages("news") for counter in counters),
        sum(_bytes(counter, "news") for counter in counters),
        sum(_bytes(counter, "lease") for counter in counters),
        sum(_bytes(node.subscriber.relay.traffic, "news") for node in world.nodes.values()),
        _sent_bytes(world, "news", False),
    )
