"""The discovery client: keeps the list of servers up to date with a long-polling watch.

One call is in flight at a time. When a call fails, the owner is notified and decides when to resubscribe.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, cast

import httptools

from orchidferry.balancing.settings import SettingsFormatError
from orchidferry.node.address import Address
from orchidferry.node.incremental import run_cooperatively
from orchidferry.node.server_listing import ServerListing, decode_listing, parse_listing, read_listing

# How long discovery may hold a watch open. A lost network link is noticed only after that: when the
# first calls were lost, with 20 s all nodes used the list that they had started with throughout a release.
# Continuing a watch does not count as a new call, so a short watch costs discovery little.
WATCH_MS = 2_500
WATCH_GRACE_MS = 1_500  # additional time for the answer: the changes of a watch count as known 2 s after it
CALL_TIMEOUT_MS = 5_000  # timeout of a call that discovery answers at once
CONNECT_TIMEOUT_S = 1.0  # timeout for connecting; otherwise a lost link would use up the time of a watch
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # about 40,000 entries
LONG_LIST_BYTES = 64 * 1024  # bytes; a longer list, of more than about 300 entries, is decoded in steps

LIST_ERRORS = (ValueError, RecursionError, SettingsFormatError)  # raised for a list that can't be decoded


def _parse_object(body: bytes) -> dict[str, Any]:
    obj = json.loads(body)
    if not isinstance(obj, dict):
        raise SettingsFormatError("not an object")
    return obj


class _Connection(asyncio.Protocol):
    """A connection to discovery; passes complete responses and failures to its owner."""

    def __init__(self, owner: Discovery) -> None:
        self._owner = owner
        self.transport: asyncio.Transport | None = None
        self._reset_response()

    def _reset_response(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = 0  # bytes received for the response
        self._complete = False
        self._keep = False  # whether discovery keeps the connection open

    def send(self, request: bytes) -> None:
        """Write a request and wait for its response."""
        self._reset_response()
        assert self.transport is not None
        self.transport.write(request)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self._owner.connection_failed(self, "malformed HTTP response")
        if self._complete:
            status = self._parser.get_status_code()
            self._owner.response_received(self, status, b"".join(self._body), self._keep)
        elif self._size > MAX_RESPONSE_BYTES:
            self._owner.connection_failed(self, f"response longer than {MAX_RESPONSE_BYTES} bytes")
        return None

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.connection_failed(self, "connection lost")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._complete = True
        self._keep = self._parser.should_keep_alive()


class Discovery:
    """Watches the list of servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        index: int,
        on_update: Callable[[ServerListing | None, str], None],
    ) -> None:
        """Create a `Discovery`.

        :param index: discovery's version number of the list that the node already has.
        :param on_update: called with each list or set of changes and an empty text, in order; after a failure
            with None and the reason.
        """
        self._loop = loop
        self._address = address
        self._on_update = on_update
        self._index = index
        self._needs_complete = False  # whether the next call asks for a complete list
        self._closed = False
        self._connection: _Connection | None = None
        # What the call in flight waits for: a response, or a task that connects or decodes; None: no call
        self._call: _Connection | asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def subscribe(self) -> None:
        """Watch for changes since the current list; no effect if a watch is in flight."""
        if self._call is None and not self._closed:
            self._start_call()

    def move(self, address: Address) -> None:
        """Use another address from now on, and request a complete list first.

        The version numbers there may differ from those of the old address. A call in flight is abandoned.
        """
        if not self._closed:
            self._end_call()
            self._disconnect()
            self._address = address
            self._needs_complete = True
            self._start_call()

    def close(self) -> None:
        """End the watch."""
        self._closed = True
        self._end_call()
        self._disconnect()

    def _start_call(self) -> None:
        query = "" if self._needs_complete else f"?index={self._index}&wait={WATCH_MS}"
        request = (
            f"GET /api/targets{query} HTTP/1.1\r\nHost: {self._address[0]}:{self._address[1]}\r\n\r\n"
        ).encode()
        limit_ms = CALL_TIMEOUT_MS if self._needs_complete else WATCH_MS + WATCH_GRACE_MS
        # A lost network link causes no error, even with TCP: without a timeout the watch would hang forever.
        self._timer = self._loop.call_later(limit_ms / 1000.0, self._on_timeout)
        if self._connection is not None:
            self._call = self._connection
            self._connection.send(request)
        else:
            self._call = self._loop.create_task(self._connect(request))

    async def _connect(self, request: bytes) -> None:
        task = self._call
        connection = _Connection(self)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: connection, *self._address)
        except OSError as problem:  # includes `TimeoutError`
            if self._call is task:
                self._fail(f"can't connect: {problem or 'timed out'}")
            return
        finally:
            # The call was cancelled or replaced: a connection that opened nevertheless is not used.
            if self._call is not task and connection.transport is not None:
                connection.transport.abort()
        if self._call is task:
            self._connection = self._call = connection
            connection.send(request)

    def _on_timeout(self) -> None:
        self._fail("no response within the time limit")

    def _end_call(self) -> None:
        if isinstance(self._call, asyncio.Task):
            self._call.cancel()
        self._call = None
        if self._timer is not None:
            self._timer.cancel()

    def _disconnect(self) -> None:
        connection = self._connection
        self._connection = None
        if connection is not None and connection.transport is not None:
            connection.transport.abort()

    def connection_failed(self, connection: _Connection, reason: str) -> None:
        """Drop a connection that can no longer be used; a call in flight on it fails."""
        if connection is self._call:
            self._fail(reason)
        elif connection is self._connection:
            self._disconnect()

    def _fail(self, reason: str) -> None:
        self._end_call()
        self._disconnect()
        self._on_update(None, reason)

    def response_received(self, connection: _Connection, status: int, body: bytes, keep: bool) -> None:
        """Handle a complete response.

        :param keep: whether the connection stays open.
        """
        if connection is not self._call:
            return self.connection_failed(connection, "response without a request")
        if status != 200:
            return self._fail(f"response status {status}")
        if len(body) <= LONG_LIST_BYTES:
            try:
                listing = read_listing(_parse_object(body))
            except LIST_ERRORS as problem:
                return self._fail(f"can't decode the server list: {problem!s:.100}")
            return self._take(listing, keep)
        # A long list is decoded in steps, so that requests are served in between; meanwhile this call still
        # counts as in flight.
        if self._timer is not None:
            self._timer.cancel()
        self._call = self._loop.create_task(self._read_in_steps(body, keep))
        return None

    async def _read_in_steps(self, body: bytes, keep: bool) -> None:
        task = self._call
        try:
            obj = await run_cooperatively(parse_listing(body))
            listing = await run_cooperatively(decode_listing(obj))
        except LIST_ERRORS as problem:
            if self._call is task:
                self._fail(f"can't decode the server list: {problem!s:.100}")
            return
        if self._call is task:  # the watch was not moved or closed meanwhile
            self._call = None
            self._take(listing, keep)

    def _take(self, listing: ServerListing, keep: bool) -> None:
        """Continue the watch, then pass on a list.

        The next call is made first: discovery treats a watch as continued only if it arrives within 200 ms.
        """
        self._end_call()
        if not keep:
            self._disconnect()
        if not listing.complete and (self._needs_complete or listing.index < self._index):
            self._needs_complete = True  # these changes apply to a different list than the node's
            return self._start_call()
        self._index = listing.index
        self._needs_complete = False
        self._start_call()
        if listing.complete or listing.entries:
            self._on_update(listing, "")
        return None
