"""A listener at its limit of connections: which one it closes for a new one.

A download that a server had answered with 200 was cut in the middle by the proxy that had taken it, at the
end of a day, just as a configuration was sent. Through the day servers had gone, and callers that were
rejected had tried again, each time on a new connection; such a connection stays open for a minute. So the
listener with the most callers comes to its limit of 1,266 connections after half a minute, and from then on
each new connection closes another one. The one to be closed was sought by stage, and a connection whose
response was handed over but not sent counted as waiting for nothing: "blocked" came even before the idle
ones. A response of 90 KB takes some milliseconds to go out, and its connection was closed in these.

Days with four changes, no restart and fewer servers, on the sources before the repair, with a print where a
connection is closed; at 32.0 s the last configuration is sent:
    32.2848 sidecar-nadi-hall-4 abort by=connection_opened stage=BLOCKED unsent=65263 open=1267
    32.3008 sidecar-nadi-hall-4 abort by=connection_opened stage=BLOCKED unsent=130799 open=1267
    32.4597 sidecar-nadi-hall-4 abort by=connection_opened stage=BLOCKED unsent=130799 open=1267
The first of these days after the repair: the same listeners at their limit, idle ones closed, no answer cut.
    26.9065 sidecar-nadi-hall-3 listener: limit of connections reached, connections=1266 idle=1226 evicted=1
    28.8475 sidecar-nadi-hall-4 listener: limit of connections reached, connections=1266 idle=1243 evicted=1
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from orchidferry.mesh.dataplane.listener import CallerConnection, Listener
from orchidferry.node.client_connection import Stage
from orchidferry.node.connection_end import EndCause, Owed
from orchidferry.node.flow import Flow, MemoryPool
from orchidferry.node.frontend import MAX_CANDIDATES
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message

MAX_CONNECTIONS = 4
BODY = b"x" * 16 * 1024 * 1024  # more than the kernel takes of it at once
TIMEOUT_S = 20.0
REQUEST = b"GET /x/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: a\r\n%b\r\n"


class Source:
    """Where a streamed body comes from."""

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
    """A caller that reads when it is told to."""

    def __init__(self, sock: socket.socket) -> None:
        self._socket = sock
        self._loop = asyncio.get_running_loop()

    async def send(self, data: bytes) -> None:
        await self._loop.sock_sendall(self._socket, data)

    async def read(self, size: int) -> bytes:
        """Read so many bytes of a response's body, after its head; fewer if the connection ends before."""
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


class Scene:
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

    async def reaches(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await asyncio.sleep(0.001)

    async def client_in(self, stage: Stage, data: bytes) -> Client:
        """A caller whose connection comes into a stage by what it sends."""
        before = self.listener.count_in(stage)
        client = await self.connect()
        await client.send(data)
        await self.reaches(lambda: self.listener.count_in(stage) > before)
        return client

    def close(self) -> None:
        for client in self._clients:
            client.close()
        self.listener.close_listener()
        self.listener.abort()


@asynccontextmanager
async def scene(respond: Callable[[Callable[[Reply], None]], None] = buffered) -> AsyncIterator[Scene]:
    played = Scene(respond)
    await played.listen()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            yield played
    finally:
        played.close()


@pytest.mark.parametrize("respond", [buffered, streamed])
@pytest.mark.parametrize(
    ("headers", "stage"), [(b"", Stage.BLOCKED), (b"Connection: close\r\n", Stage.LEAVING)]
)
@pytest.mark.parametrize("idle", [0, 1])
def test_a_response_that_is_being_sent_is_not_cut_for_a_new_connection(
    respond: Callable[[Callable[[Reply], None]], None], headers: bytes, stage: Stage, idle: int
) -> None:
    async def play() -> None:
        async with scene(respond) as played:
            reading = await played.client_in(stage, REQUEST % headers)
            idlers = [await played.connect() for _ in range(idle)]
            for _ in range(MAX_CONNECTIONS - 1 - idle):
                held = REQUEST.replace(b"/x/", b"/held/") % b""
                await played.client_in(Stage.SERVING, held)
            await played.reaches(lambda: played.listener.count() == MAX_CONNECTIONS)
            newest = await played.connect()
            await played.reaches(lambda: played.listener.evicted == 1)
            assert await reading.read(len(BODY)) == BODY
            # Whoever waits for nothing makes room; if nobody does, the new one finds none.
            with_nothing_owed = idlers[0] if idlers else newest
            assert await with_nothing_owed.read(1) == b""
            assert not played.listener.incomplete_ends

    asyncio.run(play())


def test_a_crowd_at_the_limit_costs_each_of_its_connections_a_bounded_look(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """All that come in one iteration have sent something that is not read yet: none of these makes room."""
    looks: list[int] = []

    def never(self: CallerConnection) -> bool:
        looks.append(1)
        return False

    monkeypatch.setattr(CallerConnection, "is_evictable", never)

    async def play() -> None:
        async with scene() as played:
            played.listener.max_connections = 4 * MAX_CANDIDATES
            clients = [await played.connect() for _ in range(4 * MAX_CANDIDATES)]
            await played.reaches(lambda: played.listener.count() == len(clients))
            for number in range(1, MAX_CANDIDATES):
                await played.connect()
                await played.reaches(lambda number=number: played.listener.evicted == number)  # type: ignore[misc]
            assert len(looks) <= MAX_CANDIDATES * played.listener.evicted
            assert played.listener.count() == len(clients)

    asyncio.run(play())


def test_connections_that_end_while_their_client_is_owed_something_are_counted() -> None:
    """What the metrics say of a connection that is ended by the listener."""

    async def play() -> None:
        async with scene() as played:
            reading = await played.client_in(Stage.BLOCKED, REQUEST % b"")
            held = await played.client_in(Stage.SERVING, REQUEST.replace(b"/x/", b"/held/") % b"")
            held.close()
            await played.reaches(lambda: played.listener.count() == 1)
            played.listener.abort()
            assert len(await reading.read(len(BODY))) < len(BODY)
            assert played.listener.incomplete_ends == {
                (EndCause.CLIENT_CLOSED, Owed.RESPONSE): 1,
                (EndCause.SHUTDOWN, Owed.REST_OF_RESPONSE): 1,
            }

    asyncio.run(play())
