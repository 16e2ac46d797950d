"""A node's place in the tree of relays: whom it follows, who follows it, and what it does about gaps.

No I/O of its own: links, a loop's clock and the dialling are handed in. What the node knows rests on its
leases: each answer of a controller says how far that controller's news is, and what has not come down the
tree `CATCH_S` later is asked of the controller itself. A relay that is frozen, cut off or lies costs that.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec
from loguru import logger

from orchidferry.mesh.control.endpoints import Record
from orchidferry.mesh.control.fanout_tree import (
    HEADS,
    MAX_FOLLOWERS,
    Change,
    Followers,
    Stream,
    Tally,
    parents,
    rank,
)
from orchidferry.mesh.wire.codec import encode
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    Message,
    News,
    NewsRequest,
    NewsSubscription,
    NewsUnsubscription,
    Position,
    RelayAccepted,
    RelayAlive,
    RelayFull,
    RelayPositions,
    RelaySubscription,
)

CATCH_S = 0.15  # for news to come down the tree, once a controller has said how far it is
SETTLE_S = 1.0  # after its start a node takes its news from controllers for so long
REVIEW_S = (5.0, 15.0)  # how often the place in the tree is looked at, by chance within these
ANSWER_S = 0.4  # for a parent to take this node in, or to show that it lives
STRIKES = 3  # gaps in a row with nothing new from a parent
STRIKE_S = 0.4  # gaps within this count as one: each controller tells of the same change
# before a parent is tried again, doubling
BACK_OFF_S = 4.0
MAX_BACK_OFF_S = 60.0
STRANGER_S = 3.0  # one that has connected and not said what it wants is cut off
MAX_LINKS = 4 * MAX_FOLLOWERS
MAX_POSITIONS = 32
CHOKED = 1024 * 1024  # bytes that may wait for a follower that does not read


@dataclass(slots=True)
class Parent:
    """One that this node follows, or would."""

    record: Record
    until_s: float  # when it must have answered, if something is asked of it
    link: Link | None = None
    strikes: int = 0
    struck_s: float = 0.0


class Subscriber:
    """One node in the tree.

    `dial(name, ip)` is to call `dialled` once; `changed()` hears that some list of members has; `told`
    hears of a new configuration's number, and the link that it came by.
    """

    def __init__(
        self,
        name: str,
        boot: int,
        zone: str,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        dial: Callable[[str, str], None],
        changed: Callable[[], None],
        told: Callable[[int, Link], None],
        heads: int = HEADS,
    ) -> None:
        self._name = name
        self._boot_id = boot
        self._zone = zone
        self._loop = loop
        self._rng = rng
        self._dial = dial
        self._changed = changed
        self._told = told
        self._heads = heads
        self.streams: dict[str, Stream] = {}  # by controller
        self._controllers: dict[str, Link] = {}  # open links
        self._following: set[str] = set()  # controllers that tell this node all
        self._late: set[str] = set()  # controllers whose news is waited for
        self._members: dict[str, Record] = {}
        self.parent: Parent | None = None
        self._trying: Parent | None = None
        self._back_off: dict[str, tuple[float, float]] = {}  # by node: until when, and how long that was
        self._review_s = loop.time() + SETTLE_S * (1.0 + rng.random())
        self._followers: Followers[Link] = Followers()
        self._strangers: dict[Link, float] = {}  # connected, and when it must have said what it wants
        self._near: dict[Link, bool] = {}  # followers, and whether they are of this zone
        self._text: tuple[int, bytes | None] = (-1, None)  # the newest configuration, while somebody follows
        self._asking: dict[Link, tuple[int, int]] = {}  # followers that wait for it: their number, revision
        self.tally = Tally()

    # Controllers

    def up(self, controller: str, link: Link) -> None:
        """There is a link to a controller."""
        self.streams.setdefault(controller, Stream(controller))
        self._controllers[controller] = link
        self._following.discard(controller)
        self._follow_controllers()

    def down(self, controller: str) -> None:
        """It is gone."""
        self._controllers.pop(controller, None)
        self._following.discard(controller)

    def forget(self, controller: str) -> None:
        """It is no controller any more."""
        self.down(controller)
        self.streams.pop(controller, None)

    def lease(self, controller: str, life: int, number: int) -> None:
        """A controller has renewed the lease, and says how far its news is."""
        stream = self.streams[controller]
        if stream.life != life:
            self._begin(stream, life)
        if number > stream.number and controller not in self._late:
            self._late.add(controller)
            self._loop.call_later(CATCH_S, self._catch, controller, life, number)

    def _begin(self, stream: Stream, life: int) -> None:
        """A controller has named a new life: only now a parent may tell of it."""
        stream.begin(life)
        self._say_positions()

    def _catch(self, controller: str, life: int, number: int) -> None:
        """Ask all controllers for what has not come: a parent may hold back the news of each of them."""
        self._late.discard(controller)
        stream = self.streams.get(controller)
        if stream is None or stream.life != life or stream.number >= number:
            return
        for name, link in self._controllers.items():
            if name == controller or self.parent is not None:
                link.send(NewsRequest(self.streams[name].life, self.streams[name].number))
        parent = self.parent
        now = self._loop.time()
        if parent is None or now < parent.struck_s + STRIKE_S:
            return
        parent.strikes = parent.strikes + 1
        parent.struck_s = now
        if parent.strikes >= STRIKES:
            return self._fail(parent, "has no news")
        if parent.until_s == math.inf:
            parent.until_s = now + ANSWER_S
            self._say_positions()

    def from_controller(self, link: Link, news: News) -> None:
        """A controller's news, over its own link."""
        self._news(link, news, True)

    def _news(self, link: Link, news: News, direct: bool) -> None:
        change = self._shared(news.change)
        stream = self.streams.get(change.controller)
        if stream is None:
            return
        if direct and stream.life != change.life:
            self._begin(stream, change.life)
        revision = stream.revision
        if not stream.take(change):
            return
        if self.parent is not None and link is self.parent.link:
            self.parent.strikes = 0
        self._pass_on([stream])
        if stream.revision > revision:
            self._told(stream.revision, link)
        self._changed()

    def _shared(self, change: Change) -> Change:
        """The change with the records that another controller has told of: one copy for all streams."""
        others = [s.records for s in self.streams.values() if s.controller != change.controller]

        def known(record: Record) -> Record:
            for records in others:
                had = records.get(record.name)
                if had == record and had is not None:
                    return had
            return record

        entries = [known(record) for record in change.entries]
        return msgspec.structs.replace(change, entries=entries)

    def _follow_controllers(self) -> None:
        """Follow the controllers if there is no parent, and only then."""
        for controller, link in self._controllers.items():
            stream = self.streams[controller]
            if self.parent is None and controller not in self._following:
                self._following.add(controller)
                link.send(NewsSubscription(stream.life, stream.number))
            elif self.parent is not None and controller in self._following:
                self._following.discard(controller)
                link.send(NewsUnsubscription())

    # The parent

    def members(self, members: dict[str, Record]) -> None:
        """These nodes are there."""
        self._members = members
        for one in (self.parent, self._trying):
            had = members.get(one.record.name) if one is not None else None
            if one is not None and (had is None or had.boot != one.record.boot):
                self._fail(one, "is gone")

    def tick(self) -> None:
        """Look at what is due."""
        now = self._loop.time()
        for one in (self.parent, self._trying):
            if one is not None and now >= one.until_s:
                self._fail(one, "does not answer")
        for link in [link for link, until in self._strangers.items() if now >= until]:
            link.close()
        if now >= self._review_s and self._trying is None:
            self._review_s = now + self._rng.uniform(*REVIEW_S)
            self._review(now)

    def _review(self, now: float) -> None:
        self._back_off = {n: entry for n, entry in self._back_off.items() if n in self._members}
        chain = parents(self._members.values(), self._name, self._boot_id, self._zone, self._heads)
        if not chain and self.parent is not None:
            self._leave()
        for record in chain:
            if self.parent is not None and record.name == self.parent.record.name:
                return
            if now >= self._back_off.get(record.name, (0.0, 0.0))[0]:
                self._trying = Parent(record, now + 1.0 + ANSWER_S)
                return self._dial(record.name, record.ip)

    def dialled(self, name: str, link: Link | None) -> None:
        """What became of dialling a node."""
        trying = self._trying
        if trying is None or trying.record.name != name or trying.link is not None:
            if link is not None:
                link.close()
        elif link is None:
            self._fail(trying, "can't be reached")
        else:
            trying.link, trying.until_s, link.peer = link, self._loop.time() + ANSWER_S, name
            link.send(RelaySubscription(self._name, self._boot_id, self._zone, self._positions()))

    def _positions(self) -> list[Position]:
        return [(stream.controller, stream.life, stream.number) for stream in self.streams.values()]

    def _say_positions(self) -> None:
        """Say how far this node is; whoever is asked to be its parent hears of it too."""
        for one in (self.parent, self._trying):
            if one is not None and one.link is not None:
                one.link.send(RelayPositions(self._positions()))

    def from_parent(self, link: Link, message: Message) -> None:
        """A parent's message, all but the configuration's text."""
        parent = self.parent
        trying = self._trying
        if trying is not None and link is trying.link:
            if isinstance(message, RelayAccepted):
                self._accepted_by(trying)
            elif isinstance(message, RelayFull):
                self._fail(trying, "takes nobody in")
        elif parent is not None and link is parent.link:
            if isinstance(message, RelayAlive):
                parent.until_s = math.inf
            elif isinstance(message, News):
                self._news(link, message, False)

    def _accepted_by(self, parent: Parent) -> None:
        """Follow this parent from now on."""
        before = self.parent
        parent.until_s = math.inf
        self._trying = None
        self.parent = parent
        self._back_off.pop(parent.record.name, None)
        if before is not None and before.link is not None:
            before.link.close()
        self._follow_controllers()

    def lost_parent(self, link: Link) -> None:
        """A link to a parent is down."""
        for one in (self.parent, self._trying):
            if one is not None and link is one.link:
                self._fail(one, "has closed")

    def _fail(self, one: Parent, why: str) -> None:
        """Try another; controllers tell the news until there is one."""
        name = one.record.name
        now = self._loop.time()
        logger.info("subscriber: {} {}", name, why)
        wait = min(MAX_BACK_OFF_S, 2.0 * self._back_off.get(name, (0.0, BACK_OFF_S / 2.0))[1])
        self._back_off[name] = (now + wait * (0.75 + 0.5 * self._rng.random()), wait)
        self._review_s = min(self._review_s, now + 0.1 * self._rng.random())
        if one is self._trying:
            self._trying = None
            if one.link is not None:
                one.link.close()
        else:
            self._leave()

    def _leave(self) -> None:
        parent = self.parent
        self.parent = None
        self._follow_controllers()
        if parent is not None and parent.link is not None:
            parent.link.close()

    # Followers

    def stranger(self, link: Link) -> None:
        """Somebody has connected."""
        if len(self._strangers) + len(self._followers.places) >= MAX_LINKS:
            return link.close()
        self._strangers[link] = self._loop.time() + STRANGER_S

    def lost_follower(self, link: Link) -> None:
        """A link from below is down."""
        self._strangers.pop(link, None)
        self._near.pop(link, None)
        self._asking.pop(link, None)
        self._followers.leave(link)
        if not self._followers.places:
            self._text = (self._text[0], None)

    def from_follower(self, link: Link, message: Message) -> None:
        """A message from below."""
        if isinstance(message, RelaySubscription) and link in self._strangers:
            self._take_in(link, message)
        elif link not in self._followers.places:
            return
        elif isinstance(message, RelayPositions):
            self._followers.follow(link, message.positions[:MAX_POSITIONS])
            self._pass_on(self.streams.values())
            self._send("tree", link, RelayAlive())
        elif isinstance(message, ConfigurationFetch):
            self._asking[link] = (message.request, message.revision)
            self._give_text()

    def _take_in(self, link: Link, asked: RelaySubscription) -> None:
        """Those that come after this node in its row may follow: so no two can follow each other."""
        self._near[link] = asked.zone == self._zone
        after = rank(self._name, self._boot_id) < rank(asked.name, asked.boot)
        positions = asked.positions[:MAX_POSITIONS]
        if not after or not self._controllers or not self._followers.follow(link, positions):
            return self._send("tree", link, RelayFull())
        del self._strangers[link]
        link.choked = CHOKED
        self._send("tree", link, RelayAccepted())
        self._pass_on(self.streams.values())

    def _pass_on(self, streams: Iterable[Stream]) -> None:
        for stream in streams:
            for change, links in self._followers.due(stream):
                data = encode(News(change))
                for link in links:
                    self._send_encoded("news", link, data)

    def text(self, revision: int, raw: bytes) -> None:
        """The configuration's text is here."""
        self._text = (revision, raw if self._followers.places else None)
        self._give_text()

    def _give_text(self) -> None:
        """Answer who asked for what is here, or will not come."""
        coming = max((stream.revision for stream in self.streams.values()), default=0)
        for link, (rid, revision) in list(self._asking.items()):
            known, raw = self._text
            if known < revision <= coming:
                continue
            del self._asking[link]
            if raw is None or known < revision:
                known = -1
                raw = b""
            self._send("text", link, ConfigurationText(rid, known, raw))

    def _send(self, kind: str, link: Link, message: Message) -> None:
        self._send_encoded(kind, link, encode(message))

    def _send_encoded(self, kind: str, link: Link, data: bytes) -> None:
        self.tally.count(kind, self._near.get(link, False), len(data))
        link.send_packed(data)
