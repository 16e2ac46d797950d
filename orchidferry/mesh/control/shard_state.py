"""The shards that the state is cut into, each with a group of controllers: what may become of one, how it
travels.

Shard 0 holds the configuration, the others operation keys, by a hash of the key; what is kept for a service
goes by a hash of its name. The state of each is the body of a `register.Value` (a register that a majority
agrees on, no log): the epoch of the group, which rises with every change of its voters, who owns the duties
of the shard, under a fence that rises with every owner and every change of voters, and in shard 0 the newest
configuration. Everything here is pure; changes are data, so that a world that holds them can be copied.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control.order_history import CommittedOrders, OrderHistory, Verdict

# Orders that each state lists. A list as long as this may be cut: a build with a larger number has to tell
# by other means which lists are whole.
MAX_LISTED_ORDERS = 64
GENESIS = 1  # memory of a founder at the very first start

CONFIGURATION = 0  # the shard that holds the configuration
KEY_SHARDS = (1, 2, 3)
SHARDS = (CONFIGURATION, *KEY_SHARDS)

OTHER_VERSION = "other version"
OLD_VERSION = "old version"
ALIVE = "it is alive"
NO_PLACE = "no place"
UNKNOWN_ORDER = "older than is remembered"
OTHER_FENCE = "another owner came first"
OTHER_GROUP = "the group has changed"


def shard_of(name: str) -> int:
    """The shard of an operation key, or of a service by its name.

    A key goes by itself, not by its service: a route may be split or moved while its keys live on.

    >>> {shard_of(f"k{n}") for n in range(40)} == set(KEY_SHARDS)
    True
    """
    mark = hashlib.blake2b(name.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return KEY_SHARDS[int.from_bytes(mark, "big") % len(KEY_SHARDS)]


def rank_controllers(shard: int, names: list[str]) -> list[str]:
    """Who comes first as the owner of a shard: duties spread over the controllers.

    >>> sorted(rank_controllers(1, ["a", "b", "c"]))
    ['a', 'b', 'c']
    """
    return sorted(names, key=lambda n: hashlib.blake2b(f"{shard} {n}".encode(), digest_size=8).digest())


@dataclass(frozen=True, slots=True)
class Body:
    """The state of the shard."""

    epoch: int = 0
    revision: int = 0
    compressed_text: bytes = b""  # the text, as `configuration_text` keeps it
    orders: CommittedOrders = ()  # the newest orders, `MAX_LISTED_ORDERS` at most
    owner: str = ""  # the controller that does the duties of the shard
    fencing_token: int = 0  # of that owner; rises with each, and with each change of voters


Change = Callable[[Value], "Value | str"]


def genesis(seeds: tuple[str, ...]) -> Value:
    """The state that all begin with at the very first start."""
    return Value(0, tuple(Voter(name, GENESIS) for name in sorted(seeds)), Body())


def body(value: Value) -> Body:
    """The state in a value."""
    found = value.body
    assert isinstance(found, Body)
    return found


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """Take a configuration on top of version `on`; done already where that very order was taken."""

    compressed_text: bytes
    revision: int
    digest: bytes
    on: int

    def __call__(self, before: Value) -> Value | str:
        old = body(before)
        history = OrderHistory()
        history.merge(old.orders, lists_all_orders(old))
        verdict = self.verdict(history, old.revision)
        if verdict is Verdict.COMMITTED:
            return before
        if verdict is not Verdict.NEW:
            return REFUSALS[verdict]
        orders = (*old.orders, (self.revision, self.digest))[-MAX_LISTED_ORDERS:]
        return _next(
            before, replace(old, revision=self.revision, compressed_text=self.compressed_text, orders=orders)
        )

    def verdict(self, history: OrderHistory, current: int) -> Verdict:
        """What is to become of the order while `current` is the newest version."""
        return history.verdict(self.revision, self.digest, self.on, max(current, history.newest))


REFUSALS = {
    Verdict.OTHER_VERSION: OTHER_VERSION,
    Verdict.NOT_YET: OTHER_VERSION,
    Verdict.OLD_VERSION: OLD_VERSION,
    Verdict.UNKNOWN: UNKNOWN_ORDER,
}


def lists_all_orders(state: Body) -> bool:
    """Whether a state lists all orders that were ever taken."""
    return len(state.orders) < MAX_LISTED_ORDERS


def no_change(before: Value) -> Value | str:
    """Change nothing: the round itself makes sure that what is told is the newest."""
    return before


@dataclass(frozen=True, slots=True)
class AdmitVoter:
    """Take a controller into the group, in the place of another name, or of an older memory of its own, if
    `epoch` is still the group's: a controller asks on top of the last group that it knows, so that it can't
    come back into one without having noticed that it was put out.
    """

    joiner: Voter
    instead_of: str
    most: int
    epoch: int

    def __call__(self, before: Value) -> Value | str:
        joiner = self.joiner
        if joiner in before.voters:
            return before
        if body(before).epoch != self.epoch:
            return OTHER_GROUP
        gone = joiner.name if any(v.name == joiner.name for v in before.voters) else self.instead_of
        kept = tuple(v for v in before.voters if v.name != gone)
        if len(kept) == len(before.voters) and len(kept) >= self.most:
            return NO_PLACE
        old = body(before)
        after = replace(old, epoch=old.epoch + 1, fencing_token=old.fencing_token + 1)
        return replace(_next(before, after), voters=(*kept, joiner))


def end_voter_change(before: Value) -> Value | str:
    """Be done with a change of voters: on the next version the ones before it count no more."""
    return _next(before, body(before)) if before.former_voters else before


@dataclass(frozen=True, slots=True)
class TakeOwnership:
    """Give the duties of the shard to a controller, under the next fence, if `fence` is still the owner's."""

    name: str
    fencing_token: int

    def __call__(self, before: Value) -> Value | str:
        old = body(before)
        if old.fencing_token != self.fencing_token:
            return before if old.owner == self.name else OTHER_FENCE
        return _next(before, replace(old, owner=self.name, fencing_token=old.fencing_token + 1))


def _next(before: Value, after: Body) -> Value:
    return Value(before.version + 1, before.voters, after)


def sources_needed(voters: int) -> int:
    """How many controllers that remember a newcomer must hear, so that no majority of old is missed.

    >>> sources_needed(3), sources_needed(5)
    (2, 3)
    """
    return voters - voters // 2
