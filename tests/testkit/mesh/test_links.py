"""Links with faults: one direction beside a plain model, relays on loopback, schedules as drawn."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.testkit.mesh.day import DAYS, Machine, Ports, machines
from orchidferry.testkit.mesh.environment import free_ports
from orchidferry.testkit.mesh.links import Links
from orchidferry.testkit.mesh.relay import HEALTHY, MAX_BUFFERED, RESET_DELAY_S, LinkCondition, RelayEndpoint
from orchidferry.testkit.mesh.schedule import (
    CLOSING_FAULTS,
    FAULT_DURATIONS_S,
    PLANNED_DURATIONS_S,
    UNPLANNED,
    schedule,
)
from orchidferry.testkit.world.addresses import claim


class Transport:
    """Takes what is written, until it is choked."""

    def __init__(self) -> None:
        self.written = b""
        self.closed = False
        self.reading = True

    def write(self, data: bytes) -> None:
        self.written += data

    def close(self) -> None:
        self.closed = True

    abort = close

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def get_extra_info(self, name: str) -> Any:
        return self

    def setsockopt(self, *words: Any) -> None: ...

    def set_write_buffer_limits(self, most: int) -> None: ...


class World:
    """What a `RelayEndpoint` needs of `RelayState`, with a clock of its own."""

    def __init__(self) -> None:
        self.t = 0.0
        self.link_condition = HEALTHY
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def now(self) -> float:
        return self.t

    def condition(self, direction: tuple[str, str]) -> LinkCondition:
        return self.link_condition

    def call_at(self, due: float, then: Callable[[], None]) -> None:
        self.timers.append((due, then))

    def pass_on(self, to: float) -> None:
        while due := sorted((one for one in self.timers if one[0] <= to), key=lambda one: one[0]):
            self.timers.remove(due[0])
            self.t = due[0][0]
            due[0][1]()
        self.t = to


STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("data"), st.sampled_from([1, MAX_BUFFERED // 3, MAX_BUFFERED])),
        st.tuples(st.sampled_from(["cut", "heal", "choke", "read"]), st.just(0)),
        st.tuples(st.just("late"), st.integers(0, 400)),
        st.tuples(st.just("wait"), st.integers(0, 300)),
    ),
    max_size=30,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_one_direction_beside_a_plain_model(steps: list[tuple[str, int]]) -> None:
    """All that was sent comes, in order, not before its time, and nothing while the link is cut or choked."""
    world, lost = World(), list[int]()
    one, other = (RelayEndpoint(world, ("a", "b"), lambda: lost.append(1)) for _ in "ab")  # type: ignore[arg-type]
    one.other = other
    other.other = one
    near, far = Transport(), Transport()
    one.connection_made(near)  # type: ignore[arg-type]
    other.connection_made(far)  # type: ignore[arg-type]
    sent, due, count, choked = b"", list[tuple[float, int]](), itertools.count(), False
    for what, amount in steps:
        before = len(far.written)
        if what == "data" and near.reading:
            data = next(count).to_bytes(4, "big") * (amount // 4 + 1)
            sent += data
            due.append((max([world.t + world.link_condition.delay_s, *(t for t, _ in due)]), len(sent)))
            one.data_received(data)
        elif what in ("cut", "heal", "late"):
            world.link_condition = LinkCondition(what == "cut", amount / 1000.0)
            one.flush()
        elif what in ("choke", "read"):
            choked = what == "choke"
            other.pause_writing() if choked else other.resume_writing()
        elif what == "wait":
            world.pass_on(world.t + amount / 1000.0)
        ripe = max([size for t, size in due if t <= world.t], default=0)
        if world.link_condition.cut or (choked and what != "choke"):
            assert len(far.written) == before
        elif not choked:
            assert len(far.written) == ripe
        assert sent.startswith(far.written) and len(sent) - len(far.written) <= 2 * MAX_BUFFERED + 4
        assert near.reading or len(sent) - len(far.written) > MAX_BUFFERED // 2
    world.link_condition = HEALTHY
    other.resume_writing()
    one.connection_lost(None)
    world.pass_on(world.t + 1.0)
    assert far.written == sent and far.closed
    other.connection_lost(None)
    assert lost


def test_what_a_dead_sender_had_on_its_way_over_a_cut_is_lost_and_its_end_comes_after() -> None:
    world = World()
    one, other = (RelayEndpoint(world, ("a", "b"), lambda: None) for _ in "ab")  # type: ignore[arg-type]
    one.other = other
    other.other = one
    far = Transport()
    one.connection_made(Transport())  # type: ignore[arg-type]
    other.connection_made(far)  # type: ignore[arg-type]
    world.link_condition = LinkCondition(cut=True)
    one.data_received(b"x")
    one.connection_lost(ConnectionResetError())
    assert not far.closed
    world.link_condition = HEALTHY
    one.flush()
    assert far.closed and not far.written


def test_half_of_a_broken_chunk_is_passed_on_and_both_sides_are_reset() -> None:
    world, lost = World(), list[int]()
    one, other = (RelayEndpoint(world, ("a", "b"), lambda: lost.append(1)) for _ in "ab")  # type: ignore[arg-type]
    one.other = other
    other.other = one
    near, far = Transport(), Transport()
    one.connection_made(near)  # type: ignore[arg-type]
    other.connection_made(far)  # type: ignore[arg-type]
    one.data_received(b"sound ")
    world.link_condition = LinkCondition(broken_chunk=2)
    for chunk in (b"first ", b"second", b"third "):
        one.data_received(chunk)
    assert far.written == b"sound first sec" and not far.closed
    world.pass_on(RESET_DELAY_S)
    assert near.closed and far.closed and lost and far.written == b"sound first sec"


class Echo(asyncio.Protocol):
    made = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        Echo.made += 1

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


async def _relays() -> None:
    block, held = claim()
    try:
        first, second = machines(DAYS["mesh-calm"], block.number, 1)[0][:2]
        places = free_ports([first.ip, first.bind, second.ip, second.bind])
        await _played(first, second, places)
    finally:
        held.close()


async def _until_up(links: Links, machine: Machine, port: int, source: str) -> tuple[Any, Any]:
    while True:
        try:
            return await asyncio.open_connection(machine.ip, port, local_addr=(source, 0))
        except OSError:
            await asyncio.sleep(0)


async def _played(first: Machine, second: Machine, places: Ports) -> None:
    loop, links, port = asyncio.get_running_loop(), Links(places), places.internal
    links.add_machine(first)
    with pytest.raises(OSError):  # nobody listens behind it
        await asyncio.open_connection(first.ip, port)
    server = await loop.create_server(Echo, first.bind, port)
    links.add_machine(second)
    reader, writer = await _until_up(links, first, port, second.bind)
    other_reader, other = await _until_up(links, first, port, "127.0.0.1")  # of no machine: nothing ails it

    async def echoed(here: Any, there: Any, data: bytes) -> None:
        here.write(data)
        assert await there.readexactly(len(data)) == data

    await echoed(writer, reader, b"one")
    links.set_condition([(second.name, first.name)], LinkCondition(cut=True))
    writer.write(b"two")
    hung_reader, hung = await asyncio.open_connection(first.ip, port, local_addr=(second.bind, 0))
    hung.write(b"three")
    waiting = [loop.create_task(reader.readexactly(3)), loop.create_task(hung_reader.readexactly(5))]
    for _ in range(20):
        await echoed(other, other_reader, b"four")
    assert not any(task.done() for task in waiting)
    assert Echo.made == 3  # the relay's look at the port, and two that were let through
    links.set_condition([(second.name, first.name)], HEALTHY)
    assert await asyncio.gather(*waiting) == [b"two", b"three"]
    began = loop.time()
    links.set_condition([(first.name, second.name)], LinkCondition(delay_s=0.05))
    await echoed(writer, reader, b"five")
    assert loop.time() - began >= 0.05
    links.set_condition([(first.name, second.name)], HEALTHY)
    links.reset([(first.name, second.name)])
    with pytest.raises(ConnectionResetError):
        await reader.readexactly(1)
    await echoed(other, other_reader, b"six")
    server.close()
    links.on_process_ended(first)
    with pytest.raises(OSError):
        await asyncio.open_connection(first.ip, port)
    links.close()
    assert await other_reader.read() == b"" and not links.connection_count


def test_relays_on_loopback() -> None:
    async def whole() -> None:
        async with asyncio.timeout(10.0):
            await _relays()

    asyncio.run(whole())


@pytest.mark.parametrize("seconds", [20.0, 60.0, 300.0])
def test_drawn_schedules_lose_one_thing_at_a_time_and_differ(seconds: float) -> None:
    day = DAYS["mesh-loss"]
    drawn = set()
    calm = day.bounds.catch_up_s
    for seed in range(100):
        found = schedule(day, seed, seconds)
        assert found == schedule(day, seed, seconds)
        whats = [one.action for one in found]
        assert whats[-1] in CLOSING_FAULTS and all(whats.count(what) == 1 for what in PLANNED_DURATIONS_S)
        assert set(whats[:-1]) <= set(FAULT_DURATIONS_S) | set(PLANNED_DURATIONS_S)
        if seconds > 30.0:
            for one, following in itertools.pairwise(found):
                if one.action in UNPLANNED:
                    assert (following.at - one.at) * seconds >= one.for_s + calm
        drawn.add(tuple(whats))
    assert len(drawn) >= (4 if seconds < 30.0 else 90)
