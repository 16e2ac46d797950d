"""An attempt that tracks whether any byte of its request may have been sent.

For `orchidferry.node.attempt.Attempt` a request may have run once its last byte is written. In the mesh it
may have run once its first byte is written: a server may start executing as soon as it has read the head, and
neither a timeout nor a reset after that proves that the request has not run.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.abandoned_responses import AbandonCause
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.request import Message


class TrackedAttempt(Attempt):
    """One transmission of a request to one server."""

    __slots__ = ("_is_unsent", "_possibly_sent", "at_most_once", "timed_out")

    def __init__(
        self, message: Message, server: int, address: Address, timeout_ms: float, at_most_once: bool
    ) -> None:
        """:param at_most_once: whether the request must not run twice."""
        super().__init__(message, server, address, timeout_ms)
        self.at_most_once = at_most_once
        self.timed_out = False  # whether the attempt's own timeout has expired
        self._possibly_sent = False
        self._is_unsent: Callable[[], bool] | None = None

    @property
    def possibly_sent(self) -> bool:
        """Whether any byte of the request may have been sent, so that the request may have run."""
        if not self._possibly_sent and not self.written and self._is_unsent is not None:
            self._possibly_sent = not self._is_unsent()
        return self._possibly_sent or self.written

    def abandon_cause(self) -> AbandonCause:
        """Return why the attempt is abandoned; called when it is aborted."""
        return AbandonCause.TIMEOUT if self.timed_out else AbandonCause.CLIENT_CLOSED

    def request_written(self, is_unsent: Callable[[], bool] | None = None) -> None:
        """Record that the connection has written the request to its transport.

        :param is_unsent: returns whether all of the request is still in the transport's buffer; None
            if the kernel has accepted some of it already.
        """
        self._is_unsent = is_unsent
        self._possibly_sent = is_unsent is None

    def end(self, result: Result, answer: UpstreamResponse | None = None) -> None:
        """Report the outcome; if the request may have been sent, `UNREACHABLE` is reported as `RESET`."""
        if result is Result.UNREACHABLE and self.possibly_sent:
            result = Result.RESET
        super().end(result, answer)

    def on_sent(self) -> None:
        """Start the server's timeout, as the last byte of the request is written."""
        super().on_sent()
        if self.message.flow is not None:  # while the body was being sent, the timer detected only stalls
            self.extend_timeout(self.timeout_ms / 1000.0)

    def abort(self, result: Result) -> None:
        """Stop waiting for the response, and close the connection."""
        # Ask while the connection is open; nothing more is sent after it is closed.
        if not self.possibly_sent:
            self._is_unsent = None
        super().abort(result)

    def on_timeout(self) -> None:
        """End the attempt as timed out, or as unreachable if no byte of it was sent."""
        self.timed_out = True
        self.abort(Result.TIMEOUT if self.possibly_sent else Result.UNREACHABLE)
