"""Shares of a service's further tries, which the owner of the service deals to the nodes, on leases. Pure.

A share is so many tries in any window, and ends with its lease. What a node may have spent counts for one
window more, so the dealer gives that to others only then. At any time the most that each node may have held
within the last window, added up, is no more than the whole: that bounds every window, whatever is lost, late,
frozen or started anew. docs/design/retry_budget.md has the proof.

>>> dealer, holder = Dealer(8.0, 10.0, 0.0, learn_s=0.0), Holder()
>>> number = holder.ask(1.0)
>>> holder.hear(1, number, dealer.deal("n", 1, 3.0, holder.held(1.0), 1.2) or 0.0, LEASE_S, 1.4)
True
>>> holder.turn(1.4), holder.in_force, holder.due_s
(True, 6.5, 4.0)
>>> holder.turn(4.0), holder.in_force
(True, 0.0)
"""

from __future__ import annotations

import heapq
import math
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidferry.mesh.wire.messages import RetryQuota, RetryQuotaRequest

LEASE_S = 3.0  # of a share, for the node counted from when it asked
LATE_S = 1.0  # a try may arrive so long after it was sent: gates hold, and links are slow
STATIC_SHARE = 0.15  # of the slack: cut over all nodes beforehand, for those that hear no dealer
DEALT_SHARE = 0.75  # of the slack: what dealers deal. Never spent twice, as these two are apart
FLOOR_SHARE = 0.25  # of an equal share, for whoever asks
HEADROOM = 1.5  # times what a node wanted, so that it finds room when it needs more
LEVEL_S = 0.5  # how often shares are worked out anew
MIL = 1000  # shares are counted in thousandths: sums are exact
MAX_HOLDERS = 4_096  # lives of nodes that one dealer keeps account of
MAX_DEALERS = 512
MAX_ASKED = 8  # askings of a node that may still be answered
# changes of what is in force: not sooner, nor smaller, where that is safe
CHANGE_S = 0.5
CHANGE_SHARE = 0.1

Life = tuple[str, int]


def dealt(retry_slack: float) -> float:
    """The whole that the dealer of a service has, in tries a window."""
    return DEALT_SHARE * retry_slack


@dataclass(slots=True)
class _Account:
    """What one life of a node may hold or have spent: grants by their ends, the largest first."""

    grants: deque[tuple[float, int]] = field(default_factory=deque)

    @property
    def most(self) -> int:
        return self.grants[0][1] if self.grants else 0


class Dealer:
    """Deals one service's whole, at the controller that owns it, from when it became the owner.

    Until `learn_s` after that it knows nobody's share: it renews what nodes say they hold, and no more.
    """

    def __init__(
        self,
        whole: float,
        window_s: float,
        now_s: float,
        lease_s: float = LEASE_S,
        learn_s: float | None = None,
    ) -> None:
        self._whole = int(whole * MIL)
        self._lease_s = lease_s
        self._counts_s = window_s + LATE_S  # how long spending counts after its sending
        learn_s = lease_s + self._counts_s if learn_s is None else learn_s
        self._learnt_s = now_s + learn_s
        self._accounts: dict[Life, _Account] = {}
        self._ends: list[tuple[float, Life]] = []  # when grants stop to count
        self._total = 0  # the sum over accounts of the most of each
        self._wants: dict[Life, tuple[float, int]] = {}  # when each asked last, and what it could use
        self._level = 0
        self._level_s = -math.inf
        self.heard_s = now_s

    def deal(self, node: str, life: int, wanted: float, held: float, now_s: float) -> float | None:
        """Answer a life of a node that `held` this much when it asked; None: too many ask.

        `wanted`: tries that it made or would have made in the last window, beyond its ratio.
        """
        who = (node, life)
        self.heard_s = now_s
        self._lapse(now_s)
        account = self._accounts.get(who)
        if account is None:
            if len(self._accounts) >= MAX_HOLDERS:
                return None
            account = self._accounts[who] = _Account()
        news = who not in self._wants
        want = int(min(max(0.0, wanted) * HEADROOM * MIL, self._whole))
        self._wants[who] = (now_s, want)
        if news or now_s - self._level_s >= LEVEL_S:
            self._weigh(now_s)
        target = min(self._floor() + min(want, self._level), self._whole)
        if now_s < self._learnt_s:
            amount = min(target, int(max(0.0, held) * MIL))
        else:
            amount = min(target, account.most + max(0, self._whole - self._total))
        self._grant(who, account, amount, now_s)
        return amount / MIL

    def _grant(self, who: Life, account: _Account, amount: int, now_s: float) -> None:
        had = account.most
        grants = account.grants
        end = now_s + self._lease_s + self._counts_s
        while grants and grants[-1][1] <= amount:
            grants.pop()
        grants.append((end, amount))
        heapq.heappush(self._ends, (end, who))
        self._total += account.most - had

    def _lapse(self, now_s: float) -> None:
        """Take back what can't count any more."""
        while self._ends and self._ends[0][0] <= now_s:
            _, who = heapq.heappop(self._ends)
            account = self._accounts.get(who)
            if account is None:
                continue
            had = account.most
            while account.grants and account.grants[0][0] <= now_s:
                account.grants.popleft()
            self._total += account.most - had
            if not account.grants:
                del self._accounts[who]

    def _floor(self) -> int:
        return int(FLOOR_SHARE * self._whole / max(1, len(self._wants)))

    def _weigh(self, now_s: float) -> None:
        """Work out the level up to which what is wanted is met, beyond the floors: max-min fair."""
        for who in [who for who, (asked_s, _) in self._wants.items() if now_s - asked_s > self._lease_s]:
            del self._wants[who]
        left = self._whole - self._floor() * len(self._wants)
        self._level_s = now_s
        wants = sorted(want for _, want in self._wants.values())
        self._level = self._whole
        for n, want in enumerate(wants):
            if want * (len(wants) - n) > left:
                self._level = left // (len(wants) - n)
                break
            left -= want


class Holder:
    """A node's share of one service's further tries; a life of a node begins with none.

    `first`: the number before its first asking. Answers to another life's askings must not look like its own.
    """

    def __init__(self, first: int = 0) -> None:
        self.fence = -1  # the highest of any owner that was heard
        self._number = first
        self._asked: dict[int, float] = {}  # when, by number
        # by the newest answer
        self._granted = 0.0
        self._until_s = -math.inf
        self.in_force = 0.0  # what the node goes by,
        self.due_s = math.inf  # until then: `turn` must be called before anything is spent later
        self._covered_s = -math.inf  # how long leases cover what is in force
        self._changed_s = -math.inf

    @property
    def dealt(self) -> bool:
        """Whether any dealer was ever heard."""
        return self.fence >= 0

    def ask(self, now_s: float) -> int:
        """The number of a new asking, which its lease will count from."""
        self._number += 1
        self._asked[self._number] = now_s
        while len(self._asked) > MAX_ASKED:
            del self._asked[next(iter(self._asked))]
        return self._number

    def held(self, now_s: float) -> float:
        """The most that it holds by a lease."""
        granted = self._granted if now_s < self._until_s else 0.0
        return max(granted, self.in_force if now_s < self._covered_s else 0.0)

    def hear(self, fence: int, number: int, amount: float, for_s: float, now_s: float) -> bool:
        """Take an answer; False if it is nothing to go by: of an owner that is over, late, or a double."""
        asked_s = self._asked.get(number)
        if asked_s is None or fence < self.fence:
            return False
        if fence == self.fence:
            for old in [old for old in self._asked if old <= number]:
                del self._asked[old]
        self.fence = fence
        until_s = asked_s + for_s
        if now_s >= until_s:
            return False
        self._granted = max(0.0, amount)
        self._until_s = until_s
        return True

    def turn(self, now_s: float) -> bool:
        """Bring what is in force up to date; whether it has changed.

        More may wait, and less may while the lease that it came under runs; with no lease there is nothing.
        """
        granted = self._granted if now_s < self._until_s else 0.0
        covered = now_s < self._covered_s
        if granted >= self.in_force:
            self._covered_s = max(self._covered_s, self._until_s) if self.in_force else self._until_s
            covered = True
        small = abs(granted - self.in_force) <= CHANGE_SHARE * self.in_force
        changed = granted != self.in_force and not (covered and (small or now_s - self._changed_s < CHANGE_S))
        if changed:
            self.in_force = granted
            self._covered_s = self._until_s
            self._changed_s = now_s
        self.due_s = self._covered_s if self.in_force else math.inf
        return changed


class RetryBudgets:
    """All dealers of one controller: those of the services that it owns.

    `owner_fence`: the fence under which this controller owns a service's shard now, None if it doesn't for
    sure. A fence that was lost and won again, or a process that starts again, must come with a new dealer
    here, which learns first.
    """

    def __init__(
        self, retry_slack: float, window_s: float, owner_fence: Callable[[str, float], int | None]
    ) -> None:
        self._whole = dealt(retry_slack)
        self._window_s = window_s
        self._owner_fence = owner_fence
        self._dealers: dict[str, tuple[int, Dealer]] = {}

    def handle(self, request: RetryQuotaRequest, now_s: float) -> RetryQuota | None:
        """The answer to a node, or None: this controller does not own the service, or must not speak."""
        service = request.service
        own = self._owner_fence(service, now_s)
        if own is None or request.fencing_token > own:
            self._dealers.pop(service, None)
            return None
        had = self._dealers.get(service)
        if had is None or had[0] != own:
            if had is None and len(self._dealers) >= MAX_DEALERS:
                oldest = min(self._dealers, key=lambda name: self._dealers[name][1].heard_s)
                del self._dealers[oldest]
            had = self._dealers[service] = (own, Dealer(self._whole, self._window_s, now_s))
        wanted = max(request.retries_made, request.retries_wanted)
        amount = had[1].deal(request.node, request.incarnation, wanted, request.current_amount, now_s)
        return None if amount is None else RetryQuota(service, own, request.number, amount, LEASE_S)
