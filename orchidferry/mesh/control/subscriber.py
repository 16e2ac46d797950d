"""A node's subscriptions to the update streams of the controllers.

A node receives updates from its parent in the fan-out tree or, without a parent, from the controllers. Gaps
are detected by lease renewals: each reply of a controller contains the newest number of its stream, and an
update that has not arrived through the tree `CATCH_UP_DELAY_S` later is requested from the controllers. A
relay that is frozen, partitioned or faulty therefore delays updates by little more than a renewal interval.

No I/O of its own: links, the event loop's clock and the dial function are passed in.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from loguru import logger

from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord
from orchidferry.mesh.control.fanout_tree import HEADS, parent_candidates
from orchidferry.mesh.control.relay import Relay
from orchidferry.mesh.control.update_stream import StreamChange, UpdateStream
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import (
    Message,
    RelayAccepted,
    RelayAlive,
    RelayFull,
    RelayPositions,
    RelaySubscription,
    StreamPosition,
    Update,
    UpdateRequest,
    UpdateSubscription,
    UpdateUnsubscription,
)

CATCH_UP_DELAY_S = 0.15  # time for an update to arrive through the tree after a controller has announced it
FIRST_REVIEW_S = 1.0  # minimum time after its start for which a node stays subscribed to the controllers
REVIEW_INTERVAL_S = (5.0, 15.0)  # the time between two choices of a parent is drawn from this range
DIAL_TIMEOUT_S = 1.0
ANSWER_TIMEOUT_S = 0.4  # time for a parent to accept this node, or to prove that it is alive
MAX_GAPS = 3  # consecutive gaps, without an update from the parent, after which the parent is dropped
GAP_WINDOW_S = 0.4  # gaps within this time count as one, as each controller announces the same change
# Delay before a failed parent is tried again; it doubles with each failure.
MIN_BACKOFF_S = 4.0
MAX_BACKOFF_S = 60.0


@dataclass(slots=True)
class Parent:
    """A node that this node follows, or has asked to follow.

    :param record: the record of the parent.
    :param answer_due_s: time by which it must have answered; infinite while no answer is expected.
    :param link: the link to the parent; None while it is being dialled.
    :param gaps: consecutive gaps in which updates had to be requested from the controllers.
    :param last_gap_s: time of the last gap.
    """

    record: NodeRecord
    answer_due_s: float
    link: Link | None = None
    gaps: int = 0
    last_gap_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Backoff:
    """The pause before a failed parent is tried again.

    :param until_s: time at which the pause ends.
    :param duration_s: its length before randomisation; the next pause is twice as long, up to a maximum.
    """

    until_s: float
    duration_s: float


NO_BACKOFF = Backoff(0.0, MIN_BACKOFF_S / 2.0)


class Subscriber:
    """The subscriptions of one node.

    :ivar streams: copies of the controllers' streams, by controller.
    :ivar parent: the node that this node follows; None while it follows the controllers.
    :ivar relay: forwards updates to the followers of this node.
    """

    def __init__(
        self,
        node: NodeIdentity,
        loop: asyncio.AbstractEventLoop,
        rng: random.Random,
        dial: Callable[[str, str], None],
        on_update: Callable[[], None],
        on_revision: Callable[[int, Link], None],
        heads: int = HEADS,
    ) -> None:
        """Create a subscriber that knows no controller.

        :param node: the node itself.
        :param loop: the event loop, for its clock and timers.
        :param rng: the source of random delays.
        :param dial: dials the node with the given name and IP address, then calls `dial_finished` once.
        :param on_update: called when the stream of any controller has changed.
        :param on_revision: called with a newly announced revision and the link over which it was received.
        :param heads: number of nodes in a zone that have no parent.
        """
        self._node = node
        self._loop = loop
        self._rng = rng
        self._dial = dial
        self._on_update = on_update
        self._on_revision = on_revision
        self._heads = heads
        self.streams: dict[str, UpdateStream] = {}
        self._controllers: dict[str, Link] = {}  # open links
        self._subscribed: set[str] = set()  # controllers that send all updates to this node
        self._catching_up: set[str] = set()  # controllers with a pending `_catch_up` call
        self._members: dict[str, NodeRecord] = {}
        self.parent: Parent | None = None
        self._candidate: Parent | None = None
        self._backoffs: dict[str, Backoff] = {}  # by node name
        self._review_due_s = loop.time() + FIRST_REVIEW_S * (1.0 + rng.random())
        self.relay = Relay(node, loop, self.streams, lambda: bool(self._controllers))

    # Controllers

    def controller_connected(self, controller: str, link: Link) -> None:
        """Handle a new link to a controller."""
        self.streams.setdefault(controller, UpdateStream(controller))
        self._controllers[controller] = link
        self._subscribed.discard(controller)
        self._update_subscriptions()

    def controller_disconnected(self, controller: str) -> None:
        """Handle the end of the link to a controller."""
        self._controllers.pop(controller, None)
        self._subscribed.discard(controller)

    def remove_controller(self, controller: str) -> None:
        """Forget a node that is no longer a controller."""
        self.controller_disconnected(controller)
        self.streams.pop(controller, None)

    def lease_renewed(self, controller: str, incarnation: int, number: int) -> None:
        """Handle a lease renewal by a controller: catch up if its stream is ahead of the copy here.

        :param incarnation: incarnation of the controller's stream.
        :param number: number of the newest change in the stream.
        """
        stream = self.streams[controller]
        if stream.incarnation != incarnation:
            self._reset_stream(stream, incarnation)
        if number > stream.number and controller not in self._catching_up:
            self._catching_up.add(controller)
            self._loop.call_later(CATCH_UP_DELAY_S, self._catch_up, controller, incarnation, number)

    def _reset_stream(self, stream: UpdateStream, incarnation: int) -> None:
        """Expect a new incarnation of a controller's stream; a parent may send it only from now on."""
        stream.reset(incarnation)
        self._send_positions()

    def _catch_up(self, controller: str, incarnation: int, number: int) -> None:
        """Request an update that has not arrived in time.

        A node with a parent asks all controllers, as the parent may withhold the updates of every controller.
        """
        self._catching_up.discard(controller)
        stream = self.streams.get(controller)
        if stream is None or stream.incarnation != incarnation or stream.number >= number:
            return
        for name, link in self._controllers.items():
            if name == controller or self.parent is not None:
                link.send(UpdateRequest(self.streams[name].incarnation, self.streams[name].number))
        if self.parent is not None:
            self._count_gap(self.parent)

    def _count_gap(self, parent: Parent) -> None:
        """Count a missing update of a parent; drop it after `MAX_GAPS`, else check that it is alive."""
        now = self._loop.time()
        if now < parent.last_gap_s + GAP_WINDOW_S:
            return None
        parent.gaps += 1
        parent.last_gap_s = now
        if parent.gaps >= MAX_GAPS:
            return self._fail(parent, "sends no updates")
        if parent.answer_due_s == math.inf:
            parent.answer_due_s = now + ANSWER_TIMEOUT_S
            self._send_positions()
        return None

    def from_controller(self, link: Link, update: Update) -> None:
        """Handle an update received directly from a controller."""
        self._apply(link, update, from_controller=True)

    def _apply(self, link: Link, update: Update, from_controller: bool) -> None:
        change = self._intern_records(update.change)
        stream = self.streams.get(change.controller)
        if stream is None:
            return
        if from_controller and stream.incarnation != change.incarnation:
            self._reset_stream(stream, change.incarnation)
        revision = stream.revision
        if not stream.apply(change):
            return
        if self.parent is not None and link is self.parent.link:
            self.parent.gaps = 0
        self.relay.forward([stream])
        if stream.revision > revision:
            self._on_revision(stream.revision, link)
        self._on_update()

    def _intern_records(self, change: StreamChange) -> StreamChange:
        """Replace records by equal ones of other streams, so that there is one copy in memory."""
        others = [s.records for s in self.streams.values() if s.controller != change.controller]

        def shared(record: NodeRecord) -> NodeRecord:
            for records in others:
                known = records.get(record.name)
                if known == record and known is not None:
                    return known
            return record

        return msgspec.structs.replace(change, updated=[shared(record) for record in change.updated])

    def _update_subscriptions(self) -> None:
        """Subscribe to the controllers if there is no parent, and else unsubscribe."""
        for controller, link in self._controllers.items():
            stream = self.streams[controller]
            if self.parent is None and controller not in self._subscribed:
                self._subscribed.add(controller)
                link.send(UpdateSubscription(stream.incarnation, stream.number))
            elif self.parent is not None and controller in self._subscribed:
                self._subscribed.discard(controller)
                link.send(UpdateUnsubscription())

    # The parent

    def set_members(self, members: dict[str, NodeRecord]) -> None:
        """Set the member list; a parent that is no longer in it, or has restarted, is dropped."""
        self._members = members
        for parent in (self.parent, self._candidate):
            if parent is None:
                continue
            member = members.get(parent.record.name)
            if member is None or member.boot != parent.record.boot:
                self._fail(parent, "is no member any more")

    def tick(self) -> None:
        """Drop parents that did not answer in time, close idle links and review the choice of the parent."""
        now = self._loop.time()
        for parent in (self.parent, self._candidate):
            if parent is not None and now >= parent.answer_due_s:
                self._fail(parent, "does not answer")
        self.relay.close_idle_links()
        if now >= self._review_due_s and self._candidate is None:
            self._review_due_s = now + self._rng.uniform(*REVIEW_INTERVAL_S)
            self._review(now)

    def _review(self, now: float) -> None:
        """Dial the nearest ancestor that is not in backoff, unless it is the present parent."""
        self._backoffs = {name: entry for name, entry in self._backoffs.items() if name in self._members}
        candidates = parent_candidates(self._members.values(), self._node, self._heads)
        if not candidates and self.parent is not None:
            self._drop_parent()
        for record in candidates:
            if self.parent is not None and record.name == self.parent.record.name:
                return None
            if now >= self._backoffs.get(record.name, NO_BACKOFF).until_s:
                self._candidate = Parent(record, now + DIAL_TIMEOUT_S + ANSWER_TIMEOUT_S)
                return self._dial(record.name, record.ip)
        return None

    def dial_finished(self, name: str, link: Link | None) -> None:
        """Handle the result of dialling a node.

        :param name: name of the node.
        :param link: the new link; None if the node can't be reached.
        """
        candidate = self._candidate
        if candidate is None or candidate.record.name != name or candidate.link is not None:
            if link is not None:
                link.close()
        elif link is None:
            self._fail(candidate, "can't be reached")
        else:
            candidate.link = link
            candidate.answer_due_s = self._loop.time() + ANSWER_TIMEOUT_S
            link.peer = name
            node = self._node
            link.send(RelaySubscription(node.name, node.boot, node.zone, self._positions()))

    def _positions(self) -> list[StreamPosition]:
        return [(stream.controller, stream.incarnation, stream.number) for stream in self.streams.values()]

    def _send_positions(self) -> None:
        """Send the stream positions of this node to its parent and to a candidate for one."""
        for parent in (self.parent, self._candidate):
            if parent is not None and parent.link is not None:
                parent.link.send(RelayPositions(self._positions()))

    def from_parent(self, link: Link, message: Message) -> None:
        """Handle a message from a parent or a candidate, except for the configuration's text."""
        parent = self.parent
        candidate = self._candidate
        if candidate is not None and link is candidate.link:
            if isinstance(message, RelayAccepted):
                self._follow(candidate)
            elif isinstance(message, RelayFull):
                self._fail(candidate, "accepts no more followers")
        elif parent is not None and link is parent.link:
            if isinstance(message, RelayAlive):
                parent.answer_due_s = math.inf
            elif isinstance(message, Update):
                self._apply(link, message, from_controller=False)

    def _follow(self, parent: Parent) -> None:
        previous = self.parent
        parent.answer_due_s = math.inf
        self._candidate = None
        self.parent = parent
        self._backoffs.pop(parent.record.name, None)
        if previous is not None and previous.link is not None:
            previous.link.close()
        self._update_subscriptions()

    def parent_disconnected(self, link: Link) -> None:
        """Handle the end of a link to a parent or a candidate."""
        for parent in (self.parent, self._candidate):
            if parent is not None and link is parent.link:
                self._fail(parent, "has closed the link")

    def _fail(self, parent: Parent, reason: str) -> None:
        """Drop a parent or a candidate, back off from it, and review the choice soon."""
        name = parent.record.name
        now = self._loop.time()
        logger.info("subscriber: parent={} reason={!r}", name, reason)
        wait_s = min(MAX_BACKOFF_S, 2.0 * self._backoffs.get(name, NO_BACKOFF).duration_s)
        self._backoffs[name] = Backoff(now + wait_s * (0.75 + 0.5 * self._rng.random()), wait_s)
        self._review_due_s = min(self._review_due_s, now + 0.1 * self._rng.random())
        if parent is self._candidate:
            self._candidate = None
            if parent.link is not None:
                parent.link.close()
        else:
            self._drop_parent()

    def _drop_parent(self) -> None:
        """Drop the parent and subscribe to the controllers."""
        parent = self.parent
        self.parent = None
        self._update_subscriptions()
        if parent is not None and parent.link is not None:
            parent.link.close()
