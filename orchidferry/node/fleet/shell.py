"""The I/O of a fleet's member: sockets, timers, disk and journal for `orchidferry.balancing.fleet`.

Its cost is bounded: datagrams that are read in one iteration of the event loop and in a second, datagrams
that are sent, state exchanges at once, and the time of each. Messages that can't be used are counted by kind,
and logged once a minute. No request waits for anything here.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import logging
import logging.handlers
import random
import secrets
import socket
import struct
from collections import Counter
from collections.abc import Callable
from typing import Any

from orchidferry.balancing.fleet import messages as api
from orchidferry.balancing.fleet.members import Entry, Phase
from orchidferry.balancing.fleet.membership import Membership, SavedState
from orchidferry.balancing.token_bucket import RateLimiter
from orchidferry.node.address import Address
from orchidferry.node.admin_server import PageHandler
from orchidferry.node.clock import now_ms
from orchidferry.node.config import ConfigError
from orchidferry.node.fleet import wire
from orchidferry.node.fleet.journal import Journal, describe
from orchidferry.node.fleet.saved_state import FORM
from orchidferry.node.fleet.settings import Setup, read_key_file
from orchidferry.node.fleet.wire import MAX_DATAGRAM, DatagramError, Sealer
from orchidferry.node.incremental import run_cooperatively
from orchidferry.node.state_store import StateLockedError, StateStore

# A datagram takes some 40 microseconds to read, so a flood takes a tenth of a core and delays nothing by over
# 1 ms; a node in a fleet of 1,000 gets some 30 a second.
READ_AT_ONCE = 16
READ_PER_S = 2_500.0
READ_PAUSE_S = 0.02
SEND_PER_S = 500.0
SEND_AT_ONCE = 1_000.0
MAX_ENTRY = 400  # bytes of an entry in a view

MAX_INCOMING = 8  # state exchanges that peers have begun
MAX_OUTGOING = 4  # state exchanges that this node has begun
EXCHANGE_S = 2.0  # for one, from its first byte to its last

PHASE_CHECK_S = 0.25  # how often the node's own phase is checked
KEYS_CHECK_S = 2.0  # how often the file with the keys is checked
SAVE_DELAY_S = 1.0  # changes within that time are saved together
LOG_INTERVAL_S = 60.0  # of a kind of message that can't be used
LEAVE_S = 0.2  # for the announcement of a planned end, which is sent three times
LENGTH = struct.Struct(">I")

log = logging.getLogger("orchidferry")


class FleetMember:
    """This node as a member of the fleet."""

    def __init__(
        self, setup: Setup, loop: asyncio.AbstractEventLoop, rng: random.Random | None = None
    ) -> None:
        """:raises ConfigError: if the keys, the state or the journal can't be used."""
        self._setup = setup
        self._loop = loop
        self.where = setup.listen
        self._sealer = Sealer(read_key_file(setup.keys))
        self._keys_version = self._key_file_version()
        self._store: StateStore[SavedState] | None = None
        self._saved = ""  # why the state could not be saved the last time
        saved = self._load()
        self._journal = self._open_journal()
        self.fleet = self._make_membership(saved, rng or random.Random(secrets.randbits(64)))
        self._ready: Callable[[], bool] = lambda: False
        self._leaving = False
        self._udp: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._reading = False
        self._connections = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._read_credit = RateLimiter(READ_PER_S, READ_PER_S / 5.0)
        self._send_credit = RateLimiter(SEND_PER_S, SEND_AT_ONCE)
        self._key_of: dict[Address, bytes] = {}  # key of each peer that does not use this node's first one
        self._handling = False
        self._events: list[tuple[api.Event, list[api.Message] | None]] = []
        self.counts: Counter[str] = Counter()
        self._logged_s: dict[str, float] = {}

    def _open_journal(self) -> Journal | None:
        if self._setup.journal is None:
            return None
        try:
            return Journal(self._setup.journal)
        except OSError as problem:
            raise ConfigError(f"can't write the fleet's journal: {problem}") from None

    def _make_membership(self, saved: SavedState | None, rng: random.Random) -> Membership:
        """Begin a new incarnation, which knows the peers of the last one."""
        setup = self._setup
        me = Entry(
            setup.name,
            *setup.advertise,
            secrets.randbits(64) | 1,
            saved.incarnation + 1 if saved else 0,
            zone=setup.zone,
            version=setup.version,
        )
        seeds = (*setup.seeds, *(saved.peers if saved else ()))
        return Membership(me, seeds, rng, setup.timing, setup.max_nodes)

    # For the node

    def attach(self, ready: Callable[[], bool]) -> None:
        """Take the node's readiness check."""
        self._ready = ready

    async def listen(self) -> Address:
        """Open the sockets.

        :returns: the address, with the port that was chosen for port 0.
        :raises OSError: if they can't be opened.
        """
        host, port = self._setup.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        udp = socket.socket(family, socket.SOCK_DGRAM)
        try:
            udp.setblocking(False)
            udp.bind((host, port))
            where = udp.getsockname()[:2]
            self._server = await asyncio.start_server(self._serve, host, where[1], limit=64 * 1024)
        except OSError:
            udp.close()
            raise
        self._udp = udp
        return str(where[0]), int(where[1])

    def start(self) -> None:
        """Join the fleet."""
        self._record(None, self.fleet.me, self.fleet.me.name)
        self._start_reading()
        self.handle(api.Start())
        self._every("phase", PHASE_CHECK_S, self._check_phase)
        self._every("keys", KEYS_CHECK_S, self._check_keys)

    def count(self) -> int:
        """Return the largest number of sockets that may be in use now."""
        return 2 + self._connections + MAX_OUTGOING

    def leaving(self) -> None:
        """Learn that the node begins to shut down."""
        self._leaving = True
        self._check_phase()

    async def close(self) -> None:
        """Announce the node's end, and leave."""
        for timer in self._timers.values():
            timer.cancel()
        self.handle(api.Leave())
        self._record(None, self.fleet.me, self.fleet.me.name)
        if self.fleet.size > 1:
            await asyncio.sleep(LEAVE_S)
        if self._timer is not None:
            self._timer.cancel()
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()
        if self._udp is not None:
            self._loop.remove_reader(self._udp)
            self._udp.close()
            self._udp = None
        if self._store is not None:
            if line := self._store.save(self.fleet.saved_state):
                log.warning("fleet: %s", line)
            self._store.close()
        if self._journal is not None:
            self._journal.close()

    def pages(self) -> dict[bytes, PageHandler]:
        """Return its page on the admin server."""
        return {b"/-/fleet": self.page}

    def page(self) -> tuple[int, bytes]:
        """Return what this node knows of the fleet, as JSON."""
        fleet = self.fleet
        now = now_ms()
        members = []
        for name, entry in sorted(fleet.members.items()):
            since_ms, by = fleet.since.get(name, (now, ""))
            members.append(describe(entry) | {"for_s": round((now - since_ms) / 1000.0, 3), "word_of": by})
        state = (
            "left"
            if fleet.left
            else "contested"
            if fleet.contested
            else "joined"
            if fleet.joined
            else "alone"
        )
        found = {
            "format": 1,
            "self": describe(fleet.me),
            "state": state,
            "score": fleet.score,
            "keys": self._sealer.names,
            "saved": self._saved or ("off" if self._store is None else "yes"),
            "counts": dict(self.counts),
            "members": members,
        }
        return 200, json.dumps(found).encode() + b"\n"

    # Events and actions

    def handle(self, event: api.Event, answers: list[api.Message] | None = None) -> None:
        """Handle an event and perform the actions that follow, after any event before it.

        :param answers: takes the replies to a message that came in a state exchange.
        """
        if self._handling:
            self._events.append((event, answers))
            return
        self._handling = True
        try:
            while True:
                for action in self.fleet.handle(event, now_ms()):
                    self._perform(action, answers)
                if not self._events:
                    break
                event, answers = self._events.pop(0)
        finally:
            self._handling = False
            self._set_timer()

    def _set_timer(self) -> None:
        due_ms = self.fleet.due_ms
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if due_ms < float("inf"):
            wait_s = max(0.0, due_ms - now_ms()) / 1000.0
            self._timer = self._loop.call_later(wait_s, self.handle, api.Tick())

    def _perform(self, action: api.Action, answers: list[api.Message] | None) -> None:
        match action:
            case api.SendDatagram():
                self._send(action)
            case api.ExchangeState():
                if len(self._tasks) < MAX_OUTGOING:
                    self._spawn(self._exchange(action))
                else:
                    self.counts["exchanges_put_off"] += 1
            case api.Reply():
                if answers is not None:
                    answers.append(action.message)
            case api.MemberChanged():
                self._record(action.before, action.after, action.by)
            case api.SaveState():
                self._save_later()
            case api.Log():
                log.log(logging.WARNING if action.warning else logging.INFO, "fleet: %s", action.text)

    def _record(self, before: Entry | None, after: Entry | None, by: str) -> None:
        """Write a change to the journal, and to the log if a member became present or absent."""
        entry = after or before
        assert entry is not None
        if self._journal is not None:
            kind = "view" if entry.name != self.fleet.me.name else "self"
            gone = {"status": "forgotten"} if after is None else {}
            self._journal.put(kind=kind, word_of=by, **(describe(entry) | gone))
        if before is not None and after is not None and before.present != after.present:
            log.info("fleet: %s is %s, says %s", after.name, after.status.name.lower(), by)

    # Datagrams

    def _sealed(self, message: api.Message, to: Address) -> bytes:
        return self._sealer.seal(wire.encode(message), self._key_of.get(to))

    def _send(self, action: api.SendDatagram) -> None:
        if self._udp is None:
            return
        if not self._send_credit.take(now_ms()):
            self.counts["not_sent"] += 1
            return
        data = self._sealed(action.message, action.to)
        try:
            self._udp.sendto(data, action.to)
        except OSError:  # the socket's buffer is full, or the peer is not there: datagrams may be lost
            self.counts["not_sent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["bytes_sent"] += len(data)

    def _start_reading(self) -> None:
        if self._udp is not None and not self._reading:
            self._reading = True
            self._loop.add_reader(self._udp, self._readable)

    def _readable(self) -> None:
        udp = self._udp
        assert udp is not None
        for _ in range(READ_AT_ONCE):
            if not self._read_credit.take(now_ms()):
                # A flood: the kernel drops what comes meanwhile.
                self._loop.remove_reader(udp)
                self._reading = False
                self._loop.call_later(READ_PAUSE_S, self._start_reading)
                self._reject(DatagramError("flood", f"was one of over {READ_PER_S:g} a second"))
                return
            try:
                data = udp.recv(MAX_DATAGRAM + 1)
            except OSError:  # nothing more, or a peer could not be reached
                return
            self._take(data)

    def _take(self, data: bytes) -> None:
        self.counts["got"] += 1
        try:
            if len(data) > MAX_DATAGRAM:
                raise DatagramError("foreign", "a datagram is too long")
            body, key = self._sealer.open(data)
            message = wire.decode(body)
        except DatagramError as problem:
            return self._reject(problem)
        self._remember_key(message.sender, key)
        self.handle(api.MessageReceived(message))
        return None

    def _remember_key(self, sender: Entry, key: bytes) -> None:
        """Remember which key a peer uses, as one that does not have the new key yet needs the old one."""
        where = sender.host, sender.port
        if key == self._sealer.first:
            self._key_of.pop(where, None)
        elif len(self._key_of) < self._setup.max_nodes:
            self._key_of[where] = key

    def _reject(self, problem: DatagramError) -> None:
        self.counts[f"refused_{problem.kind}"] += 1
        if self._loop.time() - self._logged_s.get(problem.kind, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._logged_s[problem.kind] = self._loop.time()
            log.warning("fleet: a message was refused: it %s", problem)

    # State exchanges

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, action: api.ExchangeState) -> None:
        """Exchange states with a peer; a failure has no effect, as probes detect failed peers."""
        try:
            async with asyncio.timeout(EXCHANGE_S):
                reader, writer = await asyncio.open_connection(
                    *action.to, local_addr=(self._setup.listen[0], 0)
                )
                try:
                    self._write(writer, self._sealed(action.message, action.to))
                    await self._take_frame(await self._read(reader), [])
                finally:
                    writer.close()
            self.counts["exchanges"] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.counts["exchanges_failed"] += 1
        except DatagramError as problem:
            self._reject(problem)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Exchange states with a peer that connected."""
        if self._connections >= MAX_INCOMING:
            writer.close()
            self.counts["connections_turned_away"] += 1
            return
        self._connections += 1
        try:
            async with asyncio.timeout(EXCHANGE_S):
                answers: list[api.Message] = []
                sender = await self._take_frame(await self._read(reader), answers)
                for answer in answers:
                    self._write(writer, self._sealed(answer, sender))
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except DatagramError as problem:
            self._reject(problem)
        finally:
            self._connections -= 1
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(LENGTH.pack(len(data)) + data)
        self.counts["bytes_sent"] += LENGTH.size + len(data)

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > 4 * 1024 + MAX_ENTRY * self._setup.max_nodes:
            raise DatagramError("foreign", f"says that it has {length} bytes")
        return await reader.readexactly(length)

    async def _take_frame(self, data: bytes, answers: list[api.Message]) -> Address:
        """Handle a state, in steps as it may be long.

        :returns: the sender's address.
        """
        self.counts["got"] += 1
        body, key = self._sealer.open(data)
        message = await run_cooperatively(wire.decode_stepwise(body))
        self._remember_key(message.sender, key)
        self.handle(api.MessageReceived(message), answers)
        return message.sender.host, message.sender.port

    # Periodic checks

    def _every(self, name: str, interval_s: float, check: Callable[[], None]) -> None:
        def again() -> None:
            self._timers[name] = self._loop.call_later(interval_s, again)
            check()

        self._timers[name] = self._loop.call_later(interval_s, again)

    def _check_phase(self) -> None:
        phase = Phase.DRAINING if self._leaving else Phase.SERVING if self._ready() else Phase.STARTING
        if phase is not self.fleet.me.phase and not self.fleet.left:
            self.handle(api.SelfChanged(phase))
            self._record(None, self.fleet.me, self.fleet.me.name)

    def _key_file_version(self) -> tuple[int, int]:
        with contextlib.suppress(OSError):
            found = self._setup.keys.stat()
            return found.st_mtime_ns, found.st_size
        return 0, 0

    def _check_keys(self) -> None:
        """Read the keys again if their file has changed; one that can't be used changes nothing."""
        version = self._key_file_version()
        if version == self._keys_version:
            return
        self._keys_version = version
        try:
            self._sealer = Sealer(read_key_file(self._setup.keys))
        except ConfigError as problem:
            log.error("fleet: the old keys stay: %s", problem)
            return
        self._key_of.clear()
        log.info("fleet: keys read again, %s signs", self._sealer.names[0])

    # Disk

    def _load(self) -> SavedState | None:
        if self._setup.state is None:
            return None
        try:
            self._store = StateStore(self._setup.state, FORM)
        except StateLockedError as problem:
            raise ConfigError(f"the fleet's state: {problem}") from None
        except OSError as problem:
            self._saved = f"no: {problem.strerror}"
            log.warning("fleet: nothing is kept: %s: %s", self._setup.state, problem.strerror)
            return None
        saved, line = self._store.load()
        if line:
            log.warning("fleet: %s", line)
        return saved

    def _save_later(self) -> None:
        if self._store is not None and "save" not in self._timers:
            self._timers["save"] = self._loop.call_later(SAVE_DELAY_S, self._save)

    def _save(self) -> None:
        del self._timers["save"]
        if self._store is not None and not self.fleet.left:
            work = functools.partial(self._store.save, self.fleet.saved_state)
            self._loop.run_in_executor(None, work).add_done_callback(self._on_saved)

    def _on_saved(self, done: asyncio.Future[str]) -> None:
        line = "" if done.cancelled() else done.result()
        if line and line != self._saved:
            log.warning("fleet: %s", line)
        self._saved = line
