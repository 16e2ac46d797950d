"""Stand-in application servers: what PROTOCOL says of them, one on each sidecar machine."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from dataclasses import dataclass
from random import Random

from rehearsal import draws
from rehearsal.mesh.ask import LEAST_LEFT_S, Scene, call
from rehearsal.mesh.configuration import host, prefix
from rehearsal.mesh.day import KINDS, Day, Kind, Machine
from rehearsal.mesh.facts import Arrived, Began, Done, Dropped, Notice, Sent, ServerEnd, Turned, digest
from rehearsal.wire import Address, Request, ServerSide

IDLE_S = 5  # after which a server closes a connection, and says so
QUEUE = 2  # requests that may wait, for each slot
COLD_S, COLD = 2.0, 2.0  # how long a server is slow from its start, and how much
CLOSES = 0.02  # of answers that end their connection
LEAVE_MORE_S = 0.6  # that a leaving server serves beyond `drain_ms`
LEAVE_MOST_S = 6.0  # after which it goes without an acknowledgement
MOST_ACK = 4096  # bytes of an acknowledgement
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


class Server:
    """One server, in one life."""

    def __init__(self, scene: Scene, day: Day, machine: Machine) -> None:
        self.scene, self.day, self.machine = scene, day, machine
        self.id = f"i-{draws.number(scene.seed, 'server', machine.name) & 0xFFFFFFFF:08x}"
        self.address: Address = (machine.ip, scene.ports.application)
        self.slots = day.slots[day.names.index(machine.service.rpartition("-")[0])]
        self.speed = draws.uniform(scene.seed, "speed", machine.name, low=0.8, high=1.25)
        self.state = "in_service"
        self.closed = False
        self._prefixes = {prefix(scene.seed, kind.name): kind for kind in KINDS}
        self._busy: dict[ServerSide, _Job] = {}  # what holds a slot, or a place in the queue
        self._waiting: deque[_Job] = deque()
        self._at_work = 0
        self._connections: dict[ServerSide, float] = {}  # since when each is idle
        self._sequence = 0
        self._beat_address: Address | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._born = scene.now()
        self._left = asyncio.Event()

    async def start(self) -> None:
        loop = asyncio.get_running_loop()
        self._born = self.scene.now()
        self._server = await loop.create_server(
            lambda: ServerSide(self._on_request, self._on_lost, self._on_made), *self.address
        )
        self._task(self._beats())

    def _task(self, work: object) -> asyncio.Task[None]:
        task: asyncio.Task[None] = asyncio.get_running_loop().create_task(work)  # type: ignore[arg-type]
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

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
        now, headers = self.scene.now(), request.headers
        if request.target.partition("?")[0] == "/health":
            return self._take(_Job(0, connection, request, BY_NAME["tally-read"], now + 1.0))
        n = next(self.scene.arrivals)
        id, target = headers.get("attempt-id", ""), headers.get("target-instance", "")
        self.scene.note(
            Arrived(now, n, id, self.id, self.machine.service, self.machine.name, request.method,
                    request.target, digest(request.body), headers.get("calling-service", ""),
                    headers.get("operation-key", ""), target)
        )  # fmt: skip
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
        self._take(job)

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
            job.task = self._task(self._serve(job))

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
        cold = COLD if self.scene.now() - self._born < COLD_S else 1.0
        return drawn * cold / self.speed

    async def _run(self, job: _Job) -> None:
        scene, id = self.scene, job.request.headers["attempt-id"]
        scene.note(Began(scene.now(), job.n))
        status = 200
        work = self._work_s(job)
        calls = job.kind.calls and draws.uniform(scene.seed, "calls", id) < job.kind.calls_share
        await asyncio.sleep(max(0.0, min(work / 2.0, job.ends - scene.now())))
        if calls and scene.now() < job.ends and not await self._inner(job, BY_NAME[job.kind.calls]):
            status = 500
        await asyncio.sleep(max(0.0, min(work / 2.0, job.ends - scene.now())))
        if scene.now() >= job.ends:
            status = 504
        self._answer(job, status)

    async def _inner(self, job: _Job, kind: Kind) -> bool:
        """Ask another service, by the own machine's node; whether it answered."""
        scene, now = self.scene, self.scene.now()
        ends = min(job.ends, now + kind.deadline_ms / 1000.0)
        if ends - now < LEAST_LEFT_S:
            return False
        name = f"c{job.n}"
        sent = Sent(
            now, f"{draws.number(scene.seed, 'id', name):016x}", kind.name, self.machine.name,
            host(scene.seed), "GET", f"{prefix(scene.seed, kind.name)}{job.n:x}", digest(b""), "",
            kind.repeatable, ends, name, now, job.n,
        )  # fmt: skip
        outcome = await scene.ask(self.machine, sent, b"", False, False)
        return outcome.how == "answer" and 200 <= outcome.status < 300

    def _answer(self, job: _Job, status: int) -> None:
        scene, id = self.scene, job.request.headers["attempt-id"]
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

    # Its place in the list

    async def _say(self, state: str) -> bool:
        """One call at its machine's node, or where that told it to; whether it was acknowledged."""
        scene = self.scene
        self._sequence += 1
        own = (self.machine.bind, scene.ports.control)
        where, at, sequence = self._beat_address or own, scene.now(), self._sequence
        pool, path = scene.pool(self.machine), f"/orchidferry/instances/{self.id}"
        if state == "gone":
            outcome, by = await call(pool, where, "DELETE", path)
        else:
            cold = max(0.0, COLD_S - (at - self._born))
            payload = {
                "address": f"{self.address[0]}:{self.address[1]}",
                "information": {"service_name": self.machine.service, "revision_number": "v1",
                                "zone": self.machine.zone, "capacity": self.slots},
                "condition": {"state": state, "call_sequence": sequence,
                              "cold_left_ms": round(cold * 1000.0)},
            }  # fmt: skip
            outcome, by = await call(pool, where, "PUT", path, payload)
        good = outcome.how == "answer" and 200 <= outcome.status < 300 and len(outcome.body) <= MOST_ACK
        acked = scene.now() if good else None
        scene.note(Notice(at, self.id, self.machine.name, state, sequence, acked, f"{by[0]}:{by[1]}"))
        if not good:
            self._beat_address = None  # it held until a beat failed there
            return False
        try:
            to = json.loads(outcome.body).get("beat_address", "")
            ip, _, port = to.rpartition(":")
            self._beat_address = (ip, int(port)) if ip else self._beat_address
        except (ValueError, AttributeError):
            pass
        return True

    async def _beats(self) -> None:
        every = self.day.beat_ms / 1000.0
        while self.state == "in_service":
            good = await self._say("in_service")
            await asyncio.sleep(every if good else 0.3)

    async def leave(self) -> bool:
        """Its planned end; whether its leave was acknowledged."""
        self.state = "draining"
        pause, until, acked = 0.1, self.scene.now() + LEAVE_MOST_S, False
        while not acked and self.scene.now() < until:
            acked = await self._say("draining")
            if not acked:
                await asyncio.sleep(pause)
                pause = min(1.0, pause * 2.0)
        if acked:
            await asyncio.sleep(self.day.bounds.drain_ms / 1000.0 + LEAVE_MORE_S)
        await self._say("gone")
        self.end()
        return acked

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
        mine = asyncio.current_task()
        for task in list(self._tasks):
            if task is not mine:
                task.cancel()
