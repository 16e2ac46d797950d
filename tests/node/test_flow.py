"""A flow between a source and a sink, without sockets: what is kept, held back, sent again and ended."""

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

PIECE = b"x" * (MAX_BUFFERED_BODY // 2)


class From:
    """A source that notes what it is told."""

    def __init__(self) -> None:
        self.held = False
        self.told: list[str] = []

    def pause(self) -> None:
        self.held = True
        self.told.append("pause")

    def resume(self) -> None:
        self.held = False
        self.told.append("go on")

    def flow_cancelled(self) -> None:
        self.told.append("called off")


class To:
    """A sink that takes so many pieces before it is choked, and may give up."""

    def __init__(self, flow: Flow, room: int = 1000, gives_up_at: int = -1) -> None:
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


def made(pool: MemoryPool | None, length: int | None = None) -> tuple[Flow, From]:
    source = From()
    return Flow(source, length, 0.0, pool), source


def test_a_source_without_a_sink_is_held_after_a_short_body_and_goes_on_once_there_is_one() -> None:
    flow, source = made(MemoryPool(MAX_REPLAY_BYTES))
    flow.push(PIECE, 0.0)
    assert not source.held
    flow.push(PIECE, 0.0)
    assert source.held
    sink = To(flow)
    flow.attach(sink)
    assert sink.got == PIECE * 2
    assert not source.held
    flow.push(b"last", 0.0)
    flow.finish()
    assert sink.got == PIECE * 2 + b"last"
    assert sink.ends == ["end"]


def test_a_choked_sink_holds_the_source_until_it_is_released() -> None:
    flow, source = made(None)
    sink = To(flow, room=1)
    flow.attach(sink)
    flow.push(b"one", 0.0)
    assert source.held
    flow.unblock(0.0)
    assert not source.held
    flow.push(b"two", 0.0)
    assert sink.got == b"onetwo"


def test_all_that_is_kept_is_fed_again_to_the_next_sink() -> None:
    flow, source = made(MemoryPool(MAX_REPLAY_BYTES))
    first = To(flow, gives_up_at=2)
    flow.attach(first)
    for n in range(3):
        flow.push(bytes([n]) * MAX_BUFFERED_BODY, 0.0)
    assert len(first.got) == 2 * MAX_BUFFERED_BODY
    assert source.held  # nobody takes it now
    second = To(flow)
    assert flow.can_start()
    flow.attach(second)
    assert second.got == b"".join(bytes([n]) * MAX_BUFFERED_BODY for n in range(3))
    flow.finish()
    assert (first.ends, second.ends) == ([], ["end"])


@pytest.mark.parametrize(
    "pool", [MemoryPool(0), MemoryPool(MAX_REPLAY_BYTES * 2)], ids=["no room in the pool", "too long to keep"]
)
def test_once_more_has_gone_than_is_kept_it_is_spent_and_gives_its_memory_back(pool: MemoryPool) -> None:
    room = pool.available
    flow, _ = made(pool)
    sink = To(flow)
    flow.attach(sink)
    for _ in range(MAX_REPLAY_BYTES // len(PIECE) + 1):
        flow.push(PIECE, 0.0)
    assert flow.spent and not flow.can_start()
    assert pool.available == room
    flow.detach(sink)
    with pytest.raises(AssertionError, match="beginning is gone"):
        flow.attach(To(flow))


def test_the_pool_bounds_what_all_flows_keep_and_gets_all_of_it_back() -> None:
    pool = MemoryPool(3 * MAX_BUFFERED_BODY)
    flows = [made(pool)[0] for _ in range(4)]
    for flow in flows:
        flow.attach(To(flow))
        for _ in range(4):  # two are free, each further one takes half a MAX_BUFFERED_BODY from the pool
            flow.push(PIECE, 0.0)
    assert [flow.spent for flow in flows] == [False, False, False, True]
    assert pool.available == 0
    flows[0].fail()
    flows[1].finish()
    flows[1].delivered()
    flows[2].abort()
    assert pool.available == 3 * MAX_BUFFERED_BODY


@pytest.mark.parametrize("length", [MAX_BUFFERED_BODY, None], ids=["than was said", "than may flow"])
def test_more_than_may_come_is_not_taken(length: int | None, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(flow_module, "MAX_STREAMED_BODY", MAX_BUFFERED_BODY)
    flow, _ = made(None, length)
    sink = To(flow)
    flow.attach(sink)
    flow.push(PIECE * 2, 0.0)
    with pytest.raises(BodyTooLongError):
        flow.push(b"x", 0.0)
    flow.fail()
    assert sink.ends == ["flow_failed"] and flow.over
    flow.push(b"later", 0.0)  # is dropped
    flow.finish()
    assert sink.ends == ["flow_failed"] and sink.got == PIECE * 2


def test_its_end_is_told_once_whoever_brings_it() -> None:
    for how, whole in (("fail", False), ("cancel", False), ("abort", False), ("delivered", True)):
        flow, source = made(MemoryPool(MAX_REPLAY_BYTES))
        sink = To(flow)
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
        assert source.told.count("called off") == (how in ("cancel", "abort"))


def test_a_sink_that_comes_after_the_end_is_told_so() -> None:
    flow, _ = made(MemoryPool(MAX_REPLAY_BYTES))
    flow.push(b"half", 0.0)
    flow.fail()
    assert not flow.can_start()
    sink = To(flow)
    flow.attach(sink)
    assert (sink.got, sink.ends) == (b"", ["flow_failed"])


def test_standing_still_and_crawling_end_it_and_a_slow_steady_pace_does_not() -> None:
    flow, _ = made(None)
    assert not flow.is_stalled(STALL_S)
    assert flow.is_stalled(STALL_S + 1.0)
    now = 0.0
    while now < 200.0:  # twice the least pace
        now += 1.0
        flow.push(b"x" * SLOWEST_B_S * 2, now)
        assert not flow.is_stalled(now + 0.5)
    crawling, _ = made(None)
    while not crawling.is_stalled(now):
        crawling.push(b"x", now)
        now += 1.0
    assert now <= 200.0 + GRACE_S + 2.0
