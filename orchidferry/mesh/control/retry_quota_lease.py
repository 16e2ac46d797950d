"""A node's quota of one service's retries, which the owner of the service allocates on a lease. No I/O.

No node uses it yet: docs/design/retry-budget.md says why. The controller's half is `retry_quota_allocator`.

>>> lease = QuotaLease()
>>> number = lease.begin_request(1.0)
>>> lease.handle_quota(RetryQuota("s", 1, number, 6.5, 3.0), 1.4)
True
>>> lease.refresh(1.4), lease.amount, lease.refresh_due_s
(True, 6.5, 4.0)
>>> lease.refresh(4.0), lease.amount
(True, 0.0)
"""

from __future__ import annotations

import math

from orchidferry.mesh.wire.messages import RetryQuota

MAX_REQUESTS = 8  # of a node that may still be answered
# Changes of the amount: not sooner, nor smaller, where that is safe.
MIN_CHANGE_INTERVAL_S = 0.5
MIN_CHANGE_SHARE = 0.1


class QuotaLease:
    """A node's quota of one service's retries; a process of a node begins with none.

    :ivar fencing_token: the highest of any owner that was heard; -1 for none
    :ivar amount: retries in any window that the node may make now
    :ivar refresh_due_s: `refresh` must be called before anything is spent later
    """

    def __init__(self, last_number: int = 0) -> None:
        """Create a `QuotaLease`.

        :param last_number: the number before that of the first request. Answers to requests of another run of
        the process must not look like answers to its own
        """
        self.fencing_token = -1
        self.amount = 0.0
        self.refresh_due_s = math.inf
        self._last_number = last_number
        self._requested_s: dict[int, float] = {}  # by number
        # by the newest answer
        self._granted_amount = 0.0
        self._granted_until_s = -math.inf
        self._amount_leased_until_s = -math.inf
        self._changed_s = -math.inf

    def begin_request(self, now_s: float) -> int:
        """Return the number of a new request, from whose time its lease will count."""
        self._last_number += 1
        self._requested_s[self._last_number] = now_s
        while len(self._requested_s) > MAX_REQUESTS:
            del self._requested_s[next(iter(self._requested_s))]
        return self._last_number

    def leased_amount(self, now_s: float) -> float:
        """Return the largest quota of which a lease is running."""
        granted = self._granted_amount if now_s < self._granted_until_s else 0.0
        return max(granted, self.amount if now_s < self._amount_leased_until_s else 0.0)

    def handle_quota(self, quota: RetryQuota, now_s: float) -> bool:
        """Take an answer.

        :returns: False if it does not count: it is of a former owner, late, or a duplicate
        """
        requested_s = self._requested_s.get(quota.number)
        if requested_s is None or quota.fencing_token < self.fencing_token:
            return False
        if quota.fencing_token == self.fencing_token:
            for answered in [number for number in self._requested_s if number <= quota.number]:
                del self._requested_s[answered]
        self.fencing_token = quota.fencing_token
        until_s = requested_s + quota.lease_s
        if now_s >= until_s:
            return False
        self._granted_amount = max(0.0, quota.amount)
        self._granted_until_s = until_s
        return True

    def refresh(self, now_s: float) -> bool:
        """Bring the amount up to date.

        A larger amount may wait, and a smaller one may while the lease of the present one runs; without a
        lease there is nothing.

        :returns: whether the amount has changed
        """
        granted = self._granted_amount if now_s < self._granted_until_s else 0.0
        leased = now_s < self._amount_leased_until_s
        if granted >= self.amount:
            self._extend_lease()
            leased = True
        changed = granted != self.amount and not (leased and self._may_wait(granted, now_s))
        if changed:
            self.amount = granted
            self._amount_leased_until_s = self._granted_until_s
            self._changed_s = now_s
        self.refresh_due_s = self._amount_leased_until_s if self.amount else math.inf
        return changed

    def _extend_lease(self) -> None:
        """Let the newest answer's lease cover the present amount, which is no larger."""
        if self.amount:
            self._amount_leased_until_s = max(self._amount_leased_until_s, self._granted_until_s)
        else:
            self._amount_leased_until_s = self._granted_until_s

    def _may_wait(self, granted: float, now_s: float) -> bool:
        """Return whether a change is too small, or comes too soon after the last one."""
        small = abs(granted - self.amount) <= MIN_CHANGE_SHARE * self.amount
        return small or now_s - self._changed_s < MIN_CHANGE_INTERVAL_S
