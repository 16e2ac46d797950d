"""The HTTP server for control requests, which come from servers, operators and readiness probes.

The listener and its connections are provided by `orchidferry.node.frontend`; this module adds the routing
from path to handler, with one handler per resource.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.node.client_connection import RequestHandle
from orchidferry.node.connection_stage import LIMITS_S, Stage
from orchidferry.node.flow import Flow, MemoryPool
from orchidferry.node.frontend import Frontend
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message

JSON = b"application/json"
MAX_BODY_BYTES = 8 * 1024 * 1024  # maximum body of a control request, which is buffered in memory
UNIQUE_HEADERS = frozenset((b"host", b"content-length", b"transfer-encoding", b"content-type", b"if-match"))
# Maximum length of a rejection's detail, in characters: clients read at most 4 KiB, and the detail may quote
# them.
MAX_DETAIL = 500
MAX_QUOTED_PATH = 80  # maximum length in characters of a path quoted in a rejection
ANSWER_TIMEOUT_S = 20.0  # time after which a request that its handler has not answered gets an error

Answer = Callable[[Reply], None]


@dataclass(slots=True)
class ControlRequest(Message):
    """A control request with its headers."""

    headers: dict[bytes, bytes] = field(default_factory=dict)


def control_request(method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes) -> ControlRequest:
    """Create a control request from the parts of an HTTP request."""
    return ControlRequest(
        method=method,
        target=target,
        id="",
        cls="",
        budget_ms=0.0,
        tenant=None,
        client_retry=False,
        key=None,
        content_type=headers.get(b"content-type"),
        body=body,
        headers=headers,
    )


# Handles a request. The second argument is the rest of the path, below the path of the handler. The third one
# is called once with the response, immediately or later.
Handler = Callable[[ControlRequest, str, Answer], None]


def rejection_reply(rejection: Rejection, retry_after_s: float | None = None) -> Reply:
    """Return the HTTP response for a rejected request."""
    detail = rejection.line[:MAX_DETAIL]
    body = json.dumps({"error": rejection.reason.code, "detail": detail}).encode()
    return Reply(rejection.status, body, JSON, retry_after_s)


class _PendingAnswer:
    """The pending response to one request; a rejection is sent if the handler does not answer in time."""

    def __init__(self, answer: Answer) -> None:
        self._answer: Answer | None = answer
        timeout = rejection_reply(Rejection(RejectionReason.TIMEOUT, "no answer in time"))
        self._timer = asyncio.get_running_loop().call_later(ANSWER_TIMEOUT_S, self, timeout)

    def __call__(self, reply: Reply) -> None:
        """Send the response, unless one was sent before."""
        answer = self._answer
        self._answer = None
        if answer is not None:
            self._timer.cancel()
            answer(reply)

    def client_disconnected(self) -> None:
        """Discard the response, as the client has disconnected."""
        self._answer = None
        self._timer.cancel()


class ControlServer(Frontend):
    """An HTTP server for control requests."""

    unique_headers = UNIQUE_HEADERS
    max_buffered_body = MAX_BODY_BYTES
    limits_s = LIMITS_S | {Stage.IDLE: 30.0, Stage.READING: 10.0, Stage.NEW: 10.0}

    def __init__(self, handlers: Mapping[str, Handler], max_connections: int) -> None:
        """Create a server that does not listen yet.

        :param handlers: handlers by path without a trailing slash; each handles all requests at or below its
            path.
        :param max_connections: maximum number of client connections.
        """
        super().__init__({}, self._handle, lambda: True, max_connections, MemoryPool(MAX_BODY_BYTES))
        self._handlers = handlers

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """Return the request, or a rejection if its body is too long to be buffered."""
        if flow is not None:
            return Reply(413, b"too long for a control call")
        return control_request(method, target, headers, body)

    def _handle(self, message: Message, answer: Answer) -> RequestHandle:
        assert isinstance(message, ControlRequest)
        pending = _PendingAnswer(answer)
        path = message.target.partition(b"?")[0].decode("latin-1")
        for prefix, handler in self._handlers.items():
            if path == prefix or path.startswith(prefix + "/"):
                handler(message, path[len(prefix) + 1 :], pending)
                return pending
        pending(rejection_reply(Rejection(RejectionReason.NOT_FOUND, path[:MAX_QUOTED_PATH])))
        return pending
