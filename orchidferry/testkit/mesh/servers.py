"""Stand-in application servers, one on each sidecar machine.

They follow the protocol between proxies and applications that the operators' documentation describes.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from random import Random

from orchidferry.testkit import seeded_random
from orchidferry.testkit.mesh.call_faults import CallFault, call_fault
from orchidferry.testkit.mesh.configuration import host_name, path_prefix
from orchidferry.testkit.mesh.context import MIN_REMAINING_S, RunContext
from orchidferry.testkit.mesh.day import KINDS, Day, Kind, Machine
from orchidferry.testkit.mesh.facts import Arrived, Began, Done, Dropped, Rejected, Sent, ServerEnd, digest
from orchidferry.testkit.mesh.registration import IN_SERVICE, Registration
from orchidferry.testkit.mesh.tasks import TaskSet
from orchidferry.testkit.wire import Address, Request, ServerSide

IDLE_TIMEOUT_S = 5
"""How long a connection may idle before the server closes it; announced in the Keep-Alive header."""

QUEUE_PER_SLOT = 2
"""How many requests may wait for each execution slot; further ones are rejected."""

COLD_FACTOR = 2.0
"""How many times as long a cold server executes a request."""

MIN_SPEED = 0.8
MAX_SPEED = 1.25
"""Bounds of a server's speed, relative to the nominal one."""

WORK_VARIATION = 0.4
"""The coefficient of variation of the execution time of requests."""

RESET_DELAY_S = 0.005
"""The time from the first half of a response to the reset, so that the client gets that half first."""

SILENCE_BEYOND_DEADLINE_S = 0.5
"""How long a server with the fault `CallFault.SILENT` keeps the connection open after the deadline."""

CLOSE_SHARE = 0.02
"""The fraction of responses after which the server closes the connection."""

CHUNKED_SHARE = 0.3
"""The fraction of responses to downloads that use chunked transfer encoding."""

LARGE_RESPONSE_BYTES = 5_000_000
"""Nominal size of a large download; more than the kernel buffers for a peer that is not reading."""

ERROR_BODY_BYTES = 20
HEALTH_PATH = "/health"
HEALTH_TIMEOUT_S = 1.0
HEALTH_WORK_S = 0.001
DEFAULT_REMAINING_MS = "1000"
"""The time budget of a request without a Time-Remaining header."""

KINDS_BY_NAME = {kind.name: kind for kind in KINDS}


@dataclass(slots=True)
class _Job:
    """A request that a server has received and not answered yet."""

    number: int  # number of the arrival, counted over the run; 0: a health probe
    connection: ServerSide
    request: Request
    kind: Kind
    deadline: float  # on the run's clock
    task: asyncio.Task[None] | None = None  # executes the request; None: it is queued
    fault: CallFault | None = None

    @property
    def id(self) -> str:
        return self.request.headers.get("attempt-id", "")


class Server:
    """One incarnation of a server."""

    def __init__(self, context: RunContext, day: Day, machine: Machine, incarnation: int = 0) -> None:
        """Create a server without starting it.

        :param incarnation: how many servers this machine had before
        """
        self._context = context
        self._day = day
        self.machine = machine
        self._incarnation = incarnation
        name = machine.name if incarnation == 0 else f"{machine.name}, life {incarnation}"
        self.id = f"i-{seeded_random.integer(context.seed, 'server', name) & 0xFFFFFFFF:08x}"
        self.address: Address = (machine.ip, context.ports.application)
        self._slots = day.slots[day.service_base_names.index(machine.service.rpartition("-")[0])]
        seed = context.seed
        self._speed = seeded_random.uniform(seed, "speed", machine.name, low=MIN_SPEED, high=MAX_SPEED)
        self._registration = Registration(context, day, machine, self.id, self.address, self._slots)
        self.faulty = False  # inject the faults of `call_faults` into calls that are not idempotent
        self.closed = False
        self._kinds_by_prefix = {path_prefix(context.seed, kind.name): kind for kind in KINDS}
        self._jobs: dict[ServerSide, _Job] = {}  # requests that are queued or executed, by connection
        self._queue: deque[_Job] = deque()
        self._executing = 0  # number of occupied execution slots
        # All open connections, each with the time at which it was opened or last became idle.
        self._idle_since: dict[ServerSide, float] = {}
        self._server: asyncio.Server | None = None
        self._tasks = TaskSet()

    async def start(self) -> None:
        """Start to listen and to send heartbeats."""
        loop = asyncio.get_running_loop()
        self._registration.on_started()
        self._server = await loop.create_server(
            lambda: ServerSide(self._on_request, self._on_lost, self._on_connected), *self.address
        )
        self._tasks.spawn(self._registration.send_heartbeats())

    @property
    def in_service(self) -> bool:
        """Whether the server is registered as in service rather than draining."""
        return self._registration.state == IN_SERVICE

    # Connections

    def _on_connected(self, connection: ServerSide) -> None:
        peer = (connection.transport.get_extra_info("peername") or ("",))[0]
        foreign = peer not in (self.machine.ip, "127.0.0.1")  # only its own machine may connect to a server
        if foreign or len(self._idle_since) >= self._day.max_connections:
            connection.reset()
        self._idle_since[connection] = self._context.now()

    def _on_lost(self, connection: ServerSide) -> None:
        self._idle_since.pop(connection, None)
        job = self._jobs.pop(connection, None)
        if job is None:
            return
        if job.task is None:
            self._queue.remove(job)
        else:
            job.task.cancel()
        if job.number:
            self._context.record(Dropped(self._context.now(), job.number))

    def _mark_idle(self, connection: ServerSide) -> None:
        if connection in self._idle_since:
            self._idle_since[connection] = self._context.now()

    def sweep(self) -> None:
        """Close connections that have been idle for `IDLE_TIMEOUT_S`; to be called every second."""
        oldest = self._context.now() - IDLE_TIMEOUT_S
        for connection, since in list(self._idle_since.items()):
            if since < oldest and connection not in self._jobs:
                connection.transport.close()

    # Requests

    def _on_request(self, connection: ServerSide, request: Request) -> None:
        if connection in self._jobs:
            connection.reset()  # pipelining is not supported
            return
        now = self._context.now()
        if request.target.partition("?")[0] == HEALTH_PATH:
            kind = KINDS_BY_NAME["tally-read"]
            self._accept(_Job(0, connection, request, kind, now + HEALTH_TIMEOUT_S))
            return
        prefixes = self._kinds_by_prefix.items()
        kind = next((kind for path, kind in prefixes if request.target.startswith(path)), KINDS[0])
        job = _Job(next(self._context.arrival_numbers), connection, request, kind, now)
        self._record_arrival(job, now)
        status = self._check(job, now)
        if status:
            self._reject(job, status)
            return
        if self.faulty and not kind.repeatable:
            job.fault = call_fault(self._context.seed, job.id)
        if job.fault is CallFault.RESET_BEFORE_EXECUTION:
            self._reset_connection(job)
            return
        self._accept(job)

    def _record_arrival(self, job: _Job, now: float) -> None:
        headers = job.request.headers
        self._context.record(
            Arrived(
                now,
                job.number,
                job.id,
                self.id,
                self.machine.service,
                self.machine.name,
                job.request.method,
                job.request.target,
                digest(job.request.body),
                headers.get("calling-service", ""),
                headers.get("operation-key", ""),
                headers.get("target-instance", ""),
            )
        )

    def _check(self, job: _Job, now: float) -> int:
        """Check the headers of a request and set its deadline.

        :returns: the status with which the request must be rejected, or 0
        """
        headers = job.request.headers
        target = headers.get("target-instance", "")
        if not job.id:
            return 400
        if target and target != self.id:
            return 421
        try:
            remaining_ms = float(headers.get("time-remaining", DEFAULT_REMAINING_MS))
        except ValueError:
            return 400
        job.deadline = now + max(0.0, remaining_ms) / 1000.0
        return 0

    def _reset_connection(self, job: _Job) -> None:
        """Abandon a request, and reset its connection."""
        self._jobs.pop(job.connection, None)
        self._context.record(Dropped(self._context.now(), job.number))
        job.connection.reset()

    def _accept(self, job: _Job) -> None:
        """Queue a request and execute it once a slot is free; reject it if the queue is full."""
        if self._executing >= self._slots and len(self._queue) >= self._slots * QUEUE_PER_SLOT:
            self._reject(job, 503)
            return
        self._jobs[job.connection] = job
        self._queue.append(job)
        self._fill_slots()

    def _fill_slots(self) -> None:
        while self._queue and self._executing < self._slots:
            job = self._queue.popleft()
            if job.deadline <= self._context.now():
                self._jobs.pop(job.connection, None)
                self._reject(job, 503)
                continue
            self._executing += 1
            job.task = self._tasks.spawn(self._serve(job))

    def _reject(self, job: _Job, status: int) -> None:
        """Send an error response with the promise that the request was not and never will be executed."""
        if job.number:
            self._context.record(Rejected(self._context.now(), job.number, status))
        sends_instance = status == 421 or not job.number
        instance = f"Answering-Instance: {self.id}\r\n" if sends_instance else ""
        job.connection.answer(status, b"", f"Attempt-Id: {job.id}\r\nNot-Executed: 1\r\n{instance}")
        self._mark_idle(job.connection)

    async def _serve(self, job: _Job) -> None:
        """Execute one request or health probe in a slot, and free the slot."""
        try:
            if job.number == 0:
                await asyncio.sleep(HEALTH_WORK_S)
                status = 200 if self.in_service else 503
                job.connection.answer(status, b"", f"Answering-Instance: {self.id}\r\n")
            else:
                await self._execute(job)
        finally:
            self._executing -= 1
            self._jobs.pop(job.connection, None)
            self._mark_idle(job.connection)
            if not self.closed:
                self._fill_slots()

    def _execution_time_s(self, job: _Job) -> float:
        """The simulated execution time of a request, in seconds, without calls to other services."""
        mean = job.kind.work_ms / 1000.0
        work = seeded_random.log_normal(mean, WORK_VARIATION, self._context.seed, "work", job.id)
        factor = COLD_FACTOR if self._registration.cold_remaining_s else 1.0
        return work * factor / self._speed

    async def _execute(self, job: _Job) -> None:
        """Simulate the execution of a request, some with a call to another service halfway, and respond."""
        context = self._context
        context.record(Began(context.now(), job.number))
        status = 200
        half_s = self._execution_time_s(job) / 2.0
        calls = job.kind.calls and seeded_random.uniform(context.seed, "calls", job.id) < job.kind.calls_share
        await asyncio.sleep(max(0.0, min(half_s, job.deadline - context.now())))
        if calls and context.now() < job.deadline:
            served = await self._call_service(job, KINDS_BY_NAME[job.kind.calls])
            status = 200 if served else 500
        if job.fault is CallFault.RESET_DURING_EXECUTION:
            self._reset_connection(job)
            return
        await asyncio.sleep(max(0.0, min(half_s, job.deadline - context.now())))
        if context.now() >= job.deadline:
            status = 504
        if job.fault is None:
            self._answer(job, status)
            return
        if job.fault is CallFault.RESET_DURING_ANSWER:
            self._answer_half(job, status)
            await asyncio.sleep(RESET_DELAY_S)
        elif job.fault is CallFault.SILENT:
            await asyncio.sleep(max(0.0, job.deadline - context.now()) + SILENCE_BEYOND_DEADLINE_S)
        self._reset_connection(job)

    async def _call_service(self, job: _Job, kind: Kind) -> bool:
        """Call another service through the proxy on the same machine; returns whether it succeeded."""
        context = self._context
        now = context.now()
        deadline = min(job.deadline, now + kind.deadline_ms / 1000.0)
        if deadline - now < MIN_REMAINING_S:
            return False
        root = f"c{job.number}"
        sent = Sent(
            now,
            f"{seeded_random.integer(context.seed, 'id', root):016x}",
            kind.name,
            self.machine.name,
            host_name(context.seed),
            "GET",
            f"{path_prefix(context.seed, kind.name)}{job.number:x}",
            digest(b""),
            "",
            kind.repeatable,
            deadline,
            root,
            now,
            job.number,
        )
        outcome = await context.send(self.machine, sent, b"", False, False)
        return outcome.how == "answer" and 200 <= outcome.status < 300

    # Responses

    def _answer(self, job: _Job, status: int) -> None:
        """Send a complete response, with a seal that identifies it in the record."""
        context = self._context
        factor = seeded_random.uniform(context.seed, "size", job.id, low=0.8, high=1.2)
        download = job.kind.route_type == "download"
        large = download and seeded_random.uniform(context.seed, "large", job.id) < self._day.large_share
        size = round(factor * (LARGE_RESPONSE_BYTES if large else job.kind.size))
        body = Random(job.number).randbytes(size if status == 200 else ERROR_BODY_BYTES)
        seal = f"{job.number:x}.{seeded_random.integer(context.seed, 'seal', job.number):016x}"
        context.record(Done(context.now(), job.number, status, seal, digest(body)))
        closes = not self.in_service or seeded_random.uniform(context.seed, "closes", job.id) < CLOSE_SHARE
        headers = f"Attempt-Id: {job.id}\r\nServer-Seal: {seal}\r\n"
        headers += "Connection: close\r\n" if closes else f"Keep-Alive: timeout={IDLE_TIMEOUT_S}\r\n"
        if download and seeded_random.uniform(context.seed, "chunked", job.id) < CHUNKED_SHARE:
            self._answer_chunked(job, status, headers, body)
        else:
            job.connection.answer(status, body, headers)
        if closes:
            job.connection.transport.close()

    def _answer_chunked(self, job: _Job, status: int, headers: str, body: bytes) -> None:
        half = len(body) // 2
        parts = (b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:]))
        head = f"HTTP/1.1 {status} -\r\n{headers}Transfer-Encoding: chunked\r\n\r\n"
        job.connection.transport.write(head.encode() + b"".join(parts) + b"0\r\n\r\n")

    def _answer_half(self, job: _Job, status: int) -> None:
        """Send the head of a response and the first half of its body."""
        body = Random(job.number).randbytes(job.kind.size)
        head = f"HTTP/1.1 {status} -\r\nAttempt-Id: {job.id}\r\nContent-Length: {len(body)}\r\n\r\n"
        if not job.connection.transport.is_closing():
            job.connection.transport.write(head.encode() + body[: len(body) // 2])

    # Shutdown

    async def leave(self) -> None:
        """Drain and deregister the server, then close it."""
        await self._registration.leave()
        self.close()

    def successor(self) -> Server:
        """Create the next incarnation of the server on the same machine, without starting it."""
        return Server(self._context, self._day, self.machine, self._incarnation + 1)

    def close(self) -> None:
        """Close the listener and all connections immediately."""
        if self.closed:
            return
        self.closed = True
        self._context.record(ServerEnd(self._context.now(), self.id))
        if self._server is not None:
            self._server.close()
        for connection in list(self._idle_since):
            connection.transport.abort()
        self._tasks.cancel()
