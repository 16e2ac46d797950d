"""Requests that the node has not answered yet, and their attempts."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.clock import now_ms
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message

if TYPE_CHECKING:
    from orchidferry.node.node import Node


class PendingRequest:
    """A request that the node has accepted, kept until it is answered and its attempts have ended."""

    __slots__ = ("_node", "answer", "attempts", "backstop", "ends_ms", "id", "message", "owed")

    def __init__(
        self, node: Node, id: str, message: Message, answer: Callable[[Reply], None], ends_ms: float
    ) -> None:
        """Create a `PendingRequest`.

        :param id: the serial number that the node gave the request.
        :param message: the request itself.
        :param answer: sends the answer to the client; called at most once.
        :param ends_ms: deadline for the answer, by the node's clock, in milliseconds.
        """
        self._node = node
        self.id = id
        self.message = message
        self.answer = answer
        self.ends_ms = ends_ms
        self.attempts = 0  # number of attempts started so far
        self.owed = True  # whether the client still waits for its answer
        self.backstop = 0  # id of the timer that fails the request at `ends_ms`

    def client_disconnected(self) -> None:
        """Called when the client has disconnected."""
        self._node.client_disconnected(self)

    def deadline_passed(self) -> None:
        """Called by the backstop timer at `ends_ms`."""
        self._node.deadline_passed(self)


class RequestAttempt(Attempt):
    """An attempt at a pending request, started by an action of the balancer."""

    __slots__ = ("_incarnation", "_node", "_number", "_request", "_sent_ms")

    def __init__(
        self,
        node: Node,
        request: PendingRequest,
        server: int,
        address: Address,
        timeout_ms: float,
        sent_ms: float,
    ) -> None:
        """Create a `RequestAttempt`; the other parameters are those of `Attempt`.

        :param request: the pending request.
        :param sent_ms: when the balancer started the attempt, by the node's clock, in milliseconds.
        """
        super().__init__(request.message, server, address, timeout_ms)
        self._node = node
        self._request = request
        self._sent_ms = sent_ms
        self._number = request.attempts
        self._incarnation = node.servers.incarnation(server)
        request.attempts += 1
        node.attempts[request.id, self._number] = self

    def may_send(self) -> bool:
        flow = self.message.flow
        replayable = flow is None or flow.can_start()
        # A server that was removed and listed again counts as another server: it is cold and the balancer
        # gives it a new budget.
        servers = self._node.servers
        same_server = servers.incarnation(self.server) == self._incarnation
        return replayable and self._request.owed and same_server and self.server in servers.in_service

    def on_sent(self) -> None:
        self.written = True
        self._node.metrics.count_attempt(self.message.cls)
        if self.message.flow is not None:
            self._node.upload_sent(self)

    def restart_clock(self, left_ms: float, sent_ms: float) -> api.Uploaded:
        """Restart the attempt's duration and timeout at the end of a streamed upload.

        :param left_ms: time until the answer is due, in milliseconds.
        :param sent_ms: when the last byte was sent, by the node's clock, in milliseconds.
        :returns: the event for the balancer.
        """
        self._sent_ms = sent_ms
        self.extend_timeout(max(0.0, min(self.timeout_ms, left_ms)) / 1000.0)
        return api.Uploaded(self._request.id, self._number, max(0.0, left_ms))

    @property
    def request(self) -> PendingRequest:
        """The pending request that this attempt belongs to."""
        return self._request

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        request = self._request
        del self._node.attempts[request.id, self._number]
        report = None
        if answer is not None:
            report = answer.report
            if result is Result.SERVED:
                self._node.finish(request, Reply(200, answer.body, answer.content_type, flow=answer.flow))
            if answer.flow is not None and not answer.flow.has_consumer():
                answer.flow.cancel()
        flow = self.message.flow
        chain_headers = self._node.chain_headers
        below, used = chain_headers.read_answer(answer) if chain_headers is not None else (False, 0)
        self._node.attempt_ended(
            api.AttemptEnded(
                request.id,
                self._number,
                self.server,
                result,
                now_ms() - self._sent_ms,
                not request.owed,
                report,
                flow is not None and (flow.spent or flow.over),
                below,
                used,
            )
        )
