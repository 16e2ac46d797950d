"""Outcomes of attempts: which responses and failures allow a retry, and the reuse of connections."""

from __future__ import annotations

import asyncio
import errno
import logging
import socket
import struct
import threading
import time
from pathlib import Path
from typing import Any, cast

import pytest

from orchidferry.balancing import interface as api
from orchidferry.balancing.interface import Result
from orchidferry.balancing.logic import Balancer
from orchidferry.node.address import Address
from orchidferry.node.attempt import Attempt, UpstreamResponse
from orchidferry.node.http1 import read_report
from orchidferry.node.request import Message
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import Upstream
from orchidferry.node.upstream_connection import Connection
from tests.node.peers import CLOSE, HANG, LIMIT_S, RESET, Server, answer, run, until, world

NOISE = b"\x00\xff not HTTP at all\r\n\r\n"
# Responses and failures after which a request may have run
MAY_HAVE_RUN = {
    "500": answer(500),
    "404": answer(404),
    "503 without X-Rejected": answer(503),
    "504 with X-Rejected: 0": answer(504, headers="X-Rejected: 0\r\n"),
    "500 with X-Rejected: 1": answer(500, headers="X-Rejected: 1\r\n"),
    "reset": RESET,
    "closed without a response": CLOSE,
    "noise": NOISE,
    "incomplete head": b"HTTP/1.1 200 OK\r\nContent-Le" + CLOSE,
    "incomplete body": b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nfive!" + CLOSE,
    "body without length": b"HTTP/1.1 200 OK\r\n\r\nuntil the end" + CLOSE,
    "no length, kept open": b"HTTP/1.1 200 OK\r\n\r\nuntil the end",
    "two lengths": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
    "twice the same length": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
    "length beside chunks": b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nabc\r\n0\r\n\r\n",
    "too many interim responses": b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" * 1000,
    "bad length": b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nabcde",
    "huge length": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc",
    "length above the maximum": b"HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nabc",
    "long error": answer(500, b"x" * (64 * 1024 + 1)),
    "long head": b"HTTP/1.1 200 OK\r\nX-Pad: " + b"x" * 100_000,
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
}
# Responses that state that the request did not run
NEVER_RAN = {
    "503 rejected": answer(503, headers="X-Rejected: 1\r\n"),
    "504 rejected": answer(504, headers="X-Rejected: 1\r\n"),
}


@pytest.mark.parametrize("response", MAY_HAVE_RUN.values(), ids=MAY_HAVE_RUN.keys())
def test_an_unsafe_request_that_may_have_run_fails_and_is_never_retried(
    response: bytes, tmp_path: Path
) -> None:
    async def test() -> None:
        server = Server(response)
        async with world(tmp_path, server) as scene:
            assert (await scene.ask("a", "pay")).status == 502
            assert (await scene.ask("b", "pay")).body == b"done"  # not affected by the failed attempt
            assert [seen.id for seen in server.seen] == ["a", "b"]

    run(test())


@pytest.mark.parametrize("rejection", NEVER_RAN.values(), ids=NEVER_RAN.keys())
def test_an_unsafe_request_that_was_rejected_is_retried(rejection: bytes, tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(rejection)
        async with world(tmp_path, server) as scene:
            assert (await scene.ask("a", "pay")).body == b"done"
            assert [seen.id for seen in server.seen] == ["a", "a"]

    run(test())


def test_an_unsafe_request_whose_connection_was_refused_is_retried(tmp_path: Path) -> None:
    async def test() -> None:
        down = Server(name="down")
        up = Server(name="up")
        async with world(tmp_path, down, up) as scene:
            await down.stop()
            for n in range(6):  # enough that the server that is down is selected too
                assert (await scene.ask(f"{n}", "pay")).body == b"done"
            assert sorted(seen.id for seen in up.seen) == [f"{n}" for n in range(6)]

    run(test())


def test_an_attempt_without_a_response_times_out_and_closes_its_connection(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(HANG)
        async with world(tmp_path, server) as scene:
            assert (await scene.ask("a", "pay", budget="0.3")).status == 502
            await until(lambda: server.lost == 1)
            assert len(server.seen) == 1

    run(test())


def test_a_valid_response_followed_by_more_data_is_served_and_its_connection_closed(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server(answer(200, b"one") + answer(200, b"two"), answer(200, b"three") + NOISE)
        async with world(tmp_path, server) as scene:
            assert [(await scene.ask(id)).body for id in "abc"] == [b"one", b"three", b"done"]
            assert [seen.connection for seen in server.seen] == [1, 2, 3]

    run(test())


def test_interim_and_chunked_responses_are_read_and_bodies_are_passed_on_unchanged(tmp_path: Path) -> None:
    async def test() -> None:
        body = bytes(range(256)) * 256
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        server = Server(b"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n" + answer(200, body), chunked)
        async with world(tmp_path, server) as scene:
            assert (await scene.ask("a")).body == body
            assert (await scene.ask("b")).body == b"abcde"
            assert [seen.connection for seen in server.seen] == [1, 1]

    run(test())


def test_target_id_key_and_body_are_forwarded_unchanged(tmp_path: Path) -> None:
    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            await scene.ask("a", "save", body=b"x" * 65536, query="?obj=7f&z=%2F", extra="X-Other: 1\r\n")
            [seen] = server.seen
            assert seen.first == "POST /save?obj=7f&z=%2F HTTP/1.1"
            assert (seen.id, seen.headers["idempotency-key"]) == ("a", "key-a")
            assert seen.body == b"x" * 65536
            assert 0.0 < float(seen.headers["x-budget"]) < 20.0

    run(test())


class Attempts:
    """Sends attempts through an `Upstream` without a node, and records their results."""

    def __init__(self, address: str, **changes: float) -> None:
        values = {"connect_timeout_ms": 5000.0, "keepalive_ms": 60_000.0} | changes
        loop = asyncio.get_running_loop()
        self.upstream = Upstream(
            loop, values["connect_timeout_ms"], values["keepalive_ms"], lambda: 100, TimerQueue(loop)
        )
        host, port = address.split(":")
        self.address: Address = (host, int(port))
        self.results: list[Result] = []

    def send(self, id: str, alive: list[bool] | None = None) -> Attempt:
        results = self.results

        class RecordedAttempt(Attempt):
            def may_send(self) -> bool:
                return alive is None or alive[0]

            def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
                results.append(result)

        message = Message(b"GET", b"/play/1", id, "play", 20_000.0, None, False, None, None, b"")
        attempt = RecordedAttempt(message, 1, self.address, 20_000.0)
        self.upstream.send(attempt)
        return attempt

    async def result(self, count: int) -> Result:
        await until(lambda: len(self.results) == count)
        return self.results[-1]


class Blocking:
    """A server in a thread of its own, which can act while the event loop is blocked."""

    def __init__(self, *, reset: bool) -> None:
        self._socket = socket.create_server(("127.0.0.1", 0))
        self._socket.settimeout(LIMIT_S)
        self.address = f"127.0.0.1:{self._socket.getsockname()[1]}"
        self.got: list[bytes] = []
        self._reset, self._end = reset, threading.Event()
        self._thread = threading.Thread(
            target=self._serve, daemon=True
        )  # does not block the exit if a test fails
        self._thread.start()

    def _serve(self) -> None:
        connection, _ = self._socket.accept()
        self.got.append(connection.recv(65536))
        connection.sendall(answer())
        self._end.wait(LIMIT_S)
        if self._reset:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.close()
        connection, _ = self._socket.accept()
        self.got.append(connection.recv(65536))
        connection.sendall(answer())
        connection.close()
        self._socket.close()

    def end_connection(self) -> None:
        """End the connection, and block the calling thread, which runs the event loop, until that is done."""
        self._end.set()
        time.sleep(0.05)


@pytest.mark.parametrize("reset", [True, False], ids=["reset", "end"])
def test_a_connection_that_was_closed_unnoticed_by_the_loop_is_not_reused(reset: bool) -> None:
    """A request written to it would end as a reset and count as one that may have run, so it would fail."""

    async def test() -> None:
        server = Blocking(reset=reset)
        attempts = Attempts(server.address)
        attempts.send("a")
        assert await attempts.result(1) is Result.SERVED
        server.end_connection()
        attempts.send("b")
        assert await attempts.result(2) is Result.SERVED
        assert [b"X-Call-Id: b" in got for got in server.got] == [False, True]

    run(test())


def test_an_attempt_whose_write_fails_never_ran(monkeypatch: pytest.MonkeyPatch) -> None:
    """The last byte was not sent, so a request of any class may be retried."""
    monkeypatch.setattr(Connection, "is_reusable", lambda self: not self._lost)

    async def test() -> None:
        server = Blocking(reset=True)
        attempts = Attempts(server.address)
        attempts.send("a")
        assert await attempts.result(1) is Result.SERVED
        server.end_connection()
        attempts.send("b")
        assert await attempts.result(2) is Result.UNREACHABLE
        attempts.send("c")
        assert await attempts.result(3) is Result.SERVED

    run(test())


def test_a_request_that_ended_while_connecting_is_not_sent() -> None:
    """The server may start to drain, or the request may end, while the connection is opened."""

    async def test() -> None:
        server = Server()
        await server.start()
        attempts = Attempts(server.address)
        alive = [True]
        attempts.send("a", alive)
        alive[0] = False
        assert await attempts.result(1) is Result.MOOT
        attempts.send("b")  # the connection itself is usable
        assert await attempts.result(2) is Result.SERVED
        assert [seen.id for seen in server.seen] == ["b"]
        assert server.connections == 1
        await server.stop()

    run(test())


def test_idle_connections_are_closed_well_before_the_servers_keepalive_time() -> None:
    async def test() -> None:
        server = Server()
        await server.start()
        attempts = Attempts(server.address, keepalive_ms=400.0)
        attempts.send("a")
        assert await attempts.result(1) is Result.SERVED
        await until(lambda: server.lost == 1)
        assert attempts.upstream.count() == 0
        await server.stop()

    run(test())


def test_the_most_recently_used_connection_is_reused_first_and_idle_ones_can_be_closed() -> None:
    async def test() -> None:
        server = Server()
        server.gate.clear()
        await server.start()
        attempts = Attempts(server.address)
        attempts.send("a")
        attempts.send("b")
        await until(lambda: len(server.seen) == 2)
        server.gate.set()
        await attempts.result(2)
        for n in range(3, 6):
            attempts.send(f"{n}")
            await attempts.result(n)
        assert len({seen.connection for seen in server.seen[2:]}) == 1
        attempts.upstream.close_idle(1)
        await until(lambda: server.lost == 2)
        await server.stop()

    run(test())


class FailingLoop:
    """The running event loop, except that connecting fails with a given exception."""

    def __init__(self, problem: Exception) -> None:
        self._problem, self._loop = problem, asyncio.get_running_loop()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._loop, name)

    async def create_connection(self, *args: Any, **more: Any) -> None:
        raise self._problem


@pytest.mark.parametrize(
    ("problem", "result"),
    [
        (OSError(errno.EMFILE, "too many open files"), Result.MOOT),
        (OSError(errno.ECONNREFUSED, "refused"), Result.UNREACHABLE),
        (RuntimeError("a fault"), Result.UNREACHABLE),
    ],
)
def test_a_failure_to_connect_ends_the_attempt_and_a_local_shortage_is_moot(
    problem: Exception, result: Result, caplog: pytest.LogCaptureFixture
) -> None:
    async def test() -> None:
        attempts = Attempts("127.0.0.1:1")
        attempts.upstream._loop = cast(asyncio.AbstractEventLoop, FailingLoop(problem))
        with caplog.at_level(logging.CRITICAL):
            attempts.send("a")
            assert await attempts.result(1) is result
        await until(lambda: attempts.upstream.count() == 0)

    run(test())


def test_an_attempt_without_a_free_socket_is_moot() -> None:
    async def test() -> None:
        server = Server()
        await server.start()
        attempts = Attempts(server.address)
        attempts.upstream._free_sockets = lambda: 0
        attempts.send("a")
        assert await attempts.result(1) is Result.MOOT and not server.connections
        await server.stop()

    run(test())


def test_cancelling_an_attempt_while_connecting_leaves_no_connection() -> None:
    async def test() -> None:
        server = Server()
        await server.start()
        attempts = Attempts(server.address)
        for n in range(20):
            attempt = attempts.send("a")
            for _ in range(n % 4):  # cancels at different steps of connecting
                await asyncio.sleep(0)
            attempt.abort(Result.CANCELLED)
        assert attempts.results == [Result.CANCELLED] * 20
        await until(lambda: attempts.upstream.count() == 0 and server.lost == server.connections)
        await server.stop()

    run(test())


def test_huge_values_in_a_load_report_are_capped() -> None:
    """A queue length of 1e300, raised to the third power, made every server selection fail."""
    report = read_report(b"queue=1e300")
    assert report == {"queue": 1e6}
    settings = api.Settings([api.RequestClass("read", 1000.0, 3000.0, repeat=api.Repeat.SAFE)])
    balancer = Balancer(settings, 1)
    balancer.handle(api.ServerList(api.ListKind.FULL, 1, [api.ServerEntry(7)]), 0.0)
    for id in "ab":
        [send] = balancer.handle(api.Request(id, "read", 3000.0), 1.0)
        assert isinstance(send, api.Send)
        balancer.handle(api.AttemptEnded(id, 0, 7, Result.SERVED, 5.0, True, report), 6.0)


def test_a_malformed_load_report_counts_as_none() -> None:
    assert read_report(b"inflight=7,queue=-2, util=0.61") == {"inflight": 7.0, "queue": 0.0, "util": 0.61}
    for text in (b"", b"queue", b"queue=1=2", b"queue=x", b"queue=nan", b"queue=inf", b"\xff=1"):
        assert read_report(text) is None


def test_unsafe_requests_use_fresh_connections_and_these_do_not_accumulate(tmp_path: Path) -> None:
    """An idle connection may be dead unnoticed. A request lost on it may have run and can't be retried."""

    async def test() -> None:
        server = Server()
        async with world(tmp_path, server) as scene:
            for id, cls in (("a", "read"), ("b", "pay"), ("c", "pay"), ("d", "read"), ("e", "save")):
                assert (await scene.ask(id, cls)).status == 200
            assert [seen.connection for seen in server.seen] == [1, 2, 3, 3, 3]
            assert scene.node is not None and scene.node._upstream.count() == 1
            await until(lambda: server.lost == 2)

    run(test())
