"""The publisher of a controller: it renews the leases of nodes and publishes the stream of updates.

Leases and shard groups are sent to each node directly. Updates are sent only to the heads of the fan-out
tree, to nodes that have no parent at the moment, and to nodes that request updates which they have missed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from orchidferry.mesh.control.endpoints import LEASE_S, MAX_NODES, MembershipTable
from orchidferry.mesh.control.traffic_counter import TrafficCounter
from orchidferry.mesh.control.update_stream import NO_CHANGES, Followers, UpdateStream
from orchidferry.mesh.wire.codec import encode
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import (
    ConfigurationText,
    GroupAnnouncement,
    Lease,
    LeaseRenewal,
    Message,
    Revision,
    Update,
    UpdateRequest,
    UpdateSubscription,
)

# Minimum time between two rounds of publishing, per follower, so that sending takes at most about a third of
# the time.
PAUSE_PER_FOLLOWER_S = 100e-6


class Publisher:
    """Sends leases, updates, groups and configurations of one controller to nodes.

    :ivar traffic: messages and bytes that were sent to nodes.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        incarnation: int,
        loop: asyncio.AbstractEventLoop,
        contact_age_ms: Callable[[], int | None] = lambda: 0,
    ) -> None:
        """Create a publisher without nodes.

        :param name: name of the controller.
        :param zone: zone of the controller.
        :param incarnation: random number drawn at the start of the controller.
        :param loop: the event loop, for its clock and timers.
        :param contact_age_ms: returns how long ago a majority of controllers was certainly in contact with
            this one, in milliseconds; None for never.
        """
        self._zone = zone
        self._loop = loop
        self._contact_age_ms = contact_age_ms
        self._started_s = loop.time()
        self._next_publish_s = 0.0
        self._publish_scheduled = False
        self._members = MembershipTable()
        self._stream = UpdateStream(name, incarnation, 0)
        self._followers: Followers[Link] = Followers(MAX_NODES)
        self._nodes: dict[Link, str] = {}  # by link: the name that the node sent
        self.traffic = TrafficCounter()

    @property
    def warm(self) -> bool:
        """Whether all live nodes have had time to reconnect to this controller since its start."""
        return self._loop.time() - self._started_s > LEASE_S

    def node_connected(self, link: Link, name: str) -> None:
        """Handle a new node, which has sent its name."""
        self._nodes[link] = name

    def disconnected(self, link: Link) -> None:
        """Handle the end of a link."""
        self._nodes.pop(link, None)
        self._followers.remove(link)

    def subscribe(self, link: Link, subscription: UpdateSubscription) -> None:
        """Subscribe a node to all updates after its position."""
        stream = self._stream
        number = subscription.number if subscription.incarnation == stream.incarnation else NO_CHANGES
        self._followers.add(link, [(stream.controller, stream.incarnation, number)])
        self._publish()

    def unsubscribe(self, link: Link) -> None:
        """Stop sending updates to a node, which receives them from its parent now."""
        self._followers.remove(link)

    def send_missed(self, link: Link, request: UpdateRequest) -> None:
        """Send a node the updates after its position, without subscribing it."""
        change = self._stream.changes_since(request.incarnation, request.number)
        if change is not None:
            self._send("news", link, Update(change))

    def renew_lease(self, link: Link, renewal: LeaseRenewal) -> None:
        """Renew a node's lease, and store its record if the renewal contains it.

        The reply contains the newest number of the update stream, and the time since this controller was in
        contact with a majority.
        """
        now = self._loop.time()
        known = True
        number = renewal.number
        if renewal.record is None:
            known = self._members.renew(renewal.name, renewal.boot, number, now)
        elif self._members.update(renewal.record, now):
            self._stream.append([renewal.record])
            self._publish()
        stream = self._stream
        lease = Lease(number, known, self.warm, stream.incarnation, stream.number, self._contact_age_ms())
        self._send("lease", link, lease)

    def announce_revision(self, revision: int) -> None:
        """Publish the revision of a new configuration."""
        self._stream.append(revision=revision)
        self._publish()

    def tick(self) -> None:
        """Remove the nodes whose leases have expired."""
        expired = self._members.remove_expired(self._loop.time())
        for name in expired:
            logger.info("publisher: node={} removed: its lease has expired", name)
        if expired:
            self._stream.append(removed=expired)
            self._publish()

    def send_group(self, group: GroupAnnouncement, link: Link | None = None) -> None:
        """Send the group of a shard's controllers directly, as claims of operation keys wait for it.

        :param link: link to the receiving node; None for all nodes.
        """
        data = encode(group)
        for receiver in [link] if link is not None else list(self._nodes):
            self._send_encoded("group", receiver, data)

    def send_revision(self, link: Link, revision: Revision) -> None:
        """Send the newest revision to a node that has asked for it."""
        self._send("number", link, revision)

    def send_configuration(self, link: Link, text: ConfigurationText) -> None:
        """Send a configuration to a node that has fetched it."""
        self._send("text", link, text)

    def _publish(self) -> None:
        """Send new changes to all followers, at once or after a pause if the last round was just now.

        The pause combines many changes into one round, for example when a whole fleet reconnects.
        """
        now = self._loop.time()
        if now < self._next_publish_s:
            if not self._publish_scheduled:
                self._publish_scheduled = True
                self._loop.call_later(self._next_publish_s - now, self._publish_after_pause)
            return
        self._next_publish_s = now + PAUSE_PER_FOLLOWER_S * len(self._followers.positions)
        for change, links in self._followers.advance(self._stream):
            data = encode(Update(change))
            for link in links:
                self._send_encoded("news", link, data)

    def _publish_after_pause(self) -> None:
        self._publish_scheduled = False
        self._next_publish_s = 0.0
        self._publish()

    def _send(self, kind: str, link: Link, message: Message) -> None:
        self._send_encoded(kind, link, encode(message))

    def _send_encoded(self, kind: str, link: Link, data: bytes) -> None:
        lease = self._members.leases.get(self._nodes.get(link, ""))
        self.traffic.add(kind, lease is not None and lease.record.zone == self._zone, len(data))
        link.send_encoded(data)
