"""The registration of the server on this machine: its current incarnation, its state and its drain.

Pure: no I/O; times are passed in. Heartbeats may arrive late and out of order. `call_sequence` orders those
of one incarnation; two incarnations are ordered only by the arrival of their heartbeats.

>>> from orchidferry.mesh.control.endpoints import DRAINING, IN_SERVICE, Server
>>> registration = ServerRegistration(1_500.0, 0.0)
>>> a, b = (Server(id, "s", "z", IN_SERVICE, 4, 0.0) for id in "ab")
>>> [registration.heartbeat(*call).name for call in ((a, 3, 0.0), (a, 2, 9.0), (b, 1, 20.0))]
['NEW_INCARNATION', 'STALE', 'NEW_INCARNATION']
>>> [registration.heartbeat(*call).name for call in ((a, 4, 30.0), (a, 5, 20.0 + 1.5 * 1_500.0))]
['STALE', 'NEW_INCARNATION']
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum

from msgspec import structs

from orchidferry.mesh.control.endpoints import DRAINING, GONE, IN_SERVICE, Server

MISSED_HEARTBEATS = 3.5  # a server that is silent for this many heartbeat intervals is gone
MAX_FORMER_INCARNATIONS = 64  # former incarnations that are remembered, to recognize their late heartbeats
# An incarnation that was replaced becomes current again if it sends a newer heartbeat and its replacement has
# been silent for this many heartbeat intervals. Heartbeats arrive late: the first one that this process
# receives may be the last one of a server that is gone.
REPLACEMENT_INTERVALS = 1.5


class HeartbeatEffect(Enum):
    """What a heartbeat changed."""

    STALE = "nothing: a later heartbeat was received, or its incarnation has ended"
    UNCHANGED = "nothing but the time of the last heartbeat"
    CHANGED = "the server's state, service or capacity"
    NEW_INCARNATION = "the server: this incarnation replaces the one before it"


@dataclass(frozen=True, slots=True)
class FormerIncarnation:
    """An incarnation of the server that has deregistered or was replaced by another one."""

    deregistered: bool
    sequence: int  # number of the last heartbeat received from the incarnation
    drain_acknowledged_ms: float  # time of its first report that it drains; infinite if there was none


class ServerRegistration:
    """The state of the server on this machine, according to its heartbeats."""

    def __init__(self, heartbeat_interval_ms: float, now_ms: float) -> None:
        self.server: Server | None = None  # the current incarnation; None before the first heartbeat
        self.last_heartbeat_ms = now_ms
        self._heartbeat_interval_ms = heartbeat_interval_ms
        self._sequence = -1  # number of the current incarnation's last heartbeat
        self._drain_acknowledged_ms = math.inf
        self._former: dict[str, FormerIncarnation] = {}  # former incarnations by id, oldest first

    @property
    def serving(self) -> bool:
        """Whether there is a server, and it is in service."""
        return self.server is not None and self.server.state == IN_SERVICE

    def heartbeat(self, server: Server, sequence: int, now_ms: float) -> HeartbeatEffect:
        """Handle a heartbeat.

        :param sequence: its number among the heartbeats of this incarnation.
        """
        previous = self.server
        same_incarnation = previous is not None and previous.id == server.id
        if same_incarnation and (sequence <= self._sequence or server.id in self._former):
            return HeartbeatEffect.STALE
        if not same_incarnation and not self._replace_incarnation(server.id, sequence, now_ms):
            return HeartbeatEffect.STALE
        self._sequence = sequence
        self.last_heartbeat_ms = now_ms
        if server.state == DRAINING:
            self._drain_acknowledged_ms = min(self._drain_acknowledged_ms, now_ms)
        elif self._drain_acknowledged_ms < math.inf:  # a drain that was acknowledged is never undone
            server = structs.replace(server, state=DRAINING)
        if previous is not None and _published_fields(previous) == _published_fields(server):
            return HeartbeatEffect.UNCHANGED
        self.server = server
        return HeartbeatEffect.CHANGED if same_incarnation else HeartbeatEffect.NEW_INCARNATION

    def deregister(self, id: str) -> bool:
        """Record that an incarnation has deregistered; its later heartbeats are ignored.

        :returns: whether it is the current incarnation.
        """
        self._add_former(id, deregistered=True)
        return self.server is not None and self.server.id == id

    def mark_gone(self) -> None:
        """Mark the server as gone: it has deregistered, is silent or is unreachable.

        After deregistration this is final; otherwise the next heartbeat of the server restores it.
        """
        assert self.server is not None
        self.server = structs.replace(self.server, state=GONE, warmup_left_ms=0.0)

    def heartbeat_overdue(self, now_ms: float) -> bool:
        """Whether the server has been silent for too long and is not marked as gone yet."""
        overdue = now_ms - self.last_heartbeat_ms > MISSED_HEARTBEATS * self._heartbeat_interval_ms
        return overdue and self.server is not None and self.server.state != GONE

    def drained_for_ms(self, now_ms: float) -> float:
        """Return how long ago the current incarnation acknowledged its drain; negative if it did not."""
        return now_ms - self._drain_acknowledged_ms

    def _replace_incarnation(self, id: str, sequence: int, now_ms: float) -> bool:
        """Make another incarnation the current one.

        :returns: False if its heartbeat is stale.
        """
        former = self._former.get(id)
        if former is not None:
            newer = not former.deregistered and sequence > former.sequence
            silent_ms = now_ms - self.last_heartbeat_ms
            if not newer or silent_ms < REPLACEMENT_INTERVALS * self._heartbeat_interval_ms:
                return False
            del self._former[id]
        if self.server is not None and self.server.id not in self._former:
            self._add_former(self.server.id, deregistered=False)
        self._drain_acknowledged_ms = former.drain_acknowledged_ms if former is not None else math.inf
        return True

    def _add_former(self, id: str, deregistered: bool) -> None:
        former = FormerIncarnation(deregistered, -1, math.inf)
        if self.server is not None and self.server.id == id:
            former = FormerIncarnation(deregistered, self._sequence, self._drain_acknowledged_ms)
        self._former.pop(id, None)
        self._former[id] = former
        while len(self._former) > MAX_FORMER_INCARNATIONS:
            del self._former[next(iter(self._former))]


def _published_fields(server: Server) -> tuple[str, str, str, int]:
    """Return the fields that cause the node's record to be published when they change."""
    return server.id, server.state, server.service, server.capacity
