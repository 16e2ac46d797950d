"""A controller's handlers for the messages of the other controllers and of nodes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from loguru import logger

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.configuration import NO_REVISION
from orchidferry.mesh.control.controller_links import ControllerLinks
from orchidferry.mesh.control.heartbeats import Heartbeats
from orchidferry.mesh.control.publisher import Publisher
from orchidferry.mesh.control.retry_quota_allocator import RetryQuotaAllocators
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.control.shard_runner import ShardRunner
from orchidferry.mesh.storage.store import Store
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import (
    ConfigurationFetch,
    ConfigurationText,
    ControllerHello,
    GroupAnnouncement,
    Heartbeat,
    HeartbeatAck,
    KeyAnswer,
    KeyClaim,
    KeyRelease,
    LeaseRenewal,
    Message,
    NodeHello,
    RetryQuotaRequest,
    Revision,
    RevisionRead,
    ShardMessage,
    UpdateRequest,
    UpdateSubscription,
    UpdateUnsubscription,
)
from orchidferry.mesh.wire.shard_messages import tag_of


def newest_revision(read: RequestEnded) -> int:
    """Return the configuration's revision according to a finished read; `NO_REVISION` if the read failed."""
    return shard_state.body(read.value).revision if read.value is not None else NO_REVISION


class MessageHandlers:
    """Dispatches each message to the responsible component of the controller."""

    def __init__(
        self,
        runner: ShardRunner,
        store: Store,
        publisher: Publisher,
        retry_quotas: RetryQuotaAllocators,
        links: ControllerLinks,
        heartbeats: Heartbeats,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self._runner = runner
        self._store = store
        self._publisher = publisher
        self._retry_quotas = retry_quotas
        self._links = links
        self._heartbeats = heartbeats
        self._loop = loop
        self._handlers = self._handlers_by_type()

    def _handlers_by_type(self) -> dict[type[Message], Callable[[Link, Any], None]]:
        return {
            KeyClaim: self._claim_key,
            KeyAnswer: self._record_answer,
            KeyRelease: self._release_key,
            RetryQuotaRequest: self._grant_retry_quota,
            LeaseRenewal: self._publisher.renew_lease,
            UpdateRequest: self._publisher.send_missed,
            UpdateSubscription: self._publisher.subscribe,
            UpdateUnsubscription: lambda link, _: self._publisher.unsubscribe(link),
            ShardMessage: self._receive_shard_message,
            Heartbeat: self._receive_heartbeat,
            HeartbeatAck: lambda _, ack: self._heartbeats.acknowledged(ack),
            NodeHello: self._node_connected,
            RevisionRead: self._read_revision,
            ConfigurationFetch: self._fetch_configuration,
            ControllerHello: lambda link, hello: self._links.accepted(link, hello.name),
        }

    def handle(self, link: Link, message: Message) -> None:
        """Handle a message; if it is malformed, close the link over which it came.

        A message of a type without a handler, such as a reply that only nodes expect, is ignored.
        """
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("controller: malformed message of type {}: {}", tag_of(message), problem)
            link.close()

    # Other controllers

    def _receive_shard_message(self, link: Link, message: ShardMessage) -> None:
        shard = self._runner.shards[message.shard]
        self._runner.carry_out(shard, shard.receive(link, message.body, self._loop.time()))

    def _receive_heartbeat(self, link: Link, heartbeat: Heartbeat) -> None:
        self._heartbeats.receive(link, heartbeat)
        for shard, version in zip(self._runner.shards.values(), heartbeat.versions, strict=True):
            self._runner.carry_out(shard, shard.heartbeat_received(version, heartbeat.name))

    # Operation keys and retry quotas

    def _claim_key(self, link: Link, claim: KeyClaim) -> None:
        shard = self._runner.shard_of(claim.key)
        self._runner.carry_out(
            shard, shard.claim_key(link, claim, self._store.accepts_new_keys, self._loop.time())
        )
        if claim.epoch != shard.body.epoch:
            self.send_group(shard, link)

    def _record_answer(self, link: Link, message: KeyAnswer) -> None:
        shard = self._runner.shard_of(message.key)
        self._runner.carry_out(shard, shard.record_answer(message, self._loop.time()))

    def _release_key(self, link: Link, message: KeyRelease) -> None:
        shard = self._runner.shard_of(message.key)
        self._runner.carry_out(shard, shard.release_key(link, message, self._loop.time()))

    def _grant_retry_quota(self, link: Link, request: RetryQuotaRequest) -> None:
        quota = self._retry_quotas.handle(request, self._loop.time())
        if quota is not None:
            link.send(quota)

    # Nodes

    def _node_connected(self, link: Link, hello: NodeHello) -> None:
        self._publisher.node_connected(link, hello.name)
        for shard in self._runner.shards.values():
            self.send_group(shard, link)

    def _read_revision(self, link: Link, message: RevisionRead) -> None:
        def send(read: RequestEnded) -> None:
            self._publisher.send_revision(link, Revision(message.request, newest_revision(read)))

        self._runner.read_configuration(send)

    def _fetch_configuration(self, link: Link, message: ConfigurationFetch) -> None:
        state = self._runner.configuration_shard.body
        text = ConfigurationText(message.request, state.revision, state.compressed_text)
        self._publisher.send_configuration(link, text)

    def send_group(self, shard: Shard, link: Link | None = None) -> None:
        """Send the group of a shard to one node or to all nodes.

        :param shard: the shard.
        :param link: link to the node; None for all nodes.
        """
        state = shard.body
        names = [voter.name for voter in shard.known.voters]
        self._publisher.send_group(
            GroupAnnouncement(shard.number, state.epoch, names, state.owner, state.fencing_token), link
        )
