"""One controller's standing in the group of a shard.

Whether it may grant operation keys, and from whom it still has to learn them. Free of I/O.

A controller grants under the epoch that it knows to be decided, has accepted on its disk, and is a voter of.
One that has lost its disk, or was removed from the group, has missed what was granted: it grants nothing
until it has learned all keys from so many others that no former majority is missed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state


def epoch(value: Value | None) -> int:
    """Return the epoch of a state; 0 for no state."""
    return shard_state.body(value).epoch if value is not None else 0


@dataclass
class Standing:
    """What one controller knows of its own standing.

    :param caught_up: whether it has all keys that were granted.
    :param sources: by controller: whether it has sent all its keys in this epoch.
    """

    caught_up: bool
    sources: dict[str, bool] = field(default_factory=dict)

    def grants(self, epoch_: int, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether this controller may grant keys under an epoch.

        :param voter: the voter that this controller is.
        :param known: the newest state that is known to be decided.
        :param accepted: the state that this controller has accepted last.
        """
        is_current = epoch(known) == epoch_ and epoch(accepted) == epoch_
        return self.caught_up and is_current and voter in known.voters

    def is_removed(self, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether this controller had caught up, and surely is no voter any more: it has to catch up anew."""
        knows_newest = known.version >= (accepted.version if accepted is not None else 1)
        return self.caught_up and knows_newest and voter not in known.voters

    def counts(self, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether what it learns now counts: it is a voter of this epoch, and so are those that send it."""
        return voter in known.voters and epoch(accepted) == epoch(known)

    def missing_sources(self, voter: Voter, known: Value) -> list[str]:
        """List the other voters that have yet to send all their keys in this epoch."""
        names = [other.name for other in known.voters if other.name != voter.name]
        return [name for name in names if not self.sources.get(name)]

    def forget_sources(self) -> None:
        """Another epoch has begun: what was learned in the last one says nothing of what is granted in it."""
        self.sources.clear()

    def count_sources(self, known: Value) -> int:
        """Count the voters that have sent all their keys."""
        return sum(self.sources.get(voter.name, False) for voter in known.voters)

    def has_enough_sources(self, known: Value) -> bool:
        """Whether so many voters have sent all their keys that no former majority is missed."""
        return self.count_sources(known) >= shard_state.sources_needed(len(known.voters))
