"""The decisions of the load balancer; settings, events and actions: orchidferry/balancing/interface.py.

This module has the check that every send passes, the retries, and the end of requests. The others: `delay`
limits outstanding calls, `server_set` selects this node's subset of the servers, `outlier_detection` judges
their health, `calls` finds overdue calls, `slow_start` limits the load of warming servers, `picker` selects
the next server, and `admission` queues or sheds calls. docs/design.md gives the reasons.

Rules 1 to 6, as stated to the operators: (1) each request gets one final answer by its deadline; (2) a
request that may have run is repeated only where its class allows it; (3) a draining server gets no new
attempts; (4) a warming server gets a limited load; (5) retries stay within a budget; (6) where the settings
say so, a refusal does not prove that the attempt never ran.
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

BASE_BACKOFF_MS = 500.0  # backoff before the first retry, before jitter (T1 of RTDC); doubles each attempt
BASE_BACKOFF_SHARE = 0.2  # the same backoff as a share of the latency target, where that is shorter
TIMEOUT_SHARE = 0.95  # longest timeout of an attempt that may be retried, as a share of the time left
WIDEN_AT_LOAD = 1.0  # mean outstanding calls per assigned server above which a node doubles its subset
TIMEOUT_FACTOR = 8.0  # timeout of an attempt as a multiple of the baseline delay
FIRST_TIMEOUT_FACTOR = 4.0  # the same for a first attempt that leaves time for a retry and its answer
MIN_TIMEOUT_MS = 50.0  # shortest timeout of an attempt: where answers take 1 ms, a hiccup takes 10 ms
FIRST_TIMEOUT_MAX_SHARE = 1.25  # "in time" for that retry's expected answer, as a share of the latency target
LIST_TIMER_TOKEN = 1  # token of the timer that continues applying a long server list
RESUBSCRIBE_SHARE = 0.1  # mean delay before resubscribing after a failure, as a share of `ask_every_ms`

NEVER_RAN = frozenset((Result.REFUSED, Result.UNREACHABLE, Result.MOOT))


class Balancer:
    """The load balancer of one node: takes events, and returns the actions that the node must carry out."""

    def __init__(self, settings: api.Settings, salt: int, chain: Chain | None = None) -> None:
        """Create a balancer.

        :param salt: the seed of all random choices
        :param chain: the limits of the chain of tiers that this node is in, if there is one
        """
        self.settings = settings
        self.chain = chain
        self.classes = {cls.name: cls for cls in settings.classes}
        self._rng = rng = random.Random(salt)
        self.controller = DelayController(settings.target_share)
        self.outliers = OutlierDetector(settings.classes, rng)
        self.outstanding = Outstanding(self.classes, self.outliers)
        self.server_set = ServerSet(settings, rng, lambda server: self.picker.assignment_changed(server))
        self.slow_start = SlowStart(settings, self.server_set, self.controller)
        self.picker = Picker(rng, self.server_set, self.slow_start, self.outliers, self.outstanding)
        # In a deeper tier a rejection wastes work done above. Calls are shed there only if the chain passes
        # on the worth of each request, so that the least valuable are rejected (`Limits.shed`).
        never_sheds = settings.tier > 0 and not (chain is not None and chain.limits.shed)
        inputs = self.server_set, self.controller, self.outliers, self.outstanding
        self.admission = Admission(settings, never_sheds, rng, *inputs)
        self._statistics = self.admission.statistics
        self._list_timer_set = False
        # Event times are accurate to one tick: requests are counted over a window that is a tick shorter than
        # that of the retry budget, and retries over one that is a tick longer.
        self._recent_requests = SlidingCount(settings.resend_span_ms - settings.tick_ms)
        self._recent_retries = SlidingCount(settings.resend_span_ms + settings.tick_ms)
        self._never_ran = NEVER_RAN - ({Result.REFUSED} if settings.full_may_have_run else set())
        self._calls: dict[str, Call] = {}
        self._uploads: set[str] = set()  # ids of calls whose request body is still being sent to a server
        self._timers: dict[int, Call] = {}  # waiting calls by the token of their timer
        self._token = LIST_TIMER_TOKEN  # token of the last timer set; 0 is the timer to resubscribe
        self._actions: list[api.Action] = []

    @property
    def inflight(self) -> int:
        """The number of outstanding attempts."""
        return self.outstanding.inflight

    def avoided(self, now: float) -> int:
        """The number of listed servers that get no new calls, as they are draining or ejected."""
        listed = self.server_set.entries
        known = self.server_set.servers
        ejected = sum(s.in_service and now < s.ejected_until_ms for id, s in known.items() if id in listed)
        return len(listed) - len(self.server_set.in_service_ids) + ejected

    def handle(self, event: api.Event, now_ms: float) -> list[api.Action]:
        """Handle one event.

        :returns: the resulting actions, in order
        """
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
        """Apply new settings; open requests keep their class settings, and servers their learned weights."""
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
        """Forget a request; in a chain of tiers, cancel its attempt in flight.

        An attempt of an unsafe class is left to finish: partial execution would be worse than complete.
        """
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
        call.over_quota = self.admission.over_quota(event.tenant, now)
        if self.chain is not None:
            rejection = self.chain.admit(call.id, event.carried, event.cls, call.cls.worth, event.ttl_ms, now)
            if rejection is not None:
                return self._end(call, rejection)
            call.weight = self.chain.weight(call.id, call.cls.worth)
            self.admission.record_weight(call.weight)
        if self.admission.should_shed(call, now):
            return self._end(call)
        self._attempt(call, now)
        return None

    def _attempt(self, call: Call, now: float) -> None:
        if self.chain is not None and not self.chain.may_send(call.id, now):
            return self._end(call)
        window_full = self.admission.window_full(call, now)
        server = None if window_full else self.picker.pick(call)
        if window_full or (server is None and call.may_have_run_ms is None and self.server_set.assigned):
            wait_ms = self.admission.enqueue(call, now)
            (self._set_timer(call, wait_ms) if wait_ms > 0.0 else self._end(call))
        elif server is None or not self._send(call, server, now):
            self._retry_or_end(call, now)
        return None

    def _release(self, now: float) -> None:
        """Send queued calls while there is capacity, the most valuable first."""
        for queue in self.admission.queues():
            while queue:
                call = queue[0]
                if call.queued and call.id in self._calls:
                    window_full = self.admission.window_full(call, now)
                    server = None if window_full else self.picker.pick(call)
                    if server is None:
                        break
                    call.queued = False
                    call.timer_token = 0
                    if not self._send(call, server, now):
                        self._retry_or_end(call, now)
                queue.popleft()

    def _send(self, call: Call, server: Server, now: float) -> bool:
        """Send a call if rules 1 to 6 allow it; every send goes through here.

        :returns: whether it was sent
        """
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
            self._uploads.add(call.id)  # uses no capacity and is not overdue until the body is complete
        else:
            self.outstanding.begin(call, server, now)
        busy = self.outstanding.inflight > WIDEN_AT_LOAD * len(self.server_set.assigned)
        if busy and self.server_set.may_widen():
            self.server_set.widen()
            self._apply_list_step(now)
        if call.idle_ms > self.outliers.max_idle_ms:  # calls are lost on dropped connections
            self._actions.append(api.CloseIdle(server.id))
            call.idle_ms = 0.0
        fresh = call.cls.repeat is Repeat.UNSAFE  # a call lost on a dead connection could not be repeated
        self._actions.append(api.Send(call.id, server.id, self._timeout_ms(call, left_ms), fresh, carried))
        return True

    def _may_send(self, call: Call, server: Server, now: float) -> bool:
        """Whether rules 1, 2, 3 and 5 and the chain allow sending this call to this server."""
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
        """The timeout of the attempt that is being sent, at most the time left for the call."""
        unsafe = call.cls.repeat is Repeat.UNSAFE
        last = unsafe or call.attempts == self.settings.max_attempts
        longest_ms = left_ms if last else TIMEOUT_SHARE * left_ms
        outliers = self.outliers
        if outliers.samples < SAMPLES:
            return min(left_ms, longest_ms)
        # Calls to an unreachable zone that wait until their deadline fill the slots of the
        # tier above. The first attempt gets the short timeout only if a retry can be answered in time, as
        # the retry may find the window full.
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
        if call is None or call.last_server is None:  # the client has gone, but a server works on it
            self.outstanding.inflight += 1
            return
        call.uploading = False
        call.arrived_ms = now
        call.deadline_ms = now + event.ttl_ms
        call.sent_ms = now
        self.outstanding.begin(call, call.last_server, now)

    def _in_budget(self, now: float) -> bool:
        """Whether the retry budget (rule 5) allows one more retry now."""
        if self.settings.repeat_ratio is None:
            return True
        earned = self.settings.repeat_ratio * self._recent_requests.count(now)
        return self._recent_retries.count(now) + 1 <= self.settings.extra_floor + earned

    def _repeatable(self, call: Call, now: float) -> bool:
        """Whether the call's class allows sending it, again if it may have run already."""
        if call.may_have_run_ms is None or call.cls.repeat is Repeat.SAFE:
            return True
        window_ms = call.cls.window_ms - self.settings.tick_ms
        return call.cls.repeat is Repeat.KEYED and now - call.may_have_run_ms < window_ms

    def _backoff_ms(self, call: Call) -> float:
        """The backoff without jitter before a retry, by this node or by the client."""
        base = min(BASE_BACKOFF_MS, BASE_BACKOFF_SHARE * call.cls.aim_ms)
        return base * 2.0 ** max(0, call.attempts - 1)

    def _retry_or_end(self, call: Call, now: float, waited_ms: float = 0.0) -> None:
        """Set a timer for the next attempt if one is allowed and can be made in time, else end the request.

        :param waited_ms: the part of the backoff that has passed already
        """
        wait_ms = max(0.0, self._backoff_ms(call) * (0.5 + self._rng.random()) - waited_ms)
        start_ms = now + wait_ms + 2.0 * self.settings.tick_ms
        allowed = call.attempts < self.settings.max_attempts and self._repeatable(call, start_ms)
        allowed = allowed and (self.chain is None or self.chain.may_send(call.id, now))
        if start_ms < call.deadline_ms and allowed:
            self._set_timer(call, wait_ms)
        else:
            self._end(call)

    def _end(self, call: Call, rejection: Rejection | None = None) -> None:
        """End a request without an answer from a server.

        It is refused if a repeat by the client is harmless, else it fails. A request in a loop always fails.
        """
        if self._calls.pop(call.id, None):
            self._statistics.record_end(call.cls.name, False)
            dropped_by_all = call.cls.repeat is Repeat.KEYED and call.cls.group is Group.ALL
            repeatable = call.may_have_run_ms is None or dropped_by_all or call.cls.repeat is Repeat.SAFE
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
        """Retry a call whose attempt failed, with the probability set by the delay controller."""
        call.in_flight = False
        if call.may_have_run_ms is None and call.last_server and event.result not in self._never_ran:
            call.may_have_run_ms = call.sent_ms
            call.repeat_group = call.last_server.group(call.cls.group)
        if not event.spent and self._rng.random() < self.controller.retry_probability(now):
            # The retry timer of RTDC runs from the send: the time until a timeout is part of the backoff.
            timed_out = event.result is Result.TIMEOUT
            self._retry_or_end(call, now, event.duration_ms if timed_out else 0.0)
        else:
            self._end(call)

    def _record_outcome(self, server: Server, call: Call | None, event: api.AttemptEnded, now: float) -> None:
        """Update what is known of a server from the outcome of an attempt."""
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
        """Update the measured delays.

        Calls of clients that have gone count too: clients give up on slow calls, and without these the mean
        would be too low.
        """
        sent_ms, aim_ms = sent
        if event.result in (Result.SERVED, Result.TIMEOUT):
            served = event.result is Result.SERVED
            self.outliers.record_delay(server, sent, event.duration_ms, served, now)
            if served:
                self.outstanding.served(server, sent_ms)
            self.controller.record_answer(event.duration_ms, aim_ms, now, served)
        elif event.result is Result.REFUSED:  # counts as a delay of the whole latency target
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
        if event.kind is ListKind.FAILED:  # with jitter, so that nodes do not resubscribe in step
            wait_ms = RESUBSCRIBE_SHARE * self.settings.ask_every_ms * (0.5 + self._rng.random())
            return self._actions.append(api.SetTimer(0, wait_ms))
        self.server_set.apply(event)
        self._apply_list_step(now)
        self._release(now)
        return None

    def _apply_list_step(self, now: float) -> None:
        """Apply a step of a list change; a timer continues, so that requests are handled in between."""
        if self.server_set.apply_step(now) and not self._list_timer_set:
            self._list_timer_set = True
            self._actions.append(api.SetTimer(LIST_TIMER_TOKEN, 0.0))
