"""A client's connection in HTTP/3: requests on streams, and exactly one answer to each.

As in HTTP/1.1 a client's bad input affects only its own connection, and requests that can't be served get
errors, never refusals. A request has `READ_S` to arrive, its class's deadline to be answered, and `WRITE_S`
for its answer to be acknowledged.
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
from orchidferry.node.client_connection import LIMITS_S, RequestHandle, Stage
from orchidferry.node.clock import now_ms
from orchidferry.node.frontend import NODE_PATHS
from orchidferry.node.h3.arrivals import Arrivals
from orchidferry.node.h3.held_datagrams import Datagram, HeldDatagrams
from orchidferry.node.h3.lost_datagrams import resend_delay_ms
from orchidferry.node.h3.quic_transport import (
    Endpoint,
    QuicTransport,
    ServerQuicConnection,
    has_short_header,
    is_over,
    newest_packet,
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

# The same limits as in HTTP/1.1
HANDSHAKE_S = LIMITS_S[Stage.NEW]
READ_S = LIMITS_S[Stage.READING]
WRITE_S = LIMITS_S[Stage.LEAVING]
IDLE_S = LIMITS_S[Stage.IDLE]

MAX_STREAMS = 100  # open requests of one connection
SHORT_PROBE_TIMEOUTS = 2.0  # left to an answer: if it is lost, its resend comes late or hardly in time
TOO_EARLY = 425  # status, RFC 8470

log = logging.getLogger("orchidferry")


class StreamState(Enum):
    """What a request's stream waits for."""

    READING = "the rest of the request"
    SERVING = "an answer from the node"
    WRITING = "the client to acknowledge the answer"


@dataclass(slots=True, eq=False)
class RequestStream:
    """A request's stream, until all of its answer is acknowledged."""

    connection: Connection
    id: int
    since: float  # when its state began, by `time.monotonic`
    early: bool  # whether it began before the handshake was done, and may be a replay (RFC 8470)
    overtaken_ms: float  # when a stream that was opened after it reached this machine, if that was first
    state: StreamState = StreamState.READING
    target: bytes = b""
    method: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: list[bytes] = field(default_factory=list)
    size: int = 0
    has_headers: bool = False
    due_ms: float = math.inf  # when the client stops waiting, as far as is known
    pending: RequestHandle | None = None

    def answer(self, reply: Reply) -> None:
        """Send the node's answer."""
        self.pending = None
        self.connection.send_answer(self, reply)


class Connection:
    """A client's connection."""

    def __init__(self, listener: Listener, quic: ServerQuicConnection) -> None:
        self.listener = listener
        self.quic = quic
        self.began_s = time.monotonic()
        self.last_received_s = self.began_s
        self.up = False  # whether the handshake is done
        self.over = False
        self.cids: set[bytes] = set()  # some ten connection ids that lead to it
        self.streams: dict[int, RequestStream] = {}
        self._abuse_limit = ConnectionLimits(now_ms())
        self._closing = False
        self.transport = QuicTransport(
            quic, listener.loop, listener.sendto, self._on_event, self._on_flushed, self._on_terminated
        )
        self._session: Session | None = None
        self._held = HeldDatagrams()
        self._arrivals = Arrivals()

    def receive(self, data: bytes, peer: Endpoint, arrived_ms: float) -> None:
        """Handle a datagram.

        :param arrived_ms: when it reached this machine, by the node's clock.
        """
        self.last_received_s = time.monotonic()
        datagram = Datagram(data, peer, arrived_ms)
        if not self.up and has_short_header(data):
            return self._held.hold(datagram)
        self._receive_now(datagram)
        if self.up:
            for held in self._held.take():
                self._receive_now(held)
        return None

    def _receive_now(self, datagram: Datagram) -> None:
        if self.over:
            return
        self._arrivals.begin_datagram(datagram.arrived_ms, newest_packet(self.quic))
        self.transport.receive(datagram.data, datagram.peer)
        self._arrivals.note_missing(newest_packet(self.quic))
        if not self.over and peer_close_code(self.quic) is not None:
            self._on_terminated()  # now: its requests need not wait for the end of the closing period

    def _on_event(self, event: QuicEvent) -> None:
        match event:
            case StreamDataReceived():
                self._on_stream_data(event)
            case StreamReset():
                self._http(event)
                self._cancelled(event.stream_id)
            case StopSendingReceived():
                self._cancelled(event.stream_id)
            case ConnectionIdIssued():
                self.listener.ids.add(event.connection_id, self)
            case ConnectionIdRetired():
                self.listener.ids.retire(event.connection_id, self)
            case HandshakeCompleted():
                self.up = True
                if self._session is None:
                    self._session = Session(self.quic)  # it sends the settings
                self.listener.handshake_completed(self)
            case ConnectionTerminated():
                self._on_terminated()

    def _http(self, event: QuicEvent) -> list[Any]:
        if self._session is None:
            self._session = Session(self.quic)
        return self._session.take(event)

    def _on_stream_data(self, event: StreamDataReceived) -> None:
        id = event.stream_id
        if id % 4 == 0 and id not in self.streams and not self._is_ignored(id):
            overtaken_ms = self._arrivals.open_stream(id)
            if self._closing or len(self.streams) >= MAX_STREAMS:
                return self._reject(id, event.end_stream)
            self.streams[id] = RequestStream(self, id, time.monotonic(), not self.up, overtaken_ms)
        for found in self._http(event):
            stream = self.streams.get(getattr(found, "stream_id", -1))
            if stream is None or stream.state is not StreamState.READING:
                continue
            match found:
                case HeadersReceived():
                    self._on_headers(stream, found)
                case DataReceived():
                    stream.size += len(found.data)
                    if stream.size > MAX_BODY:
                        self._reject_request(stream, 413, "body over 64 KiB")
                    else:
                        stream.body.append(found.data)
                case Malformed():
                    if not self._abuse_limit.allows_malformed(now_ms()):
                        return self.abort(ErrorCode.H3_EXCESSIVE_LOAD)
                    self._reject_request(stream, found.status, found.reason)
            if getattr(found, "stream_ended", False) and stream.state is StreamState.READING:
                self._complete(stream)
        return None

    def _is_ignored(self, id: int) -> bool:
        return self._session is not None and self._session.is_ignored(id)

    def _reject(self, id: int, ended: bool) -> None:
        """Reject a stream unread, so that the client can send it elsewhere (RFC 9114, section 4.1.1)."""
        if self._session is None:
            self._session = Session(self.quic)
        self._session.ignore(id, ended)
        if not ended:
            self.quic.stop_stream(id, ErrorCode.H3_REQUEST_REJECTED)
        self.quic.reset_stream(id, ErrorCode.H3_REQUEST_REJECTED)
        if not self._closing and not self._abuse_limit.allows_reset(now_ms()):
            self.abort(ErrorCode.H3_EXCESSIVE_LOAD)

    # Requests

    def _on_headers(self, stream: RequestStream, found: HeadersReceived) -> None:
        if stream.has_headers:
            return None  # trailers are not used
        stream.has_headers = True
        size = 0
        for name, value in found.headers:
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

    def _complete(self, stream: RequestStream) -> None:
        """Pass a complete request to the node."""
        listener = self.listener
        if stream.target.startswith(NODE_PATHS):
            return self.send_answer(stream, listener.node_page(stream.target.partition(b"?")[0]))
        body = b"".join(stream.body)
        stream.body = []
        try:
            message = read_message(listener.classes, stream.method, stream.target, stream.headers, body)
            if stream.early and listener.classes[message.cls].repeat is not api.Repeat.SAFE:
                return self.send_answer(stream, Reply(TOO_EARLY, b"ask again once the handshake is done"))
            self._set_state(stream, StreamState.SERVING)
            self._note_delays(stream, message)
            pending = listener.accept(message, stream.answer)
        except RequestError as problem:
            return self._reject_request(stream, 400, str(problem))
        if stream.state is StreamState.SERVING:  # it may have been answered at once
            stream.pending = pending
        return None

    def _note_delays(self, stream: RequestStream, message: Message) -> None:
        """Note when a request was sent, and leave time for its answer to be sent twice."""
        self._arrivals.note_missing(newest_packet(self.quic))
        timeout_ms = probe_timeout_ms(self.quic)
        message.arrived_ms = self._arrivals.sent_ms(timeout_ms, message.budget_ms, stream.overtaken_ms)
        message.answer_margin_ms = resend_delay_ms(timeout_ms, 1, message.budget_ms)
        stream.due_ms = message.arrived_ms + message.budget_ms

    def send_answer(self, stream: RequestStream, reply: Reply) -> None:
        """Send a complete answer; the node's, or an error of this module."""
        if self.streams.get(stream.id) is not stream or self._session is None:
            return  # its client cancelled it, or the connection is over
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
            log.exception("answering a request over QUIC")
            self._drop(stream, ErrorCode.H3_INTERNAL_ERROR)
        if stream.due_ms - now_ms() < SHORT_PROBE_TIMEOUTS * probe_timeout_ms(self.quic):
            self.transport.flush_twice_soon()
        else:
            self.transport.flush_soon()

    def _reject_request(self, stream: RequestStream, status: int, reason: str) -> None:
        """Answer a request with an error, and read no more of it (RFC 9114, section 4.1.1)."""
        if self._session is not None and not is_over(self.quic, stream.id):
            self._session.ignore(stream.id, False)
            self.quic.stop_stream(stream.id, ErrorCode.H3_NO_ERROR)
        stream.body.clear()
        self.send_answer(stream, Reply(status, reason.encode()))

    def _cancelled(self, id: int) -> None:
        """Drop a request that its client cancelled; attempts at it are not stopped here."""
        self._arrivals.forget_stream(id)
        stream = self.streams.get(id)
        if stream is None:
            return
        unanswered = stream.state is not StreamState.WRITING
        self._drop(stream, ErrorCode.H3_REQUEST_CANCELLED)
        if unanswered and not self._abuse_limit.allows_reset(now_ms()):
            log.warning("a caller took back too many requests; its connection is closed")
            self.abort(ErrorCode.H3_EXCESSIVE_LOAD)

    def _drop(self, stream: RequestStream, code: int) -> None:
        """Forget a request, and notify the node if it has it."""
        if self.streams.pop(stream.id, None) is None:
            return
        if not self.over and not is_over(self.quic, stream.id):
            self.quic.reset_stream(stream.id, code)
        if self._session is not None:
            self._session.forget(stream.id)
            if not self.over and not is_over(self.quic, stream.id):
                self._session.ignore(stream.id, False)
        pending = stream.pending
        stream.pending = None
        if pending is not None:
            pending.client_disconnected()

    def _set_state(self, stream: RequestStream, state: StreamState) -> None:
        stream.state = state
        stream.since = time.monotonic()

    # The end

    def _on_flushed(self) -> None:
        """Forget requests whose answer is acknowledged; called after each flush."""
        done = [
            x for x in self.streams.values() if x.state is StreamState.WRITING and is_over(self.quic, x.id)
        ]
        for stream in done:
            del self.streams[stream.id]
        if self._closing and not self.streams and not self.over:
            self.quic.close(error_code=ErrorCode.H3_NO_ERROR)
            self._closing = False  # only once
            self.transport.flush_soon()

    def sweep(self, now: float) -> None:
        """End the requests, or the connection, that have waited too long."""
        if not self.up and now - self.began_s > HANDSHAKE_S:
            return self.abort(ErrorCode.H3_NO_ERROR)
        if self.up and not self.streams and now - self.last_received_s > IDLE_S:
            return self.abort(ErrorCode.H3_NO_ERROR)
        for stream in list(self.streams.values()):
            waited = now - stream.since
            if stream.state is StreamState.READING and waited > READ_S:
                self._reject_request(stream, 408, "the request took too long to come")
            elif stream.state is StreamState.WRITING and waited > WRITE_S:
                self._drop(stream, ErrorCode.H3_INTERNAL_ERROR)
                self.transport.flush_soon()
        return None

    def set_not_ready(self) -> None:
        """Announce the node's end; requests are still accepted (RFC 9114, section 5.2)."""
        if self._session is not None and not self.over:
            self._session.send_goaway(LAST_STREAM)
            self.transport.flush_soon()

    def close_gracefully(self) -> None:
        """Accept no more requests, and close when the open ones are answered."""
        if not self.over and not self._closing:
            self._closing = True
            if self._session is not None:
                self._session.send_goaway(self._arrivals.next_stream)
            self.transport.flush_soon()

    def abort(self, code: int) -> None:
        """End it now, whatever is on it."""
        if not self.over:
            self.quic.close(error_code=code)
            self.transport.flush()
            self._on_terminated()

    def _on_terminated(self) -> None:
        if self.over:
            return
        self.over = True
        self._held.take()
        for stream in list(self.streams.values()):
            self._drop(stream, ErrorCode.H3_REQUEST_CANCELLED)
        self.listener.connection_closed(self)
        # The library would go on for a while, to answer late packets with its close; here they are strays.
        self.transport.end()
