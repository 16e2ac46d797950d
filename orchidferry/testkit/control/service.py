"""A stand-in for a control service: aggregated incremental xDS (DeltaAggregatedResources) on loopback.

Written from the protocol's public description. It keeps one set of resources, sends each stream what that
stream has not got yet, and records every ACK and NACK by node. A script may cut streams, send the same
nonce twice, send anything at all (`send_raw`), and go away with its address kept (`stop`, `start`).
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field
from typing import Any

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf.any_pb2 import Any as AnyMessage

from orchidferry.balancing.configuration import Part
from orchidferry.node.control.messages import TYPES

Held = dict[str, dict[str, tuple[str, AnyMessage]]]  # by type and name: version and message

MAX_MESSAGE = 64 * 1024 * 1024
MAX_STREAMS = 1_000


@dataclass
class NodeAnswer:
    """What a node said of a response."""

    node: str
    type_url: str
    nonce: str
    label: str  # of the push that the response belonged to
    reason: str  # empty: an ACK


@dataclass
class Line:
    """One node's stream."""

    out: asyncio.Queue[Any] = field(default_factory=asyncio.Queue)
    node: str = ""
    names: dict[str, set[str]] = field(default_factory=dict)  # subscribed, by type
    sent: dict[str, dict[str, str]] = field(default_factory=dict)  # versions, by type and name
    labels: dict[str, str] = field(default_factory=dict)  # by nonce
    initial: dict[str, dict[str, str]] = field(default_factory=dict)


class Service(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):  # type: ignore[misc]
    """The service and what it holds."""

    def __init__(self) -> None:
        self.resources: Held = {url: {} for url in TYPES.values()}
        self.views: dict[str, Held] = {}  # of nodes that are given something else than the rest
        self.answers: list[NodeAnswer] = []
        self.handlers: tuple[grpc.GenericRpcHandler, ...] = ()  # of further services at the same address
        self.on_answer: Callable[[NodeAnswer], None] | None = None
        self.lines: list[Line] = []
        self.joined = 0  # streams so far
        self.label = ""
        self.changed = asyncio.Event()  # set with each word or stream: whoever waits clears it
        self._nonces = itertools.count(1)
        self._server: grpc.aio.Server | None = None
        self._credentials: grpc.ServerCredentials | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self, credentials: grpc.ServerCredentials | None = None) -> tuple[str, int]:
        """Listen, at the address of last time if there was one."""
        options = [("grpc.max_send_message_length", MAX_MESSAGE), ("grpc.so_reuseport", 0)]
        self._credentials = credentials or self._credentials
        server = self._server = grpc.aio.server(options=options)
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, server)
        if self.handlers:
            server.add_generic_rpc_handlers(self.handlers)
        where = f"{self.address[0]}:{self.address[1]}"
        if self._credentials is not None:
            port = server.add_secure_port(where, self._credentials)
        else:
            port = server.add_insecure_port(where)
        self.address = (self.address[0], port)
        await server.start()
        return self.address

    async def stop(self) -> None:
        """Be gone, streams and all."""
        self.cut()
        server = self._server
        self._server = None
        if server is not None:
            await server.stop(0)

    # What it sends

    def push(self, label: str, *changes: tuple[Part, str, AnyMessage | None]) -> None:
        """Change resources (None: remove one), under one label, and send every stream what is new to it."""
        self.label = label
        for part, name, packed in changes:
            held = self.resources[TYPES[part]]
            if packed is None:
                held.pop(name, None)
            else:
                held[name] = label, packed
        self.update()

    def update(self) -> None:
        """Send every stream what is new to it."""
        for line in list(self.lines):
            for part in Part:
                self._update(line, TYPES[part])

    def wanted(self, line: Line, held: Held) -> Held:
        """What a stream is to have of this: the resources that it asked for."""
        return {
            url: {name: held[url][name] for name in names if name in held.get(url, {})}
            for url, names in line.names.items()
        }

    def _update(self, line: Line, url: str) -> None:
        if url not in line.names:
            return
        held = self.views.get(line.node, self.resources).get(url, {})
        sent = line.sent.setdefault(url, {})
        wanted = {name: held[name] for name in line.names[url] if name in held}
        response = discovery_pb2.DeltaDiscoveryResponse(type_url=url)
        for name, (version, packed) in wanted.items():
            if sent.get(name) != version:
                response.resources.add(name=name, version=version, resource=packed)
                sent[name] = version
        for name in [name for name in sent if name not in wanted]:
            response.removed_resources.append(name)
            del sent[name]
        if response.resources or response.removed_resources:
            # What it is: after a cut an older resource comes while the newest version is another part's.
            newest = max((one.version for one in response.resources), default=self.label)
            response.system_version_info = self.label if response.removed_resources else newest
            self.send_raw(line, response)

    def send_raw(self, line: Line, response: Any, nonce: str = "") -> str:
        """Send this, whatever it is; its nonce."""
        response.nonce = nonce or f"{next(self._nonces)}"
        line.labels[response.nonce] = response.system_version_info or self.label
        line.out.put_nowait(response)
        return str(response.nonce)

    def cut(self, node: str | None = None) -> None:
        """End the streams of one node, or all."""
        for line in list(self.lines):
            if node is None or line.node == node:
                line.out.put_nowait(None)

    # What it hears

    async def DeltaAggregatedResources(  # noqa: N802 (the published service's name)
        self, requests: AsyncIterator[Any], context: Any
    ) -> AsyncIterator[Any]:
        """One node's stream."""
        if len(self.lines) >= MAX_STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        line = Line()
        self.lines.append(line)
        self.joined += 1
        await context.send_initial_metadata(())
        reader = asyncio.get_running_loop().create_task(self._read(line, requests))
        try:
            while (response := await line.out.get()) is not None:
                yield response
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut")
        finally:
            reader.cancel()
            if line in self.lines:
                self.lines.remove(line)
            self.changed.set()

    async def _read(self, line: Line, requests: AsyncIterator[Any]) -> None:
        async for request in requests:
            url = request.type_url
            if request.node.id:
                line.node = request.node.id
            if url not in line.sent:
                line.sent[url] = dict(request.initial_resource_versions)
                line.initial[url] = dict(request.initial_resource_versions)
            names = line.names.setdefault(url, set())
            names |= set(request.resource_names_subscribe)
            names -= set(request.resource_names_unsubscribe)
            if request.response_nonce:
                label = line.labels.get(request.response_nonce, "")
                reason = request.error_detail.message
                self.answers.append(NodeAnswer(line.node, url, request.response_nonce, label, reason))
                if self.on_answer is not None:
                    self.on_answer(self.answers[-1])
            if url in self.resources:
                self._update(line, url)
            self.changed.set()
