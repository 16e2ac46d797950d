"""The budget of a request that a node reads late counts from the arrival of the request.

Failure: a client with a budget of 3.000 s sent its request at 420.906 s, so the budget ended at 423.906 s.
The node waited for a CPU core, read the request at 421.055 s, counted the budget from then, and would have
answered by 424.045 s. The client gave up without an answer at 423.977 s, 70 ms after the end of its budget.
"""

from __future__ import annotations

import socket
import time
from pathlib import Path

import pytest

from orchidferry.node.clock import now_ms
from tests.node.peers import HANG, Server, World, request, run, until, world

BLOCKED_S = 0.3
KERNEL_CLOCK_MS = 10.0  # resolution of the kernel's clock for the age of input
BUDGET_MS = 5_000.0


def send_to_a_busy_node(connection: socket.socket, data: bytes) -> float:
    """Send data while the node's event loop is blocked; return the time of sending by the node's clock.

    Nagle's algorithm would hold back a short segment until the node's kernel has acknowledged what was sent
    before, which it may delay by 40 ms.
    """
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sent_ms = now_ms()
    connection.sendall(data)
    time.sleep(BLOCKED_S)  # blocks the node, which runs in the same event loop
    return sent_ms


async def pending_ends_ms(scene: World, count: int = 1) -> list[float]:
    """Wait until the node has `count` pending requests; return their deadlines."""
    node = scene.node
    assert node is not None
    await until(lambda: len(node._pending) == count)
    return [pending.ends_ms for pending in node._pending.values()]


def test_the_budget_of_a_request_read_late_counts_from_its_arrival(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, Server(usual=HANG)) as scene:
            client = await scene.client()
            assert (await client.ask("page", "no-such-class")).status == 400
            with socket.create_connection(scene.address) as late:
                sent_ms = send_to_a_busy_node(late, request("late", budget="5"))
                [ends_ms] = await pending_ends_ms(scene)
            assert ends_ms <= sent_ms + BUDGET_MS + KERNEL_CLOCK_MS

    run(test())


def test_the_budget_of_a_pipelined_request_counts_while_it_waits_for_the_previous_one(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            server.gate.clear()
            with socket.create_connection(scene.address) as client:
                sent_ms = now_ms()
                client.sendall(request("first", budget="5") + request("second", budget="5"))
                await until(lambda: len(server.seen) == 1)
                time.sleep(BLOCKED_S)
                server.usual = HANG
                server.gate.set()
                await until(lambda: len(server.seen) == 2)
                [ends_ms] = await pending_ends_ms(scene)
            assert ends_ms <= sent_ms + BUDGET_MS + 0.5 * BLOCKED_S * 1_000.0

    run(test())


@pytest.mark.parametrize("length", [200_000])
def test_the_budget_of_a_streamed_upload_counts_from_the_arrival_of_its_last_byte(
    length: int, tmp_path: Path
) -> None:
    async def test() -> None:
        async with world(tmp_path, Server(usual=HANG)) as scene:
            data = request("long", "pay", budget="5", body=b"x" * length)
            with socket.create_connection(scene.address) as client:
                client.sendall(data[:-1])
                [open_ms] = await pending_ends_ms(scene)
                sent_ms = send_to_a_busy_node(client, data[-1:])
                assert scene.node is not None
                [pending] = scene.node._pending.values()
                await until(lambda: pending.ends_ms != open_ms)
            assert pending.ends_ms <= sent_ms + BUDGET_MS + KERNEL_CLOCK_MS

    run(test())
