"""What fleets of several sizes say and how long news takes, in virtual time; a process of its own.

`python -m orchidferry.testkit.capacity.fleets NODES SERVICES` prints figures as JSON, one a line.
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
from orchidferry.testkit.capacity.regions import FAR, REGION, ZONE, Fleet, MeteredNode, Use
from orchidferry.testkit.capacity.texts import kept, one_route, text

Add = Callable[..., None]
IDLE_S = 4.0
END_S = 1.5
IDLE_SLICES = 80  # of the idle time, each with a look at the machine's speed
CHANGES = 8
GAP_S = 0.3
CONFIGURATIONS = 2
# kinds of messages, as they go over the wire
RENEW = "lease_renewal"
LEASE = "lease"
NEWS = "news"


def measure(nodes: int, services: int) -> list[Figure]:
    """The figures of one fleet."""
    fleet, figures = Fleet(nodes), list[Figure]()

    def add(role: str, name: str, unit: str, value: float, note: str = "") -> None:
        figures.append(Figure(role, name, unit, BY_NODES, nodes, value, VIRTUAL, note))

    fleet.settle()
    fleet.reset()
    speed = Speed()
    for _ in range(IDLE_SLICES):
        fleet.run(IDLE_S / IDLE_SLICES)
        speed.burst()
    idle = _idle(fleet, add, speed.slowness())
    _record_changes(fleet, add)
    add("proxy", "configuration: as the operator sends it", "bytes", float(len(text(services))))
    add("proxy", "configuration: one route of it", "bytes", float(len(one_route(services))))
    _configurations(fleet, kept(services), idle, add)
    _relays(fleet, add)
    peak_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024.0
    add("tool", "whole fleet in virtual time: peak memory", "MB", peak_mb)
    return figures


def _controllers(fleet: Fleet) -> list[Use]:
    return [controller.use for controller in fleet.controllers.values() if hasattr(controller, "use")]


def _message_bytes(uses: list[Use], kind: str) -> float:
    """Of the mean message of a kind that came in, with the four bytes of its length."""
    return sum(use.kind_bytes[kind] for use in uses) / sum(use.kinds[kind] for use in uses)


def _mean(values: Iterable[float]) -> float:
    some = list(values)
    return statistics.fmean(some) if some else 0.0


def _idle(fleet: Fleet, add: Add, slowness: float) -> dict[str, float]:
    """Leases alone; bytes a second that come in or go out, by role and way."""
    idle: dict[str, float] = {}
    for role, uses in (("proxy", [node.use for node in fleet.live()]), ("controller", _controllers(fleet))):
        add(role, "idle: messages in", "a second", _mean(use.messages_in for use in uses) / IDLE_S)
        add(role, "idle: messages out", "a second", _mean(use.messages_out for use in uses) / IDLE_S)
        idle[f"{role} in"] = _mean(use.into.total() for use in uses) / IDLE_S
        idle[f"{role} out"] = _mean(use.out.total() for use in uses) / IDLE_S
        add(role, "idle: bytes in", "B/s", idle[f"{role} in"])
        add(role, "idle: bytes out", "B/s", idle[f"{role} out"])
        share = 100.0 * _mean(u.cpu_s for u in uses) / IDLE_S / slowness
        add(role, "idle: CPU of the pure code", "% of a core", share)
        for kind, name in ((RENEW, "renewal"), (LEASE, "answer to a renewal")):
            if any(use.kinds[kind] for use in uses):
                add(role, f"message: {name}", "bytes", _message_bytes(uses, kind))
        for kind in (ZONE, REGION, FAR):
            add(role, f"idle: bytes out, by {kind}", "B/s", _mean(use.out[kind] for use in uses) / IDLE_S)
    return idle


def _record_changes(fleet: Fleet, add: Add) -> None:
    """One node's record changes; from its first controller's word of it to the last node."""
    fleet.record_changes()
    fleet.reset()
    for _ in range(CHANGES):
        fleet.rng.choice(fleet.live()).publish()
        fleet.run(GAP_S)
    fleet.run(END_S)
    nodes = [node.use for node in fleet.live()]
    add("proxy", "message: news of one record", "bytes", _message_bytes(nodes, NEWS))
    messages = _mean(u.kinds[NEWS] for u in nodes)
    size = _mean(u.kind_bytes[NEWS] for u in nodes)
    add("proxy", "record change: messages of news in", "a change", messages / CHANGES)
    add("proxy", "record change: bytes of news in", "B a change", size / CHANGES)
    took = []
    missed = 0
    for key, began in fleet.change_times_s.items():
        came = [fleet.arrival_times_s.get(key, {}).get(name) for name in fleet.nodes]
        missed += None in came
        took += [1e3 * (at - began) for at in came if at is not None]
    last = [
        1e3 * (max(fleet.arrival_times_s[key].values()) - began)
        for key, began in fleet.change_times_s.items()
        if key in fleet.arrival_times_s
    ]
    add("proxy", "record change: every node, p50", "ms", quantile(took, 0.5))
    add("proxy", "record change: every node, p99", "ms", quantile(took, 0.99))
    add("proxy", "record change: last node, most", "ms", max(last), f"{missed} missed")


def _configurations(fleet: Fleet, raw: bytes, idle: dict[str, float], add: Add) -> None:
    """A configuration, from its acknowledgement to every node that has its text; bytes without leases."""
    took = []
    fleet.reset()
    for revision in range(1, CONFIGURATIONS + 1):
        began = fleet.decide(revision, raw)
        fleet.run(END_S)
        missing = [node.name for node in fleet.live() if (revision, node.name) not in fleet.in_force]
        if missing:
            raise ValueError(f"revision {revision} did not come to {len(missing)} nodes in {END_S:g} s")
        took += [1e3 * (fleet.in_force[revision, node.name] - began) for node in fleet.live()]
    add("proxy", "configuration: every node, p50", "ms", quantile(took, 0.5))
    add("proxy", "configuration: every node, p99", "ms", quantile(took, 0.99))
    add("proxy", "configuration: last node", "ms", max(took))
    add("proxy", "configuration: as kept and passed on", "bytes", float(len(raw)))
    nodes = [node.use for node in fleet.live()]
    controllers = _controllers(fleet)
    each = float(CONFIGURATIONS)
    into = _mean(use.into.total() for use in nodes) / each - END_S * idle["proxy in"]
    out = max(use.out.total() for use in nodes) / each - END_S * idle["proxy out"]
    told = _mean(use.out.total() for use in controllers) / each - END_S * idle["controller out"]
    add("proxy", "configuration: bytes in", "B a change", into)
    add("relay", "configuration: bytes out, most", "B a change", out)
    add("controller", "configuration: bytes out", "B a change", told)
    far = sum(use.out[FAR] for use in (*nodes, *controllers)) / each
    add("relay", "configuration: between regions, all", "B a change", far)


def _relays(fleet: Fleet, add: Add) -> None:
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
        above = fleet.nodes[at.subscriber.parent.record.name]
        assert isinstance(above, MeteredNode)
        depth = depth + 1
        at = above
    return depth


def main() -> None:
    """Measure one size; print it."""
    logger.disable("orchidferry.mesh")
    gc.disable()  # a collection walks the whole fleet, and would count for the process that it falls on
    nodes, services = map(int, sys.argv[1:3])
    for figure in measure(nodes, services):
        print(json.dumps(asdict(figure)), flush=True)


if __name__ == "__main__":
    main()
