"""Hollow nodes: the control traffic of many nodes with real controllers, from one process over real links.

A hollow node has a link to each controller and renews the lease of its record as `ControlClient` does. The
heads of the zones also subscribe to updates and fetch each configuration. Hollow nodes serve no requests.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from msgspec import structs

from orchidferry.mesh.control.control_client import RENEWAL_INTERVAL_S
from orchidferry.mesh.control.endpoints import IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.control.fanout_tree import HEADS
from orchidferry.mesh.wire.codec import encode
from orchidferry.mesh.wire.framing import Link, dial
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    Lease,
    LeaseRenewal,
    Message,
    NodeHello,
    Update,
    UpdateSubscription,
)
from orchidferry.mesh.wire.shard_messages import tag_of

ZONES = tuple(f"hollow-{number}" for number in range(8))
SERVER_CAPACITY = 8
MAX_CONCURRENT_DIALS = 64
MAX_DIAL_ATTEMPTS = 20
DIAL_TIMEOUT_S = 5.0
DIAL_RETRY_S = 0.15


@dataclass(slots=True)
class Traffic:
    """The traffic between hollow nodes and controllers; sizes include the four bytes of the length prefix.

    :ivar up: bytes sent to controllers, by message type
    :ivar down: bytes received from controllers, by message type
    :ivar up_messages: number of messages sent to controllers
    :ivar down_messages: number of messages received from controllers
    """

    up: Counter[str] = field(default_factory=Counter)
    down: Counter[str] = field(default_factory=Counter)
    up_messages: int = 0
    down_messages: int = 0


class HollowNode:
    """A node that only exchanges control messages with controllers."""

    def __init__(
        self, number: int, service: str, zone: str, ip: str, inbound: int, fleet: HollowFleet
    ) -> None:
        self._fleet = fleet
        self.name = f"hollow-{number}"
        self.head = number < HEADS * len(ZONES)
        server = Server(f"i-hollow-{number}", service, zone, IN_SERVICE, SERVER_CAPACITY, 0.0, "v1")
        self.record = NodeRecord(self.name, random.randrange(1, 2**53), 1, zone, ip, inbound, server)
        self.links: dict[str, Link] = {}
        self._acknowledged_numbers: dict[str, int] = {}  # by controller: number of the record it has
        self.revision = 0
        self._subscribed: set[str] = set()

    def connected(self, controller: str, link: Link) -> None:
        """Register and renew the lease over a new link to a controller."""
        link.peer = controller
        self.links[controller] = link
        self._send(link, NodeHello(self.name))
        self.renew(controller)

    def publish(self) -> None:
        """Change the node's record and send it to all controllers."""
        self.record = structs.replace(self.record, number=self.record.number + 1)
        for controller in self.links:
            self.renew(controller)

    def renew(self, controller: str) -> None:
        """Renew the lease at one controller."""
        record = self.record
        is_known = self._acknowledged_numbers.get(controller) == record.number
        renewal = LeaseRenewal(record.number, record.name, record.boot, None if is_known else record)
        self._send(self.links[controller], renewal)

    def _send(self, link: Link, message: Message) -> None:
        data = encode(message)
        self._fleet.traffic.up[tag_of(message)] += len(data)
        self._fleet.traffic.up_messages += 1
        link.send_encoded(data)

    def received(self, link: Link, message: Message) -> None:
        """Handle a message from a controller."""
        traffic = self._fleet.traffic
        traffic.down_messages += 1
        traffic.down[tag_of(message)] += len(encode(message))
        match message:
            case Lease():
                self._lease_received(link, message)
            case Update() if message.change.revision > self.revision:
                self.revision = message.change.revision
                self._send(link, ConfigurationFetch(1, self.revision))
            case ConfigurationText():
                self._fleet.configuration_received(message.revision)

    def _lease_received(self, link: Link, lease: Lease) -> None:
        self._acknowledged_numbers[link.peer] = lease.number if lease.has_record else -1
        if not lease.has_record:
            self.renew(link.peer)
        if self.head and link.peer not in self._subscribed:
            self._subscribed.add(link.peer)
            self._send(link, UpdateSubscription(lease.incarnation, -1))


class HollowFleet:
    """All hollow nodes of one fleet.

    :ivar traffic: their traffic with controllers
    :ivar nodes: the nodes; the heads come first
    """

    def __init__(
        self, count: int, services: list[str], controllers: list[str], port: int, own_ip: str, inbound: int
    ) -> None:
        self.traffic = Traffic()
        self._controllers = controllers
        self._port = port
        self._ip = own_ip
        self.nodes = [
            HollowNode(n, services[n % len(services)], ZONES[n % len(ZONES)], own_ip, inbound, self)
            for n in range(count)
        ]
        self._receipt_times: dict[int, list[float]] = {}  # when each head received a revision
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed_links = 0

    @property
    def heads(self) -> int:
        """Number of heads, which subscribe to updates."""
        return sum(node.head for node in self.nodes)

    def configuration_received(self, revision: int) -> None:
        """Record that a head has received a configuration."""
        self._receipt_times.setdefault(revision, []).append(asyncio.get_running_loop().time())

    async def wait_for_configuration(self, revision: int, timeout_s: float) -> list[float]:
        """Wait until all heads have received a revision.

        :param timeout_s: maximum time to wait
        :returns: times of receipt; fewer than the number of heads after a timeout
        """
        loop = asyncio.get_running_loop()
        until = loop.time() + timeout_s
        while len(self._receipt_times.get(revision, [])) < self.heads and loop.time() < until:
            await asyncio.sleep(0.005)
        return self._receipt_times.get(revision, [])

    async def connect_all(self) -> float:
        """Connect all nodes to all controllers as fast as possible.

        :returns: the time that it took, in seconds
        :raises ValueError: if some link cannot be established
        """
        loop = asyncio.get_running_loop()
        began, dial_slots = loop.time(), asyncio.Semaphore(MAX_CONCURRENT_DIALS)

        async def connect(node: HollowNode, controller: str) -> bool:
            async with dial_slots:
                link = await self._dial(node, controller)
            if link is not None:
                node.connected(controller, link)
            return link is not None

        connects = [connect(node, controller) for node in self.nodes for controller in self._controllers]
        connected = await asyncio.gather(*connects)
        if not all(connected):
            raise ValueError(
                f"{connected.count(False)} of {len(connected)} links to controllers were not established"
            )
        task = loop.create_task(self._renew_all())
        self._tasks.add(task)
        return loop.time() - began

    async def _dial(self, node: HollowNode, controller: str) -> Link | None:
        """Dial a controller; retry if it refuses, as it may have just started."""
        for _ in range(MAX_DIAL_ATTEMPTS):
            link = await dial(
                node.received, self._link_closed, controller, self._port, self._ip, DIAL_TIMEOUT_S
            )
            if link is not None:
                return link
            await asyncio.sleep(DIAL_RETRY_S)
        return None

    def _link_closed(self, link: Link) -> None:
        self._closed_links += 1

    def check(self) -> None:
        """Check that no controller has closed a link.

        :raises ValueError: if one has
        """
        if self._closed_links:
            raise ValueError(f"{self._closed_links} links of hollow nodes were closed")

    async def _renew_all(self) -> None:
        """Renew the lease of each link every `RENEWAL_INTERVAL_S`, evenly spread over the interval."""
        loop = asyncio.get_running_loop()
        links = [(node, controller) for node in self.nodes for controller in self._controllers]
        random.shuffle(links)
        done = 0
        began = loop.time()
        while True:
            due = int((loop.time() - began) / RENEWAL_INTERVAL_S * len(links))
            for at in range(done, min(due, done + len(links))):
                node, controller = links[at % len(links)]
                if node.links[controller].open:
                    node.renew(controller)
            done = max(due, done)
            await asyncio.sleep(0.01)

    def close(self) -> None:
        """Stop renewing leases and close all links."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            for link in node.links.values():
                link.close()
