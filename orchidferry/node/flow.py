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
MAX_REPLAY_BYTES = 1024 * 1024  # of one flow is kept to be sent again
POOL_MEMORY_FRACTION = 0.15  # of the node's memory, for what flows keep beyond the first `SHORT_BODY`
STALL_S = 10.0  # without a byte either way a flow has ended
SLOWEST_B_S = 16 * 1024  # a flow slower than this over its life has ended, after `GRACE_S`
GRACE_S = 20.0


class BodyTooLongError(OrchidferryError):
    """More came than may flow, or than was said."""


class Source(Protocol):
    """Where a body comes from."""

    def pause(self) -> None:
        """Send nothing for now."""

    def resume(self) -> None:
        """Send on."""

    def flow_cancelled(self) -> None:
        """Nobody wants the rest."""


class Sink(Protocol):
    """Where a body goes."""

    def feed(self, data: bytes) -> None:
        """Take a piece."""

    def end(self) -> None:
        """That was all."""

    def flow_failed(self) -> None:
        """The rest never comes."""


class MemoryPool:
    """Memory that all flows share, in bytes."""

    __slots__ = ("available",)

    def __init__(self, received_bytes: int) -> None:
        self.available = received_bytes

    def reserve(self, received_bytes: int) -> bool:
        """Whether there was room for so much more; it is taken then."""
        if received_bytes > self.available:
            return False
        self.available -= received_bytes
        return True

    def return_bytes(self, received_bytes: int) -> None:
        """Give back what was taken."""
        self.available += received_bytes


class Flow:
    """One body on its way. `length` in bytes, None where the sender doesn't say."""

    __slots__ = (
        "_borrowed",
        "_sink_blocked",
        "_source_paused",
        "_replay",
        "_max_length",
        "_pool",
        "_sink",
        "_unfed",
        "started_s",
        "complete",
        "length",
        "last_progress_s",
        "on_complete",
        "on_over",
        "over",
        "fed_bytes",
        "received_bytes",
        "source",
        "spent",
    )

    def __init__(
        self,
        source: Source,
        length: int | None,
        now_s: float,
        pool: MemoryPool | None = None,
        max_length: int | None = None,
    ) -> None:
        """`pool`: where memory comes from for what is kept; None: nothing is kept, as there is one sink.
        `max_length`: bytes that a body may have whose length is not known; None: `LONG_BODY`.
        """
        self.source = source
        self.length = length
        self._pool = pool
        self._max_length = LONG_BODY if max_length is None else max_length
        self.received_bytes = self.fed_bytes = 0  # bytes that came in, and that the sink was fed
        self.complete = self.over = self._sink_blocked = self._source_paused = False
        self.spent = False  # the beginning is not there any more: no other sink can be fed
        self._replay: list[bytes] = []
        self._unfed: deque[bytes] = deque()  # for want of a sink, or of a pool to keep them in
        self._borrowed = 0  # from the pool
        self._sink: Sink | None = None
        self.on_complete: Callable[[], None] | None = None  # the last byte has come in
        self.on_over: Callable[[bool], None] | None = None  # called once; whether all of it was fed
        self.started_s = self.last_progress_s = now_s

    # The source's side

    def push(self, data: bytes, now_s: float) -> None:
        """A piece has come. `BodyTooLongError` if that is more than may: whoever pushes then ends the
        flow.
        """
        if self.over:
            return
        if self.received_bytes + len(data) > (self._max_length if self.length is None else self.length):
            raise BodyTooLongError
        self.received_bytes += len(data)
        self.last_progress_s = now_s
        self._store(data)
        if self._sink is None:
            self._unfed.append(data)
            if self.received_bytes - self.fed_bytes >= SHORT_BODY:
                self._pause_source()
        else:
            self.fed_bytes += len(data)
            self._sink.feed(data)

    def _store(self, data: bytes) -> None:
        """Keep a piece if there is room for all so far; drop all that is kept otherwise."""
        if self._pool is None or self.spent:
            self.spent = True
            return
        beyond = max(0, self.received_bytes - SHORT_BODY) - self._borrowed
        if self.received_bytes <= MAX_REPLAY_BYTES and self._pool.reserve(beyond):
            self._borrowed += beyond
            self._replay.append(data)
        elif self._sink is not None or self.fed_bytes:
            self._discard_replay()
        else:  # nothing was fed so far: what waits is the whole still
            self._replay.append(data)

    def _discard_replay(self) -> None:
        self.spent = True
        self._replay.clear()
        if self._pool is not None:
            self._pool.return_bytes(self._borrowed)
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
        if self._finish(False) and self._sink is not None:
            self._sink.flow_failed()

    # The sink's side

    def attach(self, sink: Sink) -> None:
        """Feed this sink from the start: what is there now, and what comes later."""
        assert self._sink is None and not (self.spent and self.fed_bytes), "its beginning is gone"
        self._sink = sink
        self._sink_blocked = False
        self.fed_bytes = 0
        chunks = list(self._unfed) if self._pool is None else list(self._replay)
        self._unfed.clear()
        for chunk in chunks:
            if self._sink is not sink:
                return  # it gave up meanwhile
            self.fed_bytes += len(chunk)
            sink.feed(chunk)
        if self._sink is sink:
            if self.over:
                sink.flow_failed()
            elif self.complete:
                sink.end()
            elif not self._sink_blocked:
                self._resume_source()

    def detach(self, sink: Sink) -> None:
        """This sink takes no more; another may be fed, if the flow is not spent."""
        if self._sink is sink:
            self._sink = None
            if not self.complete and not self.over and self.received_bytes >= SHORT_BODY:
                self._pause_source()

    def block(self) -> None:
        """The sink can't take more now."""
        self._sink_blocked = True
        if not self.complete:
            self._pause_source()

    def unblock(self, now_s: float) -> None:
        """The sink can take more again."""
        self._sink_blocked = False
        self.last_progress_s = now_s
        self._resume_source()

    def _pause_source(self) -> None:
        if not self._source_paused and not self.over:
            self._source_paused = True
            self.source.pause()

    def _resume_source(self) -> None:
        if self._source_paused:
            self._source_paused = False
            self.source.resume()

    def cancel(self) -> None:
        """Nobody wants it any more; the source is told to go on, as it may drop what comes, and told why."""
        if self._finish(False):
            self._resume_source()
            self.source.flow_cancelled()

    def delivered(self) -> None:
        """All of it has gone where it should."""
        self._finish(True)

    def abort(self) -> None:
        """End it from outside: both sides are told."""
        sink = self._sink
        if self._finish(False):
            if sink is not None:
                sink.flow_failed()
            self.source.flow_cancelled()

    def _finish(self, complete: bool) -> bool:
        """Be over; whether it was not before."""
        if self.over:
            return False
        self.over = True
        self._discard_replay()
        self._unfed.clear()
        if self.on_over is not None:
            self.on_over(complete)
        return True

    def can_start(self) -> bool:
        """Whether a sink can be fed from the start."""
        return not self.over and not (self.spent and self.fed_bytes)

    def has_consumer(self) -> bool:
        """Whether somebody takes it, or has taken it."""
        return self.over or self._sink is not None

    def is_stalled(self, now_s: float) -> bool:
        """Whether it has stood still, or crawled, for too long."""
        slow = now_s - self.started_s > GRACE_S + max(self.received_bytes, self.fed_bytes) / SLOWEST_B_S
        return not self.over and (slow or now_s - self.last_progress_s > STALL_S)
