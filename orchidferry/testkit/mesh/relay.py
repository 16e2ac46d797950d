"""Relayed connections between two machines of the mesh, and the listeners where they begin.

What a process must not learn of a fault it can't see: a connection that a partition holds up is open at the
side that dialled, as the kernel answers for the relay, and silent.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from orchidferry.testkit.mesh.day import Machine
from orchidferry.testkit.mesh.tasks import TaskSet
from orchidferry.testkit.wire import ABORT

MAX_CONNECTIONS = 4_096
"""Relayed connections over all machines."""

MAX_BUFFERED = 256 * 1024
"""Bytes that one direction of a connection buffers; past that its sender is not read."""

MAX_UNWRITTEN = 64 * 1024
"""Bytes that wait for a receiver that does not read."""

DIAL_TIMEOUT_S = 1.0
RESET_DELAY_S = 0.005
"""Seconds from the first half of a chunk to the reset, so that the half arrives."""

LISTENER_PROBE_S = 0.02
"""How often it is tried whether a port that refused listens again."""

BACKLOG = 512

Direction = tuple[str, str]
"""The machine that sends and the one that receives."""


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """The state of one direction of a link."""

    cut: bool = False
    delay_s: float = 0.0
    broken_chunk: int = 0  # of each connection: the one in whose middle it is reset, from 1; 0: none


HEALTHY = LinkCondition()


class RelayState:
    """What all relays of a run share: conditions of links, open connections, and a clock."""

    def __init__(self) -> None:
        """Must be called in the event loop that carries the connections."""
        self._loop = asyncio.get_running_loop()
        self._conditions: dict[Direction, LinkCondition] = {}
        self.machine_names: dict[str, str] = {}  # by the address that a machine dials from
        self.connections: set[RelayedConnection] = set()
        self.tasks = TaskSet()

    def now(self) -> float:
        """The event loop's clock, in seconds."""
        return self._loop.time()

    def call_at(self, due: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Have a function called at a time of this clock."""
        return self._loop.call_at(due, callback)

    @property
    def full(self) -> bool:
        """Whether there are more connections than may be relayed."""
        return len(self.connections) > MAX_CONNECTIONS

    def condition(self, direction: Direction) -> LinkCondition:
        """The condition of one direction of a link."""
        return self._conditions.get(direction, HEALTHY)

    def set_condition(self, direction: Direction, condition: LinkCondition) -> None:
        """Change the condition of one direction of a link; its connections are not told."""
        if condition == HEALTHY:
            self._conditions.pop(direction, None)
        else:
            self._conditions[direction] = condition


class RelayEndpoint(asyncio.Protocol):
    """One side of a relayed connection; buffers what was read from it and is not written yet."""

    def __init__(
        self,
        state: RelayState,
        direction: Direction,
        on_lost: Callable[[], None],
        on_connected: Callable[[str], None] | None = None,
    ) -> None:
        """Create one side; `other` must be set before data arrives.

        :param direction: of the data that is read here
        :param on_lost: called when this side and the other have ended
        :param on_connected: called with the peer's address
        """
        self._state = state
        self.direction = direction
        self._on_lost = on_lost
        self._on_connected = on_connected
        self.other: RelayEndpoint
        self._transport: asyncio.Transport | None = None
        self._buffer: deque[tuple[float, bytes]] = deque()  # when each chunk is due
        self._buffered = 0
        self._peer_ended = False
        self._peer_reset = False
        self._peer_reads = True
        self._chunks = 0  # read since its direction breaks connections
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.BaseProtocol`."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(MAX_UNWRITTEN)
        self._transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_connected is not None:
            self._on_connected(self._transport.get_extra_info("peername")[0])

    @property
    def connected(self) -> bool:
        """Whether this side has a connection now."""
        return self._transport is not None

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if broken_chunk := self._state.condition(self.direction).broken_chunk:
            self._chunks += 1
            if self._chunks > broken_chunk:
                return  # the reset is on its way
            if self._chunks == broken_chunk:
                data = data[: len(data) // 2]
                self._state.call_at(self._state.now() + RESET_DELAY_S, self._reset_both)
        due = self._state.now() + self._state.condition(self.direction).delay_s
        self._buffer.append((due, data))
        self._buffered += len(data)
        if self._buffered > MAX_BUFFERED and self._transport is not None:
            self._transport.pause_reading()
        self.flush()

    def pause_writing(self) -> None:
        """See `asyncio.BaseProtocol`."""
        self._peer_reads = False

    def resume_writing(self) -> None:
        """See `asyncio.BaseProtocol`."""
        self._peer_reads = True
        self.other.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        """See `asyncio.BaseProtocol`."""
        self._transport = None
        self._peer_ended = True
        self._peer_reset = exc is not None
        if self._state.condition(self.direction).cut:  # what a sender that is gone had on its way is lost
            self._buffer.clear()
        self.other.discard_buffer()
        self.flush()

    def discard_buffer(self) -> None:
        """Drop what was read here, as nobody is left to receive it."""
        self._buffer.clear()
        self._buffered = 0
        self._check_lost()

    def flush(self) -> None:
        """Write what is due to the other side, and the end after it."""
        if self._state.condition(self.direction).cut or not self.other.connected:
            self._check_lost()
            return
        if not self._write_due():
            return
        if self._peer_ended and not self._buffer and self.other._transport is not None:
            if self._peer_reset:
                self.other.end(reset=True)
                return
            self.other._transport.close()
        self._check_lost()

    def _write_due(self) -> bool:
        """Write chunks in order; False if the next one is not due yet."""
        while self._buffer and self.other._peer_reads:
            due, data = self._buffer[0]
            if due > self._state.now():
                self._wake_at(due)
                return False
            self._buffer.popleft()
            self._buffered -= len(data)
            assert self.other._transport is not None
            self.other._transport.write(data)
            if self._transport is not None and self._buffered <= MAX_BUFFERED // 2:
                self._transport.resume_reading()
        return True

    def _wake_at(self, due: float) -> None:
        if self._timer is None:
            self._timer = self._state.call_at(due, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.flush()

    def _check_lost(self) -> None:
        if self._peer_ended and not self.other.connected:
            self._on_lost()

    def _reset_both(self) -> None:
        self.end(reset=True)
        self.other.end(reset=True)
        self._on_lost()

    def end(self, reset: bool) -> None:
        """End this side at once.

        :param reset: with a TCP reset; else as a process that dies does
        """
        self._peer_ended = True
        self._buffer.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            if reset:
                with contextlib.suppress(OSError, ValueError):  # it may be closing already
                    sock = self._transport.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            self._transport.abort()


class RelayedConnection:
    """One relayed connection: the side that dialled, and the side to the machine's process."""

    def __init__(self, state: RelayState, listener: RelayListener, target: str) -> None:
        """Create a connection that was not accepted yet.

        :param target: the machine that is dialled
        """
        self._state = state
        self._listener = listener
        self._target = target
        self.near = RelayEndpoint(state, ("", target), self._on_lost, self._on_accepted)
        self._far = RelayEndpoint(state, (target, ""), self._on_lost)
        self.near.other = self._far
        self._far.other = self.near
        self._dialled = False

    def _on_accepted(self, ip: str) -> None:
        dialler = self._state.machine_names.get(ip, "")
        self.near.direction = (dialler, self._target)
        self._far.direction = (self._target, dialler)
        self._state.connections.add(self)
        if self._state.full:
            self.end(reset=True)
            return
        self.on_condition_changed()

    def on_condition_changed(self) -> None:
        """Go on as the conditions of its link allow now."""
        if self._dialled:
            self.near.flush()
            self._far.flush()
        elif not any(self._state.condition(side.direction).cut for side in (self.near, self._far)):
            self._dialled = True
            self._state.tasks.spawn(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: self._far, *self._listener.target)
        except OSError:
            self._listener.refuse()
            self.end(reset=True)
            return
        if not self.near.connected:
            self.end(reset=False)
            return
        self.near.flush()

    def end(self, reset: bool) -> None:
        """End both sides at once; see `RelayEndpoint.end`."""
        self.near.end(reset)
        self._far.end(reset)
        self._on_lost()

    def _on_lost(self) -> None:
        self._state.connections.discard(self)


class RelayListener:
    """One port of a machine, at the address by which it is known: listens while the process does."""

    def __init__(self, state: RelayState, machine: Machine, port: int) -> None:
        """Create a listener that does not listen yet; `refuse` starts the look-out for its process.

        :param port: the same at the relay and at the process
        """
        self._state = state
        self._machine = machine
        self._address = (machine.ip, port)
        self.target = (machine.bind, port)
        self._server: asyncio.Server | None = None
        self._probing: asyncio.Task[None] | None = None
        self._closed = False

    def refuse(self) -> None:
        """Refuse connections, as nobody listens at the process's port, until somebody does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if not self._closed and (self._probing is None or self._probing.done()):
            self._probing = self._state.tasks.spawn(self._listen_once_up())

    async def _listen_once_up(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closed:
            try:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    transport, _ = await loop.create_connection(asyncio.Protocol, *self.target)
                transport.abort()
                break
            except OSError:
                await asyncio.sleep(LISTENER_PROBE_S)
        if not self._closed:
            self._server = await loop.create_server(self._accept, *self._address, backlog=BACKLOG)

    def _accept(self) -> asyncio.Protocol:
        return RelayedConnection(self._state, self, self._machine.name).near

    def close(self) -> None:
        """Stop listening for good."""
        self._closed = True
        if self._server is not None:
            self._server.close()
