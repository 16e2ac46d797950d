"""Allocation of a service's retries to the nodes, by leases. No I/O.

The controller that owns a service allocates the quotas. A quota is so many retries in any window, and ends
with its lease. What a node may have spent counts for one window more, so only then is its quota given to
others. At any time the largest quotas that the nodes may have had within the last window add up to no more
than the total: that bounds every window, whatever is lost, late, frozen or restarted.
docs/design/retry-budget.md has the proof; the node's half is `retry_quota_lease`.

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

LEASE_S = 3.0  # of a quota, for the node counted from its request
MAX_DELAY_S = 1.0  # a retry may arrive so long after it was sent: gates hold, and links are slow
STATIC_SHARE = 0.15  # of the slack: split over all nodes beforehand, for those that hear no allocator
ALLOCATED_SHARE = 0.75  # of the slack: allocated by owners. Never spent twice, as these two are apart
FLOOR_SHARE = 0.25  # of an equal share, for each node that asks
HEADROOM = 1.5  # times what a node wanted, so that it has capacity when it needs more
LEVEL_INTERVAL_S = 0.5  # how often fair shares are computed
UNITS_PER_RETRY = 1000  # quotas are counted in thousandths: sums are exact
MAX_NODE_PROCESSES = 4_096  # that one allocator keeps account of
MAX_SERVICES = 512  # that one controller allocates for


class NodeProcess(NamedTuple):
    """One run of a node's process."""

    node: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class _Grant:
    """A quota that may count until a time."""

    end_s: float
    units: int


@dataclass(slots=True)
class _Account:
    """What one node process may have or may have spent: grants by their ends, the largest first."""

    grants: deque[_Grant] = field(default_factory=deque)

    @property
    def max_units(self) -> int:
        """The largest grant that may count."""
        return self.grants[0].units if self.grants else 0


@dataclass(frozen=True, slots=True)
class _Demand:
    """What a node process asked for last."""

    requested_s: float
    units: int


def allocatable_retries(retry_slack: float) -> float:
    """Return what the owner of a service has to allocate, in retries a window."""
    return ALLOCATED_SHARE * retry_slack


class QuotaAllocator:
    """Allocates the retries of one service, from when this controller became its owner.

    Until it has learned it does not know the quotas that the last owner allocated: it renews what nodes say
    they have, and no more.
    """

    def __init__(
        self,
        total: float,
        window_s: float,
        now_s: float,
        lease_s: float = LEASE_S,
        learn_s: float | None = None,
    ) -> None:
        """Create a `QuotaAllocator`.

        :param total: retries a window, of all nodes
        :param window_s: the window, in seconds
        :param lease_s: of each quota, in seconds
        :param learn_s: how long it learns, in seconds; None for as long as quotas of the last owner may count
        """
        self._total_units = int(total * UNITS_PER_RETRY)
        self._lease_s = lease_s
        self._counts_s = window_s + MAX_DELAY_S  # how long spending counts after its sending
        learn_s = lease_s + self._counts_s if learn_s is None else learn_s
        self._learned_s = now_s + learn_s
        self._accounts: dict[NodeProcess, _Account] = {}
        self._grant_ends: list[tuple[float, NodeProcess]] = []  # a heap: when grants stop to count
        self._granted_units = 0  # the sum over accounts of the largest grant of each
        self._demands: dict[NodeProcess, _Demand] = {}
        self._level_units = 0  # up to which each demand is met
        self._level_computed_s = -math.inf
        self.last_request_s = now_s

    def allocate(
        self, process: NodeProcess, wanted: float, current_amount: float, now_s: float
    ) -> float | None:
        """Return the quota of a node process, in retries a window; None if too many processes ask.

        :param wanted: retries that it made or would have made in the last window, beyond its ratio
        :param current_amount: the quota that it had when it asked
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
        end_s = now_s + self._lease_s + self._counts_s
        while grants and grants[-1].units <= units:
            grants.pop()
        grants.append(_Grant(end_s, units))
        heapq.heappush(self._grant_ends, (end_s, process))
        self._granted_units += account.max_units - before

    def _expire_grants(self, now_s: float) -> None:
        """Take back the grants that can't count any more."""
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
        """Return what each node that asks has at least."""
        return int(FLOOR_SHARE * self._total_units / max(1, len(self._demands)))

    def _compute_level(self, now_s: float) -> None:
        """Compute the level up to which demands are met, beyond the floors: max-min fairness."""
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
    """A service's allocator, and the fencing token under which this controller owns the service."""

    fencing_token: int
    allocator: QuotaAllocator


class RetryQuotaAllocators:
    """The allocators of one controller: those of the services that it owns."""

    def __init__(
        self,
        retry_slack: float,
        window_s: float,
        ownership_token: Callable[[str, float], int | None],
    ) -> None:
        """Create a `RetryQuotaAllocators`.

        :param retry_slack: of the settings, in retries a window
        :param window_s: the window, in seconds
        :param ownership_token: returns the fencing token under which this controller owns a service's shard
            at a time, None if it may not be the owner. A token that was lost and won again, or a process that
            starts again, must come with a new allocator here, which learns first
        """
        self._total = allocatable_retries(retry_slack)
        self._window_s = window_s
        self._ownership_token = ownership_token
        self._services: dict[str, _OwnedService] = {}

    def handle(self, request: RetryQuotaRequest, now_s: float) -> RetryQuota | None:
        """Return the answer to a node, or None if this controller may not be the service's owner."""
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
        """Return a service's allocator under a fencing token; a new one where the token is."""
        owned = self._services.get(service)
        if owned is not None and owned.fencing_token == token:
            return owned.allocator
        if owned is None and len(self._services) >= MAX_SERVICES:
            least_recent = min(self._services, key=lambda name: self._services[name].allocator.last_request_s)
            del self._services[least_recent]
        allocator = QuotaAllocator(self._total, self._window_s, now_s)
        self._services[service] = _OwnedService(token, allocator)
        return allocator
