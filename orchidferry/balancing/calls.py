"""Outstanding calls, and detection of those that are overdue or lost."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable

from orchidferry.balancing.outlier_detection import (
    DELAY_NOISE_MS,
    OVERDUE_FACTOR,
    SLOW_FACTOR,
    OutlierDetector,
)
from orchidferry.balancing.records import Call, Sent, Server

# Multiple of the baseline delay after which an overtaken call counts as lost, and so uses no capacity
LOST_FACTOR = 4.0


class Outstanding:
    """The outstanding attempts of this node."""

    def __init__(self, classes: Iterable[str], outliers: OutlierDetector) -> None:
        self._outliers = outliers
        self.inflight = 0  # number of outstanding attempts
        self.lost_count = 0  # number of lost attempts at managed servers, updated incrementally
        # By class and in order of sends, as (sent_ms, id, server): attempts on time, and overdue ones.
        self._on_time: dict[str, deque[tuple[float, str, Server]]] = {}
        self._overdue: dict[str, deque[tuple[float, str, Server]]] = {}
        self.set_classes(classes)
        self.next_check_ms = -math.inf  # no attempt becomes overdue or lost before this time

    def set_classes(self, classes: Iterable[str]) -> None:
        """Add new classes; removed ones keep their outstanding attempts."""
        for name in classes:
            self._on_time.setdefault(name, deque())
            self._overdue.setdefault(name, deque())

    def begin(self, call: Call, server: Server, now: float) -> None:
        """Record an attempt with a completely sent request; it uses capacity from now on."""
        self.inflight += 1
        server.outstanding[call.id] = now, call.cls.aim_ms
        self._on_time[call.cls.name].append((now, call.id, server))

    def ended(self, id: str, server: Server) -> Sent | None:
        """Record the end of an attempt.

        :returns: its send time and latency target; None if the server left the list since and came back, as
            its new record knows nothing of the attempt
        """
        sent = server.outstanding.pop(id, None)
        server.long_overdue.pop(id, None)
        if id in server.overtaken:
            server.overtaken.discard(id)
            self.lost_count -= server.managed
        return sent

    def served(self, server: Server, sent_ms: float) -> None:
        """Record that a server served a call sent at `sent_ms`: it overtook long overdue ones sent before."""
        if sent_ms > server.latest_served_ms:
            server.latest_served_ms = sent_ms
            for id in [id for id, overdue_ms in server.long_overdue.items() if overdue_ms < sent_ms]:
                self._check_overtaken(server.long_overdue[id], id, server)

    def collect_slow(self, now: float) -> list[Server]:
        """Find attempts that have become overdue or lost; to be called from `next_check_ms` on.

        :returns: the servers of the attempts that have become overdue
        """
        self.next_check_ms = math.inf
        slow_servers = []
        for name, on_time in self._on_time.items():
            if not self._outliers.baseline_share:  # there is no baseline yet
                while on_time and self._has_ended(on_time[0]):
                    on_time.popleft()
                self.next_check_ms = now
                continue
            baseline_ms = self._outliers.baseline_ms(name) + DELAY_NOISE_MS
            overdue = self._overdue[name]
            slow_ms = SLOW_FACTOR * OVERDUE_FACTOR * baseline_ms
            lost_ms = LOST_FACTOR * baseline_ms
            while on_time and now - on_time[0][0] > slow_ms:
                sent = on_time.popleft()
                if not self._has_ended(sent):
                    overdue.append(sent)
                    slow_servers.append(sent[2])
            while overdue and now - overdue[0][0] > lost_ms:
                sent = overdue.popleft()
                if not self._has_ended(sent):
                    self._check_overtaken(*sent)
            # With no attempt on time, the next to become overdue has yet to be sent.
            due = (on_time[0][0] if on_time else now) + slow_ms
            self.next_check_ms = min(self.next_check_ms, due, overdue[0][0] + lost_ms if overdue else due)
        return slow_servers

    @staticmethod
    def _has_ended(sent: tuple[float, str, Server]) -> bool:
        outstanding = sent[2].outstanding.get(sent[1])
        return outstanding is None or outstanding[0] != sent[0]

    def _check_overtaken(self, sent_ms: float, id: str, server: Server) -> None:
        """Count a long overdue call as lost if its server has served one that was sent later."""
        if sent_ms >= server.latest_served_ms:
            server.long_overdue[id] = sent_ms
        else:
            server.long_overdue.pop(id, None)
            server.overtaken.add(id)
            self.lost_count += server.managed
