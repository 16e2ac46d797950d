"""A controller's contact with a majority, based on acknowledged heartbeats. Performs no I/O.

A controller serves operators' calls, and a starting node's read of the configuration's revision, only while a
majority of a shard's voters, including itself, has acknowledged a heartbeat that it SENT within the last
`CONTACT_S`. The arrival time of an acknowledgement does not count: a process that was frozen finds
acknowledgements in its buffers that are as old as the freeze. The leases that a controller grants to
nodes report its contact; nodes fetch configurations from controllers in contact if possible
(`configuration_fetcher`).

Contact makes an answer prompt but not correct: for correctness each answer also relies on a quorum read or a
ballot round that was begun after the call arrived.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.balancing.register import Voter

# The newest acknowledged heartbeat is at most 0.9 s old: the interval between two heartbeats (0.4 s), plus a
# round trip (0.4 s on a link with 200 ms one way), plus one iteration of both event loops (0.1 s). The
# remaining 0.3 s are a margin.
CONTACT_S = 1.2
NEVER_S = float("-inf")

OUT_OF_CONTACT = "out of contact"  # the request was not begun
LOST_CONTACT = "contact was lost"  # the request was begun; a change may still be made


@dataclass(slots=True)
class Contact:
    """One controller's contact with the others.

    :param acknowledged: for each other controller by name, the sending time of the newest heartbeat that it
        has acknowledged, in seconds on the event loop's clock.
    """

    acknowledged: dict[str, float] = field(default_factory=dict)

    def acknowledge(self, name: str, sent_s: float) -> None:
        """Record another controller's acknowledgement of the heartbeat that was sent at a time."""
        self.acknowledged[name] = max(sent_s, self.acknowledged.get(name, NEVER_S))

    def since_s(self, voters: Iterable[Voter], own: Voter) -> float:
        """Return the sending time of the newest heartbeat that a majority of the voters has acknowledged.

        :param voters: the voters of the group.
        :param own: this controller's identity as a voter.
        :returns: the time; infinity if this controller is the only voter; minus infinity if there is no such
            heartbeat.
        """
        times = [
            float("inf") if voter == own else self.acknowledged.get(voter.name, NEVER_S) for voter in voters
        ]
        times.sort(reverse=True)
        return times[len(times) // 2] if times else NEVER_S

    def until_s(self, voters: Iterable[Voter], own: Voter) -> float:
        """Return when contact ends, or has ended, unless newer heartbeats are acknowledged."""
        return self.since_s(voters, own) + CONTACT_S

    def holds(self, voters: Iterable[Voter], own: Voter, now: float) -> bool:
        """Whether a majority of the voters has recently acknowledged this controller's heartbeats."""
        return now < self.until_s(voters, own)
