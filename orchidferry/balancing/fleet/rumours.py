"""What is told to others with the messages that go out anyway: bounded, the least told first. Pure."""

from __future__ import annotations

import heapq
import math

from orchidferry.balancing.fleet.members import Entry, size_of

MOST = 512  # kept at once: beyond that the whole views that are exchanged carry it
SPREAD = 4  # a rumour is told this many times the logarithm of the fleet's size, as memberlist does


def times(nodes: int) -> int:
    """How often each rumour is told by each node that has it."""
    return SPREAD * math.ceil(math.log10(max(2, nodes) + 1))


class Rumours:
    """One a node; a newer word about it takes the place of the older."""

    def __init__(self) -> None:
        self._told: dict[str, tuple[int, int, Entry]] = {}  # how often, a serial, and the word
        self._serial = 0

    def __bool__(self) -> bool:
        return bool(self._told)

    def __len__(self) -> int:
        return len(self._told)

    def add(self, entry: Entry) -> None:
        """Tell this from now on."""
        self._serial += 1
        self._told[entry.name] = (0, self._serial, entry)
        if len(self._told) > MOST:  # the one told most often goes
            del self._told[max(self._told, key=lambda name: self._told[name][:2])]

    def drop(self, name: str) -> None:
        """Tell nothing more of a node."""
        self._told.pop(name, None)

    def take(self, room: int, nodes: int, leave_out: str = "") -> list[Entry]:
        """What to tell in so many bytes; each counts as told once more. Nobody is told of itself."""
        most = times(nodes)
        found = []
        picked = heapq.nsmallest(
            1 + room // 64,
            (told for told in self._told.values() if told[2].name != leave_out),
            key=lambda t: t[:2],
        )
        for count, serial, entry in picked:
            if (size := size_of(entry)) > room:
                continue
            room -= size
            found.append(entry)
            if count + 1 >= most:
                del self._told[entry.name]
            else:
                self._told[entry.name] = (count + 1, serial, entry)
        return found
