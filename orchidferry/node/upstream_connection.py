"""A connection to a server, in HTTP/1.1: one attempt at a time, each with exactly one outcome.

What an outcome says about whether the attempt ran decides what may be sent again. The line between "never
ran" and "may have run" is drawn at the last byte written, as the protocol draws it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import httptools

from orchidferry.balancing.interface import Result
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.flow import LONG_BODY, BodyTooLongError, Flow, FlowFailure
from orchidferry.node.http1 import LAST_CHUNK, MAX_BODY, MAX_HEAD, chunk, classify_response, read_report
from orchidferry.node.unread_input import UnreadInput

if TYPE_CHECKING:
    from orchidferry.node.upstream import Upstream

UPLOAD_STALL_S = 4.0  # an attempt is given up if its server takes nothing of a long request for so long
UPLOAD_TIMER_SHARE = 1.0 / 8.0  # of that: the timeout is extended no more often


class Connection(asyncio.Protocol):
    """A connection to a server, which carries one attempt at a time.

    It is a `Source` of a long response's body and a `Sink` of a long request's.
    """

    __slots__ = (
        "_attempt",
        "_body",
        "_chain",
        "_complete",
        "_framing_headers",
        "_head",
        "_in_body",
        "_keep",
        "_length",
        "_lost",
        "_malformed",
        "_parser",
        "_paused",
        "_rejected",
        "_report",
        "_response_flow",
        "_server_closes",
        "_size",
        "_status",
        "_transport",
        "_type",
        "_unread_input",
        "_upload",
        "_uploaded_s",
        "_upstream",
        "address",
        "idle_since",
        "server",
    )

    max_buffered_body = MAX_BODY  # bytes of a response that is read completely; a longer one is a flow

    def __init__(self, upstream: Upstream, server: int, address: Address) -> None:
        self.server = server
        self.address = address
        self.idle_since = 0.0  # by the node's clock, in ms
        self._upstream = upstream
        self._transport: asyncio.Transport
        self._attempt: Attempt | None = None
        self._paused = False  # whether the socket takes no more for now
        self._lost = True  # whether there is no open socket
        self._upload: Flow | None = None  # the body of a long request
        self._uploaded_s = 0.0  # when its timeout was extended last, by the loop's clock
        self._response_flow: Flow | None = None  # the body of a long response
        # One for all responses: a connection is kept only where the last one ended the message it parsed.
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()

    def _reset_response(self) -> None:
        self._body: list[bytes] = []
        self._size = 0  # bytes of the body
        self._head = 0  # bytes before the body
        self._status = 0
        self._type: bytes | None = None
        self._report: dict[str, float] | None = None
        self._chain: bytes | None = None
        self._rejected = False  # whether the server says that it did not run the request
        self._complete = False
        self._in_body = False
        self._malformed = False
        self._keep = False  # whether the connection may carry another attempt
        self._framing_headers = 0  # headers that tell where the body ends
        self._length: int | None = None
        self._server_closes = False  # whether the server closes the connection after this response

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass
        self._lost = False
        self._unread_input = UnreadInput(self._transport)
        # Nothing may wait in the transport unnoticed: at a limit of 0 a write reaches the socket at once, and
        # `pause_writing` is called if some of it did not fit.
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
            return self.close()  # unexpected: the next response on it could be another attempt's
        try:
            if not self._in_body:
                self._head += len(data)
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._malformed = True
        except httptools.HttpParserError:
            self._malformed = self._malformed or not self._complete
            self._keep = False  # more than the response came
        if self._response_flow is not None:
            if self._malformed:
                self._response_flow.fail(FlowFailure.MALFORMED)
                self.close()
            elif self._complete:
                self._stream_finished()
        elif self._complete and not self._malformed:
            self._response_complete()
        elif self._malformed or (not self._in_body and self._head > MAX_HEAD):
            self._finish_attempt(Result.ERROR, reuse=False)
        return None

    def eof_received(self) -> None:
        return None  # the transport closes, and `connection_lost` reports

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        self._upstream.forget(self)
        if self._server_closes and self._in_body and exc is None:  # this is the end of the response
            if self._response_flow is not None:
                return self._stream_finished()
            if self._attempt is not None and not self._malformed:
                self._complete = True
                return self._response_complete()
        if self._response_flow is not None:
            self._response_flow.fail(FlowFailure.SOURCE_CLOSED if exc is None else FlowFailure.SOURCE_RESET)
        if self._attempt is not None:
            result = Result.RESET if self._attempt.written else Result.UNREACHABLE
            self._finish_attempt(result, reuse=False)
        return None

    def close(self) -> None:
        """Close now, without an outcome for the attempt that it carries."""
        self._upstream.forget(self)
        self._attempt = None
        self._detach_upload()
        if not self._lost:
            self._transport.abort()

    # Attempts

    def is_reusable(self) -> bool:
        """Return whether a request may be written: the connection is open and nothing unread has come.

        The event loop reads sockets only once an iteration. If the server has closed the connection or sent
        something since, a request written now would end as a reset that may have run, so the socket itself
        is asked.
        """
        if self._lost or self._transport.is_closing():
            return False
        return not self._unread_input.waits()

    def send_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for its response."""
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

    # The sink of a long request's body

    def feed(self, data: bytes) -> None:
        if self._upload is None or self._transport.is_closing():
            return  # its end is about to be reported
        self._transport.write(data if self._upload.length is not None else chunk(data))
        if self._paused:
            self._upload.block()
        else:
            self._upload_progressed()

    def _upload_progressed(self) -> None:
        """Let the timeout begin anew, as some of the body was sent."""
        now_s = self._upstream.now_s()
        if self._attempt is not None and now_s - self._uploaded_s > UPLOAD_STALL_S * UPLOAD_TIMER_SHARE:
            self._uploaded_s = now_s
            self._attempt.extend_timeout(UPLOAD_STALL_S)

    def end(self) -> None:
        flow = self._upload
        if flow is not None and flow.length is None and not self._transport.is_closing():
            self._transport.write(LAST_CHUNK)
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

    # The source of a long response's body

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
        """Make a flow of the response's body, if its client can take one; return whether it can."""
        attempt = self._attempt
        wanted = attempt is not None and attempt.message.long_answer and attempt.written
        if not wanted or self._status != 200 or self._malformed or attempt is None:
            return False
        now_s = self._upstream.now_s()
        flow = self._response_flow = Flow(self, self._length, now_s)
        self._attempt = None
        chunks = self._body
        self._body = []
        for data in chunks:
            flow.push(data, now_s)
        attempt.end(Result.SERVED, self._build_response(b"", flow))
        return True

    def _stream_finished(self) -> None:
        """End the flow of a response whose last byte has come."""
        flow = self._response_flow
        self._response_flow = None
        if self._keep and not self._lost and not self._transport.is_closing():
            self._upstream.return_connection(self)
        else:
            self.close()
        if flow is not None:
            if flow.length is not None and flow.received_bytes < flow.length:
                flow.fail(FlowFailure.TRUNCATED)
            flow.finish()

    # Outcomes

    def _build_response(self, body: bytes, flow: Flow | None = None) -> UpstreamResponse:
        return UpstreamResponse(self._status, body, self._type, self._report, flow, self._chain)

    def _classify(self, answer: UpstreamResponse) -> Result:
        """Return what a complete response means for the attempt."""
        return classify_response(answer.status, self._rejected)

    def _response_complete(self) -> None:
        answer = self._build_response(b"".join(self._body))
        self._finish_attempt(self._classify(answer), self._keep, answer)

    def _finish_attempt(self, result: Result, reuse: bool, answer: UpstreamResponse | None = None) -> None:
        """Report the attempt's outcome, after this connection was returned or closed.

        :param reuse: whether the connection may carry another attempt, as far as the response goes.
        """
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
