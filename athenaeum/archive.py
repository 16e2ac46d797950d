"""The keeper of the mesh's state, on core machines: `orchidferry archive`.

It runs one `Part` (athenaeum/holding.py) of each part of the state: it votes on the configuration and on who
keeps what, grants operation keys, does the duties of the parts that it owns, holds the leases of nodes, and
tells all nodes what changes. What it says was kept is on its disk before it says so. It never waits for its
disk.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from loguru import logger

from athenaeum import parts
from athenaeum.allowance import Allowances
from athenaeum.boot import Boot
from athenaeum.callslips import MOST
from athenaeum.deposit import Deposit, Put, pack
from athenaeum.deposit import unpack as unpack_stored
from athenaeum.desk import Desk
from athenaeum.doors import JSON, Call, ControlDoor, told
from athenaeum.faults import Fault, Kind
from athenaeum.folio import check, digest
from athenaeum.holding import Part, remembered
from athenaeum.seat import DEAD_S, Action, Answer, Changed, Ended, Note, Peers, Tell, Write
from athenaeum.wire import Link, dial
from nickelbridge.register import Kept, Value
from orchidferry.frontend import Reply

BEAT_S = 0.4  # how often a keeper tells the others that it lives
BEATS_MOST = 16  # that may be acknowledged yet
TICK_S = 0.05
DIAL_S = 0.15
PUT_S = 4.0
KEEPERS_MOST = 64
RETRY_AFTER_S = 0.2
STOP_S = 1.0  # after SIGTERM, for calls that are under way and for others to take over duties


class Archive:
    """One keeper."""

    def __init__(self, boot: Boot, loop: asyncio.AbstractEventLoop) -> None:
        self._boot, self._loop, self._name, self._seeds = boot, loop, boot.ip, boot.seeds
        self._rng = random.Random()
        assert boot.data_dir is not None
        self._deposit = Deposit(boot.data_dir, loop)
        self._began_s = loop.time()
        self._known_peers = Peers(self._began_s)
        self._parts: dict[int, Part] = {}
        self._remember()
        self._load_slips()
        self._desk = Desk(self._name, boot.zone, self._rng.randrange(1, 2**53), loop)
        bounds = boot.bounds
        self._allowances = Allowances(bounds.retry_slack, bounds.retry_window_s, self._owner_fence)
        self._peers: dict[str, Link] = {}  # keepers that this one dialled,
        self._callers: dict[str, Link] = {}  # and that dialled it: also those that it knows of no other way
        self._dialling: set[str] = set()
        self._dial_s: dict[str, float] = {}  # when each may be dialled again
        self._tasks: set[asyncio.Task[Any]] = set()
        self._waiting: dict[str, Callable[[Ended], None]] = {}  # for changes and readings
        self._number = 0
        self._beats: dict[int, float] = {}  # when each was sent
        self._door = ControlDoor(
            {"/orchidferry/configuration": self._configuration}, max(64, boot.descriptors // 4)
        )
        self._server: asyncio.Server | None = None
        self._stopping = False

    # Its memory

    def _remember(self) -> None:
        """What each part had promised and accepted; a new memory where there is none."""
        boot, read = self._boot, self._deposit.read
        founders = read("about", b"founders")
        names = tuple(unpack_stored(founders)) if founders is not None else boot.seeds
        founder = boot.first_start and self._name in boot.seeds
        new = founders is None
        puts: list[Put] = [("about", b"founders", pack(list(names)))] if new else []
        for number in parts.PARTS:
            raw = read("about", f"kept/{number}".encode())
            caught = founder if new else read("about", f"caught/{number}".encode()) is not None
            if raw is not None:
                kept = parts.unpack_kept(unpack_stored(raw))
            else:
                kept = Kept(parts.GENESIS if new and founder else self._rng.randrange(2, 2**53))
                puts += remembered(number, kept, caught)
            self._parts[number] = Part(
                number, self._name, parts.genesis(names), kept, caught, self._known_peers,
                boot.bounds.key_window_s, self._rng, MOST // len(parts.KEY_PARTS),
            )  # fmt: skip
        if puts:
            self._deposit.write(puts)
            logger.info("archive: a new memory, {}", "as a founder" if founder else "to be filled by others")

    def _load_slips(self) -> None:
        for raw, packed in self._deposit.all("slips"):
            key = raw.decode("latin-1")
            self._parts[parts.part_of(key)].load(key, unpack_stored(packed))

    def _owner_fence(self, service: str, now: float) -> int | None:
        """The fence under which this keeper does the duties for a service now; None if it doesn't."""
        return self._parts[parts.part_of(service)].owns(now)

    @property
    def _folio(self) -> Part:
        return self._parts[parts.FOLIO]

    # Start and end

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until told to stop; then let others take over, and end."""
        self._server = await self._loop.create_server(
            lambda: Link(self._heard, self._lost), self._boot.local_ip, self._boot.internal_port, backlog=512
        )
        await self._door.listen(self._loop, self._boot.door("control"))
        for number, part in self._parts.items():
            logger.info(
                "archive: part {} with epoch {} at version {}", number, part.body.epoch, part.known.version
            )
        self._mind_fitness()
        await self._turn_until(stopping, float("inf"))
        logger.info("archive: stopping")
        self._door.close_listener()
        self._stopping = True
        self._mind_fitness()
        await self._turn_until(asyncio.Event(), self._loop.time() + STOP_S)
        self._server.close()
        self._deposit.close()
        logger.info("archive: stopped")

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
        """A keeper whose disk ails, that has forgotten, or that ends, does no duties: others hear at once."""
        knows = all(part.standing.caught_up for part in self._parts.values())
        fit = knows and not self._deposit.ailing and not self._stopping
        if fit is not self._known_peers.fit:
            self._known_peers.fit = fit
            self._beat()

    def reread(self, boot: Boot) -> None:
        """The settings file has changed: other keepers may be named there."""
        self._seeds = boot.seeds

    def _keepers(self) -> set[str]:
        voters = {v.name for part in self._parts.values() for v in part.known.voters}
        return (voters | set(self._seeds)) - {self._name}

    def _beat(self) -> None:
        """Tell the other keepers that this one lives; its duties rest on their acknowledgement."""
        now = self._loop.time()
        self._number += 1
        self._beats[self._number] = now
        if len(self._beats) > BEATS_MOST:
            del self._beats[next(iter(self._beats))]
        versions = [self._parts[n].known.version for n in parts.PARTS]
        for link in list(self._peers.values()):
            if link.open:
                if now - link.heard_s > DEAD_S:
                    link.close()
                else:
                    link.send("beat", self._name, self._number, self._known_peers.fit, versions)

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, name: str) -> None:
        try:
            link = await dial(self._heard, self._lost, name, self._boot.internal_port, self._boot.local_ip)
            if link is not None:
                link.peer = name
                self._peers[name] = link
                link.send("keeper", self._name)
                self._beat()
        finally:
            self._dialling.discard(name)

    def _tick(self, now: float) -> None:
        for name in self._keepers():
            if name not in self._peers and name not in self._dialling and now >= self._dial_s.get(name, 0.0):
                self._dialling.add(name)
                self._dial_s[name] = now + DIAL_S
                self._spawn(self._dial(name))
        self._desk.tick()
        self._mind_fitness()
        for part in self._parts.values():
            self._turn(part)

    def _turn(self, part: Part) -> None:
        """Go on with what is due in a part; once more before the next tick, where that is sooner."""
        now = self._loop.time()
        self._do(part, part.tick(now))
        wait_s = part.due_s - now
        if wait_s < TICK_S:
            self._loop.call_later(max(0.002, wait_s), self._turn_due, part)

    def _turn_due(self, part: Part) -> None:
        now = self._loop.time()
        if part.due_s <= now:
            self._do(part, part.tick(now))

    # What the parts want done

    def _do(self, part: Part, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Tell():
                    link = self._peers.get(action.to) or self._callers.get(action.to)
                    if link is not None:
                        link.send(*action.message)
                case Answer():
                    action.to.send(*action.message)
                case Write():
                    self._write(part, action)
                case Changed():
                    self._changed(part, action.old, action.new)
                case Ended():
                    told = self._waiting.pop(action.id, None)
                    if told is not None:
                        told(action)
                case Note():
                    logger.info("archive: part {}: {}", part.number, action.text)

    def _write(self, part: Part, write: Write) -> None:
        then = write.then
        if then is None:
            return self._deposit.write(write.puts)
        self._deposit.write(
            write.puts, lambda done: self._do(part, part.written(then, done, self._loop.time()))
        )

    def _changed(self, part: Part, old: Value, new: Value) -> None:
        was, now = parts.body(old), parts.body(new)
        logger.info(
            "archive: part {} is at version {}, epoch {}, revision {}, owner {} under fence {}",
            part.number, new.version, now.epoch, now.revision, now.owner, now.fence,
        )  # fmt: skip
        if (now.epoch, now.fence) != (was.epoch, was.fence):
            self._tell_group(part)
        if now.revision != was.revision:
            self._desk.revise(now.revision)

    def _wait_for(self, told: Callable[[Ended], None]) -> str:
        self._number += 1
        id = str(self._number)
        self._waiting[id] = told
        return id

    def _read(self, told: Callable[[Value | None], None]) -> None:
        """The newest configuration for sure."""
        id = self._wait_for(lambda end: told(end.value))
        self._do(self._folio, self._folio.read(id, self._loop.time()))

    # Links

    def _heard(self, link: Link, message: list[Any]) -> None:
        try:
            self._take(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("archive: a message {!r} can't be read: {}", message[0], problem)
            link.close()

    def _lost(self, link: Link) -> None:
        self._desk.lost(link)
        for links in (self._peers, self._callers):
            if links.get(link.peer) is link:
                del links[link.peer]

    def _take(self, link: Link, message: list[Any]) -> None:
        kind, now = message[0], self._loop.time()
        if kind == "claim":
            rid, under, key, holder = message[1:]
            part = self._parts[parts.part_of(key)]
            self._do(part, part.claim(link, rid, under, key, holder, self._deposit.room, now))
            if under != part.body.epoch:
                self._tell_group(part, link)
        elif kind == "done":
            key, holder, answer = message[1:]
            part = self._parts[parts.part_of(key)]
            self._do(part, part.done(key, holder, answer, now))
        elif kind == "drop":
            key, holder = message[1:]
            part = self._parts[parts.part_of(key)]
            self._do(part, part.drop(key, holder, now))
        elif kind == "share?":
            service, node, life, number, used, wanted, held, fence = message[1:]
            share = self._allowances.handle(
                service, node, life, number, used, wanted, held, fence, now
            )  # fmt: skip
            if share is not None:
                link.send(*share)
        elif kind == "renew":
            self._desk.renew(link, *message[1:])
        elif kind == "since":
            self._desk.since(link, *message[1:])
        elif kind == "follow":
            self._desk.follow(link, *message[1:])
        elif kind == "unfollow":
            self._desk.unfollow(link)
        elif kind == "part":
            part = self._parts[message[1]]
            self._do(part, part.heard(link, message[2:], now))
        elif kind == "beat":
            self._heard_beat(link, *message[1:])
        elif kind == "pulse":
            name, number, fences = message[1:]
            sent_s = self._beats.get(number)
            if sent_s is not None:
                for part, fence in zip(self._parts.values(), fences, strict=True):
                    part.pulse(name, sent_s, fence)
        elif kind == "hello":
            self._desk.hello(link, message[1])
            for part in self._parts.values():
                self._tell_group(part, link)
        elif kind == "read":
            rid = message[1]
            self._read(lambda value: self._tell_folio(link, rid, value))
        elif kind == "fetch":
            self._tell_folio(link, message[1], self._folio.known)
        elif kind == "keeper":
            link.peer = str(message[1])
            self._callers[link.peer] = link

    def _heard_beat(self, link: Link, name: str, number: int, fit: bool, versions: list[int]) -> None:
        known = self._known_peers
        if name not in known.heard_s and len(known.heard_s) >= KEEPERS_MOST:
            del known.heard_s[min(known.heard_s, key=lambda n: known.heard_s[n])]
        known.heard_s[name] = self._loop.time()
        (known.unfit.discard if fit else known.unfit.add)(name)
        link.send("pulse", self._name, number, [p.accepted_fence for p in self._parts.values()])
        for part, version in zip(self._parts.values(), versions, strict=True):
            self._do(part, part.catch(version, name))

    # Nodes

    def _tell_group(self, part: Part, link: Link | None = None) -> None:
        own = part.body
        names = [v.name for v in part.known.voters]
        self._desk.tell_group(["group", part.number, own.epoch, names, own.owner, own.fence], link)

    def _tell_folio(self, link: Link, rid: int, value: Value | None) -> None:
        if value is None:
            self._desk.tell_folio(link, rid, -1, b"")
        else:
            self._desk.tell_folio(link, rid, parts.body(value).revision, parts.body(value).raw)

    # The operator's calls

    def _configuration(self, call: Call, rest: str, answer: Callable[[Any], None]) -> None:
        """The one resource here."""
        if rest:
            return answer(told(Fault(Kind.UNKNOWN, rest[:80])))
        if call.method == b"GET":

            def got(value: Value | None) -> None:
                if value is None:
                    answer(told(Fault(Kind.NO_MAJORITY), RETRY_AFTER_S))
                elif not parts.body(value).revision:
                    answer(told(Fault(Kind.UNKNOWN, "there is no configuration yet")))
                else:
                    answer(Reply(200, parts.body(value).raw, JSON))

            return self._read(got)
        if call.method != b"PUT":
            return answer(told(Fault(Kind.UNREADABLE, "PUT or GET")))
        on = call.headers.get(b"if-match", b"").strip(b' "')
        if not on.isdigit():
            return answer(told(Fault(Kind.UNREADABLE, "If-Match: a version is needed")))
        found = check(call.body)
        if isinstance(found, Fault):
            logger.info("folio: refused, {}", found.line)
            return answer(told(found))
        mark = digest(call.body)

        def done(end: Ended) -> None:
            if end.value is None:
                return answer(told(Fault(Kind.LATE, "no majority of keepers answered"), RETRY_AFTER_S))
            if end.why:
                kind = Kind.OLD_VERSION if end.why == parts.OLD_VERSION else Kind.OTHER_VERSION
                return answer(told(Fault(kind, f"{parts.body(end.value).revision} is current")))
            body = json.dumps({"revision_number": found.revision}).encode()
            answer(Reply(200, body, JSON))

        change = parts.Put(call.body, found.revision, mark, int(on))
        folio, id = self._folio, self._wait_for(done)
        self._do(folio, folio.ask(id, change, PUT_S, self._loop.time()))
