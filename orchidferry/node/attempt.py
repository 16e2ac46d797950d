"""An attempt: one copy of a request on its way to one server, and what the server answered."""

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
    """What a server answered."""

    status: int
    body: bytes
    content_type: bytes | None
    report: dict[str, float] | None  # the server's load report
    flow: Flow | None = None  # the body, where it is too long to buffer; `body` is empty then
    chain: bytes | None = None  # header about the server's own calls, in a chain of tiers


class Attempt:
    """One copy of a request on its way to one server; reports its outcome exactly once.

    A subclass says what `may_send` and `ended` do.
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
        self.message = message
        self.server = server
        self.address = address
        self.timeout_ms = timeout_ms
        self.more: list[tuple[bytes, bytes]] = []  # headers besides the message's own
        self.written = False  # whether the last byte is written: from then on it may have run
        self.over = False  # whether its outcome was reported
        self._timers: TimerQueue | None = None
        self._timeout = 0  # id of the timer
        self._cancel_io: Callable[[], object] | None = None

    def head_bytes(self) -> bytes:
        """Return the request as it is sent to the server, with its body unless that is a flow."""
        return request_bytes(self.message, self.address, self.timeout_ms, self.more)

    def may_send(self) -> bool:
        """Return whether it may still be sent; asked after the wait for a connection."""
        raise NotImplementedError

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        """Learn the outcome; called once."""
        raise NotImplementedError

    def on_sent(self) -> None:
        """Learn that its last byte is written: from now on it may have run."""
        self.written = True

    def set_timeout(self, timers: TimerQueue, delay_s: float) -> None:
        """Give it up after a delay; replaces an earlier timeout."""
        if self._timers is not None:
            self._timers.cancel(self._timeout)
        self._timers = timers
        self._timeout = timers.schedule(delay_s, self.on_timeout)

    def extend_timeout(self, delay_s: float) -> None:
        """Let the timeout begin anew, with this delay."""
        if self._timers is not None and not self.over:
            self.set_timeout(self._timers, delay_s)

    def set_cancel_io(self, cancel_io: Callable[[], object]) -> None:
        """Set what stops the attempt where it is now: the dial, or the connection that carries it."""
        self._cancel_io = cancel_io

    def end(self, result: Result, answer: UpstreamResponse | None = None) -> None:
        """Report the outcome, unless one was reported before."""
        if self.over:
            return
        self.over = True
        self._cancel_io = None
        if self._timers is not None:
            self._timers.cancel(self._timeout)
        self.ended(result, answer)

    def abort(self, result: Result) -> None:
        """End it now; the server learns that by the end of its connection."""
        if self.over:
            return
        cancel_io = self._cancel_io
        if cancel_io is not None:
            cancel_io()
        self.end(result)

    def on_timeout(self) -> None:
        """End it as timed out, or as never run: without the last byte a server can't have begun."""
        self.abort(Result.TIMEOUT if self.written else Result.UNREACHABLE)
