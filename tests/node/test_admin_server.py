"""The admin server: correct metrics, readiness, answers under load, and handling of bad clients."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from pathlib import Path

import pytest

from orchidferry.node import admin_server as admin_module
from orchidferry.node.admin_server import AdminServer
from orchidferry.node.config import ConfigError, read_config
from tests.node.peers import LIMIT_S, Server, World, answer, read_message, request, run, until, world
from tests.node.test_node import Program, spawn

Test = Callable[[World, tuple[str, int]], Awaitable[None]]


async def call(address: tuple[str, int], data: bytes) -> tuple[int, str]:
    """Return the status and text of the answer to one request; the connection must close after it."""
    reader, writer = await asyncio.open_connection(*address)
    writer.write(data)
    seen = await asyncio.wait_for(read_message(reader), LIMIT_S)
    assert seen is not None, "closed without an answer"
    assert seen.headers["connection"] == "close"
    assert await asyncio.wait_for(reader.read(1), LIMIT_S) == b""
    writer.close()
    return seen.status, seen.body.decode()


async def get(address: tuple[str, int], path: str) -> tuple[int, str]:
    return await call(address, f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())


async def metrics(address: tuple[str, int]) -> dict[str, int]:
    status, text = await get(address, "/-/metrics")
    assert status == 200
    return {name: int(value) for name, _, value in (line.partition("=") for line in text.splitlines())}


def with_admin_server(tmp_path: Path, test: Test, *servers: Server) -> None:
    async def body() -> None:
        async with world(tmp_path, *servers, start=False) as scene:
            scene.config["admin_addr"] = "127.0.0.1:0"
            scene.path.write_text(json.dumps(scene.config))
            from orchidferry.node.node import Node

            loop = asyncio.get_running_loop()
            node = scene.node = Node(read_config(str(scene.path)), loop)
            assert node.admin_server is not None
            scene.address = await node.frontend.listen(loop, ("127.0.0.1", 0))
            at = await node.admin_server.listen(loop, ("127.0.0.1", 0))
            node.start()
            await test(scene, at)

    run(body())


def test_metrics_match_the_requests_of_clients_and_servers(tmp_path: Path) -> None:
    server = Server(answer(), answer(500), usual=answer(503, headers="X-Rejected: 1\r\n"))

    async def test(scene: World, at: tuple[str, int]) -> None:
        zero = await metrics(at)
        assert all(value == 0 for name, value in zero.items() if name != "node.hosts_listed")
        assert (await scene.ask("a", "pay", body=b"x")).status == 200
        assert (await scene.ask("b", "pay", body=b"x")).status == 502
        assert (await scene.ask("c", "pay", budget="0.4", body=b"x")).status == 503
        server.gate.clear()
        client = await scene.client()
        client.write(request("d", "pay", body=b"x"))
        await until(lambda: any(seen.id == "d" for seen in server.seen))
        seen = await metrics(at)
        assert seen["node.calls.pay.success"] == 1
        assert seen["node.calls.pay.failure"] == 1
        assert seen["node.calls.pay.busy"] == 1
        assert seen["node.calls.pay.backend_calls"] == len(server.seen) == seen["node.backend_calls"]
        assert seen["node.calls.read.backend_calls"] == 0
        assert seen["node.inflight"] == 1
        assert seen["node.hosts_listed"] == 1
        client.writer.close()
        async with asyncio.timeout(LIMIT_S):
            while (await metrics(at))["node.inflight"]:
                await asyncio.sleep(0.01)

    with_admin_server(tmp_path, test, server)


def test_a_server_that_drains_is_listed_and_down_and_one_that_left_is_neither(tmp_path: Path) -> None:
    one, two = Server(name="one"), Server(name="two")

    async def hosts(at: tuple[str, int]) -> tuple[int, int]:
        seen = await metrics(at)
        return seen["node.hosts_listed"], seen["node.hosts_down"]

    async def becomes(at: tuple[str, int], wanted: tuple[int, int]) -> None:
        async with asyncio.timeout(LIMIT_S):
            while await hosts(at) != wanted:
                await asyncio.sleep(0.01)

    async def test(scene: World, at: tuple[str, int]) -> None:
        assert await hosts(at) == (2, 0)
        scene.registry.tell(two.entry(status="leaving"))
        await becomes(at, (2, 1))
        scene.registry.tell(two.entry(status="left"))
        await becomes(at, (1, 0))
        await one.stop()  # refuses connections from now on, so the first attempt takes it out of service
        await scene.ask("x", "pay", budget="0.5", body=b"x")
        await becomes(at, (1, 1))

    with_admin_server(tmp_path, test, one, two)


def test_not_ready_without_servers_and_during_shutdown(tmp_path: Path) -> None:
    server = Server()

    async def test(scene: World, at: tuple[str, int]) -> None:
        assert (await get(at, "/-/ready"))[0] == 200
        scene.registry.tell(server.entry(status="left"))
        async with asyncio.timeout(LIMIT_S):
            while (await get(at, "/-/ready"))[0] != 503:
                await asyncio.sleep(0.01)
        scene.registry.tell(server.entry())
        async with asyncio.timeout(LIMIT_S):
            while (await get(at, "/-/ready"))[0] != 200:
                await asyncio.sleep(0.01)
        server.gate.clear()
        (await scene.client()).write(request("held", "pay", body=b"x"))
        await until(lambda: len(server.seen) == 1)
        assert scene.node is not None
        stopping = asyncio.create_task(scene.node.stop(0.0))
        await until(lambda: not scene.node or not scene.node.ready())
        assert (await get(at, "/-/ready"))[0] == 503
        assert (await metrics(at))["node.inflight"] == 1
        server.gate.set()
        await stopping
        scene.node = None

    with_admin_server(tmp_path, test, server)


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"GET /-/nowhere HTTP/1.1\r\n\r\n", 404),
        (b"POST /-/ready HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"\x00\x01\x02 HTTP\r\n\r\n", 400),
        (b"GET /-/ready HTTP/1.1\r\nX: " + b"y" * 8000, 413),
        (b"GET /-/ready HTTP/1.1\r\n\r\nGET /-/ready HTTP/1.1\r\n\r\n", 200),  # the second is ignored
    ],
)
def test_each_connection_gets_one_answer_also_to_bad_input(data: bytes, status: int, tmp_path: Path) -> None:
    async def test(scene: World, at: tuple[str, int]) -> None:
        assert (await call(at, data))[0] == status

    with_admin_server(tmp_path, test, Server())


def test_silent_clients_are_limited_in_time_and_number_and_others_are_answered(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(admin_module, "REQUEST_TIMEOUT_S", 0.3)

    async def test(scene: World, at: tuple[str, int]) -> None:
        assert scene.node is not None and isinstance(scene.node.admin_server, AdminServer)
        silent = [await asyncio.open_connection(*at) for _ in range(admin_module.MAX_CONNECTIONS + 8)]
        silent[-1][1].write(b"GET /-/met")
        assert (await get(at, "/-/ready"))[0] == 200  # while the silent clients are connected
        assert scene.node.admin_server.count() <= admin_module.MAX_CONNECTIONS + 1
        ends = [await asyncio.wait_for(reader.read(12), LIMIT_S) for reader, _ in silent[-3:]]
        assert ends == [b"HTTP/1.1 408"] * 3
        for _, writer in silent:
            writer.close()
        await until(
            lambda: (
                scene.node is not None
                and scene.node.admin_server is not None
                and scene.node.admin_server.count() == 1
            )
        )

    with_admin_server(tmp_path, test, Server())


@pytest.mark.parametrize("text", ["nowhere", "127.0.0.1:x", ":1"])
def test_a_malformed_admin_address_is_reported_with_its_source(
    text: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        async with world(tmp_path, Server(), start=False) as scene:
            scene.config["admin_addr"] = text
            scene.path.write_text(json.dumps(scene.config))
            with pytest.raises(ConfigError, match=r"config\.json: "):
                read_config(str(scene.path))
            del scene.config["admin_addr"]
            scene.path.write_text(json.dumps(scene.config))
            monkeypatch.setenv("NODE_ADMIN_ADDR", text)
            with pytest.raises(ConfigError, match="NODE_ADMIN_ADDR"):
                read_config(str(scene.path))
            monkeypatch.setenv("NODE_ADMIN_ADDR", "127.0.0.1:9")
            assert read_config(str(scene.path)).admin == ("127.0.0.1", 9)

    run(test())


def test_a_second_process_at_the_same_address_serves_beside_the_first(tmp_path: Path) -> None:
    """The second process exited with status 2 because the address was in use."""

    async def test() -> None:
        async with world(tmp_path, Server(), start=False) as scene:
            first = await Program.start(scene)
            scene.config["listen"] = ":".join(map(str, scene.address))
            scene.path.write_text(json.dumps(scene.config))
            second = await Program.start(scene)
            first.process.terminate()
            assert await asyncio.wait_for(first.process.wait(), LIMIT_S) == 0
            assert (await scene.ask("after")).status == 200
            second.process.terminate()
            assert await asyncio.wait_for(second.process.wait(), LIMIT_S) == 0

    run(test())


def test_an_admin_address_that_is_in_use_ends_the_program(tmp_path: Path) -> None:
    async def test() -> None:
        taken = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        async with world(tmp_path, Server(), start=False) as scene:
            scene.config["admin_addr"] = f"127.0.0.1:{taken.sockets[0].getsockname()[1]}"
            scene.path.write_text(json.dumps(scene.config))
            process = await spawn(scene.path)
            _, errors = await asyncio.wait_for(process.communicate(), LIMIT_S)
            assert process.returncode == 2
            assert errors.decode().splitlines()[-1].startswith("orchidferry: can't listen on 127.0.0.1:")
        taken.close()

    run(test())
