"""Every decision of the load balancer; settings, events and actions: orchidferry/balancing/interface.py.

Here stands what becomes of a request: the gate that every send passes, retries, and how it ends. Its parts
decide one thing each: `delay` how much may be out, `listing` which servers are this copy's, `judgement` what
they are worth, `calls` which calls are late, `cold` what cold servers get, `pick` whom to send to,
`admission` who waits and who is shed. docs/design.md says what is kept of RTDC, changed and why."""

from __future__ import annotations

import random

from orchidferry.balancing import interface as api
from orchidferry.balancing.admission import Admission
from orchidferry.balancing.averages import SlidingCount
from orchidferry.balancing.calls import Call, Outstanding
from orchidferry.balancing.chain import Chain, Why
from orchidferry.balancing.cold import ColdStart
from orchidferry.balancing.delay import ADDED, PHASE_MARGIN, SAMPLES, START, WINDOW_SHARE, DelayController
from orchidferry.balancing.interface import Group, ListKind, Repeat, Result
from orchidferry.balancing.judgement import Judgement, Server
from orchidferry.balancing.listing import GUESTS, SLICES, Fleet
from orchidferry.balancing.pick import Picker

__all__ = [
    "ADDED",
    "GUESTS",
    "NEVER_RAN",
    "PHASE_MARGIN",
    "SLICES",
    "START",
    "WINDOW_SHARE",
    "WORK_TOKEN",
    "Balancer",
    "DelayController",
    "Server",
]

# T1, or less by aim, doubling with each attempt, with jitter
RETRY_WAIT_MS = 500.0
RETRY_WAIT_SHARE = 0.2
TIMEOUT_SHARE = 0.95  # of the time left, for an attempt that another may follow
HOT = 1.0  # calls out a server from which a copy doubles its slices
PATIENCE = 8.0  # times its usual delay: the longest that an attempt is waited for,
HASTE = 4.0  # and that the first is, where another may follow: time enough for it within the aim
PATIENT_MS = 50.0  # the least that an attempt is waited for: where answers take 1 ms, a hiccup takes 10
HASTE_SHARE = 1.25  # of the aim by which that one's answer is usual; later it is worth little
WORK_TOKEN = 1  # of the timer for the rest of a long list
ASK_SHARE = 0.1  # of the asking interval: mean wait before asking again after a failure

NEVER_RAN = frozenset((Result.REFUSED, Result.UNREACHABLE, Result.MOOT))


class Balancer:
    """One copy's decisions: feed it events, do what it says."""

    def __init__(self, settings: api.Settings, salt: int, chain: Chain | None = None) -> None:
        self.settings = settings
        self.chain = chain
        self.classes = {cls.name: cls for cls in settings.classes}
        self._rng = rng = random.Random(salt)
        self.controller = DelayController(settings.target_share)
        self.judgement = Judgement(settings.classes, rng)
        self.outstanding = Outstanding(self.classes, self.judgement)
        self.fleet = Fleet(settings, rng, lambda server: self.picker.moved(server))
        self.cold = ColdStart(settings, self.fleet, self.controller)
        self.picker = Picker(rng, self.fleet, self.cold, self.judgement, self.outstanding)
        # Deeper a refusal wastes work done above, unless it is known what that work was for.
        spares = settings.tier > 0 and not (chain is not None and chain.limits.shed)
        parts = self.fleet, self.controller, self.judgement, self.outstanding
        self.admission = Admission(settings, spares, rng, *parts)
        self._record = self.admission.record
        self._working = False  # a timer is out for the rest of a long list
        # A tick to spare at both edges of the window that the budget of attempts is counted over.
        self._taken = SlidingCount(settings.resend_span_ms - settings.tick_ms)
        self._further = SlidingCount(settings.resend_span_ms + settings.tick_ms)
        self._never_ran = NEVER_RAN - ({Result.REFUSED} if settings.full_may_have_run else set())
        self._calls: dict[str, Call] = {}
        self._uploads: set[str] = set()  # those of which an attempt is out that no server has whole
        self._waiting: dict[int, Call] = {}  # by timer token
        self._token = WORK_TOKEN  # that of the last timer; 0 is the one to ask for the list
        self._actions: list[api.Action] = []

    @property
    def inflight(self) -> int:
        """Attempts out."""
        return self.outstanding.inflight

    def avoided(self, now: float) -> int:
        """How many listed servers get nothing new now: they drain, or are out for errors."""
        listed = self.fleet.entries
        shut = sum(s.in_service and now < s.shut_ms for id, s in self.fleet.servers.items() if id in listed)
        return len(listed) - len(self.fleet.usable) + shut

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Take one event; what to do about it."""
        self._actions = []
        self.picker.refresh(now_ms, isinstance(event, api.Request))
        match event:
            case api.Request():
                self._on_request(event, now_ms)
            case api.AttemptEnded():
                self._on_ended(event, now_ms)
            case api.Uploaded():
                self._on_uploaded(event, now_ms)
            case api.TimerFired():
                self._on_timer(event, now_ms)
            case api.ServerList():
                self._on_list(event, now_ms)
            case api.ClientGone():
                gone = self._calls.pop(event.id, None)
                if self.chain is not None:
                    self._abandon(event.id, gone)
            case api.NewSettings():
                self._on_settings(event.settings, now_ms)
            case api.Started() if self.settings.follow_list:
                self._actions.append(api.Subscribe())
        return self._actions

    def _on_settings(self, new: api.Settings, now: float) -> None:
        """Other settings: no request, attempt or learned weight goes with the old ones.

        Calls keep the class that they came under: a key's window is the one of when it was taken.
        """
        old = self.settings
        self.settings = new
        named = {cls.name: cls for cls in new.classes}
        for name in [name for name in self.classes if name not in named]:
            del self.classes[name]
        self.classes |= named
        self.judgement.change(new.classes)
        self.outstanding.change(named)
        self.admission.change(new, self.classes)
        self.cold.settings = new
        self.fleet.regroup(new)
        if (old.ramp_time_ms, old.start_capacity) != (new.ramp_time_ms, new.start_capacity):
            self.picker.rewarmed()
        self._release(now)

    def _abandon(self, id: str, call: Call | None) -> None:
        """Nobody waits: what is out below is told, so that it does no work for nothing down the chain.

        But an unsafe call is let run, as it may have begun: half of it would be worse than all.
        """
        if self.chain is not None:
            self.chain.done(id)
        if call is None or not call.out or not self.settings.can_cancel:
            return
        if call.cls.repeat is not Repeat.UNSAFE:
            self._actions.append(api.Cancel(id, call.attempts - 1))

    def _on_request(self, event: api.Request, now: float) -> None:
        call = self._calls[event.id] = Call(event, self.classes[event.cls], now)
        self._record.asked(event.cls)
        self._taken.add(now)
        call.over_share = self.admission.over_share(event.tenant, now)
        if self.chain is not None:
            why = self.chain.take(call.id, event.carried, event.cls, call.cls.worth, event.ttl_ms, now)
            if why is not None:
                return self._end(call, why)
            call.weight = self.chain.weight(call.id, call.cls.worth)
            self.admission.weighed(call.weight)
        if self.admission.shed(call, now):
            return self._end(call)
        self._attempt(call, now)

    def _attempt(self, call: Call, now: float) -> None:
        if self.chain is not None and not self.chain.may_send(call.id, now):
            return self._end(call)
        crowded = self.admission.crowded(call, now)
        server = None if crowded else self.picker.pick(call)
        if crowded or (server is None and call.ran_ms is None and self.fleet.ready):
            wait_ms = self.admission.hold(call, now)
            (self._set_timer(call, wait_ms) if wait_ms > 0.0 else self._end(call))
        elif server is None or not self._send(call, server, now):
            self._wait_or_end(call, now)

    def _release(self, now: float) -> None:
        """Send held calls as room comes up, those of most worth first."""
        for queue in self.admission.queues():
            while queue:
                call = queue[0]
                if call.held and call.id in self._calls:
                    crowded = self.admission.crowded(call, now)
                    server = None if crowded else self.picker.pick(call)
                    if server is None:
                        break
                    call.held = False
                    call.token = 0
                    if not self._send(call, server, now):
                        self._wait_or_end(call, now)
                queue.popleft()

    def _send(self, call: Call, server: Server, now: float) -> bool:
        """The one gate that every send passes: rules 1 to 6."""
        cls = call.cls
        left = call.ends_ms - now
        usual = self.judgement
        if call.id not in self._calls or call.out or left <= self.settings.tick_ms:
            return False  # rule 1
        if call.attempts >= self.settings.max_attempts or not self._repeatable(call, now):
            return False
        if call.ran_ms is not None and server.group(cls.group) != call.pin:
            return False  # rule 2
        if not server.in_service or self.fleet.servers.get(server.id) is not server:
            return False  # rule 3
        if call.attempts and not self._in_budget(now):
            return False  # rule 5
        if self.chain is not None and not self.chain.may_send(call.id, now):
            return False
        warmth = self.cold.warmth(server, now)
        if warmth < 1.0:
            if self.cold.tokens(server, warmth, now) < 1.0:
                return False  # rule 4
            server.budget.tokens -= 1.0
        carried = None
        if self.chain is not None:
            carried = self.chain.send(call.id, now)
            left = self.chain.left_ms(left)
        if call.attempts:
            self._further.add(now)
        call.attempts += 1
        call.out = True
        call.last = server
        call.sent_ms = now
        call.idle_ms = 0.0 if server.out else now - server.used_ms
        if call.upload:
            self._uploads.add(call.id)  # takes no room yet, and is not waited for
        else:
            self.outstanding.begin(call, server, now)
        if self.outstanding.inflight > HOT * len(self.fleet.ready) and self.fleet.may_widen():
            self.fleet.widen()
            self._work(now)
        if call.idle_ms > usual.idle_ms:  # Rosario fresh-big: what is sent on a dropped connection is lost
            self._actions.append(api.CloseIdle(server.id))
            call.idle_ms = 0.0
        once = cls.repeat is Repeat.UNSAFE  # on a fresh connection: a loss could not be made good
        wait = left if once or call.attempts == self.settings.max_attempts else TIMEOUT_SHARE * left
        # i2750ee: calls to a lost zone that wait out a whole deadline fill the slots of the tier above.
        # Only where a second attempt can still be answered within the aim: in churn+long a slow tier's calls
        # were cut for one that met a full window, and ended.
        soon = call.attempts == 1 and not once and (HASTE + 1.0) * usual.share <= HASTE_SHARE
        patience = HASTE if soon else PATIENCE
        most = max(PATIENT_MS, patience * usual.share * cls.aim_ms) if usual.seen >= SAMPLES else left
        self._actions.append(api.Send(call.id, server.id, min(most, wait), once, carried))
        return True

    def _on_uploaded(self, event: api.Uploaded, now: float) -> None:
        call = self._calls.get(event.id)
        if event.id not in self._uploads:
            return
        self._uploads.discard(event.id)
        if call is None or call.last is None:  # nobody waits any more, but a server works
            self.outstanding.inflight += 1
            return
        call.upload = False
        call.arrived_ms = now
        call.ends_ms = now + event.ttl_ms
        call.sent_ms = now
        self.outstanding.begin(call, call.last, now)

    def _in_budget(self, now: float) -> bool:
        """Whether the stated budget of attempts beyond the first bears one more now."""
        ratio = self.settings.repeat_ratio
        taken = self._taken.count(now)
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
            self._record.ended(call.cls.name, False)
            everywhere = call.cls.repeat is Repeat.KEYED and call.cls.group is Group.ALL
            harmless = not call.out and (call.ran_ms is None or everywhere or call.cls.repeat is Repeat.SAFE)
            below = why is not None and why is not Why.LATE
            used = 0
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
        call = self._calls.get(event.id)
        server = self.fleet.servers.get(event.server)
        if event.id in self._uploads:
            self._uploads.discard(event.id)
        else:
            self.outstanding.inflight -= 1
        if server is not None:
            if event.report:
                server.queue = event.report.get("queue", 0.0)
                server.report_ms = now
            sent = self.outstanding.ended(event.id, server)
            server.used_ms = now
            if call is not None and call.idle_ms:
                self.judgement.idled(call.idle_ms, event.result)
            self.judgement.learn(server, event.result, len(self.fleet.ready), now)
            if sent is not None:
                self._timed(server, sent, event, now)
            self.picker.judged(server)
        if call is not None and event.settled:
            del self._calls[event.id]
            if self.chain is not None:
                self.chain.done(event.id)
            self._record.ended(call.cls.name, now - call.arrived_ms <= call.cls.aim_ms)
            self._record.answered(call.cls.name, event.duration_ms)
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

    def _timed(self, server: Server, sent: tuple[float, float], event: api.AttemptEnded, now: float) -> None:
        """What an outcome tells of the delay, also if nobody waits for the answer any more.

        Callers that leave early leave what takes long: without theirs, delay and answer rate come out low.
        """
        sent_ms, aim_ms = sent
        if event.result in (Result.SERVED, Result.TIMEOUT):
            served = event.result is Result.SERVED
            self.judgement.timed(server, sent, event.duration_ms, served, now)
            if served:
                self.outstanding.served(server, sent_ms)
            self.controller.answered(event.duration_ms, aim_ms, now, served)
        elif event.result is Result.REFUSED:  # full is as slow as a server gets
            self.controller.answered(aim_ms, aim_ms, now, False)

    def _on_timer(self, event: api.TimerFired, now: float) -> None:
        if event.token == 0:
            self._actions.append(api.Subscribe())
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
