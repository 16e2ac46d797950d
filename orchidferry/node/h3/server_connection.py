"""An HTTP/3 connection to a server: one stream for each attempt, and exactly one result of each attempt.

Without a response, the result says whether the server may have run the request:

- it did not run if the connection was never established, if the last byte of the request was never sent, if
  the server reset the stream with H3_REQUEST_REJECTED, or if its GOAWAY excludes the stream;
- it may have run if the stream ended in any other way after that byte was sent.

An attempt is cancelled by resetting its stream; the connection stays open.
"""

from __future__ import annotations

import logging
import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from aioquic.quic.connection import QuicConnection
from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StreamReset,
)

from orchidferry.balancing.interface import Result
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.clock import now_ms
from orchidferry.node.h3.quic_transport import (
    RESET_TOKEN_BYTES,
    Endpoint,
    QuicTransport,
    is_confirmed,
    is_fully_sent,
    is_stream_finished,
    new_stream,
    peer_close_code,
    peer_reset_tokens,
    streams_left,
    unanswered_probes,
)
from orchidferry.node.h3.session import DataReceived, ErrorCode, GoAway, HeadersReceived, Malformed, Session
from orchidferry.node.http1 import MAX_BODY, classify_response, read_report
from orchidferry.node.request import Message

if TYPE_CHECKING:
    from orchidferry.node.h3.upstream import Http3Upstream

ORDERLY_CODES = (0, ErrorCode.H3_NO_ERROR)  # error codes of idle timeouts and of planned closes
MIN_STATELESS_RESET_BYTES = 21  # the smallest datagram that is a stateless reset
# Consecutive probe timeouts after which a connection is suspect. With 5% of datagrams lost, a working
# connection reaches them about once in 1,000 packets.
SUSPECT_PROBES = 3

log = logging.getLogger("orchidferry")


def request_headers(message: Message, authority: bytes, timeout_ms: float) -> list[tuple[bytes, bytes]]:
    """Return the HTTP/3 header fields of a request to a server.

    :param authority: host and port of the server.
    :param timeout_ms: the time limit of this attempt, which is sent to the server as its budget.
    """
    headers = [
        (b":method", message.method),
        (b":scheme", b"https"),
        (b":authority", authority),
        (b":path", message.target),
        (b"x-call-id", message.id.encode()),
        (b"x-budget", b"%.3f" % (timeout_ms / 1000.0)),
    ]
    if message.key is not None:
        headers.append((b"idempotency-key", message.key))
    if message.content_type is not None:
        headers.append((b"content-type", message.content_type))
    if message.body or message.method != b"GET":
        headers.append((b"content-length", b"%d" % len(message.body)))
    return headers


@dataclass(slots=True, eq=False)
class AttemptStream:
    """The stream of an attempt, and the part of its response that has been received."""

    attempt: Attempt
    id: int  # stream id
    sent_ms: float  # when the request was sent, by the node's clock
    status: int = 0  # 0 until the first response headers
    size: int = 0  # bytes of the body received
    body: list[bytes] = field(default_factory=list)
    content_type: bytes | None = None
    rejected: bool = False  # whether the server rejected the request (`x-rejected`)
    report: dict[str, float] | None = None  # the server's load report
    chain: bytes | None = None  # header about the server's own calls, in a chain of tiers


class ServerConnection:
    """A connection to a server, which carries any number of attempts."""

    def __init__(self, upstream: Http3Upstream, server: int, address: Address, peer: Endpoint) -> None:
        self.server = server
        self.address = address
        self.peer = peer
        self.upstream = upstream
        self.created_s = time.monotonic()
        self.last_received_s = self.created_s  # when the last datagram was received
        self.last_sent_s = self.created_s  # when the last attempt was sent
        self.up = False  # whether the handshake is confirmed: from then on the server reads requests
        self.closed = False
        self.shutting_down = False  # whether the connection takes no new attempts
        self.attempts: dict[int, AttemptStream] = {}  # attempts by stream id
        self.cids: set[bytes] = set()  # connection ids by which this connection receives datagrams
        self.quic = QuicConnection(configuration=upstream.configuration(address))
        self.transport = QuicTransport(
            self.quic,
            upstream.loop,
            upstream.sendto,
            self._on_event,
            self._on_flushed,
            lambda: self._on_terminated(False),
        )
        self._session: Session | None = None
        self._authority = b"%b:%d" % (address[0].encode(), address[1])

    def connect(self) -> None:
        """Send the first packet."""
        upstream = self.upstream
        upstream.connection_ids.add(self.quic.host_cid, self)
        self.quic.connect(self.peer, now=time.monotonic())
        self.transport.flush()

    def receive(self, data: bytes) -> None:
        """Handle a datagram that was received on this connection."""
        self.last_received_s = time.monotonic()
        self.upstream.transports.received(self.server, now_ms())
        self.transport.receive(data, self.peer)
        if not self.up and not self.closed and is_confirmed(self.quic):
            self.up = True
            self.upstream.transports.connected(self.server, now_ms())
        if not self.closed and (code := peer_close_code(self.quic)) is not None:
            # Not only at the library's event, so that the attempts can be repeated elsewhere at once.
            self._on_terminated(code in ORDERLY_CODES and self.up)

    def probe(self) -> None:
        """Send a PING, which the server has to acknowledge."""
        self.quic.send_ping(0)
        self.transport.flush_soon()

    def can_send(self) -> bool:
        """Return whether an attempt can be sent now."""
        return self.up and not self.closed and not self.shutting_down and streams_left(self.quic) > 0

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt's request on a new stream."""
        assert self._session is not None
        stream_id = new_stream(self.quic)
        stream = self.attempts[stream_id] = AttemptStream(attempt, stream_id, now_ms())
        attempt.set_cancel_io(lambda: self._cancel(stream))
        message = attempt.message
        self.last_sent_s = time.monotonic()
        self._session.send_headers(
            stream_id,
            request_headers(message, self._authority, attempt.timeout_ms) + attempt.more,
            end_stream=not message.body,
        )
        if message.body:
            self._session.send_data(stream_id, message.body, end_stream=True)
        self.transport.flush()

    def _cancel(self, stream: AttemptStream) -> None:
        """Reset the stream of a cancelled attempt; the connection stays open."""
        if self._remove(stream.id) is None:
            return
        if self.upstream.transports.timed_out(self.server, stream.sent_ms, now_ms()):
            self.probe()
        self._reset_stream(stream.id)
        self.transport.flush_soon()

    def _reset_stream(self, stream_id: int) -> None:
        if not self.closed and not is_stream_finished(self.quic, stream_id):
            self.quic.stop_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
            self.quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_CANCELLED)
        if self._session is not None:
            self._session.forget(stream_id)
            if not is_stream_finished(self.quic, stream_id):
                self._session.ignore(stream_id, False)

    def _remove(self, stream_id: int) -> AttemptStream | None:
        stream = self.attempts.pop(stream_id, None)
        if self.shutting_down and not self.attempts:
            self.upstream.loop.call_soon(self.close)
        return stream

    def _finish(self, stream_id: int, result: Result, response: UpstreamResponse | None = None) -> None:
        stream = self._remove(stream_id)
        if stream is not None:
            stream.attempt.end(result, response)

    def _fail(self, stream_id: int) -> None:
        """End an attempt that got no response: the request may have run if all of it was sent."""
        stream = self.attempts.get(stream_id)
        if stream is not None:
            written = stream.attempt.written or is_fully_sent(self.quic, stream_id)
            self._finish(stream_id, Result.RESET if written else Result.UNREACHABLE)

    # QUIC and HTTP/3 events

    def _on_event(self, event: QuicEvent) -> None:
        match event:
            case HandshakeCompleted():
                self._session = Session(self.quic)  # sends the SETTINGS frame
            case ConnectionIdIssued():
                self.upstream.connection_ids.add(event.connection_id, self)
            case ConnectionIdRetired():
                self.upstream.connection_ids.retire(event.connection_id, self)
            case ConnectionTerminated():
                self._on_terminated(event.error_code in ORDERLY_CODES and self.up)
            case StreamReset():
                self._on_http_event(event)
                stream = self.attempts.get(event.stream_id)
                if stream is not None and event.error_code == ErrorCode.H3_REQUEST_REJECTED:
                    # The request did not run, unless the server had already begun a response.
                    self._finish(event.stream_id, Result.RESET if stream.status else Result.REFUSED)
                elif stream is not None:
                    self._fail(event.stream_id)
                if not is_stream_finished(self.quic, event.stream_id):
                    self.quic.reset_stream(event.stream_id, ErrorCode.H3_REQUEST_CANCELLED)
            case _:
                self._on_http_event(event)

    def _on_http_event(self, event: QuicEvent) -> None:
        if self._session is None:
            return
        for h3_event in self._session.handle_quic_event(event):
            if isinstance(h3_event, GoAway):
                self._on_goaway(h3_event.stream_id)
                continue
            stream = self.attempts.get(getattr(h3_event, "stream_id", -1))
            if stream is None:
                continue
            match h3_event:
                case HeadersReceived():
                    self._on_headers(stream, h3_event)
                case DataReceived():
                    stream.size += len(h3_event.data)
                    stream.body.append(h3_event.data)
                    if stream.size > MAX_BODY:
                        self._on_malformed(stream)
                        continue
                case Malformed():
                    self._on_malformed(stream)
                    continue
            if getattr(h3_event, "stream_ended", False) and stream.id in self.attempts:
                self._on_complete(stream)

    def _on_headers(self, stream: AttemptStream, event: HeadersReceived) -> None:
        if stream.status >= 200:
            return  # trailers
        stream.rejected = False
        stream.report = None
        stream.content_type = None
        stream.chain = None
        for name, value in event.headers:
            match name:
                case b":status":
                    stream.status = int(value)  # the library has checked that it is three digits
                case b"content-type":
                    stream.content_type = value
                case b"x-rejected":
                    stream.rejected = value.strip() == b"1"
                case b"x-load-report":
                    stream.report = read_report(value)
                case b"x-chain":
                    stream.chain = value

    def _on_complete(self, stream: AttemptStream) -> None:
        if stream.status < 200:  # the stream ended without a final response
            return self._on_malformed(stream)
        body = b"".join(stream.body)
        response = UpstreamResponse(
            stream.status, body, stream.content_type, stream.report, chain=stream.chain
        )
        if not stream.attempt.written:  # a response proves that the request was sent
            stream.attempt.on_sent()
        self._finish(stream.id, classify_response(stream.status, stream.rejected), response)
        return None

    def _on_malformed(self, stream: AttemptStream) -> None:
        self._reset_stream(stream.id)
        stream.body.clear()
        self._finish(stream.id, Result.ERROR)

    def _on_goaway(self, first_excluded: int) -> None:
        """Handle a GOAWAY frame.

        :param first_excluded: requests with this stream id or a greater one did not run; the server may still
            answer the others.
        """
        self.shutting_down = True
        for stream_id in [stream_id for stream_id in self.attempts if stream_id >= first_excluded]:
            self._reset_stream(stream_id)
            self._finish(stream_id, Result.MOOT)
        self.upstream.stop_using(self)
        if not self.attempts:
            self.upstream.loop.call_soon(self.close)

    def _on_flushed(self) -> None:
        if unanswered_probes(self.quic) >= SUSPECT_PROBES:
            self.upstream.transports.probes_unanswered(self.server, now_ms())
        for stream in self.attempts.values():
            if not stream.attempt.written and is_fully_sent(self.quic, stream.id):
                stream.attempt.on_sent()

    # Closing

    def is_stateless_reset(self, data: bytes) -> bool:
        """Return whether a datagram is a stateless reset of this connection (RFC 9000, section 10.3)."""
        return len(data) >= MIN_STATELESS_RESET_BYTES and data[-RESET_TOKEN_BYTES:] in peer_reset_tokens(
            self.quic
        )

    def on_reset(self) -> None:
        """Handle a stateless reset or a closed port: the server no longer knows this connection."""
        self._on_terminated(False)

    def close(self, orderly: bool = True) -> None:
        """Close the connection; its attempts end without a response.

        :param orderly: False if the connection failed: TCP is then used for the backoff time.
        """
        if not self.closed:
            self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
            self.transport.flush()
            self._on_terminated(orderly)

    def _on_terminated(self, orderly: bool) -> None:
        if self.closed:
            return
        self.closed = True
        self.transport.stop()
        self.upstream.connection_closed(self, orderly)
        for stream_id in list(self.attempts):
            self._fail(stream_id)
