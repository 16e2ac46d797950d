"""One controller's standing in the group: whether it may grant keys, and from whom it still has to learn.
Pure.

A controller grants under the epoch that it knows to be decided, has accepted on its disk, and is a voter
of. One that has forgotten, or was put out of the group, has missed what was granted: it grants nothing
until it has heard all keys from so many others that no majority of old is missed.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from mesh.control import shard_state
from nickelbridge.register import Value, Voter


def epoch(value: Value | None) -> int:
    """The epoch of a state."""
    return shard_state.body(value).epoch if value is not None else 0


@dataclass
class Standing:
    """What one controller knows of itself."""

    caught_up: bool
    sources: dict[str, bool] = field(default_factory=dict)  # those that were asked, and whether all came

    def grants(self, under: int, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether this controller may grant keys under an epoch."""
        open_ = epoch(known) == under and epoch(accepted) == under
        return self.caught_up and open_ and voter in known.voters

    def put_out(self, voter: Voter, known: Value, accepted: Value | None) -> bool:
        """Whether it was a voter that had caught up, and surely is one no more: it has to learn anew."""
        newest = known.version >= (accepted.version if accepted is not None else 1)
        return self.caught_up and newest and voter not in known.voters

    def to_ask(self, voter: Voter, known: Value, accepted: Value | None) -> list[str]:
        """The controllers that may still be asked for all keys."""
        if self.caught_up or voter not in known.voters or epoch(accepted) != epoch(known):
            return []
        return [v.name for v in known.voters if v != voter and v.name not in self.sources]

    def forget_source(self, name: str) -> None:
        """It has not sent all: it may be asked again."""
        if self.sources.get(name) is False:
            del self.sources[name]

    def enough(self, known: Value) -> bool:
        """Whether it has heard enough to grant keys, once that is on disk."""
        return not self.caught_up and sum(self.sources.values()) >= shard_state.sources_needed(
            len(known.voters)
        )
