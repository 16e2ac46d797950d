"""A controller's publisher for nodes: their leases, and the stream of news that is told to those that
follow it.

Leases and the group are a matter between the controller and each node; of news it tells only the heads of the
tree (`relays`), those that have no parent there, and whoever asks for what it has missed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from loguru import logger

from orchidferry.mesh.control.endpoints import LEASE_S, MAX_NODES, Register
from orchidferry.mesh.control.fanout_tree import Change, Followers, Stream, Tally
from orchidferry.mesh.wire.codec import encode
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import (
    ConfigurationText,
    Group,
    Lease,
    LeaseRenewal,
    Message,
    News,
    NewsRequest,
    NewsSubscription,
    Revision,
)

PACE_S = 100e-6  # for each follower, between two tellings: about a third of the time goes into them at most


class Publisher:
    """What one controller tells nodes; `life` is this life's own number."""

    def __init__(
        self,
        name: str,
        zone: str,
        life: int,
        loop: asyncio.AbstractEventLoop,
        contact_age_ms: Callable[[], int | None] = lambda: 0,
    ) -> None:
        """`contact_age_ms`: how long ago a majority of controllers was surely in contact with this one; None
        for never.
        """
        self._zone = zone
        self._loop = loop
        self._contact_age_ms = contact_age_ms
        self._began_s = loop.time()
        self._tell_s = 0.0  # when news may be told again
        self._telling = False  # it is to be told then
        self._members = Register()
        self._stream = Stream(name, life, 0)
        self._followers: Followers[Link] = Followers(MAX_NODES)
        self._nodes: dict[Link, str] = {}  # nodes by link, as they named themselves
        self.tally = Tally()

    @property
    def warm(self) -> bool:
        """Whether all live nodes have had the time to come back to this controller."""
        return self._loop.time() - self._began_s > LEASE_S

    def hello(self, link: Link, name: str) -> None:
        """A node has come."""
        self._nodes[link] = name

    def lost(self, link: Link) -> None:
        """A link is down."""
        self._nodes.pop(link, None)
        self._followers.leave(link)

    def follow(self, link: Link, place: NewsSubscription) -> None:
        """Tell this node what came after its place, and all news from now on."""
        stream = self._stream
        number = place.number if place.life == stream.life else -1
        self._followers.follow(link, [(stream.controller, stream.life, number)])
        self._tell()

    def unfollow(self, link: Link) -> None:
        """It has its news from elsewhere."""
        self._followers.leave(link)

    def since(self, link: Link, place: NewsRequest) -> None:
        """Tell this node once what it has missed."""
        change = self._stream.after(place.life, place.number)
        if change is not None:
            self._send("news", link, News(change))

    def renew(self, link: Link, renewal: LeaseRenewal) -> None:
        """A node renews its lease, with its record if that is new; the answer says how far the news is, and
        how old this controller's word is.
        """
        now = self._loop.time()
        known = True
        number = renewal.number
        if renewal.record is None:
            known = self._members.renew(renewal.name, renewal.boot, number, now)
        elif self._members.hear(renewal.record, now):
            self._stream.step([renewal.record])
            self._tell()
        stream = self._stream
        lease = Lease(number, known, self.warm, stream.life, stream.number, self._contact_age_ms())
        self._send("lease", link, lease)

    def revise(self, revision: int) -> None:
        """There is a new configuration."""
        self._stream.step(revision=revision)
        self._tell()

    def tick(self) -> None:
        """Leases run out."""
        late = self._members.lapse(self._loop.time())
        for name in late:
            logger.info("endpoints: {} has not renewed its lease", name)
        if late:
            self._stream.step(gone=late)
            self._tell()

    def tell_group(self, group: Group, link: Link | None = None) -> None:
        """Tell one node, or all, of a group of controllers: claims wait for it, so it comes by no other
        way.
        """
        data = encode(group)
        for one in [link] if link is not None else list(self._nodes):
            self._send_encoded("group", one, data)

    def tell_revision(self, link: Link, revision: Revision) -> None:
        """Answer one that asked for the newest revision."""
        self._send("number", link, revision)

    def tell_configuration(self, link: Link, text: ConfigurationText) -> None:
        """Answer one that asked for the configuration."""
        self._send("text", link, text)

    def _tell(self) -> None:
        """Tell what is new; soon after the last time, later and in one, as when a whole fleet comes back."""
        now = self._loop.time()
        if now < self._tell_s:
            if not self._telling:
                self._telling = True
                self._loop.call_later(self._tell_s - now, self._tell_late)
            return
        self._tell_s = now + PACE_S * len(self._followers.places)
        due: list[tuple[Change, list[Link]]] = self._followers.due(self._stream)
        for change, links in due:
            data = encode(News(change))
            for link in links:
                self._send_encoded("news", link, data)

    def _tell_late(self) -> None:
        self._telling = False
        self._tell_s = 0.0
        self._tell()

    def _send(self, kind: str, link: Link, message: Message) -> None:
        self._send_encoded(kind, link, encode(message))

    def _send_encoded(self, kind: str, link: Link, data: bytes) -> None:
        lease = self._members.leases.get(self._nodes.get(link, ""))
        self.tally.count(kind, lease is not None and lease.record.zone == self._zone, len(data))
        link.send_packed(data)
