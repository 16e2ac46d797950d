"""Who may be admitted to a shard's group, whom it replaces, and which voter proposes it. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.peers import Peers

STAGGER_S = 0.5  # a voter proposes a newcomer so much later for each voter that ranks before it
ROUNDING_S = 1e-6


@dataclass(frozen=True, slots=True)
class GroupView:
    """A shard's group as one controller observes it at one moment.

    :param number: of the shard.
    :param name: of the controller.
    :param size: voters that the group should have.
    :param known: the newest state that is known to be decided.
    :param caught_up: whether the controller has learned all keys that were granted.
    """

    number: int
    name: str
    size: int
    known: Value
    peers: Peers
    caught_up: bool
    now: float

    @property
    def names(self) -> list[str]:
        """The names of the voters, in their order."""
        return [voter.name for voter in self.known.voters]

    def leaves(self, name: str) -> bool:
        """Whether a controller is stopping; it may be this one."""
        return self.peers.stopping if name == self.name else name in self.peers.leaving

    def replaceable(self) -> str:
        """Find the voter that may be replaced, the dead before those that leave.

        :returns: its name; "" for none.
        """
        names = self.names
        dead = [name for name in names if name != self.name and self.peers.dead(name, self.now)]
        leaving = [name for name in names if self.leaves(name)]
        return next(iter(dead + leaving), "")

    def wants_newcomer(self) -> bool:
        """Whether this controller, which is no voter, should get ready to become one."""
        if self.name in self.names or self.peers.stopping:
            return False
        return len(self.names) < self.size or bool(self.replaceable())

    def replaced_by(self, joiner: Voter, joiner_epoch: int, ready: bool) -> str | None:
        """Find the voter that a newcomer may replace.

        :param joiner_epoch: of the last group that the newcomer knows.
        :param ready: whether it has learned what it can before it is admitted.
        :returns: the voter's name; "" if the group has room for another; None if it may not be admitted.
        """
        if joiner in self.known.voters or joiner_epoch != epoch(self.known):
            return None
        # Its own voter of before it lost its disk can't vote any more, so it is replaced at once; others only
        # by a newcomer that has learned.
        if joiner.name in self.names:
            return joiner.name
        replaced = self.replaceable()
        if not ready or (not replaced and len(self.names) >= self.size):
            return None
        return replaced

    def able_voters(self, joiners: Iterable[Voter]) -> list[str]:
        """List the voters that can maintain the group, by rank: they are alive and have caught up.

        :param joiners: those that ask to join, and so have lost their disks.
        """
        joining = {voter.name for voter in joiners}
        able = [
            name
            for name in self.names
            if name not in joining
            and name != self.name
            and self.peers.alive(name, self.now)
            and self.number not in self.peers.learning.get(name, ())
        ]
        return shard_state.rank_controllers(self.number, able + [self.name] * self.caught_up)

    def is_turn(self, joiners: Iterable[Voter], since_s: float) -> bool:
        """Whether this voter proposes a newcomer: the first that can does at once, the others if it doesn't.

        :param since_s: since when the newcomer has asked to join.
        """
        able = self.able_voters(joiners)
        rank = able.index(self.name) if self.name in able else len(able)
        return self.now - since_s >= rank * STAGGER_S - ROUNDING_S
