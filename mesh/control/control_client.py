"""A node's side of the control state: its lease at the controllers, and the news that comes from them.

It keeps a link to every controller that it knows of, for its lease and for operation keys, and takes its news
from another node (`subscriber`) or from the controllers.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from mesh.control.configuration_text import expand
from mesh.control.endpoints import Record, everyone
from mesh.control.operation_key_client import OperationKeyClient
from mesh.control.subscriber import Subscriber
from mesh.settings import Settings
from mesh.wire.framing import Link, dial

RENEW_S = 0.5
QUIET_S = 1.6  # a controller that answers nothing for so long is not heard
TICK_S = 0.1
ASK_S = 0.4  # for one answer, before another controller is asked
CONTROLLERS_MOST = 16


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


class ControlClient:
    """All links of one node to the controllers."""

    def __init__(
        self,
        settings: Settings,
        loop: asyncio.AbstractEventLoop,
        on_members: Callable[[dict[str, Record]], None],
        on_configuration: Callable[[int, bytes], None],
    ) -> None:
        self._settings, self._loop = settings, loop
        self._on_members, self._on_configuration = on_members, on_configuration
        self._rng = random.Random()
        self.boot_id = self._rng.randrange(1, 2**53)
        self._controllers: dict[str, Controller] = {name: Controller(name) for name in settings.seeds}
        self._seeds = settings.seeds
        self.claims = OperationKeyClient(settings.seeds, self._send)
        self._subscriber = Subscriber(
            settings.name,
            self.boot_id,
            settings.zone,
            loop,
            self._rng,
            self._dial_parent,
            self._look,
            self._version,
        )
        self._members: dict[str, Record] = {}
        self._record: Record | None = None
        self._number = 0
        self._rid = 0
        self.revision = -1  # the newest that this node has
        self._fetching: dict[
            int, tuple[str, float, bool]
        ] = {}  # by rid: controller, until when, whether read
        self.settled = False  # it has read a configuration that is as new as any acknowledged at its start
        self._tasks: set[asyncio.Task[Any]] = set()
        self._wanted = 0  # the newest revision that was heard of

    def reseed(self, seeds: tuple[str, ...]) -> None:
        """These controllers are named from outside now; who is known from the group itself stays."""
        self._seeds = seeds
        for name in seeds[:CONTROLLERS_MOST]:
            self._controllers.setdefault(name, Controller(name))

    def start(self) -> None:
        """Begin."""
        self._tick()

    # The node's own record

    def publish(self, record: Record) -> None:
        """Tell all controllers this of the node, now and with each new link."""
        self._record = record
        for controller in self._controllers.values():
            self._renew(controller)

    def _renew(self, controller: Controller) -> None:
        record, link = self._record, controller.link
        if record is None or link is None or not link.open:
            return
        same = controller.knows == (record.boot, record.number)
        link.send("renew", record.number, record.name, record.boot, None if same else record.packed())

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
                if controller.name not in self.claims.names() and controller.name not in self._seeds:
                    del self._controllers[controller.name]
                    self._subscriber.forget(controller.name)
                    continue
                controller.dialling, controller.next_dial_s = True, now + 0.15
                task = self._loop.create_task(self._dial(controller))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        for at, controller in enumerate(self._controllers.values()):
            if now >= controller.next_renew_s:  # in turn: the answers tell soon whether news was missed
                turn = 1.0 if controller.next_renew_s else 1.0 - at / len(self._controllers)
                controller.next_renew_s = now + RENEW_S * turn
                self._renew(controller)
        self._subscriber.tick()
        for rid, (_, until, _) in list(self._fetching.items()):
            if until < now:
                del self._fetching[rid]
        if (not self.settled or self._wanted > self.revision) and not self._fetching:
            self._fetch(None, "fetch" if self.settled else "read")
        self.claims.tick(now)

    async def _dial(self, controller: Controller) -> None:
        try:
            link = await dial(
                self._heard,
                self._lost,
                controller.name,
                self._settings.internal_port,
                self._settings.local_ip,
            )
            if link is not None:
                link.peer = controller.name
                controller.link, controller.knows, controller.warm = link, (0, -1), False
                link.send("hello", self._settings.name)
                self._renew(controller)
                self._subscriber.up(controller.name, link)
                if not self.settled:
                    self._fetch(controller, "read")
                self.claims.linked(controller.name)
        finally:
            controller.dialling = False

    def _lost(self, link: Link) -> None:
        controller = self._controllers.get(link.peer)
        if controller is not None and controller.link is link:
            controller.link = None
            self._subscriber.down(controller.name)
            for rid in [rid for rid, asked in self._fetching.items() if asked[0] == controller.name]:
                del self._fetching[rid]
            self._look()

    def _heard(self, link: Link, message: list[Any]) -> None:
        try:
            self._take(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("control_client: a message {!r} can't be read: {}", message[0], problem)
            link.close()

    def _take(self, link: Link, message: list[Any]) -> None:
        kind, controller = message[0], self._controllers.get(link.peer)
        if controller is None or controller.link is not link:
            return
        if kind == "slip":
            self.claims.hear(controller.name, *message[1:])
        elif kind == "lease":
            number, known, warm, life, news = message[1:]
            if self._record is not None:
                controller.knows = (self._record.boot, number) if known else (0, -1)
                if not known:
                    self._renew(controller)
            self._subscriber.lease(controller.name, life, news)
            if warm and not controller.warm:
                controller.warm = True
                self._look()
        elif kind == "news":
            self._subscriber.from_keeper(link, message)
        elif kind == "folio":
            self._configuration_shard(*message[1:])
        elif kind == "group":
            shard, epoch, names, owner, fence = message[1:]
            self._group(shard, epoch, tuple(names), owner, fence)

    def _group(self, shard: int, epoch: int, names: tuple[str, ...], owner: str, fence: int) -> None:
        if not self.claims.group(shard, epoch, names, owner, fence, self._loop.time()):
            return
        logger.info(
            "control_client: shard {}: epoch {}, controllers {}, owner {} under fence {}",
            shard, epoch, " ".join(names), owner, fence,
        )  # fmt: skip
        for name in names[:CONTROLLERS_MOST]:
            self._controllers.setdefault(name, Controller(name))

    def _send(self, name: str, *message: Any) -> None:
        controller = self._controllers.get(name)
        if controller is not None and controller.link is not None:
            controller.link.send(*message)

    # The tree of relays

    async def listen(self) -> None:
        """Let other nodes follow this one; `OSError` if the internal port is taken."""
        self._server = await self._loop.create_server(
            lambda: Link(self._below, self._subscriber.lost_follower, self._subscriber.stranger),
            self._settings.local_ip, self._settings.internal_port,
        )  # fmt: skip

    def _below(self, link: Link, message: list[Any]) -> None:
        try:
            self._subscriber.from_follower(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("control_client: a follower's {!r} can't be read: {}", message[0], problem)
            link.close()

    def _above(self, link: Link, message: list[Any]) -> None:
        try:
            if message[0] == "folio":
                self._configuration_shard(*message[1:])
            else:
                self._subscriber.from_parent(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("control_client: a parent's {!r} can't be read: {}", message[0], problem)
            link.close()

    def _dial_parent(self, name: str, ip: str) -> None:
        async def work() -> None:
            link = None
            try:
                link = await dial(
                    self._above,
                    self._subscriber.lost_parent,
                    ip,
                    self._settings.internal_port,
                    self._settings.local_ip,
                )
            finally:
                self._subscriber.dialled(name, link)

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
            k.name for k in self._controllers.values()
            if k.link is not None and k.link.open and k.warm and self._subscriber.streams[k.name].number >= 0
        }  # fmt: skip
        told = {name: stream.records for name, stream in self._subscriber.streams.items()}
        members = everyone(told, {k.name for k in self._controllers.values() if k.link is not None})
        if not heard:
            members = {**self._members, **members}
        if members != self._members:
            self._members = members
            self._subscriber.members(members)
            self._on_members(members)

    @property
    def heard(self) -> int:
        """How many controllers are heard."""
        return sum(k.link is not None and k.link.open for k in self._controllers.values())

    # The configuration

    def _fetch(self, controller: Controller | None, how: str) -> None:
        if controller is None:
            open_ = [k for k in self._controllers.values() if k.link is not None and k.link.open]
            if not open_:
                return
            controller = self._rng.choice(open_)
        if controller.link is not None:
            self._ask(controller.link, controller.name, how)

    def _ask(self, link: Link, name: str, how: str) -> None:
        self._rid += 1
        self._fetching[self._rid] = (name, self._loop.time() + ASK_S, how == "read")
        link.send(how, self._rid, self._wanted)

    def _version(self, revision: int, link: Link) -> None:
        """There is a configuration of this number: its text is fetched from whoever told so."""
        self._wanted = max(self._wanted, revision)
        if self._wanted > self.revision and not any(not read for _, _, read in self._fetching.values()):
            self._ask(link, str(link.peer), "fetch")

    def _configuration_shard(self, rid: int, revision: int, raw: bytes) -> None:
        asked = self._fetching.pop(rid, None)
        if asked is None or revision < 0:
            return
        self.settled = self.settled or asked[2]
        if revision > self.revision:
            text = expand(raw)  # before anything is noted: what can't be read is fetched again
            self.revision = revision
            if raw:
                self._subscriber.text(revision, raw)
                self._on_configuration(revision, text)

    # Operation keys

    def claim(self, key: str, holder: str, for_s: float, told: Callable[[str, Any], None]) -> None:
        """Claim a key for one try (`OperationKeyClient.claim`)."""
        self.claims.claim(key, holder, for_s, told, self._loop.time())
