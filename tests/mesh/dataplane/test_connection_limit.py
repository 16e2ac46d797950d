"""Which connection a listener at its connection limit closes for a new one.

Guards against cutting off responses. Rejected callers retry on new connections, which stay open for a minute,
so that a busy listener reaches its limit (1,266 connections in the failing runs, after about 30 s). It then
closed connections in stage `BLOCKED` before idle ones, although their response was not sent yet. A response
of 90 KB takes some milliseconds to send; responses with 65,263 and 130,799 unsent bytes were cut off. In the
first of these runs after the fix, listeners at the limit (1,226 and 1,243 of 1,266 connections idle) closed
idle connections only.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from orchidferry.mesh.dataplane.listener import CallerConnection, Listener
from orchidferry.node.connection_end import EndCause, Owed
from orchidferry.node.connection_stage import Stage
from orchidferry.node.flow import Flow, MemoryPool
from orchidferry.node.frontend import MAX_CANDIDATES
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message

MAX_CONNECTIONS = 4
BODY = b"x" * 16 * 1024 * 1024  # more than the kernel takes of it at once
TIMEOUT_S = 20.0
REQUEST = b"GET /x/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n%b\r\n"


class Source:
    """The source of a streamed body."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def flow_cancelled(self) -> None: ...


class PendingRequest:
    """A request that is never answered."""

    def client_disconnected(self) -> None: ...


def buffered(answer: Callable[[Reply], None]) -> None:
    answer(Reply(200, BODY))


def streamed(answer: Callable[[Reply], None]) -> None:
    flow = Flow(Source(), len(BODY), 0.0)
    answer(Reply(200, b"", flow=flow))
    flow.push(BODY, 0.0)
    flow.finish()


class Client:
    """A caller that reads on demand."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._loop = asyncio.get_running_loop()

    async def send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._socket, data)

    async def read(self, size: int) -> bytes:
        """Read `size` bytes of a response's body, after its head; fewer if the connection ends before."""
        data = b""
        while b"\r\n\r\n" not in data and (chunk := await self._receive()):
            data += chunk
        body = bytearray(data.partition(b"\r\n\r\n")[2])
        while len(body) < size and (chunk := await self._receive()):
            body += chunk
        return bytes(body)

    async def _receive(self) -> bytes:
        try:
            return await self._loop.sock_recv(self._socket, 1 << 20)
        except ConnectionResetError:
            return b""

    def close(self) -> None:
        self._socket.close()


class Harness:
    """A listener and its callers. A request for `/held/` is never answered."""

    def __init__(self, respond: Callable[[Callable[[Reply], None]], None]) -> None:
        self._respond = respond
        self.listener = Listener(self._accept, MAX_CONNECTIONS, MemoryPool(1 << 20), lambda: True)
        self._address = ("", 0)
        self._clients: list[Client] = []

    def _accept(self, message: Message, answer: Callable[[Reply], None]) -> PendingRequest:
        if not message.target.startswith(b"/held/"):
            self._respond(answer)
        return PendingRequest()

    async def listen(self) -> None:
        self._address = await self.listener.listen(asyncio.get_running_loop(), ("127.0.0.1", 0))

    async def connect(self) -> Client:
        sock = socket.socket()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        await asyncio.get_running_loop().sock_connect(sock, self._address)
        self._clients.append(Client(sock))
        return self._clients[-1]

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await asyncio.sleep(0.001)

    async def client_in(self, stage: Stage, data: bytes) -> Client:
        """Return a caller that has sent `data`, once its connection has reached the stage."""
        before = self.listener.count_in(stage)
        client = await self.connect()
        await client.send(data)
        await self.wait_until(lambda: self.listener.count_in(stage) > before)
        return client

    def close(self) -> None:
        for client in self._clients:
            client.close()
        self.listener.close_listener()
        self.listener.abort()


@asynccontextmanager
async def running_harness(
    respond: Callable[[Callable[[Reply], None]], None] = buffered,
) -> AsyncIterator[Harness]:
    harness = Harness(respond)
    await harness.listen()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield harness
    finally:
        harness.close()


@pytest.mark.parametrize("respond", [buffered, streamed])
@pytest.mark.parametrize(
    ("headers", "stage"), [(b"", Stage.BLOCKED), (b"Connection: close\r\n", Stage.LEAVING)]
)
@pytest.mark.parametrize("idle", [0, 1])
def test_a_response_that_is_being_sent_is_not_cut_for_a_new_connection(
    respond: Callable[[Callable[[Reply], None]], None], headers: bytes, stage: Stage, idle: int
) -> None:
    async def main() -> None:
        async with running_harness(respond) as harness:
            reading = await harness.client_in(stage, REQUEST % headers)
            idlers = [await harness.connect() for _ in range(idle)]
            for _ in range(MAX_CONNECTIONS - 1 - idle):
                held = REQUEST.replace(b"/x/", b"/held/") % b""
                await harness.client_in(Stage.SERVING, held)
            await harness.wait_until(lambda: harness.listener.count() == MAX_CONNECTIONS)
            newest = await harness.connect()
            await harness.wait_until(lambda: harness.listener.evicted == 1)
            assert await reading.read(len(BODY)) == BODY
            # An idle connection is closed for the new one; if there is none, the new one is closed.
            evicted = idlers[0] if idlers else newest
            assert await evicted.read(1) == b""
            assert not harness.listener.incomplete_ends

    asyncio.run(main())


def test_each_eviction_checks_a_bounded_number_of_connections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Many connections with unread data arrive in one iteration of the loop: none of them is evictable."""
    checks: list[int] = []

    def never(self: CallerConnection) -> bool:
        checks.append(1)
        return False

    monkeypatch.setattr(CallerConnection, "is_evictable", never)

    async def main() -> None:
        async with running_harness() as harness:
            harness.listener.max_connections = 4 * MAX_CANDIDATES
            clients = [await harness.connect() for _ in range(4 * MAX_CANDIDATES)]
            await harness.wait_until(lambda: harness.listener.count() == len(clients))
            for number in range(1, MAX_CANDIDATES):
                await harness.connect()
                await harness.wait_until(lambda number=number: harness.listener.evicted == number)  # type: ignore[misc]
            assert len(checks) <= MAX_CANDIDATES * harness.listener.evicted
            assert harness.listener.count() == len(clients)

    asyncio.run(main())


def test_connections_that_end_while_their_client_is_owed_something_are_counted() -> None:
    """The counts per cause, as the metrics report them."""

    async def main() -> None:
        async with running_harness() as harness:
            reading = await harness.client_in(Stage.BLOCKED, REQUEST % b"")
            held = await harness.client_in(Stage.SERVING, REQUEST.replace(b"/x/", b"/held/") % b"")
            held.close()
            await harness.wait_until(lambda: harness.listener.count() == 1)
            harness.listener.abort()
            assert len(await reading.read(len(BODY))) < len(BODY)
            assert harness.listener.incomplete_ends == {
                (EndCause.CLIENT_CLOSED, Owed.RESPONSE): 1,
                (EndCause.SHUTDOWN, Owed.REST_OF_RESPONSE): 1,
            }

    asyncio.run(main())
