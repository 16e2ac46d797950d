"""What the network between nodes does to what they send each other: pure, and drawn from a seed.

A fault strikes the links between two sides of the fleet for a while, one way or both. The whole script is
known ahead, so whoever carries the messages and whoever judges the run read the same one. `hub` carries real
ones.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from orchidferry.testkit import seeded_random
from orchidferry.testkit.quic.faults import PathFaults, Trouble

# of a healthy link
DELAY_S = 0.0002
JITTER_S = 0.0006
RESEND_S = 0.2  # that a lost piece of a TCP stream costs: the least retransmission time-out of most systems


@dataclass(frozen=True, slots=True)
class LinkFault:
    """From `t` to `until` (seconds of the run) on what goes between `one` and `other`."""

    t: float
    until: float
    one: frozenset[str]
    other: frozenset[str]
    one_way: bool = False  # only what `one` sends to `other`
    cut: bool = False
    loss: float = 0.0  # shares of datagrams
    duplicate: float = 0.0
    reorder: float = 0.0
    late: float = 0.0  # share that comes `late_s` late
    late_s: float = 0.0
    rate: float = 0.0  # bytes a second; 0: as fast as may be
    flap_s: float = 0.0  # it is there for so long, then away for so long, and so on

    def in_force(self, t: float) -> bool:
        """Whether it is there now, on its links."""
        flaps_away = self.flap_s and int((t - self.t) / self.flap_s) % 2
        return self.t <= t < self.until and not flaps_away

    def strikes(self, sender: str, to: str, t: float) -> bool:
        """Whether it is in force on what one node sends to another now."""
        if not self.in_force(t):
            return False
        return (sender in self.one and to in self.other) or (
            not self.one_way and sender in self.other and to in self.one
        )


def passes(faults: Iterable[LinkFault], sender: str, to: str, t: float) -> bool:
    """Whether anything at all gets from one node to another."""
    return not any(fault.cut and fault.strikes(sender, to, t) for fault in faults)


class Links:
    """All links of a fleet. The same seed and the same messages in the same order meet the same fate."""

    def __init__(self, faults: Iterable[LinkFault], seed: int) -> None:
        self._faults = tuple(faults)
        self._seed = seed
        self._paths: dict[tuple[str, str], tuple[PathFaults, random.Random]] = {}
        self._free: dict[tuple[str, str], float] = {}  # when a slow link has sent what it holds
        self._active: list[LinkFault] = []
        self._looked = (0.0, 0.0)  # the time for which `_active` holds

    def _now(self, t: float) -> list[LinkFault]:
        if not self._looked[0] <= t < self._looked[1]:
            edges = sorted({edge for fault in self._faults for edge in (fault.t, fault.until)})
            after = next((edge for edge in edges if edge > t), float("inf"))
            before = max((edge for edge in edges if edge <= t), default=0.0)
            self._looked = before, after
            self._active = [fault for fault in self._faults if fault.t <= t < fault.until]
        return self._active

    def _path(self, sender: str, to: str) -> tuple[PathFaults, random.Random]:
        path = self._paths.get((sender, to))
        if path is None:
            seed = seeded_random.integer(self._seed, "link", sender, to)
            path = PathFaults(seed, Trouble(delay_s=DELAY_S, jitter_s=JITTER_S)), random.Random(seed ^ 1)
            self._paths[sender, to] = path
        return path

    def datagram(self, sender: str, to: str, size: int, t: float) -> list[float]:
        """After how many seconds each copy arrives: none where it is lost."""
        striking = [fault for fault in self._now(t) if fault.strikes(sender, to, t)]
        path, more = self._path(sender, to)
        if any(fault.cut for fault in striking):
            return []
        path.trouble = Trouble(
            max((fault.loss for fault in striking), default=0.0),
            max((fault.reorder for fault in striking), default=0.0),
            max((fault.duplicate for fault in striking), default=0.0),
            DELAY_S,
            JITTER_S,
        )
        fates = path.fate()
        for fault in striking:
            if fault.late and more.random() < fault.late:
                fates = [wait + fault.late_s for wait in fates]
        return [wait + self._queue(sender, to, size, t, striking) for wait in fates]

    def _queue(self, sender: str, to: str, size: int, t: float, striking: list[LinkFault]) -> float:
        rate = min((fault.rate for fault in striking if fault.rate), default=0.0)
        if not rate:
            return 0.0
        begin = max(t, self._free.get((sender, to), 0.0))
        self._free[sender, to] = begin + size / rate
        return begin + size / rate - t

    def stream(self, sender: str, to: str, size: int, t: float) -> float | None:
        """After how many seconds a piece of a TCP stream arrives; None while the link is cut."""
        striking = [fault for fault in self._now(t) if fault.strikes(sender, to, t)]
        if any(fault.cut for fault in striking):
            return None
        _, more = self._path(sender, to)
        wait = DELAY_S
        loss = max((fault.loss for fault in striking), default=0.0)
        resend = RESEND_S
        while loss and more.random() < loss and resend < 10.0:
            wait += resend
            resend *= 2.0
        return wait + self._queue(sender, to, size, t, striking)


def reachable(nodes: Iterable[str], sender: str, passes_: Callable[[str, str], bool]) -> set[str]:
    """Which nodes a node can hear of: over links that carry both ways, through others too."""
    found = {sender}
    edge = [sender]
    all_ = set(nodes)
    while edge:
        one = edge.pop()
        for other in all_ - found:
            if passes_(one, other) and passes_(other, one):
                found.add(other)
                edge.append(other)
    return found
