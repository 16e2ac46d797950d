"""One reading of a shard's newest state: what its voters say that they have accepted. Pure.

A reader asks each voter, again and again until a majority's answers settle it. Answers of different moments
may be put together: each was given after the reading began, and what a voter accepts only rises, so whatever
was decided before the reading began is at or below what one of any majority has answered.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.balancing.register import Kept, Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.shard_state import Seen

ASK_AGAIN_S = 0.1  # for voters to answer, before they are asked again or a round is run
SELF = ""  # the reader of a reading that the replica runs for itself
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


@dataclass
class Readings:
    """The readings of one replica: who waits for one, and the one that is out. A reader is a caller's id, or
    `SELF`.
    """

    count: int = 0
    queued: list[str] = field(default_factory=list)  # readers that share the next reading
    until_s: dict[str, float] = field(default_factory=dict)  # callers that wait: until when
    current: Reading | None = None  # that voters are asked for
    busy: bool = False  # a reading, or the round that it came to, is out

    @property
    def due_s(self) -> float:
        """When something is to be done; infinite for never."""
        dues = [*self.until_s.values()]
        if self.current is not None:
            dues += [self.current.again_s, self.current.until_s]
        return min(dues, default=float("inf"))

    def begin(self, kept: Kept, now: float) -> Reading | None:
        """Begin the next one; None if nobody waits for it. `kept`: what the replica has accepted."""
        readers = self.queued
        self.queued = []
        self.current, self.busy = None, bool(readers)
        if readers:
            self.count += 1
            self.current = Reading(self.count, kept, readers, now + READING_S, now + ASK_AGAIN_S)
        return self.current

    def answered(self, readers: list[str]) -> list[str]:
        """A reading is over; the callers among its readers that still wait for it."""
        return [reader for reader in readers if self.until_s.pop(reader, None) is not None]

    def expired(self, now: float) -> list[str]:
        """Callers that have waited too long, and wait no more."""
        late = [caller for caller, until_s in self.until_s.items() if until_s <= now]
        return self.answered(late)

    def drop_callers(self) -> list[str]:
        """No caller waits any more; what the replica itself wants to know is gone on with."""
        callers = self.answered(list(self.until_s))
        if self.current is not None and SELF not in self.current.readers:
            self.current = None
            self.busy = False
        self.queued = [reader for reader in self.queued if reader == SELF]
        return callers
