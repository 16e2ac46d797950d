"""The I/O of a fleet member: sockets, timers, disk and journal for `orchidferry.balancing.fleet`.

Its cost is bounded: there are limits on the datagrams read in one iteration of the event loop and per second,
on the datagrams sent per second, on concurrent state exchanges and on the duration of each. Rejected messages
are counted by the kind of error, and each kind is logged once a minute at most. No client request waits for
anything in this module.
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
from orchidferry.node.fleet.saved_state import STATE_FORMAT
from orchidferry.node.fleet.settings import MemberSettings, read_key_file
from orchidferry.node.fleet.wire import MAX_DATAGRAM_BYTES, DatagramError, Sealer
from orchidferry.node.incremental import run_cooperatively
from orchidferry.node.state_store import StateLockedError, StateStore

# Reading a datagram takes about 40 microseconds, so that with these limits a flood uses a tenth of a CPU core
# and delays other work by 1 ms at most. A node in a fleet of 1,000 receives about 30 datagrams per second.
MAX_READS_PER_WAKEUP = 16  # datagrams read in one iteration of the event loop
MAX_READS_PER_S = 2_500.0  # datagrams read per second
READ_PAUSE_S = 0.02  # pause in reading once that rate is exceeded
MAX_SENDS_PER_S = 500.0  # datagrams sent per second
SEND_BURST = 1_000.0  # datagrams that may be sent at once after a quiet time
MAX_ENTRY_BYTES = 400  # largest entry of a member in a state message

MAX_INCOMING_EXCHANGES = 8  # concurrent state exchanges started by peers
MAX_OUTGOING_EXCHANGES = 4  # concurrent state exchanges started by this node
EXCHANGE_TIMEOUT_S = 2.0  # time limit of a state exchange

PHASE_CHECK_INTERVAL_S = 0.25  # how often the node's own phase is checked
KEYS_CHECK_INTERVAL_S = 2.0  # how often the key file is checked for changes
SAVE_DELAY_S = 1.0  # changes within this time are saved together
LOG_INTERVAL_S = 60.0  # shortest interval between two log lines about the same kind of rejected message
LEAVE_WAIT_S = 0.2  # time for sending the announcement that this node leaves, which is sent three times
LENGTH = struct.Struct(">I")  # length prefix of a frame on a TCP connection

log = logging.getLogger("orchidferry")


class FleetMember:
    """This node as a member of the fleet: connects a `Membership` to sockets, timers and files.

    :ivar where: address on which this node listens for its peers, as configured
    :ivar fleet: the membership, which is free of I/O
    :ivar counts: numbers of datagrams, bytes, state exchanges and rejected messages, by name
    """

    def __init__(
        self, settings: MemberSettings, loop: asyncio.AbstractEventLoop, rng: random.Random | None = None
    ) -> None:
        """Create a `FleetMember`, which does not communicate yet.

        :param settings: settings of this member.
        :param loop: the event loop.
        :param rng: source of the membership's random choices; None: one with a random seed.
        :raises ConfigError: if the keys, the state or the journal can't be used.
        """
        self._settings = settings
        self._loop = loop
        self.where = settings.listen
        self._sealer = Sealer(read_key_file(settings.keys))
        self._loaded_key_file_version = self._key_file_version()
        self._store: StateStore[SavedState] | None = None
        self._save_error = ""  # why the state could not be saved the last time; empty if it was saved
        saved = self._load()
        self._journal = self._open_journal()
        self.fleet = self._create_membership(saved, rng or random.Random(secrets.randbits(64)))
        self._ready: Callable[[], bool] = lambda: False
        self._leaving = False
        self._udp: socket.socket | None = None
        self._server: asyncio.Server | None = None
        self._reading = False
        self._connections = 0  # state exchanges started by peers that are in progress
        self._tasks: set[asyncio.Task[None]] = set()  # state exchanges started by this node
        self._timer: asyncio.TimerHandle | None = None  # timer for the next `Tick` of the membership
        self._timers: dict[str, asyncio.TimerHandle] = {}  # periodic checks and the delayed save, by name
        self._read_limiter = RateLimiter(MAX_READS_PER_S, MAX_READS_PER_S / 5.0)
        self._send_limiter = RateLimiter(MAX_SENDS_PER_S, SEND_BURST)
        self._key_by_peer: dict[Address, bytes] = {}  # key ids of peers that use another key than this node
        self._handling = False
        self._queued_events: list[tuple[api.Event, list[api.Message] | None]] = []
        self.counts: Counter[str] = Counter()
        self._last_logged_s: dict[str, float] = {}  # when each kind of `DatagramError` was last logged

    def _open_journal(self) -> Journal | None:
        if self._settings.journal is None:
            return None
        try:
            return Journal(self._settings.journal)
        except OSError as problem:
            raise ConfigError(f"can't write the fleet's journal: {problem}") from None

    def _create_membership(self, saved: SavedState | None, rng: random.Random) -> Membership:
        """Create the membership of a new incarnation, with the peers of the last one as additional seeds."""
        settings = self._settings
        me = Entry(
            settings.name,
            *settings.advertise,
            secrets.randbits(64) | 1,
            saved.incarnation + 1 if saved else 0,
            zone=settings.zone,
            version=settings.version,
        )
        seeds = (*settings.seeds, *(saved.peers if saved else ()))
        return Membership(me, seeds, rng, settings.timing, settings.max_nodes)

    # Interface to the node

    def attach(self, ready: Callable[[], bool]) -> None:
        """Set the node's readiness check.

        :param ready: returns whether the node is ready to serve.
        """
        self._ready = ready

    async def listen(self) -> Address:
        """Open the UDP and TCP sockets.

        :returns: their common address; if port 0 is configured, with the port that the system chose.
        :raises OSError: if they can't be opened.
        """
        host, port = self._settings.listen
        family = socket.AF_INET6 if ":" in host else socket.AF_INET
        udp = socket.socket(family, socket.SOCK_DGRAM)
        try:
            udp.setblocking(False)
            udp.bind((host, port))
            where = udp.getsockname()[:2]
            self._server = await asyncio.start_server(self._serve_exchange, host, where[1], limit=64 * 1024)
        except OSError:
            udp.close()
            raise
        self._udp = udp
        return str(where[0]), int(where[1])

    def start(self) -> None:
        """Join the fleet."""
        self._record_change(None, self.fleet.me, self.fleet.me.name)
        self._start_reading()
        self.handle(api.Start())
        self._schedule_periodic("phase", PHASE_CHECK_INTERVAL_S, self._check_phase)
        self._schedule_periodic("keys", KEYS_CHECK_INTERVAL_S, self._check_keys)

    def count(self) -> int:
        """Return the largest number of sockets that this member may be using now."""
        return 2 + self._connections + MAX_OUTGOING_EXCHANGES

    def leaving(self) -> None:
        """Announce to the fleet that the node is draining (called when the node begins to shut down)."""
        self._leaving = True
        self._check_phase()

    async def close(self) -> None:
        """Announce that this node leaves the fleet, then close all sockets and files."""
        for timer in self._timers.values():
            timer.cancel()
        self.handle(api.Leave())
        self._record_change(None, self.fleet.me, self.fleet.me.name)
        if self.fleet.size > 1:
            await asyncio.sleep(LEAVE_WAIT_S)
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
            if error := self._store.save(self.fleet.saved_state):
                log.warning("fleet: %s", error)
            self._store.close()
        if self._journal is not None:
            self._journal.close()

    def pages(self) -> dict[bytes, PageHandler]:
        """Return the handlers of the admin server's pages about the fleet, by path."""
        return {b"/-/fleet": self.page}

    def page(self) -> tuple[int, bytes]:
        """Return the HTTP status and the body of the fleet page: this node's view of the fleet, as JSON."""
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
        content = {
            "format": 1,
            "self": describe(fleet.me),
            "state": state,
            "score": fleet.score,
            "keys": self._sealer.names,
            "saved": self._save_error or ("off" if self._store is None else "yes"),
            "counts": dict(self.counts),
            "members": members,
        }
        return 200, json.dumps(content).encode() + b"\n"

    # Events and actions

    def handle(self, event: api.Event, answers: list[api.Message] | None = None) -> None:
        """Pass an event to the membership and execute the resulting actions.

        An event that arrives while another one is being handled is queued.

        :param event: the event to handle.
        :param answers: for a message received in a state exchange, the list to which replies are appended.
        """
        if self._handling:
            self._queued_events.append((event, answers))
            return
        self._handling = True
        try:
            while True:
                for action in self.fleet.handle(event, now_ms()):
                    self._execute(action, answers)
                if not self._queued_events:
                    break
                event, answers = self._queued_events.pop(0)
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

    def _execute(self, action: api.Action, answers: list[api.Message] | None) -> None:
        match action:
            case api.SendDatagram():
                self._send(action)
            case api.ExchangeState():
                if len(self._tasks) < MAX_OUTGOING_EXCHANGES:
                    self._start_task(self._request_exchange(action))
                else:
                    self.counts["exchanges_put_off"] += 1
            case api.Reply():
                if answers is not None:
                    answers.append(action.message)
            case api.MemberChanged():
                self._record_change(action.before, action.after, action.by)
            case api.SaveState():
                self._save_later()
            case api.Log():
                log.log(logging.WARNING if action.warning else logging.INFO, "fleet: %s", action.text)

    def _record_change(self, before: Entry | None, after: Entry | None, by: str) -> None:
        """Write a change of an entry to the journal, and to the log if a member became present or absent.

        :param before: the entry before the change; None for a new member.
        :param after: the entry after the change; None for a member that was forgotten.
        :param by: name of the node that reported the change.
        """
        entry = after or before
        assert entry is not None
        if self._journal is not None:
            kind = "view" if entry.name != self.fleet.me.name else "self"
            gone = {"status": "forgotten"} if after is None else {}
            self._journal.put(kind=kind, word_of=by, **(describe(entry) | gone))
        if before is not None and after is not None and before.present != after.present:
            log.info("fleet: %s is %s, as reported by %s", after.name, after.status.name.lower(), by)

    # Datagrams

    def _encode_sealed(self, message: api.Message, to: Address) -> bytes:
        return self._sealer.seal(wire.encode(message), self._key_by_peer.get(to))

    def _send(self, action: api.SendDatagram) -> None:
        if self._udp is None:
            return
        if not self._send_limiter.take(now_ms()):
            self.counts["not_sent"] += 1
            return
        data = self._encode_sealed(action.message, action.to)
        try:
            self._udp.sendto(data, action.to)
        except OSError:  # buffer full or peer unreachable: the protocol tolerates lost datagrams
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
        for _ in range(MAX_READS_PER_WAKEUP):
            if not self._read_limiter.take(now_ms()):
                # Datagram flood: reading pauses; the kernel drops what does not fit in the socket's buffer.
                self._loop.remove_reader(udp)
                self._reading = False
                self._loop.call_later(READ_PAUSE_S, self._start_reading)
                self._reject(DatagramError("flood", f"more than {MAX_READS_PER_S:g} datagrams per second"))
                return
            try:
                data = udp.recv(MAX_DATAGRAM_BYTES + 1)
            except OSError:  # no more datagrams, or an ICMP error for one that was sent
                return
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        self.counts["got"] += 1
        try:
            if len(data) > MAX_DATAGRAM_BYTES:
                raise DatagramError("foreign", "datagram above the size limit")
            body, key = self._sealer.open(data)
            message = wire.decode(body)
        except DatagramError as problem:
            return self._reject(problem)
        self._remember_key(message.sender, key)
        self.handle(api.MessageReceived(message))
        return None

    def _remember_key(self, sender: Entry, key: bytes) -> None:
        """Remember a peer's key id: during a rotation, peers without the new key still need the old one.

        :param key: id of the key with which the peer's message was signed.
        """
        address = sender.host, sender.port
        if key == self._sealer.first:
            self._key_by_peer.pop(address, None)
        elif len(self._key_by_peer) < self._settings.max_nodes:
            self._key_by_peer[address] = key

    def _reject(self, problem: DatagramError) -> None:
        self.counts[f"refused_{problem.kind}"] += 1
        if self._loop.time() - self._last_logged_s.get(problem.kind, -LOG_INTERVAL_S) >= LOG_INTERVAL_S:
            self._last_logged_s[problem.kind] = self._loop.time()
            log.warning("fleet: message rejected: %s", problem)

    # State exchanges

    def _start_task(self, coroutine: Any) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _request_exchange(self, action: api.ExchangeState) -> None:
        """Exchange states with a peer as the client; errors are only counted, as probes find failed peers."""
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(
                    *action.to, local_addr=(self._settings.listen[0], 0)
                )
                try:
                    self._write_frame(writer, self._encode_sealed(action.message, action.to))
                    await self._receive_state(await self._read_frame(reader), [])
                finally:
                    writer.close()
            self.counts["exchanges"] += 1
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            self.counts["exchanges_failed"] += 1
        except DatagramError as problem:
            self._reject(problem)

    async def _serve_exchange(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Exchange states with a peer that has connected to this node."""
        if self._connections >= MAX_INCOMING_EXCHANGES:
            writer.close()
            self.counts["connections_turned_away"] += 1
            return
        self._connections += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_S):
                answers: list[api.Message] = []
                sender = await self._receive_state(await self._read_frame(reader), answers)
                for answer in answers:
                    self._write_frame(writer, self._encode_sealed(answer, sender))
                await writer.drain()
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            pass
        except DatagramError as problem:
            self._reject(problem)
        finally:
            self._connections -= 1
            writer.close()

    def _write_frame(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        writer.write(LENGTH.pack(len(data)) + data)
        self.counts["bytes_sent"] += LENGTH.size + len(data)

    async def _read_frame(self, reader: asyncio.StreamReader) -> bytes:
        (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
        if length > 4 * 1024 + MAX_ENTRY_BYTES * self._settings.max_nodes:
            raise DatagramError("foreign", f"frame of {length} bytes, which exceeds the limit")
        return await reader.readexactly(length)

    async def _receive_state(self, data: bytes, answers: list[api.Message]) -> Address:
        """Decode and handle a frame received in a state exchange; in steps, as a state may be long.

        :param data: the frame, without its length prefix.
        :param answers: list to which the replies are appended.
        :returns: the sender's address.
        """
        self.counts["got"] += 1
        body, key = self._sealer.open(data)
        message = await run_cooperatively(wire.decode_stepwise(body))
        self._remember_key(message.sender, key)
        self.handle(api.MessageReceived(message), answers)
        return message.sender.host, message.sender.port

    # Periodic checks

    def _schedule_periodic(self, name: str, interval_s: float, check: Callable[[], None]) -> None:
        def again() -> None:
            self._timers[name] = self._loop.call_later(interval_s, again)
            check()

        self._timers[name] = self._loop.call_later(interval_s, again)

    def _check_phase(self) -> None:
        phase = Phase.DRAINING if self._leaving else Phase.SERVING if self._ready() else Phase.STARTING
        if phase is not self.fleet.me.phase and not self.fleet.left:
            self.handle(api.SelfChanged(phase))
            self._record_change(None, self.fleet.me, self.fleet.me.name)

    def _key_file_version(self) -> tuple[int, int]:
        """Return the modification time in ns and the size of the key file; zeros if there is no such file."""
        with contextlib.suppress(OSError):
            found = self._settings.keys.stat()
            return found.st_mtime_ns, found.st_size
        return 0, 0

    def _check_keys(self) -> None:
        """Reload the keys if their file has changed; if that one is unusable, the old keys stay in use."""
        version = self._key_file_version()
        if version == self._loaded_key_file_version:
            return
        self._loaded_key_file_version = version
        try:
            self._sealer = Sealer(read_key_file(self._settings.keys))
        except ConfigError as problem:
            log.error("fleet: can't reload the keys, the old ones stay in use: %s", problem)
            return
        self._key_by_peer.clear()
        log.info("fleet: keys reloaded; messages are signed with key %s", self._sealer.names[0])

    # Disk

    def _load(self) -> SavedState | None:
        if self._settings.state is None:
            return None
        try:
            self._store = StateStore(self._settings.state, STATE_FORMAT)
        except StateLockedError as problem:
            raise ConfigError(f"can't open the fleet's state directory: {problem}") from None
        except OSError as problem:
            self._save_error = f"no: {problem.strerror}"
            log.warning("fleet: state will not be saved: %s: %s", self._settings.state, problem.strerror)
            return None
        saved, warning = self._store.load()
        if warning:
            log.warning("fleet: %s", warning)
        return saved

    def _save_later(self) -> None:
        if self._store is not None and "save" not in self._timers:
            self._timers["save"] = self._loop.call_later(SAVE_DELAY_S, self._save)

    def _save(self) -> None:
        del self._timers["save"]
        if self._store is not None and not self.fleet.left:
            save = functools.partial(self._store.save, self.fleet.saved_state)
            self._loop.run_in_executor(None, save).add_done_callback(self._on_saved)

    def _on_saved(self, done: asyncio.Future[str]) -> None:
        error = "" if done.cancelled() else done.result()
        if error and error != self._save_error:
            log.warning("fleet: %s", error)
        self._save_error = error
