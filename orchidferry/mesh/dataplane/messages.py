"""Requests and answers of the data plane, and what an answer means for its attempt. No I/O.

Here is what the mesh's wire adds to HTTP: headers that go along unchanged, stamps without which a success
does not count, proofs that a request has not run, and the gate's own words.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.errors import Refusal
from orchidferry.node.frontend import Reply
from orchidferry.node.request import Message
from orchidferry.node.upstream import UpstreamResponse, framing

MARGIN_MS = 4.0  # of the time that a sender has, for the way there and back
MILLISECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
MAX_ANSWER = 256 * 1024  # bytes of an answer that is kept for repeats of its key
# The gate's own headers, which no client or server sees.
GATE = b"orchid-gate"
RANK = b"orchid-rank"
PATIENCE = b"orchid-patience"
TIMES = b"orchid-once"
LOAD = b"orchid-load"
BELOW = b"orchid-below"
KEYED = b"orchid-keyed"
PRIVATE = b"orchid-"

PROMISES = frozenset((408, 421, 429, 503))  # statuses that promise a caller that its request has not run
# what a gate says of a request
UNRUN = b"unrun"
GONE = b"gone"
LOST = b"lost"
LATE = b"late"
GATE_RESULTS = {
    UNRUN: Result.REFUSED,
    GONE: Result.MOOT,
    LOST: Result.RESET,
    LATE: Result.TIMEOUT,
}


@dataclass(slots=True)
class ProxiedRequest(Message):
    """A request on its way."""

    host: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    along: list[tuple[bytes, bytes]] = field(default_factory=list)  # what goes on unchanged
    route: Route | None = None
    untimed: bool = False  # its sender has not said how long it waits: `budget_ms` says nothing


@dataclass(slots=True)
class ServerResponse(UpstreamResponse):
    """A server's answer, or its gate's."""

    headers: list[tuple[bytes, bytes]] = field(default_factory=list)
    seal: bool = False
    encoded: bool = False
    id: bytes | None = None
    not_run: bool = False
    gate: bytes | None = None  # the gate's own word
    below: bool = False  # calls that its server made were turned away

    @property
    def whole(self) -> bool:
        """Whether it is a server's own answer, as the server gave it."""
        stamped = self.seal or self.status >= 300
        return self.gate is None and self.id is not None and not self.encoded and stamped


def head(message: ProxiedRequest, own: list[tuple[bytes, bytes]]) -> bytes:
    """A request as it goes on, with its body unless that flows; `own`: what the system adds."""
    return b"%b %b HTTP/1.1\r\nHost: %b\r\nAttempt-Id: %b\r\n%b%b%b\r\n%b" % (
        message.method,
        message.target,
        message.host,
        message.id.encode("latin-1"),
        b"".join([b"%b: %b\r\n" % header for header in own]),
        b"".join([b"%b: %b\r\n" % header for header in message.along]),
        framing(message),
        message.body,
    )


def judged(said: ServerResponse) -> Result:
    """What an answer means for its attempt.

    A success counts only with the server's stamp, and only as the server's own bytes. An answer that does not
    say whose it is proves nothing.
    """
    if said.id is None:
        return Result.ERROR
    if said.gate is not None:
        return GATE_RESULTS.get(said.gate, Result.ERROR)
    if said.not_run or said.status == 421:
        return Result.REFUSED if said.status != 421 else Result.MOOT
    if said.encoded or (200 <= said.status < 300 and not said.seal):
        return Result.ERROR
    return Result.ERROR if said.status >= 500 or said.status in PROMISES else Result.SERVED


def passed_on(said: ServerResponse) -> Reply:
    """A server's answer as it goes to whoever asked."""
    more = [*said.headers, (b"Attempt-Id", said.id)] if said.id is not None else said.headers
    return Reply(said.status, said.body, flow=said.flow, more=more)


def kept_answer(said: ServerResponse | None) -> list[object] | None:
    """An answer as it is kept for repeats of its key; None for one that isn't."""
    if said is None or said.flow is not None or len(said.body) > MAX_ANSWER:
        return None
    if said.status in PROMISES:  # it came without a proof: a repeat must not be promised what nobody knows
        return None
    return [said.status, said.body, [list(header) for header in said.headers]]


def own_answer(
    message: Message,
    refusal: Refusal,
    retry_after_s: float | None = None,
    gate: bytes | None = None,
    load: int | None = None,
) -> Reply:
    """An answer of the system's own."""
    more = [(b"Attempt-Id", message.id.encode("latin-1"))]
    if gate is not None:
        more.append((GATE, gate))
    if load is not None:
        more.append((LOAD, b"%d" % load))
    return Reply(refusal.status, refusal.line.encode(), b"text/plain", retry_after_s, more=more)
