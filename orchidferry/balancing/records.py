"""Records of calls and servers: the state that the deciding modules share. Nothing is decided here.

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

Sent = tuple[float, float]  # of an attempt: when it was sent, and its latency target


@dataclass(slots=True, eq=False)
class Call:
    """A request that is owed an answer, and its attempts."""

    request: InitVar[api.Request]
    cls: api.RequestClass
    arrived_ms: float
    id: str = field(init=False)
    deadline_ms: float = field(init=False)
    uploading: bool = field(
        init=False
    )  # its body is still coming: no server works on it before the last byte
    over_share: bool = False  # beyond its tenant's quota
    weight: float = 1.0  # its value as it came down the chain, over its class's
    attempts: int = 0
    in_flight: bool = False  # an attempt is
    sent_ms: float = field(init=False)  # when the last attempt was sent
    idle_ms: float = 0.0  # how long its server's connections had been idle
    queued: bool = False  # waits for capacity
    timer_token: int = 0  # of the timer that it waits for
    last_server: Server | None = None
    may_have_run_ms: float | None = None  # when the first attempt that may have run was sent
    repeat_group: str | int | None = None  # and the group of servers that it went to

    def __post_init__(self, request: api.Request) -> None:
        self.id = request.id
        self.deadline_ms = self.arrived_ms + request.ttl_ms
        self.uploading = request.upload
        self.sent_ms = self.arrived_ms


@dataclass(slots=True, eq=False)
class Server:
    """What this copy knows of one server. `order` numbers servers as they become known."""

    entry: InitVar[api.ServerEntry]
    now: InitVar[float]
    rng: InitVar[random.Random]
    order: InitVar[int]
    id: int = field(init=False)
    zone: str = field(init=False)
    cell: int = field(init=False)
    share: float = field(init=False)  # its weight in the server list
    in_service: bool = field(init=False)
    started_ms: float | None = field(init=False)
    part: float = 0.0  # of its share, that is this copy's to use
    # Calls that are outstanding there
    outstanding: dict[str, Sent] = field(default_factory=dict)
    latest_served_ms: float = -math.inf  # when the latest sent of the calls that it served was sent
    late: dict[str, float] = field(default_factory=dict)  # out for very long and not overtaken: when sent
    overtaken: set[str] = field(default_factory=set)  # out for very long, while later ones were served
    # Evidence of its health
    slowness: float = 1.0  # its delay over the baseline, averaged
    slowness_ms: float = field(init=False)  # as of when
    reported_queue: float = 0.0  # requests that waited there by its last load report
    reported_ms: float = field(init=False)
    error_log_odds: float = 0.0  # that it fails much more often than its peers
    ejected_until_ms: float = -math.inf
    ejections: int = 0  # in a row
    concurrency_limit: float = math.inf  # outstanding calls from here, once it has rejected an attempt
    last_used_ms: float = field(init=False)  # when a connection to it was last in use
    slow_start_tokens: TokenBucket = field(init=False)
    # Its place in the rotation
    member: Member[Server] = field(init=False)
    managed: bool = False  # this copy uses it, in the rotation or ejected from it for a while
    varies: bool = False  # its weight changes with time
    ejected: bool = False  # it is counted as ejected
    counted_weight: float = 0.0  # what it adds to the total weight
    crowded_version: int = 0  # which entry of the heap of crowded servers is valid
    next_check_ms: float = math.inf

    def __post_init__(self, entry: api.ServerEntry, now: float, rng: random.Random, order: int) -> None:
        self.id = entry.server
        self.member = Member(self, order)
        self.member.deadline = rng.random()  # a random phase, so that copies don't rotate in step
        self.slowness_ms = now
        self.reported_ms = now
        self.last_used_ms = now
        self.slow_start_tokens = TokenBucket(rng.random(), now)  # random, as all copies learn of it at once
        self.update(entry)

    def update(self, entry: api.ServerEntry) -> None:
        """Take over what the server list says."""
        self.zone = entry.zone
        self.cell = entry.cell
        self.share = max(entry.share, 0.0)
        self.in_service = entry.health is Health.IN_SERVICE
        self.started_ms = entry.started_ms

    @property
    def inflight(self) -> int:
        """Outstanding calls from this copy."""
        return len(self.outstanding)

    def group(self, group: Group) -> str | int | None:
        """The group that drops repeats here, as a value to compare; None where all servers do."""
        return self.zone if group is Group.ZONE else self.cell if group is Group.CELL else None
