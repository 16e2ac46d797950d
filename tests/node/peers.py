"""Scripted servers, discovery service and clients for tests over sockets on 127.0.0.1."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
import struct
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import uvloop

from orchidferry.balancing.pools import Rules
from orchidferry.node.chain.settings import ChainSettings
from orchidferry.node.config import read_config
from orchidferry.node.extensions import Extensions
from orchidferry.node.node import Node
from tests.balancing.test_wirehost import ENV

LIMIT_S = 30.0  # timeout of each wait in a test: generous, as a busy machine must not make tests fail


def run(test: Coroutine[Any, Any, None]) -> None:
    """Run a test with uvloop, the event loop that the program uses."""

    async def limited() -> None:
        await asyncio.wait_for(test, 2 * LIMIT_S)

    uvloop.run(limited())


async def until(done: Callable[[], bool]) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(LIMIT_S):
        while not done():
            await asyncio.sleep(0.005)


@dataclass
class Seen:
    """A message that a peer has received."""

    first: str
    headers: dict[str, str]
    body: bytes
    connection: int

    @property
    def status(self) -> int:
        return int(self.first.split()[1])

    @property
    def target(self) -> str:
        return self.first.split()[1]

    @property
    def id(self) -> str:
        return self.headers["x-call-id"]


async def read_message(reader: asyncio.StreamReader, connection: int = 0) -> Seen | None:
    """Return the next message with a Content-Length, or None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head[:-4].split("\r\n")
        headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines)}
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Seen(first, headers, body, connection)


def answer(status: int = 200, body: bytes = b"done", headers: str = "") -> bytes:
    return f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body


# Values that a script may return instead of bytes to write
HANG = b"hang"  # send nothing
RESET = b"reset"  # reset the connection
CLOSE = b"close"  # close the connection; also allowed at the end of bytes to write


class Peer:
    """A listener that answers each message with the bytes that `script` returns."""

    def __init__(self) -> None:
        self.seen: list[Seen] = []
        self.connections = 0
        self.lost = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def script(self, message: Seen) -> bytes:
        raise NotImplementedError

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        self._writers.add(writer)
        try:
            while (message := await read_message(reader, number)) is not None:
                self.seen.append(message)
                data = await self.script(message)
                if data == HANG:
                    continue
                if data == RESET:
                    linger = struct.pack("ii", 1, 0)
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
                if data in (RESET, CLOSE):
                    break
                writer.write(data.removesuffix(CLOSE))
                if data.endswith(CLOSE):
                    break
        except asyncio.CancelledError:
            pass  # the test has ended
        finally:
            self.lost += 1
            self._writers.discard(writer)
            writer.close()

    def hang_up(self) -> None:
        for writer in list(self._writers):
            writer.close()

    async def stop(self) -> None:
        self._server.close()
        self.hang_up()


class Server(Peer):
    """A server that answers with each item of its script in turn, and then with `usual`."""

    def __init__(self, *script: bytes, usual: bytes = answer(), name: str = "s", group: int = 0) -> None:
        super().__init__()
        self.left = list(script)  # answers that are still to be used
        self.usual = usual
        self.name = name
        self.group = group
        self.pause_s = 0.0  # delay before each answer
        self.gate = asyncio.Event()  # answers wait until it is set
        self.gate.set()

    async def script(self, message: Seen) -> bytes:
        data = self.left.pop(0) if self.left else self.usual
        await self.gate.wait()
        await asyncio.sleep(self.pause_s)
        return data

    def entry(self, **changes: Any) -> dict[str, Any]:
        return {
            "name": self.name,
            "address": self.address,
            "zone": "z1",
            "type": "k1",
            "group": self.group,
            "status": "active",
            "weight": 1.0,
            "since_ms": 0,
        } | changes


class DiscoveryServer(Peer):
    """A discovery service that holds each watch open until `tell` is called."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1  # version number of the list
        self.whole: list[dict[str, Any]] = []  # entries of the complete list
        self.updates: asyncio.Queue[bytes] = asyncio.Queue()  # answers to the next watches
        self.overrides: list[bytes] = []  # answers to the next calls, instead of the regular ones

    def tell(self, *entries: dict[str, Any], index: int | None = None, snapshot: bool = False) -> None:
        self.index = self.index + 1 if index is None else index
        self.updates.put_nowait(self.listing(list(entries), snapshot))

    def listing(self, entries: list[dict[str, Any]], snapshot: bool) -> bytes:
        body = {"index": self.index, "snapshot": snapshot, "endpoints": entries}
        return answer(200, json.dumps(body).encode())

    async def script(self, message: Seen) -> bytes:
        if self.overrides:
            return self.overrides.pop(0)
        if "index=" not in message.target:
            return self.listing(self.whole, True)
        return await self.updates.get()


class Client:
    """A connection of a client of the node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def read(self) -> Seen:
        message = await asyncio.wait_for(read_message(self.reader), LIMIT_S)
        assert message is not None, "closed without an answer"
        return message

    async def closed(self) -> bool:
        """Return whether the node closes the connection without sending anything more."""
        with contextlib.suppress(ConnectionError):
            return await asyncio.wait_for(self.reader.read(1), LIMIT_S) == b""
        return True

    async def ask(self, *args: Any, **kwargs: Any) -> Seen:
        self.write(request(*args, **kwargs))
        return await self.read()


def request(
    id: str, cls: str = "read", budget: str = "20", body: bytes = b"", extra: str = "", query: str = ""
) -> bytes:
    """Return a request as clients send it; the method depends on the request class."""
    key = f"Idempotency-Key: key-{id}\r\n" if cls.startswith("save") else ""
    return (
        f"{'GET' if cls == 'read' else 'POST'} /{cls}{query} HTTP/1.1\r\nHost: api.internal\r\n"
        f"X-Call-Id: {id}\r\nX-Budget: {budget}\r\n{key}{extra}Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


@dataclass
class World:
    """A node with its servers, discovery service and clients."""

    config: dict[str, Any]
    path: Path
    registry: DiscoveryServer
    servers: list[Server]
    node: Node | None = None
    address: tuple[str, int] = ("", 0)
    clients: list[Client] = field(default_factory=list)

    async def client(self) -> Client:
        client = Client(*await asyncio.open_connection(*self.address))
        self.clients.append(client)
        return client

    async def ask(self, *args: Any, **kwargs: Any) -> Seen:
        return await (await self.client()).ask(*args, **kwargs)


def settings(**changes: Any) -> dict[str, Any]:
    """Return the settings of a node; a dictionary in `changes` is merged into the section of that name."""
    env: dict[str, Any] = json.loads(json.dumps(ENV))
    env["permissions"]["connect_timeout_ms"] = 5000.0
    env["rules"]["ask_every_ms"] = 200.0  # the node subscribes again soon after a failure
    env["tenants"] = []
    for cls in env["classes"]:
        cls |= {"objective_ms": 500.0, "give_up_ms": 20_000.0, "dedup_scope": "cell"}
        cls["window_ms"] = 10_000.0
    for name, value in changes.items():
        env[name] = env[name] | value if isinstance(value, dict) else value
    return env


def patient() -> list[dict[str, Any]]:
    """Return the usual classes with an objective so long that a stall of the machine does not exceed it.

    Otherwise answers that are late only because of a stall would reduce the capacity for later requests.
    """
    return [cls | {"objective_ms": 15_000.0} for cls in settings()["classes"]]


# One request class of each kind: safe; keyed within a zone, within a cell and everywhere; unsafe.
EFFECTS = ("read", "save", "save-cell", "save-all", "pay")


def effects() -> list[dict[str, Any]]:
    """Return the settings of the classes in `EFFECTS`."""
    usual = {cls["name"]: cls for cls in settings()["classes"]}
    keyed = [
        usual["save"] | {"name": name, "dedup_scope": scope}
        for name, scope in (("save", "zone"), ("save-cell", "cell"), ("save-all", "all"))
    ]
    return [usual["read"], *keyed, usual["pay"]]


@contextlib.asynccontextmanager
async def world(
    path: Path,
    *servers: Server,
    start: bool = True,
    sockets: int = 1024,
    known: bool = True,
    chain: ChainSettings | None = None,
    pools: Rules | None = None,
    **changes: Any,
) -> AsyncIterator[World]:
    """Set up these servers, a discovery service and a configuration file, and a node if `start` is true.

    :param known: whether the configuration file lists the servers.
    :param changes: changes of the settings.
    """
    registry = DiscoveryServer()
    for peer in (registry, *servers):
        await peer.start()
    registry.whole = [server.entry() for server in servers]
    config = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": registry.address,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
        "known": {"index": 1, "snapshot": True, "endpoints": registry.whole if known else []},
        "settings": settings(**changes),
    }
    file = path / "config.json"
    file.write_text(json.dumps(config))
    scene = World(config, file, registry, list(servers))
    if start:
        loop = asyncio.get_running_loop()
        node = scene.node = Node(read_config(str(file)), loop, Extensions(chain=chain, pools=pools))
        scene.address = await node.frontend.listen(loop, ("127.0.0.1", 0))
        node.start()
    try:
        yield scene
    finally:
        for client in scene.clients:
            client.writer.close()
        for peer in (registry, *servers):
            await peer.stop()
        if scene.node is not None:
            await scene.node.stop(0.0)
