"""Ownership of a shard: the owner's lease, and the choice of the next owner. Performs no I/O.

The owner of a shard performs the shard's singleton roles as long as a majority has recently acknowledged its
heartbeats without having voted for a later fencing token. Each change of the owner or of the voters brings a
later token, so all acknowledgements of the previous owner's lease precede the decision of that change. A new
owner waits for `LEASE_S` after it has learned that it is the owner; by then the previous lease has ended.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from orchidferry.balancing.register import Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.group_changes import GroupView
from orchidferry.mesh.control.shard_state import Body

# Duration of an owner's lease, from the sending of a heartbeat that a majority acknowledged; shorter than
# `ALIVE_S`.
LEASE_S = 1.0
NEVER_S = float("-inf")


@dataclass
class OwnerLease:
    """One controller's lease of a shard; it counts only while the newest state names the controller as owner.

    :param from_s: time before which the previous owner may still hold its lease.
    :param acknowledged_s: for each other controller by name, the sending time of the newest heartbeat that it
        has acknowledged. Times are in seconds on the event loop's clock.
    """

    from_s: float = NEVER_S
    acknowledged_s: dict[str, float] = field(default_factory=dict)

    def acknowledge(self, name: str, sent_s: float) -> None:
        """Record another controller's acknowledgement of a heartbeat, given under the current fencing token.

        :param name: name of the other controller, which has voted for no later token.
        :param sent_s: time at which the heartbeat was sent.
        """
        self.acknowledged_s[name] = max(sent_s, self.acknowledged_s.get(name, NEVER_S))

    def learn(self, before: Body, after: Body, now: float) -> None:
        """Update the lease for a newer state that is known to be decided."""
        if after.fencing_token == before.fencing_token:
            return
        self.acknowledged_s.clear()
        missed_change = after.fencing_token != before.fencing_token + 1
        if missed_change or before.owner not in ("", after.owner):
            self.from_s = now + LEASE_S

    def holds(self, voters: Iterable[Voter], now: float) -> bool:
        """Whether the lease is held: a majority that includes this controller has acknowledged it."""
        if now < self.from_s:
            return False
        names = [voter.name for voter in voters]
        acknowledging = sum(now - self.acknowledged_s.get(name, NEVER_S) < LEASE_S for name in names)
        return 2 * (acknowledging + 1) > len(names)


def should_take_over(group: GroupView, owner: str) -> bool:
    """Whether a controller should propose itself as the owner of the shard.

    It should if the owner is dead or unfit, and if it ranks first among the voters that are alive and fit.

    :param group: the group as that controller observes it.
    :param owner: name of the current owner; "" for none.
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
