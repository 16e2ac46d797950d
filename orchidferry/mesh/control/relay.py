"""A relay: the part of a node that forwards received updates and configurations to the node's followers.

No I/O of its own: links and the event loop's clock are passed in.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from orchidferry.mesh.control.configuration import NO_REVISION
from orchidferry.mesh.control.endpoints import NodeIdentity
from orchidferry.mesh.control.fanout_tree import MAX_FOLLOWERS, tree_rank
from orchidferry.mesh.control.traffic_counter import TrafficCounter
from orchidferry.mesh.control.update_stream import Followers, UpdateStream
from orchidferry.mesh.wire.codec import encode
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    Message,
    RelayAccepted,
    RelayAlive,
    RelayFull,
    RelayPositions,
    RelaySubscription,
    Update,
)

SUBSCRIBE_TIMEOUT_S = 3.0  # time after which a connected node that has not subscribed is disconnected
MAX_LINKS = 4 * MAX_FOLLOWERS  # links of followers and of nodes that have not subscribed yet
MAX_POSITIONS = 32  # stream positions accepted from one follower
MAX_PENDING_BYTES = 1024 * 1024  # maximum unsent data for a follower that does not read


class Relay:
    """Accepts followers of one node and forwards updates and configurations to them.

    :ivar followers: the nodes that have subscribed to this node.
    :ivar traffic: messages and bytes that were sent to followers.
    """

    def __init__(
        self,
        node: NodeIdentity,
        loop: asyncio.AbstractEventLoop,
        streams: dict[str, UpdateStream],
        has_controllers: Callable[[], bool],
    ) -> None:
        """Create a relay without followers.

        :param node: the node itself.
        :param loop: the event loop, for its clock.
        :param streams: the node's copies of the controllers' streams, by controller.
        :param has_controllers: returns whether the node is connected to any controller.
        """
        self._node = node
        self._loop = loop
        self._streams = streams
        self._has_controllers = has_controllers
        self.followers: Followers[Link] = Followers()
        self.traffic = TrafficCounter()
        self._subscribe_due_s: dict[Link, float] = {}  # deadlines of links that have not subscribed yet
        self._same_zone: dict[Link, bool] = {}
        self._revision = NO_REVISION  # revision of the newest configuration received
        self._configuration: bytes | None = None  # its compressed text, kept while there are followers
        self._pending_fetches: dict[Link, ConfigurationFetch] = {}

    def connected(self, link: Link) -> None:
        """Handle a new link from another node."""
        if len(self._subscribe_due_s) + len(self.followers.positions) >= MAX_LINKS:
            return link.close()
        self._subscribe_due_s[link] = self._loop.time() + SUBSCRIBE_TIMEOUT_S
        return None

    def disconnected(self, link: Link) -> None:
        """Handle the end of a link from another node."""
        self._subscribe_due_s.pop(link, None)
        self._same_zone.pop(link, None)
        self._pending_fetches.pop(link, None)
        self.followers.remove(link)
        if not self.followers.positions:
            self._configuration = None

    def received(self, link: Link, message: Message) -> None:
        """Handle a message from a connected node."""
        if isinstance(message, RelaySubscription) and link in self._subscribe_due_s:
            self._subscribe(link, message)
        elif link not in self.followers.positions:
            return
        elif isinstance(message, RelayPositions):
            self.followers.add(link, message.positions[:MAX_POSITIONS])
            self.forward(self._streams.values())
            self._send("tree", link, RelayAlive())
        elif isinstance(message, ConfigurationFetch):
            self._pending_fetches[link] = message
            self._answer_fetches()

    def close_idle_links(self) -> None:
        """Close the links of nodes that have not subscribed in time."""
        now = self._loop.time()
        for link in [link for link, due_s in self._subscribe_due_s.items() if now >= due_s]:
            link.close()

    def forward(self, streams: Iterable[UpdateStream]) -> None:
        """Send each follower the changes of these streams that it lacks."""
        for stream in streams:
            for change, links in self.followers.advance(stream):
                data = encode(Update(change))
                for link in links:
                    self._send_encoded("news", link, data)

    def configuration_received(self, revision: int, raw: bytes) -> None:
        """Handle a configuration that the node has received, and answer pending fetches.

        :param revision: revision of the configuration.
        :param raw: compressed text of the configuration.
        """
        self._revision = revision
        self._configuration = raw if self.followers.positions else None
        self._answer_fetches()

    def _subscribe(self, link: Link, subscription: RelaySubscription) -> None:
        """Accept a follower, or send `RelayFull`.

        Only followers of a higher rank are accepted, so that two nodes can't follow each other.
        """
        self._same_zone[link] = subscription.zone == self._node.zone
        own_rank = tree_rank(self._node.name, self._node.boot)
        precedes = own_rank < tree_rank(subscription.name, subscription.boot)
        positions = subscription.positions[:MAX_POSITIONS]
        if not precedes or not self._has_controllers() or not self.followers.add(link, positions):
            return self._send("tree", link, RelayFull())
        del self._subscribe_due_s[link]
        link.max_unsent_bytes = MAX_PENDING_BYTES
        self._send("tree", link, RelayAccepted())
        self.forward(self._streams.values())
        return None

    def _answer_fetches(self) -> None:
        """Answer the fetches of revisions that are here, or that no known controller has announced."""
        announced = max((stream.revision for stream in self._streams.values()), default=0)
        for link, fetch in list(self._pending_fetches.items()):
            if self._revision < fetch.revision <= announced:
                continue
            del self._pending_fetches[link]
            if self._configuration is None or self._revision < fetch.revision:
                answer = ConfigurationText(fetch.request, NO_REVISION, b"")
            else:
                answer = ConfigurationText(fetch.request, self._revision, self._configuration)
            self._send("text", link, answer)

    def _send(self, kind: str, link: Link, message: Message) -> None:
        self._send_encoded(kind, link, encode(message))

    def _send_encoded(self, kind: str, link: Link, data: bytes) -> None:
        self.traffic.add(kind, self._same_zone.get(link, False), len(data))
        link.send_encoded(data)
