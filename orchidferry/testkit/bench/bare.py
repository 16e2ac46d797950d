"""A minimal round-robin forwarder on the libraries of the node: uvloop, httptools, persistent connections.

The baseline of `bench forward`: it has no load balancing, no deadlines and no retries.
`python -m orchidferry.testkit.bench.bare HOST:PORT` reads the addresses of the servers from standard input.
"""

from __future__ import annotations

import asyncio
import itertools
import sys
from collections import deque
from typing import cast

import httptools
import uvloop

Address = tuple[str, int]


def address(text: str) -> Address:
    """Parse `HOST:PORT`."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class ServerConnection(asyncio.Protocol):
    """A connection to a server, which carries one request at a time."""

    def __init__(self, pool: deque[ServerConnection]) -> None:
        self._pool = pool
        self.transport: asyncio.Transport
        self.client: ClientConnection | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def send(self, client: ClientConnection, message: bytes) -> None:
        """Write a request, and remember the client that waits for its response."""
        self.client = client
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._done = False
        self.transport.write(message)

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        self._parser.feed_data(data)
        if self._done and self.client is not None:
            client = self.client
            self.client = None
            self._pool.append(self)
            client.answer(self._parser.get_status_code(), b"".join(self._body))

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The response is complete."""
        self._done = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the closed connection from its pool, and answer a pending request with 502."""
        if self in self._pool:
            self._pool.remove(self)
        if self.client is not None:
            self.client.answer(502, b"")


class ClientConnection(asyncio.Protocol):
    """A connection from a client."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse received data."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """Start a new request."""
        self._target = b""
        self._headers: list[bytes] = []
        self._body: list[bytes] = []

    def on_url(self, url: bytes) -> None:
        """Append a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, except for those that the forwarder sets itself."""
        if name.lower() not in (b"host", b"content-length", b"connection"):
            self._headers += [name, b": ", value, b"\r\n"]

    def on_body(self, body: bytes) -> None:
        """Append a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Forward the complete request."""
        body = b"".join(self._body)
        method = self._parser.get_method()
        length = b"Content-Length: %d\r\n" % len(body) if body or method != b"GET" else b""
        head = b"".join((method, b" ", self._target, b" HTTP/1.1\r\nHost: s\r\n", *self._headers, length))
        self._forwarder.forward(self, head + b"\r\n" + body)

    def answer(self, status: int, body: bytes) -> None:
        """Write a response."""
        self.transport.write(b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)


class Forwarder:
    """Forwards requests to the servers in turn, over a pool of connections to each."""

    def __init__(self, servers: list[Address]) -> None:
        self._next_server = itertools.cycle(servers)
        self._pools: dict[Address, deque[ServerConnection]] = {server: deque() for server in servers}
        self._dials: set[asyncio.Task[None]] = set()

    def forward(self, client: ClientConnection, message: bytes) -> None:
        """Send a request to the next server in turn."""
        server = next(self._next_server)
        pool = self._pools[server]
        if pool:
            pool.pop().send(client, message)
        else:
            dial = asyncio.get_running_loop().create_task(self._dial(server, pool, client, message))
            self._dials.add(dial)
            dial.add_done_callback(self._dials.discard)

    async def _dial(
        self, server: Address, pool: deque[ServerConnection], client: ClientConnection, message: bytes
    ) -> None:
        connection = ServerConnection(pool)
        try:
            await asyncio.get_running_loop().create_connection(lambda: connection, *server)
        except OSError:
            return client.answer(502, b"")
        connection.send(client, message)
        return None


async def run(listen: Address, servers: list[Address]) -> None:
    """Forward requests until the process is killed."""
    forwarder = Forwarder(servers)
    server = await asyncio.get_running_loop().create_server(
        lambda: ClientConnection(forwarder), *listen, backlog=1024
    )
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(run(address(sys.argv[1]), [address(text) for text in sys.stdin.read().split()]))
