"""Replicas that missed many changes: by a partition, by the loss of a disk, or while the owner was down.

A state lists only two orders here, so four changes have the effect that hundreds have in a real group. Beside
the properties of `OrdersWorld` it is checked that, at the end of a run without further faults, all running
replicas know the newest state and exactly one of them owns the shard, and that no controller ever owned it
with a superseded fencing token.
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
from orchidferry.testkit.explore.worst_days.one_number import Operator, Order, OrdersWorld, Submission
from orchidferry.testkit.explore.worst_days.scene_setup import SceneSetup

MAX_LISTED = 2  # orders that a state lists in these scenes


def _chain_of_orders(at: str, *not_before_s: float) -> tuple[Submission, ...]:
    """Return submissions of orders from number 1 on, each based on the one before.

    :param not_before_s: the earliest time of each, in seconds since the scene began
    """
    return tuple(Submission(Order(n + 1, f"c{n + 1}", n), at, due) for n, due in enumerate(not_before_s))


class ManyChangesWorld(OrdersWorld):
    """A world that checks that all replicas are up to date at the end.

    :cvar read_at: the controllers at which the operator reads at the end, in turn
    :cvar reader: another client that only reads: at which controller, and when; "" for none
    """

    read_at = "cba"
    reader: tuple[str, float] = ("", 0.0)

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        super().__init__(scene, faults, kinds)
        operators: list[Any] = self.clients
        operators[0].read_at = self.read_at
        at, since_s = self.reader
        if at:
            operators.append(Operator("r", [], at, step="read", next_step_s=self.began_s + since_s))

    def apply(self, label: str) -> None:
        """Play one of `actions`."""
        with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", MAX_LISTED):
            super(OrdersWorld, self).apply(label)

    def _behind(self) -> str:
        newest = self.newest_state.version
        voters = self.newest_state.voters
        if self.refused:
            return f"{self.refused} were refused, but could be committed"
        holders = [
            name
            for name, one in self.controllers.items()
            if one.shard.voter in voters
            and (value := one.shard.accepted_value) is not None
            and value.version >= newest
        ]
        if 2 * len(holders) <= len(voters):
            return f"the newest state is only on the disks of {holders}"
        alive = {name: one.shard for name, one in self.controllers.items() if one.alive}
        behind = [name for name, shard in alive.items() if shard.known.version < newest]
        if behind:
            return f"{' and '.join(behind)} did not catch up"
        owners = [name for name, shard in alive.items() if shard.owns(self.now) is not None]
        return "" if len(owners) == 1 else f"the shard is owned by {owners}"

    def succeeded(self) -> bool:
        """Return whether the run ended as in a run without faults."""
        return super().succeeded() and not self._behind()

    def finish(self) -> None:
        """Check the properties that must hold at the end of the run."""
        super().finish()
        if self.without_faults and (behind := self._behind()):
            self.report_violation(f"behind: {behind}")


class DarkReplica(ManyChangesWorld):
    """Controller c misses three of four changes, and gets a read meanwhile.

    As soon as it is reachable again, it gets a change and a read, and the owner is killed.
    """

    reader = ("c", 0.8)
    submissions = ((*_chain_of_orders("a", 0.0, 0.2, 0.2, 0.2), Submission(Order(5, "c5", 4), "c", 1.32)),)


class UnaskedReplica(ManyChangesWorld):
    """Controller c misses three of four changes, and gets no request when it is reachable again."""

    read_at = "ab"
    submissions = (_chain_of_orders("a", 0.0, 0.2, 0.2, 0.2),)


class WipedReplica(ManyChangesWorld):
    """Controller c loses its disk after three changes, and the owner is killed once c is a voter again."""

    reader = ("c", 0.5)
    submissions = ((*_chain_of_orders("a", 0.0, 0.0, 0.0, 2.0), Submission(Order(5, "c5", 4), "c", 2.4)),)


class KilledOwner(ManyChangesWorld):
    """The owner is down during three of four changes.

    When it comes back with its old disk, another controller owns the shard.
    """

    reader = ("b", 4.1)
    submissions = ((*_chain_of_orders("a", 0.0, 0.2, 0.2, 0.2), Submission(Order(5, "c5", 4), "b", 4.12)),)


_KINDS = ("kill", "power", "wipe", "cut", "oneway", "freeze", "lose", "late")


def _scene(description: str, min_duration_s: float, script: tuple[tuple[float, str], ...]) -> Scene:
    return Scene("worst-days", description, 1.2, min_duration_s=min_duration_s, script=script, kinds=_KINDS)


SCENES: dict[str, SceneSetup] = {
    "hundreds-dark": SceneSetup(
        _scene(
            "a replica that was unreachable gets a change and a read", 2.8, ((0.1, "cut c"), (1.7, "kill b"))
        ),
        DarkReplica,
    ),
    "hundreds-unasked": SceneSetup(
        _scene("a replica that was unreachable catches up without requests", 2.4, ((0.1, "cut c"),)),
        UnaskedReplica,
    ),
    "hundreds-wiped": SceneSetup(
        _scene(
            "a replica loses its disk, and the owner is killed soon after",
            3.4,
            ((0.3, "wipe c"), (1.8, "kill b")),
        ),
        WipedReplica,
    ),
    "hundreds-owner": SceneSetup(
        _scene(
            "an owner comes back with its old disk after another controller took over",
            5.6,
            ((0.1, "down b"), (4.1, "up b")),
        ),
        KilledOwner,
    ),
}


# Deliberate breaks


def _owns_by_stored_token(self: Shard, now: float) -> int | None:
    """Return the fencing token on the controller's own disk, without a lease."""
    value = self.accepted_value
    state = shard_state.body(value) if value is not None else self.body
    return state.fencing_token if state.owner == self.name else None


def _reads_own(self: RegisterReader, reader: str) -> None:
    self.end([reader], self.register.known, "")


def _ignore_heartbeat(self: Replica, version: int, name: str) -> list[Any]:
    return []


def _reference_all_values(self: Acceptor, message: Prepare | Accept, sender: str) -> list[Any]:
    found = _handle(self, message, sender)
    if sender == self.name:
        return found
    return [
        replace(one, message=replace(one.message, value=None))
        if isinstance(one, SendToVoter) and isinstance(one.message, Promise)
        else one
        for one in found
    ]


def _resolve_nothing(self: ValueReferences, sender: str, promise: Promise) -> Promise:
    return promise


_handle = Acceptor.handle


BREAKS: dict[str, Break] = {
    "leads-with-old": deliberate_break(
        "an owner relies on the fencing token on its own disk",
        "hundreds-owner",
        (Shard, "owns", _owns_by_stored_token),
    ),
    "reads-own": deliberate_break(
        "a replica answers reads from the state that it knows",
        "hundreds-dark",
        (RegisterReader, "read", _reads_own),
    ),
    "never-catches-up": deliberate_break(
        "a replica that is behind does not ask for newer states",
        "hundreds-unasked",
        (Replica, "heartbeat_received", _ignore_heartbeat),
    ),
    "named-is-nothing": deliberate_break(
        "a state that a promise references by its ballot counts as none",
        "hundreds-dark",
        (Acceptor, "handle", _reference_all_values),
        (ValueReferences, "resolve", _resolve_nothing),
    ),
}
