"""The admission gate of the server on this machine: nothing reaches the server but through it.

It sends little more than the server works on, queues the rest for a moment in the order of rank, and rejects
as not run what comes for another incarnation of the server, too long after a drain was acknowledged, or too
late.
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

EXTRA_SLOTS = 1  # requests beyond its slots that a server is given, so that none of these is idle
DEFAULT_SLOTS = 4  # slots of a server that has sent no heartbeat yet
DRAIN_FRACTION = 0.75  # of the time in which a drained server may still be reached
QUEUE_PER_SLOT = 4  # requests that may be queued
MIN_REMAINING_MS = 8.0  # of a request's time, for it to be worth sending
MAX_UNREACHABLE = 2  # failed connections in a row, after which a server is gone until its next heartbeat
# A server may work on for nobody for so long, while no request waits for its slot: a response that comes
# leaves its connection usable, and new ones are priced. The rules allow 0.5 s from when the client has left.
ABANDONED_S = 0.3
LOWEST_RANK = 9


@dataclass(frozen=True, slots=True)
class GateHooks:
    """What an admission gate asks and tells the node around it."""

    on_server_changed: Callable[[], None]
    dependency_shed: Callable[[], bool]  # whether calls of this machine's server were rejected lately
    # Takes the response to a request whose operation key is claimed, and whose sender is gone.
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
        self.awaited = True  # its sender still waits for the reply

    def client_disconnected(self) -> None:
        """Its sender has gone. What must not run twice is let run."""
        self.awaited = False
        if self.attempt is None:
            self._gate.dequeue(self)
        elif not self.attempt.possibly_sent:
            self.attempt.abort(Result.CANCELLED)
        elif not self.at_most_once:
            self._gate.abandon(self, self.attempt)

    def reply(self, reply: Reply) -> None:
        """Give the one reply."""
        if self.awaited:
            self.awaited = False
            self.answer(reply)
        elif reply.flow is not None:
            reply.flow.cancel()


class ServerAttempt(TrackedAttempt):
    """A request on its way from the gate to the server."""

    __slots__ = ("_gate", "_request")

    def __init__(
        self, gate: AdmissionGate, request: GateRequest, address: Address, timeout_ms: float
    ) -> None:
        super().__init__(request.message, gate.incarnation, address, timeout_ms, request.at_most_once)
        self._gate = gate
        self._request = request
        request.attempt = self

    def head_bytes(self) -> bytes:
        """The request as it goes to the server."""
        headers = self._request.message.headers
        remaining_ms = max(1.0, self._request.deadline_ms - now_ms())
        added = [(b"Time-Remaining", b"%d" % remaining_ms)]
        if b"target-instance" in headers:
            added.append((b"Target-Instance", headers[b"target-instance"]))
        if b"calling-service" in headers:
            added.append((b"Calling-Service", headers[b"calling-service"]))
        return request_bytes(self._request.message, added)

    def may_send(self) -> bool:
        """Whether it is still awaited, and its server still there."""
        return self._request.awaited and self._gate.reason_to_reject(self._request.message) is None

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        """Report the outcome to the gate."""
        response = answer if isinstance(answer, ServerResponse) else None
        self._gate.attempt_ended(self._request, result, response)


class AdmissionGate:
    """Admits requests to one server, as its registration and its capacity allow."""

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
        # The server's number in the pool of connections: none is used for another incarnation.
        self.incarnation = 1
        self._unreachable = 0  # failed connections in a row
        self.in_flight = 0  # requests at the server
        # Of these, those that nobody waits for, the oldest first.
        self._abandoned: dict[GateRequest, ServerAttempt] = {}
        self._queue: AdmissionQueue[GateRequest] = AdmissionQueue(timers)
        self.draining = False  # the node is to end: nothing more is admitted

    @property
    def server(self) -> Server | None:
        """The server here, as it was last heard of."""
        return self._registration.server

    # Registration of the server

    def heartbeat(self, server: Server, sequence: int) -> None:
        """Take a heartbeat of a server; `sequence` orders the calls of one incarnation."""
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
        """A server says that it has ended."""
        if self._registration.deregister(id):
            self._server_gone("deregistered")

    def check_heartbeat(self) -> None:
        """Take a server that has been silent for too long for gone; called now and then."""
        if self._registration.heartbeat_overdue(now_ms()):
            self._server_gone("heartbeat_overdue")

    def _server_gone(self, reason: str) -> None:
        self._registration.mark_gone()
        self._server_changed(reason)
        for request in self._queue.waiting():  # they are offered to another server at once
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
        """Why the server can't be given a request; None if it can."""
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
        """Take a request: send it on, queue it or reject it."""
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
        """Nobody waits any more for a request that may be queued."""
        self._queue.discard(request)

    def abandon(self, request: GateRequest, attempt: ServerAttempt) -> None:
        """Nobody waits for a request at the server that may be repeated: its work is to end soon."""
        if self._queue.length or self.in_flight >= self._slots():
            return attempt.abort(Result.CANCELLED)
        self._abandoned[request] = attempt
        self._timers.schedule(ABANDONED_S, lambda: attempt.abort(Result.CANCELLED))
        return None

    def _slots(self) -> int:
        capacity = self.server.capacity if self.server is not None else DEFAULT_SLOTS
        return max(1, capacity) + EXTRA_SLOTS

    def _free_slot(self) -> bool:
        """Whether the server can be given one more, if need be in the place of an abandoned one."""
        if self.in_flight >= self._slots() and self._abandoned:
            next(iter(self._abandoned.values())).abort(Result.CANCELLED)
        return self.in_flight < self._slots()

    def _admit(self, request: GateRequest) -> None:
        self.in_flight += 1
        remaining_ms = request.deadline_ms - now_ms() + TRANSIT_MARGIN_MS
        self._connections.send(ServerAttempt(self, request, self._application, max(1.0, remaining_ms)))

    def _enqueue(self, request: GateRequest) -> None:
        """Let a request wait for a slot; from a full queue the least important request is rejected."""
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
        """A request has left the server, one way or another."""
        self.in_flight -= 1
        self._abandoned.pop(request, None)
        orphaned = not request.awaited and KEYED_HEADER in request.message.headers
        answered = result in (Result.SERVED, Result.ERROR)
        if orphaned and answered and response is not None and response.authentic:
            self._hooks.on_orphaned_response(request.message, response)
        request.reply(self._reply_to(request.message, result, response))
        self._unreachable = self._unreachable + 1 if result is Result.UNREACHABLE else 0
        if self._unreachable >= MAX_UNREACHABLE and not self.in_flight and self._registration.serving:
            self._server_gone("unreachable")
        self._admit_queued()

    def _reply_to(self, message: ProxiedRequest, result: Result, response: ServerResponse | None) -> Reply:
        """What the node that sent the request is told."""
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
