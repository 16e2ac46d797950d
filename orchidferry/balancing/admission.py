"""Holding and shedding first sends: what each is worth, who waits for room, and who is refused for delay."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from orchidferry.balancing import interface as api
from orchidferry.balancing.averages import ClassRecord
from orchidferry.balancing.bucket import Bucket
from orchidferry.balancing.calls import Call, Outstanding
from orchidferry.balancing.delay import DelayController
from orchidferry.balancing.judgement import PEER_SAMPLES, Judgement
from orchidferry.balancing.listing import Fleet

HOLD_SHARES = (0.08, 0.5)  # of its aim: how long a call may wait for room; deeper, giving up wastes more
QUOTA_MS = 1_000.0  # of its quota is what a tenant may send at once
RESERVE = 0.15  # of the window is kept for the class of most value


class Admission:
    """What of the clients' calls this copy lets through now, by what an answer is worth.

    `spares`: no call is held or shed for delay, as a refusal would waste what was done for it above.
    """

    def __init__(
        self,
        settings: api.Settings,
        spares: bool,
        rng: random.Random,
        fleet: Fleet,
        controller: DelayController,
        judgement: Judgement,
        out: Outstanding,
    ) -> None:
        self._settings = settings
        self._spares = spares
        self._rng = rng
        self._fleet = fleet
        self._controller = controller
        self._judgement = judgement
        self._out = out
        self.record = ClassRecord(settings.classes, PEER_SAMPLES)
        self._names = [cls.name for cls in settings.classes]
        self._held: dict[tuple[str, bool, float], deque[Call]] = {}  # first sends that wait for the window
        self._heaviest = 1.0  # weight of calls lately
        self.quotas: dict[str | None, tuple[float, Bucket]] = {}  # this copy's part of each tenant's
        self._set_quotas()

    def change(self, settings: api.Settings, names: Iterable[str]) -> None:
        """Other settings, and the names of the classes that are taken now."""
        self._settings, self._names = settings, list(names)
        self.record.change(settings.classes)
        self._set_quotas()

    def _set_quotas(self) -> None:
        settings = self._settings
        had = self.quotas
        self.quotas = {}
        for t in settings.tenants:
            if t.quota_per_s:
                bucket = had[t.name][1] if t.name in had else Bucket(math.inf, 0.0)
                self.quotas[t.name] = t.quota_per_s / settings.nodes / 1000.0, bucket

    def over_share(self, tenant: str | None, now: float) -> bool:
        """Whether a call, counted here, is beyond its tenant's quota."""
        if tenant not in self.quotas:
            return False
        per_ms, bucket = self.quotas[tenant]
        return not bucket.take(per_ms, max(1.0, QUOTA_MS * per_ms), now)

    def weighed(self, weight: float) -> None:
        """A call of that weight has come down the chain."""
        self._heaviest = max(weight, 1.0 + (self._heaviest - 1.0) * (1.0 - 1.0 / PEER_SAMPLES))

    def shed(self, call: Call, now: float) -> bool:
        """Whether the loop has this call shed: it takes its share from those of least value first."""
        shed = 0.0 if self._spares else self._controller.shed(now)
        if not shed:
            return False  # deeper, a refusal wastes work done above
        values = {name: self._value(name, False) for name in self._names}
        own = self._value(call.cls.name, call.over_share, call.weight)
        less = sum(self.record.mix[name] for name, value in values.items() if value < own)
        return self._rng.random() * self.record.mix[call.cls.name] < shed - less

    def crowded(self, call: Call, now: float) -> bool:
        """Whether the clients' tier has as many calls outstanding as the delay target bears."""
        out = self._out
        room = self._controller.window(self._fleet.slice, now)
        if self._spares or out.inflight < (1.0 - RESERVE) * room:
            return False  # deeper, a refusal wastes work done above
        # sulcast-porto-alegre silent+leave+brisk 12: of a window of 8 two stood on connections that had died.
        # It lets in a few too many where a class has far longer calls than the rest of them.
        best = self._heaviest * max(self._value(name, False) for name in self._names)
        full = out.inflight - out.lost >= (1.0 - RESERVE) * room
        own = self._value(call.cls.name, call.over_share, call.weight)
        least = out.inflight - out.lost < room and own >= best
        return full and not least

    def hold(self, call: Call, now: float) -> float:
        """Keep a call back while an answer within its aim is still possible; for how long, 0 or less: not."""
        share = HOLD_SHARES[self._settings.tier > 0]
        until = min(call.arrived_ms + share * call.cls.aim_ms, call.ends_ms)
        wait_ms = until - now - 2.0 * self._settings.tick_ms
        if wait_ms > 0.0:
            self._held.setdefault((call.cls.name, call.over_share, call.weight), deque()).append(call)
            call.held = True
        return wait_ms

    def queues(self) -> list[deque[Call]]:
        """Calls that are held, or were, in the order they came: those of most worth first."""
        values = {key: self._value(*key) for key, queue in self._held.items() if queue}
        return [self._held[key] for key in sorted(values, key=values.__getitem__, reverse=True)]

    def _value(self, name: str, over_share: bool, weight: float = 1.0) -> float:
        """What an answer to a class is worth to the operators, for the time that it takes.

        `weight`: what came down the chain, over the class's own worth.
        """
        worth = self.record.worth[name] / self.record.mean_worth()
        if self.record.in_time[name] <= self.record.worst():  # strict order of worth would starve it
            worth += self._settings.worst_class / self.record.mix[name]
        worth *= self._settings.over_share_worth if over_share else 1.0  # a flooding tenant waits behind
        return weight * worth / max(1.0, self.record.delay_ms[name] or self._judgement.usual_ms(name))
