"""Sockets, timers, disk and journal round `orchidferry.balancing.fleet`: all within the node's one process.

What it costs is bounded here: so many datagrams are read in one turn of the loop and so many a second, so
many sent, so many views exchanged at once, each within a time. Whatever can't be used is counted by kind,
with one line a minute. Nothing here is waited for by a request.
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
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
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
from orchidferry.node.fleet.settings import Setup, read_key_file
from orchidferry.node.fleet.wire import MAX_DATAGRAM, DatagramError, Sealer
from orchidferry.node.incremental import run_cooperatively
from orchidferry.node.state_store import StateFormat, StateLockedError, StateStore

# A datagram takes some 40 microseconds to read, so a flood takes a tenth of a core and no turn of over 1 ms;
# a node of a fleet of 1,000 gets some 30 a second.
READ_AT_ONCE = 16
READ_PER_S = 2_500.0
READ_PAUSE_S = 0.02
SEND_PER_S = 500.0
SEND_AT_ONCE = 1_000.0
MAX_ENTRY = 400  # bytes of an entry in a view
# that others, and that this node, hold at once
CONNECTIONS = 8
EXCHANGES = 4
EXCHANGE_S = 2.0  # for one, from its first byte to its last
LOOK_S = 0.25  # how often the node's own phase is looked at,
KEYS_S = 2.0  # and the file with the keys
KEEP_S = 1.0  # changes within so long are written to disk together
SAY_EVERY_S = 60.0
LEAVE_S = 0.2  # for word of a planned end to go out, thrice
MAX_JOURNAL = 8 * 1024 * 1024  # bytes; as much again of the one before it is kept
LENGTH = struct.Struct(">I")
MAX_PEERS = 256  # that the disk is believed to hold

log = logging.getLogger("orchidferry")


def _to_json(lasting: SavedState) -> Any:
    return {"incarnation": lasting.incarnation, "peers": [list(peer) for peer in lasting.peers]}


def _from_json(obj: Any) -> SavedState:
    incarnation = obj["incarnation"]
    if type(incarnation) is not int or incarnation < 0:
        raise ValueError(f"incarnation {incarnation!r:.40}")
    return SavedState(incarnation, tuple((str(host), int(port)) for host, port in obj["peers"][:MAX_PEERS]))


FORM = StateFormat("fleet", "fleet's state", b"orchidferry fleet", 1, 64 * 1024, _to_json, _from_json)


class Journal:
    """A line of JSON for each change of the view, with both clocks; bounded, one file before it is kept."""

    def __init__(self, path: Path) -> None:
        """`OSError` if it can't be written."""
        handler = logging.handlers.RotatingFileHandler(
            path, maxBytes=MAX_JOURNAL, backupCount=1, encoding="utf-8"
        )
        handler.setFormatter(logging.Formatter("%(message)s"))
        self._log = logging.Logger("orchidferry.node.fleet.journal")
        self._log.addHandler(handler)
        self._handler = handler

    def put(self, **fields: Any) -> None:
        """Write a line."""
        self._log.info(json.dumps({"t_ms": now_ms(), "wall_ms": time.time() * 1000.0} | fields))

    def close(self) -> None:
        """Let the file go."""
        self._handler.close()


def told(entry: Entry) -> dict[str, Any]:
    """An entry for people and programs."""
    return {
        "name": entry.name,
        "address": f"{entry.host}:{entry.port}",
        "zone": entry.zone,
        "version": entry.version,
        "phase": entry.phase.value,
        "status": entry.status.name.lower(),
        "incarnation": entry.incarnation,
        "life": f"{entry.life:016x}",
        "by": entry.by,
    }


class Peers:
    """This node's part in the fleet. `ConfigError` at the start for what can't be."""

    def __init__(
        self, setup: Setup, loop: asyncio.AbstractEventLoop, rng: random.Random | None = None
    ) -> None:
        self._setup = setup
        self._loop = loop
        self.where = setup.listen
        self._sealer = Sealer(read_key_file(setup.keys))
        self._keys_stamp = self._stamp()
        self._store: StateStore[SavedState] | None = None
        self._saved = ""
        lasting = self._load()
        self._journal: Journal | None = None
        if setup.journal is not None:
            try:
                self._journal = Journal(setup.journal)
            except OSError as problem:
                raise ConfigError(f"can't write the fleet's journal: {problem}") from None
        me = Entry(
            setup.name,
            *setup.advertise,
            secrets.randbits(64) | 1,
            lasting.incarnation + 1 if lasting else 0,
            zone=setup.zone,
            version=setup.version,
        )
        seeds = (*setup.seeds, *(lasting.peers if lasting else ()))
        self.fleet = Membership(
            me, seeds, rng or random.Random(secrets.randbits(64)), setup.timing, setup.most
        )
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
        self._key_of: dict[
            Address, bytes
        ] = {}  # which key the peer there used last, where it is not our first
        self._handling = False
        self._events: list[tuple[api.Event, list[api.Message] | None]] = []
        self.counts: Counter[str] = Counter()
        self._said: dict[str, float] = {}

    # The node's side

    def attach(self, ready: Callable[[], bool]) -> None:
        """How the node tells whether it serves."""
        self._ready = ready

    async def listen(self) -> Address:
        """Open the sockets; `OSError` if they can't be. The address, with the port that 0 stands for."""
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
        """Take part from now on."""
        self._note(None, self.fleet.me, self.fleet.me.name)
        self._read_on()
        self.handle(api.Start())
        self._every("look", LOOK_S, self._look)
        self._every("keys", KEYS_S, self._look_at_keys)

    def count(self) -> int:
        """Sockets in use, at most."""
        return 2 + self._connections + EXCHANGES

    def leaving(self) -> None:
        """The node was told to end: it serves what it has."""
        self._leaving = True
        self._look()

    async def close(self) -> None:
        """Say that this node goes, and go."""
        for timer in self._timers.values():
            timer.cancel()
        self.handle(api.Leave())
        self._note(None, self.fleet.me, self.fleet.me.name)
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
        """What it shows at the operators' door."""
        return {b"/-/fleet": self.page}

    def page(self) -> tuple[int, bytes]:
        """What this node knows of the fleet, for the operators' door."""
        fleet = self.fleet
        now = now_ms()
        members = []
        for name, entry in sorted(fleet.members.items()):
            since_ms, by = fleet.since.get(name, (now, ""))
            members.append(told(entry) | {"for_s": round((now - since_ms) / 1000.0, 3), "word_of": by})
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
            "self": told(fleet.me),
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
        """Hand one event in and do what comes out; one at a time."""
        if self._handling:
            self._events.append((event, answers))
            return
        self._handling = True
        try:
            while True:
                for action in self.fleet.handle(event, now_ms()):
                    self._do(action, answers)
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

    def _do(self, action: api.Action, answers: list[api.Message] | None) -> None:
        match action:
            case api.SendDatagram():
                self._send(action)
            case api.ExchangeState():
                if len(self._tasks) < EXCHANGES:
                    self._spawn(self._exchange(action))
                else:
                    self.counts["exchanges_put_off"] += 1
            case api.Reply():
                if answers is not None:
                    answers.append(action.message)
            case api.MemberChanged():
                self._note(action.before, action.after, action.by)
            case api.SaveState():
                self._keep_later()
            case api.Log():
                log.log(logging.WARNING if action.warning else logging.INFO, "fleet: %s", action.text)

    def _note(self, before: Entry | None, after: Entry | None, by: str) -> None:
        """Into the journal; into the log only what operators look for."""
        entry = after or before
        assert entry is not None
        if self._journal is not None:
            kind = "view" if entry.name != self.fleet.me.name else "self"
            gone = {"status": "forgotten"} if after is None else {}
            self._journal.put(kind=kind, word_of=by, **(told(entry) | gone))
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
        except OSError:  # the socket's buffer is full, or nobody is there: a datagram may be lost
            self.counts["not_sent"] += 1
            return
        self.counts["sent"] += 1
        self.counts["bytes_sent"] += len(data)

    def _read_on(self) -> None:
        if self._udp is not None and not self._reading:
            self._reading = True
            self._loop.add_reader(self._udp, self._readable)

    def _readable(self) -> None:
        udp = self._udp
        assert udp is not None
        for _ in range(READ_AT_ONCE):
            if not self._read_credit.take(now_ms()):
                # A flood: the kernel's buffer drops what comes meanwhile.
                self._loop.remove_reader(udp)
                self._reading = False
                self._loop.call_later(READ_PAUSE_S, self._read_on)
                self._refused(DatagramError("flood", f"was one of over {READ_PER_S:g} a second"))
                return
            try:
                data = udp.recv(MAX_DATAGRAM + 1)
            except OSError:  # nothing more, or word that nobody got one of ours
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
            return self._refused(problem)
        self._remember_key(message.sender, key)
        self.handle(api.MessageReceived(message))

    def _remember_key(self, sender: Entry, key: bytes) -> None:
        """Answer each peer with the key it uses: one that has no new key yet is reached by the old one."""
        where = sender.host, sender.port
        if key == self._sealer.first:
            self._key_of.pop(where, None)
        elif len(self._key_of) < self._setup.most:
            self._key_of[where] = key

    def _refused(self, problem: DatagramError) -> None:
        self.counts[f"refused_{problem.kind}"] += 1
        if self._loop.time() - self._said.get(problem.kind, -SAY_EVERY_S) >= SAY_EVERY_S:
            self._said[problem.kind] = self._loop.time()
            log.warning("fleet: a message was refused: it %s", problem)

    # Whole views

    def _spawn(self, work: Any) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _exchange(self, action: api.ExchangeState) -> None:
        """Send this node's view and take the other's; a failure is no news, as probes find out."""
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
            self._refused(problem)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """One peer's view, and this node's for it."""
        if self._connections >= CONNECTIONS:
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
            self._refused(problem)
        finally:
            self._connections -= 1
            writer.close()

    def _write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(LENGTH.pack(len(data)) + data)
        self.counts["bytes_sent"] += LENGTH.size + len(data)

    async def _read(self, reader: asyncio.StreamReader) -> bytes:
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > 4 * 1024 + MAX_ENTRY * self._setup.most:
            raise DatagramError("foreign", f"says that it has {length} bytes")
        return await reader.readexactly(length)

    async def _take_frame(self, data: bytes, answers: list[api.Message]) -> Address:
        """A view, in steps: a long one must not hold requests up. Where its sender is reached."""
        self.counts["got"] += 1
        body, key = self._sealer.open(data)
        message = await run_cooperatively(wire.decode_in_steps(body))
        self._remember_key(message.sender, key)
        self.handle(api.MessageReceived(message), answers)
        return message.sender.host, message.sender.port

    # Now and then

    def _every(self, name: str, wait_s: float, do: Callable[[], None]) -> None:
        def again() -> None:
            self._timers[name] = self._loop.call_later(wait_s, again)
            do()

        self._timers[name] = self._loop.call_later(wait_s, again)

    def _look(self) -> None:
        phase = Phase.DRAINING if self._leaving else Phase.SERVING if self._ready() else Phase.STARTING
        if phase is not self.fleet.me.phase and not self.fleet.left:
            self.handle(api.SelfChanged(phase))
            self._note(None, self.fleet.me, self.fleet.me.name)

    def _stamp(self) -> tuple[int, int]:
        with contextlib.suppress(OSError):
            found = self._setup.keys.stat()
            return found.st_mtime_ns, found.st_size
        return 0, 0

    def _look_at_keys(self) -> None:
        """Take the keys as they are now; a file that can't be used changes nothing."""
        stamp = self._stamp()
        if stamp == self._keys_stamp:
            return
        self._keys_stamp = stamp
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
        lasting, line = self._store.load()
        if line:
            log.warning("fleet: %s", line)
        return lasting

    def _keep_later(self) -> None:
        if self._store is not None and "keep" not in self._timers:
            self._timers["keep"] = self._loop.call_later(KEEP_S, self._keep)

    def _keep(self) -> None:
        del self._timers["keep"]
        if self._store is not None and not self.fleet.left:
            work = functools.partial(self._store.save, self.fleet.saved_state)
            self._loop.run_in_executor(None, work).add_done_callback(self._kept)

    def _kept(self, done: asyncio.Future[str]) -> None:
        line = "" if done.cancelled() else done.result()
        if line and line != self._saved:
            log.warning("fleet: %s", line)
        self._saved = line
