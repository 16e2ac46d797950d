"""A stand-in server with sockets: its model, its connections and its calls to the next tier."""

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
from orchidferry.testkit.world import machine
from orchidferry.testkit.world.plan import Server

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import CertificateFiles
    from orchidferry.testkit.quic.server import H3Server, ServerStream

BACKLOG = 1024  # limit on connections that wait to be accepted
RESET_EXECUTED_FRACTION = 0.5  # fraction of requests on reset connections that are executed, but unanswered
REJECTED_HEADER = "X-Rejected: 1\r\n"
CHAIN_REQUEST_HEADERS = ("baggage", "cdn-loop")  # copied from a request to its calls to the next tier
CHAIN_RESPONSE = re.compile(r"(below|kept); used=(\d{1,2})")  # header X-Chain of the answers to these calls


@dataclass(slots=True)
class PendingRequest:
    """A request that has not been answered."""

    connection: ServerSide | ServerStream
    root: str  # id without the number of the attempt
    cls: Class
    object: str  # index of the requested object, in hexadecimal
    received: float  # seconds on the record's clock
    chain_headers: tuple[str, ...] = ()  # headers to copy to the request's calls
    next_tier_overloaded: bool = False  # whether an answer to its calls reported an overload
    retries_used: int = 0  # number of retries that the answers to its calls reported


@dataclass(frozen=True, slots=True)
class WorkerContext:
    """The objects that the servers of one worker process share."""

    scenario: Scenario
    recorder: Recorder
    sender: RequestSender
    files: CertificateFiles | None = None  # certificates, with HTTP/3
    proof_key: str = ""  # secret that proves to a replay that the test kit started this server


class StandIn:
    """One stand-in server from its start to its end.

    :param keys_of: gives the seen keys with which requests of a class are compared
    :param node: name and address of the sidecar node for the server's calls; None in the last tier
    :param on_collapse: called with the server's name if it collapses under overload
    """

    def __init__(
        self,
        server: Server,
        context: WorkerContext,
        keys_of: Callable[[Class], machine.SeenKeys],
        node: tuple[str, Address] | None,
        on_collapse: Callable[[str], None],
    ) -> None:
        self.server = server
        self._scenario = context.scenario
        self._recorder = context.recorder
        self._sender = context.sender
        self._files = context.files
        self._proof_key = context.proof_key
        self._keys_of = keys_of
        self._node = node
        self._on_collapse = on_collapse
        self._quic: H3Server | None = None
        self._classes = {cls.name: cls for cls in context.scenario.classes}
        self._loop = asyncio.get_running_loop()
        # ids of the unanswered requests, by connection
        self._connections: dict[ServerSide | ServerStream, set[str]] = {}
        self._pending: dict[str, PendingRequest] = {}  # by request id
        self._tasks: set[asyncio.Task[None]] = set()  # calls to the next tier
        self._faults: dict[tuple[str, int], float] = {}  # strength by kind and index of the timeline entry
        self._timer: asyncio.TimerHandle | None = None  # for the latest `WakeAt` of the model
        self._listener: asyncio.Server | None = None
        self._calls = 0  # number of calls made, for unique ids
        self._machine: machine.Machine
        self.is_open = False

    async def start(self, address: Address, cold: bool) -> None:
        """Start serving.

        :param cold: whether the server begins with slow start
        """
        tier = self._scenario.tiers[self.server.tier]
        self._listener = await self._loop.create_server(
            lambda: ServerSide(self._on_request, self._on_connection_lost, self._on_connection_made),
            *address,
            backlog=BACKLOG,
        )
        if self._files is not None:
            from orchidferry.testkit.quic.server import H3Server

            seed = seeded_random.integer(self._scenario.seed, "path", self.server.name)
            self._quic = H3Server(
                self._files,
                self._on_request,
                self._on_connection_lost,
                self._on_connection_made,
                path_conditions(self._scenario),
                seed,
            )
            await self._quic.start(address)
        now = self._recorder.now()
        parameters = machine.ServerParameters(
            self.server.name,
            tier,
            self._node is None,
            self.server.speed,
            self._scenario.seed,
            self._scenario.rules,
            self._keys_of,
            now if cold else None,
        )
        self._machine = machine.Machine(parameters, now)
        self.is_open = True
        capacity = tier.cores * self.server.speed
        self._recorder.put(
            ServerUp(now, self.server.tier, self.server.name, cold, capacity, tier.cold_from, tier.cold_for_s)
        )

    def stop(self, why: str) -> None:
        """End the server: connections are reset, new ones are refused, and open requests are lost.

        :param why: the reason to record
        """
        if not self.is_open:
            return
        self.is_open = False
        if self._listener is not None:
            self._listener.close()
        if self._quic is not None:
            self._quic.stop(abruptly=True)
        if self._timer is not None:
            self._timer.cancel()
        for connection in list(self._connections):
            connection.reset()
        for id in list(self._pending):
            self._recorder.put(
                ExecutionEnded(self._recorder.now(), self.server.tier, self.server.name, id, "lost")
            )
        self._pending.clear()
        for task in self._tasks:
            task.cancel()
        self._recorder.put(ServerDown(self._recorder.now(), self.server.tier, self.server.name, why))

    def set_fault(self, kind: str, value: float, entry: int) -> None:
        """Begin or end a fault; faults of one kind may overlap.

        :param kind: one of `SERVER_FAULTS` in `world.plan`
        :param value: the fault's strength; 0 ends the fault
        :param entry: index of the timeline entry to which the fault belongs
        """
        was_silent = self._strongest("silent")
        if value:
            self._faults[kind, entry] = value
        else:
            self._faults.pop((kind, entry), None)
        if was_silent and not self._strongest("silent"):
            # Reset the old connections, as a server does that is reachable again and has lost their state.
            for connection in list(self._connections):
                connection.reset()
        if self._quic is not None:
            black_hole = bool(self._strongest("silent"))
            self._quic.to_requesters.black_hole = self._quic.from_requesters.black_hole = black_hole
        slowdown = 1.0
        for value in self._values("slow"):
            slowdown *= value
        failure_rate = max(self._values("errors"), default=0.0)
        self._handle(machine.ServerFaults(slowdown, failure_rate, bool(self._values("freeze"))))

    def _values(self, kind: str) -> list[float]:
        return [value for (active, _), value in self._faults.items() if active == kind]

    def _strongest(self, kind: str) -> float:
        return max(self._values(kind), default=0.0)

    def _on_connection_made(self, connection: ServerSide | ServerStream) -> None:
        if self.is_open:
            self._connections[connection] = set()
        else:
            connection.reset()

    def _on_connection_lost(self, connection: ServerSide | ServerStream) -> None:
        for id in self._connections.pop(connection, ()):
            pending = self._pending.get(id)
            if pending is not None and pending.connection is connection:
                self._handle(machine.ClientGone(id))

    def _on_request(self, connection: ServerSide | ServerStream, request: Request) -> None:
        if not self.is_open:
            return connection.reset()
        path, _, query = request.target.partition("?")
        if self._proof_key and path == f"/{PROOF_CLASS}" and not self._strongest("silent"):
            return connection.answer(200, proof(self._proof_key, query.removeprefix("nonce=")))
        id = request.headers.get("x-call-id")
        cls = self._classes.get(path[1:])
        key = request.headers.get("idempotency-key", "")
        if id is None:
            return connection.answer(404)
        if cls is None or not _is_well_formed(request, cls):
            return connection.answer(400)
        received = self._record_received(request, id, cls, key)
        if self._strongest("silent") or self._is_dropped_by_reset(connection, id):
            return None
        server = self.server
        if id in self._pending:  # a duplicate of a request that is being processed
            self._recorder.put(ExecutionEnded(self._recorder.now(), server.tier, server.name, id, "rejected"))
            return connection.answer(503, b"", REJECTED_HEADER)
        if not connection.transport.is_closing():  # otherwise the request runs, but its answer is lost
            self._connections.get(connection, set()).add(id)
        root = request_root(id)
        item = query.removeprefix("obj=")
        headers = self._chain_headers(request)
        self._pending[id] = PendingRequest(connection, root, cls, item, received, headers)
        try:
            budget = float(request.headers.get("x-budget", cls.gives_up_s))
        except ValueError:
            return connection.answer(400)
        self._handle(machine.Arrived(id, cls, root, key, received + budget))
        return None

    def _record_received(self, request: Request, id: str, cls: Class, key: str) -> float:
        """Record a request, and return when it was received, in seconds on the record's clock."""
        zero = self._recorder.zero
        server = self.server
        tier = self._scenario.tiers[server.tier]
        received = request.last - zero
        work = machine.draw_work(self._scenario.seed, cls, tier, request_root(id))
        self._recorder.put(
            RequestReceived(
                received, request.first - zero, server.tier, server.name, server.cell, id, cls.name, key, work
            )
        )
        return received

    def _is_dropped_by_reset(self, connection: ServerSide | ServerStream, id: str) -> bool:
        """Reset the connection if a fault requires it.

        :returns: whether the request is dropped with its connection, and not executed
        """
        seed = self._scenario.seed
        name = self.server.name
        if seeded_random.uniform(seed, "reset", name, id) >= self._strongest("resets"):
            return False
        connection.reset()
        return seeded_random.uniform(seed, "lost", name, id) >= RESET_EXECUTED_FRACTION

    def _chain_headers(self, request: Request) -> tuple[str, ...]:
        if not self._scenario.chain.passes:
            return ()
        headers = request.headers
        return tuple(f"{name}: {headers[name]}" for name in CHAIN_REQUEST_HEADERS if name in headers)

    def _handle(self, event: machine.Event) -> None:
        if not self.is_open:
            return
        for action in self._machine.handle(event, self._recorder.now()):
            match action:
                case machine.Begin():
                    self._recorder.put(
                        ExecutionStarted(self._recorder.now(), self.server.tier, self.server.name, action.id)
                    )
                case machine.Finish():
                    self._finish(action.id, action.how)
                case machine.Call():
                    self._call(action.id, action.number)
                case machine.WakeAt():
                    self._wake_at(action.t)
                case machine.Collapse():
                    self.stop("fell")
                    self._on_collapse(self.server.name)

    def _wake_at(self, t: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        wait = max(0.0, t - self._recorder.now())
        self._timer = self._loop.call_later(wait, self._handle, machine.Woken())

    def _finish(self, id: str, how: str) -> None:
        pending = self._pending.pop(id, None)
        if pending is None:
            return
        is_reachable = pending.connection.open and not self._strongest("silent")
        if how == "rejected" and not is_reachable:
            how = "lost"  # a rejection that is not delivered does not tell the node that nothing was executed
        # The end is recorded before the answer is sent, as a node may act on the answer before this process
        # runs again.
        self._recorder.put(ExecutionEnded(self._recorder.now(), self.server.tier, self.server.name, id, how))
        if not is_reachable:
            return
        self._connections.get(pending.connection, set()).discard(id)
        if how in ("served", "repeat"):
            pending.connection.answer(200, expected_body(self._scenario.seed, id))
        elif how == "rejected":
            pending.connection.answer(503, b"", REJECTED_HEADER)
        else:
            pending.connection.answer(500, b"", _chain_response(pending))

    def _call(self, id: str, number: int) -> None:
        pending = self._pending.get(id)
        if pending is None or self._node is None:
            return
        task = self._loop.create_task(self._call_next_tier(id, pending, number))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call_next_tier(self, id: str, pending: PendingRequest, number: int) -> None:
        assert self._node is not None
        node, address = self._node
        self._calls += 1
        cls = pending.cls
        now = self._recorder.now()
        call = f"{pending.root}-{number}.{self.server.name}.{self._calls}"
        ends = now + cls.gives_up_s
        if self._scenario.node.passes_deadline:
            ends = min(ends, pending.received + cls.gives_up_s)
        attempt = Attempt(self.server.tier + 1, call, cls, number, now, ends)

        def encode(budget_s: float) -> bytes:
            item = int(pending.object or "0", 16)
            return encode_request(
                cls,
                call,
                f"k-{call}",
                item,
                budget_s,
                False,
                b"x",
                RequestOptions(extra_headers=pending.chain_headers),
            )

        outcome = await self._sender.send(attempt, node, address, encode)
        if self._scenario.chain.passes and (
            found := CHAIN_RESPONSE.fullmatch(outcome.headers.get("x-chain", ""))
        ):
            pending.next_tier_overloaded |= found[1] == "below"
            pending.retries_used += int(found[2])
        self._handle(machine.CallDone(id, outcome.how == "answer" and outcome.status == 200))


def _is_well_formed(request: Request, cls: Class) -> bool:
    method = "GET" if cls.repeat == "safe" else "POST"
    has_key = bool(request.headers.get("idempotency-key", ""))
    return request.method == method and has_key == (cls.repeat == "keyed")


def _chain_response(pending: PendingRequest) -> str:
    """Return the header of an error answer that reports on the calls to the next tier, or an empty string."""
    if not pending.next_tier_overloaded and not pending.retries_used:
        return ""
    state = "below" if pending.next_tier_overloaded else "kept"
    return f"X-Chain: {state}; used={pending.retries_used}\r\n"
