"""Connections to servers without a network: tests deliver the bytes, and connecting succeeds at once."""

from __future__ import annotations

import socket
from collections.abc import Coroutine
from typing import Any

from orchidferry.balancing.interface import Result
from orchidferry.mesh.dataplane.attempt import TrackedAttempt
from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool
from orchidferry.mesh.dataplane.http_connection import HttpConnection
from orchidferry.mesh.dataplane.messages import (
    ProxiedRequest,
)
from orchidferry.node.attempt import Attempt, UpstreamResponse
from tests.mesh.fakes import loop_and_connections


class Transport:
    """A transport that records what is written; its kernel can be set to accept only a part."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        self.written = b""
        self.closed = False
        self.reading = True
        self.kernel_accepts: int | None = None  # bytes that the kernel accepts of the next write; None: all
        self.buffered = b""  # bytes in the write buffer
        self.protocol: Any = None

    def get_extra_info(self, name: str) -> socket.socket:
        return self.sock

    def set_write_buffer_limits(self, high: int) -> None:
        pass

    def get_write_buffer_size(self) -> int:
        return len(self.buffered)

    def write(self, data: bytes) -> None:
        taken = len(data) if self.kernel_accepts is None else min(self.kernel_accepts, len(data))
        if self.buffered:
            taken = 0
        self.written += data[:taken]
        self.buffered += data[taken:]
        if self.buffered:
            self.protocol.pause_writing()

    def drain(self, size: int) -> None:
        """Let the kernel accept more bytes of the write buffer."""
        self.written, self.buffered = self.written + self.buffered[:size], self.buffered[size:]
        if not self.buffered:
            self.protocol.resume_writing()

    def pause_reading(self) -> None:
        self.reading = False

    def resume_reading(self) -> None:
        self.reading = True

    def is_closing(self) -> bool:
        return self.closed

    def close(self) -> None:
        self.closed = True

    abort = close


class RecordedAttempt(TrackedAttempt):
    """An attempt that records how it ends."""

    def __init__(self, message: ProxiedRequest, at_most_once: bool = False, server: int = 1) -> None:
        super().__init__(message, server, ("127.0.0.1", 1), 1_000.0, at_most_once)
        self.ends: list[tuple[Result, Any]] = []

    def head_bytes(self) -> bytes:
        return b"%b /x/ HTTP/1.1\r\nAttempt-Id: %b\r\n\r\n" % (
            self.message.method,
            self.message.id.encode(),
        )

    def may_send(self) -> bool:
        return True

    def ended(self, result: Result, answer: UpstreamResponse | None) -> None:
        self.ends.append((result, answer))


class Peer:
    """The server's end of one connection."""

    def __init__(self, connection: HttpConnection) -> None:
        self.connection = connection
        ours, self.theirs = socket.socketpair()
        self.transport = Transport(ours)
        self.transport.protocol = connection
        self.carried: list[Attempt] = []
        connection.connection_made(self.transport)  # type: ignore[arg-type]

    def send_bytes(self, data: bytes) -> None:
        """Send bytes to the connection, which has not read them yet."""
        if not self.transport.closed:
            self.theirs.sendall(data)

    def read(self, size: int = 1 << 20) -> None:
        """Let the connection read what has arrived, unless reading is paused."""
        if self.transport.closed or not self.transport.reading:
            return
        self.transport.sock.setblocking(False)
        try:
            data = self.transport.sock.recv(size)
        except BlockingIOError:
            return
        if data:
            self.connection.data_received(data)

    def lose(self, exc: Exception | None = None) -> None:
        """End the connection."""
        if not self.transport.closed:
            self.transport.closed = True
            self.connection.connection_lost(exc)

    def close(self) -> None:
        self.theirs.close()
        self.transport.sock.close()


class Task:
    """Runs a coroutine that completes without waiting."""

    def __init__(self, work: Coroutine[Any, Any, None]) -> None:
        try:
            work.send(None)
        except StopIteration:
            return
        raise AssertionError("the coroutine waits")

    def add_done_callback(self, call: Any) -> None:
        pass

    def cancel(self) -> None:
        pass


class Pool(HttpConnectionPool):
    """The production pool, except that connecting succeeds at once."""

    peers: list[Peer]

    def send(self, attempt: Attempt, fresh: bool = False) -> None:
        super().send(attempt, fresh)
        for peer in self.peers:  # it is connected already
            if peer.connection._attempt is attempt:
                attempt.set_cancel_io(peer.connection.close)

    async def _dial(self, attempt: Attempt) -> None:
        connection = HttpConnection(self, attempt.server, attempt.address)
        self.peers.append(Peer(connection))
        self._open.add(connection)
        connection.send_attempt(attempt)


def loop_and_pool(**more: Any) -> tuple[Any, Pool]:
    """Return a loop and a pool on it."""
    loop, connections = loop_and_connections()
    loop.create_task = Task
    pool = Pool(
        loop, 400.0, 14_000.0, lambda: 99, connections.timers, **{"at_most_once_idle_ms": 500.0} | more
    )
    pool.peers = []
    return loop, pool


def close_all(pool: Pool) -> None:
    """Close all sockets."""
    for peer in pool.peers:
        peer.close()
