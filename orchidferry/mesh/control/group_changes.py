"""Who may come into a shard's group, in whose place, and which voter sees to it. Pure."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.membership import epoch
from orchidferry.mesh.control.peers import Peers

STAGGER_S = 0.5  # a voter acts on a newcomer's asking so much later for each that comes before it
ROUNDING_S = 1e-6


@dataclass(frozen=True, slots=True)
class GroupView:
    """A shard's group as one controller sees it at one moment."""

    number: int  # of the shard
    name: str  # of the controller
    size: int  # voters that the group should have
    known: Value  # the newest state that is known to be decided
    peers: Peers
    caught_up: bool  # whether this controller has learned all that was granted
    now: float

    @property
    def names(self) -> list[str]:
        """The voters' names, in their order."""
        return [voter.name for voter in self.known.voters]

    def leaves(self, name: str) -> bool:
        """Whether a controller was told to end, this one among them."""
        return self.peers.stopping if name == self.name else name in self.peers.leaving

    def vacant(self) -> str:
        """The voter in whose place another may come, the dead before those that leave; "" for none."""
        names = self.names
        dead = [name for name in names if name != self.name and self.peers.dead(name, self.now)]
        leaving = [name for name in names if self.leaves(name)]
        return next(iter(dead + leaving), "")

    def wanted(self) -> bool:
        """Whether this controller, which has no place, should get ready for one of another's."""
        if self.name in self.names or self.peers.stopping:
            return False
        return len(self.names) < self.size or bool(self.vacant())

    def place_for(self, joiner: Voter, under: int, ready: bool) -> str | None:
        """In whose place a newcomer may come, "" for one of its own; None if it may not. `under`: the last
        epoch that it knows; `ready`: whether it has learned what it can without a place.
        """
        if joiner in self.known.voters or under != epoch(self.known):
            return None
        # Its own older memory can't vote, so it makes way at once; others only for one that has learned.
        if joiner.name in self.names:
            return joiner.name
        instead = self.vacant()
        if not ready or (not instead and len(self.names) >= self.size):
            return None
        return instead

    def able(self, joiners: Iterable[Voter]) -> list[str]:
        """The voters that can look after the group, in their order: they live, remember and have learned.
        `joiners`: those that ask for a place, and so have forgotten.
        """
        forgot = {voter.name for voter in joiners}
        able = [
            name
            for name in self.names
            if name not in forgot
            and name != self.name
            and self.peers.alive(name, self.now)
            and self.number not in self.peers.learning.get(name, ())
        ]
        return shard_state.rank_controllers(self.number, able + [self.name] * self.caught_up)

    def is_turn(self, joiners: Iterable[Voter], since_s: float) -> bool:
        """Whether this voter acts on a newcomer that asks since then: the first that can does at once, the
        others if that does not help.
        """
        able = self.able(joiners)
        place = able.index(self.name) if self.name in able else len(able)
        return self.now - since_s >= place * STAGGER_S - ROUNDING_S
