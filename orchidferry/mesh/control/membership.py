"""One controller's standing in the group: whether it may grant keys, and from whom it still has to learn.
Pure.

A controller grants under the epoch that it knows to be decided, has accepted on its disk, and is a voter
of. One that has forgotten, or was put out of the group, has missed what was granted: it grants nothing
until it has heard all keys from so many others that no majority of old is missed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state


def epoch(value: Value | None) -> int:
    """The epoch of a state."""
    return shard_state.body(value).epoch if value is not None else 0


@dataclass
class Standing:
    """What one controller knows of itself."""

    caught_up: bool
    sources: dict[str, bool] = field(default_factory=dict)  # those that told all in this epoch

    def grants(self, under: int, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether this controller may grant keys under an epoch."""
        open_ = epoch(known) == under and epoch(accepted) == under
        return self.caught_up and open_ and voter in known.voters

    def put_out(self, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether it was a voter that had caught up, and surely is one no more: it has to learn anew."""
        newest = known.version >= (accepted.version if accepted is not None else 1)
        return self.caught_up and newest and voter not in known.voters

    def counts(self, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether what it is told now counts: it is a voter of this epoch, and so are those that tell it."""
        return voter in known.voters and epoch(accepted) == epoch(known)

    def to_ask(self, voter: Voter, known: Value) -> list[str]:
        """The voters that have yet to tell all, in this epoch."""
        return [v.name for v in known.voters if v.name != voter.name and not self.sources.get(v.name)]

    def regrouped(self) -> None:
        """Another epoch: what was told in the last one says nothing of what was granted in that."""
        self.sources.clear()

    def told_all(self, known: Value) -> int:
        """How many voters have told all."""
        return sum(self.sources.get(v.name, False) for v in known.voters)

    def enough(self, known: Value) -> bool:
        """Whether that is enough: no majority of old is missed."""
        return self.told_all(known) >= shard_state.sources_needed(len(known.voters))
