"""Admission control of first attempts: by their value, calls are let through, queued or shed."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from orchidferry.balancing import interface as api
from orchidferry.balancing.averages import ClassStatistics
from orchidferry.balancing.calls import Outstanding
from orchidferry.balancing.delay import DelayController
from orchidferry.balancing.outlier_detection import BASELINE_SAMPLES, OutlierDetector
from orchidferry.balancing.records import Call
from orchidferry.balancing.server_set import ServerSet
from orchidferry.balancing.token_bucket import TokenBucket

# Longest time in the queue, as a share of the call's latency target: in the first tier, and in deeper ones
MAX_QUEUED_SHARES = (0.08, 0.5)
QUOTA_BURST_MS = 1_000.0  # a tenant may use the quota of this time in a single burst
RESERVED_SHARE = 0.15  # share of the window that is reserved for the calls of most value


class Admission:
    """Decides which calls this node lets through now, by the value of an answer.

    :param never_sheds: no call is queued for a full window or shed for delay, as a rejection would waste the
        work done for it in the tiers above
    """

    def __init__(
        self,
        settings: api.Settings,
        never_sheds: bool,
        rng: random.Random,
        server_set: ServerSet,
        controller: DelayController,
        outliers: OutlierDetector,
        outstanding: Outstanding,
    ) -> None:
        self._settings = settings
        self._never_sheds = never_sheds
        self._rng = rng
        self._server_set = server_set
        self._controller = controller
        self._outliers = outliers
        self._outstanding = outstanding
        self.statistics = ClassStatistics(settings.classes, BASELINE_SAMPLES)
        self._names = [cls.name for cls in settings.classes]
        self._queues: dict[tuple[str, bool, float], deque[Call]] = {}  # queues by class, over quota, weight
        self._max_weight = 1.0  # the largest weight of recent calls
        # By tenant: this node's fraction of the quota, in calls per ms, and its token bucket
        self.quotas: dict[str | None, tuple[float, TokenBucket]] = {}
        self._set_quotas()

    def change_settings(self, settings: api.Settings, names: Iterable[str]) -> None:
        """Apply new settings.

        :param names: the classes that are served now
        """
        self._settings = settings
        self._names = list(names)
        self.statistics.set_classes(settings.classes)
        self._set_quotas()

    def _set_quotas(self) -> None:
        settings = self._settings
        previous = self.quotas
        self.quotas = {}
        for tenant in settings.tenants:
            if tenant.quota_per_s:
                bucket = previous[tenant.name][1] if tenant.name in previous else TokenBucket(math.inf, 0.0)
                self.quotas[tenant.name] = tenant.quota_per_s / settings.nodes / 1000.0, bucket

    def over_quota(self, tenant: str | None, now: float) -> bool:
        """Count a call against its tenant's quota, and return whether it exceeds the quota."""
        if tenant not in self.quotas:
            return False
        per_ms, bucket = self.quotas[tenant]
        return not bucket.take(per_ms, max(1.0, QUOTA_BURST_MS * per_ms), now)

    def record_weight(self, weight: float) -> None:
        """Record the weight of a call that came through the chain of tiers."""
        self._max_weight = max(weight, 1.0 + (self._max_weight - 1.0) * (1.0 - 1.0 / BASELINE_SAMPLES))

    def should_shed(self, call: Call, now: float) -> bool:
        """Whether to shed this call because of delay; the calls of least value are shed first."""
        shed = 0.0 if self._never_sheds else self._controller.shed_share(now)
        if not shed:
            return False
        values = {name: self._value(name, False) for name in self._names}
        own = self._value(call.cls.name, call.over_quota, call.weight)
        shares = self.statistics.request_share
        of_less_value = sum(shares[name] for name, value in values.items() if value < own)
        return self._rng.random() * shares[call.cls.name] < shed - of_less_value

    def window_full(self, call: Call, now: float) -> bool:
        """Whether this call must wait, as the window of the delay controller is full.

        Always false where calls are never shed.
        """
        outstanding = self._outstanding
        window = self._controller.window(self._server_set.slice_size, now)
        if self._never_sheds or outstanding.inflight < (1.0 - RESERVED_SHARE) * window:
            return False
        # Lost calls do not count: calls on dead connections would take up the window, in one run two of
        # its 8 places. This admits a few too many where one class has much longer calls than the others.
        alive = outstanding.inflight - outstanding.lost_count
        best = self._max_weight * max(self._value(name, False) for name in self._names)
        full = alive >= (1.0 - RESERVED_SHARE) * window
        own = self._value(call.cls.name, call.over_quota, call.weight)
        may_use_reserve = alive < window and own >= best
        return full and not may_use_reserve

    def enqueue(self, call: Call, now: float) -> float:
        """Queue a call if an answer in time is still possible.

        :returns: how long it may wait, in ms; if 0 or less, it was not queued
        """
        share = MAX_QUEUED_SHARES[self._settings.tier > 0]
        until = min(call.arrived_ms + share * call.cls.aim_ms, call.deadline_ms)
        wait_ms = until - now - 2.0 * self._settings.tick_ms
        if wait_ms > 0.0:
            self._queues.setdefault((call.cls.name, call.over_quota, call.weight), deque()).append(call)
            call.queued = True
        return wait_ms

    def queues(self) -> list[deque[Call]]:
        """The queues, most valuable calls first; they may still contain calls that no longer wait."""
        values = {key: self._value(*key) for key, queue in self._queues.items() if queue}
        return [self._queues[key] for key in sorted(values, key=values.__getitem__, reverse=True)]

    def _value(self, name: str, over_quota: bool, weight: float = 1.0) -> float:
        """The value of an answer per time that it takes.

        :param name: the class of the call
        :param weight: the factor that came with the call through the chain of tiers
        """
        statistics = self.statistics
        value = statistics.worth[name] / statistics.mean_worth()
        if statistics.in_time[name] <= statistics.min_in_time():  # not starved by more valuable ones
            value += self._settings.worst_class / statistics.request_share[name]
        value *= self._settings.over_share_worth if over_quota else 1.0  # tenants over quota wait longest
        return weight * value / max(1.0, statistics.delay_ms[name] or self._outliers.baseline_ms(name))
