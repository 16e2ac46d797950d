"""The controller process of the mesh's control state, on core machines: `orchidferry controller`.

It runs one replica of each shard of the state (`orchidferry.mesh.control.shard`). It votes on the
configuration, grants operation keys, performs the singleton duties of the shards that it owns, holds the
leases of nodes, and publishes changes. Everything it acknowledges is on its disk before; disk writes never
block its event loop.
"""

from __future__ import annotations

import asyncio
import math
import random

from loguru import logger

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import StateChanged
from orchidferry.mesh.control.configuration_resource import CONFIGURATION_PATH, ConfigurationResource
from orchidferry.mesh.control.control_api import ControlServer
from orchidferry.mesh.control.controller_links import ControllerLinks
from orchidferry.mesh.control.heartbeats import HEARTBEAT_INTERVAL_S, Heartbeats
from orchidferry.mesh.control.message_handlers import MessageHandlers
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.publisher import Publisher
from orchidferry.mesh.control.retry_quota_allocator import RetryQuotaAllocators
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.control.shard_loading import load_shards
from orchidferry.mesh.control.shard_runner import TICK_S, ShardRunner
from orchidferry.mesh.settings import Settings
from orchidferry.mesh.storage.store import Store
from orchidferry.mesh.wire.framing import Link
from orchidferry.mesh.wire.messages import Message

MAX_INCARNATION = 2**53  # upper bound of the update stream's incarnation, which is drawn at each start
BACKLOG = 512  # connections that may wait to be accepted
MIN_HTTP_CONNECTIONS = 64  # lower bound of the limit of concurrent HTTP connections
GROWTH_WAIT_S = 5.0  # after the start the first configuration waits at most this long for the groups to grow
MIN_STOP_S = 1.0  # time after SIGTERM for calls in progress, and for others to take over duties
HANDOVER_MARGIN_S = 1.0  # time between the end of the handover and the platform's kill
HANDOVER_CHECK_S = 0.1  # time between two checks of whether the handover is complete
STOP_MARGIN_S = 0.4  # part of the grace time that is reserved for the end of the process itself


class Controller:
    """One controller process."""

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop) -> None:
        """Open the store and load the shards.

        :param settings: the process settings.
        :param loop: the event loop.
        :raises StoreError: if the store can't be used.
        """
        self._settings = settings
        self._loop = loop
        self._seeds = settings.seeds
        rng = random.Random()
        assert settings.data_dir is not None
        self._store = Store(settings.data_dir, loop)
        self._started_s = loop.time()
        self._peers = Peers(self._started_s)
        self._shards = load_shards(self._store, settings, self._peers, rng)
        self._publisher = Publisher(
            settings.ip, settings.zone, rng.randrange(1, MAX_INCARNATION), loop, self._contact_age_ms
        )
        self._links = ControllerLinks(
            settings, loop, self._received, self._disconnected, lambda: self._heartbeats.send()
        )
        self._heartbeats = Heartbeats(settings.ip, self._shards, self._peers, self._links, loop)
        self._runner = ShardRunner(self._shards, self._store, loop, self._links.send, self._state_changed)
        bounds = settings.bounds
        self._handlers = MessageHandlers(
            self._runner,
            self._store,
            self._publisher,
            RetryQuotaAllocators(bounds.retry_slack, bounds.retry_window_s, self._owner_fencing_token),
            self._links,
            self._heartbeats,
            loop,
        )
        self._http_server = ControlServer(
            {CONFIGURATION_PATH: self._configuration_resource()},
            max(MIN_HTTP_CONNECTIONS, settings.max_file_descriptors // 4),
        )
        self._server: asyncio.Server | None = None
        self._group_size_checked = False
        self._contact_reported = False  # whether the newest log line about contact says that it holds

    def _configuration_resource(self) -> ConfigurationResource:
        return ConfigurationResource(
            self._runner.change_configuration,
            self._runner.read_configuration,
            self._is_growing,
            self._in_contact,
        )

    def _owner_fencing_token(self, service: str, now: float) -> int | None:
        """Return the fencing token under which this controller owns a service's shard; None if it doesn't."""
        return self._runner.shard_of(service).owns(now)

    def _in_contact(self) -> bool:
        """Whether this controller is in contact with a majority of the configuration shard's voters."""
        return self._runner.configuration_shard.in_contact(self._loop.time())

    def _contact_age_ms(self) -> int | None:
        """Age of the newest heartbeat that a majority has acknowledged, in ms; None if there is none."""
        shard = self._runner.configuration_shard
        since_s = self._peers.contact.since_s(shard.known.voters, shard.voter)
        if since_s == -math.inf:
            return None
        if since_s == math.inf:  # this controller is the only voter
            return 0
        return max(0, round(1e3 * (self._loop.time() - since_s)))

    # Start and stop

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until `stopping` is set; then hand over to the other controllers and return."""
        self._server = await self._loop.create_server(
            lambda: Link(self._received, self._disconnected, accepted=True),
            self._settings.local_ip,
            self._settings.internal_port,
            backlog=BACKLOG,
        )
        await self._http_server.listen(self._loop, self._settings.listen_address("control"))
        for number, shard in self._shards.items():
            logger.info(
                "controller: listening: shard={} epoch={} version={}",
                number,
                shard.body.epoch,
                shard.known.version,
            )
        self._update_fitness()
        await self._run_until(stopping, math.inf)
        logger.info("controller: stopping")
        ends_s = self._loop.time() + self._settings.bounds.grace_s - STOP_MARGIN_S
        self._http_server.close_listener()
        self._peers.stopping = True
        self._update_fitness()
        await self._hand_over()
        self._server.close()
        self._store.close(max(0.0, ends_s - self._loop.time()))
        logger.info("controller: stopped")

    async def _hand_over(self) -> None:
        """Keep serving until other controllers have taken over, none can take over, or the time is up."""
        began_s = self._loop.time()
        until_s = began_s + max(MIN_STOP_S, self._settings.bounds.grace_s - HANDOVER_MARGIN_S)
        await self._run_until(asyncio.Event(), began_s + MIN_STOP_S)
        while (now := self._loop.time()) < until_s:
            if not any(shard.must_stay(now) for shard in self._shards.values()):
                break
            await self._run_until(asyncio.Event(), min(until_s, now + HANDOVER_CHECK_S))

    async def _run_until(self, stopping: asyncio.Event, until_s: float) -> None:
        """Tick and send heartbeats until `stopping` is set or the time `until_s` is reached."""
        next_heartbeat_s = 0.0
        while not stopping.is_set() and self._loop.time() < until_s:
            now = self._loop.time()
            if now >= next_heartbeat_s:
                next_heartbeat_s = now + HEARTBEAT_INTERVAL_S
                self._heartbeats.send()
            self._tick()
            try:
                async with asyncio.timeout(TICK_S):
                    await stopping.wait()
            except TimeoutError:
                pass

    def _tick(self) -> None:
        self._links.dial_missing(self._other_controllers())
        self._publisher.tick()
        self._warn_if_group_too_small()
        self._update_fitness()
        self._runner.tick()
        self._report_contact()

    def _report_contact(self) -> None:
        """Log that contact with a majority of the configuration shard's voters was lost, or holds again."""
        holds = self._in_contact()
        if holds is self._contact_reported:
            return
        self._contact_reported = holds
        shard = self._runner.configuration_shard
        logger.log(
            "INFO" if holds else "WARNING",
            "controller: contact with a majority {}: voters={} former_voters={} age_ms={}",
            "holds" if holds else "lost",
            ",".join(voter.name for voter in shard.known.voters),
            ",".join(voter.name for voter in shard.known.former_voters),
            self._contact_age_ms(),
        )

    def _update_fitness(self) -> None:
        """Update whether this controller is fit to own a shard.

        It is unfit while its disk is degraded, it has not caught up in every shard, or it is stopping. A
        change is announced to the other controllers immediately, by a heartbeat.
        """
        caught_up = all(shard.standing.caught_up for shard in self._shards.values())
        fit = caught_up and not self._store.is_degraded and not self._peers.stopping
        if fit is not self._peers.fit:
            self._peers.fit = fit
            self._heartbeats.send()

    def reload_settings(self, settings: Settings) -> None:
        """Apply reloaded settings, which may name other seed controllers."""
        self._seeds = settings.seeds

    def _other_controllers(self) -> set[str]:
        members = {name for shard in self._shards.values() for name in shard.register.group_members()}
        return (members | set(self._seeds)) - {self._settings.ip}

    # Links and state changes

    def _received(self, link: Link, message: Message) -> None:
        self._handlers.handle(link, message)

    def _disconnected(self, link: Link) -> None:
        self._publisher.disconnected(link)
        self._links.disconnected(link)

    def _state_changed(self, shard: Shard, change: StateChanged) -> None:
        """Publish the changes of a shard's state."""
        old = shard_state.body(change.old)
        new = shard_state.body(change.new)
        logger.info(
            "controller: state decided: shard={} version={} epoch={} revision={} owner={} fencing_token={}",
            shard.number,
            change.new.version,
            new.epoch,
            new.revision,
            new.owner,
            new.fencing_token,
        )
        if (new.epoch, new.fencing_token) != (old.epoch, old.fencing_token):
            self._handlers.send_group(shard)
        if new.revision != old.revision:
            self._publisher.announce_revision(new.revision)

    # Group size

    def _is_growing(self) -> bool:
        """Whether the first configuration has to wait until every group has reached its configured size."""
        is_first = not self._runner.configuration_shard.body.revision
        if not is_first or self._loop.time() - self._started_s > GROWTH_WAIT_S:
            return False
        return any(len(shard.known.voters) < shard.size for shard in self._shards.values())

    def _warn_if_group_too_small(self) -> None:
        """Warn once if the group has fewer controllers than the configured tolerance requires."""
        shard = self._runner.configuration_shard
        if self._group_size_checked or self._loop.time() - self._started_s < GROWTH_WAIT_S:
            return
        self._group_size_checked = True
        if shard.voter in shard.known.voters and len(shard.known.voters) < shard.size:
            logger.warning(
                "controller: the group has {} replicas, term_settings.tolerance.machines = {} needs {}",
                len(shard.known.voters),
                self._settings.tolerated_losses,
                shard.size,
            )
