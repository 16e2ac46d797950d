"""HTTP/1.1 server and client connections for stand-in servers and clients, on asyncio and httptools.

The client side reports every detail of an exchange that the judge uses: whether the connection was reused,
how and when the exchange ended, and whether unsolicited bytes came.
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
CONNECT_S = 1.0  # timeout for connecting, in seconds; on loopback this takes microseconds
MAX_REQUEST = 256 * 1024  # bytes of one request; the protocol allows 64 KiB of body and 16 KiB of head
MAX_RESPONSE = 8 * 1024 * 1024  # bytes of one response
ABORT = struct.pack("ii", 1, 0)  # SO_LINGER value that makes closing the socket send a reset


@dataclass(slots=True)
class Request:
    """A request as received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    first: float  # when its first byte was read, on the clock time.monotonic
    last: float  # when its last byte was read, on the same clock


class ServerSide(asyncio.Protocol):
    """The server side of a connection.

    It calls `on_made` when connected, `on_request` with each complete request, and `on_lost` at its end.
    """

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
        self._reset_message(0.0)

    def _reset_message(self, first: float) -> None:
        self._target = b""
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._first = first

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.open = True
        self._on_made(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self._read_at = time.monotonic()
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self.reset()
        if self._size > MAX_REQUEST:
            self.reset()

    def on_message_begin(self) -> None:
        """Discard the state of the previous message."""
        self._reset_message(self._read_at)

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Pass the complete request on."""
        method = self._parser.get_method().decode()
        target = self._target.decode("latin-1")
        request = Request(method, target, self._headers, b"".join(self._body), self._first, self._read_at)
        self._size = 0
        self._on_request(self, request)

    def connection_lost(self, exc: Exception | None) -> None:
        """Report the end of the connection."""
        if self.open:
            self.open = False
            self._on_lost(self)

    def answer(self, status: int, body: bytes = b"", headers: str = "") -> None:
        """Write a complete response; do nothing if the connection is closed.

        :param headers: further header lines, each with its line end
        """
        if self.open and not self.transport.is_closing():
            head = f"HTTP/1.1 {status} -\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
            self.transport.write(head.encode("latin-1") + body)

    def reset(self) -> None:
        """Reset the connection, as the kernel does when a process dies."""
        if self.open and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            self.transport.abort()


@dataclass(slots=True)
class Outcome:
    """How an exchange ended.

    `how` is answer; refused or silent (connecting failed or timed out); closed, reset or broken (connection
    ended before, or within, the response, or the response is invalid); or timeout.
    """

    how: str
    t: float  # when the exchange ended, on the clock time.monotonic
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    reused: bool = False  # whether the connection had carried an earlier request


class RequesterSide(asyncio.Protocol):
    """The client side of a connection, with one request at a time."""

    def __init__(self, on_extra: Callable[[str], None], read_pause_s: float = 0.0) -> None:
        self._on_extra = on_extra  # called with the id of the last request when unsolicited bytes come
        self._read_pause_s = read_pause_s  # how long reading pauses after the first bytes of a response
        self.transport: asyncio.Transport
        self.alive = False  # whether the connection is open and usable
        self.used = 0  # requests sent on the connection
        self.last_id = ""  # id of the last request
        self.proven = False  # whether the peer has proven to be a process of the kit
        self._waiting: asyncio.Future[Outcome] | None = None
        self._reset_response()

    def _reset_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body: list[bytes] = []
        self._size = 0
        self._complete = self._keep_alive = self._extra = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)
        self.alive = True

    def ask(self, id: str, message: bytes) -> asyncio.Future[Outcome]:
        """Write a request and return a future of its outcome. The caller cancels it with `drop`."""
        self._reset_response()
        self.last_id = id
        self.used += 1
        self._waiting = asyncio.get_running_loop().create_future()
        self.transport.write(message)
        return self._waiting

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._waiting is None:
            self._reject_extra()
            return None
        if not self._size and self._read_pause_s:
            self.transport.pause_reading()
            asyncio.get_running_loop().call_later(self._read_pause_s, self._resume_reading)
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if not self._complete:
                return self._finish("broken")
            self._extra = True
        if self._complete:
            self._finish("answer")
            if self._extra:
                self._reject_extra()
        elif self._size > MAX_RESPONSE:
            self._finish("broken")
        return None

    def _resume_reading(self) -> None:
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def _reject_extra(self) -> None:
        """Report unsolicited bytes and drop the connection: they could pass for the next response."""
        if self.alive:
            self._on_extra(self.last_id)
            self.drop()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the pending exchange with the connection."""
        self.alive = False
        if self._size:
            self._finish("broken")
        else:
            self._finish("closed" if exc is None else "reset")

    def _finish(self, how: str) -> None:
        waiting = self._waiting
        self._waiting = None
        if waiting is None or waiting.done():
            return
        outcome = Outcome(how, time.monotonic(), reused=self.used > 1)
        if how == "answer":
            outcome.status = self._parser.get_status_code()
            outcome.headers = self._headers
            outcome.body = b"".join(self._body)
        if how != "answer" or not self._keep_alive:
            self.drop()
        waiting.set_result(outcome)

    def drop(self) -> None:
        """Abort the connection, with any request that is pending on it."""
        self.alive = False
        self.transport.abort()

    def on_message_begin(self) -> None:
        """Note a second message after the response as unsolicited bytes."""
        if self._complete:
            self._extra = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header."""
        if not self._complete:
            self._headers[name.decode("latin-1").lower()] = value.decode("latin-1").strip()

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        if not self._complete:
            self._body.append(body)

    def on_message_complete(self) -> None:
        """Mark the response as complete, unless it is an interim (1xx) one."""
        if not self._complete and self._parser.get_status_code() >= 200:
            self._complete, self._keep_alive = True, self._parser.should_keep_alive()


class Pool:
    """A client's idle connections by address, at most `MAX_IDLE` for each."""

    MAX_IDLE = 256
    IDLE_S = 5.0  # shorter than a node's idle timeout of 10 s, so that requests rarely race with its close

    def __init__(
        self,
        on_extra: Callable[[str], None],
        local: str | None = None,
        receive_buffer: int = 0,
        read_pause_s: float = 0.0,
    ) -> None:
        self._on_extra = on_extra
        self._receive_buffer = receive_buffer  # SO_RCVBUF in bytes; 0: the kernel's default
        self._read_pause_s = read_pause_s  # how long reading pauses after the first bytes of a response
        self._local = None if local is None else (local, 0)  # source address of the connections
        self._idle: dict[Address, list[tuple[float, RequesterSide]]] = {}

    async def connection(self, address: Address, fresh: bool = False) -> RequesterSide | Outcome:
        """Return an idle or new connection, or the outcome if connecting failed.

        :param fresh: whether to open a new connection even if there is an idle one
        """
        idle = self._idle.get(address, [])
        while idle and not fresh:
            since, idle_connection = idle.pop()
            if idle_connection.alive and time.monotonic() - since < self.IDLE_S:
                return idle_connection
            idle_connection.drop()
        connection = RequesterSide(self._on_extra, self._read_pause_s)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._connect(connection, address)
        except TimeoutError:
            return Outcome("silent", time.monotonic())
        except OSError:
            return Outcome("refused", time.monotonic())
        return connection

    async def _connect(self, connection: RequesterSide, address: Address) -> None:
        loop = asyncio.get_running_loop()
        if not self._receive_buffer:
            await loop.create_connection(lambda: connection, *address, local_addr=self._local)
            return
        sock = socket.socket()
        try:
            sock.setblocking(False)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer)
            if self._local is not None:
                sock.bind(self._local)
            await loop.sock_connect(sock, address)
            await loop.create_connection(lambda: connection, sock=sock)
        except BaseException:
            sock.close()
            raise

    def put_back(self, address: Address, connection: RequesterSide) -> None:
        """Keep a connection for the next request, or drop it if it is closed or there are enough."""
        idle = self._idle.setdefault(address, [])
        if connection.alive and len(idle) < self.MAX_IDLE:
            idle.append((time.monotonic(), connection))
        else:
            connection.drop()

    def sweep(self) -> None:
        """Close connections that have been idle for too long; the owner calls this every second."""
        before = time.monotonic() - self.IDLE_S
        for address, idle in list(self._idle.items()):
            while idle and idle[0][0] < before:
                idle.pop(0)[1].drop()
            if not idle:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for _, connection in idle:
                connection.drop()
        self._idle.clear()


async def get(address: Address, target: str, limit_s: float = 1.0) -> Outcome:
    """Send a GET request on a connection of its own.

    :param limit_s: timeout for the response, in seconds
    """
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
