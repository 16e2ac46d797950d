"""The shards into which the control state is divided, and the changes that can be made to the state of one.

Shard 0 holds the configuration, the others hold operation keys, by a hash of the key; what is kept for a
service goes by a hash of its name. The state of a shard is the body of a `register.Value`, a register that a
majority agrees on, without a log: the epoch of the group, which rises with every change of its voters; the
owner of the shard, under a fencing token that rises with every owner and every change of voters; and in
shard 0 the newest configuration. Nothing here does I/O; changes are data, so that they can be copied.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control.order_history import CommittedOrders, OrderHistory, Verdict

# Orders that each state lists. A list as long as this may be truncated: a build with a larger number has to
# find out by other means which lists are complete.
MAX_LISTED_ORDERS = 64
GENESIS = 1  # the disk id of a founder at the very first start

CONFIGURATION = 0  # the shard that holds the configuration
KEY_SHARDS = (1, 2, 3)
SHARDS = (CONFIGURATION, *KEY_SHARDS)

OTHER_VERSION = "other version"
OLD_VERSION = "old version"
IS_ALIVE = "it is alive"
GROUP_IS_FULL = "no place"
UNKNOWN_ORDER = "older than is remembered"
OTHER_OWNER = "another owner came first"
GROUP_HAS_CHANGED = "the group has changed"


def shard_of(name: str) -> int:
    """Find the shard of an operation key, or of a service by its name.

    A key is hashed by itself, not by its service: a route may be split or moved while its keys live on.

    >>> {shard_of(f"k{n}") for n in range(40)} == set(KEY_SHARDS)
    True
    """
    digest = hashlib.blake2b(name.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return KEY_SHARDS[int.from_bytes(digest, "big") % len(KEY_SHARDS)]


def rank_controllers(shard: int, names: list[str]) -> list[str]:
    """Rank controllers as owners of a shard: by hash, so that ownership spreads over the controllers.

    >>> sorted(rank_controllers(1, ["a", "b", "c"]))
    ['a', 'b', 'c']
    """
    return sorted(names, key=lambda n: hashlib.blake2b(f"{shard} {n}".encode(), digest_size=8).digest())


@dataclass(frozen=True, slots=True)
class Body:
    """The state of a shard.

    :param epoch: of the group; rises with each change of its voters.
    :param revision: of the configuration.
    :param compressed_text: of the configuration, as `configuration_text` compresses it.
    :param orders: the newest committed orders, `MAX_LISTED_ORDERS` at most.
    :param owner: the controller that does the singleton roles of the shard; "" for none.
    :param fencing_token: of the owner; rises with each owner, and with each change of voters.
    """

    epoch: int = 0
    revision: int = 0
    compressed_text: bytes = b""
    orders: CommittedOrders = ()
    owner: str = ""
    fencing_token: int = 0


Change = Callable[[Value], "Value | str"]


def genesis(seeds: tuple[str, ...]) -> Value:
    """Return the state that all founders begin with at the very first start."""
    return Value(0, tuple(Voter(name, GENESIS) for name in sorted(seeds)), Body())


def body(value: Value) -> Body:
    """Return the state in a value of the register."""
    found = value.body
    assert isinstance(found, Body)
    return found


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """An order: commit a configuration on top of a version, unless that very order was committed before.

    :param compressed_text: of the configuration.
    :param revision: of the configuration; the number of the order.
    :param digest: of the text.
    :param on: the version on top of which it is committed.
    """

    compressed_text: bytes
    revision: int
    digest: bytes
    on: int

    def __call__(self, before: Value) -> Value | str:
        """Put the configuration in place of the present one.

        :returns: the state after it; the reason as text if `before` does not allow it.
        """
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
        """Tell what is to become of the order.

        :param current: the newest version.
        """
        return history.verdict(self.revision, self.digest, self.on, max(current, history.newest))


REFUSALS = {
    Verdict.OTHER_VERSION: OTHER_VERSION,
    Verdict.NOT_YET: OTHER_VERSION,
    Verdict.OLD_VERSION: OLD_VERSION,
    Verdict.UNKNOWN: UNKNOWN_ORDER,
}


def lists_all_orders(state: Body) -> bool:
    """Whether a state lists all orders that were ever committed."""
    return len(state.orders) < MAX_LISTED_ORDERS


def no_change(before: Value) -> Value | str:
    """Change nothing: the round itself makes sure that its outcome is the newest state."""
    return before


@dataclass(frozen=True, slots=True)
class AdmitVoter:
    """Admit a controller to the group, where it replaces another, or itself with an older disk.

    A controller asks on top of the last group that it knows, so that it can't come back into a group without
    having noticed that it was removed.

    :param instead_of: the name of the voter that it replaces; "" for none.
    :param max_voters: voters that the group may have.
    :param epoch: the change is refused in any other epoch.
    """

    joiner: Voter
    instead_of: str
    max_voters: int
    epoch: int

    def __call__(self, before: Value) -> Value | str:
        """Admit the controller to the group.

        :returns: the state after it; the reason as text if `before` does not allow it.
        """
        joiner = self.joiner
        if joiner in before.voters:
            return before
        if body(before).epoch != self.epoch:
            return GROUP_HAS_CHANGED
        replaced = joiner.name if any(v.name == joiner.name for v in before.voters) else self.instead_of
        remaining = tuple(v for v in before.voters if v.name != replaced)
        if len(remaining) == len(before.voters) and len(remaining) >= self.max_voters:
            return GROUP_IS_FULL
        old = body(before)
        after = replace(old, epoch=old.epoch + 1, fencing_token=old.fencing_token + 1)
        return replace(_next(before, after), voters=(*remaining, joiner))


def end_voter_change(before: Value) -> Value | str:
    """End a change of voters: from the next version on, the voters before it do not count any more."""
    return _next(before, body(before)) if before.former_voters else before


@dataclass(frozen=True, slots=True)
class TakeOwnership:
    """Make a controller the owner of the shard, under the next fencing token.

    :param name: of the controller.
    :param fencing_token: the change is refused if the shard's token is another one.
    """

    name: str
    fencing_token: int

    def __call__(self, before: Value) -> Value | str:
        """Make the controller the owner of the shard.

        :returns: the state after it; the reason as text if `before` does not allow it.
        """
        old = body(before)
        if old.fencing_token != self.fencing_token:
            return before if old.owner == self.name else OTHER_OWNER
        return _next(before, replace(old, owner=self.name, fencing_token=old.fencing_token + 1))


def _next(before: Value, after: Body) -> Value:
    return Value(before.version + 1, before.voters, after)


def sources_needed(voters: int) -> int:
    """How many controllers that remember a newcomer must hear, so that no majority of old is missed.

    >>> sources_needed(3), sources_needed(5)
    (2, 3)
    """
    return voters - voters // 2
