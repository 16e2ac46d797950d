"""Estimates when the requests of a connection were sent: by packet numbers and stream ids. No I/O.

The budget of a request counts from when its client sent it, and a request that was lost once arrives late.
"""

from __future__ import annotations

import math

from orchidferry.node.h3.lost_datagrams import Loss, time_in_transit_ms

STREAM_STEP = 4  # difference of the stream ids of consecutive requests (RFC 9000, section 2.1)


class Arrivals:
    """The received datagrams and streams of one connection. Times are milliseconds of the node's clock."""

    __slots__ = (
        "_missing",
        "_missing_seen_ms",
        "_largest_before",
        "_overtaken_ms",
        "arrived_ms",
        "next_stream",
    )

    def __init__(self) -> None:
        self.arrived_ms = 0.0  # when the datagram that is being handled reached this machine
        self.next_stream = 0  # the smallest stream id that is greater than those seen
        self._largest_before = -1  # the largest packet number before that datagram; -1 for none
        self._missing = 0  # consecutive missing packets in the most recent gap of packet numbers
        self._missing_seen_ms = -math.inf  # when the packet after that gap reached this machine
        # By the id of a stream that has not been received yet: when a later stream was first received
        self._overtaken_ms: dict[int, float] = {}

    def begin_datagram(self, arrived_ms: float, largest_packet_number: int) -> None:
        """Begin to handle a datagram.

        :param arrived_ms: when it reached this machine.
        :param largest_packet_number: the largest packet number received before it; -1 for none.
        """
        self.arrived_ms = arrived_ms
        self._largest_before = largest_packet_number

    def note_missing(self, largest_packet_number: int) -> None:
        """Note a gap of packet numbers before this datagram.

        :param largest_packet_number: the largest packet number received, this datagram included.
        """
        missing = largest_packet_number - self._largest_before - 1
        if missing > 0 and self._largest_before >= 0:
            self._missing = missing
            self._missing_seen_ms = self.arrived_ms

    def open_stream(self, stream_id: int) -> float:
        """Note the first data of a stream.

        Streams are opened in order (RFC 9000, section 2.1), so a stream that arrives after a later one was
        sent before that one. QUIC's stream limit bounds the number of streams that are noted.

        :returns: when a stream that was opened later reached this machine; infinite if none did before.
        """
        for skipped in range(self.next_stream, stream_id, STREAM_STEP):
            self._overtaken_ms[skipped] = self.arrived_ms
        self.next_stream = max(self.next_stream, stream_id + STREAM_STEP)
        return self._overtaken_ms.pop(stream_id, math.inf)

    def forget_stream(self, stream_id: int) -> None:
        """Forget a stream that the client has reset."""
        self._overtaken_ms.pop(stream_id, None)

    def sent_ms(self, probe_timeout_ms: float, budget_ms: float, overtaken_ms: float) -> float:
        """Return the latest time at which a request that this datagram completes can have been sent.

        :param probe_timeout_ms: the probe timeout of the connection.
        :param budget_ms: the total time that the client waits for the response.
        :param overtaken_ms: what `open_stream` returned for its stream.
        """
        loss = Loss(self._missing, self.arrived_ms - self._missing_seen_ms)
        in_transit_ms = time_in_transit_ms(probe_timeout_ms, loss, budget_ms)
        return min(self.arrived_ms - in_transit_ms, overtaken_ms)
