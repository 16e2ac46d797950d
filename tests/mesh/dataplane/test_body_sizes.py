"""A request is answered after one with a body of any size on its connection, through two proxies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import pytest

from orchidferry.mesh.dataplane.admission import AdmissionGate, GateHooks
from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool
from orchidferry.mesh.dataplane.listener import Listener
from orchidferry.mesh.settings import Bounds
from orchidferry.node.address import Address
from orchidferry.node.flow import MemoryPool
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message
from orchidferry.node.timer_queue import TimerQueue
from tests.node.body_sizes import CODINGS, DELIVERIES, SIZES, deliver, framed
from tests.node.peers import LIMIT_S, run, until

POOL_BYTES = 64 * 1024 * 1024
CLAIM_S = 0.005  # a request is held for as long before it is sent, as it is while its key is claimed
HEARTBEAT_MS = 1e6


class HeldRequest:
    """A request that was accepted; its caller stays until it has its answer."""

    def client_disconnected(self) -> None: ...


class Chain:
    """A server behind two proxies; each has a listener and a gate, and the first holds requests for a while.

    :ivar bodies: sizes of the bodies that the server has received.
    :ivar pools: memory for the bodies at each proxy.
    :ivar listeners: listeners of both proxies.
    """

    def __init__(self) -> None:
        self.bodies: list[int] = []
        self.pools = [MemoryPool(POOL_BYTES), MemoryPool(POOL_BYTES)]
        self.listeners: list[Listener] = []

    async def start(self) -> Address:
        """Start the server and both proxies, and return the address for callers."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        address: Address = self._server.sockets[0].getsockname()[:2]
        for pool, hold_s in zip(self.pools, (0.0, CLAIM_S), strict=True):
            address = await self._start_proxy(address, pool, hold_s)
        return address

    async def _start_proxy(self, target: Address, pool: MemoryPool, hold_s: float) -> Address:
        loop = asyncio.get_running_loop()
        timers = TimerQueue(loop)
        connections = HttpConnectionPool(loop, 400.0, 60_000.0, lambda: 100, timers, 2_000.0)
        hooks = GateHooks(lambda: None, lambda: False, lambda message, response: None)
        gate = AdmissionGate(target, Bounds(), HEARTBEAT_MS, timers, connections, hooks)

        def accept(message: Message, answer: Callable[[Reply], None]) -> HeldRequest:
            loop.call_later(hold_s, gate.accept, message, answer)
            return HeldRequest()

        listener = Listener(accept, 100, pool, lambda: True)
        self.listeners.append(listener)
        return await listener.listen(loop, ("127.0.0.1", 0))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                self.bodies.append(await self._read_body(reader, head.lower()))
                id = head.partition(b"Attempt-Id: ")[2].partition(b"\r\n")[0]
                writer.write(
                    b"HTTP/1.1 200 OK\r\nAttempt-Id: %b\r\nServer-Seal: s\r\nContent-Length: 0\r\n\r\n" % id
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    async def _read_body(self, reader: asyncio.StreamReader, head: bytes) -> int:
        if b"content-length: " in head:
            size = int(head.partition(b"content-length: ")[2].partition(b"\r\n")[0])
            await reader.readexactly(size)
            return size
        size = 0
        while b"transfer-encoding" in head and (length := int(await reader.readline(), 16)):
            size += len(await reader.readexactly(length))
            await reader.readline()
        if b"transfer-encoding" in head:
            await reader.readline()
        return size

    def stop(self) -> None:
        """Stop all."""
        for listener in self.listeners:
            listener.close_listener()
            listener.abort()
        self._server.close()


@asynccontextmanager
async def running_chain() -> AsyncIterator[tuple[Chain, Address]]:
    """Run a chain for one test."""
    chain = Chain()
    address = await chain.start()
    try:
        yield chain, address
    finally:
        chain.stop()


def request(id: bytes, more: bytes = b"") -> bytes:
    """Return a request without its body."""
    return b"POST /x/ HTTP/1.1\r\nHost: h\r\nAttempt-Id: %b\r\nTime-Remaining: 20000\r\n%b\r\n" % (id, more)


async def read_status(reader: asyncio.StreamReader) -> int:
    """Read an answer without a body, and return its status."""
    async with asyncio.timeout(LIMIT_S):
        return int((await reader.readuntil(b"\r\n\r\n")).split()[1])


@pytest.mark.parametrize("coding", CODINGS)
@pytest.mark.parametrize("delivery", DELIVERIES)
def test_a_request_is_answered_after_a_body_of_any_size(delivery: str, coding: str) -> None:
    """Behind a body of 64 KiB or more that had come before its key was granted, a request was never read."""

    async def test() -> None:
        async with running_chain() as (chain, address):
            for size in SIZES:
                reader, writer = await asyncio.open_connection(*address)
                header, body = framed(size, coding)
                small = request(b"small-%d" % size, b"Content-Length: 0\r\n")
                first = request(b"first-%d" % size, header) + body
                await deliver(writer.write, first + (small if delivery == "pipelined" else b""), delivery)
                assert await read_status(reader) == 200, size
                if delivery != "pipelined":
                    writer.write(small)
                assert await read_status(reader) == 200, size
                assert chain.bodies[-2:] == [size, 0]
                writer.close()
            outbound = chain.listeners[-1]
            await until(lambda: outbound.count() == 0)
            # Memory that was reserved for retries was never given back, until none was left to keep a body.
            assert [pool.available for pool in chain.pools] == [POOL_BYTES, POOL_BYTES]

    run(test())
