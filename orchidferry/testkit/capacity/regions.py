"""A fleet over two regions of four zones in virtual time, with what each process says and what it costs.

The processes are those of `orchidferry.testkit.model.fanout_world`: the shipping publisher, subscriber,
fan-out tree and lists of members. Delays are assumed (one way), CPU is that of the pure code alone: no
sockets, no HTTP. Reading a message counts for each process that it comes to, also where the model reads it
once for all.
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
from orchidferry.testkit.capacity.texts import names
from orchidferry.testkit.model.fanout_world import World
from orchidferry.testkit.model.publishing_controller import Controller
from orchidferry.testkit.model.subscribing_node import Node
from orchidferry.testkit.model.virtual_link import LINK_TIMEOUT_S, LinkEnd
from orchidferry.testkit.model.virtual_process import Process

# zones of all regions
REGIONS = 2
ZONES = 8
IN_ZONE_S = 0.0002
BETWEEN_ZONES_S = 0.0009
BETWEEN_REGIONS_S = 0.035
AFTER_TIMEOUT_S = 0.001
SLOTS = 64  # of each server
START_S = 0.3  # in which all nodes of a new fleet start
# until all nodes are told of, and until each has its place in the tree
KNOWN_S = 0.9
PLACED_S = 3.1
CONTROLLER_ZONES = (0, 1, 2, 4, 5)  # three in the first region, two in the second
# a link within a zone, between zones, between regions
ZONE = "zone"
REGION = "region"
FAR = "regions"


def region_of(zone: str) -> int:
    """The region of a zone of the model, `z0` to `z7`.

    >>> region_of("z3"), region_of("z4")
    (0, 1)
    """
    return int(zone[1:]) * REGIONS // ZONES


@dataclass(slots=True)
class Use:
    """What one process has used: CPU of its pure code, messages and bytes by kind of link."""

    cpu_s: float = 0.0
    out: Counter[str] = field(default_factory=Counter)  # bytes, by kind of link
    into: Counter[str] = field(default_factory=Counter)
    messages_out: int = 0
    messages_in: int = 0
    kinds: Counter[str] = field(default_factory=Counter)  # messages that came in, by kind
    kind_bytes: Counter[str] = field(default_factory=Counter)


class Metered(Process):
    """A process whose CPU is counted."""

    use: Use
    _running = False

    def run(self, call: Callable[[], object]) -> None:
        """Time a call."""
        if self._running:
            return super().run(call)
        self._running, began = True, time.thread_time()
        try:
            super().run(call)
        finally:
            self._running = False
            self.use.cpu_s += time.thread_time() - began


class MeteredController(Metered, Controller):
    """A controller's publisher."""

    def __init__(self, world: World, name: str, zone: int) -> None:
        self.use = Use()
        super().__init__(world, name, zone)


class MeteredNode(Metered, Node):
    """A node's subscriber, its leases and its links."""

    def __init__(self, world: Fleet, name: str, zone: int, heads: int) -> None:
        self.use = Use()
        self.fleet = world
        super().__init__(world, name, zone, heads)
        self.record = replace(self.record, server=world.server_of(name, zone))

    def publish(self) -> None:
        """The state of its server changes."""
        self.record = replace(self.record, number=self.record.number + 1)
        for name in self.controllers:
            self._renew(name)

    def _configuration_received(self, message: ConfigurationText) -> None:
        had = self.revision
        super()._configuration_received(message)
        if self.revision > had:
            self.fleet.in_force[self.revision, self.name] = self.world.now

    @property
    def is_relay(self) -> bool:
        """Whether other nodes follow this one."""
        return bool(self.subscriber.relay.followers.positions)


class BetweenRegions(Container[tuple[str, str]]):
    """The pairs of processes that are cut off from each other while regions are apart."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet

    def __contains__(self, pair: object) -> bool:
        assert isinstance(pair, tuple)
        fleet = self._fleet
        return fleet.apart and fleet.region(pair[0]) != fleet.region(pair[1])

    def __and__(self, pairs: set[tuple[str, str]]) -> set[tuple[str, str]]:
        return {pair for pair in pairs if pair in self}


class Fleet(World):
    """Five controllers and so many nodes, spread evenly over eight zones."""

    def __init__(self, nodes: int, seed: int = 1) -> None:
        super().__init__(seed, ZONES, checks_members_rarely=True)
        self._apart = False
        self._given_up: list[
            LinkEnd
        ] = []  # their senders have given them up; tried again when the regions meet
        self._read_s = 0.0  # what it took to read the message that is being sent
        self._unread_s = 0.0  # and how much of that was counted for its sender
        cuts: Any = BetweenRegions(self)
        self.cuts = cuts
        self.in_force: dict[tuple[int, str], float] = {}  # when a node had a revision
        self._regions: dict[str, int] = {}
        # of the message that is being sent
        self._size = 0
        self._kind = ""
        self._queue.clear()
        self.controllers = {}
        for number, zone in enumerate(CONTROLLER_ZONES[:CONTROLLERS]):
            name = f"k{number}"
            self._regions[name] = region_of(f"z{zone}")
            self.controllers[name] = MeteredController(self, name, zone)
        self._services = names(services_of(nodes))
        self.names = [f"n{number}" for number in range(nodes)]
        for number, name in enumerate(self.names):
            self.at(self.now + START_S * self.rng.random(), partial(self.start, name, number % ZONES))

    def start(self, name: str, zone: int) -> Node:
        """Start a node."""
        self._regions[name] = region_of(f"z{zone}")
        node = self.nodes[name] = MeteredNode(self, name, zone, self.heads)
        return node

    def server_of(self, node: str, zone: int) -> Server:
        """The server beside a node; services take turns."""
        service = self._services[int(node[1:]) % len(self._services)]
        return Server(f"i-{node}", service, f"z{zone}", IN_SERVICE, SLOTS, 0.0, "v1")

    def region(self, name: str) -> int:
        """Of a process, by name."""
        return self._regions[name]

    @property
    def apart(self) -> bool:
        """Whether the regions are cut off from each other."""
        return self._apart

    @apart.setter
    def apart(self, apart: bool) -> None:
        self._apart = apart
        if not apart:
            given_up = self._given_up
            self._given_up = []
            for end in given_up:
                self.at(self.now, end.arrive)

    def retry_later(self, end: LinkEnd, lost: bool) -> None:
        """Once when its sender is to give it up, and then when the regions meet: not each 10 ms."""
        if lost:
            self._given_up.append(end)
        else:
            self.at(self.now + LINK_TIMEOUT_S + AFTER_TIMEOUT_S, end.arrive)

    def read(self, data: bytes) -> Any:
        """Decode a message, and count its bytes."""
        self._size = len(data)
        if self._read[0] is data:
            return self._read[1]
        began = time.thread_time()
        message = super().read(data)
        self._kind = tag_of(message)
        self._read_s = time.thread_time() - began
        self._unread_s = self._read_s  # it was not the sender that spent this
        return message

    def delay(self, one: Process, other: Process) -> float:
        """Of a link, one way; called once for each message, so that it is counted here."""
        if one.zone == other.zone:
            kind = ZONE
            delay = IN_ZONE_S
        elif region_of(one.zone) == region_of(other.zone):
            kind = REGION
            delay = BETWEEN_ZONES_S
        else:
            kind = FAR
            delay = BETWEEN_REGIONS_S
        size = self._size
        self._size = 0
        if size and isinstance(one, Metered) and isinstance(other, Metered):
            one.use.cpu_s -= self._unread_s
            other.use.cpu_s += self._read_s
            self._unread_s = 0.0
            one.use.out[kind] += size
            one.use.messages_out += 1
            other.use.into[kind] += size
            other.use.messages_in += 1
            other.use.kinds[self._kind] += 1
            other.use.kind_bytes[self._kind] += size
        return delay

    # What is asked of it

    def settle(self) -> None:
        """All start, learn of each other and take their places in the tree.

        In a model of this size nodes look at who is there each few seconds only; here they do so at once.
        """
        self.run(KNOWN_S)
        for node in self.live():
            node.update_members()
        self.run(PLACED_S)

    def decide(self, revision: int, text: bytes) -> float:
        """A configuration is decided at the first controller, and told to the others; when."""
        first = self.controllers["k0"]
        for controller in self.controllers.values():
            delay = self.delay(first, controller) if controller is not first else 0.0
            self.at(self.now + delay, partial(controller.configuration_decided, revision, text))
        return self.now

    def live(self) -> list[MeteredNode]:
        """All nodes that run."""
        return [node for node in self.nodes.values() if isinstance(node, MeteredNode) and node.alive]

    def reset(self) -> None:
        """Count anew."""
        for process in (*self.live(), *self.controllers.values()):
            assert isinstance(process, Metered)
            process.use = Use()

    def members_known(self) -> list[int]:
        """How many members each live node's streams list, all controllers taken together."""
        return [len(node.members) for node in self.live()]
