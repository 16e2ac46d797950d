"""Time limits for clients that send nothing, send slowly or do not read, and graceful shutdown."""

from __future__ import annotations

import asyncio
import socket
from pathlib import Path
from typing import cast

import pytest

from orchidferry.node import frontend, node
from orchidferry.node.connection_stage import LIMITS_S, Stage
from orchidferry.node.upstream import Upstream
from tests.node.peers import HANG, LIMIT_S, Server, World, answer, request, run, until, world


@pytest.fixture
def short_limits(monkeypatch: pytest.MonkeyPatch) -> None:
    """Time limits that are short enough for a test."""
    monkeypatch.setattr(frontend, "SWEEP_S", 0.02)
    for stage in LIMITS_S:
        monkeypatch.setitem(LIMITS_S, stage, 0.2)


def open_connections(scene: World) -> int:
    assert scene.node is not None
    return scene.node.frontend.count()


INCOMPLETE_REQUESTS = {
    "incomplete head": b"GET /read HTTP/1.1\r\nX-Call-Id: q\r\n",
    "incomplete body": request("q", "pay", body=b"whole")[:-2],
    "chunked body without end": b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n",
}


@pytest.mark.usefixtures("short_limits")
@pytest.mark.parametrize("data", INCOMPLETE_REQUESTS.values(), ids=INCOMPLETE_REQUESTS.keys())
@pytest.mark.parametrize("asked", [False, True], ids=["first request", "later request"])
def test_an_incomplete_request_times_out_with_408(data: bytes, asked: bool, tmp_path: Path) -> None:
    """Without a time limit, an incomplete request occupied its socket forever."""

    async def test() -> None:
        async with world(tmp_path, Server()) as scene:
            client = await scene.client()
            if asked:
                assert (await client.ask("before")).status == 200
            client.write(data)
            assert (await client.read()).status == 408
            assert await client.closed()
            await until(lambda: open_connections(scene) == 0)

    run(test())


@pytest.mark.usefixtures("short_limits")
def test_silent_and_idle_connections_are_closed_but_not_those_that_wait_for_an_answer(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            silent, idle, waiting = [await scene.client() for _ in range(3)]
            assert (await idle.ask("idle")).status == 200
            server.gate.clear()
            waiting.write(request("waiting"))
            assert await silent.closed() and await idle.closed()
            server.gate.set()
            assert (await waiting.read()).status == 200

    run(test())


@pytest.mark.usefixtures("short_limits")
def test_a_client_that_does_not_read_is_disconnected_and_no_longer_read_from(tmp_path: Path) -> None:
    """Unsent answers stayed in memory, and closing the connection waited until the client read them."""

    async def test() -> None:
        async with world(tmp_path, Server(usual=answer(200, b"x" * 65536))) as scene:
            assert scene.node is not None
            with socket.socket() as not_reading:
                not_reading.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
                await asyncio.to_thread(not_reading.connect, scene.address)
                await until(lambda: open_connections(scene) == 1)
                [client] = scene.node.frontend._stages[Stage.NEW]
                own = client._transport.get_extra_info("socket")
                own.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
                not_reading.sendall(b"".join(request(f"{n}") for n in range(8)))
                await until(lambda: open_connections(scene) == 0)

    run(test())


def test_a_huge_body_is_rejected_before_it_arrives_and_the_client_can_read_the_error(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, Server()) as scene:
            client = await scene.client()
            client.write(
                b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 100_000
            )
            assert (await client.read()).status == 413
            assert await client.closed()

    run(test())


@pytest.mark.usefixtures("short_limits")
def test_shutdown_does_not_wait_for_clients_with_incomplete_requests(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for stage in LIMITS_S:
        monkeypatch.setitem(LIMITS_S, stage, 1000.0)
    monkeypatch.setattr(node, "MAX_BUDGET_MS", 300.0)
    monkeypatch.setattr(node, "CLOSE_LEAD_MS", 100.0)

    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            assert scene.node is not None
            half, served = await scene.client(), await scene.client()
            half.write(INCOMPLETE_REQUESTS["incomplete body"])
            assert (await served.ask("before")).status == 200
            stopping = asyncio.ensure_future(scene.node.stop(0.0))
            await asyncio.sleep(0)
            # A connection that stays open is still served.
            assert (await served.ask("during")).status == 200
            await asyncio.wait_for(stopping, LIMIT_S)
            await until(lambda: open_connections(scene) == 0)

    run(test())


def test_new_connections_are_served_as_long_as_open_ones_while_the_node_shuts_down(tmp_path: Path) -> None:
    """Clients whose new connections were refused left their open ones too, 2 s before these were closed."""

    async def test() -> None:
        async with world(tmp_path, Server()) as scene:
            assert scene.node is not None
            kept = await scene.client()
            assert (await kept.ask("a")).status == 200
            stopping = asyncio.create_task(scene.node.stop(0.0))
            await asyncio.sleep(0.1)
            assert (await scene.ask("b")).status == (await kept.ask("c")).status == 200
            await stopping
            with pytest.raises(ConnectionError):
                await scene.client()

    run(test())


def test_requests_accepted_during_shutdown_are_answered_before_the_node_ends(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The budget of a request may end after SIGKILL, which loses all open requests."""
    monkeypatch.setattr(node, "MAX_BUDGET_MS", 300.0)

    async def test() -> None:
        async with world(tmp_path, Server(usual=HANG)) as scene:
            assert scene.node is not None
            before, during = await scene.client(), await scene.client()
            before.write(request("a", "pay", budget="20"))
            await until(lambda: scene.node is not None and bool(scene.node._pending))
            stopping = asyncio.ensure_future(scene.node.stop(0.0))
            await asyncio.sleep(0)
            assert (await during.ask("b", "pay", budget="20")).status in (502, 504)
            assert (await before.read()).status in (502, 504)
            await asyncio.wait_for(stopping, LIMIT_S)

    run(test())


def test_an_id_reused_while_its_old_attempt_is_in_flight_gets_its_own_answer(tmp_path: Path) -> None:
    """Both requests were stored under the client's id, so the answer to one could end the other."""

    async def test() -> None:
        server = Server(answer(200, b"old"), answer(200, b"new"))
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            gone = await scene.client()
            gone.write(request("a"))
            await until(lambda: len(server.seen) == 1)
            gone.writer.close()
            assert scene.node is not None
            await until(lambda: scene.node is not None and not scene.node._pending)
            again = await scene.client()
            again.write(request("a"))
            await until(lambda: len(server.seen) == 2)
            server.gate.set()
            assert (await again.read()).body == b"new"
            await until(lambda: scene.node is not None and not scene.node.attempts)
            balancer = scene.node._balancer
            assert balancer.inflight == 0
            assert all(not s.inflight and not s.outstanding for s in balancer.server_set.servers.values())

    run(test())


def test_no_state_is_left_after_many_clients_and_servers_have_come_and_gone(tmp_path: Path) -> None:
    """Ids, clients and servers are always new, and each server uses the address of its predecessor."""

    async def test() -> None:
        server = Server(name="s0")
        async with world(tmp_path, server) as scene:
            assert scene.node is not None
            for n in range(1, 16):
                assert (await scene.ask(f"{n}")).status == 200
                scene.registry.tell(server.entry(name=f"s{n - 1}", status="left"), server.entry(name=f"s{n}"))
                await until(lambda n=n: len(scene.registry.seen) == n + 1)  # type: ignore[misc]
                scene.clients.pop().writer.close()
            await until(lambda: open_connections(scene) == 0)
            own = scene.node
            module = scene.node._balancer
            assert not own._pending and not own._open_ids and not own.attempts and not own._events._events
            assert (
                len(own.servers.addresses)
                == len(own.servers.in_service)
                == len(module.server_set.servers)
                == 1
            )
            assert not module._calls and not module._timers and not any(module.admission._queues.values())
            assert len(module._recent_requests._times) + len(module._recent_retries._times) <= 2
            assert (
                own._upstream.count() <= 1
                and sum(map(len, cast(Upstream, own._upstream)._idle.values())) <= 1
            )

    run(test())
