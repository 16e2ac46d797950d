"""The client side of one service on a node: its servers, its balancer, and the attempts in flight.

The balancer (`orchidferry.balancing`) selects servers, decides on retries and sheds load. The service client
translates connection events into events of the balancer and performs the balancer's actions, one event at a
time. Every accepted request is answered exactly once, at its deadline at the latest.
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

# Fraction of the retry ratio that is used: when a request is retried, the calls that the server makes for it
# count as retries of other services.
RETRY_RATIO_FRACTION = 0.4
# Fraction of the latency target that the balancer aims at; queueing at the admission gates uses up a part.
TARGET_FRACTION = 0.6
CONNECT_TIMEOUT_MS = 400.0
KEEPALIVE_MS = 10_000.0
RETRY_AFTER_FRACTION = 0.2  # upper bound of Retry-After, as a fraction of the time until the deadline
MIN_RETRY_AFTER_MS = 20.0  # the upper bound of Retry-After is never below this
# Retry-After of a request shed because of an overloaded dependency, as a fraction of the latency target.
DEPENDENCY_RETRY_AFTER_FRACTION = 0.2
SHORT_RETRY_AFTER_S = 0.05  # Retry-After when no overload is known


@dataclass(frozen=True, slots=True)
class ClientContext:
    """What the service clients of one node have in common."""

    service: str  # name of the node's own service, sent to servers as `Calling-Service`
    zone: str  # the node's failure domain
    bounds: Bounds
    loop: asyncio.AbstractEventLoop
    timers: TimerQueue
    connections: HttpConnectionPool  # to admission gates
    server_number: Callable[[str], int]  # returns the number of the server with this id


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
        self.pending: dict[str, PendingRequest] = {}  # requests not answered yet, by id
        # Attempts in flight, by request id and attempt number.
        self.attempts: dict[tuple[str, int], GateAttempt] = {}
        self._drain_deadline_ms = math.inf  # while the node drains: time by which all requests are answered
        self._nested = NestedCallShedder()
        self.last_rejected_ms = -math.inf  # time at which a request was last answered as not executed
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
        """Set the service name that servers receive as `Calling-Service`."""
        self.caller = service.encode("latin-1")

    def set_routes(self, routes: list[Route]) -> None:
        """Replace the routes; requests already accepted keep the route they were accepted with."""
        self._classes = {class_name(route): request_class(route) for route in routes}
        self._max_attempts = max((route.max_attempts for route in routes), default=1)
        self._apply_settings()

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes that share the retry slack."""
        if self._retry_slack.set_node_count(count):
            self._apply_settings()

    def update_servers(self, records: Mapping[str, NodeRecord]) -> None:
        """Update the servers from the records of all nodes whose server belongs to this service."""
        self.endpoints.update(records)

    @property
    def ready(self) -> int:
        """The number of servers that are in service."""
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
        """Whether the node is shutting down; attempts that may be executing are then waited for."""
        return self._drain_deadline_ms < math.inf

    def drain_until(self, deadline_ms: float) -> None:
        """Cap the deadlines of all requests, pending and new, as the node is shutting down.

        A server's response may have been lost: without the cap, waiting for it could outlast the node, whose
        connections would then close without a reply.
        """
        self._drain_deadline_ms = deadline_ms
        for request in self.pending.values():
            if request.deadline_ms > deadline_ms:
                request.deadline_ms = deadline_ms
                self._timers.cancel(request.deadline_timer)
                self._set_deadline_timer(request)

    def _set_deadline_timer(self, request: PendingRequest) -> None:
        delay_s = (request.deadline_ms - now_ms()) / 1000.0
        request.deadline_timer = self._timers.schedule(delay_s, request.deadline_passed)

    # Requests

    def accept(
        self,
        message: ProxiedRequest,
        route: Route,
        deadline_ms: float,
        answer: Callable[[Reply], None],
        on_ended: OnEnded | None = None,
    ) -> PendingRequest:
        """Accept a request.

        :param answer: called with the reply once, now or later, unless the caller disconnects first.
        :param on_ended: called once the request is closed and none of its attempts is in flight.
        """
        deadline_ms = min(deadline_ms, self._drain_deadline_ms)
        request = PendingRequest(self, message, route, deadline_ms, answer, on_ended)
        self.pending[request.id] = request
        self._set_deadline_timer(request)
        name = class_name(route)
        if self._balancer is None or name not in self._balancer.classes:
            refusal = Rejection(RejectionReason.NOT_EXECUTED, "the route has just changed")
            self.finish(request, refusal_reply(message, refusal, SHORT_RETRY_AFTER_S))
            self.report_if_ended(request)
        elif self._rng.random() < self._nested.shed_share(name, now_ms()):
            retry_after_ms = (
                self._rng.uniform(0.5, 1.0) * DEPENDENCY_RETRY_AFTER_FRACTION * route.latency_target_ms
            )
            self._answer_without_retry(request, retry_after_ms)
            self.report_if_ended(request)
        else:
            remaining_ms = max(0.0, deadline_ms - now_ms())
            self.handle(api.Request(request.id, name, remaining_ms, upload=message.flow is not None))
        return request

    def next_request_id(self) -> str:
        """Return an id that the balancer has not seen."""
        self._last_request += 1
        return f"{self._last_request}"

    def finish(
        self, request: PendingRequest, reply: Reply, cause: AbandonCause = AbandonCause.ANSWERED
    ) -> None:
        """Answer a request, unless it is answered already or its caller has disconnected.

        :param cause: why responses to its remaining attempts are abandoned.
        """
        if request.awaited:
            self._close_request(request, cause)
            request.answer(reply)

    def server_answered(self, request: PendingRequest, dependency_shed: bool) -> None:
        """Handle a server's response.

        :param dependency_shed: the server failed because its own calls to another service were rejected.
        """
        self._nested.record_outcome(class_name(request.route), dependency_shed, now_ms())
        if dependency_shed:  # a retry on another server would only add to the load on the dependency
            self._answer_without_retry(request, 0.0)

    def report_if_ended(self, request: PendingRequest) -> None:
        """Call `on_ended` of a closed request if none of its attempts is in flight."""
        if request.on_ended is not None and not self._attempts_of(request):
            on_ended = request.on_ended
            request.on_ended = None
            on_ended(request.response, request.may_have_run)

    def deadline_passed(self, request: PendingRequest) -> None:
        """Answer a request whose deadline has passed."""
        if not request.awaited:
            return
        if request.response is not None:
            self.finish(request, forwarded_reply(request.response), AbandonCause.DEADLINE)
        else:
            # An attempt that was partly sent to a gate may still be executed, so the reply must not promise
            # that the request has not run.
            attempts = self._attempts_of(request)
            sent = request.may_have_run or any(attempt.possibly_sent for attempt in attempts)
            refusal = Rejection(RejectionReason.TIMEOUT if sent else RejectionReason.NOT_EXECUTED)
            retry_after_s = None if sent else SHORT_RETRY_AFTER_S
            self.finish(
                request, refusal_reply(request.message, refusal, retry_after_s), AbandonCause.DEADLINE
            )
            for attempt in attempts:
                if not attempt.possibly_sent:  # abort it before any byte is sent
                    attempt.abort(Result.CANCELLED)
        self.handle(api.ClientGone(request.id))
        self.report_if_ended(request)

    def client_disconnected(self, request: PendingRequest) -> None:
        """Cancel the attempts of a request whose caller has disconnected.

        Closing the connection to the gate removes an attempt that is queued there, and cancels one that is
        executing if it is repeatable; the gate lets the others finish. An attempt of a keyed request is not
        cancelled once it may have been sent, as its response is needed for repeats of the operation key.
        """
        if not request.awaited:
            return
        self._close_request(request, AbandonCause.CLIENT_CLOSED)
        self.handle(api.ClientGone(request.id))
        for attempt in self._attempts_of(request):
            if request.on_ended is None or not attempt.possibly_sent:
                attempt.abort(Result.CANCELLED)
        self.report_if_ended(request)

    def _close_request(self, request: PendingRequest, cause: AbandonCause) -> None:
        """Stop waiting for a reply to the request: it is being answered, or its caller has disconnected."""
        request.awaited = False
        request.closed_by = cause
        self._timers.cancel(request.deadline_timer)
        self.pending.pop(request.id, None)

    def _attempts_of(self, request: PendingRequest) -> list[GateAttempt]:
        """Return the attempts of a request that are in flight."""
        return [
            attempt
            for number in range(request.attempts)
            if (attempt := self.attempts.get((request.id, number))) is not None
        ]

    def _answer_without_retry(self, request: PendingRequest, retry_after_ms: float) -> None:
        """Answer a request that is not retried: with its last response if it has one, else with an error."""
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

    # Balancer

    def handle(self, event: api.Event) -> None:
        """Pass an event to the balancer and perform its actions; events raised by these are queued."""
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
                    self._answer_without_retry(request, after_ms)
                    self.report_if_ended(request)
            case api.Cancel():
                self._cancel(action)
            case api.CloseIdle():
                self._connections.close_idle(action.server)
            case _:
                pass

    def _send(self, action: api.Send) -> None:
        request = self.pending.get(action.id)
        server = action.server
        endpoint = self.endpoints.ready_endpoint(server)
        if request is None or endpoint is None:
            attempts = request.attempts if request is not None else 0
            request_closed = request is None
            return self.handle(
                api.AttemptEnded(action.id, attempts, server, Result.MOOT, 0.0, request_closed)
            )
        # The balancer is configured with the largest `max_attempts` of all routes, so check this route's own.
        if request.attempts >= request.route.max_attempts:
            self._answer_without_retry(request, 0.0)
            self.handle(api.AttemptEnded(action.id, request.attempts, server, Result.MOOT, 0.0, True))
            return self.report_if_ended(request)
        remaining_ms = request.deadline_ms - now_ms() - TRANSIT_MARGIN_MS / 2.0
        timeout_ms = max(0.0, min(action.timeout_ms, remaining_ms))
        self._connections.send(GateAttempt(request, server, endpoint, timeout_ms))
        return None

    def _cancel(self, action: api.Cancel) -> None:
        """Cancel the attempt with the given number, or else the last one before it that is in flight."""
        for number in range(action.attempt, -1, -1):
            attempt = self.attempts.get((action.id, number))
            if attempt is not None:
                return attempt.abort(Result.CANCELLED)
        return None


def _log_failure(event: api.Event) -> None:
    logger.exception("service_client: event failed, event={}", type(event).__name__)
