"""Updates to spread with the messages that are sent anyway: bounded, the least transmitted first."""

from __future__ import annotations

import heapq
import math

from orchidferry.balancing.fleet.members import Entry, size_of

MAX_QUEUED = 512  # updates: what is dropped beyond that is spread by the exchanges of complete states
RETRANSMIT_FACTOR = 4  # times the logarithm of the fleet's size, as in memberlist
MIN_ENTRY_BYTES = 64


def max_transmissions(nodes: int) -> int:
    """How often each node that has an update transmits it."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(max(2, nodes) + 1))


class GossipQueue:
    """At most one update a node; a newer one replaces the older."""

    def __init__(self) -> None:
        self._queued: dict[str, tuple[int, int, Entry]] = {}  # transmissions so far, a serial, the update
        self._serial = 0

    def __bool__(self) -> bool:
        return bool(self._queued)

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, entry: Entry) -> None:
        """Transmit this update from now on."""
        self._serial += 1
        self._queued[entry.name] = (0, self._serial, entry)
        if len(self._queued) > MAX_QUEUED:  # the one transmitted most often is dropped
            del self._queued[max(self._queued, key=lambda name: self._queued[name][:2])]

    def drop(self, name: str) -> None:
        """Transmit nothing more of a node."""
        self._queued.pop(name, None)

    def take(self, max_bytes: int, nodes: int, receiver: str = "") -> list[Entry]:
        """The updates for one message; each counts as transmitted once more.

        :param max_bytes: that they may take
        :param nodes: the fleet's size
        :param receiver: gets no update of itself
        """
        limit = max_transmissions(nodes)
        taken = []
        candidates = heapq.nsmallest(
            1 + max_bytes // MIN_ENTRY_BYTES,
            (queued for queued in self._queued.values() if queued[2].name != receiver),
            key=lambda queued: queued[:2],
        )
        for count, serial, entry in candidates:
            if (size := size_of(entry)) > max_bytes:
                continue
            max_bytes -= size
            taken.append(entry)
            if count + 1 >= limit:
                del self._queued[entry.name]
            else:
                self._queued[entry.name] = (count + 1, serial, entry)
        return taken
