"""One reading of a shard's newest state: what its voters say that they have accepted. Pure.

A reader asks each voter, again and again until a majority's answers settle it. Answers of different moments
may be put together: each was given after the reading began, and what a voter accepts only rises, so whatever
was decided before the reading began is at or below what one of any majority has answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mesh.control import shard_state
from mesh.control.shard_state import Seen
from nickelbridge.register import Kept, Value, Voter

ASK_AGAIN_S = 0.1  # for voters to answer, before they are asked again or a round is run
READING_S = 0.8  # for all of it: a caller goes on after a second of silence


@dataclass(slots=True)
class Reading:
    """What voters have answered so far. `kept`: what the reader itself had accepted as it began."""

    number: int
    kept: Kept
    readers: list[str]
    until_s: float
    again_s: float
    seen: dict[Voter, Seen] = field(default_factory=dict)

    def hear(self, seen: Seen) -> None:
        """A voter's answer; of two of one voter the later one counts."""
        had = self.seen.get(seen.voter)
        if had is None or had.accepted <= seen.accepted:
            self.seen[seen.voter] = seen

    def found(self, first: Value | None) -> Value | None:
        """The state that was decided, if the answers show it; `first`: as for `shard_state.stands`."""
        return shard_state.stands(list(self.seen.values()), self.kept.value, self.kept.accepted, first)

    def enough(self, voters: tuple[Voter, ...]) -> bool:
        """Whether so many have answered that only a round can settle it."""
        return 2 * len(self.seen) > len(voters)
