"""How long a suspected node has to refute the suspicion (Lifeguard's suspicion timeout)."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in milliseconds. The defaults are those of memberlist for a local network."""

    interval_ms: float = 1_000.0  # between two probes of one node
    timeout_ms: float = 400.0  # for an answer, before others are asked to probe
    gossip_ms: float = 200.0  # between two rounds of gossip, while there are updates
    sync_ms: float = 15_000.0  # between two exchanges of complete states; longer in fleets of over 32
    reach_ms: float = 1_000.0  # between two attempts to reach a lost node
    forget_ms: float = 86_400_000.0  # from a loss until the entry is dropped
    indirect: int = 3  # nodes that are asked to probe
    fanout: int = 3  # nodes that a round of gossip goes to
    min_factor: float = 4.0  # the least time to refute: times log10 of the fleet's size, in intervals
    max_factor: float = 6.0  # the longest, where nobody confirms: times the least
    confirmations: int = 3  # that bring it from the longest to the least


def bounds_ms(timing: Timing, nodes: int) -> tuple[float, float]:
    """The least and the longest time to refute in a fleet of so many nodes."""
    least = timing.min_factor * max(1.0, math.log10(max(1, nodes))) * timing.interval_ms
    return least, timing.max_factor * least


@dataclass(slots=True)
class Suspicion:
    """Of one node; each node that confirms it shortens it."""

    since_ms: float
    min_ms: float
    max_ms: float
    wanted: int  # confirmations, 0 in a small fleet
    by: set[str] = field(default_factory=set)  # who suspects it; the first does not confirm itself

    def confirm(self, by: str) -> bool:
        """Whether one more node that suspects it by itself makes a difference."""
        if by in self.by or len(self.by) > self.wanted:
            return False
        self.by.add(by)
        return True

    def ends_ms(self) -> float:
        """When it is over: max(min, max - (max - min) log(c + 1) / log(k + 1)) of c confirmations of k."""
        confirmed = max(0, len(self.by) - 1)
        if self.wanted < 1:
            return self.since_ms + self.min_ms
        share = math.log(confirmed + 1.0) / math.log(self.wanted + 1.0)
        return self.since_ms + max(self.min_ms, self.max_ms - (self.max_ms - self.min_ms) * share)

    def postpone(self, by_ms: float) -> None:
        """This node did not run for so long, and gave nobody the chance to refute."""
        self.since_ms += by_ms
