"""An event loop of virtual time with transports in memory. Nothing waits, nothing leaves the process.

It keeps what asyncio promises and no more: callbacks that are ready run in the order in which they became so,
timers in the order of their times and, of one time, of their making. What asyncio and TCP leave open (when a
peer's bytes come, when a connection is up, when time passes) is not decided here: `Wire`s and the clock move
only when the explorer says so.
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
MAX_TURNS = 20_000  # callbacks between two choices: more is a loop that never rests


class LoopNeverRestsError(OrchidferryError):
    """The loop does not come to rest."""


class Wire(asyncio.Transport):
    """The node's end of a connection; the other end is the explorer's.

    What the node writes stands in `out`; `feed`, `eof` and `lose` are what the peer does.
    """

    def __init__(self, loop: Loop, protocol: asyncio.Protocol, address: Address | None) -> None:
        super().__init__()
        self.loop = loop
        self.protocol = protocol
        self.address = address
        self.out = bytearray()
        self.closing = self.lost = self.eof_written = False
        self.unread = False  # the peer has sent, or closed, and the node has not been told yet
        self.number = loop.number(address)

    # The node's side

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Keep what the node writes."""
        if not self.closing:
            self.out += data

    def write_eof(self) -> None:
        """Note that the node ends its sending."""
        self.eof_written = True

    def can_write_eof(self) -> bool:
        """It can."""
        return True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Nothing is ever held back here."""

    def get_write_buffer_size(self) -> int:
        """Nothing is ever held back here."""
        return 0

    def is_closing(self) -> bool:
        """Whether the node has closed it, or it is lost."""
        return self.closing

    def close(self) -> None:
        """Close it."""
        if not self.closing:
            self.closing = True
            self.loop.call_soon(self._lost, None)

    abort = close

    def pause_reading(self) -> None:
        """Peers here send no more than is read."""

    def resume_reading(self) -> None:
        """See `pause_reading`."""

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """The wire itself stands for the socket."""
        return self if name == "socket" else default

    def fileno(self) -> int:
        """Its number."""
        return self.number

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        """Tell nothing of a kernel: what comes is read in the same moment.

        :raises OSError: always.
        """
        raise OSError(errno.ENOPROTOOPT, "no such option")

    def _lost(self, problem: Exception | None) -> None:
        if not self.lost:
            self.lost = self.closing = True
            self.protocol.connection_lost(problem)

    # The peer's side: the bytes are on their way at once, and read in the loop's own time

    def feed(self, data: bytes) -> None:
        """The peer has sent something."""
        self.unread = True
        self.loop.call_soon(self._read, data)

    def _read(self, data: bytes) -> None:
        self.unread = False
        if not self.closing:
            self.protocol.data_received(data)

    def eof(self) -> None:
        """The peer has closed."""
        self.unread = True
        self.loop.call_soon(self._read_eof)

    def _read_eof(self) -> None:
        if not self.closing and not self.protocol.eof_received():
            self.close()

    def lose(self) -> None:
        """The peer has reset it."""
        self.unread = True
        self.loop.call_soon(self._reset)

    def _reset(self) -> None:
        self.closing = True
        self._lost(ConnectionResetError(104, "reset"))


class Poll:
    """`select.poll` over wires."""

    def __init__(self, loop: Loop) -> None:
        self._loop = loop
        self._wire: Wire | None = None

    def register(self, number: int, events: int) -> None:
        """Look at the wire of that number."""
        self._wire = next((wire for wire in self._loop.wires if wire.number == number), None)

    def poll(self, timeout: float) -> list[int]:
        """Something where the wire has input that was not read."""
        return [1] if self._wire is not None and self._wire.unread else []


class Listener:
    """What `create_server` gives."""

    def __init__(self, make: Callable[[], asyncio.Protocol], address: Address) -> None:
        self.make = make
        self.address = address
        self.open = True
        self.sockets = [self]

    def getsockname(self) -> Address:
        """The address."""
        return self.address

    def close(self) -> None:
        """Close it."""
        self.open = False


class Dial:
    """A connection that the node opens, until it is up or not."""

    def __init__(
        self, make: Callable[[], asyncio.Protocol], address: Address, done: asyncio.Future[Wire]
    ) -> None:
        self.make = make
        self.address = address
        self.done = done


class Loop(asyncio.AbstractEventLoop):
    """The loop itself."""

    def __init__(self, start_s: float = 1_000.0) -> None:
        self.now = start_s
        self.ready: deque[asyncio.Handle] = deque()
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._serial = itertools.count()
        self._numbers: Counter[Address | None] = Counter()
        self.wires: list[Wire] = []
        self.dials: list[Dial] = []
        self.listeners: list[Listener] = []
        self.tasks: list[asyncio.Task[Any]] = []
        self.problems: list[str] = []  # what nobody caught

    def number(self, address: Address | None) -> int:
        """One that tells connections apart, and does not depend on the order in which others came up."""
        self._numbers[address] += 1
        place = int(address[0].rpartition(".")[2]) + 1 if address is not None else 0
        return 1_000 * place + self._numbers[address]

    # What asyncio asks of a loop

    def time(self) -> float:
        """The virtual time in seconds."""
        return self.now

    def get_debug(self) -> bool:
        """Never."""
        return False

    def is_running(self) -> bool:
        """It counts as running."""
        return True

    def is_closed(self) -> bool:
        """It never closes."""
        return False

    def call_soon(self, callback: Any, *args: Any, context: Context | None = None) -> asyncio.Handle:  # type: ignore[override]
        """Call back in the next iteration."""
        handle = asyncio.Handle(callback, args, self, context)
        self.ready.append(handle)
        return handle

    def call_at(  # type: ignore[override]
        self, when: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Call back at a time."""
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        heapq.heappush(self.timers, (when, next(self._serial), handle))
        return handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Any, *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        """Call back after a delay."""
        return self.call_at(self.now + max(0.0, delay), callback, *args, context=context)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        """Cancelled ones are passed over when they come up."""

    def create_future(self) -> asyncio.Future[Any]:
        """A future of this loop."""
        return asyncio.Future(loop=self)

    def create_task(self, coro: Any, *, name: str | None = None, context: Context | None = None) -> Any:
        """A task of this loop; it is kept until it is done."""
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        self.tasks.append(task)
        return task

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep an error that nobody handled."""
        self.problems.append(f"{context.get('message')}: {context.get('exception')!r}"[:300])

    def default_exception_handler(self, context: dict[str, Any]) -> None:
        """Keep an error that nobody handled."""
        self.call_exception_handler(context)

    async def create_connection(self, make: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        """Dial: the explorer says what comes of it."""
        done: asyncio.Future[Wire] = self.create_future()
        dial = Dial(make, (host, port), done)
        self.dials.append(dial)
        try:
            wire = await done
        finally:
            if dial in self.dials:
                self.dials.remove(dial)
        return wire, wire.protocol

    async def create_server(self, make: Any, host: Any = None, port: Any = None, **_: Any) -> Any:  # type: ignore[override]
        """Listen."""
        listener = Listener(make, (host, port))
        self.listeners.append(listener)
        return listener

    # The explorer's hand

    def up(self, dial: Dial) -> None:
        """A connection that the node opens is up."""
        self.dials.remove(dial)
        if dial.done.done():
            return
        wire = Wire(self, dial.make(), dial.address)
        self.wires.append(wire)
        # As asyncio does: the protocol hears of it first, whoever dialled a turn later.
        self.call_soon(wire.protocol.connection_made, wire)
        self.call_soon(lambda: None if dial.done.done() else dial.done.set_result(wire))

    def refuse(self, dial: Dial) -> None:
        """Nobody listens there."""
        self.dials.remove(dial)
        if not dial.done.done():
            dial.done.set_exception(ConnectionRefusedError(111, "refused"))

    def accept(self, listener: Listener) -> Wire:
        """A caller has connected."""
        wire = Wire(self, listener.make(), None)
        self.wires.append(wire)
        self.call_soon(wire.protocol.connection_made, wire)
        return wire

    def settle(self) -> None:
        """Run all that is ready, up to rest. `LoopNeverRestsError` if there is none."""
        asyncio._set_running_loop(self)
        try:
            for _ in range(MAX_TURNS):
                if not self.ready:
                    break
                handle = self.ready.popleft()
                if not handle.cancelled():
                    handle._run()
            else:
                raise LoopNeverRestsError(f"{MAX_TURNS} callbacks without rest")
        finally:
            asyncio._set_running_loop(None)
        self.tasks = [task for task in self.tasks if not task.done()]

    def next_timer(self) -> float | None:
        """When the next timer that was not called off is due."""
        while self.timers and self.timers[0][2].cancelled():
            heapq.heappop(self.timers)
        return self.timers[0][0] if self.timers else None

    def pass_to(self, t: float) -> None:
        """Let time pass up to `t`; all that is due runs, each at its time."""
        while (due := self.next_timer()) is not None and due <= t:
            self.now = max(self.now, due)
            while self.timers and self.timers[0][0] <= self.now:
                _, _, handle = heapq.heappop(self.timers)
                if not handle.cancelled():
                    self.ready.append(handle)
            self.settle()
        self.now = max(self.now, t)

    def run(self, work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Begin a task; it goes as far as it gets without a choice."""
        asyncio._set_running_loop(self)
        try:
            task: asyncio.Task[Any] = self.create_task(work)
        finally:
            asyncio._set_running_loop(None)
        self.settle()
        return task
