"""A bounded queue of updates that are piggybacked on other messages, the least transmitted first."""

from __future__ import annotations

import heapq
import math

from orchidferry.balancing.fleet.members import Entry, size_of

MAX_QUEUED = 512  # updates; any that are dropped beyond this are spread by exchanges of complete states
RETRANSMIT_FACTOR = 4  # factor on the logarithm of the fleet's size, as in memberlist
MIN_ENTRY_BYTES = 64  # smallest size assumed for an update, which bounds the number that fit into a message


def max_transmissions(nodes: int) -> int:
    """The number of times that each node transmits an update."""
    return RETRANSMIT_FACTOR * math.ceil(math.log10(max(2, nodes) + 1))


class GossipQueue:
    """Keeps at most one update for each node; a newer update replaces an older one."""

    def __init__(self) -> None:
        self._queued: dict[str, tuple[int, int, Entry]] = {}  # transmissions so far, serial, update
        self._serial = 0

    def __bool__(self) -> bool:
        return bool(self._queued)

    def __len__(self) -> int:
        return len(self._queued)

    def add(self, entry: Entry) -> None:
        """Queue an update for transmission."""
        self._serial += 1
        self._queued[entry.name] = (0, self._serial, entry)
        if len(self._queued) > MAX_QUEUED:  # drop the update that was transmitted most often
            del self._queued[max(self._queued, key=lambda name: self._queued[name][:2])]

    def drop(self, name: str) -> None:
        """Remove the update about a node."""
        self._queued.pop(name, None)

    def take(self, max_bytes: int, nodes: int, receiver: str = "") -> list[Entry]:
        """Choose the updates for one message, and count each as transmitted once more.

        :param max_bytes: the greatest total size of the updates
        :param nodes: the size of the fleet
        :param receiver: the receiver's name; updates about it are left out
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
