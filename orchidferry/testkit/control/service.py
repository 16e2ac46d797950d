"""A stand-in control service: aggregated incremental xDS (DeltaAggregatedResources) on loopback.

Written from the protocol's public description. It keeps one set of resources, sends each stream the resources
that are new to it, and records every ACK and NACK by node. A test may end streams (`end_streams`), send any
response or repeat a nonce (`send_raw`), and stop the service and start it again at the same address.
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

# The version and the message of resources, by type URL and name.
ResourcesByType = dict[str, dict[str, tuple[str, AnyMessage]]]

MAX_MESSAGE = 64 * 1024 * 1024  # bytes of a response
MAX_STREAMS = 1_000


@dataclass
class NodeAnswer:
    """A node's ACK or NACK of a response."""

    node: str  # the node's id
    type_url: str
    nonce: str
    label: str  # the label of the push that the response belongs to
    reason: str  # why the node refused the response; empty: an ACK


@dataclass
class Stream:
    """The stream of one node."""

    responses: asyncio.Queue[Any] = field(default_factory=asyncio.Queue)  # to be sent; None ends the stream
    node: str = ""  # the node's id
    subscriptions: dict[str, set[str]] = field(default_factory=dict)  # resource names by type URL
    sent: dict[str, dict[str, str]] = field(default_factory=dict)  # sent versions by type URL and name
    labels_by_nonce: dict[str, str] = field(default_factory=dict)
    # The `initial_resource_versions` of the stream's first requests, by type URL and name.
    initial_versions: dict[str, dict[str, str]] = field(default_factory=dict)


class Service(ads_pb2_grpc.AggregatedDiscoveryServiceServicer):  # type: ignore[misc]
    """The stand-in service and its resources."""

    def __init__(self) -> None:
        self.resources: ResourcesByType = {url: {} for url in TYPES.values()}
        # By node id: the resources of nodes that are offered others than `resources`.
        self.node_resources: dict[str, ResourcesByType] = {}
        self.answers: list[NodeAnswer] = []
        self.handlers: tuple[grpc.GenericRpcHandler, ...] = ()  # handlers of other services at this address
        self.on_answer: Callable[[NodeAnswer], None] | None = None
        self.streams: list[Stream] = []  # the open streams
        self.streams_opened = 0  # all streams so far
        self.label = ""  # the label of the newest push
        self.changed = asyncio.Event()  # set by each request and each end of a stream; cleared by who waits
        self._nonces = itertools.count(1)
        self._server: grpc.aio.Server | None = None
        self._credentials: grpc.ServerCredentials | None = None
        self.address = ("127.0.0.1", 0)

    async def start(self, credentials: grpc.ServerCredentials | None = None) -> tuple[str, int]:
        """Listen, at the same address as before if the service was stopped.

        :param credentials: for TLS; None: those of the last start, if there were any.
        :returns: the address.
        """
        options = [("grpc.max_send_message_length", MAX_MESSAGE), ("grpc.so_reuseport", 0)]
        self._credentials = credentials or self._credentials
        server = self._server = grpc.aio.server(options=options)
        ads_pb2_grpc.add_AggregatedDiscoveryServiceServicer_to_server(self, server)
        if self.handlers:
            server.add_generic_rpc_handlers(self.handlers)
        address = f"{self.address[0]}:{self.address[1]}"
        if self._credentials is not None:
            port = server.add_secure_port(address, self._credentials)
        else:
            port = server.add_insecure_port(address)
        self.address = (self.address[0], port)
        await server.start()
        return self.address

    async def stop(self) -> None:
        """End all streams and stop listening."""
        self.end_streams()
        server = self._server
        self._server = None
        if server is not None:
            await server.stop(0)

    # Responses

    def push(self, label: str, *changes: tuple[Part, str, AnyMessage | None]) -> None:
        """Change resources, and send every stream those that are new to it.

        :param label: the version of the changed resources.
        :param changes: the part, name and message of each resource; without a message it is removed.
        """
        self.label = label
        for part, name, packed in changes:
            resources = self.resources[TYPES[part]]
            if packed is None:
                resources.pop(name, None)
            else:
                resources[name] = label, packed
        self.update()

    def update(self) -> None:
        """Send every stream the resources that are new to it."""
        for stream in list(self.streams):
            for part in Part:
                self._update(stream, TYPES[part])

    def subscribed(self, stream: Stream, resources: ResourcesByType) -> ResourcesByType:
        """Return those of some resources that a stream has subscribed to."""
        return {
            url: {name: resources[url][name] for name in names if name in resources.get(url, {})}
            for url, names in stream.subscriptions.items()
        }

    def _update(self, stream: Stream, url: str) -> None:
        if url not in stream.subscriptions:
            return
        resources = self.node_resources.get(stream.node, self.resources).get(url, {})
        sent = stream.sent.setdefault(url, {})
        wanted = {name: resources[name] for name in stream.subscriptions[url] if name in resources}
        response = discovery_pb2.DeltaDiscoveryResponse(type_url=url)
        for name, (version, packed) in wanted.items():
            if sent.get(name) != version:
                response.resources.add(name=name, version=version, resource=packed)
                sent[name] = version
        for name in [name for name in sent if name not in wanted]:
            response.removed_resources.append(name)
            del sent[name]
        if response.resources or response.removed_resources:
            # The version of the resources rather than the newest label: when a stream is opened again, the
            # newest label may be that of another part.
            newest = max((resource.version for resource in response.resources), default=self.label)
            response.system_version_info = self.label if response.removed_resources else newest
            self.send_raw(stream, response)

    def send_raw(self, stream: Stream, response: Any, nonce: str = "") -> str:
        """Send any response, also an invalid one.

        :param nonce: the nonce to use; empty: a new one.
        :returns: the nonce.
        """
        response.nonce = nonce or f"{next(self._nonces)}"
        stream.labels_by_nonce[response.nonce] = response.system_version_info or self.label
        stream.responses.put_nowait(response)
        return str(response.nonce)

    def end_streams(self, node: str | None = None) -> None:
        """End the streams of a node.

        :param node: the node's id; None: of all nodes.
        """
        for stream in list(self.streams):
            if node is None or stream.node == node:
                stream.responses.put_nowait(None)

    # Requests

    async def DeltaAggregatedResources(  # noqa: N802 (the published service's name)
        self, requests: AsyncIterator[Any], context: Any
    ) -> AsyncIterator[Any]:
        """Serve the stream of one node."""
        if len(self.streams) >= MAX_STREAMS:
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams")
        stream = Stream()
        self.streams.append(stream)
        self.streams_opened += 1
        await context.send_initial_metadata(())
        reader = asyncio.get_running_loop().create_task(self._read(stream, requests))
        try:
            while (response := await stream.responses.get()) is not None:
                yield response
            await context.abort(grpc.StatusCode.UNAVAILABLE, "cut")
        finally:
            reader.cancel()
            if stream in self.streams:
                self.streams.remove(stream)
            self.changed.set()

    async def _read(self, stream: Stream, requests: AsyncIterator[Any]) -> None:
        async for request in requests:
            url = request.type_url
            if request.node.id:
                stream.node = request.node.id
            if url not in stream.sent:
                stream.sent[url] = dict(request.initial_resource_versions)
                stream.initial_versions[url] = dict(request.initial_resource_versions)
            names = stream.subscriptions.setdefault(url, set())
            names |= set(request.resource_names_subscribe)
            names -= set(request.resource_names_unsubscribe)
            if request.response_nonce:
                label = stream.labels_by_nonce.get(request.response_nonce, "")
                reason = request.error_detail.message
                self.answers.append(NodeAnswer(stream.node, url, request.response_nonce, label, reason))
                if self.on_answer is not None:
                    self.on_answer(self.answers[-1])
            if url in self.resources:
                self._update(stream, url)
            self.changed.set()
