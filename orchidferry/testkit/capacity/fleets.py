"""Measures the traffic of a fleet and the propagation time of changes, in virtual time.

`python -m orchidferry.testkit.capacity.fleets NODES SERVICES` prints figures as JSON, one per line.
"""

from __future__ import annotations

import gc
import json
import resource
import statistics
import sys
from collections.abc import Callable, Iterable
from dataclasses import asdict

from loguru import logger

from orchidferry.testkit.bench.mesh_rows import quantile
from orchidferry.testkit.capacity.figures import BY_NODES, VIRTUAL, Figure
from orchidferry.testkit.capacity.reference import Speed
from orchidferry.testkit.capacity.regions import (
    BETWEEN_REGIONS,
    BETWEEN_ZONES,
    WITHIN_ZONE,
    Fleet,
    MeteredNode,
    Usage,
)
from orchidferry.testkit.capacity.texts import compressed_configuration, configuration_text, route_text

Add = Callable[..., None]
IDLE_S = 4.0
PROPAGATION_S = 1.5
IDLE_PARTS = 80  # parts of the idle time; the machine's speed is measured after each
CHANGES = 8
CHANGE_INTERVAL_S = 0.3
CONFIGURATIONS = 2
# Types of messages on the wire.
RENEWAL = "lease_renewal"
LEASE = "lease"
UPDATE = "news"


def measure(nodes: int, services: int) -> list[Figure]:
    """Measure one fleet.

    :param nodes: number of nodes
    :param services: number of services
    """
    fleet, figures = Fleet(nodes), list[Figure]()

    def add(role: str, name: str, unit: str, value: float, note: str = "") -> None:
        figures.append(Figure(role, name, unit, BY_NODES, nodes, value, VIRTUAL, note))

    fleet.settle()
    fleet.reset()
    speed = Speed()
    for _ in range(IDLE_PARTS):
        fleet.run(IDLE_S / IDLE_PARTS)
        speed.burst()
    idle = _measure_idle(fleet, add, speed.slowness())
    _measure_record_changes(fleet, add)
    add("proxy", "configuration: as the operator sends it", "bytes", float(len(configuration_text(services))))
    add("proxy", "configuration: one route of it", "bytes", float(len(route_text(services))))
    _measure_configurations(fleet, compressed_configuration(services), idle, add)
    _measure_relays(fleet, add)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    add("tool", "whole fleet in virtual time: peak memory", "MB", peak_mb)
    return figures


def _controllers(fleet: Fleet) -> list[Usage]:
    return [controller.usage for controller in fleet.controllers.values() if hasattr(controller, "usage")]


def _mean_message_bytes(usages: list[Usage], kind: str) -> float:
    """Return the mean size of received messages of a type, including the four bytes of the length prefix."""
    return sum(usage.bytes_by_type[kind] for usage in usages) / sum(
        usage.messages_by_type[kind] for usage in usages
    )


def _mean(values: Iterable[float]) -> float:
    items = list(values)
    return statistics.fmean(items) if items else 0.0


def _measure_idle(fleet: Fleet, add: Add, slowness: float) -> dict[str, float]:
    """Measure leases alone; return bytes per second by role and direction."""
    idle: dict[str, float] = {}
    for role, usages in (
        ("proxy", [node.usage for node in fleet.live()]),
        ("controller", _controllers(fleet)),
    ):
        add(role, "idle: messages in", "a second", _mean(usage.messages_in for usage in usages) / IDLE_S)
        add(role, "idle: messages out", "a second", _mean(usage.messages_out for usage in usages) / IDLE_S)
        idle[f"{role} in"] = _mean(usage.bytes_in.total() for usage in usages) / IDLE_S
        idle[f"{role} out"] = _mean(usage.bytes_out.total() for usage in usages) / IDLE_S
        add(role, "idle: bytes in", "B/s", idle[f"{role} in"])
        add(role, "idle: bytes out", "B/s", idle[f"{role} out"])
        share = 100.0 * _mean(u.cpu_s for u in usages) / IDLE_S / slowness
        add(role, "idle: CPU of the pure code", "% of a core", share)
        for kind, name in ((RENEWAL, "renewal"), (LEASE, "answer to a renewal")):
            if any(usage.messages_by_type[kind] for usage in usages):
                add(role, f"message: {name}", "bytes", _mean_message_bytes(usages, kind))
        for kind in (WITHIN_ZONE, BETWEEN_ZONES, BETWEEN_REGIONS):
            add(
                role,
                f"idle: bytes out, by {kind}",
                "B/s",
                _mean(usage.bytes_out[kind] for usage in usages) / IDLE_S,
            )
    return idle


def _measure_record_changes(fleet: Fleet, add: Add) -> None:
    """Measure record changes, from the announcement by the first controller to the last node."""
    fleet.record_changes()
    fleet.reset()
    for _ in range(CHANGES):
        fleet.rng.choice(fleet.live()).publish()
        fleet.run(CHANGE_INTERVAL_S)
    fleet.run(PROPAGATION_S)
    nodes = [node.usage for node in fleet.live()]
    add("proxy", "message: news of one record", "bytes", _mean_message_bytes(nodes, UPDATE))
    messages = _mean(u.messages_by_type[UPDATE] for u in nodes)
    size = _mean(u.bytes_by_type[UPDATE] for u in nodes)
    add("proxy", "record change: messages of news in", "a change", messages / CHANGES)
    add("proxy", "record change: bytes of news in", "B a change", size / CHANGES)
    delays_ms = []
    missed = 0
    for key, began in fleet.change_times_s.items():
        arrivals = [fleet.arrival_times_s.get(key, {}).get(name) for name in fleet.nodes]
        missed += None in arrivals
        delays_ms += [1e3 * (at - began) for at in arrivals if at is not None]
    last_node_ms = [
        1e3 * (max(fleet.arrival_times_s[key].values()) - began)
        for key, began in fleet.change_times_s.items()
        if key in fleet.arrival_times_s
    ]
    add("proxy", "record change: every node, p50", "ms", quantile(delays_ms, 0.5))
    add("proxy", "record change: every node, p99", "ms", quantile(delays_ms, 0.99))
    add("proxy", "record change: last node, most", "ms", max(last_node_ms), f"{missed} missed")


def _measure_configurations(fleet: Fleet, compressed_text: bytes, idle: dict[str, float], add: Add) -> None:
    """Measure configurations from acknowledgement until all nodes have the text, without lease traffic."""
    delays_ms = []
    fleet.reset()
    for revision in range(1, CONFIGURATIONS + 1):
        began = fleet.decide(revision, compressed_text)
        fleet.run(PROPAGATION_S)
        missing = [node.name for node in fleet.live() if (revision, node.name) not in fleet.applied_s]
        if missing:
            raise ValueError(
                f"revision {revision} did not reach {len(missing)} nodes within {PROPAGATION_S:g} s"
            )
        delays_ms += [1e3 * (fleet.applied_s[revision, node.name] - began) for node in fleet.live()]
    add("proxy", "configuration: every node, p50", "ms", quantile(delays_ms, 0.5))
    add("proxy", "configuration: every node, p99", "ms", quantile(delays_ms, 0.99))
    add("proxy", "configuration: last node", "ms", max(delays_ms))
    add("proxy", "configuration: as kept and passed on", "bytes", float(len(compressed_text)))
    nodes = [node.usage for node in fleet.live()]
    controllers = _controllers(fleet)
    each = float(CONFIGURATIONS)
    bytes_in = _mean(usage.bytes_in.total() for usage in nodes) / each - PROPAGATION_S * idle["proxy in"]
    bytes_out = max(usage.bytes_out.total() for usage in nodes) / each - PROPAGATION_S * idle["proxy out"]
    controller_bytes_out = (
        _mean(usage.bytes_out.total() for usage in controllers) / each
        - PROPAGATION_S * idle["controller out"]
    )
    add("proxy", "configuration: bytes in", "B a change", bytes_in)
    add("relay", "configuration: bytes out, most", "B a change", bytes_out)
    add("controller", "configuration: bytes out", "B a change", controller_bytes_out)
    bytes_between_regions = sum(usage.bytes_out[BETWEEN_REGIONS] for usage in (*nodes, *controllers)) / each
    add("relay", "configuration: between regions, all", "B a change", bytes_between_regions)


def _measure_relays(fleet: Fleet, add: Add) -> None:
    relays = [node for node in fleet.live() if node.is_relay]
    followers = [len(node.subscriber.relay.followers.positions) for node in relays]
    add("relay", "nodes that relay", "nodes", float(len(relays)))
    add("relay", "followers, most", "nodes", float(max(followers, default=0)))
    add(
        "relay",
        "levels of the tree, most",
        "levels",
        float(max(_depth(fleet, node) for node in fleet.live())),
    )


def _depth(fleet: Fleet, node: MeteredNode) -> int:
    depth = 1
    at = node
    while at.subscriber.parent is not None and depth < 20:
        parent = fleet.nodes[at.subscriber.parent.record.name]
        assert isinstance(parent, MeteredNode)
        depth = depth + 1
        at = parent
    return depth


def main() -> None:
    """Measure one size and print the figures."""
    logger.disable("orchidferry.mesh")
    # A garbage collection traverses the complete fleet, and would count for the process that triggers it.
    gc.disable()
    nodes, services = map(int, sys.argv[1:3])
    for figure in measure(nodes, services):
        print(json.dumps(asdict(figure)), flush=True)


if __name__ == "__main__":
    main()
