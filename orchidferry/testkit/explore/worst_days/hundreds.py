"""Many changes, and members that missed most of them: a dark replica, a wiped one, an owner that was killed.

A state lists two orders here, so that four changes are to these worlds what hundreds are to a group. Judged
beside what `Orders` judges: at the end of a day without a fault of its own, all replicas that live know the
newest state, one of them does the duties, and nobody did them by a fence that had been given away.
"""

from __future__ import annotations

from dataclasses import replace
from typing import Any
from unittest import mock

from orchidferry.balancing.register import Accept, Acceptor, Prepare, Promise, SendToVoter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.register_reader import RegisterReader
from orchidferry.mesh.control.replica import Replica
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.control.value_references import ValueReferences
from orchidferry.testkit.explore.mesh import Break, Scene
from orchidferry.testkit.explore.mesh_breaks import deliberate_break
from orchidferry.testkit.explore.worst_days.one_number import Operator, Order, Orders, Send
from orchidferry.testkit.explore.worst_days.play import Play

LISTED = 2  # orders that a state lists


def _climb(at: str, *not_before_s: float) -> tuple[Send, ...]:
    """Orders from 1 on, each on the one before."""
    return tuple(Send(Order(n + 1, f"c{n + 1}", n), at, due) for n, due in enumerate(not_before_s))


class Hundreds(Orders):
    """Ends with all replicas up to date."""

    reads = "cba"  # where the operator reads at the end, by turns
    reader: tuple[str, float] = ("", 0.0)  # another one only reads: where, and when

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        super().__init__(scene, faults, kinds)
        operators: list[Any] = self.clients
        operators[0].reads = self.reads
        at, since_s = self.reader
        if at:
            operators.append(Operator("r", [], at, step="read", next_step_s=self.began_s + since_s))

    def apply(self, label: str) -> None:
        """Play one of the actions, by its label."""
        with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", LISTED):
            super(Orders, self).apply(label)

    def _behind(self) -> str:
        newest = self.newest_state.version
        voters = self.newest_state.voters
        if self.refused:
            return f"{self.refused} could be taken and were refused"
        holders = [
            name
            for name, one in self.controllers.items()
            if one.shard.voter in voters
            and (value := one.shard.accepted_value) is not None
            and value.version >= newest
        ]
        if 2 * len(holders) <= len(voters):
            return f"the newest state is on the disks of {holders} alone"
        alive = {name: one.shard for name, one in self.controllers.items() if one.alive}
        behind = [name for name, shard in alive.items() if shard.known.version < newest]
        if behind:
            return f"{' and '.join(behind)} did not catch up"
        owners = [name for name, shard in alive.items() if shard.owns(self.now) is not None]
        return "" if len(owners) == 1 else f"duties are done by {owners}"

    def succeeded(self) -> bool:
        """Whether this run shows what the scene is about."""
        return super().succeeded() and not self._behind()

    def finish(self) -> None:
        """Let all that is under way come to its end, and judge it."""
        super().finish()
        if self.unharmed and (behind := self._behind()):
            self.report_violation(f"behind: {behind}")


class Dark(Hundreds):
    """c misses three of four changes and is asked to read meanwhile.

    Once it is back it is asked at once to take a change and to read, and the owner is killed.
    """

    reader = ("c", 0.8)
    sends = ((*_climb("a", 0.0, 0.2, 0.2, 0.2), Send(Order(5, "c5", 4), "c", 1.32)),)


class Unasked(Hundreds):
    """c misses three of four changes, and nobody asks it for anything when it is back."""

    reads = "ab"
    sends = (_climb("a", 0.0, 0.2, 0.2, 0.2),)


class Wiped(Hundreds):
    """c loses its disk after three changes, and the owner is killed once c has a place again."""

    reader = ("c", 0.5)
    sends = ((*_climb("a", 0.0, 0.0, 0.0, 2.0), Send(Order(5, "c5", 4), "c", 2.4)),)


class KilledOwner(Hundreds):
    """The owner is down through three of four changes.

    Another controller owns the shard when it comes back with its old disk.
    """

    reader = ("b", 4.1)
    sends = ((*_climb("a", 0.0, 0.2, 0.2, 0.2), Send(Order(5, "c5", 4), "b", 4.12)),)


_KINDS = ("kill", "power", "wipe", "cut", "oneway", "freeze", "lose", "late")


def _scene(about: str, min_duration_s: float, script: tuple[tuple[float, str], ...]) -> Scene:
    return Scene("worst-days", about, 1.2, min_duration_s=min_duration_s, script=script, kinds=_KINDS)


SCENES: dict[str, Play] = {
    "hundreds-dark": Play(
        _scene(
            "a dark replica is asked to take a change and to read", 2.8, ((0.1, "cut c"), (1.7, "kill b"))
        ),
        Dark,
    ),
    "hundreds-unasked": Play(_scene("a dark replica catches up by itself", 2.4, ((0.1, "cut c"),)), Unasked),
    "hundreds-wiped": Play(
        _scene(
            "a replica is wiped, and the owner killed soon after", 3.4, ((0.3, "wipe c"), (1.8, "kill b"))
        ),
        Wiped,
    ),
    "hundreds-owner": Play(
        _scene(
            "an owner comes back with an old disk after another took its duties",
            5.6,
            ((0.1, "down b"), (4.1, "up b")),
        ),
        KilledOwner,
    ),
}


# Deliberate breaks


def _owns_by_its_disk(self: Shard, now: float) -> int | None:
    """The fence on its own disk is enough."""
    value = self.accepted_value
    state = shard_state.body(value) if value is not None else self.body
    return state.fencing_token if state.owner == self.name else None


def _reads_own(self: RegisterReader, reader: str) -> None:
    self.end([reader], self.register.known, "")


def _tells_nothing(self: Replica, version: int, name: str) -> list[Any]:
    return []


def _names_all(self: Acceptor, message: Prepare | Accept, sender: str) -> list[Any]:
    found = _handle(self, message, sender)
    if sender == self.name:
        return found
    return [
        replace(one, message=replace(one.message, value=None))
        if isinstance(one, SendToVoter) and isinstance(one.message, Promise)
        else one
        for one in found
    ]


def _nothing_for_unknown(self: ValueReferences, sender: str, promise: Promise) -> Promise:
    return promise


_handle = Acceptor.handle


BREAKS: dict[str, Break] = {
    "leads-with-old": deliberate_break(
        "an owner acts by the fence on its own disk", "hundreds-owner", (Shard, "owns", _owns_by_its_disk)
    ),
    "reads-own": deliberate_break(
        "a replica answers readings from what it knows", "hundreds-dark", (RegisterReader, "read", _reads_own)
    ),
    "never-catches-up": deliberate_break(
        "a replica that is behind asks for nothing",
        "hundreds-unasked",
        (Replica, "heartbeat_received", _tells_nothing),
    ),
    "named-is-nothing": deliberate_break(
        "a state that a promise names by its ballot counts as none",
        "hundreds-dark",
        (Acceptor, "handle", _names_all),
        (ValueReferences, "resolve", _nothing_for_unknown),
    ),
}
