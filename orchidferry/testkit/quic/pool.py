"""A client's HTTP/3 connections, with the interface of `orchidferry.testkit.wire.Pool`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from orchidferry.testkit.quic.client import RequesterConnection, RequesterStream, connect
from orchidferry.testkit.quic.faults import PathConditions
from orchidferry.testkit.wire import CONNECT_S, Address, Outcome

MAX_IDLE_S = 5.0  # time without requests after which a connection is not used again


class H3Pool:
    """A client's connections: as a rule one for each address, which carries many requests at once."""

    MAX_STREAMS = 64  # open requests on one connection; for further ones another connection is opened
    MAX_SILENCE_S = 1.0  # a connection that is silent for so long after a request gets no further ones

    def __init__(
        self,
        on_extra: Callable[[str], None],
        ca: str,
        conditions: PathConditions | None = None,
        seed: int = 0,
    ) -> None:
        """Create an `H3Pool`.

        :param on_extra: called with a request's id when a second response to it is received.
        :param ca: path of the PEM file with the CA certificate.
        :param conditions: the faults of the paths to the nodes; None for none.
        :param seed: of these faults.
        """
        self._on_extra = on_extra
        self._ca = ca
        self._conditions = conditions
        self._seed = seed
        self._open: dict[Address, list[RequesterConnection]] = {}
        self._connecting: dict[Address, asyncio.Task[RequesterConnection]] = {}
        self._opened = 0  # connections so far, for their seeds

    async def connection(self, address: Address, fresh: bool = False) -> RequesterStream | Outcome:
        """Return a stream for one request, on an open connection, or the outcome if none can be opened.

        :param fresh: use no connection that is open already.
        """
        kept = self._open.setdefault(address, [])
        kept[:] = [c for c in kept if c.closed_by is None and c.http is not None]
        for connection in kept:
            idle = time.monotonic() - connection.last_request > MAX_IDLE_S and not connection.streams
            since = connection.silent_since
            silent = since is not None and time.monotonic() - since > self.MAX_SILENCE_S
            if len(connection.streams) < self.MAX_STREAMS and not fresh and not idle and not silent:
                return RequesterStream(connection)
        connecting = self._connecting.get(address)
        if connecting is None:
            self._opened += 1
            seed = self._seed * 1_000_003 + self._opened
            connecting = asyncio.create_task(
                connect(address, self._ca, self._on_extra, self._conditions, seed, limit_s=CONNECT_S)
            )
            self._connecting[address] = connecting
            connecting.add_done_callback(lambda task: self._on_connected(address, task))
        try:
            return RequesterStream(await asyncio.shield(connecting))
        except TimeoutError:
            return Outcome("silent", time.monotonic())
        except OSError:  # also if the connection was closed right after its handshake
            return Outcome("refused", time.monotonic())

    def _on_connected(self, address: Address, task: asyncio.Task[RequesterConnection]) -> None:
        self._connecting.pop(address, None)
        if not task.cancelled() and task.exception() is None:
            self._open.setdefault(address, []).append(task.result())

    def put_back(self, address: Address, connection: RequesterStream) -> None:
        """Do nothing: a stream is not used again, and its connection stays in the pool."""

    def sweep(self) -> None:
        """Close the connections that have been idle for more than `MAX_IDLE_S`."""
        before = time.monotonic() - MAX_IDLE_S
        for address, kept in list(self._open.items()):
            for connection in [c for c in kept if not c.streams and c.last_request < before]:
                connection.drop()
                kept.remove(connection)
            if not kept:
                del self._open[address]

    def close(self) -> None:
        """Close all connections, also those with a handshake under way."""
        for task in self._connecting.values():
            task.cancel()
        for kept in self._open.values():
            for connection in kept:
                connection.drop()
        self._open.clear()
