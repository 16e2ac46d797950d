"""Connections to servers: attempts go out on them and end in exactly one outcome each.

What an outcome says about whether the attempt ran decides what may be sent again, so the line
between 'never ran' and 'may have run' is drawn at the last byte written, as the protocol draws it.
"""

from __future__ import annotations

import asyncio
import errno
import logging
import math
import select
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import cast

import httptools

from orchidferry.balancing.interface import Result
from orchidferry.node.address import Address
from orchidferry.node.clock import now_ms
from orchidferry.node.flow import LONG_BODY, SHORT_BODY, BodyTooLongError, Flow
from orchidferry.node.request import Message
from orchidferry.node.timer_queue import TimerQueue

MAX_BODY = SHORT_BODY
MAX_HEAD = 16 * 1024
MAX_REPORTED = 1e6  # of any figure in a load report
IDLE_LIMIT_FRACTION = 0.5  # of the servers' idle limit: a request that crosses their close ends as a reset
# What a dial fails with for want of something here, whatever the server does.
LOCAL_SHORTAGE = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))
UPLOAD_STALL_S = 4.0  # a server that takes nothing of a long request for so long is given up
SWEEP_S = 1.0  # how often connections that have idled too long are looked for

log = logging.getLogger("orchidferry")


@dataclass(slots=True)
class UpstreamResponse:
    """What a server answered."""

    status: int
    body: bytes
    content_type: bytes | None
    report: dict[str, float] | None
    flow: Flow | None = None  # the body, where it is too long to hold; `body` is empty then
    chain: bytes | None = None  # what its server's own calls met, where it tells


class Attempt:
    """One copy of a request on its way to one server; reports its outcome exactly once.

    Whoever makes attempts says what `may_send` and `ended` are.
    """

    __slots__ = (
        "_timeout",
        "_timers",
        "_cancel_io",
        "address",
        "message",
        "more",
        "over",
        "server",
        "timeout_ms",
        "written",
    )

    def __init__(self, message: Message, server: int, address: Address, timeout_ms: float) -> None:
        self.message = message
        self.server = server
        self.address = address
        self.timeout_ms = timeout_ms
        self.more: list[tuple[bytes, bytes]] = []  # headers besides the message's own
        self.written = self.over = False
        self._timers: TimerQueue | None = None
        self._timeout = 0
        self._cancel_io: Callable[[], object] | None = None

    def head_bytes(self) -> bytes:
        """The request as it goes to the server, with its body unless that flows."""
        return request_bytes(self.message, self.address, self.timeout_ms, self.more)

    def may_send(self) -> bool:
        """Whether it may still go out: asked after a wait for a connection."""
        raise NotImplementedError

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        """It is over; called once."""
        raise NotImplementedError

    def on_sent(self) -> None:
        """Its last byte is written: from now on it may have run."""
        self.written = True

    def set_timeout(self, timers: TimerQueue, delay_s: float) -> None:
        """Time it out then."""
        if self._timers is not None:
            self._timers.cancel(self._timeout)
        self._timers, self._timeout = timers, timers.schedule(delay_s, self.on_timeout)

    def extend_timeout(self, delay_s: float) -> None:
        """Time it out later, so long from now."""
        if self._timers is not None and not self.over:
            self.set_timeout(self._timers, delay_s)

    def set_cancel_io(self, cancel_io: Callable[[], object]) -> None:
        """Note what stops the attempt where it is: its dial, or its connection."""
        self._cancel_io = cancel_io

    def end(self, result: Result, answer: UpstreamResponse | None = None) -> None:
        """Report the outcome, unless one was reported before."""
        if self.over:
            return
        self.over = True
        self._cancel_io = None
        if self._timers is not None:
            self._timers.cancel(self._timeout)
        self.ended(result, answer)

    def abort(self, result: Result) -> None:
        """Stop waiting: closing the connection is what tells the server."""
        if not self.over:
            cancel_io = self._cancel_io
            if cancel_io is not None:
                cancel_io()
            self.end(result)

    def on_timeout(self) -> None:
        # Not all of it written: the server can't have begun, as it waits for the last byte.
        self.abort(Result.TIMEOUT if self.written else Result.UNREACHABLE)


def framing(message: Message) -> bytes:
    """The header that tells a server where the body ends."""
    flow = message.flow
    if flow is None:
        return (
            b"Content-Length: %d\r\n" % len(message.body) if message.body or message.method != b"GET" else b""
        )
    return (
        b"Transfer-Encoding: chunked\r\n" if flow.length is None else b"Content-Length: %d\r\n" % flow.length
    )


def chunk(data: bytes) -> bytes:
    """A piece of a body in the chunked coding (RFC 9112, section 7.1)."""
    return b"%x\r\n%b\r\n" % (len(data), data)


def request_bytes(
    message: Message, address: Address, timeout_ms: float, more: Sequence[tuple[bytes, bytes]] = ()
) -> bytes:
    """A request as it goes to a server, in one piece; its budget is what is left for this attempt."""
    return b"%b %b HTTP/1.1\r\nHost: %b:%d\r\nX-Call-Id: %b\r\nX-Budget: %.3f\r\n%b%b%b%b\r\n%b" % (
        message.method,
        message.target,
        address[0].encode(),
        address[1],
        message.id.encode(),
        timeout_ms / 1000.0,
        b"Idempotency-Key: %b\r\n" % message.key if message.key is not None else b"",
        b"Content-Type: %b\r\n" % message.content_type if message.content_type is not None else b"",
        framing(message),
        b"".join([b"%b: %b\r\n" % header for header in more]) if more else b"",
        message.body,
    )


def classify_response(status: int, rejected: bool) -> Result:
    """What a whole answer means for its attempt."""
    if status == 200:
        return Result.SERVED
    return Result.REFUSED if rejected and status in (503, 504) else Result.ERROR


def read_report(text: bytes) -> dict[str, float] | None:
    """A load report; one that can't be read counts as none, negative values (they are noisy) as 0.

    Huge ones are cut: the module takes powers of them, and an overflow would stop every pick.
    """
    try:
        pairs = [part.split("=") for part in text.decode("ascii").split(",")]
        report = {name.strip(): float(value) for name, value in pairs}
    except ValueError:
        return None
    if not all(map(math.isfinite, report.values())):
        return None
    return {name: min(max(0.0, value), MAX_REPORTED) for name, value in report.items()}


class Connection(asyncio.Protocol):
    """A connection to a server, which carries one attempt at a time."""

    __slots__ = (
        "_attempt",
        "_body",
        "_complete",
        "_framing_headers",
        "_head",
        "_in_body",
        "_keep",
        "_lost",
        "_parser",
        "_paused",
        "_poll",
        "_upstream",
        "_rejected",
        "_report",
        "_size",
        "_malformed",
        "_status",
        "_transport",
        "_response_flow",
        "_chain",
        "_length",
        "_server_closes",
        "_type",
        "_upload",
        "_uploaded_s",
        "address",
        "idle_since",
        "server",
    )

    max_buffered_body = MAX_BODY  # bytes of an answer that are read whole; a longer one flows

    def __init__(self, pool: Upstream, server: int, address: Address) -> None:
        self.server = server
        self.address = address
        self.idle_since = 0.0
        self._upstream = pool
        self._transport: asyncio.Transport
        self._attempt: Attempt | None = None
        # no socket yet
        self._paused = False
        self._lost = True
        self._upload: Flow | None = None  # the body that it is fed
        self._uploaded_s = 0.0  # when that moved last
        self._response_flow: Flow | None = None  # the body that it gives
        # One for all answers: a connection is kept only where the last one ended the message it parsed.
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()

    def _reset_response(self) -> None:
        self._body: list[bytes] = []
        self._size = self._head = self._status = 0
        self._type: bytes | None = None
        self._report: dict[str, float] | None = None
        self._chain: bytes | None = None
        self._rejected = self._complete = self._in_body = self._malformed = self._keep = False
        self._framing_headers = 0  # headers that tell where the body ends
        self._length: int | None = None
        self._server_closes = False  # the server closes after this answer

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is none by class
        self._lost = False
        self._poll = select.poll()
        self._poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        # Nothing may wait in the transport unseen: at a limit of 0 a write goes out at once, and
        # `pause_writing` tells of what did not fit.
        self._transport.set_write_buffer_limits(0)

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        if self._upload is not None:
            self._upload.unblock(self._upstream.now_s())
            if self._upload is not None:
                self._upload_progressed()
        elif self._attempt is not None and not self._attempt.written:
            self._attempt.on_sent()

    def data_received(self, data: bytes) -> None:
        if self._attempt is None and self._response_flow is None:
            return self.close()  # nobody asked: the next answer on it could be somebody else's
        try:
            if not self._in_body:
                self._head += len(data)
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._malformed = True
        except httptools.HttpParserError:
            self._malformed = self._malformed or not self._complete
            self._keep = False  # more than the answer came: of no further use
        if self._response_flow is not None:
            if self._malformed:
                self._response_flow.fail()
                self.close()
            elif self._complete:
                self._stream_finished()
        elif self._complete and not self._malformed:
            self._response_complete()
        elif self._malformed or (not self._in_body and self._head > MAX_HEAD):
            self._finish_attempt(Result.ERROR, reuse=False)

    def eof_received(self) -> None:
        return None  # closes, and `connection_lost` reports

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        self._upstream.forget(self)
        if self._server_closes and self._in_body and exc is None:  # this was the end of its answer
            if self._response_flow is not None:
                return self._stream_finished()
            if self._attempt is not None and not self._malformed:
                self._complete = True
                return self._response_complete()
        if self._response_flow is not None:
            self._response_flow.fail()
        if self._attempt is not None:
            self._finish_attempt(Result.RESET if self._attempt.written else Result.UNREACHABLE, reuse=False)

    def close(self) -> None:
        """Close now, whatever it carries."""
        self._upstream.forget(self)
        self._attempt = None
        self._detach_upload()
        if not self._lost:
            self._transport.abort()

    # Attempts

    def is_reusable(self) -> bool:
        """Whether a request may be written: open as far as known, and nothing unread.

        The loop reads only once a turn. An end or a stray byte that has come in since would turn a
        request written now into a reset that may have run, so the socket itself is asked.
        """
        if self._lost or self._transport.is_closing():
            return False
        return not self._poll.poll(0)

    def send_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for its answer."""
        self._attempt = attempt
        self._reset_response()
        attempt.set_cancel_io(self.close)
        self._transport.write(attempt.head_bytes())
        flow = attempt.message.flow
        if self._transport.is_closing():  # the write itself failed
            self._finish_attempt(Result.UNREACHABLE, reuse=False)
        elif flow is not None:
            self._upload = flow
            flow.attach(self)
        elif not self._paused:
            attempt.on_sent()

    # A long request: it is fed what comes

    def feed(self, data: bytes) -> None:
        if self._upload is None or self._transport.is_closing():
            return  # its end is on its way
        self._transport.write(data if self._upload.length is not None else chunk(data))
        if self._paused:
            self._upload.block()
        else:
            self._upload_progressed()

    def _upload_progressed(self) -> None:
        """Some of the long request has gone out: it has a while for the next."""
        now_s = self._upstream.now_s()
        if self._attempt is not None and now_s - self._uploaded_s > UPLOAD_STALL_S / 8.0:
            self._uploaded_s = now_s
            self._attempt.extend_timeout(UPLOAD_STALL_S)

    def end(self) -> None:
        flow = self._upload
        if flow is not None and flow.length is None and not self._transport.is_closing():
            self._transport.write(b"0\r\n\r\n")
        self._detach_upload()
        if self._attempt is not None and not self._paused:
            self._attempt.on_sent()

    def flow_failed(self) -> None:
        self._finish_attempt(Result.UNREACHABLE, reuse=False)

    def _detach_upload(self) -> None:
        flow = self._upload
        self._upload = None
        if flow is not None:
            flow.detach(self)

    # A long answer: it gives what comes

    def pause(self) -> None:
        if not self._lost:
            self._transport.pause_reading()

    def resume(self) -> None:
        if not self._lost and not self._transport.is_closing():
            self._transport.resume_reading()

    def flow_cancelled(self) -> None:
        self._response_flow = None
        self.close()

    def _stream_body(self) -> bool:
        """Let a long answer flow from here on, if whoever asked can take it; whether it does."""
        attempt = self._attempt
        wanted = attempt is not None and attempt.message.long_answer and attempt.written
        if not wanted or self._status != 200 or self._malformed or attempt is None:
            return False
        now_s = self._upstream.now_s()
        flow = self._response_flow = Flow(self, self._length, now_s)
        self._attempt = None
        pieces = self._body
        self._body = []
        for piece in pieces:
            flow.push(piece, now_s)
        attempt.end(Result.SERVED, self._build_response(b"", flow))
        return True

    def _build_response(self, body: bytes, flow: Flow | None = None) -> UpstreamResponse:
        """The answer that has come."""
        return UpstreamResponse(self._status, body, self._type, self._report, flow, self._chain)

    def _classify(self, answer: UpstreamResponse) -> Result:
        """What it means for the attempt."""
        return classify_response(answer.status, self._rejected)

    def _stream_finished(self) -> None:
        """The last of a long answer has come."""
        flow = self._response_flow
        self._response_flow = None
        keep = self._keep and not self._lost and not self._transport.is_closing()
        if keep:
            self._upstream.return_connection(self)
        else:
            self.close()
        if flow is not None:
            if flow.length is not None and flow.received_bytes < flow.length:
                flow.fail()
            flow.finish()

    def _response_complete(self) -> None:
        answer = self._build_response(b"".join(self._body))
        self._finish_attempt(self._classify(answer), self._keep, answer)

    def _finish_attempt(self, result: Result, reuse: bool, answer: UpstreamResponse | None = None) -> None:
        attempt = self._attempt
        self._attempt = None
        self._detach_upload()
        # Whether anything unread has come is asked before the next use, as it may come until then.
        written = attempt is not None and attempt.written
        if reuse and written and not self._paused and not self._lost and not self._transport.is_closing():
            self._upstream.return_connection(self)  # first: what the outcome sets off may use it
        else:
            self.close()
        if attempt is not None:
            attempt.end(result, answer)

    # The parser's calls

    def on_message_begin(self) -> None:
        if self._complete:  # a second answer that nobody asked for
            self._keep = False

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete:
            return
        match name.lower():
            case b"transfer-encoding":
                self._framing_headers += 1
            case b"content-length":
                self._framing_headers += 1
                self._length = int(value)
                self._malformed = self._malformed or self._length > LONG_BODY
            case b"content-type":
                self._type = value
            case b"connection":
                self._server_closes = value.strip().lower() == b"close"
            case b"x-rejected":
                self._rejected = value.strip() == b"1"
            case b"x-load-report":
                self._report = read_report(value)
            case b"x-chain":
                self._chain = value

    def on_headers_complete(self) -> None:
        if not self._complete:
            self._status = self._parser.get_status_code()
            self._in_body = True
            # With none the answer ends with the connection, if it says that it will; of two, one lies.
            self._server_closes = not self._framing_headers and self._server_closes
            self._malformed = self._malformed or (
                self._status >= 200 and self._framing_headers != 1 and not self._server_closes
            )
            if self._status >= 200 and self._length is not None and self._length > self.max_buffered_body:
                self._malformed = self._malformed or not self._stream_body()

    def on_body(self, body: bytes) -> None:
        if self._complete:
            return
        if self._response_flow is not None:
            try:
                self._response_flow.push(body, self._upstream.now_s())
            except BodyTooLongError:
                self._malformed = True
            return
        self._size += len(body)
        self._body.append(body)
        if self._size > self.max_buffered_body and not self._stream_body():
            self._malformed = True
            self._body.clear()

    def on_message_complete(self) -> None:
        if self._complete:
            return
        if 100 <= self._status < 200:  # an interim answer: the real one follows
            self._in_body = False
            self._rejected = False
            self._report = None
            self._type = None
            self._framing_headers = 0
            self._length = None
            self._server_closes = False
            return
        self._complete, self._keep = True, self._parser.should_keep_alive()


class Upstream:
    """All connections to servers."""

    connection_class: type[Connection] = Connection  # what its connections speak
    local_ip: str | None = None  # the address that they come from; None: the kernel's choice

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        keepalive_ms: float,
        free_sockets: Callable[[], int],
        timers: TimerQueue,
    ) -> None:
        self._loop = loop
        self._free_sockets = free_sockets
        self.timers = timers
        self._connect_timeout_s = connect_timeout_ms / 1000.0
        self._idle_limit_ms = keepalive_ms * IDLE_LIMIT_FRACTION
        self._idle: dict[int, list[Connection]] = {}  # none is empty for longer than its last one is in use
        self._idle_by_age: dict[Connection, None] = {}  # all of these, the longest idle first
        self._open: set[Connection] = set()
        self._dials: set[asyncio.Task[None]] = set()
        loop.call_later(SWEEP_S, self._sweep)

    def configure(self, connect_timeout_ms: float, keepalive_ms: float) -> None:
        """Other limits from now on."""
        self._connect_timeout_s = connect_timeout_ms / 1000.0
        self._idle_limit_ms = keepalive_ms * IDLE_LIMIT_FRACTION

    def now_s(self) -> float:
        """The clock that flows go by."""
        return self._loop.time()

    def count(self) -> int:
        """Sockets in use, those that are being opened too."""
        return len(self._open) + len(self._dials)

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Start an attempt, on a new connection if `fresh`; it may be over before this returns."""
        wait_s = attempt.timeout_ms / 1000.0 if attempt.message.flow is None else UPLOAD_STALL_S
        attempt.set_timeout(self.timers, wait_s)
        idle = self._idle.get(attempt.server, ())
        if fresh and idle:
            idle[0].close()  # the new one takes its place, or they would add up
        while idle and not fresh:
            connection = idle.pop()  # the most recently used, so that the rest can grow old and go
            self._idle_by_age.pop(connection, None)
            if connection.is_reusable() and connection.address == attempt.address:
                return connection.send_attempt(attempt)
            connection.close()
        if self._free_sockets() <= 0 and not self.close_oldest_idle():
            # Our own shortage: it never ran, and says nothing about the server.
            return attempt.end(Result.MOOT)
        dial = self._loop.create_task(self._dial(attempt))
        self._dials.add(dial)
        dial.add_done_callback(self._dials.discard)
        attempt.set_cancel_io(dial.cancel)

    async def _dial(self, attempt: Attempt) -> None:
        connection = self.connection_class(self, attempt.server, attempt.address)
        result = Result.UNREACHABLE
        kept = False
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                local = None if self.local_ip is None else (self.local_ip, 0)
                await self._loop.create_connection(lambda: connection, *attempt.address, local_addr=local)
            if connection.is_reusable():  # else it came up and broke at once
                self._open.add(connection)
                kept = True
                # Connecting took time: the request may have ended, its server may have been called off.
                if not attempt.over and attempt.may_send():
                    return connection.send_attempt(attempt)
                self.return_connection(connection)
                result = Result.MOOT
        except OSError as problem:  # a time-out is one too
            if problem.errno in LOCAL_SHORTAGE:
                result = Result.MOOT
        except Exception:
            log.exception("connecting to a server")
            result = Result.RESET if attempt.written else Result.UNREACHABLE
        finally:
            if not kept:  # called off or broken: what came up of it belongs to nobody
                connection.close()
        attempt.end(result)

    def return_connection(self, connection: Connection) -> None:
        """Keep a connection that carries nothing for the next attempt."""
        connection.idle_since = now_ms()
        self._idle_by_age[connection] = None
        self._idle.setdefault(connection.server, []).append(connection)

    def forget(self, connection: Connection) -> None:
        """Count a connection out."""
        self._open.discard(connection)
        if connection in self._idle_by_age:
            del self._idle_by_age[connection]
            idle = self._idle[connection.server]
            idle.remove(connection)
            if not idle:
                del self._idle[connection.server]

    def close_idle(self, server: int) -> None:
        """Close what carries nothing to a server."""
        for connection in list(self._idle.get(server, ())):
            connection.close()

    def server_removed(self, server: int) -> None:
        """A server is listed no more."""
        self.close_idle(server)

    def close(self) -> None:
        """Close what carries nothing."""
        for connection in list(self._idle_by_age):
            connection.close()

    def close_oldest_idle(self) -> bool:
        """Give back a socket, if one carries nothing."""
        oldest = next(iter(self._idle_by_age), None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_S, self._sweep)
        before = now_ms() - self._idle_limit_ms
        while self._idle_by_age and (oldest := next(iter(self._idle_by_age))).idle_since < before:
            oldest.close()
