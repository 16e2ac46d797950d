"""Callers of the data plane: requests as they come to a node, and one answer to each, in their order.

It rests on the node's own (`orchidferry.node.frontend`). Here is what the mesh adds: headers that go along
unchanged, and care that a word of the system's own about one request is never read as the answer to another,
nor as a part of one.
"""

from __future__ import annotations

import dataclasses
import re
from collections.abc import Callable

from orchidferry.mesh.dataplane.messages import (
    MILLISECONDS,
    PRIVATE,
    ProxiedRequest,
)
from orchidferry.mesh.errors import Kind, Refusal
from orchidferry.node.flow import Flow, MemoryPool
from orchidferry.node.frontend import LIMITS_S, Accept, ClientConnection, Frontend, Reply, Stage
from orchidferry.node.request import Message, RequestError

# Headers that concern one connection, or that the system writes itself.
HOP = frozenset(
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
OWN = frozenset((b"time-remaining", b"target-instance", b"calling-service", b"attempt-id"))
ONCE = HOP | OWN
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
TOKEN = re.compile(rb"[\x21-\x7e]{1,256}")
IDLE_GRACE_S = 1.0  # a caller may send at the end of its idle time, and what it sends takes a while


class CallerConnection(ClientConnection):
    """A caller of the data plane."""

    def __init__(self, frontend: Frontend) -> None:
        super().__init__(frontend)
        self._serving: Message | None = None  # the request that the node has
        self._last_word: Reply | None = None  # for what can't be read, once all before it is answered

    def _start_message(self) -> None:
        super()._start_message()
        self._along: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        had = self._headers_done or self._input_closed
        super().on_header(name, value)
        low = name.lower()
        if not had and low not in ONCE and not low.startswith(PRIVATE):
            self._along.append((name, value))

    def _build_message(self, flow: Flow | None = None) -> Message | Reply:
        message = super()._build_message(flow)
        if isinstance(message, ProxiedRequest):
            named = message.headers.get(b"connection", b"").lower()
            message.along = self._along
            if named not in (b"", b"close", b"keep-alive"):
                hop = {part.strip() for part in named.split(b",")}
                message.along = [header for header in self._along if header[0].lower() not in hop]
        return message

    # Answers

    def _start_request(self, message: Message) -> None:
        self._serving = message
        super()._start_request(message)

    def _write_reply(self, reply: Reply) -> None:
        if reply.body and self._serving is not None and self._serving.method == b"HEAD":
            reply = dataclasses.replace(reply, body=b"")  # a body would be read as the next answer
        super()._write_reply(reply)

    def _serve_next(self) -> None:
        super()._serve_next()
        if self._last_word is not None and not self._busy and not self._queue and not self._write_paused:
            word = self._last_word
            self._last_word = None
            super()._close_with_error(word)

    def _close_with_error(self, reply: Reply) -> None:
        """End the connection with an error for what is being read.

        A caller reads whatever comes first as the answer to its first open request. So the error waits for
        the answers before it; and where the request being read has been answered, or its answer has begun,
        there is no place for another word: the connection just ends.
        """
        coming = self._request_flow
        if coming is None or not self._owns(coming):
            if self._busy or self._queue:
                return self._close_with_error_later(reply)
            return self._cut() if coming is not None else super()._close_with_error(reply)
        if self._response_flow is not None:
            return self._cut()
        if reply.status == 408:  # its beginning is on its way to a server: no promise, then
            refusal = Refusal(Kind.BROKEN)
            reply = Reply(refusal.status, refusal.line.encode())
        super()._close_with_error(reply)

    def _owns(self, flow: Flow) -> bool:
        """Whether the request that the node has is the one whose body is coming."""
        return self._busy and self._serving is not None and self._serving.flow is flow

    def _close_with_error_later(self, reply: Reply) -> None:
        coming = self._request_flow
        self._request_flow = None
        if coming is not None:  # its request waits in the queue, and is the one that can't be read
            self._queue.pop()
            coming.fail()
        self._input_closed = True
        self._last_word = reply
        self._serve_next()
        self._update_stage()

    def _cut(self) -> None:
        """End the connection without a word."""
        self._input_closed = self._closing = self._finished = True
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
        self, accept: Accept, max_connections: int, pool: MemoryPool, ready: Callable[[], bool]
    ) -> None:
        super().__init__({}, accept, ready, max_connections, pool)
        self._idle_s = 0.0  # the longest that callers may know of
        self._changes = 0  # of the operator's limits

    def limit_sizes(self, head: int, body: int) -> None:
        """Take the operator's limits on what a caller may send, in bytes."""
        self.max_header_bytes = head
        self.max_body_bytes = body

    def limit(self, idle_s: float, header_s: float) -> None:
        """Take the operator's limits. Callers that know a longer idle time may use it once more."""
        self._changes += 1
        longest_s = max(idle_s, self._idle_s)
        self._set_limits(longest_s, header_s)
        if idle_s < longest_s:
            wait_s = longest_s + IDLE_GRACE_S
            self._loop.call_later(wait_s, self._shorten, self._changes, idle_s, header_s)

    def _shorten(self, change: int, idle_s: float, header_s: float) -> None:
        if self._changes == change:
            self._set_limits(idle_s, header_s)

    def _set_limits(self, idle_s: float, header_s: float) -> None:
        self._idle_s = idle_s
        idle_s += IDLE_GRACE_S
        self.limits_s = LIMITS_S | {
            Stage.IDLE: idle_s,
            Stage.NEW: idle_s,
            Stage.READING: max(header_s, 1.0),
        }

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """A whole request; `RequestError` says what is wrong with it."""
        id = headers.get(b"attempt-id")
        left = headers.get(b"time-remaining")
        if id is None or not TOKEN.fullmatch(id):
            raise RequestError("Attempt-Id is missing or can't be used")
        if left is not None and not MILLISECONDS.fullmatch(left):
            raise RequestError("Time-Remaining must be milliseconds")
        return ProxiedRequest(
            method,
            target,
            id.decode("latin-1"),
            "",
            float(left) if left is not None else 0.0,
            None,
            False,
            headers.get(b"operation-key"),
            None,
            body,
            flow,
            host=headers.get(b"host", b""),
            headers=headers,
            untimed=left is None,
        )
