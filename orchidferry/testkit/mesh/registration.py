"""Registration of a stand-in server with the mesh: its heartbeats, its draining and its deregistration."""

from __future__ import annotations

import asyncio
import json

from orchidferry.testkit.mesh.context import RunContext
from orchidferry.testkit.mesh.control_api import call
from orchidferry.testkit.mesh.day import Day, Machine
from orchidferry.testkit.mesh.facts import Notice
from orchidferry.testkit.wire import Address

COLD_S = 2.0
"""How long a server is cold after its start."""

SERVE_BEYOND_DRAIN_S = 0.6
"""How much longer than `drain_ms` a draining server keeps serving."""

MAX_LEAVE_S = 6.0
"""The time after which a server leaves even if its draining has not been acknowledged."""

MAX_ACKNOWLEDGEMENT_BYTES = 4096
"""The maximum size of a response body that counts as an acknowledgement."""

HEARTBEAT_RETRY_S = 0.3
"""The time from a heartbeat that was not acknowledged to the next one."""

MIN_LEAVE_BACKOFF_S = 0.1
MAX_LEAVE_BACKOFF_S = 1.0
"""Bounds of the pause before announcing the draining again."""

IN_SERVICE = "in_service"
DRAINING = "draining"
GONE = "gone"


class Registration:
    """Registers one incarnation of a server with its machine's proxy, or with a node that the proxy names."""

    def __init__(
        self, context: RunContext, day: Day, machine: Machine, id: str, address: Address, slots: int
    ) -> None:
        """Create the registration of a server that has not started.

        :param id: id of this incarnation of the server
        :param address: where the server listens
        :param slots: how many requests the server executes at once
        """
        self._context = context
        self._day = day
        self._machine = machine
        self._id = id
        self._address = address
        self._slots = slots
        self.state = IN_SERVICE
        self._sequence = 0  # number of the last call
        self._heartbeat_address: Address | None = None  # None: the control port of the machine's own proxy
        self._started_at = context.now()

    def on_started(self) -> None:
        """Note the start of the server, from which it is cold for a while."""
        self._started_at = self._context.now()

    @property
    def cold_remaining_s(self) -> float:
        """How much longer the server is cold, in seconds."""
        return max(0.0, COLD_S - (self._context.now() - self._started_at))

    async def send_heartbeats(self) -> None:
        """Send periodic heartbeats while the server is in service."""
        interval = self._day.heartbeat_ms / 1000.0
        while self.state == IN_SERVICE:
            acknowledged = await self._send(IN_SERVICE)
            await asyncio.sleep(interval if acknowledged else HEARTBEAT_RETRY_S)

    async def leave(self) -> bool:
        """Announce that the server drains, wait while it serves its last requests, and deregister it.

        :returns: whether the announcement was acknowledged
        """
        self.state = DRAINING
        backoff = MIN_LEAVE_BACKOFF_S
        until = self._context.now() + MAX_LEAVE_S
        acknowledged = False
        while not acknowledged and self._context.now() < until:
            acknowledged = await self._send(DRAINING)
            if not acknowledged:
                await asyncio.sleep(backoff)
                backoff = min(MAX_LEAVE_BACKOFF_S, backoff * 2.0)
        if acknowledged:
            await asyncio.sleep(self._day.bounds.drain_ms / 1000.0 + SERVE_BEYOND_DRAIN_S)
        await self._send(GONE)
        return acknowledged

    async def _send(self, state: str) -> bool:
        """Announce a state to the mesh, and record the call; returns whether it was acknowledged."""
        context = self._context
        self._sequence += 1
        address = self._heartbeat_address or (self._machine.bind, context.ports.control)
        sent_at = context.now()
        sequence = self._sequence
        pool = context.pool(self._machine)
        path = f"/orchidferry/instances/{self._id}"
        if state == GONE:
            outcome, by = await call(pool, address, "DELETE", path)
        else:
            outcome, by = await call(pool, address, "PUT", path, self._instance_record(state, sequence))
        success = outcome.how == "answer" and 200 <= outcome.status < 300
        acknowledged = success and len(outcome.body) <= MAX_ACKNOWLEDGEMENT_BYTES
        acked = context.now() if acknowledged else None
        by_address = f"{by[0]}:{by[1]}"
        notice = Notice(sent_at, self._id, self._machine.name, state, sequence, acked, by_address)
        context.record(notice)
        if acknowledged:
            self._heartbeat_address = _heartbeat_address(outcome.body) or self._heartbeat_address
        else:
            self._heartbeat_address = None
        return acknowledged

    def _instance_record(self, state: str, sequence: int) -> dict[str, object]:
        """The JSON body of a heartbeat."""
        return {
            "address": f"{self._address[0]}:{self._address[1]}",
            "information": {
                "service_name": self._machine.service,
                "revision_number": "v1",
                "zone": self._machine.zone,
                "capacity": self._slots,
            },
            "condition": {
                "state": state,
                "call_sequence": sequence,
                "cold_left_ms": round(self.cold_remaining_s * 1000.0),
            },
        }


def _heartbeat_address(body: bytes) -> Address | None:
    """The address to which an acknowledgement directs further heartbeats; None if it names none."""
    try:
        ip, _, port = json.loads(body).get("beat_address", "").rpartition(":")
        return (ip, int(port)) if ip else None
    except (ValueError, AttributeError):
        return None
