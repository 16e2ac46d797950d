"""A node's half of operation keys: which controllers hold which shard, and the claims that are out. Pure.

What controllers say to the claim of one key is counted under one epoch of the group that holds its shard.

>>> count = Count(0, ("a", "b", "c"))
>>> count.hear("a", 0, "yours", None), count.hear("b", 1, "yours", None), count.hear("b", 0, "yours", None)
('', '', 'yours')
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.give_backs import GiveBacks
from orchidferry.mesh.control.operation_keys import longest_kept_s
from orchidferry.mesh.wire.messages import KeyAnswer, KeyClaim, Message

AGAIN_S = 0.12  # a controller that could not say is asked again
MAX_OPEN = 20_000  # claims at once


@dataclass(slots=True)
class Count:
    """The answers of one group."""

    epoch: int
    group: tuple[str, ...]
    yours: set[str] = field(default_factory=set)
    held: set[str] = field(default_factory=set)

    def anew(self, epoch: int, group: tuple[str, ...]) -> None:
        """Another group: what the one before it said does not count."""
        self.epoch = epoch
        self.group = group
        self.yours = set()
        self.held = set()

    def open(self, name: str) -> bool:
        """Whether a controller has yet to say something."""
        return name not in self.yours and name not in self.held

    def hear(self, name: str, epoch: int, what: str, answer: Any) -> str:
        """Take an answer: `yours` or `held` where that ends the claim, else nothing."""
        if epoch != self.epoch or name not in self.group:
            return ""
        if what == "held":
            self.held.add(name)
            if answer is not None:
                return "held"
        elif what == "yours":
            self.yours.add(name)
        half = len(self.group) / 2.0
        if len(self.yours) > half:
            return "yours"
        split = bool(self.held) and len(self.held | self.yours) == len(self.group)
        return "held" if len(self.held) > half or split else ""


@dataclass(slots=True)
class Group:
    """The controllers of one shard, as they told it: the newest epoch, and the owner under the newest
    fence.
    """

    epoch: int
    names: tuple[str, ...]
    owner: str = ""
    fence: int = -1


@dataclass(slots=True)
class Claim:
    """One key that is being claimed."""

    rid: int
    shard: int
    key: str
    holder: str
    told: Callable[[str, Any], None]
    count: Count
    until_s: float
    again_s: float

    @property
    def message(self) -> KeyClaim:
        """Asks a controller of the group."""
        return KeyClaim(self.rid, self.count.epoch, self.key, self.holder)


class OperationKeyClient:
    """All claims of one node. `send` puts a message to a controller by name, lost if there is no link to
    it.
    """

    def __init__(self, seeds: tuple[str, ...], send: Callable[[str, Message], None], window_s: float) -> None:
        """`window_s`: for how long a key is kept at least."""
        self.groups = {shard: Group(-1, seeds) for shard in shard_state.SHARDS}
        self._send = send
        self._open: dict[int, Claim] = {}
        self._rid = 0
        self._now = 0.0  # as of the last event that told it
        self.give_backs = GiveBacks(longest_kept_s(window_s), send)

    def names(self) -> set[str]:
        """All controllers of all shards."""
        return {name for group in self.groups.values() for name in group.names}

    def group(
        self, shard: int, epoch: int, names: tuple[str, ...], owner: str, fence: int, now: float
    ) -> bool:
        """A controller says who holds a shard, and who owns its duties; whether that is news."""
        had = self.groups[shard]
        news = epoch > had.epoch or fence > had.fence
        if fence > had.fence:
            had.owner = owner
            had.fence = fence
        if epoch > had.epoch:
            had.epoch = epoch
            had.names = names
            for claim in self._open.values():
                if claim.shard == shard:
                    claim.count.anew(epoch, names)
                    self._ask(claim, now)
        return news

    def claim(
        self, key: str, holder: str, for_s: float, told: Callable[[str, Any], None], now: float
    ) -> None:
        """Claim a key for one try; `told` hears once: `yours`, `held` and the answer (None: not known), or
        `none`, if no majority said either in time. What was not granted is given back.
        """
        if len(self._open) >= MAX_OPEN:
            return told("none", None)
        self._rid = self._rid + 1
        self._now = now
        shard = shard_state.shard_of(key)
        group = self.groups[shard]
        claim = Claim(self._rid, shard, key, holder, told, Count(group.epoch, group.names), now + for_s, now)
        self._open[claim.rid] = claim
        self._ask(claim, now)

    def tick(self, now: float) -> None:
        """Ask again, and give up on what took too long."""
        self._now = now
        for claim in list(self._open.values()):
            if now >= claim.until_s:
                self._end(claim, "none", None)
            elif now >= claim.again_s:
                self._ask(claim, now)
        self.give_backs.tick(self.names(), now)

    def linked(self, name: str, now: float) -> None:
        """There is a new link to a controller. What was given back goes first: claims may wait for it."""
        self.give_backs.linked(name, now)
        for claim in self._open.values():
            if name in claim.count.group:
                self._send(name, claim.message)

    def _ask(self, claim: Claim, now: float) -> None:
        claim.again_s = now + AGAIN_S
        for name in claim.count.group:
            if claim.count.open(name):
                self._send(name, claim.message)

    def hear(self, name: str, rid: int, epoch: int, what: str, answer: Any) -> None:
        """A controller's word on a claim."""
        claim = self._open.get(rid)
        if claim is not None:
            end = claim.count.hear(name, epoch, what, answer)
            if end:
                self._end(claim, end, answer if end == "held" else None)

    def _end(self, claim: Claim, what: str, answer: Any) -> None:
        del self._open[claim.rid]
        if what == "none" and claim.count.held:
            what = "held"
        if what != "yours":
            self.drop(claim.key, claim.holder)
        claim.told(what, answer)

    def drop(self, key: str, holder: str) -> None:
        """Give a key back: this try has not run and never will."""
        self.give_backs.add(key, holder, self.groups[shard_state.shard_of(key)].names, self._now)

    def done(self, key: str, holder: str, answer: Any) -> None:
        """Keep the answer of a key's first run."""
        message = KeyAnswer(key, holder, answer)
        for name in self.groups[shard_state.shard_of(key)].names:
            self._send(name, message)
