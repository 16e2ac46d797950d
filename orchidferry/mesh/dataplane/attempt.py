"""An attempt that knows whether the first byte of its request may have left this machine.

`orchidferry.node.upstream.Attempt` draws the line between "never ran" and "may have run" at the last byte
written. The mesh draws it at the first: a server may begin as soon as it has read a head, and a silence or a
reset after that proves nothing.
"""

from __future__ import annotations

from collections.abc import Callable

from orchidferry.balancing.interface import Result
from orchidferry.node.config import Address
from orchidferry.node.request import Message
from orchidferry.node.upstream import Attempt, UpstreamResponse


class TrackedAttempt(Attempt):
    """One copy of a request; `once`: it must not run twice."""

    __slots__ = ("_begun", "_untouched", "once")

    def __init__(
        self, message: Message, server: int, address: Address, timeout_ms: float, once: bool
    ) -> None:
        super().__init__(message, server, address, timeout_ms)
        self.once = once
        self._begun = False
        self._untouched: Callable[[], bool] | None = None

    @property
    def begun(self) -> bool:
        """Whether a byte of it may have been sent: from then on it may have run."""
        if not self._begun and not self.written and self._untouched is not None:
            self._begun = not self._untouched()
        return self._begun or self.written

    def begin(self, untouched: Callable[[], bool] | None = None) -> None:
        """Its bytes were given to the kernel; `untouched` tells whether that has taken none of them yet."""
        self._untouched = untouched
        self._begun = untouched is None

    def end(self, result: Result, answer: UpstreamResponse | None = None) -> None:
        if result is Result.UNREACHABLE and self.begun:
            result = Result.RESET
        super().end(result, answer)

    def on_sent(self) -> None:
        """Its last byte is written: the server has its time from now on."""
        super().on_sent()
        if self.message.flow is not None:  # until now only a body that stood still was given up
            self.extend_timeout(self.timeout_ms / 1000.0)

    def abort(self, result: Result) -> None:
        if not self.begun:  # asked while there is a connection to ask; nothing goes out on it after that
            self._untouched = None
        super().abort(result)

    def on_timeout(self) -> None:
        self.abort(Result.TIMEOUT if self.begun else Result.UNREACHABLE)
