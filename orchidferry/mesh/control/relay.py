"""A node as a relay: it forwards the updates and the configuration that it receives to its followers.

No I/O of its own: links and the event loop's clock are handed in.
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

SUBSCRIBE_TIMEOUT_S = 3.0  # one that has connected and not subscribed by then is disconnected
MAX_LINKS = 4 * MAX_FOLLOWERS
MAX_POSITIONS = 32
MAX_PENDING_BYTES = 1024 * 1024  # that may wait for a follower that does not read


class Relay:
    """The followers of one node.

    :ivar followers: the nodes that have subscribed here.
    :ivar traffic: messages and bytes that were sent to them.
    """

    def __init__(
        self,
        node: NodeIdentity,
        loop: asyncio.AbstractEventLoop,
        streams: dict[str, UpdateStream],
        has_controllers: Callable[[], bool],
    ) -> None:
        """Make a relay without followers.

        :param node: the node itself.
        :param loop: for its clock.
        :param streams: the node's copies of the controllers' streams, by controller.
        :param has_controllers: whether the node is connected to any controller.
        """
        self._node = node
        self._loop = loop
        self._streams = streams
        self._has_controllers = has_controllers
        self.followers: Followers[Link] = Followers()
        self.traffic = TrafficCounter()
        self._subscribe_due_s: dict[Link, float] = {}  # of links that have not subscribed yet
        self._same_zone: dict[Link, bool] = {}
        self._revision = NO_REVISION  # of the newest configuration that has come
        self._configuration: bytes | None = None  # its text, while there are followers
        self._pending_fetches: dict[Link, ConfigurationFetch] = {}

    def connected(self, link: Link) -> None:
        """Another node has connected."""
        if len(self._subscribe_due_s) + len(self.followers.positions) >= MAX_LINKS:
            return link.close()
        self._subscribe_due_s[link] = self._loop.time() + SUBSCRIBE_TIMEOUT_S
        return None

    def disconnected(self, link: Link) -> None:
        """A link that another node made is closed."""
        self._subscribe_due_s.pop(link, None)
        self._same_zone.pop(link, None)
        self._pending_fetches.pop(link, None)
        self.followers.remove(link)
        if not self.followers.positions:
            self._configuration = None

    def received(self, link: Link, message: Message) -> None:
        """Handle a message of a node that has connected."""
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
        """Close the links of those that have not subscribed in time."""
        now = self._loop.time()
        for link in [link for link, due_s in self._subscribe_due_s.items() if now >= due_s]:
            link.close()

    def forward(self, streams: Iterable[UpdateStream]) -> None:
        """Send each follower what it lacks of these streams."""
        for stream in streams:
            for change, links in self.followers.advance(stream):
                data = encode(Update(change))
                for link in links:
                    self._send_encoded("news", link, data)

    def configuration_received(self, revision: int, raw: bytes) -> None:
        """The node has received a configuration.

        :param revision: of the configuration.
        :param raw: its text, compressed.
        """
        self._revision = revision
        self._configuration = raw if self.followers.positions else None
        self._answer_fetches()

    def _subscribe(self, link: Link, subscription: RelaySubscription) -> None:
        """Accept those of a higher rank only, so that no two nodes can follow each other."""
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
        """Answer the fetches whose configuration is here, or of which nothing is announced."""
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
