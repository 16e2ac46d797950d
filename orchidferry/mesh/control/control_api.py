"""The HTTP server for control requests: those of servers, of operators, and readiness probes.

The listener and its connections are those of `orchidferry.node.frontend`; here is the table from path to
handler, one handler a resource.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.node.client_connection import LIMITS_S, RequestHandle, Stage
from orchidferry.node.flow import Flow, MemoryPool
from orchidferry.node.frontend import Frontend
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message

JSON = b"application/json"
MAX_BODY_BYTES = 8 * 1024 * 1024  # of a control request; it is buffered
UNIQUE_HEADERS = frozenset((b"host", b"content-length", b"transfer-encoding", b"content-type", b"if-match"))
MAX_DETAIL = 500  # characters of a rejection: clients read 4 KiB at most, and it may quote them
MAX_QUOTED_PATH = 80  # characters of a path in a rejection
ANSWER_TIMEOUT_S = 20.0  # a request that its handler has not answered by then is answered with an error

Answer = Callable[[Reply], None]


@dataclass(slots=True)
class ControlRequest(Message):
    """A control request."""

    headers: dict[bytes, bytes] = field(default_factory=dict)


def control_request(method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes) -> ControlRequest:
    """Make a control request of what came over a connection."""
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


# Handles a request: takes the rest of its path, below the handler's own, and answers once, now or later.
Handler = Callable[[ControlRequest, str, Answer], None]


def rejection_reply(rejection: Rejection, retry_after_s: float | None = None) -> Reply:
    """The HTTP answer to a request that is rejected."""
    detail = rejection.line[:MAX_DETAIL]
    body = json.dumps({"error": rejection.reason.code, "detail": detail}).encode()
    return Reply(rejection.status, body, JSON, retry_after_s)


class _PendingAnswer:
    """The answer to one request: the handler's, or a rejection once that is overdue."""

    def __init__(self, answer: Answer) -> None:
        self._answer: Answer | None = answer
        timeout = rejection_reply(Rejection(RejectionReason.TIMEOUT, "no answer in time"))
        self._timer = asyncio.get_running_loop().call_later(ANSWER_TIMEOUT_S, self, timeout)

    def __call__(self, reply: Reply) -> None:
        """Send the answer, unless one was sent before."""
        answer = self._answer
        self._answer = None
        if answer is not None:
            self._timer.cancel()
            answer(reply)

    def client_disconnected(self) -> None:
        """Drop the answer."""
        self._answer = None
        self._timer.cancel()


class ControlServer(Frontend):
    """An HTTP server for control requests."""

    unique_headers = UNIQUE_HEADERS
    max_buffered_body = MAX_BODY_BYTES
    limits_s = LIMITS_S | {Stage.IDLE: 30.0, Stage.READING: 10.0, Stage.NEW: 10.0}

    def __init__(self, handlers: Mapping[str, Handler], max_connections: int) -> None:
        """Make a server that does not listen yet.

        :param handlers: by the path, without its last slash, below which each handles all requests.
        """
        super().__init__({}, self._handle, lambda: True, max_connections, MemoryPool(MAX_BODY_BYTES))
        self._handlers = handlers

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """A request whose body is complete; one that is too long is rejected."""
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
