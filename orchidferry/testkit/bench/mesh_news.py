"""`orchidferry bench mesh_news`: news of the mesh in virtual time, with and without the tree of relays.

A hop takes 1 ms within a zone and 1.4 ms between zones, one message 30 us of its sender's time, at
controllers and relays alike: assumed, not measured. Names, records and sizes are those of the wire.
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

SETTLE_S = 30.0
GAP_S = 0.2  # between nodes' changes; each is a change at all three controllers
# so often others are frozen, and for so long
FREEZE_S = 3.0
THAW_S = 1.5
END_S = 3.0
TEXT = 64 * 1024  # bytes of a configuration
LATE_MS = 20.0


@dataclass(frozen=True, slots=True)
class News:
    """How updates reached the nodes of one fleet.

    Times are ms, from a controller's change to the last node that was not frozen meanwhile.
    """

    nodes: int
    zones: int
    seed: int
    tree: bool
    frozen: float
    changes: int
    p50_ms: float
    p99_ms: float
    last_ms: float  # the longest of all
    late: int  # changes that took over 20 ms
    missed: int  # changes that did not come to somebody within the run
    controller_messages: float  # of news that a controller sends a change of its own
    controller_bytes: float
    controller_lease_bytes_s: float  # answers to renewals, a second
    relay_bytes: float  # of news that all nodes send on, a change
    between_bytes: float  # of news between zones, by all, a change
    text_controller_bytes: int  # of one configuration of 64 KiB, by all controllers
    text_between_bytes: int


def measure(
    nodes: int, zones: int, seed: int, tree: bool = True, frozen: float = 0.0, changes: int = 100
) -> News:
    """Play one fleet: `changes` nodes' changes, with this share of all nodes, relays all, frozen in turn."""
    rng = random.Random(seed)
    world = World(seed, zones, HEADS if tree else HEADS_WITHOUT_TREE, checks_members_rarely=True)
    for n in range(nodes):
        world.at(world.now + rng.random(), partial(world.start, f"sidecar-{n % zones}-{n}", n % zones))
    world.run(SETTLE_S)
    raw = rng.randbytes(TEXT)
    for name, controller in world.controllers.items():  # one has it decided, and tells the others
        world.at(
            world.now + (BETWEEN_ZONES_S if name != "k0" else 0.0),
            partial(controller.configuration_decided, 1, raw),
        )
    text = [_sent(world, "text", near) for near in (True, False)]
    world.run(END_S)
    text = [_sent(world, "text", near) - had for near, had in zip((True, False), text, strict=True)]
    text_controller = sum(
        _bytes(controller.publisher.traffic, "text") for controller in world.controllers.values()
    )
    assert all(node.revision == 1 for node in world.nodes.values())

    world.record_changes()
    before = _figures(world)
    stopped: list[tuple[str, float, float]] = []
    down: list[Node] = []
    next_s = world.now
    thaw_s = 0.0
    began_s = world.now
    for _ in range(changes):
        if down and world.now >= thaw_s:
            for node in down:
                node.thaw()
                stopped.append((node.name, thaw_s - THAW_S, world.now + 0.5))
            down = []
        if frozen and world.now >= next_s:
            relays = [node for node in world.nodes.values() if node.subscriber.relay.followers.positions]
            down = rng.sample(relays, min(len(relays), max(1, round(frozen * nodes))))
            next_s = world.now + FREEZE_S
            thaw_s = world.now + THAW_S
            for node in down:
                node.freeze()
        live = [node for node in world.nodes.values() if not node.frozen]
        rng.choice(live).publish()
        world.run(GAP_S)
    for node in down:
        node.thaw()
        stopped.append((node.name, thaw_s - THAW_S, world.now + 0.5))
    passed_s = world.now - began_s
    world.run(END_S)
    after = _figures(world)
    took = []
    missed = 0
    for key, began in world.change_times_s.items():
        out = {name for name, since, until in stopped if since - 1.0 < began < until}
        came = [world.arrival_times_s.get(key, {}).get(name) for name in world.nodes if name not in out]
        missed += None in came
        took.append(1e3 * (max((at for at in came if at is not None), default=began) - began))
    took.sort()
    steps = len(took)
    messages, controller_bytes, lease, relay, between = (b - a for a, b in zip(before, after, strict=True))
    return News(
        nodes,
        zones,
        seed,
        tree,
        frozen,
        steps,
        _at(took, 0.5),
        _at(took, 0.99),
        _at(took, 1.0),
        sum(ms > LATE_MS for ms in took),
        missed,
        round(messages / steps, 1),
        round(controller_bytes / steps),
        round(lease / 3 / (passed_s + END_S)),
        round(relay / steps),
        round(between / steps),
        text_controller,
        text[1],
    )


def _at(took: list[float], share: float) -> float:
    return round(quantile(took, share) or 0.0, 2)


def _bytes(tally: TrafficCounter, kind: str) -> int:
    return sum(size for (of, _), (_, size) in tally.sent.items() if of == kind)


def _sent(world: World, kind: str, near: bool) -> int:
    """Bytes of a kind by all processes, within zones or between them."""
    tallies = [controller.publisher.traffic for controller in world.controllers.values()]
    tallies += [node.subscriber.relay.traffic for node in world.nodes.values()]
    return sum(tally.sent.get((kind, near), [0, 0])[1] for tally in tallies)


def _figures(world: World) -> tuple[int, int, int, int, int]:
    """The sums so far.

    :returns: the controllers' messages and bytes of updates, bytes of leases, relays' updates, updates
        between zones.
    """
    desks = [controller.publisher.traffic for controller in world.controllers.values()]
    return (
        sum(tally.messages("news") for tally in desks),
        sum(_bytes(tally, "news") for tally in desks),
        sum(_bytes(tally, "lease") for tally in desks),
        sum(_bytes(node.subscriber.relay.traffic, "news") for node in world.nodes.values()),
        _sent(world, "news", False),
    )
