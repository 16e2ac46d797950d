"""The record of a run: observed events of clients, servers, nodes, service discovery and the test kit itself.

Each fact is one line: a JSON array that begins with the fact's tag, followed by its fields in order. Each
process appends complete lines to a file of its own, so a killed process loses only the facts since its last
flush. Times are seconds since the run's zero on CLOCK_MONOTONIC, which all processes of a machine share. The
judge reads only this record; no fact is reported by a node about itself.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterable, Iterator
from dataclasses import astuple, dataclass
from pathlib import Path
from typing import IO, Any, ClassVar

from orchidferry.errors import OrchidferryError

FLUSH_S = 0.25
"""Interval at which the owner of a recorder flushes it, in seconds."""


@dataclass(slots=True)
class RequestSent:
    """A request was written in full to a connection that a node had accepted."""

    tag: ClassVar[str] = "asked"
    t: float
    tier: int  # index of the server tier that the request addresses; 0 for requests of clients
    id: str  # id of the attempt
    cls: str  # name of the request class
    node: str
    root: str  # id of the client request that caused this request
    number: int  # from 0: number of the client's attempt; in lower tiers, number of the call
    intended: float  # scheduled send time
    ends: float  # deadline


@dataclass(slots=True)
class ResponseReceived:
    """The last byte of a response was received."""

    tag: ClassVar[str] = "answered"
    t: float
    tier: int
    id: str
    node: str
    status: int
    sound: bool  # false if the status is 200 and the body differs from a server's body for this request id


@dataclass(slots=True)
class ConnectionClosed:
    """A connection ended before a complete response, or could not be established (`how`: refused, silent)."""

    tag: ClassVar[str] = "cut"
    t: float
    tier: int
    id: str
    node: str
    how: str  # refused or silent (connecting timed out); closed, reset or broken (partial response)
    reused: bool  # whether the connection had carried an earlier request


@dataclass(slots=True)
class RequestTimedOut:
    """A requester closed its connection because no response came.

    `left` is true if an impatient client gave up before the deadline, false if the deadline passed.
    """

    tag: ClassVar[str] = "unanswered"
    t: float
    tier: int
    id: str
    node: str
    left: bool


@dataclass(slots=True)
class ExtraBytes:
    """Unsolicited bytes were received on a connection after the response to this request."""

    tag: ClassVar[str] = "extra"
    t: float
    tier: int
    id: str
    node: str


@dataclass(slots=True)
class RequestScheduled:
    """A client's request was due. The share of requests served is relative to these."""

    tag: ClassVar[str] = "wanted"
    t: float  # scheduled send time
    root: str
    cls: str


@dataclass(slots=True)
class RequestReceived:
    """A server has read the last byte of a request."""

    tag: ClassVar[str] = "got"
    t: float
    first: float  # when the first byte of the request was read
    tier: int
    server: str
    cell: int  # number of the server's cell, a group of servers of its tier
    id: str
    cls: str
    key: str  # idempotency key, or empty
    work: float  # CPU time that the request takes at this server, in core-seconds


@dataclass(slots=True)
class ExecutionStarted:
    """A server has begun to execute a request, which may have taken effect from this time on."""

    tag: ClassVar[str] = "began"
    t: float
    tier: int
    server: str
    id: str


@dataclass(slots=True)
class ExecutionEnded:
    """A server has finished a request.

    `how` is served, repeat (a duplicate, recognised by its idempotency key), error, rejected or lost.
    """

    tag: ClassVar[str] = "ended"
    t: float
    tier: int
    server: str
    id: str
    how: str


@dataclass(slots=True)
class ServerUp:
    """A server serves from this time on.

    Its `capacity` is in cores. A `cold` server starts at the fraction `cold_from` of it and warms up during
    `cold_for` seconds.
    """

    tag: ClassVar[str] = "up"
    t: float
    tier: int
    server: str
    cold: bool
    capacity: float
    cold_from: float
    cold_for: float


@dataclass(slots=True)
class ServerDown:
    """A server serves no longer. `why` is stopped, crashed or fell (overloaded while cold)."""

    tag: ClassVar[str] = "down"
    t: float
    tier: int
    server: str
    why: str


@dataclass(slots=True)
class StatusAnnounced:
    """Service discovery has written a server's status to a node, or this is taken as done (`deemed`)."""

    tag: ClassVar[str] = "told"
    t: float
    node: str
    server: str
    status: str  # active, leaving, left
    since: float  # when the server last started; 0 if it started long ago
    deemed: bool


@dataclass(slots=True)
class NodeUp:
    """A node has answered its readiness check."""

    tag: ClassVar[str] = "node-up"
    t: float
    node: str
    tier: int


@dataclass(slots=True)
class NodeDown:
    """A node's process has ended or was asked to end.

    `why` is killed, term (SIGTERM sent), ended (exited after SIGTERM) or exit N (exited by itself).
    """

    tag: ClassVar[str] = "node-down"
    t: float
    node: str
    why: str


@dataclass(slots=True)
class NodePaused:
    """A node's process was suspended, and resumed at `until`."""

    tag: ClassVar[str] = "node-paused"
    t: float
    until: float
    node: str


@dataclass(slots=True)
class LinkBytes:
    """Datagrams and streams that a node sent to its peers since the previous fact of this kind."""

    tag: ClassVar[str] = "link-bytes"
    t: float
    node: str
    bytes: int
    messages: int


@dataclass(slots=True)
class Incident:
    """A step of the scenario's timeline took effect; `until` is when it ended, or `t` for an instant step."""

    tag: ClassVar[str] = "incident"
    t: float
    until: float
    do: str  # type of the step
    whom: str  # names or description of the affected servers, nodes or links


@dataclass(slots=True)
class Lag:
    """A delay that the test kit or the machine caused, not the code under test.

    `kind` is late (a client sent a request late, in seconds), stall (an event loop was blocked, in seconds)
    or starved (fraction of time that a process waited for a CPU).
    """

    tag: ClassVar[str] = "lag"
    t: float
    who: str  # name of the process or node
    kind: str
    amount: float  # in seconds, or as a fraction


Fact = (
    RequestSent
    | ResponseReceived
    | ConnectionClosed
    | RequestTimedOut
    | ExtraBytes
    | RequestScheduled
    | RequestReceived
    | ExecutionStarted
    | ExecutionEnded
    | ServerUp
    | ServerDown
    | StatusAnnounced
    | NodeUp
    | NodeDown
    | NodePaused
    | LinkBytes
    | Incident
    | Lag
)
FACT_KINDS: dict[str, type[Any]] = {kind.tag: kind for kind in Fact.__args__}


def encode_fact(fact: Fact) -> str:
    """Return the line of a fact in a record file, without the newline."""
    return json.dumps([fact.tag, *astuple(fact)], separators=(",", ":"))


class Recorder:
    """Appends facts to a file. The owner calls `flush` every `FLUSH_S` seconds, and `close` at the end."""

    def __init__(self, path: Path, zero: float) -> None:
        """Open a file for appending.

        :param path: the record file
        :param zero: the run's zero on the monotonic clock, in seconds
        """
        self.zero = zero
        self.path = path
        self.facts = 0
        self._pending: list[str] = []
        self._file: IO[str] = path.open("a", encoding="utf-8")

    def now(self) -> float:
        """Return the time in seconds since the run's zero."""
        return time.monotonic() - self.zero

    def put(self, fact: Fact) -> None:
        """Buffer a fact until the next flush."""
        self.facts += 1
        self._pending.append(encode_fact(fact))

    def flush(self) -> None:
        """Write the buffered facts."""
        if self._pending:
            self._file.write("\n".join(self._pending) + "\n")
            self._file.flush()
            self._pending.clear()

    def close(self) -> None:
        """Write the buffered facts and close the file."""
        self.flush()
        self._file.close()


class RecordError(OrchidferryError):
    """A record can't be read; the message names file and line."""


def read_facts(lines: Iterable[str], where: str) -> Iterator[Fact]:
    """Read the facts of a file, and skip an incomplete last line, as a killed process leaves it.

    :param lines: the lines of the file, with their newlines
    :param where: the file's name in error messages
    :raises RecordError: if a line can't be read
    """
    for number, text in enumerate(lines, 1):
        if not text.endswith("\n"):
            return
        try:
            tag, *values = json.loads(text)
            yield FACT_KINDS[tag](*values)
        except (ValueError, KeyError, TypeError) as problem:
            raise RecordError(f"{where}:{number}: {problem!r:.100}") from None


def read_folder(folder: Path) -> list[Fact]:
    """Read all facts of a run, sorted by time.

    :raises RecordError: if a line can't be read
    """
    facts: list[Fact] = []
    for path in sorted(folder.glob("*.facts")):
        with path.open(encoding="utf-8") as file:
            facts += read_facts(file, path.name)
    facts.sort(key=lambda fact: fact.t)
    return facts
