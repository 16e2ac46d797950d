"""Deliberate breaks of the mesh's shipping code, each of which the exploration of a small scene catches."""

from __future__ import annotations

import contextlib
import math
from collections.abc import Iterator
from dataclasses import dataclass, replace
from typing import Any
from unittest import mock

from orchidferry.balancing import proposer, register
from orchidferry.balancing.proposer import Proposer
from orchidferry.balancing.register import Acceptor, AcceptorState, Value, Voter
from orchidferry.mesh.control import owner_lease, quorum_read, shard_state
from orchidferry.mesh.control.actions import Action, WriteRecords
from orchidferry.mesh.control.membership import Standing
from orchidferry.mesh.control.operation_key_client import GrantCount
from orchidferry.mesh.control.operation_keys import ClaimOutcome, OperationKeys
from orchidferry.mesh.control.order_history import OrderHistory, Verdict
from orchidferry.mesh.control.shard import Shard, initial_records
from orchidferry.testkit.explore.controller import Controller


def _same_disk_id(self: Controller) -> None:
    memory = self.shard.voter.disk_id
    self.disk = {}
    self.write_to_disk(initial_records(self.number, AcceptorState(memory), False))


def _caught_up_after_wipe(self: Controller) -> None:
    self.disk = {}
    self.write_to_disk(initial_records(self.number, AcceptorState(self.rng.randrange(2, 2**50)), True))


def _unsynced(self: Controller, actions: list[Action]) -> None:
    for action in actions:
        if isinstance(action, WriteRecords) and action.completion is not None:
            _do(self, [WriteRecords(action.puts)])
            self.execute(self.shard.write_finished(action.completion, True, self.world.now))
        else:
            _do(self, [action])


def _forgets_promise(self: Acceptor, message: Any, sender: str) -> list[register.Action]:
    self.state = replace(self.state, promised=register.NO_BALLOT)
    return _handle(self, message, sender)


def _not_read(self: Proposer, round_: Any, now: float) -> list[register.Action]:
    round_.promises = {
        v: replace(p, accepted=register.NO_BALLOT, value=None) for v, p in round_.promises.items()
    }
    return _promised(self, round_, now)


def _any_majority(voters: Any, given: Any) -> bool:
    return bool(set(voters) & set(given))


def _any_version(self: OrderHistory, number: int, digest: bytes, base: int, current: int) -> Verdict:
    entry = self.entries.get(number)
    if number > current or (entry is not None and entry.digest == digest):
        return Verdict.NEW if number > current else Verdict.COMMITTED
    return _verdict(self, number, digest, base, current)


def _owns_without_lease(self: Shard, now: float) -> int | None:
    own = self.body
    return (
        own.fencing_token
        if own.owner == self.name and self.accepted_fencing_token == own.fencing_token
        else None
    )


def _lease_from_arrival(self: Controller, sender: str, number: int, fence: int) -> None:
    self.shard.heartbeat_acknowledged(sender, self.world.now, fence)


def _long_lease(self: Shard, now: float) -> int | None:
    with mock.patch.object(owner_lease, "LEASE_S", 5.0):
        return _owns(self, now)


def _owns_at_once(self: Shard, now: float) -> int | None:
    self._owner_lease.from_s = -math.inf
    return _owns(self, now)


def _voters_without_new_token(self: shard_state.AdmitVoter, before: Value) -> Value | str:
    after = _admit(self, before)
    if isinstance(after, str) or after is before:
        return after
    return replace(
        after, body=replace(shard_state.body(after), fencing_token=shard_state.body(before).fencing_token)
    )


def _same_token(self: shard_state.TakeOwnership, before: Value) -> Value | str:
    after = _own(self, before)
    if isinstance(after, str) or after is before:
        return after
    return replace(after, body=replace(shard_state.body(after), fencing_token=max(1, self.fencing_token)))


def _granted_by_one(
    self: GrantCount, controller: str, epoch_: int, outcome: str, answer: Any
) -> ClaimOutcome | None:
    granted = ClaimOutcome.GRANTED
    return granted if outcome == granted else _add(self, controller, epoch_, outcome, answer)


def _counts_any_epoch(
    self: GrantCount, controller: str, epoch_: int, outcome: str, answer: Any
) -> ClaimOutcome | None:
    return _add(self, controller, self.epoch, outcome, answer)


def _keeps_counting(self: GrantCount, epoch_: int, group: tuple[str, ...]) -> None:
    self.epoch = epoch_
    self.group = group


def _one_source(voters: int) -> int:
    return 1


def _never_removed(self: Standing, voter: Voter, known: Value, accepted: Value | None) -> bool:
    return False


def _joins_as_before(self: Shard) -> None:
    caught = self.standing.caught_up
    self.standing.caught_up = False
    _join(self)
    self.standing.caught_up = caught


def _releases_any(self: OperationKeys, key: str, holder: str) -> bool:
    had = self.records.get(key)
    return _release(self, key, had.holder if had is not None else holder)


def _grants_before_write(self: Shard, *args: Any) -> list[Action]:
    self.unsaved_records.clear()
    return _claim(self, *args)


_admit = shard_state.AdmitVoter.__call__
_owns = Shard.owns
_do = Controller.execute
_handle = Acceptor.handle
_promised = Proposer._promised
_verdict = OrderHistory.verdict
_own = shard_state.TakeOwnership.__call__
_add = GrantCount.add
_join = Shard._ask_to_join
_release = OperationKeys.release
_claim = Shard.claim_key


Patch = tuple[Any, str, Any]  # the owner of an attribute, its name, and what takes its place


@dataclass(frozen=True)
class Break:
    """A deliberate break of the shipping code, and the small world that catches it.

    :param faults: that the world has at most
    :param kinds: of these faults
    """

    description: str
    scene: str
    faults: int
    kinds: tuple[str, ...]
    patches: tuple[Patch, ...]


def deliberate_break(
    description: str, scene: str, *patches: Patch, faults: int = 0, kinds: str = ""
) -> Break:
    """Return a break that its scene catches.

    :param faults: that it takes, as a rule none
    :param kinds: of these faults, parted by blanks
    """
    return Break(description, scene, faults, tuple(kinds.split()), patches)


BREAKS = {
    "vote-forgotten": deliberate_break(
        "an empty disk votes as before",
        "puts",
        (Controller, "wipe", _same_disk_id),
        faults=2,
        kinds="wipe lose",
    ),
    "unsynced": deliberate_break(
        "promises leave before they are on disk",
        "puts",
        (Controller, "execute", _unsynced),
        faults=2,
        kinds="kill lose",
    ),
    "promise-forgotten": deliberate_break(
        "promises are not kept", "puts", (Acceptor, "handle", _forgets_promise)
    ),
    "not-read": deliberate_break(
        "what was accepted is not taken up", "puts", (Proposer, "_promised", _not_read)
    ),
    "any-voter": deliberate_break(
        "any one voter is enough for a round",
        "puts",
        (proposer, "has_majority", _any_majority),
        faults=1,
        kinds="cut",
    ),
    "any-reading": deliberate_break(
        "any one voter is enough for a reading",
        "puts",
        (quorum_read, "has_majority", _any_majority),
        faults=1,
        kinds="cut",
    ),
    "any-version": deliberate_break(
        "a configuration is taken on top of any", "puts", (OrderHistory, "verdict", _any_version)
    ),
    "alone": deliberate_break(
        "an owner asks nobody", "duties", (Shard, "owns", _owns_without_lease), faults=1, kinds="cut"
    ),
    "from-arrival": deliberate_break(
        "a lease runs from when a pulse came",
        "duties",
        (Controller, "receive_heartbeat_ack", _lease_from_arrival),
        faults=1,
        kinds="freeze",
    ),
    "long-lease": deliberate_break(
        "a lease is longer than the next one waits",
        "duties",
        (Shard, "owns", _long_lease),
        faults=1,
        kinds="cut",
    ),
    "at-once": deliberate_break(
        "a new owner does not wait", "unwell", (Shard, "owns", _owns_at_once), faults=1, kinds="cut"
    ),
    "voters-unfenced": deliberate_break(
        "a change of voters leaves the fence",
        "apart",
        (shard_state.AdmitVoter, "__call__", _voters_without_new_token),
        faults=1,
        kinds="lose",
    ),
    "same-fence": deliberate_break(
        "fences do not rise",
        "duties",
        (shard_state.TakeOwnership, "__call__", _same_token),
        faults=1,
        kinds="cut",
    ),
    "any-one": deliberate_break(
        "any one controller grants a key",
        "answered",
        (GrantCount, "add", _granted_by_one),
        faults=1,
        kinds="lose",
    ),
    "mixed": deliberate_break(
        "words of two epochs count together",
        "epochs",
        (GrantCount, "add", _counts_any_epoch),
        (GrantCount, "restart", _keeps_counting),
    ),
    "remembers": deliberate_break(
        "an empty disk counts as caught up",
        "answered",
        (Controller, "wipe", _caught_up_after_wipe),
        (Standing, "is_removed", _never_removed),
        (Shard, "_ask_to_join", _joins_as_before),
        faults=1,
        kinds="wipe",
    ),
    "one-source": deliberate_break(
        "one other is enough to learn from", "learning", (shard_state, "sources_needed", _one_source)
    ),
    "back-as-before": deliberate_break(
        "one that was put out comes back as caught up",
        "moved",
        (Standing, "is_removed", _never_removed),
        (Shard, "_ask_to_join", _joins_as_before),
        (Shard, "ready", True),
    ),
    "drops-any": deliberate_break(
        "any try may give a key back", "broken-off", (OperationKeys, "release", _releases_any)
    ),
    "at-its-word": deliberate_break(
        "a grant leaves before its record is written",
        "slow",
        (Shard, "claim_key", _grants_before_write),
        faults=1,
        kinds="kill",
    ),
    "unsynced-keys": deliberate_break(
        "a grant leaves before it is on disk",
        "missed",
        (Controller, "execute", _unsynced),
        faults=1,
        kinds="kill",
    ),
}


@contextlib.contextmanager
def in_force(broken_by: Break | None) -> Iterator[None]:
    """Have a deliberate break in force; None for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in broken_by.patches if broken_by is not None else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield


def broken(name: str) -> contextlib.AbstractContextManager[None]:
    """Have one of `BREAKS` in force; "" for none."""
    return in_force(BREAKS[name] if name else None)
