"""A node in virtual time: the production subscriber, the node's leases and its links.

Of the production `ControlClient`, only leases, dialling and the download of configurations are reproduced.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING, Any

from orchidferry.mesh.control.configuration_fetcher import ANSWER_TIMEOUT_S
from orchidferry.mesh.control.control_client import IDLE_TIMEOUT_S, RENEWAL_INTERVAL_S, TICK_S
from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord, merge_member_lists
from orchidferry.mesh.control.subscriber import Subscriber
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    Lease,
    LeaseRenewal,
    NodeHello,
    Update,
)
from orchidferry.testkit.model.virtual_link import LinkEnd
from orchidferry.testkit.model.virtual_process import Process

if TYPE_CHECKING:
    from orchidferry.testkit.model.fanout_world import World

REDIAL_S = 0.15
MEMBER_CHECK_S = 5.0  # a node of a large fleet updates its member list at this interval, not at each change
HEADS_WITHOUT_TREE = 1_000_000  # with this many heads each node subscribes to a controller directly


class Node(Process):
    """A node's subscriber, its leases and its links to controllers."""

    def __init__(self, world: World, name: str, zone: int, heads: int) -> None:
        super().__init__(world, name, zone)
        rng = random.Random(world.rng.random())
        self.rng = rng
        self.boot = world.rng.randrange(1, 2**53)
        self.record = NodeRecord(name, self.boot, 1, self.zone, name, 0, None)
        loop: Any = self
        identity = NodeIdentity(name, self.boot, self.zone)
        self.subscriber = Subscriber(
            identity, loop, rng, self._dial_node, self._changed, self._on_revision, heads
        )
        self.controllers: dict[str, LinkEnd] = {}
        self.members: dict[str, NodeRecord] = {}
        self.revision = 0
        self.wanted_revision = 0
        self._fetched_s = -ANSWER_TIMEOUT_S
        self._last_request = 0
        self._dial_s = dict.fromkeys(world.controllers, 0.0)
        # Boot id and number of this node's record that each controller has acknowledged.
        self._known_records: dict[str, tuple[int, int]] = {}
        self.call_later(rng.random() * TICK_S, self._tick)
        phase_s = rng.random() * RENEWAL_INTERVAL_S
        for at, controller in enumerate(world.controllers):
            self.call_later(
                phase_s + RENEWAL_INTERVAL_S * at / len(world.controllers),
                self._renew_periodically,
                controller,
            )
        # Newest change seen, by controller and incarnation, while the world records changes.
        self.seen_numbers: dict[tuple[str, int], int] = {}
        if world.checks_members_rarely and heads < HEADS_WITHOUT_TREE:
            self.call_later(rng.random() * MEMBER_CHECK_S, self._check_members)

    def publish(self) -> None:
        """Change the node's record and send it to all controllers."""
        old = self.record
        self.record = NodeRecord(old.name, old.boot, old.number + 1, old.zone, old.ip, 0, None)
        for name in self.controllers:
            self._renew(name)

    def _renew_periodically(self, name: str) -> None:
        self.call_later(RENEWAL_INTERVAL_S, self._renew_periodically, name)
        if name in self.controllers:
            self._renew(name)

    def _renew(self, name: str) -> None:
        record = self.record
        same = self._known_records.get(name) == (record.boot, record.number)
        self.controllers[name].send(
            LeaseRenewal(record.number, record.name, record.boot, None if same else record)
        )

    def _tick(self) -> None:
        self.call_later(TICK_S, self._tick)
        now = self.world.now
        for name, due_s in self._dial_s.items():
            if name in self.controllers:
                if now - self.controllers[name].last_received_s > IDLE_TIMEOUT_S:
                    self.controllers[name].close()
            elif now >= due_s:
                self._dial_s[name] = now + 1.0
                self.world.dial(
                    self,
                    name,
                    self._received_from_controller,
                    self._controller_disconnected,
                    self._controller_dialled,
                )
        self.subscriber.tick()
        if (
            self.wanted_revision > self.revision
            and now - self._fetched_s > ANSWER_TIMEOUT_S
            and self.controllers
        ):
            self._fetch(self.rng.choice(list(self.controllers.values())))

    def _controller_dialled(self, name: str, link: Any) -> None:
        if link is not None:
            link.peer = name
            self.controllers[name] = link
            self._known_records.pop(name, None)
            link.send(NodeHello(self.name))
            self._renew(name)
            self.subscriber.controller_connected(name, link)

    def _controller_disconnected(self, end: LinkEnd) -> None:
        if self.controllers.get(end.peer) is end:
            del self.controllers[end.peer]
            self._dial_s[end.peer] = self.world.now + REDIAL_S
            self.subscriber.controller_disconnected(end.peer)
            self._members_changed()

    def _received_from_controller(self, end: Any, message: Any) -> None:
        match message:
            case Lease():
                if message.has_record:
                    self._known_records[end.peer] = (self.boot, message.number)
                else:
                    self._known_records.pop(end.peer, None)
                    self._renew(end.peer)
                self.subscriber.lease_renewed(end.peer, message.incarnation, message.newest_number)
            case ConfigurationText():
                self._configuration_received(message)
            case Update():
                self.subscriber.from_controller(end, message)

    def _dial_node(self, name: str, ip: str) -> None:
        def from_parent(end: Any, message: Any) -> None:
            if isinstance(message, ConfigurationText):
                self._configuration_received(message)
            else:
                self.subscriber.from_parent(end, message)

        dialled: Any = self.subscriber.dial_finished
        self.world.dial(self, ip, from_parent, self.subscriber.parent_disconnected, dialled)

    def accept(self, end: Any) -> None:
        """Handle a new incoming link from a follower."""
        self.subscriber.relay.connected(end)

    def received(self, end: Any, message: Any) -> None:
        """Handle a message from a follower."""
        self.subscriber.relay.received(end, message)

    def disconnected(self, end: Any) -> None:
        """Handle the end of a follower's link."""
        self.subscriber.relay.disconnected(end)

    def _changed(self) -> None:
        self.world.updates_arrived(self)
        self._members_changed()

    def _check_members(self) -> None:
        self.call_later(MEMBER_CHECK_S, self._check_members)
        self.update_members()

    def _members_changed(self) -> None:
        if not self.world.checks_members_rarely:
            self.update_members()

    def update_members(self) -> None:
        """Merge the member lists of the controllers into one."""
        member_lists = {name: stream.records for name, stream in self.subscriber.streams.items()}
        members = merge_member_lists(member_lists, set(self.controllers))
        if not self.controllers:
            members = {**self.members, **members}
        if members != self.members:
            self.members = members
            self.subscriber.set_members(members)

    def _on_revision(self, revision: int, link: Any) -> None:
        self.wanted_revision = max(self.wanted_revision, revision)
        if self.wanted_revision > self.revision and self.world.now - self._fetched_s > ANSWER_TIMEOUT_S:
            self._fetch(link)

    def _fetch(self, link: LinkEnd) -> None:
        self._fetched_s = self.world.now
        self._last_request = self._last_request + 1
        link.send(ConfigurationFetch(self._last_request, self.wanted_revision))

    def _configuration_received(self, message: ConfigurationText) -> None:
        if message.request == self._last_request:
            self._fetched_s = -ANSWER_TIMEOUT_S
        if message.revision > self.revision:
            self.revision = message.revision
            self.subscriber.relay.configuration_received(message.revision, message.text)
