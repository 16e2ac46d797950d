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


def _same_memory(self: Controller) -> None:
    memory = self.shard.voter.disk_id
    self.disk = {}
    self.write_to_disk(initial_records(self.number, AcceptorState(memory), False))


def _full_memory(self: Controller) -> None:
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


def _alone(self: Shard, now: float) -> int | None:
    own = self.body
    return (
        own.fencing_token
        if own.owner == self.name and self.accepted_fencing_token == own.fencing_token
        else None
    )


def _from_arrival(self: Controller, sender: str, number: int, fence: int) -> None:
    self.shard.heartbeat_acknowledged(sender, self.world.now, fence)


def _long_lease(self: Shard, now: float) -> int | None:
    with mock.patch.object(owner_lease, "LEASE_S", 5.0):
        return _owns(self, now)


def _at_once(self: Shard, now: float) -> int | None:
    self._owner_lease.from_s = -math.inf
    return _owns(self, now)


def _same_voters_fence(self: shard_state.AdmitVoter, before: Value) -> Value | str:
    after = _admit(self, before)
    if isinstance(after, str) or after is before:
        return after
    return replace(
        after, body=replace(shard_state.body(after), fencing_token=shard_state.body(before).fencing_token)
    )


def _same_fence(self: shard_state.TakeOwnership, before: Value) -> Value | str:
    after = _own(self, before)
    if isinstance(after, str) or after is before:
        return after
    return replace(after, body=replace(shard_state.body(after), fencing_token=max(1, self.fencing_token)))


def _any_one(self: GrantCount, name: str, epoch_: int, outcome: str, answer: Any) -> ClaimOutcome | None:
    granted = ClaimOutcome.GRANTED
    return granted if outcome == granted else _add(self, name, epoch_, outcome, answer)


def _mixed(self: GrantCount, name: str, epoch_: int, outcome: str, answer: Any) -> ClaimOutcome | None:
    return _add(self, name, self.epoch, outcome, answer)


def _counts_on(self: GrantCount, epoch_: int, group: tuple[str, ...]) -> None:
    self.epoch = epoch_
    self.group = group


def _one_source(voters: int) -> int:
    return 1


def _not_put_out(self: Standing, voter: Voter, known: Value, accepted: Value | None) -> bool:
    return False


def _joins(self: Shard) -> None:
    caught = self.standing.caught_up
    self.standing.caught_up = False
    _join(self)
    self.standing.caught_up = caught


def _releases_any(self: OperationKeys, key: str, holder: str) -> bool:
    had = self.records.get(key)
    return _release(self, key, had.holder if had is not None else holder)


def _at_its_word(self: Shard, *args: Any) -> list[Action]:
    self.unsaved_records.clear()
    return _claim(self, *args)


_admit = shard_state.AdmitVoter.__call__
_owns = Shard.owns
_do = Controller.execute
_handle = Acceptor.handle
_promised = Proposer._promised
_verdict = OrderHistory.verdict
_own = shard_state.TakeOwnership.__call__
_pulse = Shard.heartbeat_acknowledged
_add = GrantCount.add
_join = Shard._ask_to_join
_release = OperationKeys.release
_claim = Shard.claim_key


@dataclass(frozen=True)
class Break:
    """A deliberate one. `scene`, `faults`, `kinds`: the small world that catches it."""

    description: str
    scene: str
    faults: int
    kinds: tuple[str, ...]
    patches: tuple[tuple[Any, str, Any], ...]


def break_under_faults(
    description: str, scene: str, faults: int, kinds: str, *patches: tuple[Any, str, Any]
) -> Break:
    """A break that its scene catches with so many faults of these kinds, named in one string."""
    return Break(description, scene, faults, tuple(kinds.split()), patches)


def deliberate_break(
    description: str, scene: str, *patches: tuple[Any, str, Any], faults: int = 0, kinds: str = ""
) -> Break:
    """A break that its scene catches, as a rule without a fault."""
    return break_under_faults(description, scene, faults, kinds, *patches)


BREAKS = {
    "vote-forgotten": break_under_faults(
        "an empty disk votes as before", "puts", 2, "wipe lose", (Controller, "wipe", _same_memory)
    ),
    "unsynced": break_under_faults(
        "promises leave before they are on disk", "puts", 2, "kill lose", (Controller, "execute", _unsynced)
    ),
    "promise-forgotten": break_under_faults(
        "promises are not kept", "puts", 0, "", (Acceptor, "handle", _forgets_promise)
    ),
    "not-read": break_under_faults(
        "what was accepted is not taken up", "puts", 0, "", (Proposer, "_promised", _not_read)
    ),
    "any-voter": break_under_faults(
        "any one voter is enough for a round", "puts", 1, "cut", (proposer, "has_majority", _any_majority)
    ),
    "any-reading": break_under_faults(
        "any one voter is enough for a reading",
        "puts",
        1,
        "cut",
        (quorum_read, "has_majority", _any_majority),
    ),
    "any-version": break_under_faults(
        "a configuration is taken on top of any", "puts", 0, "", (OrderHistory, "verdict", _any_version)
    ),
    "alone": break_under_faults("an owner asks nobody", "duties", 1, "cut", (Shard, "owns", _alone)),
    "from-arrival": break_under_faults(
        "a lease runs from when a pulse came",
        "duties",
        1,
        "freeze",
        (Controller, "receive_heartbeat_ack", _from_arrival),
    ),
    "long-lease": break_under_faults(
        "a lease is longer than the next one waits", "duties", 1, "cut", (Shard, "owns", _long_lease)
    ),
    "at-once": break_under_faults("a new owner does not wait", "unwell", 1, "cut", (Shard, "owns", _at_once)),
    "voters-unfenced": break_under_faults(
        "a change of voters leaves the fence",
        "apart",
        1,
        "lose",
        (shard_state.AdmitVoter, "__call__", _same_voters_fence),
    ),
    "same-fence": break_under_faults(
        "fences do not rise", "duties", 1, "cut", (shard_state.TakeOwnership, "__call__", _same_fence)
    ),
    "any-one": break_under_faults(
        "any one controller grants a key", "answered", 1, "lose", (GrantCount, "add", _any_one)
    ),
    "mixed": break_under_faults(
        "words of two epochs count together",
        "epochs",
        0,
        "",
        (GrantCount, "add", _mixed),
        (GrantCount, "restart", _counts_on),
    ),
    "remembers": break_under_faults(
        "an empty disk counts as caught up",
        "answered",
        1,
        "wipe",
        (Controller, "wipe", _full_memory),
        (Standing, "is_removed", _not_put_out),
        (Shard, "_ask_to_join", _joins),
    ),
    "one-source": break_under_faults(
        "one other is enough to learn from", "learning", 0, "", (shard_state, "sources_needed", _one_source)
    ),
    "back-as-before": break_under_faults(
        "one that was put out comes back as caught up",
        "moved",
        0,
        "",
        (Standing, "is_removed", _not_put_out),
        (Shard, "_ask_to_join", _joins),
        (Shard, "ready", True),
    ),
    "drops-any": break_under_faults(
        "any try may give a key back", "broken-off", 0, "", (OperationKeys, "release", _releases_any)
    ),
    "at-its-word": break_under_faults(
        "a grant leaves before its record is written", "slow", 1, "kill", (Shard, "claim_key", _at_its_word)
    ),
    "unsynced-keys": break_under_faults(
        "a grant leaves before it is on disk", "missed", 1, "kill", (Controller, "execute", _unsynced)
    ),
}


@contextlib.contextmanager
def in_force(one: Break | None) -> Iterator[None]:
    """With a deliberate break in force; None: with none."""
    with contextlib.ExitStack() as stack:
        for where, attribute, value in one.patches if one is not None else ():
            stack.enter_context(mock.patch.object(where, attribute, value))
        yield


def broken(name: str) -> contextlib.AbstractContextManager[None]:
    """With one of `BREAKS` in force; "" for none."""
    return in_force(BREAKS[name] if name else None)
