"""A node's side of the control state: its lease at the keepers, and the news that comes from them.

It keeps a link to every keeper that it knows of, for its lease and for operation keys, and takes its news
from another node (`branch`) or from the keepers.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from loguru import logger

from athenaeum.accessions import Record, everyone
from athenaeum.boot import Boot
from athenaeum.branch import Branch
from athenaeum.claims import Claims
from athenaeum.wire import Link, dial

RENEW_S = 0.5
QUIET_S = 1.6  # a keeper that answers nothing for so long is not heard
TICK_S = 0.1
ASK_S = 0.4  # for one answer, before another keeper is asked
KEEPERS_MOST = 16


@dataclass(slots=True)
class Keeper:
    """What is known of one keeper."""

    name: str
    link: Link | None = None
    dialling: bool = False
    warm: bool = False
    knows: tuple[int, int] = (0, -1)  # boot and number of the record that it has
    next_dial_s: float = 0.0
    next_renew_s: float = 0.0


class Circulation:
    """All links of one node to the keepers."""

    def __init__(
        self,
        boot: Boot,
        loop: asyncio.AbstractEventLoop,
        on_members: Callable[[dict[str, Record]], None],
        on_folio: Callable[[int, bytes], None],
    ) -> None:
        self._boot, self._loop = boot, loop
        self._on_members, self._on_folio = on_members, on_folio
        self._rng = random.Random()
        self.boot_id = self._rng.randrange(1, 2**53)
        self._keepers: dict[str, Keeper] = {name: Keeper(name) for name in boot.seeds}
        self._seeds = boot.seeds
        self.claims = Claims(boot.seeds, self._send)
        self._branch = Branch(
            boot.name, self.boot_id, boot.zone, loop, self._rng, self._dial_parent, self._look, self._version
        )
        self._members: dict[str, Record] = {}
        self._record: Record | None = None
        self._number = 0
        self._rid = 0
        self.revision = -1  # the newest that this node has
        self._fetching: dict[int, tuple[str, float, bool]] = {}  # by rid: keeper, until when, whether read
        self.settled = False  # it has read a configuration that is as new as any acknowledged at its start
        self._tasks: set[asyncio.Task[Any]] = set()
        self._wanted = 0  # the newest revision that was heard of

    def reseed(self, seeds: tuple[str, ...]) -> None:
        """These keepers are named from outside now; who is known from the group itself stays."""
        self._seeds = seeds
        for name in seeds[:KEEPERS_MOST]:
            self._keepers.setdefault(name, Keeper(name))

    def start(self) -> None:
        """Begin."""
        self._tick()

    # The node's own record

    def publish(self, record: Record) -> None:
        """Tell all keepers this of the node, now and with each new link."""
        self._record = record
        for keeper in self._keepers.values():
            self._renew(keeper)

    def _renew(self, keeper: Keeper) -> None:
        record, link = self._record, keeper.link
        if record is None or link is None or not link.open:
            return
        same = keeper.knows == (record.boot, record.number)
        link.send("renew", record.number, record.name, record.boot, None if same else record.packed())

    # Links

    def _tick(self) -> None:
        self._loop.call_later(TICK_S, self._tick)
        now = self._loop.time()
        for keeper in list(self._keepers.values()):
            link = keeper.link
            if link is not None and link.open:
                if now - link.heard_s > QUIET_S:
                    logger.info("circulation: keeper {} is silent", keeper.name)
                    link.close()
            elif not keeper.dialling and now >= keeper.next_dial_s:
                if keeper.name not in self.claims.names() and keeper.name not in self._seeds:
                    del self._keepers[keeper.name]
                    self._branch.forget(keeper.name)
                    continue
                keeper.dialling, keeper.next_dial_s = True, now + 0.15
                task = self._loop.create_task(self._dial(keeper))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        for at, keeper in enumerate(self._keepers.values()):
            if now >= keeper.next_renew_s:  # in turn: the answers tell soon whether news was missed
                turn = 1.0 if keeper.next_renew_s else 1.0 - at / len(self._keepers)
                keeper.next_renew_s = now + RENEW_S * turn
                self._renew(keeper)
        self._branch.tick()
        for rid, (_, until, _) in list(self._fetching.items()):
            if until < now:
                del self._fetching[rid]
        if (not self.settled or self._wanted > self.revision) and not self._fetching:
            self._fetch(None, "fetch" if self.settled else "read")
        self.claims.tick(now)

    async def _dial(self, keeper: Keeper) -> None:
        try:
            link = await dial(
                self._heard, self._lost, keeper.name, self._boot.internal_port, self._boot.local_ip
            )
            if link is not None:
                link.peer = keeper.name
                keeper.link, keeper.knows, keeper.warm = link, (0, -1), False
                link.send("hello", self._boot.name)
                self._renew(keeper)
                self._branch.up(keeper.name, link)
                if not self.settled:
                    self._fetch(keeper, "read")
                self.claims.linked(keeper.name)
        finally:
            keeper.dialling = False

    def _lost(self, link: Link) -> None:
        keeper = self._keepers.get(link.peer)
        if keeper is not None and keeper.link is link:
            keeper.link = None
            self._branch.down(keeper.name)
            for rid in [rid for rid, asked in self._fetching.items() if asked[0] == keeper.name]:
                del self._fetching[rid]
            self._look()

    def _heard(self, link: Link, message: list[Any]) -> None:
        try:
            self._take(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("circulation: a message {!r} can't be read: {}", message[0], problem)
            link.close()

    def _take(self, link: Link, message: list[Any]) -> None:
        kind, keeper = message[0], self._keepers.get(link.peer)
        if keeper is None or keeper.link is not link:
            return
        if kind == "slip":
            self.claims.hear(keeper.name, *message[1:])
        elif kind == "lease":
            number, known, warm, life, news = message[1:]
            if self._record is not None:
                keeper.knows = (self._record.boot, number) if known else (0, -1)
                if not known:
                    self._renew(keeper)
            self._branch.lease(keeper.name, life, news)
            if warm and not keeper.warm:
                keeper.warm = True
                self._look()
        elif kind == "news":
            self._branch.from_keeper(link, message)
        elif kind == "folio":
            self._folio(*message[1:])
        elif kind == "group":
            part, epoch, names, owner, fence = message[1:]
            self._group(part, epoch, tuple(names), owner, fence)

    def _group(self, part: int, epoch: int, names: tuple[str, ...], owner: str, fence: int) -> None:
        if not self.claims.group(part, epoch, names, owner, fence, self._loop.time()):
            return
        logger.info(
            "circulation: part {}: epoch {}, keepers {}, owner {} under fence {}",
            part, epoch, " ".join(names), owner, fence,
        )  # fmt: skip
        for name in names[:KEEPERS_MOST]:
            self._keepers.setdefault(name, Keeper(name))

    def _send(self, name: str, *message: Any) -> None:
        keeper = self._keepers.get(name)
        if keeper is not None and keeper.link is not None:
            keeper.link.send(*message)

    # The tree of relays

    async def listen(self) -> None:
        """Let other nodes follow this one; `OSError` if the internal port is taken."""
        self._server = await self._loop.create_server(
            lambda: Link(self._below, self._branch.lost_follower, self._branch.stranger),
            self._boot.local_ip, self._boot.internal_port,
        )  # fmt: skip

    def _below(self, link: Link, message: list[Any]) -> None:
        try:
            self._branch.from_follower(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("circulation: a follower's {!r} can't be read: {}", message[0], problem)
            link.close()

    def _above(self, link: Link, message: list[Any]) -> None:
        try:
            if message[0] == "folio":
                self._folio(*message[1:])
            else:
                self._branch.from_parent(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("circulation: a parent's {!r} can't be read: {}", message[0], problem)
            link.close()

    def _dial_parent(self, name: str, ip: str) -> None:
        async def work() -> None:
            link = None
            try:
                link = await dial(
                    self._above, self._branch.lost_parent, ip, self._boot.internal_port, self._boot.local_ip
                )
            finally:
                self._branch.dialled(name, link)

        task = self._loop.create_task(work())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # Members

    def _look(self) -> None:
        """Work out who is there anew.

        A keeper that has just started may not know all yet: it adds nodes, and its silence takes none away.
        """
        heard = {
            k.name for k in self._keepers.values()
            if k.link is not None and k.link.open and k.warm and self._branch.streams[k.name].number >= 0
        }  # fmt: skip
        told = {name: stream.records for name, stream in self._branch.streams.items()}
        members = everyone(told, {k.name for k in self._keepers.values() if k.link is not None})
        if not heard:
            members = {**self._members, **members}
        if members != self._members:
            self._members = members
            self._branch.members(members)
            self._on_members(members)

    @property
    def heard(self) -> int:
        """How many keepers are heard."""
        return sum(k.link is not None and k.link.open for k in self._keepers.values())

    # The configuration

    def _fetch(self, keeper: Keeper | None, how: str) -> None:
        if keeper is None:
            open_ = [k for k in self._keepers.values() if k.link is not None and k.link.open]
            if not open_:
                return
            keeper = self._rng.choice(open_)
        if keeper.link is not None:
            self._ask(keeper.link, keeper.name, how)

    def _ask(self, link: Link, name: str, how: str) -> None:
        self._rid += 1
        self._fetching[self._rid] = (name, self._loop.time() + ASK_S, how == "read")
        link.send(how, self._rid, self._wanted)

    def _version(self, revision: int, link: Link) -> None:
        """There is a configuration of this number: its text is fetched from whoever told so."""
        self._wanted = max(self._wanted, revision)
        if self._wanted > self.revision and not any(not read for _, _, read in self._fetching.values()):
            self._ask(link, str(link.peer), "fetch")

    def _folio(self, rid: int, revision: int, raw: bytes) -> None:
        asked = self._fetching.pop(rid, None)
        if asked is None or revision < 0:
            return
        self.settled = self.settled or asked[2]
        if revision > self.revision:
            self.revision = revision
            if raw:
                self._branch.text(revision, raw)
                self._on_folio(revision, raw)

    # Operation keys

    def claim(self, key: str, holder: str, for_s: float, told: Callable[[str, Any], None]) -> None:
        """Claim a key for one try (`Claims.claim`)."""
        self.claims.claim(key, holder, for_s, told, self._loop.time())
