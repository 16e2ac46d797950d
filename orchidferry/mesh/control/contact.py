"""Contact of a controller with a majority: who has acknowledged which of its heartbeats. Free of I/O.

A controller serves operators' calls, and a starting node's read of the configuration's revision, only while a
majority of a shard's voters, itself among them, has acknowledged a heartbeat that it SENT within `CONTACT_S`.
The time at which an acknowledgement arrives says nothing: a process that was frozen finds acknowledgements in
its buffers that are as old as the freeze. Leases report the controller's contact to nodes, which fetch
configurations from controllers in contact where they can (`configuration_fetcher`).

Contact makes an answer prompt, it does not make it right: each answer also rests on a majority's round that
was begun after the call came.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.balancing.register import Voter

# The newest acknowledged heartbeat is at most as old as the pause between two heartbeats (0.4 s), a round
# trip (0.4 s where a link takes 200 ms one way) and an iteration of both event loops (0.1 s) together: 0.9 s,
# and 0.3 s to spare.
CONTACT_S = 1.2
NEVER_S = float("-inf")

OUT_OF_CONTACT = "out of contact"  # nothing was begun
LOST_CONTACT = "contact was lost"  # the change was begun, and may still be made


@dataclass(slots=True)
class Contact:
    """One controller's contact with the others.

    :param acknowledged: by controller: when the newest heartbeat that it has acknowledged was sent.
    """

    acknowledged: dict[str, float] = field(default_factory=dict)

    def acknowledge(self, name: str, sent_s: float) -> None:
        """A controller has acknowledged the heartbeat that was sent at a time."""
        self.acknowledged[name] = max(sent_s, self.acknowledged.get(name, NEVER_S))

    def since_s(self, voters: Iterable[Voter], own: Voter) -> float:
        """Find when the newest heartbeat was sent that a majority of the voters has acknowledged.

        :param own: the voter that this controller is.
        :returns: the time; infinite for a group of one, minus infinity if there is none.
        """
        times = [
            float("inf") if voter == own else self.acknowledged.get(voter.name, NEVER_S) for voter in voters
        ]
        times.sort(reverse=True)
        return times[len(times) // 2] if times else NEVER_S

    def until_s(self, voters: Iterable[Voter], own: Voter) -> float:
        """When contact ends, or has ended, unless newer heartbeats are acknowledged."""
        return self.since_s(voters, own) + CONTACT_S

    def holds(self, voters: Iterable[Voter], own: Voter, now: float) -> bool:
        """Whether a majority of the voters has lately acknowledged this controller."""
        return now < self.until_s(voters, own)
