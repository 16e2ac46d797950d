"""A fleet in two regions of four zones each in virtual time, with metered traffic and CPU of each process.

The processes are those of `orchidferry.testkit.model.fanout_world`: the production publisher, subscriber,
fan-out tree and member lists. One-way delays are assumed. CPU time is that of the pure code, without sockets
and HTTP. The decoding of a message counts for each process that receives it, even where the model decodes it
just once.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from msgspec.structs import replace

from orchidferry.mesh.control.endpoints import IN_SERVICE, Server
from orchidferry.mesh.wire.messages import ConfigurationText
from orchidferry.mesh.wire.shard_messages import tag_of
from orchidferry.testkit.capacity.plan import CONTROLLERS, services_of
from orchidferry.testkit.capacity.texts import service_names
from orchidferry.testkit.model.fanout_world import World
from orchidferry.testkit.model.publishing_controller import Controller
from orchidferry.testkit.model.subscribing_node import Node
from orchidferry.testkit.model.virtual_link import LINK_TIMEOUT_S, LinkEnd
from orchidferry.testkit.model.virtual_process import Process

REGIONS = 2
ZONES = 8  # zones of all regions together
IN_ZONE_S = 0.0002
BETWEEN_ZONES_S = 0.0009
BETWEEN_REGIONS_S = 0.035
AFTER_TIMEOUT_S = 0.001
SERVER_CAPACITY = 64  # capacity of each server
START_S = 0.3  # period in which all nodes of a new fleet start
# Time until controllers have announced all nodes, and then until each node has its place in the tree.
ANNOUNCEMENT_S = 0.9
TREE_PLACEMENT_S = 3.1
CONTROLLER_ZONES = (0, 1, 2, 4, 5)  # three in the first region, two in the second
# Kinds of links: within a zone, between zones of a region, between regions.
WITHIN_ZONE = "zone"
BETWEEN_ZONES = "region"
BETWEEN_REGIONS = "regions"


def region_of(zone: str) -> int:
    """Return the region of a zone, `z0` to `z7`.

    >>> region_of("z3"), region_of("z4")
    (0, 1)
    """
    return int(zone[1:]) * REGIONS // ZONES


@dataclass(slots=True)
class Usage:
    """The CPU time and traffic of one process.

    :ivar cpu_s: CPU time of its pure code
    :ivar bytes_out: bytes sent, by kind of link
    :ivar bytes_in: bytes received, by kind of link
    :ivar messages_out: number of messages sent
    :ivar messages_in: number of messages received
    :ivar messages_by_type: number of messages received, by type of message
    :ivar bytes_by_type: bytes received, by type of message
    """

    cpu_s: float = 0.0
    bytes_out: Counter[str] = field(default_factory=Counter)
    bytes_in: Counter[str] = field(default_factory=Counter)
    messages_out: int = 0
    messages_in: int = 0
    messages_by_type: Counter[str] = field(default_factory=Counter)
    bytes_by_type: Counter[str] = field(default_factory=Counter)


class MeteredProcess(Process):
    """A process whose CPU time is metered."""

    usage: Usage
    _metering = False

    def run(self, call: Callable[[], object]) -> None:
        """Run a call and meter its CPU time; nested calls count for the outermost one."""
        if self._metering:
            return super().run(call)
        self._metering, began = True, time.thread_time()
        try:
            super().run(call)
        finally:
            self._metering = False
            self.usage.cpu_s += time.thread_time() - began


class MeteredController(MeteredProcess, Controller):
    """A metered controller."""

    def __init__(self, world: World, name: str, zone: int) -> None:
        self.usage = Usage()
        super().__init__(world, name, zone)


class MeteredNode(MeteredProcess, Node):
    """A metered node with a server beside it."""

    def __init__(self, world: Fleet, name: str, zone: int, heads: int) -> None:
        self.usage = Usage()
        self.fleet = world
        super().__init__(world, name, zone, heads)
        self.record = replace(self.record, server=world.server_of(name, zone))

    def publish(self) -> None:
        """Change the node's record, as on a change of its server's state, and send it to all controllers."""
        self.record = replace(self.record, number=self.record.number + 1)
        for name in self.controllers:
            self._renew(name)

    def _configuration_received(self, message: ConfigurationText) -> None:
        old_revision = self.revision
        super()._configuration_received(message)
        if self.revision > old_revision:
            self.fleet.applied_s[self.revision, self.name] = self.world.now

    @property
    def is_relay(self) -> bool:
        """Whether other nodes receive updates through this one."""
        return bool(self.subscriber.relay.followers.positions)


class RegionCuts(Container[tuple[str, str]]):
    """The pairs of processes in different regions, while the regions are partitioned."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def __contains__(self, pair: object) -> bool:
        assert isinstance(pair, tuple)
        fleet = self._fleet
        return fleet.partitioned and fleet.region(pair[0]) != fleet.region(pair[1])

    def __and__(self, pairs: set[tuple[str, str]]) -> set[tuple[str, str]]:
        return {pair for pair in pairs if pair in self}


class Fleet(World):
    """Five controllers, and nodes that are spread evenly over eight zones."""

    def __init__(self, nodes: int, seed: int = 1) -> None:
        super().__init__(seed, ZONES, checks_members_rarely=True)
        self._partitioned = False
        # Links closed by their senders during a partition; retried when it heals.
        self._abandoned_ends: list[LinkEnd] = []
        self._decode_s = 0.0  # CPU time for decoding the current message
        self._sender_decode_s = 0.0  # the part of it that was counted for the sender
        cuts: Any = RegionCuts(self)
        self.cuts = cuts
        # Virtual time at which a configuration was applied, by revision and node.
        self.applied_s: dict[tuple[int, str], float] = {}
        self._regions: dict[str, int] = {}
        # Size and type of the current message.
        self._message_size = 0
        self._message_type = ""
        self._queue.clear()
        self.controllers = {}
        for number, zone in enumerate(CONTROLLER_ZONES[:CONTROLLERS]):
            name = f"k{number}"
            self._regions[name] = region_of(f"z{zone}")
            self.controllers[name] = MeteredController(self, name, zone)
        self._services = service_names(services_of(nodes))
        self.names = [f"n{number}" for number in range(nodes)]
        for number, name in enumerate(self.names):
            self.at(self.now + START_S * self.rng.random(), partial(self.start, name, number % ZONES))

    def start(self, name: str, zone: int) -> Node:
        """Start a node."""
        self._regions[name] = region_of(f"z{zone}")
        node = self.nodes[name] = MeteredNode(self, name, zone, self.heads)
        return node

    def server_of(self, node: str, zone: int) -> Server:
        """Return the server beside a node; services are assigned round-robin."""
        service = self._services[int(node[1:]) % len(self._services)]
        return Server(f"i-{node}", service, f"z{zone}", IN_SERVICE, SERVER_CAPACITY, 0.0, "v1")

    def region(self, name: str) -> int:
        """Return the region of a process."""
        return self._regions[name]

    @property
    def partitioned(self) -> bool:
        """Whether the regions are partitioned."""
        return self._partitioned

    @partitioned.setter
    def partitioned(self, partitioned: bool) -> None:
        self._partitioned = partitioned
        if not partitioned:
            abandoned_ends = self._abandoned_ends
            self._abandoned_ends = []
            for end in abandoned_ends:
                self.at(self.now, end.arrive)

    def retry_later(self, end: LinkEnd, lost: bool) -> None:
        """Retry a blocked link when it times out and when the partition heals, instead of every 10 ms."""
        if lost:
            self._abandoned_ends.append(end)
        else:
            self.at(self.now + LINK_TIMEOUT_S + AFTER_TIMEOUT_S, end.arrive)

    def read(self, data: bytes) -> Any:
        """Decode a message that is being sent, and note its size, its type and the CPU time for decoding."""
        self._message_size = len(data)
        if self._read[0] is data:
            return self._read[1]
        began = time.thread_time()
        message = super().read(data)
        self._message_type = tag_of(message)
        self._decode_s = time.thread_time() - began
        self._sender_decode_s = self._decode_s  # to be counted for the receiver instead of the sender
        return message

    def delay(self, one: Process, other: Process) -> float:
        """Return the one-way delay of a link; called once for each message, it also counts the message."""
        if one.zone == other.zone:
            kind = WITHIN_ZONE
            delay = IN_ZONE_S
        elif region_of(one.zone) == region_of(other.zone):
            kind = BETWEEN_ZONES
            delay = BETWEEN_ZONES_S
        else:
            kind = BETWEEN_REGIONS
            delay = BETWEEN_REGIONS_S
        size = self._message_size
        self._message_size = 0
        if size and isinstance(one, MeteredProcess) and isinstance(other, MeteredProcess):
            one.usage.cpu_s -= self._sender_decode_s
            other.usage.cpu_s += self._decode_s
            self._sender_decode_s = 0.0
            one.usage.bytes_out[kind] += size
            one.usage.messages_out += 1
            other.usage.bytes_in[kind] += size
            other.usage.messages_in += 1
            other.usage.messages_by_type[self._message_type] += 1
            other.usage.bytes_by_type[self._message_type] += size
        return delay

    # Operations

    def settle(self) -> None:
        """Run until all nodes have started, know each other and have their places in the tree.

        Nodes of large fleets update their members only every few seconds; here they do so immediately.
        """
        self.run(ANNOUNCEMENT_S)
        for node in self.live():
            node.update_members()
        self.run(TREE_PLACEMENT_S)

    def decide(self, revision: int, text: bytes) -> float:
        """Decide a configuration at the first controller and announce it to the others.

        :returns: the virtual time of the decision
        """
        first = self.controllers["k0"]
        for controller in self.controllers.values():
            delay = self.delay(first, controller) if controller is not first else 0.0
            self.at(self.now + delay, partial(controller.configuration_decided, revision, text))
        return self.now

    def live(self) -> list[MeteredNode]:
        """Return all running nodes."""
        return [node for node in self.nodes.values() if isinstance(node, MeteredNode) and node.alive]

    def reset(self) -> None:
        """Reset the usage of all processes."""
        for process in (*self.live(), *self.controllers.values()):
            assert isinstance(process, MeteredProcess)
            process.usage = Usage()

    def members_known(self) -> list[int]:
        """Return the number of members that each running node knows."""
        return [len(node.members) for node in self.live()]
