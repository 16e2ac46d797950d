"""A bare forwarder on the node's own libraries: uvloop, httptools, kept connections, the next server in turn.

What `bench forward` measures the node against: it decides nothing, holds no deadline and retries nothing.
`python -m orchidferry.testkit.bench.bare HOST:PORT SERVER...`
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
    """The address that a text names."""
    host, _, port = text.rpartition(":")
    return host, int(port)


class Server(asyncio.Protocol):
    """A connection to a server; it carries one request at a time."""

    def __init__(self, pool: deque[Server]) -> None:
        self._pool = pool
        self.transport: asyncio.Transport
        self.caller: Caller | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def carry(self, caller: Caller, message: bytes) -> None:
        """Write a request, and remember whose response comes next."""
        self.caller = caller
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._done = False
        self.transport.write(message)

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        self._parser.feed_data(data)
        if self._done and self.caller is not None:
            caller = self.caller
            self.caller = None
            self._pool.append(self)
            caller.answer(self._parser.get_status_code(), b"".join(self._body))

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The message has come completely."""
        self._done = True

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended."""
        if self in self._pool:
            self._pool.remove(self)
        if self.caller is not None:
            self.caller.answer(502, b"")


class Caller(asyncio.Protocol):
    """A caller's connection."""

    def __init__(self, forwarder: Forwarder) -> None:
        self._forwarder = forwarder
        self._parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Parse what has come."""
        self._parser.feed_data(data)

    def on_message_begin(self) -> None:
        """A message begins."""
        self._target = b""
        self._headers: list[bytes] = []
        self._body: list[bytes] = []

    def on_url(self, url: bytes) -> None:
        """Take a part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        if name.lower() not in (b"host", b"content-length", b"connection"):
            self._headers += [name, b": ", value, b"\r\n"]

    def on_body(self, body: bytes) -> None:
        """Take a part of the body."""
        self._body.append(body)

    def on_message_complete(self) -> None:
        """The message has come completely."""
        body = b"".join(self._body)
        method = self._parser.get_method()
        length = b"Content-Length: %d\r\n" % len(body) if body or method != b"GET" else b""
        head = b"".join((method, b" ", self._target, b" HTTP/1.1\r\nHost: s\r\n", *self._headers, length))
        self._forwarder.forward(self, head + b"\r\n" + body)

    def answer(self, status: int, body: bytes) -> None:
        """Write a response."""
        self.transport.write(b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body)


class Forwarder:
    """All of it."""

    def __init__(self, servers: list[Address]) -> None:
        self._turn = itertools.cycle(servers)
        self._pools: dict[Address, deque[Server]] = {server: deque() for server in servers}
        self._dials: set[asyncio.Task[None]] = set()

    def forward(self, caller: Caller, message: bytes) -> None:
        """Send a request to the next server in turn."""
        server = next(self._turn)
        pool = self._pools[server]
        if pool:
            pool.pop().carry(caller, message)
        else:
            dial = asyncio.get_running_loop().create_task(self._dial(server, pool, caller, message))
            self._dials.add(dial)
            dial.add_done_callback(self._dials.discard)

    async def _dial(self, server: Address, pool: deque[Server], caller: Caller, message: bytes) -> None:
        made = Server(pool)
        try:
            await asyncio.get_running_loop().create_connection(lambda: made, *server)
        except OSError:
            return caller.answer(502, b"")
        made.carry(caller, message)
        return None


async def run(listen: Address, servers: list[Address]) -> None:
    """Forward requests until the process is ended."""
    forwarder = Forwarder(servers)
    server = await asyncio.get_running_loop().create_server(lambda: Caller(forwarder), *listen, backlog=1024)
    await server.serve_forever()


if __name__ == "__main__":
    uvloop.run(run(address(sys.argv[1]), [address(text) for text in sys.stdin.read().split()]))
