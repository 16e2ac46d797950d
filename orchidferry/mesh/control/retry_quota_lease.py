"""A node's quota for the retries of one service, which the service's owner allocates with a lease. No I/O.

No node uses this module yet; docs/design/retry-budget.md gives the reason. The controller's half is
`retry_quota_allocator`.

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

MAX_REQUESTS = 8  # pending requests of a node; replies to older ones are ignored
# Thresholds below which a change of the amount is delayed, if that is safe: the time since the last change,
# and the size of the change as a share of the present amount.
MIN_CHANGE_INTERVAL_S = 0.5
MIN_CHANGE_SHARE = 0.1


class QuotaLease:
    """A node's quota for the retries of one service; it is 0 when the node's process starts.

    :ivar fencing_token: highest fencing token received from any owner; -1 for none
    :ivar amount: retries that the node may currently make in any window
    :ivar refresh_due_s: time from which `refresh` must be called before another retry is made
    """

    def __init__(self, last_number: int = 0) -> None:
        """Create a lease with an amount of 0.

        :param last_number: the number before the one of the first request; it must be chosen so that replies
            to requests of another run of the process can't be taken for replies to requests of this run
        """
        self.fencing_token = -1
        self.amount = 0.0
        self.refresh_due_s = math.inf
        self._last_number = last_number
        self._requested_s: dict[int, float] = {}  # times of pending requests, by number
        # From the newest reply:
        self._granted_amount = 0.0
        self._granted_until_s = -math.inf
        self._amount_leased_until_s = -math.inf
        self._changed_s = -math.inf

    def begin_request(self, now_s: float) -> int:
        """Register a new request and return its number; the lease will count from the time of the request."""
        self._last_number += 1
        self._requested_s[self._last_number] = now_s
        while len(self._requested_s) > MAX_REQUESTS:
            del self._requested_s[next(iter(self._requested_s))]
        return self._last_number

    def leased_amount(self, now_s: float) -> float:
        """Return the largest quota whose lease has not expired."""
        granted = self._granted_amount if now_s < self._granted_until_s else 0.0
        return max(granted, self.amount if now_s < self._amount_leased_until_s else 0.0)

    def handle_quota(self, quota: RetryQuota, now_s: float) -> bool:
        """Handle a reply with a quota.

        :returns: False if the reply is ignored: it is from a former owner, late, or a duplicate
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

        An increase may be delayed, and so may a decrease while the lease of the present amount is valid.
        Without a lease the amount is 0.

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
        """Extend the lease of the present amount to that of the newest reply, which grants no less."""
        if self.amount:
            self._amount_leased_until_s = max(self._amount_leased_until_s, self._granted_until_s)
        else:
            self._amount_leased_until_s = self._granted_until_s

    def _may_wait(self, granted: float, now_s: float) -> bool:
        """Return whether a change is too small, or too soon after the last one, to be made now."""
        small = abs(granted - self.amount) <= MIN_CHANGE_SHARE * self.amount
        return small or now_s - self._changed_s < MIN_CHANGE_INTERVAL_S
