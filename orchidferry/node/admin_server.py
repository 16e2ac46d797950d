"""The admin server: a second listener for operators, with readiness, metrics and other pages.

It serves HTTP/1.1 with one GET request per connection. A client that sends nothing, an incomplete request or
too much data is answered or closed within `REQUEST_TIMEOUT_S`. Beyond `MAX_CONNECTIONS` the oldest connection
is closed.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import cast

import httptools

from orchidferry.node.address import Address

MAX_CONNECTIONS = 16  # a few monitoring systems, and some clients that send nothing
MAX_REQUEST_BYTES = 4 * 1024  # total size of a request's headers and body
REQUEST_TIMEOUT_S = 2.0  # time for a request to arrive, and again for its answer to be read
BACKLOG = 64  # connections that the kernel queues until they are accepted

PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    503: b"Service Unavailable",
}

PageHandler = Callable[[], tuple[int, bytes]]  # returns the status and text of a page


class AdminConnection(asyncio.Protocol):
    """A connection of one client, which serves a single request."""

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._target = b""
        self._size = 0  # bytes of the request received so far
        self.answered = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self._on_timeout)
        self._server.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self.answered:
            return
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._answer(400, b"malformed HTTP\n")
        if self._size > MAX_REQUEST_BYTES:
            self._answer(413, b"a call holds 4 KiB at most\n")

    def connection_lost(self, exc: Exception | None) -> None:
        self._timer.cancel()
        self._server.connection_closed(self)

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_message_complete(self) -> None:
        if self._parser.get_method() != b"GET":
            return self._answer(405, b"only GET\n")
        handler = self._server.pages.get(self._target.partition(b"?")[0])
        if handler is None:
            return self._answer(404, b"no such path\n")
        self._answer(*handler())
        return None

    def _answer(self, status: int, text: bytes) -> None:
        if self.answered or self._transport is None:
            return
        self.answered = True
        self._transport.write(
            b"HTTP/1.1 %d %b\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n"
            b"Connection: close\r\n\r\n%b" % (status, PHRASES[status], len(text), text)
        )
        self._transport.close()

    def _on_timeout(self) -> None:
        """Answer a client that did not send a request in time; abort one that does not read its answer."""
        if self.answered:
            self.abort()
        else:
            self._answer(408, b"the call took too long to come\n")
            self._timer = asyncio.get_running_loop().call_later(REQUEST_TIMEOUT_S, self.abort)

    def abort(self) -> None:
        """Close the connection at once."""
        if self._transport is not None:
            self._transport.abort()


class AdminServer:
    """The listener for operators and its connections."""

    def __init__(self, pages: dict[bytes, PageHandler]) -> None:
        """:param pages: the pages by path."""
        self.pages = pages
        self._connections: dict[AdminConnection, None] = {}  # all open connections, the oldest one first
        self._server: asyncio.Server | None = None

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Accept connections from now on.

        :returns: the address, with the port that was chosen for port 0.
        :raises OSError: if the address can't be used.
        """
        # With SO_REUSEPORT a new process can use the address while the old one is still shutting down.
        self._server = await loop.create_server(
            lambda: AdminConnection(self),
            *address,
            backlog=BACKLOG,
            reuse_port=hasattr(socket, "SO_REUSEPORT"),
        )
        host, port = self._server.sockets[0].getsockname()[:2]
        return host, port

    def count(self) -> int:
        """Return the number of sockets in use."""
        return len(self._connections) + (self._server is not None)

    def connection_opened(self, connection: AdminConnection) -> None:
        """Register a connection; beyond the limit, abort the oldest one that is not answered yet."""
        self._connections[connection] = None
        if len(self._connections) > MAX_CONNECTIONS:
            next((c for c in self._connections if not c.answered), connection).abort()

    def connection_closed(self, connection: AdminConnection) -> None:
        """Unregister a connection."""
        self._connections.pop(connection, None)

    def close(self) -> None:
        """Stop accepting connections and close the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.abort()
