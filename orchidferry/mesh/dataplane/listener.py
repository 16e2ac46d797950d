"""The listeners of the data plane: they read requests of callers and send one reply to each, in order.

They extend the listener of `orchidferry.node.frontend` in two ways: headers are forwarded unchanged, and a
caller can't mistake an error about one request for the reply to another request or for a part of it.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable

from loguru import logger

from orchidferry.mesh.dataplane.messages import MILLISECONDS, PRIVATE_HEADER_PREFIX, ProxiedRequest
from orchidferry.mesh.dataplane.unsent_output import unsent_output
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.mesh.log_limit import LogLimit
from orchidferry.node.client_connection import Accept, ClientConnection
from orchidferry.node.clock import now_ms
from orchidferry.node.connection_end import EndCause, IncompleteEnd
from orchidferry.node.connection_stage import LIMITS_S, Stage
from orchidferry.node.flow import STALL_S, Flow, MemoryPool
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
# Headers that the mesh interprets and writes itself.
MESH_HEADERS = frozenset((b"time-remaining", b"target-instance", b"calling-service", b"attempt-id"))
NOT_FORWARDED = HOP_BY_HOP_HEADERS | MESH_HEADERS
# Headers that a request may have only once.
UNIQUE_HEADERS = frozenset(
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
ATTEMPT_ID = re.compile(rb"[\x21-\x7e]+")
# Added to the idle timeout: a request that a caller sends just before the timeout takes a while to arrive.
IDLE_GRACE_S = 1.0
MIN_HEADER_TIMEOUT_S = 1.0
# Limit of log lines about incomplete responses, per listener and `LOGGED_ENDS_WINDOW_S`; all are counted.
MAX_LOGGED_ENDS = 20
LOGGED_ENDS_WINDOW_S = 1.0
LOGGED_LIMIT_WINDOW_S = 10.0  # a listener logs at most once in this time that its connection limit is reached


class CallerConnection(ClientConnection):
    """A connection of a caller to a listener of the data plane."""

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        # The error for input that can't be read, sent after the replies to all requests before it.
        self._final_error: Reply | None = None
        # Bytes of a streamed reply that the caller had not taken at the last check of its stage; None: none
        self._unread_before: int | None = None

    def _start_message(self) -> None:
        super()._start_message()
        self._forwarded_headers: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Record a header; trailers, and headers that follow an error, are not forwarded."""
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
            if connection not in (b"", b"close", b"keep-alive"):  # it names hop-by-hop headers
                names = {name.strip() for name in connection.split(b",")}
                headers = [header for header in headers if header[0].lower() not in names]
            message.forwarded_headers = headers
        return message

    # Streamed replies

    def _start_streaming(self, reply: Reply, flow: Flow) -> None:
        self._unread_before = None
        super()._start_streaming(reply, flow)

    def on_stage_timeout(self) -> None:
        """End the connection, as its stage has lasted too long; a streamed reply goes on while it moves."""
        if self._response_flow is not None and self.stage is Stage.FLOWING:
            self._end_unless_flowing(self._response_flow)
        else:
            super().on_stage_timeout()

    def _end_unless_flowing(self, flow: Flow) -> None:
        """Extend the stage of a streamed reply if bytes of it move or its time is not over; else end it."""
        unread = unsent_output(self._transport)
        is_read = self._unread_before is None or unread < self._unread_before
        self._unread_before = unread
        if is_read or not flow.is_idle(self._frontend.now_s()) or not self._is_overdue():
            self._frontend.extend_stage(self)
        else:
            flow.abort()

    def _is_overdue(self) -> bool:
        """Whether the deadline and the route's timeout are over; until then a server may be silent."""
        message = self._current
        if not isinstance(message, ProxiedRequest):
            return True
        guard_timer_ms = message.route.guard_timer_ms if message.route is not None else 0.0
        now = now_ms()
        return now - message.waiting_since_ms(now) >= max(message.budget_ms, guard_timer_ms)

    # Replies

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
        """Close the connection with an error for the request that is being read.

        A caller takes the first response that it reads for the reply to its first unanswered request. So the
        error is sent only after the replies to earlier requests. If the request that is being read has been
        answered, or its reply has begun, no error is sent and the connection is closed.
        """
        incoming = self._request_flow
        if not (self._busy and self._is_body_of_current()):
            if self._busy or self._queue:
                return self._close_with_error_after_replies(reply)
            return self._close_without_reply() if incoming is not None else super()._close_with_error(reply)
        if self._response_flow is not None:
            return self._close_without_reply()
        # 408 promises that the request has not run, but part of this one was sent to a server.
        if reply.status == 408:
            refusal = Rejection(RejectionReason.EXECUTION_UNKNOWN)
            reply = Reply(refusal.status, refusal.line.encode())
        super()._close_with_error(reply)
        return None

    def _close_with_error_after_replies(self, error: Reply) -> None:
        incoming = self._request_flow
        self._request_flow = None
        if incoming is not None:  # the request that can't be read is the last one in the queue
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
        self._release_requests()
        self._transport.close()
        self._update_stage()


class Listener(Frontend):
    """A listener of the data plane."""

    connection_class = CallerConnection
    unique_headers = UNIQUE_HEADERS
    limits_s = LIMITS_S | {Stage.IDLE: 60.0, Stage.NEW: 60.0, Stage.READING: 3.0}

    def __init__(
        self,
        accept: Accept,
        max_connections: int,
        pool: MemoryPool,
        ready: Callable[[], bool],
        name: str = "outbound",
        stream_idle_s: float = STALL_S,
    ) -> None:
        """Create a `Listener`; the other parameters are those of `Frontend`.

        :param name: name of the listener, for logs and metrics.
        :param stream_idle_s: time after which a streamed reply is ended if no byte of it moves, in seconds.
        """
        super().__init__({}, accept, ready, max_connections, pool)
        self.name = name
        self._stream_idle_s = stream_idle_s
        self.limits_s = self.limits_s | {Stage.FLOWING: stream_idle_s}
        self.revision = 0  # revision of the configuration in force, for logs
        self._incomplete_end_log_limit = LogLimit(MAX_LOGGED_ENDS, LOGGED_ENDS_WINDOW_S)
        self._eviction_log_limit = LogLimit(1, LOGGED_LIMIT_WINDOW_S)
        self._idle_timeout_s = 0.0  # the longest idle timeout that callers may still rely on
        self._timeout_changes = 0  # number of changes of the timeouts by the operator

    def set_size_limits(self, head: int, body: int) -> None:
        """Set the operator's size limits for requests.

        :param head: limit of the request line and headers, in bytes.
        :param body: limit of the body, in bytes.
        """
        self.max_header_bytes = head
        self.max_body_bytes = body

    def set_timeouts(self, idle_s: float, header_s: float) -> None:
        """Set the operator's timeouts.

        A shorter idle timeout takes effect only once the previous one has passed, as callers may rely on it.

        :param idle_s: how long a connection may be idle between requests.
        :param header_s: how long a request may take to arrive.
        """
        self._timeout_changes += 1
        longest_s = max(idle_s, self._idle_timeout_s)
        self._apply_timeouts(longest_s, header_s)
        if idle_s < longest_s:
            delay_s = longest_s + IDLE_GRACE_S
            self._loop.call_later(
                delay_s, self._apply_shorter_timeouts, self._timeout_changes, idle_s, header_s
            )

    def _apply_shorter_timeouts(self, change_number: int, idle_s: float, header_s: float) -> None:
        if self._timeout_changes == change_number:
            self._apply_timeouts(idle_s, header_s)

    def _apply_timeouts(self, idle_s: float, header_s: float) -> None:
        self._idle_timeout_s = idle_s
        self.limits_s = LIMITS_S | {
            Stage.IDLE: idle_s + IDLE_GRACE_S,
            Stage.NEW: idle_s + IDLE_GRACE_S,
            Stage.READING: max(header_s, MIN_HEADER_TIMEOUT_S),
            Stage.FLOWING: self._stream_idle_s,
        }

    def report_eviction(self) -> None:
        """Log that the connection limit is reached, unless this was logged recently."""
        if not self._eviction_log_limit.allows(self._loop.time()):
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
        """Log a response that was not sent completely, unless the limit of log lines is reached."""
        if not self._incomplete_end_log_limit.allows(self._loop.time()):
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
        """Build a request from its parts.

        :raises RequestError: if a header of the mesh is missing or invalid.
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
