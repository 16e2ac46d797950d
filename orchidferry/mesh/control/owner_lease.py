"""Ownership of a shard: the owner's lease, and who takes over. Free of I/O.

The owner of a shard does its singleton roles while a majority has lately acknowledged its heartbeats
without having voted for a later fencing token. Each change of the owner or of the voters brings a later
token, so what the last owner was acknowledged came before that change was decided; a new owner waits for
`LEASE_S` after it has learned that it is the owner.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.balancing.register import Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.group_changes import GroupView
from orchidferry.mesh.control.shard_state import Body

# An owner's lease, from when it has sent the heartbeat that a majority acknowledged; shorter than ALIVE_S.
LEASE_S = 1.0
NEVER_S = float("-inf")


@dataclass
class OwnerLease:
    """One controller's lease of a shard, which it holds where the newest state names it the owner.

    :param from_s: before this time the last owner may still hold its lease.
    :param acknowledged_s: by controller: when the newest heartbeat that it has acknowledged was sent.
    """

    from_s: float = NEVER_S
    acknowledged_s: dict[str, float] = field(default_factory=dict)

    def acknowledge(self, name: str, sent_s: float) -> None:
        """A controller acknowledged the heartbeat sent at a time, and voted for no later fencing token."""
        self.acknowledged_s[name] = max(sent_s, self.acknowledged_s.get(name, NEVER_S))

    def learn(self, before: Body, after: Body, now: float) -> None:
        """A newer state is known to be decided."""
        if after.fencing_token == before.fencing_token:
            return
        self.acknowledged_s.clear()
        missed_a_change = after.fencing_token != before.fencing_token + 1
        if missed_a_change or before.owner not in ("", after.owner):
            self.from_s = now + LEASE_S

    def holds(self, voters: Iterable[Voter], now: float) -> bool:
        """Whether the lease is held: a majority, this controller among it, has acknowledged it."""
        if now < self.from_s:
            return False
        names = [voter.name for voter in voters]
        heard = sum(now - self.acknowledged_s.get(name, NEVER_S) < LEASE_S for name in names)
        return 2 * (heard + 1) > len(names)


def takes_over(group: GroupView, owner: str) -> bool:
    """Whether a controller proposes itself as the owner: the owner is gone or unfit, and it ranks first.

    :param group: the group as that controller observes it.
    """
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
