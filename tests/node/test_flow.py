"""A flow between a source and a sink, without sockets: back pressure, replay, limits and ends."""

from __future__ import annotations

import pytest

from orchidferry.node import flow as flow_module
from orchidferry.node.flow import (
    GRACE_S,
    MAX_BUFFERED_BODY,
    MAX_REPLAY_BYTES,
    SLOWEST_B_S,
    STALL_S,
    BodyTooLongError,
    Flow,
    MemoryPool,
)

CHUNK = b"x" * (MAX_BUFFERED_BODY // 2)


class RecordingSource:
    """A source that records the calls of its methods."""

    def __init__(self) -> None:
        self.paused = False
        self.calls: list[str] = []

    def pause(self) -> None:
        self.paused = True
        self.calls.append("pause")

    def resume(self) -> None:
        self.paused = False
        self.calls.append("resume")

    def flow_cancelled(self) -> None:
        self.calls.append("flow_cancelled")


class RecordingSink:
    """A sink that records its input, and blocks or detaches itself after a number of chunks."""

    def __init__(self, flow: Flow, room: int = 1000, gives_up_at: int = -1) -> None:
        """:param room: chunks until the sink blocks the flow; `gives_up_at`: chunks until it detaches."""
        self.flow = flow
        self.room = room
        self.gives_up_at = gives_up_at
        self.got = b""
        self.ends: list[str] = []

    def feed(self, data: bytes) -> None:
        self.got += data
        self.room -= 1
        if self.room == 0:
            self.flow.block()
        self.gives_up_at -= 1
        if self.gives_up_at == 0:
            self.flow.detach(self)

    def end(self) -> None:
        self.ends.append("end")

    def flow_failed(self) -> None:
        self.ends.append("flow_failed")


def make_flow(pool: MemoryPool | None, length: int | None = None) -> tuple[Flow, RecordingSource]:
    source = RecordingSource()
    return Flow(source, length, 0.0, pool), source


def test_a_source_without_a_sink_is_paused_after_a_buffered_body_and_resumed_once_there_is_one() -> None:
    flow, source = make_flow(MemoryPool(MAX_REPLAY_BYTES))
    flow.push(CHUNK, 0.0)
    assert not source.paused
    flow.push(CHUNK, 0.0)
    assert source.paused
    sink = RecordingSink(flow)
    flow.attach(sink)
    assert sink.got == CHUNK * 2
    assert not source.paused
    flow.push(b"last", 0.0)
    flow.finish()
    assert sink.got == CHUNK * 2 + b"last"
    assert sink.ends == ["end"]


def test_a_blocked_sink_pauses_the_source_until_it_is_unblocked() -> None:
    flow, source = make_flow(None)
    sink = RecordingSink(flow, room=1)
    flow.attach(sink)
    flow.push(b"one", 0.0)
    assert source.paused
    flow.unblock(0.0)
    assert not source.paused
    flow.push(b"two", 0.0)
    assert sink.got == b"onetwo"


def test_all_kept_chunks_are_replayed_to_the_next_sink() -> None:
    flow, source = make_flow(MemoryPool(MAX_REPLAY_BYTES))
    first = RecordingSink(flow, gives_up_at=2)
    flow.attach(first)
    for n in range(3):
        flow.push(bytes([n]) * MAX_BUFFERED_BODY, 0.0)
    assert len(first.got) == 2 * MAX_BUFFERED_BODY
    assert source.paused  # no sink is attached now
    second = RecordingSink(flow)
    assert flow.can_start()
    flow.attach(second)
    assert second.got == b"".join(bytes([n]) * MAX_BUFFERED_BODY for n in range(3))
    flow.finish()
    assert (first.ends, second.ends) == ([], ["end"])


@pytest.mark.parametrize(
    "pool", [MemoryPool(0), MemoryPool(MAX_REPLAY_BYTES * 2)], ids=["pool exhausted", "too long to keep"]
)
def test_a_flow_that_fed_more_than_it_can_keep_is_spent_and_releases_its_memory(pool: MemoryPool) -> None:
    room = pool.available
    flow, _ = make_flow(pool)
    sink = RecordingSink(flow)
    flow.attach(sink)
    for _ in range(MAX_REPLAY_BYTES // len(CHUNK) + 1):
        flow.push(CHUNK, 0.0)
    assert flow.spent and not flow.can_start()
    assert pool.available == room
    flow.detach(sink)
    with pytest.raises(AssertionError, match="beginning is gone"):
        flow.attach(RecordingSink(flow))


def test_the_pool_limits_the_memory_of_all_flows_and_gets_it_back() -> None:
    pool = MemoryPool(3 * MAX_BUFFERED_BODY)
    flows = [make_flow(pool)[0] for _ in range(4)]
    for flow in flows:
        flow.attach(RecordingSink(flow))
        for _ in range(4):  # two are free, each further one takes half a MAX_BUFFERED_BODY from the pool
            flow.push(CHUNK, 0.0)
    assert [flow.spent for flow in flows] == [False, False, False, True]
    assert pool.available == 0
    flows[0].fail()
    flows[1].finish()
    flows[1].delivered()
    flows[2].abort()
    assert pool.available == 3 * MAX_BUFFERED_BODY


@pytest.mark.parametrize("length", [MAX_BUFFERED_BODY, None], ids=["announced length", "maximum length"])
def test_a_body_longer_than_its_limit_is_rejected(
    length: int | None, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(flow_module, "MAX_STREAMED_BODY", MAX_BUFFERED_BODY)
    flow, _ = make_flow(None, length)
    sink = RecordingSink(flow)
    flow.attach(sink)
    flow.push(CHUNK * 2, 0.0)
    with pytest.raises(BodyTooLongError):
        flow.push(b"x", 0.0)
    flow.fail()
    assert sink.ends == ["flow_failed"] and flow.over
    flow.push(b"later", 0.0)  # dropped
    flow.finish()
    assert sink.ends == ["flow_failed"] and sink.got == CHUNK * 2


def test_the_end_of_a_flow_is_reported_once_whichever_side_ends_it() -> None:
    for how, whole in (("fail", False), ("cancel", False), ("abort", False), ("delivered", True)):
        flow, source = make_flow(MemoryPool(MAX_REPLAY_BYTES))
        sink = RecordingSink(flow)
        ends = list[bool]()
        flow.on_over = ends.append
        flow.attach(sink)
        flow.push(b"some", 0.0)
        for _ in range(2):
            getattr(flow, how)()
            flow.abort()
            flow.fail()
        assert ends == [whole]
        assert sink.ends == (["flow_failed"] if how in ("fail", "abort") else [])
        assert source.calls.count("flow_cancelled") == (how in ("cancel", "abort"))


def test_a_sink_that_is_attached_after_a_failure_is_notified() -> None:
    flow, _ = make_flow(MemoryPool(MAX_REPLAY_BYTES))
    flow.push(b"half", 0.0)
    flow.fail()
    assert not flow.can_start()
    sink = RecordingSink(flow)
    flow.attach(sink)
    assert (sink.got, sink.ends) == (b"", ["flow_failed"])


def test_a_flow_without_progress_or_below_the_minimum_rate_is_stalled_and_a_slow_one_is_not() -> None:
    flow, _ = make_flow(None)
    assert not flow.is_stalled(STALL_S)
    assert flow.is_stalled(STALL_S + 1.0)
    now = 0.0
    while now < 200.0:  # at twice the minimum rate
        now += 1.0
        flow.push(b"x" * SLOWEST_B_S * 2, now)
        assert not flow.is_stalled(now + 0.5)
    crawling, _ = make_flow(None)
    while not crawling.is_stalled(now):
        crawling.push(b"x", now)
        now += 1.0
    assert now <= 200.0 + GRACE_S + 2.0
