"""An attempt that knows whether the first byte of its request may have left this machine.

`orchidferry.node.upstream.Attempt` draws the line between "never ran" and "may have run" at the last byte
written. The mesh draws it at the first: a server may begin as soon as it has read a head, and a silence or a
reset after that proves nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.abandoned_responses import AbandonCause
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.request import Message


class TrackedAttempt(Attempt):
    """One copy of a request on its way to one server."""

    __slots__ = ("_kernel_took_nothing", "_possibly_sent", "at_most_once", "timed_out")

    def __init__(
        self, message: Message, server: int, address: Address, timeout_ms: float, at_most_once: bool
    ) -> None:
        """`at_most_once`: the request must not run twice."""
        super().__init__(message, server, address, timeout_ms)
        self.at_most_once = at_most_once
        self.timed_out = False  # its own time was over before it had ended
        self._possibly_sent = False
        self._kernel_took_nothing: Callable[[], bool] | None = None

    @property
    def possibly_sent(self) -> bool:
        """Whether a byte of it may have been sent: from then on it may have run."""
        if not self._possibly_sent and not self.written and self._kernel_took_nothing is not None:
            self._possibly_sent = not self._kernel_took_nothing()
        return self._possibly_sent or self.written

    def abandon_cause(self) -> AbandonCause:
        """Why it is given up, while it is."""
        return AbandonCause.TIMEOUT if self.timed_out else AbandonCause.CLIENT_CLOSED

    def request_written(self, kernel_took_nothing: Callable[[], bool] | None = None) -> None:
        """Its connection has written the request.

        :param kernel_took_nothing: tells whether all of the request is still in the transport's buffer; None
            if the kernel has taken some of it.
        """
        self._kernel_took_nothing = kernel_took_nothing
        self._possibly_sent = kernel_took_nothing is None

    def end(self, result: Result, answer: UpstreamResponse | None = None) -> None:
        """Report the outcome; what may have been sent is never reported as unreachable."""
        if result is Result.UNREACHABLE and self.possibly_sent:
            result = Result.RESET
        super().end(result, answer)

    def on_sent(self) -> None:
        """Its last byte is written: the server has its time from now on."""
        super().on_sent()
        if self.message.flow is not None:  # until now only a body that stood still was given up
            self.extend_timeout(self.timeout_ms / 1000.0)

    def abort(self, result: Result) -> None:
        """Stop waiting, and close the connection that carries it."""
        if (
            not self.possibly_sent
        ):  # asked while there is a connection to ask; nothing goes out on it after that
            self._kernel_took_nothing = None
        super().abort(result)

    def on_timeout(self) -> None:
        """End it as timed out, or as unreachable if nothing of it was sent."""
        self.timed_out = True
        self.abort(Result.TIMEOUT if self.possibly_sent else Result.UNREACHABLE)
