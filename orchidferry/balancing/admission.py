"""Admission control of first attempts: the value of each, which wait for capacity, and which are shed."""

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

MAX_QUEUED_SHARES = (0.08, 0.5)  # of its latency target, for a call of the first tier, and of a deeper one
QUOTA_BURST_MS = 1_000.0  # of its quota is what a tenant may send at once
RESERVED_SHARE = 0.15  # of the window is reserved for the class of most value


class Admission:
    """Which of the clients' calls this copy lets through now, by the value of an answer.

    `never_sheds`: no call is queued or shed for delay, as a rejection would waste what was done for it above.
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
        self._queues: dict[tuple[str, bool, float], deque[Call]] = {}  # by what decides the value
        self._max_weight = 1.0  # of calls lately
        self.quotas: dict[
            str | None, tuple[float, TokenBucket]
        ] = {}  # this copy's part of each tenant's, by ms
        self._set_quotas()

    def change_settings(self, settings: api.Settings, names: Iterable[str]) -> None:
        """Take new settings, and the names of the classes that are served now."""
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

    def over_share(self, tenant: str | None, now: float) -> bool:
        """Count a call against its tenant's quota; whether it is beyond that."""
        if tenant not in self.quotas:
            return False
        per_ms, bucket = self.quotas[tenant]
        return not bucket.take(per_ms, max(1.0, QUOTA_BURST_MS * per_ms), now)

    def record_weight(self, weight: float) -> None:
        """A call of that weight has come down the chain."""
        self._max_weight = max(weight, 1.0 + (self._max_weight - 1.0) * (1.0 - 1.0 / BASELINE_SAMPLES))

    def sheds(self, call: Call, now: float) -> bool:
        """Whether the delay loop has this call shed: it takes its share from those of least value first."""
        shed = 0.0 if self._never_sheds else self._controller.shed_share(now)
        if not shed:
            return False
        values = {name: self._value(name, False) for name in self._names}
        own = self._value(call.cls.name, call.over_share, call.weight)
        shares = self.statistics.request_share
        of_less_value = sum(shares[name] for name, value in values.items() if value < own)
        return self._rng.random() * shares[call.cls.name] < shed - of_less_value

    def crowded(self, call: Call, now: float) -> bool:
        """Whether as many calls are outstanding as the delay target bears; only in the clients' tier."""
        outstanding = self._outstanding
        window = self._controller.window(self._server_set.slice_size, now)
        if self._never_sheds or outstanding.inflight < (1.0 - RESERVED_SHARE) * window:
            return False
        # sulcast-porto-alegre silent+leave+brisk 12: of a window of 8 two stood on connections that had died.
        # It lets in a few too many where a class has far longer calls than the rest of them.
        alive = outstanding.inflight - outstanding.lost_count
        best = self._max_weight * max(self._value(name, False) for name in self._names)
        full = alive >= (1.0 - RESERVED_SHARE) * window
        own = self._value(call.cls.name, call.over_share, call.weight)
        may_use_reserve = alive < window and own >= best
        return full and not may_use_reserve

    def enqueue(self, call: Call, now: float) -> float:
        """Queue a call while an answer in time is still possible; for how many ms, 0 or less: it is not."""
        share = MAX_QUEUED_SHARES[self._settings.tier > 0]
        until = min(call.arrived_ms + share * call.cls.aim_ms, call.deadline_ms)
        wait_ms = until - now - 2.0 * self._settings.tick_ms
        if wait_ms > 0.0:
            self._queues.setdefault((call.cls.name, call.over_share, call.weight), deque()).append(call)
            call.queued = True
        return wait_ms

    def queues(self) -> list[deque[Call]]:
        """Queues of calls in the order they came, those of most value first; some wait no more."""
        values = {key: self._value(*key) for key, queue in self._queues.items() if queue}
        return [self._queues[key] for key in sorted(values, key=values.__getitem__, reverse=True)]

    def _value(self, name: str, over_share: bool, weight: float = 1.0) -> float:
        """The value of an answer to a class for the time that it takes; `weight` came down the chain."""
        statistics = self.statistics
        value = statistics.worth[name] / statistics.mean_worth()
        if statistics.in_time[name] <= statistics.min_in_time():  # strict order of value would starve it
            value += self._settings.worst_class / statistics.request_share[name]
        value *= self._settings.over_share_worth if over_share else 1.0  # a flooding tenant waits behind
        return weight * value / max(1.0, statistics.delay_ms[name] or self._outliers.baseline_ms(name))
