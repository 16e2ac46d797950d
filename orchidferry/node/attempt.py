"""An attempt to serve a request: one copy of it sent to one server, and the server's response."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from orchidferry.balancing.interface import Result
from orchidferry.node.address import Address
from orchidferry.node.flow import Flow
from orchidferry.node.http1 import request_bytes
from orchidferry.node.request import Message
from orchidferry.node.timer_queue import TimerQueue


@dataclass(slots=True)
class UpstreamResponse:
    """The response of a server."""

    status: int
    body: bytes
    content_type: bytes | None
    report: dict[str, float] | None  # the server's load report
    flow: Flow | None = None  # the body, if it is too long to buffer; `body` is empty then
    chain: bytes | None = None  # value of the header `X-Chain`, which reports on the server's own calls


class Attempt:
    """One copy of a request that is sent to one server; reports its outcome exactly once.

    Subclasses implement `may_send` and `ended`.
    """

    __slots__ = (
        "_cancel_io",
        "_timeout",
        "_timers",
        "address",
        "message",
        "more",
        "over",
        "server",
        "timeout_ms",
        "written",
    )

    def __init__(self, message: Message, server: int, address: Address, timeout_ms: float) -> None:
        """Create an `Attempt`.

        :param message: the request.
        :param server: id of the server.
        :param address: address of the server.
        :param timeout_ms: how long the attempt may take; this budget is sent to the server.
        """
        self.message = message
        self.server = server
        self.address = address
        self.timeout_ms = timeout_ms
        self.more: list[tuple[bytes, bytes]] = []  # headers in addition to those of the message
        self.written = False  # whether the last byte is written, after which the attempt may have run
        self.over = False  # whether the outcome was reported
        self._timers: TimerQueue | None = None
        self._timeout = 0  # id of the timeout's timer in `_timers`
        self._cancel_io: Callable[[], object] | None = None  # see `set_cancel_io`

    def head_bytes(self) -> bytes:
        """Return the request as it is sent to the server, including its body unless that is streamed."""
        return request_bytes(self.message, self.address, self.timeout_ms, self.more)

    def may_send(self) -> bool:
        """Return whether the request may still be sent; called once a new connection has opened."""
        raise NotImplementedError

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        """Handle the outcome; called exactly once."""
        raise NotImplementedError

    def on_sent(self) -> None:
        """Record that the last byte is written: from now on the attempt may have run."""
        self.written = True

    def set_timeout(self, timers: TimerQueue, delay_s: float) -> None:
        """Abort the attempt after a delay; replaces an earlier timeout."""
        if self._timers is not None:
            self._timers.cancel(self._timeout)
        self._timers = timers
        self._timeout = timers.schedule(delay_s, self.on_timeout)

    def extend_timeout(self, delay_s: float) -> None:
        """Restart the timeout with this delay, unless the attempt is over."""
        if self._timers is not None and not self.over:
            self.set_timeout(self._timers, delay_s)

    def set_cancel_io(self, cancel_io: Callable[[], object]) -> None:
        """Set the function that stops the attempt's current I/O: connecting, or the connection itself."""
        self._cancel_io = cancel_io

    def end(self, result: Result, answer: UpstreamResponse | None = None) -> None:
        """Report the outcome, unless it was reported before."""
        if self.over:
            return
        self.over = True
        self._cancel_io = None
        if self._timers is not None:
            self._timers.cancel(self._timeout)
        self.ended(result, answer)

    def abort(self, result: Result) -> None:
        """End the attempt at once; the server notices because its connection is closed."""
        if self.over:
            return
        cancel_io = self._cancel_io
        if cancel_io is not None:
            cancel_io()
        self.end(result)

    def on_timeout(self) -> None:
        """End as timed out, or as never run: without the last byte no server can have started the request."""
        self.abort(Result.TIMEOUT if self.written else Result.UNREACHABLE)
