"""A stand-in for service discovery: server lists and long polls, with delays and outages.

`Registry` holds the server list of one tier and is free of I/O; `DiscoveryService` serves the lists over
HTTP. Each node has its own address of discovery, so that the record can name the node that was notified.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any, NamedTuple
from urllib.parse import parse_qs

from orchidferry.testkit.record import Recorder, StatusAnnounced
from orchidferry.testkit.wire import Address, Request, ServerSide

MAX_WAIT_MS = 60_000  # longest wait of a long poll
MAX_CHANGES = 10_000  # number of changes that a registry keeps; a watch with an older index gets a snapshot
ASSUMED_KNOWN_AFTER_S = 6.0  # time after a change from which each node counts as notified of it
DOWN_RETRY_S = 0.2  # time until a change that fell into an outage is tried again


@dataclass(slots=True)
class ListedServer:
    """A server's entry in the list."""

    name: str
    tier: int
    address: str
    zone: str
    cell: int
    status: str = "active"
    since: float = 0.0  # start time of the server, in seconds on the record's clock; 0: before the run
    h3: str = ""  # HTTP/3 address; empty if the server has none
    kind: str = "standin-1c"  # machine type


class Changes(NamedTuple):
    """The content of an answer to a node: all servers (a snapshot), or those that changed."""

    is_snapshot: bool
    servers: list[ListedServer]


@dataclass
class Registry:
    """The server list of one tier, with its latest changes in order."""

    index: int = 1  # number of the latest change
    servers: dict[str, ListedServer] = field(default_factory=dict)  # by name
    changes: list[tuple[int, ListedServer]] = field(default_factory=list)  # each with its index

    def change(self, entry: ListedServer) -> None:
        """Add or replace a server, or remove it if its status is `left`."""
        self.index += 1
        if entry.status == "left":
            self.servers.pop(entry.name, None)
        else:
            self.servers[entry.name] = entry
        self.changes.append((self.index, entry))
        del self.changes[:-MAX_CHANGES]

    def since(self, index: int | None) -> Changes:
        """Return the changes after an index, or a snapshot if these changes are not kept any more.

        :param index: the last index that the node has seen; None gives a snapshot
        """
        oldest = self.changes[0][0] - 1 if self.changes else self.index
        if index is None or index > self.index or index < oldest:
            return Changes(True, list(self.servers.values()))
        latest: dict[str, ListedServer] = {}
        for number, entry in self.changes:
            if number > index:
                latest.pop(entry.name, None)
                latest[entry.name] = entry
        return Changes(False, list(latest.values()))


@dataclass(slots=True, eq=False)
class Watch:
    """A long poll that waits for a change."""

    connection: ServerSide
    index: int  # the last index that the node has seen
    timer: asyncio.TimerHandle  # ends the long poll


@dataclass
class Subscriber:
    """A node that uses discovery, with its connections and the statuses that it was sent."""

    name: str
    tier: int  # index of the tier with the servers that the node uses
    server: asyncio.Server | None = None  # listener at the address of discovery for this node
    connections: set[ServerSide] = field(default_factory=set)
    watches: list[Watch] = field(default_factory=list)
    announced: dict[str, tuple[str, float]] = field(default_factory=dict)  # status and since, by server
    up: bool = True  # whether the node's process runs


class DiscoveryService:
    """Serves the lists of all tiers, with one listener for each node.

    :param tiers: number of tiers
    :param unix_at_zero: Unix time of the record's zero, in seconds
    """

    def __init__(self, tiers: int, recorder: Recorder, unix_at_zero: float) -> None:
        self.registries = [Registry() for _ in range(tiers)]
        self.down = False
        self._recorder = recorder
        self._unix_at_zero = unix_at_zero
        self._subscribers: dict[str, Subscriber] = {}
        self._loop = asyncio.get_running_loop()

    async def attach(self, node: str, tier: int, address: Address) -> None:
        """Start to serve a node, also after a restart of the node under the same name and address.

        :param tier: index of the tier with the servers that the node uses
        :param address: the address of discovery for this node
        """
        subscriber = self._subscribers.setdefault(node, Subscriber(node, tier))
        subscriber.announced.clear()
        subscriber.up = True
        if subscriber.server is not None:
            return
        subscriber.server = await self._loop.create_server(
            lambda: ServerSide(
                lambda connection, request: self._on_request(subscriber, connection, request),
                lambda connection: self._on_connection_lost(subscriber, connection),
                subscriber.connections.add,
            ),
            *address,
        )

    def detach(self, node: str) -> None:
        """Stop serving a node whose process has ended; it no longer counts as notified of changes."""
        if node in self._subscribers:
            self._close_subscriber(self._subscribers[node])

    def _close_subscriber(self, subscriber: Subscriber) -> None:
        """Close a node's listener, connections and watches.

        This frees the address: a server that is restarted under a new name has a new sidecar node at the same
        address.
        """
        subscriber.up = False
        if subscriber.server is not None:
            subscriber.server.close()
            subscriber.server = None
        for watch in list(subscriber.watches):
            self._end_watch(subscriber, watch)
        for connection in list(subscriber.connections):
            connection.reset()

    def known_list(self, tier: int, node: str) -> dict[str, Any]:
        """Return the server list for a node's configuration file, and record the node as notified of it."""
        registry = self.registries[tier]
        snapshot = registry.since(None)
        body = self._response(registry, snapshot)
        self._record_announced(self._subscribers[node], snapshot, False)
        return body

    def list_later(self, entry: ListedServer, delay_s: float) -> None:
        """Apply a change to the list after a delay in seconds."""
        self._loop.call_later(delay_s, self._change, entry)

    def _change(self, entry: ListedServer) -> None:
        if self.down:
            self._loop.call_later(DOWN_RETRY_S, self._change, entry)
            return
        registry = self.registries[entry.tier]
        registry.change(entry)
        self.notify_watches(entry.tier)
        for subscriber in self._subscribers.values():
            if subscriber.tier == entry.tier:
                self._loop.call_later(ASSUMED_KNOWN_AFTER_S, self._assume_known, subscriber, entry)

    def notify_watches(self, tier: int) -> None:
        """Answer all watches of a tier with the changes since their index."""
        for subscriber in self._subscribers.values():
            if subscriber.tier == tier:
                for watch in list(subscriber.watches):
                    self._answer(subscriber, watch.connection, watch.index)
                    self._end_watch(subscriber, watch)

    def _assume_known(self, subscriber: Subscriber, entry: ListedServer) -> None:
        if subscriber.up and subscriber.announced.get(entry.name) != (entry.status, entry.since):
            current = self.registries[entry.tier].servers.get(entry.name)
            if (entry.status == "left" and current is None) or current is entry:
                self._record_announced(subscriber, Changes(False, [entry]), True)

    def set_down(self, down: bool) -> None:
        """Begin or end an outage; the beginning resets all connections."""
        self.down = down
        if down:
            for subscriber in self._subscribers.values():
                for watch in list(subscriber.watches):
                    self._end_watch(subscriber, watch)
                for connection in list(subscriber.connections):
                    connection.reset()

    def _on_request(self, subscriber: Subscriber, connection: ServerSide, request: Request) -> None:
        path, _, query = request.target.partition("?")
        if self.down:
            return connection.answer(503)
        if path != "/api/targets" or request.method != "GET":
            return connection.answer(404)
        fields = parse_qs(query)
        try:
            index = int(fields["index"][0]) if "index" in fields else None
            wait_s = min(int(fields.get("wait", ["0"])[0]), MAX_WAIT_MS) / 1000.0
        except ValueError:
            return connection.answer(400)
        changes = self.registries[subscriber.tier].since(index)
        if changes.is_snapshot or changes.servers or not wait_s:
            return self._answer(subscriber, connection, index)
        assert index is not None
        watch = Watch(
            connection, index, self._loop.call_later(wait_s, self._on_watch_expired, subscriber, connection)
        )
        subscriber.watches.append(watch)
        return None

    def _on_watch_expired(self, subscriber: Subscriber, connection: ServerSide) -> None:
        for watch in [w for w in subscriber.watches if w.connection is connection]:
            self._answer(subscriber, connection, watch.index)
            self._end_watch(subscriber, watch)

    def _end_watch(self, subscriber: Subscriber, watch: Watch) -> None:
        watch.timer.cancel()
        subscriber.watches.remove(watch)

    def _on_connection_lost(self, subscriber: Subscriber, connection: ServerSide) -> None:
        subscriber.connections.discard(connection)
        for watch in [w for w in subscriber.watches if w.connection is connection]:
            self._end_watch(subscriber, watch)

    def _answer(self, subscriber: Subscriber, connection: ServerSide, index: int | None) -> None:
        registry = self.registries[subscriber.tier]
        changes = registry.since(index)
        connection.answer(200, json.dumps(self._response(registry, changes)).encode())
        self._record_announced(subscriber, changes, False)

    def _response(self, registry: Registry, changes: Changes) -> dict[str, Any]:
        return {
            "index": registry.index,
            "snapshot": changes.is_snapshot,
            "endpoints": [
                {
                    "name": server.name,
                    "address": server.address,
                    "zone": server.zone,
                    "type": server.kind,
                    "group": server.cell,
                    "status": server.status,
                    "weight": 1.0,
                    "since_ms": int((self._unix_at_zero + server.since) * 1000.0) if server.since else 0,
                    **({"h3": server.h3} if server.h3 else {}),
                }
                for server in changes.servers
            ],
        }

    def _record_announced(self, subscriber: Subscriber, changes: Changes, assumed: bool) -> None:
        """Record each status that is new to a node.

        :param assumed: whether the node was sent nothing, but counts as notified because of the time passed
        """
        now = self._recorder.now()
        statuses = {entry.name: (entry.status, entry.since) for entry in changes.servers}
        if changes.is_snapshot:
            for name, (status, since) in subscriber.announced.items():
                if name not in statuses and status != "left":
                    statuses[name] = ("left", since)
        for name, (status, since) in statuses.items():
            if subscriber.announced.get(name) != (status, since):
                subscriber.announced[name] = (status, since)
                self._recorder.put(StatusAnnounced(now, subscriber.name, name, status, since, assumed))

    def close(self) -> None:
        """Close all listeners and connections."""
        for subscriber in self._subscribers.values():
            self._close_subscriber(subscriber)
