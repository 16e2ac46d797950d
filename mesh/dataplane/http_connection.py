"""HTTP of the data plane: requests as they come to a node, and the lines on which they go to servers.

Both halves rest on the node's own (`orchidferry.frontend`, `orchidferry.upstream`); here is only what the
mesh's wire adds: headers that go along unchanged, ids that tell an answer in the wrong place, stamps without
which a success does not count, and the gate's own word on whether a request ran.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, field

from mesh.control.configuration import Route
from mesh.errors import Refusal
from nickelbridge.interface import Result
from orchidferry.flow import Flow, Pool
from orchidferry.frontend import LIMITS_S, Accept, Caller, Frontend, Reply, Stage
from orchidferry.request import Message, Unacceptable
from orchidferry.upstream import Answer, Attempt, Connection, Upstream, framing

HELD_ANSWER = 1024 * 1024  # bytes of an answer that are read whole before any of it is passed on
MARGIN_MS = 4.0  # of the time that a sender has, for the way there and back
# Headers that concern one connection, or that the system writes itself.
HOP = frozenset((
    b"connection", b"keep-alive", b"proxy-connection", b"proxy-authenticate", b"proxy-authorization", b"te",
    b"trailer", b"transfer-encoding", b"upgrade", b"expect", b"content-length", b"host",
))  # fmt: skip
OWN = frozenset((b"time-remaining", b"target-instance", b"calling-service", b"attempt-id"))
ONCE = HOP | OWN
SINGLE = frozenset((
    b"host", b"content-length", b"transfer-encoding", b"attempt-id", b"operation-key", b"time-remaining",
    b"target-instance", b"calling-service",
))  # fmt: skip
TOKEN = re.compile(rb"[\x21-\x7e]{1,256}")
MILLISECONDS = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?")
# The gate's own headers, which no client or server sees.
GATE, RANK, PATIENCE, TIMES, LOAD, BELOW, KEYED = (
    b"orchid-gate", b"orchid-rank", b"orchid-patience", b"orchid-once", b"orchid-load", b"orchid-below",
    b"orchid-keyed",
)  # fmt: skip
PRIVATE = b"orchid-"

UNRUN, GONE, LOST, LATE = b"unrun", b"gone", b"lost", b"late"  # what a gate says of a request
GATE_RESULTS = {
    UNRUN: Result.REFUSED, GONE: Result.MOOT, LOST: Result.RESET, LATE: Result.TIMEOUT,
}  # fmt: skip


@dataclass(slots=True)
class Asked(Message):
    """A request on its way."""

    host: bytes = b""
    headers: dict[bytes, bytes] = field(default_factory=dict)
    along: list[tuple[bytes, bytes]] = field(default_factory=list)  # what goes on unchanged
    route: Route | None = None


@dataclass(slots=True)
class Said(Answer):
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


class Asker(Caller):
    """A caller of the data plane."""

    def _start_message(self) -> None:
        super()._start_message()
        self._along: list[tuple[bytes, bytes]] = []

    def on_header(self, name: bytes, value: bytes) -> None:
        had = self._headers_done or self._deaf
        super().on_header(name, value)
        low = name.lower()
        if not had and low not in ONCE and not low.startswith(PRIVATE):
            self._along.append((name, value))

    def _message(self, flow: Flow | None = None) -> Message | Reply:
        message = super()._message(flow)
        if isinstance(message, Asked):
            named = message.headers.get(b"connection", b"").lower()
            message.along = self._along
            if named not in (b"", b"close", b"keep-alive"):
                hop = {part.strip() for part in named.split(b",")}
                message.along = [header for header in self._along if header[0].lower() not in hop]
        return message


class DataDoor(Frontend):
    """A listener of the data plane."""

    kind = Asker
    single = SINGLE
    limits_s = LIMITS_S | {Stage.IDLE: 60.0, Stage.NEW: 60.0, Stage.READING: 3.0}

    def __init__(self, accept: Accept, most: int, pool: Pool, ready: Callable[[], bool]) -> None:
        super().__init__({}, accept, ready, most, pool)

    def limit(self, idle_s: float, header_s: float) -> None:
        """Take the operator's limits."""
        self.limits_s = LIMITS_S | {
            Stage.IDLE: idle_s, Stage.NEW: idle_s, Stage.READING: max(header_s, 1.0),
        }  # fmt: skip

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """A whole request; `Unacceptable` says what is wrong with it."""
        id, left = headers.get(b"attempt-id"), headers.get(b"time-remaining")
        if id is None or not TOKEN.fullmatch(id):
            raise Unacceptable("Attempt-Id is missing or can't be used")
        if left is not None and not MILLISECONDS.fullmatch(left):
            raise Unacceptable("Time-Remaining must be milliseconds")
        return Asked(
            method, target, id.decode("latin-1"), "", float(left) if left is not None else 0.0, None, False,
            headers.get(b"operation-key"), None, body, flow,
            host=headers.get(b"host", b""), headers=headers,
        )  # fmt: skip


def head(message: Asked, own: list[tuple[bytes, bytes]]) -> bytes:
    """A request as it goes on, with its body unless that flows; `own`: what the system adds."""
    return b"%b %b HTTP/1.1\r\nHost: %b\r\nAttempt-Id: %b\r\n%b%b%b\r\n%b" % (
        message.method, message.target, message.host, message.id.encode("latin-1"),
        b"".join([b"%b: %b\r\n" % header for header in own]),
        b"".join([b"%b: %b\r\n" % header for header in message.along]),
        framing(message), message.body,
    )  # fmt: skip


class HttpConnection(Connection):
    """A connection to a server, or to the gate before one."""

    __slots__ = ("_below", "_encoded", "_gate", "_headers", "_id", "_not_run", "_seal", "_skip", "_tainted")

    held_most = HELD_ANSWER

    def _start_answer(self) -> None:
        super()._start_answer()
        self._start_words()

    def _start_words(self) -> None:
        self._headers: list[tuple[bytes, bytes]] = []
        self._id: bytes | None = None
        self._gate: bytes | None = None
        self._seal = self._encoded = self._not_run = self._skip = self._below = False

    def carry(self, attempt: Attempt) -> None:
        self._tainted = False
        super().carry(attempt)

    def on_header(self, name: bytes, value: bytes) -> None:
        if self._complete:
            return
        low = name.lower()
        if low in (b"content-length", b"transfer-encoding", b"connection"):
            return super().on_header(name, value)
        if low == b"keep-alive":
            return
        if low == b"attempt-id":
            self._id = value.strip()
            return
        elif low == b"server-seal":
            self._seal = True
        elif low == b"content-encoding":
            self._encoded = True
        elif low == b"not-executed":
            self._not_run = value.strip() not in (b"", b"0")
        elif low == GATE:
            self._gate = value.strip()
            return
        elif low == BELOW:
            self._below = True
            return
        elif low == LOAD:
            self._report = {"queue": min(float(value), 1e6)} if MILLISECONDS.fullmatch(value) else None
            return
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        if not self._complete and self._id is not None and self._attempt is not None:
            # A surplus answer in the place of the one that is due: it is nobody's.
            self._skip = self._id != self._attempt.message.id.encode("latin-1")
            self._tainted = self._tainted or self._skip
        super().on_headers_complete()

    def _flows(self) -> bool:
        whole = self._id is not None and self._seal and not self._encoded and not self._skip
        return whole and super()._flows()

    def on_message_complete(self) -> None:
        if not self._complete and self._skip and self._status >= 200:
            return self._start_answer()
        interim = not self._complete and 100 <= self._status < 200
        super().on_message_complete()
        if interim:  # what it says of itself is not the answer's
            self._start_words()
        self._keep = self._keep and not self._tainted

    def _made(self, body: bytes, flow: Flow | None = None) -> Answer:
        return Said(
            self._status, body, None, self._report, flow, None, self._headers, self._seal, self._encoded,
            self._id, self._not_run, self._gate, self._below,
        )  # fmt: skip

    def _judged(self, answer: Answer) -> Result:
        assert isinstance(answer, Said)
        # One in the place of the one that is due can also end with the line.
        return Result.RESET if self._skip else judged(answer)


def judged(said: Said) -> Result:
    """What an answer means for its attempt.

    A success counts only with the server's stamp, and only as the server's own bytes. An answer that does not
    say whose it is proves nothing.
    """
    if said.gate is not None:
        return GATE_RESULTS.get(said.gate, Result.ERROR)
    if said.id is None:
        return Result.ERROR
    if said.not_run or said.status == 421:
        return Result.REFUSED if said.status != 421 else Result.MOOT
    if said.encoded or (200 <= said.status < 300 and not said.seal):
        return Result.ERROR
    return Result.ERROR if said.status >= 500 else Result.SERVED


class HttpConnections(Upstream):
    """All lines of one kind."""

    kind = HttpConnection


def passed_on(said: Said) -> Reply:
    """A server's answer as it goes to whoever asked."""
    more = [*said.headers, (b"Attempt-Id", said.id)] if said.id is not None else said.headers
    return Reply(said.status, said.body, flow=said.flow, more=more)


ANSWER_MOST = 256 * 1024  # bytes of an answer that is kept for repeats of its key


def kept_answer(said: Said | None) -> list[object] | None:
    """An answer as it is kept for repeats of its key; None for one that isn't."""
    if said is None or said.flow is not None or len(said.body) > ANSWER_MOST:
        return None
    return [said.status, said.body, [list(header) for header in said.headers]]


def own_answer(
    message: Message, refusal: Refusal, retry_after_s: float | None = None, gate: bytes | None = None,
    load: int | None = None,
) -> Reply:  # fmt: skip
    """An answer of the system's own."""
    more = [(b"Attempt-Id", message.id.encode("latin-1"))]
    if gate is not None:
        more.append((GATE, gate))
    if load is not None:
        more.append((LOAD, b"%d" % load))
    return Reply(refusal.status, refusal.line.encode(), b"text/plain", retry_after_s, more=more)
