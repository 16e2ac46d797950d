"""Whom to send to: first sends go round by weight, other attempts to the least loaded of their group.

Nothing here walks the fleet: what changes with time is looked at in turn, when its time comes, or when its
server comes up in the rotation; what an event changes, with that event."""

from __future__ import annotations

import heapq
import math
import random

from orchidferry.balancing.calls import Call, Outstanding
from orchidferry.balancing.cold import COLD_CHECK_MS, ColdStart
from orchidferry.balancing.judgement import SLOW_FROM, Judgement, Server
from orchidferry.balancing.listing import STEP, Fleet
from orchidferry.balancing.schedule import Lot, Member, Schedule

CROWD = 1.2  # a server holding so many times its part of what is outstanding, and one more, is passed over
REVIEWS = 4.0  # servers whose weight changes by itself that are looked at anew with a request, at most,
LIKE = 0.03  # of a weight: a change up to this is left for later
REVIEWS_PER_MS = 1.0  # and how many passing time allows: the same evidence fades for however many requests


class Picker:
    """This copy's servers in their rotation, each with the weight that it has by now."""

    def __init__(
        self, rng: random.Random, fleet: Fleet, cold: ColdStart, judgement: Judgement, out: Outstanding
    ) -> None:
        self._rng = rng
        self._fleet = fleet
        self._cold = cold
        self._judgement = judgement
        self._out = out
        self.schedule: Schedule[Server] = Schedule()
        self.varying: dict[int, Server] = {}  # whose weight changes by itself, in turn
        # of them that may be made, and as of when
        self._reviews = 0.0
        self._review_ms = 0.0
        self._wakes: list[tuple[float, int, Server]] = []  # who is to be looked at again, and when
        self._parked: list[tuple[float, int, int, Server]] = []  # who is crowded, and until what fair part
        self.now = 0.0  # of the event at hand

    def refresh(self, now: float, review: bool) -> None:
        """Bring up to date what time has changed, in bounded steps."""
        self.now = now
        if now >= self._out.look_ms:
            for server in self._out.look(now):
                self.weigh(server)
        while self._wakes and self._wakes[0][0] <= now:
            _, _, server = heapq.heappop(self._wakes)
            if server.wake_ms <= now:
                server.wake_ms = math.inf
            self.place(server)
        # First all that are due, then each once: placing one changes the fair part, and may park it again.
        due = []
        fair = self.fair()
        while self._parked and ((top := self._parked[0])[0] < fair or top[2] != top[3].parked):
            heapq.heappop(self._parked)
            if top[2] == top[3].parked:
                due.append(top[3])
        for server in due:
            self.place(server)
        if review and self.varying:
            self._reviews = min(self._reviews + (now - self._review_ms) * REVIEWS_PER_MS, REVIEWS)
            self._review_ms = now
            while self._reviews >= 1.0 and self.varying:
                server = next(iter(self.varying.values()))
                self._reviews -= 1.0
                self.varying[server.id] = self.varying.pop(server.id)  # to the end of the line
                self.weigh(server, True)

    def fair(self) -> float:  # what a server may hold for its weight, beyond one
        weight = self._fleet.weight
        return CROWD * self._out.inflight / weight if weight > 0.0 else math.inf

    def moved(self, server: Server) -> None:
        """A server came to this copy's part, left it, or has another weight there."""
        if server.part > 0.0 and server.in_service:
            if not server.enlisted:
                server.enlisted = True
                self._out.lost += len(server.lost)
            self.weigh(server)
        elif server.enlisted:
            server.enlisted = False
            self._out.lost -= len(server.lost)
            self._judgement.ejected -= server.ejected
            server.ejected = False
            self._count(server, 0.0)
            self._vary(server, False)
            server.parked += 1
            self.schedule.put(server.member, Lot.OFF)

    def _count(self, server: Server, weight: float) -> None:
        self._fleet.weight += weight - server.counted
        server.counted = weight

    def _vary(self, server: Server, varies: bool) -> None:
        if varies is not server.varies:
            server.varies = varies
            if varies:
                self.varying[server.id] = server
            else:
                del self.varying[server.id]

    def weigh(self, server: Server, review: bool = False) -> None:
        """Give a server the weight that it has by now."""
        if not server.enlisted:
            return
        now = self.now
        weight = server.part * self._cold.warmth(server, now) * server.pace(now, self._judgement.share)
        self._vary(server, weight != server.part)
        was = server.member.weight
        if abs(weight - was) > LIKE * was or weight == server.part != was:
            self.schedule.reweigh(server.member, weight)
        elif review and server.member.lot is not Lot.OFF:
            return
        self.place(server)

    def place(self, server: Server) -> Lot:
        """Put a server where it belongs now: in the rotation, aside for want of others, or out."""
        if not server.enlisted:
            return Lot.OFF
        now = self.now
        member = server.member
        weight = server.member.weight
        shut = now < server.shut_ms
        held = server.inflight
        counted = weight
        lot = Lot.ON
        if shut is not server.ejected:
            self._judgement.ejected += 1 if shut else -1
            server.ejected = shut
        if shut:
            self._wake(server, server.shut_ms)
        if server.started_ms is not None and (warmth := self._cold.warmth(server, now)) < 1.0:
            tokens = self._cold.tokens(server, warmth, now)
            if tokens < 1.0:  # rule 4
                lot = Lot.OFF
                counted = 0.0
                self._wake(server, now + COLD_CHECK_MS)
        if lot is Lot.OFF or held >= server.limit:
            lot = Lot.OFF
        elif shut:
            lot = Lot.ASIDE
        # A slow or stuck server shows first by what it holds: passed over till its peers hold alike.
        elif (need := (held - 1.0) / weight if weight > 0.0 else math.inf) >= self.fair():
            lot = Lot.ASIDE
            server.parked += 1
            heapq.heappush(self._parked, (need, member.order, server.parked, server))
            if len(self._parked) > 2 * len(self._fleet.ready) + STEP:
                self._parked = [entry for entry in self._parked if entry[2] == entry[3].parked]
                heapq.heapify(self._parked)
        if lot is Lot.ON and weight <= 0.0:
            lot = Lot.ASIDE
        if counted != server.counted:
            self._count(server, counted)
        if lot is not member.lot:
            self.schedule.put(member, lot)
        return lot

    def _wake(self, server: Server, at_ms: float) -> None:
        if at_ms < server.wake_ms:
            server.wake_ms = at_ms
            heapq.heappush(self._wakes, (at_ms, server.member.order, server))

    def judged(self, server: Server) -> None:
        """An attempt on a server has ended: put it where it belongs by what that told."""
        if server.varies or server.slowness > SLOW_FROM or server.queue:
            self.weigh(server)
        elif server.member.lot is not Lot.ON or self.now < server.shut_ms:
            self.place(server)

    def rewarmed(self) -> None:
        """Other settings on cold servers: their weight changes with them."""
        for server in self._fleet.ready.values():  # the gate keeps rule 4; this its weight in the rotation
            if server.started_ms is not None:
                self.weigh(server)

    def pick(self, call: Call) -> Server | None:
        """The server for the call's next attempt; None if none may have it now."""
        if call.ran_ms is not None:
            return self._pick_again(call)
        schedule = self.schedule
        passed = None
        while (member := schedule.first()) is not None:
            server = member.item
            (self.weigh if server.varies else self.place)(server)
            if member.lot is not Lot.ON or schedule.first() is not member:
                continue
            if server is not call.last or schedule.count == 1:
                break
            passed = member  # elsewhere than last time, where there is a choice
            schedule.put(member, Lot.OFF)
        if member is None:
            member = passed or self._pick_aside(call)
            passed = None
        if passed is not None:
            schedule.put(passed, Lot.ON)
        if member is None:
            return None
        if member.lot is Lot.OFF:
            schedule.put(member, Lot.ON)
        schedule.charge(member)
        return member.item

    def _pick_aside(self, call: Call) -> Member[Server] | None:
        """Where nobody is in the rotation: the next of those that are crowded or out for errors."""
        schedule = self.schedule
        passed = None
        while (member := schedule.first_aside()) is not None:
            if self.place(member.item) is Lot.OFF:
                continue
            if member.item is not call.last or schedule.aside_count == 1:
                break
            passed = member
            schedule.put(member, Lot.OFF)
        if passed is not None:
            schedule.put(passed, Lot.ASIDE)
        return member or passed

    def _pick_again(self, call: Call) -> Server | None:
        """For a call that may have run: the least loaded of its group, or of some of a large one."""
        now = self.now
        fair = self.fair()
        best = None
        least = (math.inf, 0.0)
        for id in self._fleet.again(call):
            server = self._fleet.know(id, now)
            warmth = self._cold.warmth(server, now)
            cold = warmth < 1.0 and self._cold.tokens(server, warmth, now) < 1.0
            if cold or server.inflight >= server.limit:
                continue
            weight = (server.part or server.share) * warmth * server.pace(now, self._judgement.share)
            if weight <= 0.0:
                continue
            room = server.inflight < 1.0 + fair * weight and now >= server.shut_ms
            load = (server is call.last) * 2.0 + (not room), (server.inflight + self._rng.random()) / weight
            if load < least:
                best = server
                least = load
        if best is not None and best.member.lot is Lot.ON:
            self.schedule.charge(best.member)
        return best
