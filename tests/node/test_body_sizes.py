"""A request is answered after one with a body of any size on its connection, at the node in service."""

from __future__ import annotations

from pathlib import Path

import pytest

from tests.node.body_sizes import CODINGS, DELIVERIES, SIZES, ask_twice, framed
from tests.node.peers import Client, request, run, until, world
from tests.node.test_long_bodies import LongServer, is_idle


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
