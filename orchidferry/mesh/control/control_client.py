"""A node's client of the controllers: its lease, the member list, configurations and operation keys.

The client keeps a link to every known controller, for the node's lease and for operation keys. Updates come
from another node (`orchidferry.mesh.control.subscriber`) or from the controllers.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from loguru import logger

from orchidferry.mesh.control.configuration_fetcher import ConfigurationFetcher
from orchidferry.mesh.control.controller_connection import NO_RECORD, ControllerConnection, RecordVersion
from orchidferry.mesh.control.endpoints import NodeIdentity, NodeRecord, merge_member_lists
from orchidferry.mesh.control.operation_key_client import OnClaimed, OperationKeyClient, ShardGroup
from orchidferry.mesh.control.subscriber import Subscriber
from orchidferry.mesh.control.update_stream import NO_CHANGES
from orchidferry.mesh.settings import Settings
from orchidferry.mesh.wire.framing import Link, dial
from orchidferry.mesh.wire.messages import (
    ConfigurationText,
    GroupAnnouncement,
    KeyGrant,
    KeyReleaseAck,
    Lease,
    LeaseRenewal,
    Message,
    NodeHello,
    Revision,
    Update,
)
from orchidferry.mesh.wire.shard_messages import tag_of

RENEWAL_INTERVAL_S = 0.5
IDLE_TIMEOUT_S = 1.6  # a link is closed if the controller has sent nothing for this time
TICK_S = 0.1
DIAL_INTERVAL_S = 0.15  # minimum time between two attempts to dial the same controller
MAX_CONTROLLERS = 16
MAX_BOOT_ID = 2**53

Dial = Callable[..., Awaitable[Link | None]]  # has the signature of `framing.dial`
Receive = Callable[[Link, Message], None]


class ControlClient:
    """The links of one node to the controllers, to its parent in the fan-out tree, and to its followers.

    :ivar boot_id: random number drawn at the start of the node's process.
    :ivar claims: claims and releases of operation keys.
    """

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        on_members: Callable[[dict[str, NodeRecord]], None],
        on_configuration: Callable[[int, bytes], None],
        dial: Dial = dial,
        rng: random.Random | None = None,
    ) -> None:
        """Create a client without links.

        :param on_members: called with each new member list.
        :param on_configuration: called with the revision and the text of each new configuration.
        :param dial: opens a link; simulations pass their own.
        :param rng: the source of random numbers; simulations pass a seeded one.
        """
        self._dial_link = dial
        self._settings = settings
        self._loop = loop
        self._on_members = on_members
        self._on_configuration = on_configuration
        rng = rng or random.Random()
        self.boot_id = rng.randrange(1, MAX_BOOT_ID)
        self._seeds = settings.seeds
        self._connections = {name: ControllerConnection(name) for name in settings.seeds}
        self.claims = OperationKeyClient(settings.seeds, self._send, settings.bounds.key_window_s)
        node = NodeIdentity(settings.name, self.boot_id, settings.zone)
        self._subscriber = Subscriber(
            node, loop, rng, self._dial_parent, self._update_members, self._revision_announced
        )
        self._fetcher = ConfigurationFetcher(
            loop, rng, self._connections, self._subscriber.streams, self._configuration_received
        )
        self._members: dict[str, NodeRecord] = {}
        self._record: NodeRecord | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def has_initial_configuration(self) -> bool:
        """Whether the node has a configuration at least as new as any acknowledged before its start."""
        return self._fetcher.caught_up

    @property
    def wanted_revision(self) -> int:
        """The newest revision of the configuration that was announced to the node; 0 for none."""
        return self._fetcher.wanted_revision

    @property
    def connected_controllers(self) -> int:
        """The number of controllers with an open link."""
        return sum(connection.open_link is not None for connection in self._connections.values())

    def set_seeds(self, seeds: tuple[str, ...]) -> None:
        """Replace the seeds after a change of the settings; controllers that belong to a group are kept."""
        self._seeds = seeds
        self._add_controllers(seeds)

    def _add_controllers(self, names: list[str] | tuple[str, ...]) -> None:
        for name in names[:MAX_CONTROLLERS]:
            self._connections.setdefault(name, ControllerConnection(name))

    def start(self) -> None:
        """Start dialling the controllers, and ticking."""
        self._tick()

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)
        now = self._loop.time()
        self._check_links(now)
        self._renew_due_leases(now)
        self._subscriber.tick()
        self._fetcher.tick(now)
        self.claims.tick(now)

    # The record of the node

    def publish(self, record: NodeRecord) -> None:
        """Send the node's record to all controllers, now and over each new link."""
        self._record = record
        for connection in self._connections.values():
            self._renew_lease(connection)

    def _renew_due_leases(self, now: float) -> None:
        """Renew the leases that are due.

        The first renewals are spread over the interval: the controllers then reply at different times, and
        each reply shows whether an update was missed.
        """
        for index, connection in enumerate(self._connections.values()):
            if now >= connection.next_renewal_s:
                is_first = not connection.next_renewal_s
                fraction = 1.0 - index / len(self._connections) if is_first else 1.0
                connection.next_renewal_s = now + RENEWAL_INTERVAL_S * fraction
                self._renew_lease(connection)

    def _renew_lease(self, connection: ControllerConnection) -> None:
        record = self._record
        link = connection.open_link
        if record is None or link is None:
            return
        is_known = connection.record_version == (record.boot, record.number)
        link.send(LeaseRenewal(record.number, record.name, record.boot, None if is_known else record))

    # Links to controllers

    def _check_links(self, now: float) -> None:
        """Close idle links, dial controllers that have no link, and forget those removed from all groups."""
        for connection in list(self._connections.values()):
            link = connection.open_link
            if link is not None:
                if now - link.last_received_s > IDLE_TIMEOUT_S:
                    logger.info("control_client: controller={} closed: it is silent", connection.name)
                    link.close()
            elif not connection.dialling and now >= connection.next_dial_s:
                if connection.name not in self.claims.controllers() and connection.name not in self._seeds:
                    del self._connections[connection.name]
                    self._subscriber.remove_controller(connection.name)
                    continue
                connection.dialling = True
                connection.next_dial_s = now + DIAL_INTERVAL_S
                self._start_task(self._dial_controller(connection))

    def _start_task(self, work: Coroutine[Any, Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(
        self, host: str, on_message: Receive, on_disconnected: Callable[[Link], None]
    ) -> Link | None:
        settings = self._settings
        return await self._dial_link(
            on_message, on_disconnected, host, settings.internal_port, settings.local_ip
        )

    async def _dial_controller(self, connection: ControllerConnection) -> None:
        try:
            link = await self._dial(
                connection.name, self._received_from_controller, self._controller_disconnected
            )
            if link is not None:
                link.peer = connection.name
                connection.connected(link)
                link.send(NodeHello(self._settings.name))
                self._renew_lease(connection)
                self._subscriber.controller_connected(connection.name, link)
                self._fetcher.controller_connected(link)
                self.claims.link_opened(connection.name, self._loop.time())
        finally:
            connection.dialling = False

    def _controller_disconnected(self, link: Link) -> None:
        connection = self._connections.get(link.peer)
        if connection is not None and connection.link is link:
            connection.disconnected()
            self._subscriber.controller_disconnected(connection.name)
            self._fetcher.disconnected(link)
            self._update_members()

    def _send(self, name: str, message: Message) -> None:
        connection = self._connections.get(name)
        if connection is not None and connection.link is not None:
            connection.link.send(message)

    # Messages from controllers

    def _received_from_controller(self, link: Link, message: Message) -> None:
        self._receive(self._handle, "controller", link, message)

    def _receive(self, handle: Receive, sender: str, link: Link, message: Message) -> None:
        """Handle a message; the link is closed if the message has invalid values.

        :param sender: role of the other end of the link, for the log.
        """
        try:
            handle(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("control_client: a {}'s {} can't be taken: {}", sender, tag_of(message), problem)
            link.close()

    def _handle(self, link: Link, message: Message) -> None:
        connection = self._connections.get(link.peer)
        if connection is None or connection.link is not link:
            return
        match message:
            case KeyGrant():
                self.claims.handle_grant(connection.name, message)
            case KeyReleaseAck():
                self.claims.releases.acknowledge(connection.name, message.number)
            case Lease():
                self._handle_lease(connection, message)
            case Update():
                self._subscriber.from_controller(link, message)
            case Revision():
                self._fetcher.revision_received(link, message)
            case ConfigurationText():
                self._fetcher.text_received(message)
            case GroupAnnouncement():
                self._handle_group(message)

    def _handle_lease(self, connection: ControllerConnection, lease: Lease) -> None:
        connection.report_contact(lease.contact_age_ms, self._loop.time())
        if self._record is not None:
            version = RecordVersion(self._record.boot, lease.number)
            connection.record_version = version if lease.has_record else NO_RECORD
            if not lease.has_record:
                self._renew_lease(connection)
        self._subscriber.lease_renewed(connection.name, lease.incarnation, lease.newest_number)
        if lease.warmed_up and not connection.warmed_up:
            connection.warmed_up = True
            self._update_members()

    def _handle_group(self, group: GroupAnnouncement) -> None:
        known = ShardGroup(group.epoch, tuple(group.voters), group.owner, group.fencing_token)
        if not self.claims.update_group(group.shard, known, self._loop.time()):
            return
        logger.info(
            "control_client: group changed: shard={} epoch={} controllers={} owner={} fencing_token={}",
            group.shard,
            group.epoch,
            ",".join(group.voters),
            group.owner,
            group.fencing_token,
        )
        self._add_controllers(group.voters)

    # The fan-out tree

    async def listen(self) -> None:
        """Accept links from other nodes, which may follow this node.

        :raises OSError: if the internal port is in use.
        """
        relay = self._subscriber.relay
        self._server = await self._loop.create_server(
            lambda: Link(self._received_from_follower, relay.disconnected, relay.connected, accepted=True),
            self._settings.local_ip,
            self._settings.internal_port,
        )

    def _received_from_follower(self, link: Link, message: Message) -> None:
        self._receive(self._subscriber.relay.received, "follower", link, message)

    def _received_from_parent(self, link: Link, message: Message) -> None:
        self._receive(self._handle_parent, "parent", link, message)

    def _handle_parent(self, link: Link, message: Message) -> None:
        if isinstance(message, ConfigurationText):
            self._fetcher.text_received(message)
        else:
            self._subscriber.from_parent(link, message)

    def _dial_parent(self, name: str, ip: str) -> None:
        async def dial_parent() -> None:
            link = None
            try:
                link = await self._dial(ip, self._received_from_parent, self._subscriber.parent_disconnected)
            finally:
                self._subscriber.dial_finished(name, link)

        self._start_task(dial_parent())

    # Members and configurations

    def _update_members(self) -> None:
        """Merge the member lists of the controllers again.

        A controller that has just started may not know all nodes yet. While only such controllers are
        connected, members are added but not removed.
        """
        streams = self._subscriber.streams
        connections = self._connections.values()
        has_complete_list = any(
            one.open_link is not None and one.warmed_up and streams[one.name].number > NO_CHANGES
            for one in connections
        )
        reachable = {one.name for one in connections if one.link is not None}
        members = merge_member_lists({name: s.records for name, s in streams.items()}, reachable)
        if not has_complete_list:
            members = {**self._members, **members}
        if members != self._members:
            self._members = members
            self._subscriber.set_members(members)
            self._on_members(members)

    def _revision_announced(self, revision: int, link: Link) -> None:
        self._fetcher.revision_announced(revision, link)

    def _configuration_received(self, revision: int, raw: bytes, text: bytes) -> None:
        self._subscriber.relay.configuration_received(revision, raw)
        self._on_configuration(revision, text)

    # Operation keys

    def claim(self, key: str, holder: str, timeout_s: float, on_claimed: OnClaimed) -> None:
        """Claim an operation key for one attempt (`OperationKeyClient.claim`).

        :param holder: id of the attempt.
        """
        self.claims.claim(key, holder, timeout_s, on_claimed, self._loop.time())
