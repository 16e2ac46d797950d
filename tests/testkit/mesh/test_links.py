"""Fault injection on links: a relay endpoint against a simple model, relays on loopback, schedules."""

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


class FakeTransport:
    """Records what is written to it, whether it was closed, and whether reading is paused."""

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

    def setsockopt(self, *args: Any) -> None: ...

    def set_write_buffer_limits(self, high: int) -> None: ...


class FakeRelayState:
    """The part of `RelayState` that a `RelayEndpoint` uses, with a simulated clock."""

    def __init__(self) -> None:
        self.t = 0.0
        self.link_condition = HEALTHY
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def now(self) -> float:
        return self.t

    def condition(self, direction: tuple[str, str]) -> LinkCondition:
        return self.link_condition

    def call_at(self, due: float, callback: Callable[[], None]) -> None:
        self.timers.append((due, callback))

    def advance_to(self, t: float) -> None:
        """Advance the clock and run the timers that are due by then, in order of time."""
        while due := sorted((timer for timer in self.timers if timer[0] <= t), key=lambda timer: timer[0]):
            self.timers.remove(due[0])
            self.t = due[0][0]
            due[0][1]()
        self.t = t


# Steps of a test run: kind, and amount (bytes of "data", milliseconds of "late" and "wait").
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("data"), st.sampled_from([1, MAX_BUFFERED // 3, MAX_BUFFERED])),
        st.tuples(st.sampled_from(["cut", "heal", "block", "read"]), st.just(0)),
        st.tuples(st.just("late"), st.integers(0, 400)),
        st.tuples(st.just("wait"), st.integers(0, 300)),
    ),
    max_size=30,
)


@settings(max_examples=200, deadline=None)
@given(STEPS)
def test_one_direction_matches_a_simple_model(steps: list[tuple[str, int]]) -> None:
    """Data arrives in order and not early; none does while the link is cut or the receiver does not read."""
    state, lost = FakeRelayState(), list[int]()
    one, other = (RelayEndpoint(state, ("a", "b"), lambda: lost.append(1)) for _ in "ab")  # type: ignore[arg-type]
    one.other = other
    other.other = one
    sender, receiver = FakeTransport(), FakeTransport()
    one.connection_made(sender)  # type: ignore[arg-type]
    other.connection_made(receiver)  # type: ignore[arg-type]
    sent, due, count, blocked = b"", list[tuple[float, int]](), itertools.count(), False
    for what, amount in steps:
        before = len(receiver.written)
        if what == "data" and sender.reading:
            data = next(count).to_bytes(4, "big") * (amount // 4 + 1)
            sent += data
            due.append((max([state.t + state.link_condition.delay_s, *(t for t, _ in due)]), len(sent)))
            one.data_received(data)
        elif what in ("cut", "heal", "late"):
            state.link_condition = LinkCondition(what == "cut", amount / 1000.0)
            one.flush()
        elif what in ("block", "read"):
            blocked = what == "block"
            other.pause_writing() if blocked else other.resume_writing()
        elif what == "wait":
            state.advance_to(state.t + amount / 1000.0)
        arrived = max([size for t, size in due if t <= state.t], default=0)
        if state.link_condition.cut or (blocked and what != "block"):
            assert len(receiver.written) == before
        elif not blocked:
            assert len(receiver.written) == arrived
        assert sent.startswith(receiver.written) and len(sent) - len(receiver.written) <= 2 * MAX_BUFFERED + 4
        assert sender.reading or len(sent) - len(receiver.written) > MAX_BUFFERED // 2
    state.link_condition = HEALTHY
    other.resume_writing()
    one.connection_lost(None)
    state.advance_to(state.t + 1.0)
    assert receiver.written == sent and receiver.closed
    other.connection_lost(None)
    assert lost


def test_data_in_transit_of_a_dead_sender_is_lost_over_a_cut_and_its_close_is_passed_on_afterwards() -> None:
    state = FakeRelayState()
    one, other = (RelayEndpoint(state, ("a", "b"), lambda: None) for _ in "ab")  # type: ignore[arg-type]
    one.other = other
    other.other = one
    receiver = FakeTransport()
    one.connection_made(FakeTransport())  # type: ignore[arg-type]
    other.connection_made(receiver)  # type: ignore[arg-type]
    state.link_condition = LinkCondition(cut=True)
    one.data_received(b"x")
    one.connection_lost(ConnectionResetError())
    assert not receiver.closed
    state.link_condition = HEALTHY
    one.flush()
    assert receiver.closed and not receiver.written


def test_the_first_half_of_a_broken_chunk_is_passed_on_and_both_ends_are_reset() -> None:
    state, lost = FakeRelayState(), list[int]()
    one, other = (RelayEndpoint(state, ("a", "b"), lambda: lost.append(1)) for _ in "ab")  # type: ignore[arg-type]
    one.other = other
    other.other = one
    sender, receiver = FakeTransport(), FakeTransport()
    one.connection_made(sender)  # type: ignore[arg-type]
    other.connection_made(receiver)  # type: ignore[arg-type]
    one.data_received(b"sound ")
    state.link_condition = LinkCondition(broken_chunk=2)
    for chunk in (b"first ", b"second", b"third "):
        one.data_received(chunk)
    assert receiver.written == b"sound first sec" and not receiver.closed
    state.advance_to(RESET_DELAY_S)
    assert sender.closed and receiver.closed and lost and receiver.written == b"sound first sec"


class Echo(asyncio.Protocol):
    connections = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        Echo.connections += 1

    def data_received(self, data: bytes) -> None:
        self.transport.write(data)


async def _run_relays() -> None:
    block, reservation = claim()
    try:
        first, second = machines(DAYS["mesh-calm"], block.number, 1)[0][:2]
        ports = free_ports([first.ip, first.bind, second.ip, second.bind])
        await _check_relays(first, second, ports)
    finally:
        reservation.close()


async def _connect_once_up(links: Links, machine: Machine, port: int, source: str) -> tuple[Any, Any]:
    """Connect to a machine, retrying until its relay listens.

    :param source: the IP address to connect from
    """
    while True:
        try:
            return await asyncio.open_connection(machine.ip, port, local_addr=(source, 0))
        except OSError:
            await asyncio.sleep(0)


async def _check_relays(first: Machine, second: Machine, ports: Ports) -> None:
    loop, links, port = asyncio.get_running_loop(), Links(ports), ports.internal
    links.add_machine(first)
    with pytest.raises(OSError):  # no process listens behind the relay
        await asyncio.open_connection(first.ip, port)
    server = await loop.create_server(Echo, first.bind, port)
    links.add_machine(second)
    reader, writer = await _connect_once_up(links, first, port, second.bind)
    # No machine has this source address, so no faults apply to the connection.
    other_reader, other = await _connect_once_up(links, first, port, "127.0.0.1")

    async def check_echo(here: Any, there: Any, data: bytes) -> None:
        here.write(data)
        assert await there.readexactly(len(data)) == data

    await check_echo(writer, reader, b"one")
    links.set_condition([(second.name, first.name)], LinkCondition(cut=True))
    writer.write(b"two")
    hung_reader, hung = await asyncio.open_connection(first.ip, port, local_addr=(second.bind, 0))
    hung.write(b"three")
    waiting = [loop.create_task(reader.readexactly(3)), loop.create_task(hung_reader.readexactly(5))]
    for _ in range(20):
        await check_echo(other, other_reader, b"four")
    assert not any(task.done() for task in waiting)
    assert Echo.connections == 3  # the relay's probe of the port, and the two relayed connections
    links.set_condition([(second.name, first.name)], HEALTHY)
    assert await asyncio.gather(*waiting) == [b"two", b"three"]
    started = loop.time()
    links.set_condition([(first.name, second.name)], LinkCondition(delay_s=0.05))
    await check_echo(writer, reader, b"five")
    assert loop.time() - started >= 0.05
    links.set_condition([(first.name, second.name)], HEALTHY)
    links.reset([(first.name, second.name)])
    with pytest.raises(ConnectionResetError):
        await reader.readexactly(1)
    await check_echo(other, other_reader, b"six")
    server.close()
    links.on_process_ended(first)
    with pytest.raises(OSError):
        await asyncio.open_connection(first.ip, port)
    links.close()
    assert await other_reader.read() == b"" and not links.connection_count


def test_relays_on_loopback() -> None:
    async def main() -> None:
        async with asyncio.timeout(10.0):
            await _run_relays()

    asyncio.run(main())


@pytest.mark.parametrize("seconds", [20.0, 60.0, 300.0])
def test_generated_schedules_have_one_fault_at_a_time_and_differ(seconds: float) -> None:
    day = DAYS["mesh-loss"]
    orders = set()
    catch_up_s = day.bounds.catch_up_s
    for seed in range(100):
        found = schedule(day, seed, seconds)
        assert found == schedule(day, seed, seconds)
        actions = [one.action for one in found]
        assert actions[-1] in CLOSING_FAULTS
        assert all(actions.count(planned) == 1 for planned in PLANNED_DURATIONS_S)
        assert set(actions[:-1]) <= set(FAULT_DURATIONS_S) | set(PLANNED_DURATIONS_S)
        if seconds > 30.0:
            for one, following in itertools.pairwise(found):
                if one.action in UNPLANNED:
                    assert (following.at - one.at) * seconds >= one.for_s + catch_up_s
        orders.add(tuple(actions))
    assert len(orders) >= (4 if seconds < 30.0 else 90)
