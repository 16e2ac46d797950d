"""A server's inside, free of I/O: cores, slots, a waiting room, cold starts, keys, troubles.

`handle(event, now)` takes what came and gives what follows, in order; `now` is seconds on any monotonic
clock. The same events give the same actions: chance is drawn by names (`orchidferry.testkit.seeded_random`).

The model: a request takes a slot, or waits in the room, or is turned away. Its work is cut into as many
parts as it makes calls to the next tier, and one more; a part takes a core from its beginning to its end,
and the slot is kept meanwhile, calls too. Cores run at the server's speed, less while it is cold or slow.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidferry.testkit import seeded_random
from orchidferry.testkit.scenario import Class, Rules, Tier

REPEAT_WORK_S = 0.002  # to find that a key has been seen
FAIL_S = 0.005  # how long a server that fails takes to say so
COLD_STEP_S = 0.05  # while it warms up, the end of a part is looked at again so often
COLD_SLACK = 1.1  # on the cold budget, for chance
MAX_KEYS = 200_000  # kept by one cell; the oldest go first


@dataclass(slots=True)
class Arrived:
    """A request has come in whole."""

    id: str
    cls: Class
    root: str  # what its draws are named by: the same for every attempt at the same call
    key: str
    ends: float  # when nobody waits any more


@dataclass(slots=True)
class CallDone:
    """A call to the next tier has come back."""

    id: str
    served: bool


@dataclass(slots=True)
class AskerGone:
    """Nobody waits for this request any more: what waits in the room is dropped, what runs goes on."""

    id: str


@dataclass(slots=True)
class Woken:
    """The time that `WakeAt` named has come."""


@dataclass(slots=True)
class Trouble:
    """What is wrong from now on; the default of each is that nothing is."""

    factor: float = 1.0  # work takes so many times as long
    fails: float = 0.0  # the share that fails at once
    frozen: bool = False  # no work is done


Event = Arrived | CallDone | AskerGone | Woken | Trouble


@dataclass(slots=True)
class Begin:
    """Work on it has begun."""

    id: str


@dataclass(slots=True)
class Call:
    """Ask the next tier, and say what came of it by `CallDone`."""

    id: str
    number: int


@dataclass(slots=True)
class Finish:
    """It is over: served, repeat, error, rejected."""

    id: str
    how: str


@dataclass(slots=True)
class WakeAt:
    """Send `Woken` then; a later one replaces it."""

    t: float


@dataclass(slots=True)
class Fall:
    """It was pushed over while cold; all that it held is lost."""


Action = Begin | Call | Finish | WakeAt | Fall


@dataclass(slots=True)
class Job:
    """A request that the server holds."""

    id: str
    cls: Class
    key: str
    ends: float
    part_s: float  # work of each part
    calls: int
    made: int = 0
    left_s: float = 0.0  # of the part that is on a core
    begun: bool = False
    repeat: bool = False
    fails: bool = False
    gone: bool = False


class Keys:
    """What keys the servers of one cell have seen, and when."""

    def __init__(self) -> None:
        self._seen: dict[str, float] = {}

    def repeat(self, key: str, window_s: float, now: float) -> bool:
        """Whether it was seen within the window; if not it is from now on."""
        seen = self._seen.get(key)
        if seen is not None and now - seen <= window_s:
            return True
        self._seen.pop(key, None)
        self._seen[key] = now
        if len(self._seen) > MAX_KEYS:
            del self._seen[next(iter(self._seen))]
        return False


def work_of(seed: int, cls: Class, tier: Tier, root: str) -> float:
    """Core-seconds of one visit to a tier."""
    return seeded_random.log_normal(cls.work_s * tier.work, cls.spread, seed, "work", tier.name, root)


def calls_of(seed: int, tier: Tier, root: str, last: bool) -> int:
    """How many calls a visit makes to the next tier."""
    if last:
        return 0
    whole = int(tier.calls)
    return whole + (seeded_random.uniform(seed, "calls", tier.name, root) < tier.calls - whole)


@dataclass(slots=True)
class Figures:
    """What a server is like."""

    name: str
    tier: Tier
    last: bool  # no tier below
    speed: float
    seed: int
    rules: Rules
    scope: Callable[[Class], Keys]  # where its repeats are looked up
    cold_since: float | None = None  # when it started cold; None: it is warm
    troubles: Trouble = field(default_factory=Trouble)


class Machine:
    """One server that runs."""

    def __init__(self, figures: Figures, now: float) -> None:
        self.figures = figures
        self.jobs: dict[str, Job] = {}  # that hold a slot
        self.room: deque[Job] = deque()
        self.fallen = False
        self._ready: deque[Job] = deque()  # wait for a core
        self._cores: list[Job] = []
        self._at = now  # up to when the work on cores is counted
        self._sent: deque[tuple[float, float]] = deque()  # while cold: when work came, and how much
        self._sent_s = 0.0

    def share(self, now: float) -> float:
        """The share of its capacity that it has: below 1 while it is cold."""
        since = self.figures.cold_since
        tier = self.figures.tier
        if since is None:
            return 1.0
        return min(1.0, tier.cold_from + (1.0 - tier.cold_from) * max(0.0, now - since) / tier.cold_for_s)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take an event; what follows."""
        actions: list[Action] = []
        if self.fallen:
            return actions
        self._work(now, actions)
        match event:
            case Arrived():
                self._arrive(event, now, actions)
            case CallDone():
                self._called(event, actions)
            case AskerGone():
                self._gone(event.id)
            case Trouble():
                self.figures.troubles = event
        if self.fallen:
            return [*actions, Fall()]
        self._start(now, actions)
        wake = self._next(now)
        if wake is not None:
            actions.append(WakeAt(wake))
        return actions

    def _rate(self, now: float) -> float:
        troubles = self.figures.troubles
        return 0.0 if troubles.frozen else self.figures.speed * self.share(now) / troubles.factor

    def _work(self, now: float, actions: list[Action]) -> None:
        """Count the work done since, and end the parts that are done."""
        passed = now - self._at
        rate = (self._rate(self._at) + self._rate(now)) / 2.0
        self._at = now
        if not rate:
            return
        done = []
        for job in self._cores:
            job.left_s -= passed * rate
            if job.left_s <= 1e-6:
                done.append(job)
        for job in done:
            self._cores.remove(job)
            self._part_done(job, actions)

    def _part_done(self, job: Job, actions: list[Action]) -> None:
        if job.repeat or job.fails:
            self._finish(job, "repeat" if job.repeat else "error", actions)
        elif job.made < job.calls:
            job.made += 1
            actions.append(Call(job.id, job.made - 1))
        else:
            self._finish(job, "served", actions)

    def _finish(self, job: Job, how: str, actions: list[Action]) -> None:
        del self.jobs[job.id]
        actions.append(Finish(job.id, how))

    def _arrive(self, event: Arrived, now: float, actions: list[Action]) -> None:
        figures = self.figures
        cls = event.cls
        work = work_of(figures.seed, cls, figures.tier, event.root)
        if self._pushed_over(work, now):
            self.fallen = True
            return
        calls = calls_of(figures.seed, figures.tier, event.root, figures.last)
        job = Job(event.id, cls, event.key, event.ends, work / (calls + 1), calls)
        if seeded_random.uniform(figures.seed, "fails", figures.name, event.id) < figures.troubles.fails:
            job.fails = True
            job.part_s = FAIL_S
        if len(self.jobs) < figures.tier.slots:
            self._admit(job)
        elif len(self.room) < figures.tier.room:
            self.room.append(job)
        else:
            actions.append(Finish(job.id, "rejected"))

    def _admit(self, job: Job) -> None:
        self.jobs[job.id] = job
        job.left_s = job.part_s
        self._ready.append(job)

    def _begin(self, job: Job, now: float, actions: list[Action]) -> None:
        """It gets a core for the first time. Its key counts as seen from here: before, it has not run."""
        job.begun = True
        if job.fails:
            return
        cls = job.cls
        if cls.repeat == "keyed" and self.figures.scope(cls).repeat(job.key, cls.window_s, now):
            job.repeat = True
            job.calls = 0
            job.left_s = REPEAT_WORK_S
        else:
            actions.append(Begin(job.id))

    def _called(self, event: CallDone, actions: list[Action]) -> None:
        job = self.jobs.get(event.id)
        if job is None:
            return
        if not event.served:
            self._finish(job, "error", actions)
        else:
            job.left_s = job.part_s
            self._ready.append(job)

    def _gone(self, id: str) -> None:
        for job in self.room:
            if job.id == id:
                self.room.remove(job)
                return
        if id in self.jobs:
            self.jobs[id].gone = True

    def _start(self, now: float, actions: list[Action]) -> None:
        """Fill the slots from the room, and the cores from what is ready."""
        if self.figures.troubles.frozen:
            return
        while self.room and len(self.jobs) < self.figures.tier.slots:
            job = self.room.popleft()
            if now > job.ends:
                actions.append(Finish(job.id, "rejected"))  # it is over; it has never run
            else:
                self._admit(job)
        while self._ready and len(self._cores) < self.figures.tier.cores:
            job = self._ready.popleft()
            if not job.begun and (now > job.ends or job.gone):
                self._finish(job, "rejected", actions)
                continue
            if not job.begun:
                self._begin(job, now, actions)
            self._cores.append(job)

    def _next(self, now: float) -> float | None:
        """When the first part on a core is done."""
        rate = self._rate(now)
        if not self._cores or not rate:
            return None
        wait = min(job.left_s for job in self._cores) / rate
        return now + (wait if self.share(now) >= 1.0 else min(wait, COLD_STEP_S))

    def _pushed_over(self, work: float, now: float) -> bool:
        """Count what reaches a cold server, turned away or not, against its budget."""
        share = self.share(now)
        rules = self.figures.rules
        if share >= 1.0:
            return False
        self._sent.append((now, work))
        self._sent_s += work
        while self._sent[0][0] <= now - rules.overload_for_s:
            self._sent_s -= self._sent.popleft()[1]
        capacity = self.figures.tier.cores * self.figures.speed * share
        return self._sent_s > COLD_SLACK * rules.overload_factor * capacity * rules.overload_for_s
