"""Who does the duties of a shard: the owner's lease, and who takes over. Pure.

The owner does them while a majority has lately acknowledged its heartbeats without having voted for a later
fence. Each change of owner or voters brings one, so what the last owner was acknowledged came before that was
decided; a new one waits for `TENURE_S` after it has learned of its place.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.balancing.register import Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.group_changes import GroupView
from orchidferry.mesh.control.shard_state import Body

TENURE_S = 1.0  # an owner's lease, from when it sent the beat that a majority acknowledged; under ALIVE_S


@dataclass
class OwnerLease:
    """One controller's lease of a shard's duties, where the newest state names it the owner."""

    from_s: float = float("-inf")  # before that the last owner may still do the duties
    acknowledged_s: dict[str, float] = field(default_factory=dict)  # by controller: when the beat was sent

    def acknowledge(self, name: str, sent_s: float) -> None:
        """A controller has acknowledged the beat that was sent then, and has voted for no later fence."""
        self.acknowledged_s[name] = max(sent_s, self.acknowledged_s.get(name, float("-inf")))

    def learn(self, before: Body, after: Body, now: float) -> None:
        """A newer state was decided."""
        if after.fencing_token == before.fencing_token:
            return
        self.acknowledged_s.clear()
        if after.fencing_token != before.fencing_token + 1 or before.owner not in ("", after.owner):
            self.from_s = now + TENURE_S

    def holds(self, voters: Iterable[Voter], now: float) -> bool:
        """Whether it runs: a majority with this controller has acknowledged it."""
        if now < self.from_s:
            return False
        names = [voter.name for voter in voters]
        heard = sum(now - self.acknowledged_s.get(name, float("-inf")) < TENURE_S for name in names)
        return 2 * (heard + 1) > len(names)


def takes_over(group: GroupView, owner: str) -> bool:
    """Whether a controller takes the duties: their owner is gone or can't do them, and it comes first."""
    names = group.names
    peers = group.peers
    now = group.now
    alive = {name for name in names if name != group.name and peers.alive(name, now)} | {group.name}
    fit = {name for name in alive if name not in peers.unfit and (name != group.name or peers.fit)}
    if 2 * len(alive) <= len(names) or owner in fit or not fit:
        return False
    if owner in names and owner not in alive and not peers.dead(owner, now):
        return False
    return shard_state.rank_controllers(group.number, sorted(fit))[0] == group.name
