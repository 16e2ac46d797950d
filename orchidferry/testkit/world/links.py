"""Faults of the links between nodes: their effect on each message, drawn from a seed. Free of I/O.

A fault affects the links between two sets of nodes for a time, in one or both directions. All faults are
known before the run, so the hub that applies them and the judge of the run use the same list.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from orchidferry.testkit import seeded_random
from orchidferry.testkit.quic.faults import PathConditions, PathFaults

# Delay and jitter of a link without a fault.
DELAY_S = 0.0002
JITTER_S = 0.0006
MIN_RETRANSMISSION_TIMEOUT_S = 0.2  # minimum retransmission timeout of TCP on most systems
MAX_RETRANSMISSION_TIMEOUT_S = 10.0


@dataclass(frozen=True, slots=True)
class LinkFault:
    """A fault of the links between `one` and `other`, from `t` to `until` (seconds since the load began)."""

    t: float
    until: float
    one: frozenset[str]
    other: frozenset[str]
    one_way: bool = False  # the fault affects only messages from `one` to `other`
    cut: bool = False  # partition: no message gets through
    loss: float = 0.0  # fraction of datagrams that are lost
    duplicate: float = 0.0  # fraction of datagrams that are duplicated
    reorder: float = 0.0  # fraction of datagrams that are reordered
    late: float = 0.0  # fraction of datagrams that are delayed by `late_s`
    late_s: float = 0.0
    rate: float = 0.0  # bandwidth limit in bytes per second; 0: unlimited
    flap_s: float = 0.0  # length of the alternating active and inactive phases; 0: always active

    def is_active(self, t: float) -> bool:
        """Return whether the fault is active at `t`, in seconds since the load began."""
        in_inactive_phase = self.flap_s and int((t - self.t) / self.flap_s) % 2
        return self.t <= t < self.until and not in_inactive_phase

    def affects(self, sender: str, to: str, t: float) -> bool:
        """Return whether the fault affects messages from `sender` to `to` at `t`."""
        if not self.is_active(t):
            return False
        return (sender in self.one and to in self.other) or (
            not self.one_way and sender in self.other and to in self.one
        )


def passes(faults: Iterable[LinkFault], sender: str, to: str, t: float) -> bool:
    """Return whether no partition blocks messages from `sender` to `to` at `t`."""
    return not any(fault.cut and fault.affects(sender, to, t) for fault in faults)


class Links:
    """All links of a fleet; the same seed and the same sequence of messages give the same effects."""

    def __init__(self, faults: Iterable[LinkFault], seed: int) -> None:
        self._faults = tuple(faults)
        self._seed = seed
        self._paths: dict[tuple[str, str], tuple[PathFaults, random.Random]] = {}
        self._free_at: dict[tuple[str, str], float] = {}  # when a rate-limited link will have sent its queue
        self._active: list[LinkFault] = []  # cached result of `_active_faults`
        self._active_span = (0.0, 0.0)  # time span in which `_active` is valid

    def _active_faults(self, t: float) -> list[LinkFault]:
        if not self._active_span[0] <= t < self._active_span[1]:
            edges = sorted({edge for fault in self._faults for edge in (fault.t, fault.until)})
            after = next((edge for edge in edges if edge > t), float("inf"))
            before = max((edge for edge in edges if edge <= t), default=0.0)
            self._active_span = (before, after)
            self._active = [fault for fault in self._faults if fault.t <= t < fault.until]
        return self._active

    def _path(self, sender: str, to: str) -> tuple[PathFaults, random.Random]:
        path = self._paths.get((sender, to))
        if path is None:
            seed = seeded_random.integer(self._seed, "link", sender, to)
            path = (
                PathFaults(seed, PathConditions(delay_s=DELAY_S, jitter_s=JITTER_S)),
                random.Random(seed ^ 1),
            )
            self._paths[sender, to] = path
        return path

    def datagram(self, sender: str, to: str, size: int, t: float) -> list[float]:
        """Return the delay of each copy of a datagram in seconds; an empty list if the datagram is lost.

        :param size: size of the datagram in bytes
        :param t: time of sending, in seconds since the load began
        """
        faults = [fault for fault in self._active_faults(t) if fault.affects(sender, to, t)]
        path, lateness_random = self._path(sender, to)
        if any(fault.cut for fault in faults):
            return []
        path.conditions = PathConditions(
            max((fault.loss for fault in faults), default=0.0),
            max((fault.reorder for fault in faults), default=0.0),
            max((fault.duplicate for fault in faults), default=0.0),
            DELAY_S,
            JITTER_S,
        )
        delays = path.copy_delays_s()
        for fault in faults:
            if fault.late and lateness_random.random() < fault.late:
                delays = [wait + fault.late_s for wait in delays]
        return [wait + self._queueing_delay(sender, to, size, t, faults) for wait in delays]

    def _queueing_delay(self, sender: str, to: str, size: int, t: float, faults: list[LinkFault]) -> float:
        rate = min((fault.rate for fault in faults if fault.rate), default=0.0)
        if not rate:
            return 0.0
        begin = max(t, self._free_at.get((sender, to), 0.0))
        self._free_at[sender, to] = begin + size / rate
        return begin + size / rate - t

    def stream(self, sender: str, to: str, size: int, t: float) -> float | None:
        """Return the delay of a chunk of a TCP stream in seconds; None during a partition.

        :param size: size of the chunk in bytes
        :param t: time of sending, in seconds since the load began
        """
        faults = [fault for fault in self._active_faults(t) if fault.affects(sender, to, t)]
        if any(fault.cut for fault in faults):
            return None
        _, loss_random = self._path(sender, to)
        wait = DELAY_S
        loss = max((fault.loss for fault in faults), default=0.0)
        timeout = MIN_RETRANSMISSION_TIMEOUT_S
        while loss and loss_random.random() < loss and timeout < MAX_RETRANSMISSION_TIMEOUT_S:
            wait += timeout
            timeout *= 2.0
        return wait + self._queueing_delay(sender, to, size, t, faults)


def reachable(nodes: Iterable[str], sender: str, passes_: Callable[[str, str], bool]) -> set[str]:
    """Return the nodes that are connected to `sender` in both directions, directly or through others.

    :param passes_: tells whether messages pass from its first argument, a node, to its second
    """
    found = {sender}
    frontier = [sender]
    all_nodes = set(nodes)
    while frontier:
        node = frontier.pop()
        for other in all_nodes - found:
            if passes_(node, other) and passes_(other, node):
                found.add(other)
                frontier.append(other)
    return found
