"""A run's record: what clients sent and received, what servers did, and what discovery announced to whom.

Each fact is a line, a JSON array that begins with the fact's tag. Each process writes a file of its own, in
complete lines, so that one which is killed loses the last moment only. Times are seconds since the run's zero
on CLOCK_MONOTONIC, which all processes of a machine share. The judge reads nothing else; no fact is the
statement of a node.
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
"""How often the owner of a recorder flushes it."""


@dataclass(slots=True)
class RequestSent:
    """A request was written completely to a connection that a node had accepted."""

    tag: ClassVar[str] = "asked"
    t: float
    tier: int  # the tier of servers that it is for; 0 for clients' requests
    id: str
    cls: str
    node: str
    root: str  # the client's first try that it belongs to
    number: int  # which try of its client, from 0; tiers below: which call
    intended: float  # when it should have been sent
    ends: float  # when nobody waits any more


@dataclass(slots=True)
class ResponseReceived:
    """The last byte of a response came."""

    tag: ClassVar[str] = "answered"
    t: float
    tier: int
    id: str
    node: str
    status: int
    sound: bool  # of a 200: the body is what a server made for this id


@dataclass(slots=True)
class ConnectionClosed:
    """A connection ended without a complete response, or was never accepted (`how`: refused, silent)."""

    tag: ClassVar[str] = "cut"
    t: float
    tier: int
    id: str
    node: str
    how: str  # refused, silent: never taken; closed, reset, broken (half an answer)
    reused: bool  # it had carried requests before


@dataclass(slots=True)
class RequestTimedOut:
    """The deadline passed and the requester closed its connection. `left`: it gave up before the deadline."""

    tag: ClassVar[str] = "unanswered"
    t: float
    tier: int
    id: str
    node: str
    left: bool


@dataclass(slots=True)
class ExtraBytes:
    """Bytes came that no open request waited for, after the response to this one."""

    tag: ClassVar[str] = "extra"
    t: float
    tier: int
    id: str
    node: str


@dataclass(slots=True)
class RequestScheduled:
    """A client's request was due; the measure of service counts these."""

    tag: ClassVar[str] = "wanted"
    t: float  # when it should have been sent
    root: str
    cls: str


@dataclass(slots=True)
class RequestReceived:
    """A server has read the last byte of a request."""

    tag: ClassVar[str] = "got"
    t: float
    first: float  # its first byte
    tier: int
    server: str
    cell: int
    id: str
    cls: str
    key: str
    work: float  # core-seconds that it is, without the tiers below


@dataclass(slots=True)
class ExecutionStarted:
    """A server has begun to execute a request: from now on it may have had its effect."""

    tag: ClassVar[str] = "began"
    t: float
    tier: int
    server: str
    id: str


@dataclass(slots=True)
class ExecutionEnded:
    """A server has ended a request: served, repeat (dropped by its key), error, rejected, lost."""

    tag: ClassVar[str] = "ended"
    t: float
    tier: int
    server: str
    id: str
    how: str


@dataclass(slots=True)
class ServerUp:
    """A server serves from now on. `cold`: at first with `cold_from` of its `capacity` (in cores)."""

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
    """A server serves no more: stopped, crashed, fell (overloaded while cold)."""

    tag: ClassVar[str] = "down"
    t: float
    tier: int
    server: str
    why: str


@dataclass(slots=True)
class StatusAnnounced:
    """Discovery has written a server's status to a node, or that counts as done (`deemed`)."""

    tag: ClassVar[str] = "told"
    t: float
    node: str
    server: str
    status: str  # active, leaving, left
    since: float  # when the server last started; 0: long ago
    deemed: bool


@dataclass(slots=True)
class NodeUp:
    """A node has answered that it is ready."""

    tag: ClassVar[str] = "node-up"
    t: float
    node: str
    tier: int


@dataclass(slots=True)
class NodeDown:
    """A node's process has ended, or was told to: killed, term, ended (after term), exit N (by itself)."""

    tag: ClassVar[str] = "node-down"
    t: float
    node: str
    why: str


@dataclass(slots=True)
class NodePaused:
    """A node's process was stopped, and went on at `until`."""

    tag: ClassVar[str] = "node-paused"
    t: float
    until: float
    node: str


@dataclass(slots=True)
class LinkBytes:
    """What a node sent to its peers since the last such fact, datagrams and streams."""

    tag: ClassVar[str] = "link-bytes"
    t: float
    node: str
    bytes: int
    messages: int


@dataclass(slots=True)
class Incident:
    """A step of the timeline took effect; `until` is its end, or `t` where it has none."""

    tag: ClassVar[str] = "incident"
    t: float
    until: float
    do: str
    whom: str


@dataclass(slots=True)
class Lag:
    """A lag of the kit: late (a client), stall (an event loop), in seconds; starved, as a fraction."""

    tag: ClassVar[str] = "lag"
    t: float
    who: str
    kind: str
    amount: float


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
    """The line of a fact in a file, without its end."""
    return json.dumps([fact.tag, *astuple(fact)], separators=(",", ":"))


class Recorder:
    """Appends facts to a file; its owner calls `flush` every `FLUSH_S` and `close` at the end."""

    def __init__(self, path: Path, zero: float) -> None:
        """Open a file for appending.

        :param zero: the run's zero on the monotonic clock, in seconds
        """
        self.zero = zero
        self.path = path
        self.facts = 0
        self._pending: list[str] = []
        self._file: IO[str] = path.open("a", encoding="utf-8")

    def now(self) -> float:
        """Seconds since the run's zero."""
        return time.monotonic() - self.zero

    def put(self, fact: Fact) -> None:
        """Add a fact; it is written with the next flush."""
        self.facts += 1
        self._pending.append(encode_fact(fact))

    def flush(self) -> None:
        """Write what is pending."""
        if self._pending:
            self._file.write("\n".join(self._pending) + "\n")
            self._file.flush()
            self._pending.clear()

    def close(self) -> None:
        """Write what is pending, and close the file."""
        self.flush()
        self._file.close()


class RecordError(OrchidferryError):
    """A record that can't be read; the text names file and line."""


def read_facts(lines: Iterable[str], where: str) -> Iterator[Fact]:
    """Read the facts of a file; an incomplete last line, which a killed process leaves, is skipped.

    :param where: what the file is called in errors
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
    """Read all facts of a run, in order of time.

    :raises RecordError: if a line can't be read
    """
    facts: list[Fact] = []
    for path in sorted(folder.glob("*.facts")):
        with path.open(encoding="utf-8") as file:
            facts += read_facts(file, path.name)
    facts.sort(key=lambda fact: fact.t)
    return facts
