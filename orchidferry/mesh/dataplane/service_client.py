"""One service as a node sees it: its servers, the decision module for it, and the attempts on their way.

The module decides server, retry and refusal (`orchidferry.balancing`); this turns what happens on lines into
its
events and does what it answers, one event at a time. Every request taken is ended exactly once, at the latest
by a backstop at its deadline.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

from loguru import logger

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Repeat, Result
from orchidferry.balancing.logic import NEVER_RAN, Balancer
from orchidferry.balancing.nested import Nested
from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.control.endpoints import DRAINING, IN_SERVICE, NodeRecord
from orchidferry.mesh.dataplane.attempt import TrackedAttempt
from orchidferry.mesh.dataplane.http_connection import HttpConnections
from orchidferry.mesh.dataplane.messages import (
    KEYED,
    MARGIN_MS,
    PATIENCE,
    PROMISES,
    RANK,
    TIMES,
    ProxiedRequest,
    ServerResponse,
    head,
    own_answer,
    passed_on,
)
from orchidferry.mesh.errors import Kind, Refusal
from orchidferry.mesh.settings import Address, Bounds
from orchidferry.node.config import now_ms
from orchidferry.node.event_queue import EventQueue
from orchidferry.node.frontend import Reply
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import UpstreamResponse

RATIO_SHARE = 0.4  # of the ratio of further tries: a repeated run's own calls are repeats elsewhere
SLACK_SHARE = 0.4  # of the slack, over all nodes
SPARE_NODES = 1.5  # nodes that may have died with what they had spent, over those that live
TARGET_SHARE = 0.6  # tau0 of the aim: the gates hold requests for a part of it already
# By how many wait before servers of this zone: how much more of their part they are given. Bytes between
# zones are dear, waiting is dearer.
PULLS = ((0.02, 4.0), (0.1, 2.0), (math.inf, 1.0))
CROWD_SAMPLES = 20.0  # answers over which that is averaged
PULL_MS = 2_000.0  # the least time before more is given again
COLD_SHARE = 0.5  # of its part, for a server that says it is slow from its start
PATIENCE_SHARES = (0.75, 0.75, 0.24)  # of the aim, by rank: how long a gate may hold a request for room
LATE_WORTH = 0.3
# of the time left: the longest that a caller is told to wait
WAIT_SHARE = 0.2
MIN_WAIT_MS = 20.0
SHED_AGAIN_SHARE = 0.2  # of the aim: when to come back after being shed for what is below


def _not_handled(event: api.Event) -> None:
    logger.exception("service: handling {}", type(event).__name__)


def class_name(route: Route) -> str:
    """Routes that are alike are one class to the module: a long table costs it nothing."""
    return f"{route.kind}-{route.aim_ms:g}-{route.guard_ms:g}-{route.rank}-{route.attempts}"


def request_class(route: Route) -> api.RequestClass:
    """A route as the decision module knows it."""
    repeat = Repeat.SAFE if route.repeatable else Repeat.UNSAFE
    return api.RequestClass(
        class_name(route),
        max(1.0, route.aim_ms),
        max(1.0, route.guard_ms),
        4.0 / 2.0 ** min(route.rank, 8),
        LATE_WORTH,
        repeat,
    )


class PendingRequest:
    """A request that is owed its answer."""

    __slots__ = (
        "answer",
        "attempts",
        "backstop",
        "began_ms",
        "ends_ms",
        "id",
        "message",
        "on_end",
        "owed",
        "ran",
        "route",
        "said",
        "service",
    )

    def __init__(
        self,
        service: ServiceClient,
        id: str,
        message: ProxiedRequest,
        route: Route,
        ends_ms: float,
        answer: Callable[[Reply], None],
        on_end: Callable[[ServerResponse | None, bool], None] | None,
    ) -> None:
        self.service = service
        self.id = id
        self.message = message
        self.route = route
        self.began_ms = now_ms()
        self.ends_ms = ends_ms
        self.answer = answer
        self.on_end = on_end  # hears the answer of a run, if there is one, and whether it may have run
        self.owed = True
        self.ran = False
        self.attempts = 0
        self.backstop = 0
        self.said: ServerResponse | None = None  # the last answer of a server that ran it

    def client_disconnected(self) -> None:
        self.service.client_disconnected(self)

    def overdue(self) -> None:
        self.service.overdue(self)


class GateAttempt(TrackedAttempt):
    """An attempt on its way to the gate of a server."""

    __slots__ = ("_live", "_number", "_sent_ms", "_target")

    def __init__(
        self, live: PendingRequest, server: int, target: str, address: Address, timeout_ms: float
    ) -> None:
        super().__init__(live.message, server, address, timeout_ms, once=not live.route.repeatable)
        self._live = live
        self._target = target
        self._number = live.attempts
        self._sent_ms = now_ms()
        live.attempts += 1
        live.service.out[live.id, self._number] = self

    def head_bytes(self) -> bytes:
        live = self._live
        left_ms = max(1.0, live.ends_ms - now_ms() - MARGIN_MS)
        share = PATIENCE_SHARES[min(live.route.rank, len(PATIENCE_SHARES) - 1)]
        held = share * live.route.aim_ms - (now_ms() - live.began_ms)
        own = [
            (b"Time-Remaining", b"%d" % left_ms),
            (b"Target-Instance", self._target.encode("latin-1")),
            (b"Calling-Service", live.service.caller),
            (RANK, b"%d" % live.route.rank),
            (PATIENCE, b"%d" % max(0.0, held)),
        ]
        if self.once:
            own.append((TIMES, b"1"))
        if live.on_end is not None:
            own.append((KEYED, b"1"))
        return head(live.message, own)

    def on_timeout(self) -> None:
        # Around a planned end what is broken off at work and answered 502 counts as lost.
        live = self._live
        left_ms = self._live.ends_ms - now_ms() - MARGIN_MS / 2.0
        if live.service.leaving and live.owed and self.begun and left_ms > 1.0:
            return self.extend_timeout(left_ms / 1000.0)
        super().on_timeout()

    def may_send(self) -> bool:
        flow = self.message.flow
        beginnable = flow is None or flow.can_start()
        return beginnable and self._live.owed and self._live.service.serves(self.server)

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        live = self._live
        service = self._live.service
        del service.out[live.id, self._number]
        said = answer if isinstance(answer, ServerResponse) else None
        if result not in NEVER_RAN and self.begun:
            live.ran = True
        # A promise that it has not run, without the proof of that, is not passed on as the answer.
        unproven = said is not None and self.once and said.status in PROMISES
        if said is not None and said.whole and result in (Result.SERVED, Result.ERROR) and not unproven:
            live.said = said
        if result is Result.SERVED and said is not None:
            service.finish(live, passed_on(said))
        if result in (Result.SERVED, Result.ERROR) and said is not None:
            service.outcome(live, result is Result.ERROR and said.below)
        if said is not None and said.flow is not None and not said.flow.has_consumer():
            said.flow.cancel()
        flow = self.message.flow
        spent = flow is not None and (flow.spent or flow.over)
        report = said.report if said is not None else None
        if report is not None:
            service.crowd(self.server, report["queue"])
        service.handle(
            api.AttemptEnded(
                live.id,
                self._number,
                self.server,
                result,
                now_ms() - self._sent_ms,
                not live.owed,
                report,
                spent,
            )
        )
        if not live.owed:
            service.over(live)


class ServiceClient:
    """One service."""

    def __init__(
        self,
        name: str,
        caller: str,
        zone: str,
        bounds: Bounds,
        loop: asyncio.AbstractEventLoop,
        alarms: TimerQueue,
        lines: HttpConnections,
        numbers: Callable[[str], int],
    ) -> None:
        self.name, self.caller, self._zone = name, caller.encode("latin-1"), zone
        self._bounds = bounds
        self._loop = loop
        self._alarms = alarms
        self._lines = lines
        self._numbers = numbers
        self._rng = random.Random()
        self._classes: dict[str, api.RequestClass] = {}
        self._attempts = 1
        self._members = 1
        self._balancer: Balancer | None = None
        self._turns: EventQueue | None = None
        self._serial = 0
        self.live: dict[str, PendingRequest] = {}
        self.out: dict[tuple[str, int], GateAttempt] = {}
        self.leaving = False  # the node is to end: what a server may work on is waited for
        self._stop_ms = math.inf  # and by then all is answered
        self._targets: dict[int, tuple[str, Address]] = {}  # server's id and its gate, by number
        self._boots: dict[int, int] = {}  # the life of the process of that gate
        self._ready: set[int] = set()
        self._entries: dict[int, api.ServerEntry] = {}
        self._nested = Nested()
        self.turned_away_ms = -math.inf  # when a request was last given up that had not run
        self._near: dict[int, bool] = {}
        self._began_s = loop.time()
        self._slack_comes = False  # a timer is set for when there is some
        self._pull = PULLS[0][1]
        self._pulled_ms = -math.inf
        self._waiting = 0.0
        self._cold: dict[int, float] = {}  # until when

    # What the service is told

    def configure(self, routes: list[Route]) -> None:
        """Serve these routes from now on; requests that were taken keep theirs."""
        self._classes = {class_name(route): request_class(route) for route in routes}
        self._attempts = max((r.attempts for r in routes), default=1)
        self._settle()

    def members(self, count: int) -> None:
        """So many nodes share the slack of further tries."""
        if count > self._members:  # those that are gone may have died with what they had spent
            self._members = count
            if not self._without_slack():  # else they count once there is some
                self._settle()

    def _settle(self) -> None:
        if not self._classes:
            return
        bounds = self._bounds
        settings = api.Settings(
            list(self._classes.values()),
            tier=1,
            tiers=2,
            target_share=TARGET_SHARE,
            max_attempts=self._attempts,
            can_cancel=True,
            connect_timeout_ms=400.0,
            keepalive_ms=10_000.0,
            repeat_ratio=min(1.0, RATIO_SHARE * bounds.retry_ratio),
            extra_floor=self._slack(),
            resend_span_ms=bounds.retry_window_s * 1000.0,
        )
        if self._balancer is None:
            self._balancer = Balancer(settings, self._rng.randrange(2**31))
            self._turns = EventQueue(self._balancer.handle, self._do, _not_handled)
            self.handle(api.Started())
            self.handle(api.ServerList(api.ListKind.FULL, 0, list(self._entries.values())))
        else:
            self.handle(api.NewSettings(settings))

    def _without_slack(self) -> bool:
        return self._loop.time() - self._began_s < self._bounds.retry_window_s

    def _slack(self) -> float:
        """This node's part of the slack that all share; none while what a life before it spent may count."""
        if self._without_slack():
            if not self._slack_comes:
                self._slack_comes = True
                self._loop.call_later(self._bounds.retry_window_s, self._slack_due)
            return 0.0
        return SLACK_SHARE * self._bounds.retry_slack / (SPARE_NODES * max(1, self._members))

    def _slack_due(self) -> None:
        self._slack_comes = False  # a timer that is early sets another
        self._settle()

    def servers(self, records: dict[str, NodeRecord]) -> None:
        """Whoever serves this service now, by the news of all nodes."""
        now = now_ms()
        entries: dict[int, api.ServerEntry] = {}
        targets: dict[int, tuple[str, Address]] = {}
        near: dict[int, bool] = {}
        boots: dict[int, int] = {}
        for record in records.values():
            server = record.server
            if server is None or server.service != self.name or server.state not in (IN_SERVICE, DRAINING):
                continue
            number = self._numbers(server.id)
            if number not in self._entries and server.cold_left_ms > 0:
                self._cold[number] = now + server.cold_left_ms
                self._loop.call_later(server.cold_left_ms / 1000.0 + 0.01, self._warmed, number)
            near[number] = server.zone == self._zone
            share = self._share(number, near[number])
            health = api.Health.IN_SERVICE if server.state == IN_SERVICE else api.Health.DRAINING
            entries[number] = api.ServerEntry(number, server.zone, health=health, share=share)
            targets[number] = (server.id, (record.ip, record.inbound))
            boots[number] = record.boot
        changes = [entry for number, entry in entries.items() if self._entries.get(number) != entry]
        gone = [number for number in self._entries if number not in entries]
        self._entries = entries
        self._targets = targets
        self._near = near
        self._ready = {n for n, entry in entries.items() if entry.health is api.Health.IN_SERVICE}
        for number, boot in boots.items():
            if self._boots.get(number, boot) != boot:  # a new process: no connection to the last one lives
                self._lines.close_idle(number)
        self._boots = boots
        for number in gone:
            self._cold.pop(number, None)
            self._lines.server_removed(number)
        changes += [api.ServerEntry(number, health=api.Health.GONE) for number in gone]
        if changes:
            self.handle(api.ServerList(api.ListKind.CHANGES, 0, changes))

    def _warmed(self, number: int) -> None:
        entry = self._entries.get(number)
        if self._cold.pop(number, None) is not None and entry is not None:
            self._reshare()

    def _share(self, number: int, near: bool) -> float:
        return (COLD_SHARE if number in self._cold else 1.0) * (self._pull if near else 1.0)

    def _reshare(self) -> None:
        """Tell the module of servers whose part has changed."""
        changes = []
        for number, entry in self._entries.items():
            share = self._share(number, self._near[number])
            if entry.share != share:
                self._entries[number] = dataclasses.replace(entry, share=share)
                changes.append(self._entries[number])
        if changes:
            self.handle(api.ServerList(api.ListKind.CHANGES, 0, changes))

    def crowd(self, number: int, waiting: float) -> None:
        """How many wait before a server: while none does in this zone, it is the one that is used most."""
        if not self._near.get(number):
            return
        self._waiting += (waiting - self._waiting) / CROWD_SAMPLES
        pull = next(p for most, p in PULLS if self._waiting <= most)
        if pull < self._pull or (pull > self._pull and now_ms() > self._pulled_ms + PULL_MS):
            self._pull, self._pulled_ms = pull, now_ms()
            self._reshare()

    def serves(self, number: int) -> bool:
        """Whether a server may be sent to."""
        return number in self._ready

    @property
    def ready(self) -> int:
        """How many servers are in service."""
        return len(self._ready)

    # Requests

    def take(
        self,
        message: ProxiedRequest,
        route: Route,
        ends_ms: float,
        answer: Callable[[Reply], None],
        on_end: Callable[[ServerResponse | None, bool], None] | None = None,
    ) -> PendingRequest:
        """Take a request; it is answered once, now or later."""
        self._serial += 1
        ends_ms = min(ends_ms, self._stop_ms)
        live = PendingRequest(self, f"{self._serial}", message, route, ends_ms, answer, on_end)
        self.live[live.id] = live
        live.backstop = self._alarms.after((ends_ms - now_ms()) / 1000.0, live.overdue)
        name = class_name(route)
        if self._balancer is None or name not in self._balancer.classes:
            self.finish(live, own_answer(message, Refusal(Kind.SHED, "the route has just changed"), 0.05))
            self.over(live)
            return live
        if self._rng.random() < self._nested.shed(name, now_ms()):
            self._unserved(live, self._rng.uniform(0.5, 1.0) * SHED_AGAIN_SHARE * route.aim_ms)
            self.over(live)
            return live
        left_ms = max(0.0, ends_ms - now_ms())
        self.handle(api.Request(live.id, name, left_ms, upload=message.flow is not None))
        return live

    def finish(self, live: PendingRequest, reply: Reply) -> None:
        """Answer a request, if that is still owed."""
        if live.owed:
            live.owed = False
            self._alarms.cancel(live.backstop)
            self.live.pop(live.id, None)
            live.answer(reply)

    def outcome(self, live: PendingRequest, below: bool) -> None:
        """A server has answered; `below`: with an error, as calls of its own were turned away."""
        self._nested.outcome(class_name(live.route), below, now_ms())
        if below:  # asking again elsewhere would only add to it
            self._unserved(live, 0.0)

    def over(self, live: PendingRequest) -> None:
        """Nothing more happens to a request once none of its attempts is out: who waits for that hears."""
        if live.on_end is not None and not self._hops_of(live):
            on_end = live.on_end
            live.on_end = None
            on_end(live.said, live.ran)

    def stop_by(self, stop_ms: float) -> None:
        """The node is to end: whatever is still owed then is answered, as its connections close after it.

        A server may have lost its answer, so the silence of one would else outlast the node.
        """
        self.leaving = True
        self._stop_ms = stop_ms
        for live in self.live.values():
            if live.ends_ms > stop_ms:
                live.ends_ms = stop_ms
                self._alarms.cancel(live.backstop)
                live.backstop = self._alarms.after((stop_ms - now_ms()) / 1000.0, live.overdue)

    def _hops_of(self, live: PendingRequest) -> list[GateAttempt]:
        """The attempts of a request that are out."""
        return [hop for n in range(live.attempts) if (hop := self.out.get((live.id, n))) is not None]

    def overdue(self, live: PendingRequest) -> None:
        """Its time is over."""
        if not live.owed:
            return
        if live.said is not None:
            self.finish(live, passed_on(live.said))
        else:
            # What was begun on its way to a gate may run yet: no promise, then.
            hops = self._hops_of(live)
            sent = live.ran or any(hop.begun for hop in hops)
            kind = Kind.LATE if sent else Kind.SHED
            self.finish(live, own_answer(live.message, Refusal(kind), None if sent else 0.05))
            for hop in hops:
                if not hop.begun:  # and it never will
                    hop.abort(Result.CANCELLED)
        self.handle(api.ClientGone(live.id))
        self.over(live)

    def client_disconnected(self, live: PendingRequest) -> None:
        """Nobody waits for the answer: no attempt of it is to reach a server from now on.

        Closing the connection to the gate withdraws an attempt that is held there, and ends the work on one
        that may be repeated; the gate lets the others run. A keyed request is let run from here, as repeats
        of its key are owed the answer.
        """
        if not live.owed:
            return
        live.owed = False
        self._alarms.cancel(live.backstop)
        self.live.pop(live.id, None)
        self.handle(api.ClientGone(live.id))
        for hop in self._hops_of(live):
            if live.on_end is None or not hop.begun:
                hop.abort(Result.CANCELLED)
        self.over(live)

    # The module

    def handle(self, event: api.Event) -> None:
        """Give the module an event and do what it says; events raised meanwhile wait their turn."""
        if self._turns is not None:
            self._turns.handle(event)

    def _do(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                self._loop.call_later(action.delay_ms / 1000.0, self.handle, api.TimerFired(action.token))
            case api.Fail() | api.Refuse():
                live = self.live.get(action.id)
                if live is not None:
                    after_ms = action.retry_after_ms if isinstance(action, api.Refuse) else 0.0
                    self._unserved(live, after_ms)
                    self.over(live)
            case api.Cancel():
                for number in range(action.attempt, -1, -1):
                    if (hop := self.out.get((action.id, number))) is not None:
                        hop.abort(Result.CANCELLED)
                        break
            case api.CloseIdle():
                self._lines.close_idle(action.server)
            case _:
                pass

    def _unserved(self, live: PendingRequest, retry_after_ms: float) -> None:
        """The module has given it up: answered at once, and as what it is."""
        if live.said is not None:
            return self.finish(live, passed_on(live.said))
        if live.ran:
            return self.finish(live, own_answer(live.message, Refusal(Kind.BROKEN)))
        self.turned_away_ms = now_ms()
        longest_ms = max(MIN_WAIT_MS, WAIT_SHARE * (live.ends_ms - now_ms()))
        wait_s = min(retry_after_ms, longest_ms) / 1000.0
        self.finish(live, own_answer(live.message, Refusal(Kind.SHED), wait_s))

    def _send(self, action: api.Send) -> None:
        live = self.live.get(action.id)
        number = action.server
        if live is None or number not in self._ready:
            count = live.attempts if live is not None else 0
            return self.handle(api.AttemptEnded(action.id, count, number, Result.MOOT, 0.0, live is None))
        if live.attempts >= live.route.attempts:  # the module knows the most of all routes
            self._unserved(live, 0.0)
            self.handle(api.AttemptEnded(action.id, live.attempts, number, Result.MOOT, 0.0, True))
            return self.over(live)
        timeout_ms = min(action.timeout_ms, live.ends_ms - now_ms() - MARGIN_MS / 2.0)
        target, address = self._targets[number]
        self._lines.send(GateAttempt(live, number, target, address, max(0.0, timeout_ms)))
