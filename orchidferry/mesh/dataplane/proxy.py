"""The sidecar proxy, the data plane node of the mesh: `orchidferry proxy`.

The outbound listener takes requests of this machine's clients and server; the proxy finds their route, claims
their operation key if they have one, and sends them to a server. The inbound listener passes requests for
this machine's server to the admission gate. The server registers at the control listener.
"""

from __future__ import annotations

import asyncio
import dataclasses
import math
import random
from collections.abc import Callable

from loguru import logger
from msgspec import structs

from orchidferry.mesh.control.configuration import Configuration, Route, RouteTable, parse
from orchidferry.mesh.control.control_api import ControlRequest, ControlServer
from orchidferry.mesh.control.control_client import ControlClient
from orchidferry.mesh.control.endpoints import DRAINING, IN_SERVICE, NodeRecord, group_by_service
from orchidferry.mesh.dataplane.admission import AdmissionGate, GateHooks
from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool
from orchidferry.mesh.dataplane.keyed_requests import KeyedRequests
from orchidferry.mesh.dataplane.listener import Listener
from orchidferry.mesh.dataplane.messages import TRANSIT_MARGIN_MS, ProxiedRequest, refusal_reply
from orchidferry.mesh.dataplane.proxy_metrics import METRICS_TYPE, render_metrics
from orchidferry.mesh.dataplane.registration_api import PATH as REGISTRATION_PATH
from orchidferry.mesh.dataplane.registration_api import RegistrationApi
from orchidferry.mesh.dataplane.service_client import ClientContext, ServiceClient
from orchidferry.mesh.errors import Rejection, RejectionReason
from orchidferry.mesh.settings import Settings
from orchidferry.node.client_connection import RequestHandle
from orchidferry.node.clock import now_ms
from orchidferry.node.flow import MAX_STREAMED_BODY, MemoryPool
from orchidferry.node.http1 import MAX_HEAD
from orchidferry.node.reply import Reply
from orchidferry.node.request import Message
from orchidferry.node.timer_queue import TimerQueue

READINESS_PATH = "/orchidferry/readiness"
METRICS_PATH = "/orchidferry/metrics"
CONNECT_TIMEOUT_MS = 400.0
# A connection may be idle for half of these times.
GATE_KEEPALIVE_MS = 60_000.0
SERVER_KEEPALIVE_MS = 14_000.0
# At-most-once requests are not sent on a connection that was idle for longer: the peer may have disappeared
# without closing it, and a request that is lost that way can't be retried. The time is that for which a node
# that is cut off from the network may still be listed.
AT_MOST_ONCE_IDLE_MS = 2_000.0
# A node that passes a reply on to a slow caller reads from its own side only now and then.
INBOUND_STREAM_IDLE_S = 300.0
HEARTBEAT_CHECK_S = 0.5  # interval between checks for an overdue heartbeat
# For how long after a rejected call of this machine's server the server's errors are attributed to the call.
DEPENDENCY_SHED_MS = 500.0
NOT_CONFIGURED_RETRY_AFTER_S = 0.6  # Retry-After while the node has no configuration
RESERVED_SOCKETS = 300  # file descriptors that are not available to the data plane's connections
MIN_SOCKETS = 64
CONTROL_CONNECTIONS = 64  # connection limit of the readiness listener and of the control listener
BODY_MEMORY_BYTES_PER_MB = 0.2e6  # memory for bodies in transit, per MB of the node's memory
MAX_ADDED_HEADER_BYTES = 2_048  # upper bound of the headers that a node adds to a request for a gate
DEFAULT_IDLE_TIMEOUT_MS = 60_000.0
DEFAULT_HEADER_TIMEOUT_MS = 3_000.0
STOP_ADMITTING_S = 0.3  # how long after SIGTERM the gate goes on to admit requests
# How long after SIGTERM new requests of clients are accepted; clients learn of the drain after two readiness
# probes.
STOP_ACCEPTING_S = 2.4
STOP_MARGIN_S = 0.4  # the node is done this long before the platform kills the process
# Upper bound of this margin, as a fraction of the grace time: requests may be cut off only if they are
# executing in the last sixth of the grace time.
MAX_STOP_MARGIN_FRACTION = 1.0 / 12.0


class NoPendingRequest:
    """The handle of a request that was answered at once."""

    def client_disconnected(self) -> None:
        """Do nothing, as the request is answered already."""


class Proxy:
    """One data plane node."""

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop) -> None:
        self._settings = settings
        self._loop = loop
        self._rng = random.Random()
        self._timers = TimerQueue(loop)
        self._max_sockets = max(MIN_SOCKETS, settings.max_file_descriptors - RESERVED_SOCKETS)
        self._gate_connections = self._connection_pool("gate", GATE_KEEPALIVE_MS)
        self._gate_connections.local_ip = settings.bind_ip or None
        self._server_connections = self._connection_pool("server", SERVER_KEEPALIVE_MS)
        self._server_numbers: dict[str, int] = {}  # by server id, while a node's record lists the server
        self._last_server_number = 0
        self._services: dict[str, ServiceClient] = {}
        self._configuration: Configuration | None = None
        self._route_table = RouteTable([])
        self._node_count = 0
        # Records of the nodes that have a server, by the server's service and by node name.
        self._records_by_service: dict[str, dict[str, NodeRecord]] = {}
        self._record_number = 0  # number of the record that was published last
        self._draining = False
        self._drain_deadline_ms = math.inf  # while the node drains: time by which all requests are answered
        self._control_client = ControlClient(settings, loop, self._on_members, self._on_configuration)
        self._keyed_requests = KeyedRequests(self._control_client)
        assert settings.application is not None
        self._gate = AdmissionGate(
            settings.application,
            settings.bounds,
            settings.heartbeat_interval_ms,
            self._timers,
            self._server_connections,
            GateHooks(self._publish, self._dependency_shed, self._keyed_requests.store_orphaned),
        )
        self._create_listeners()

    def _connection_pool(self, name: str, keepalive_ms: float) -> HttpConnectionPool:
        return HttpConnectionPool(
            self._loop,
            CONNECT_TIMEOUT_MS,
            keepalive_ms,
            self._free_sockets,
            self._timers,
            AT_MOST_ONCE_IDLE_MS,
            name,
        )

    def _create_listeners(self) -> None:
        body_memory = MemoryPool(int(self._settings.memory_mb * BODY_MEMORY_BYTES_PER_MB))
        max_callers = self._max_sockets // 3
        self._outbound = Listener(self._accept, max_callers, body_memory, lambda: True, "outbound")
        self._inbound = Listener(
            self._gate.accept, max_callers, body_memory, lambda: True, "inbound", INBOUND_STREAM_IDLE_S
        )
        readiness = {READINESS_PATH: self._readiness, METRICS_PATH: self._metrics}
        registration = {REGISTRATION_PATH: RegistrationApi(self._gate).handle}
        self._readiness_listener = ControlServer(readiness, CONTROL_CONNECTIONS)
        self._control_listener = ControlServer(registration, CONTROL_CONNECTIONS)

    def _free_sockets(self) -> int:
        return (
            self._max_sockets
            - self._gate_connections.count()
            - self._server_connections.count()
            - self._outbound.count()
            - self._inbound.count()
        )

    def _dependency_shed(self) -> bool:
        """Whether a call to another service was rejected recently."""
        others = [service for name, service in self._services.items() if name != self._settings.service]
        return any(now_ms() - service.last_rejected_ms < DEPENDENCY_SHED_MS for service in others)

    # Start and shutdown

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until `stopping` is set, then drain."""
        listeners = {
            "ready": self._readiness_listener,
            "control": self._control_listener,
            "inbound": self._inbound,
            "outbound": self._outbound,
        }
        for name, listener in listeners.items():
            await listener.listen(self._loop, self._settings.listen_address(name))
        await self._control_client.listen()
        self._control_client.start()
        self._publish()
        self._check_heartbeat()
        logger.info("proxy: serving, service={} ip={}", self._settings.service, self._settings.ip)
        await stopping.wait()
        await self._stop()

    async def _stop(self) -> None:
        """Drain within the grace time, after which the platform kills the process.

        Clients learn of the drain from readiness, which the platform probes once per second.
        """
        started_s = self._loop.time()
        grace_s = self._settings.bounds.grace_s
        margin_s = min(STOP_MARGIN_S, MAX_STOP_MARGIN_FRACTION * grace_s)
        end_s = started_s + grace_s - margin_s
        self._drain_deadline_ms = now_ms() + (grace_s - 2.0 * margin_s) * 1000.0
        logger.info("proxy: draining, grace_s={}", grace_s)
        self._draining = True
        for client in self._services.values():
            client.drain_until(self._drain_deadline_ms)
        self._publish()
        await asyncio.sleep(STOP_ADMITTING_S)
        # From now on the gate rejects requests as not run. Its connections stay open: the sender of a request
        # that is in transit when its connection closes can't know whether the request has run.
        self._gate.draining = True
        try:
            async with asyncio.timeout_at(started_s + min(STOP_ACCEPTING_S, grace_s / 2.0)):
                await self._outbound.wait_closed()
        except TimeoutError:
            pass
        try:
            async with asyncio.timeout_at(end_s):
                await self._close_listener(self._outbound)
                await self._close_listener(self._inbound)
        except TimeoutError:
            logger.warning("proxy: drain timed out, callers={}", self._outbound.count())
            for listener in (self._outbound, self._inbound):
                listener.report_open_connections()
        logger.info("proxy: stopped")

    async def _close_listener(self, listener: Listener) -> None:
        """Stop accepting connections, and close each open one after its last response."""
        listener.close_listener()
        await listener.close_gracefully()

    def reload_settings(self, settings: Settings) -> None:
        """Apply the seed controllers and the service name of changed settings; other changes are ignored."""
        self._control_client.set_seeds(settings.seeds)
        self._settings = dataclasses.replace(self._settings, service=settings.service)
        for client in self._services.values():
            client.set_caller(settings.service)

    def _check_heartbeat(self) -> None:
        self._loop.call_later(HEARTBEAT_CHECK_S, self._check_heartbeat)
        self._gate.check_heartbeat()

    def _readiness(self, call: ControlRequest, rest: str, answer: Callable[[Reply], None]) -> None:
        any_server = any(client.ready for client in self._services.values())
        configured = self._configuration is not None and self._control_client.has_initial_configuration
        ready = configured and any_server and not self._draining
        answer(Reply(200, b"ready") if ready else Reply(503, b"not ready"))

    def _metrics(self, call: ControlRequest, rest: str, answer: Callable[[Reply], None]) -> None:
        revision = self._configuration.revision if self._configuration is not None else 0
        text = render_metrics(
            [self._outbound, self._inbound],
            {"gate": self._gate_connections, "server": self._server_connections},
            self._gate.in_flight,
            revision,
            self._control_client.wanted_revision,
        )
        answer(Reply(200, text, METRICS_TYPE))

    # Membership and configuration

    def _publish(self) -> None:
        """Publish this node's record to the controllers."""
        self._record_number += 1
        server = self._gate.server
        if server is not None and self._draining and server.state == IN_SERVICE:
            server = structs.replace(server, state=DRAINING, warmup_left_ms=0.0)
        settings = self._settings
        self._control_client.publish(
            NodeRecord(
                settings.name,
                self._control_client.boot_id,
                self._record_number,
                settings.zone,
                settings.ip,
                settings.listen["inbound"][1],
                server,
            )
        )

    def _on_members(self, members: dict[str, NodeRecord]) -> None:
        """Handle a change of the set of nodes or of a node's record."""
        previous = self._records_by_service
        self._records_by_service = group_by_service(members)
        self._node_count = len(members)
        for name, client in self._services.items():
            records = self._records_by_service.get(name, {})
            if records != previous.get(name, {}):
                client.update_servers(records)
            client.set_node_count(self._node_count)
        listed = {record.server.id for record in members.values() if record.server is not None}
        for id in [id for id in self._server_numbers if id not in listed]:
            del self._server_numbers[id]

    def _server_number(self, server_id: str) -> int:
        number = self._server_numbers.get(server_id)
        if number is None:
            self._last_server_number += 1
            number = self._server_numbers[server_id] = self._last_server_number
        return number

    def _on_configuration(self, revision: int, raw: bytes) -> None:
        """Apply a newer configuration."""
        configuration = parse(raw)
        logger.info("proxy: configured, revision={} routes={}", revision, len(configuration.routes))
        routes_by_service: dict[str, list[Route]] = {name: [] for name in configuration.services}
        for route in configuration.routes:
            for service, _ in route.split:
                routes_by_service[service].append(route)
        for name, routes in routes_by_service.items():
            client = self._services.get(name)
            if client is None:
                client = self._services[name] = self._create_client(name)
            client.set_routes(routes)
        removed = [
            name
            for name, client in self._services.items()
            if name not in routes_by_service and not client.pending
        ]
        for name in removed:
            del self._services[name]
        self._configuration = configuration
        self._outbound.revision = self._inbound.revision = revision
        self._route_table = RouteTable(configuration.routes)
        self._apply_limits(configuration.limits)

    def _create_client(self, name: str) -> ServiceClient:
        settings = self._settings
        context = ClientContext(
            settings.service,
            settings.zone,
            settings.bounds,
            self._loop,
            self._timers,
            self._gate_connections,
            self._server_number,
        )
        client = ServiceClient(name, context)
        client.update_servers(self._records_by_service.get(name, {}))
        client.set_node_count(self._node_count)
        if self._draining:
            client.drain_until(self._drain_deadline_ms)
        return client

    def _apply_limits(self, limits: dict[str, float]) -> None:
        """Apply the limits of the configuration."""
        idle_s = limits.get("idle_timer_ms", DEFAULT_IDLE_TIMEOUT_MS) / 1000.0
        header_s = limits.get("header_timer_ms", DEFAULT_HEADER_TIMEOUT_MS) / 1000.0
        self._outbound.set_timeouts(idle_s, header_s)
        head = int(limits.get("max_header_bytes", MAX_HEAD))
        body = int(limits.get("max_body_bytes", MAX_STREAMED_BODY))
        self._outbound.set_size_limits(head, body)
        # The inbound limits are never lowered, as another node may have accepted a request under limits that
        # this node no longer has, or does not have yet.
        self._inbound.set_size_limits(
            max(self._inbound.max_header_bytes, head + MAX_ADDED_HEADER_BYTES),
            max(self._inbound.body_limit, body),
        )

    # Requests

    def _accept(self, message: Message, answer: Callable[[Reply], None]) -> RequestHandle:
        """Accept a request from this machine: find its route, and send it to one of the route's services."""
        assert isinstance(message, ProxiedRequest)
        if self._configuration is None:
            refusal = Rejection(RejectionReason.NOT_READY)
            answer(refusal_reply(message, refusal, NOT_CONFIGURED_RETRY_AFTER_S))
            return NoPendingRequest()
        path = message.target.partition(b"?")[0].decode("latin-1")
        route = self._route_table.find(message.host.decode("latin-1"), path)
        if route is None:
            answer(refusal_reply(message, Rejection(RejectionReason.NO_ROUTE)))
            return NoPendingRequest()
        message.cls = route.id
        message.route = route
        budget_ms = route.guard_timer_ms if message.without_deadline else message.budget_ms
        budget_ms = max(0.0, min(budget_ms - TRANSIT_MARGIN_MS, route.guard_timer_ms))
        deadline_ms = min(message.waiting_since_ms(now_ms()) + budget_ms, self._drain_deadline_ms)
        client = self._services[self._pick_service(route)]
        if route.kind == "keyed" and message.key is not None:
            return self._keyed_requests.accept(message, route, client, deadline_ms, answer)
        return client.accept(message, route, deadline_ms, answer)

    def _pick_service(self, route: Route) -> str:
        if len(route.split) == 1:
            return route.split[0][0]
        names, weights = zip(*route.split, strict=True)
        return str(self._rng.choices(names, weights)[0])
