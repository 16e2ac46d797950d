"""Hollow nodes: what many nodes say to real controllers, over real links, out of one process.

A hollow node has a link to each controller, its record and its lease, renewed as `ControlClient` does; the
heads of its zones also follow the news and fetch each configuration's text. It serves nobody.
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
SLOTS = 8
DIALS_AT_ONCE = 64
MAX_DIALS = 20
DIAL_S = 5.0
DIAL_AGAIN_S = 0.15


@dataclass(slots=True)
class Traffic:
    """Bytes by kind and messages between hollow nodes and controllers; with the four bytes of a length."""

    up: Counter[str] = field(default_factory=Counter)
    down: Counter[str] = field(default_factory=Counter)
    up_messages: int = 0
    down_messages: int = 0


class HollowNode:
    """One node's side of the control state."""

    def __init__(self, number: int, service: str, zone: str, ip: str, inbound: int, crowd: Hollow) -> None:
        self._crowd = crowd
        self.name = f"hollow-{number}"
        self.head = number < HEADS * len(ZONES)
        server = Server(f"i-hollow-{number}", service, zone, IN_SERVICE, SLOTS, 0.0, "v1")
        self.record = NodeRecord(self.name, random.randrange(1, 2**53), 1, zone, ip, inbound, server)
        self.links: dict[str, Link] = {}
        self._has: dict[str, int] = {}  # number of the record that each controller has
        self.revision = 0
        self._followed: set[str] = set()

    def linked(self, controller: str, link: Link) -> None:
        """There is a link to a controller."""
        link.peer = controller
        self.links[controller] = link
        self._send(link, NodeHello(self.name))
        self.renew(controller)

    def publish(self) -> None:
        """Its record changes."""
        self.record = structs.replace(self.record, number=self.record.number + 1)
        for controller in self.links:
            self.renew(controller)

    def renew(self, controller: str) -> None:
        """Renew the lease at one controller."""
        record = self.record
        same = self._has.get(controller) == record.number
        renewal = LeaseRenewal(record.number, record.name, record.boot, None if same else record)
        self._send(self.links[controller], renewal)

    def _send(self, link: Link, message: Message) -> None:
        data = encode(message)
        self._crowd.traffic.up[tag_of(message)] += len(data)
        self._crowd.traffic.up_messages += 1
        link.send_encoded(data)

    def heard(self, link: Link, message: Message) -> None:
        """A controller's message."""
        traffic = self._crowd.traffic
        traffic.down_messages += 1
        traffic.down[tag_of(message)] += len(encode(message))
        match message:
            case Lease():
                self._take_lease(link, message)
            case Update() if message.change.revision > self.revision:
                self.revision = message.change.revision
                self._send(link, ConfigurationFetch(1, self.revision))
            case ConfigurationText():
                self._crowd.got_text(message.revision)

    def _take_lease(self, link: Link, lease: Lease) -> None:
        self._has[link.peer] = lease.number if lease.has_record else -1
        if not lease.has_record:
            self.renew(link.peer)
        if self.head and link.peer not in self._followed:
            self._followed.add(link.peer)
            self._send(link, UpdateSubscription(lease.incarnation, -1))


class Hollow:
    """All hollow nodes of one fleet."""

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
        self._texts: dict[int, list[float]] = {}  # when the heads had each revision
        self._tasks: set[asyncio.Task[None]] = set()
        self._lost = 0

    @property
    def heads(self) -> int:
        """How many of them follow the news."""
        return sum(node.head for node in self.nodes)

    def got_text(self, revision: int) -> None:
        """A head has a configuration's text."""
        self._texts.setdefault(revision, []).append(asyncio.get_running_loop().time())

    async def texts(self, revision: int, within_s: float) -> list[float]:
        """When each head had a revision; fewer than the heads if the time is over."""
        loop = asyncio.get_running_loop()
        until = loop.time() + within_s
        while len(self._texts.get(revision, [])) < self.heads and loop.time() < until:
            await asyncio.sleep(0.005)
        return self._texts.get(revision, [])

    async def join(self) -> float:
        """All of them connect, as fast as that goes; how long it took. `ValueError` where one can't."""
        loop = asyncio.get_running_loop()
        began, room = loop.time(), asyncio.Semaphore(DIALS_AT_ONCE)

        async def connect(node: HollowNode, controller: str) -> bool:
            async with room:
                link = await self._dial(node, controller)
            if link is not None:
                node.linked(controller, link)
            return link is not None

        ways = [connect(node, controller) for node in self.nodes for controller in self._controllers]
        linked = await asyncio.gather(*ways)
        if not all(linked):
            raise ValueError(f"{linked.count(False)} of {len(linked)} links to controllers did not come up")
        task = loop.create_task(self._renew_all())
        self._tasks.add(task)
        return loop.time() - began

    async def _dial(self, node: HollowNode, controller: str) -> Link | None:
        """A link; again after a refusal, as a controller may have just started."""
        for _ in range(MAX_DIALS):
            link = await dial(node.heard, self._lost_link, controller, self._port, self._ip, DIAL_S)
            if link is not None:
                return link
            await asyncio.sleep(DIAL_AGAIN_S)
        return None

    def _lost_link(self, link: Link) -> None:
        self._lost += 1

    def check(self) -> None:
        """`ValueError` if a controller has ended a link."""
        if self._lost:
            raise ValueError(f"{self._lost} links of hollow nodes were ended")

    async def _renew_all(self) -> None:
        """Each link's lease each `RENEWAL_INTERVAL_S`, spread evenly over it."""
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
        """End it."""
        for task in self._tasks:
            task.cancel()
        for node in self.nodes:
            for link in node.links.values():
                link.close()
