"""The environment of the HTTP/3 tests: a node with HTTP/3, its peers, and access to its state."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import json
import tempfile
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from orchidferry.balancing.interface import Result
from orchidferry.balancing.transports import State
from orchidferry.node.config import read_config
from orchidferry.node.extensions import Extensions
from orchidferry.node.h3.client_connection import Connection
from orchidferry.node.h3.server_connection import ServerConnection
from orchidferry.node.h3.settings import Front, Http3, Servers
from orchidferry.node.h3.upstream import Http3Upstream
from orchidferry.node.node import Node
from orchidferry.testkit.quic import certs, client, server
from orchidferry.testkit.quic.faults import PathConditions
from orchidferry.testkit.wire import Outcome, Request
from tests.node import peers as h1
from tests.node.peers import LIMIT_S, World


@functools.cache
def certificate_files() -> certs.CertificateFiles:
    """Return certificates that all tests of a process share."""
    return certs.make(Path(tempfile.mkdtemp(prefix="orchidferry-certs-")))


class H3ScriptedServer:
    """An HTTP/3 server with responses that a test determines."""

    def __init__(self, **options: Any) -> None:
        """:param options: of `H3Server`."""
        self.seen: list[tuple[Any, Request]] = []  # streams and their requests, in order of arrival
        self.lost: list[Any] = []  # streams that have ended
        self.gate = asyncio.Event()  # while cleared, requests wait
        self.gate.set()
        self.quic = server.H3Server(
            certificate_files(), self._on_request, self.lost.append, lambda _: None, **options
        )
        self.tasks: set[asyncio.Task[None]] = set()
        # For the next requests, in order: arguments of `answer`, or a function that is called with the
        # stream. Further requests get a 200.
        self.answers: list[Any] = []

    async def _respond(self, stream: Any, request: Request) -> None:
        await self.gate.wait()
        if self.answers:
            next_answer = self.answers.pop(0)
            if callable(next_answer):
                next_answer(stream)
            else:
                stream.answer(*next_answer)
        else:
            stream.answer(200, b"by quic", "Content-Type: text/plain\r\n")

    def _on_request(self, stream: Any, request: Request) -> None:
        self.seen.append((stream, request))
        task = asyncio.get_running_loop().create_task(self._respond(stream, request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, **options: Any) -> str:
        """Start to serve; return the address as HOST:PORT."""
        host, port = await self.quic.start(("127.0.0.1", 0), **options)
        return f"{host}:{port}"

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.quic.stop()


@dataclass
class H3Environment:
    """A node with HTTP/3 enabled, and its peers."""

    world: World  # the peers that do not use HTTP/3
    node: Node
    address: tuple[str, int]  # of the node's HTTP/3 listener
    connections: list[client.RequesterConnection] = field(default_factory=list)  # of HTTP/3 clients

    async def connect(self, **options: Any) -> client.RequesterConnection:
        """Open an HTTP/3 connection to the node.

        :param options: arguments of `client.connect`.
        """
        options.setdefault("limit_s", LIMIT_S)
        connection = await client.connect(self.address, str(certificate_files().ca), **options)
        self.connections.append(connection)
        return connection

    async def ask(self, *args: Any, **kwargs: Any) -> Outcome:
        """Send a request on a new HTTP/3 connection; return its outcome."""
        return await ask(await self.connect(), *args, **kwargs)

    def no_state_left(self) -> bool:
        """Return whether neither the node nor its balancer keeps any state of a request."""
        balancer = self.node._balancer
        return (
            not self.node._pending
            and not self.node._open_ids
            and not self.node.attempts
            and not balancer._calls
            and balancer.inflight == 0
            and not any(server.outstanding for server in balancer.server_set.servers.values())
        )


async def ask(connection: client.RequesterConnection, *args: Any, **kwargs: Any) -> Outcome:
    """Send a request and return its outcome; the arguments are those of `tests.node.peers.request`."""
    stream = client.RequesterStream(connection)
    return await asyncio.wait_for(stream.ask("", h1.request(*args, **kwargs)), LIMIT_S)


def send_request(connection: client.RequesterConnection, *args: Any, **kwargs: Any) -> client.RequesterStream:
    """Send a request as `ask` does, and return at once; its outcome is the future `outcome` of the stream."""
    stream = client.RequesterStream(connection)
    stream.ask("", h1.request(*args, **kwargs))
    return stream


@contextlib.asynccontextmanager
async def h3_environment(
    path: Path,
    *servers: h1.Server,
    quic: dict[str, str] | None = None,
    front: bool = True,
    connections: int = 64,
    conditions: PathConditions | None = None,
    **changes: Any,
) -> AsyncIterator[H3Environment]:
    """Start a node with HTTP/3 towards servers, and towards clients if `front`.

    :param servers: servers over TCP.
    :param quic: HTTP/3 addresses of servers, by their names.
    :param connections: the most connections of HTTP/3 clients.
    :param changes: further arguments of `tests.node.peers.world`.
    """
    files = certificate_files()
    async with h1.world(path, *servers, start=False, **changes) as world:
        for entry in world.registry.whole:
            if quic and entry["name"] in quic:
                entry["h3"] = quic[entry["name"]]
        world.path.write_text(json.dumps(world.config))
        loop = asyncio.get_running_loop()
        http3 = Http3(
            Front(("127.0.0.1", 0), files.certificate, files.key, connections, 60) if front else None,
            Servers(files.ca, certs.SERVER_NAME, 64),
        )
        node = world.node = Node(read_config(str(world.path)), loop, Extensions(http3=http3))
        world.address = await node.frontend.listen(loop, ("127.0.0.1", 0))
        address = ("", 0)
        if node.h3_front is not None:
            address = await node.h3_front.listen(loop)
            node.frontend.alt_svc = node.h3_front.alt_svc(address[1])
        node.start()
        env = H3Environment(world, node, address)
        try:
            yield env
        finally:
            for connection in env.connections:
                connection.drop()


def accepted_by(env: H3Environment) -> Connection:
    """Return the node's end of the only connection of a client."""
    assert env.node.h3_front is not None
    [connection] = env.node.h3_front._connections
    return connection


def h3_upstream(env: H3Environment) -> Http3Upstream:
    """Return the node's upstream transport."""
    upstream = env.node._upstream
    assert isinstance(upstream, Http3Upstream)
    return upstream


def upstream_connection(env: H3Environment) -> ServerConnection:
    """Return the node's first QUIC connection to a server."""
    return next(iter(h3_upstream(env)._connections.values()))


def transport_state(env: H3Environment) -> State:
    """Return the state of QUIC for the first server."""
    return h3_upstream(env).transports.state(next(iter(env.node.servers.addresses)))


def record_results(env: H3Environment) -> list[Result]:
    """Return a list to which the result of every attempt is added from now on."""
    results: list[Result] = []
    node = env.node
    original = node.attempt_ended

    def record(event: Any) -> None:
        results.append(event.result)
        original(event)

    node.attempt_ended = record  # type: ignore[method-assign]
    return results


async def warm_up(env: H3Environment) -> None:
    """Send a first request, which goes over TCP, and wait until QUIC is established beside it."""
    assert (await env.world.ask("warm")).body == b"done"
    await h1.until(lambda: transport_state(env) is State.UP)


@contextlib.asynccontextmanager
async def quic_environment(
    path: Path, **options: Any
) -> AsyncIterator[tuple[H3Environment, H3ScriptedServer]]:
    """Start a node and a server "s0" that supports both TCP and HTTP/3, and establish QUIC between them.

    :returns: the environment, and the HTTP/3 side of the server.
    """
    server, h3_server = h1.Server(name="s0"), H3ScriptedServer()
    async with h3_environment(path, server, quic={"s0": await h3_server.start()}, **options) as env:
        await warm_up(env)
        yield env, h3_server
    h3_server.stop()
