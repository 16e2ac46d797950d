"""Allocation of a service's retries to the nodes, as leased quotas. No I/O.

The controller that owns a service allocates the quotas. A quota is a maximum number of retries in any window,
and ends with its lease. Retries that the node may have made count for one window more, and only then is the
quota allocated to other nodes. At any time, the sum over all nodes of the largest quota that each may have
had within the last window is at most the total. That bounds the retries in every window, even if messages are
lost or late and processes are frozen or restarted. docs/design/retry-budget.md has the proof; the node's half
is `retry_quota_lease`.

>>> allocator = QuotaAllocator(8.0, 10.0, 0.0, learn_s=0.0)
>>> allocator.allocate(NodeProcess("n", 1), 3.0, 0.0, 1.2)
6.5
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from orchidferry.mesh.wire.messages import RetryQuota, RetryQuotaRequest

LEASE_S = 3.0  # duration of a quota's lease, which a node counts from the time of its request
MAX_DELAY_S = 1.0  # maximum delay from sending a retry to its arrival: admission may queue it, links are slow
# The next two are disjoint shares of the retry slack, so that no part of the slack is spent twice.
STATIC_SHARE = 0.15  # divided among all nodes in advance, for nodes that can't reach an allocator
ALLOCATED_SHARE = 0.75  # allocated by the owners of services

FLOOR_SHARE = 0.25  # minimum quota of a requesting node, as a share of an equal division of the total
HEADROOM = 1.5  # factor from wanted retries to demand, so that a node has a reserve when it needs more
LEVEL_INTERVAL_S = 0.5  # minimum time between two computations of the fair level
UNITS_PER_RETRY = 1000  # quotas are counted as integers, in thousandths of a retry, so that sums are exact
MAX_NODE_PROCESSES = 4_096  # node processes for which one allocator keeps accounts
MAX_SERVICES = 512  # services for which one controller allocates


class NodeProcess(NamedTuple):
    """One run of a node's process.

    :param node: name of the node
    :param incarnation: identifies the run
    """

    node: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class _Grant:
    """A granted quota, in units.

    :param end_s: time until which retries made under the quota may count
    """

    end_s: float
    units: int


@dataclass(slots=True)
class _Account:
    """The quotas that one node process may have, or may have spent within the last window.

    :param grants: grants by rising end and falling size; a grant that ends before a larger one is left out
    """

    grants: deque[_Grant] = field(default_factory=deque)

    @property
    def max_units(self) -> int:
        """The largest grant that may still count, in units."""
        return self.grants[0].units if self.grants else 0


@dataclass(frozen=True, slots=True)
class _Demand:
    """The last request of a node process: its time, and the demand in units."""

    requested_s: float
    units: int


def allocatable_retries(retry_slack: float) -> float:
    """Return the total that the owner of a service allocates, in retries per window."""
    return ALLOCATED_SHARE * retry_slack


class QuotaAllocator:
    """Allocates the retries of one service, beginning when this controller became the owner of the service.

    A new allocator does not know the quotas that the previous owner allocated. During a learning period it
    renews the quotas that nodes report, and allocates no more.
    """

    def __init__(
        self,
        total: float,
        window_s: float,
        now_s: float,
        lease_s: float = LEASE_S,
        learn_s: float | None = None,
    ) -> None:
        """Create an allocator that begins to learn.

        :param total: retries per window, of all nodes together
        :param window_s: length of the window, in seconds
        :param now_s: the current time, in seconds
        :param lease_s: duration of each quota's lease, in seconds
        :param learn_s: length of the learning period, in seconds; None for the time during which quotas of
            the previous owner may count
        """
        self._total_units = int(total * UNITS_PER_RETRY)
        self._lease_s = lease_s
        self._count_duration_s = window_s + MAX_DELAY_S  # time for which a retry counts after it was sent
        learn_s = lease_s + self._count_duration_s if learn_s is None else learn_s
        self._learned_s = now_s + learn_s  # end of the learning period
        self._accounts: dict[NodeProcess, _Account] = {}
        self._grant_ends: list[tuple[float, NodeProcess]] = []  # a heap: the end of each grant
        self._granted_units = 0  # sum of the largest grants of all accounts
        self._demands: dict[NodeProcess, _Demand] = {}
        self._level_units = 0  # the fair level: each demand is met up to this, beyond the floor
        self._level_computed_s = -math.inf
        self.last_request_s = now_s

    def allocate(
        self, process: NodeProcess, wanted: float, current_amount: float, now_s: float
    ) -> float | None:
        """Return the quota of a node process, in retries per window; None if there are too many processes.

        :param process: the node process that requests a quota
        :param wanted: retries that it made or would have made in the last window, beyond its retry ratio
        :param current_amount: the quota that it had when it sent the request
        :param now_s: the current time, in seconds
        """
        self.last_request_s = now_s
        self._expire_grants(now_s)
        account = self._accounts.get(process)
        if account is None:
            if len(self._accounts) >= MAX_NODE_PROCESSES:
                return None
            account = self._accounts[process] = _Account()
        is_new = process not in self._demands
        demand_units = int(min(max(0.0, wanted) * HEADROOM * UNITS_PER_RETRY, self._total_units))
        self._demands[process] = _Demand(now_s, demand_units)
        if is_new or now_s - self._level_computed_s >= LEVEL_INTERVAL_S:
            self._compute_level(now_s)
        target = min(self._floor_units() + min(demand_units, self._level_units), self._total_units)
        if now_s < self._learned_s:
            units = min(target, int(max(0.0, current_amount) * UNITS_PER_RETRY))
        else:
            free_units = max(0, self._total_units - self._granted_units)
            units = min(target, account.max_units + free_units)
        self._grant(process, account, units, now_s)
        return units / UNITS_PER_RETRY

    def _grant(self, process: NodeProcess, account: _Account, units: int, now_s: float) -> None:
        before = account.max_units
        grants = account.grants
        end_s = now_s + self._lease_s + self._count_duration_s
        while grants and grants[-1].units <= units:
            grants.pop()
        grants.append(_Grant(end_s, units))
        heapq.heappush(self._grant_ends, (end_s, process))
        self._granted_units += account.max_units - before

    def _expire_grants(self, now_s: float) -> None:
        """Remove the grants that can no longer count."""
        while self._grant_ends and self._grant_ends[0][0] <= now_s:
            _, process = heapq.heappop(self._grant_ends)
            account = self._accounts.get(process)
            if account is None:
                continue
            before = account.max_units
            while account.grants and account.grants[0].end_s <= now_s:
                account.grants.popleft()
            self._granted_units += account.max_units - before
            if not account.grants:
                del self._accounts[process]

    def _floor_units(self) -> int:
        """Return the minimum quota of each requesting node, in units."""
        return int(FLOOR_SHARE * self._total_units / max(1, len(self._demands)))

    def _compute_level(self, now_s: float) -> None:
        """Compute the level up to which demands beyond the floors are met, by max-min fairness."""
        for process in [
            process for process, demand in self._demands.items() if now_s - demand.requested_s > self._lease_s
        ]:
            del self._demands[process]
        remaining = self._total_units - self._floor_units() * len(self._demands)
        self._level_computed_s = now_s
        demands = sorted(demand.units for demand in self._demands.values())
        self._level_units = self._total_units
        for position, units in enumerate(demands):
            unmet = len(demands) - position
            if units * unmet > remaining:
                self._level_units = remaining // unmet
                break
            remaining -= units


@dataclass(frozen=True, slots=True)
class _OwnedService:
    """A service's allocator, with the fencing token under which this controller owns the service."""

    fencing_token: int
    allocator: QuotaAllocator


class RetryQuotaAllocators:
    """The allocators of the services that one controller owns."""

    def __init__(
        self,
        retry_slack: float,
        window_s: float,
        ownership_token: Callable[[str, float], int | None],
    ) -> None:
        """Create the set of allocators of a controller, without any service.

        :param retry_slack: retry slack of the settings, in retries per window
        :param window_s: length of the window, in seconds
        :param ownership_token: called with a service and a time; returns the fencing token under which this
            controller owns the service's shard, or None if it may not be the owner. If a token was lost and
            won again, or the process was restarted, the service needs a new allocator, which learns first
        """
        self._total = allocatable_retries(retry_slack)
        self._window_s = window_s
        self._ownership_token = ownership_token
        self._services: dict[str, _OwnedService] = {}

    def handle(self, request: RetryQuotaRequest, now_s: float) -> RetryQuota | None:
        """Return the reply to a node's request.

        :returns: None if this controller may not own the service, or can't account for another node process
        """
        service = request.service
        token = self._ownership_token(service, now_s)
        if token is None or request.fencing_token > token:
            self._services.pop(service, None)
            return None
        allocator = self._allocator(service, token, now_s)
        wanted = max(request.retries_made, request.retries_wanted)
        process = NodeProcess(request.node, request.incarnation)
        amount = allocator.allocate(process, wanted, request.current_amount, now_s)
        return None if amount is None else RetryQuota(service, token, request.number, amount, LEASE_S)

    def _allocator(self, service: str, token: int, now_s: float) -> QuotaAllocator:
        """Return the allocator of a service for a fencing token, a new one if the token is new."""
        owned = self._services.get(service)
        if owned is not None and owned.fencing_token == token:
            return owned.allocator
        if owned is None and len(self._services) >= MAX_SERVICES:
            least_recent = min(self._services, key=lambda name: self._services[name].allocator.last_request_s)
            del self._services[least_recent]
        allocator = QuotaAllocator(self._total, self._window_s, now_s)
        self._services[service] = _OwnedService(token, allocator)
        return allocator
