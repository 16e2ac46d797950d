"""The node with scripted peers: retries, discovery, disconnecting clients, deadlines, bad input, shutdown."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import socket
import sys
import time
from pathlib import Path
from typing import Any

import pytest

from orchidferry.balancing import interface as api
from orchidferry.balancing.logic import Balancer
from orchidferry.node.address import parse_address
from orchidferry.node.server_listing import server_id
from tests.balancing.test_wirehost import ROOT
from tests.node.peers import (
    CLOSE,
    HANG,
    LIMIT_S,
    Server,
    World,
    answer,
    patient,
    request,
    run,
    settings,
    until,
    world,
)


def test_a_keyed_request_that_may_have_run_is_retried_only_within_its_group(tmp_path: Path) -> None:
    async def test() -> None:
        servers = [Server(usual=answer(500), name=f"s{n}", group=n % 2) for n in range(4)]
        async with world(tmp_path, *servers) as scene:
            answers = await asyncio.gather(*(scene.ask(f"{n}", "save") for n in range(8)))
            assert {seen.status for seen in answers} == {502}
        groups: dict[str, list[int]] = {}
        for server in servers:
            for seen in server.seen:
                groups.setdefault(seen.id, []).append(server.group)
        assert all(len(set(sent)) == 1 for sent in groups.values())
        assert max(map(len, groups.values())) > 1  # some requests were retried

    run(test())


def test_a_keyed_request_is_not_retried_after_its_window(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(usual=answer(500))
        classes: list[dict[str, Any]] = scene_classes(window_ms=20.0)
        async with world(tmp_path, server, classes=classes) as scene:
            assert (await scene.ask("a", "save")).status == 502
            assert len(server.seen) == 1

    run(test())


def scene_classes(**changes: Any) -> list[dict[str, Any]]:
    return [cls | changes for cls in settings()["classes"]]


def test_no_request_is_sent_to_a_server_that_drains_or_is_gone(tmp_path: Path) -> None:
    async def test() -> None:
        leaving, left, stays = (Server(name=name) for name in ("leaving", "left", "stays"))
        async with world(tmp_path, leaving, left, stays) as scene:
            for n in range(6):
                await scene.ask(f"before-{n}")
            assert leaving.seen and left.seen
            scene.registry.tell(leaving.entry(status="leaving"), left.entry(status="left"))
            await until(lambda: len(scene.registry.seen) == 2)
            # The next watch has been sent, so the changes have been read. The idle connections to the server
            # that left are closed.
            await until(lambda: left.lost == left.connections)
            counts = len(leaving.seen), len(left.seen)
            for n in range(6):
                await scene.ask(f"after-{n}")
            assert (len(leaving.seen), len(left.seen)) == counts

    run(test())


@pytest.mark.parametrize("back", [False, True])
def test_a_drain_while_connecting_prevents_the_request_from_being_sent(back: bool, tmp_path: Path) -> None:
    """A server was in service when it was selected, but not when the connection had opened.

    With `back`, the server has left and returned cold in the meantime: the request was selected for its
    previous incarnation and is not part of the new incarnation's budget.
    """

    async def test() -> None:
        stays = Server(name="stays")
        with socket.socket() as slow, socket.socket() as filler:
            slow.bind(("127.0.0.1", 0))
            slow.listen(0)  # the backlog is full after one connection: the next handshake hangs until accept
            await asyncio.to_thread(filler.connect, slow.getsockname())
            await stays.start()
            entry = stays.entry(name="slow", address=f"127.0.0.1:{slow.getsockname()[1]}")
            async with world(tmp_path, known=False) as scene:
                scene.registry.tell(entry, snapshot=True)
                await until(lambda: len(scene.registry.seen) == 2)
                answered = asyncio.ensure_future(scene.ask("a", "pay"))
                assert scene.node is not None
                await until(lambda: upstream_sockets(scene) == 1)
                scene.registry.tell(entry | {"status": "left" if back else "leaving"}, stays.entry())
                await until(lambda: len(scene.registry.seen) == 3)
                if back:
                    scene.registry.tell(entry | {"since_ms": int(time.time() * 1_000)})
                    await until(lambda: len(scene.registry.seen) == 4)
                accepted, _ = await asyncio.to_thread(slow.accept)
                second, _ = await asyncio.to_thread(slow.accept)
                assert (await answered).body == b"done"
                assert [seen.id for seen in stays.seen] == ["a"]
                second.setblocking(False)
                with pytest.raises(BlockingIOError):
                    second.recv(1)
                accepted.close()
                second.close()
        await stays.stop()

    run(test())


def upstream_sockets(scene: World) -> int:
    assert scene.node is not None
    return scene.node._upstream.count()


def test_a_stale_connection_is_replaced_and_nothing_is_sent_twice(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(*[answer() + CLOSE] * 3)
        async with world(tmp_path, server) as scene:
            for id in "abc":
                assert (await scene.ask(id, "pay")).status == 200
                await until(lambda: server.lost == server.connections)
            assert [seen.id for seen in server.seen] == list("abc")

    run(test())


@pytest.mark.parametrize(
    "bad_answer",
    [
        CLOSE,
        answer(503),
        answer(200, b"{"),
        answer(200, b"[]"),
        answer(200, b'{"index":2}'),
        b"\x00\r\n\r\n",
        answer(
            200, b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","address":"x","status":"active"}]}'
        ),
        answer(200, b'{"index":2,"snapshot":true,"endpoints":[{"name":"s","status":"odd"}]}'),
        answer(200, b"[" * 100_000),
    ],
)
def test_a_failed_watch_is_repeated_and_the_old_list_stays(bad_answer: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server, other = Server(name="old"), Server(name="new")
        await other.start()
        async with world(tmp_path, server) as scene:
            assert (await scene.ask("a")).status == 200
            scene.registry.updates.put_nowait(bad_answer)
            await until(lambda: len(scene.registry.seen) >= 2)
            assert (await scene.ask("b")).status == 200
            scene.registry.tell(other.entry(), snapshot=True)
            await until(lambda: len(scene.registry.seen) >= 3)
            assert (await scene.ask("c")).status == 200
            assert [seen.id for seen in other.seen] == ["c"]
        await other.stop()

    run(test())


def test_changes_older_than_the_current_list_make_the_node_fetch_the_complete_list(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            scene.registry.tell(index=0)
            await until(lambda: len(scene.registry.seen) == 3)
            assert [seen.target.partition("&")[0] for seen in scene.registry.seen] == [
                "/api/targets?index=1",
                "/api/targets",
                "/api/targets?index=0",
            ]

    run(test())


def test_the_next_watch_continues_from_the_last_answer_on_the_same_connection(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            for _ in range(3):
                scene.registry.tell(server.entry())
            await until(lambda: len(scene.registry.seen) == 4)
            assert [seen.target.partition("&")[0][-1] for seen in scene.registry.seen] == list("1234")
            assert scene.registry.connections == 1

    run(test())


def test_a_watch_that_is_never_answered_times_out_soon(tmp_path: Path) -> None:
    """The first watch was never answered, and was repeated only after the end of a release."""

    async def test() -> None:
        async with world(tmp_path, Server()) as scene:
            async with asyncio.timeout(12.0):  # a third of that is needed; in r32b5e5 it took 21.5 s
                await until(lambda: len(scene.registry.seen) > 1)
            assert scene.registry.connections == 2  # the silent connection was closed
            new = Server(name="new")
            await new.start()
            # The first of these updates answers the watch that timed out.
            scene.registry.tell()
            scene.registry.tell(new.entry())
            await until(lambda: scene.node is not None and len(scene.node.servers.in_service) == 2)
            await new.stop()

    run(test())


def test_the_id_of_a_server_depends_only_on_its_name() -> None:
    """Nodes divide the servers among them by these ids, which must be equal in all processes and releases."""
    assert server_id("s-5be2a07c") == 0x850D21AD14919D0C
    assert len({server_id(f"s-{n}") for n in range(1000)}) == 1000


def test_ready_only_once_a_server_is_known(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        probe = b"GET /-/ready HTTP/1.1\r\n\r\n"
        async with world(tmp_path, server, known=False) as scene:
            client = await scene.client()
            client.write(probe)
            assert (await client.read()).status == 500
            scene.registry.tell(server.entry(), snapshot=True)
            await until(lambda: len(scene.registry.seen) == 2)
            client.write(probe)
            assert (await client.read()).status == 200

    run(test())


def test_one_silent_connection_does_not_keep_requests_from_its_server(tmp_path: Path) -> None:
    """After a call on a dead connection, a healthy server got no work."""

    async def test() -> None:
        servers = [Server(name="s0"), half_dead := Server(name="s1")]
        for server in servers:
            server.pause_s = 0.02
        async with world(tmp_path, *servers) as scene:
            for n in range(4):
                await scene.ask(f"first-{n}")
            half_dead.left.append(HANG)
            asked = [asyncio.create_task(scene.ask(f"at-once-{n}")) for n in range(4)]
            await until(lambda: sum(task.done() for task in asked) == 3)
            await asyncio.sleep(0.2)  # ten times the usual latency: the hanging request is long overdue
            before = len(half_dead.seen)
            for n in range(10):
                await scene.ask(f"later-{n}")
            assert len(half_dead.seen) - before >= 3
            assert scene.node is not None and scene.node._balancer.inflight == 1  # it still hangs
            half_dead.hang_up()  # the request is then retried elsewhere, or fails
            await asyncio.gather(*asked)

    run(test())


def test_a_request_lost_on_a_silent_connection_is_retried_in_time(tmp_path: Path) -> None:
    """A first attempt times out after a few times the usual latency; later and unsafe attempts get longer."""

    async def test() -> None:
        servers = [Server(name="s0"), Server(name="s1")]
        for server in servers:
            server.pause_s = 0.05
        async with world(tmp_path, *servers, classes=patient()) as scene:
            for n in range(20):
                await scene.ask(f"first-{n}")
            for server in servers:
                server.left.append(HANG)
            assert (await scene.ask("a")).status == 200
            waits = [seen.headers["x-budget"] for server in servers for seen in server.seen if seen.id == "a"]
            first, second, _ = sorted(map(float, waits))
            assert first < 0.7 * second
            await scene.ask("once", "pay")
            [unsafe] = (s.headers["x-budget"] for server in servers for s in server.seen if s.id == "once")
            assert float(unsafe) > 1.5 * first

    run(test())


def test_a_disconnect_ends_the_request_and_its_attempt_still_reports_an_outcome(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(500))
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a"))
            await until(lambda: len(server.seen) == 1)
            client.writer.close()
            assert scene.node is not None
            await until(lambda: not scene.node or not scene.node._pending)
            server.gate.set()
            assert (await scene.ask("a")).status == 200  # the id can be used again
            assert [seen.id for seen in server.seen] == ["a", "a"]  # the abandoned request was not retried
            assert scene.node._balancer.inflight == 0

    run(test())


def test_the_backstop_ends_requests_that_the_balancer_does_not_end(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Whatever fails in the balancer, an accepted request gets one answer: 504, which allows no retry."""
    handle = Balancer.handle

    def broken(self: Balancer, event: api.Event, now_ms: float) -> list[api.Action]:
        if isinstance(event, api.Request) and event.id == "1":  # a serial number given by the node
            return []
        if isinstance(event, api.Request) and event.id == "2":
            raise RuntimeError("a fault")
        return handle(self, event, now_ms)

    monkeypatch.setattr(Balancer, "handle", broken)

    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            with caplog.at_level(logging.CRITICAL):
                for id in ("lost", "raises"):
                    loop = asyncio.get_running_loop()
                    began = loop.time()
                    assert (await scene.ask(id, budget="0.3")).status == 504
                    assert loop.time() - began >= 0.29  # not before the deadline
            assert (await scene.ask("a")).status == 200

    run(test())


def test_a_request_without_time_for_an_attempt_is_refused_at_once(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            reply = await scene.ask("a", "pay", budget="0.001")
            assert reply.status == 503 and not server.seen
            assert 0.0 < float(reply.headers["retry-after"]) <= 0.5  # the base backoff, T1

    run(test())


BAD = {
    "not HTTP": (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
    "bad version": (b"GET /read HTTP/9\r\n\r\n", 400),
    "no id": (b"GET /read HTTP/1.1\r\nX-Budget: 1\r\n\r\n", 400),
    "no budget": (b"GET /read HTTP/1.1\r\nX-Call-Id: q\r\n\r\n", 400),
    "bad budget": (request("q", budget="soon"), 400),
    "budget not a number": (request("q", budget="nan"), 400),
    "infinite budget": (request("q", budget="inf"), 400),
    "negative budget": (request("q", budget="-1"), 400),
    "budget with an underscore": (request("q", budget="1_0"), 400),
    "signed budget": (request("q", budget="+1"), 400),
    "zero budget": (request("q", budget="0.0"), 400),
    "two budgets": (request("q", extra="X-Budget: 2\r\n"), 400),
    "two ids": (request("q", extra="X-Call-Id: r\r\n"), 400),
    "id with a non-ASCII character": (request("q\xe9"), 400),
    "id with spaces": (request("q r"), 400),
    "long id": (request("q" * 129), 400),
    "long key": (request("q", "pay", extra="Idempotency-Key: " + "k" * 129 + "\r\n"), 400),
    "key for a class without keys": (request("q", "pay", extra="Idempotency-Key: k\r\n"), 400),
    "method of another class": (b"POST /read HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "GET for an unsafe class": (b"GET /pay HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "GET with a body": (request("q", body=b"body"), 400),
    "no path": (b"GET read HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "unsupported transfer coding": (
        b"POST /pay HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "chunks in HTTP/1.0": (b"POST /pay HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400),
    "chunks and length": (
        b"POST /pay HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
        400,
    ),
    "unknown class": (request("q", "nonsense"), 400),
    "no class": (request("q", ""), 400),
    "keyed without a key": (b"POST /save HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "unsupported method": (b"PUT /read HTTP/1.1\r\nX-Call-Id: q\r\nX-Budget: 1\r\n\r\n", 400),
    "unknown path of the node": (b"GET /-/nonsense HTTP/1.1\r\n\r\n", 404),
    "announced body too long": (
        b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nContent-Length: 33554433\r\n\r\n",
        413,
    ),
    "long chunks without a budget": (
        b"POST /pay HTTP/1.1\r\nX-Call-Id: q\r\nTransfer-Encoding: chunked\r\n\r\n10001\r\n" + b"x" * 65537,
        400,
    ),
    "negative length": (b"POST /pay HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
    "two lengths": (b"POST /pay HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400),
    "length and chunks": (
        b"POST /pay HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    "one huge header": (b"GET /read HTTP/1.1\r\nX-Pad: " + b"x" * 100_000, 431),
    "many headers": (b"GET /read HTTP/1.1\r\n" + b"X-Pad: 1\r\n" * 10_000, 431),
    "huge target": (b"GET /" + b"x" * 100_000 + b" HTTP/1.1\r\n\r\n", 431),
}


@pytest.mark.parametrize(("data", "status"), BAD.values(), ids=BAD.keys())
def test_bad_input_is_rejected_and_affects_no_other_client(data: bytes, status: int, tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            other, bad = await scene.client(), await scene.client()
            other.write(request("other"))
            await until(lambda: len(server.seen) == 1)
            bad.write(data)
            assert (await bad.read()).status == status
            server.gate.set()
            assert (await other.read()).status == 200
            assert [seen.id for seen in server.seen] == ["other"]

    run(test())


def test_a_request_with_the_id_of_a_pending_one_is_rejected_without_affecting_that(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            owner, other = await scene.client(), await scene.client()
            owner.write(request("a"))
            await until(lambda: len(server.seen) == 1)
            assert (await other.ask("a")).status == 400
            other.writer.close()
            server.gate.set()
            assert (await owner.read()).status == 200

    run(test())


def test_pipelined_requests_are_answered_in_order(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(200, b"1"), answer(200, b"2"))
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a") + request("b"))
            assert [(await client.read()).body for _ in range(2)] == [b"1", b"2"]

    run(test())


@pytest.mark.parametrize("behind", [b"noise\r\n\r\n", request("b") * 20], ids=["noise", "a flood"])
def test_bad_input_is_rejected_at_once_while_a_request_is_pending(behind: bytes, tmp_path: Path) -> None:
    """The error waited for the answer to the pending request, up to its deadline."""

    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a"))
            await until(lambda: len(server.seen) == 1)
            client.write(behind)
            reply = await client.read()
            assert reply.status == 400 and reply.headers["connection"] == "close"
            assert await client.closed()
            assert scene.node is not None and not scene.node._pending and not scene.node._open_ids
            server.gate.set()

    run(test())

    run(test())


def test_requests_may_arrive_byte_by_byte_and_a_client_may_request_a_close(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            for byte in request("a", "pay", body=b"body"):
                client.write(bytes([byte]))
                await client.writer.drain()
                await asyncio.sleep(0)
            assert (await client.read()).status == 200
            assert server.seen[0].body == b"body"
            reply = await client.ask("b", extra="Connection: close\r\n")
            assert (reply.status, reply.headers["connection"]) == (200, "close")
            assert await client.closed()

    run(test())


def test_sockets_stay_within_their_limit_and_idle_connections_are_evicted(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server, sockets=29) as scene:
            first = await scene.client()
            for n in range(9):  # after 20 answers attempts would time out: 8 times a latency of nearly 0
                await scene.client()  # sends nothing: silent connections are evicted before idle ones
                assert (await scene.ask(f"{n}")).status == 200
                assert (await first.ask(f"first-{n}")).status == 200  # evicted by idle time, not by age
                assert scene.node is not None
                assert scene.node.frontend.count() <= 15  # of 29

    run(test())


class Program:
    """The node as a process of its own."""

    def __init__(self, process: asyncio.subprocess.Process, scene: World) -> None:
        self.process = process
        self.scene = scene

    @classmethod
    async def start(cls, scene: World) -> Program:
        program = cls(await spawn(scene.path), scene)
        assert program.process.stderr is not None
        while True:
            line = await asyncio.wait_for(program.process.stderr.readline(), LIMIT_S)
            assert line, "ended before it was ready"
            if b"started" in line:
                scene.address = parse_address(line.decode().split()[-1])
                return program

    async def refuses(self) -> None:
        """Wait until the listener is closed."""
        async with asyncio.timeout(LIMIT_S):
            while True:
                try:
                    (await asyncio.open_connection(*self.scene.address))[1].close()
                except ConnectionRefusedError:
                    return
                await asyncio.sleep(0.02)


async def spawn(path: Path | None) -> asyncio.subprocess.Process:
    env = {name: value for name, value in os.environ.items() if name != "NODE_CONFIG"}
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "orchidferry",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env=env | ({"NODE_CONFIG": str(path)} if path else {}),
    )


def test_sigterm_finishes_pending_requests_and_exits_0(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        async with world(tmp_path, server, start=False) as scene:
            program = await Program.start(scene)
            used, held = await scene.client(), await scene.client()
            server.gate.set()
            assert (await used.ask("before")).status == 200
            server.gate.clear()
            held.write(request("held", "pay"))
            await until(lambda: len(server.seen) == 2)
            program.process.send_signal(signal.SIGTERM)
            await program.refuses()
            server.gate.set()
            assert (await held.read()).status == 200
            assert await used.closed() and await held.closed()
            assert await asyncio.wait_for(program.process.wait(), LIMIT_S) == 0

    run(test())


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (None, "NODE_CONFIG"),
        ("", "No such file"),
        ("{", "not JSON"),
        ("[]", "object"),
        ("{}", "'name' is missing"),
        ('{"name":"n","listen":"nowhere"}', "nowhere"),
        ('{"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:1","seed":"zz"}', "seed"),
    ],
)
def test_a_bad_configuration_is_reported_in_one_line_with_status_2(
    text: str | None, words: str, tmp_path: Path
) -> None:
    async def test() -> None:
        path = tmp_path / "config.json"
        if text:
            path.write_text(text)
        process = await spawn(None if text is None else path)
        _, errors = await asyncio.wait_for(process.communicate(), LIMIT_S)
        [line] = errors.decode().splitlines()
        assert process.returncode == 2 and words in line

    run(test())


def test_an_address_in_use_is_reported_in_one_line_with_status_2(tmp_path: Path) -> None:
    async def test() -> None:
        async with world(tmp_path, start=False) as scene:
            scene.path.write_text(json.dumps(scene.config | {"listen": scene.registry.address}))
            process = await spawn(scene.path)
            _, errors = await asyncio.wait_for(process.communicate(), LIMIT_S)
            [line] = errors.decode().splitlines()
            assert process.returncode == 2 and "in use" in line

    run(test())
