"""Contact of a controller with a majority: who acknowledged which of its beats. Pure.

A controller serves operators' calls only while a majority of a shard's voters, itself among them, has
acknowledged a beat that it SENT within `CONTACT_S`. When an acknowledgement arrives says nothing: a process
that was frozen finds acknowledgements in its buffers that are as old as the freeze.

Contact is what makes an answer prompt, not what makes it right: each answer also rests on a majority's round
that was begun after the call came.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.balancing.register import Voter

# The newest acknowledged beat is at most as old as the pause between two beats (0.4 s), a round trip (0.4 s
# where a link takes 200 ms one way) and a turn of both loops (0.1 s) together: 0.9 s, and 0.3 s to spare.
CONTACT_S = 1.2

OUT_OF_CONTACT = "out of contact"  # nothing was begun
LOST_CONTACT = "contact was lost"  # it was begun, and may come true


@dataclass(slots=True)
class Contact:
    """What one controller knows of its contact with the others."""

    acknowledged: dict[str, float] = field(default_factory=dict)  # by controller: when the beat was sent

    def hear(self, name: str, sent_s: float) -> None:
        """A controller has acknowledged the beat that was sent then."""
        self.acknowledged[name] = max(sent_s, self.acknowledged.get(name, float("-inf")))

    def since_s(self, voters: Iterable[Voter], own: Voter) -> float:
        """The newest moment by which a majority of the voters has acknowledged a beat sent then or later;
        infinite for a group of one, minus infinity if there is none.
        """
        never = float("-inf")
        times = [
            float("inf") if voter == own else self.acknowledged.get(voter.name, never) for voter in voters
        ]
        times.sort(reverse=True)
        return times[len(times) // 2] if times else never

    def until_s(self, voters: Iterable[Voter], own: Voter) -> float:
        """When contact ends, or ended, unless newer beats are acknowledged."""
        return self.since_s(voters, own) + CONTACT_S

    def holds(self, voters: Iterable[Voter], own: Voter, now: float) -> bool:
        """Whether a majority of the voters has lately acknowledged this controller."""
        return now < self.until_s(voters, own)
