"""A stand-in server's place in the list of servers: its beats and its planned leave. One life of a server."""

from __future__ import annotations

import asyncio
import json

from orchidferry.testkit.mesh.ask import Scene, call
from orchidferry.testkit.mesh.day import Day, Machine
from orchidferry.testkit.mesh.facts import Notice
from orchidferry.testkit.wire import Address

COLD_S = 2.0  # how long a server is cold from its start
LEAVE_MORE_S = 0.6  # that a leaving server serves beyond `drain_ms`
MAX_LEAVE_S = 6.0  # after which it goes without an acknowledgement
MAX_ACK = 4096  # bytes of an acknowledgement
RETRY_S = 0.3  # after a beat that was not acknowledged
# between calls that say that it leaves, doubling
LEAVE_PAUSE_S = 0.1
MAX_LEAVE_PAUSE_S = 1.0


class Registration:
    """What a server says of itself to the node of its machine, and to whom that sends it."""

    def __init__(
        self, scene: Scene, day: Day, machine: Machine, id: str, address: Address, slots: int
    ) -> None:
        self._scene = scene
        self._day = day
        self._machine = machine
        self._id = id
        self._address = address
        self._slots = slots
        self.state = "in_service"
        self._sequence = 0
        self._beat_address: Address | None = None
        self._born = scene.now()

    def born(self) -> None:
        """The server starts now."""
        self._born = self._scene.now()

    @property
    def cold_s(self) -> float:
        """For how much longer the server is cold."""
        return max(0.0, COLD_S - (self._scene.now() - self._born))

    async def beats(self) -> None:
        """Say that the server is there, again and again, while it is in service."""
        every = self._day.beat_ms / 1000.0
        while self.state == "in_service":
            acknowledged = await self._say("in_service")
            await asyncio.sleep(every if acknowledged else RETRY_S)

    async def leave(self) -> bool:
        """Say that the server leaves, wait for what it still serves, and sign it off; whether the leave was
        acknowledged.
        """
        self.state = "draining"
        pause = LEAVE_PAUSE_S
        until = self._scene.now() + MAX_LEAVE_S
        acknowledged = False
        while not acknowledged and self._scene.now() < until:
            acknowledged = await self._say("draining")
            if not acknowledged:
                await asyncio.sleep(pause)
                pause = min(MAX_LEAVE_PAUSE_S, pause * 2.0)
        if acknowledged:
            await asyncio.sleep(self._day.bounds.drain_ms / 1000.0 + LEAVE_MORE_S)
        await self._say("gone")
        return acknowledged

    async def _say(self, state: str) -> bool:
        """One call at its machine's node, or where that told it to; whether it was acknowledged."""
        scene = self._scene
        self._sequence += 1
        where = self._beat_address or self._own_node
        at = scene.now()
        sequence = self._sequence
        pool = scene.pool(self._machine)
        path = f"/orchidferry/instances/{self._id}"
        if state == "gone":
            outcome, by = await call(pool, where, "DELETE", path)
        else:
            outcome, by = await call(pool, where, "PUT", path, self._record(state, sequence))
        good = outcome.how == "answer" and 200 <= outcome.status < 300 and len(outcome.body) <= MAX_ACK
        acked = scene.now() if good else None
        scene.note(Notice(at, self._id, self._machine.name, state, sequence, acked, f"{by[0]}:{by[1]}"))
        # Where to send beats holds until one fails there.
        self._beat_address = self._told(outcome.body) or self._beat_address if good else None
        return good

    @property
    def _own_node(self) -> Address:
        return self._machine.bind, self._scene.ports.control

    def _record(self, state: str, sequence: int) -> dict[str, object]:
        """What a beat carries."""
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
                "cold_left_ms": round(self.cold_s * 1000.0),
            },
        }

    @staticmethod
    def _told(body: bytes) -> Address | None:
        """Where an acknowledgement says that beats should go."""
        try:
            ip, _, port = json.loads(body).get("beat_address", "").rpartition(":")
            return (ip, int(port)) if ip else None
        except (ValueError, AttributeError):
            return None
