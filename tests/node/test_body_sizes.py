"""A request is answered after one with a body of any size on its connection, at the node in service."""

from __future__ import annotations

from pathlib import Path

import pytest

from orchidferry.node.client_connection import MAX_PIPELINED
from orchidferry.node.connection_stage import Stage
from orchidferry.node.flow import MAX_BUFFERED_BODY
from orchidferry.node.request import Message
from tests.node.body_sizes import CODINGS, DELIVERIES, KIB, SIZES, ask_twice, framed
from tests.node.peers import Client, Server, request, run, until, world
from tests.node.test_long_bodies import LongServer, is_idle

UPLOAD = 66_000  # bytes of a body that is barely long enough to be streamed
MAX_READ = 256 * KIB  # most bytes that the event loop reads at once


@pytest.mark.parametrize("coding", CODINGS)
@pytest.mark.parametrize("delivery", DELIVERIES)
def test_a_request_is_answered_after_a_body_of_any_size(delivery: str, coding: str, tmp_path: Path) -> None:
    """The next request on the connection is read, whatever the flow of the body has gone through."""

    async def test() -> None:
        server = LongServer()
        async with world(tmp_path, server) as scene:
            assert scene.node is not None
            pool = scene.node.frontend.pool
            pool_bytes = pool.available
            for size in SIZES:
                client = await scene.client()

                async def read_status(client: Client = client) -> int:
                    return (await client.read()).status

                header, body = framed(size, coding)
                head = request(f"u{size}", "save").replace(b"Content-Length: 0\r\n", header)
                second = request(f"v{size}")
                statuses = await ask_twice(client.write, read_status, head + body, second, delivery)
                assert statuses == [200, 200], size
                assert [len(whole) for whole in server.whole[-2:]] == [size, 0]
                client.writer.close()
            await until(lambda: scene.node is not None and scene.node.frontend.count() == 0)
            assert is_idle(scene) and pool.available == pool_bytes

    run(test())


def test_long_bodies_that_wait_for_their_turn_do_not_add_up(tmp_path: Path) -> None:
    """Failure: a connection read on behind a long body, and kept as many as it may have requests waiting."""

    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            assert scene.node is not None
            client = await scene.client()
            client.write(request("first"))
            await until(lambda: len(server.seen) == 1)
            uploads = [request(f"u{number}", "save", body=b"x" * UPLOAD) for number in range(MAX_PIPELINED)]
            client.write(b"".join(uploads))
            [connection] = scene.node.frontend._stages[Stage.SERVING]
            queue = connection._queue
            await until(lambda: len(queue) == MAX_PIPELINED or not connection._transport.is_reading())
            flows = [item.flow for item in queue if isinstance(item, Message) and item.flow is not None]
            received = sum(flow.received_bytes for flow in flows)
            assert UPLOAD <= received <= MAX_READ + MAX_BUFFERED_BODY
            server.gate.set()
            statuses = [(await client.read()).status for _ in ("first", *uploads)]
            assert statuses == [200] * (1 + MAX_PIPELINED)
            await until(lambda: is_idle(scene))

    run(test())


@pytest.mark.parametrize("size", [100_000, 400_000])
def test_a_body_for_a_page_of_the_node_is_dropped(size: int, tmp_path: Path) -> None:
    """Nobody took such a body, so that its connection was paused for good."""

    async def test() -> None:
        async with world(tmp_path, LongServer()) as scene:
            client = await scene.client()
            header, body = framed(size, "length")
            client.write(b"POST /-/ready HTTP/1.1\r\nHost: h\r\n" + header + b"\r\n" + body)
            assert (await client.read()).status == 200
            assert (await client.ask("next")).status == 200

    run(test())
