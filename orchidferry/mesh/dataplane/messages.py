"""Requests and responses of the data plane, and the result of an attempt by its response. Pure: no I/O.

The mesh adds to HTTP: the `Server-Seal` header, without which a successful response does not count; proofs
that a request has not run; and private headers between nodes and gates, such as the outcome that a gate
reports. All other headers are forwarded unchanged.
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

TRANSIT_MARGIN_MS = 4.0  # subtracted from the time remaining at each hop, for transit in both directions
MILLISECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_STORED_BODY = 256 * 1024  # bytes; longer responses are not stored for repeats of their operation key

# Private headers between a node and the gate of a server; clients and servers never receive them.
PRIVATE_HEADER_PREFIX = b"orchid-"
GATE_HEADER = b"orchid-gate"  # value of a `GateOutcome`
RANK_HEADER = b"orchid-rank"  # the route's rank; 0 is the most important
QUEUE_TIMEOUT_HEADER = b"orchid-patience"  # how long the request may be queued at the gate, in ms
AT_MOST_ONCE_HEADER = b"orchid-once"  # the request must not run twice
QUEUE_LENGTH_HEADER = b"orchid-load"  # number of requests queued at the gate
DEPENDENCY_SHED_HEADER = b"orchid-below"  # the server failed because calls that it made were rejected
KEYED_HEADER = b"orchid-keyed"  # the request's operation key is claimed

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))  # promise the caller that its request has not run


class GateOutcome(Enum):
    """What a gate reports for a request that got no response from the server."""

    NOT_RUN = b"unrun"  # rejected, not run
    SERVER_GONE = b"gone"  # not run; the server, or this incarnation of it, is gone
    CONNECTION_LOST = b"lost"  # may have run
    TIMED_OUT = b"late"  # may have run


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
    headers: dict[bytes, bytes] = field(default_factory=dict)  # all headers, by lower-case name
    forwarded_headers: list[tuple[bytes, bytes]] = field(default_factory=list)  # with their names as received
    route: Route | None = None
    without_deadline: bool = False  # true if it had no `Time-Remaining` header; `budget_ms` is meaningless


@dataclass(slots=True)
class ServerResponse(UpstreamResponse):
    """A response from a server, or from the gate in front of it."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    sealed: bool = False  # it has a `Server-Seal` header
    encoded: bool = False  # it has a content coding, so its body may differ from the one that the server sent
    attempt_id: bytes | None = None
    not_executed: bool = False  # it states that the request was not run
    gate_outcome: bytes | None = None  # value of a `GateOutcome`
    dependency_shed: bool = False  # it is an error caused by rejected calls of the server

    @property
    def authentic(self) -> bool:
        """Whether the response was made by a server and is unchanged."""
        sealed = self.sealed or self.status >= 300
        return self.gate_outcome is None and self.attempt_id is not None and not self.encoded and sealed


def request_bytes(message: ProxiedRequest, added_headers: list[tuple[bytes, bytes]]) -> bytes:
    """Serialize a request for the next hop.

    :param added_headers: headers that this node sets, besides `Host` and `Attempt-Id`.
    :returns: the head, followed by the body unless the body is streamed.
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
    """Return the result of an attempt that got this response.

    A successful response counts only if it has the server's seal and no content coding. A response without an
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
    """Return the reply that forwards a server's response to the caller."""
    headers = response.headers
    if response.attempt_id is not None:
        headers = [*headers, (b"Attempt-Id", response.attempt_id)]
    return Reply(response.status, response.body, flow=response.flow, more=headers)


def stored_answer(response: ServerResponse | None) -> list[object] | None:
    """Return the form in which controllers store a response for repeats of its operation key.

    :returns: status, body and headers; None if there is no response, if it is too long, or if its status
        promises without a proof that the request has not run.
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
    """Return a reply made by the mesh itself, for a request that got no usable response from a server.

    :param gate_outcome: the outcome for the sending node; only if a gate replies.
    :param queue_length: number of requests queued at the gate; only if a gate replies.
    """
    headers = [(b"Attempt-Id", message.id.encode("latin-1"))]
    if gate_outcome is not None:
        headers.append((GATE_HEADER, gate_outcome.value))
    if queue_length is not None:
        headers.append((QUEUE_LENGTH_HEADER, b"%d" % queue_length))
    return Reply(refusal.status, refusal.line.encode(), b"text/plain", retry_after_s, more=headers)
