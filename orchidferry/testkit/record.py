"""A run's record: what clients sent and got, what servers received and did, what discovery told whom.

One line a fact, a JSON array that opens with the fact's tag. Each process writes a file of its own, as
lines that are whole or missing, so that one which is killed loses the last moment only. Times are
seconds since the run's zero on CLOCK_MONOTONIC, which all processes of a machine share. The judge reads
nothing else; no fact here is the word of a node.
"""

from __future__ import annotations

import json
import time
from collections.abc import Iterable, Iterator
from dataclasses import astuple, dataclass
from pathlib import Path
from typing import IO, Any, ClassVar

from orchidferry.errors import OrchidferryError

FLUSH_S = 0.25  # the owner of a recorder writes out so often


@dataclass(slots=True)
class Asked:
    """A request was written, whole, to a connection that a node had accepted."""

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
class Answered:
    """The last byte of an answer came."""

    tag: ClassVar[str] = "answered"
    t: float
    tier: int
    id: str
    node: str
    status: int
    sound: bool  # of a 200: the body is what a server made for this id


@dataclass(slots=True)
class Cut:
    """A connection ended with no whole answer on it, or never came up (`how`: refused, silent)."""

    tag: ClassVar[str] = "cut"
    t: float
    tier: int
    id: str
    node: str
    how: str  # refused, silent: never taken; closed, reset, broken (half an answer)
    reused: bool  # it had carried requests before


@dataclass(slots=True)
class Unanswered:
    """The asker's time was up; it closed its connection. `left`: it went before that, of itself."""

    tag: ClassVar[str] = "unanswered"
    t: float
    tier: int
    id: str
    node: str
    left: bool


@dataclass(slots=True)
class Extra:
    """Bytes came that no open request asked for, after the answer to this one."""

    tag: ClassVar[str] = "extra"
    t: float
    tier: int
    id: str
    node: str


@dataclass(slots=True)
class Wanted:
    """A client's first try: what the measure of service is over."""

    tag: ClassVar[str] = "wanted"
    t: float  # when it should have been sent
    root: str
    cls: str


@dataclass(slots=True)
class Got:
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
class Began:
    """A server has begun to work on a request: from now on its effect may be there."""

    tag: ClassVar[str] = "began"
    t: float
    tier: int
    server: str
    id: str


@dataclass(slots=True)
class Ended:
    """A server is done with a request: served, repeat (dropped by its key), error, rejected, lost."""

    tag: ClassVar[str] = "ended"
    t: float
    tier: int
    server: str
    id: str
    how: str


@dataclass(slots=True)
class Up:
    """A server serves from now on. `cold`: with `cold_from` of its `capacity` (cores) at first."""

    tag: ClassVar[str] = "up"
    t: float
    tier: int
    server: str
    cold: bool
    capacity: float
    cold_from: float
    cold_for: float


@dataclass(slots=True)
class Down:
    """A server serves no more: stopped, crashed, fell (pushed over while cold)."""

    tag: ClassVar[str] = "down"
    t: float
    tier: int
    server: str
    why: str


@dataclass(slots=True)
class Told:
    """Discovery has written this to a node, or it counts as told (`deemed`)."""

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
    """What held somebody up: late (a client), stall (a loop), in seconds; starved (share of a window)."""

    tag: ClassVar[str] = "lag"
    t: float
    who: str
    kind: str
    amount: float


Fact = (
    Asked
    | Answered
    | Cut
    | Unanswered
    | Extra
    | Wanted
    | Got
    | Began
    | Ended
    | Up
    | Down
    | Told
    | NodeUp
    | NodeDown
    | NodePaused
    | LinkBytes
    | Incident
    | Lag
)
KINDS: dict[str, type[Any]] = {kind.tag: kind for kind in Fact.__args__}


def line(fact: Fact) -> str:
    """A fact as it stands in a file."""
    return json.dumps([fact.tag, *astuple(fact)], separators=(",", ":"))


class Recorder:
    """Appends facts to a file; its owner calls `flush` every `FLUSH_S` and `close` at the end."""

    def __init__(self, path: Path, zero: float) -> None:
        self.zero = zero
        self.path = path
        self.facts = 0
        self._pending: list[str] = []
        self._file: IO[str] = path.open("a", encoding="utf-8")

    def now(self) -> float:
        """Seconds since the run's zero."""
        return time.monotonic() - self.zero

    def put(self, fact: Fact) -> None:
        self.facts += 1
        self._pending.append(line(fact))

    def flush(self) -> None:
        if self._pending:
            self._file.write("\n".join(self._pending) + "\n")
            self._file.flush()
            self._pending.clear()

    def close(self) -> None:
        self.flush()
        self._file.close()


class RecordError(OrchidferryError):
    """A record that can't be read; the text names file and line."""


def read_lines(lines: Iterable[str], where: str) -> Iterator[Fact]:
    """The facts of a file. Half a last line is what a killed process leaves, and is passed over."""
    for number, text in enumerate(lines, 1):
        if not text.endswith("\n"):
            return
        try:
            tag, *values = json.loads(text)
            yield KINDS[tag](*values)
        except (ValueError, KeyError, TypeError) as problem:
            raise RecordError(f"{where}:{number}: {problem!r:.100}") from None


def read_folder(folder: Path) -> list[Fact]:
    """All facts of a run, in order of time."""
    facts: list[Fact] = []
    for path in sorted(folder.glob("*.facts")):
        with path.open(encoding="utf-8") as file:
            facts += read_lines(file, path.name)
    facts.sort(key=lambda fact: fact.t)
    return facts
