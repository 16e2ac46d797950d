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
from orchidferry.node.config import Address
from orchidferry.node.flow import LONG_BODY, BodyTooLongError, Flow, Pool
from orchidferry.node.request import SINGLE, Message, RequestError, check_framing, read_message
from orchidferry.node.upstream import MAX_BODY, MAX_HEAD, chunk

BACKLOG = 1024
MAX_PIPELINED = 8  # requests sent ahead on one connection; the protocol says none
PROGRESS = 32 * 1024  # bytes of a body
SWEEP_S = 0.2  # how often stages are looked at; limits are late by so much at most
READY_PATH = b"/-/ready"
OWN_PATHS = b"/-/"
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
    CHOKED = "the caller, to read what it was sent"
    LEAVING = "the caller, to read the last that it was sent"


LIMITS_S = {
    # A silent or slow caller is owed an error or a close within 3 s of connecting; a sound one may take 2 s
    # for a head, and then sends at 64 kB/s at least: each `PROGRESS` of a body begins its time anew.
    Stage.NEW: 2.6,
    Stage.READING: 2.6,
    Stage.IDLE: 10.0,  # many ask once and stay; a reconnect of one that asks again costs it little
    Stage.CHOKED: 8.0,  # some take seconds to read
    Stage.LEAVING: 2.0,
}  # SERVING and FLOWING have none of their own: requests end at their deadline, flows when they stand still
# Who goes first for a new caller at the most there may be: those that never asked, then the longest idle.
EXPENDABLE = (Stage.LEAVING, Stage.CHOKED, Stage.NEW, Stage.IDLE)


@dataclass(slots=True)
class Reply:
    """What a caller is told."""

    status: int
    body: bytes = b""
    content_type: bytes | None = None
    retry_after_s: float | None = None
    flow: Flow | None = None  # the body, where it is too long to hold
    more: Sequence[tuple[bytes, bytes]] = ()  # headers


class Owed(Protocol):
    """What the frontend keeps of a request that the node has taken."""

    def caller_gone(self) -> None: ...


Accept = Callable[[Message, Callable[[Reply], None]], Owed]


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


class Caller(asyncio.Protocol):
    """A caller's connection. Answers go out in the order of the requests, one at a time."""

    def __init__(self, frontend: Frontend) -> None:
        self.stage: Stage | None = None  # None: not open
        self._frontend = frontend
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Message | Reply] = deque()  # read and not yet begun
        self._owed: Owed | None = None  # the one that the node has
        self._refusal: Reply | None = None  # for what can't be read; nothing more is
        self._busy = self._closing = self._deaf = self._choked = self._ended = False
        self._reading = self._completed = self._asked = False
        self._held = False  # a long body waits for whoever it is fed to
        self._in: Flow | None = None  # the long body that comes, and
        self._out: Flow | None = None  # the one that goes
        self._fed = 0  # bytes of a body since its time began anew
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
            if self._head > self._frontend.head_most:
                self._reject(431, "headers too large")
        if self._refusal is not None:
            self._turn_away(self._refusal)
        else:
            self._serve_next()
        self._settle()

    def eof_received(self) -> None:
        # Closes, once what was written is out: a caller that ends its sending has gone away.
        self._deaf = self._closing = self._ended = True
        self._settle()

    def pause_writing(self) -> None:
        """The caller does not read: take nothing more from it, and give it so long."""
        self._choked = True
        self._transport.pause_reading()
        if self._out is not None:
            self._out.choke()
        self._settle()

    def resume_writing(self) -> None:
        self._choked = False
        if self._out is not None:
            self._out.release(self._frontend.now_s())
        if not self._ended and not self._transport.is_closing():
            if not self._held:
                self._transport.resume_reading()
            self._serve_next()
            self._settle()

    def connection_lost(self, exc: Exception | None) -> None:
        self._deaf = True
        self._queue.clear()
        self._frontend.closed(self)
        self._let_go()

    def _let_go(self) -> None:
        """Tell the node that nobody waits for the request it has."""
        owed = self._owed
        self._owed = None
        self._busy = False
        if owed is not None:
            owed.caller_gone()
        flow = self._in
        self._in = None
        if flow is not None:
            flow.fail()
        flow = self._out
        self._out = None
        if flow is not None:
            flow.call_off()

    # A long request comes (a Source), a long answer goes (a Sink)

    def hold(self) -> None:
        self._held = True
        if not self._transport.is_closing():
            self._transport.pause_reading()
            self._settle()

    def go_on(self) -> None:
        self._held = False
        if not self._choked and not self._ended and not self._transport.is_closing():
            self._transport.resume_reading()
            self._settle()

    def called_off(self) -> None:
        """Nobody wants the rest of it: what still comes is dropped, so that the caller gets to read why."""

    def feed(self, data: bytes) -> None:
        if self._out is not None and not self._transport.is_closing():
            self._transport.write(data if self._out.length is not None else chunk(data))

    def end(self) -> None:
        flow = self._out
        self._out = None
        self._busy = False
        if flow is None or self._transport.is_closing():
            return
        if flow.length is None:
            self._transport.write(b"0\r\n\r\n")
        flow.fed()
        if self._closing and not self._queue and not self._reading:
            self._transport.close()
        self._serve_next()
        self._settle()

    def broken(self) -> None:
        """The rest never comes: a close tells the caller that it is not whole."""
        self._out = None
        self._deaf = True
        self._closing = True
        self._ended = True
        self._queue.clear()
        self._let_go()
        self._transport.close()
        self._settle()

    def _settle(self) -> None:
        """Note what the connection waits for now."""
        if self._out is not None and not self._ended and not self._transport.is_closing():
            stage = Stage.FLOWING
        elif self._ended or self._transport.is_closing():
            stage = Stage.LEAVING
        elif self._choked:
            stage = Stage.CHOKED
        elif self._held:
            stage = Stage.SERVING  # it waits for the node to read on
        elif self._in is not None:
            stage = Stage.READING
        elif self._busy or self._queue:
            stage = Stage.SERVING
        elif not self._asked:
            stage = Stage.NEW
        else:
            stage = Stage.READING if self._reading else Stage.IDLE
        self._frontend.moved(self, stage)

    def wind_up(self) -> None:
        """Close after what is under way; at once if nothing is."""
        self._closing = True
        if not self._busy and not self._reading and not self._queue:
            self._transport.close()
            self._settle()

    def time_out(self) -> None:
        """Its stage has lasted too long."""
        if self.stage is Stage.LEAVING or self.stage is Stage.CHOKED:
            self.abort()
        elif self._reading:
            self._turn_away(Reply(408, b"the request took too long to come"))
        else:
            self._closing = True
            self._transport.close()
            self._settle()

    def abort(self) -> None:
        """End it at once, whatever is on it."""
        self._deaf = self._ended = True
        self._frontend.closed(self)  # now: its socket is as good as given back
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
        if self._fields > self._frontend.head_most:
            self._reject(431, "headers too large")
        elif self._headers_done:
            return  # a trailer: nothing here asks for them, and none may stand in for a header
        elif name in self._frontend.single and name in self._headers:
            self._reject(400, "a header came twice")
        elif not self._deaf:
            self._headers[name] = value.strip()

    def on_headers_complete(self) -> None:
        self._headers_done = True
        if len(self._target) > self._frontend.head_most:
            self._reject(431, "target too long")
        if b"transfer-encoding" in self._headers:
            try:
                check_framing(self._headers, self._parser.get_http_version())
            except RequestError as problem:
                self._reject(400, str(problem))
        length = self._headers.get(b"content-length")
        if length is not None and length.isdigit() and int(length[:12]) > self._frontend.longest_body:
            self._reject(413, TOO_LONG)
        elif self._headers.get(b"expect", b"").lower() == b"100-continue" and not self._deaf:
            self._expects()
        self._frontend.progress(self)

    def on_body(self, body: bytes) -> None:
        self._size += len(body)
        self._fed += len(body)
        if self._fed >= PROGRESS:
            self._fed = 0
            self._frontend.progress(self)
        if self._deaf:
            return
        if self._in is not None:
            try:
                self._in.push(body, self._frontend.now_s())
            except BodyTooLongError:
                self._reject(413, TOO_LONG)
            return
        self._body.append(body)
        if self._size > self._frontend.held_most:
            self._let_flow()

    def _expects(self) -> None:
        """The caller waits for a word before it sends its body (RFC 9110, section 10.1.1)."""
        if not self._busy and not self._queue and self._parser.get_http_version() != "1.0":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _let_flow(self) -> None:
        """The body is too long to hold: the request is taken now, and the rest goes through as it comes."""
        length = self._headers.get(b"content-length")
        flow = Flow(
            self,
            int(length) if length is not None else None,
            self._frontend.now_s(),
            self._frontend.pool,
            self._frontend.longest_body,
        )
        pieces = self._body
        self._body = []
        if len(self._queue) >= MAX_PIPELINED:
            return self._reject(400, "too many requests sent ahead")
        try:
            message = self._message(flow)
            for piece in pieces:
                flow.push(piece, self._frontend.now_s())
        except RequestError as problem:
            return self._reject(400, str(problem))
        except BodyTooLongError:
            return self._reject(413, TOO_LONG)
        self._in = flow
        self._queue.append(message)
        self._serve_next()

    def on_message_complete(self) -> None:
        if self._deaf:
            return
        self._reading = False
        self._completed = True
        if self._in is not None:
            flow = self._in
            self._in = None
            if not self._parser.should_keep_alive():
                self._closing = self._deaf = True
            flow.finish()
            if self._closing and not self._busy and not self._queue:
                self._deaf = True
                self._transport.close()  # it was answered before
            return
        if len(self._queue) >= MAX_PIPELINED:
            return self._reject(400, "too many requests sent ahead")
        if not self._parser.should_keep_alive():
            self._closing = self._deaf = True
        try:
            self._queue.append(self._message())
        except RequestError as problem:
            self._reject(400, str(problem))

    # Requests and answers

    def _message(self, flow: Flow | None = None) -> Message | Reply:
        method = self._parser.get_method()
        body = b"".join(self._body)
        message = self._frontend.read(method, self._target, self._headers, body, flow)
        if isinstance(message, Reply):
            return message
        message.long_answer = self._parser.get_http_version() != "1.0"
        return message

    def _reject(self, status: int, why: str) -> None:
        """Note what is wrong; the first thing counts. Nothing after it is read."""
        if self._refusal is None:
            self._deaf = True
            self._refusal = Reply(status, why.encode())

    def _turn_away(self, reply: Reply) -> None:
        """End the connection with an error now.

        Whatever else waits on it goes with it: a caller that can't be understood is not made to wait
        for what it asked before, and what it sends next can't be told apart any more.
        """
        self._deaf = self._closing = self._ended = True
        self._queue.clear()
        self._let_go()
        if self._transport.is_closing():
            return
        self._transport.write(render(reply, close=True))
        if self._reading and not self._completed:
            # Closing now would reset it, and the error might never be read.
            self._transport.pause_reading()
            self._transport.write_eof()
        else:
            self._transport.close()
        self._settle()

    def _serve_next(self) -> None:
        while self._queue and not self._busy and not self._choked and not self._transport.is_closing():
            item = self._queue.popleft()
            if isinstance(item, Message):
                self._take(item)
            else:
                self._write(item)

    def _take(self, message: Message) -> None:
        self._busy = True
        try:
            owed = self._frontend.accept(message, self._answer)
        except RequestError as problem:
            self._busy = False
            return self._turn_away(Reply(400, str(problem).encode()))
        self._asked = True
        if self._busy:  # it may have been answered at once
            self._owed = owed

    def _answer(self, reply: Reply) -> None:
        """The node's answer to the request it has."""
        self._owed = None
        self._busy = False
        if reply.flow is not None:
            return self._give(reply, reply.flow)
        if self._in is not None:  # it is still coming: what comes is dropped, and the connection ends with it
            self._closing = True
            self._in.fail()
            self.go_on()
        if not self._transport.is_closing():
            self._write(reply)
            self._serve_next()
            self._settle()

    def _give(self, reply: Reply, flow: Flow) -> None:
        """Begin an answer that flows."""
        if self._transport.is_closing():
            return flow.call_off()
        self._busy = True
        self._out = flow
        close = self._closing and not self._queue and not self._reading
        self._transport.write(render(reply, close, self._frontend.alt_svc))
        flow.attach(self)
        self._settle()

    def _write(self, reply: Reply) -> None:
        early = self._in is not None  # what still comes of it is dropped first
        close = self._closing and not self._queue and (early or not self._reading)
        self._transport.write(render(reply, close, self._frontend.alt_svc))
        if close and not early:
            self._transport.close()


class Frontend:
    """The listener and all callers' connections."""

    kind: type[Caller] = Caller  # what its connections speak
    single = SINGLE  # headers that may come once
    held_most = MAX_BODY  # bytes of a request that are read whole; a longer one flows
    head_most = MAX_HEAD  # bytes of a head
    body_most: int | None = None  # bytes of a body; None: `LONG_BODY`
    limits_s = LIMITS_S  # how long each stage may last

    def __init__(
        self,
        classes: dict[str, api.RequestClass],
        accept: Accept,
        ready: Callable[[], bool],
        most: int,
        pool: Pool,
    ) -> None:
        self.classes = classes
        self.accept = accept
        self._ready = ready
        self._most = most
        self.pool = pool
        self.alt_svc: bytes | None = None  # where else callers may ask (RFC 7838)
        self._stages: dict[Stage, dict[Caller, float]] = {stage: {} for stage in Stage}
        self._server: asyncio.Server | None = None
        self._loop: asyncio.AbstractEventLoop
        self._leaving = self._closing = False
        self._empty = asyncio.Event()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Accept callers from now on; the address, with the port that port 0 stands for."""
        self._loop = loop
        server = await loop.create_server(lambda: self.kind(self), *address, backlog=BACKLOG, reuse_port=True)
        self._server = server
        self._sweep()
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def longest_body(self) -> int:
        """Bytes of the longest body that is taken."""
        return LONG_BODY if self.body_most is None else self.body_most

    def count(self) -> int:
        """Callers' connections that are open."""
        return sum(map(len, self._stages.values()))

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """A whole request, or what to answer to it at once; `RequestError` says what is wrong with it."""
        if target.startswith(OWN_PATHS):
            return self.own_path(target.partition(b"?")[0])
        return read_message(self.classes, method, target, headers, body, flow)

    def own_path(self, path: bytes) -> Reply:
        """Answer for the node itself."""
        if path != READY_PATH:
            return Reply(404, b"no such path")
        # Not 503, which would be a refusal: this answers no request, but whoever asks may not know.
        return Reply(200, b"ready") if self._ready() and not self._leaving else Reply(500, b"not ready")

    def opened(self, caller: Caller) -> None:
        """Count a caller in; at the most there may be, one that is owed nothing goes for it."""
        caller.stage = Stage.NEW
        self._stages[Stage.NEW][caller] = self._loop.time()
        if self._closing:
            caller.wind_up()
        elif self.count() > self._most:
            others = (c for stage in EXPENDABLE for c in self._stages[stage] if c is not caller)
            next(others, caller).abort()

    def moved(self, caller: Caller, stage: Stage) -> None:
        """A caller waits for something else; its time begins anew if so."""
        if caller.stage is not None and caller.stage is not stage:
            del self._stages[caller.stage][caller]
            caller.stage = stage
            self._stages[stage][caller] = self._loop.time()

    def now_s(self) -> float:
        """The clock that stages and flows go by."""
        return self._loop.time()

    def progress(self, caller: Caller) -> None:
        """A caller whose request is coming has got on with it: its time begins anew."""
        if caller.stage is Stage.READING or caller.stage is Stage.NEW:
            del self._stages[caller.stage][caller]
            self._stages[caller.stage][caller] = self._loop.time()

    def closed(self, caller: Caller) -> None:
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
                caller.time_out()

    def leave(self) -> None:
        """Be ready no more: whoever asks sends its callers elsewhere."""
        self._leaving = True

    def close_listener(self) -> None:
        """Take no new connections; go on with those there are."""
        if self._server is not None:
            self._server.close()

    async def wind_up(self) -> None:
        """Close what is idle; wait until all that is owed has been answered."""
        self._closing = True
        for stage in Stage:
            for caller in list(self._stages[stage]):
                caller.wind_up()
        await self.empty()

    async def empty(self) -> None:
        """Wait until no caller is left."""
        while self.count():
            self._empty.clear()
            await self._empty.wait()

    def abort(self) -> None:
        """End all that is left."""
        for stage in Stage:
            for caller in list(self._stages[stage]):
                caller.abort()
