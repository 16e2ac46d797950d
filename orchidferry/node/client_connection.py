"""A client's HTTP/1.1 connection.

Whatever a client sends, only its own connection is affected. Requests that can't be served are answered here
with errors, never with refusals (429, 503): only the balancer refuses requests.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

import httptools

from orchidferry.node.clock import now_ms
from orchidferry.node.connection_end import EndCause, Owed
from orchidferry.node.connection_stage import EXTENDABLE_STAGES, PROGRESS, Stage
from orchidferry.node.flow import BodyTooLongError, Flow
from orchidferry.node.http1 import LAST_CHUNK, chunk
from orchidferry.node.input_age import InputAge
from orchidferry.node.reply import Reply, render
from orchidferry.node.request import Message, RequestError, check_framing
from orchidferry.node.unread_input import UnreadInput

if TYPE_CHECKING:
    from orchidferry.node.frontend import Frontend

MAX_PIPELINED = 8  # pipelined requests that wait on one connection; the protocol sets no limit
BODY_TOO_LONG = "the body is too long"


class RequestHandle(Protocol):
    """A request that the node has accepted, as seen by its client's connection."""

    def client_disconnected(self) -> None:
        """Called when the client has disconnected and no longer waits for the answer."""


# Passes a request and a function that takes its answer to the node; raises `RequestError`
Accept = Callable[[Message, Callable[[Reply], None]], RequestHandle]


class ClientConnection(asyncio.Protocol):
    """A client's HTTP/1.1 connection; answers are sent in the order of the requests, one at a time.

    It is the `Source` of a streamed request body and the `Sink` of a streamed answer body. At any time it is
    in one stage, and the frontend limits how long the stage may last.
    """

    def __init__(self, frontend: Frontend) -> None:
        self.stage: Stage | None = None  # None: the connection is not open
        self._frontend = frontend
        self._transport: asyncio.Transport
        self._parser = httptools.HttpRequestParser(self)
        self._queue: deque[Message | Reply] = deque()  # requests read and not passed to the node yet
        self._pending: RequestHandle | None = None  # the request that the node is serving
        # That request; also one that was answered early, until the rest of its body has arrived.
        self._current: Message | None = None
        self._error_reply: Reply | None = None  # error reply for malformed input; nothing is read after that
        self._busy = False  # whether the node is serving a request, or its answer is being sent
        self._closing = False  # whether the connection closes after the last answer
        self._input_closed = False  # whether input is ignored from now on
        self._finished = False  # whether the connection closes once the written data is sent
        self._write_paused = False  # whether the client does not read fast enough
        self._reading = False  # whether the beginning of a request has arrived, but not its end
        self._completed = False  # whether the last input completed a request
        self._has_requested = False  # whether the node has accepted a request from this connection
        self._source_paused = False  # whether a streamed request body waits for its sink
        self._input_held = False  # whether input waits until a queued long body has its turn
        self._request_flow: Flow | None = None  # the body of a streamed request
        self._flow_message: Message | None = None  # the request that `_request_flow` belongs to
        self._response_flow: Flow | None = None  # the body of a streamed answer
        self._body_progress = 0  # bytes of a body since the time of its stage was restarted
        self._unsent_at_start = 0  # bytes not yet sent to the client when the time of its stage started
        self._opened_s = frontend.now_s()
        self._end_reported = False  # whether an end with something still owed was reported to the frontend
        self._start_message()

    def _start_message(self) -> None:
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._body: list[bytes] = []
        self._head_bytes = 0  # bytes received before the headers were complete
        self._header_bytes = 0  # bytes of the headers' names and values
        self._body_bytes = 0  # bytes of the body received so far
        self._headers_done = False  # whether all headers have been received

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._input_age = InputAge(self._transport)
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
        # The parser reports a header only when it is complete: an endless one shows only in the input's size.
        if not self._headers_done and not self._completed:
            self._head_bytes += len(data)
            if self._head_bytes > self._frontend.max_header_bytes:
                self._reject(431, "headers too large")
        if self._error_reply is not None:
            self._close_with_error(self._error_reply)
        else:
            self._serve_next()
            self._hold_input()
        self._update_stage()

    def eof_received(self) -> None:
        # The transport closes once the written data is sent: a client that shuts down its sending side is
        # taken to have left.
        self._input_closed = True
        self._closing = True
        self._finished = True
        self._update_stage()

    def pause_writing(self) -> None:
        """Stop reading from a client that does not read, and limit how long that may last."""
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
            self._resume_reading()
            self._serve_next()
            self._update_stage()

    def connection_lost(self, exc: Exception | None) -> None:
        self.report_end(EndCause.CLIENT_CLOSED)
        self._input_closed = True
        self._frontend.connection_closed(self)
        self._release_requests()

    @property
    def age_s(self) -> float:
        """How long the connection has been open, in seconds."""
        return self._frontend.now_s() - self._opened_s

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that were written and that the kernel has not accepted yet."""
        return self._transport.get_write_buffer_size()

    def owed(self) -> Owed | None:
        """Return what the client is still owed; None if nothing."""
        if self._response_flow is not None or self._write_paused or self.unsent_bytes:
            return Owed.REST_OF_RESPONSE
        return Owed.RESPONSE if self._busy or self._queue else None

    def is_evictable(self) -> bool:
        """Return whether it may be closed for a new connection: nothing is owed and no input waits."""
        return self.owed() is None and not self._input_waiting()

    def _input_waiting(self) -> bool:
        """Return whether data or an end of file from the client waits to be read by the event loop."""
        return not self._transport.is_closing() and UnreadInput(self._transport).waits()

    def report_end(self, cause: EndCause, detail: str = "") -> None:
        """Report to the frontend, at most once, an end while the client is still owed something.

        :param detail: what else is known, such as how the response failed.
        """
        owed = self.owed()
        if owed is not None and not self._end_reported:
            self._end_reported = True
            self._frontend.ended_incomplete(self, cause, owed, detail)

    def _release_requests(self) -> None:
        """Notify the node that the client is gone, drop the queued requests, and end all flows."""
        pending = self._pending
        self._pending = None
        self._busy = False
        self._request_flow = None  # the body of the current request or of a queued one
        if pending is not None:
            pending.client_disconnected()
        self._release_body()
        while self._queue:
            item = self._queue.popleft()
            if isinstance(item, Message) and item.flow is not None:
                item.flow.release()
        flow = self._response_flow
        self._response_flow = None
        if flow is not None:
            flow.cancel()

    def _release_body(self) -> None:
        """End the flow of the current request's body, as the request has been answered or has ended."""
        if self._current is not None and self._current.flow is not None:
            self._current.flow.release()

    def _is_body_of_current(self) -> bool:
        """Whether a body is being received, and it is that of the current request."""
        incoming = self._request_flow
        return incoming is not None and self._current is not None and self._current.flow is incoming

    def _forget_answered(self) -> None:
        """Forget the current request, which has been answered, unless more of its body is to come."""
        if not self._is_body_of_current():
            self._current = None

    # `Source` of a streamed request body

    def pause(self) -> None:
        self._source_paused = True
        if not self._transport.is_closing():
            self._transport.pause_reading()
            self._update_stage()

    def resume(self) -> None:
        self._source_paused = False
        if self._resume_reading():
            self._update_stage()

    def flow_cancelled(self) -> None:
        """Keep reading and drop the rest of the body, so that the client can read the error."""

    # Pausing input

    def _resume_reading(self) -> bool:
        """Read input again unless something still holds it back; return whether it is read."""
        waits = self._write_paused or self._source_paused or self._input_held
        if waits or self._finished or self._transport.is_closing():
            return False
        self._transport.resume_reading()
        return True

    def _hold_input(self) -> None:
        """Read no further requests while a queued one has a long body, so that long bodies don't add up."""
        if self._input_held or not self._queues_long_body() or self._transport.is_closing():
            return
        self._input_held = True
        self._transport.pause_reading()

    def _release_input(self) -> None:
        """Read further requests once no queued one has a long body."""
        if self._input_held and not self._queues_long_body():
            self._input_held = False
            self._resume_reading()

    def _queues_long_body(self) -> bool:
        """Whether a queued request has a long body that has arrived; one that still arrives is a `Flow`'s."""
        return any(
            isinstance(item, Message) and item.flow is not None and item.flow.complete for item in self._queue
        )

    # `Sink` of a streamed answer body

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
            self._transport.write(LAST_CHUNK)
        flow.delivered()
        self._forget_answered()
        if self._closing and not self._queue and not self._reading:
            self._close_after_output()
        self._serve_next()
        self._update_stage()

    def flow_failed(self) -> None:
        """Close the connection, so that the client can tell that the answer is incomplete."""
        failure = self._response_flow.failure if self._response_flow is not None else None
        self.report_end(EndCause.RESPONSE_FAILED, failure.value if failure is not None else "")
        self._response_flow = None
        self._input_closed = True
        self._closing = True
        self._finished = True
        self._release_requests()
        self._transport.close()
        self._update_stage()

    # Stages and closing

    def _update_stage(self) -> None:
        """Determine the current stage and report it to the frontend."""
        if self._response_flow is not None and not self._finished and not self._transport.is_closing():
            stage = Stage.FLOWING
        elif self._finished or self._transport.is_closing():
            stage = Stage.LEAVING
        elif self._write_paused:
            stage = Stage.BLOCKED
        elif self._source_paused:
            stage = Stage.SERVING  # the connection waits for the node to accept more of the body
        elif self._request_flow is not None:
            stage = Stage.READING
        elif self._busy or self._queue:
            stage = Stage.SERVING
        elif not self._has_requested:
            stage = Stage.NEW
        else:
            stage = Stage.READING if self._reading else Stage.IDLE
        if stage is not self.stage and stage in EXTENDABLE_STAGES:
            self._unsent_at_start = self.unsent_bytes
        self._frontend.set_stage(self, stage)

    def close_gracefully(self) -> None:
        """Close after the current requests; at once if there are none."""
        self._closing = True
        if not self._busy and not self._reading and not self._queue:
            self._close_if_quiet()

    def _close_if_quiet(self) -> None:
        """Close unless input waits: a request in it is still served before the connection closes."""
        if not self._input_waiting():
            self._transport.close()
            self._update_stage()

    def _close_after_output(self) -> None:
        """Close once all written data is sent.

        Closing while input waits would reset the connection, and the kernel would drop unsent data. So the
        sending side is shut down first, and input is read and dropped until the client closes.
        """
        if not self._input_waiting():
            return self._transport.close()
        self._input_closed = True
        self._finished = True
        self._transport.resume_reading()
        self._transport.write_eof()
        return None

    def on_stage_timeout(self) -> None:
        """End the connection because its stage has lasted too long."""
        if self.stage in EXTENDABLE_STAGES:
            self._end_unless_client_reads()
        elif self._reading:
            self._close_with_error(Reply(408, b"the request took too long to come"))
        else:
            self._closing = True
            self._close_if_quiet()

    def _end_unless_client_reads(self) -> None:
        """Extend the stage of a client that still reads its response; otherwise end the connection."""
        unsent = self.unsent_bytes
        wanted = min(PROGRESS, self._unsent_at_start)
        if unsent and self._unsent_at_start - unsent >= wanted:
            self._unsent_at_start = unsent
            self._frontend.extend_stage(self)
        else:
            self.abort(EndCause.STAGE_TIMEOUT)

    def abort(self, cause: EndCause) -> None:
        """Close at once, whatever is in progress."""
        self.report_end(cause)
        self._input_closed = True
        self._finished = True
        self._frontend.connection_closed(self)  # at once, so that the socket counts as free
        self._transport.abort()

    # Callbacks of the parser, which takes an exception in one of them for malformed HTTP.

    def on_message_begin(self) -> None:
        self._reading = True
        self._start_message()

    def on_url(self, url: bytes) -> None:
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        name = name.lower()
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > self._frontend.max_header_bytes:
            self._reject(431, "headers too large")
        elif self._headers_done:
            return  # a trailer field (RFC 9110, section 6.5) must not be treated as a header
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
            self._reject(413, BODY_TOO_LONG)
        elif self._headers.get(b"expect", b"").lower() == b"100-continue" and not self._input_closed:
            self._send_continue()
        self._frontend.restart_stage(self)

    def on_body(self, body: bytes) -> None:
        self._body_bytes += len(body)
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
                self._reject(413, BODY_TOO_LONG)
            return
        self._body.append(body)
        if self._body_bytes > self._frontend.max_buffered_body:
            self._start_request_flow()

    def _send_continue(self) -> None:
        """Send an interim 100 response to a client that waits for it (RFC 9110, section 10.1.1)."""
        if not self._busy and not self._queue and self._parser.get_http_version() != "1.0":
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _start_request_flow(self) -> None:
        """Pass on a request with a body too long to buffer; the rest of the body is streamed."""
        length = self._headers.get(b"content-length")
        flow = Flow(
            self,
            int(length) if length is not None else None,
            self._frontend.now_s(),
            self._frontend.pool,
            self._frontend.body_limit,
        )
        chunks = self._body
        self._body = []
        if len(self._queue) >= MAX_PIPELINED:
            return self._reject(400, "too many requests sent ahead")
        try:
            message = self._build_message(flow)
            for data in chunks:
                flow.push(data, self._frontend.now_s())
        except RequestError as problem:
            return self._reject(400, str(problem))
        except BodyTooLongError:
            return self._reject(413, BODY_TOO_LONG)
        self._request_flow = flow
        if isinstance(message, Message):
            self._flow_message = message
        else:
            flow.release()  # nothing needs the body: what arrives is dropped
        self._queue.append(message)
        self._serve_next()
        return None

    def on_message_complete(self) -> None:
        if self._input_closed:
            return None
        self._reading = False
        self._completed = True
        if self._request_flow is not None:
            return self._finish_request_flow(self._request_flow)
        if len(self._queue) >= MAX_PIPELINED:
            return self._reject(400, "too many requests sent ahead")
        if not self._parser.should_keep_alive():
            self._closing = True
            self._input_closed = True
        try:
            self._queue.append(self._build_message())
        except RequestError as problem:
            self._reject(400, str(problem))

    def _finish_request_flow(self, flow: Flow) -> None:
        self._request_flow = None
        if not self._parser.should_keep_alive():
            self._closing = True
            self._input_closed = True
        if self._flow_message is not None:
            self._flow_message.arrived_ms = self._input_arrived_ms()
            self._flow_message = None
        flow.finish()
        if not self._busy:
            self._forget_answered()
        if self._closing and not self._busy and not self._queue:  # answered before the body was complete
            self._input_closed = True
            self._close_after_output()

    # Requests and answers

    def _build_message(self, flow: Flow | None = None) -> Message | Reply:
        method = self._parser.get_method()
        body = b"".join(self._body)
        message = self._frontend.read(method, self._target, self._headers, body, flow)
        if isinstance(message, Reply):
            return message
        message.long_answer = self._parser.get_http_version() != "1.0"
        message.arrived_ms = self._input_arrived_ms()
        return message

    def _input_arrived_ms(self) -> float:
        """Return the latest possible arrival time of the input being read, by the node's clock, in ms."""
        return now_ms() - self._input_age.newest_ms()

    def _reject(self, status: int, reason: str) -> None:
        """Store an error reply for the client unless there is one already, and ignore further input."""
        if self._error_reply is None:
            self._input_closed = True
            self._error_reply = Reply(status, reason.encode())

    def _close_with_error(self, reply: Reply) -> None:
        """Send an error and close.

        All other requests of the connection are dropped: later input can't be parsed any more, and the error
        is not delayed by answers to earlier requests.
        """
        self._input_closed = True
        self._closing = True
        self._finished = True
        self._release_requests()
        if self._transport.is_closing():
            return
        self._transport.write(render(reply, close=True))
        if self._reading and not self._completed:
            # Closing now would reset the connection, and the client might never read the error.
            self._transport.pause_reading()
            self._transport.write_eof()
        else:
            self._transport.close()
        self._update_stage()

    def _serve_next(self) -> None:
        while self._queue and not self._busy and not self._write_paused and not self._transport.is_closing():
            item = self._queue.popleft()
            self._release_input()
            if isinstance(item, Message):
                self._start_request(item)
            else:
                self._write_reply(item)

    def _start_request(self, message: Message) -> None:
        self._busy = True
        self._current = message
        try:
            pending = self._frontend.accept(message, self._on_reply)
        except RequestError as problem:
            self._busy = False
            return self._close_with_error(Reply(400, str(problem).encode()))
        self._has_requested = True
        if self._busy:  # false if the request was answered at once
            self._pending = pending
        return None

    def _on_reply(self, reply: Reply) -> None:
        """Send the node's answer to the pending request."""
        self._pending = None
        self._busy = False
        self._release_body()
        if reply.flow is not None:
            return self._start_streaming(reply, reply.flow)
        if self._is_body_of_current():  # the rest of it is dropped, then the connection closes
            self._closing = True
        if not self._transport.is_closing():
            self._write_reply(reply)
            self._forget_answered()
            self._serve_next()
            self._update_stage()
        return None

    def _start_streaming(self, reply: Reply, flow: Flow) -> None:
        """Send the head of an answer, and stream its body as it arrives."""
        if self._transport.is_closing():
            return flow.cancel()
        self._busy = True
        self._response_flow = flow
        close = self._closing and not self._queue and not self._reading
        self._transport.write(render(reply, close, self._frontend.alt_svc))
        flow.attach(self)
        self._update_stage()
        return None

    def _write_reply(self, reply: Reply) -> None:
        early = self._is_body_of_current()  # answered early: the rest of the body is dropped first
        close = self._closing and not self._queue and (early or not self._reading)
        self._transport.write(render(reply, close, self._frontend.alt_svc))
        if close and not early:
            self._close_after_output()
