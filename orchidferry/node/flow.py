"""A body too long to hold: it flows from whoever sends it to whoever reads it, with little in between.

No sockets here. A source (`Source`) pushes pieces in; a sink (`Sink`) is fed them and says when it is choked,
and the source is paused then. What has come is kept as long as the flow's keep and the node's pool of memory
allow it, so that another sink can be fed all of it from the start; past that the flow is spent.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from orchidferry.errors import OrchidferryError

SHORT_BODY = 64 * 1024  # up to this a body is read whole and never flows; as much waits for a sink
LONG_BODY = 32 * 1024 * 1024  # the most that flows
MAX_KEEP = 1024 * 1024  # of one flow is kept to be sent again
POOL_SHARE = 0.15  # of the node's memory, for what flows keep beyond the first `SHORT_BODY`
STALL_S = 10.0  # without a byte either way a flow has ended
SLOWEST_B_S = 16 * 1024  # a flow slower than this over its life has ended, after `GRACE_S`
GRACE_S = 20.0


class BodyTooLongError(OrchidferryError):
    """More came than may flow, or than was said."""


class Source(Protocol):
    """Where a body comes from."""

    def hold(self) -> None:
        """Send nothing for now."""

    def go_on(self) -> None:
        """Send on."""

    def called_off(self) -> None:
        """Nobody wants the rest."""


class Sink(Protocol):
    """Where a body goes."""

    def feed(self, data: bytes) -> None:
        """Take a piece."""

    def end(self) -> None:
        """That was all."""

    def broken(self) -> None:
        """The rest never comes."""


class Pool:
    """Memory that all flows share, in bytes."""

    __slots__ = ("left",)

    def __init__(self, size: int) -> None:
        self.left = size

    def take(self, size: int) -> bool:
        """Whether there was room for so much more; it is taken then."""
        if size > self.left:
            return False
        self.left -= size
        return True

    def give(self, size: int) -> None:
        """Give back what was taken."""
        self.left += size


class Flow:
    """One body on its way. `length` in bytes, None where the sender doesn't say."""

    __slots__ = (
        "_borrowed",
        "_choked",
        "_held",
        "_kept",
        "_most",
        "_pool",
        "_sink",
        "_waiting",
        "began_s",
        "complete",
        "length",
        "moved_s",
        "on_complete",
        "on_over",
        "over",
        "passed",
        "size",
        "source",
        "spent",
    )

    def __init__(
        self,
        source: Source,
        length: int | None,
        now_s: float,
        pool: Pool | None = None,
        most: int | None = None,
    ) -> None:
        """`pool`: where memory comes from for what is kept; None: nothing is kept, as there is one sink.
        `most`: bytes that a body may have whose length is not known; None: `LONG_BODY`.
        """
        self.source = source
        self.length = length
        self._pool = pool
        self._most = LONG_BODY if most is None else most
        self.size = self.passed = 0  # bytes that came in, and that the sink was fed
        self.complete = self.over = self._choked = self._held = False
        self.spent = False  # the beginning is not there any more: no other sink can be fed
        self._kept: list[bytes] = []
        self._waiting: deque[bytes] = deque()  # for want of a sink, or of a pool to keep them in
        self._borrowed = 0  # from the pool
        self._sink: Sink | None = None
        self.on_complete: Callable[[], None] | None = None  # the last byte has come in
        self.on_over: Callable[[bool], None] | None = None  # called once; whether all of it was fed
        self.began_s = self.moved_s = now_s

    # The source's side

    def push(self, data: bytes, now_s: float) -> None:
        """A piece has come. `BodyTooLongError` if that is more than may: whoever pushes then ends the
        flow.
        """
        if self.over:
            return
        if self.size + len(data) > (self._most if self.length is None else self.length):
            raise BodyTooLongError
        self.size += len(data)
        self.moved_s = now_s
        self._keep(data)
        if self._sink is None:
            self._waiting.append(data)
            if self.size - self.passed >= SHORT_BODY:
                self._hold()
        else:
            self.passed += len(data)
            self._sink.feed(data)

    def _keep(self, data: bytes) -> None:
        """Keep a piece if there is room for all so far; drop all that is kept otherwise."""
        if self._pool is None or self.spent:
            self.spent = True
            return
        beyond = max(0, self.size - SHORT_BODY) - self._borrowed
        if self.size <= MAX_KEEP and self._pool.take(beyond):
            self._borrowed += beyond
            self._kept.append(data)
        elif self._sink is not None or self.passed:
            self._forget()
        else:  # nothing was fed so far: what waits is the whole still
            self._kept.append(data)

    def _forget(self) -> None:
        self.spent = True
        self._kept.clear()
        if self._pool is not None:
            self._pool.give(self._borrowed)
        self._borrowed = 0

    def finish(self) -> None:
        """The last piece has come."""
        if self.over or self.complete:
            return
        self.complete = True
        if self.on_complete is not None:
            self.on_complete()
        if self._sink is not None:
            self._sink.end()

    def fail(self) -> None:
        """The rest never comes."""
        if self._end(False) and self._sink is not None:
            self._sink.broken()

    # The sink's side

    def attach(self, sink: Sink) -> None:
        """Feed this sink from the start: what is there now, and what comes later."""
        assert self._sink is None and not (self.spent and self.passed), "its beginning is gone"
        self._sink = sink
        self._choked = False
        self.passed = 0
        pieces = list(self._waiting) if self._pool is None else list(self._kept)
        self._waiting.clear()
        for piece in pieces:
            if self._sink is not sink:
                return  # it gave up meanwhile
            self.passed += len(piece)
            sink.feed(piece)
        if self._sink is sink:
            if self.over:
                sink.broken()
            elif self.complete:
                sink.end()
            elif not self._choked:
                self._release()

    def detach(self, sink: Sink) -> None:
        """This sink takes no more; another may be fed, if the flow is not spent."""
        if self._sink is sink:
            self._sink = None
            if not self.complete and not self.over and self.size >= SHORT_BODY:
                self._hold()

    def choke(self) -> None:
        """The sink can't take more now."""
        self._choked = True
        if not self.complete:
            self._hold()

    def release(self, now_s: float) -> None:
        """The sink can take more again."""
        self._choked = False
        self.moved_s = now_s
        self._release()

    def _hold(self) -> None:
        if not self._held and not self.over:
            self._held = True
            self.source.hold()

    def _release(self) -> None:
        if self._held:
            self._held = False
            self.source.go_on()

    def call_off(self) -> None:
        """Nobody wants it any more; the source is told to go on, as it may drop what comes, and told why."""
        if self._end(False):
            self._release()
            self.source.called_off()

    def fed(self) -> None:
        """All of it has gone where it should."""
        self._end(True)

    def cut(self) -> None:
        """End it from outside: both sides are told."""
        sink = self._sink
        if self._end(False):
            if sink is not None:
                sink.broken()
            self.source.called_off()

    def _end(self, whole: bool) -> bool:
        """Be over; whether it was not before."""
        if self.over:
            return False
        self.over = True
        self._forget()
        self._waiting.clear()
        if self.on_over is not None:
            self.on_over(whole)
        return True

    def can_begin(self) -> bool:
        """Whether a sink can be fed from the start."""
        return not self.over and not (self.spent and self.passed)

    def fed_by_now(self) -> bool:
        """Whether somebody takes it, or has taken it."""
        return self.over or self._sink is not None

    def overdue(self, now_s: float) -> bool:
        """Whether it has stood still, or crawled, for too long."""
        slow = now_s - self.began_s > GRACE_S + max(self.size, self.passed) / SLOWEST_B_S
        return not self.over and (slow or now_s - self.moved_s > STALL_S)
