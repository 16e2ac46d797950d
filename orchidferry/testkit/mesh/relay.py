"""TCP relays between the machines of the mesh, through which the kit injects network faults.

During a partition no data passes, and a new connection still appears established to the process that dialled
it, because the kernel accepts it for the relay: the process sees silence rather than an error, as with packet
loss on a real network.
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
"""How many connections are relayed at once, over all machines; further ones are reset."""

MAX_BUFFERED = 256 * 1024
"""Bytes buffered for one direction of a connection; above that the relay stops reading from its sender."""

MAX_UNWRITTEN = 64 * 1024
"""High-water mark, in bytes, of a transport's write buffer, for a receiver that does not read."""

DIAL_TIMEOUT_S = 1.0
RESET_DELAY_S = 0.005
"""The time from the first half of a chunk to the reset, so that the receiver gets that half first."""

LISTENER_PROBE_INTERVAL_S = 0.02
"""How often the relay checks whether a process listens on its port again."""

BACKLOG = 512
"""The backlog of the relay's listening sockets, in connections."""

Direction = tuple[str, str]
"""Names of the sending and of the receiving machine; an empty name: unknown."""


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """The state of one direction of a link."""

    cut: bool = False  # no data passes
    delay_s: float = 0.0  # added to the latency
    broken_chunk: int = 0  # each connection is reset in the middle of this chunk, counted from 1; 0: no reset


HEALTHY = LinkCondition()


class RelayState:
    """State shared by all relays of a run: link conditions, open connections, and a clock."""

    def __init__(self) -> None:
        """Create a state with healthy links; must be called in the event loop of the connections."""
        self._loop = asyncio.get_running_loop()
        self._conditions: dict[Direction, LinkCondition] = {}  # only those that are not healthy
        self.machine_names: dict[str, str] = {}  # by the source address of the machine's connections
        self.connections: set[RelayedConnection] = set()
        self.tasks = TaskSet()

    def now(self) -> float:
        """The event loop's clock, in seconds."""
        return self._loop.time()

    def call_at(self, due: float, callback: Callable[[], None]) -> asyncio.TimerHandle:
        """Schedule a call.

        :param due: when, in seconds on the event loop's clock
        """
        return self._loop.call_at(due, callback)

    @property
    def full(self) -> bool:
        """Whether there are more than `MAX_CONNECTIONS`."""
        return len(self.connections) > MAX_CONNECTIONS

    def condition(self, direction: Direction) -> LinkCondition:
        """The condition of one direction of a link."""
        return self._conditions.get(direction, HEALTHY)

    def set_condition(self, direction: Direction, condition: LinkCondition) -> None:
        """Change the condition of one direction of a link, without notifying its open connections."""
        if condition == HEALTHY:
            self._conditions.pop(direction, None)
        else:
            self._conditions[direction] = condition


class RelayEndpoint(asyncio.Protocol):
    """One end of a relayed connection; buffers data read from its peer until the other end has written it."""

    def __init__(
        self,
        state: RelayState,
        direction: Direction,
        on_lost: Callable[[], None],
        on_connected: Callable[[str], None] | None = None,
    ) -> None:
        """Create an endpoint; `other` must be set before data arrives.

        :param direction: of the data that is read from this endpoint's peer
        :param on_lost: called when both endpoints are closed; may be called more than once
        :param on_connected: called with the peer's IP address
        """
        self._state = state
        self.direction = direction
        self._on_lost = on_lost
        self._on_connected = on_connected
        self.other: RelayEndpoint  # writes the data that is read here
        self._transport: asyncio.Transport | None = None
        self._buffer: deque[tuple[float, bytes]] = deque()  # chunks, each with the time when it is due
        self._buffered = 0  # bytes in the buffer
        self._peer_ended = False  # this endpoint's connection has closed
        self._peer_reset = False  # it closed with an error
        self._peer_reads = True  # the transport's write buffer has room
        self._chunks = 0  # read since the link condition resets connections
        self._timer: asyncio.TimerHandle | None = None  # for the first chunk that is not due yet

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """See `asyncio.BaseProtocol`."""
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(MAX_UNWRITTEN)
        self._transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._on_connected is not None:
            self._on_connected(self._transport.get_extra_info("peername")[0])

    @property
    def connected(self) -> bool:
        """Whether this endpoint's connection is open."""
        return self._transport is not None

    def data_received(self, data: bytes) -> None:
        """See `asyncio.Protocol`."""
        if broken_chunk := self._state.condition(self.direction).broken_chunk:
            self._chunks += 1
            if self._chunks > broken_chunk:
                return  # the reset is already scheduled
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
        if self._state.condition(self.direction).cut:
            self._buffer.clear()  # data in transit is lost, as its sender is gone and can't resend it
        self.other.discard_buffer()
        self.flush()

    def discard_buffer(self) -> None:
        """Drop the data that was read here, as the other endpoint has closed."""
        self._buffer.clear()
        self._buffered = 0
        self._check_lost()

    def flush(self) -> None:
        """Write all data that is due to the other endpoint, and close that one once all is written."""
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
        """Write due chunks in order; returns False if the next one is not due yet."""
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
        """Close this endpoint at once.

        :param reset: with a TCP reset; otherwise as the kernel closes the socket of a process that has died
        """
        self._peer_ended = True
        self._buffer.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            if reset:
                with contextlib.suppress(OSError, ValueError):  # the socket may be closed already
                    sock = self._transport.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            self._transport.abort()


class RelayedConnection:
    """One relayed connection: an endpoint towards the dialling process, and one towards the dialled one."""

    def __init__(self, state: RelayState, listener: RelayListener, target: str) -> None:
        """Create a connection that is not accepted yet.

        :param target: name of the dialled machine
        """
        self._state = state
        self._listener = listener
        self._target = target
        self.dialler_end = RelayEndpoint(state, ("", target), self._on_lost, self._on_accepted)
        self._target_end = RelayEndpoint(state, (target, ""), self._on_lost)
        self.dialler_end.other = self._target_end
        self._target_end.other = self.dialler_end
        self._dial_started = False

    def _on_accepted(self, ip: str) -> None:
        """Identify the dialling machine, and connect to the process behind the relay if the link allows.

        :param ip: the source address of the accepted connection
        """
        dialler = self._state.machine_names.get(ip, "")
        self.dialler_end.direction = (dialler, self._target)
        self._target_end.direction = (self._target, dialler)
        self._state.connections.add(self)
        if self._state.full:
            self.end(reset=True)
            return
        self.on_condition_changed()

    def on_condition_changed(self) -> None:
        """Dial, or pass on buffered data, as far as the link's conditions now allow."""
        if self._dial_started:
            self.dialler_end.flush()
            self._target_end.flush()
        elif not any(
            self._state.condition(endpoint.direction).cut for endpoint in (self.dialler_end, self._target_end)
        ):
            self._dial_started = True
            self._state.tasks.spawn(self._dial())

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: self._target_end, *self._listener.target)
        except OSError:
            self._listener.refuse()
            self.end(reset=True)
            return
        if not self.dialler_end.connected:
            self.end(reset=False)
            return
        self.dialler_end.flush()

    def end(self, reset: bool) -> None:
        """Close both endpoints at once; see `RelayEndpoint.end`."""
        self.dialler_end.end(reset)
        self._target_end.end(reset)
        self._on_lost()

    def _on_lost(self) -> None:
        self._state.connections.discard(self)


class RelayListener:
    """Relays one port of a machine at its public address, and listens there only while the process does."""

    def __init__(self, state: RelayState, machine: Machine, port: int) -> None:
        """Create a listener that does not listen yet; `refuse` starts the probing for its process.

        :param port: the port of both the relay and the process
        """
        self._state = state
        self._machine = machine
        self._address = (machine.ip, port)
        self.target = (machine.bind, port)
        self._server: asyncio.Server | None = None
        self._probe_task: asyncio.Task[None] | None = None
        self._closed = False

    def refuse(self) -> None:
        """Stop listening, so that connections are refused, until the process listens on its port."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if not self._closed and (self._probe_task is None or self._probe_task.done()):
            self._probe_task = self._state.tasks.spawn(self._listen_once_target_does())

    async def _listen_once_target_does(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closed:
            try:
                async with asyncio.timeout(DIAL_TIMEOUT_S):
                    transport, _ = await loop.create_connection(asyncio.Protocol, *self.target)
                transport.abort()
                break
            except OSError:
                await asyncio.sleep(LISTENER_PROBE_INTERVAL_S)
        if not self._closed:
            self._server = await loop.create_server(self._accept, *self._address, backlog=BACKLOG)

    def _accept(self) -> asyncio.Protocol:
        return RelayedConnection(self._state, self, self._machine.name).dialler_end

    def close(self) -> None:
        """Stop listening for good."""
        self._closed = True
        if self._server is not None:
            self._server.close()
