"""The HTTP/1.1 listener for clients, and the time limits of their connections.

At any time a connection is in one stage (see `connection_stage`). The frontend keeps the connections of each
stage in the order in which they entered it. A periodic sweep ends those that exceed the stage's time limit.
When sockets run short, the oldest connection of a stage whose client is owed nothing is closed.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable
from itertools import islice

from orchidferry.balancing import interface as api
from orchidferry.node.address import Address
from orchidferry.node.client_connection import Accept, ClientConnection
from orchidferry.node.connection_end import EndCause, IncompleteEnd, Owed
from orchidferry.node.connection_stage import LIMITS_S, Stage
from orchidferry.node.flow import MAX_STREAMED_BODY, Flow, MemoryPool
from orchidferry.node.http1 import MAX_BODY, MAX_HEAD
from orchidferry.node.reply import Reply
from orchidferry.node.request import UNIQUE_HEADERS, Message, read_message

BACKLOG = 1024  # connections that the kernel queues until they are accepted
SWEEP_S = 0.2  # how often stages are checked; time limits are enforced at most this much late
READY_PATH = b"/-/ready"
NODE_PATHS = b"/-/"  # prefix of the paths of the node's own pages

# Stages that are searched for a connection to evict, in this order: clients that have not sent a request go
# before idle ones. The stage alone does not show that a client is owed nothing: a response may have been
# written and not be sent yet.
EVICTION_ORDER = (Stage.LEAVING, Stage.NEW, Stage.IDLE)
MAX_CANDIDATES = 8  # connections examined per stage, oldest first: many clients may connect at once


class Frontend:
    """The listener and the connections of all clients."""

    connection_class: type[ClientConnection] = ClientConnection
    unique_headers = UNIQUE_HEADERS  # headers that a request may contain only once
    max_buffered_body = MAX_BODY  # longest request body, in bytes, that is buffered; longer ones are streamed
    max_header_bytes = MAX_HEAD  # maximum size of a request's first line and headers
    max_body_bytes: int | None = None  # maximum size of a body; None: `MAX_STREAMED_BODY`
    limits_s = LIMITS_S  # how long each stage may last

    def __init__(
        self,
        classes: dict[str, api.RequestClass],
        accept: Accept,
        ready: Callable[[], bool],
        max_connections: int,
        pool: MemoryPool,
    ) -> None:
        """Create a `Frontend`.

        :param classes: request classes by name.
        :param accept: passes a request to the node.
        :param ready: returns whether the node can serve requests.
        :param max_connections: limit on open connections, beyond which one that owes nothing is evicted.
        :param pool: memory for replaying streamed request bodies.
        """
        self.classes = classes
        self.accept = accept
        self._ready = ready
        self.max_connections = max_connections
        self.pool = pool
        self.alt_svc: bytes | None = None  # value of the header `Alt-Svc` (RFC 7838)
        self._stages: dict[Stage, dict[ClientConnection, float]] = {stage: {} for stage in Stage}
        self._server: asyncio.Server | None = None
        self._loop: asyncio.AbstractEventLoop
        self._not_ready = False
        self._closing = False
        self._empty = asyncio.Event()
        self.evicted = 0  # connections closed for new ones, at the limit
        # Number of connections that ended while their client was still owed something.
        self.incomplete_ends: Counter[tuple[EndCause, Owed]] = Counter()

    async def listen(self, loop: asyncio.AbstractEventLoop, address: Address) -> Address:
        """Accept connections from now on.

        :returns: the address, with the port that was chosen for port 0.
        :raises OSError: if the address can't be used.
        """
        self._loop = loop
        server = await loop.create_server(
            lambda: self.connection_class(self), *address, backlog=BACKLOG, reuse_port=True
        )
        self._server = server
        self._sweep()
        host, port = server.sockets[0].getsockname()[:2]
        return host, port

    @property
    def body_limit(self) -> int:
        """Maximum size of a body that is accepted, in bytes."""
        return MAX_STREAMED_BODY if self.max_body_bytes is None else self.max_body_bytes

    def count(self) -> int:
        """Return the number of open connections."""
        return sum(map(len, self._stages.values()))

    def count_in(self, stage: Stage) -> int:
        """Return the number of open connections in a stage."""
        return len(self._stages[stage])

    def read(
        self, method: bytes, target: bytes, headers: dict[bytes, bytes], body: bytes, flow: Flow | None
    ) -> Message | Reply:
        """Validate a request.

        :param flow: the body, if it is too long to buffer; `body` is empty then.
        :returns: the request, or the answer if it asks for one of the node's own pages.
        :raises RequestError: if the request can't be accepted.
        """
        if target.startswith(NODE_PATHS):
            return self.node_page(target.partition(b"?")[0])
        return read_message(self.classes, method, target, headers, body, flow)

    def node_page(self, path: bytes) -> Reply:
        """Answer a request for one of the node's own pages."""
        if path != READY_PATH:
            return Reply(404, b"no such path")
        # Not 503, which would count as a refused request.
        return Reply(200, b"ready") if self._ready() and not self._not_ready else Reply(500, b"not ready")

    def connection_opened(self, connection: ClientConnection) -> None:
        """Register a connection; beyond the limit, evict one whose client is owed nothing."""
        connection.stage = Stage.NEW
        self._stages[Stage.NEW][connection] = self._loop.time()
        if self._closing:
            connection.close_gracefully()
        elif self.count() > self.max_connections:
            self._evict(connection)

    def _evict(self, newest: ClientConnection) -> None:
        """Close a connection whose client is owed nothing; the newest connection if there is no other."""
        self.evicted += 1
        self.report_eviction()
        oldest = (c for stage in EVICTION_ORDER for c in islice(self._stages[stage], MAX_CANDIDATES))
        others = (c for c in oldest if c is not newest and c.is_evictable())
        next(others, newest).abort(EndCause.EVICTED)

    def set_stage(self, connection: ClientConnection, stage: Stage) -> None:
        """Set a connection's stage; a change of stage restarts its time."""
        if connection.stage is not None and connection.stage is not stage:
            del self._stages[connection.stage][connection]
            connection.stage = stage
            self._stages[stage][connection] = self._loop.time()

    def now_s(self) -> float:
        """Return the time of the clock that stages and flows use, in seconds."""
        return self._loop.time()

    def restart_stage(self, connection: ClientConnection) -> None:
        """Restart the time of a stage that waits for a request, as more of the request has arrived."""
        if connection.stage is Stage.READING or connection.stage is Stage.NEW:
            self.extend_stage(connection)

    def extend_stage(self, connection: ClientConnection) -> None:
        """Restart the time of a connection's stage."""
        if connection.stage is not None:
            del self._stages[connection.stage][connection]
            self._stages[connection.stage][connection] = self._loop.time()

    def ended_incomplete(
        self, connection: ClientConnection, cause: EndCause, owed: Owed, detail: str
    ) -> None:
        """Count and report a connection that ends while its client is still owed something."""
        self.incomplete_ends[cause, owed] += 1
        since_s = (
            self._loop.time() if connection.stage is None else self._stages[connection.stage][connection]
        )
        stage_age_s = self._loop.time() - since_s
        self.report_incomplete_end(
            IncompleteEnd(cause, owed, detail, connection.unsent_bytes, stage_age_s, connection.age_s)
        )

    def report_eviction(self) -> None:
        """Log an eviction, in subclasses; a node only counts evictions."""

    def report_open_connections(self) -> None:
        """Report connections whose client is still owed something when the process ends."""
        for stage in Stage:
            for connection in self._stages[stage]:
                connection.report_end(EndCause.SHUTDOWN)

    def report_incomplete_end(self, end: IncompleteEnd) -> None:
        """Log an incomplete end, in subclasses; a node only counts them."""

    def connection_closed(self, connection: ClientConnection) -> None:
        """Unregister a connection."""
        if connection.stage is not None:
            del self._stages[connection.stage][connection]
            connection.stage = None
        if not self.count():
            self._empty.set()

    def _sweep(self) -> None:
        """End connections whose stage has lasted too long; each stage is ordered by time."""
        self._loop.call_later(SWEEP_S, self._sweep)
        now = self._loop.time()
        for stage, limit_s in self.limits_s.items():
            late = []
            for connection, since in self._stages[stage].items():
                if now - since < limit_s:
                    break
                late.append(connection)
            for connection in late:
                connection.on_stage_timeout()

    def set_not_ready(self) -> None:
        """Answer readiness checks with "not ready" from now on."""
        self._not_ready = True

    def close_listener(self) -> None:
        """Stop accepting connections; the open ones are kept."""
        if self._server is not None:
            self._server.close()

    async def close_gracefully(self) -> None:
        """Close idle connections now and the others after their last answer, and wait for all of them."""
        self._closing = True
        for stage in Stage:
            for connection in list(self._stages[stage]):
                connection.close_gracefully()
        await self.wait_closed()

    async def wait_closed(self) -> None:
        """Wait until no connection is open."""
        while self.count():
            self._empty.clear()
            await self._empty.wait()

    def abort(self) -> None:
        """Close all connections at once."""
        for stage in Stage:
            for connection in list(self._stages[stage]):
                connection.abort(EndCause.SHUTDOWN)
