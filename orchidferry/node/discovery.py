"""Discovery: the list of servers, kept up to date by a watch.

One call is out at a time. When a call fails the node is told, and it says when to ask again.
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

# How long discovery may keep a watch open. Its silence shows only after that: in incident r32b5e5 first
# calls were lost, and with 20 s all nodes sent through a whole release by the list they had started with.
# A watch that goes on is no new call, so this costs discovery next to nothing.
WATCH_MS = 2_500
GRACE_MS = 1_500  # what it gets beyond that: 2 s after the wait its news counts as told
CALL_MS = 5_000  # for a call that need not wait for news
CONNECT_S = 1.0  # for a connection to come up; a cut link would use up the whole of a watch's time
MAX_LIST = 8 * 1024 * 1024  # some 40,000 entries
LONG_BODY = 64 * 1024  # bytes of a list that are read in one go: some 300 entries


def _parsed(body: bytes) -> dict[str, Any]:
    obj = json.loads(body)
    if not isinstance(obj, dict):
        raise SettingsFormatError("not an object")
    return obj


class _Channel(asyncio.Protocol):
    """A connection to discovery; whole answers or their failure go to its owner."""

    def __init__(self, owner: Discovery) -> None:
        self._owner = owner
        self.transport: asyncio.Transport | None = None
        self._start_answer()

    def _start_answer(self) -> None:
        self._parser = httptools.HttpResponseParser(self)
        self._body: list[bytes] = []
        self._size = 0
        self._complete = self._keep = False

    def ask(self, request: bytes) -> None:
        self._start_answer()
        assert self.transport is not None
        self.transport.write(request)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # uvloop's is none by class

    def data_received(self, data: bytes) -> None:
        self._size += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            return self._owner.failed(self, "an answer that can't be read")
        if self._complete:
            status = self._parser.get_status_code()
            self._owner.answered(self, status, b"".join(self._body), self._keep)
        elif self._size > MAX_LIST:
            self._owner.failed(self, "an answer without end")

    def connection_lost(self, exc: Exception | None) -> None:
        self._owner.failed(self, "the connection broke")

    def on_body(self, body: bytes) -> None:
        self._body.append(body)

    def on_message_complete(self) -> None:
        self._complete, self._keep = True, self._parser.should_keep_alive()


class Discovery:
    """Keeps the list; `news` gets each part of it in order, or None when a call has failed."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: Address,
        index: int,
        news: Callable[[ServerListing | None, str], None],
    ) -> None:
        self._loop = loop
        self._address = address
        self._news = news
        self._index = index
        self._whole = False  # the next call asks for the whole list
        self._closed = False
        self._channel: _Channel | None = None
        self._asking: _Channel | asyncio.Task[None] | None = None  # what the call that is out runs on
        self._timer: asyncio.TimerHandle | None = None

    def subscribe(self) -> None:
        """Watch from the list as held; nothing if a watch is on."""
        if self._asking is None and not self._closed:
            self._ask()

    def move(self, address: Address) -> None:
        """Ask at another address from now on, for the whole list first.

        Versions there need not be those of the old address, and what the old one had still to say is
        never heard: its call ends here.
        """
        if not self._closed:
            self._end_call()
            self._drop()
            self._address = address
            self._whole = True
            self._ask()

    def close(self) -> None:
        """Stop for good."""
        self._closed = True
        self._end_call()
        self._drop()

    def _ask(self) -> None:
        query = "" if self._whole else f"?index={self._index}&wait={WATCH_MS}"
        request = (
            f"GET /api/targets{query} HTTP/1.1\r\nHost: {self._address[0]}:{self._address[1]}\r\n\r\n"
        ).encode()
        limit_ms = CALL_MS if self._whole else WATCH_MS + GRACE_MS
        # A cut link says nothing, not even on TCP: without this the watch would wait for ever.
        self._timer = self._loop.call_later(limit_ms / 1000.0, self._silent)
        if self._channel is not None:
            self._asking = self._channel
            self._channel.ask(request)
        else:
            self._asking = self._loop.create_task(self._dial(request))

    async def _dial(self, request: bytes) -> None:
        task, channel = self._asking, _Channel(self)
        try:
            async with asyncio.timeout(CONNECT_S):
                await self._loop.create_connection(lambda: channel, *self._address)
        except OSError as problem:  # the time-out is one too
            if self._asking is task:
                self._fail(f"can't connect: {problem or 'no answer'}")
            return
        finally:
            # Called off, or late: what came up all the same belongs to nobody.
            if self._asking is not task and channel.transport is not None:
                channel.transport.abort()
        if self._asking is task:
            self._channel = self._asking = channel
            channel.ask(request)

    def _silent(self) -> None:
        self._fail("no answer in time")

    def _end_call(self) -> None:
        if isinstance(self._asking, asyncio.Task):
            self._asking.cancel()
        self._asking = None
        if self._timer is not None:
            self._timer.cancel()

    def _drop(self) -> None:
        channel = self._channel
        self._channel = None
        if channel is not None and channel.transport is not None:
            channel.transport.abort()

    def failed(self, channel: _Channel, why: str) -> None:
        """A connection is of no further use; a failure if a call was out on it."""
        if channel is self._asking:
            self._fail(why)
        elif channel is self._channel:
            self._drop()

    def _fail(self, why: str) -> None:
        self._end_call()
        self._drop()
        self._news(None, why)

    def answered(self, channel: _Channel, status: int, body: bytes, keep: bool) -> None:
        """Take an answer, and ask for what comes next before it is worked through."""
        if channel is not self._asking:
            return self.failed(channel, "an answer that nobody asked for")
        if status != 200:
            return self._fail(f"status {status}")
        if len(body) <= LONG_BODY:
            try:
                listing = read_listing(_parsed(body))
            except (ValueError, RecursionError, SettingsFormatError) as problem:
                return self._fail(f"a list that can't be read: {problem!s:.100}")
            return self._take(listing, keep)
        # A long one is read in steps, as requests are waiting; until then this call counts as out.
        if self._timer is not None:
            self._timer.cancel()
        self._asking = self._loop.create_task(self._read(body, keep))

    async def _read(self, body: bytes, keep: bool) -> None:
        task = self._asking
        try:
            listing = await run_cooperatively(decode_listing(await run_cooperatively(parse_listing(body))))
        except (ValueError, RecursionError, SettingsFormatError) as problem:
            if self._asking is task:
                self._fail(f"a list that can't be read: {problem!s:.100}")
            return
        if self._asking is task:  # nobody moved or closed it meanwhile
            self._asking = None
            self._take(listing, keep)

    def _take(self, listing: ServerListing, keep: bool) -> None:
        """Go on from a list that was read: the next watch first, as it must come within 200 ms."""
        self._end_call()
        if not keep:
            self._drop()
        if not listing.complete and (self._whole or listing.index < self._index):
            self._whole = True  # changes to a list that we don't hold
            return self._ask()
        self._index = listing.index
        self._whole = False
        # A watch goes on only if the next call comes within 200 ms.
        self._ask()
        if listing.complete or listing.entries:
            self._news(listing, "")
