"""The callers' side: HTTP in, exactly one answer to each request out.

Whatever a caller sends, only its own connection suffers. Requests that can't be served are turned
away here as errors, never as refusals (429, 503): those are the module's to give.

A caller's connection always waits for one thing at a time, its stage, and each stage has a limit. The
frontend keeps the connections of a stage in the order in which they came to it, so that one sweep
ends those over their limit, and the first of a stage is the one to go when sockets run short.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from typing import Protocol, cast

import httptools

from orchidferry.balancing import interface as api
from orchidferry.node.address import Address
from orchidferry.node.flow import LONG_BODY, BodyTooLongError, Flow, MemoryPool
from orchidferry.node.request import SINGLE, Message, RequestError, check_framing, read_message
from orchidferry.node.upstream import MAX_BODY, MAX_HEAD, chunk

BACKLOG = 1024
MAX_PIPELINED = 8  # requests sent ahead on one connection; the protocol says none
PROGRESS = 32 * 1024  # bytes of a body
SWEEP_S = 0.2  # how often stages are looked at; limits are late by so much at most
READY_PATH = b"/-/ready"
NODE_PATHS = b"/-/"
TOO_LONG = "the body is too long"


STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}


class Stage(Enum):
    """What a caller's connection waits for."""

    NEW = "its first request, whole"
    READING = "the rest of a request"
    SERVING = "an answer from the node"
    FLOWING = "the rest of a long answer, or to read it"
    IDLE = "the next request"
    BLOCKED = "the caller, to read what it was sent"
    LEAVING = "the caller, to read the last that it was sent"


LIMITS_S = {
    # A silent or slow caller is owed an error or a close within 3 s of connecting; a sound one may take 2 s
    # for a head, and then sends at 64 kB/s at least: each `PROGRESS` of a body begins its time anew.
    Stage.NEW: 2.6,
    Stage.READING: 2.6,
    Stage.IDLE: 10.0,  # many ask once and stay; a reconnect of one that asks again costs it little
    Stage.BLOCKED: 8.0,  # some take seconds to read
    Stage.LEAVING: 2.0,
}  # SERVING and FLOWING have none of their own: requests end at their deadline, flows when they stand still
# Who goes first for a new caller at the most there may be: those that never asked, then the longest idle.
EVICTION_ORDER = (Stage.LEAVING, Stage.BLOCKED, Stage.NEW, Stage.IDLE)


@dataclass(slots=True)
class Reply:
    """What a caller is told."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after_s: float | None = None
    flow: Flow | None = None  # the body, where it is too long to hold
    more: Sequence[tuple[bytes, bytes]] = ()  # headers


class RequestHandle(Protocol):
    """What the frontend keeps of a request that the node has taken."""

    def client_disconnected(self) -> None: ...


Accept = Callable[[Message, Callable[[Reply], None]], RequestHandle]


def render(reply: Reply, close: bool, alt_svc: bytes | None = None) -> bytes:
    """An answer as one piece of bytes, to be written at once."""
    length = len(reply.body) if reply.flow is None else reply.flow.length
    return b"%b%b%b%b%b%b%b\r\n%b" % (
        STATUS_LINES.get(reply.status) or b"HTTP/1.1 %d Other\r\n" % reply.status,
        b"Content-Type: %b\r\n" % reply.content_type if reply.content_type is not None else b"",
        b"Retry-After: %.3f\r\n" % reply.retry_after_s if reply.retry_after_s is not None else b"",
        b"Alt-Svc: %b\r\n" % alt_svc if alt_svc is not None else b"",
        b"".join([b"%b: %b\r\n" % header for header in reply.more]) if reply.more else b"",
        b"Connection: close\r\n" if close else b"",
        b"Content-Length: %d\r\n" % length if length is not None else b"Transfer-Encoding: chunked\r\n",
        reply.body,
    )


class ClientConnection(asyncio.Protocol):
    """A caller's connection. Answers go out in the order of the requests, one at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self.stage: Stage | None = None  # None: not open
        self._frontend = frontend
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Message | Reply] = deque()  # read and not yet begun
        self._pending: RequestHandle | None = None  # the one that the node has
        self._error_reply: Reply | None = None  # for what can't be read; nothing more is
        self._busy = self._closing = self._input_closed = self._write_paused = self._finished = False
        self._reading = self._completed = self._has_requested = False
        self._source_paused = False  # a long body waits for whoever it is fed to
        self._request_flow: Flow | None = None  # the long body that comes, and
        self._response_flow: Flow | None = None  # the one that goes
        self._body_progress = 0  # bytes of a body since its time began anew
        self._start_message()

    def _start_message(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._head = self._fields = self._size = 0
        self._headers_done = False

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by class
        self._frontend.connection_opened(self)

    def data_received(self, data: bytes) -> None:
        if self._input_closed:
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
            if self._head > self._frontend.max_header_bytes:
                self._reject(431, "headers too large")
        if self._error_reply is not None:
            self._close_with_error(self._error_reply)
        else:
            self._serve_next()
        self._update_stage()

    def eof_received(self) -> None:
        # Closes, once what was written is out: a caller that ends its sending has gone away.
        self._input_closed = self._closing = self._finished = True
        self._update_stage()

    def pause_writing(self) -> None:
        """The caller does not read: take nothing more from it, and give it so long."""
        self._write_paused = True
        self._transport.pause_reading()
        if self._response_flow is not None:
            self._response_flow.block()
        self._update_stage()

    def resume_writing(self) -> None:
        self._write_paused = False
        if self._response_flow is not None:
            self._response_flow.unblock(self._frontend.now_s())
        if not self._finished and not self._transport.is_closing():
            if not self._source_paused:
                self._transport.resume_reading()
            self._serve_next()
            self._update_stage()

    def connection_lost(self, exc: Exception | None) -> None:
        self._input_closed = True
        self._queue.clear()
        self._frontend.connection_closed(self)
        self._release_request()

    def _release_request(self) -> None:
        """Tell the node that nobody waits for the request it has."""
        owed = self._pending
        self._pending = None
        self._busy = False
        if owed is not None:
            owed.client_disconnected()
        flow = self._request_flow
        self._request_flow = None
        if flow is not None:
            flow.fail()
        flow = self._response_flow
        self._response_flow = None
        if flow is not None:
            flow.cancel()

    # A long request comes (a Source), a long answer goes (a Sink)

    def pause(self) -> None:
        self._source_paused = True
        if not self._transport.is_closing():
            self._transport.pause_reading()
            self._update_stage()

    def resume(self) -> None:
        self._source_paused = False
        if not self._write_paused and not self._finished and not self._transport.is_closing():
            self._transport.resume_reading()
            self._update_stage()

    def flow_cancelled(self) -> None:
        """Nobody wants the rest of it: what still comes is dropped, so that the caller gets to read why."""

    def feed(self, data: bytes) -> None:
        if self._response_flow is not None and not self._transport.is_closing():
            self._transport.write(data if self._response_flow.length is not None else chunk(data))

    def end(self) -> None:
        flow = self._response_flow
        self._response_flow = None
        self._busy = False
        if flow is None or self._transport.is_closing():
            return
        if flow.length is None:
            self._transport.write(b"0\r\n\r\n")
        flow.delivered()
        if self._closing and not self._queue and not self._reading:
            self._transport.close()
        self._serve_next()
        self._update_stage()

    def flow_failed(self) -> None:
        """The rest never comes: a close tells the caller that it is not whole."""
        self._response_flow = None
        self._input_closed = True
        self._closing = True
        self._finished = True
        self._queue.clear()
        self._release_request()
        self._transport.close()
        self._update_stage()

    def _update_stage(self) -> None:
        """Note what the connection waits for now."""
        if self._response_flow is not None and not self._finished and not self._transport.is_closing():
            stage = Stage.FLOWING
        elif self._finished or self._transport.is_closing():
            stage = Stage.LEAVING
        elif self._write_paused:
            stage = Stage.BLOCKED
        elif self._source_paused:
            stage = Stage.SERVING  # it waits for the node to read on
        elif self._request_flow is not None:
            stage = Stage.READING
        elif self._busy or self._queue:
            stage = Stage.SERVING
        elif not self._has_requested:
            stage = Stage.NEW
        else:
            stage = Stage.READING if self._reading else Stage.IDLE
        self._frontend.set_stage(self, stage)

    def close_gracefully(self) -> None:
        """Close after what is under way; at once if nothing is."""
        self._closing = True
        if not self._busy and not self._reading and not self._queue:
            self._transport.close()
            self._update_stage()

    def on_stage_timeout(self) -> None:
        """Its stage has lasted too long."""
        if self.stage is Stage.LEAVING or self.stage is Stage.BLOCKED:
            self.abort()
        elif self._reading:
            self._close_with_error(Reply(408, b"the request took too long to come"))
        else:
            self._closing = True
            self._transport.close()
            self._update_stage()

    def abort(self) -> None:
        """End it at once, whatever is on it."""
        self._input_closed = self._finished = True
        self._frontend.connection_closed(self)  # now: its socket is as good as given back
        self._transport.abort()

    # The parser's calls. An exception in one of them would count as malformed HTTP.

    def on_message_begin(self) -> None:
        self._reading = True
        self._start_message()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        self._fields += len(name) + len(value)
        if self._fields > self._frontend.max_header_bytes:
            self._reject(431, "headers too large")
        elif self._headers_done:
            return  # a trailer: nothing here asks for them, and none may stand in for a header
        elif name in self._frontend.unique_headers and name in self._headers:
            self._reject(400, "a header came twice")
        elif not self._input_closed:
            self._headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        self._headers_done = True
        if len(self._target) > self._frontend.max_header_bytes:
            self._reject(431, "target too long")
        if b"transfer-encoding" in self._headers:
            try:
                check_framing(self._headers, self._parser.get_http_version())
            except RequestError as problem:
                self._reject(400, str(problem))
        length = self._headers.get(b"content-length")
        if length is not None and length.isdigit() and int(length[:12]) > self._frontend.body_limit:
            self._reject(413, TOO_LONG)
        elif self._headers.get(b"expect", b"").lower() == b"100-continue" and not self._input_closed:
            self._send_continue()
        self._frontend.restart_stage(self)

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        self._body_progress += len(body)
        if self._body_progress >= PROGRESS:
            self._body_progress = 0
            self._frontend.restart_stage(self)
        if self._input_closed:
            return
        if self._request_flow is not None:
            try:
                self._request_flow.push(body, self._frontend.now_s())
            except BodyTooLongError:
                self._reject(413, TOO_LONG)
            return
        self._body.append(body)
        if self._size > self._frontend.max_buffered_body:
            self._start_request_flow()

    def _send_continue(self) -> None:
        """The caller waits for a word before it sends its body (RFC 9110, section 10.1.1)."""
        if not self._busy and not self._queue and self._parser.get_http_version() != "1.0":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_request_flow(self) -> None:
        """The body is too long to hold: the request is taken now, and the rest goes through as it comes."""
        length = self._headers.get(b"content-length")
        flow = Flow(
            self,
            int(length) if length is not None else None,
            self._frontend.now_s(),
            self._frontend.pool,
            self._frontend.body_limit,
        )
        pieces = self._body
        self._body = []
        if len(self._queue) >= MAX_PIPELINED:
            return self._reject(400, "too many requests sent ahead")
        try:
            message = self._build_message(flow)
            for piece in pieces:
                flow.push(piece, self._frontend.now_s())
        except RequestError as problem:
            return self._reject(400, str(problem))
        except BodyTooLongError:
            return self._reject(413, TOO_LONG)
        self._request_flow = flow
        self._queue.append(message)
        self._serve_next()

    def on_message_complete(self) -> None:
        if self._input_closed:
            return
        self._reading = False
        self._completed = True
        if self._request_flow is not None:
            flow = self._request_flow
            self._request_flow = None
            if not self._parser.should_keep_alive():
                self._closing = self._input_closed = True
            flow.finish()
            if self._closing and not self._busy and not self._queue:
                self._input_closed = True
                self._transport.close()  # it was answered before
            return
        if len(self._queue) >= MAX_PIPELINED:
            return self._reject(400, "too many requests sent ahead")
        if not self._parser.should_keep_alive():
            self._closing = self._input_closed = True
        try:
            self._queue.append(self._build_message())
        except RequestError as problem:
            self._reject(400, str(problem))

    # Requests and answers

    def _build_message(self, flow: Flow | None = None) -> Message | Reply:
        method = self._parser.get_method()
        body = b"".join(self._body)
        message = self._frontend.read(method, self._target, self._headers, body, flow)
        if isinstance(message, Reply):
            return message
        message.long_answer = self._parser.get_http_version() != "1.0"
        return message

    def _reject(self, status: int, why: str) -> None:
        """Note what is wrong; the first thing counts. Nothing after it is read."""
        if self._error_reply is None:
            self._input_closed = True
            self._error_reply = Reply(status, why.encode())

    def _close_with_error(self, reply: Reply) -> None:
        """End the connection with an error now.

        Whatever else waits on it goes with it: a caller that can't be understood is not made to wait
        for what it asked before, and what it sends next can't be told apart any more.
        """
        self._input_closed = self._closing = self._finished = True
        self._queue.clear()
        self._release_request()
        if self._transport.is_closing():
            return
        self._transport.write(render(reply, close=True))
        if self._reading and not self._completed:
            # Closing now would reset it, and the error might never be read.
            self._transport.pause_reading()
            self._transport.write_eof()
        else:
            self._transport.close()
        self._update_stage()

    def _serve_next(self) -> None:
        while self._queue and not self._busy and not self._write_paused and not self._transport.is_closing():
            item = self._queue.popleft()
            if isinstance(item, Message):
                self._start_request(item)
            else:
                self._write_reply(item)

    def _start_request(self, message: Message) -> None:
        self._busy = True
        try:
            owed = self._frontend.accept(message, self._on_reply)
        except RequestError as problem:
            self._busy = False
            return self._close_with_error(Reply(400, str(problem).encode()))
        self._has_requested = True
        if self._busy:  # it may have been answered at once
            self._pending = owed

    def _on_reply(self, reply: Reply) -> None:
        """The node's answer to the request it has."""
        self._pending = None
        self._busy = False
        if reply.flow is not None:
            return self._start_streaming(reply, reply.flow)
        if (
            self._request_flow is not None
        ):  # it is still coming: what comes is dropped, and the connection ends with it
            self._closing = True
            self._request_flow.fail()
            self.resume()
        if not self._transport.is_closing():
            self._write_reply(reply)
            self._serve_next()
            self._update_stage()

    def _start_streaming(self, reply: Reply, flow: Flow) -> None:
        """Begin an answer that flows."""
        if self._transport.is_closing():
            return flow.cancel()
        self._busy = True
        self._response_flow = flow
        close = self._closing and not self._queue and not self._reading
        self._transport.write(render(reply, close, self._frontend.alt_svc))
        flow.attach(self)
        self._update_stage()

    def _write_reply(self, reply: Reply) -> None:
        early = self._request_flow is not None  # what still comes of it is dropped first
        close = self._closing and not self._queue and (early or not self._reading)
        self._transport.write(render(reply, close, self._frontend.alt_svc))
        if close and not early:
            self._transport.close()


class Frontend:
    """The listener and all callers' connections."""

    connection_class: type[ClientConnection] = ClientConnection  # what its connections speak
    unique_headers = SINGLE  # headers that may come once
    max_buffered_body = MAX_BODY  # bytes of a request that are read whole; a longer one flows
    max_header_bytes = MAX_HEAD  # bytes of a head
    max_body_bytes: int | None = None  # bytes of a body; None: `LONG_BODY`
    limits_s = LIMITS_S  # how long each stage may last

    def __init__(
        self,
        classes: dict[str, api.RequestClass],
        accept: Accept,
        ready: Callable[[], bool],
        max_connections: int,
        pool: MemoryPool,
    ) -> None:
        self.classes = classes
        self.accept = accept
        self._ready = ready
        self._max_connections = max_connections
        self.pool = pool
        self.alt_svc: bytes | None = None  # where else callers may ask (RFC 7838)
        self._stages: dict[Stage, dict[ClientConnection, float]] = {stage: {} for stage in Stage}
        self._server: asyncio.Server | None = None
        self._loop: asyncio.AbstractEventLoop
        self._leaving = self._closing = False
        self._empty = asyncio.Event()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Accept callers from now on; the address, with the port that port 0 stands for."""
        self._loop = loop
        server = await loop.create_server(
            lambda: self.connection_class(self), *address, backlog=BACKLOG, reuse_port=True
        )
        self._server = server
        self._sweep()
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def body_limit(self) -> int:
        """Bytes of the longest body that is taken."""
        return LONG_BODY if self.max_body_bytes is None else self.max_body_bytes

    def count(self) -> int:
        """Callers' connections that are open."""
        return sum(map(len, self._stages.values()))

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """A whole request, or what to answer to it at once; `RequestError` says what is wrong with it."""
        if target.startswith(NODE_PATHS):
            return self.node_page(target.partition(b"?")[0])
        return read_message(self.classes, method, target, headers, body, flow)

    def node_page(self, path: bytes) -> Reply:
        """Answer for the node itself."""
        if path != READY_PATH:
            return Reply(404, b"no such path")
        # Not 503, which would be a refusal: this answers no request, but whoever asks may not know.
        return Reply(200, b"ready") if self._ready() and not self._leaving else Reply(500, b"not ready")

    def connection_opened(self, caller: ClientConnection) -> None:
        """Count a caller in; at the most there may be, one that is owed nothing goes for it."""
        caller.stage = Stage.NEW
        self._stages[Stage.NEW][caller] = self._loop.time()
        if self._closing:
            caller.close_gracefully()
        elif self.count() > self._max_connections:
            others = (c for stage in EVICTION_ORDER for c in self._stages[stage] if c is not caller)
            next(others, caller).abort()

    def set_stage(self, caller: ClientConnection, stage: Stage) -> None:
        """A caller waits for something else; its time begins anew if so."""
        if caller.stage is not None and caller.stage is not stage:
            del self._stages[caller.stage][caller]
            caller.stage = stage
            self._stages[stage][caller] = self._loop.time()

    def now_s(self) -> float:
        """The clock that stages and flows go by."""
        return self._loop.time()

    def restart_stage(self, caller: ClientConnection) -> None:
        """A caller whose request is coming has got on with it: its time begins anew."""
        if caller.stage is Stage.READING or caller.stage is Stage.NEW:
            del self._stages[caller.stage][caller]
            self._stages[caller.stage][caller] = self._loop.time()

    def connection_closed(self, caller: ClientConnection) -> None:
        """Count a caller out."""
        if caller.stage is not None:
            del self._stages[caller.stage][caller]
            caller.stage = None
        if not self.count():
            self._empty.set()

    def _sweep(self) -> None:
        """End what has waited too long. Each stage is in order of time, so only its head is looked at."""
        self._loop.call_later(SWEEP_S, self._sweep)
        now = self._loop.time()
        for stage, limit_s in self.limits_s.items():
            late = []
            for caller, since in self._stages[stage].items():
                if now - since < limit_s:
                    break
                late.append(caller)
            for caller in late:
                caller.on_stage_timeout()

    def set_not_ready(self) -> None:
        """Be ready no more: whoever asks sends its callers elsewhere."""
        self._leaving = True

    def close_listener(self) -> None:
        """Take no new connections; go on with those there are."""
        if self._server is not None:
            self._server.close()

    async def close_gracefully(self) -> None:
        """Close what is idle; wait until all that is owed has been answered."""
        self._closing = True
        for stage in Stage:
            for caller in list(self._stages[stage]):
                caller.close_gracefully()
        await self.wait_closed()

    async def wait_closed(self) -> None:
        """Wait until no caller is left."""
        while self.count():
            self._empty.clear()
            await self._empty.wait()

    def abort(self) -> None:
        """End all that is left."""
        for stage in Stage:
            for caller in list(self._stages[stage]):
                caller.abort()
