"""Callers of the data plane: requests as they come to a node, and one reply to each, in their order.

It extends the node's own listener (`orchidferry.node.frontend`). The mesh adds headers that are forwarded
unchanged, and care that an error of the mesh's own about one request is never read as the reply to another,
nor as a part of one.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable

from loguru import logger

from orchidferry.mesh.dataplane.messages import MILLISECONDS, PRIVATE_HEADER_PREFIX, ProxiedRequest
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.mesh.log_limit import LogLimit
from orchidferry.node.client_connection import LIMITS_S, Accept, ClientConnection, Stage
from orchidferry.node.connection_end import EndCause, IncompleteEnd
from orchidferry.node.flow import Flow, MemoryPool
from orchidferry.node.frontend import Frontend
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message, RequestError

HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"expect",
        b"content-length",
        b"host",
    )
)
MESH_HEADERS = frozenset((b"time-remaining", b"target-instance", b"calling-service", b"attempt-id"))
NOT_FORWARDED = HOP_BY_HOP_HEADERS | MESH_HEADERS
SINGLE = frozenset(
    (
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"attempt-id",
        b"operation-key",
        b"time-remaining",
        b"target-instance",
        b"calling-service",
    )
)
ATTEMPT_ID = re.compile(rb"[\x21-\x7e]{1,256}")
IDLE_GRACE_S = 1.0  # a caller may send at the end of its idle time, and what it sends takes a while
MIN_HEADER_TIMEOUT_S = 1.0
MAX_LOGGED_ENDS = 20  # incomplete ends that a listener logs in `LOGGED_ENDS_WINDOW_S`; all are counted
LOGGED_ENDS_WINDOW_S = 1.0
LOGGED_LIMIT_WINDOW_S = 10.0  # a listener at its limit of connections says so once in this time


class CallerConnection(ClientConnection):
    """A caller of the data plane."""

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        self._current: Message | None = None  # the request that the node has
        self._final_error: Reply | None = None  # for what can't be read, once all before it is answered

    def _start_message(self) -> None:
        super()._start_message()
        self._forwarded_headers: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; trailers, and whatever follows an error, are not forwarded."""
        ignored = self._headers_done or self._input_closed
        super().on_header(name, value)
        lower = name.lower()
        if not ignored and lower not in NOT_FORWARDED and not lower.startswith(PRIVATE_HEADER_PREFIX):
            self._forwarded_headers.append((name, value))

    def _build_message(self, flow: Flow | None = None) -> Message | Reply:
        message = super()._build_message(flow)
        if isinstance(message, ProxiedRequest):
            headers = self._forwarded_headers
            connection = message.headers.get(b"connection", b"").lower()
            if connection not in (b"", b"close", b"keep-alive"):  # it names headers of this hop
                names = {name.strip() for name in connection.split(b",")}
                headers = [header for header in headers if header[0].lower() not in names]
            message.forwarded_headers = headers
        return message

    # Replies

    def _start_request(self, message: Message) -> None:
        self._current = message
        super()._start_request(message)

    def _write_reply(self, reply: Reply) -> None:
        if reply.body and self._current is not None and self._current.method == b"HEAD":
            reply = dataclasses.replace(reply, body=b"")  # a body would be read as the next reply
        super()._write_reply(reply)

    def _serve_next(self) -> None:
        super()._serve_next()
        if self._final_error is not None and not self._busy and not self._queue and not self._write_paused:
            error = self._final_error
            self._final_error = None
            super()._close_with_error(error)

    def _close_with_error(self, reply: Reply) -> None:
        """End the connection with an error for the request that is being read.

        A caller reads whatever comes first as the reply to its first open request. So the error waits for the
        replies before it. Where the request being read has been answered, or its reply has begun, no error
        can follow: the connection just ends.
        """
        incoming = self._request_flow
        if incoming is None or not self._is_body_of_current(incoming):
            if self._busy or self._queue:
                return self._close_with_error_after_replies(reply)
            return self._close_without_reply() if incoming is not None else super()._close_with_error(reply)
        if self._response_flow is not None:
            return self._close_without_reply()
        if reply.status == 408:  # part of it is on its way to a server: the status would promise too much
            refusal = Rejection(RejectionReason.EXECUTION_UNKNOWN)
            reply = Reply(refusal.status, refusal.line.encode())
        super()._close_with_error(reply)
        return None

    def _is_body_of_current(self, flow: Flow) -> bool:
        """Whether the body that is coming belongs to the request that the node has."""
        return self._busy and self._current is not None and self._current.flow is flow

    def _close_with_error_after_replies(self, error: Reply) -> None:
        incoming = self._request_flow
        self._request_flow = None
        if incoming is not None:  # its request waits in the queue, and is the one that can't be read
            self._queue.pop()
            incoming.fail()
        self._input_closed = True
        self._final_error = error
        self._serve_next()
        self._update_stage()

    def _close_without_reply(self) -> None:
        self.report_end(EndCause.INVALID_INPUT)
        self._input_closed = True
        self._closing = True
        self._finished = True
        self._queue.clear()
        self._release_request()
        self._transport.close()
        self._update_stage()


class Listener(Frontend):
    """A listener of the data plane."""

    connection_class = CallerConnection
    unique_headers = SINGLE
    limits_s = LIMITS_S | {Stage.IDLE: 60.0, Stage.NEW: 60.0, Stage.READING: 3.0}

    def __init__(
        self,
        accept: Accept,
        max_connections: int,
        pool: MemoryPool,
        ready: Callable[[], bool],
        name: str = "outbound",
    ) -> None:
        """:param name: of the listener, for logs."""
        super().__init__({}, accept, ready, max_connections, pool)
        self.name = name
        self.revision = 0  # of the configuration in force, for logs
        self._end_log_limit = LogLimit(MAX_LOGGED_ENDS, LOGGED_ENDS_WINDOW_S)
        self._limit_log_limit = LogLimit(1, LOGGED_LIMIT_WINDOW_S)
        self._idle_timeout_s = 0.0  # the longest that callers may know of
        self._timeout_changes = 0  # by the operator

    def set_size_limits(self, head: int, body: int) -> None:
        """Set the operator's limits on what a caller may send, in bytes."""
        self.max_header_bytes = head
        self.max_body_bytes = body

    def set_timeouts(self, idle_s: float, header_s: float) -> None:
        """Set the operator's timeouts. Callers that know a longer idle time may use it once more."""
        self._timeout_changes += 1
        longest_s = max(idle_s, self._idle_timeout_s)
        self._apply_timeouts(longest_s, header_s)
        if idle_s < longest_s:
            delay_s = longest_s + IDLE_GRACE_S
            self._loop.call_later(delay_s, self._shorten, self._timeout_changes, idle_s, header_s)

    def _shorten(self, change: int, idle_s: float, header_s: float) -> None:
        if self._timeout_changes == change:
            self._apply_timeouts(idle_s, header_s)

    def _apply_timeouts(self, idle_s: float, header_s: float) -> None:
        self._idle_timeout_s = idle_s
        self.limits_s = LIMITS_S | {
            Stage.IDLE: idle_s + IDLE_GRACE_S,
            Stage.NEW: idle_s + IDLE_GRACE_S,
            Stage.READING: max(header_s, MIN_HEADER_TIMEOUT_S),
        }

    def report_eviction(self) -> None:
        """Log that the limit of connections is reached, unless it was logged lately."""
        if not self._limit_log_limit.allows(self._loop.time()):
            return
        logger.warning(
            "listener: limit of connections reached, listener={} connections={} idle={} evicted={} "
            "revision={}",
            self.name,
            self.max_connections,
            self.count_in(Stage.IDLE),
            self.evicted,
            self.revision,
        )

    def report_incomplete_end(self, end: IncompleteEnd) -> None:
        """Log it, unless many were logged just now."""
        if not self._end_log_limit.allows(self._loop.time()):
            return
        logger.warning(
            "listener: response incomplete, listener={} cause={} owed={} detail={} unsent_bytes={} "
            "stage_age_ms={:.0f} connection_age_ms={:.0f} connections={} revision={}",
            self.name,
            end.cause.value,
            end.owed.value,
            end.detail or "none",
            end.unsent_bytes,
            end.stage_age_s * 1000.0,
            end.connection_age_s * 1000.0,
            self.count(),
            self.revision,
        )

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """Make a request of what was read.

        :raises RequestError: says what is wrong with it.
        """
        attempt_id = headers.get(b"attempt-id")
        remaining = headers.get(b"time-remaining")
        if attempt_id is None or not ATTEMPT_ID.fullmatch(attempt_id):
            raise RequestError("Attempt-Id is missing or can't be used")
        if remaining is not None and not MILLISECONDS.fullmatch(remaining):
            raise RequestError("Time-Remaining must be milliseconds")
        return ProxiedRequest(
            method,
            target,
            attempt_id.decode("latin-1"),
            "",
            float(remaining) if remaining is not None else 0.0,
            None,
            False,
            headers.get(b"operation-key"),
            None,
            body,
            flow,
            host=headers.get(b"host", b""),
            headers=headers,
            without_deadline=remaining is None,
        )
