"""Every decision of nickelbridge. Its settings, events and actions are in nickelbridge/interface.py.

Retries are admitted with the probability that RTDC's PI loop allows (Hong, Huang and Yan, section V.B);
first sends follow a smooth weighted rotation. docs/design.md says what is kept, changed and why."""

from __future__ import annotations

import heapq
import itertools
import math
import random
from collections import deque
from collections.abc import Callable

from nickelbridge import interface as api
from nickelbridge.averages import ClassRecord, Rate, SlidingCount
from nickelbridge.bag import Bag
from nickelbridge.bucket import Bucket
from nickelbridge.chain import Chain, Why
from nickelbridge.interface import Group, Health, ListKind, Repeat, Result
from nickelbridge.schedule import Lot, Member, Schedule
from nickelbridge.subset import Slices

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
NOISE_MS = 1.0  # of a delay says nothing of a server: where peers take 0.5 ms, 1 ms is not slow
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
PATIENT_MS = 50.0  # the least that an attempt is waited for: where answers take 1 ms, a hiccup takes 10
HASTE_SHARE = 1.25  # of the aim by which that one's answer is usual; later it is worth little
LOST = 4.0  # times its usual delay: a call out for so long that later ones overtook takes no room any more
REVIEWS = 4.0  # servers whose weight changes by itself that are looked at anew with a request, at most,
LIKE = 0.03  # of a weight: a change up to this is left for later
REVIEWS_PER_MS = 1.0  # and how many passing time allows: the same evidence fades for however many requests
AGAIN_AMONG = 16  # servers of a group, drawn where it has more, among which one is picked for another attempt
GUESTS = 256  # servers beyond its own part that a copy remembers, as retries went there
STEP, PARTS_STEP = 64, 128  # changes of the list, and servers, that one event works off of a long list
NARROW_MOST = 1_000  # servers up to which a list change brings a copy back to its first slices
BULK = 0.125  # of all members: a change of more than this cuts the slices anew, in steps
CUT_MOST = 20_000  # members that one event may put in order
COLD_CHECK_MS = 10.0  # how soon a cold server without budget is looked at again
COLD_SHARE = 0.5  # of the stated cold budget that all copies together use
WORK_TOKEN = 1  # of the timer for the rest of a long list
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
        kept = faded if faded < 1.0 - 1.0 / SAMPLES else 1.0 - 1.0 / SAMPLES
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

    __slots__ = (
        "alive_ms", "budget", "cell", "counted", "ejected", "enlisted", "id", "in_service", "late",
        "limit", "lost", "member", "out", "parked", "part", "queue", "report_ms", "share", "shut_ms",
        "shuts", "slow_ms", "slowness", "started_ms", "suspicion", "used_ms", "varies", "wake_ms",
        "zone",
    )  # fmt: skip

    def __init__(self, entry: api.ServerEntry, now: float, rng: random.Random, order: int) -> None:
        self.id = entry.server
        self.out: dict[str, tuple[float, float]] = {}  # when each call out was sent, and its aim
        self.alive_ms = -math.inf  # when the latest sent of the calls that it served was sent
        self.late: dict[str, float] = {}  # calls out for LOST times the usual, which none overtook so far
        self.lost: set[str] = set()  # and those that later ones did
        self.member: Member[Server] = Member(self, order)  # its place in the rotation
        self.member.due = rng.random()  # a random one in the round, so that copies don't go round in step
        self.parked = 0  # which entry of the heap of crowded ones is its own
        self.wake_ms = math.inf  # when it is to be looked at again
        self.enlisted = False  # it is this copy's to use: in the rotation, or kept out of it for a while
        self.varies = self.ejected = False  # its weight changes by itself; it is counted as out for errors
        self.counted = 0.0  # what it adds to the weight of all
        self.queue, self.report_ms = 0.0, now  # requests it last said were waiting there, and when it did
        self.slowness, self.slow_ms = 1.0, now  # its delay over its peers', averaged
        self.shut_ms, self.shuts = -math.inf, 0  # ejected until then; how often in a row
        self.used_ms = now  # when a connection to it was last in use
        self.suspicion = 0.0  # log odds that it fails much more often than its peers
        self.limit = math.inf  # how much it may hold from here, once it has turned an attempt away
        self.budget = Bucket(rng.random(), now)  # while cold; random, as all copies learn of it at once
        self.part = 0.0  # of it that is this copy's to use
        self.update(entry)

    def update(self, entry: api.ServerEntry) -> None:
        self.zone, self.cell, self.share = entry.zone, entry.cell, max(entry.share, 0.0)
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
        slowness = self._slowness_at(now) if self.slowness > SLOW_FROM else SLOW_FROM
        if usual_share:
            for sent_ms, aim_ms in self.out.values():
                if sent_ms >= self.alive_ms:
                    slowness = max(slowness, (now - sent_ms) / (usual_share * aim_ms + NOISE_MS) / OVERDUE)
                    break
        pace = math.pow(SLOW_FROM / slowness, SLOW_POWER) if slowness > SLOW_FROM else 1.0
        if not self.queue: return pace
        return pace / (1.0 + self.queue * math.exp((self.report_ms - now) / REPORT_MS)) ** 3

    def eject(self, now: float, rng: random.Random) -> None:
        """Keep away for a while, longer each time in a row, with jitter; it then returns by itself."""
        if now >= self.shut_ms:
            self.shut_ms = now + EJECT_MS * 2.0 ** min(self.shuts, EJECT_DOUBLINGS) * (0.5 + rng.random())
            self.shuts += 1

    def group(self, group: Group) -> str | int | None:
        """The group that drops repeats here, as a value to compare; None where all do."""
        return self.zone if group is Group.ZONE else self.cell if group is Group.CELL else None


class Fleet:
    """The server list as last heard, and this copy's part of it; a change costs what it changes.

    `moved` is told of each server whose part of this copy's changed, to 0 as well. A long list is worked off
    in steps; what drains or is gone counts at once.
    """

    def __init__(self, settings: api.Settings, rng: random.Random, moved: Callable[[Server], None]) -> None:
        self._nodes, self._rng, self._moved = settings.nodes, rng, moved
        self.entries: dict[int, api.ServerEntry] = {}  # all that are listed
        self.servers: dict[int, Server] = {}  # those of which something is known
        self.ready: dict[int, Server] = {}  # those in service that are this copy's to use
        self.usable = Bag()  # all that are in service
        self._groups: dict[Group, dict[str | int | None, Bag]] = {}
        self.regroup(settings)
        self.slices, self._target = Slices(settings.number, settings.nodes), SLICES
        self.slices.widen(SLICES)
        self._order = 0
        self._bulk = False  # so much has changed that the slices are cut anew
        self._changed: dict[int, None] = {}  # members that the slices have not been told of
        self._parts: dict[int, float] = {}  # parts that their servers have not been told of

    @property
    def slice(self) -> float:  # how many servers one slice is worth
        return len(self.usable) / self._nodes

    def apply(self, news: api.ServerList) -> None:
        """Take changes, or a whole list that replaces the old one; `work` does the rest."""
        if news.kind is not ListKind.CHANGES:
            listed = {entry.server for entry in news.entries}
            for id in [id for id in self.entries if id not in listed]:
                self._take(id, None)
        for entry in news.entries:
            self._take(entry.server, None if entry.health is Health.GONE else entry)
        # Where this copy takes all of every member nothing is cut, and one change costs next to nothing.
        if len(self._changed) > max(STEP, BULK * len(self.slices.shares)) and not self.slices.whole:
            self._bulk = True
        if self._target > SLICES and len(self.usable) <= NARROW_MOST:
            self._target = SLICES
            self._parts.update(self.slices.widen(SLICES))

    def _take(self, id: int, entry: api.ServerEntry | None) -> None:
        """One server is listed so from now on, or no more."""
        old = self.entries.get(id)
        if entry == old: return
        now = entry is not None and entry.health is Health.IN_SERVICE
        if old is not None and old.health is Health.IN_SERVICE: self._group(old, False)
        if entry is None:
            del self.entries[id]
            server = self.servers.pop(id, None)
            if server is not None: server.in_service = False
        else:
            self.entries[id] = entry
            server = self.servers.get(id)
            if server is not None: server.update(entry)
            if now: self._group(entry, True)
        if id in self.ready:
            if not now: self.ready.pop(id).part = 0.0
            if server is not None: self._moved(server)
        self._changed[id] = None

    def regroup(self, settings: api.Settings) -> None:
        """Keep the groups that these classes need; a new kind is made from all that are in service."""
        kinds = {cls.group for cls in settings.classes if cls.repeat is Repeat.KEYED}
        for kind in (Group.ZONE, Group.CELL):
            if kind in kinds and kind not in self._groups:
                values = self._groups[kind] = {}
                for id in self.usable.items:
                    entry = self.entries[id]
                    values.setdefault(entry.zone if kind is Group.ZONE else entry.cell, Bag()).add(id)

    def _group(self, entry: api.ServerEntry, comes: bool) -> None:
        bags = [self.usable]
        for kind, values in self._groups.items():
            value = entry.zone if kind is Group.ZONE else entry.cell
            bags.append(values.setdefault(value, Bag()))
            if not comes and len(values[value]) == 1:
                del values[value]
        for bag in bags:
            (bag.add if comes else bag.remove)(entry.server)

    def work(self, now: float) -> bool:
        """Work off a step of what has changed; whether more is left."""
        if self._bulk:
            self._bulk = False
            self._changed.clear()
            self._parts.clear()
            self._target = SLICES
            shares = {id: max(self.entries[id].share, 0.0) for id in self.usable.items}
            self.slices.reset(shares, min(SLICES, self._most_orders()))
            held = {id: server.part for id, server in self.ready.items()}
            self._parts.update((id, 0.0) for id in held if id not in self.slices.parts)
            self._parts.update((id, part) for id, part in self.slices.parts.items() if held.get(id) != part)
        elif self.slices.slices < min(self._target, self._nodes):
            more = min(self._target, self.slices.slices + self._most_orders())
            self._parts.update(self.slices.widen(more))
        elif self._changed:
            for id in list(itertools.islice(self._changed, PARTS_STEP if self.slices.whole else STEP)):
                del self._changed[id]
                self._parts.update(self.slices.change(id, self._share(id)))
                # It left and came back before the slices were told of either: its part is as it was.
                if id not in self.ready and id in self.slices.parts: self._parts[id] = self.slices.parts[id]
        for id in list(itertools.islice(self._parts, PARTS_STEP)):
            self._own(id, self._parts.pop(id), now)
        return bool(self._changed or self._parts or self.slices.slices < min(self._target, self._nodes))

    def _most_orders(self) -> int:  # that are cut at once: sorting 10,000 takes some milliseconds
        return max(1, CUT_MOST // max(1, len(self.usable)))

    def widen(self) -> None:
        """Use twice the slices: a hot caller needs more of the fleet.

        Not more, as many copies going round all servers need more connections than they accept.
        """
        self._target = min(2 * self.slices.slices, self._nodes)

    def may_widen(self) -> bool:
        return self.slices.slices == self._target < self._nodes

    def _share(self, id: int) -> float | None:
        entry = self.entries.get(id)
        return max(entry.share, 0.0) if entry is not None and entry.health is Health.IN_SERVICE else None

    def _own(self, id: int, part: float, now: float) -> None:
        """A server's part of this copy's has changed."""
        if part > 0.0 and self._share(id) is not None:
            server = self.ready[id] = self.know(id, now)
            server.part = part
            self._moved(server)
        elif (gone := self.ready.pop(id, None)) is not None:
            gone.part = 0.0
            self._moved(gone)

    def know(self, id: int, now: float) -> Server:
        """What is known of a listed server; also of one that is another copy's, where a retry can go too."""
        server = self.servers.get(id)
        if server is None:
            if len(self.servers) > len(self.ready) + GUESTS:
                idle = (s for s in self.servers.values() if s.id not in self.ready and not s.out)
                if (oldest := next(idle, None)) is not None: del self.servers[oldest.id]
            self._order += 1
            server = self.servers[id] = Server(self.entries[id], now, self._rng, self._order)
        return server

    def again(self, call: Call) -> list[int]:
        """Where a call that may have run can still go to; of a large group some, drawn by chance."""
        bag = self._groups.get(call.cls.group, {}).get(call.pin) if call.pin is not None else self.usable
        if bag is None: return []
        return bag.items if len(bag) <= AGAIN_AMONG else self._rng.sample(bag.items, AGAIN_AMONG)


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
        self.weight = 1.0  # its worth as it came down the chain, over its class's
        self.upload = event.upload  # its body is still coming: no server works on it before the last byte


class Balancer:
    """One copy's decisions: feed it events, do what it says."""

    def __init__(self, settings: api.Settings, salt: int, chain: Chain | None = None) -> None:
        self.settings, self.chain = settings, chain
        self.classes = {cls.name: cls for cls in settings.classes}
        self._aims = {cls.name: cls.aim_ms for cls in settings.classes}  # of classes that went too
        self._rng = random.Random(salt)
        self.controller = DelayController()
        self.inflight, self._weight = 0, 0.0  # attempts out; weight of all ready servers, by difference
        self._lost = 0  # calls out that their servers can't be working on, by difference
        self._ejected = 0  # ready servers that are out for errors
        self._errors = self._share = self._seen = 0.0  # recent errors; mean delay over its aim, of how many
        self._held: dict[tuple[str, bool, float], deque[Call]] = {}  # first sends that wait for the window
        # Deeper a refusal wastes work done above, unless it is known what that work was for.
        self._spares = settings.tier > 0 and not (chain is not None and chain.limits.shed)
        self._heaviest = 1.0  # weight of calls lately
        self.record = ClassRecord(settings.classes, PEER_SAMPLES)
        self.schedule: Schedule[Server] = Schedule()
        self.fleet = Fleet(settings, self._rng, self._moved)
        self._varying: dict[int, Server] = {}  # whose weight changes by itself, in turn
        self._reviews, self._review_ms = 0.0, 0.0  # of them that may be made, and as of when
        self._wakes: list[tuple[float, int, Server]] = []  # who is to be looked at again, and when
        self._parked: list[tuple[float, int, int, Server]] = []  # who is crowded, and until what fair part
        # Calls out by class in order of time: those within the usual, and those beyond it.
        self._fresh: dict[str, deque[tuple[float, str, Server]]] = {name: deque() for name in self.classes}
        self._stale: dict[str, deque[tuple[float, str, Server]]] = {name: deque() for name in self.classes}
        self._look_ms = -math.inf  # before then none of these can be due
        self._working = False  # a timer is out for the rest of a long list
        self._now = 0.0  # of the event at hand
        self._quotas: dict[str | None, tuple[float, Bucket]] = {}  # this copy's part of each tenant's
        self._set_quotas(settings)
        # A tick to spare at both edges of the window that the budget of attempts is counted over.
        self._taken = SlidingCount(settings.resend_span_ms - settings.tick_ms)
        self._further = SlidingCount(settings.resend_span_ms + settings.tick_ms)
        self._never_ran = NEVER_RAN - ({Result.REFUSED} if settings.full_may_have_run else set())
        self._calls: dict[str, Call] = {}
        self._uploads: set[str] = set()  # those of which an attempt is out that no server has whole
        self._waiting: dict[int, Call] = {}  # by timer token
        self._idle_ms = self._lost_ms = math.inf  # idle time from which a connection is closed; last loss
        self._token = WORK_TOKEN  # that of the last timer; 0 is the one to ask for the list
        self._actions: list[api.Action] = []

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Take one event; what to do about it."""
        self._actions = []
        self._now = now_ms
        self._refresh(now_ms, isinstance(event, api.Request))
        match event:
            case api.Request(): self._on_request(event, now_ms)
            case api.AttemptEnded(): self._on_ended(event, now_ms)
            case api.Uploaded(): self._on_uploaded(event, now_ms)
            case api.TimerFired(): self._on_timer(event, now_ms)
            case api.ServerList(): self._on_list(event, now_ms)
            case api.ClientGone():
                gone = self._calls.pop(event.id, None)
                if self.chain is not None: self._abandon(event.id, gone)
            case api.NewSettings(): self._on_settings(event.settings)
            case api.Started() if self.settings.follow_list: self._actions.append(api.Subscribe())
        return self._actions

    def _on_settings(self, new: api.Settings) -> None:
        """Other settings: no request, attempt or learned weight goes with the old ones.

        Calls keep the class that they came under: a key's window is the one of when it was taken.
        """
        old, self.settings = self.settings, new
        named = {cls.name: cls for cls in new.classes}
        for name in [name for name in self.classes if name not in named]: del self.classes[name]
        self.classes |= named
        self._aims |= {cls.name: cls.aim_ms for cls in new.classes}
        for name in named:
            self._fresh.setdefault(name, deque())
            self._stale.setdefault(name, deque())
        self.record.change(new.classes)
        self._set_quotas(new)
        self.fleet.regroup(new)
        if (old.ramp_time_ms, old.start_capacity) != (new.ramp_time_ms, new.start_capacity):
            for server in self.fleet.ready.values():  # the gate keeps rule 4; this its weight in the rotation
                if server.started_ms is not None: self._weigh(server)
        self._release(self._now)

    def _abandon(self, id: str, call: Call | None) -> None:
        """Nobody waits: what is out below is told, so that it does no work for nothing down the chain.

        But an unsafe call is let run, as it may have begun: half of it would be worse than all.
        """
        if self.chain is not None: self.chain.done(id)
        if call is None or not call.out or not self.settings.can_cancel: return
        if call.cls.repeat is not Repeat.UNSAFE:
            self._actions.append(api.Cancel(id, call.attempts - 1))

    def _set_quotas(self, settings: api.Settings) -> None:
        had, self._quotas = self._quotas, {}
        for t in settings.tenants:
            if t.quota_per_s:
                bucket = had[t.name][1] if t.name in had else Bucket(math.inf, 0.0)
                self._quotas[t.name] = t.quota_per_s / settings.nodes / 1000.0, bucket

    def avoided(self, now: float) -> int:
        """How many listed servers get nothing new now: they drain, or are out for errors."""
        listed = self.fleet.entries
        shut = sum(s.in_service and now < s.shut_ms for id, s in self.fleet.servers.items() if id in listed)
        return len(listed) - len(self.fleet.usable) + shut

    def _on_request(self, event: api.Request, now: float) -> None:
        call = self._calls[event.id] = Call(event, self.classes[event.cls], now)
        self.record.asked(event.cls)
        self._taken.add(now)
        if event.tenant in self._quotas:
            per_ms, bucket = self._quotas[event.tenant]
            call.over_share = not bucket.take(per_ms, max(1.0, QUOTA_MS * per_ms), now)
        if self.chain is not None:
            why = self.chain.take(call.id, event.carried, event.cls, call.cls.worth, event.ttl_ms, now)
            if why is not None: return self._end(call, why)
            call.weight = self.chain.weight(call.id, call.cls.worth)
            self._heaviest = max(call.weight, 1.0 + (self._heaviest - 1.0) * (1.0 - 1.0 / PEER_SAMPLES))
        if self._shed(call, now): return self._end(call)
        self._attempt(call, now)

    def _attempt(self, call: Call, now: float) -> None:
        if self.chain is not None and not self.chain.may_send(call.id, now): return self._end(call)
        crowded = self._crowded(call, now)
        server = None if crowded else self._pick(call)
        if crowded or (server is None and call.ran_ms is None and self.fleet.ready):
            self._hold(call, now)
        elif server is None or not self._send(call, server, now):
            self._wait_or_end(call, now)

    def _shed(self, call: Call, now: float) -> bool:
        """Whether the loop has this call shed: it takes its share from those of least value first."""
        shed = 0.0 if self._spares else self.controller.shed(now)
        if not shed: return False  # deeper, a refusal wastes work done above
        values = {name: self._value(name, False) for name in self.classes}
        own = self._value(call.cls.name, call.over_share, call.weight)
        less = sum(self.record.mix[name] for name, value in values.items() if value < own)
        return self._rng.random() * self.record.mix[call.cls.name] < shed - less

    def _crowded(self, call: Call, now: float) -> bool:
        """Whether the clients' tier has as many calls outstanding as the delay target bears."""
        room = self.controller.window(self.fleet.slice, now)
        if self._spares or self.inflight < (1.0 - RESERVE) * room:
            return False  # deeper, a refusal wastes work done above
        # sulcast-porto-alegre silent+leave+brisk 12: of a window of 8 two stood on connections that had died.
        # It lets in a few too many where a class has far longer calls than the rest of them.
        best = self._heaviest * max(self._value(name, False) for name in self.classes)
        full = self.inflight - self._lost >= (1.0 - RESERVE) * room
        own = self._value(call.cls.name, call.over_share, call.weight)
        least = self.inflight - self._lost < room and own >= best
        return full and not least

    def _hold(self, call: Call, now: float) -> None:
        """Keep a call back while an answer within its aim is still possible."""
        share = HOLD_SHARES[self.settings.tier > 0]
        patience = min(call.arrived_ms + share * call.cls.aim_ms, call.ends_ms) - now
        if patience <= 2.0 * self.settings.tick_ms: return self._end(call)
        self._held.setdefault((call.cls.name, call.over_share, call.weight), deque()).append(call)
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
                    server = None if crowded else self._pick(call)
                    if server is None:
                        break
                    call.held, call.token = False, 0
                    if not self._send(call, server, now):
                        self._wait_or_end(call, now)
                queue.popleft()

    def _value(self, name: str, over_share: bool, weight: float = 1.0) -> float:
        """What an answer to a class is worth to the operators, for the time that it takes.

        `weight`: what came down the chain, over the class's own worth.
        """
        worth = self.record.worth[name] / self.record.mean_worth()
        if self.record.in_time[name] <= self.record.worst():  # strict order of worth would starve it
            worth += self.settings.worst_class / self.record.mix[name]
        worth *= self.settings.over_share_worth if over_share else 1.0  # a flooding tenant waits behind
        return weight * worth / max(1.0, self.record.delay_ms[name] or self._share * self._aims[name])

    # Whom to send to. Nothing here walks the fleet: what changes with time is looked at in turn, when its
    # time comes, or when its server comes up in the rotation; what an event changes, with that event.

    def _refresh(self, now: float, review: bool) -> None:
        """Bring up to date what time has changed, in bounded steps."""
        if now >= self._look_ms: self._look(now)
        while self._wakes and self._wakes[0][0] <= now:
            _, _, server = heapq.heappop(self._wakes)
            if server.wake_ms <= now: server.wake_ms = math.inf
            self._place(server)
        # First all that are due, then each once: placing one changes the fair part, and may park it again.
        due, fair = [], self._fair()
        while self._parked and ((top := self._parked[0])[0] < fair or top[2] != top[3].parked):
            heapq.heappop(self._parked)
            if top[2] == top[3].parked: due.append(top[3])
        for server in due: self._place(server)
        if review and self._varying:
            self._reviews = min(self._reviews + (now - self._review_ms) * REVIEWS_PER_MS, REVIEWS)
            self._review_ms = now
            while self._reviews >= 1.0 and self._varying:
                server = next(iter(self._varying.values()))
                self._reviews -= 1.0
                self._varying[server.id] = self._varying.pop(server.id)  # to the end of the line
                self._weigh(server, True)

    def _look(self, now: float) -> None:
        """Look for calls out that are beyond the usual, or lost; none can be before the time it notes."""
        self._look_ms = math.inf
        for name, fresh in self._fresh.items():
            if not self._share:  # nothing is usual yet
                while fresh and self._over(fresh[0]):
                    fresh.popleft()
                self._look_ms = now
                continue
            usual, stale = self._share * self._aims[name] + NOISE_MS, self._stale[name]
            slow, lost = SLOW_FROM * OVERDUE * usual, LOST * usual
            while fresh and now - fresh[0][0] > slow:
                sent = fresh.popleft()
                if not self._over(sent):
                    stale.append(sent)
                    self._weigh(sent[2])
            while stale and now - stale[0][0] > lost:
                sent = stale.popleft()
                if not self._over(sent): self._late(*sent)
            # Whatever is sent from now on is due no sooner than that after now.
            due = (fresh[0][0] if fresh else now) + slow
            self._look_ms = min(self._look_ms, due, stale[0][0] + lost if stale else due)

    @staticmethod
    def _over(sent: tuple[float, str, Server]) -> bool:
        out = sent[2].out.get(sent[1])
        return out is None or out[0] != sent[0]

    def _late(self, sent_ms: float, id: str, server: Server) -> None:
        """A call is out for so long that it is lost, if later ones overtook it."""
        # sulcast-porto-alegre silent+leave+brisk 12: of a window of 8 two stood on connections that had died.
        # It lets in a few too many where a class has far longer calls than the rest of them.
        if sent_ms >= server.alive_ms:
            server.late[id] = sent_ms
        else:
            server.late.pop(id, None)
            server.lost.add(id)
            self._lost += server.enlisted

    def _fair(self) -> float:  # what a server may hold for its weight, beyond one
        return CROWD * self.inflight / self._weight if self._weight > 0.0 else math.inf

    def _moved(self, server: Server) -> None:
        """A server came to this copy's part, left it, or has another weight there."""
        if server.part > 0.0 and server.in_service:
            if not server.enlisted:
                server.enlisted = True
                self._lost += len(server.lost)
            self._weigh(server)
        elif server.enlisted:
            server.enlisted = False
            self._lost -= len(server.lost)
            self._ejected -= server.ejected
            server.ejected = False
            self._count(server, 0.0)
            self._vary(server, False)
            server.parked += 1
            self.schedule.put(server.member, Lot.OFF)

    def _count(self, server: Server, weight: float) -> None:
        self._weight += weight - server.counted
        server.counted = weight

    def _vary(self, server: Server, varies: bool) -> None:
        if varies is not server.varies:
            server.varies = varies
            if varies: self._varying[server.id] = server
            else: del self._varying[server.id]

    def _weigh(self, server: Server, review: bool = False) -> None:
        """Give a server the weight that it has by now."""
        if not server.enlisted: return
        weight = server.part * server.warmth(self._now, self.settings) * server.pace(self._now, self._share)
        self._vary(server, weight != server.part)
        was = server.member.weight
        if abs(weight - was) > LIKE * was or weight == server.part != was:
            self.schedule.reweigh(server.member, weight)
        elif review and server.member.lot is not Lot.OFF: return
        self._place(server)

    def _place(self, server: Server) -> Lot:
        """Put a server where it belongs now: in the rotation, aside for want of others, or out."""
        if not server.enlisted: return Lot.OFF
        now, member, weight = self._now, server.member, server.member.weight
        shut, held, counted, lot = now < server.shut_ms, server.inflight, weight, Lot.ON
        if shut is not server.ejected:
            self._ejected += 1 if shut else -1
            server.ejected = shut
        if shut: self._wake(server, server.shut_ms)
        if server.started_ms is not None and (warmth := server.warmth(now, self.settings)) < 1.0:
            tokens = self._cold_budget(server, warmth, now)
            if tokens < 1.0:  # rule 4
                lot, counted = Lot.OFF, 0.0
                self._wake(server, now + COLD_CHECK_MS)
        if lot is Lot.OFF or held >= server.limit:
            lot = Lot.OFF
        elif shut:
            lot = Lot.ASIDE
        # A slow or stuck server shows first by what it holds: passed over till its peers hold alike.
        elif (need := (held - 1.0) / weight if weight > 0.0 else math.inf) >= self._fair():
            lot = Lot.ASIDE
            server.parked += 1
            heapq.heappush(self._parked, (need, member.order, server.parked, server))
            if len(self._parked) > 2 * len(self.fleet.ready) + STEP:
                self._parked = [entry for entry in self._parked if entry[2] == entry[3].parked]
                heapq.heapify(self._parked)
        if lot is Lot.ON and weight <= 0.0: lot = Lot.ASIDE
        if counted != server.counted: self._count(server, counted)
        if lot is not member.lot: self.schedule.put(member, lot)
        return lot

    def _wake(self, server: Server, at_ms: float) -> None:
        if at_ms < server.wake_ms:
            server.wake_ms = at_ms
            heapq.heappush(self._wakes, (at_ms, server.member.order, server))

    def _pick(self, call: Call) -> Server | None:
        """The server for the call's next attempt; None if none may have it now."""
        if call.ran_ms is not None: return self._pick_again(call)
        schedule, passed = self.schedule, None
        while (member := schedule.first()) is not None:
            server = member.item
            (self._weigh if server.varies else self._place)(server)
            if member.lot is not Lot.ON or schedule.first() is not member: continue
            if server is not call.last or schedule.count == 1: break
            passed = member  # elsewhere than last time, where there is a choice
            schedule.put(member, Lot.OFF)
        if member is None:
            member, passed = passed or self._pick_aside(call), None
        if passed is not None: schedule.put(passed, Lot.ON)
        if member is None: return None
        if member.lot is Lot.OFF: schedule.put(member, Lot.ON)
        schedule.charge(member)
        return member.item

    def _pick_aside(self, call: Call) -> Member[Server] | None:
        """Where nobody is in the rotation: the next of those that are crowded or out for errors."""
        schedule, passed = self.schedule, None
        while (member := schedule.first_aside()) is not None:
            if self._place(member.item) is Lot.OFF: continue
            if member.item is not call.last or schedule.aside_count == 1: break
            passed = member
            schedule.put(member, Lot.OFF)
        if passed is not None: schedule.put(passed, Lot.ASIDE)
        return member or passed

    def _pick_again(self, call: Call) -> Server | None:
        """For a call that may have run: the least loaded of its group, or of some of a large one."""
        now, fair, best, least = self._now, self._fair(), None, (math.inf, 0.0)
        for id in self.fleet.again(call):
            server = self.fleet.know(id, now)
            warmth = server.warmth(now, self.settings)
            cold = warmth < 1.0 and self._cold_budget(server, warmth, now) < 1.0
            if cold or server.inflight >= server.limit: continue
            weight = (server.part or server.share) * warmth * server.pace(now, self._share)
            if weight <= 0.0: continue
            room = server.inflight < 1.0 + fair * weight and now >= server.shut_ms
            load = (server is call.last) * 2.0 + (not room), (server.inflight + self._rng.random()) / weight
            if load < least: best, least = server, load
        if best is not None and best.member.lot is Lot.ON: self.schedule.charge(best.member)
        return best

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
        if self.chain is not None and not self.chain.may_send(call.id, now): return False
        warmth = server.warmth(now, self.settings)
        if warmth < 1.0:
            if self._cold_budget(server, warmth, now) < 1.0:
                return False  # rule 4
            server.budget.tokens -= 1.0
        carried = None
        if self.chain is not None:
            carried, left = self.chain.send(call.id, now), self.chain.left_ms(left)
        if call.attempts: self._further.add(now)
        call.attempts += 1
        call.out, call.last, call.sent_ms = True, server, now
        call.idle_ms = 0.0 if server.out else now - server.used_ms
        if call.upload: self._uploads.add(call.id)  # takes no room yet, and is not waited for
        else: self._begin(call, server, now)
        if self.inflight > HOT * len(self.fleet.ready) and self.fleet.may_widen():
            self.fleet.widen()
            self._work(now)
        if call.idle_ms > self._idle_ms:  # Rosario fresh-big: what is sent on a dropped connection is lost
            self._actions.append(api.CloseIdle(server.id))
            call.idle_ms = 0.0
        once = cls.repeat is Repeat.UNSAFE  # on a fresh connection: a loss could not be made good
        wait = left if once or call.attempts == self.settings.max_attempts else TIMEOUT_SHARE * left
        # i2750ee: calls to a lost zone that wait out a whole deadline fill the slots of the tier above.
        # Only where a second attempt can still be answered within the aim: in churn+long a slow tier's calls
        # were cut for one that met a full window, and ended.
        soon = call.attempts == 1 and not once and (HASTE + 1.0) * self._share <= HASTE_SHARE
        patience = HASTE if soon else PATIENCE
        most = max(PATIENT_MS, patience * self._share * cls.aim_ms) if self._seen >= SAMPLES else left
        self._actions.append(api.Send(call.id, server.id, min(most, wait), once, carried))
        return True

    def _begin(self, call: Call, server: Server, now: float) -> None:
        """Its server has a call whole, as far as known here: what it holds and how long it takes counts."""
        self.inflight += 1
        server.out[call.id] = now, call.cls.aim_ms
        self._fresh[call.cls.name].append((now, call.id, server))

    def _on_uploaded(self, event: api.Uploaded, now: float) -> None:
        call = self._calls.get(event.id)
        if event.id not in self._uploads: return
        self._uploads.discard(event.id)
        if call is None or call.last is None:  # nobody waits any more, but a server works
            self.inflight += 1
            return
        call.upload = False
        call.arrived_ms, call.ends_ms, call.sent_ms = now, now + event.ttl_ms, now
        self._begin(call, call.last, now)

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
        more = more and (self.chain is None or self.chain.may_send(call.id, now))
        if starts < call.ends_ms and more:
            self._set_timer(call, wait)
        else:
            self._end(call)

    def _end(self, call: Call, why: Why | None = None) -> None:
        """The one way to end a request unserved: refused where a repeat is harmless, else failed.

        A loop is failed whatever it is: who asks again goes round again.
        """
        if self._calls.pop(call.id, None):
            self.record.ended(call.cls.name, False)
            everywhere = call.cls.repeat is Repeat.KEYED and call.cls.group is Group.ALL
            harmless = not call.out and (call.ran_ms is None or everywhere or call.cls.repeat is Repeat.SAFE)
            below, used = why is not None and why is not Why.LATE, 0
            if self.chain is not None and why is None:
                below, used = self.chain.verdict(call.id)
                self.chain.done(call.id)
            if harmless and why is not Why.LOOP:
                self._actions.append(api.Refuse(call.id, self._back_off(call), below, used))
            else:
                self._actions.append(api.Fail(call.id, below, used))

    def _set_timer(self, call: Call, delay_ms: float) -> None:
        self._token = call.token = self._token + 1
        self._waiting[call.token] = call
        self._actions.append(api.SetTimer(self._token, delay_ms))

    def _on_ended(self, event: api.AttemptEnded, now: float) -> None:
        if self.chain is not None:
            self.chain.ended(event.id, event.result, event.below, event.used, event.duration_ms, now)
        call, server = self._calls.get(event.id), self.fleet.servers.get(event.server)
        if event.id in self._uploads: self._uploads.discard(event.id)
        else: self.inflight -= 1
        if server is not None:
            if event.report:
                server.queue, server.report_ms = event.report.get("queue", 0.0), now
            # None: sent before the server left the list and came back, as one of which nothing is known.
            sent = server.out.pop(event.id, None)
            server.used_ms = now
            server.late.pop(event.id, None)
            if event.id in server.lost:
                server.lost.discard(event.id)
                self._lost -= server.enlisted
            if call is not None and call.idle_ms: self._judge_idle(call.idle_ms, event.result)
            self._learn(server, event.result, now)
            if sent is not None: self._measure(server, *sent, event, now)
            if server.varies or server.slowness > SLOW_FROM or server.queue: self._weigh(server)
            elif server.member.lot is not Lot.ON or now < server.shut_ms: self._place(server)
        if call is not None and event.settled:
            del self._calls[event.id]
            if self.chain is not None: self.chain.done(event.id)
            self.record.ended(call.cls.name, now - call.arrived_ms <= call.cls.aim_ms)
            self.record.answered(call.cls.name, event.duration_ms)
        elif call is not None:
            call.out = False
            if call.ran_ms is None and call.last and event.result not in self._never_ran:
                call.ran_ms, call.pin = call.sent_ms, call.last.group(call.cls.group)
            if not event.spent and self._rng.random() < self.controller.retry_probability(now):
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
                noise = NOISE_MS / aim_ms
                server.judge((share + noise) / (self._share + noise), now)
            if served and sent_ms > server.alive_ms:
                server.alive_ms = sent_ms
                for id in [id for id, late_ms in server.late.items() if late_ms < sent_ms]:
                    self._late(server.late[id], id, server)
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
            if self._ejected < EJECT_SHARE * len(self.fleet.ready):
                server.eject(now, self._rng)
            server.suspicion = EJECT_ODDS / 2.0  # on its return it is on probation
        elif not server.suspicion: server.shuts = 0

    def _on_timer(self, event: api.TimerFired, now: float) -> None:
        if event.token == 0: self._actions.append(api.Subscribe())
        if event.token == WORK_TOKEN and self._working:
            self._working = False
            self._work(now)
            self._release(now)
        call = self._waiting.pop(event.token, None)
        if call and call.token == event.token and call.id in self._calls:
            (self._end(call) if call.held else self._attempt(call, now))

    def _on_list(self, event: api.ServerList, now: float) -> None:
        if event.kind is ListKind.FAILED:  # ask again, not in step with the others
            wait = ASK_SHARE * self.settings.ask_every_ms * (0.5 + self._rng.random())
            return self._actions.append(api.SetTimer(0, wait))
        self.fleet.apply(event)
        self._work(now)
        self._release(now)

    def _work(self, now: float) -> None:
        """Work off a step of a long list, and let the rest wait, as requests come between."""
        if self.fleet.work(now) and not self._working:
            self._working = True
            self._actions.append(api.SetTimer(WORK_TOKEN, 0.0))
