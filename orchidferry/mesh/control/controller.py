"""The controller of the mesh's state, on core machines: `orchidferry controller`.

It runs one `Shard` (orchidferry/mesh/control/shard.py) of each shard of the state: it votes on the
configuration and
on who keeps what, grants operation keys, does the duties of the shards that it owns, holds the leases of
nodes, and tells all nodes what changes. What it says was kept is on its disk before it says so. It never
waits for its disk.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Any

from loguru import logger

from orchidferry.balancing.register import Kept, Value
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import (
    Action,
    Log,
    RequestEnded,
    SendMessage,
    SendReply,
    StateChanged,
    WriteRecords,
)
from orchidferry.mesh.control.configuration_resource import ConfigurationResource
from orchidferry.mesh.control.control_api import ControlDoor
from orchidferry.mesh.control.operation_keys import MAX_KEYS
from orchidferry.mesh.control.order_records import orders_of
from orchidferry.mesh.control.peers import DEAD_S, Peers
from orchidferry.mesh.control.publisher import Publisher
from orchidferry.mesh.control.retry_quota_allocator import RetryQuotaAllocators
from orchidferry.mesh.control.shard import Shard, initial_records
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.settings import Settings
from orchidferry.mesh.storage.environment import KEYS
from orchidferry.mesh.storage.store import Put, Store, pack
from orchidferry.mesh.storage.store import unpack as unpack_stored
from orchidferry.mesh.wire.framing import Link, dial
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

BEAT_S = 0.4  # how often a controller tells the others that it lives
MAX_BEATS = 16  # that may be acknowledged yet
TICK_S = 0.05
DIAL_S = 0.15
GROW_S = 5.0  # after the first start the first configuration waits so long for the group to grow
MAX_CONTROLLERS = 64
STOP_S = 1.0  # after SIGTERM, for calls that are under way and for others to take over duties
LEAVE_MARGIN_S = 1.0  # before the platform kills a controller that still waits for its successor
LEAVE_LOOK_S = 0.1
STOP_MARGIN_S = 0.4  # of the grace time, kept for the process's own end


def newest_revision(end: RequestEnded) -> int:
    """The newest revision by a reading that is over; -1 where nothing was read."""
    return shard_state.body(end.value).revision if end.value is not None else -1


class Controller:
    """One controller."""

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop) -> None:
        self._settings, self._loop, self._name, self._seeds = settings, loop, settings.ip, settings.seeds
        self._rng = random.Random()
        assert settings.data_dir is not None
        self._store = Store(settings.data_dir, loop)
        self._began_s = loop.time()
        self._known_peers = Peers(self._began_s)
        self._shards: dict[int, Shard] = {}
        self._remember()
        self._load_keys()
        self._load_orders()
        self._publisher = Publisher(
            self._name, settings.zone, self._rng.randrange(1, 2**53), loop, self._contact_age_ms
        )
        bounds = settings.bounds
        self._retry_quotas = RetryQuotaAllocators(
            bounds.retry_slack, bounds.retry_window_s, self._owner_fence
        )
        self._peers: dict[str, Link] = {}  # controllers that this one dialled,
        self._callers: dict[str, Link] = {}  # and that dialled it: also those that it knows of no other way
        self._dialling: set[str] = set()
        self._dial_s: dict[str, float] = {}  # when each may be dialled again
        self._tasks: set[asyncio.Task[Any]] = set()
        self._waiting: dict[str, Callable[[RequestEnded], None]] = {}  # for changes and readings
        self._number = 0
        self._beats: dict[int, float] = {}  # when each was sent
        self._door = ControlDoor(
            {"/orchidferry/configuration": self._configuration_resource()},
            max(64, settings.descriptors // 4),
        )
        self._server: asyncio.Server | None = None
        self._stopping = False
        self._size_told = False
        self._handlers = self._message_handlers()

    # Its memory

    def _remember(self) -> None:
        """What each shard had promised and accepted; a new memory where there is none."""
        settings = self._settings
        read = self._store.read
        founders = read("about", b"founders")
        names = tuple(unpack_stored(founders)) if founders is not None else settings.seeds
        founder = settings.first_start and self._name in settings.seeds
        new = founders is None
        puts: list[Put] = [("about", b"founders", pack(list(names)))] if new else []
        for number in shard_state.SHARDS:
            raw = read("about", f"kept/{number}".encode())
            caught = founder if new else read("about", f"caught/{number}".encode()) is not None
            if raw is not None:
                kept = shard_state.unpack_kept(unpack_stored(raw))
            else:
                kept = Kept(shard_state.GENESIS if new and founder else self._rng.randrange(2, 2**53))
                puts += initial_records(number, kept, caught)
            parameters = ShardParameters(
                number=number,
                name=self._name,
                genesis=shard_state.genesis(names),
                group_size=settings.group_size,
                key_window_s=settings.bounds.key_window_s,
                max_keys=MAX_KEYS // len(shard_state.KEY_SHARDS),
            )
            self._shards[number] = Shard(parameters, kept, caught, self._known_peers, self._rng)
        if puts:
            self._store.write(puts)
            logger.info(
                "controller: a new memory, {}", "as a founder" if founder else "to be filled by others"
            )

    def _load_keys(self) -> None:
        for raw, packed in self._store.all(KEYS):
            key = raw.decode("latin-1")
            self._shards[shard_state.shard_of(key)].load_key(key, unpack_stored(packed))

    def _load_orders(self) -> None:
        rows = self._store.all("about")
        for number, shard in self._shards.items():
            shard.load_orders(orders_of(number, rows))

    def _owner_fence(self, service: str, now: float) -> int | None:
        """The fence under which this controller does the duties for a service now; None if it doesn't."""
        return self._shards[shard_state.shard_of(service)].owns(now)

    def _configuration_resource(self) -> ConfigurationResource:
        return ConfigurationResource(self._ask, self._read, self._growing, self._in_contact)

    def _in_contact(self) -> bool:
        """Whether a majority of the configuration's voters has lately acknowledged this controller."""
        return self._configuration_shard.in_contact(self._loop.time())

    def _contact_age_ms(self) -> int | None:
        """How long ago the newest beat was sent that a majority has acknowledged; None for never."""
        shard = self._configuration_shard
        since_s = self._known_peers.contact.since_s(shard.known.voters, shard.voter)
        if since_s == float("-inf"):
            return None
        return max(0, round(1e3 * (self._loop.time() - since_s))) if since_s < float("inf") else 0

    @property
    def _configuration_shard(self) -> Shard:
        return self._shards[shard_state.CONFIGURATION]

    # Start and end

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until told to stop; then let others take over, and end."""
        self._server = await self._loop.create_server(
            lambda: Link(self._heard, self._lost, accepted=True),
            self._settings.local_ip,
            self._settings.internal_port,
            backlog=512,
        )
        await self._door.listen(self._loop, self._settings.door("control"))
        for number, shard in self._shards.items():
            logger.info(
                "controller: shard {} with epoch {} at version {}",
                number,
                shard.body.epoch,
                shard.known.version,
            )
        self._mind_fitness()
        await self._turn_until(stopping, float("inf"))
        logger.info("controller: stopping")
        ends_s = self._loop.time() + self._settings.bounds.grace_s - STOP_MARGIN_S
        self._door.close_listener()
        self._stopping = self._known_peers.stopping = True
        self._mind_fitness()
        await self._leave()
        self._server.close()
        self._store.close(max(0.0, ends_s - self._loop.time()))
        logger.info("controller: stopped")

    async def _leave(self) -> None:
        """Serve on until another has this one's places and all that it holds, or nobody can take them."""
        began_s = self._loop.time()
        until_s = began_s + max(STOP_S, self._settings.bounds.grace_s - LEAVE_MARGIN_S)
        await self._turn_until(asyncio.Event(), began_s + STOP_S)
        while (now := self._loop.time()) < until_s and any(s.must_stay(now) for s in self._shards.values()):
            await self._turn_until(asyncio.Event(), min(until_s, now + LEAVE_LOOK_S))

    async def _turn_until(self, stopping: asyncio.Event, until_s: float) -> None:
        """The loop that works out the difference between what is and what should be."""
        beats = 0.0
        while not stopping.is_set() and self._loop.time() < until_s:
            now = self._loop.time()
            if now >= beats:
                beats = now + BEAT_S
                self._beat()
            self._tick(now)
            try:
                async with asyncio.timeout(TICK_S):
                    await stopping.wait()
            except TimeoutError:
                pass

    def _mind_fitness(self) -> None:
        """A controller whose disk ails, that has forgotten, or that ends, does no duties: others hear at
        once.
        """
        knows = all(shard.standing.caught_up for shard in self._shards.values())
        fit = knows and not self._store.ailing and not self._stopping
        if fit is not self._known_peers.fit:
            self._known_peers.fit = fit
            self._beat()

    def reread(self, settings: Settings) -> None:
        """The settings file has changed: other controllers may be named there."""
        self._seeds = settings.seeds

    def _controllers(self) -> set[str]:
        voters = {v.name for shard in self._shards.values() for v in shard.known.voters}
        return (voters | set(self._seeds)) - {self._name}

    def _beat(self) -> None:
        """Tell the other controllers that this one lives; its duties rest on their acknowledgement."""
        now = self._loop.time()
        self._number += 1
        self._beats[self._number] = now
        if len(self._beats) > MAX_BEATS:
            del self._beats[next(iter(self._beats))]
        versions = [self._shards[n].known.version for n in shard_state.SHARDS]
        learning = [n for n in shard_state.SHARDS if not self._shards[n].has_learned(now)]
        # One without a place is known by its call alone: it too hears who dies and who leaves.
        for link in [*({**self._callers, **self._peers}).values()]:
            if link.open:
                if now - link.heard_s > DEAD_S:
                    link.close()
                else:
                    fit = self._known_peers.fit
                    link.send(Heartbeat(self._name, self._number, fit, versions, self._stopping, learning))

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, name: str) -> None:
        try:
            link = await dial(
                self._heard, self._lost, name, self._settings.internal_port, self._settings.local_ip
            )
            if link is not None:
                link.peer = name
                self._peers[name] = link
                link.send(ControllerHello(self._name))
                self._beat()
        finally:
            self._dialling.discard(name)

    def _tick(self, now: float) -> None:
        for name in self._controllers():
            if name not in self._peers and name not in self._dialling and now >= self._dial_s.get(name, 0.0):
                self._dialling.add(name)
                self._dial_s[name] = now + DIAL_S
                self._spawn(self._dial(name))
        self._publisher.tick()
        self._warn_if_small()
        self._mind_fitness()
        for shard in self._shards.values():
            self._turn(shard)

    def _turn(self, shard: Shard) -> None:
        """Go on with what is due in a shard; once more before the next tick, where that is sooner."""
        now = self._loop.time()
        self._do(shard, shard.tick(now))
        wait_s = shard.due_s - now
        if wait_s < TICK_S:
            self._loop.call_later(max(0.002, wait_s), self._turn_due, shard)

    def _turn_due(self, shard: Shard) -> None:
        now = self._loop.time()
        if shard.due_s <= now:
            self._do(shard, shard.tick(now))

    # What the shards want done

    def _do(self, shard: Shard, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case SendMessage():
                    link = self._peers.get(action.to) or self._callers.get(action.to)
                    if link is not None:
                        link.send(action.message)
                case SendReply():
                    action.to.send(action.message)
                case WriteRecords():
                    self._write(shard, action)
                case StateChanged():
                    self._changed(shard, action.old, action.new)
                case RequestEnded():
                    told = self._waiting.pop(action.id, None)
                    if told is not None:
                        told(action)
                case Log():
                    logger.info("controller: shard {}: {}", shard.number, action.text)

    def _write(self, shard: Shard, write: WriteRecords) -> None:
        completion = write.completion
        if completion is None:
            return self._store.write(write.puts)
        self._store.write(
            write.puts,
            lambda done: self._do(shard, shard.write_finished(completion, done, self._loop.time())),
        )

    def _changed(self, shard: Shard, old: Value, new: Value) -> None:
        was = shard_state.body(old)
        now = shard_state.body(new)
        logger.info(
            "controller: shard {} is at version {}, epoch {}, revision {}, owner {} under fence {}",
            shard.number,
            new.version,
            now.epoch,
            now.revision,
            now.owner,
            now.fence,
        )
        if (now.epoch, now.fence) != (was.epoch, was.fence):
            self._tell_group(shard)
        if now.revision != was.revision:
            self._publisher.announce_revision(now.revision)

    def _wait_for(self, told: Callable[[RequestEnded], None]) -> str:
        self._number += 1
        id = str(self._number)
        self._waiting[id] = told
        return id

    def _ask(self, change: shard_state.Change, for_s: float, told: Callable[[RequestEnded], None]) -> None:
        """Have the configuration's shard changed."""
        id = self._wait_for(told)
        shard = self._configuration_shard
        self._do(shard, shard.request_change(id, change, for_s, self._loop.time()))

    def _read(self, told: Callable[[RequestEnded], None]) -> None:
        """The newest configuration for sure."""
        id = self._wait_for(told)
        self._do(self._configuration_shard, self._configuration_shard.request_read(id, self._loop.time()))

    # Links

    def _heard(self, link: Link, message: Message) -> None:
        handler = self._handlers.get(type(message))
        if handler is None:
            return
        try:
            handler(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("controller: a {} can't be taken: {}", tag_of(message), problem)
            link.close()

    def _lost(self, link: Link) -> None:
        self._publisher.disconnected(link)
        for links in (self._peers, self._callers):
            if links.get(link.peer) is link:
                del links[link.peer]

    def _message_handlers(self) -> dict[type[Message], Callable[[Link, Any], None]]:
        """What is done with each kind of message that controllers and nodes send here."""
        return {
            KeyClaim: self._take_claim,
            KeyAnswer: self._take_answer,
            KeyRelease: self._take_release,
            RetryQuotaRequest: self._deal_retry_share,
            LeaseRenewal: self._publisher.renew_lease,
            UpdateRequest: self._publisher.send_missed,
            UpdateSubscription: self._publisher.subscribe,
            UpdateUnsubscription: lambda link, _: self._publisher.unsubscribe(link),
            ShardMessage: self._take_shard_message,
            Heartbeat: self._take_heartbeat,
            HeartbeatAck: self._take_heartbeat_ack,
            NodeHello: self._greet_node,
            RevisionRead: self._read_revision,
            ConfigurationFetch: self._fetch_configuration,
            ControllerHello: self._greet_controller,
        }

    # Other controllers

    def _take_shard_message(self, link: Link, message: ShardMessage) -> None:
        shard = self._shards[message.shard]
        self._do(shard, shard.receive(link, message.body, self._loop.time()))

    def _take_heartbeat(self, link: Link, beat: Heartbeat) -> None:
        self._note_peer(beat)
        fences = [shard.accepted_fence for shard in self._shards.values()]
        link.send(HeartbeatAck(self._name, beat.number, fences))
        for shard, version in zip(self._shards.values(), beat.versions, strict=True):
            self._do(shard, shard.heartbeat_received(version, beat.name))

    def _note_peer(self, beat: Heartbeat) -> None:
        """What a heartbeat says of its sender."""
        known = self._known_peers
        name = beat.name
        if name not in known.heard_s and len(known.heard_s) >= MAX_CONTROLLERS:
            oldest = min(known.heard_s, key=lambda n: known.heard_s[n])
            del known.heard_s[oldest]
            known.learning.pop(oldest, None)
        known.heard_s[name] = self._loop.time()
        (known.unfit.discard if beat.eligible else known.unfit.add)(name)
        (known.leaving.add if beat.leaving else known.leaving.discard)(name)
        known.learning[name] = tuple(beat.missing_shards)

    def _take_heartbeat_ack(self, link: Link, ack: HeartbeatAck) -> None:
        sent_s = self._beats.get(ack.number)
        if sent_s is not None:
            for shard, fence in zip(self._shards.values(), ack.fencing_tokens, strict=True):
                shard.heartbeat_acknowledged(ack.name, sent_s, fence)

    def _greet_controller(self, link: Link, hello: ControllerHello) -> None:
        link.peer = hello.name
        self._callers[link.peer] = link

    # Operation keys and retries

    def _take_claim(self, link: Link, claim: KeyClaim) -> None:
        shard = self._shards[shard_state.shard_of(claim.key)]
        now = self._loop.time()
        self._do(shard, shard.claim_key(link, claim, self._store.room, now))
        if claim.epoch != shard.body.epoch:
            self._tell_group(shard, link)

    def _take_answer(self, link: Link, message: KeyAnswer) -> None:
        shard = self._shards[shard_state.shard_of(message.key)]
        self._do(shard, shard.record_answer(message, self._loop.time()))

    def _take_release(self, link: Link, message: KeyRelease) -> None:
        shard = self._shards[shard_state.shard_of(message.key)]
        self._do(shard, shard.release_key(link, message, self._loop.time()))

    def _deal_retry_share(self, link: Link, request: RetryQuotaRequest) -> None:
        share = self._retry_quotas.handle(request, self._loop.time())
        if share is not None:
            link.send(share)

    # Nodes

    def _greet_node(self, link: Link, hello: NodeHello) -> None:
        self._publisher.node_connected(link, hello.name)
        for shard in self._shards.values():
            self._tell_group(shard, link)

    def _read_revision(self, link: Link, message: RevisionRead) -> None:
        def tell(end: RequestEnded) -> None:
            self._publisher.send_revision(link, Revision(message.request, newest_revision(end)))

        self._read(tell)

    def _fetch_configuration(self, link: Link, message: ConfigurationFetch) -> None:
        state = self._configuration_shard.body
        text = ConfigurationText(message.request, state.revision, state.raw)
        self._publisher.send_configuration(link, text)

    def _tell_group(self, shard: Shard, link: Link | None = None) -> None:
        own = shard.body
        names = [v.name for v in shard.known.voters]
        self._publisher.send_group(
            GroupAnnouncement(shard.number, own.epoch, names, own.owner, own.fence), link
        )

    # The size of the groups

    def _growing(self) -> bool:
        """Whether the first configuration has to wait until every group has its size."""
        if self._configuration_shard.body.revision or self._loop.time() - self._began_s > GROW_S:
            return False
        return any(len(shard.known.voters) < shard.size for shard in self._shards.values())

    def _warn_if_small(self) -> None:
        """Say so once where fewer controllers run than the tolerance asks for."""
        shard = self._configuration_shard
        now = self._loop.time()
        if self._size_told or now - self._began_s < GROW_S:
            return
        self._size_told = True
        if shard.voter in shard.known.voters and len(shard.known.voters) < shard.size:
            logger.warning(
                "controller: the group has {} replicas, term_settings.tolerance.machines = {} needs {}",
                len(shard.known.voters),
                self._settings.machines,
                shard.size,
            )
