"""The servers of one service, as listed in the records of all nodes, and their load-balancing weights."""

from __future__ import annotations

import asyncio
import dataclasses
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from orchidferry.balancing import interface as api
from orchidferry.mesh.control.endpoints import DRAINING, IN_SERVICE, NodeRecord, Server
from orchidferry.mesh.dataplane.connection_pool import HttpConnectionPool
from orchidferry.mesh.dataplane.zone_preference import ZonePreference
from orchidferry.mesh.settings import Address

SLOW_START_WEIGHT = 0.5  # factor of the weight while a server announces that it is warming up
SLOW_START_MARGIN_S = 0.01  # added to the warm-up time that the server announces


@dataclass(frozen=True, slots=True)
class Endpoint:
    """A server, and the admission gate that receives requests for it."""

    server_id: str
    gate: Address
    gate_boot_id: int  # number drawn at each start of the gate's process
    same_zone: bool  # whether the server is in the zone of this node
    entry: api.ServerEntry  # as published to the balancer


class EndpointTable:
    """The servers of one service, by the numbers that identify them to the balancer."""

    def __init__(
        self,
        service: str,
        zone: str,
        server_number: Callable[[str], int],
        loop: asyncio.AbstractEventLoop,
        connections: HttpConnectionPool,
        publish: Callable[[list[api.ServerEntry]], None],
    ) -> None:
        """:param service: name of the service.

        :param zone: the zone of this node.
        :param server_number: returns the number of the server with an id.
        :param publish: called with the entries that have changed.
        """
        self._service = service
        self._zone = zone
        self._server_number = server_number
        self._loop = loop
        self._connections = connections
        self._publish = publish
        self._endpoints: dict[int, Endpoint] = {}
        self._ready: dict[int, Endpoint] = {}  # servers that are in service, by number
        self._slow_start: set[int] = set()  # numbers of the servers that are warming up
        self._zone_preference = ZonePreference()

    def entries(self) -> list[api.ServerEntry]:
        """Return the entries of all servers, as published to the balancer."""
        return [endpoint.entry for endpoint in self._endpoints.values()]

    @property
    def ready_count(self) -> int:
        """The number of servers that are in service."""
        return len(self._ready)

    def is_ready(self, number: int) -> bool:
        """Whether a server is in service and may be sent requests."""
        return number in self._ready

    def ready_endpoint(self, number: int) -> Endpoint | None:
        """Return a server if it is in service, else None."""
        return self._ready.get(number)

    def update(self, records: Mapping[str, NodeRecord]) -> None:
        """Update the table from the records of all nodes whose server belongs to this service."""
        previous = self._endpoints
        current: dict[int, Endpoint] = {}
        for record in records.values():
            server = record.server
            if server is None or server.service != self._service:
                continue
            if server.state in (IN_SERVICE, DRAINING):
                number = self._server_number(server.id)
                current[number] = self._endpoint(number, record, server)
        gone = [number for number in previous if number not in current]
        self._endpoints = current
        self._ready = {
            number: endpoint
            for number, endpoint in current.items()
            if endpoint.entry.health is api.Health.IN_SERVICE
        }
        self._close_connections(previous, gone)
        changes = [
            endpoint.entry
            for number, endpoint in current.items()
            if number not in previous or previous[number].entry != endpoint.entry
        ]
        changes += [api.ServerEntry(number, health=api.Health.GONE) for number in gone]
        if changes:
            self._publish(changes)

    def observe_queue(self, number: int, queue_length: float) -> None:
        """Handle the queue length that a server's gate has reported."""
        endpoint = self._endpoints.get(number)
        if endpoint is not None and endpoint.same_zone and self._zone_preference.observe(queue_length):
            self._publish_weights()

    def _endpoint(self, number: int, record: NodeRecord, server: Server) -> Endpoint:
        if number not in self._endpoints and server.warmup_left_ms > 0:
            self._slow_start.add(number)
            delay_s = server.warmup_left_ms / 1000.0 + SLOW_START_MARGIN_S
            self._loop.call_later(delay_s, self._end_slow_start, number)
        same_zone = server.zone == self._zone
        health = api.Health.IN_SERVICE if server.state == IN_SERVICE else api.Health.DRAINING
        weight = self._weight(number, same_zone)
        entry = api.ServerEntry(number, server.zone, health=health, share=weight)
        return Endpoint(server.id, (record.ip, record.inbound), record.boot, same_zone, entry)

    def _close_connections(self, previous: dict[int, Endpoint], gone: list[int]) -> None:
        """Close idle connections to gates that were restarted, and to servers that are gone."""
        for number, endpoint in self._endpoints.items():
            before = previous.get(number)
            if before is not None and before.gate_boot_id != endpoint.gate_boot_id:
                self._connections.close_idle(number)
        for number in gone:
            self._slow_start.discard(number)
            self._connections.server_removed(number)

    def _weight(self, number: int, same_zone: bool) -> float:
        slow_start = SLOW_START_WEIGHT if number in self._slow_start else 1.0
        return slow_start * (self._zone_preference.weight if same_zone else 1.0)

    def _end_slow_start(self, number: int) -> None:
        if number in self._slow_start:
            self._slow_start.discard(number)
            if number in self._endpoints:
                self._publish_weights()

    def _publish_weights(self) -> None:
        """Publish the entries of the servers whose weight has changed."""
        changes = []
        for number, endpoint in self._endpoints.items():
            weight = self._weight(number, endpoint.same_zone)
            if endpoint.entry.share != weight:
                entry = dataclasses.replace(endpoint.entry, share=weight)
                endpoint = dataclasses.replace(endpoint, entry=entry)
                self._endpoints[number] = endpoint
                if number in self._ready:
                    self._ready[number] = endpoint
                changes.append(entry)
        if changes:
            self._publish(changes)
