"""The pool of connections to servers: attempts are sent on idle connections or on new ones."""

from __future__ import annotations

import asyncio
import errno
import logging
from collections.abc import Callable

from orchidferry.balancing.interface import Result
from orchidferry.node.attempt import Attempt
from orchidferry.node.clock import now_ms
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream_connection import UPLOAD_STALL_S, Connection

# Share of the servers' keep-alive time after which idle connections are closed: a request that arrives just
# as its server closes the connection would end as a reset.
IDLE_LIMIT_FRACTION = 0.5
SWEEP_S = 1.0  # how often connections that were idle for too long are closed

# Errors of connecting that mean a shortage of resources at this node and say nothing about the server.
LOCAL_SHORTAGE = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL))

log = logging.getLogger("orchidferry")


class Upstream:
    """All connections to servers."""

    connection_class: type[Connection] = Connection
    local_ip: str | None = None  # source address of the connections; None: the kernel chooses

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        connect_timeout_ms: float,
        keepalive_ms: float,
        free_sockets: Callable[[], int],
        timers: TimerQueue,
    ) -> None:
        """Create an `Upstream`.

        :param connect_timeout_ms: how long a connection may take to open.
        :param keepalive_ms: how long servers keep an idle connection open.
        :param free_sockets: returns how many more sockets the node may open.
        :param timers: for the timeouts of attempts.
        """
        self._loop = loop
        self._free_sockets = free_sockets
        self.timers = timers
        self.configure(connect_timeout_ms, keepalive_ms)
        # Idle connections by server, the most recently used one last; no list is empty
        self._idle: dict[int, list[Connection]] = {}
        self._idle_by_age: dict[Connection, None] = {}  # all idle connections, the longest idle one first
        self._open: set[Connection] = set()
        self._dials: set[asyncio.Task[None]] = set()
        loop.call_later(SWEEP_S, self._sweep)

    def configure(self, connect_timeout_ms: float, keepalive_ms: float) -> None:
        """Set new time limits; see `__init__`."""
        self._connect_timeout_s = connect_timeout_ms / 1000.0
        self._idle_limit_ms = keepalive_ms * IDLE_LIMIT_FRACTION

    def now_s(self) -> float:
        """Return the time of the clock that flows use, in seconds."""
        return self._loop.time()

    def count(self) -> int:
        """Return the number of sockets in use, including those that are being connected."""
        return len(self._open) + len(self._dials)

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        """Start an attempt; it may have ended when this returns.

        :param fresh: whether to use a new connection.
        """
        wait_s = attempt.timeout_ms / 1000.0 if attempt.message.flow is None else UPLOAD_STALL_S
        attempt.set_timeout(self.timers, wait_s)
        idle = self._idle.get(attempt.server, ())
        if fresh and idle:
            idle[0].close()  # replaced by the new connection, as idle connections would otherwise accumulate
        while idle and not fresh:
            connection = idle.pop()  # the most recently used one, so that surplus ones age and get closed
            self._idle_by_age.pop(connection, None)
            if connection.is_reusable() and connection.address == attempt.address:
                return connection.send_attempt(attempt)
            connection.close()
        if self._free_sockets() <= 0 and not self.close_oldest_idle():
            # A shortage of sockets at this node: the attempt never ran and says nothing about the server.
            return attempt.end(Result.MOOT)
        dial = self._loop.create_task(self._dial(attempt))
        self._dials.add(dial)
        dial.add_done_callback(self._dials.discard)
        attempt.set_cancel_io(dial.cancel)
        return None

    async def _dial(self, attempt: Attempt) -> None:
        """Connect, then send the attempt if it may still be sent."""
        connection = self.connection_class(self, attempt.server, attempt.address)
        result = Result.UNREACHABLE
        kept = False
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                local = None if self.local_ip is None else (self.local_ip, 0)
                await self._loop.create_connection(lambda: connection, *attempt.address, local_addr=local)
            if connection.is_reusable():  # otherwise the connection was lost at once
                self._open.add(connection)
                kept = True
                # While connecting, the request may have ended, or its server may have left.
                if not attempt.over and attempt.may_send():
                    return connection.send_attempt(attempt)
                self.return_connection(connection)
                result = Result.MOOT
        except OSError as problem:  # includes `TimeoutError`
            if problem.errno in LOCAL_SHORTAGE:
                result = Result.MOOT
        except Exception:
            log.exception("unexpected error while connecting to a server")
            result = Result.RESET if attempt.written else Result.UNREACHABLE
        finally:
            if not kept:  # cancelled or failed: the connection may have opened nevertheless
                connection.close()
        attempt.end(result)
        return None

    def return_connection(self, connection: Connection) -> None:
        """Put a connection back into the pool after its attempt has ended."""
        connection.idle_since = now_ms()
        self._idle_by_age[connection] = None
        self._idle.setdefault(connection.server, []).append(connection)

    def forget(self, connection: Connection) -> None:
        """Remove a connection that is closed or about to be closed from the pool."""
        self._open.discard(connection)
        if connection in self._idle_by_age:
            del self._idle_by_age[connection]
            idle = self._idle[connection.server]
            idle.remove(connection)
            if not idle:
                del self._idle[connection.server]

    def close_idle(self, server: int) -> None:
        """Close the idle connections to a server."""
        for connection in list(self._idle.get(server, ())):
            connection.close()

    def server_removed(self, server: int) -> None:
        """Close the idle connections to a server that is no longer listed."""
        self.close_idle(server)

    def close(self) -> None:
        """Close all idle connections."""
        for connection in list(self._idle_by_age):
            connection.close()

    def close_oldest_idle(self) -> bool:
        """Close the connection that has been idle for the longest time; return whether there was one."""
        oldest = next(iter(self._idle_by_age), None)
        if oldest is not None:
            oldest.close()
        return oldest is not None

    def _sweep(self) -> None:
        self._loop.call_later(SWEEP_S, self._sweep)
        before_ms = now_ms() - self._idle_limit_ms
        while self._idle_by_age and (oldest := next(iter(self._idle_by_age))).idle_since < before_ms:
            oldest.close()
