"""Deliberate breaks of the mesh's shipping code (mutations), each of which is detected by its scene."""

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
from orchidferry.mesh.control.key_writes import deletion_of
from orchidferry.mesh.control.membership import Standing
from orchidferry.mesh.control.operation_key_client import GrantCount
from orchidferry.mesh.control.operation_keys import ClaimOutcome, OperationKeys
from orchidferry.mesh.control.order_history import OrderHistory, Verdict
from orchidferry.mesh.control.shard import Shard, initial_records
from orchidferry.mesh.wire.messages import KeyRelease
from orchidferry.testkit.explore.controller import Controller


def _wipe_keeping_disk_id(self: Controller) -> None:
    disk_id = self.shard.voter.disk_id
    self.disk = {}
    self.write_to_disk(initial_records(self.number, AcceptorState(disk_id), False))


def _wipe_counting_as_caught_up(self: Controller) -> None:
    self.disk = {}
    self.write_to_disk(initial_records(self.number, AcceptorState(self.rng.randrange(2, 2**50)), True))


def _finish_writes_early(self: Controller, actions: list[Action]) -> None:
    for action in actions:
        if isinstance(action, WriteRecords) and action.completion is not None:
            _execute(self, [WriteRecords(action.puts)])
            self.execute(self.shard.write_finished(action.completion, True, self.world.now))
        else:
            _execute(self, [action])


def _forgets_promise(self: Acceptor, message: Any, sender: str) -> list[register.Action]:
    self.state = replace(self.state, promised=register.NO_BALLOT)
    return _handle(self, message, sender)


def _ignore_accepted_values(self: Proposer, round_: Any, now: float) -> list[register.Action]:
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
        return _original_owns(self, now)


def _owns_at_once(self: Shard, now: float) -> int | None:
    self._owner_lease.from_s = -math.inf
    return _original_owns(self, now)


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
    return granted if outcome == granted else _add_answer(self, controller, epoch_, outcome, answer)


def _counts_any_epoch(
    self: GrantCount, controller: str, epoch_: int, outcome: str, answer: Any
) -> ClaimOutcome | None:
    return _add_answer(self, controller, self.epoch, outcome, answer)


def _keeps_counting(self: GrantCount, epoch_: int, group: tuple[str, ...]) -> None:
    self.epoch = epoch_
    self.group = group


def _one_source(voters: int) -> int:
    return 1


def _never_removed(self: Standing, voter: Voter, known: Value, accepted: Value | None) -> bool:
    return False


def _joins_as_before(self: Shard) -> None:
    caught_up = self.standing.caught_up
    self.standing.caught_up = False
    _join(self)
    self.standing.caught_up = caught_up


def _releases_any(self: OperationKeys, key: str, holder: str) -> bool:
    record = self.records.get(key)
    return _release(self, key, record.holder if record is not None else holder)


def _deletes_when_released(self: Shard, sender: Any, release: KeyRelease, now: float) -> list[Action]:
    was_released = self.operation_keys.was_released_by(release.key, release.attempt_id)
    actions = _release_key(self, sender, release, now)
    if was_released:
        return [WriteRecords([deletion_of(release.key)], None), *actions]
    return actions


def _grants_before_write(self: Shard, *args: Any) -> list[Action]:
    self.key_writes.unsaved.clear()
    return _claim(self, *args)


_admit = shard_state.AdmitVoter.__call__
_original_owns = Shard.owns
_execute = Controller.execute
_handle = Acceptor.handle
_promised = Proposer._promised
_verdict = OrderHistory.verdict
_own = shard_state.TakeOwnership.__call__
_add_answer = GrantCount.add
_join = Shard._ask_to_join
_release = OperationKeys.release
_claim = Shard.claim_key
_release_key = Shard.release_key


Patch = tuple[Any, str, Any]  # the owner of an attribute, the attribute's name, and its replacement


@dataclass(frozen=True)
class Break:
    """A deliberate break of the shipping code, and the scene that detects it.

    :param faults: how many faults may happen in a run of the scene
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
    """Return a break that its scene detects.

    :param faults: how many faults its detection takes
    :param kinds: of these faults, separated by spaces
    """
    return Break(description, scene, faults, tuple(kinds.split()), patches)


BREAKS = {
    "vote-forgotten": deliberate_break(
        "a controller with an empty disk keeps its old disk id",
        "puts",
        (Controller, "wipe", _wipe_keeping_disk_id),
        faults=2,
        kinds="wipe lose",
    ),
    "unsynced": deliberate_break(
        "promises are sent before they are on disk",
        "puts",
        (Controller, "execute", _finish_writes_early),
        faults=2,
        kinds="kill lose",
    ),
    "promise-forgotten": deliberate_break(
        "promises are not kept", "puts", (Acceptor, "handle", _forgets_promise)
    ),
    "not-read": deliberate_break(
        "a proposer ignores values that were accepted",
        "puts",
        (Proposer, "_promised", _ignore_accepted_values),
    ),
    "any-voter": deliberate_break(
        "one voter is enough for a round",
        "puts",
        (proposer, "has_majority", _any_majority),
        faults=1,
        kinds="cut",
    ),
    "any-reading": deliberate_break(
        "one voter is enough for a quorum read",
        "puts",
        (quorum_read, "has_majority", _any_majority),
        faults=1,
        kinds="cut",
    ),
    "any-version": deliberate_break(
        "a configuration is committed whatever version it is based on",
        "puts",
        (OrderHistory, "verdict", _any_version),
    ),
    "alone": deliberate_break(
        "an owner needs no lease", "duties", (Shard, "owns", _owns_without_lease), faults=1, kinds="cut"
    ),
    "from-arrival": deliberate_break(
        "a lease runs from the arrival of a heartbeat's acknowledgement",
        "duties",
        (Controller, "receive_heartbeat_ack", _lease_from_arrival),
        faults=1,
        kinds="freeze",
    ),
    "long-lease": deliberate_break(
        "a lease is longer than the time that a new owner waits",
        "duties",
        (Shard, "owns", _long_lease),
        faults=1,
        kinds="cut",
    ),
    "at-once": deliberate_break(
        "a new owner does not wait", "unwell", (Shard, "owns", _owns_at_once), faults=1, kinds="cut"
    ),
    "voters-unfenced": deliberate_break(
        "a change of voters keeps the fencing token",
        "apart",
        (shard_state.AdmitVoter, "__call__", _voters_without_new_token),
        faults=1,
        kinds="lose",
    ),
    "same-fence": deliberate_break(
        "fencing tokens do not increase",
        "duties",
        (shard_state.TakeOwnership, "__call__", _same_token),
        faults=1,
        kinds="cut",
    ),
    "any-one": deliberate_break(
        "one controller's grant of a key is enough",
        "answered",
        (GrantCount, "add", _granted_by_one),
        faults=1,
        kinds="lose",
    ),
    "mixed": deliberate_break(
        "grants of two epochs are counted together",
        "epochs",
        (GrantCount, "add", _counts_any_epoch),
        (GrantCount, "restart", _keeps_counting),
    ),
    "remembers": deliberate_break(
        "an empty disk counts as caught up",
        "answered",
        (Controller, "wipe", _wipe_counting_as_caught_up),
        (Standing, "is_removed", _never_removed),
        (Shard, "_ask_to_join", _joins_as_before),
        faults=1,
        kinds="wipe",
    ),
    "one-source": deliberate_break(
        "one source is enough to catch up", "learning", (shard_state, "sources_needed", _one_source)
    ),
    "back-as-before": deliberate_break(
        "a removed voter comes back as caught up",
        "moved",
        (Standing, "is_removed", _never_removed),
        (Shard, "_ask_to_join", _joins_as_before),
        (Shard, "ready", True),
    ),
    "drops-any": deliberate_break(
        "any attempt may release a key", "broken-off", (OperationKeys, "release", _releases_any)
    ),
    "deletes-any": deliberate_break(
        "a release that comes again deletes the record of another attempt on disk",
        "released-twice",
        (Shard, "release_key", _deletes_when_released),
        faults=1,
        kinds="lose",
    ),
    "at-its-word": deliberate_break(
        "a grant is sent before its record is written",
        "slow",
        (Shard, "claim_key", _grants_before_write),
        faults=1,
        kinds="kill",
    ),
    "unsynced-keys": deliberate_break(
        "a grant is sent before it is on disk",
        "missed",
        (Controller, "execute", _finish_writes_early),
        faults=1,
        kinds="kill",
    ),
}


@contextlib.contextmanager
def in_force(broken_by: Break | None) -> Iterator[None]:
    """Apply a deliberate break while the context lasts; None for none."""
    with contextlib.ExitStack() as stack:
        for owner, attribute, replacement in broken_by.patches if broken_by is not None else ():
            stack.enter_context(mock.patch.object(owner, attribute, replacement))
        yield


def broken(name: str) -> contextlib.AbstractContextManager[None]:
    """Apply one of `BREAKS` while the context lasts; "" for none."""
    return in_force(BREAKS[name] if name else None)
