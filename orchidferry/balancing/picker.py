"""Selection of servers: first attempts by weighted rotation, repeats to the least loaded of their group.

No operation iterates over all servers. What an event changes is updated with that event. What changes with
time is updated by a timer, by a periodic review, or when the server's turn comes in the rotation.
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

FAIR_SHARE_FACTOR = 1.2  # a server is overloaded above 1 + this factor times its share of outstanding calls
MAX_REVIEWS = 4.0  # most servers of varying weight that are reviewed on one request
REVIEWS_PER_MS = 1.0  # rate limit of those reviews: weights change with time, however many requests come
WEIGHT_TOLERANCE = 0.03  # relative change of a weight up to which the schedule keeps the old one


class Picker:
    """The weighted rotation of the servers assigned to this node."""

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
        self.varying: dict[int, Server] = {}  # servers with a weight that varies with time, next review first
        self._reviews = 0.0  # reviews that may be made now, a token count
        self._review_ms = 0.0  # time at which that count was updated
        self._checks: list[tuple[float, int, Server]] = []  # heap of (time, order, server to update then)
        # Heap of overloaded servers: (fair share above which one is not overloaded, order, overload_version,
        # server)
        self._overloaded: list[tuple[float, int, int, Server]] = []
        self.now = 0.0  # time of the event that is being handled

    def refresh(self, now: float, review: bool) -> None:
        """Update what has changed with time, in a bounded number of steps.

        :param review: whether servers of varying weight may be reviewed
        """
        self.now = now
        if now >= self._outstanding.next_check_ms:
            for server in self._outstanding.collect_slow(now):
                self.update_weight(server)
        while self._checks and self._checks[0][0] <= now:
            _, _, server = heapq.heappop(self._checks)
            if server.next_check_ms <= now:
                server.next_check_ms = math.inf
            self.update_state(server)
        # Collects all that are due before updating any: an update changes the fair share, and may push the
        # server onto the heap again.
        due = []
        fair = self.fair_share()
        while self._overloaded and (
            (top := self._overloaded[0])[0] < fair or top[2] != top[3].overload_version
        ):
            heapq.heappop(self._overloaded)
            if top[2] == top[3].overload_version:
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
            self.varying[server.id] = self.varying.pop(server.id)  # move to the end of the queue
            self.update_weight(server, True)

    def fair_share(self) -> float:
        """Outstanding calls per unit of weight that a server may have, in addition to one call."""
        weight = self._server_set.weight
        return FAIR_SHARE_FACTOR * self._outstanding.inflight / weight if weight > 0.0 else math.inf

    def assignment_changed(self, server: Server) -> None:
        """Update a server that was assigned to this node, is no longer, or has a new assigned share."""
        if server.assigned_share > 0.0 and server.in_service:
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
            server.overload_version += 1
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
        """Recompute the weight of a server.

        :param review: this is a periodic review; the state is updated only if the weight changes
        """
        if not server.managed:
            return
        now = self.now
        health = self._outliers.health_factor(server, now)
        weight = server.assigned_share * self._slow_start.capacity_share(server, now) * health
        self._set_varying(server, weight != server.assigned_share)
        old = server.member.weight
        if abs(weight - old) > WEIGHT_TOLERANCE * old or weight == server.assigned_share != old:
            self.schedule.set_weight(server.member, weight)
        elif review and server.member.state is not RotationState.REMOVED:
            return
        self.update_state(server)

    def update_state(self, server: Server) -> RotationState:
        """Put a server into the rotation, the fallback or neither, by its present condition."""
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
            state = RotationState.FALLBACK  # a slow or stuck server is first seen by its outstanding calls
            self._watch_overloaded(server, needed)
        else:
            state = RotationState.ACTIVE
        if counted != server.counted_weight:
            self._set_counted_weight(server, counted)
        if state is not member.state:
            self.schedule.set_state(member, state)
        return state

    def _out_of_tokens(self, server: Server) -> bool:
        """Whether a server is in slow start and has no tokens left for an attempt from this node."""
        share = self._slow_start.capacity_share(server, self.now)
        return share < 1.0 and self._slow_start.available_tokens(server, share, self.now) < 1.0

    def _watch_overloaded(self, server: Server, needed: float) -> None:
        """Update an overloaded server again once the fair share is above `needed`."""
        server.overload_version += 1
        heapq.heappush(self._overloaded, (needed, server.member.order, server.overload_version, server))
        if len(self._overloaded) > 2 * len(self._server_set.assigned) + CHANGES_PER_STEP:
            self._overloaded = [entry for entry in self._overloaded if entry[2] == entry[3].overload_version]
            heapq.heapify(self._overloaded)

    def _schedule_check(self, server: Server, at_ms: float) -> None:
        if at_ms < server.next_check_ms:
            server.next_check_ms = at_ms
            heapq.heappush(self._checks, (at_ms, server.member.order, server))

    def attempt_ended(self, server: Server) -> None:
        """Update a server after the outcome of an attempt was recorded."""
        if server.varies or server.slowness > SLOW_FACTOR or server.reported_queue:
            self.update_weight(server)
        elif server.member.state is not RotationState.ACTIVE or self.now < server.ejected_until_ms:
            self.update_state(server)

    def slow_start_changed(self) -> None:
        """Recompute the weights of warming servers after a change of the slow start settings."""
        for server in self._server_set.assigned.values():
            if server.started_ms is not None:
                self.update_weight(server)

    def pick(self, call: Call) -> Server | None:
        """The server for the call's next attempt; None if no server can take it now."""
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
            skipped = member  # prefer another server than that of the last attempt
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
        """The next of the overloaded and ejected servers, for when the rotation is empty."""
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
        """The least loaded server that may repeat a call that may have run; a sample of a large group."""
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
            weight = (server.assigned_share or server.share) * share * health
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
