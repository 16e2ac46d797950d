"""How long a node that does not answer has to refute that (Lifeguard's suspicion). Pure."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Timing:
    """Times in milliseconds. The defaults are those that memberlist has for a local network."""

    interval_ms: float = 1_000.0  # between two probes of one node
    timeout_ms: float = 400.0  # for an answer, before others are asked
    gossip_ms: float = 200.0  # between two rounds of rumours, while there are any
    sync_ms: float = 15_000.0  # between two exchanges of whole views; longer in fleets of over 32
    reach_ms: float = 1_000.0  # between two tries to reach one that is lost
    forget_ms: float = 86_400_000.0  # from a loss to the end of all memory of it
    indirect: int = 3  # others that are asked to probe
    fanout: int = 3  # others that a round of rumours goes to
    least: float = 4.0  # times log10 of the fleet's size, intervals: the least time to refute
    most: float = 6.0  # times that, where nobody confirms
    confirmations: int = 3  # that bring it from the most to the least


def bounds_ms(timing: Timing, nodes: int) -> tuple[float, float]:
    """The least and the most time to refute."""
    least = timing.least * max(1.0, math.log10(max(1, nodes))) * timing.interval_ms
    return least, timing.most * least


@dataclass(slots=True)
class Suspicion:
    """Of one node; those who confirm it shorten it."""

    since_ms: float
    least_ms: float
    most_ms: float
    wanted: int  # confirmations, fewer in a small fleet
    by: set[str] = field(default_factory=set)  # who suspects it; the first does not confirm itself

    def confirm(self, by: str) -> bool:
        """Whether one more who found it for itself makes a difference."""
        if by in self.by or len(self.by) > self.wanted:
            return False
        self.by.add(by)
        return True

    def ends_ms(self) -> float:
        """When it is over: max(least, most - (most - least) log(c + 1) / log(k + 1))."""
        confirmed = max(0, len(self.by) - 1)
        if self.wanted < 1:
            return self.since_ms + self.least_ms
        share = math.log(confirmed + 1.0) / math.log(self.wanted + 1.0)
        return self.since_ms + max(self.least_ms, self.most_ms - (self.most_ms - self.least_ms) * share)

    def moved(self, by_ms: float) -> None:
        """Time in which this node did not run gave nobody the chance to refute."""
        self.since_ms += by_ms
