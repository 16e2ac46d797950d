"""One controller's membership status in the group of a shard. Performs no I/O.

The status says whether the controller may grant operation keys, and from which others it still has to learn
them.

A controller grants keys only in an epoch that it knows to be decided, has accepted on its disk, and is a
voter of. A controller that has lost its disk, or was removed from the group, lacks the keys that were granted
without it: it grants none until it has learned all keys from enough others that every former majority is
represented among them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state


def epoch(value: Value | None) -> int:
    """Return the epoch of a state; 0 if there is no state."""
    return shard_state.body(value).epoch if value is not None else 0


@dataclass
class Standing:
    """One controller's own membership status.

    :param caught_up: whether this controller has all operation keys that were granted.
    :param sources: for each other controller by name, whether it has sent all its keys in this epoch.
    """

    caught_up: bool
    sources: dict[str, bool] = field(default_factory=dict)

    def grants(self, requested_epoch: int, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether this controller may grant operation keys under an epoch.

        :param voter: this controller's identity as a voter.
        :param known: the newest state that is known to be decided.
        :param accepted: the state that this controller accepted last; None if it has accepted none.
        """
        is_current = epoch(known) == requested_epoch and epoch(accepted) == requested_epoch
        return self.caught_up and is_current and voter in known.voters

    def is_removed(self, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether this controller had caught up and is certainly not a voter now: it must catch up again."""
        knows_newest = known.version >= (accepted.version if accepted is not None else 1)
        return self.caught_up and knows_newest and voter not in known.voters

    def learns_as_voter(self, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether this controller is a voter of this epoch, so that keys learned now let it catch up."""
        return voter in known.voters and epoch(accepted) == epoch(known)

    def missing_sources(self, voter: Voter, known: Value) -> list[str]:
        """List the other voters that have not sent all their keys in this epoch yet."""
        names = [other.name for other in known.voters if other.name != voter.name]
        return [name for name in names if not self.sources.get(name)]

    def forget_sources(self) -> None:
        """Forget all sources: keys learned in one epoch do not include the keys granted in the next one."""
        self.sources.clear()

    def count_sources(self, known: Value) -> int:
        """Count the voters that have sent all their keys in this epoch."""
        return sum(self.sources.get(voter.name, False) for voter in known.voters)

    def has_enough_sources(self, known: Value) -> bool:
        """Whether enough voters have sent all their keys that every former majority is represented."""
        return self.count_sources(known) >= shard_state.sources_needed(len(known.voters))
