"""Requests and responses of the data plane, and what a response means for its attempt. No I/O.

The mesh adds to HTTP: headers that are forwarded unchanged, a seal without which a success does not count,
proofs that a request has not run, and the outcomes that an admission gate reports in headers of its own.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field
from enum import Enum

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.errors import Rejection
from orchidferry.node.attempt import UpstreamResponse
from orchidferry.node.http1 import framing
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message

TRANSIT_MARGIN_MS = 4.0  # of the time that a sender has, for the way there and back
MILLISECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_STORED_BODY = 256 * 1024  # bytes of a response that is stored for repeats of its operation key

# Headers between a node and the gate of a server, which no client or server sees.
PRIVATE_HEADER_PREFIX = b"orchid-"
GATE_HEADER = b"orchid-gate"  # a `GateOutcome`
RANK_HEADER = b"orchid-rank"  # the route's rank; 0 is the most important
QUEUE_TIMEOUT_HEADER = b"orchid-patience"  # ms that the request may wait for a slot
AT_MOST_ONCE_HEADER = b"orchid-once"  # the request must not run twice
QUEUE_LENGTH_HEADER = b"orchid-load"  # requests that wait at the gate
DEPENDENCY_SHED_HEADER = b"orchid-below"  # calls that the server made were rejected
KEYED_HEADER = b"orchid-keyed"  # the request's operation key is claimed

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # they promise a caller that its request has not run


class GateOutcome(Enum):
    """What a gate reports of a request that has no response of the server."""

    NOT_RUN = b"unrun"
    SERVER_GONE = b"gone"
    CONNECTION_LOST = b"lost"
    TIMED_OUT = b"late"


GATE_RESULTS = {
    GateOutcome.NOT_RUN.value: Result.REFUSED,
    GateOutcome.SERVER_GONE.value: Result.MOOT,
    GateOutcome.CONNECTION_LOST.value: Result.RESET,
    GateOutcome.TIMED_OUT.value: Result.TIMEOUT,
}


@dataclass(slots=True)
class ProxiedRequest(Message):
    """A request that passes through a node."""

    host: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)  # all, by name in lower case
    forwarded_headers: list[tuple[bytes, bytes]] = field(default_factory=list)  # as they came
    route: Route | None = None
    without_deadline: bool = False  # its sender has not said how long it waits; `budget_ms` has no meaning


@dataclass(slots=True)
class ServerResponse(UpstreamResponse):
    """A response of a server, or of the gate in front of it."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    sealed: bool = False  # it bears the server's seal
    encoded: bool = False  # it bears a content coding, so the bytes need not be the server's
    attempt_id: bytes | None = None
    not_executed: bool = False  # the server states that it did not run the request
    gate_outcome: bytes | None = None  # value of a `GateOutcome`
    dependency_shed: bool = False

    @property
    def authentic(self) -> bool:
        """Whether it is a server's own response, as the server gave it."""
        sealed = self.sealed or self.status >= 300
        return self.gate_outcome is None and self.attempt_id is not None and not self.encoded and sealed


def request_bytes(message: ProxiedRequest, added_headers: list[tuple[bytes, bytes]]) -> bytes:
    """Render a request for the next hop.

    :param added_headers: what this node states itself, besides host and attempt id.
    :returns: the head, and the body unless that flows.
    """
    return b"%b %b HTTP/1.1\r\nHost: %b\r\nAttempt-Id: %b\r\n%b%b%b\r\n%b" % (
        message.method,
        message.target,
        message.host,
        message.id.encode("latin-1"),
        b"".join([b"%b: %b\r\n" % header for header in added_headers]),
        b"".join([b"%b: %b\r\n" % header for header in message.forwarded_headers]),
        framing(message),
        message.body,
    )


def attempt_result(response: ServerResponse) -> Result:
    """What a response means for its attempt.

    A success counts only with the server's seal, and only as the server's own bytes. A response without an
    attempt id proves nothing, as it may belong to another request.
    """
    if response.attempt_id is None:
        return Result.ERROR
    if response.gate_outcome is not None:
        return GATE_RESULTS.get(response.gate_outcome, Result.ERROR)
    if response.status == 421:
        return Result.MOOT
    if response.not_executed:
        return Result.REFUSED
    if response.encoded or (200 <= response.status < 300 and not response.sealed):
        return Result.ERROR
    failed = response.status >= 500 or response.status in NOT_RUN_STATUSES
    return Result.ERROR if failed else Result.SERVED


def forwarded_reply(response: ServerResponse) -> Reply:
    """A server's response as it is forwarded to the caller."""
    headers = response.headers
    if response.attempt_id is not None:
        headers = [*headers, (b"Attempt-Id", response.attempt_id)]
    return Reply(response.status, response.body, flow=response.flow, more=headers)


def stored_answer(response: ServerResponse | None) -> list[object] | None:
    """The form in which controllers store a response for repeats of its operation key.

    :returns: status, body and headers; None for a response that is not stored, because it is too long, or
        because its status promises without a proof that the request has not run.
    """
    if response is None or response.flow is not None or len(response.body) > MAX_STORED_BODY:
        return None
    if response.status in NOT_RUN_STATUSES:
        return None
    return [response.status, response.body, [list(header) for header in response.headers]]


def refusal_reply(
    message: Message,
    refusal: Rejection,
    retry_after_s: float | None = None,
    gate_outcome: GateOutcome | None = None,
    queue_length: int | None = None,
) -> Reply:
    """A reply of the mesh's own, for a request without a response of a server.

    :param gate_outcome: what the gate, if it is a gate that replies, tells the node that asked.
    :param queue_length: requests that wait at that gate.
    """
    headers = [(b"Attempt-Id", message.id.encode("latin-1"))]
    if gate_outcome is not None:
        headers.append((GATE_HEADER, gate_outcome.value))
    if queue_length is not None:
        headers.append((QUEUE_LENGTH_HEADER, b"%d" % queue_length))
    return Reply(refusal.status, refusal.line.encode(), b"text/plain", retry_after_s, more=headers)
