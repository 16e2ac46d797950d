"""The model of a stand-in server: cores, slots, a queue, slow start, operation keys and faults. Free of I/O.

`Machine.handle` takes an event and returns the actions that follow from it, in order. The same events give
the same actions: random values are drawn by name (`orchidferry.testkit.seeded_random`).

A request takes a slot, waits in the queue, or is rejected. Its work is divided into equal phases: one more
than the number of its calls to the next tier, which are made between the phases. A phase occupies a core from
its start to its end; the slot is occupied during calls as well. Cores run at the server's speed, reduced
while the server warms up or is slowed by a fault.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from orchidferry.testkit import seeded_random
from orchidferry.testkit.scenario import Class, Rules, Tier

REPEAT_WORK_S = 0.002  # work, in core-seconds, to detect that an operation key has been seen
FAILURE_WORK_S = 0.005  # work, in core-seconds, of a request that fails because of a fault
WARM_UP_STEP_S = 0.05  # longest interval between updates while the server warms up
OVERLOAD_TOLERANCE = 1.1  # factor on the load that a cold server can bear, for random variation
WORK_EPSILON_S = 1e-6  # remaining work below this counts as done
MAX_KEYS = 200_000  # number of keys that one cell keeps; the oldest are evicted first


@dataclass(slots=True)
class Arrived:
    """A complete request has been received."""

    id: str
    cls: Class
    root: str  # name for drawing random values; the same for every attempt of a call
    key: str  # operation key (idempotency key)
    ends: float  # deadline, on the clock of `now` in `Machine.handle`


@dataclass(slots=True)
class CallDone:
    """A call to the next tier has ended."""

    id: str
    served: bool


@dataclass(slots=True)
class ClientGone:
    """The client of a request has disconnected; a queued request is dropped, a running one continues."""

    id: str


@dataclass(slots=True)
class Woken:
    """The time of the latest `WakeAt` has been reached."""


@dataclass(slots=True)
class ServerFaults:
    """The faults that affect the server from now on; by default none."""

    slowdown: float = 1.0  # factor on the time that work takes
    failure_rate: float = 0.0  # fraction of requests that fail with little work and no effect
    frozen: bool = False  # the server does no work


Event = Arrived | CallDone | ClientGone | Woken | ServerFaults


@dataclass(slots=True)
class Begin:
    """Record that work on a request has begun."""

    id: str


@dataclass(slots=True)
class Call:
    """Call the next tier; the result is returned as `CallDone`."""

    id: str
    number: int  # index of the call among the request's calls


@dataclass(slots=True)
class Finish:
    """End a request; `how` is served, repeat, error or rejected."""

    id: str
    how: str


@dataclass(slots=True)
class WakeAt:
    """Request the event `Woken` at time `t`; a later `WakeAt` replaces this one."""

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
    ends: float  # deadline
    phase_work_s: float  # work of one phase, in core-seconds
    calls: int  # total number of calls to the next tier
    calls_made: int = 0
    remaining_work_s: float = 0.0  # work left of the current phase, in core-seconds
    begun: bool = False
    repeat: bool = False  # its operation key had been seen, so it has no effect
    fails: bool = False  # a fault makes the request fail
    client_gone: bool = False


class SeenKeys:
    """The operation keys that a group of servers, such as a cell, has seen, with the time of each."""

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
    """Draw the work of one request at a tier.

    :param root: id of the request without the number of the attempt
    :returns: core-seconds
    """
    return seeded_random.log_normal(cls.work_s * tier.work, cls.spread, seed, "work", tier.name, root)


def draw_call_count(seed: int, tier: Tier, root: str, last: bool) -> int:
    """Draw the number of calls that one request at a tier makes to the next tier.

    :param root: id of the request without the number of the attempt
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
    speed: float  # core-seconds of work that a core does per second
    seed: int
    rules: Rules
    keys_of: Callable[[Class], SeenKeys]  # gives the seen keys with which requests of a class are compared
    cold_since: float | None = None  # start time of a server in slow start; None: no slow start
    faults: ServerFaults = field(default_factory=ServerFaults)


class Machine:
    """The state of one running server."""

    def __init__(self, parameters: ServerParameters, now: float) -> None:
        self.parameters = parameters
        self.jobs: dict[str, Job] = {}  # jobs that occupy a slot, by request id
        self.queue: deque[Job] = deque()
        self.collapsed = False
        self._ready: deque[Job] = deque()  # jobs that wait for a core
        self._cores: list[Job] = []  # jobs that occupy a core
        self._updated_at = now  # time up to which the work on cores has been counted
        # Recent arrivals while cold: time and core-seconds of each.
        self._cold_load: deque[tuple[float, float]] = deque()
        self._cold_load_s = 0.0  # sum of the core-seconds in `_cold_load`

    def capacity_share(self, now: float) -> float:
        """Return the available fraction of the full capacity, which is below 1 during slow start."""
        since = self.parameters.cold_since
        tier = self.parameters.tier
        if since is None:
            return 1.0
        return min(1.0, tier.cold_from + (1.0 - tier.cold_from) * max(0.0, now - since) / tier.cold_for_s)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Handle an event.

        :param now: seconds on any monotonic clock, the same in all calls
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
        """Count the work done since the last event, and end the completed phases."""
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
        """Start work on a request; only from now on does its key count as seen."""
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
                actions.append(Finish(job.id, "rejected"))  # the deadline passed in the queue
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
        """Return when the state must be updated next: at the latest when the first phase on a core ends."""
        rate = self._rate(now)
        if not self._cores or not rate:
            return None
        wait = min(job.remaining_work_s for job in self._cores) / rate
        return now + (wait if self.capacity_share(now) >= 1.0 else min(wait, WARM_UP_STEP_S))

    def _collapses_under(self, work: float, now: float) -> bool:
        """Return whether a cold server collapses under an arrival; rejected arrivals count as well.

        :param work: core-seconds of the arrival
        """
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
