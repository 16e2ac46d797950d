"""Streaming of a request or response body that is too long to buffer.

This module uses no sockets. A `Source` pushes chunks into a `Flow`, which feeds them to a `Sink`. A sink that
can't accept more blocks the flow, which pauses the source (back pressure). A flow that is complete or over
needs nothing more from its source and never keeps it paused. Received chunks are kept as long
as the limit of each flow and the memory pool of all flows allow it, so that a retry can feed the whole body
to another sink. Beyond that the flow is spent: its beginning is no longer available.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from orchidferry.errors import OrchidferryError

# Longest body, in bytes, that is buffered; also the number of bytes that a flow accepts before it has a sink
MAX_BUFFERED_BODY = 64 * 1024
MAX_STREAMED_BODY = 32 * 1024 * 1024  # longest body, in bytes, that a flow may have
MAX_REPLAY_BYTES = 1024 * 1024  # most bytes of one flow that are kept for another sink
# Share of the node's memory for the chunks that flows keep beyond their first `MAX_BUFFERED_BODY` bytes
POOL_MEMORY_FRACTION = 0.15

# A flow counts as stalled if no byte moves for `STALL_S` seconds, or if it is slower than `SLOWEST_B_S` bytes
# per second on average since its start, with `GRACE_S` seconds in addition.
STALL_S = 10.0
SLOWEST_B_S = 16 * 1024
GRACE_S = 20.0


class BodyTooLongError(OrchidferryError):
    """A body is longer than a flow may be, or than its sender announced."""


class FlowFailure(Enum):
    """Why the rest of a body never arrived."""

    SOURCE_CLOSED = "source_closed"  # the sender's connection was closed
    SOURCE_RESET = "source_reset"  # the sender's connection was reset
    MALFORMED = "malformed"  # the input was not HTTP, or too long
    TRUNCATED = "truncated"  # the body ended before its stated length
    DROPPED = "dropped"  # this process gave up the flow


class Source(Protocol):
    """The sender of a body."""

    def pause(self) -> None:
        """Stop pushing until `resume` is called."""

    def resume(self) -> None:
        """Continue pushing."""

    def flow_cancelled(self) -> None:
        """Called when the rest of the body is not wanted any more."""


class Sink(Protocol):
    """The receiver of a body."""

    def feed(self, data: bytes) -> None:
        """Accept a chunk."""

    def end(self) -> None:
        """Called when the body is complete."""

    def flow_failed(self) -> None:
        """Called when the rest of the body will never arrive."""


class MemoryPool:
    """A memory budget in bytes that all flows share."""

    __slots__ = ("available",)

    def __init__(self, size: int) -> None:
        self.available = size

    def reserve(self, size: int) -> bool:
        """Reserve a number of bytes; return whether they were available."""
        if size > self.available:
            return False
        self.available -= size
        return True

    def release(self, size: int) -> None:
        """Release reserved bytes."""
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

        :param length: length of the body in bytes; None if the sender does not announce it.
        :param now_s: the current time by the loop's clock, in seconds.
        :param pool: memory for replaying the body to another sink; None: there is only one sink, no replay.
        :param max_length: maximum length in bytes if `length` is None; None: `MAX_STREAMED_BODY`.
        """
        self.source = source
        self.length = length
        self._pool = pool
        self._max_length = MAX_STREAMED_BODY if max_length is None else max_length
        self.received_bytes = 0
        self.fed_bytes = 0  # bytes fed to the current sink
        self.complete = False  # whether the last byte has been received
        self.over = False  # whether the flow was delivered, has failed or was cancelled
        self.failure: FlowFailure | None = None  # why the flow failed, if it did
        self.spent = False  # whether the beginning is no longer kept, so that no other sink can be fed
        self._sink_blocked = False
        self._source_paused = False
        self._replay: list[bytes] = []  # all chunks so far, for another sink
        self._unfed: deque[bytes] = deque()  # chunks received while no sink was attached
        self._reserved = 0  # bytes reserved in the pool
        self._sink: Sink | None = None
        self.on_complete: Callable[[], None] | None = None  # called when the last byte has been received
        self.on_over: Callable[[bool], None] | None = None  # called once, with True if all was delivered
        self.started_s = now_s
        self.last_progress_s = now_s

    # Called by the source

    def push(self, data: bytes, now_s: float) -> None:
        """Accept a chunk from the source.

        :param now_s: the current time by the loop's clock, in seconds.
        :raises BodyTooLongError: if the body is too long; the source must then end the flow.
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
        else:
            self.fed_bytes += len(data)
            self._sink.feed(data)
        self._update_source()

    def _keep(self, data: bytes) -> None:
        """Keep a chunk if there is memory for the whole body so far; otherwise discard all kept chunks."""
        if self._pool is None or self.spent:
            self.spent = True
            return
        needed = max(0, self.received_bytes - MAX_BUFFERED_BODY) - self._reserved
        if self.received_bytes <= MAX_REPLAY_BYTES and self._pool.reserve(needed):
            self._reserved += needed
            self._replay.append(data)
        elif self._sink is not None or self.fed_bytes:
            self._discard_replay()
        else:  # no sink has been fed yet, so the kept chunks are still needed in full
            self._replay.append(data)

    def _discard_replay(self) -> None:
        self.spent = True
        self._replay.clear()
        if self._pool is not None:
            self._pool.release(self._reserved)
        self._reserved = 0

    def finish(self) -> None:
        """Mark the body as complete: the last chunk was pushed."""
        if self.over or self.complete:
            return
        self.complete = True
        self._update_source()
        if self.on_complete is not None:
            self.on_complete()
        if self._sink is not None:
            self._sink.end()

    def fail(self, failure: FlowFailure = FlowFailure.DROPPED) -> None:
        """End the flow because the rest of the body will never arrive."""
        if not self.over:
            self.failure = failure
        if self._end(False) and self._sink is not None:
            self._sink.flow_failed()

    # Called by the sink

    def attach(self, sink: Sink) -> None:
        """Feed a sink from the beginning of the body: first the kept chunks, then those that follow."""
        assert self._sink is None and not (self.spent and self.fed_bytes), "the beginning is gone"
        self._sink = sink
        self._sink_blocked = False
        self.fed_bytes = 0
        chunks = list(self._unfed) if self._pool is None else list(self._replay)
        self._unfed.clear()
        for chunk in chunks:
            if self._sink is not sink:
                return  # the sink detached itself while it was fed
            self.fed_bytes += len(chunk)
            sink.feed(chunk)
        if self._sink is not sink:
            return
        if self.over:
            sink.flow_failed()
        elif self.complete:
            sink.end()
        else:
            self._update_source()

    def detach(self, sink: Sink) -> None:
        """Stop feeding this sink; another one can be attached, unless the flow is spent."""
        if self._sink is sink:
            self._sink = None
            self._update_source()

    def block(self) -> None:
        """Pause the source because the sink can't accept more for now."""
        self._sink_blocked = True
        self._update_source()

    def unblock(self, now_s: float) -> None:
        """Resume the source because the sink can accept more again."""
        self._sink_blocked = False
        self.last_progress_s = now_s
        self._update_source()

    def _update_source(self) -> None:
        """Pause or resume the source if the state of the flow has changed whether it must wait."""
        must_wait = self._source_must_wait()
        if must_wait is self._source_paused:
            return
        self._source_paused = must_wait
        if must_wait:
            self.source.pause()
        else:
            self.source.resume()

    def _source_must_wait(self) -> bool:
        if self.complete or self.over:
            return False
        if self._sink is None:
            return self.received_bytes >= MAX_BUFFERED_BODY
        return self._sink_blocked

    def cancel(self) -> None:
        """End the flow because the rest is not wanted; the source resumes, to receive and drop the rest."""
        if self._end(False):
            self.source.flow_cancelled()

    def delivered(self) -> None:
        """End the flow because the sink has passed on the whole body."""
        self._end(True)

    # Called by the owner of the request or answer

    def release(self) -> None:
        """End the flow, as nothing needs its body any more; a sink is told if it does not get the rest."""
        if self.complete:
            self._end(True)
        else:
            self.fail()

    def abort(self) -> None:
        """End the flow and notify both the sink and the source."""
        sink = self._sink
        if self._end(False):
            if sink is not None:
                sink.flow_failed()
            self.source.flow_cancelled()

    def _end(self, delivered: bool) -> bool:
        """End the flow and give its memory back to the pool; return False if it had ended before."""
        if self.over:
            return False
        self.over = True
        self._discard_replay()
        self._unfed.clear()
        self._update_source()
        if self.on_over is not None:
            self.on_over(delivered)
        return True

    def can_start(self) -> bool:
        """Return whether a sink can be fed from the beginning of the body."""
        return not self.over and not (self.spent and self.fed_bytes)

    def has_consumer(self) -> bool:
        """Return whether a sink is attached, or the flow is over."""
        return self.over or self._sink is not None

    def is_idle(self, now_s: float) -> bool:
        """Return whether no byte has moved for too long."""
        return not self.over and now_s - self.last_progress_s > STALL_S

    def is_stalled(self, now_s: float) -> bool:
        """Return whether no byte has moved for too long, or the average rate is too low."""
        allowed_s = GRACE_S + max(self.received_bytes, self.fed_bytes) / SLOWEST_B_S
        is_slow = not self.over and now_s - self.started_s > allowed_s
        return is_slow or self.is_idle(now_s)
