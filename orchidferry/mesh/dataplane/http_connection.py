"""Connections to servers and to their gates: whose an answer is, and which connection may carry a request.

It rests on the node's own (`orchidferry.node.upstream`). What requests and answers say is in `messages`,
callers' connections are in `listener`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from typing import cast

import httptools

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.attempt import TrackedAttempt
from orchidferry.mesh.dataplane.idle_limit import IdleLimit
from orchidferry.mesh.dataplane.messages import BELOW, GATE, LOAD, MILLISECONDS, ServerResponse, judged
from orchidferry.node.config import Address, now_ms
from orchidferry.node.flow import Flow
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import UPLOAD_STALL_S, Attempt, Connection, Upstream, UpstreamResponse

HELD_ANSWER = 1024 * 1024  # bytes of an answer that are read whole before any of it is passed on
# statuses
SWITCHING = 101
NO_BODY = (204, 304)
LINE_END = b"\r\n"
MAX_TRIED = 8  # ids that a connection remembers


class AnswerParser:
    """The parser of answers, strict about what comes beside them.

    The library's own skips line ends between messages in silence, and takes a switch of protocols after a
    whole answer for a fault of that answer.
    """

    __slots__ = ("_connection", "_parser", "get_status_code", "should_keep_alive")

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self._parser = httptools.HttpResponseParser(connection)
        self.get_status_code = self._parser.get_status_code
        self.should_keep_alive = self._parser.should_keep_alive

    def feed_data(self, data: bytes) -> None:
        """Parse what has come; `HttpParserError` also for any byte after a whole answer."""
        connection = self._connection
        connection.before_parsing(data)
        try:
            if data[-1] not in LINE_END or len(data) == 1:
                return self._parser.feed_data(data)
            self._parser.feed_data(memoryview(data)[:-1])
            if connection.complete:
                raise httptools.HttpParserError("a line end after the answer")
            self._parser.feed_data(data[-1:])
        except httptools.HttpParserUpgrade:
            if connection.complete:
                raise httptools.HttpParserError("a switch of protocols after the answer") from None
            raise


class HttpConnection(Connection):
    """A connection to a server, or to the gate before one: one attempt at a time, while it is clean.

    Clean is one on which nothing came but whole answers, each to the request that was out and with its id.
    After anything else (an answer that is early, late, surplus, broken or without an id, a stray byte) it is
    closed as soon as its attempt has ended.
    """

    __slots__ = (
        "_begun",
        "_below",
        "_encoded",
        "_gate",
        "_headers",
        "_id",
        "_not_run",
        "_rested_ms",
        "_seal",
        "_skip",
        "_tainted",
        "_tried",
    )

    max_buffered_body = HELD_ANSWER
    _upstream: HttpConnections

    def __init__(self, pool: HttpConnections, server: int, address: Address) -> None:
        self._tried: tuple[str, ...] = ()  # ids of the last requests that it carried
        self._rested_ms = 0.0  # idle time before the attempt at hand
        self._tainted = False
        super().__init__(pool, server, address)
        self._parser = cast(httptools.HttpResponseParser, AnswerParser(self))

    @property
    def complete(self) -> bool:
        """Whether the answer at hand has come whole."""
        return self._complete

    def _reset_response(self) -> None:
        super()._reset_response()
        self._begun = False  # something of the answer at hand has come
        self._start_words()

    def _start_words(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._id: bytes | None = None
        self._gate: bytes | None = None
        self._seal = self._encoded = self._not_run = self._skip = self._below = False

    # Requests

    def has_tried(self, id: str) -> bool:
        """Whether it carried a request of this id: a second answer to that one would pass for this one's."""
        return id in self._tried

    def send_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for its answer; the attempt learns whether it has begun."""
        assert isinstance(attempt, TrackedAttempt)
        self._tainted = False
        self._tried = (*self._tried[1 - MAX_TRIED :], attempt.message.id)
        self._attempt = attempt
        self._reset_response()
        attempt.set_cancel_io(self.close)
        request = attempt.head_bytes()
        self._transport.write(request)
        if self._transport.is_closing():  # the write itself failed: the kernel took nothing
            return self._finish_attempt(Result.UNREACHABLE, reuse=False)
        attempt.begin(partial(self._untouched, len(request)) if self._paused else None)
        flow = attempt.message.flow
        if flow is not None:
            self._upload = flow
            flow.attach(self)
        elif not self._paused:
            attempt.on_sent()

    def rested(self, idle_ms: float) -> None:
        """It has rested for so long before the attempt that it is about to carry."""
        self._rested_ms = idle_ms

    def _untouched(self, size: int) -> bool:
        """Whether the kernel has taken nothing yet of a request of that size; no, if that can't be told."""
        open = not self._lost and not self._transport.is_closing()
        return open and self._transport.get_write_buffer_size() >= size

    def connection_lost(self, exc: Exception | None) -> None:
        waits = self._attempt is not None and not self._begun
        if waits and self._rested_ms > 0.0:
            self._upstream.idle_limit(self.server).forgotten_after(self._rested_ms, now_ms())
        super().connection_lost(exc)

    # The parser's calls

    def before_parsing(self, data: bytes) -> None:
        """Bytes are about to be parsed: a line end in front of an answer is none of it."""
        if not self._begun:
            self._begun = True
            self._tainted = self._tainted or data[0] in LINE_END

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete or self._in_body:
            return  # a trailer stands in for no header
        low = name.lower()
        if low in (b"content-length", b"transfer-encoding", b"connection"):
            return super().on_header(name, value)
        if low == b"keep-alive":
            return self._upstream.idle_limit(self.server).states(value)
        if low == b"attempt-id":
            self._malformed = self._malformed or self._id is not None  # of two, one is somebody else's
            self._id = value.strip()
            return
        elif low == b"server-seal":
            self._seal = True
        elif low == b"content-encoding":
            self._encoded = True
        elif low == b"not-executed":
            self._not_run = value.strip() not in (b"", b"0")
        elif low == GATE:
            self._gate = value.strip()
            return
        elif low == BELOW:
            self._below = True
            return
        elif low == LOAD:
            self._report = {"queue": min(float(value), 1e6)} if MILLISECONDS.fullmatch(value) else None
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self._complete:
            return
        status = self._parser.get_status_code()
        bodiless = False
        if self._attempt is not None:
            # A surplus answer in the place of the one that is due: it is nobody's.
            self._skip = not self._malformed and self._is_anothers(self._attempt)
            self._tainted = self._tainted or self._skip
            bodiless = status >= 200 and self._attempt.message.method == b"HEAD"
        if bodiless or (status in NO_BODY and not self._framing_headers):
            self._framing_headers = 1
            self._length = None
        if status >= 200 and not self._framing_headers:
            self._server_closes = True  # its body ends with the connection (RFC 9112, section 6.3)
        super().on_headers_complete()
        if status == SWITCHING:
            self._malformed = True  # nobody asked for that
        elif bodiless:
            # The parser waits for a body that never comes: the answer is whole, the connection is done with.
            self._malformed = self._malformed or self._skip
            self._complete = True

    def _is_anothers(self, attempt: Attempt) -> bool:
        """Whether the answer at hand bears the id of another request than that of the attempt."""
        return self._id is not None and self._id != attempt.message.id.encode("latin-1")

    def _stream_body(self) -> bool:
        whole = self._id is not None and self._seal and not self._encoded and not self._skip
        return whole and super()._stream_body()

    def on_message_complete(self) -> None:
        if not self._complete and self._skip and self._status >= 200:
            return self._reset_response()
        interim = not self._complete and 100 <= self._status < 200
        super().on_message_complete()
        if interim:  # what it says of itself is not the answer's
            self._start_words()
        self._keep = self._keep and not self._tainted and self._id is not None

    def _stream_finished(self) -> None:
        self.resume()  # whoever took it may have held back its last piece: the next answer must be read
        super()._stream_finished()

    def _build_response(self, body: bytes, flow: Flow | None = None) -> UpstreamResponse:
        return ServerResponse(
            self._status,
            body,
            None,
            self._report,
            flow,
            None,
            self._headers,
            self._seal,
            self._encoded,
            self._id,
            self._not_run,
            self._gate,
            self._below,
        )

    def _classify(self, answer: UpstreamResponse) -> Result:
        assert isinstance(answer, ServerResponse)
        # One in the place of the one that is due can also end with the line.
        return Result.RESET if self._skip else judged(answer)


class HttpConnections(Upstream):
    """All connections of one kind."""

    connection_class = HttpConnection

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        keepalive_ms: float,
        free_sockets: Callable[[], int],
        alarms: TimerQueue,
        once_idle_ms: float,
    ) -> None:
        """`once_idle_ms`: what may run once goes on no connection that has rested for longer."""
        super().__init__(loop, connect_timeout_ms, keepalive_ms, free_sockets, alarms)
        self._once_idle_ms = once_idle_ms
        self._limits: dict[int, IdleLimit] = {}

    def idle_limit(self, server: int) -> IdleLimit:
        """What is known of a server's patience with idle connections."""
        limit = self._limits.get(server)
        if limit is None:
            limit = self._limits[server] = IdleLimit(self._idle_limit_ms, self._once_idle_ms)
        return limit

    def server_removed(self, server: int) -> None:
        super().server_removed(server)
        self._limits.pop(server, None)

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        assert isinstance(attempt, TrackedAttempt)
        kept = None if fresh else self._kept_for(attempt)
        if kept is None:  # a new one takes the place of the one that has rested longest
            return super().send(attempt, fresh=True)
        self._idle[attempt.server].pop()
        self._idle_by_age.pop(kept, None)
        attempt.set_timeout(
            self.alarms, attempt.timeout_ms / 1000.0 if attempt.message.flow is None else UPLOAD_STALL_S
        )
        kept.send_attempt(attempt)

    def _kept_for(self, attempt: TrackedAttempt) -> HttpConnection | None:
        """The connection used last, if it may carry this attempt; those that can carry none are closed."""
        idle = cast(list[HttpConnection], self._idle.get(attempt.server, []))
        now = now_ms()
        limit = self.idle_limit(attempt.server)
        while idle:
            newest = idle[-1]
            rested_ms = now - newest.idle_since
            if newest.address == attempt.address and newest.is_reusable():
                if limit.allows(rested_ms, attempt.once, now):
                    newest.rested(rested_ms)
                    return None if newest.has_tried(attempt.message.id) else newest
                if limit.allows(rested_ms, False, now):
                    return None
            newest.close()
        return None
