"""Requests that a node reads late: their clients have waited since they were sent.

A client that had 3.000 s left sent its request at 420.906 s, so its time ended at 423.906 s. Its node waited
for a core and began with it at 421.055 s, counted 3.000 s from there, and would have answered by 424.045 s.
The client gave up at 423.977 s without an answer, 70 ms after its time. `X-Budget` counts from when the
client sent the request, and whatever a node reads late it must count from its arrival.
"""

from __future__ import annotations

import socket
import time
from pathlib import Path

import pytest

from orchidferry.node.clock import now_ms
from tests.node.peers import HANG, Server, World, request, run, until, world

BLOCKED_S = 0.3
KERNEL_CLOCK_MS = 10.0  # the kernel counts the age of input in its own ticks
BUDGET_MS = 5_000.0


def send_to_a_busy_node(connection: socket.socket, data: bytes) -> float:
    """Send while the node can't read; return when, by its clock."""
    asked_ms = now_ms()
    connection.sendall(data)
    time.sleep(BLOCKED_S)  # in the node's own event loop
    return asked_ms


async def pending_ends_ms(scene: World, count: int = 1) -> list[float]:
    """Wait until the node has requests; return when their time ends."""
    node = scene.node
    assert node is not None
    await until(lambda: len(node._pending) == count)
    return [pending.ends_ms for pending in node._pending.values()]


def test_a_request_that_waited_in_its_socket_ends_when_its_client_does(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, Server(usual=HANG)) as scene:
            caller = await scene.caller()
            assert (await caller.ask("page", "no-such-class")).status == 400
            with socket.create_connection(scene.address) as late:
                asked_ms = send_to_a_busy_node(late, request("late", budget="5"))
                [ends_ms] = await pending_ends_ms(scene)
            assert ends_ms <= asked_ms + BUDGET_MS + KERNEL_CLOCK_MS

    run(test())


def test_the_time_of_a_pipelined_request_goes_on_behind_the_one_before_it(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            server.gate.clear()
            with socket.create_connection(scene.address) as client:
                asked_ms = now_ms()
                client.sendall(request("first", budget="5") + request("second", budget="5"))
                await until(lambda: len(server.seen) == 1)
                time.sleep(BLOCKED_S)
                server.usual = HANG
                server.gate.set()
                await until(lambda: len(server.seen) == 2)
                [ends_ms] = await pending_ends_ms(scene)
            assert ends_ms <= asked_ms + BUDGET_MS + 0.5 * BLOCKED_S * 1_000.0

    run(test())


@pytest.mark.parametrize("length", [200_000])
def test_the_time_of_a_long_upload_begins_when_its_last_byte_arrived(length: int, tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, Server(usual=HANG)) as scene:
            data = request("long", "pay", budget="5", body=b"x" * length)
            with socket.create_connection(scene.address) as client:
                client.sendall(data[:-1])
                [open_ms] = await pending_ends_ms(scene)
                asked_ms = send_to_a_busy_node(client, data[-1:])
                assert scene.node is not None
                [pending] = scene.node._pending.values()
                await until(lambda: pending.ends_ms != open_ms)
            assert pending.ends_ms <= asked_ms + BUDGET_MS + KERNEL_CLOCK_MS

    run(test())
