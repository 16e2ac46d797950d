"""An asyncio event loop with virtual time and in-memory transports: no real waiting, no real network.

The loop gives only the guarantees that asyncio gives: ready callbacks run in the order in which they became
ready; timers fire in the order of their due times, and timers with equal due times in the order of creation.
What asyncio and TCP leave open (when a peer's bytes arrive, when a connection is established, when time
passes) is decided by the explorer, which moves the `FakeTransport`s and the clock explicitly.
"""

from __future__ import annotations

import asyncio
import errno
import heapq
import itertools
from collections import Counter, deque
from collections.abc import Callable, Coroutine
from contextvars import Context
from typing import Any

from orchidferry.errors import OrchidferryError

Address = tuple[str, int]
MAX_CALLBACKS = 20_000  # callbacks between two choices; more means that the loop never becomes idle


class LoopNeverIdleError(OrchidferryError):
    """The loop always has another ready callback and never becomes idle."""


class FakeTransport(asyncio.Transport):
    """The node's end of a connection; the explorer plays the peer at the other end.

    `written` holds what the node wrote; `feed`, `feed_eof` and `feed_reset` are what the peer does.
    """

    def __init__(self, loop: VirtualTimeLoop, protocol: asyncio.Protocol, address: Address | None) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.address = address
        self.written = bytearray()
        self.closing = self.lost = self.eof_written = False
        self.unread = False  # the peer has sent data or closed, and the protocol has not been called yet
        self.number = loop.next_number(address)

    # The node's side

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Append to the bytes that the node has written."""
        if not self.closing:
            self.written += data

    def write_eof(self) -> None:
        """Record that the node has closed its sending direction."""
        self.eof_written = True

    def can_write_eof(self) -> bool:
        """Return True: the transport supports half-close."""
        return True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Do nothing: writes are never buffered."""

    def get_write_buffer_size(self) -> int:
        """Return 0: writes are never buffered."""
        return 0

    def is_closing(self) -> bool:
        """Return whether the node has closed the connection or lost it."""
        return self.closing

    def close(self) -> None:
        """Close the connection; the protocol is notified in the next iteration."""
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self._lost, None)

    abort = close

    def pause_reading(self) -> None:
        """Do nothing: simulated peers never send more than is read."""

    def resume_reading(self) -> None:
        """Do nothing, like `pause_reading`."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return the transport itself in place of its socket."""
        return self if name == "socket" else default

    def fileno(self) -> int:
        """Return the connection's number."""
        return self.number

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Report every socket option as unsupported: there is no kernel, and input is read when it arrives.

        :raises OSError: always.
        """
        raise OSError(errno.ENOPROTOOPT, "no such option")

    def _lost(self, problem: Exception | None) -> None:
        if not self.lost:
            self.lost = self.closing = True
            self.protocol.connection_lost(problem)

    # The peer's side: input is queued at once, and the protocol gets it in the next iteration of the loop

    def feed(self, data: bytes) -> None:
        """Deliver bytes that the peer has sent."""
        self.unread = True
        self.loop.call_soon(self._read, data)

    def _read(self, data: bytes) -> None:
        self.unread = False
        if not self.closing:
            self.protocol.data_received(data)

    def feed_eof(self) -> None:
        """Deliver the peer's end of file."""
        self.unread = True
        self.loop.call_soon(self._read_eof)

    def _read_eof(self) -> None:
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def feed_reset(self) -> None:
        """Deliver a connection reset by the peer."""
        self.unread = True
        self.loop.call_soon(self._reset)

    def _reset(self) -> None:
        self.closing = True
        self._lost(ConnectionResetError(104, "reset"))


class FakePoll:
    """A `select.poll` object over fake transports."""

    def __init__(self, loop: VirtualTimeLoop) -> None:
        self._loop = loop
        self._polled: FakeTransport | None = None

    def register(self, number: int, events: int) -> None:
        """Watch the transport with this number."""
        self._polled = next(
            (transport for transport in self._loop.transports if transport.number == number), None
        )

    def poll(self, timeout: float) -> list[int]:
        """Return one entry if the transport has unread input, else none."""
        return [1] if self._polled is not None and self._polled.unread else []


class Listener:
    """A listening socket, as `create_server` returns it."""

    def __init__(self, make: Callable[[], asyncio.Protocol], address: Address) -> None:
        self.make = make
        self.address = address
        self.open = True
        self.sockets = [self]

    def getsockname(self) -> Address:
        """Return the address that is listened on."""
        return self.address

    def close(self) -> None:
        """Stop listening."""
        self.open = False


class Dial:
    """An outgoing connection attempt of the node that has neither succeeded nor failed yet."""

    def __init__(
        self, make: Callable[[], asyncio.Protocol], address: Address, done: asyncio.Future[FakeTransport]
    ) -> None:
        self.make = make
        self.address = address
        self.done = done


class VirtualTimeLoop(asyncio.AbstractEventLoop):
    """An event loop whose clock and connections move only when the explorer moves them."""

    def __init__(self, start_s: float = 1_000.0) -> None:
        self.now = start_s
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._serial = itertools.count()
        self._numbers: Counter[Address | None] = Counter()
        self.transports: list[FakeTransport] = []
        self.dials: list[Dial] = []
        self.listeners: list[Listener] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.unhandled_errors: list[str] = []  # reported by `call_exception_handler`

    def next_number(self, address: Address | None) -> int:
        """Return a number for a new connection, independent of connections to other addresses."""
        self._numbers[address] += 1
        place = int(address[0].rpartition(".")[2]) + 1 if address is not None else 0
        return 1_000 * place + self._numbers[address]

    # What asyncio asks of a loop

    def time(self) -> float:
        """The virtual time in seconds."""
        return self.now

    def get_debug(self) -> bool:
        """Return False: debug mode is off."""
        return False

    def is_running(self) -> bool:
        """Return True: the loop always counts as running."""
        return True

    def is_closed(self) -> bool:
        """Return False: the loop is never closed."""
        return False

    def call_soon(self, callback: Any, *args: Any, context: Context | None = None) -> asyncio.Handle:  # type: ignore[override]
        """Schedule a callback for the next iteration."""
        handle = asyncio.Handle(callback, args, self, context)
        self.ready.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback at a virtual time in seconds."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self.timers, (when, next(self._serial), handle))
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Schedule a callback after a delay in seconds."""
        return self.call_at(self.now + max(0.0, delay), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Do nothing: cancelled timers are skipped when they are due."""

    def create_future(self) -> asyncio.Future[Any]:
        """Return a new future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Context | None = None) -> Any:
        """Return a new task of this loop; `tasks` holds it until it is done."""
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        self.tasks.append(task)
        return task

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an unhandled error."""
        self.unhandled_errors.append(f"{context.get('message')}: {context.get('exception')!r}"[:300])

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """Record an unhandled error."""
        self.call_exception_handler(context)

    async def create_connection(self, make: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        """Start a connection attempt and wait for the explorer to complete or refuse it."""
        done: asyncio.Future[FakeTransport] = self.create_future()
        dial = Dial(make, (host, port), done)
        self.dials.append(dial)
        try:
            transport = await done
        finally:
            if dial in self.dials:
                self.dials.remove(dial)
        return transport, transport.protocol

    async def create_server(self, make: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        """Listen on an address; the explorer opens the connections."""
        listener = Listener(make, (host, port))
        self.listeners.append(listener)
        return listener

    # For the explorer

    def complete_dial(self, dial: Dial) -> None:
        """Establish a connection that the node has dialled."""
        self.dials.remove(dial)
        if dial.done.done():
            return
        transport = FakeTransport(self, dial.make(), dial.address)
        self.transports.append(transport)
        # As in asyncio: `connection_made` runs first, and the dialling coroutine resumes an iteration later.
        self.call_soon(transport.protocol.connection_made, transport)
        self.call_soon(lambda: None if dial.done.done() else dial.done.set_result(transport))

    def refuse_dial(self, dial: Dial) -> None:
        """Refuse a connection that the node has dialled."""
        self.dials.remove(dial)
        if not dial.done.done():
            dial.done.set_exception(ConnectionRefusedError(111, "refused"))

    def accept(self, listener: Listener) -> FakeTransport:
        """Open a connection from a client to a listener."""
        transport = FakeTransport(self, listener.make(), None)
        self.transports.append(transport)
        self.call_soon(transport.protocol.connection_made, transport)
        return transport

    def run_until_idle(self) -> None:
        """Run callbacks until none is ready.

        :raises LoopNeverIdleError: after `MAX_CALLBACKS` callbacks
        """
        asyncio._set_running_loop(self)
        try:
            for _ in range(MAX_CALLBACKS):
                if not self.ready:
                    break
                handle = self.ready.popleft()
                if not handle.cancelled():
                    handle._run()
            else:
                raise LoopNeverIdleError(f"the loop was not idle after {MAX_CALLBACKS} callbacks")
        finally:
            asyncio._set_running_loop(None)
        self.tasks = [task for task in self.tasks if not task.done()]

    def next_timer(self) -> float | None:
        """Return when the next timer is due that was not cancelled; None for none."""
        while self.timers and self.timers[0][2].cancelled():
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def advance_to(self, t: float) -> None:
        """Advance the clock to `t`, running each timer that becomes due at its due time."""
        while (due := self.next_timer()) is not None and due <= t:
            self.now = max(self.now, due)
            while self.timers and self.timers[0][0] <= self.now:
                _, _, handle = heapq.heappop(self.timers)
                if not handle.cancelled():
                    self.ready.append(handle)
            self.run_until_idle()
        self.now = max(self.now, t)

    def start_task(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Start a task and run the loop until it is idle."""
        asyncio._set_running_loop(self)
        try:
            task: asyncio.Task[Any] = self.create_task(work)
        finally:
            asyncio._set_running_loop(None)
        self.run_until_idle()
        return task
