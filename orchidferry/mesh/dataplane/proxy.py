"""The node of the mesh, on sidecar machines: `orchidferry proxy`.

Outbound, requests of this machine's clients and server get their route, their key and their server; inbound,
the gate lets in what comes for the server here; at the control door that server tells of itself.
"""

from __future__ import annotations

import asyncio
import dataclasses
import json
import math
import random
from collections.abc import Callable
from typing import Any

from loguru import logger

from orchidferry.mesh.control.configuration import Configuration, Route, Table, parse
from orchidferry.mesh.control.control_api import JSON, Call, ControlDoor, told
from orchidferry.mesh.control.control_client import ControlClient
from orchidferry.mesh.control.endpoints import DRAINING, IN_SERVICE, NodeRecord, Server, group_by_service
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.dataplane.admission import AdmissionGate
from orchidferry.mesh.dataplane.http_connection import HttpConnections
from orchidferry.mesh.dataplane.listener import Listener
from orchidferry.mesh.dataplane.messages import (
    MARGIN_MS,
    ProxiedRequest,
    ServerResponse,
    kept_answer,
    own_answer,
)
from orchidferry.mesh.dataplane.service_client import PendingRequest, ServiceClient
from orchidferry.mesh.errors import Kind, Refusal
from orchidferry.mesh.settings import Settings
from orchidferry.node.config import now_ms
from orchidferry.node.flow import LONG_BODY, MemoryPool
from orchidferry.node.frontend import Reply
from orchidferry.node.request import Message
from orchidferry.node.timer_queue import TimerQueue
from orchidferry.node.upstream import MAX_HEAD

CONNECT_MS = 400.0
# half of this a connection may idle
KEEP_HOP_MS = 60_000.0
KEEP_SERVER_MS = 14_000.0
# What may run once goes on no connection that has rested for longer, as nobody can make good what is lost on
# one that is dead without a sign: as long as a node that is cut off may still be listed.
ONCE_IDLE_MS = 2_000.0
# for claiming a key: so long, or this share of the time left
CLAIM_S = 1.0
CLAIM_SHARE = 0.4
LOOK_S = 0.5
BELOW_MS = 500.0  # so long a call from this machine that was turned away explains its server's errors
STARTING_S = 0.6  # when to come back to a node that has no configuration yet
SPARE_SOCKETS = 300
OWN_HEADERS = 2_048  # bytes of the headers that nodes add on the way to a gate
STOP_READY_S = 0.3  # after SIGTERM: so long the gate goes on to take requests
STOP_TAKE_S = 2.4  # and so long new requests are taken: callers hear of it after two looks at readiness
STOP_MARGIN_S = 0.4  # before the platform kills


class PendingClaim:
    """A keyed request whose key is being claimed."""

    def __init__(self) -> None:
        self.gone = False
        self.live: PendingRequest | None = None

    def client_disconnected(self) -> None:
        self.gone = True
        if self.live is not None:
            self.live.client_disconnected()


class NothingOwed:
    """Nothing is owed."""

    def client_disconnected(self) -> None:
        """Nothing to do."""


class Proxy:
    """One node."""

    def __init__(self, settings: Settings, loop: asyncio.AbstractEventLoop) -> None:
        self._settings, self._loop, self._rng = settings, loop, random.Random()
        self._alarms = TimerQueue(loop)
        self._room_most = max(64, settings.descriptors - SPARE_SOCKETS)
        room = self._room
        self._hops = HttpConnections(loop, CONNECT_MS, KEEP_HOP_MS, room, self._alarms, ONCE_IDLE_MS)
        self._hops.local_ip = settings.bind_ip or None
        self._visits = HttpConnections(loop, CONNECT_MS, KEEP_SERVER_MS, room, self._alarms, ONCE_IDLE_MS)
        self._numbers: dict[str, int] = {}  # of servers, for as long as a node lists them
        self._serial = 0  # the last of these
        self._services: dict[str, ServiceClient] = {}
        self._table = Table([])
        self._configuration: Configuration | None = None
        self._members: dict[str, NodeRecord] = {}
        self._by_service: dict[str, dict[str, NodeRecord]] = {}  # those with a server
        self._leaving = False
        self._record_number = 0
        self._stop_ms = math.inf  # when all must be answered, once the node is to end
        pool = MemoryPool(int(settings.memory_mb * 0.2e6))
        self._outbound = Listener(self._take, self._room_most // 3, pool, lambda: True)
        self._inbound = Listener(self._visit, self._room_most // 3, pool, lambda: True)
        self._ready = ControlDoor({"/orchidferry/readiness": self._readiness}, 64)
        self._control = ControlDoor({"/orchidferry/instances": self._instances}, 64)
        assert settings.application is not None
        self._gate = AdmissionGate(
            settings.application,
            settings.bounds,
            settings.beat_ms,
            loop,
            self._alarms,
            self._visits,
            self._publish,
            self._below,
            self._orphan,
        )
        self._news = ControlClient(settings, loop, self._on_members, self._on_configuration)

    def _below(self) -> bool:
        others = [service for name, service in self._services.items() if name != self._settings.service]
        return any(now_ms() - service.turned_away_ms < BELOW_MS for service in others)

    def _orphan(self, message: ProxiedRequest, said: ServerResponse) -> None:
        """The server here answered a keyed request whose node is gone: its repeats are told from here."""
        if message.key is not None and (kept := kept_answer(said)) is not None:
            self._news.claims.record_answer(message.key.decode("latin-1"), message.id, kept)

    def _room(self) -> int:
        used = self._hops.count() + self._visits.count() + self._outbound.count() + self._inbound.count()
        return self._room_most - used

    async def run(self, stopping: asyncio.Event) -> None:
        """Serve until told to stop, and finish what is held."""
        doors = {
            "ready": self._ready,
            "control": self._control,
            "inbound": self._inbound,
            "outbound": self._outbound,
        }
        for name, door in doors.items():
            await door.listen(self._loop, self._settings.door(name))
        await self._news.listen()
        self._news.start()
        self._publish()
        self._look()
        logger.info("proxy: serving {} at {}", self._settings.service, self._settings.ip)
        await stopping.wait()
        await self._stop()

    async def _stop(self) -> None:
        """Finish what is held: the platform looks at readiness once a second, and kills after the grace."""
        began_s = self._loop.time()
        grace_s = self._settings.bounds.grace_s
        ends_s = began_s + grace_s - STOP_MARGIN_S
        self._stop_ms = now_ms() + (grace_s - 2.0 * STOP_MARGIN_S) * 1000.0
        logger.info("proxy: stopping")
        self._leaving = True
        for client in self._services.values():
            client.stop_by(self._stop_ms)
        self._publish()
        await asyncio.sleep(STOP_READY_S)
        self._gate.leaving = True
        inbound = self._loop.create_task(self._inbound.close_gracefully())
        try:
            async with asyncio.timeout_at(began_s + min(STOP_TAKE_S, grace_s / 2.0)):
                await self._outbound.wait_closed()
        except TimeoutError:
            pass
        try:
            async with asyncio.timeout_at(ends_s):
                await self._outbound.close_gracefully()
                await inbound
        except TimeoutError:
            logger.warning("proxy: {} callers were still there", self._outbound.count())
            inbound.cancel()
        logger.info("proxy: stopped")

    def reread(self, settings: Settings) -> None:
        """The settings file has changed: other controllers may be named there, or another service."""
        self._news.reseed(settings.seeds)
        self._settings = dataclasses.replace(self._settings, service=settings.service)
        for client in self._services.values():
            client.caller = settings.service.encode("latin-1")

    def _look(self) -> None:
        self._loop.call_later(LOOK_S, self._look)
        self._gate.look()

    # News

    def _publish(self) -> None:
        """Tell the controllers how this node stands."""
        self._record_number += 1
        server = self._gate.server
        if server is not None and self._leaving and server.state == IN_SERVICE:
            server = Server(
                server.id, server.service, server.zone, DRAINING, server.capacity, 0.0, server.version
            )
        settings = self._settings
        self._news.publish(
            NodeRecord(
                settings.name,
                self._news.boot_id,
                self._record_number,
                settings.zone,
                settings.ip,
                settings.listen["inbound"][1],
                server,
            )
        )

    def _on_members(self, members: dict[str, NodeRecord]) -> None:
        before, self._members, self._by_service = self._by_service, members, group_by_service(members)
        known = {record.server.id for record in members.values() if record.server is not None}
        for name, client in self._services.items():
            records = self._by_service.get(name, {})
            if records != before.get(name, {}):
                client.servers(records)
            client.members(len(members))
        for id in [id for id in self._numbers if id not in known]:
            del self._numbers[id]

    def _number(self, server: str) -> int:
        number = self._numbers.get(server)
        if number is None:
            self._serial += 1
            number = self._numbers[server] = self._serial
        return number

    def _on_configuration(self, revision: int, raw: bytes) -> None:
        configuration = parse(raw)
        logger.info("configuration: revision {} with {} routes", revision, len(configuration.routes))
        by_service: dict[str, list[Route]] = {name: [] for name in configuration.services}
        for route in configuration.routes:
            for service, _ in route.split:
                by_service[service].append(route)
        own = self._settings
        for name, routes in by_service.items():
            client = self._services.get(name)
            if client is None:
                client = self._services[name] = ServiceClient(
                    name,
                    own.service,
                    own.zone,
                    own.bounds,
                    self._loop,
                    self._alarms,
                    self._hops,
                    self._number,
                )
                client.servers(self._by_service.get(name, {}))
                client.members(len(self._members))
                if self._leaving:
                    client.stop_by(self._stop_ms)
            client.configure(routes)
        for name in [n for n in self._services if n not in by_service and not self._services[n].live]:
            del self._services[name]
        self._configuration, self._table = configuration, Table(configuration.routes)
        self._limit(configuration.limits)

    def _limit(self, limits: dict[str, float]) -> None:
        """Take the operator's `limit_set`."""
        idle_s = limits.get("idle_timer_ms", 60_000.0) / 1000.0
        self._outbound.limit(idle_s, limits.get("header_timer_ms", 3_000.0) / 1000.0)
        head = int(limits.get("max_header_bytes", MAX_HEAD))
        body = int(limits.get("max_body_bytes", LONG_BODY))
        self._outbound.limit_sizes(head, body)
        # What a node took under limits that this one does not know any more, or not yet, is let in.
        self._inbound.limit_sizes(
            max(self._inbound.max_header_bytes, head + OWN_HEADERS), max(self._inbound.body_limit, body)
        )

    # Outbound

    def _take(self, message: Message, answer: Callable[[Reply], None]) -> Any:
        assert isinstance(message, ProxiedRequest)
        if self._configuration is None:
            answer(own_answer(message, Refusal(Kind.STARTING), STARTING_S))
            return NothingOwed()
        path = message.target.partition(b"?")[0].decode("latin-1")
        route = self._table.find(message.host.decode("latin-1"), path)
        if route is None:
            answer(own_answer(message, Refusal(Kind.NO_ROUTE)))
            return NothingOwed()
        message.cls = route.id
        message.route = route
        left_ms = route.guard_ms if message.untimed else message.budget_ms
        ends_ms = min(now_ms() + max(0.0, min(left_ms - MARGIN_MS, route.guard_ms)), self._stop_ms)
        client = self._services[self._pick_service(route)]
        if route.kind == "keyed" and message.key is not None:
            return self._claim(message, route, client, ends_ms, answer)
        return client.take(message, route, ends_ms, answer)

    def _pick_service(self, route: Route) -> str:
        if len(route.split) == 1:
            return route.split[0][0]
        names, shares = zip(*route.split, strict=True)
        return str(self._rng.choices(names, shares)[0])

    def _claim(
        self,
        message: ProxiedRequest,
        route: Route,
        client: ServiceClient,
        ends_ms: float,
        answer: Callable[[Reply], None],
    ) -> PendingClaim:
        """A key is claimed before its first run, and its answer kept after it."""
        assert message.key is not None
        key, holder = message.key.decode("latin-1"), message.id
        waiting = PendingClaim()

        def over(said: ServerResponse | None, ran: bool) -> None:
            if (kept := kept_answer(said)) is not None:
                self._news.claims.record_answer(key, holder, kept)
            elif not ran:
                self._news.claims.release(key, holder)

        def claimed(outcome: ClaimOutcome, kept: Any) -> None:
            if outcome is ClaimOutcome.GRANTED and waiting.gone:
                self._news.claims.release(key, holder)
            elif waiting.gone:
                return
            elif outcome is ClaimOutcome.GRANTED:
                waiting.live = client.take(message, route, ends_ms, answer, over)
            elif outcome is ClaimOutcome.HELD_BY_OTHER:
                answer(self._repeat(message, kept))
            else:
                answer(own_answer(message, Refusal(Kind.NO_MAJORITY), 0.2))

        left_s = (ends_ms - now_ms()) / 1000.0
        self._news.claim(key, holder, max(0.0, min(CLAIM_S, CLAIM_SHARE * left_s)), claimed)
        return waiting

    def _repeat(self, message: ProxiedRequest, kept: Any) -> Reply:
        if kept is None:
            return own_answer(message, Refusal(Kind.KEY_AT_WORK), 0.1)
        status, body, headers = kept
        more = [*((name, value) for name, value in headers), (b"Attempt-Id", message.id.encode("latin-1"))]
        return Reply(status, body, more=more)

    # Inbound, and the server's own word

    def _visit(self, message: Message, answer: Callable[[Reply], None]) -> Any:
        return self._gate.accept(message, answer)

    def _readiness(self, call: Call, rest: str, answer: Callable[[Reply], None]) -> None:
        served = any(client.ready for client in self._services.values())
        ready = self._configuration is not None and self._news.settled and served and not self._leaving
        answer(Reply(200, b"ready") if ready else Reply(503, b"not ready"))

    def _instances(self, call: Call, rest: str, answer: Callable[[Reply], None]) -> None:
        """Servers' registrations, beats and ends."""
        if not rest or "/" in rest:
            return answer(told(Refusal(Kind.UNKNOWN, "/orchidferry/instances/ID")))
        if call.method == b"DELETE":
            self._gate.end(rest)
            return answer(Reply(200, b"{}", JSON))
        if call.method != b"PUT":
            return answer(told(Refusal(Kind.UNREADABLE, "PUT or DELETE")))
        found = read_beat(rest, call.body)
        if isinstance(found, Refusal):
            return answer(told(found))
        server, sequence = found
        refusal = self._gate.beat(server, sequence)
        answer(Reply(200, b"{}", JSON) if refusal is None else told(refusal))


def read_beat(id: str, raw: bytes) -> tuple[Server, int] | Refusal:
    """A beat as a server and its call's number; the fault names the field."""
    try:
        data = json.loads(raw)
        information = data["information"]
        condition = data["condition"]
        state = condition["state"]
        if state not in (IN_SERVICE, DRAINING):
            return Refusal(Kind.INVALID, f"beat: condition.state: {state!r} is no state")
        server = Server(
            id,
            str(information["service_name"]),
            str(information.get("zone", "")),
            state,
            int(information["capacity"]),
            float(condition.get("cold_left_ms", 0.0)),
            str(information.get("revision_number", "")),
        )
        return server, int(condition["call_sequence"])
    except KeyError as problem:
        return Refusal(Kind.INVALID, f"beat: {problem.args[0]} is missing")
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as problem:
        return Refusal(Kind.UNREADABLE, f"beat: {problem}")
