"""The callers' side: HTTP in, exactly one answer to each request out.

Whatever a caller sends, only its own connection suffers. Requests that can't be served are turned
away here as errors, never as refusals (429, 503): those are the module's to give.
"""

from __future__ import annotations

import asyncio
import contextlib
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol, cast
from urllib.parse import unquote

import httptools

from orchidferry.config import Address
from orchidferry.upstream import MAX_BODY, MAX_HEAD

BACKLOG = 1024
MOST_BUDGET_S = 3600.0  # a caller that says it waits longer has made a mistake
MOST_PIPELINED = 8  # requests sent ahead on one connection; the protocol says none
READY_PATH = b"/-/ready"
OWN_PATHS = b"/-/"


@dataclass(slots=True)
class Message:
    """A request as it came in, with what must go on unchanged."""

    method: bytes
    target: bytes
    id: str
    cls: str
    budget_ms: float
    tenant: str | None
    again: bool
    key: bytes | None
    content_type: bytes | None
    body: bytes


@dataclass(slots=True)
class Reply:
    """What a caller is told."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after_s: float | None = None


class Owed(Protocol):
    """What the frontend keeps of a request that the node has taken."""

    def caller_gone(self) -> None: ...


class Unacceptable(Exception):
    """A request that can't be taken; the text tells the caller why."""


Accept = Callable[[Message, Callable[[Reply], None]], Owed]


def render(reply: Reply, close: bool) -> bytes:
    """An answer as one piece of bytes, to be written at once."""
    lines = [f"HTTP/1.1 {reply.status} {HTTPStatus(reply.status).phrase}\r\n"]
    if reply.content_type is not None:
        lines.append(f"Content-Type: {reply.content_type.decode('latin-1')}\r\n")
    if reply.retry_after_s is not None:
        lines.append(f"Retry-After: {reply.retry_after_s:.3f}\r\n")
    if close:
        lines.append("Connection: close\r\n")
    lines.append(f"Content-Length: {len(reply.body)}\r\n\r\n")
    return "".join(lines).encode("latin-1") + reply.body


class Caller(asyncio.Protocol):
    """A caller's connection. Answers go out in the order of the requests, one at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self._frontend = frontend
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Message | Reply] = deque()  # read and not yet begun
        self._owed: Owed | None = None  # the one that the node has
        self._busy = self._closing = self._deaf = False
        self._reading = self._completed = False
        self._start_message()

    def _start_message(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._head = self._size = 0
        self._headers_done = False

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by class
        self._frontend.opened(self)

    def data_received(self, data: bytes) -> None:
        if self._deaf:
            return
        self._completed = False
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not supported")
        except httptools.HttpParserError:
            self._reject(400, "malformed HTTP")
        # The parser hands out a header once it is whole: one without end shows only in what was fed.
        if not self._headers_done and not self._completed:
            self._head += len(data)
            if self._head > MAX_HEAD:
                self._reject(431, "headers too large")
        self._serve_next()

    def eof_received(self) -> None:
        return None  # closes: a caller that ends its sending has gone away

    def connection_lost(self, exc: Exception | None) -> None:
        self._deaf = True
        self._queue.clear()
        self._frontend.closed(self)
        if self._owed is not None:
            owed, self._owed = self._owed, None
            owed.caller_gone()

    def idle(self) -> bool:
        """Nothing is owed on it, and nothing is half read."""
        return not self._busy and not self._reading and not self._queue

    def wind_up(self) -> None:
        """Close after what is under way; at once if nothing is."""
        self._closing = True
        if self.idle():
            self._transport.close()

    # The parser's calls. An exception in one of them would count as malformed HTTP.

    def on_message_begin(self) -> None:
        self._reading = True
        self._start_message()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self._size += len(name) + len(value)
        if self._size > MAX_HEAD:
            self._reject(431, "headers too large")
        elif not self._deaf:
            self._headers[name.lower()] = value.strip()

    def on_headers_complete(self) -> None:
        self._headers_done, self._size = True, 0
        if len(self._target) > MAX_HEAD:
            self._reject(431, "target too long")
        length = self._headers.get(b"content-length", b"0")
        if length.isdigit() and int(length[:12]) > MAX_BODY:
            self._reject(413, "body over 64 KiB")

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > MAX_BODY:
            self._reject(413, "body over 64 KiB")
        elif not self._deaf:
            self._body.append(body)

    def on_message_complete(self) -> None:
        self._reading, self._completed = False, True
        if self._deaf:
            return
        if not self._parser.should_keep_alive():
            self._closing = self._deaf = True
        if len(self._queue) >= MOST_PIPELINED:
            return self._reject(400, "too many requests sent ahead")
        try:
            self._queue.append(self._message())
        except Unacceptable as problem:
            self._queue.append(Reply(400, str(problem).encode()))

    # Requests and answers

    def _message(self) -> Message | Reply:
        method, target, headers = self._parser.get_method(), self._target, self._headers
        path = target.partition(b"?")[0]
        if path.startswith(OWN_PATHS):
            return self._frontend.own_path(path)
        if method not in (b"GET", b"POST"):
            return Reply(405, b"only GET and POST are served")
        try:
            id = headers.get(b"x-call-id", b"").decode("ascii")
            cls = unquote(path.decode("ascii").partition("/")[2].partition("/")[0])
            tenant = headers.get(b"x-caller", b"").decode("utf-8") or None
            budget_s = float(headers.get(b"x-budget", b""))
        except ValueError:
            raise Unacceptable("X-Call-Id, X-Budget, X-Caller or the path can't be read") from None
        if not id:
            raise Unacceptable("X-Call-Id is missing")
        if not (math.isfinite(budget_s) and 0.0 < budget_s <= MOST_BUDGET_S):
            raise Unacceptable("X-Budget must be seconds above 0")
        return Message(
            method, target, id, cls, budget_s * 1000.0, tenant, headers.get(b"x-again") == b"1",
            headers.get(b"idempotency-key"), headers.get(b"content-type"), b"".join(self._body),
        )  # fmt: skip

    def _reject(self, status: int, why: str) -> None:
        """Answer what can't be read, after what is owed before it, and read no more."""
        if not self._deaf:
            self._deaf = self._closing = True
            self._reading = False
            self._queue.append(Reply(status, why.encode()))

    def _serve_next(self) -> None:
        while self._queue and not self._busy and not self._transport.is_closing():
            item = self._queue.popleft()
            if isinstance(item, Message):
                self._take(item)
            else:
                self._write(item)

    def _take(self, message: Message) -> None:
        self._busy = True
        try:
            owed = self._frontend.accept(message, self._answer)
        except Unacceptable as problem:
            self._busy = False
            return self._write(Reply(400, str(problem).encode()))
        if self._busy:  # it may have been answered at once
            self._owed = owed

    def _answer(self, reply: Reply) -> None:
        """The node's answer to the request it has."""
        self._owed, self._busy = None, False
        if not self._transport.is_closing():
            self._write(reply)
            self._serve_next()

    def _write(self, reply: Reply) -> None:
        close = self._closing and not self._queue and not self._reading
        self._transport.write(render(reply, close))
        if close:
            self._transport.close()


class Frontend:
    """The listener and all callers' connections."""

    def __init__(
        self,
        accept: Accept,
        ready: Callable[[], bool],
        room: Callable[[], int],
        make_room: Callable[[], object],
    ) -> None:
        self.accept = accept
        self._ready, self._room, self._make_room = ready, room, make_room
        self._callers: dict[Caller, None] = {}  # in the order they came
        self._server: asyncio.Server | None = None
        self._closing = False
        self._empty = asyncio.Event()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Accept callers from now on; the address, with the port that port 0 stands for."""
        server = await loop.create_server(lambda: Caller(self), *address, backlog=BACKLOG)
        self._server = server
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    def count(self) -> int:
        """Callers' connections that are open."""
        return len(self._callers)

    def own_path(self, path: bytes) -> Reply:
        """Answer for the node itself."""
        if path != READY_PATH:
            return Reply(404, b"no such path")
        # Not 503, which would be a refusal: this answers no request, but whoever asks may not know.
        return Reply(200, b"ready") if self._ready() and not self._closing else Reply(500, b"not ready")

    def opened(self, caller: Caller) -> None:
        """Count a caller in; with all sockets in use, one that asks nothing has to go for it."""
        self._callers[caller] = None
        if self._closing:
            caller.wind_up()
        elif self._room() < 0:
            idle = next((c for c in self._callers if c is not caller and c.idle()), None)
            if idle is not None:
                idle.wind_up()
            else:
                self._make_room()

    def closed(self, caller: Caller) -> None:
        """Count a caller out."""
        self._callers.pop(caller, None)
        if not self._callers:
            self._empty.set()

    async def wind_up(self) -> None:
        """Close the listener and what is idle; wait until all that is owed has been answered."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for caller in list(self._callers):
            with contextlib.suppress(RuntimeError):
                caller.wind_up()
        while self._callers:
            self._empty.clear()
            await self._empty.wait()
