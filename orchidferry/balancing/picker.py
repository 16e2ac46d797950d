"""Picking servers: first attempts by weighted rotation, retries to the least loaded of their group.

Nothing here walks all servers: what changes with time is checked in turn, when its time comes, or when its
server comes up in the rotation; what an event changes, with that event.
"""

from __future__ import annotations

import heapq
import math
import random

from orchidferry.balancing.calls import Outstanding
from orchidferry.balancing.outlier_detection import SLOW_FACTOR, OutlierDetector
from orchidferry.balancing.records import Call, Server
from orchidferry.balancing.schedule import Member, RotationState, Schedule
from orchidferry.balancing.server_set import CHANGES_PER_STEP, ServerSet
from orchidferry.balancing.slow_start import SLOW_START_CHECK_MS, SlowStart

CROWDED_FACTOR = 1.2  # a server with so many times its part of what is outstanding, and one more, is crowded
MAX_REVIEWS = 4.0  # servers whose weight varies that are reviewed with a request, at most,
REVIEWS_PER_MS = 1.0  # and how many passing time allows: the same evidence decays for however many requests
WEIGHT_TOLERANCE = 0.03  # of a weight: a change up to this is left for later


class Picker:
    """This copy's servers in their rotation, each with its present weight."""

    def __init__(
        self,
        rng: random.Random,
        server_set: ServerSet,
        slow_start: SlowStart,
        outliers: OutlierDetector,
        outstanding: Outstanding,
    ) -> None:
        self._rng = rng
        self._server_set = server_set
        self._slow_start = slow_start
        self._outliers = outliers
        self._outstanding = outstanding
        self.schedule: Schedule[Server] = Schedule()
        self.varying: dict[int, Server] = {}  # whose weight varies with time, in the order of their reviews
        self._reviews = 0.0  # of them that may be made,
        self._review_ms = 0.0  # as of when
        self._checks: list[tuple[float, int, Server]] = []  # a heap of times at which a server is checked
        # A heap of crowded servers: the fair share at which each is no more, its order, version and itself
        self._crowded: list[tuple[float, int, int, Server]] = []
        self.now = 0.0  # of the event at hand

    def refresh(self, now: float, review: bool) -> None:
        """Bring up to date what time has changed, in bounded steps."""
        self.now = now
        if now >= self._outstanding.next_check_ms:
            for server in self._outstanding.collect_slow(now):
                self.update_weight(server)
        while self._checks and self._checks[0][0] <= now:
            _, _, server = heapq.heappop(self._checks)
            if server.next_check_ms <= now:
                server.next_check_ms = math.inf
            self.update_state(server)
        # First all that are due, then each once: an update changes the fair share, and may crowd it again.
        due = []
        fair = self.fair_share()
        while self._crowded and ((top := self._crowded[0])[0] < fair or top[2] != top[3].crowded_version):
            heapq.heappop(self._crowded)
            if top[2] == top[3].crowded_version:
                due.append(top[3])
        for server in due:
            self.update_state(server)
        if review and self.varying:
            self._review(now)

    def _review(self, now: float) -> None:
        self._reviews = min(self._reviews + (now - self._review_ms) * REVIEWS_PER_MS, MAX_REVIEWS)
        self._review_ms = now
        while self._reviews >= 1.0 and self.varying:
            server = next(iter(self.varying.values()))
            self._reviews -= 1.0
            self.varying[server.id] = self.varying.pop(server.id)  # to the end of the queue
            self.update_weight(server, True)

    def fair_share(self) -> float:
        """Outstanding calls that a server may have for each unit of weight, beyond one call."""
        weight = self._server_set.weight
        return CROWDED_FACTOR * self._outstanding.inflight / weight if weight > 0.0 else math.inf

    def part_changed(self, server: Server) -> None:
        """A server came to this copy's part, left it, or has another weight there."""
        if server.part > 0.0 and server.in_service:
            if not server.managed:
                server.managed = True
                self._outstanding.lost_count += len(server.overtaken)
            self.update_weight(server)
        elif server.managed:
            server.managed = False
            self._outstanding.lost_count -= len(server.overtaken)
            self._outliers.ejected_count -= server.ejected
            server.ejected = False
            self._set_counted_weight(server, 0.0)
            self._set_varying(server, False)
            server.crowded_version += 1
            self.schedule.set_state(server.member, RotationState.REMOVED)

    def _set_counted_weight(self, server: Server, weight: float) -> None:
        self._server_set.weight += weight - server.counted_weight
        server.counted_weight = weight

    def _set_varying(self, server: Server, varies: bool) -> None:
        if varies is not server.varies:
            server.varies = varies
            if varies:
                self.varying[server.id] = server
            else:
                del self.varying[server.id]

    def update_weight(self, server: Server, review: bool = False) -> None:
        """Give a server its present weight."""
        if not server.managed:
            return
        now = self.now
        health = self._outliers.health_factor(server, now)
        weight = server.part * self._slow_start.capacity_share(server, now) * health
        self._set_varying(server, weight != server.part)
        old = server.member.weight
        if abs(weight - old) > WEIGHT_TOLERANCE * old or weight == server.part != old:
            self.schedule.set_weight(server.member, weight)
        elif review and server.member.state is not RotationState.REMOVED:
            return
        self.update_state(server)

    def update_state(self, server: Server) -> RotationState:
        """Put a server where it belongs now: in the rotation, in the fallback, or in neither."""
        if not server.managed:
            return RotationState.REMOVED
        ejected = self.now < server.ejected_until_ms
        if ejected is not server.ejected:
            self._outliers.ejected_count += 1 if ejected else -1
            server.ejected = ejected
        if ejected:
            self._schedule_check(server, server.ejected_until_ms)
        member = server.member
        weight = member.weight
        out_of_tokens = server.started_ms is not None and self._out_of_tokens(server)
        if out_of_tokens:  # rule 4
            self._schedule_check(server, self.now + SLOW_START_CHECK_MS)
        counted = 0.0 if out_of_tokens else weight
        inflight = len(server.outstanding)
        if out_of_tokens or inflight >= server.concurrency_limit:
            state = RotationState.REMOVED
        elif ejected:
            state = RotationState.FALLBACK
        elif (needed := (inflight - 1.0) / weight if weight > 0.0 else math.inf) >= self.fair_share():
            state = RotationState.FALLBACK  # slow or stuck servers show first by the calls that they have
            self._watch_crowded(server, needed)
        else:
            state = RotationState.ACTIVE
        if counted != server.counted_weight:
            self._set_counted_weight(server, counted)
        if state is not member.state:
            self.schedule.set_state(member, state)
        return state

    def _out_of_tokens(self, server: Server) -> bool:
        """Whether a server is in slow start and may get no attempt from this copy now."""
        share = self._slow_start.capacity_share(server, self.now)
        return share < 1.0 and self._slow_start.available_tokens(server, share, self.now) < 1.0

    def _watch_crowded(self, server: Server, needed: float) -> None:
        """Update a server again once the fair share is above what it needs."""
        server.crowded_version += 1
        heapq.heappush(self._crowded, (needed, server.member.order, server.crowded_version, server))
        if len(self._crowded) > 2 * len(self._server_set.assigned) + CHANGES_PER_STEP:
            self._crowded = [entry for entry in self._crowded if entry[2] == entry[3].crowded_version]
            heapq.heapify(self._crowded)

    def _schedule_check(self, server: Server, at_ms: float) -> None:
        if at_ms < server.next_check_ms:
            server.next_check_ms = at_ms
            heapq.heappush(self._checks, (at_ms, server.member.order, server))

    def attempt_ended(self, server: Server) -> None:
        """An attempt on a server has ended, and its outcome was recorded."""
        if server.varies or server.slowness > SLOW_FACTOR or server.reported_queue:
            self.update_weight(server)
        elif server.member.state is not RotationState.ACTIVE or self.now < server.ejected_until_ms:
            self.update_state(server)

    def slow_start_changed(self) -> None:
        """The settings on slow start have changed: weights of warming servers change with them."""
        for server in self._server_set.assigned.values():
            if server.started_ms is not None:
                self.update_weight(server)

    def pick(self, call: Call) -> Server | None:
        """The server for the call's next attempt; None if none may have it now."""
        if call.may_have_run_ms is not None:
            return self._pick_for_retry(call)
        schedule = self.schedule
        skipped = None
        while (member := schedule.peek()) is not None:
            server = member.item
            (self.update_weight if server.varies else self.update_state)(server)
            if member.state is not RotationState.ACTIVE or schedule.peek() is not member:
                continue
            if server is not call.last_server or schedule.active_count == 1:
                break
            skipped = member  # elsewhere than last time, where there is a choice
            schedule.set_state(member, RotationState.REMOVED)
        if member is None:
            member = skipped or self._pick_fallback(call)
            skipped = None
        if skipped is not None:
            schedule.set_state(skipped, RotationState.ACTIVE)
        if member is None:
            return None
        if member.state is RotationState.REMOVED:
            schedule.set_state(member, RotationState.ACTIVE)
        schedule.advance(member)
        return member.item

    def _pick_fallback(self, call: Call) -> Member[Server] | None:
        """Where nobody is in the rotation: the next of those that are crowded or ejected."""
        schedule = self.schedule
        skipped = None
        while (member := schedule.peek_fallback()) is not None:
            if self.update_state(member.item) is RotationState.REMOVED:
                continue
            if member.item is not call.last_server or schedule.fallback_count == 1:
                break
            skipped = member
            schedule.set_state(member, RotationState.REMOVED)
        if skipped is not None:
            schedule.set_state(skipped, RotationState.FALLBACK)
        return member or skipped

    def _pick_for_retry(self, call: Call) -> Server | None:
        """For a call that may have run: the least loaded of its group, or of some of a large one."""
        now = self.now
        fair = self.fair_share()
        best = None
        least = (math.inf, 0.0)
        for id in self._server_set.retry_candidates(call):
            server = self._server_set.get_or_create(id, now)
            share = self._slow_start.capacity_share(server, now)
            out_of_tokens = share < 1.0 and self._slow_start.available_tokens(server, share, now) < 1.0
            if out_of_tokens or server.inflight >= server.concurrency_limit:
                continue
            health = self._outliers.health_factor(server, now)
            weight = (server.part or server.share) * share * health
            if weight <= 0.0:
                continue
            has_capacity = server.inflight < 1.0 + fair * weight and now >= server.ejected_until_ms
            penalty = (server is call.last_server) * 2.0 + (not has_capacity)
            load = penalty, (server.inflight + self._rng.random()) / weight
            if load < least:
                best = server
                least = load
        if best is not None and best.member.state is RotationState.ACTIVE:
            self.schedule.advance(best.member)
        return best
