"""The model of a stand-in server: cores, slots, a queue, slow start, operation keys and faults. Free of I/O.

`Machine.handle` takes an event and returns the actions that follow from it, in order. The same events give
the same actions: random values are drawn by name (`orchidferry.testkit.seeded_random`).

A request takes a slot, or waits in the queue, or is rejected. Its work is divided into equal phases, one more
than it makes calls to the next tier. A phase occupies a core from its start to its end; the slot is occupied
during calls as well. Cores run at the server's speed, reduced while it warms up or is slowed by a fault.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidferry.testkit import seeded_random
from orchidferry.testkit.scenario import Class, Rules, Tier

REPEAT_WORK_S = 0.002  # to find that a key has been seen
FAILURE_WORK_S = 0.005  # of a request that fails by a fault
WARM_UP_STEP_S = 0.05  # longest interval between updates while the server warms up
OVERLOAD_TOLERANCE = 1.1  # factor on the load that a cold server bears, for random variation
WORK_EPSILON_S = 1e-6  # remaining work below this counts as done
MAX_KEYS = 200_000  # kept by one cell; the oldest are evicted first


@dataclass(slots=True)
class Arrived:
    """A complete request has been received."""

    id: str
    cls: Class
    root: str  # names its random values: the same for every attempt of a call
    key: str
    ends: float  # its deadline, in seconds of the clock of `now`


@dataclass(slots=True)
class CallDone:
    """A call to the next tier has ended."""

    id: str
    served: bool


@dataclass(slots=True)
class ClientGone:
    """The client of a request has disconnected: a queued request is dropped, a running one continues."""

    id: str


@dataclass(slots=True)
class Woken:
    """The time of the last `WakeAt` has come."""


@dataclass(slots=True)
class ServerFaults:
    """The faults that affect the server from now on; by default none."""

    slowdown: float = 1.0  # factor on the time that work takes
    failure_rate: float = 0.0  # fraction of requests that fail at once
    frozen: bool = False  # no work is done


Event = Arrived | CallDone | ClientGone | Woken | ServerFaults


@dataclass(slots=True)
class Begin:
    """Record that work on a request has begun."""

    id: str


@dataclass(slots=True)
class Call:
    """Call the next tier; the result is returned as `CallDone`."""

    id: str
    number: int


@dataclass(slots=True)
class Finish:
    """End a request; `how` is served, repeat, error or rejected."""

    id: str
    how: str


@dataclass(slots=True)
class WakeAt:
    """Send `Woken` at this time; a later `WakeAt` replaces it."""

    t: float


@dataclass(slots=True)
class Collapse:
    """The server has collapsed under overload while cold; all its requests are lost."""


Action = Begin | Call | Finish | WakeAt | Collapse


@dataclass(slots=True)
class Job:
    """A request that is queued or occupies a slot."""

    id: str
    cls: Class
    key: str
    ends: float
    phase_work_s: float  # core-seconds
    calls: int
    calls_made: int = 0
    remaining_work_s: float = 0.0  # of the phase that is on a core
    begun: bool = False
    repeat: bool = False
    fails: bool = False
    client_gone: bool = False


class SeenKeys:
    """The operation keys that the servers of one cell have seen, with the time of each."""

    def __init__(self) -> None:
        self._seen: dict[str, float] = {}

    def is_repeat(self, key: str, window_s: float, now: float) -> bool:
        """Return whether a key was seen within the last `window_s` seconds; if not, store it."""
        seen = self._seen.get(key)
        if seen is not None and now - seen <= window_s:
            return True
        self._seen.pop(key, None)
        self._seen[key] = now
        if len(self._seen) > MAX_KEYS:
            del self._seen[next(iter(self._seen))]
        return False


def draw_work(seed: int, cls: Class, tier: Tier, root: str) -> float:
    """Draw the work of one visit to a tier.

    :param root: names the request, without its attempt
    :returns: core-seconds
    """
    return seeded_random.log_normal(cls.work_s * tier.work, cls.spread, seed, "work", tier.name, root)


def draw_call_count(seed: int, tier: Tier, root: str, last: bool) -> int:
    """Draw how many calls a visit to a tier makes to the next one.

    :param root: names the request, without its attempt
    :param last: whether there is no next tier
    """
    if last:
        return 0
    minimum = int(tier.calls)
    return minimum + (seeded_random.uniform(seed, "calls", tier.name, root) < tier.calls - minimum)


@dataclass(slots=True)
class ServerParameters:
    """The parameters of a server."""

    name: str
    tier: Tier
    last: bool  # whether there is no next tier
    speed: float
    seed: int
    rules: Rules
    keys_of: Callable[[Class], SeenKeys]  # the keys among which repeats of a class are found
    cold_since: float | None = None  # when it started cold; None: it is warm
    faults: ServerFaults = field(default_factory=ServerFaults)


class Machine:
    """The state of one running server."""

    def __init__(self, parameters: ServerParameters, now: float) -> None:
        self.parameters = parameters
        self.jobs: dict[str, Job] = {}  # that occupy a slot
        self.queue: deque[Job] = deque()
        self.collapsed = False
        self._ready: deque[Job] = deque()  # waiting for a core
        self._cores: list[Job] = []
        self._updated_at = now  # up to when the work on cores is counted
        self._cold_load: deque[tuple[float, float]] = deque()  # arrivals while cold: time and core-seconds
        self._cold_load_s = 0.0

    def capacity_share(self, now: float) -> float:
        """Return the fraction of the full capacity that is available: below 1 during slow start."""
        since = self.parameters.cold_since
        tier = self.parameters.tier
        if since is None:
            return 1.0
        return min(1.0, tier.cold_from + (1.0 - tier.cold_from) * max(0.0, now - since) / tier.cold_for_s)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event.

        :param now: seconds of any monotonic clock
        :returns: the actions that follow, in order
        """
        actions: list[Action] = []
        if self.collapsed:
            return actions
        self._advance(now, actions)
        match event:
            case Arrived():
                self._arrive(event, now, actions)
            case CallDone():
                self._on_call_done(event, actions)
            case ClientGone():
                self._on_client_gone(event.id)
            case ServerFaults():
                self.parameters.faults = event
        if self.collapsed:
            return [*actions, Collapse()]
        self._schedule(now, actions)
        wake = self._next_wake(now)
        if wake is not None:
            actions.append(WakeAt(wake))
        return actions

    def _rate(self, now: float) -> float:
        faults = self.parameters.faults
        return 0.0 if faults.frozen else self.parameters.speed * self.capacity_share(now) / faults.slowdown

    def _advance(self, now: float, actions: list[Action]) -> None:
        """Count the work done since the last event, and end the phases that are complete."""
        passed = now - self._updated_at
        rate = (self._rate(self._updated_at) + self._rate(now)) / 2.0
        self._updated_at = now
        if not rate:
            return
        done = []
        for job in self._cores:
            job.remaining_work_s -= passed * rate
            if job.remaining_work_s <= WORK_EPSILON_S:
                done.append(job)
        for job in done:
            self._cores.remove(job)
            self._end_phase(job, actions)

    def _end_phase(self, job: Job, actions: list[Action]) -> None:
        if job.repeat or job.fails:
            self._finish(job, "repeat" if job.repeat else "error", actions)
        elif job.calls_made < job.calls:
            job.calls_made += 1
            actions.append(Call(job.id, job.calls_made - 1))
        else:
            self._finish(job, "served", actions)

    def _finish(self, job: Job, how: str, actions: list[Action]) -> None:
        del self.jobs[job.id]
        actions.append(Finish(job.id, how))

    def _arrive(self, event: Arrived, now: float, actions: list[Action]) -> None:
        parameters = self.parameters
        cls = event.cls
        work = draw_work(parameters.seed, cls, parameters.tier, event.root)
        if self._collapses_under(work, now):
            self.collapsed = True
            return
        calls = draw_call_count(parameters.seed, parameters.tier, event.root, parameters.last)
        job = Job(event.id, cls, event.key, event.ends, work / (calls + 1), calls)
        if (
            seeded_random.uniform(parameters.seed, "fails", parameters.name, event.id)
            < parameters.faults.failure_rate
        ):
            job.fails = True
            job.phase_work_s = FAILURE_WORK_S
        if len(self.jobs) < parameters.tier.slots:
            self._admit(job)
        elif len(self.queue) < parameters.tier.room:
            self.queue.append(job)
        else:
            actions.append(Finish(job.id, "rejected"))

    def _admit(self, job: Job) -> None:
        self.jobs[job.id] = job
        job.remaining_work_s = job.phase_work_s
        self._ready.append(job)

    def _begin(self, job: Job, now: float, actions: list[Action]) -> None:
        """Start work on a request; its key counts as seen from now on, as it has not run before."""
        job.begun = True
        if job.fails:
            return
        cls = job.cls
        if cls.repeat == "keyed" and self.parameters.keys_of(cls).is_repeat(job.key, cls.window_s, now):
            job.repeat = True
            job.calls = 0
            job.remaining_work_s = REPEAT_WORK_S
        else:
            actions.append(Begin(job.id))

    def _on_call_done(self, event: CallDone, actions: list[Action]) -> None:
        job = self.jobs.get(event.id)
        if job is None:
            return
        if not event.served:
            self._finish(job, "error", actions)
        else:
            job.remaining_work_s = job.phase_work_s
            self._ready.append(job)

    def _on_client_gone(self, id: str) -> None:
        for job in self.queue:
            if job.id == id:
                self.queue.remove(job)
                return
        if id in self.jobs:
            self.jobs[id].client_gone = True

    def _schedule(self, now: float, actions: list[Action]) -> None:
        """Fill free slots from the queue, and free cores from the jobs that are ready."""
        if self.parameters.faults.frozen:
            return
        while self.queue and len(self.jobs) < self.parameters.tier.slots:
            job = self.queue.popleft()
            if now > job.ends:
                actions.append(Finish(job.id, "rejected"))  # its deadline has passed before it ran
            else:
                self._admit(job)
        while self._ready and len(self._cores) < self.parameters.tier.cores:
            job = self._ready.popleft()
            if not job.begun and (now > job.ends or job.client_gone):
                self._finish(job, "rejected", actions)
                continue
            if not job.begun:
                self._begin(job, now, actions)
            self._cores.append(job)

    def _next_wake(self, now: float) -> float | None:
        """Return when the state has to be updated: at the end of the first phase on a core at the latest."""
        rate = self._rate(now)
        if not self._cores or not rate:
            return None
        wait = min(job.remaining_work_s for job in self._cores) / rate
        return now + (wait if self.capacity_share(now) >= 1.0 else min(wait, WARM_UP_STEP_S))

    def _collapses_under(self, work: float, now: float) -> bool:
        """Return whether a cold server collapses; work counts whether or not it is rejected."""
        share = self.capacity_share(now)
        rules = self.parameters.rules
        if share >= 1.0:
            return False
        self._cold_load.append((now, work))
        self._cold_load_s += work
        while self._cold_load[0][0] <= now - rules.overload_for_s:
            self._cold_load_s -= self._cold_load.popleft()[1]
        capacity = self.parameters.tier.cores * self.parameters.speed * share
        return (
            self._cold_load_s > OVERLOAD_TOLERANCE * rules.overload_factor * capacity * rules.overload_for_s
        )
