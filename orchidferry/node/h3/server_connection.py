"""A connection to a server in HTTP/3: one stream an attempt, each with exactly one outcome.

Outcomes follow the protocol:

- never ran: the connection never came up, the last byte of the request was never sent, H3_REQUEST_REJECTED, a
  GOAWAY that excludes the stream;
- may have run: whatever else ends the stream once that byte was sent.

An attempt is given up by resetting its stream; the connection stays open.
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
    is_over,
    is_sent,
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

ORDERLY = (0, ErrorCode.H3_NO_ERROR)  # codes with which idle timeouts and planned ends close
MIN_RESET = 21  # bytes of a stateless reset
SUSPECT_PROBES = 3  # probe timeouts in a row, with 5% of datagrams lost about once in 1,000 packets

log = logging.getLogger("orchidferry")


def request_headers(message: Message, authority: bytes, timeout_ms: float) -> list[tuple[bytes, bytes]]:
    """Return a request's headers as they are sent to a server.

    :param authority: the server, as host and port.
    :param timeout_ms: the budget that the server is told: what is left for this attempt.
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
class StreamAttempt:
    """An attempt on a stream, and what has come of its response."""

    attempt: Attempt
    stream: int
    sent_ms: float
    status: int = 0
    size: int = 0
    body: list[bytes] = field(default_factory=list)
    content_type: bytes | None = None
    rejected: bool = False
    report: dict[str, float] | None = None
    chain: bytes | None = None


class ServerConnection:
    """A connection to a server, with any number of attempts."""

    def __init__(self, routes: Http3Upstream, server: int, address: Address, peer: Endpoint) -> None:
        self.server = server
        self.address = address
        self.peer = peer
        self.routes = routes
        self.began_s = time.monotonic()
        self.last_received_s = self.began_s
        self.last_sent_s = self.began_s  # when the last attempt was sent
        self.up = False  # whether the handshake is confirmed: the server reads what is sent
        self.over = False
        self.leaving = False  # whether it takes no more attempts
        self.attempts: dict[int, StreamAttempt] = {}
        self.cids: set[bytes] = set()
        self.quic = QuicConnection(configuration=routes.configuration(address))
        self.transport = QuicTransport(
            self.quic,
            routes.loop,
            routes.sendto,
            self._on_event,
            self._on_flushed,
            lambda: self._on_terminated(False),
        )
        self._session: Session | None = None
        self._authority = b"%b:%d" % (address[0].encode(), address[1])

    def connect(self) -> None:
        """Send the first packet."""
        routes = self.routes
        routes.ids.add(self.quic.host_cid, self)
        self.quic.connect(self.peer, now=time.monotonic())
        self.transport.flush()

    def receive(self, data: bytes) -> None:
        """Handle a datagram."""
        self.last_received_s = time.monotonic()
        self.routes.transports.received(self.server, now_ms())
        self.transport.receive(data, self.peer)
        if not self.up and not self.over and is_confirmed(self.quic):
            self.up = True
            self.routes.transports.connected(self.server, now_ms())
        if not self.over and (code := peer_close_code(self.quic)) is not None:
            self._on_terminated(
                code in ORDERLY and self.up
            )  # now, so that its attempts can be repeated elsewhere

    def probe(self) -> None:
        """Send something that the server has to acknowledge."""
        self.quic.send_ping(0)
        self.transport.flush_soon()

    def can_send(self) -> bool:
        """Return whether an attempt may be sent now."""
        return self.up and not self.over and not self.leaving and streams_left(self.quic) > 0

    def send_attempt(self, attempt: Attempt) -> None:
        """Send an attempt's request on a new stream."""
        assert self._session is not None
        stream = new_stream(self.quic)
        sent = self.attempts[stream] = StreamAttempt(attempt, stream, now_ms())
        attempt.set_cancel_io(lambda: self._cancel(sent))
        message = attempt.message
        self.last_sent_s = time.monotonic()
        self._session.send_headers(
            stream,
            request_headers(message, self._authority, attempt.timeout_ms) + attempt.more,
            end_stream=not message.body,
        )
        if message.body:
            self._session.send_data(stream, message.body, end_stream=True)
        self.transport.flush()

    def _cancel(self, sent: StreamAttempt) -> None:
        """End the stream of an attempt that was given up; the connection stays open."""
        if self._remove(sent.stream) is None:
            return
        if self.routes.transports.timed_out(self.server, sent.sent_ms, now_ms()):
            self.probe()
        self._reset(sent.stream)
        self.transport.flush_soon()

    def _reset(self, stream: int) -> None:
        if not self.over and not is_over(self.quic, stream):
            self.quic.stop_stream(stream, ErrorCode.H3_REQUEST_CANCELLED)
            self.quic.reset_stream(stream, ErrorCode.H3_REQUEST_CANCELLED)
        if self._session is not None:
            self._session.forget(stream)
            if not is_over(self.quic, stream):
                self._session.ignore(stream, False)

    def _remove(self, stream: int) -> StreamAttempt | None:
        sent = self.attempts.pop(stream, None)
        if self.leaving and not self.attempts:
            self.routes.loop.call_soon(self.end)
        return sent

    def _finish(self, stream: int, result: Result, answer: UpstreamResponse | None = None) -> None:
        sent = self._remove(stream)
        if sent is not None:
            sent.attempt.end(result, answer)

    def _fail(self, stream: int) -> None:
        """End an attempt without a response: it may have run if all of its request was sent."""
        sent = self.attempts.get(stream)
        if sent is not None:
            written = sent.attempt.written or is_sent(self.quic, stream)
            self._finish(stream, Result.RESET if written else Result.UNREACHABLE)

    # Events

    def _on_event(self, event: QuicEvent) -> None:
        match event:
            case HandshakeCompleted():
                self._session = Session(self.quic)  # it sends the settings
            case ConnectionIdIssued():
                self.routes.ids.add(event.connection_id, self)
            case ConnectionIdRetired():
                self.routes.ids.retire(event.connection_id, self)
            case ConnectionTerminated():
                self._on_terminated(event.error_code in ORDERLY and self.up)
            case StreamReset():
                self._on_http_event(event)
                sent = self.attempts.get(event.stream_id)
                if sent is not None and event.error_code == ErrorCode.H3_REQUEST_REJECTED:
                    # The server says that it did not run it, unless it answered something before.
                    self._finish(event.stream_id, Result.RESET if sent.status else Result.REFUSED)
                elif sent is not None:
                    self._fail(event.stream_id)
                if not is_over(self.quic, event.stream_id):
                    self.quic.reset_stream(event.stream_id, ErrorCode.H3_REQUEST_CANCELLED)
            case _:
                self._on_http_event(event)

    def _on_http_event(self, event: QuicEvent) -> None:
        if self._session is None:
            return
        for found in self._session.take(event):
            if isinstance(found, GoAway):
                self._on_goaway(found.stream_id)
                continue
            sent = self.attempts.get(getattr(found, "stream_id", -1))
            if sent is None:
                continue
            match found:
                case HeadersReceived():
                    self._on_headers(sent, found)
                case DataReceived():
                    sent.size += len(found.data)
                    sent.body.append(found.data)
                    if sent.size > MAX_BODY:
                        self._on_malformed(sent)
                        continue
                case Malformed():
                    self._on_malformed(sent)
                    continue
            if getattr(found, "stream_ended", False) and sent.stream in self.attempts:
                self._on_complete(sent)

    def _on_headers(self, sent: StreamAttempt, found: HeadersReceived) -> None:
        if sent.status >= 200:
            return  # trailers
        sent.rejected = False
        sent.report = None
        sent.content_type = None
        sent.chain = None
        for name, value in found.headers:
            match name:
                case b":status":
                    sent.status = int(value)  # three digits, as the library checked
                case b"content-type":
                    sent.content_type = value
                case b"x-rejected":
                    sent.rejected = value.strip() == b"1"
                case b"x-load-report":
                    sent.report = read_report(value)
                case b"x-chain":
                    sent.chain = value

    def _on_complete(self, sent: StreamAttempt) -> None:
        if sent.status < 200:  # an end without a response
            return self._on_malformed(sent)
        body = b"".join(sent.body)
        answer = UpstreamResponse(sent.status, body, sent.content_type, sent.report, chain=sent.chain)
        if not sent.attempt.written:  # a response proves that it was sent
            sent.attempt.on_sent()
        self._finish(sent.stream, classify_response(sent.status, sent.rejected), answer)
        return None

    def _on_malformed(self, sent: StreamAttempt) -> None:
        self._reset(sent.stream)
        sent.body.clear()
        self._finish(sent.stream, Result.ERROR)

    def _on_goaway(self, first: int) -> None:
        """Handle a GOAWAY: attempts that it excludes never ran, the others may still be answered."""
        self.leaving = True
        for stream in [stream for stream in self.attempts if stream >= first]:
            self._reset(stream)
            self._finish(stream, Result.MOOT)
        self.routes.stop_using(self)
        if not self.attempts:
            self.routes.loop.call_soon(self.end)

    def _on_flushed(self) -> None:
        if unanswered_probes(self.quic) >= SUSPECT_PROBES:
            self.routes.transports.probes_unanswered(self.server, now_ms())
        for sent in self.attempts.values():
            if not sent.attempt.written and is_sent(self.quic, sent.stream):
                sent.attempt.on_sent()

    # The end

    def reset_by(self, data: bytes) -> bool:
        """Return whether a datagram is the server's stateless reset of it (RFC 9000, section 10.3)."""
        return len(data) >= MIN_RESET and data[-RESET_TOKEN_BYTES:] in peer_reset_tokens(self.quic)

    def reset(self) -> None:
        """Handle a stateless reset, or that its port is closed: the server has forgotten it."""
        self._on_terminated(False)

    def end(self, orderly: bool = True) -> None:
        """Close it; its attempts end.

        :param orderly: False if it did not work, so that TCP is used for a while.
        """
        if not self.over:
            self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
            self.transport.flush()
            self._on_terminated(orderly)

    def _on_terminated(self, orderly: bool) -> None:
        if self.over:
            return
        self.over = True
        self.transport.end()
        self.routes.connection_closed(self, orderly)
        for stream in list(self.attempts):
            self._fail(stream)
