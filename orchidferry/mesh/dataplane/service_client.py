"""One service as a node sees it: its servers, the decision module for it, and the attempts on their way.

The decision module (`orchidferry.balancing`) picks servers, retries and refuses. The service client turns
what happens on connections into its events and performs its actions, one event at a time. Every request that
is taken is answered exactly once, at its deadline at the latest.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from loguru import logger

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from orchidferry.balancing.logic import Balancer
from orchidferry.balancing.nested import NestedCallShedder
from orchidferry.mesh.control.configuration import Route
from orchidferry.mesh.control.endpoints import NodeRecord
from orchidferry.mesh.dataplane.abandoned_responses import AbandonCause
from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool
from orchidferry.mesh.dataplane.endpoint_table import EndpointTable
from orchidferry.mesh.dataplane.messages import (
    TRANSIT_MARGIN_MS,
    ProxiedRequest,
    forwarded_reply,
    refusal_reply,
)
from orchidferry.mesh.dataplane.pending_request import GateAttempt, OnEnded, PendingRequest
from orchidferry.mesh.dataplane.request_classes import class_name, request_class
from orchidferry.mesh.dataplane.retry_slack import RetrySlack
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.mesh.settings import Bounds
from orchidferry.node.clock import now_ms
from orchidferry.node.event_queue import EventQueue
from orchidferry.node.reply import Reply
from orchidferry.node.timer_queue import TimerQueue

RETRY_RATIO_FRACTION = 0.4  # of the retry ratio: a repeated run's own calls are repeats elsewhere
TARGET_FRACTION = 0.6  # of the latency target: gates queue requests for a part of it already
CONNECT_TIMEOUT_MS = 400.0
KEEPALIVE_MS = 10_000.0
RETRY_AFTER_FRACTION = 0.2  # of the time left: the longest that a caller is told to wait
MIN_RETRY_AFTER_MS = 20.0
DEPENDENCY_RETRY_AFTER_FRACTION = 0.2  # of the latency target, after being shed for a dependency
SHORT_RETRY_AFTER_S = 0.05  # where nothing is known to be in the way


@dataclass(frozen=True, slots=True)
class ClientContext:
    """What the clients of all services share on one node."""

    service: str  # the node's own, which servers are told as the caller
    zone: str
    bounds: Bounds
    loop: asyncio.AbstractEventLoop
    timers: TimerQueue
    connections: HttpConnectionPool
    server_number: Callable[[str], int]  # gives the number of a server by its id


class ServiceClient:
    """Sends the requests of one service to its servers."""

    def __init__(self, name: str, context: ClientContext) -> None:
        self.name = name
        self.set_caller(context.service)
        self._bounds = context.bounds
        self._loop = context.loop
        self._timers = context.timers
        self._connections = context.connections
        self._rng = random.Random()
        self._classes: dict[str, api.RequestClass] = {}
        self._max_attempts = 1
        self._balancer: Balancer | None = None
        self._events: EventQueue | None = None
        self._last_request = 0
        self.pending: dict[str, PendingRequest] = {}  # those that are owed a reply, by id
        self.attempts: dict[tuple[str, int], GateAttempt] = {}  # under way, by request and number
        self._stop_ms = math.inf  # when all must be answered, once the node drains
        self._nested = NestedCallShedder()
        self.last_rejected_ms = -math.inf  # when a request was last rejected that had not run
        self.endpoints = EndpointTable(
            name,
            context.zone,
            context.server_number,
            context.loop,
            context.connections,
            self._endpoints_changed,
        )
        self._retry_slack = RetrySlack(context.bounds, context.loop, self._apply_settings)

    # Configuration

    def set_caller(self, service: str) -> None:
        """Set the service that servers are told as the caller."""
        self.caller = service.encode("latin-1")

    def set_routes(self, routes: list[Route]) -> None:
        """Serve these routes from now on; requests that were taken keep theirs."""
        self._classes = {class_name(route): request_class(route) for route in routes}
        self._max_attempts = max((route.max_attempts for route in routes), default=1)
        self._apply_settings()

    def set_node_count(self, count: int) -> None:
        """Set how many nodes share the retry slack."""
        if self._retry_slack.set_node_count(count):
            self._apply_settings()

    def update_servers(self, records: Mapping[str, NodeRecord]) -> None:
        """Take the records of all nodes whose server is one of this service."""
        self.endpoints.update(records)

    @property
    def ready(self) -> int:
        """How many servers are in service."""
        return self.endpoints.ready_count

    def _apply_settings(self) -> None:
        if not self._classes:
            return
        settings = api.Settings(
            list(self._classes.values()),
            tier=1,
            tiers=2,
            target_share=TARGET_FRACTION,
            max_attempts=self._max_attempts,
            can_cancel=True,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            keepalive_ms=KEEPALIVE_MS,
            repeat_ratio=min(1.0, RETRY_RATIO_FRACTION * self._bounds.retry_ratio),
            extra_floor=self._retry_slack.retries(),
            resend_span_ms=self._bounds.retry_window_s * 1000.0,
        )
        if self._balancer is None:
            self._balancer = Balancer(settings, self._rng.randrange(2**31))
            self._events = EventQueue(self._balancer.handle, self._perform, _log_failure)
            self.handle(api.Started())
            self.handle(api.ServerList(api.ListKind.FULL, 0, self.endpoints.entries()))
        else:
            self.handle(api.NewSettings(settings))

    def _endpoints_changed(self, changes: list[api.ServerEntry]) -> None:
        self.handle(api.ServerList(api.ListKind.CHANGES, 0, changes))

    # Draining

    @property
    def draining(self) -> bool:
        """Whether the node is to end: what a server may be at work on is waited for."""
        return self._stop_ms < math.inf

    def drain_until(self, stop_ms: float) -> None:
        """Answer by then whatever is pending: the node ends, and its connections close.

        A server may have lost its response, so waiting for it would else outlast the node.
        """
        self._stop_ms = stop_ms
        for request in self.pending.values():
            if request.deadline_ms > stop_ms:
                request.deadline_ms = stop_ms
                self._timers.cancel(request.deadline_timer)
                self._set_deadline_timer(request)

    def _set_deadline_timer(self, request: PendingRequest) -> None:
        delay_s = (request.deadline_ms - now_ms()) / 1000.0
        request.deadline_timer = self._timers.schedule(delay_s, request.deadline_passed)

    # Requests

    def take(
        self,
        message: ProxiedRequest,
        route: Route,
        deadline_ms: float,
        answer: Callable[[Reply], None],
        on_ended: OnEnded | None = None,
    ) -> PendingRequest:
        """Take a request.

        :param answer: takes the reply, exactly once, now or later.
        :param on_ended: called once no attempt of the request is under way any more.
        """
        deadline_ms = min(deadline_ms, self._stop_ms)
        request = PendingRequest(self, message, route, deadline_ms, answer, on_ended)
        self.pending[request.id] = request
        self._set_deadline_timer(request)
        name = class_name(route)
        if self._balancer is None or name not in self._balancer.classes:
            refusal = Rejection(RejectionReason.NOT_EXECUTED, "the route has just changed")
            self.finish(request, refusal_reply(message, refusal, SHORT_RETRY_AFTER_S))
            self.attempts_changed(request)
        elif self._rng.random() < self._nested.shed_share(name, now_ms()):
            retry_after_ms = (
                self._rng.uniform(0.5, 1.0) * DEPENDENCY_RETRY_AFTER_FRACTION * route.latency_target_ms
            )
            self._give_up(request, retry_after_ms)
            self.attempts_changed(request)
        else:
            remaining_ms = max(0.0, deadline_ms - now_ms())
            self.handle(api.Request(request.id, name, remaining_ms, upload=message.flow is not None))
        return request

    def next_request_id(self) -> str:
        """An id that the decision module has not seen."""
        self._last_request += 1
        return f"{self._last_request}"

    def finish(
        self, request: PendingRequest, reply: Reply, cause: AbandonCause = AbandonCause.ANSWERED
    ) -> None:
        """Answer a request, if it is still awaited.

        :param cause: why its attempts that are still under way are given up.
        """
        if request.awaited:
            self._withdraw(request, cause)
            request.answer(reply)

    def server_answered(self, request: PendingRequest, dependency_shed: bool) -> None:
        """A server has answered; `dependency_shed`: with an error, as calls of its own were rejected."""
        self._nested.record_outcome(class_name(request.route), dependency_shed, now_ms())
        if dependency_shed:  # a retry elsewhere would only add to the load of the dependency
            self._give_up(request, 0.0)

    def attempts_changed(self, request: PendingRequest) -> None:
        """Report the end of a request that is answered, once none of its attempts is under way."""
        if request.on_ended is not None and not self._attempts_of(request):
            on_ended = request.on_ended
            request.on_ended = None
            on_ended(request.response, request.may_have_run)

    def deadline_passed(self, request: PendingRequest) -> None:
        """Answer a request whose time is over."""
        if not request.awaited:
            return
        if request.response is not None:
            self.finish(request, forwarded_reply(request.response), AbandonCause.DEADLINE)
        else:
            # What was begun on its way to a gate may run yet, so its caller is not told that it did not.
            attempts = self._attempts_of(request)
            sent = request.may_have_run or any(attempt.possibly_sent for attempt in attempts)
            refusal = Rejection(RejectionReason.TIMEOUT if sent else RejectionReason.NOT_EXECUTED)
            retry_after_s = None if sent else SHORT_RETRY_AFTER_S
            self.finish(
                request, refusal_reply(request.message, refusal, retry_after_s), AbandonCause.DEADLINE
            )
            for attempt in attempts:
                if not attempt.possibly_sent:  # and it never will be
                    attempt.abort(Result.CANCELLED)
        self.handle(api.ClientGone(request.id))
        self.attempts_changed(request)

    def client_disconnected(self, request: PendingRequest) -> None:
        """Nobody waits for the reply: no attempt of it is to reach a server from now on.

        Closing the connection to the gate withdraws an attempt that is queued there, and ends the work on one
        that may be repeated; the gate lets the others run. A keyed request is let run from here, as repeats
        of its key are owed the response.
        """
        if not request.awaited:
            return
        self._withdraw(request, AbandonCause.CLIENT_CLOSED)
        self.handle(api.ClientGone(request.id))
        for attempt in self._attempts_of(request):
            if request.on_ended is None or not attempt.possibly_sent:
                attempt.abort(Result.CANCELLED)
        self.attempts_changed(request)

    def _withdraw(self, request: PendingRequest, cause: AbandonCause) -> None:
        request.awaited = False
        request.closed_by = cause
        self._timers.cancel(request.deadline_timer)
        self.pending.pop(request.id, None)

    def _attempts_of(self, request: PendingRequest) -> list[GateAttempt]:
        """The attempts of a request that are under way."""
        return [
            attempt
            for number in range(request.attempts)
            if (attempt := self.attempts.get((request.id, number))) is not None
        ]

    def _give_up(self, request: PendingRequest, retry_after_ms: float) -> None:
        """Answer a request that is not sent again."""
        if request.response is not None:
            return self.finish(request, forwarded_reply(request.response))
        if request.may_have_run:
            return self.finish(
                request, refusal_reply(request.message, Rejection(RejectionReason.EXECUTION_UNKNOWN))
            )
        now = now_ms()
        self.last_rejected_ms = now
        longest_ms = max(MIN_RETRY_AFTER_MS, RETRY_AFTER_FRACTION * (request.deadline_ms - now))
        retry_after_s = min(retry_after_ms, longest_ms) / 1000.0
        self.finish(
            request, refusal_reply(request.message, Rejection(RejectionReason.NOT_EXECUTED), retry_after_s)
        )
        return None

    # The decision module

    def handle(self, event: api.Event) -> None:
        """Give the module an event and perform its actions; events raised meanwhile wait their turn."""
        if self._events is not None:
            self._events.handle(event)

    def _perform(self, action: api.Action) -> None:
        match action:
            case api.Send():
                self._send(action)
            case api.SetTimer():
                self._loop.call_later(action.delay_ms / 1000.0, self.handle, api.TimerFired(action.token))
            case api.Fail() | api.Refuse():
                request = self.pending.get(action.id)
                if request is not None:
                    after_ms = action.retry_after_ms if isinstance(action, api.Refuse) else 0.0
                    self._give_up(request, after_ms)
                    self.attempts_changed(request)
            case api.Cancel():
                self._cancel(action)
            case api.CloseIdle():
                self._connections.close_idle(action.server)
            case _:
                pass

    def _send(self, action: api.Send) -> None:
        request = self.pending.get(action.id)
        number = action.server
        endpoint = self.endpoints.ready_endpoint(number)
        if request is None or endpoint is None:
            attempts = request.attempts if request is not None else 0
            gone = request is None
            return self.handle(api.AttemptEnded(action.id, attempts, number, Result.MOOT, 0.0, gone))
        # The module knows the largest number of all routes.
        if request.attempts >= request.route.max_attempts:
            self._give_up(request, 0.0)
            self.handle(api.AttemptEnded(action.id, request.attempts, number, Result.MOOT, 0.0, True))
            return self.attempts_changed(request)
        remaining_ms = request.deadline_ms - now_ms() - TRANSIT_MARGIN_MS / 2.0
        timeout_ms = max(0.0, min(action.timeout_ms, remaining_ms))
        self._connections.send(GateAttempt(request, number, endpoint, timeout_ms))
        return None

    def _cancel(self, action: api.Cancel) -> None:
        """Break off the attempt that the module means, or the last one before it that is under way."""
        for number in range(action.attempt, -1, -1):
            attempt = self.attempts.get((action.id, number))
            if attempt is not None:
                return attempt.abort(Result.CANCELLED)
        return None


def _log_failure(event: api.Event) -> None:
    logger.exception("service_client: event failed, event={}", type(event).__name__)
