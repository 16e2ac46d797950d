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

    SAFE = "safe"  # any number of times
    KEYED = "keyed"  # servers of one group drop the repeats that arrive within a window
    UNSAFE = "unsafe"  # never


class Group(Enum):
    """Which servers drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Health(Enum):
    """The state of a server's process, by discovery."""

    IN_SERVICE = "in_service"
    DRAINING = "draining"
    GONE = "gone"


class ListKind(Enum):
    """What a message of discovery holds."""

    CHANGES = "changes"  # only the entries that changed
    FULL = "full"  # replaces the old list
    SAVED = "saved"  # the list as the node last had it, perhaps old
    FAILED = "failed"  # a subscription or call failed or broke; no entries


class Result(IntEnum):
    """How an attempt ended.

    `REFUSED`, `UNREACHABLE` and `MOOT` prove that it never ran, but for `REFUSED` where the settings
    say so (`full_may_have_run`).
    """

    SERVED = 0
    ERROR = 1
    REFUSED = 2
    TIMEOUT = 3
    UNREACHABLE = 4
    RESET = 5
    CANCELLED = 6
    MOOT = 7


def vars_of(settings: Any) -> dict[str, Any]:
    """The fields of a dataclass by name."""
    return {f.name: getattr(settings, f.name) for f in fields(settings)}


@dataclass(slots=True)
class RequestClass:
    """One class of requests."""

    name: str
    aim_ms: float  # latency target: an answer within this earns the whole worth
    deadline_ms: float  # how long a client waits in all, over all its attempts
    worth: float = 1.0  # the value of an answer to the operators
    late_worth: float = 0.0  # share of the worth for an answer between aim and deadline
    repeat: Repeat = Repeat.UNSAFE
    group: Group = Group.ALL
    window_ms: float = 0.0


@dataclass(slots=True)
class Tenant:
    """One of those that share the service."""

    name: str
    share: float = 0.0
    quota_per_s: float = 0.0  # over all nodes; what goes beyond is worth little


@dataclass(slots=True)
class Settings:
    """The settings of a node.

    Fields are stored by name (`orchidferry.node.control.plain`), and error lines name them.
    """

    classes: list[RequestClass]
    tenants: list[Tenant] = field(default_factory=list)
    over_share_worth: float = 1.0  # factor on the worth of calls beyond their tenant's quota
    worst_class: float = 0.0  # what the worst-served class counts for, over what all worth does
    zone: str = ""
    nodes: int = 1  # balancer copies that send to the same tier
    number: int = 0  # this copy's own among them, from 0
    tier: int = 0  # the tier this copy sends to, 0 being the clients' first
    tiers: int = 1
    passes_deadline: bool = True  # a caller's remaining time comes along with its call
    follow_list: bool = False  # updates of the server list must be subscribed to
    ask_every_ms: float = 10_000.0
    max_attempts: int = 1
    parallel_attempts: bool = False
    can_cancel: bool = False
    max_retry_after_ms: float = 0.0  # 0: clients take no such advice
    connect_timeout_ms: float = 250.0
    keepalive_ms: float = 30_000.0  # servers close a connection that has idled for so long
    target_share: float = 0.4  # tau0, the target delay, as a share of the aim of what was answered
    tick_ms: float = 0.0  # events are delivered at most this often
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    start_capacity: float = 1.0
    ramp_time_ms: float = 0.0
    overload_factor: float = 1.0
    overload_for_ms: float = 1_000.0
    repeat_ratio: float | None = None  # attempts beyond the first, by request taken; None: no such budget
    extra_floor: float = 0.0  # so many more are free,
    resend_span_ms: float = 0.0  # in any window of this length
    full_may_have_run: bool = False  # `REFUSED` is no proof that the attempt never ran
    cross_zone_price: float = 0.0
    handshake_price: float = 0.0  # of new connections, by first try; as the share of the service's worth

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
            for name, value in vars_of(self).items()
            if name.endswith("_ms") or name.endswith("_price") or name in ("extra_floor", "worst_class")
        }
        for cls in self.classes:
            times |= {f"classes[{cls.name}].{n}": v for n, v in vars_of(cls).items() if n.endswith("_ms")}
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
    """One server as discovery lists it."""

    server: int
    zone: str = ""
    kind: str = ""
    cell: int = 0
    health: Health = Health.IN_SERVICE
    share: float = 1.0
    started_ms: float | None = None  # None: long ago


# Events: what happens at a node.


@dataclass(slots=True)
class Started:
    """The node is up."""


@dataclass(slots=True)
class ServerList:
    """A message of discovery."""

    kind: ListKind
    version: int = 0
    entries: list[ServerEntry] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Carried:
    """What a request brings along a chain of tiers beside its deadline, or passes on."""

    root: str  # the same for all that one client's request led to
    extra: int  # attempts beyond the first that are left, over the whole chain below
    worth: float  # of the client's request, to the operators of the first tier
    path: tuple[str, ...] = ()  # the hops that it passed, `TIER/NODE` each, the first tier's first


@dataclass(slots=True)
class Request:
    """The node has accepted a request and owes it one final answer."""

    id: str
    cls: str
    ttl_ms: float
    tenant: str | None = None
    client_retry: bool = False
    upload: bool = False  # its body is still coming, and goes on as it comes; `Uploaded` tells of the end
    carried: Carried | None = None  # what came along with it that can be believed
    key: str | None = None  # by which servers drop its repeats, or that it is kept together by


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended. `settled`: nothing more is owed for the request."""

    id: str
    attempt: int
    server: int
    result: Result
    duration_ms: float
    settled: bool
    report: dict[str, float] | None = None
    spent: bool = False  # the request's body went with it: nothing is left to be sent again
    below: bool = False  # its server's own calls met overload: asking again only adds to it
    used: int = 0  # attempts beyond the first that were made below


@dataclass(slots=True)
class Uploaded:
    """The last byte of an upload was written to its server: all times count from here."""

    id: str
    attempt: int
    ttl_ms: float


@dataclass(slots=True)
class StreamStarted:
    """The answer to an attempt has begun to flow; the request is bound to it."""

    id: str
    attempt: int
    server: int


@dataclass(slots=True)
class ClientGone:
    """The client has gone: nobody waits for this request."""

    id: str


@dataclass(slots=True)
class NewSettings:
    """The settings have changed. Requests that were accepted keep the class that they came under."""

    settings: Settings


@dataclass(slots=True)
class TimerFired:
    """A timer is due."""

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

# Actions: what the node is asked to do.


@dataclass(slots=True)
class Send:
    """Start the request's next attempt on a server; give it up after `timeout_ms`.

    `fresh`: on a new connection, as an idle one may be dead unnoticed, and what is lost on it may have run.
    """

    id: str
    server: int
    timeout_ms: float
    fresh: bool = False
    carried: Carried | None = None  # what goes on with it


@dataclass(slots=True)
class Fail:
    """End the request with an error; the client is not told whether it ran.

    `below`, `used`: as an attempt's, for a caller that is a server of the tier above.
    """

    id: str
    below: bool = False
    used: int = 0


@dataclass(slots=True)
class Refuse:
    """End the request unserved; the client learns that a retry is harmless."""

    id: str
    retry_after_ms: float = 0.0
    below: bool = False
    used: int = 0


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt: the latest that is in flight, of those up to this number."""

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
    """Ask discovery for a standing subscription."""


@dataclass(slots=True)
class Log:
    """A line for the operators."""

    text: str


Action = Send | Fail | Refuse | Cancel | CloseIdle | SetTimer | Subscribe | Log
