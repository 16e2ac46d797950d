"""A node's side of the control state: its lease at the controllers, and the news that comes from them.

It keeps a link to every controller that it knows of, for its lease and for operation keys, and takes its news
from another node (`subscriber`) or from the controllers.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from orchidferry.mesh.control.configuration_text import expand
from orchidferry.mesh.control.contact import CONTACT_S
from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord, merge_member_lists
from orchidferry.mesh.control.operation_key_client import OnClaimed, OperationKeyClient, ShardGroup
from orchidferry.mesh.control.subscriber import Subscriber
from orchidferry.mesh.settings import Settings
from orchidferry.mesh.wire.framing import Link, dial
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    GroupAnnouncement,
    KeyGrant,
    KeyReleaseAck,
    Lease,
    LeaseRenewal,
    Message,
    NodeHello,
    Revision,
    RevisionRead,
    Update,
)
from orchidferry.mesh.wire.shard_messages import tag_of

RENEW_S = 0.5
QUIET_S = 1.6  # a controller that answers nothing for so long is not heard
TICK_S = 0.1
ASK_S = 0.4  # for one answer to begin, before another controller is asked
MAX_ASK_S = 1.5  # for all of it, while its bytes come
STALLED_S = 0.15  # nothing has come for so long
FRESH_S = 1.2  # a controller's word of its contact counts for so long
MAX_CONTROLLERS = 16

Dial = Callable[..., Awaitable[Link | None]]  # called as `framing.dial`


@dataclass(slots=True)
class Controller:
    """What is known of one controller."""

    name: str
    link: Link | None = None
    dialling: bool = False
    warm: bool = False
    knows: tuple[int, int] = (0, -1)  # boot and number of the record that it has
    next_dial_s: float = 0.0
    next_renew_s: float = 0.0
    contact_s: float = float("-inf")  # when it was surely in contact with a majority, by its own word
    told_s: float = float("-inf")  # when it said so

    def in_contact(self, now: float) -> bool:
        """Whether it has lately said that it is in contact with a majority of controllers."""
        return now - self.told_s < FRESH_S and self.told_s - self.contact_s < CONTACT_S


@dataclass(slots=True)
class Fetch:
    """A configuration that was asked for."""

    link: Link
    asked_s: float
    read: bool  # with a majority

    def over(self, now: float) -> bool:
        """Whether to ask somebody else: nothing comes, or it takes too long."""
        stalled = now - self.link.heard_s > STALLED_S or not self.link.open
        return now > self.asked_s + (ASK_S if stalled else MAX_ASK_S)


class ControlClient:
    """All links of one node to the controllers."""

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        on_members: Callable[[dict[str, NodeRecord]], None],
        on_configuration: Callable[[int, bytes], None],
        dial: Dial = dial,
        rng: random.Random | None = None,
    ) -> None:
        """`dial` and `rng`: handed in by simulations."""
        self._dial_link = dial
        self._settings = settings
        self._loop = loop
        self._on_members = on_members
        self._on_configuration = on_configuration
        self._rng = rng or random.Random()
        self.boot_id = self._rng.randrange(1, 2**53)
        self._controllers: dict[str, Controller] = {name: Controller(name) for name in settings.seeds}
        self._seeds = settings.seeds
        self.claims = OperationKeyClient(settings.seeds, self._send, settings.bounds.key_window_s)
        self._subscriber = Subscriber(
            NodeIdentity(settings.name, self.boot_id, settings.zone),
            loop,
            self._rng,
            self._dial_parent,
            self._look,
            self._version,
        )
        self._members: dict[str, NodeRecord] = {}
        self._record: NodeRecord | None = None
        self._number = 0
        self._rid = 0
        self.revision = -1  # the newest that this node has
        self._fetching: dict[int, Fetch] = {}  # by rid
        self._first: int | None = None  # a revision as new as any acknowledged at its start, by a majority
        self.settled = False  # it has that one or a newer one
        self._tasks: set[asyncio.Task[Any]] = set()
        self._wanted = 0  # the newest revision that was heard of

    def reseed(self, seeds: tuple[str, ...]) -> None:
        """These controllers are named from outside now; who is known from the group itself stays."""
        self._seeds = seeds
        for name in seeds[:MAX_CONTROLLERS]:
            self._controllers.setdefault(name, Controller(name))

    def start(self) -> None:
        """Begin."""
        self._tick()

    # The node's own record

    def publish(self, record: NodeRecord) -> None:
        """Tell all controllers this of the node, now and with each new link."""
        self._record = record
        for controller in self._controllers.values():
            self._renew(controller)

    def _renew(self, controller: Controller) -> None:
        record = self._record
        link = controller.link
        if record is None or link is None or not link.open:
            return
        same = controller.knows == (record.boot, record.number)
        link.send(LeaseRenewal(record.number, record.name, record.boot, None if same else record))

    # Links

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)
        now = self._loop.time()
        for controller in list(self._controllers.values()):
            link = controller.link
            if link is not None and link.open:
                if now - link.heard_s > QUIET_S:
                    logger.info("control_client: controller {} is silent", controller.name)
                    link.close()
            elif not controller.dialling and now >= controller.next_dial_s:
                if controller.name not in self.claims.controllers() and controller.name not in self._seeds:
                    del self._controllers[controller.name]
                    self._subscriber.remove_controller(controller.name)
                    continue
                controller.dialling = True
                controller.next_dial_s = now + 0.15
                task = self._loop.create_task(self._dial(controller))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        for at, controller in enumerate(self._controllers.values()):
            if now >= controller.next_renew_s:  # in turn: the answers tell soon whether news was missed
                turn = 1.0 if controller.next_renew_s else 1.0 - at / len(self._controllers)
                controller.next_renew_s = now + RENEW_S * turn
                self._renew(controller)
        self._subscriber.tick()
        for rid in [rid for rid, fetch in self._fetching.items() if fetch.over(now)]:
            del self._fetching[rid]
        if not self._fetching and not self.settled and self._first is None:
            self._fetch(None, read=True)
        elif not self._fetching and self._wanted > self.revision:
            self._fetch(None, read=False)
        self.claims.tick(now)

    async def _dial(self, controller: Controller) -> None:
        try:
            link = await self._dial_link(
                self._heard,
                self._lost,
                controller.name,
                self._settings.internal_port,
                self._settings.local_ip,
            )
            if link is not None:
                link.peer = controller.name
                controller.link = link
                controller.knows = (0, -1)
                controller.warm = False
                link.send(NodeHello(self._settings.name))
                self._renew(controller)
                self._subscriber.controller_connected(controller.name, link)
                if self._first is None and not self.settled:
                    self._fetch(controller, read=True)
                self.claims.link_opened(controller.name, self._loop.time())
        finally:
            controller.dialling = False

    def _lost(self, link: Link) -> None:
        controller = self._controllers.get(link.peer)
        if controller is not None and controller.link is link:
            controller.link = None
            self._subscriber.controller_disconnected(controller.name)
            controller.told_s = float("-inf")
            for rid in [rid for rid, fetch in self._fetching.items() if fetch.link is link]:
                del self._fetching[rid]
            self._look()

    def _heard(self, link: Link, message: Message) -> None:
        try:
            self._take(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("control_client: a {} can't be taken: {}", tag_of(message), problem)
            link.close()

    def _take(self, link: Link, message: Message) -> None:
        controller = self._controllers.get(link.peer)
        if controller is None or controller.link is not link:
            return
        match message:
            case KeyGrant():
                self.claims.handle_grant(controller.name, message)
            case KeyReleaseAck():
                self.claims.releases.acknowledge(controller.name, message.number)
            case Lease():
                self._take_lease(controller, message)
            case Update():
                self._subscriber.from_controller(link, message)
            case Revision():
                self._take_revision(link, message)
            case ConfigurationText():
                self._take_text(message)
            case GroupAnnouncement():
                self._group(message)

    def _take_lease(self, controller: Controller, lease: Lease) -> None:
        """A controller has renewed the lease."""
        now = self._loop.time()
        age_ms = lease.contact_age_ms
        controller.told_s = now
        controller.contact_s = now - age_ms / 1e3 if age_ms is not None else float("-inf")
        if self._record is not None:
            controller.knows = (self._record.boot, lease.number) if lease.has_record else (0, -1)
            if not lease.has_record:
                self._renew(controller)
        self._subscriber.lease_renewed(controller.name, lease.incarnation, lease.newest_number)
        if lease.warmed_up and not controller.warm:
            controller.warm = True
            self._look()

    def _group(self, group: GroupAnnouncement) -> None:
        shard = group.shard
        epoch = group.epoch
        names = group.voters
        owner = group.owner
        fence = group.fencing_token
        known = ShardGroup(epoch, tuple(names), owner, fence)
        if not self.claims.update_group(shard, known, self._loop.time()):
            return
        logger.info(
            "control_client: shard {}: epoch {}, controllers {}, owner {} under fence {}",
            shard,
            epoch,
            " ".join(names),
            owner,
            fence,
        )
        for name in names[:MAX_CONTROLLERS]:
            self._controllers.setdefault(name, Controller(name))

    def _send(self, name: str, message: Message) -> None:
        controller = self._controllers.get(name)
        if controller is not None and controller.link is not None:
            controller.link.send(message)

    # The tree of relays

    async def listen(self) -> None:
        """Let other nodes follow this one; `OSError` if the internal port is taken."""
        relay = self._subscriber.relay
        self._server = await self._loop.create_server(
            lambda: Link(self._below, relay.disconnected, relay.connected, accepted=True),
            self._settings.local_ip,
            self._settings.internal_port,
        )

    def _below(self, link: Link, message: Message) -> None:
        try:
            self._subscriber.relay.received(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("control_client: a follower's {} can't be taken: {}", tag_of(message), problem)
            link.close()

    def _above(self, link: Link, message: Message) -> None:
        try:
            if isinstance(message, ConfigurationText):
                self._take_text(message)
            else:
                self._subscriber.from_parent(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("control_client: a parent's {} can't be taken: {}", tag_of(message), problem)
            link.close()

    def _dial_parent(self, name: str, ip: str) -> None:
        async def work() -> None:
            link = None
            try:
                link = await self._dial_link(
                    self._above,
                    self._subscriber.parent_disconnected,
                    ip,
                    self._settings.internal_port,
                    self._settings.local_ip,
                )
            finally:
                self._subscriber.dial_finished(name, link)

        task = self._loop.create_task(work())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Members

    def _look(self) -> None:
        """Work out who is there anew.

        A controller that has just started may not know all yet: it adds nodes, and its silence takes none
        away.
        """
        heard = {
            k.name
            for k in self._controllers.values()
            if k.link is not None and k.link.open and k.warm and self._subscriber.streams[k.name].number >= 0
        }
        told = {name: stream.records for name, stream in self._subscriber.streams.items()}
        members = merge_member_lists(told, {k.name for k in self._controllers.values() if k.link is not None})
        if not heard:
            members = {**self._members, **members}
        if members != self._members:
            self._members = members
            self._subscriber.set_members(members)
            self._on_members(members)

    @property
    def heard(self) -> int:
        """How many controllers are heard."""
        return sum(k.link is not None and k.link.open for k in self._controllers.values())

    # The configuration

    def _fetch(self, controller: Controller | None, read: bool) -> None:
        if controller is None:
            controller = self._pick()
        if controller is not None and controller.link is not None:
            self._ask(controller.link, read)

    def _pick(self) -> Controller | None:
        """Whom to ask: one that is in contact and has told of what is wanted, if there is one; else any that
        is in contact; else any.
        """
        now = self._loop.time()
        streams = self._subscriber.streams
        open_ = [k for k in self._controllers.values() if k.link is not None and k.link.open]
        fresh = [k for k in open_ if k.in_contact(now)] or open_
        knowing = [k for k in fresh if k.name in streams and streams[k.name].revision >= self._wanted]
        return self._rng.choice(knowing or fresh) if fresh else None

    def _ask(self, link: Link, read: bool) -> None:
        """Ask for a configuration, or (`read`) for the number of the newest, confirmed by a majority."""
        self._rid += 1
        self._fetching[self._rid] = Fetch(link, self._loop.time(), read)
        link.send(RevisionRead(self._rid) if read else ConfigurationFetch(self._rid, self._wanted))

    def _version(self, revision: int, link: Link) -> None:
        """There is a configuration of this number: its text is fetched from whoever told so."""
        self._wanted = max(self._wanted, revision)
        if self._wanted > self.revision and all(fetch.read for fetch in self._fetching.values()):
            self._ask(link, read=False)

    def _take_revision(self, link: Link, message: Revision) -> None:
        """A controller has read the newest revision, as this node starts. All are asked, and whoever answers
        first is the one that the text is fetched from.
        """
        revision = message.revision
        self._fetching.pop(message.request, None)
        if revision < 0 or self._first is not None:
            return
        self._first, self._wanted = revision, max(self._wanted, revision)
        self._fetching = {number: fetch for number, fetch in self._fetching.items() if not fetch.read}
        if not revision:  # there is none yet
            self.revision = max(self.revision, revision)
        self._settle()
        if self._wanted > self.revision and not self._fetching:
            self._ask(link, read=False)

    def _settle(self) -> None:
        self.settled = self.settled or (self._first is not None and self.revision >= self._first)

    def _take_text(self, message: ConfigurationText) -> None:
        """One that was asked for is here, late perhaps: what was decided is taken whenever it comes."""
        rid = message.request
        revision = message.revision
        raw = message.text
        self._fetching.pop(rid, None)
        if revision < 0:
            return
        newer = revision > self.revision
        text = expand(raw) if newer else b""  # before anything is noted: what can't be read is fetched again
        if newer:
            self.revision = revision
            self._settle()
            if raw:
                self._subscriber.relay.configuration_received(revision, raw)
                self._on_configuration(revision, text)

    # Operation keys

    def claim(self, key: str, holder: str, timeout_s: float, on_claimed: OnClaimed) -> None:
        """Claim a key for one try (`OperationKeyClient.claim`)."""
        self.claims.claim(key, holder, timeout_s, on_claimed, self._loop.time())
