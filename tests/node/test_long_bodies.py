"""Streamed bodies over sockets: complete delivery, bounded memory, and failures on either side."""

from __future__ import annotations

import asyncio
import hashlib
import socket
from collections.abc import Callable
from itertools import pairwise
from pathlib import Path

import pytest

from orchidferry.balancing.interface import Result
from orchidferry.node import flow as flow_module
from orchidferry.node import frontend, node, upstream, upstream_connection
from orchidferry.node.attempt import Attempt
from orchidferry.node.connection_stage import LIMITS_S, Stage
from tests.node.peers import LIMIT_S, Client, Seen, Server, World, answer, request, run, until, world

MB = 1024 * 1024
LONG = bytes(range(256)) * (3 * MB // 256)
MAX_UPLOADS = 10  # of one body, as long as it is refused as not run


def digest(data: bytes) -> str:
    return hashlib.blake2b(data, digest_size=8).hexdigest()


class LongServer(Server):
    """A server that reads bodies incrementally, and not at all while `gate` is not set.

    `breaks_at`: bytes of bodies after which it closes the connection; `early`: an answer that it sends before
    it reads the body.
    """

    def __init__(self, *script: bytes, breaks_at: int = 0, early: bytes = b"", **kwargs: object) -> None:
        super().__init__(*script, **kwargs)  # type: ignore[arg-type]
        self.breaks_at = breaks_at
        self.early = early
        self.heads: list[str] = []  # of all requests
        self.whole: list[bytes] = []  # bodies that were received completely
        self.read = 0  # bytes of bodies
        self.written = 0  # bytes of answers

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self.connections += 1
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.heads.append(head)
                if self.early:
                    writer.write(self.early)
                body = await self._body(reader, head)
                self.whole.append(body)
                data = self.left.pop(0) if self.left else self.usual
                for at in range(0, len(data), 65536):
                    writer.write(data[at : at + 65536])
                    await writer.drain()
                    self.written += len(data[at : at + 65536])
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.lost += 1
            self._writers.discard(writer)
            writer.close()

    async def _body(self, reader: asyncio.StreamReader, head: str) -> bytes:
        lower = head.lower()
        body = b""

        async def take(size: int) -> bytes:
            got = b""
            while len(got) < size:
                await self.gate.wait()
                piece = await reader.read(min(size - len(got), 65536))
                if not piece:
                    raise asyncio.IncompleteReadError(got, size)
                got += piece
                self.read += len(piece)
                if self.breaks_at and self.read >= self.breaks_at:
                    raise ConnectionResetError
            return got

        if "transfer-encoding: chunked" in lower:
            while size := int((await reader.readline()).split(b";")[0], 16):
                body += await take(size)
                await reader.readline()
            await reader.readline()
            return body
        if "content-length:" in lower:
            return await take(int(lower.split("content-length:")[1].split("\r\n")[0]))
        return b""


def chunked(data: bytes, size: int = 50_000) -> bytes:
    pieces = [data[at : at + size] for at in range(0, len(data), size)]
    return b"".join(b"%x;note=1\r\n%b\r\n" % (len(p), p) for p in pieces) + b"0\r\nX-Trailer: t\r\n\r\n"


def chunked_request(id: str, cls: str, data: bytes) -> bytes:
    head = request(id, cls).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + chunked(data)


async def read_long(client: Client) -> tuple[int, bytes, bool]:
    """Return the status, the body, and whether the body is complete."""
    async with asyncio.timeout(LIMIT_S):
        head = (await client.reader.readuntil(b"\r\n\r\n")).decode().lower()
        status = int(head.split()[1])
        body = b""
        try:
            if "transfer-encoding: chunked" in head:
                while size := int(await client.reader.readline(), 16):
                    body += await client.reader.readexactly(size)
                    await client.reader.readline()
                await client.reader.readline()
            else:
                length = int(head.split("content-length:")[1].split("\r\n")[0])
                body = await client.reader.readexactly(length)
        except asyncio.IncompleteReadError as part:
            return status, body + part.partial, False
        except (ConnectionError, ValueError):
            return status, body, False
        return status, body, True


def is_idle(scene: World) -> bool:
    """Return whether the node has no state of any request left."""
    assert scene.node is not None
    node = scene.node
    return not node._pending and not node.attempts and not node._streaming and not node._balancer.inflight


@pytest.fixture
def results(monkeypatch: pytest.MonkeyPatch) -> list[Result]:
    """The results of all attempts, in the order in which they ended."""
    seen: list[Result] = []
    end = Attempt.end

    def spy(self: Attempt, result: Result, *rest: object) -> None:
        if not self.over:
            seen.append(result)
        end(self, result, *rest)  # type: ignore[arg-type]

    monkeypatch.setattr(Attempt, "end", spy)
    return seen


# Requests


@pytest.mark.parametrize("coding", ["length", "chunked"])
def test_a_long_request_body_reaches_its_server_unchanged(coding: str, tmp_path: Path) -> None:
    """Long bodies were rejected with 413."""

    async def test() -> None:
        server = LongServer()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            whole = (
                request("u", "save", body=LONG) if coding == "length" else chunked_request("u", "save", LONG)
            )
            client.write(whole + request("after"))  # with a pipelined request
            assert (await client.read()).status == 200
            assert (await client.read()).status == 200
            assert [digest(body) for body in server.whole] == [digest(LONG), digest(b"")]
            assert "X-Call-Id: u\r\n" in server.heads[0] and "Idempotency-Key: key-u\r\n" in server.heads[0]
            assert is_idle(scene)

    run(test())


def test_a_server_that_does_not_read_slows_down_the_client(tmp_path: Path) -> None:
    """The amount of buffered data is bounded, however long the body is."""

    async def test() -> None:
        server = LongServer()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            body = b"x" * (24 * MB)
            client.write(request("u", "pay", body=body))
            await until(lambda: bool(server.heads))
            assert scene.node is not None
            [pending] = scene.node._pending.values()
            flow = pending.message.flow
            assert flow is not None
            size = -1
            while size != flow.received_bytes:  # until no more bytes arrive
                size = flow.received_bytes
                await asyncio.sleep(0.3)
            assert size < 12 * MB  # of 24 MB: the kernel's buffers of both sockets, and little in the node
            assert sum(map(len, flow._replay)) + sum(map(len, flow._unfed)) <= flow_module.MAX_REPLAY_BYTES
            server.gate.set()
            assert (await client.read()).status == 200
            assert len(server.whole[0]) == 24 * MB

    run(test())


def test_the_budget_counts_from_the_last_byte(tmp_path: Path, results: list[Result]) -> None:
    """The upload itself takes longer than the budget."""

    async def test() -> None:
        server = LongServer()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            whole = request("u", "save", budget="0.6", body=LONG)
            for at in range(0, len(whole), len(whole) // 8):
                client.write(whole[at : at + len(whole) // 8])
                await asyncio.sleep(0.15)
            assert (await client.read()).status == 200
            assert results == [Result.SERVED]

    run(test())


async def upload_in_two_parts(scene: World, whole: bytes, first_part_ended: Callable[[], bool]) -> Seen:
    """Send the first part of a request, and the rest once `first_part_ended()` is true; return the answer."""
    client = await scene.client()
    client.write(whole[:600_000])
    await until(first_part_ended)
    client.write(whole[600_000:])
    return await client.read()


def test_an_upload_that_breaks_early_is_retried_from_its_start(tmp_path: Path, results: list[Result]) -> None:
    """An upload whose connection breaks while all of it is kept is retried, and runs once.

    This test failed twice because one upload of six was not served, for two reasons seen in trials. First,
    the rest was written when the server had closed the connection and the node had not noticed yet: a correct
    `502 failed` with RESET, as the last byte was written. So the test sends the rest only after the node has
    recorded the result. Second, the event loop was blocked for 0.7 s before the second retry, so that the
    delay control saw more than the objective of 0.5 s and refused the request with `503 refused` and
    Retry-After 0.1. That is allowed, as the request has not run, and the client repeats it.
    """

    async def test() -> None:
        bad = LongServer(name="bad", breaks_at=100_000)
        good = LongServer(name="good")
        body = LONG[: 900 * 1024]
        async with world(tmp_path, bad, good) as scene:
            for n in range(6):
                answer = None
                for attempt in range(MAX_UPLOADS):
                    ended, read = len(results), good.read

                    def first_part_ended(ended: int = ended, read: int = read) -> bool:
                        return len(results) > ended or good.read - read >= 500_000

                    whole = request(f"u{n}-{attempt}", "pay", body=body)  # unsafe, but it never ran
                    answer = await upload_in_two_parts(scene, whole, first_part_ended)
                    if answer.status != 503:
                        break
                    assert answer.headers["retry-after"] and results[-1] is Result.UNREACHABLE
                    assert len(good.whole) == n  # a refused request has not run
                    await asyncio.sleep(float(answer.headers["retry-after"]))
                assert answer is not None and answer.status == 200
                assert len(good.whole) == n + 1
            assert bad.heads, "the bad server was never selected"
            assert {digest(body) for body in good.whole} == {digest(body)}
            assert Result.RESET not in results
            resent = [pair for pair in pairwise(results) if pair == (Result.UNREACHABLE, Result.SERVED)]
            assert resent, "no broken upload was retried"
            assert is_idle(scene)

    run(test())


def test_an_upload_that_breaks_late_is_refused(tmp_path: Path, results: list[Result]) -> None:
    """More was sent than is kept for a retry. The upload never ran, as its last byte was not sent."""

    async def test() -> None:
        servers = [LongServer(name=name, breaks_at=2 * MB + 1) for name in "ab"]
        async with world(tmp_path, *servers) as scene:
            client = await scene.client()
            client.write(request("u", "pay", body=LONG * 10))
            status, _, _ = await read_long(client)
            assert status == 503
            assert results == [Result.UNREACHABLE]
            assert sum(len(server.heads) for server in servers) == 1
            assert await client.closed()
            assert is_idle(scene)

    run(test())


def test_an_unsafe_request_that_was_sent_completely_is_not_retried(
    tmp_path: Path, results: list[Result]
) -> None:
    async def test() -> None:
        servers = [LongServer(name=name, usual=answer(500)) for name in "ab"]
        async with world(tmp_path, *servers) as scene:
            assert (await scene.ask("u", "pay", body=LONG)).status == 502
            assert sum(len(server.whole) for server in servers) == 1
            assert results == [Result.ERROR]

    run(test())


def test_after_an_early_answer_the_rest_of_the_request_body_is_dropped(tmp_path: Path) -> None:
    async def test() -> None:
        server = LongServer(early=answer(503, headers="X-Rejected: 1\r\n"))
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            whole = request("u", "pay", budget="0.3", body=LONG * 2)
            client.write(whole[: 2 * MB])
            head = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), LIMIT_S)
            assert head.split()[1] in (b"502", b"503")
            assert b"Connection: close" in head
            client.write(whole[2 * MB :])  # a client that reads only after it has sent all is not reset
            async with asyncio.timeout(LIMIT_S):
                await client.reader.read()
            assert is_idle(scene)

    run(test())


@pytest.mark.parametrize("how", ["leaves", "falls silent"])
def test_an_unfinished_upload_leaves_no_state(
    how: str, tmp_path: Path, results: list[Result], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(frontend, "SWEEP_S", 0.02)
    monkeypatch.setitem(LIMITS_S, Stage.READING, 0.3)
    monkeypatch.setitem(LIMITS_S, Stage.NEW, 0.3)

    async def test() -> None:
        server = LongServer()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("u", "pay", body=LONG)[: 2 * MB])
            await until(lambda: server.read > MB)
            if how == "leaves":
                client.writer.transport.abort()
            else:
                assert (await client.read()).status == 408
                assert await client.closed()
            await until(lambda: server.lost == 1)
            await until(lambda: is_idle(scene))
            assert server.whole == [] and results == [Result.UNREACHABLE]
            assert (await scene.ask("next")).status == 200

    run(test())


def test_an_upload_times_out_if_its_server_stops_reading(
    tmp_path: Path, results: list[Result], monkeypatch: pytest.MonkeyPatch
) -> None:
    for module in (upstream, upstream_connection):
        monkeypatch.setattr(module, "UPLOAD_STALL_S", 0.4)

    async def test() -> None:
        server = LongServer()
        server.gate.clear()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("u", "pay", body=b"x" * (24 * MB)))
            status, _, _ = await read_long(client)
            assert status == 503
            assert results == [Result.UNREACHABLE]
            assert is_idle(scene)

    run(test())


@pytest.mark.parametrize("coding", ["length", "chunked"])
def test_a_body_beyond_the_maximum_length_is_rejected(
    coding: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for module in (flow_module, frontend):
        monkeypatch.setattr(module, "MAX_STREAMED_BODY", MB)

    async def test() -> None:
        server = LongServer()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            whole = (
                request("u", "pay", body=LONG) if coding == "length" else chunked_request("u", "pay", LONG)
            )
            client.write(whole[: 2 * MB])
            assert (await client.read()).status == 413
            await until(lambda: is_idle(scene))
            assert server.whole == []

    run(test())


def test_a_trailer_field_does_not_replace_a_header(tmp_path: Path) -> None:
    async def test() -> None:
        server = LongServer()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            whole = chunked_request("u", "pay", b"body" * 5000)
            trailer = b"X-Call-Id: other\r\nIdempotency-Key: k\r\n"
            client.write(whole.replace(b"X-Trailer: t\r\n", trailer))
            assert (await client.read()).status == 200
            assert server.whole == [b"body" * 5000]
            assert "X-Call-Id: u\r\n" in server.heads[0] and "dempotency" not in server.heads[0]

    run(test())


def test_a_client_that_expects_100_continue_gets_it(tmp_path: Path) -> None:
    """Such a client waited until its budget had ended (RFC 9110, section 10.1.1)."""

    async def test() -> None:
        server = LongServer()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            whole = request("u", "save", body=LONG, extra="Expect: 100-continue\r\n")
            head = whole[: -len(LONG)]
            client.write(head)
            line = await asyncio.wait_for(client.reader.readuntil(b"\r\n\r\n"), LIMIT_S)
            assert line == b"HTTP/1.1 100 Continue\r\n\r\n"
            client.write(LONG)
            assert (await client.read()).status == 200
            assert server.whole == [LONG]

    run(test())


# Answers

CODED: dict[str, Callable[[bytes], bytes]] = {
    "length": lambda data: answer(200, data),
    "chunked": lambda data: b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunked(data),
}


@pytest.mark.parametrize("coding", CODED)
def test_a_long_answer_reaches_its_client_and_both_connections_are_reused(
    coding: str, tmp_path: Path
) -> None:
    """Long answers were treated as malformed."""

    async def test() -> None:
        server = LongServer(CODED[coding](LONG))
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a"))
            status, body, whole = await read_long(client)
            assert (status, digest(body), whole) == (200, digest(LONG), True)
            assert (await client.ask("b")).status == 200
            assert server.connections == 1
            assert is_idle(scene)

    run(test())


def test_an_answer_that_ends_with_its_connection_is_complete_if_the_server_announces_that(
    tmp_path: Path,
) -> None:
    async def test() -> None:
        head = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

        class Closing(Server):
            async def script(self, message: object) -> bytes:
                from tests.node.peers import CLOSE

                return head + LONG + CLOSE

        server = Closing()
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a"))
            status, body, whole = await read_long(client)
            assert (status, digest(body), whole) == (200, digest(LONG), True)
            assert is_idle(scene)

    run(test())


def test_a_client_that_reads_slowly_slows_down_the_server_and_gets_the_whole_answer(tmp_path: Path) -> None:
    async def test() -> None:
        data = b"y" * (30 * MB)
        server = LongServer(answer(200, data))
        async with world(tmp_path, server) as scene:
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
            sock.setblocking(False)
            await asyncio.get_running_loop().sock_connect(sock, scene.address)
            reader, writer = await asyncio.open_connection(sock=sock, limit=16384)
            writer.write(request("a"))
            written = -1
            while written != server.written or not written:
                written = server.written
                await asyncio.sleep(0.3)
            assert written < 20 * MB  # of 30 MB
            async with asyncio.timeout(LIMIT_S):
                await reader.readuntil(b"\r\n\r\n")
                got = 0
                while got < len(data):
                    got += len(await reader.read(65536))
            assert got == len(data)
            writer.close()
            await until(lambda: is_idle(scene))

    run(test())


@pytest.mark.parametrize("coding", CODED)
def test_a_client_can_tell_that_an_answer_is_incomplete(coding: str, tmp_path: Path) -> None:
    async def test() -> None:
        server = LongServer(CODED[coding](LONG)[: 2 * MB])
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a"))
            await until(lambda: server.written == 2 * MB)
            server.hang_up()
            status, body, whole = await read_long(client)
            assert status == 200 and not whole and LONG.startswith(body)
            await until(lambda: is_idle(scene))
            assert scene.node is not None
            assert b"node.calls.read.failure=1\n" in scene.node.render_metrics()
            assert b"node.calls.read.success=0\n" in scene.node.render_metrics()
            assert (await scene.ask("b")).status == 200

    run(test())


def test_an_answer_beyond_the_maximum_length_is_aborted(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(flow_module, "MAX_STREAMED_BODY", MB)

    async def test() -> None:
        server = LongServer(CODED["chunked"](LONG))
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a"))
            status, body, whole = await read_long(client)
            assert status == 200 and not whole and len(body) <= MB
            await until(lambda: is_idle(scene))

    run(test())


def test_a_disconnect_of_the_client_ends_its_answer(tmp_path: Path) -> None:
    async def test() -> None:
        server = LongServer(answer(200, b"z" * (30 * MB)))
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a"))
            await client.reader.readexactly(1000)
            client.writer.transport.abort()
            await until(lambda: server.lost == 1)
            await until(lambda: is_idle(scene))
            assert server.written < 30 * MB

    run(test())


def test_an_answer_that_stalls_is_aborted(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(flow_module, "STALL_S", 0.3)
    monkeypatch.setattr(node, "FLOW_CHECK_S", 0.05)

    async def test() -> None:
        server = LongServer(answer(200, LONG)[: 2 * MB])  # and nothing after that
        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("a"))
            status, body, whole = await read_long(client)
            assert status == 200 and not whole and body
            await until(lambda: server.lost == 1)
            assert is_idle(scene)

    run(test())


def test_a_long_answer_after_its_client_has_disconnected_is_dropped(tmp_path: Path) -> None:
    async def test() -> None:
        server = LongServer(answer(200, LONG))
        server.gate.clear()

        async with world(tmp_path, server) as scene:
            client = await scene.client()
            client.write(request("u", "pay", body=b"x"))
            await until(lambda: bool(server.heads))
            client.writer.transport.abort()
            assert scene.node is not None
            await until(lambda: scene.node is not None and not scene.node._pending)
            server.gate.set()
            await until(lambda: is_idle(scene))
            await until(lambda: server.lost == 1)

    run(test())
