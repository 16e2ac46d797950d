"""A stand-in server on a socket: the machine inside it, its connections, its calls to the tier below."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from orchidferry.testkit import seeded_random
from orchidferry.testkit.exchange import (
    Attempt,
    RequestOptions,
    RequestSender,
    encode_request,
    expected_body,
    path_conditions,
    request_root,
)
from orchidferry.testkit.record import (
    ExecutionEnded,
    ExecutionStarted,
    Recorder,
    RequestReceived,
    ServerDown,
    ServerUp,
)
from orchidferry.testkit.scenario import Class, Scenario
from orchidferry.testkit.traffic.guard import PROOF_CLASS, proof
from orchidferry.testkit.wire import Address, Request, ServerSide
from orchidferry.testkit.world import machine as inside
from orchidferry.testkit.world.plan import Server

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import Files
    from orchidferry.testkit.quic.server import H3Server, ServerStream

BACKLOG = 1024
RUNS_ALL_THE_SAME = 0.5  # of the requests whose connection is reset are worked on, and their answer lost
REJECTED = "X-Rejected: 1\r\n"
CHAIN_HEADERS = ("baggage", "cdn-loop")  # that a server hands on with its calls,
UP = re.compile(r"(below|kept); used=(\d{1,2})")  # and what it hands up of their answers


@dataclass(slots=True)
class Held:
    """A request that came over a connection and is not answered."""

    connection: ServerSide | ServerStream
    root: str
    cls: Class
    object: str
    came: float
    down: tuple[str, ...] = ()  # headers of a chain of tiers, for its calls
    below: bool = False  # one of its calls met overload
    used: int = 0  # attempts beyond the first that were made below


class StandIn:
    """One server, while it runs. `down` ends it and all that it keeps."""

    def __init__(
        self,
        server: Server,
        scenario: Scenario,
        recorder: Recorder,
        exchanges: RequestSender,
        scope: Callable[[Class], inside.Keys],
        node: tuple[str, Address] | None,
        fell: Callable[[str], None],
        files: Files | None = None,
        proof_key: str = "",
    ) -> None:
        self._proof_key = proof_key
        self.server = server
        self._scenario = scenario
        self._recorder = recorder
        self._exchanges = exchanges
        self._scope = scope
        self._node = node
        self._fell = fell
        self._files = files
        self._quic: H3Server | None = None
        self._classes = {cls.name: cls for cls in scenario.classes}
        self._loop = asyncio.get_running_loop()
        self._connections: dict[
            ServerSide | ServerStream, set[str]
        ] = {}  # with the ids that each is owed an answer to
        self._held: dict[str, Held] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._troubles: dict[tuple[str, int], float] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._listener: asyncio.Server | None = None
        self._calls = 0
        self._machine: inside.Machine
        self.open = False

    async def up(self, address: Address, cold: bool) -> None:
        """Serve from now on."""
        tier = self._scenario.tiers[self.server.tier]
        self._listener = await self._loop.create_server(
            lambda: ServerSide(self._requested, self._lost, self._made), *address, backlog=BACKLOG
        )
        if self._files is not None:
            from orchidferry.testkit.quic.server import H3Server

            seed = seeded_random.integer(self._scenario.seed, "path", self.server.name)
            self._quic = H3Server(
                self._files, self._requested, self._lost, self._made, path_conditions(self._scenario), seed
            )
            await self._quic.start(address)
        now = self._recorder.now()
        figures = inside.Figures(
            self.server.name,
            tier,
            self._node is None,
            self.server.speed,
            self._scenario.seed,
            self._scenario.rules,
            self._scope,
            now if cold else None,
        )
        self._machine = inside.Machine(figures, now)
        self.open = True
        capacity = tier.cores * self.server.speed
        self._recorder.put(
            ServerUp(now, self.server.tier, self.server.name, cold, capacity, tier.cold_from, tier.cold_for_s)
        )

    def down(self, why: str) -> None:
        """Die: connections are reset, new ones refused, work is lost."""
        if not self.open:
            return
        self.open = False
        if self._listener is not None:
            self._listener.close()
        if self._quic is not None:
            self._quic.stop(abruptly=True)
        if self._timer is not None:
            self._timer.cancel()
        for connection in list(self._connections):
            connection.reset()
        for id in list(self._held):
            self._recorder.put(
                ExecutionEnded(self._recorder.now(), self.server.tier, self.server.name, id, "lost")
            )
        self._held.clear()
        for task in self._tasks:
            task.cancel()
        self._recorder.put(ServerDown(self._recorder.now(), self.server.tier, self.server.name, why))

    def trouble(self, do: str, value: float, entry: int) -> None:
        """One kind of trouble begins (value above 0) or ends."""
        silent = self._now("silent")
        if value:
            self._troubles[do, entry] = value
        else:
            self._troubles.pop((do, entry), None)
        if silent and not self._now("silent"):
            # A machine that was cut off is back: what stood open on it is reset.
            for connection in list(self._connections):
                connection.reset()
        if self._quic is not None:
            hole = bool(self._now("silent"))
            self._quic.to_askers.black_hole = self._quic.from_askers.black_hole = hole
        factor = 1.0
        for value in self._all("slow"):
            factor *= value
        fails = max(self._all("errors"), default=0.0)
        self._handle(inside.Trouble(factor, fails, bool(self._all("freeze"))))

    def _all(self, do: str) -> list[float]:
        return [value for (kind, _), value in self._troubles.items() if kind == do]

    def _now(self, do: str) -> float:
        return max(self._all(do), default=0.0)

    # Connections

    def _made(self, connection: ServerSide | ServerStream) -> None:
        if self.open:
            self._connections[connection] = set()
        else:
            connection.reset()

    def _lost(self, connection: ServerSide | ServerStream) -> None:
        for id in self._connections.pop(connection, ()):
            held = self._held.get(id)
            if held is not None and held.connection is connection:
                self._handle(inside.AskerGone(id))

    def _requested(self, connection: ServerSide | ServerStream, request: Request) -> None:
        if not self.open:
            return connection.reset()
        path, _, query = request.target.partition("?")
        if self._proof_key and path == f"/{PROOF_CLASS}" and not self._now("silent"):
            return connection.answer(200, proof(self._proof_key, query.removeprefix("nonce=")))
        id = request.headers.get("x-call-id")
        cls = self._classes.get(path[1:])
        key = request.headers.get("idempotency-key", "")
        if id is None:
            return connection.answer(404)
        wanted = "GET" if cls is not None and cls.repeat == "safe" else "POST"
        if cls is None or request.method != wanted or bool(key) != (cls.repeat == "keyed"):
            return connection.answer(400)
        zero = self._recorder.zero
        server = self.server
        tier = self._scenario.tiers[server.tier]
        root = request_root(id)
        came = request.last - zero
        work = inside.work_of(self._scenario.seed, cls, tier, root)
        self._recorder.put(
            RequestReceived(
                came, request.first - zero, server.tier, server.name, server.cell, id, cls.name, key, work
            )
        )
        if self._now("silent"):
            return
        if seeded_random.uniform(self._scenario.seed, "reset", server.name, id) < self._now("resets"):
            connection.reset()
            if seeded_random.uniform(self._scenario.seed, "lost", server.name, id) >= RUNS_ALL_THE_SAME:
                return
        if id in self._held:  # a second copy while the first is here
            self._recorder.put(ExecutionEnded(self._recorder.now(), server.tier, server.name, id, "rejected"))
            return connection.answer(503, b"", REJECTED)
        if not connection.transport.is_closing():  # else it runs on, though nobody hears of it
            self._connections.get(connection, set()).add(id)
        down: tuple[str, ...] = ()
        if self._scenario.chain.passes:
            down = tuple(f"{n}: {request.headers[n]}" for n in CHAIN_HEADERS if n in request.headers)
        self._held[id] = Held(connection, root, cls, query.removeprefix("obj="), came, down)
        try:
            budget = float(request.headers.get("x-budget", cls.gives_up_s))
        except ValueError:
            return connection.answer(400)
        self._handle(inside.Arrived(id, cls, root, key, came + budget))

    # The machine

    def _handle(self, event: inside.Event) -> None:
        if not self.open:
            return
        for action in self._machine.handle(event, self._recorder.now()):
            match action:
                case inside.Begin():
                    self._recorder.put(
                        ExecutionStarted(self._recorder.now(), self.server.tier, self.server.name, action.id)
                    )
                case inside.Finish():
                    self._finish(action.id, action.how)
                case inside.Call():
                    self._call(action.id, action.number)
                case inside.WakeAt():
                    self._wake_at(action.t)
                case inside.Fall():
                    self.down("fell")
                    self._fell(self.server.name)

    def _wake_at(self, t: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0.0, t - self._recorder.now())
        self._timer = self._loop.call_later(wait, self._handle, inside.Woken())

    def _finish(self, id: str, how: str) -> None:
        held = self._held.pop(id, None)
        if held is None:
            return
        heard = held.connection.open and not self._now("silent")
        if how == "rejected" and not heard:
            how = "lost"  # nobody is told, so it proves nothing to a node
        # First the record: a node may act on the answer before this process runs again.
        self._recorder.put(ExecutionEnded(self._recorder.now(), self.server.tier, self.server.name, id, how))
        if not heard:
            return
        self._connections.get(held.connection, set()).discard(id)
        if how in ("served", "repeat"):
            held.connection.answer(200, expected_body(self._scenario.seed, id))
        elif how == "rejected":
            held.connection.answer(503, b"", REJECTED)
        else:
            up = f"X-Chain: {'below' if held.below else 'kept'}; used={held.used}\r\n"
            held.connection.answer(500, b"", up if held.below or held.used else "")

    def _call(self, id: str, number: int) -> None:
        held = self._held.get(id)
        if held is None or self._node is None:
            return
        task = self._loop.create_task(self._ask_below(id, held, number))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_below(self, id: str, held: Held, number: int) -> None:
        assert self._node is not None
        node, address = self._node
        self._calls += 1
        cls, now = held.cls, self._recorder.now()
        call = f"{held.root}-{number}.{self.server.name}.{self._calls}"
        ends = now + cls.gives_up_s
        if self._scenario.node.passes_deadline:
            ends = min(ends, held.came + cls.gives_up_s)
        ask = Attempt(self.server.tier + 1, call, cls, number, now, ends)

        def make(left: float) -> bytes:
            thing = int(held.object or "0", 16)
            return encode_request(
                cls, call, f"k-{call}", thing, left, False, b"x", RequestOptions(extra_headers=held.down)
            )

        outcome = await self._exchanges.send(ask, node, address, make)
        if self._scenario.chain.passes and (found := UP.fullmatch(outcome.headers.get("x-chain", ""))):
            held.below |= found[1] == "below"
            held.used += int(found[2])
        self._handle(inside.CallDone(id, outcome.how == "answer" and outcome.status == 200))
