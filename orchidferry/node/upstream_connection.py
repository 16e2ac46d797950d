"""An HTTP/1.1 connection to a server, which carries one attempt at a time, each with exactly one outcome.

Whether a request may be retried depends on whether its attempt may have run. As the protocol defines it, an
attempt never ran until the last byte of its request is written, and may have run from then on.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import httptools

from orchidferry.balancing.interface import Result
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.flow import MAX_STREAMED_BODY, BodyTooLongError, Flow, FlowFailure
from orchidferry.node.http1 import LAST_CHUNK, MAX_BODY, MAX_HEAD, chunk, classify_response, read_report
from orchidferry.node.unread_input import UnreadInput

if TYPE_CHECKING:
    from orchidferry.node.upstream import Upstream

UPLOAD_STALL_S = 4.0  # timeout of a streamed request while its server accepts no bytes
UPLOAD_TIMER_SHARE = 1.0 / 8.0  # share of `UPLOAD_STALL_S` that must pass before the timeout is extended


class Connection(asyncio.Protocol):
    """A connection to a server, which carries one attempt at a time.

    It is the `Source` of a streamed response body and the `Sink` of a streamed request body.
    """

    __slots__ = (
        "_attempt",
        "_body",
        "_chain",
        "_complete",
        "_framing_headers",
        "_head_bytes",
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
        "_body_bytes",
        "_status",
        "_transport",
        "_content_type",
        "_unread_input",
        "_upload",
        "_uploaded_s",
        "_upstream",
        "address",
        "idle_since",
        "server",
    )

    max_buffered_body = (
        MAX_BODY  # longest response body, in bytes, that is buffered; longer ones are streamed
    )

    def __init__(self, upstream: Upstream, server: int, address: Address) -> None:
        self.server = server
        self.address = address
        self.idle_since = 0.0  # when the connection became idle, by the node's clock, in ms
        self._upstream = upstream
        self._transport: asyncio.Transport
        self._attempt: Attempt | None = None
        self._paused = False  # whether the socket's send buffer is full
        self._lost = True  # whether there is no open socket
        self._upload: Flow | None = None  # the body of a streamed request
        self._uploaded_s = 0.0  # when the upload's timeout was last extended, by the loop's clock
        self._response_flow: Flow | None = None  # the body of a streamed response
        # One parser serves all responses: a connection is reused only if the last message ended cleanly.
        self._parser = httptools.HttpResponseParser(self)
        self._reset_response()

    def _reset_response(self) -> None:
        self._body: list[bytes] = []
        self._body_bytes = 0  # bytes of the body received so far
        self._head_bytes = 0  # bytes received before the body
        self._status = 0
        self._content_type: bytes | None = None
        self._report: dict[str, float] | None = None  # the server's load report
        self._chain: bytes | None = None  # value of the header `X-Chain`
        self._rejected = False  # whether the server states that it did not run the request
        self._complete = False  # whether the whole response has been received
        self._in_body = False  # whether all headers have been received
        self._malformed = False
        self._keep = False  # whether the connection may carry another attempt
        self._framing_headers = 0  # number of headers that determine where the body ends
        self._length: int | None = None  # length of the body in bytes; None: no Content-Length
        self._server_closes = False  # whether the server closes the connection after this response

    # The socket

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)  # uvloop's transports are not subclasses of it
        self._lost = False
        self._unread_input = UnreadInput(self._transport)
        # No data may wait in the transport unnoticed: with a limit of 0, `pause_writing` is called whenever
        # the socket did not accept all of a write.
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
            return self.close()  # unexpected data could be mistaken for the response to the next attempt
        try:
            if not self._in_body:
                self._head_bytes += len(data)
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._malformed = True
        except httptools.HttpParserError:
            self._malformed = self._malformed or not self._complete
            self._keep = False  # data followed the response
        if self._response_flow is not None:
            if self._malformed:
                self._response_flow.fail(FlowFailure.MALFORMED)
                self.close()
            elif self._complete:
                self._stream_finished()
        elif self._complete and not self._malformed:
            self._response_complete()
        elif self._malformed or (not self._in_body and self._head_bytes > MAX_HEAD):
            self._finish_attempt(Result.ERROR, reuse=False)
        return None

    def eof_received(self) -> None:
        return None  # the transport closes, and `connection_lost` reports the outcome

    def connection_lost(self, exc: Exception | None) -> None:
        self._lost = True
        self._upstream.forget(self)
        if self._server_closes and self._in_body and exc is None:  # the close marks the end of the response
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
        """Close at once, without reporting an outcome of the current attempt."""
        self._upstream.forget(self)
        self._attempt = None
        self._detach_upload()
        if not self._lost:
            self._transport.abort()

    # Attempts

    def is_reusable(self) -> bool:
        """Return whether a request may be written: the connection is open and has no unread input.

        The event loop reads sockets only once per iteration. If the server has closed the connection or sent
        something since then, a request written now would end as a reset and count as one that may have run.
        So the socket itself is polled.
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
        if self._transport.is_closing():  # the write failed
            self._finish_attempt(Result.UNREACHABLE, reuse=False)
        elif flow is not None:
            self._upload = flow
            flow.attach(self)
        elif not self._paused:
            attempt.on_sent()

    # `Sink` of a streamed request body

    def feed(self, data: bytes) -> None:
        if self._upload is None or self._transport.is_closing():
            return  # the end of the connection is about to be reported
        self._transport.write(data if self._upload.length is not None else chunk(data))
        if self._paused:
            self._upload.block()
        else:
            self._upload_progressed()

    def _upload_progressed(self) -> None:
        """Extend the attempt's timeout, as the server has accepted some of the body."""
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

    # `Source` of a streamed response body

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
        """Start streaming the response body, if the client supports that; return whether it was started."""
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
        """Finish the flow of a response whose last byte has arrived."""
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
        return UpstreamResponse(self._status, body, self._content_type, self._report, flow, self._chain)

    def _classify(self, answer: UpstreamResponse) -> Result:
        """Return the attempt's result that a complete response stands for."""
        return classify_response(answer.status, self._rejected)

    def _response_complete(self) -> None:
        answer = self._build_response(b"".join(self._body))
        self._finish_attempt(self._classify(answer), self._keep, answer)

    def _finish_attempt(self, result: Result, reuse: bool, answer: UpstreamResponse | None = None) -> None:
        """Return this connection to the pool or close it, then report the attempt's outcome.

        :param reuse: whether the response allows the connection to carry another attempt.
        """
        attempt = self._attempt
        self._attempt = None
        self._detach_upload()
        # Unread input is checked for just before the next use, as it may arrive until then.
        written = attempt is not None and attempt.written
        if reuse and written and not self._paused and not self._lost and not self._transport.is_closing():
            self._upstream.return_connection(self)  # first, as a retry after this outcome may use it
        else:
            self.close()
        if attempt is not None:
            attempt.end(result, answer)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        if self._complete:  # a second response without a request
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
                self._malformed = self._malformed or self._length > MAX_STREAMED_BODY
            case b"content-type":
                self._content_type = value
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
            # Without a framing header the response ends with the connection, if `Connection: close` announces
            # that. Two framing headers are ambiguous.
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
        self._body_bytes += len(body)
        self._body.append(body)
        if self._body_bytes > self.max_buffered_body and not self._stream_body():
            self._malformed = True
            self._body.clear()

    def on_message_complete(self) -> None:
        if self._complete:
            return
        if 100 <= self._status < 200:  # an interim response: the final one follows
            self._in_body = False
            self._rejected = False
            self._report = None
            self._content_type = None
            self._framing_headers = 0
            self._length = None
            self._server_closes = False
            return
        self._complete, self._keep = True, self._parser.should_keep_alive()
