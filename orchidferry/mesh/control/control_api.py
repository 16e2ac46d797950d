"""HTTP of the mesh's own doors: the control calls of servers and operators, and readiness.

The listener and its callers are those of the node (`orchidferry.node.frontend`); here is one handler object a
resource, and the table from path to handler.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Protocol

from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.node.flow import Flow, MemoryPool
from orchidferry.node.frontend import LIMITS_S, Frontend, Reply, RequestHandle, Stage
from orchidferry.node.request import Message

JSON = b"application/json"
CONTROL_BODY = 8 * 1024 * 1024  # bytes of a control call's body, read whole
SINGLE = frozenset(
    (
        b"host",
        b"content-length",
        b"transfer-encoding",
        b"content-type",
        b"if-match",
    )
)
MAX_DETAIL = 500  # characters of a fault: callers read 4 KiB at most, and it may quote them
MAX_OWED_S = 20.0  # a control call that is not answered by then is answered as broken


@dataclass(slots=True)
class Call(Message):
    """A control call."""

    headers: dict[bytes, bytes] = field(default_factory=dict)


def call(method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes) -> Call:
    """A control call as it came."""
    return Call(
        method, target, "", "", 0.0, None, False, None, headers.get(b"content-type"), body, headers=headers
    )


class Handler(Protocol):
    """A resource: takes a call below its path, and answers now or later, once."""

    def __call__(self, call: Call, rest: str, answer: Callable[[Reply], None]) -> None: ...


def told(refusal: Rejection, retry_after_s: float | None = None) -> Reply:
    """A fault as an answer."""
    detail = refusal.line[:MAX_DETAIL]
    body = json.dumps({"error": refusal.reason.code, "detail": detail}).encode()
    return Reply(refusal.status, body, JSON, retry_after_s)


class _Once:
    """A call that is owed its answer."""

    def __init__(self, door: ControlDoor, answer: Callable[[Reply], None]) -> None:
        self._answer: Callable[[Reply], None] | None = answer
        self._timer = asyncio.get_running_loop().call_later(
            MAX_OWED_S, self, told(Rejection(RejectionReason.TIMEOUT, "no answer in time"))
        )

    def __call__(self, reply: Reply) -> None:
        answer = self._answer
        self._answer = None
        if answer is not None:
            self._timer.cancel()
            answer(reply)

    def client_disconnected(self) -> None:
        self._answer = None
        self._timer.cancel()


class ControlDoor(Frontend):
    """A listener for control calls."""

    unique_headers = SINGLE
    max_buffered_body = CONTROL_BODY
    limits_s = LIMITS_S | {Stage.IDLE: 30.0, Stage.READING: 10.0, Stage.NEW: 10.0}

    def __init__(self, handlers: Mapping[str, Handler], most: int) -> None:
        """`handlers` by the path, without its last slash, that begins what they handle."""
        super().__init__({}, self._take, lambda: True, most, MemoryPool(CONTROL_BODY))
        self._handlers = handlers

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """A whole call; one that is too long is turned away."""
        if flow is not None:
            return Reply(413, b"too long for a control call")
        return call(method, target, headers, body)

    def _take(self, message: Message, answer: Callable[[Reply], None]) -> RequestHandle:
        assert isinstance(message, Call)
        once = _Once(self, answer)
        path = message.target.partition(b"?")[0].decode("latin-1")
        for prefix, handler in self._handlers.items():
            if path == prefix or path.startswith(prefix + "/"):
                handler(message, path[len(prefix) + 1 :], once)
                return once
        once(told(Rejection(RejectionReason.NOT_FOUND, path[:80])))
        return once
