"""Records of calls and servers: state shared by the modules of the balancer. Nothing is decided here.

Times are milliseconds of the node's monotonic clock.
"""

from __future__ import annotations

import math
import random
from dataclasses import InitVar, dataclass, field

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Group, Health
from orchidferry.balancing.schedule import Member
from orchidferry.balancing.token_bucket import TokenBucket

Sent = tuple[float, float]  # an attempt: time of the send, and latency target, both in ms


@dataclass(slots=True, eq=False)
class Call:
    """A request without a final answer, and its attempts."""

    request: InitVar[api.Request]
    cls: api.RequestClass
    arrived_ms: float
    id: str = field(init=False)
    deadline_ms: float = field(init=False)
    uploading: bool = field(init=False)  # the body is incomplete: no server works on it before the last byte
    over_quota: bool = False  # the call exceeds its tenant's quota
    weight: float = 1.0  # worth passed on by the chain of tiers, relative to the worth of the class
    attempts: int = 0
    in_flight: bool = False  # an attempt is in flight
    sent_ms: float = field(init=False)  # time of the last attempt's send; of its last byte after an upload
    idle_ms: float = 0.0  # idle time of the server's connections before the last attempt
    queued: bool = False  # the call waits for capacity
    timer_token: int = 0  # token of the timer that the call waits for
    last_server: Server | None = None  # server of the last attempt
    may_have_run_ms: float | None = None  # time of the send of the first attempt that may have run
    repeat_group: str | int | None = None  # group of the server of that attempt

    def __post_init__(self, request: api.Request) -> None:
        self.id = request.id
        self.deadline_ms = self.arrived_ms + request.ttl_ms
        self.uploading = request.upload
        self.sent_ms = self.arrived_ms


@dataclass(slots=True, eq=False)
class Server:
    """What this node knows of one server. `order` numbers the records in the order of their creation."""

    entry: InitVar[api.ServerEntry]
    now: InitVar[float]
    rng: InitVar[random.Random]
    order: InitVar[int]
    id: int = field(init=False)
    zone: str = field(init=False)
    cell: int = field(init=False)
    share: float = field(init=False)  # weight in the server list
    in_service: bool = field(init=False)
    started_ms: float | None = field(init=False)
    assigned_share: float = 0.0  # the portion of `share`, or a multiple, that is assigned to this node
    # Outstanding calls
    outstanding: dict[str, Sent] = field(default_factory=dict)  # by call id, in the order of their sends
    latest_served_ms: float = -math.inf  # latest send time of the calls that the server has served
    # Calls outstanding for more than `calls.LOST_FACTOR` baseline delays: send times of those that no call
    # sent later has overtaken, and ids of the others, which count as lost
    long_overdue: dict[str, float] = field(default_factory=dict)
    overtaken: set[str] = field(default_factory=set)
    # Health
    slowness: float = 1.0  # mean ratio of the server's delay to the baseline
    slowness_ms: float = field(init=False)  # time at which `slowness` was updated
    reported_queue: float = 0.0  # requests queued at the server, by its last load report
    reported_ms: float = field(init=False)  # time of that report
    error_log_odds: float = 0.0  # log odds that the server fails much more often than its peers
    ejected_until_ms: float = -math.inf
    ejections: int = 0  # consecutive ejections
    concurrency_limit: float = math.inf  # limit of outstanding calls, once the server has rejected an attempt
    last_used_ms: float = field(init=False)  # time at which a connection to the server was last in use
    slow_start_tokens: TokenBucket = field(init=False)  # attempts allowed while the server warms up
    # Place in the rotation
    member: Member[Server] = field(init=False)
    managed: bool = False  # the server is assigned and in service, so the picker keeps its state up to date
    varies: bool = False  # the weight changes with time
    ejected: bool = False  # the server is included in `OutlierDetector.ejected_count`
    counted_weight: float = 0.0  # weight that the server adds to `ServerSet.weight`
    overload_version: int = 0  # version of the valid entry in the picker's heap of overloaded servers
    next_check_ms: float = math.inf  # time at which the picker updates the server next

    def __post_init__(self, entry: api.ServerEntry, now: float, rng: random.Random, order: int) -> None:
        self.id = entry.server
        self.member = Member(self, order)
        self.member.deadline = rng.random()  # a random phase, so that nodes don't rotate in step
        self.slowness_ms = now
        self.reported_ms = now
        self.last_used_ms = now
        self.slow_start_tokens = TokenBucket(rng.random(), now)  # random, so that nodes don't send in step
        self.update(entry)

    def update(self, entry: api.ServerEntry) -> None:
        """Apply the server's entry in the server list."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.share = max(entry.share, 0.0)
        self.in_service = entry.health is Health.IN_SERVICE
        self.started_ms = entry.started_ms

    @property
    def inflight(self) -> int:
        """The number of outstanding calls from this node."""
        return len(self.outstanding)

    def group(self, group: Group) -> str | int | None:
        """The server's group of this kind, among whose servers repeats are dropped; None for all servers."""
        return self.zone if group is Group.ZONE else self.cell if group is Group.CELL else None
