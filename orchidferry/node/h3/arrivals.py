"""When the requests of a connection were sent, as far as its datagrams tell. Pure.

A request's time counts from when its client sent it, and what was lost on the way arrives late.
"""

from __future__ import annotations

import math

from orchidferry.node.h3.lost_datagrams import Loss, time_on_its_way_ms

STREAM_STEP = 4  # between the ids of two requests (RFC 9000, section 2.1)


class Arrivals:
    """The datagrams and streams of one connection. Times are milliseconds of the node's clock."""

    __slots__ = (
        "_missing",
        "_missing_seen_ms",
        "_newest_before",
        "_overtaken_ms",
        "arrived_ms",
        "next_stream",
    )

    def __init__(self) -> None:
        self.arrived_ms = 0.0  # when the datagram that is being handled reached this machine
        self.next_stream = 0  # the smallest stream id that is greater than those seen
        self._newest_before = -1  # the greatest packet number before that datagram; -1 for none
        self._missing = 0  # packets that were missing in a row when this was noticed last
        self._missing_seen_ms = -math.inf  # when the packet after them reached this machine
        self._overtaken_ms: dict[int, float] = {}  # by stream id below `next_stream` that has not come yet

    def begin_datagram(self, arrived_ms: float, newest_packet: int) -> None:
        """Note that a datagram is handled next.

        :param arrived_ms: when it reached this machine.
        :param newest_packet: the greatest packet number before it; -1 for none.
        """
        self.arrived_ms = arrived_ms
        self._newest_before = newest_packet

    def note_missing(self, newest_packet: int) -> None:
        """Notice packets that are missing before the newest one of this datagram."""
        missing = newest_packet - self._newest_before - 1
        if missing > 0 and self._newest_before >= 0:
            self._missing = missing
            self._missing_seen_ms = self.arrived_ms

    def open_stream(self, id: int) -> float:
        """Note that a stream has come; return when one that was opened after it did, if that was first.

        Streams are opened in order (RFC 9000, section 2.1). Their transport's limit bounds what is noted.
        """
        for skipped in range(self.next_stream, id, STREAM_STEP):
            self._overtaken_ms[skipped] = self.arrived_ms
        self.next_stream = max(self.next_stream, id + STREAM_STEP)
        return self._overtaken_ms.pop(id, math.inf)

    def forget_stream(self, id: int) -> None:
        """Forget a stream that its client has reset."""
        self._overtaken_ms.pop(id, None)

    def sent_ms(self, probe_timeout_ms: float, budget_ms: float, overtaken_ms: float) -> float:
        """Return when a request that is complete with this datagram was sent at the latest.

        :param budget_ms: the time that its client waits in all.
        :param overtaken_ms: what `open_stream` returned for its stream.
        """
        loss = Loss(self._missing, self.arrived_ms - self._missing_seen_ms)
        on_its_way_ms = time_on_its_way_ms(probe_timeout_ms, loss, budget_ms)
        return min(self.arrived_ms - on_its_way_ms, overtaken_ms)
