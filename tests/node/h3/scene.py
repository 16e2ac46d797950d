"""A node with HTTP/3 on, its peers, and what tests ask of them."""

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
def files() -> certs.CertificateFiles:
    """One authority for all tests of a process."""
    return certs.make(Path(tempfile.mkdtemp(prefix="orchidferry-certs-")))


class Script:
    """An HTTP/3 server whose answers a test decides: `act` is called with each request."""

    def __init__(self, **changes: Any) -> None:
        self.seen: list[tuple[Any, Request]] = []
        self.lost: list[Any] = []
        self.hold = asyncio.Event()  # cleared: requests wait
        self.hold.set()
        self.quic = server.H3Server(files(), self._requested, self.lost.append, lambda _: None, **changes)
        self.tasks: set[asyncio.Task[None]] = set()
        self.answers: list[Any] = []  # used up one by one, then 200

    async def act(self, stream: Any, request: Request) -> None:
        await self.hold.wait()
        if self.answers:
            step = self.answers.pop(0)
            if callable(step):
                step(stream)
            else:
                stream.answer(*step)
        else:
            stream.answer(200, b"by quic", "Content-Type: text/plain\r\n")

    def _requested(self, stream: Any, request: Request) -> None:
        self.seen.append((stream, request))
        task = asyncio.get_running_loop().create_task(self.act(stream, request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, **options: Any) -> str:
        host, port = await self.quic.start(("127.0.0.1", 0), **options)
        return f"{host}:{port}"

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.quic.stop()


@dataclass
class Scene:
    """A node and its peers."""

    world: World
    node: Node
    address: tuple[str, int]
    requesters: list[client.RequesterConnection] = field(default_factory=list)

    async def connect(self, **options: Any) -> client.RequesterConnection:
        """A caller's connection."""
        options.setdefault("limit_s", LIMIT_S)
        made = await client.connect(self.address, str(files().ca), **options)
        self.requesters.append(made)
        return made

    async def ask(self, *args: Any, **kwargs: Any) -> Outcome:
        return await ask(await self.connect(), *args, **kwargs)

    def module_is_clean(self) -> bool:
        """Nothing is left in any book."""
        module = self.node._balancer
        return (
            not self.node._pending
            and not self.node._open_ids
            and not self.node.attempts
            and not module._calls
            and module.inflight == 0
            and not any(server.outstanding for server in module.server_set.servers.values())
        )


async def ask(connection: client.RequesterConnection, *args: Any, **kwargs: Any) -> Outcome:
    """One request as over HTTP/1.1 (`tests.node.peers.request`), on a stream of its own."""
    stream = client.RequesterStream(connection)
    return await asyncio.wait_for(stream.ask("", h1.request(*args, **kwargs)), LIMIT_S)


def begin(connection: client.RequesterConnection, *args: Any, **kwargs: Any) -> client.RequesterStream:
    """Send one, and wait for nothing; its outcome is in `waiting`."""
    stream = client.RequesterStream(connection)
    stream.ask("", h1.request(*args, **kwargs))
    return stream


@contextlib.asynccontextmanager
async def scene(
    path: Path,
    *servers: h1.Server,
    quic: dict[str, str] | None = None,
    front: bool = True,
    connections: int = 64,
    conditions: PathConditions | None = None,
    **changes: Any,
) -> AsyncIterator[Scene]:
    """A node with HTTP/3 on both sides; `quic` names where servers (by name) speak it."""
    known = files()
    async with h1.world(path, *servers, start=False, **changes) as made:
        for entry in made.registry.whole:
            if quic and entry["name"] in quic:
                entry["h3"] = quic[entry["name"]]
        made.path.write_text(json.dumps(made.config))
        loop = asyncio.get_running_loop()
        http3 = Http3(
            Front(("127.0.0.1", 0), known.certificate, known.key, connections, 60) if front else None,
            Servers(known.ca, certs.SERVER_NAME, 64),
        )
        node = made.node = Node(read_config(str(made.path)), loop, Extensions(http3=http3))
        made.address = await node.frontend.listen(loop, ("127.0.0.1", 0))
        address = ("", 0)
        if node.h3_front is not None:
            address = await node.h3_front.listen(loop)
            node.frontend.alt_svc = node.h3_front.alt_svc(address[1])
        node.start()
        ready = Scene(made, node, address)
        try:
            yield ready
        finally:
            for requester in ready.requesters:
                requester.drop()


def accepted_by(made: Scene) -> Connection:
    """Return the node's side of the one connection that a client has to it."""
    assert made.node.h3_front is not None
    [connection] = made.node.h3_front._connections
    return connection


def routes(made: Scene) -> Http3Upstream:
    found = made.node._upstream
    assert isinstance(found, Http3Upstream)
    return found


def link(made: Scene) -> ServerConnection:
    return next(iter(routes(made)._connections.values()))


def state(made: Scene) -> State:
    return routes(made).transports.state(next(iter(made.node.servers.addresses)))


def results(made: Scene) -> list[Result]:
    """Notes the result of every attempt from now on."""
    found: list[Result] = []
    node = made.node
    plain = node.attempt_ended

    def noted(event: Any) -> None:
        found.append(event.result)
        plain(event)

    node.attempt_ended = noted  # type: ignore[method-assign]
    return found


async def warm(made: Scene) -> None:
    """The first request goes by TCP, while QUIC comes up beside it."""
    assert (await made.world.ask("warm")).body == b"done"
    await h1.until(lambda: state(made) is State.UP)


@contextlib.asynccontextmanager
async def quic_scene(path: Path, **options: Any) -> AsyncIterator[tuple[Scene, Script]]:
    """A node, and what a server answers over QUIC that speaks both; the connection over QUIC is up."""
    server, script = h1.Server(name="s0"), Script()
    async with scene(path, server, quic={"s0": await script.start()}, **options) as made:
        await warm(made)
        yield made, script
    script.stop()
