"""The interface between a node and the balancer: settings, events and actions.

Times are milliseconds of one monotonic clock of the node's choice. Ids are the node's own and come back
unchanged. Nothing is decided here; every decision is in `orchidferry.balancing.logic` and its parts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field, fields
from enum import Enum, IntEnum
from typing import Any


class Repeat(Enum):
    """Whether a request of a class may run more than once."""

    SAFE = "safe"  # idempotent: it may run any number of times
    KEYED = "keyed"  # the servers of one group drop repeats that arrive within a window
    UNSAFE = "unsafe"  # it must not be repeated once it may have run


class Group(Enum):
    """The scope of deduplication: which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(Enum):
    """The state of a server's process, as service discovery reports it."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """The kind of a message from service discovery."""

    CHANGES = "changes"  # only the entries that changed
    FULL = "full"  # a complete list, which replaces the old one
    SAVED = "saved"  # the list that the node stored last, which may be stale
    FAILED = "failed"  # a subscription or call failed or was broken off; there are no entries


class Result(IntEnum):
    """How an attempt ended.

    `UNREACHABLE` and `MOOT` prove that it never ran, and so does `REFUSED` unless the settings say
    otherwise (`full_may_have_run`).
    """

    SERVED = 0
    ERROR = 1
    REFUSED = 2  # the server rejected it, as it was full
    TIMEOUT = 3
    UNREACHABLE = 4  # no connection could be established
    RESET = 5  # the connection broke after the request was sent
    CANCELLED = 6
    MOOT = 7  # dropped by the node before it was sent: no longer needed, or the node lacked resources


def field_values(settings: Any) -> dict[str, Any]:
    """The values of the fields of a dataclass, by field name."""
    return {f.name: getattr(settings, f.name) for f in fields(settings)}


@dataclass(slots=True)
class RequestClass:
    """The settings of one class of requests."""

    name: str
    aim_ms: float  # latency target: an answer within this time earns the full worth
    deadline_ms: float  # total time that a client waits, over all its attempts
    worth: float = 1.0  # value of an answer to the operators, relative to other classes
    late_worth: float = 0.0  # share of the worth that an answer between latency target and deadline earns
    repeat: Repeat = Repeat.UNSAFE
    group: Group = Group.ALL  # servers that drop repeats, if `repeat` is `KEYED`
    window_ms: float = 0.0  # time after the first attempt within which they drop repeats


@dataclass(slots=True)
class Tenant:
    """One of the tenants of the service."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0  # requests per second over all nodes; 0: no quota


@dataclass(slots=True)
class Settings:
    """The settings of a node.

    Fields are stored by name (`orchidferry.node.control.plain`), and error lines name them.
    """

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0  # factor on the worth of calls beyond their tenant's quota
    worst_class: float = 0.0  # weight of the worst-served class, relative to the weight of the total worth
    zone: str = ""
    nodes: int = 1  # number of nodes that send to the same tier
    number: int = 0  # number of this node among them, from 0
    tier: int = 0  # the tier that this node sends to; 0 is the first, which the clients' requests go to
    tiers: int = 1
    passes_deadline: bool = True  # a caller's remaining time is passed on with its call
    follow_list: bool = False  # updates of the server list must be subscribed to
    ask_every_ms: float = 10_000.0  # interval at which discovery is asked for the server list
    max_attempts: int = 1  # attempts per request, including the first
    parallel_attempts: bool = False  # a request may have several attempts in flight
    can_cancel: bool = False  # attempts in flight can be cancelled
    max_retry_after_ms: float = 0.0  # longest delay that clients accept as retry advice; 0: they accept none
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 30_000.0  # idle time after which servers close a connection
    target_share: float = 0.4  # tau0, the target delay, as a share of the latency target of answered calls
    tick_ms: float = 0.0  # interval at which events are delivered
    answer_slack_ms: float = 0.0  # time after the deadline within which a final answer still counts
    drain_grace_ms: float = 0.0  # time within which sends to a draining server must stop
    start_capacity: float = 1.0  # capacity of a server at its start, as a share of its full capacity
    ramp_time_ms: float = 0.0  # time after its start until a server has its full capacity
    overload_factor: float = 1.0  # load that a warming server bears, as a multiple of its capacity
    overload_for_ms: float = 1_000.0  # length of the sliding window over which that load is counted
    repeat_ratio: float | None = None  # retries allowed per accepted request; None: no retry budget
    extra_floor: float = 0.0  # retries allowed in addition, whatever the number of requests
    resend_span_ms: float = 0.0  # length of the sliding window of the retry budget
    full_may_have_run: bool = False  # `REFUSED` does not prove that the attempt never ran
    cross_zone_price: float = 0.0  # cost of cross-zone attempts
    handshake_price: float = 0.0  # cost of a new connection per first attempt, as a share of the total worth

    def __post_init__(self) -> None:
        """Check the settings.

        :raises ValueError: a value is out of range; the text names its field
        """
        if not self.classes:
            raise ValueError("classes: at least one is needed")
        if len({cls.name for cls in self.classes}) < len(self.classes):
            raise ValueError("classes: two have the same name")
        times = {
            name: value
            for name, value in field_values(self).items()
            if name.endswith("_ms") or name.endswith("_price") or name in ("extra_floor", "worst_class")
        }
        for cls in self.classes:
            times |= {
                f"classes[{cls.name}].{n}": v for n, v in field_values(cls).items() if n.endswith("_ms")
            }
            times[f"classes[{cls.name}].worth"] = cls.worth
        for tenant in self.tenants:
            times[f"tenants[{tenant.name}].quota_per_s"] = tenant.quota_per_s
        for name, value in times.items():
            if not 0.0 <= value < math.inf:
                raise ValueError(f"{name}: {value} is negative or not finite")
        for cls in self.classes:
            if not cls.aim_ms:
                raise ValueError(f"classes[{cls.name}].aim_ms: must be above 0")
        shares = {"start_capacity": self.start_capacity, "over_share_worth": self.over_share_worth}
        shares |= {f"classes[{cls.name}].late_worth": cls.late_worth for cls in self.classes}
        shares |= {f"tenants[{tenant.name}].share": tenant.share for tenant in self.tenants}
        if self.repeat_ratio is not None:
            shares["repeat_ratio"] = self.repeat_ratio
        for name, value in shares.items():
            if not 0.0 <= value <= 1.0:
                raise ValueError(f"{name}: {value} is not within 0 to 1")
        for name, minimum in (("nodes", 1), ("tiers", 1), ("max_attempts", 1), ("number", 0), ("tier", 0)):
            if getattr(self, name) < minimum:
                raise ValueError(f"{name}: {getattr(self, name)} is less than {minimum}")


@dataclass(slots=True)
class ServerEntry:
    """One server as service discovery lists it."""

    server: int
    zone: str = ""
    kind: str = ""  # machine type
    cell: int = 0  # group of servers that share deduplication state
    health: Health = Health.IN_SERVICE
    share: float = 1.0  # weight
    started_ms: float | None = None  # time of its start; None: long ago


# Events that a node reports.


@dataclass(slots=True)
class Started:
    """The node has started."""


@dataclass(slots=True)
class ServerList:
    """A message from service discovery."""

    kind: ListKind
    version: int = 0
    entries: list[ServerEntry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Carried:
    """The metadata, besides the deadline, that a request carries from tier to tier."""

    root: str  # id of the client's request; the same for all requests that result from it
    extra: int  # retries that are left for the whole chain below
    worth: float  # value of the client's request to the operators of the first tier
    path: tuple[str, ...] = ()  # the hops that it passed, as `TIER/NODE`, the first tier first


@dataclass(slots=True)
class Request:
    """The node has accepted a request and owes it one final answer."""

    id: str
    cls: str
    ttl_ms: float
    tenant: str | None = None
    client_retry: bool = False
    upload: bool = False  # its body is streamed to the server as it arrives; `Uploaded` reports the end
    carried: Carried | None = None  # metadata from the tier above, if that is trusted
    key: str | None = None  # deduplication key, or affinity key that keeps requests together


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended."""

    id: str
    attempt: int  # number of the attempt, from 0
    server: int
    result: Result
    duration_ms: float
    settled: bool  # the request has its final answer, or needs none any more
    report: dict[str, float] | None = None  # load report of the server; `queue`: requests queued there
    spent: bool = False  # the request's body was consumed by the attempt, so it cannot be sent again
    below: bool = False  # it failed by overload of a tier below the server: a retry would add to that
    used: int = 0  # retries made in the tiers below


@dataclass(slots=True)
class Uploaded:
    """The last byte of an upload was written to its server: delay and deadline count from now."""

    id: str
    attempt: int
    ttl_ms: float  # time left until the deadline


@dataclass(slots=True)
class StreamStarted:
    """The response to an attempt has begun to arrive; the request gets no other."""

    id: str
    attempt: int
    server: int


@dataclass(slots=True)
class ClientGone:
    """The client has disconnected, and waits no longer for this request."""

    id: str


@dataclass(slots=True)
class NewSettings:
    """The settings have changed. Requests that were accepted before keep their class settings."""

    settings: Settings


@dataclass(slots=True)
class TimerFired:
    """A timer has expired."""

    token: int


Event = (
    Started
    | ServerList
    | Request
    | AttemptEnded
    | Uploaded
    | StreamStarted
    | ClientGone
    | NewSettings
    | TimerFired
)

# Actions that a node must carry out.


@dataclass(slots=True)
class Send:
    """Start the request's next attempt on a server."""

    id: str
    server: int
    timeout_ms: float  # time after which the attempt is given up
    fresh: bool = False  # use a new connection: an idle one may be dead, and a call lost on it may have run
    carried: Carried | None = None  # metadata to pass on to the server


@dataclass(slots=True)
class Fail:
    """End the request with an error that does not say whether it ran.

    `below` and `used` are as in `AttemptEnded`, for a caller that is a server of the tier above.
    """

    id: str
    below: bool = False
    used: int = 0


@dataclass(slots=True)
class Refuse:
    """End the request with an error that tells the client that a retry is harmless.

    `below` and `used` are as in `AttemptEnded`.
    """

    id: str
    retry_after_ms: float = 0.0  # advised delay of that retry
    below: bool = False
    used: int = 0


@dataclass(slots=True)
class Cancel:
    """Cancel the latest attempt in flight with a number of at most `attempt`."""

    id: str
    attempt: int


@dataclass(slots=True)
class CloseIdle:
    """Close the idle connections to a server."""

    server: int


@dataclass(slots=True)
class SetTimer:
    """Deliver `TimerFired(token)` after `delay_ms`."""

    token: int
    delay_ms: float


@dataclass(slots=True)
class Subscribe:
    """Subscribe to updates of the server list."""


@dataclass(slots=True)
class Log:
    """Write a line to the operators' log."""

    text: str


Action = Send | Fail | Refuse | Cancel | CloseIdle | SetTimer | Subscribe | Log
