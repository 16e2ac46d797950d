"""Every decision of the load balancer; settings, events and actions: orchidferry/balancing/interface.py.

Here: the gate that every send passes, retries, and how a request ends. The parts: `delay` how much may be
outstanding, `server_set` which servers are this copy's, `outlier_detection` how healthy they are, `calls`
which calls are late, `slow_start` what warming servers get, `picker` which server is next, `admission` which
calls wait or are shed. Rules 1 to 6 are those of the operators' pages; docs/design.md gives the reasons.
"""

from __future__ import annotations

import random

from orchidferry.balancing import interface as api
from orchidferry.balancing.admission import Admission
from orchidferry.balancing.averages import SlidingCount
from orchidferry.balancing.calls import Outstanding
from orchidferry.balancing.chain import Chain, Rejection
from orchidferry.balancing.delay import SAMPLES, DelayController
from orchidferry.balancing.interface import Group, ListKind, Repeat, Result
from orchidferry.balancing.outlier_detection import OutlierDetector
from orchidferry.balancing.picker import Picker
from orchidferry.balancing.records import Call, Sent, Server
from orchidferry.balancing.server_set import ServerSet
from orchidferry.balancing.slow_start import SlowStart

BASE_BACKOFF_MS = 500.0  # the paper's T1, before jitter; it doubles with each attempt
BASE_BACKOFF_SHARE = 0.2  # of the latency target, where that is less
TIMEOUT_SHARE = 0.95  # of the time left, for an attempt that another may follow
WIDEN_AT_LOAD = 1.0  # outstanding calls a server from which a copy doubles its slices
TIMEOUT_FACTOR = 8.0  # times the baseline delay: the longest that an attempt is waited for,
FIRST_TIMEOUT_FACTOR = 4.0  # and the first, where another can follow within the latency target
MIN_TIMEOUT_MS = 50.0  # that an attempt is waited for: where answers take 1 ms, a hiccup takes 10
FIRST_TIMEOUT_MAX_SHARE = 1.25  # of the latency target by which that other one's answer is expected
LIST_TIMER_TOKEN = 1  # of the timer for the rest of a long list
RESUBSCRIBE_SHARE = 0.1  # of the asking interval: mean wait before subscribing again after a failure

NEVER_RAN = frozenset((Result.REFUSED, Result.UNREACHABLE, Result.MOOT))


class Balancer:
    """One copy's decisions: hand in events, carry out the actions that it returns."""

    def __init__(self, settings: api.Settings, salt: int, chain: Chain | None = None) -> None:
        """`salt` seeds all random choices; `chain`: this node's part in a chain of tiers, if there is one."""
        self.settings = settings
        self.chain = chain
        self.classes = {cls.name: cls for cls in settings.classes}
        self._rng = rng = random.Random(salt)
        self.controller = DelayController(settings.target_share)
        self.outliers = OutlierDetector(settings.classes, rng)
        self.outstanding = Outstanding(self.classes, self.outliers)
        self.server_set = ServerSet(settings, rng, lambda server: self.picker.part_changed(server))
        self.slow_start = SlowStart(settings, self.server_set, self.controller)
        self.picker = Picker(rng, self.server_set, self.slow_start, self.outliers, self.outstanding)
        # Deeper a rejection wastes work done above, unless it is known what that work was for.
        never_sheds = settings.tier > 0 and not (chain is not None and chain.limits.shed)
        parts = self.server_set, self.controller, self.outliers, self.outstanding
        self.admission = Admission(settings, never_sheds, rng, *parts)
        self._statistics = self.admission.statistics
        self._list_timer_set = False
        # A tick to spare at both edges of the window that the retry budget is counted over.
        self._recent_requests = SlidingCount(settings.resend_span_ms - settings.tick_ms)
        self._recent_retries = SlidingCount(settings.resend_span_ms + settings.tick_ms)
        self._never_ran = NEVER_RAN - ({Result.REFUSED} if settings.full_may_have_run else set())
        self._calls: dict[str, Call] = {}
        self._uploads: set[str] = set()  # calls in flight that no server has received completely
        self._timers: dict[int, Call] = {}  # by token
        self._token = LIST_TIMER_TOKEN  # of the last timer; 0 is the one to subscribe again
        self._actions: list[api.Action] = []

    @property
    def inflight(self) -> int:
        """Attempts that are outstanding."""
        return self.outstanding.inflight

    def avoided(self, now: float) -> int:
        """How many listed servers get nothing new now: they drain, or are ejected."""
        listed = self.server_set.entries
        known = self.server_set.servers
        ejected = sum(s.in_service and now < s.ejected_until_ms for id, s in known.items() if id in listed)
        return len(listed) - len(self.server_set.in_service_ids) + ejected

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Take one event; the actions that follow from it, in order."""
        self._actions = []
        self.picker.refresh(now_ms, isinstance(event, api.Request))
        match event:
            case api.Request():
                self._on_request(event, now_ms)
            case api.AttemptEnded():
                self._on_attempt_ended(event, now_ms)
            case api.Uploaded():
                self._on_uploaded(event, now_ms)
            case api.TimerFired():
                self._on_timer(event, now_ms)
            case api.ServerList():
                self._on_list(event, now_ms)
            case api.ClientGone():
                self._on_client_gone(event.id)
            case api.NewSettings():
                self._on_settings(event.settings, now_ms)
            case api.Started() if self.settings.follow_list:
                self._actions.append(api.Subscribe())
        return self._actions

    def _on_settings(self, new: api.Settings, now: float) -> None:
        """Take new settings; requests keep the class that they came under, servers their learned weights."""
        old = self.settings
        self.settings = new
        classes = {cls.name: cls for cls in new.classes}
        for name in [name for name in self.classes if name not in classes]:
            del self.classes[name]
        self.classes |= classes
        self.outliers.set_classes(new.classes)
        self.outstanding.set_classes(classes)
        self.admission.change_settings(new, self.classes)
        self.slow_start.settings = new
        self.server_set.update_groups(new)
        if (old.ramp_time_ms, old.start_capacity) != (new.ramp_time_ms, new.start_capacity):
            self.picker.slow_start_changed()
        self._release(now)

    def _on_client_gone(self, id: str) -> None:
        """Cancel what is in flight down a chain, but let an unsafe call run: half would be worse than all."""
        call = self._calls.pop(id, None)
        if self.chain is None:
            return
        self.chain.done(id)
        if call is None or not call.in_flight or not self.settings.can_cancel:
            return
        if call.cls.repeat is not Repeat.UNSAFE:
            self._actions.append(api.Cancel(id, call.attempts - 1))

    def _on_request(self, event: api.Request, now: float) -> None:
        call = self._calls[event.id] = Call(event, self.classes[event.cls], now)
        self._statistics.record_request(event.cls)
        self._recent_requests.add(now)
        call.over_share = self.admission.over_share(event.tenant, now)
        if self.chain is not None:
            rejection = self.chain.admit(call.id, event.carried, event.cls, call.cls.worth, event.ttl_ms, now)
            if rejection is not None:
                return self._end(call, rejection)
            call.weight = self.chain.weight(call.id, call.cls.worth)
            self.admission.record_weight(call.weight)
        if self.admission.sheds(call, now):
            return self._end(call)
        self._attempt(call, now)
        return None

    def _attempt(self, call: Call, now: float) -> None:
        if self.chain is not None and not self.chain.may_send(call.id, now):
            return self._end(call)
        crowded = self.admission.crowded(call, now)
        server = None if crowded else self.picker.pick(call)
        if crowded or (server is None and call.may_have_run_ms is None and self.server_set.assigned):
            wait_ms = self.admission.enqueue(call, now)
            (self._set_timer(call, wait_ms) if wait_ms > 0.0 else self._end(call))
        elif server is None or not self._send(call, server, now):
            self._retry_or_end(call, now)
        return None

    def _release(self, now: float) -> None:
        """Send queued calls as capacity becomes free, those of most value first."""
        for queue in self.admission.queues():
            while queue:
                call = queue[0]
                if call.queued and call.id in self._calls:
                    crowded = self.admission.crowded(call, now)
                    server = None if crowded else self.picker.pick(call)
                    if server is None:
                        break
                    call.queued = False
                    call.timer_token = 0
                    if not self._send(call, server, now):
                        self._retry_or_end(call, now)
                queue.popleft()

    def _send(self, call: Call, server: Server, now: float) -> bool:
        """The one gate that every send passes: rules 1 to 6. Whether it was sent."""
        if not self._may_send(call, server, now):
            return False
        share = self.slow_start.capacity_share(server, now)
        if share < 1.0:
            if self.slow_start.available_tokens(server, share, now) < 1.0:
                return False  # rule 4
            server.slow_start_tokens.tokens -= 1.0
        carried = None
        left_ms = call.deadline_ms - now
        if self.chain is not None:
            carried = self.chain.send(call.id, now)
            left_ms = self.chain.left_ms(left_ms)
        if call.attempts:
            self._recent_retries.add(now)
        call.attempts += 1
        call.in_flight = True
        call.last_server = server
        call.sent_ms = now
        call.idle_ms = 0.0 if server.outstanding else now - server.last_used_ms
        if call.uploading:
            self._uploads.add(call.id)  # takes no capacity yet, and is not waited for
        else:
            self.outstanding.begin(call, server, now)
        busy = self.outstanding.inflight > WIDEN_AT_LOAD * len(self.server_set.assigned)
        if busy and self.server_set.may_widen():
            self.server_set.widen()
            self._apply_list_step(now)
        if call.idle_ms > self.outliers.idle_ms:  # Rosario fresh-big: a dropped connection loses it
            self._actions.append(api.CloseIdle(server.id))
            call.idle_ms = 0.0
        fresh = call.cls.repeat is Repeat.UNSAFE  # on a fresh connection: a loss could not be made good
        self._actions.append(api.Send(call.id, server.id, self._timeout_ms(call, left_ms), fresh, carried))
        return True

    def _may_send(self, call: Call, server: Server, now: float) -> bool:
        """Whether rules 1, 2, 3 and 5 and the chain let this call go to this server."""
        if call.id not in self._calls or call.in_flight or call.deadline_ms - now <= self.settings.tick_ms:
            return False  # rule 1
        if call.attempts >= self.settings.max_attempts or not self._repeatable(call, now):
            return False
        if call.may_have_run_ms is not None and server.group(call.cls.group) != call.repeat_group:
            return False  # rule 2
        if not server.in_service or self.server_set.servers.get(server.id) is not server:
            return False  # rule 3
        if call.attempts and not self._in_budget(now):
            return False  # rule 5
        return self.chain is None or self.chain.may_send(call.id, now)

    def _timeout_ms(self, call: Call, left_ms: float) -> float:
        """How long to wait for the attempt that is being sent, of the time left."""
        unsafe = call.cls.repeat is Repeat.UNSAFE
        last = unsafe or call.attempts == self.settings.max_attempts
        longest_ms = left_ms if last else TIMEOUT_SHARE * left_ms
        outliers = self.outliers
        if outliers.samples < SAMPLES:
            return min(left_ms, longest_ms)
        # i2750ee: calls to a lost zone that wait out a whole deadline fill the slots of the tier above.
        # The first is cut short only where a second can be answered in time: it may meet a full window.
        baseline = outliers.baseline_share
        retry_in_time = (FIRST_TIMEOUT_FACTOR + 1.0) * baseline <= FIRST_TIMEOUT_MAX_SHARE
        short = call.attempts == 1 and not unsafe and retry_in_time
        factor = FIRST_TIMEOUT_FACTOR if short else TIMEOUT_FACTOR
        return min(max(MIN_TIMEOUT_MS, factor * baseline * call.cls.aim_ms), longest_ms)

    def _on_uploaded(self, event: api.Uploaded, now: float) -> None:
        call = self._calls.get(event.id)
        if event.id not in self._uploads:
            return
        self._uploads.discard(event.id)
        if call is None or call.last_server is None:  # nobody waits any more, but a server works
            self.outstanding.inflight += 1
            return
        call.uploading = False
        call.arrived_ms = now
        call.deadline_ms = now + event.ttl_ms
        call.sent_ms = now
        self.outstanding.begin(call, call.last_server, now)

    def _in_budget(self, now: float) -> bool:
        """Whether the stated retry budget bears one more now."""
        if self.settings.repeat_ratio is None:
            return True
        earned = self.settings.repeat_ratio * self._recent_requests.count(now)
        return self._recent_retries.count(now) + 1 <= self.settings.extra_floor + earned

    def _repeatable(self, call: Call, now: float) -> bool:
        """Whether the class lets the call be sent (again)."""
        if call.may_have_run_ms is None or call.cls.repeat is Repeat.SAFE:
            return True
        window_ms = call.cls.window_ms - self.settings.tick_ms
        return call.cls.repeat is Repeat.KEYED and now - call.may_have_run_ms < window_ms

    def _backoff_ms(self, call: Call) -> float:
        """Backoff before a retry, or before the caller's own, without jitter."""
        base = min(BASE_BACKOFF_MS, BASE_BACKOFF_SHARE * call.cls.aim_ms)
        return base * 2.0 ** max(0, call.attempts - 1)

    def _retry_or_end(self, call: Call, now: float, waited_ms: float = 0.0) -> None:
        """Back off before the next attempt where one can still be made in time, else end the request."""
        wait_ms = max(0.0, self._backoff_ms(call) * (0.5 + self._rng.random()) - waited_ms)
        starts = now + wait_ms + 2.0 * self.settings.tick_ms
        allowed = call.attempts < self.settings.max_attempts and self._repeatable(call, starts)
        allowed = allowed and (self.chain is None or self.chain.may_send(call.id, now))
        if starts < call.deadline_ms and allowed:
            self._set_timer(call, wait_ms)
        else:
            self._end(call)

    def _end(self, call: Call, rejection: Rejection | None = None) -> None:
        """End a request unserved: refused where a repeat is harmless, else failed, as a loop always is."""
        if self._calls.pop(call.id, None):
            self._statistics.record_end(call.cls.name, False)
            everywhere = call.cls.repeat is Repeat.KEYED and call.cls.group is Group.ALL
            repeatable = call.may_have_run_ms is None or everywhere or call.cls.repeat is Repeat.SAFE
            below = rejection is not None and rejection is not Rejection.LATE
            used = 0
            if self.chain is not None and rejection is None:
                below, used = self.chain.verdict(call.id)
                self.chain.done(call.id)
            if repeatable and not call.in_flight and rejection is not Rejection.LOOP:
                self._actions.append(api.Refuse(call.id, self._backoff_ms(call), below, used))
            else:
                self._actions.append(api.Fail(call.id, below, used))

    def _set_timer(self, call: Call, delay_ms: float) -> None:
        self._token = call.timer_token = self._token + 1
        self._timers[call.timer_token] = call
        self._actions.append(api.SetTimer(self._token, delay_ms))

    def _on_attempt_ended(self, event: api.AttemptEnded, now: float) -> None:
        if self.chain is not None:
            self.chain.attempt_ended(event.id, event.result, event.below, event.used, event.duration_ms, now)
        call = self._calls.get(event.id)
        server = self.server_set.servers.get(event.server)
        if event.id in self._uploads:
            self._uploads.discard(event.id)
        else:
            self.outstanding.inflight -= 1
        if server is not None:
            self._record_outcome(server, call, event, now)
        if call is not None and event.settled:
            del self._calls[event.id]
            if self.chain is not None:
                self.chain.done(event.id)
            self._statistics.record_end(call.cls.name, now - call.arrived_ms <= call.cls.aim_ms)
            self._statistics.record_answer(call.cls.name, event.duration_ms)
        elif call is not None:
            self._on_attempt_failed(call, event, now)
        self._release(now)

    def _on_attempt_failed(self, call: Call, event: api.AttemptEnded, now: float) -> None:
        """Retry a call whose attempt was not served, with the probability of the delay loop."""
        call.in_flight = False
        if call.may_have_run_ms is None and call.last_server and event.result not in self._never_ran:
            call.may_have_run_ms = call.sent_ms
            call.repeat_group = call.last_server.group(call.cls.group)
        if not event.spent and self._rng.random() < self.controller.retry_probability(now):
            # As the paper's timer runs from the send, a timeout has been waited for already.
            timed_out = event.result is Result.TIMEOUT
            self._retry_or_end(call, now, event.duration_ms if timed_out else 0.0)
        else:
            self._end(call)

    def _record_outcome(self, server: Server, call: Call | None, event: api.AttemptEnded, now: float) -> None:
        """Learn from the end of an attempt what it says of its server."""
        if event.report:
            server.reported_queue = event.report.get("queue", 0.0)
            server.reported_ms = now
        sent = self.outstanding.ended(event.id, server)
        server.last_used_ms = now
        if call is not None and call.idle_ms:
            self.outliers.record_idle_result(call.idle_ms, event.result)
        self.outliers.record_result(server, event.result, len(self.server_set.assigned), now)
        if sent is not None:
            self._record_delay(server, sent, event, now)
        self.picker.attempt_ended(server)

    def _record_delay(self, server: Server, sent: Sent, event: api.AttemptEnded, now: float) -> None:
        """Learn from an outcome about the delay, also if its client has gone: such leave what takes long."""
        sent_ms, aim_ms = sent
        if event.result in (Result.SERVED, Result.TIMEOUT):
            served = event.result is Result.SERVED
            self.outliers.record_delay(server, sent, event.duration_ms, served, now)
            if served:
                self.outstanding.served(server, sent_ms)
            self.controller.record_answer(event.duration_ms, aim_ms, now, served)
        elif event.result is Result.REFUSED:  # a full server is as slow as one gets
            self.controller.record_answer(aim_ms, aim_ms, now, False)

    def _on_timer(self, event: api.TimerFired, now: float) -> None:
        if event.token == 0:
            self._actions.append(api.Subscribe())
        if event.token == LIST_TIMER_TOKEN and self._list_timer_set:
            self._list_timer_set = False
            self._apply_list_step(now)
            self._release(now)
        call = self._timers.pop(event.token, None)
        if call and call.timer_token == event.token and call.id in self._calls:
            (self._end(call) if call.queued else self._attempt(call, now))

    def _on_list(self, event: api.ServerList, now: float) -> None:
        if event.kind is ListKind.FAILED:  # ask again, not in step with the others
            wait_ms = RESUBSCRIBE_SHARE * self.settings.ask_every_ms * (0.5 + self._rng.random())
            return self._actions.append(api.SetTimer(0, wait_ms))
        self.server_set.apply(event)
        self._apply_list_step(now)
        self._release(now)
        return None

    def _apply_list_step(self, now: float) -> None:
        """Apply a step of a long list, and let the rest wait, as requests come between."""
        if self.server_set.apply_step(now) and not self._list_timer_set:
            self._list_timer_set = True
            self._actions.append(api.SetTimer(LIST_TIMER_TOKEN, 0.0))
