"""One relayed connection between two machines of the mesh, and the port where it begins; what ails it.

What a process may not be told of a fault it can't see: a connection that a cut holds up is open at its
dialler, as the kernel answers for the relay, and silent.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from orchidferry.testkit.mesh.day import Machine
from orchidferry.testkit.wire import ABORT

if TYPE_CHECKING:
    from orchidferry.testkit.mesh.links import Links

MAX_HELD = 256 * 1024  # bytes that one direction of a connection holds; past that its sender is not read
CHOKED = 64 * 1024  # and that wait for whoever does not read
DIAL_S = 1.0
BROKEN_S = 0.005  # from the first half of a chunk to the reset, so that the half arrives
PROBE_S = 0.02  # how often a port that refused is looked at
BACKLOG = 512

Pair = tuple[str, str]  # of machines: who sends, who receives


@dataclass(frozen=True, slots=True)
class Fault:
    """What ails one direction of a link."""

    cut: bool = False
    delay_s: float = 0.0
    broken_chunk: int = 0  # of each connection: the one in whose middle it is reset, from 1; 0: none


SOUND = Fault()


class Half(asyncio.Protocol):
    """One side of a relayed connection, and what was read from it and is not written yet."""

    def __init__(
        self, links: Links, pair: Pair, lost: Callable[[], None], made: Callable[[str], None] | None = None
    ) -> None:
        self._links = links
        self.pair = pair
        self._lost = lost
        self._made = made
        self.other: Half
        self._transport: asyncio.Transport | None = None
        self._held: deque[tuple[float, bytes]] = deque()
        self._size = 0
        self._over = self._broke = False  # its peer has ended it; by a reset
        self._choked = False  # its peer does not read
        self._chunks = 0  # read since its direction breaks connections
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(CHOKED)
        self._transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self._made is not None:
            self._made(self._transport.get_extra_info("peername")[0])

    @property
    def up(self) -> bool:
        return self._transport is not None

    def data_received(self, data: bytes) -> None:
        if broken_chunk := self._links.fault(self.pair).broken_chunk:
            self._chunks += 1
            if self._chunks > broken_chunk:
                return  # the reset is on its way
            if self._chunks == broken_chunk:
                data = data[: len(data) // 2]
                self._links.at(self._links.now() + BROKEN_S, self._reset)
        self._held.append((self._links.now() + self._links.fault(self.pair).delay_s, data))
        self._size += len(data)
        if self._size > MAX_HELD and self._transport is not None:
            self._transport.pause_reading()
        self.flush()

    def pause_writing(self) -> None:
        self._choked = True

    def resume_writing(self) -> None:
        self._choked = False
        self.other.flush()

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self._over = True
        self._broke = exc is not None
        if self._links.fault(self.pair).cut:  # what a sender that is gone had on its way is lost
            self._held.clear()
        self.other.drop_held()
        self.flush()

    def drop_held(self) -> None:
        """Nobody is left to read it."""
        self._held.clear()
        self._size = 0
        self._ended()

    def flush(self) -> None:
        """Pass on what is due, and the end after it."""
        if self._links.fault(self.pair).cut or not self.other.up:
            return self._ended()
        while self._held and not self.other._choked:
            due, data = self._held[0]
            if due > self._links.now():
                return self._wake(due)
            self._held.popleft()
            self._size -= len(data)
            assert self.other._transport is not None
            self.other._transport.write(data)
            if self._transport is not None and self._size <= MAX_HELD // 2:
                self._transport.resume_reading()
        if self._over and not self._held and self.other._transport is not None:
            if self._broke:
                return self.other.end(True)
            self.other._transport.close()
        self._ended()

    def _wake(self, due: float) -> None:
        if self._timer is None:
            self._timer = self._links.at(due, self._woken)

    def _woken(self) -> None:
        self._timer = None
        self.flush()

    def _ended(self) -> None:
        if self._over and not self.other.up:
            self._lost()

    def _reset(self) -> None:
        """Reset both sides."""
        self.end(True)
        self.other.end(True)
        self._lost()

    def end(self, reset: bool) -> None:
        """End it at once, as a process that dies does or with a reset."""
        self._over = True
        self._held.clear()
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            if reset:
                with contextlib.suppress(OSError, ValueError):  # it may be closing already
                    sock = self._transport.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, ABORT)
            self._transport.abort()


class Line:
    """One relayed connection."""

    def __init__(self, links: Links, door: Door, target: str) -> None:
        self.links = links
        self.door = door
        self.near = Half(links, ("", target), self._lost, self._accepted)
        self.far = Half(links, (target, ""), self._lost)
        self.near.other = self.far
        self.far.other = self.near
        self._dialled = False

    def _accepted(self, ip: str) -> None:
        """It has come from there."""
        dialler = self.links.names.get(ip, "")
        self.near.pair, self.far.pair = (dialler, self.near.pair[1]), (self.far.pair[0], dialler)
        self.links.lines.add(self)
        if self.links.full:
            return self.end(True)
        self.go_on()

    def go_on(self) -> None:
        """Whatever the faults were, they may have changed."""
        if not self._dialled:
            if not any(self.links.fault(half.pair).cut for half in (self.near, self.far)):
                self._dialled = True
                self.links.tasks.spawn(self._dial())
            return
        self.near.flush()
        self.far.flush()

    async def _dial(self) -> None:
        try:
            async with asyncio.timeout(DIAL_S):
                await asyncio.get_running_loop().create_connection(lambda: self.far, *self.door.target)
        except OSError:
            self.door.refused()
            return self.end(True)
        if not self.near.up:
            return self.end(False)
        self.near.flush()

    def end(self, reset: bool) -> None:
        self.near.end(reset)
        self.far.end(reset)
        self._lost()

    def _lost(self) -> None:
        self.links.lines.discard(self)


class Door:
    """One port of a machine, at the address by which it is known: listens while the process does."""

    def __init__(self, links: Links, machine: Machine, port: int) -> None:
        self.links = links
        self.machine = machine
        self.address = (machine.ip, port)
        self.target = (machine.bind, port)
        self._server: asyncio.Server | None = None
        self._probing: asyncio.Task[None] | None = None
        self._closed = False

    def refused(self) -> None:
        """Nobody listens behind it: callers are refused here too, until somebody does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        if not self._closed and (self._probing is None or self._probing.done()):
            self._probing = self.links.tasks.spawn(self._probe())

    async def _probe(self) -> None:
        loop = asyncio.get_running_loop()
        while not self._closed:
            try:
                async with asyncio.timeout(DIAL_S):
                    transport, _ = await loop.create_connection(asyncio.Protocol, *self.target)
                transport.abort()
                break
            except OSError:
                await asyncio.sleep(PROBE_S)
        if not self._closed:
            self._server = await loop.create_server(self._line, *self.address, backlog=BACKLOG)

    def _line(self) -> asyncio.Protocol:
        return Line(self.links, self, self.machine.name).near

    def close(self) -> None:
        self._closed = True
        if self._server is not None:
            self._server.close()
