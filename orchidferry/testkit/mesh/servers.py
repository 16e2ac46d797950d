"""Stand-in application servers: what PROTOCOL says of them, one on each sidecar machine."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from random import Random

from orchidferry.testkit import draws
from orchidferry.testkit.mesh import call_faults
from orchidferry.testkit.mesh.ask import MIN_LEFT_S, Scene
from orchidferry.testkit.mesh.call_faults import CallFault
from orchidferry.testkit.mesh.configuration import host, prefix
from orchidferry.testkit.mesh.day import KINDS, Day, Kind, Machine
from orchidferry.testkit.mesh.facts import Arrived, Began, Done, Dropped, Sent, ServerEnd, Turned, digest
from orchidferry.testkit.mesh.registration import Registration
from orchidferry.testkit.mesh.tasks import TaskSet
from orchidferry.testkit.wire import Address, Request, ServerSide

IDLE_S = 5  # after which a server closes a connection, and says so
QUEUE = 2  # requests that may wait, for each slot
COLD = 2.0  # how much slower a cold server is
HALF_SENT_S = 0.005  # from half an answer to the reset, so that the half arrives
SILENT_MORE_S = 0.5  # that a silent call is held beyond its time
CLOSES = 0.02  # of answers that end their connection
BY_NAME = {kind.name: kind for kind in KINDS}


@dataclass(slots=True)
class _Job:
    """A request that a server holds."""

    n: int  # 0: a probe of its health
    connection: ServerSide
    request: Request
    kind: Kind
    ends: float
    task: asyncio.Task[None] | None = None
    fault: CallFault | None = None


class Server:
    """One server, in one life."""

    def __init__(self, scene: Scene, day: Day, machine: Machine, life: int = 0) -> None:
        """`life`: how many servers there were on this machine before."""
        self.scene = scene
        self.day = day
        self.machine = machine
        self._life = life
        name = machine.name if life == 0 else f"{machine.name}, life {life}"
        self.id = f"i-{draws.number(scene.seed, 'server', name) & 0xFFFFFFFF:08x}"
        self.address: Address = (machine.ip, scene.ports.application)
        self.slots = day.slots[day.names.index(machine.service.rpartition("-")[0])]
        self.speed = draws.uniform(scene.seed, "speed", machine.name, low=0.8, high=1.25)
        self.registration = Registration(scene, day, machine, self.id, self.address, self.slots)
        self.faulty = False  # calls that may not be repeated break off here, by `call_faults`
        self.closed = False
        self._prefixes = {prefix(scene.seed, kind.name): kind for kind in KINDS}
        self._busy: dict[ServerSide, _Job] = {}  # what holds a slot, or a place in the queue
        self._waiting: deque[_Job] = deque()
        self._at_work = 0
        self._connections: dict[ServerSide, float] = {}  # since when each is idle
        self._server: asyncio.Server | None = None
        self._tasks = TaskSet()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self.registration.born()
        self._server = await loop.create_server(
            lambda: ServerSide(self._on_request, self._on_lost, self._on_made), *self.address
        )
        self._tasks.spawn(self.registration.beats())

    @property
    def state(self) -> str:
        """Its place in the list: in service, or draining."""
        return self.registration.state

    # Connections

    def _on_made(self, connection: ServerSide) -> None:
        peer = (connection.transport.get_extra_info("peername") or ("",))[0]
        foreign = peer not in (self.machine.ip, "127.0.0.1")  # only its own machine reaches it
        if foreign or len(self._connections) >= self.day.max_connections:
            connection.reset()
        self._connections[connection] = self.scene.now()

    def _on_lost(self, connection: ServerSide) -> None:
        self._connections.pop(connection, None)
        job = self._busy.pop(connection, None)
        if job is None:
            return
        if job.task is None:
            self._waiting.remove(job)
        else:
            job.task.cancel()
        if job.n:
            self.scene.note(Dropped(self.scene.now(), job.n))

    def sweep(self) -> None:
        """Close what has idled too long; called every second."""
        before = self.scene.now() - IDLE_S
        for connection, since in list(self._connections.items()):
            if since < before and connection not in self._busy:
                connection.transport.close()

    # Requests

    def _on_request(self, connection: ServerSide, request: Request) -> None:
        if connection in self._busy:
            return connection.reset()  # it serves one at a time
        now = self.scene.now()
        headers = request.headers
        if request.target.partition("?")[0] == "/health":
            return self._take(_Job(0, connection, request, BY_NAME["tally-read"], now + 1.0))
        n = next(self.scene.arrivals)
        id = headers.get("attempt-id", "")
        target = headers.get("target-instance", "")
        self.scene.note(
            Arrived(
                now,
                n,
                id,
                self.id,
                self.machine.service,
                self.machine.name,
                request.method,
                request.target,
                digest(request.body),
                headers.get("calling-service", ""),
                headers.get("operation-key", ""),
                target,
            )
        )
        kind = next((k for p, k in self._prefixes.items() if request.target.startswith(p)), KINDS[0])
        job = _Job(n, connection, request, kind, now)
        if not id:
            return self._turn(job, 400)
        if target and target != self.id:
            return self._turn(job, 421)
        try:
            job.ends = now + max(0.0, float(headers.get("time-remaining", "1000"))) / 1000.0
        except ValueError:
            return self._turn(job, 400)
        if self.faulty and not kind.repeatable:
            job.fault = call_faults.drawn(self.scene.seed, id)
        if job.fault is CallFault.RESET_UNRUN:
            return self._break_off(job)
        self._take(job)

    def _break_off(self, job: _Job) -> None:
        """Reset its connection; a run under way ends with it."""
        self._busy.pop(job.connection, None)
        self.scene.note(Dropped(self.scene.now(), job.n))
        job.connection.reset()

    def _take(self, job: _Job) -> None:
        if self._at_work >= self.slots and len(self._waiting) >= self.slots * QUEUE:
            return self._turn(job, 503)
        self._busy[job.connection] = job
        self._waiting.append(job)
        self._next()

    def _next(self) -> None:
        while self._waiting and self._at_work < self.slots:
            job = self._waiting.popleft()
            if job.ends <= self.scene.now():
                self._busy.pop(job.connection, None)
                self._turn(job, 503)
                continue
            self._at_work += 1
            job.task = self._tasks.spawn(self._serve(job))

    def _turn(self, job: _Job, status: int) -> None:
        """Say that it has not run, and never will."""
        if job.n:
            self.scene.note(Turned(self.scene.now(), job.n, status))
        id = job.request.headers.get("attempt-id", "")
        more = f"Answering-Instance: {self.id}\r\n" if status == 421 or not job.n else ""
        job.connection.answer(status, b"", f"Attempt-Id: {id}\r\nNot-Executed: 1\r\n{more}")
        if job.connection in self._connections:
            self._connections[job.connection] = self.scene.now()

    async def _serve(self, job: _Job) -> None:
        """Run one request in a slot."""
        try:
            if job.n == 0:
                await asyncio.sleep(0.001)
                status = 200 if self.state == "in_service" else 503
                job.connection.answer(status, b"", f"Answering-Instance: {self.id}\r\n")
            else:
                await self._run(job)
        finally:
            self._at_work -= 1
            self._busy.pop(job.connection, None)
            if job.connection in self._connections:
                self._connections[job.connection] = self.scene.now()
            if not self.closed:
                self._next()

    def _work_s(self, job: _Job) -> float:
        id = job.request.headers["attempt-id"]
        drawn = draws.log_normal(job.kind.work_ms / 1000.0, 0.4, self.scene.seed, "work", id)
        cold = COLD if self.registration.cold_s else 1.0
        return drawn * cold / self.speed

    async def _run(self, job: _Job) -> None:
        scene = self.scene
        id = job.request.headers["attempt-id"]
        scene.note(Began(scene.now(), job.n))
        status = 200
        work = self._work_s(job)
        calls = job.kind.calls and draws.uniform(scene.seed, "calls", id) < job.kind.calls_share
        await asyncio.sleep(max(0.0, min(work / 2.0, job.ends - scene.now())))
        if calls and scene.now() < job.ends and not await self._inner(job, BY_NAME[job.kind.calls]):
            status = 500
        if job.fault is CallFault.RESET_HALF_RUN:
            return self._break_off(job)
        await asyncio.sleep(max(0.0, min(work / 2.0, job.ends - scene.now())))
        if scene.now() >= job.ends:
            status = 504
        if job.fault is None:
            return self._answer(job, status)
        if job.fault is CallFault.RESET_IN_ANSWER:
            self._answer_half(job, status)
            await asyncio.sleep(HALF_SENT_S)
        elif job.fault is CallFault.SILENT:
            await asyncio.sleep(max(0.0, job.ends - scene.now()) + SILENT_MORE_S)
        self._break_off(job)

    def _answer_half(self, job: _Job, status: int) -> None:
        """Write the head of an answer and half of its body."""
        id = job.request.headers["attempt-id"]
        body = Random(job.n).randbytes(job.kind.size)
        head = f"HTTP/1.1 {status} -\r\nAttempt-Id: {id}\r\nContent-Length: {len(body)}\r\n\r\n"
        if not job.connection.transport.is_closing():
            job.connection.transport.write(head.encode() + body[: len(body) // 2])

    async def _inner(self, job: _Job, kind: Kind) -> bool:
        """Ask another service, by the own machine's node; whether it answered."""
        scene = self.scene
        now = self.scene.now()
        ends = min(job.ends, now + kind.deadline_ms / 1000.0)
        if ends - now < MIN_LEFT_S:
            return False
        name = f"c{job.n}"
        sent = Sent(
            now,
            f"{draws.number(scene.seed, 'id', name):016x}",
            kind.name,
            self.machine.name,
            host(scene.seed),
            "GET",
            f"{prefix(scene.seed, kind.name)}{job.n:x}",
            digest(b""),
            "",
            kind.repeatable,
            ends,
            name,
            now,
            job.n,
        )
        outcome = await scene.ask(self.machine, sent, b"", False, False)
        return outcome.how == "answer" and 200 <= outcome.status < 300

    def _answer(self, job: _Job, status: int) -> None:
        scene = self.scene
        id = job.request.headers["attempt-id"]
        size = round(draws.uniform(scene.seed, "size", id, low=0.8, high=1.2) * job.kind.size)
        body = Random(job.n).randbytes(size if status == 200 else 20)
        seal = f"{job.n:x}.{draws.number(scene.seed, 'seal', job.n):016x}"
        scene.note(Done(scene.now(), job.n, status, seal, digest(body)))
        leaving = self.state != "in_service" or draws.uniform(scene.seed, "closes", id) < CLOSES
        headers = f"Attempt-Id: {id}\r\nServer-Seal: {seal}\r\n"
        headers += "Connection: close\r\n" if leaving else f"Keep-Alive: timeout={IDLE_S}\r\n"
        connection = job.connection
        if job.kind.route_type == "download" and draws.uniform(scene.seed, "chunked", id) < 0.3:
            half = len(body) // 2
            parts = (b"%x\r\n%s\r\n" % (len(part), part) for part in (body[:half], body[half:]))
            head = f"HTTP/1.1 {status} -\r\n{headers}Transfer-Encoding: chunked\r\n\r\n"
            connection.transport.write(head.encode() + b"".join(parts) + b"0\r\n\r\n")
        else:
            connection.answer(status, body, headers)
        if leaving:
            connection.transport.close()

    async def leave(self) -> None:
        """Its planned end."""
        await self.registration.leave()
        self.end()

    def successor(self) -> Server:
        """The server that takes its place on its machine, not started yet."""
        return Server(self.scene, self.day, self.machine, self._life + 1)

    def end(self) -> None:
        """Close all, at once."""
        if self.closed:
            return
        self.closed = True
        self.scene.note(ServerEnd(self.scene.now(), self.id))
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.transport.abort()
        self._tasks.cancel()
