"""An HTTP/3 connection of a client: one stream for each request, and exactly one response to each request.

As in HTTP/1.1, invalid input of a client affects only its own connection, and requests that can't be served
are answered here with errors, never with refusals (429, 503): those are the balancer's to give. A request has
`READ_TIMEOUT_S` to arrive completely, then its budget (at most the deadline of its class) to be answered, and
the client has `WRITE_TIMEOUT_S` to acknowledge the response.
"""

from __future__ import annotations

import logging
import math
import time
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

from aioquic.quic.events import (
    ConnectionIdIssued,
    ConnectionIdRetired,
    ConnectionTerminated,
    HandshakeCompleted,
    QuicEvent,
    StopSendingReceived,
    StreamDataReceived,
    StreamReset,
)

from orchidferry.balancing import interface as api
from orchidferry.balancing.floods import ConnectionLimits
from orchidferry.node.client_connection import RequestHandle
from orchidferry.node.clock import now_ms
from orchidferry.node.connection_stage import LIMITS_S, Stage
from orchidferry.node.frontend import NODE_PATHS
from orchidferry.node.h3.arrivals import Arrivals
from orchidferry.node.h3.held_datagrams import Datagram, HeldDatagrams
from orchidferry.node.h3.lost_datagrams import resend_delay_ms
from orchidferry.node.h3.quic_transport import (
    Endpoint,
    QuicTransport,
    ServerQuicConnection,
    has_short_header,
    is_stream_finished,
    largest_packet_number,
    peer_close_code,
    probe_timeout_ms,
)
from orchidferry.node.h3.session import (
    LAST_STREAM,
    DataReceived,
    ErrorCode,
    HeadersReceived,
    Malformed,
    Session,
)
from orchidferry.node.http1 import MAX_BODY, MAX_HEAD
from orchidferry.node.reply import Reply
from orchidferry.node.request import UNIQUE_HEADERS, Message, RequestError, read_message

if TYPE_CHECKING:
    from orchidferry.node.h3.front import Listener

# Time limits, the same as in HTTP/1.1
HANDSHAKE_TIMEOUT_S = LIMITS_S[Stage.NEW]
READ_TIMEOUT_S = LIMITS_S[Stage.READING]
WRITE_TIMEOUT_S = LIMITS_S[Stage.LEAVING]
IDLE_TIMEOUT_S = LIMITS_S[Stage.IDLE]

MAX_STREAMS = 100  # open requests on one connection
# Probe timeouts before the client's deadline: a response that is sent later than that is sent twice at once,
# as a resend after its loss would come too late or hardly in time.
DUPLICATE_PROBE_TIMEOUTS = 2.0
TOO_EARLY = 425  # HTTP status code (RFC 8470)

log = logging.getLogger("orchidferry")


class StreamState(Enum):
    """What the stream of a request waits for."""

    READING = "the rest of the request"
    SERVING = "a response from the node"
    WRITING = "the client to acknowledge the response"


@dataclass(slots=True, eq=False)
class RequestStream:
    """The stream of a request, until its whole response is acknowledged."""

    connection: Connection
    id: int  # stream id
    state_since_s: float  # when `state` began, by `time.monotonic`
    early: bool  # whether it began before the handshake was complete: it may be a replay (RFC 8470)
    # When a stream that the client opened later reached this machine, if that was earlier; else infinite
    overtaken_ms: float
    state: StreamState = StreamState.READING
    target: bytes = b""
    method: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)
    size: int = 0  # bytes of the body received
    has_headers: bool = False  # whether the header section was received
    client_deadline_ms: float = math.inf  # estimate of when the client stops waiting, by the node's clock
    pending: RequestHandle | None = None  # the node's handle, while it serves the request

    def respond(self, reply: Reply) -> None:
        """Send the node's response."""
        self.pending = None
        self.connection.send_response(self, reply)


class Connection:
    """A connection of a client."""

    def __init__(self, listener: Listener, quic: ServerQuicConnection) -> None:
        self.listener = listener
        self.quic = quic
        self.created_s = time.monotonic()
        self.last_received_s = self.created_s
        self.up = False  # whether the handshake is complete
        self.closed = False
        self.cids: set[bytes] = set()  # connection ids by which it receives datagrams, about ten
        self.streams: dict[int, RequestStream] = {}  # request streams by stream id
        self._abuse_limit = ConnectionLimits(now_ms())
        self._closing = False
        self.transport = QuicTransport(
            quic, listener.loop, listener.sendto, self._on_event, self._on_flushed, self._on_terminated
        )
        self._session: Session | None = None
        self._held_datagrams = HeldDatagrams()
        self._arrivals = Arrivals()

    def receive(self, data: bytes, peer: Endpoint, arrived_ms: float) -> None:
        """Handle a datagram, or hold it until the handshake is complete.

        :param arrived_ms: when it reached this machine, by the node's clock.
        """
        self.last_received_s = time.monotonic()
        datagram = Datagram(data, peer, arrived_ms)
        if not self.up and has_short_header(data):
            return self._held_datagrams.hold(datagram)
        self._receive_now(datagram)
        if self.up:
            for held in self._held_datagrams.take():
                self._receive_now(held)
        return None

    def _receive_now(self, datagram: Datagram) -> None:
        if self.closed:
            return
        self._arrivals.begin_datagram(datagram.arrived_ms, largest_packet_number(self.quic))
        self.transport.receive(datagram.data, datagram.peer)
        self._arrivals.note_missing(largest_packet_number(self.quic))
        if not self.closed and peer_close_code(self.quic) is not None:
            self._on_terminated()  # at once: its requests need not wait for the end of the draining period

    def _on_event(self, event: QuicEvent) -> None:
        match event:
            case StreamDataReceived():
                self._on_stream_data(event)
            case StreamReset():
                self._h3_events(event)
                self._on_cancelled(event.stream_id)
            case StopSendingReceived():
                self._on_cancelled(event.stream_id)
            case ConnectionIdIssued():
                self.listener.connection_ids.add(event.connection_id, self)
            case ConnectionIdRetired():
                self.listener.connection_ids.retire(event.connection_id, self)
            case HandshakeCompleted():
                self.up = True
                if self._session is None:
                    self._session = Session(self.quic)  # sends the SETTINGS frame
                self.listener.handshake_completed(self)
            case ConnectionTerminated():
                self._on_terminated()

    def _h3_events(self, event: QuicEvent) -> list[Any]:
        if self._session is None:
            self._session = Session(self.quic)
        return self._session.handle_quic_event(event)

    def _on_stream_data(self, event: StreamDataReceived) -> None:
        stream_id = event.stream_id
        # Request streams are bidirectional and opened by the client: multiples of 4 (RFC 9000, section 2.1).
        if stream_id % 4 == 0 and stream_id not in self.streams and not self._is_ignored(stream_id):
            overtaken_ms = self._arrivals.open_stream(stream_id)
            if self._closing or len(self.streams) >= MAX_STREAMS:
                return self._reject_stream(stream_id, event.end_stream)
            self.streams[stream_id] = RequestStream(
                self, stream_id, time.monotonic(), not self.up, overtaken_ms
            )
        for h3_event in self._h3_events(event):
            stream = self.streams.get(getattr(h3_event, "stream_id", -1))
            if stream is None or stream.state is not StreamState.READING:
                continue
            match h3_event:
                case HeadersReceived():
                    self._on_headers(stream, h3_event)
                case DataReceived():
                    stream.size += len(h3_event.data)
                    if stream.size > MAX_BODY:
                        self._reject_request(stream, 413, "body over 64 KiB")
                    else:
                        stream.body.append(h3_event.data)
                case Malformed():
                    if not self._abuse_limit.allows_malformed(now_ms()):
                        return self.abort(ErrorCode.H3_EXCESSIVE_LOAD)
                    self._reject_request(stream, h3_event.status, h3_event.reason)
            if getattr(h3_event, "stream_ended", False) and stream.state is StreamState.READING:
                self._on_complete(stream)
        return None

    def _is_ignored(self, stream_id: int) -> bool:
        return self._session is not None and self._session.is_ignored(stream_id)

    def _reject_stream(self, stream_id: int, ended: bool) -> None:
        """Reject a stream unread: the client may send its request elsewhere (RFC 9114, section 4.1.1).

        :param ended: whether the client has sent all of it.
        """
        if self._session is None:
            self._session = Session(self.quic)
        self._session.ignore(stream_id, ended)
        if not ended:
            self.quic.stop_stream(stream_id, ErrorCode.H3_REQUEST_REJECTED)
        self.quic.reset_stream(stream_id, ErrorCode.H3_REQUEST_REJECTED)
        if not self._closing and not self._abuse_limit.allows_reset(now_ms()):
            self.abort(ErrorCode.H3_EXCESSIVE_LOAD)

    # Requests

    def _on_headers(self, stream: RequestStream, event: HeadersReceived) -> None:
        if stream.has_headers:
            return None  # trailers are ignored
        stream.has_headers = True
        size = 0
        for name, value in event.headers:
            size += len(name) + len(value)
            if name == b":method":
                stream.method = value
            elif name == b":path":
                stream.target = value
            elif name[:1] != b":":
                if name in UNIQUE_HEADERS and name in stream.headers:
                    return self._reject_request(stream, 400, "a header came twice")
                stream.headers[name] = value.strip()
        if size > MAX_HEAD:
            return self._reject_request(stream, 431, "headers too large")
        if not stream.target:
            return self._reject_request(stream, 400, "no :path")
        length = stream.headers.get(b"content-length", b"0")
        if not length.isdigit():
            self._reject_request(stream, 400, "content-length is no number")
        elif int(length[:12]) > MAX_BODY:
            self._reject_request(stream, 413, "body over 64 KiB")
        return None

    def _on_complete(self, stream: RequestStream) -> None:
        """Pass a complete request to the node."""
        listener = self.listener
        if stream.target.startswith(NODE_PATHS):
            return self.send_response(stream, listener.node_page(stream.target.partition(b"?")[0]))
        body = b"".join(stream.body)
        stream.body = []
        try:
            message = read_message(listener.classes, stream.method, stream.target, stream.headers, body)
            if stream.early and listener.classes[message.cls].repeat is not api.Repeat.SAFE:
                return self.send_response(stream, Reply(TOO_EARLY, b"ask again once the handshake is done"))
            self._set_state(stream, StreamState.SERVING)
            self._allow_for_losses(stream, message)
            pending = listener.accept(message, stream.respond)
        except RequestError as problem:
            return self._reject_request(stream, 400, str(problem))
        if stream.state is StreamState.SERVING:  # else `accept` has answered it already
            stream.pending = pending
        return None

    def _allow_for_losses(self, stream: RequestStream, message: Message) -> None:
        """Count a request from when it was sent, and leave time for one resend of its response."""
        self._arrivals.note_missing(largest_packet_number(self.quic))
        timeout_ms = probe_timeout_ms(self.quic)
        message.arrived_ms = self._arrivals.sent_ms(timeout_ms, message.budget_ms, stream.overtaken_ms)
        message.answer_margin_ms = resend_delay_ms(timeout_ms, 1, message.budget_ms)
        stream.client_deadline_ms = message.arrived_ms + message.budget_ms

    def send_response(self, stream: RequestStream, reply: Reply) -> None:
        """Send a complete response: that of the node, or an error of this module."""
        if self.streams.get(stream.id) is not stream or self._session is None:
            return  # the client cancelled the request, or the connection is closed
        self._set_state(stream, StreamState.WRITING)
        headers = [(b":status", b"%d" % reply.status)]
        if reply.content_type is not None:
            headers.append((b"content-type", reply.content_type))
        if reply.retry_after_s is not None:
            headers.append((b"retry-after", b"%.3f" % reply.retry_after_s))
        headers.extend(reply.more)
        headers.append((b"content-length", b"%d" % len(reply.body)))
        try:
            self._session.send_headers(stream.id, headers, end_stream=not reply.body)
            if reply.body:
                self._session.send_data(stream.id, reply.body, end_stream=True)
        except Exception:  # the stream was closed
            log.exception("could not send a response over HTTP/3; resetting its stream")
            self._drop(stream, ErrorCode.H3_INTERNAL_ERROR)
        if stream.client_deadline_ms - now_ms() < DUPLICATE_PROBE_TIMEOUTS * probe_timeout_ms(self.quic):
            self.transport.flush_twice_soon()
        else:
            self.transport.flush_soon()

    def _reject_request(self, stream: RequestStream, status: int, reason: str) -> None:
        """Answer a request with an error, and read no more of it (RFC 9114, section 4.1.1)."""
        if self._session is not None and not is_stream_finished(self.quic, stream.id):
            self._session.ignore(stream.id, False)
            self.quic.stop_stream(stream.id, ErrorCode.H3_NO_ERROR)
        stream.body.clear()
        self.send_response(stream, Reply(status, reason.encode()))

    def _on_cancelled(self, stream_id: int) -> None:
        """Drop a request that its client cancelled; the node decides about its attempts."""
        self._arrivals.forget_stream(stream_id)
        stream = self.streams.get(stream_id)
        if stream is None:
            return
        unanswered = stream.state is not StreamState.WRITING
        self._drop(stream, ErrorCode.H3_REQUEST_CANCELLED)
        if unanswered and not self._abuse_limit.allows_reset(now_ms()):
            log.warning("client cancelled too many requests; closing its connection")
            self.abort(ErrorCode.H3_EXCESSIVE_LOAD)

    def _drop(self, stream: RequestStream, code: int) -> None:
        """Reset and forget the stream of a request, and notify the node if it serves the request."""
        if self.streams.pop(stream.id, None) is None:
            return
        if not self.closed and not is_stream_finished(self.quic, stream.id):
            self.quic.reset_stream(stream.id, code)
        if self._session is not None:
            self._session.forget(stream.id)
            if not self.closed and not is_stream_finished(self.quic, stream.id):
                self._session.ignore(stream.id, False)
        pending = stream.pending
        stream.pending = None
        if pending is not None:
            pending.client_disconnected()

    def _set_state(self, stream: RequestStream, state: StreamState) -> None:
        stream.state = state
        stream.state_since_s = time.monotonic()

    # Closing

    def _on_flushed(self) -> None:
        """Forget requests with an acknowledged response; called after each flush."""
        finished = [
            stream
            for stream in self.streams.values()
            if stream.state is StreamState.WRITING and is_stream_finished(self.quic, stream.id)
        ]
        for stream in finished:
            del self.streams[stream.id]
        if self._closing and not self.streams and not self.closed:
            self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
            self._closing = False  # so that the connection is closed only once
            self.transport.flush_soon()

    def sweep(self, now: float) -> None:
        """End the connection or the requests that exceed their time limits.

        :param now: in seconds, by `time.monotonic`.
        """
        if not self.up and now - self.created_s > HANDSHAKE_TIMEOUT_S:
            return self.abort(ErrorCode.H3_NO_ERROR)
        if self.up and not self.streams and now - self.last_received_s > IDLE_TIMEOUT_S:
            return self.abort(ErrorCode.H3_NO_ERROR)
        for stream in list(self.streams.values()):
            waited_s = now - stream.state_since_s
            if stream.state is StreamState.READING and waited_s > READ_TIMEOUT_S:
                self._reject_request(stream, 408, "the request took too long to come")
            elif stream.state is StreamState.WRITING and waited_s > WRITE_TIMEOUT_S:
                self._drop(stream, ErrorCode.H3_INTERNAL_ERROR)
                self.transport.flush_soon()
        return None

    def set_not_ready(self) -> None:
        """Announce that the node is shutting down; requests are still accepted (RFC 9114, section 5.2)."""
        if self._session is not None and not self.closed:
            self._session.send_goaway(LAST_STREAM)
            self.transport.flush_soon()

    def close_gracefully(self) -> None:
        """Accept no new requests, and close the connection when the open ones are answered."""
        if not self.closed and not self._closing:
            self._closing = True
            if self._session is not None:
                self._session.send_goaway(self._arrivals.next_stream)
            self.transport.flush_soon()

    def abort(self, code: int) -> None:
        """Close the connection at once; its open requests are dropped.

        :param code: the HTTP/3 error code that the client is sent.
        """
        if not self.closed:
            self.quic.close(error_code=code)
            self.transport.flush()
            self._on_terminated()

    def _on_terminated(self) -> None:
        if self.closed:
            return
        self.closed = True
        self._held_datagrams.take()
        for stream in list(self.streams.values()):
            self._drop(stream, ErrorCode.H3_REQUEST_CANCELLED)
        self.listener.connection_closed(self)
        # No closing period, in which the library would repeat its CONNECTION_CLOSE: the listener answers late
        # packets as stray ones.
        self.transport.stop()
