"""The operators' door: a second listener that tells whether the node is ready, and its figures.

HTTP/1.1, one call a connection, GET only. Whoever sends nothing, half a call or too much is answered or
closed within `REQUEST_TIMEOUT_S`; of more than `MAX_CONNECTIONS` callers the longest there goes.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import httptools

from orchidferry.node.address import Address

MAX_CONNECTIONS = 16  # callers at once: a few watchers, and some that say nothing
MAX_REQUEST_BYTES = 4 * 1024  # of a call, head and body
REQUEST_TIMEOUT_S = 2.0  # for a call to come whole, and for its answer to be read
BACKLOG = 64

PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}

PageHandler = Callable[[], tuple[int, bytes]]  # status and text of one path, made when it is asked for


class AdminConnection(asyncio.Protocol):
    """One caller and its one call."""

    def __init__(self, door: AdminServer) -> None:
        self._door = door
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0
        self._answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._limit = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._late)
        self._door.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._answered:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400, b"malformed HTTP\n")
        if self._size > MAX_REQUEST_BYTES:
            self._answer(413, b"a call holds 4 KiB at most\n")

    def connection_lost(self, exc: Exception | None) -> None:
        self._limit.cancel()
        self._door.closed(self)

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        if self._parser.get_method() != b"GET":
            return self._answer(405, b"only GET\n")
        page = self._door.pages.get(self._target.partition(b"?")[0])
        if page is None:
            return self._answer(404, b"no such path\n")
        self._answer(*page())

    def _answer(self, status: int, text: bytes) -> None:
        if self._answered or self._transport is None:
            return
        self._answered = True
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, PHRASES[status], len(text), text)
        )
        self._transport.close()

    def _late(self) -> None:
        """Its time is up: say so if nothing was said, and be rid of one that does not read."""
        if self._answered:
            self.abort()
        else:
            self._answer(408, b"the call took too long to come\n")
            self._limit = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """End it at once."""
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """The listener, and those who call there."""

    def __init__(self, pages: dict[bytes, PageHandler]) -> None:
        self.pages = pages
        self._calls: dict[AdminConnection, None] = {}  # the longest there first
        self._server: asyncio.Server | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Take calls from now on; the address, with the port that 0 stands for. `OSError` if it can't."""
        # An old process may stand at the address still, if operators give the new one the same.
        self._server = await loop.create_server(
            lambda: AdminConnection(self),
            *address,
            backlog=BACKLOG,
            reuse_port=hasattr(socket, "SO_REUSEPORT"),
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def count(self) -> int:
        """Sockets in use."""
        return len(self._calls) + (self._server is not None)

    def opened(self, call: AdminConnection) -> None:
        """Count a caller in; at the most there may be, the one that has waited longest goes."""
        self._calls[call] = None
        if len(self._calls) > MAX_CONNECTIONS:
            next(iter(self._calls)).abort()

    def closed(self, call: AdminConnection) -> None:
        """Count a caller out."""
        self._calls.pop(call, None)

    def close(self) -> None:
        """Take no more calls, and end those there are."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for call in list(self._calls):
            call.abort()
