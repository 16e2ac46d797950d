"""Outstanding calls, and which of them are overdue or lost."""

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

LOST_FACTOR = 4.0  # times the baseline: a call out for so long that was overtaken takes no capacity any more


class Outstanding:
    """Attempts that are out from this copy."""

    def __init__(self, classes: Iterable[str], outliers: OutlierDetector) -> None:
        self._outliers = outliers
        self.inflight = 0  # all attempts
        self.lost_count = 0  # those that their servers can't be working on, kept by difference
        # By class in order of time, as (sent_ms, id, server): those within the baseline, and those beyond it.
        self._on_time: dict[str, deque[tuple[float, str, Server]]] = {}
        self._overdue: dict[str, deque[tuple[float, str, Server]]] = {}
        self.set_classes(classes)
        self.next_check_ms = -math.inf  # before then none of these can be due

    def set_classes(self, classes: Iterable[str]) -> None:
        """Take new classes; removed ones keep what is outstanding."""
        for name in classes:
            self._on_time.setdefault(name, deque())
            self._overdue.setdefault(name, deque())

    def begin(self, call: Call, server: Server, now: float) -> None:
        """A server has a complete call, as far as known here: from now on it takes capacity and time."""
        self.inflight += 1
        server.outstanding[call.id] = now, call.cls.aim_ms
        self._on_time[call.cls.name].append((now, call.id, server))

    def ended(self, id: str, server: Server) -> Sent | None:
        """An attempt is over at its server; when it was sent, and its latency target.

        None: sent before the server left the list and came back, as one of which nothing is known.
        """
        sent = server.outstanding.pop(id, None)
        server.late.pop(id, None)
        if id in server.overtaken:
            server.overtaken.discard(id)
            self.lost_count -= server.managed
        return sent

    def served(self, server: Server, sent_ms: float) -> None:
        """A server has served a call sent at `sent_ms`, which overtook the late ones sent before."""
        if sent_ms > server.latest_served_ms:
            server.latest_served_ms = sent_ms
            for id in [id for id, late_ms in server.late.items() if late_ms < sent_ms]:
                self._check_overtaken(server.late[id], id, server)

    def collect_slow(self, now: float) -> list[Server]:
        """Find calls that are overdue or lost; the servers of the overdue. None is before `next_check_ms`."""
        self.next_check_ms = math.inf
        slower = []
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
                    slower.append(sent[2])
            while overdue and now - overdue[0][0] > lost_ms:
                sent = overdue.popleft()
                if not self._has_ended(sent):
                    self._check_overtaken(*sent)
            # Whatever is sent from now on is due no sooner than that after now.
            due = (on_time[0][0] if on_time else now) + slow_ms
            self.next_check_ms = min(self.next_check_ms, due, overdue[0][0] + lost_ms if overdue else due)
        return slower

    @staticmethod
    def _has_ended(sent: tuple[float, str, Server]) -> bool:
        outstanding = sent[2].outstanding.get(sent[1])
        return outstanding is None or outstanding[0] != sent[0]

    def _check_overtaken(self, sent_ms: float, id: str, server: Server) -> None:
        """A call has been out for very long: it is lost if a later one was served, else late."""
        if sent_ms >= server.latest_served_ms:
            server.late[id] = sent_ms
        else:
            server.late.pop(id, None)
            server.overtaken.add(id)
            self.lost_count += server.managed
