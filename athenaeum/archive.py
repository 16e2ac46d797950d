"""The keeper of the mesh's state, on core machines: `orchidferry archive`.

It votes on the configuration and on who keeps it, grants operation keys, holds the leases of nodes, and tells
all nodes what changes. What it says was kept is on its disk before it says so. It never waits for its disk.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable
from typing import Any

from loguru import logger

from athenaeum import parts
from athenaeum.boot import Boot
from athenaeum.callslips import Granted, Held, Slip, Slips
from athenaeum.deposit import Deposit, Put, pack
from athenaeum.deposit import unpack as unpack_stored
from athenaeum.desk import Desk
from athenaeum.doors import JSON, Call, ControlDoor, told
from athenaeum.faults import Fault, Kind
from athenaeum.folio import check, digest
from athenaeum.group import Standing
from athenaeum.wire import Link, dial
from nickelbridge.register import Acceptor, Done, Kept, Proposer, Save, Send, Value, Voter
from orchidferry.frontend import Reply

BEAT_S = 0.4  # how often a keeper tells the others that it lives
ALIVE_S = 1.5  # a keeper that was heard within this is alive
DEAD_S = 2.5  # one that was not is dead, as far as this one knows
TICK_S = 0.05
DIAL_S = 0.15
PEEK_S = 0.1  # for voters to say what they have accepted, before they are asked again or a round is run
PEEKS = 20
LEARN_S = 0.15  # what was accepted and isn't known to be decided is looked at after so long
ROUND_MS, BACK_OFF_MS = 300.0, 20.0  # of the register: a round is two round trips and two syncs
PUT_MS, READ_MS = 4_000.0, 3_000.0
BATCH = 200  # keys in one message of repair
RETRY_AFTER_S = 0.2
AGAIN_S = 1.0  # after the disk refused an answer
PAGE_S = 2.0  # for a page of another keeper's keys


class Archive:
    """One keeper."""

    def __init__(self, boot: Boot, loop: asyncio.AbstractEventLoop) -> None:
        self._boot, self._loop, self._name, self._seeds = boot, loop, boot.ip, boot.seeds
        self._rng = random.Random()
        assert boot.data_dir is not None
        self._deposit = Deposit(boot.data_dir, loop)
        kept, caught_up = self._remember()
        self._standing = Standing(caught_up)
        first = parts.genesis(self._founders)
        self._seen = first  # the newest decided state that others were told of
        self._acceptor = Acceptor(self._name, kept, self._object_to)
        # A life's ballots are its own: what an earlier one began and forgot may still be on its way.
        life = f"{self._name} {self._rng.randrange(2**53):x}"
        self._proposer = Proposer(life, first, self._rng, ROUND_MS, BACK_OFF_MS)
        self._founder = kept.memory == parts.GENESIS
        self._clean = True  # what it keeps is on disk as it is in memory
        self._slips = Slips(boot.bounds.key_window_s)
        self._unwritten: dict[str, Slip] = {}  # records that are not surely on disk
        self._load_slips()
        self._desk = Desk(self._name, boot.zone, self._rng.randrange(1, 2**53), loop.time)
        self._began_s = loop.time()
        self._peers: dict[str, Link] = {}  # keepers that this one dialled
        self._dialling: set[str] = set()
        self._dial_s: dict[str, float] = {}  # when each may be dialled again
        self._tasks: set[asyncio.Task[Any]] = set()
        self._heard_s: dict[str, float] = {}  # keepers
        self._asked: dict[str, Callable[[Done | None], None]] = {}
        self._number = 0
        self._readers: list[Callable[[Value | None], None]] = []
        self._reading = False
        self._pages: dict[str, int] = {}  # while catching up: the page that each keeper was asked for
        self._giving: dict[Link, list[str]] = {}  # the keys that a keeper that catches up is given
        self._peeks: dict[int, tuple[Kept, list[parts.Seen], Callable[[Value | None], None]]] = {}
        self._accepted_s = 0.0  # since when something accepted is not known to be decided
        self._door = ControlDoor(
            {"/orchidferry/configuration": self._configuration}, max(64, boot.descriptors // 4)
        )
        self._server: asyncio.Server | None = None

    # Its memory

    def _remember(self) -> tuple[Kept, bool]:
        raw = self._deposit.read("about", b"kept")
        founders = self._deposit.read("about", b"founders")
        self._founders = tuple(unpack_stored(founders)) if founders is not None else self._boot.seeds
        if raw is not None:
            caught = self._deposit.read("about", b"caught") is not None
            return parts.unpack_kept(unpack_stored(raw)), caught
        founder = self._boot.first_start and self._name in self._boot.seeds
        kept = Kept(parts.GENESIS if founder else self._rng.randrange(2, 2**53))
        puts: list[Put] = [
            ("about", b"kept", pack(parts.pack_kept(kept))),
            ("about", b"founders", pack(list(self._founders))),
        ]
        if founder:
            puts.append(("about", b"caught", b"1"))
        self._deposit.write(puts)
        logger.info("archive: a new memory, {}", "as a founder" if founder else "to be filled by others")
        return kept, founder

    def _load_slips(self) -> None:
        for key, raw in self._deposit.all("slips"):
            self._slips.load(key.decode("latin-1"), unpack_stored(raw))

    @property
    def _voter(self) -> Voter:
        return self._acceptor.voter

    @property
    def _known(self) -> Value:
        return self._proposer.known

    @property
    def _epoch(self) -> int:
        return parts.body(self._known).epoch

    def _grants(self, epoch: int) -> bool:
        """Whether this keeper may grant keys under an epoch."""
        return self._standing.grants(epoch, self._voter, self._known, self._acceptor.kept.value)

    # Start and end

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until told to stop."""
        self._server = await self._loop.create_server(
            lambda: Link(self._heard, self._lost), self._boot.ip, self._boot.internal_port, backlog=512
        )
        await self._door.listen(self._loop, self._boot.listen["control"])
        logger.info("archive: serving, epoch {} revision {}", self._epoch, parts.body(self._known).revision)
        beats = 0.0
        while not stopping.is_set():
            now = self._loop.time()
            if now >= beats:
                beats = now + BEAT_S
                self._beat(now)
            self._tick(now)
            try:
                async with asyncio.timeout(TICK_S):
                    await stopping.wait()
            except TimeoutError:
                pass
        logger.info("archive: stopping")
        self._door.close_listener()
        self._server.close()
        self._deposit.close()

    def reread(self, boot: Boot) -> None:
        """The settings file has changed: other keepers may be named there."""
        self._seeds = boot.seeds

    def _keepers(self) -> set[str]:
        return ({v.name for v in self._known.voters} | set(self._seeds)) - {self._name}

    def _beat(self, now: float) -> None:
        for name in self._keepers() | set(self._peers):
            link = self._peers.get(name)
            if link is not None and link.open:
                if now - link.heard_s > DEAD_S:
                    link.close()
                else:
                    link.send("beat", self._name, self._known.version)
        self._join()

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, name: str) -> None:
        try:
            link = await dial(self._heard, self._lost, name, self._boot.internal_port, self._boot.ip)
            if link is not None:
                link.peer = name
                self._peers[name] = link
                link.send("keeper", self._name)
                link.send("beat", self._name, self._known.version)
        finally:
            self._dialling.discard(name)

    def _tick(self, now: float) -> None:
        for name in self._keepers():
            if name not in self._peers and name not in self._dialling and now >= self._dial_s.get(name, 0.0):
                self._dialling.add(name)
                self._dial_s[name] = now + DIAL_S
                self._spawn(self._dial(name))
        self._desk.tick()
        over = self._slips.turn(now)
        if over:
            self._deposit.write([("slips", key.encode("latin-1"), None) for key in over])
        self._turn_proposer()
        wait_s = self._proposer.due_ms / 1000.0 - now
        if wait_s < TICK_S:  # before the next tick
            self._loop.call_later(max(0.002, wait_s), self._turn_proposer)
        undecided = self._acceptor.kept.value is not None and (
            self._acceptor.kept.value.version > self._known.version
        )
        if not undecided:
            self._accepted_s = 0.0
        elif not self._accepted_s:
            self._accepted_s = now
        elif now - self._accepted_s > LEARN_S * (1.0 + self._rng.random()):
            self._accepted_s = now
            self._read(lambda value: None)
        self._catch_up()

    # Links

    def _heard(self, link: Link, message: list[Any]) -> None:
        try:
            self._take(link, message)
        except (ValueError, TypeError, KeyError, IndexError) as problem:
            logger.warning("archive: a message {!r} can't be read: {}", message[0], problem)
            link.close()

    def _lost(self, link: Link) -> None:
        self._desk.lost(link)
        self._giving.pop(link, None)
        if self._peers.get(link.peer) is link:
            del self._peers[link.peer]

    def _take(self, link: Link, message: list[Any]) -> None:
        kind = message[0]
        if kind == "claim":
            self._claim(link, *message[1:])
        elif kind == "done":
            self._done(*message[1:])
        elif kind == "drop":
            self._drop(*message[1:])
        elif kind == "renew":
            self._desk.renew(link, *message[1:])
        elif kind == "since":
            self._desk.since(link, *message[1:])
        elif kind == "follow":
            self._desk.follow(link, *message[1:])
        elif kind == "unfollow":
            self._desk.unfollow(link)
        elif kind == "beat":
            name, version = message[1:]
            self._heard_s[name] = self._loop.time()
            link.send("pulse")
            if version < self._known.version:
                link.send("know", parts.pack_value(self._known))
        elif kind == "reg":
            self._register(link, message[1], parts.unpack_message(message[2]))
        elif kind == "know":
            value = parts.unpack_value(message[1])
            if value is not None:
                self._learn(value)
        elif kind == "hello":
            self._desk.hello(link, message[1])
            self._tell_group(link)
        elif kind == "read":
            rid = message[1]
            self._read(lambda value: self._tell_folio(link, rid, value))
        elif kind == "peek":
            self._tell_peek(link, *message[1:])
        elif kind == "peeked":
            number, (name, memory), accepted, packed = message[1:]
            seen = parts.Seen(Voter(name, memory), tuple(accepted), parts.unpack_value(packed))
            self._peeked(number, seen)
        elif kind == "fetch":
            self._tell_folio(link, message[1], self._known)
        elif kind == "keeper":
            link.peer = message[1]
        elif kind == "join":
            self._admit(message[1], message[2])
        elif kind == "slips?":
            self._give_slips(link, *message[1:])
        elif kind == "slips":
            self._take_slips(*message[1:])

    # Nodes

    def _tell_group(self, link: Link | None = None) -> None:
        self._desk.tell_group(self._epoch, [v.name for v in self._known.voters], link)

    def _tell_folio(self, link: Link, rid: int, value: Value | None) -> None:
        if value is None:
            self._desk.tell_folio(link, rid, -1, b"")
        else:
            self._desk.tell_folio(link, rid, parts.body(value).revision, parts.body(value).raw)

    # Operation keys

    def _claim(self, link: Link, rid: int, epoch: int, key: str, holder: str) -> None:
        if not self._grants(epoch):
            if epoch != self._epoch:
                self._tell_group(link)
            return link.send("slip", rid, epoch, "wait", None)
        outcome, new = self._slips.claim(key, holder)
        if isinstance(outcome, Held):
            return link.send("slip", rid, epoch, "held", outcome.answer)
        if not isinstance(outcome, Granted):
            return link.send("slip", rid, epoch, "wait", None)
        slip = self._slips.slips[key]
        if new is None and self._unwritten.get(key) is not slip:
            return link.send("slip", rid, epoch, "yours", None)
        self._unwritten[key] = slip

        def told(done: bool) -> None:
            if not done:
                return
            if self._unwritten.get(key) is slip:
                del self._unwritten[key]
            # While the disk was at work the key may have been given back, or the group have changed.
            mine = self._slips.slips.get(key) is slip and slip.holder == holder
            link.send("slip", rid, epoch, "yours" if mine and self._grants(epoch) else "wait", None)

        self._deposit.write([("slips", key.encode("latin-1"), pack(slip.packed()))], told)

    def _done(self, key: str, holder: str, answer: Any) -> None:
        slip = self._slips.done(key, holder, answer)
        if slip is not None:
            self._keep_answer(key, slip)

    def _keep_answer(self, key: str, slip: Slip) -> None:
        """Write an answer, and again after a while if the disk refused it."""

        def told(done: bool) -> None:
            if not done and self._slips.slips.get(key) is slip:
                self._loop.call_later(AGAIN_S, self._keep_answer, key, slip)

        self._deposit.write([("slips", key.encode("latin-1"), pack(slip.packed()))], told)

    def _drop(self, key: str, holder: str) -> None:
        if self._slips.drop(key, holder):
            self._unwritten.pop(key, None)
            self._deposit.write([("slips", key.encode("latin-1"), None)])

    # The register: the configuration, and the group

    def _object_to(self, intent: Any) -> str:
        """Nobody is put out of the group who is alive as far as this keeper sees."""
        name = intent[1] if isinstance(intent, list) and len(intent) == 2 else ""
        alive = name == self._name or self._loop.time() - self._heard_s.get(name, -DEAD_S) < ALIVE_S
        return parts.ALIVE if name and alive else ""

    def _register(self, link: Link, sender: str, message: Any) -> None:
        if hasattr(message, "promised"):
            self._act(self._proposer.handle(message, self._loop.time() * 1000.0))
        else:
            self._vote(sender, message, lambda reply: link.send("reg", self._name, parts.pack_message(reply)))

    def _vote(self, sender: str, message: Any, reply: Callable[[Any], None]) -> None:
        replies = []
        save = not self._clean
        for action in self._acceptor.handle(message, sender):
            if isinstance(action, Save):
                save = True
            elif isinstance(action, Send):
                replies.append(action.message)
        if not save:
            for answer in replies:
                reply(answer)
            return
        self._clean = False
        kept = self._acceptor.kept

        def told(done: bool) -> None:
            if done:
                if kept is self._acceptor.kept:
                    self._clean = True
                for answer in replies:
                    reply(answer)

        self._deposit.write([("about", b"kept", pack(parts.pack_kept(kept)))], told)

    def _act(self, actions: list[Any]) -> None:
        for action in actions:
            if isinstance(action, Send):
                if action.to == self._name:
                    self._loop.call_soon(self._vote_myself, action.message)
                elif (link := self._peers.get(action.to)) is not None:
                    link.send("reg", self._name, parts.pack_message(action.message))
            elif isinstance(action, Done):
                if action.value.version > self._seen.version:  # before anybody is answered
                    for link in self._peers.values():
                        link.send("know", parts.pack_value(action.value))
                self._learn(action.value)
                told = self._asked.pop(action.id, None)
                if told is not None:
                    told(action)

    def _turn_proposer(self) -> None:
        """Go on with what is due."""
        now_ms = self._loop.time() * 1000.0
        if self._proposer.due_ms <= now_ms:
            self._act(self._proposer.tick(now_ms))

    def _vote_myself(self, message: Any) -> None:
        self._vote(
            self._name,
            message,
            lambda reply: self._act(self._proposer.handle(reply, self._loop.time() * 1000.0)),
        )

    def _ask(
        self, change: parts.Change, for_ms: float, told: Callable[[Done | None], None], intent: Any = None
    ) -> None:
        """Have the state changed; `told` hears of it once, with None if nothing is known in time."""
        if not self._founder and not self._known.version:
            self._loop.call_soon(told, None)  # it knows of no group yet
            return
        self._number += 1
        id = str(self._number)
        self._asked[id] = told
        self._loop.call_later(for_ms / 1000.0 + 0.05, self._give_up, id)
        self._act(self._proposer.ask(id, change, self._loop.time() * 1000.0, for_ms, intent))

    def _give_up(self, id: str) -> None:
        told = self._asked.pop(id, None)
        if told is not None:
            told(None)

    def _read(self, told: Callable[[Value | None], None]) -> None:
        """The newest state for sure; those that ask while a round is out share the next one."""
        self._readers.append(told)
        if not self._reading:
            self._next_read()

    def _next_read(self) -> None:
        waiting, self._readers = self._readers, []
        self._reading = bool(waiting)
        if not waiting:
            return

        def done(value: Value | None) -> None:
            for waiter in waiting:
                waiter(value)
            self._next_read()

        self._peek(done)

    def _peek(self, done: Callable[[Value | None], None], again: int = PEEKS) -> None:
        """Look at what the voters have accepted; where that settles nothing, run a round."""
        self._number += 1
        number, kept = self._number, self._acceptor.kept
        self._peeks[number] = (kept, [], done)
        for name in self._keepers():
            link = self._peers.get(name)
            if link is not None:
                link.send("peek", number, list(kept.accepted))
        self._loop.call_later(PEEK_S, self._peek_over, number, again)
        if self._clean:
            self._peeked(number, parts.Seen(self._voter, kept.accepted, None))

    def _tell_peek(self, link: Link, number: int, has: list[Any]) -> None:
        kept = self._acceptor.kept
        if self._clean:
            value = None if tuple(has) == kept.accepted else parts.pack_value(kept.value)
            voter = [self._name, kept.memory]
            link.send("peeked", number, voter, list(kept.accepted), value)

    def _peeked(self, number: int, seen: parts.Seen) -> None:
        asked = self._peeks.get(number)
        if asked is None:
            return
        kept, all_, done = asked
        all_.append(seen)
        first = self._proposer.known if self._founder and not self._proposer.known.version else None
        value = parts.stands(all_, kept.value, kept.accepted, first)
        if value is not None:
            del self._peeks[number]
            self._learn(value)
            done(self._known)

    def _peek_over(self, number: int, again: int) -> None:
        asked = self._peeks.pop(number, None)
        if asked is None:
            return
        if 2 * len(asked[1]) > len(self._known.voters):  # enough have answered, and differ
            self._ask(parts.read, READ_MS, lambda end: asked[2](end.value if end is not None else None))
        elif again:
            self._peek(asked[2], again - 1)
        else:
            asked[2](None)

    def _learn(self, value: Value) -> None:
        """A state that was decided."""
        self._proposer.learn(value)
        old, value = self._seen, self._known
        if value.version <= old.version:
            return
        self._seen = value
        logger.info(
            "archive: version {}, epoch {}, revision {}",
            value.version, parts.body(value).epoch, parts.body(value).revision,
        )  # fmt: skip
        if parts.body(value).epoch != parts.body(old).epoch:
            self._tell_group()
        if parts.body(value).revision != parts.body(old).revision:
            self._desk.revise(parts.body(value).revision)

    # The group

    def _join(self) -> None:
        """Ask for a place, where this keeper has none."""
        if self._voter in self._known.voters:
            return
        if self._standing.caught_up:  # it missed what was granted without it, and must not say otherwise
            if self._standing.put_out(self._voter, self._known, self._acceptor.kept.value):
                self._deposit.write([("about", b"caught", None)], self._put_out)
            return
        for link in self._peers.values():
            link.send("join", self._name, self._voter.memory)

    def _admit(self, name: str, memory: int) -> None:
        """Another keeper asks for a place in the group."""
        joiner, now = Voter(name, memory), self._loop.time()
        self._heard_s[name] = now
        if self._voter not in self._known.voters or joiner in self._known.voters:
            return
        if any(asked.startswith("admit") for asked in self._asked):
            return
        names = [v.name for v in self._known.voters]
        dead = [n for n in names if n != self._name and now - self._heard_s.get(n, self._began_s) > DEAD_S]
        instead = name if name in names else dead[0] if dead else ""
        if not instead:
            return
        logger.info("archive: {} asks for a place, instead of {}", name, instead)
        id = f"admit {name} {memory}"
        self._asked[id] = lambda end: None
        self._loop.call_later(2.0, self._give_up, id)
        intent = None if instead == name else ["replace", instead]
        change = parts.admit(joiner, instead, len(names))
        self._act(self._proposer.ask(id, change, now * 1000.0, 1_900.0, intent))

    def _put_out(self, done: bool) -> None:
        if done:
            logger.info("archive: put out of the group")
            self._standing = Standing(False)

    def _catch_up(self) -> None:
        """A keeper that has forgotten learns all keys from enough others before it grants any."""
        for name in self._standing.to_ask(self._voter, self._known, self._acceptor.kept.value):
            link = self._peers.get(name)
            if link is not None and link.open:
                self._standing.sources[name] = False
                self._ask_page(name, 0)

    def _ask_page(self, name: str, at: int) -> None:
        """Ask for the next keys; what comes is on disk before more is asked for."""
        link = self._peers.get(name)
        if link is None or self._standing.sources.get(name) is not False:
            return self._standing.forget_source(name)
        self._pages[name] = at
        link.send("slips?", self._epoch, at)
        self._loop.call_later(PAGE_S, self._page_over, name, at)

    def _page_over(self, name: str, at: int) -> None:
        if self._pages.get(name) == at:
            del self._pages[name]
            self._standing.forget_source(name)

    def _give_slips(self, link: Link, epoch: int, at: int) -> None:
        if not self._grants(epoch):
            return
        if not at:  # what is claimed from now on is claimed without the one that asks
            self._giving[link] = list(self._slips.slips)
        keys = self._giving.get(link, [])
        page = [key for key in keys[at : at + BATCH] if key in self._slips.slips]
        last = at + BATCH >= len(keys)
        if last:
            self._giving.pop(link, None)
        rows = [[key, self._slips.slips[key].packed()] for key in page]
        link.send("slips", self._name, epoch, at, rows, last)

    def _take_slips(self, name: str, epoch: int, at: int, rows: list[Any], last: bool) -> None:
        if self._standing.caught_up or epoch != self._epoch or self._pages.get(name) != at:
            return
        del self._pages[name]
        puts: list[Put] = []
        for key, packed in rows:
            self._slips.load(key, packed)
            puts.append(("slips", key.encode("latin-1"), pack(self._slips.slips[key].packed())))

        def told(done: bool) -> None:
            if not done:
                return self._standing.forget_source(name)
            if not last:
                return self._ask_page(name, at + BATCH)
            if name in self._standing.sources:
                self._standing.sources[name] = True
            self._see_whether_caught_up()

        self._deposit.write(puts or [("about", b"catching", b"1")], told)

    def _see_whether_caught_up(self) -> None:
        standing = self._standing
        if not standing.enough(self._known):
            return

        def told(done: bool) -> None:
            if done:
                standing.caught_up = True
                logger.info("archive: caught up with {} keys", len(self._slips.slips))
            else:
                self._loop.call_later(0.5, self._see_whether_caught_up)

        self._deposit.write([("about", b"caught", b"1")], told)

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

        def done(end: Done | None) -> None:
            if end is None:
                return answer(told(Fault(Kind.LATE, "no majority of keepers answered"), RETRY_AFTER_S))
            if end.why:
                kind = Kind.OLD_VERSION if end.why == parts.OLD_VERSION else Kind.OTHER_VERSION
                return answer(told(Fault(kind, f"{parts.body(end.value).revision} is current")))
            body = json.dumps({"revision_number": found.revision}).encode()
            answer(Reply(200, body, JSON))

        self._ask(parts.put(call.body, found.revision, mark, int(on)), PUT_MS, done)
