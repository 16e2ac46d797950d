"""A flow in any order of calls beside a plain model: when its source is paused, what the pool gets back."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.node.flow import MAX_BUFFERED_BODY, Flow, MemoryPool

POOL_BYTES = 4 * MAX_BUFFERED_BODY
BODY_SIZES = (1, MAX_BUFFERED_BODY - 1, MAX_BUFFERED_BODY, MAX_BUFFERED_BODY + 1, 3 * MAX_BUFFERED_BODY)
CALLS = ("push", "push", "finish", "attach", "attach", "detach", "block", "unblock")
ENDS = ("fail", "cancel", "abort", "delivered")


class ModelSource:
    """A source that is paused or not; a second pause or resume in a row is an error."""

    def __init__(self) -> None:
        self.paused = False

    def pause(self) -> None:
        assert not self.paused
        self.paused = True

    def resume(self) -> None:
        assert self.paused
        self.paused = False

    def flow_cancelled(self) -> None: ...


class ModelSink:
    """A sink that blocks its flow at each chunk if it is full."""

    def __init__(self, flow: Flow) -> None:
        self.flow = flow
        self.full = False

    def feed(self, data: bytes) -> None:
        if self.full:
            self.flow.block()

    def end(self) -> None: ...

    def flow_failed(self) -> None: ...


class Walk:
    """A flow, and the state that it must have by a plain model."""

    def __init__(self, with_pool: bool) -> None:
        self.pool = MemoryPool(POOL_BYTES)
        self.source = ModelSource()
        self.flow = Flow(self.source, None, 0.0, self.pool if with_pool else None)
        self.sink: ModelSink | None = None
        self.blocked = False
        self.ended = False  # complete or over: the source owes this flow nothing more

    def call(self, name: str, size: int, full: bool) -> None:
        """Call a method of the flow, if that is allowed now."""
        match name:
            case "push":
                if not self.ended:
                    self.flow.push(b"x" * size, 0.0)
                    self.blocked = self.blocked or (self.sink is not None and self.sink.full)
            case "attach":
                if self.sink is None and self.flow.can_start():
                    self.sink = ModelSink(self.flow)
                    self.sink.full = full
                    self.blocked = full and self.flow.received_bytes > 0
                    self.flow.attach(self.sink)
            case "detach":
                if self.sink is not None:
                    self.flow.detach(self.sink)
                    self.sink = None
            case "block":
                if self.sink is not None:
                    self.flow.block()
                    self.blocked = True
            case "unblock":
                if self.sink is not None:
                    self.sink.full = False
                    self.flow.unblock(0.0)
                    self.blocked = False
            case _:
                getattr(self.flow, name)()
                self.ended = True

    def check(self) -> None:
        """Check the source and the pool."""
        waits = self.blocked if self.sink is not None else self.flow.received_bytes >= MAX_BUFFERED_BODY
        assert self.source.paused is (waits and not self.ended)
        if self.flow.over:
            assert self.pool.available == POOL_BYTES


@settings(max_examples=400, deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(CALLS), st.sampled_from(BODY_SIZES), st.booleans()), min_size=5, max_size=25
    ),
    st.sampled_from(ENDS),
    st.integers(0, 25),
    st.booleans(),
)
def test_the_source_is_paused_only_while_the_flow_waits_for_a_sink(
    calls: list[tuple[str, int, bool]], end: str, end_at: int, with_pool: bool
) -> None:
    """A body that was complete before its sink came left its source paused for good."""
    walk = Walk(with_pool)
    for name, size, full in [*calls[:end_at], (end, 1, False), *calls[end_at:]]:
        walk.call(name, size, full)
        walk.check()


def test_a_body_that_is_complete_before_its_sink_comes_leaves_its_source_running() -> None:
    """The next request on the connection was never read, nor was the connection's end."""
    walk = Walk(with_pool=True)
    for name in ("push", "push", "finish", "attach", "detach", "delivered"):
        walk.call(name, MAX_BUFFERED_BODY, False)
        walk.check()
    assert not walk.source.paused
