"""A client's connections, with the interface of `orchidferry.testkit.wire.Pool`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from orchidferry.testkit.quic.client import RequesterConnection, RequesterStream, connect
from orchidferry.testkit.quic.faults import PathConditions
from orchidferry.testkit.wire import CONNECT_S, Address, Outcome

IDLE_S = 5.0  # a connection without requests for so long is not used again


class H3Pool:
    """A requester's connections: one for each address, with many requests on it."""

    MAX_STREAMS = 64  # requests at once on one connection; more open another
    SILENT_S = 1.0  # nothing heard for so long after a request: it is not trusted with another

    def __init__(
        self,
        on_extra: Callable[[str], None],
        ca: str,
        conditions: PathConditions | None = None,
        seed: int = 0,
    ) -> None:
        self._on_extra = on_extra
        self._ca = ca
        self._conditions = conditions
        self._seed = seed
        self._open: dict[Address, list[RequesterConnection]] = {}
        self._coming: dict[Address, asyncio.Task[RequesterConnection]] = {}
        self._made = 0

    async def connection(self, address: Address, fresh: bool = False) -> RequesterStream | Outcome:
        """A stream to be, on a connection that is up, or the outcome of the failure to open one."""
        kept = self._open.setdefault(address, [])
        kept[:] = [c for c in kept if c.closed_by is None and c.http is not None]
        for connection in kept:
            idle = time.monotonic() - connection.used > IDLE_S and not connection.streams
            since = connection.unheard_since
            silent = since is not None and time.monotonic() - since > self.SILENT_S
            if len(connection.streams) < self.MAX_STREAMS and not fresh and not idle and not silent:
                return RequesterStream(connection)
        coming = self._coming.get(address)
        if coming is None:
            self._made += 1
            seed = self._seed * 1_000_003 + self._made
            coming = asyncio.create_task(
                connect(address, self._ca, self._on_extra, self._conditions, seed, limit_s=CONNECT_S)
            )
            self._coming[address] = coming
            coming.add_done_callback(lambda task: self._came(address, task))
        try:
            return RequesterStream(await asyncio.shield(coming))
        except TimeoutError:
            return Outcome("silent", time.monotonic())
        except OSError:  # it came up and was closed at once, too
            return Outcome("refused", time.monotonic())

    def _came(self, address: Address, task: asyncio.Task[RequesterConnection]) -> None:
        self._coming.pop(address, None)
        if not task.cancelled() and task.exception() is None:
            self._open.setdefault(address, []).append(task.result())

    def put_back(self, address: Address, connection: RequesterStream) -> None:
        """Nothing is kept of a stream; its connection stays."""

    def sweep(self) -> None:
        """Close what has idled too long."""
        before = time.monotonic() - IDLE_S
        for address, kept in list(self._open.items()):
            for connection in [c for c in kept if not c.streams and c.used < before]:
                connection.drop()
                kept.remove(connection)
            if not kept:
                del self._open[address]

    def close(self) -> None:
        """Close all connections, and those that are coming up."""
        for task in self._coming.values():
            task.cancel()
        for kept in self._open.values():
            for connection in kept:
                connection.drop()
        self._open.clear()
