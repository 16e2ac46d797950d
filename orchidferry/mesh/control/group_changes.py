"""Changes of a shard's group: who may be admitted, whom it replaces, who proposes it. Performs no I/O.

A controller that asks to be admitted to the group is called the joining controller, or joiner.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.peers import Peers

STAGGER_S = 0.5  # delay before a voter proposes a joiner, for each voter that ranks before it
ROUNDING_S = 1e-6  # tolerance for rounding errors in a comparison of times


@dataclass(frozen=True, slots=True)
class GroupView:
    """A shard's group as one controller observes it at one moment.

    :param number: number of the shard.
    :param name: name of the observing controller.
    :param size: number of voters that the group should have.
    :param known: the newest state that is known to be decided.
    :param peers: state of the other controllers as observed here.
    :param caught_up: whether the observing controller has all operation keys that were granted.
    :param now: current time, in seconds on the event loop's clock.
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
        """The names of the voters, in the order of the state."""
        return [voter.name for voter in self.known.voters]

    def leaves(self, name: str) -> bool:
        """Whether a controller, this one or another, is leaving because its process is stopping."""
        return self.peers.stopping if name == self.name else name in self.peers.leaving

    def replaceable(self) -> str:
        """Find a voter that may be replaced: a dead one if there is one, else a leaving one.

        :returns: the voter's name; "" for none.
        """
        names = self.names
        dead = [name for name in names if name != self.name and self.peers.dead(name, self.now)]
        leaving = [name for name in names if self.leaves(name)]
        return next(iter(dead + leaving), "")

    def should_prepare_to_join(self) -> bool:
        """Whether this controller is not a voter and should copy keys in order to become one.

        It copies as soon as a voter is silent. Whether that voter is dead is for the others to decide: they
        may have missed it since before this controller's start.
        """
        if self.name in self.names or self.peers.stopping:
            return False
        if len(self.names) < self.size or self.replaceable():
            return True
        return any(self.peers.silent(name, self.now) for name in self.names)

    def voter_replaced_by(self, joiner: Voter, joiner_epoch: int, ready: bool) -> str | None:
        """Find the voter that a joining controller may replace.

        :param joiner: the joining controller's identity as a voter.
        :param joiner_epoch: epoch of the newest group that the joining controller knows.
        :param ready: whether the joining controller has learned all that it can before it is admitted.
        :returns: the voter's name; "" if the group has room for another voter; None if the joining controller
            may not be admitted.
        """
        if joiner in self.known.voters or joiner_epoch != epoch(self.known):
            return None
        # A controller that has lost its disk can't vote under its former disk id any more, so it replaces its
        # former voter at once. Other voters are replaced only by a controller that is ready.
        if joiner.name in self.names:
            return joiner.name
        replaced = self.replaceable()
        if not ready or (not replaced and len(self.names) >= self.size):
            return None
        return replaced

    def able_voters(self, joiners: Iterable[Voter]) -> list[str]:
        """List the voters that can propose changes of the group, by rank: those alive and caught up.

        :param joiners: the joining controllers; a voter of the same name has lost its disk.
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
        """Whether it is this voter's turn to propose a joining controller.

        The first able voter by rank proposes it immediately; each further one `STAGGER_S` later than the one
        before it.

        :param joiners: all joining controllers.
        :param since_s: time of this joining controller's first request, in seconds on the event loop's clock.
        """
        able = self.able_voters(joiners)
        rank = able.index(self.name) if self.name in able else len(able)
        return self.now - since_s >= rank * STAGGER_S - ROUNDING_S
