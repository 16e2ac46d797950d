"""The shards of the control state, the state of one shard, and the changes of that state. Performs no I/O.

Shard 0 holds the configuration. The other shards hold operation keys, assigned by a hash of the key; data
about a service is assigned by a hash of the service's name. The state of a shard is the body of a
`register.Value`, a consensus register without a log. It consists of the epoch of the group, which rises with
every change of the voters; the owner of the shard, with a fencing token that rises with every change of the
owner or of the voters; and, in shard 0, the newest configuration. Changes are data objects, so that they can
be copied.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable
from dataclasses import dataclass, replace

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control.order_history import CommittedOrders, OrderHistory, Verdict

# Maximum number of committed orders that a state lists. A list of this length may be truncated: a release
# that raises the number needs another way to tell which stored lists are complete.
MAX_LISTED_ORDERS = 64
FOUNDER_DISK_ID = 1  # disk id of every founder at the very first start

CONFIGURATION = 0  # the shard that holds the configuration
KEY_SHARDS = (1, 2, 3)
SHARDS = (CONFIGURATION, *KEY_SHARDS)

OTHER_VERSION = "other version"
OLD_VERSION = "old version"
IS_ALIVE = "it is alive"
GROUP_IS_FULL = "the group is full"
UNKNOWN_ORDER = "older than the remembered orders"
OTHER_OWNER = "the owner has changed"
GROUP_HAS_CHANGED = "the group has changed"


def shard_of(name: str) -> int:
    """Return the number of the shard of an operation key, or of a service by its name.

    The hash covers only the key, not its service: a route may be split or moved while its keys stay valid.

    >>> {shard_of(f"k{n}") for n in range(40)} == set(KEY_SHARDS)
    True
    """
    digest = hashlib.blake2b(name.encode("utf-8", "surrogateescape"), digest_size=8).digest()
    return KEY_SHARDS[int.from_bytes(digest, "big") % len(KEY_SHARDS)]


def rank_controllers(shard: int, names: list[str]) -> list[str]:
    """Rank controllers as owners of a shard, by a hash that spreads ownership over the controllers.

    >>> sorted(rank_controllers(1, ["a", "b", "c"]))
    ['a', 'b', 'c']
    """
    return sorted(names, key=lambda n: hashlib.blake2b(f"{shard} {n}".encode(), digest_size=8).digest())


@dataclass(frozen=True, slots=True)
class Body:
    """The state of a shard.

    :param epoch: epoch of the group; rises with each change of the voters.
    :param revision: revision of the configuration; 0 if there is none yet.
    :param compressed_text: text of the configuration, as compressed by `configuration_text`.
    :param orders: the newest committed orders, at most `MAX_LISTED_ORDERS`.
    :param owner: name of the controller that performs the singleton roles of the shard; "" for none.
    :param fencing_token: fencing token of the owner; rises with each change of the owner or of the voters.
    """

    epoch: int = 0
    revision: int = 0
    compressed_text: bytes = b""
    orders: CommittedOrders = ()
    owner: str = ""
    fencing_token: int = 0


Change = Callable[[Value], "Value | str"]


def genesis(seeds: tuple[str, ...]) -> Value:
    """Return the initial state, which all founders share at the very first start."""
    return Value(0, tuple(Voter(name, FOUNDER_DISK_ID) for name in sorted(seeds)), Body())


def body(value: Value) -> Body:
    """Return the shard state that a value of the register holds."""
    found = value.body
    assert isinstance(found, Body)
    return found


@dataclass(frozen=True, slots=True)
class PutConfiguration:
    """An order to commit a configuration on top of a base revision; has no effect if already committed.

    :param compressed_text: compressed text of the configuration.
    :param revision: revision of the configuration, which is also the number of the order.
    :param digest: digest of the uncompressed text.
    :param on: the base revision, which must be the current one.
    """

    compressed_text: bytes
    revision: int
    digest: bytes
    on: int

    def __call__(self, before: Value) -> Value | str:
        """Replace the current configuration.

        :param before: the current state.
        :returns: the new state; a refusal text if the current state does not allow the change.
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
        """Return whether the order is new, already committed, or to be refused.

        :param history: the known committed orders.
        :param current: the current revision of the configuration.
        """
        return history.verdict(self.revision, self.digest, self.on, max(current, history.newest))


REFUSALS = {
    Verdict.OTHER_VERSION: OTHER_VERSION,
    Verdict.NOT_YET: OTHER_VERSION,
    Verdict.OLD_VERSION: OLD_VERSION,
    Verdict.UNKNOWN: UNKNOWN_ORDER,
}


def lists_all_orders(state: Body) -> bool:
    """Whether a state's list contains all orders that were ever committed."""
    return len(state.orders) < MAX_LISTED_ORDERS


def no_change(before: Value) -> Value | str:
    """Change nothing; the ballot round itself ensures that its outcome is the newest state."""
    return before


@dataclass(frozen=True, slots=True)
class AdmitVoter:
    """Admit a controller to the group, in place of another voter or of its own voter with a former disk id.

    The change names the epoch of the newest group that the joining controller knows, so that a controller
    can't return to the group without having learned that it was removed.

    :param joiner: the joining controller's identity as a voter.
    :param instead_of: name of the voter that it replaces; "" for none.
    :param max_voters: maximum number of voters of the group.
    :param epoch: the only epoch in which the change is valid.
    """

    joiner: Voter
    instead_of: str
    max_voters: int
    epoch: int

    def __call__(self, before: Value) -> Value | str:
        """Admit the controller to the group.

        :param before: the current state.
        :returns: the new state; a refusal text if the current state does not allow the change.
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
    """End a change of voters: from the next version on, the former voters no longer count."""
    return _next(before, body(before)) if before.former_voters else before


@dataclass(frozen=True, slots=True)
class TakeOwnership:
    """Make a controller the owner of the shard, under the next fencing token.

    :param name: name of the controller.
    :param fencing_token: the shard's current token; the change is refused if the token has changed.
    """

    name: str
    fencing_token: int

    def __call__(self, before: Value) -> Value | str:
        """Make the controller the owner of the shard.

        :param before: the current state.
        :returns: the new state; a refusal text if the current state does not allow the change.
        """
        old = body(before)
        if old.fencing_token != self.fencing_token:
            return before if old.owner == self.name else OTHER_OWNER
        return _next(before, replace(old, owner=self.name, fencing_token=old.fencing_token + 1))


def _next(before: Value, after: Body) -> Value:
    return Value(before.version + 1, before.voters, after)


def sources_needed(voters: int) -> int:
    """Return the number of caught-up voters to learn from so that every former majority is represented.

    >>> sources_needed(3), sources_needed(5)
    (2, 3)
    """
    return voters - voters // 2
