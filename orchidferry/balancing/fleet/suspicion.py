"""The time that a suspected node has for refuting the suspicion (Lifeguard's suspicion timeout)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Timing:
    """Parameters of the protocol; the defaults are those of memberlist for a local network."""

    interval_ms: float = 1_000.0  # time between two probes by one node
    timeout_ms: float = 400.0  # wait for the answer to a probe before other nodes are asked to probe
    gossip_ms: float = 200.0  # time between two rounds of gossip, while there are updates
    sync_ms: float = 15_000.0  # time between exchanges of complete states; longer in fleets of over 32 nodes
    reach_ms: float = 1_000.0  # time between two attempts to reach a lost node
    forget_ms: float = 86_400_000.0  # time from the loss of a member until its entry is removed
    indirect: int = 3  # nodes that are asked to probe a member that did not answer
    fanout: int = 3  # nodes that receive a round of gossip
    min_factor: float = 4.0  # shortest time to refute, in intervals, times log10 of the fleet's size
    max_factor: float = 6.0  # longest time to refute, without confirmations, as a multiple of the shortest
    confirmations: int = 3  # confirmations that reduce the longest time to the shortest


def bounds_ms(timing: Timing, nodes: int) -> tuple[float, float]:
    """The shortest and the longest time to refute a suspicion in a fleet of this number of nodes, in ms."""
    min_ms = timing.min_factor * max(1.0, math.log10(max(1, nodes))) * timing.interval_ms
    return min_ms, timing.max_factor * min_ms


@dataclass(slots=True)
class Suspicion:
    """A suspicion of one node; each further node that confirms it shortens the time to refute."""

    since_ms: float  # time at which it began
    min_ms: float  # shortest time to refute
    max_ms: float  # longest time to refute
    needed: int  # confirmations that shorten it to `min_ms`; 0 in a small fleet
    by: set[str] = field(default_factory=set)  # nodes that suspect it; the first is no confirmation

    def confirm(self, by: str) -> bool:
        """Record that a node suspects it independently; returns whether that shortens the suspicion."""
        if by in self.by or len(self.by) > self.needed:
            return False
        self.by.add(by)
        return True

    def ends_ms(self) -> float:
        """Its end: since + max(min, max - (max - min) log(c + 1) / log(k + 1)), with c confirmations of k."""
        confirmed = max(0, len(self.by) - 1)
        if self.needed < 1:
            return self.since_ms + self.min_ms
        share = math.log(confirmed + 1.0) / math.log(self.needed + 1.0)
        return self.since_ms + max(self.min_ms, self.max_ms - (self.max_ms - self.min_ms) * share)

    def postpone(self, by_ms: float) -> None:
        """Extend it by a time in which this node did not run and could not receive a refutation."""
        self.since_ms += by_ms
