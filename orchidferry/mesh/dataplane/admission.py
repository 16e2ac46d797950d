"""The admission gate in front of the server on this machine; every request to the server passes through it.

It limits concurrency to little more than the server's capacity and queues further requests briefly, in order
of rank. It rejects requests that are addressed to another incarnation of the server, arrive too long after
the server has acknowledged a drain, or have too little time left. Rejected requests have not run.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from loguru import logger

from orchidferry.balancing.interface import Result
from orchidferry.mesh.control.endpoints import GONE, Server
from orchidferry.mesh.dataplane.admission_queue import AdmissionQueue, QueuedRequest
from orchidferry.mesh.dataplane.attempt import TrackedAttempt
from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool
from orchidferry.mesh.dataplane.messages import (
    AT_MOST_ONCE_HEADER,
    DEPENDENCY_SHED_HEADER,
    KEYED_HEADER,
    QUEUE_LENGTH_HEADER,
    QUEUE_TIMEOUT_HEADER,
    RANK_HEADER,
    TRANSIT_MARGIN_MS,
    GateOutcome,
    ProxiedRequest,
    ServerResponse,
    forwarded_reply,
    refusal_reply,
    request_bytes,
)
from orchidferry.mesh.dataplane.server_registration import HeartbeatEffect, ServerRegistration
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.mesh.settings import Address, Bounds
from orchidferry.node.attempt import UpstreamResponse
from orchidferry.node.clock import now_ms
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message
from orchidferry.node.timer_queue import TimerQueue

EXTRA_SLOTS = 1  # requests sent to the server beyond its capacity, so that none of its slots is idle
DEFAULT_SLOTS = 4  # capacity assumed for a server that has sent no heartbeat yet
DRAIN_FRACTION = 0.75  # fraction of `drain_ms` for which a draining server is still sent requests
QUEUE_PER_SLOT = 4  # queue capacity per slot
MIN_REMAINING_MS = 8.0  # requests with less time left are rejected
MAX_FAILED_CONNECTS = 2  # consecutive failures after which the server counts as gone until a heartbeat
# How long a repeatable request whose client has disconnected may go on executing while no other request needs
# its slot. If its response arrives in this time, its connection stays usable; opening a new one is costly.
# The rules of the platform allow 0.5 s from the disconnection of the client.
ABANDONED_S = 0.3
LOWEST_RANK = 9  # rank of a request without a valid rank header; rank 0 is the most important


@dataclass(frozen=True, slots=True)
class GateHooks:
    """Callbacks of an admission gate to its node."""

    on_server_changed: Callable[[], None]
    dependency_shed: Callable[[], bool]  # whether calls made by this machine's server were rejected recently
    # Called with the response to a request whose operation key is claimed and whose sender has disconnected.
    on_orphaned_response: Callable[[ProxiedRequest, ServerResponse], None]


class GateRequest(QueuedRequest):
    """A request at the gate, from its arrival to its reply."""

    __slots__ = ("_gate", "answer", "at_most_once", "attempt", "awaited", "deadline_ms", "message")

    def __init__(self, gate: AdmissionGate, message: ProxiedRequest, answer: Callable[[Reply], None]) -> None:
        rank = message.headers.get(RANK_HEADER, b"")
        super().__init__(int(rank) if rank.isdigit() else LOWEST_RANK)
        self._gate = gate
        self.message = message
        self.answer = answer
        self.deadline_ms = message.due_ms(now_ms())
        self.at_most_once = AT_MOST_ONCE_HEADER in message.headers
        self.attempt: ServerAttempt | None = None
        self.awaited = True  # not answered yet, and its sender has not disconnected

    def client_disconnected(self) -> None:
        """Cancel the request, as its sender has disconnected; one that must not run twice may go on."""
        self.awaited = False
        if self.attempt is None:
            self._gate.dequeue(self)
        elif not self.attempt.possibly_sent:
            self.attempt.abort(Result.CANCELLED)
        elif not self.at_most_once:
            self._gate.abandon(self, self.attempt)

    def reply(self, reply: Reply) -> None:
        """Send the reply, unless one was sent or the sender has disconnected."""
        if self.awaited:
            self.awaited = False
            self.answer(reply)
        elif reply.flow is not None:
            reply.flow.cancel()


class ServerAttempt(TrackedAttempt):
    """The attempt that carries a request from the gate to the server."""

    __slots__ = ("_gate", "_request")

    def __init__(
        self, gate: AdmissionGate, request: GateRequest, address: Address, timeout_ms: float
    ) -> None:
        super().__init__(request.message, gate.incarnation, address, timeout_ms, request.at_most_once)
        self._gate = gate
        self._request = request
        request.attempt = self

    def head_bytes(self) -> bytes:
        """Return the request as it is sent to the server."""
        headers = self._request.message.headers
        remaining_ms = max(1.0, self._request.deadline_ms - now_ms())
        added = [(b"Time-Remaining", b"%d" % remaining_ms)]
        if b"target-instance" in headers:
            added.append((b"Target-Instance", headers[b"target-instance"]))
        if b"calling-service" in headers:
            added.append((b"Calling-Service", headers[b"calling-service"]))
        return request_bytes(self._request.message, added)

    def may_send(self) -> bool:
        """Whether the request is still awaited, and the gate still admits it."""
        return self._request.awaited and self._gate.reason_to_reject(self._request.message) is None

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        """Report the outcome to the gate."""
        response = answer if isinstance(answer, ServerResponse) else None
        self._gate.attempt_ended(self._request, result, response)


class AdmissionGate:
    """Admits requests to one server, depending on its registration and its capacity."""

    def __init__(
        self,
        application: Address,
        bounds: Bounds,
        heartbeat_interval_ms: float,
        timers: TimerQueue,
        connections: HttpConnectionPool,
        hooks: GateHooks,
    ) -> None:
        self._application = application
        self._bounds = bounds
        self._timers = timers
        self._connections = connections
        self._hooks = hooks
        self._registration = ServerRegistration(heartbeat_interval_ms, now_ms())
        # The server's number in the connection pool. Each incarnation has its own, so that no connection is
        # reused for another incarnation.
        self.incarnation = 1
        self._failed_connects = 0  # number of consecutive failed connects to the server
        self.in_flight = 0  # number of requests that were sent to the server and have not ended
        # Requests in flight that may be cancelled, as their sender has disconnected; oldest first.
        self._abandoned: dict[GateRequest, ServerAttempt] = {}
        self._queue: AdmissionQueue[GateRequest] = AdmissionQueue(timers)
        self.draining = False  # the node is shutting down: new requests are rejected

    @property
    def server(self) -> Server | None:
        """The server on this machine, as its last heartbeat described it; None before the first."""
        return self._registration.server

    # Registration of the server

    def heartbeat(self, server: Server, sequence: int) -> None:
        """Handle a heartbeat of the server.

        :param sequence: orders the calls of one incarnation.
        """
        effect = self._registration.heartbeat(server, sequence, now_ms())
        if effect is HeartbeatEffect.STALE:
            return
        if effect is HeartbeatEffect.NEW_INCARNATION:
            self._connections.server_removed(self.incarnation)
            self.incarnation += 1
        if effect is not HeartbeatEffect.UNCHANGED:
            self._server_changed("heartbeat")
        self._admit_queued()

    def deregister(self, id: str) -> None:
        """Handle the deregistration of the server with this id."""
        if self._registration.deregister(id):
            self._server_gone("deregistered")

    def check_heartbeat(self) -> None:
        """Mark the server as gone if its heartbeat is overdue; called periodically."""
        if self._registration.heartbeat_overdue(now_ms()):
            self._server_gone("heartbeat_overdue")

    def _server_gone(self, reason: str) -> None:
        self._registration.mark_gone()
        self._server_changed(reason)
        for request in self._queue.waiting():  # rejected at once, so that their senders try another server
            self._queue.discard(request)
            self._reject(request, GateOutcome.SERVER_GONE)

    def _server_changed(self, reason: str) -> None:
        server = self.server
        assert server is not None
        logger.info(
            "admission: server changed, server={} service={} state={} reason={}",
            server.id,
            server.service,
            server.state,
            reason,
        )
        self._hooks.on_server_changed()

    # Admission

    def reason_to_reject(self, message: ProxiedRequest) -> GateOutcome | None:
        """Return why the server can't be sent a request, or None if it can."""
        server = self.server
        if server is None:
            return None
        target = message.headers.get(b"target-instance")
        other_incarnation = target is not None and target != server.id.encode("latin-1")
        if other_incarnation or server.state == GONE:
            return GateOutcome.SERVER_GONE
        if self._registration.drained_for_ms(now_ms()) > DRAIN_FRACTION * self._bounds.drain_ms:
            return GateOutcome.SERVER_GONE
        return None

    def accept(self, message: Message, answer: Callable[[Reply], None]) -> GateRequest:
        """Accept a request: send it to the server, queue it or reject it."""
        assert isinstance(message, ProxiedRequest)
        request = GateRequest(self, message, answer)
        outcome = self.reason_to_reject(message)
        if outcome is None and self.draining:
            outcome = GateOutcome.SERVER_GONE
        if outcome is None and request.deadline_ms - now_ms() < MIN_REMAINING_MS:
            outcome = GateOutcome.NOT_RUN
        if outcome is not None:
            self._reject(request, outcome)
        elif self._free_slot():
            self._admit(request)
        else:
            self._enqueue(request)
        return request

    def dequeue(self, request: GateRequest) -> None:
        """Remove a request whose sender has disconnected from the queue, if it is queued."""
        self._queue.discard(request)

    def abandon(self, request: GateRequest, attempt: ServerAttempt) -> None:
        """Cancel a repeatable request whose sender has disconnected, at once or after a while.

        It is cancelled at once if requests are queued or no slot is free, else when its slot is needed, and
        after `ABANDONED_S` at the latest.
        """
        if self._queue.length or self.in_flight >= self._slots():
            return attempt.abort(Result.CANCELLED)
        self._abandoned[request] = attempt
        self._timers.schedule(ABANDONED_S, lambda: attempt.abort(Result.CANCELLED))
        return None

    def _slots(self) -> int:
        capacity = self.server.capacity if self.server is not None else DEFAULT_SLOTS
        return max(1, capacity) + EXTRA_SLOTS

    def _free_slot(self) -> bool:
        """Whether a slot is free; if none is, the oldest abandoned request is cancelled to free one."""
        if self.in_flight >= self._slots() and self._abandoned:
            next(iter(self._abandoned.values())).abort(Result.CANCELLED)
        return self.in_flight < self._slots()

    def _admit(self, request: GateRequest) -> None:
        self.in_flight += 1
        remaining_ms = request.deadline_ms - now_ms() + TRANSIT_MARGIN_MS
        self._connections.send(ServerAttempt(self, request, self._application, max(1.0, remaining_ms)))

    def _enqueue(self, request: GateRequest) -> None:
        """Queue a request until a slot is free; if the queue is full, reject the least important request."""
        header = request.message.headers.get(QUEUE_TIMEOUT_HEADER, b"0")
        queue_timeout_ms = float(header) if header.isdigit() else 0.0
        wait_ms = min(queue_timeout_ms, request.deadline_ms - now_ms() - MIN_REMAINING_MS)
        if wait_ms <= 0.0:
            return self._reject(request, GateOutcome.NOT_RUN)
        if self._queue.length >= QUEUE_PER_SLOT * self._slots():
            displaced = self._queue.pop_last_below(request.rank)
            if displaced is None:
                return self._reject(request, GateOutcome.NOT_RUN)
            self._reject(displaced, GateOutcome.NOT_RUN)
        self._queue.add(request, wait_ms / 1000.0, self._queue_timed_out)
        return None

    def _queue_timed_out(self, request: GateRequest) -> None:
        self._reject(request, GateOutcome.NOT_RUN)

    def _admit_queued(self) -> None:
        while self._queue.length and self.in_flight < self._slots():
            request = self._queue.pop_first()
            outcome = self.reason_to_reject(request.message)
            if outcome is not None:
                self._reject(request, outcome)
            else:
                self._admit(request)

    def _reject(self, request: GateRequest, outcome: GateOutcome) -> None:
        refusal = Rejection(RejectionReason.NOT_EXECUTED)
        request.reply(refusal_reply(request.message, refusal, None, outcome, self._queue.length))

    # Outcomes

    def attempt_ended(self, request: GateRequest, result: Result, response: ServerResponse | None) -> None:
        """Handle the end of the attempt that carried a request to the server: reply, and free its slot."""
        self.in_flight -= 1
        self._abandoned.pop(request, None)
        orphaned = not request.awaited and KEYED_HEADER in request.message.headers
        answered = result in (Result.SERVED, Result.ERROR)
        if orphaned and answered and response is not None and response.authentic:
            self._hooks.on_orphaned_response(request.message, response)
        request.reply(self._reply_to(request.message, result, response))
        self._failed_connects = self._failed_connects + 1 if result is Result.UNREACHABLE else 0
        if self._failed_connects >= MAX_FAILED_CONNECTS and not self.in_flight and self._registration.serving:
            self._server_gone("unreachable")
        self._admit_queued()

    def _reply_to(self, message: ProxiedRequest, result: Result, response: ServerResponse | None) -> Reply:
        """Return the reply to the node that sent the request."""
        if response is not None:
            if result is Result.REFUSED:
                not_run = GateOutcome.NOT_RUN
                return refusal_reply(
                    message, Rejection(RejectionReason.NOT_EXECUTED), None, not_run, self._queue.length
                )
            if response.attempt_id is not None and result in (Result.SERVED, Result.ERROR):
                return self._forwarded(result, response)
            if response.flow is not None:
                response.flow.cancel()
        if result in (Result.MOOT, Result.UNREACHABLE):
            return refusal_reply(
                message, Rejection(RejectionReason.NOT_EXECUTED), gate_outcome=GateOutcome.SERVER_GONE
            )
        if result is Result.TIMEOUT:
            return refusal_reply(
                message, Rejection(RejectionReason.TIMEOUT), gate_outcome=GateOutcome.TIMED_OUT
            )
        return refusal_reply(
            message, Rejection(RejectionReason.EXECUTION_UNKNOWN), gate_outcome=GateOutcome.CONNECTION_LOST
        )

    def _forwarded(self, result: Result, response: ServerResponse) -> Reply:
        reply = forwarded_reply(response)
        headers = [*reply.more, (QUEUE_LENGTH_HEADER, b"%d" % self._queue.length)]
        if result is Result.ERROR and self._hooks.dependency_shed():
            headers.append((DEPENDENCY_SHED_HEADER, b"1"))
        reply.more = headers
        return reply
