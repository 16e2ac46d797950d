"""Discovery's stand-in: the list of servers and its watches, late and sometimes down.

What is listed, and when, is decided in `Registry`, free of I/O; `DiscoveryService` puts it on sockets. Each
node asks at an address of its own, so that the record can say what was told to whom.
"""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs

from orchidferry.testkit.record import Recorder, StatusAnnounced
from orchidferry.testkit.wire import Address, Request, ServerSide

MAX_WAIT_MS = 60_000
MAX_CHANGES = 10_000  # that are kept: a watch from before these gets the whole list
DEEMED_S = 6.0  # what discovery has to tell counts as told so much later at the latest


@dataclass(slots=True)
class Listed:
    """A server as it is listed."""

    name: str
    tier: int
    address: str
    zone: str
    cell: int
    status: str = "active"
    since: float = 0.0  # of the record's clock; 0: long ago
    h3: str = ""  # where it speaks HTTP/3, if it does
    kind: str = "standin-1c"


@dataclass
class Registry:
    """One tier's list, with its changes in order."""

    index: int = 1
    servers: dict[str, Listed] = field(default_factory=dict)
    changes: list[tuple[int, Listed]] = field(default_factory=list)

    def change(self, entry: Listed) -> None:
        """List a server, or take it off (`left`)."""
        self.index += 1
        if entry.status == "left":
            self.servers.pop(entry.name, None)
        else:
            self.servers[entry.name] = entry
        self.changes.append((self.index, entry))
        del self.changes[:-MAX_CHANGES]

    def since(self, index: int | None) -> tuple[bool, list[Listed]]:
        """What a node that holds `index` must be told: whether it is the whole list, and the entries."""
        oldest = self.changes[0][0] - 1 if self.changes else self.index
        if index is None or index > self.index or index < oldest:
            return True, list(self.servers.values())
        latest: dict[str, Listed] = {}
        for number, entry in self.changes:
            if number > index:
                latest.pop(entry.name, None)
                latest[entry.name] = entry
        return False, list(latest.values())


@dataclass(slots=True, eq=False)
class Watch:
    """A call that waits for news."""

    connection: ServerSide
    index: int
    timer: asyncio.TimerHandle


@dataclass
class Asker:
    """A node as discovery knows it."""

    name: str
    tier: int
    server: asyncio.Server | None = None
    connections: set[ServerSide] = field(default_factory=set)
    watches: list[Watch] = field(default_factory=list)
    told: dict[str, tuple[str, float]] = field(default_factory=dict)  # status and since, by server
    up: bool = True


class DiscoveryService:
    """The lists of all tiers on sockets, one listener for each node."""

    def __init__(self, tiers: int, recorder: Recorder, unix_at_zero: float) -> None:
        self.registries = [Registry() for _ in range(tiers)]
        self.down = False
        self._recorder = recorder
        self._unix_at_zero = unix_at_zero
        self._askers: dict[str, Asker] = {}
        self._loop = asyncio.get_running_loop()

    async def attach(self, node: str, tier: int, address: Address) -> None:
        """Serve a node from now on; its name and address stay over its restarts."""
        asker = self._askers.setdefault(node, Asker(node, tier))
        asker.told.clear()
        asker.up = True
        if asker.server is not None:
            return
        asker.server = await self._loop.create_server(
            lambda: ServerSide(
                lambda connection, request: self._asked(asker, connection, request),
                lambda connection: self._lost(asker, connection),
                asker.connections.add,
            ),
            *address,
        )

    def detach(self, node: str) -> None:
        """The node's process has ended: nothing counts as told to it."""
        if node in self._askers:
            self._end_asker(self._askers[node])

    def _end_asker(self, asker: Asker) -> None:
        """Its address may be another node's next: a server that comes back renamed brings a new one."""
        asker.up = False
        if asker.server is not None:
            asker.server.close()
            asker.server = None
        for watch in list(asker.watches):
            self._end(asker, watch)
        for connection in list(asker.connections):
            connection.reset()

    def known_list(self, tier: int, node: str) -> dict[str, Any]:
        """The list as a node's configuration has it, which counts as told."""
        registry = self.registries[tier]
        body = self._listing(registry, True, list(registry.servers.values()))
        self._tell(self._askers[node], list(registry.servers.values()), True, False)
        return body

    def list_later(self, entry: Listed, delay_s: float) -> None:
        """A change that discovery notices so much later."""
        self._loop.call_later(delay_s, self._change, entry)

    def _change(self, entry: Listed) -> None:
        if self.down:
            # It notices once it is back.
            self._loop.call_later(0.2, self._change, entry)
            return
        registry = self.registries[entry.tier]
        registry.change(entry)
        self.tell_now(entry.tier)
        for asker in self._askers.values():
            if asker.tier == entry.tier:
                # Whatever becomes of the calls, it counts as told by then.
                self._loop.call_later(DEEMED_S, self._deem, asker, entry)

    def tell_now(self, tier: int) -> None:
        """Answer all watches on a tier with what there is to tell."""
        for asker in self._askers.values():
            if asker.tier == tier:
                for watch in list(asker.watches):
                    self._answer(asker, watch.connection, watch.index)
                    self._end(asker, watch)

    def _deem(self, asker: Asker, entry: Listed) -> None:
        if asker.up and asker.told.get(entry.name) != (entry.status, entry.since):
            current = self.registries[entry.tier].servers.get(entry.name)
            if (entry.status == "left" and current is None) or current is entry:
                self._tell(asker, [entry], False, True)

    def set_down(self, down: bool) -> None:
        """Answer nobody from now on, or be back."""
        self.down = down
        if down:
            for asker in self._askers.values():
                for watch in list(asker.watches):
                    self._end(asker, watch)
                for connection in list(asker.connections):
                    connection.reset()

    def _asked(self, asker: Asker, connection: ServerSide, request: Request) -> None:
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
        whole, news = self.registries[asker.tier].since(index)
        if whole or news or not wait_s:
            return self._answer(asker, connection, index)
        assert index is not None
        watch = Watch(connection, index, self._loop.call_later(wait_s, self._expire, asker, connection))
        asker.watches.append(watch)

    def _expire(self, asker: Asker, connection: ServerSide) -> None:
        for watch in [w for w in asker.watches if w.connection is connection]:
            self._answer(asker, connection, watch.index)
            self._end(asker, watch)

    def _end(self, asker: Asker, watch: Watch) -> None:
        watch.timer.cancel()
        asker.watches.remove(watch)

    def _lost(self, asker: Asker, connection: ServerSide) -> None:
        asker.connections.discard(connection)
        for watch in [w for w in asker.watches if w.connection is connection]:
            self._end(asker, watch)

    def _answer(self, asker: Asker, connection: ServerSide, index: int | None) -> None:
        registry = self.registries[asker.tier]
        whole, entries = registry.since(index)
        connection.answer(200, json.dumps(self._listing(registry, whole, entries)).encode())
        self._tell(asker, entries, whole, False)

    def _listing(self, registry: Registry, whole: bool, entries: list[Listed]) -> dict[str, Any]:
        return {
            "index": registry.index,
            "snapshot": whole,
            "endpoints": [
                {
                    "name": e.name,
                    "address": e.address,
                    "zone": e.zone,
                    "type": e.kind,
                    "group": e.cell,
                    "status": e.status,
                    "weight": 1.0,
                    "since_ms": int((self._unix_at_zero + e.since) * 1000.0) if e.since else 0,
                    **({"h3": e.h3} if e.h3 else {}),
                }
                for e in entries
            ],
        }

    def _tell(self, asker: Asker, entries: list[Listed], whole: bool, deemed: bool) -> None:
        """Note what a node knows from now on."""
        now = self._recorder.now()
        news = {entry.name: (entry.status, entry.since) for entry in entries}
        if whole:
            for name, (status, since) in asker.told.items():
                if name not in news and status != "left":
                    news[name] = ("left", since)
        for name, (status, since) in news.items():
            if asker.told.get(name) != (status, since):
                asker.told[name] = (status, since)
                self._recorder.put(StatusAnnounced(now, asker.name, name, status, since, deemed))

    def close(self) -> None:
        for asker in self._askers.values():
            self._end_asker(asker)
