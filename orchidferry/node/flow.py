"""A body that is too long to buffer: it is passed on from its sender to its reader as it comes.

No sockets here. A source (`Source`) pushes chunks into a `Flow`; a sink (`Sink`) is fed them. A sink that
can't take more blocks the flow, which pauses the source (back pressure). What has come is kept as long as the
limit of one flow and the memory pool of all allow it, so that another sink can be fed all of it from the
start; beyond that the flow is spent.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from orchidferry.errors import OrchidferryError

SHORT_BODY = 64 * 1024  # bytes; a body up to this is read completely; as much of a flow waits for a sink
LONG_BODY = 32 * 1024 * 1024  # bytes of the longest body of a flow
MAX_REPLAY_BYTES = 1024 * 1024  # of one flow that are kept for another sink
POOL_MEMORY_FRACTION = 0.15  # of the node's memory, for what flows keep beyond the first `SHORT_BODY`

# A flow has ended if no byte moves for `STALL_S`, or if it is slower than `SLOWEST_B_S` on average since its
# start; the average counts after `GRACE_S`.
STALL_S = 10.0
SLOWEST_B_S = 16 * 1024
GRACE_S = 20.0


class BodyTooLongError(OrchidferryError):
    """More came than a flow may have, or than its sender announced."""


class FlowFailure(Enum):
    """Why the rest of a body never came."""

    SOURCE_CLOSED = "source_closed"  # its sender's connection was closed
    SOURCE_RESET = "source_reset"  # its sender's connection was reset
    MALFORMED = "malformed"  # what came was not HTTP, or too long
    TRUNCATED = "truncated"  # it ended before its stated length
    DROPPED = "dropped"  # it was given up here


class Source(Protocol):
    """Where a body comes from."""

    def pause(self) -> None:
        """Push nothing for now."""

    def resume(self) -> None:
        """Go on pushing."""

    def flow_cancelled(self) -> None:
        """Learn that nobody takes the rest."""


class Sink(Protocol):
    """Where a body goes."""

    def feed(self, data: bytes) -> None:
        """Take a chunk."""

    def end(self) -> None:
        """Learn that the body is complete."""

    def flow_failed(self) -> None:
        """Learn that the rest never comes."""


class MemoryPool:
    """Memory that all flows share, in bytes."""

    __slots__ = ("available",)

    def __init__(self, size: int) -> None:
        self.available = size

    def reserve(self, size: int) -> bool:
        """Reserve so many bytes; return whether there were as many."""
        if size > self.available:
            return False
        self.available -= size
        return True

    def release(self, size: int) -> None:
        """Return bytes that were reserved."""
        self.available += size


class Flow:
    """One body on its way from a source to a sink."""

    __slots__ = (
        "_max_length",
        "_pool",
        "_replay",
        "_reserved",
        "_sink",
        "_sink_blocked",
        "_source_paused",
        "_unfed",
        "complete",
        "failure",
        "fed_bytes",
        "last_progress_s",
        "length",
        "on_complete",
        "on_over",
        "over",
        "received_bytes",
        "source",
        "spent",
        "started_s",
    )

    def __init__(
        self,
        source: Source,
        length: int | None,
        now_s: float,
        pool: MemoryPool | None = None,
        max_length: int | None = None,
    ) -> None:
        """Create a `Flow`.

        :param length: of the body in bytes; None if the sender does not say.
        :param now_s: the time by the loop's clock.
        :param pool: where memory for another sink is reserved; None: nothing is kept, as there is one sink.
        :param max_length: in bytes, of a body whose length is not known; None: `LONG_BODY`.
        """
        self.source = source
        self.length = length
        self._pool = pool
        self._max_length = LONG_BODY if max_length is None else max_length
        self.received_bytes = 0
        self.fed_bytes = 0  # to the present sink
        self.complete = False  # whether the last byte has come
        self.over = False  # whether nothing more happens
        self.failure: FlowFailure | None = None  # why it failed, if it did
        self.spent = False  # whether the beginning is not kept any more, and no other sink can be fed
        self._sink_blocked = False
        self._source_paused = False
        self._replay: list[bytes] = []  # all chunks so far, for another sink
        self._unfed: deque[bytes] = deque()  # chunks that came while there was no sink
        self._reserved = 0  # bytes of the pool
        self._sink: Sink | None = None
        self.on_complete: Callable[[], None] | None = None  # called when the last byte has come
        self.on_over: Callable[[bool], None] | None = None  # called once, with whether all was delivered
        self.started_s = now_s
        self.last_progress_s = now_s

    # For the source

    def push(self, data: bytes, now_s: float) -> None:
        """Take a chunk from the source.

        :raises BodyTooLongError: if the body is too long; the source then has to end the flow.
        """
        if self.over:
            return
        limit = self._max_length if self.length is None else self.length
        if self.received_bytes + len(data) > limit:
            raise BodyTooLongError
        self.received_bytes += len(data)
        self.last_progress_s = now_s
        self._keep(data)
        if self._sink is None:
            self._unfed.append(data)
            if self.received_bytes - self.fed_bytes >= SHORT_BODY:
                self._pause_source()
        else:
            self.fed_bytes += len(data)
            self._sink.feed(data)

    def _keep(self, data: bytes) -> None:
        """Keep a chunk if there is memory for all so far; else discard all that is kept."""
        if self._pool is None or self.spent:
            self.spent = True
            return
        needed = max(0, self.received_bytes - SHORT_BODY) - self._reserved
        if self.received_bytes <= MAX_REPLAY_BYTES and self._pool.reserve(needed):
            self._reserved += needed
            self._replay.append(data)
        elif self._sink is not None or self.fed_bytes:
            self._discard_replay()
        else:  # nothing was fed so far: the body is still complete
            self._replay.append(data)

    def _discard_replay(self) -> None:
        self.spent = True
        self._replay.clear()
        if self._pool is not None:
            self._pool.release(self._reserved)
        self._reserved = 0

    def finish(self) -> None:
        """Learn that the last chunk has come."""
        if self.over or self.complete:
            return
        self.complete = True
        if self.on_complete is not None:
            self.on_complete()
        if self._sink is not None:
            self._sink.end()

    def fail(self, failure: FlowFailure = FlowFailure.DROPPED) -> None:
        """Learn that the rest never comes, and why."""
        if not self.over:
            self.failure = failure
        if self._end(False) and self._sink is not None:
            self._sink.flow_failed()

    # For the sink

    def attach(self, sink: Sink) -> None:
        """Feed a sink from the start: what is there now, and what comes later."""
        assert self._sink is None and not (self.spent and self.fed_bytes), "its beginning is gone"
        self._sink = sink
        self._sink_blocked = False
        self.fed_bytes = 0
        chunks = list(self._unfed) if self._pool is None else list(self._replay)
        self._unfed.clear()
        for chunk in chunks:
            if self._sink is not sink:
                return  # it was detached by a chunk
            self.fed_bytes += len(chunk)
            sink.feed(chunk)
        if self._sink is not sink:
            return
        if self.over:
            sink.flow_failed()
        elif self.complete:
            sink.end()
        elif not self._sink_blocked:
            self._resume_source()

    def detach(self, sink: Sink) -> None:
        """Feed this sink no more; another can be attached, unless the flow is spent."""
        if self._sink is sink:
            self._sink = None
            if not self.complete and not self.over and self.received_bytes >= SHORT_BODY:
                self._pause_source()

    def block(self) -> None:
        """Learn that the sink can't take more now."""
        self._sink_blocked = True
        if not self.complete:
            self._pause_source()

    def unblock(self, now_s: float) -> None:
        """Learn that the sink can take more again."""
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
        """End it because nobody takes the rest; the source is resumed, as it may drop what still comes."""
        if self._end(False):
            self._resume_source()
            self.source.flow_cancelled()

    def delivered(self) -> None:
        """End it because the sink has passed on all of it."""
        self._end(True)

    # For the node

    def abort(self) -> None:
        """End it, and notify both sides."""
        sink = self._sink
        if self._end(False):
            if sink is not None:
                sink.flow_failed()
            self.source.flow_cancelled()

    def _end(self, delivered: bool) -> bool:
        """Be over; return whether it was not before."""
        if self.over:
            return False
        self.over = True
        self._discard_replay()
        self._unfed.clear()
        if self.on_over is not None:
            self.on_over(delivered)
        return True

    def can_start(self) -> bool:
        """Return whether a sink can be fed from the start."""
        return not self.over and not (self.spent and self.fed_bytes)

    def has_consumer(self) -> bool:
        """Return whether a sink is attached, or the flow is over."""
        return self.over or self._sink is not None

    def is_stalled(self, now_s: float) -> bool:
        """Return whether it has stood still, or was slow, for too long."""
        allowed_s = GRACE_S + max(self.received_bytes, self.fed_bytes) / SLOWEST_B_S
        slow = now_s - self.started_s > allowed_s
        return not self.over and (slow or now_s - self.last_progress_s > STALL_S)
