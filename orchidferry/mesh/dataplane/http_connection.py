"""A connection to a server or to its gate; it matches each response to the request that it belongs to.

It extends `orchidferry.node.upstream_connection.Connection`. The meaning of requests and responses is defined
in `messages`; `connection_pool` selects the connection for a request.
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

MAX_BUFFERED_RESPONSE = 1024 * 1024  # bytes; longer bodies are streamed
MAX_QUEUE_LENGTH = 1e6  # upper bound of the queue length that a gate may report
MAX_CARRIED_IDS = 8  # request ids that a connection remembers
STATUS_SWITCHING_PROTOCOLS = 101
STATUSES_WITHOUT_BODY = (204, 304)


class HttpConnection(Connection):
    """A connection that carries one attempt at a time, and is reused only while it is clean.

    It is clean as long as it has received nothing but complete responses, each to the outstanding request and
    with the attempt id of that request. After anything else (a response that is early, late, malformed,
    without an attempt id or with that of another request, or a stray byte) it is closed as soon as its
    attempt has ended.
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
        "_wrong_id",
        "_tainted",
    )

    max_buffered_body = MAX_BUFFERED_RESPONSE
    _upstream: HttpConnectionPool

    def __init__(self, pool: HttpConnectionPool, server: int, address: Address) -> None:
        self._carried_ids: tuple[str, ...] = ()  # ids of the last requests that the connection carried
        self._idle_ms = 0.0  # idle time before the current attempt, in milliseconds
        self._tainted = False  # no longer clean: the connection closes once its attempt has ended
        self._sent_ms = 0.0  # time at which the current attempt was written
        super().__init__(pool, server, address)
        self._parser = cast(httptools.HttpResponseParser, ResponseParser(self))

    @property
    def complete(self) -> bool:
        """Whether the response being read is complete."""
        return self._complete

    def _reset_response(self) -> None:
        super()._reset_response()
        self._response_bytes = 0  # bytes received since the last reset, including any before the response
        self._reset_headers()

    def _reset_headers(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._attempt_id: bytes | None = None
        self._gate_outcome: bytes | None = None
        self._sealed = False
        self._encoded = False
        self._not_executed = False
        self._dependency_shed = False
        self._wrong_id = False  # whether the response has the attempt id of another request

    # Requests

    def has_carried(self, id: str) -> bool:
        """Whether the connection carried a request with this id recently.

        A second response to that request would be taken for the response to a new request with the same id.
        """
        return id in self._carried_ids

    def reused_after(self, idle_ms: float) -> None:
        """Record how long the connection was idle before the attempt that it will carry next."""
        self._idle_ms = idle_ms

    def send_attempt(self, attempt: Attempt) -> None:
        """Write an attempt's request and wait for the response; tell the attempt whether it may be sent."""
        assert isinstance(attempt, TrackedAttempt)
        self._tainted = False
        self._carried_ids = (*self._carried_ids[1 - MAX_CARRIED_IDS :], attempt.message.id)
        self._attempt = attempt
        self._reset_response()
        attempt.set_cancel_io(partial(self._abandon, attempt))
        self._sent_ms = now_ms()
        request = attempt.head_bytes()
        self._transport.write(request)
        if self._transport.is_closing():  # the write itself failed: no byte was sent
            return self._finish_attempt(Result.UNREACHABLE, reuse=False)
        attempt.request_written(partial(self._is_unsent, len(request)) if self._paused else None)
        flow = attempt.message.flow
        if flow is not None:
            self._upload = flow
            flow.attach(self)
        elif not self._paused:
            attempt.on_sent()
        return None

    def _abandon(self, attempt: TrackedAttempt) -> None:
        """Close the connection, as the attempt that it carries is aborted."""
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

    def _is_unsent(self, size: int) -> bool:
        """Whether a request of `size` bytes is still buffered completely; False if that is unknown."""
        open = not self._lost and not self._transport.is_closing()
        return open and self._transport.get_write_buffer_size() >= size

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the loss of the connection; if it was reused, the server may have dropped it while idle."""
        unanswered = self._attempt is not None and not self._response_bytes
        if unanswered and self._idle_ms > 0.0:
            self._upstream.idle_limit(self.server).closed_after(self._idle_ms, now_ms())
        super().connection_lost(exc)

    # Callbacks of the parser

    def before_parsing(self, data: bytes) -> None:
        """Inspect bytes before they are parsed: a line end before a response makes the connection unclean."""
        if not self._response_bytes:
            self._tainted = self._tainted or data[0] in LINE_END
        self._response_bytes += len(data)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; the mesh's own headers are not forwarded."""
        if self._complete or self._in_body:
            return None  # trailers are ignored
        lower = name.lower()
        if lower in (b"content-length", b"transfer-encoding", b"connection"):
            return super().on_header(name, value)
        if lower == b"keep-alive":
            return self._upstream.idle_limit(self.server).keep_alive_stated(value)
        if lower == b"attempt-id":
            # If there are two attempt ids, one of them is that of another request.
            self._malformed = self._malformed or self._attempt_id is not None
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
        """Determine which request the response belongs to, and where its body ends."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        without_body = False
        if self._attempt is not None:
            # A response with the id of another request does not end the attempt, and makes the connection
            # unclean.
            self._wrong_id = not self._malformed and self._is_for_other(self._attempt)
            self._tainted = self._tainted or self._wrong_id
            without_body = status >= 200 and self._attempt.message.method == b"HEAD"
        if without_body or (status in STATUSES_WITHOUT_BODY and not self._framing_headers):
            self._framing_headers = 1
            self._length = None
        if status >= 200 and not self._framing_headers:
            self._server_closes = True  # the body ends with the connection (RFC 9112, section 6.3)
        super().on_headers_complete()
        if status == STATUS_SWITCHING_PROTOCOLS:
            self._malformed = True  # no request asks for an upgrade
        elif without_body:
            # The parser waits for a body that never comes, so the connection can't be reused.
            self._malformed = self._malformed or self._wrong_id
            self._complete = True

    def on_message_complete(self) -> None:
        """Finish a response.

        A response with the id of another request is skipped, and so are the headers of an interim response
        (RFC 9110, section 15.2).
        """
        if not self._complete and self._wrong_id and self._status >= 200:
            return self._reset_response()
        interim = not self._complete and 100 <= self._status < 200
        super().on_message_complete()
        if interim:
            self._reset_headers()
        self._keep = self._keep and not self._tainted and self._attempt_id is not None
        return None

    def _is_for_other(self, attempt: Attempt) -> bool:
        """Whether the response being read has an attempt id other than that of the attempt."""
        return self._attempt_id is not None and self._attempt_id != attempt.message.id.encode("latin-1")

    # Responses

    def _stream_body(self) -> bool:
        authentic = self._attempt_id is not None and self._sealed and not self._encoded and not self._wrong_id
        return authentic and super()._stream_body()

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
        # The body of a response with the id of another request can also end with the connection.
        return Result.RESET if self._wrong_id else attempt_result(answer)
