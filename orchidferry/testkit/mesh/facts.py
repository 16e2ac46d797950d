"""The record of a run on the mesh: a list of facts that the kit observed on its own sockets and processes.

The verdict on a run is computed from these facts alone. The names of classes and fields are part of the
format of stored records. In all facts `t` is a time in seconds on the run's clock, `id` is the id of an
attempt, and `n` is the number of a request's arrival at a server, counted over the run.
"""

from __future__ import annotations

import hashlib
import json
from dataclasses import asdict, dataclass, field

from orchidferry.testkit.mesh.configuration import Config
from orchidferry.testkit.mesh.day import Bounds, Kind


def digest(body: bytes) -> str:
    """A short digest of a body, by which the record identifies it."""
    return hashlib.blake2b(body, digest_size=8).hexdigest()


@dataclass(slots=True)
class Sent:
    """An attempt was sent to a machine's `outbound` port, by a client or by the server on that machine."""

    t: float
    id: str
    kind: str  # name of the kind of request
    machine: str
    host: str
    method: str
    path: str
    digest: str  # of the body
    key: str  # the operation key; empty: none
    repeatable: bool  # the request is idempotent
    ends: float  # the deadline, after which the sender no longer waits
    root: str  # identifies the request; the same for all its attempts
    first: float  # when the first attempt of the request should have been sent
    parent: int = 0  # number of the arrival whose execution sends this; 0: from a client
    owed: bool = True  # whether it counts towards the measured service level


@dataclass(slots=True)
class Answered:
    """The sender of an attempt received a complete response."""

    t: float
    id: str
    status: int
    seal: str  # the header Server-Seal, which identifies the server's response
    digest: str  # of the body
    attempt: str  # the header Attempt-Id
    retry_after: str = ""  # the header Retry-After


@dataclass(slots=True)
class NoAnswer:
    """The sender of an attempt received no complete response.

    `how`: refused or silent (no connection was established), closed, reset, broken (in the middle of the
    response), or timeout (the sender stopped waiting).
    """

    t: float
    id: str
    how: str


@dataclass(slots=True)
class Extra:
    """Unexpected bytes arrived on an idle connection, whose last attempt was this one."""

    t: float
    id: str


@dataclass(slots=True)
class Arrived:
    """A server received a complete request."""

    t: float
    n: int
    id: str
    server: str  # id of the server's incarnation
    service: str
    machine: str
    method: str
    path: str
    digest: str  # of the body
    calling: str  # the header Calling-Service
    key: str  # the header Operation-Key
    target: str  # the header Target-Instance


@dataclass(slots=True)
class Began:
    """A server began to execute a request."""

    t: float
    n: int


@dataclass(slots=True)
class Rejected:
    """A server rejected a request, promising that it was not and never will be executed."""

    t: float
    n: int
    status: int


@dataclass(slots=True)
class Done:
    """A server executed a request and wrote a complete response."""

    t: float
    n: int
    status: int
    seal: str  # identifies this response
    digest: str  # of the body


@dataclass(slots=True)
class Dropped:
    """The connection of a request was lost before its response; the server abandoned the request."""

    t: float
    n: int


@dataclass(slots=True)
class Notice:
    """A server announced its state to the mesh: by a heartbeat, the start of draining, or deregistration."""

    t: float
    server: str  # id of the server's incarnation
    machine: str
    state: str  # in_service, draining or gone
    sequence: int  # number of the call of this incarnation
    acked: float | None  # when the call was acknowledged; None: it was not
    by: str  # the address that answered, or was called last


@dataclass(slots=True)
class ServerEnd:
    """A server closed its listener."""

    t: float
    server: str  # id of the server's incarnation


@dataclass(slots=True)
class Put:
    """An operator sent a configuration, in one or more calls; `t` is the time of the first."""

    t: float
    operator: str
    revision: int
    base: int  # the revision on which the change is based
    valid: bool  # whether the mesh must accept it as valid
    config: Config
    until: float  # when the operator stopped sending it
    acked: float | None  # when it was acknowledged; None: it was not
    status: int  # status of the last response; 0: no definite answer
    tries: str = ""  # address and outcome of each call


@dataclass(slots=True)
class Read:
    """An operator read the newest configuration, or tried to; `t` is the time of the answer."""

    t: float
    config: Config | None  # None: the read failed
    asked: float | None = None  # when the call was begun; None: not known


@dataclass(slots=True)
class ControlCall:
    """A call of an operator to a controller: a change, sent for the first time or again, or a read."""

    t: float
    until: float  # when the call ended
    operator: str
    machine: str  # the controller that answered or was called last, after redirects
    revision: int  # revision of the change; 0: a read
    content: str  # digest of the configuration that was sent; empty: a read
    status: int  # 0: no response
    how: str  # answer, or why there was no response: timeout, refused, reset, closed, silent, broken
    lost: bool = False  # the kit discarded the response: for the operator the call timed out
    error: str = ""  # the kind of error that the response names
    retry_after: str = ""  # the header Retry-After


@dataclass(slots=True)
class Ready:
    """A readiness probe of a machine was answered, or failed."""

    t: float
    machine: str
    ok: bool  # the machine is ready


@dataclass(slots=True)
class Process:
    """A process was started, was signalled or ended.

    `what`: start, term (sent SIGTERM), killed, paused, resumed, reloaded (sent SIGHUP), ended (after
    SIGTERM), exit (by itself), late (killed after the grace time), or removed (its machine is removed for
    good).
    """

    t: float
    machine: str
    what: str
    again: bool = False  # for a start: whether the previous process ended by itself


@dataclass(slots=True)
class LinkFault:
    """A fault of links between machines."""

    t: float
    until: float
    what: str  # cut, slow or reset
    links: list[tuple[str, str]]  # the directions: names of the sending and the receiving machine


@dataclass(slots=True)
class Event:
    """An action of the schedule, as it was executed."""

    t: float
    until: float
    do: str  # name of the action
    whom: str  # a description of its targets


Fact = (
    Sent
    | Answered
    | NoAnswer
    | Extra
    | Arrived
    | Began
    | Rejected
    | Done
    | Dropped
    | Notice
    | ServerEnd
    | Put
    | Read
    | ControlCall
    | Ready
    | Process
    | LinkFault
    | Event
)


STORED_NAMES: dict[type, str] = {LinkFault: "Harm", NoAnswer: "Cut", Rejected: "Turned"}
"""Names in stored records of the facts whose class is named differently."""


def stored_name(kind: type[Fact]) -> str:
    """The name of a class of facts in stored records."""
    return STORED_NAMES.get(kind, kind.__name__)


@dataclass(slots=True)
class Record:
    """The record of a run, on which its verdict is based."""

    scenario: str
    seed: int
    bounds: Bounds
    kinds: dict[str, Kind]  # kinds of request by name
    services: dict[str, str]  # service names by the name of the sidecar machine
    cores: tuple[str, ...]  # names of the controllers' machines, including replacements
    facts: list[Fact] = field(default_factory=list)
    start: float = 0.0  # start of the traffic
    end: float = 0.0  # end of the traffic
    complete: bool = True  # the run was not aborted
    why: str = ""  # the reason for which the run was aborted
    stall_s: float = 0.0  # the longest lag of the kit's event loop
    starved: float = (
        0.0  # the largest fraction of a window of about 2 s for which a process waited for a core
    )

    def lines(self) -> str:
        """The facts as JSON lines, ordered by time."""
        facts = sorted(self.facts, key=lambda fact: fact.t)
        return "".join(json.dumps({"fact": stored_name(type(fact)), **asdict(fact)}) + "\n" for fact in facts)
