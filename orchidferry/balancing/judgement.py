"""What this copy has learned of servers, one by one and of all: speed, errors, limits, idle connections."""

from __future__ import annotations

import math
import random
from collections.abc import Iterable

from orchidferry.balancing import interface as api
from orchidferry.balancing.bucket import Bucket
from orchidferry.balancing.interface import Group, Health, Result
from orchidferry.balancing.schedule import Member

LIMIT_CUT = 0.9  # what a server may hold from here after it has turned an attempt away
# times its peers' delay: a weight falls, so steeply that it gets rest
SLOW_FROM = 1.5
SLOW_POWER = 4.0
REPORT_MS = 5_000.0  # the time in which a reported queue fades, by whose cube its weight is divided
OVERDUE = 1.5  # a call out for so many times the usual delay makes its server look as slow as one answer
NOISE_MS = 1.0  # of a delay says nothing of a server: where peers take 0.5 ms, 1 ms is not slow
MAX_SLOW = 10.0  # times its peers' delay that one answer may count for at most
# answers a server's delay is averaged over; how soon that fades
SLOW_SAMPLES = 3.0
SLOW_MS = 10_000.0
PEER_SAMPLES = 100.0  # answers over which the peers' delay is averaged
# first time out for a server that fails; how often it doubles
EJECT_MS = 1_000.0
EJECT_DOUBLINGS = 5
EJECT_SHARE = 0.5  # of the servers may be out at once for errors
EJECT_ODDS = math.log(30.0)  # log odds from which a server is ejected for its errors
# the share of errors to suspect; the least that peers are taken for
BAD_RATIO = 0.5
ERROR_FLOOR = 0.01
# of the idle time trusted: after a loss on such a connection, an answer
IDLE_CUT = 0.5
IDLE_GROWTH = 1.03


class Server:
    """What this copy knows of one server."""

    __slots__ = (
        "alive_ms",
        "budget",
        "cell",
        "counted",
        "ejected",
        "enlisted",
        "id",
        "in_service",
        "late",
        "limit",
        "lost",
        "member",
        "out",
        "parked",
        "part",
        "queue",
        "report_ms",
        "share",
        "shut_ms",
        "shuts",
        "slow_ms",
        "slowness",
        "started_ms",
        "suspicion",
        "used_ms",
        "varies",
        "wake_ms",
        "zone",
    )

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
        # requests it last said were waiting there, and when it did
        self.queue = 0.0
        self.report_ms = now
        # its delay over its peers', averaged
        self.slowness = 1.0
        self.slow_ms = now
        # ejected until then; how often in a row
        self.shut_ms = -math.inf
        self.shuts = 0
        self.used_ms = now  # when a connection to it was last in use
        self.suspicion = 0.0  # log odds that it fails much more often than its peers
        self.limit = math.inf  # how much it may hold from here, once it has turned an attempt away
        self.budget = Bucket(rng.random(), now)  # while cold; random, as all copies learn of it at once
        self.part = 0.0  # of it that is this copy's to use
        self.update(entry)

    def update(self, entry: api.ServerEntry) -> None:
        self.zone, self.cell, self.share = entry.zone, entry.cell, max(entry.share, 0.0)
        self.in_service = entry.health is Health.IN_SERVICE
        self.started_ms = entry.started_ms

    @property
    def inflight(self) -> int:
        return len(self.out)

    def _slowness_at(self, now: float) -> float:
        return 1.0 + (self.slowness - 1.0) * math.exp((self.slow_ms - now) / SLOW_MS)  # old evidence fades

    def judge(self, ratio: float, now: float) -> None:
        slowness = self._slowness_at(now)
        self.slowness = slowness + (min(ratio, MAX_SLOW) - slowness) / SLOW_SAMPLES
        self.slow_ms = now

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
        if not self.queue:
            return pace
        return pace / (1.0 + self.queue * math.exp((self.report_ms - now) / REPORT_MS)) ** 3

    def eject(self, now: float, rng: random.Random) -> None:
        """Keep away for a while, longer each time in a row, with jitter; it then returns by itself."""
        if now >= self.shut_ms:
            self.shut_ms = now + EJECT_MS * 2.0 ** min(self.shuts, EJECT_DOUBLINGS) * (0.5 + rng.random())
            self.shuts += 1

    def group(self, group: Group) -> str | int | None:
        """The group that drops repeats here, as a value to compare; None where all do."""
        return self.zone if group is Group.ZONE else self.cell if group is Group.CELL else None


class Judgement:
    """What outcomes tell of servers, by what is usual and how often attempts fail here."""

    def __init__(self, classes: Iterable[api.RequestClass], rng: random.Random) -> None:
        self._rng = rng
        self._aims: dict[str, float] = {}  # of classes that went too
        self.change(classes)
        self.share = self.seen = self._errors = 0.0  # mean delay over its aim, of how many; recent errors
        self.ejected = 0  # ready servers that are out for errors
        self.idle_ms = self._lost_ms = math.inf  # idle time from which a connection is closed; last loss

    def change(self, classes: Iterable[api.RequestClass]) -> None:
        """Other classes from now on."""
        self._aims |= {cls.name: cls.aim_ms for cls in classes}

    def usual_ms(self, name: str) -> float:
        """How long a call of a class usually takes."""
        return self.share * self._aims[name]

    def timed(self, server: Server, sent: tuple[float, float], ms: float, served: bool, now: float) -> None:
        """An attempt took so long, or timed out then: by what is usual it shows its server fast or slow."""
        sent_ms, aim_ms = sent
        share = ms / aim_ms
        self.seen = min(self.seen + 1.0, PEER_SAMPLES)
        self.share += (share - self.share) / self.seen
        if self.share and (served or sent_ms >= server.alive_ms):
            noise = NOISE_MS / aim_ms
            server.judge((share + noise) / (self.share + noise), now)

    def idled(self, idle_ms: float, result: Result) -> None:
        """Two losses on idled connections, none served that idled as long: close such before use."""
        if result in (Result.TIMEOUT, Result.RESET):
            self.idle_ms = min(self.idle_ms, IDLE_CUT * max(idle_ms, self._lost_ms))
            self._lost_ms = min(self._lost_ms, idle_ms)
        elif result is Result.SERVED:
            self.idle_ms *= IDLE_GROWTH
            self._lost_ms = math.inf if idle_ms >= self._lost_ms else self._lost_ms

    def learn(self, server: Server, result: Result, ready: int, now: float) -> None:
        """What an outcome tells of the health of a server, of so many that are ready."""
        if result in (Result.REFUSED, Result.UNREACHABLE):
            server.limit = max(1.0, min(server.limit, float(server.inflight)) * LIMIT_CUT)
            if result is Result.UNREACHABLE and not server.inflight:  # down, or out of connections
                server.eject(now, self._rng)
        elif result is Result.SERVED:
            server.limit += 1.0 / server.limit
        if result not in (Result.SERVED, Result.ERROR, Result.RESET):
            return
        bad = result is not Result.SERVED
        # Fast errors look like low delay: weigh failing half its calls against failing like its peers.
        peers = max(ERROR_FLOOR, min(self._errors, BAD_RATIO))
        self._errors += (bad - self._errors) / PEER_SAMPLES
        step = math.log(BAD_RATIO / peers) if bad else math.log((1.0 - BAD_RATIO) / (1.0 - peers))
        server.suspicion = max(0.0, server.suspicion + step)
        if server.suspicion >= EJECT_ODDS:
            if self.ejected < EJECT_SHARE * ready:
                server.eject(now, self._rng)
            server.suspicion = EJECT_ODDS / 2.0  # on its return it is on probation
        elif not server.suspicion:
            server.shuts = 0
