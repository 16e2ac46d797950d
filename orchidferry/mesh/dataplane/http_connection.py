"""A connection to a server or to its gate: whose a response is, and what it says.

It extends the node's own connection (`orchidferry.node.upstream.Connection`). What requests and responses
mean is in `messages`, which connection carries a request in `connection_pool`.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING, cast

import httptools

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.abandoned_responses import AbandonedResponse
from orchidferry.mesh.dataplane.attempt import TrackedAttempt
from orchidferry.mesh.dataplane.messages import (
    DEPENDENCY_SHED_HEADER,
    GATE_HEADER,
    MILLISECONDS,
    QUEUE_LENGTH_HEADER,
    ServerResponse,
    attempt_result,
)
from orchidferry.mesh.dataplane.response_parser import LINE_END, ResponseParser
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.clock import now_ms
from orchidferry.node.flow import Flow
from orchidferry.node.upstream_connection import Connection

if TYPE_CHECKING:
    from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool

MAX_BUFFERED_RESPONSE = 1024 * 1024  # bytes of a body that are read before any of it is forwarded
MAX_QUEUE_LENGTH = 1e6  # that a gate may report
MAX_CARRIED_IDS = 8  # ids that a connection remembers
STATUS_SWITCHING_PROTOCOLS = 101
STATUSES_WITHOUT_BODY = (204, 304)


class HttpConnection(Connection):
    """A connection that carries one attempt at a time, while it is clean.

    Clean is one on which nothing came but complete responses, each to the request that was out and with its
    id. After anything else (a response that is early, late, surplus, broken or without an id, a stray byte)
    it is closed as soon as its attempt has ended.
    """

    __slots__ = (
        "_attempt_id",
        "_carried_ids",
        "_dependency_shed",
        "_encoded",
        "_gate_outcome",
        "_headers",
        "_idle_ms",
        "_not_executed",
        "_response_bytes",
        "_sealed",
        "_sent_ms",
        "_surplus",
        "_tainted",
    )

    max_buffered_body = MAX_BUFFERED_RESPONSE
    _upstream: HttpConnectionPool

    def __init__(self, pool: HttpConnectionPool, server: int, address: Address) -> None:
        self._carried_ids: tuple[str, ...] = ()  # of the last requests that it carried
        self._idle_ms = 0.0  # idle time before the current attempt
        self._tainted = False
        self._sent_ms = 0.0  # when the current attempt was written
        super().__init__(pool, server, address)
        self._parser = cast(httptools.HttpResponseParser, ResponseParser(self))

    @property
    def complete(self) -> bool:
        """Whether the response being read has come whole."""
        return self._complete

    def _reset_response(self) -> None:
        super()._reset_response()
        self._response_bytes = 0  # that have come of the response and what preceded it
        self._reset_headers()

    def _reset_headers(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._attempt_id: bytes | None = None
        self._gate_outcome: bytes | None = None
        self._sealed = False
        self._encoded = False
        self._not_executed = False
        self._dependency_shed = False
        self._surplus = False  # it is the response to another request

    # Requests

    def has_carried(self, id: str) -> bool:
        """Whether it carried a request of this id: a second response to that would pass for a new one's."""
        return id in self._carried_ids

    def reused_after(self, idle_ms: float) -> None:
        """It was idle for so long before the attempt that it is about to carry."""
        self._idle_ms = idle_ms

    def send_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for the response; the attempt learns whether it may be sent."""
        assert isinstance(attempt, TrackedAttempt)
        self._tainted = False
        self._carried_ids = (*self._carried_ids[1 - MAX_CARRIED_IDS :], attempt.message.id)
        self._attempt = attempt
        self._reset_response()
        attempt.set_cancel_io(partial(self._abandon, attempt))
        self._sent_ms = now_ms()
        request = attempt.head_bytes()
        self._transport.write(request)
        if self._transport.is_closing():  # the write itself failed: the kernel took nothing
            return self._finish_attempt(Result.UNREACHABLE, reuse=False)
        attempt.request_written(partial(self._kernel_took_nothing, len(request)) if self._paused else None)
        flow = attempt.message.flow
        if flow is not None:
            self._upload = flow
            flow.attach(self)
        elif not self._paused:
            attempt.on_sent()
        return None

    def _abandon(self, attempt: TrackedAttempt) -> None:
        """Close, as the attempt that it carries is given up."""
        if self._response_bytes:
            response = AbandonedResponse(
                attempt.abandon_cause(),
                attempt.message.id,
                self.address,
                self._response_bytes,
                now_ms() - self._sent_ms,
            )
            self._upstream.abandoned_responses.record(response, self._upstream.now_s())
        self.close()

    def _kernel_took_nothing(self, size: int) -> bool:
        """Whether all of a request of that size is still buffered; False if that can't be told."""
        open = not self._lost and not self._transport.is_closing()
        return open and self._transport.get_write_buffer_size() >= size

    def connection_lost(self, exc: Exception | None) -> None:
        """The connection has ended; one that was reused may have been forgotten by its server."""
        unanswered = self._attempt is not None and not self._response_bytes
        if unanswered and self._idle_ms > 0.0:
            self._upstream.idle_limit(self.server).closed_after(self._idle_ms, now_ms())
        super().connection_lost(exc)

    # Callbacks of the parser

    def before_parsing(self, data: bytes) -> None:
        """Bytes are about to be parsed: a line end in front of a response is no part of it."""
        if not self._response_bytes:
            self._tainted = self._tainted or data[0] in LINE_END
        self._response_bytes += len(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; those that the mesh writes itself are not forwarded."""
        if self._complete or self._in_body:
            return None  # a trailer stands in for no header
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding", b"connection"):
            return super().on_header(name, value)
        if lower == b"keep-alive":
            return self._upstream.idle_limit(self.server).keep_alive_stated(value)
        if lower == b"attempt-id":
            self._malformed = (
                self._malformed or self._attempt_id is not None
            )  # of two, one is another request's
            self._attempt_id = value.strip()
            return None
        if lower == b"server-seal":
            self._sealed = True
        elif lower == b"content-encoding":
            self._encoded = True
        elif lower == b"not-executed":
            self._not_executed = value.strip() not in (b"", b"0")
        elif lower == GATE_HEADER:
            self._gate_outcome = value.strip()
            return None
        elif lower == DEPENDENCY_SHED_HEADER:
            self._dependency_shed = True
            return None
        elif lower == QUEUE_LENGTH_HEADER:
            valid = MILLISECONDS.fullmatch(value)
            self._report = {"queue": min(float(value), MAX_QUEUE_LENGTH)} if valid else None
            return None
        self._headers.append((name, value))
        return None

    def on_headers_complete(self) -> None:
        """Decide whose response this is, and where it ends."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        without_body = False
        if self._attempt is not None:
            # A surplus response in the place of the one that is due belongs to no request.
            self._surplus = not self._malformed and self._is_for_other(self._attempt)
            self._tainted = self._tainted or self._surplus
            without_body = status >= 200 and self._attempt.message.method == b"HEAD"
        if without_body or (status in STATUSES_WITHOUT_BODY and not self._framing_headers):
            self._framing_headers = 1
            self._length = None
        if status >= 200 and not self._framing_headers:
            self._server_closes = True  # its body ends with the connection (RFC 9112, section 6.3)
        super().on_headers_complete()
        if status == STATUS_SWITCHING_PROTOCOLS:
            self._malformed = True  # nobody asked for that
        elif without_body:
            # The parser waits for a body that never comes; the connection can carry nothing more.
            self._malformed = self._malformed or self._surplus
            self._complete = True

    def on_message_complete(self) -> None:
        """Pass over a surplus response, and over what an interim response (RFC 9110, 15.2) says of itself."""
        if not self._complete and self._surplus and self._status >= 200:
            return self._reset_response()
        interim = not self._complete and 100 <= self._status < 200
        super().on_message_complete()
        if interim:
            self._reset_headers()
        self._keep = self._keep and not self._tainted and self._attempt_id is not None
        return None

    def _is_for_other(self, attempt: Attempt) -> bool:
        """Whether the response being read bears another id than that of the attempt."""
        return self._attempt_id is not None and self._attempt_id != attempt.message.id.encode("latin-1")

    # Responses

    def _stream_body(self) -> bool:
        authentic = self._attempt_id is not None and self._sealed and not self._encoded and not self._surplus
        return authentic and super()._stream_body()

    def _stream_finished(self) -> None:
        self.resume()  # whoever took it may have held back its last piece: the next response must be read
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
            self._sealed,
            self._encoded,
            self._attempt_id,
            self._not_executed,
            self._gate_outcome,
            self._dependency_shed,
        )

    def _classify(self, answer: UpstreamResponse) -> Result:
        assert isinstance(answer, ServerResponse)
        # A surplus response can also end with the connection.
        return Result.RESET if self._surplus else attempt_result(answer)
