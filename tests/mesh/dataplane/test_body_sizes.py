"""A request is answered after one with a body of any size on its connection, through two proxies."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from functools import partial

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
from tests.node.body_sizes import CODINGS, DELIVERIES, SIZES, ask_twice, framed
from tests.node.peers import LIMIT_S, answer, run, until
from tests.node.test_long_bodies import LongServer

POOL_BYTES = 64 * 1024 * 1024
CLAIM_S = 0.005  # a request is held for as long before it is sent, as it is while its key is claimed
HEARTBEAT_MS = 1e6


class SealingServer(LongServer):
    """A server that answers each request with its attempt id and a seal."""

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.whole.append(await self._body(reader, head))
                id = head.partition("Attempt-Id: ")[2].partition("\r\n")[0]
                writer.write(answer(200, b"", f"Attempt-Id: {id}\r\nServer-Seal: s\r\n"))
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            writer.close()


class HeldRequest:
    """A request that was accepted; its caller stays until it has its answer."""

    def client_disconnected(self) -> None: ...


class Chain:
    """A server behind two proxies; each has a listener and a gate, and the first holds requests for a while.

    :ivar pools: memory for the bodies at each proxy.
    :ivar listeners: listeners of both proxies.
    """

    def __init__(self) -> None:
        self.server = SealingServer()
        self.pools = [MemoryPool(POOL_BYTES), MemoryPool(POOL_BYTES)]
        self.listeners: list[Listener] = []

    async def start(self) -> Address:
        """Start the server and both proxies, and return the address for callers."""
        await self.server.start()
        host, _, port = self.server.address.partition(":")
        address: Address = (host, int(port))
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

    async def stop(self) -> None:
        """Stop all."""
        for listener in self.listeners:
            listener.close_listener()
            listener.abort()
        await self.server.stop()


@asynccontextmanager
async def running_chain() -> AsyncIterator[tuple[Chain, Address]]:
    """Run a chain for one test."""
    chain = Chain()
    address = await chain.start()
    try:
        yield chain, address
    finally:
        await chain.stop()


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
                first = request(b"first-%d" % size, header) + body
                second = request(b"second-%d" % size, b"Content-Length: 0\r\n")
                statuses = await ask_twice(
                    writer.write, partial(read_status, reader), first, second, delivery
                )
                assert statuses == [200, 200], size
                assert [len(whole) for whole in chain.server.whole[-2:]] == [size, 0]
                writer.close()
            outbound = chain.listeners[-1]
            await until(lambda: outbound.count() == 0)
            # Memory that was reserved for retries was never given back, until none was left to keep a body.
            assert [pool.available for pool in chain.pools] == [POOL_BYTES, POOL_BYTES]

    run(test())
