"""HTTP/1.1 for stand-ins and clients: a server's side and a requester's, on asyncio and httptools.

A requester sees all that a judge may want to know of an exchange: when its last byte was written, whether the
connection had been used before, how it ended, and what came that nobody asked for.
"""

from __future__ import annotations

import asyncio
import socket
import struct
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

import httptools

Address = tuple[str, int]
CONNECT_S = 1.0  # for a connection to come up on loopback, where it takes microseconds
MAX_REQUEST = 256 * 1024  # bytes of one request; the protocol has 64 KiB of body and 16 of head
MAX_RESPONSE = 8 * 1024 * 1024  # bytes of one response
ABORT = struct.pack("ii", 1, 0)  # SO_LINGER: a close that is a reset


@dataclass(slots=True)
class Request:
    """A request as it came in."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first: float  # when its first byte was read, by time.monotonic
    last: float  # and its last


class ServerSide(asyncio.Protocol):
    """A connection of a server: whole requests go to `on_request`, its end to `on_lost`."""

    def __init__(
        self,
        on_request: Callable[[ServerSide, Request], None],
        on_lost: Callable[[ServerSide], None],
        on_made: Callable[[ServerSide], None],
    ) -> None:
        self._on_request = on_request
        self._on_lost = on_lost
        self._on_made = on_made
        self._parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport
        self.open = False
        self._begin(0.0)

    def _begin(self, first: float) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._first = first

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.open = True
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        self._now = time.monotonic()
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reset()
        if self._size > MAX_REQUEST:
            self.reset()

    def on_message_begin(self) -> None:
        """A message begins."""
        self._begin(self._now)

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The message has come completely."""
        method = self._parser.get_method().decode()
        target = self._target.decode("latin-1")
        request = Request(method, target, self._headers, b"".join(self._body), self._first, self._now)
        self._size = 0
        self._on_request(self, request)

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        if self.open:
            self.open = False
            self._on_lost(self)

    def answer(self, status: int, body: bytes = b"", headers: str = "") -> None:
        """Write a whole answer; nothing if the connection has gone."""
        if self.open and not self.transport.is_closing():
            head = f"HTTP/1.1 {status} -\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
            self.transport.write(head.encode("latin-1") + body)

    def reset(self) -> None:
        """End it as a process that dies does."""
        if self.open and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            self.transport.abort()


@dataclass(slots=True)
class Outcome:
    """How an exchange ended: answer, refused, silent (never up), closed, reset, broken, timeout."""

    how: str
    t: float  # time.monotonic
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    reused: bool = False


class RequesterSide(asyncio.Protocol):
    """A requester's connection: one request at a time."""

    def __init__(self, on_extra: Callable[[str], None], read_pause_s: float = 0.0) -> None:
        self._on_extra = on_extra  # told the id of what was asked last
        self._read_pause_s = read_pause_s  # after the first bytes of a response
        self.transport: asyncio.Transport
        self.alive = False
        self.used = 0
        self.last_id = ""
        self.proven = False  # its other end has shown that it is the kit's own
        self._waiting: asyncio.Future[Outcome] | None = None
        self._start()

    def _start(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._complete = self._keep = self._extra = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.alive = True

    def ask(self, id: str, message: bytes) -> asyncio.Future[Outcome]:
        """Write a request; its outcome. The caller gives it up by `drop`."""
        self._start()
        self.last_id = id
        self.used += 1
        self._waiting = asyncio.get_running_loop().create_future()
        self.transport.write(message)
        return self._waiting

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        if self._waiting is None:
            self._told_extra()
            return None
        if not self._size and self._read_pause_s:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(self._read_pause_s, self._resume_reading)
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._complete:
                return self._end("broken")
            self._extra = True
        if self._complete:
            self._end("answer")
            if self._extra:
                self._told_extra()
        elif self._size > MAX_RESPONSE:
            self._end("broken")
        return None

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _told_extra(self) -> None:
        """What nobody asked for can't be told apart from the next answer: the connection is done with."""
        if self.alive:
            self._on_extra(self.last_id)
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        self.alive = False
        if self._size:
            self._end("broken")
        else:
            self._end("closed" if exc is None else "reset")

    def _end(self, how: str) -> None:
        waiting = self._waiting
        self._waiting = None
        if waiting is None or waiting.done():
            return
        outcome = Outcome(how, time.monotonic(), reused=self.used > 1)
        if how == "answer":
            outcome.status = self._parser.get_status_code()
            outcome.headers = self._headers
            outcome.body = b"".join(self._body)
        if how != "answer" or not self._keep:
            self.drop()
        waiting.set_result(outcome)

    def drop(self) -> None:
        """Close it, whatever is on it."""
        self.alive = False
        self.transport.abort()

    def on_message_begin(self) -> None:
        """A message begins."""
        if self._complete:
            self._extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if not self._complete:
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        if not self._complete:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """The message has come completely."""
        if not self._complete and self._parser.get_status_code() >= 200:
            self._complete, self._keep = True, self._parser.should_keep_alive()


class Pool:
    """A requester's kept connections, by address. Bound: `MAX_IDLE` for each address."""

    MAX_IDLE = 256
    IDLE_S = 5.0  # a node closes an idle connection after 10 s: kept for less, a request seldom crosses that

    def __init__(
        self,
        on_extra: Callable[[str], None],
        local: str | None = None,
        receive_buffer: int = 0,
        read_pause_s: float = 0.0,
    ) -> None:
        self._on_extra = on_extra
        self._receive_buffer = receive_buffer  # bytes; 0: the kernel's choice
        self._read_pause_s = read_pause_s  # after the first bytes of a response
        self._local = None if local is None else (local, 0)  # the address that its connections come from
        self._idle: dict[Address, list[tuple[float, RequesterSide]]] = {}

    async def connection(self, address: Address, fresh: bool = False) -> RequesterSide | Outcome:
        """A connection that carries nothing, or the outcome of the failure to open one."""
        idle = self._idle.get(address, [])
        while idle and not fresh:
            since, kept = idle.pop()
            if kept.alive and time.monotonic() - since < self.IDLE_S:
                return kept
            kept.drop()
        made = RequesterSide(self._on_extra, self._read_pause_s)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._connect(made, address)
        except TimeoutError:
            return Outcome("silent", time.monotonic())
        except OSError:
            return Outcome("refused", time.monotonic())
        return made

    async def _connect(self, made: RequesterSide, address: Address) -> None:
        loop = asyncio.get_running_loop()
        if not self._receive_buffer:
            await loop.create_connection(lambda: made, *address, local_addr=self._local)
            return
        sock = socket.socket()
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
            if self._local is not None:
                sock.bind(self._local)
            await loop.sock_connect(sock, address)
            await loop.create_connection(lambda: made, sock=sock)
        except BaseException:
            sock.close()
            raise

    def put_back(self, address: Address, connection: RequesterSide) -> None:
        """Keep a connection for the next request, if it can carry one."""
        idle = self._idle.setdefault(address, [])
        if connection.alive and len(idle) < self.MAX_IDLE:
            idle.append((time.monotonic(), connection))
        else:
            connection.drop()

    def sweep(self) -> None:
        """Close what has idled too long; the owner calls it every second."""
        before = time.monotonic() - self.IDLE_S
        for address, idle in list(self._idle.items()):
            while idle and idle[0][0] < before:
                idle.pop(0)[1].drop()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all kept connections."""
        for idle in self._idle.values():
            for _, connection in idle:
                connection.drop()
        self._idle.clear()


async def get(address: Address, target: str, limit_s: float = 1.0) -> Outcome:
    """One request on a connection of its own."""
    pool = Pool(lambda _: None)
    connection = await pool.connection(address)
    if isinstance(connection, Outcome):
        return connection
    try:
        message = f"GET {target} HTTP/1.1\r\nHost: {address[0]}\r\nConnection: close\r\n\r\n".encode()
        return await asyncio.wait_for(connection.ask("", message), limit_s)
    except TimeoutError:
        return Outcome("timeout", time.monotonic())
    finally:
        connection.drop()
