"""Every decision of nickelbridge. Its settings, events and actions are in nickelbridge/interface.py.

Retries are admitted with the probability that RTDC's PI loop allows (Hong, Huang and Yan, section V.B);
first sends follow a smooth weighted rotation. docs/design.md says what is kept, changed and why."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Iterable

from nickelbridge import interface as api
from nickelbridge import subset
from nickelbridge.averages import ClassRecord, Rate, SlidingCount
from nickelbridge.bucket import Bucket
from nickelbridge.interface import Group, Health, ListKind, Repeat, Result

TARGET_SHARE = 0.4  # tau0, the target round trip delay, as a share of the aim of what was answered
WINDOW_SHARE = 0.3  # of the aim: the delay that first sends may reach, by Little's law,
ADDED = 2.0  # with so many calls a server of this copy's part added, so that copies' windows grow alike
FEW = 3.0  # while the loop allows retries a window opens to so many calls, as a copy's few calls bunch
SHED_MOST = 0.8  # of first sends may be shed for delay: the rest keeps the measurement going
PHASE_MARGIN = math.radians(45.0)  # phi_m
RETUNE_BAND = (0.5, 1.5)  # gains are retuned when the answer rate leaves this band around its tuned value
WINDOW_MS = 5_000.0  # time constant of the measured rates and delay
HOLD_SHARES = (0.08, 0.5)  # of its aim: how long a call may wait for room; deeper, giving up wastes more
SAMPLES, FEW_SAMPLES = 20.0, 4.0  # answers measured; fewer show their error in part, as one may be chance
RETRY_WAIT_MS, RETRY_WAIT_SHARE = 500.0, 0.2  # T1, or less by aim, doubling with each attempt, with jitter
CROWD = 1.2  # a server holding so many times its part of what is outstanding, and one more, is passed over
LIMIT_CUT = 0.9  # what a server may hold from here after it has turned an attempt away
SLOW_FROM, SLOW_POWER = 1.5, 4.0  # times its peers' delay: a weight falls, so steeply that it gets rest
REPORT_MS = 5_000.0  # the time in which a reported queue fades, by whose cube its weight is divided
OVERDUE = 1.5  # a call out for so many times the usual delay makes its server look as slow as one answer
SLOW_MOST = 10.0  # times its peers' delay that one answer may count for at most
SLOW_SAMPLES, SLOW_MS = 3.0, 10_000.0  # answers a server's delay is averaged over; how soon that fades
PEER_SAMPLES = 100.0  # answers over which the peers' delay is averaged
EJECT_MS, EJECT_DOUBLINGS = 1_000.0, 5  # first time out for a server that fails; how often it doubles
EJECT_SHARE = 0.5  # of the servers may be out at once for errors
EJECT_ODDS = math.log(30.0)  # log odds from which a server is ejected for its errors
BAD_RATIO, ERROR_FLOOR = 0.5, 0.01  # the share of errors to suspect; the least that peers are taken for
QUOTA_MS = 1_000.0  # of its quota is what a tenant may send at once
TIMEOUT_SHARE = 0.95  # of the time left, for an attempt that another may follow
START = 4.0  # calls a server, at first
RESERVE = 0.15  # of the window is kept for the class of most value
SLICES = 4  # of the fleet, each cut evenly among all copies: few servers, so that a copy sees each often
IDLE_CUT, IDLE_GROWTH = 0.5, 1.03  # of the idle time trusted: after a loss on such a connection, an answer
HOT = 1.0  # calls out a server from which a copy doubles its slices
PATIENCE = 8.0  # times its usual delay: the longest that an attempt is waited for,
HASTE = 4.0  # and that the first is, where another may follow: time enough for it within the aim
HASTE_SHARE = 1.25  # of the aim by which that one's answer is usual; later it is worth little
LOST = 4.0  # times its usual delay: a call out for so long that later ones overtook takes no room any more
COLD_SHARE = 0.5  # of the stated cold budget that all copies together use
ASK_SHARE = 0.1  # of the asking interval: mean wait before asking again after a failure

NEVER_RAN = frozenset((Result.REFUSED, Result.UNREACHABLE, Result.MOOT))


class DelayController:
    """RTDC: holds the delay under the target by the rate of retries, and bounds first sends to a window."""

    def __init__(self) -> None:
        self._kp, self._ki = math.sin(PHASE_MARGIN), math.cos(PHASE_MARGIN)  # equations 40, 41 over nu1
        self.answers, self.failures = Rate(WINDOW_MS), Rate(WINDOW_MS)  # nu1, in answers a second
        self._excess_s = self._aim_s = self._samples = 0.0  # sums over the last samples,
        self._last_ms = math.inf  # and when the last was taken
        # nu10, the answer rate that the gains are tuned to; KI times the integral of the error, a rate; r
        self.tuned_rate = self.integral = self.allowed_rate = 0.0
        self._excess = self._shed = 0.0  # integral for first sends, by nu1; the share of them to shed

    def answered(self, delay_ms: float, aim_ms: float, now: float, served: bool) -> None:
        """Take a delay sample and set r = KP e + KI * integral of e, clamped with its integral."""
        # Its own clock: the window reads the rate too, and the integral once ran on what time was left.
        faded = math.exp(min(0.0, self._last_ms - now) / WINDOW_MS)
        passed_s, self._last_ms = max(0.0, min(now - self._last_ms, WINDOW_MS)) / 1000.0, now
        self.answers.count(served, now)
        self.failures.count(0.0, now)  # so that its clock runs too
        # Old samples fade with time too: a copy that sheds gets few new ones, and went on shedding for these.
        kept = min(1.0 - 1.0 / SAMPLES, faded)
        self._samples = self._samples * kept + 1.0
        self._aim_s = self._aim_s * kept + aim_ms / 1000.0
        self._excess_s = self._excess_s * kept + (TARGET_SHARE * aim_ms - delay_ms) / 1000.0
        rate = self.answers.per_s()
        if not RETUNE_BAND[0] * self.tuned_rate <= rate <= RETUNE_BAND[1] * self.tuned_rate:
            # A copy starts with its retries open; later a retune keeps the share of retries it allows.
            self.integral = self.integral * rate / self.tuned_rate if self.tuned_rate else rate
            self.tuned_rate = rate
        error_s = self._excess_s / max(self._samples, FEW_SAMPLES)  # tau0 - tau2
        kp, ki = self.tuned_rate * self._kp, self.tuned_rate * self._ki
        self.integral = min(max(self.integral + ki * error_s * passed_s, 0.0), self.tuned_rate)
        self.allowed_rate = min(max(kp * error_s + self.integral, 0.0), self.tuned_rate)
        # Equation 49: while the delay stays over the target, the same loop takes from first sends too.
        self._excess = min(max(self._excess * faded - self._ki * error_s * passed_s, 0.0), SHED_MOST)
        self._shed = min(max(self._excess - self._kp * error_s, 0.0), SHED_MOST)

    def shed(self, now: float) -> float:
        """The share of first sends to shed; it fades, as a copy that sheds all sees no answers any more."""
        return self._shed * math.exp(min(0.0, self._last_ms - now) / WINDOW_MS)

    def window(self, part: float, now: float) -> float:
        """How many calls may be outstanding from a copy whose part of the fleet is so many servers."""
        if self.answers.span_s < 1.0:  # sulcast-later overload: unbounded at first, a tier choked at 2 s
            return START * part + self.answers.events
        self.answers.count(0.0, now)
        # i35d8eb: with nothing added it spirals down where the normal delay is over its share of the aim.
        usual = ADDED * part + self.answers.per_s() * WINDOW_SHARE * self._aim_s / self._samples
        return usual + max(0.0, FEW - usual) * self.allowed_rate / (self.tuned_rate or 1.0)

    def retry_probability(self, now: float) -> float:
        """Count a failure; its retry's probability is r over the measured failure rate."""
        self.failures.count(1.0, now)
        return min(1.0, self.allowed_rate / self.failures.per_s()) if self.tuned_rate else 1.0


class Server:
    """What this copy knows of one server."""

    def __init__(self, entry: api.ServerEntry, now: float, rng: random.Random) -> None:
        self.id = entry.server
        self.out: dict[str, tuple[float, float]] = {}  # when each call out was sent, and its aim
        self.alive_ms = -math.inf  # when the latest sent of the calls that it served was sent
        self.turn: float | None = None  # its place in the rotation; None: new to it
        self.queue, self.report_ms = 0.0, now  # requests it last said were waiting there, and when it did
        self.slowness, self.slow_ms = 1.0, now  # its delay over its peers', averaged
        self.shut_ms, self.shuts = -math.inf, 0  # ejected until then; how often in a row
        self.used_ms = now  # when a connection to it was last in use
        self.suspicion = 0.0  # log odds that it fails much more often than its peers
        self.limit = math.inf  # how much it may hold from here, once it has turned an attempt away
        self.budget = Bucket(rng.random(), now)  # while cold; random, as all copies learn of it at once
        self.update(entry)

    def update(self, entry: api.ServerEntry) -> None:
        self.zone, self.cell, self.share = entry.zone, entry.cell, max(entry.share, 0.0)
        self.part = self.share  # of it that is this copy's to use
        self.in_service, self.started_ms = entry.health is Health.IN_SERVICE, entry.started_ms

    @property
    def inflight(self) -> int:
        return len(self.out)

    def warmth(self, now: float, settings: api.Settings) -> float:
        """The share of its capacity that it surely has by now."""
        if self.started_ms is None or not settings.ramp_time_ms:
            return 1.0
        ramp = min(1.0, max(0.0, (now - self.started_ms) / settings.ramp_time_ms))
        return settings.start_capacity + (1.0 - settings.start_capacity) * ramp

    def _slowness_at(self, now: float) -> float:
        return 1.0 + (self.slowness - 1.0) * math.exp((self.slow_ms - now) / SLOW_MS)  # old evidence fades

    def judge(self, ratio: float, now: float) -> None:
        slowness = self._slowness_at(now)
        self.slowness, self.slow_ms = slowness + (min(ratio, SLOW_MOST) - slowness) / SLOW_SAMPLES, now

    def pace(self, now: float, usual_share: float) -> float:
        """What is left of its weight, once it is clearly slower than its peers, or keeps a call waiting."""
        # A silent, hung or choked server shows by the oldest call it holds long before a time-out does. Not
        # by one that later ones overtook: it is the connection that died, or that call alone that is long.
        # sulcast-porto-alegre 3646: two dead connections kept two sound servers of four from work for 6 s. It
        # hides a server that answers few and loses the rest, until these time out.
        sent_ms, aim_ms = next((call for call in self.out.values() if call[0] >= self.alive_ms), (now, 1.0))
        overdue = (now - sent_ms) / (usual_share * aim_ms) / OVERDUE if usual_share else 0.0
        queue = self.queue * math.exp((self.report_ms - now) / REPORT_MS)
        slowness = max(self._slowness_at(now), overdue, SLOW_FROM)
        return math.pow(SLOW_FROM / slowness, SLOW_POWER) / (1.0 + queue) ** 3

    def lost(self, now: float, usual_share: float) -> int:
        """How many of its calls out it can't be working on, as far as can be told."""
        return sum(
            sent_ms < self.alive_ms and now - sent_ms > LOST * usual_share * aim_ms
            for sent_ms, aim_ms in self.out.values()
        )

    def eject(self, now: float, rng: random.Random) -> None:
        """Keep away for a while, longer each time in a row, with jitter; it then returns by itself."""
        if now >= self.shut_ms:
            self.shut_ms = now + EJECT_MS * 2.0 ** min(self.shuts, EJECT_DOUBLINGS) * (0.5 + rng.random())
            self.shuts += 1

    def group(self, group: Group) -> str | int | None:
        """The group that drops repeats here, as a value to compare; None where all do."""
        return self.zone if group is Group.ZONE else self.cell if group is Group.CELL else None


class Rotation:
    """Smooth weighted rotation: all gain their weight, the one furthest ahead is picked and pays."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._total = 0.0

    def pick(self, servers: Iterable[tuple[Server, float]]) -> Server | None:
        """The next server among those that are ready, each with its weight."""
        best: Server | None = None
        total = furthest = 0.0
        for server, weight in servers:
            total += weight
            if server.turn is None:  # a random place in the round, so that copies don't go round in step
                server.turn = -self._rng.random() * max(weight, self._total)
            server.turn += weight
            if best is None or server.turn > furthest:
                best, furthest = server, server.turn
        if best is not None:
            best.turn, self._total = furthest - total, total
        return best


class Fleet:
    """The server list as last heard, and this copy's part of it."""

    def __init__(self, settings: api.Settings, rng: random.Random) -> None:
        self._number, self._nodes, self._rng = settings.number, settings.nodes, rng
        self.servers: dict[int, Server] = {}
        self.ready: list[Server] = []  # those in service that are this copy's to use
        self.slices, self.slice = SLICES, 0.0  # how many it has, and how many servers one is worth

    def apply(self, news: api.ServerList, now: float) -> None:
        """Take changes, or a whole list that replaces the old one."""
        kept = {entry.server for entry in news.entries} if news.kind is not ListKind.CHANGES else self.servers
        self.servers = {id: server for id, server in self.servers.items() if id in kept}
        for entry in news.entries:
            if entry.health is Health.GONE:
                self.servers.pop(entry.server, None)
            elif entry.server in self.servers:
                self.servers[entry.server].update(entry)
            else:
                self.servers[entry.server] = Server(entry, now, self._rng)
        self.cut(SLICES)

    def group(self, call: Call) -> list[Server]:  # all that a keyed call which may have run can still go to
        return [s for s in self.servers.values() if s.in_service and s.group(call.cls.group) == call.pin]

    def cut(self, slices: int) -> None:
        """Use so many slices: many copies going round all servers need more connections than they accept."""
        shares = {server.id: server.share for server in self.servers.values() if server.in_service}
        self.slices, self.slice = slices, len(shares) / self._nodes
        parts = subset.parts(shares, self._number, self._nodes, slices)
        self.ready = [self.servers[id] for id, part in parts.items() if part]
        for server in self.ready:
            server.part = parts[server.id]


class Call:
    """A request that is owed an answer."""

    def __init__(self, event: api.Request, cls: api.RequestClass, now: float) -> None:
        self.id, self.cls, self.over_share = event.id, cls, False
        self.arrived_ms, self.ends_ms = now, now + event.ttl_ms
        self.attempts, self.out, self.sent_ms = 0, False, now  # whether one is out, and since when,
        self.idle_ms = 0.0  # on a connection that had idled for so long
        self.held, self.token = False, 0  # waits for room; the timer it waits for
        self.last: Server | None = None
        self.ran_ms: float | None = None  # when the first attempt that may have run was sent
        self.pin: str | int | None = None  # and the group that it went to


class Balancer:
    """One copy's decisions: feed it events, do what it says."""

    def __init__(self, settings: api.Settings, salt: int) -> None:
        self.settings = settings
        self.classes = {cls.name: cls for cls in settings.classes}
        self._rng = random.Random(salt)
        self.controller = DelayController()
        self.inflight, self._weight = 0, 0.0  # attempts out; weight of all ready servers
        self._errors = self._share = self._seen = 0.0  # recent errors; mean delay over its aim, of how many
        self._held: dict[tuple[str, bool], deque[Call]] = {}  # first sends that wait for the window
        self.record = ClassRecord(settings.classes, PEER_SAMPLES)
        self.rotation = Rotation(self._rng)
        self.fleet = Fleet(settings, self._rng)
        self._quotas: dict[str | None, tuple[float, Bucket]] = {  # this copy's part of each tenant's
            t.name: (t.quota_per_s / settings.nodes / 1000.0, Bucket(math.inf, 0.0)) for t in settings.tenants
            if t.quota_per_s}  # fmt: skip
        # A tick to spare at both edges of the window that the budget of attempts is counted over.
        self._taken = SlidingCount(settings.resend_span_ms - settings.tick_ms)
        self._further = SlidingCount(settings.resend_span_ms + settings.tick_ms)
        self._never_ran = NEVER_RAN - ({Result.REFUSED} if settings.full_may_have_run else set())
        self._calls: dict[str, Call] = {}
        self._waiting: dict[int, Call] = {}  # by timer token
        self._idle_ms = self._lost_ms = math.inf  # idle time from which a connection is closed; last loss
        self._token = 0  # that of the last timer; 0 itself is the one to ask for the list
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Take one event; what to do about it."""
        self._actions = []
        match event:
            case api.Request(): self._on_request(event, now_ms)
            case api.AttemptEnded(): self._on_ended(event, now_ms)
            case api.TimerFired(): self._on_timer(event, now_ms)
            case api.ServerList(): self._on_list(event, now_ms)
            case api.ClientGone(): self._calls.pop(event.id, None)
            case api.Started() if self.settings.follow_list: self._actions.append(api.Subscribe())
        return self._actions

    def _on_request(self, event: api.Request, now: float) -> None:
        call = self._calls[event.id] = Call(event, self.classes[event.cls], now)
        self.record.asked(event.cls)
        self._taken.add(now)
        if event.tenant in self._quotas:
            per_ms, bucket = self._quotas[event.tenant]
            call.over_share = not bucket.take(per_ms, max(1.0, QUOTA_MS * per_ms), now)
        if self._shed(call, now): return self._end(call)
        self._attempt(call, now)

    def _attempt(self, call: Call, now: float) -> None:
        crowded = self._crowded(call, now)
        server = None if crowded else self.rotation.pick(self._candidates(call, now))
        if crowded or (server is None and call.ran_ms is None and self.fleet.ready):
            self._hold(call, now)
        elif server is None or not self._send(call, server, now):
            self._wait_or_end(call, now)

    def _shed(self, call: Call, now: float) -> bool:
        """Whether the loop has this call shed: it takes its share from those of least value first."""
        shed = 0.0 if self.settings.tier else self.controller.shed(now)
        if not shed: return False  # deeper, a refusal wastes work done above
        values = {name: self._value(name, False) for name in self.classes}
        own = self._value(call.cls.name, call.over_share)
        less = sum(self.record.mix[name] for name, value in values.items() if value < own)
        return self._rng.random() * self.record.mix[call.cls.name] < shed - less

    def _crowded(self, call: Call, now: float) -> bool:
        """Whether the clients' tier has as many calls outstanding as the delay target bears."""
        room = self.controller.window(self.fleet.slice, now)
        if self.settings.tier or self.inflight < (1.0 - RESERVE) * room:
            return False  # deeper, a refusal wastes work done above
        # sulcast-porto-alegre silent+leave+brisk 12: of a window of 8 two stood on connections that had died.
        # It lets in a few too many where a class has far longer calls than the rest of them.
        lost = sum(server.lost(now, self._share) for server in self.fleet.ready)
        best = max(self._value(name, False) for name in self.classes)
        full = self.inflight - lost >= (1.0 - RESERVE) * room
        return full and (self.inflight - lost >= room or self._value(call.cls.name, call.over_share) < best)

    def _hold(self, call: Call, now: float) -> None:
        """Keep a call back while an answer within its aim is still possible."""
        share = HOLD_SHARES[self.settings.tier > 0]
        patience = min(call.arrived_ms + share * call.cls.aim_ms, call.ends_ms) - now
        if patience <= 2.0 * self.settings.tick_ms: return self._end(call)
        self._held.setdefault((call.cls.name, call.over_share), deque()).append(call)
        call.held = True
        self._set_timer(call, patience - 2.0 * self.settings.tick_ms)

    def _release(self, now: float) -> None:
        """Send held calls as room comes up, those of most worth first."""
        values = {key: self._value(*key) for key, queue in self._held.items() if queue}
        for key in sorted(values, key=values.__getitem__, reverse=True):
            while queue := self._held[key]:
                call = queue[0]
                if call.held and call.id in self._calls:
                    crowded = self._crowded(call, now)
                    server = None if crowded else self.rotation.pick(self._candidates(call, now))
                    if server is None:
                        break
                    call.held, call.token = False, 0
                    if not self._send(call, server, now):
                        self._wait_or_end(call, now)
                queue.popleft()

    def _value(self, name: str, over_share: bool) -> float:
        """What an answer to a class is worth to the operators, for the time that it takes."""
        worth = self.record.worth[name] / self.record.mean_worth()
        if self.record.in_time[name] <= self.record.worst():  # strict order of worth would starve it
            worth += self.settings.worst_class / self.record.mix[name]
        worth *= self.settings.over_share_worth if over_share else 1.0  # a flooding tenant waits behind
        return worth / max(1.0, self.record.delay_ms[name] or self._share * self.classes[name].aim_ms)

    def _candidates(self, call: Call, now: float) -> list[tuple[Server, float]]:
        """The servers that may get the call's next attempt, with their weights."""
        found: list[tuple[Server, float]] = []
        crowded, total = found[:], 0.0
        fair = CROWD * self.inflight / self._weight if self._weight else math.inf
        for server in self.fleet.ready if call.ran_ms is None else self.fleet.group(call):
            weight = server.part
            if server.started_ms is not None:
                warmth = server.warmth(now, self.settings)
                if warmth < 1.0 and self._cold_budget(server, warmth, now) < 1.0:
                    continue
                weight *= warmth
            weight *= server.pace(now, self._share)
            total += weight
            # A slow or stuck server shows first by what it holds: passed over till its peers hold alike.
            room = server.inflight < min(server.limit, 1.0 + fair * weight)
            (found if room and now >= server.shut_ms else crowded).append((server, weight))
        self._weight = total if call.ran_ms is None else self._weight
        found = found or [(server, weight) for server, weight in crowded if server.inflight < server.limit]
        if call.last is not None and len(found) > 1:  # elsewhere than last time, where there is a choice
            found = [(server, weight) for server, weight in found if server is not call.last]
        return found

    def _cold_budget(self, server: Server, warmth: float, now: float) -> float:
        """This copy's part of a cold server's budget, in attempts; its capacity is guessed from its peers."""
        bearable = self.controller.answers.per_s() * server.part / max(self._weight, server.part) / 1000.0
        per_ms = COLD_SHARE * self.settings.overload_factor * warmth * bearable
        return server.budget.refill(per_ms, max(1.0, per_ms * self.settings.overload_for_ms), now)

    def _send(self, call: Call, server: Server, now: float) -> bool:
        """The one gate that every send passes: rules 1 to 6."""
        cls, left = call.cls, call.ends_ms - now
        if call.id not in self._calls or call.out or left <= self.settings.tick_ms: return False  # rule 1
        if call.attempts >= self.settings.max_attempts or not self._repeatable(call, now): return False
        if call.ran_ms is not None and server.group(cls.group) != call.pin: return False  # rule 2
        if not server.in_service or self.fleet.servers.get(server.id) is not server: return False  # rule 3
        if call.attempts and not self._in_budget(now): return False  # rule 5
        warmth = server.warmth(now, self.settings)
        if warmth < 1.0:
            if self._cold_budget(server, warmth, now) < 1.0:
                return False  # rule 4
            server.budget.tokens -= 1.0
        if call.attempts: self._further.add(now)
        call.attempts += 1
        call.out, call.last, call.sent_ms = True, server, now
        self.inflight += 1
        if self.inflight > HOT * len(self.fleet.ready) and self.fleet.slices < self.settings.nodes:
            self.fleet.cut(2 * self.fleet.slices)  # a hot caller needs more of the fleet
        call.idle_ms = 0.0 if server.out else now - server.used_ms
        if call.idle_ms > self._idle_ms:  # Rosario fresh-big: what is sent on a dropped connection is lost
            self._actions.append(api.CloseIdle(server.id))
            call.idle_ms = 0.0
        server.out[call.id] = now, cls.aim_ms
        once = cls.repeat is Repeat.UNSAFE  # on a fresh connection: a loss could not be made good
        wait = left if once or call.attempts == self.settings.max_attempts else TIMEOUT_SHARE * left
        # i2750ee: calls to a lost zone that wait out a whole deadline fill the slots of the tier above.
        # Only where a second attempt can still be answered within the aim: in churn+long a slow tier's calls
        # were cut for one that met a full window, and ended.
        soon = call.attempts == 1 and not once and (HASTE + 1.0) * self._share <= HASTE_SHARE
        patience = HASTE if soon else PATIENCE
        most = patience * self._share * cls.aim_ms if self._seen >= SAMPLES else left
        self._actions.append(api.Send(call.id, server.id, min(most, wait), once))
        return True

    def _in_budget(self, now: float) -> bool:
        """Whether the stated budget of attempts beyond the first bears one more now."""
        ratio, taken = self.settings.repeat_ratio, self._taken.count(now)
        return ratio is None or self._further.count(now) + 1 <= self.settings.extra_floor + ratio * taken

    def _repeatable(self, call: Call, now: float) -> bool:
        """Whether the class lets the call go out (again)."""
        if call.ran_ms is None or call.cls.repeat is Repeat.SAFE:
            return True
        window_ms = call.cls.window_ms - self.settings.tick_ms
        return call.cls.repeat is Repeat.KEYED and now - call.ran_ms < window_ms

    def _back_off(self, call: Call) -> float:  # before a retry, or before the caller's own next try
        base = min(RETRY_WAIT_MS, RETRY_WAIT_SHARE * call.cls.aim_ms)
        return base * 2.0 ** max(0, call.attempts - 1)

    def _wait_or_end(self, call: Call, now: float, waited_ms: float = 0.0) -> None:
        """Wait for the next attempt with a doubling back-off, where one can still be made in time."""
        wait = max(0.0, self._back_off(call) * (0.5 + self._rng.random()) - waited_ms)
        starts = now + wait + 2.0 * self.settings.tick_ms
        more = call.attempts < self.settings.max_attempts and self._repeatable(call, starts)
        if starts < call.ends_ms and more:
            self._set_timer(call, wait)
        else:
            self._end(call)

    def _end(self, call: Call) -> None:
        """The one way to end a request unserved: refused where a repeat is harmless, else failed."""
        if self._calls.pop(call.id, None):
            self.record.ended(call.cls.name, False)
            everywhere = call.cls.repeat is Repeat.KEYED and call.cls.group is Group.ALL
            harmless = not call.out and (call.ran_ms is None or everywhere or call.cls.repeat is Repeat.SAFE)
            self._actions.append(api.Refuse(call.id, self._back_off(call)) if harmless else api.Fail(call.id))

    def _set_timer(self, call: Call, delay_ms: float) -> None:
        self._token = call.token = self._token + 1
        self._waiting[call.token] = call
        self._actions.append(api.SetTimer(self._token, delay_ms))

    def _on_ended(self, event: api.AttemptEnded, now: float) -> None:
        call, server = self._calls.get(event.id), self.fleet.servers.get(event.server)
        self.inflight -= 1
        if server is not None:
            if event.report:
                server.queue, server.report_ms = event.report.get("queue", 0.0), now
            # None: sent before the server left the list and came back, as one of which nothing is known.
            sent = server.out.pop(event.id, None)
            server.used_ms = now
            if call is not None and call.idle_ms: self._judge_idle(call.idle_ms, event.result)
            self._learn(server, event.result, now)
            if sent is not None: self._measure(server, *sent, event, now)
        if call is not None and event.settled:
            del self._calls[event.id]
            self.record.ended(call.cls.name, now - call.arrived_ms <= call.cls.aim_ms)
            self.record.answered(call.cls.name, event.duration_ms)
        elif call is not None:
            call.out = False
            if call.ran_ms is None and call.last and event.result not in self._never_ran:
                call.ran_ms, call.pin = call.sent_ms, call.last.group(call.cls.group)
            if self._rng.random() < self.controller.retry_probability(now):
                # As the paper's timer runs from the send, a time-out has been waited for already.
                timed_out = event.result is Result.TIMEOUT
                self._wait_or_end(call, now, event.duration_ms if timed_out else 0.0)
            else:
                self._end(call)
        self._release(now)

    def _measure(
        self, server: Server, sent_ms: float, aim_ms: float, event: api.AttemptEnded, now: float
    ) -> None:
        """What an outcome tells of the delay, also if nobody waits for the answer any more.

        Callers that leave early leave what takes long: without theirs, delay and answer rate come out low.
        """
        if event.result in (Result.SERVED, Result.TIMEOUT):
            share = event.duration_ms / aim_ms
            self._seen = min(self._seen + 1.0, PEER_SAMPLES)
            self._share += (share - self._share) / self._seen
            served = event.result is Result.SERVED
            if self._share and (served or sent_ms >= server.alive_ms):
                server.judge(share / self._share, now)
            if served: server.alive_ms = max(server.alive_ms, sent_ms)
            self.controller.answered(event.duration_ms, aim_ms, now, served)
        elif event.result is Result.REFUSED:  # full is as slow as a server gets
            self.controller.answered(aim_ms, aim_ms, now, False)

    def _judge_idle(self, idle_ms: float, result: Result) -> None:
        """Two losses on idled connections, none served that idled as long: close such before use."""
        if result in (Result.TIMEOUT, Result.RESET):
            self._idle_ms = min(self._idle_ms, IDLE_CUT * max(idle_ms, self._lost_ms))
            self._lost_ms = min(self._lost_ms, idle_ms)
        elif result is Result.SERVED:
            self._idle_ms *= IDLE_GROWTH
            self._lost_ms = math.inf if idle_ms >= self._lost_ms else self._lost_ms

    def _learn(self, server: Server, result: Result, now: float) -> None:
        """What an outcome tells of the server's health."""
        if result in (Result.REFUSED, Result.UNREACHABLE):
            server.limit = max(1.0, min(server.limit, float(server.inflight)) * LIMIT_CUT)
            if result is Result.UNREACHABLE and not server.inflight:  # down, or out of connections
                server.eject(now, self._rng)
        elif result is Result.SERVED: server.limit += 1.0 / server.limit
        if result not in (Result.SERVED, Result.ERROR, Result.RESET):
            return
        bad = result is not Result.SERVED
        # Fast errors look like low delay: weigh failing half its calls against failing like its peers.
        peers = max(ERROR_FLOOR, min(self._errors, BAD_RATIO))
        self._errors += (bad - self._errors) / PEER_SAMPLES
        step = math.log(BAD_RATIO / peers) if bad else math.log((1.0 - BAD_RATIO) / (1.0 - peers))
        server.suspicion = max(0.0, server.suspicion + step)
        if server.suspicion >= EJECT_ODDS:
            if sum(now < other.shut_ms for other in self.fleet.ready) < EJECT_SHARE * len(self.fleet.ready):
                server.eject(now, self._rng)
            server.suspicion = EJECT_ODDS / 2.0  # on its return it is on probation
        elif not server.suspicion: server.shuts = 0

    def _on_timer(self, event: api.TimerFired, now: float) -> None:
        if event.token == 0:
            self._actions.append(api.Subscribe())
        call = self._waiting.pop(event.token, None)
        if call and call.token == event.token and call.id in self._calls:
            (self._end(call) if call.held else self._attempt(call, now))

    def _on_list(self, event: api.ServerList, now: float) -> None:
        if event.kind is ListKind.FAILED:  # ask again, not in step with the others
            wait = ASK_SHARE * self.settings.ask_every_ms * (0.5 + self._rng.random())
            return self._actions.append(api.SetTimer(0, wait))
        self.fleet.apply(event, now)
        self._release(now)
