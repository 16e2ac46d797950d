"""A second loss right after a repair or a replacement, and members that leave."""

from __future__ import annotations

import math
from typing import Any

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.group_changes import GroupView
from orchidferry.mesh.control.hinted_handoff import Hints
from orchidferry.mesh.control.membership import Standing
from orchidferry.mesh.control.operation_keys import UNKNOWN_HOLDER
from orchidferry.mesh.control.repair import RepairingReplica
from orchidferry.mesh.control.shard import Shard
from orchidferry.testkit.explore.controller import ControllerCall
from orchidferry.testkit.explore.mesh import KINDS, Break, MeshWorld, Scene
from orchidferry.testkit.explore.mesh_actors import KEY, KeyRequest
from orchidferry.testkit.explore.mesh_breaks import deliberate_break
from orchidferry.testkit.explore.mesh_fingerprint import by_link
from orchidferry.testkit.explore.worst_days.play import Play

# a controller that was told to end stays so long at least, and at most
STOP_S = 1.0
GRACE_S = 5.0
TOLD_ONE = "told-one"  # of a run's answer: the controller that leaves is the only one to hear it


class LossWorld(MeshWorld):
    """Controllers may be told to end (`leave`). After a day without a fault of its own the group is whole:
    all its voters live and grant, and a majority holds the key.
    """

    everybody = False  # every voter is to hold the key, not only a majority

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        self.allowed = faults
        self.leaving: dict[str, float] = {}
        super().__init__(scene, faults, kinds)

    def key_granted(self, one: KeyRequest) -> None:
        super().key_granted(one)
        if one.how == TOLD_ONE:
            self.send(one.node, "a", ControllerCall.RECORD_ANSWER, KEY, one.holder, one.holder)

    def _apply_fault(self, what: str, about: list[str]) -> None:
        if what != "leave":
            return super()._apply_fault(what, about)
        self.log(f"{about[0]} is told to end")
        self.leaving[about[0]] = self.now
        self.controllers[about[0]].peers.stopping = True
        self.send_heartbeats(about[0])

    def _advance_time(self) -> None:
        super()._advance_time()
        for name, since in list(self.leaving.items()):
            controller = self.controllers[name]
            gone_s = self.now - since
            stays = gone_s < STOP_S or (gone_s < GRACE_S and controller.shard.must_stay(self.now))
            if controller.alive and not stays:
                del self.leaving[name]
                self.log(f"{name} ends")
                self.stop_process(name, math.inf)

    def _voters(self) -> list[Shard]:
        return [self.controllers[voter.name].shard for voter in self.newest_state.voters]

    def _lacks(self) -> str:
        """What the group lacks of being whole; "" for nothing."""
        if not self.granted_attempts:
            return ""
        for voter in self.newest_state.voters:
            controller = self.controllers[voter.name]
            if not controller.alive or controller.shard.voter != voter:
                return f"{voter.name} is a voter and gone"
            if not controller.shard.standing.caught_up:
                return f"{voter.name} grants nothing"
        holders = [
            voter.name
            for voter, shard in zip(self.newest_state.voters, self._voters(), strict=True)
            if (record := shard.operation_keys.records.get(KEY)) is not None
            and record.holder in (self.granted_attempts[0], UNKNOWN_HOLDER)
        ]
        if len(holders) < (
            len(self.newest_state.voters) if self.everybody else len(self.newest_state.voters) // 2 + 1
        ):
            return f"{' and '.join(holders) or 'nobody'} alone hold the key"
        if any(one.how == TOLD_ONE for one in self.key_requests):
            records = [shard.operation_keys.records.get(KEY) for shard in self._voters()]
            return (
                ""
                if any(record is not None and record.answer for record in records)
                else "the answer is gone"
            )
        return ""

    def succeeded(self) -> bool:
        return super().succeeded() and not self._lacks()

    def finish(self) -> None:
        lacks = self._lacks()
        if lacks and self.faults_left == self.allowed:
            self.report_violation(f"whole: {lacks}")

    def fingerprint(self) -> bytes:
        return super().fingerprint() + repr(sorted(self.leaving.items())).encode()


class ReturnWorld(LossWorld):
    """Whoever was away has all that it missed handed over."""

    everybody = True


class NarrowWorld(LossWorld):
    """Of all that may come first to a process, two are walked: six controllers send too much for more."""

    orders = 2

    def _begin_step(self) -> None:
        super()._begin_step()
        self.messages = by_link(self.messages)  # so that equal prints have the same two

    def next_items(self) -> tuple[str, list[str]]:
        half, found = super().next_items()
        return half, found[: self.orders]


class StraightWorld(NarrowWorld):
    """One order of all that comes to a process; with faults at every moment of that."""

    orders = 1


def _scene(
    about: str,
    again_s: float,
    *script: tuple[float, str],
    how: tuple[str, str] = ("broke", "broke"),
    fault_duration_s: float = 0.3,
    spare_controllers: int = 1,
    group_size: int = 3,
    world: type[MeshWorld] = LossWorld,
) -> Play:
    """A key is tried at the start, and again after a while."""
    tries = (("m", 0.0, how[0]), ("n", again_s, how[1]))
    scene = Scene(
        "worst-days",
        about,
        fault_duration_s,
        key_requests=tries,
        script=script,
        kinds=KINDS,
        spare_controllers=spare_controllers,
        group_size=group_size,
    )
    return Play(scene, world)


SCENES: dict[str, Play] = {
    "replaced-wiped": _scene(
        "one of two that hold a key dies and is replaced; the other one is wiped right after",
        7.0,
        (0.0, "cut m c"),
        (0.3, "down b"),
        (4.0, "wipe a"),
    ),
    "replaced-twice": _scene(
        "two replacements in a row, each followed by a wipe",
        14.0,
        (0.0, "cut m c"),
        (0.3, "down b"),
        (4.0, "wipe a"),
        (8.0, "down c"),
        (11.6, "wipe d"),
        spare_controllers=2,
    ),
    "only-copy": _scene(
        "one of two that hold a key leaves as planned; the other is wiped catch_up_s after the newcomer came",
        7.0,
        (0.0, "cut m c"),
        (0.1, "down d"),
        (0.3, "leave a"),
        (0.3, "up d"),
        (4.3, "wipe b"),
    ),
    "only-answer": _scene(
        "the one that leaves is the only one that heard the answer of a run",
        7.0,
        (0.3, "leave a"),
        (4.3, "wipe b"),
        how=(TOLD_ONE, "broke"),
    ),
    "returned": _scene(
        "one is cut off while a key is claimed and comes back; another one is wiped catch_up_s later",
        8.0,
        (0.0, "cut c"),
        (5.8, "wipe a"),
        fault_duration_s=1.8,
        spare_controllers=0,
        world=ReturnWorld,
    ),
    "two-wiped": _scene(
        "five: one of three that hold a key is replaced, the two others are wiped at once right after",
        7.0,
        (0.0, "cut m d"),
        (0.0, "cut m e"),
        (0.3, "down c"),
        (4.0, "wipe a"),
        (4.0, "wipe b"),
        group_size=5,
        world=NarrowWorld,
    ),
    "two-wiped-straight": _scene(
        "the same in one order of all that comes, which bears a walk with faults",
        7.0,
        (0.0, "cut m d"),
        (0.0, "cut m e"),
        (0.3, "down c"),
        (4.0, "wipe a"),
        (4.0, "wipe b"),
        group_size=5,
        world=StraightWorld,
    ),
}


# Deliberate breaks


def _counts_at_once(self: RepairingReplica, value: Value) -> None:
    _group_changed(self, value)
    if self.voter in value.voters:
        self.standing.caught_up = True


def _one_source(voters: int) -> int:
    return 1


def _never_stays(self: RepairingReplica, now: float) -> bool:
    return False


def _no_page(self: Hints, *args: Any) -> None:
    return None


def _not_the_leaver(self: RepairingReplica, now: float) -> list[str]:
    return []


def _without_leavers(self: Standing, voter: Voter, known: Value) -> list[str]:
    return [name for name in _missing_sources(self, voter, known) if name != "a"]


def _dead_only(self: GroupView, name: str) -> bool:
    return False


_group_changed = RepairingReplica._group_changed
_missing_sources = Standing.missing_sources


BREAKS: dict[str, Break] = {
    "votes-before-learning": deliberate_break(
        "a newcomer counts as caught up when it is admitted",
        "replaced-wiped",
        (RepairingReplica, "_group_changed", _counts_at_once),
        (RepairingReplica, "ready", True),
    ),
    "one-source-replaced": deliberate_break(
        "one other is enough to learn from", "replaced-wiped", (shard_state, "sources_needed", _one_source)
    ),
    "one-source-of-five": deliberate_break(
        "one other of five is enough to learn from", "two-wiped", (shard_state, "sources_needed", _one_source)
    ),
    "leaves-at-once": deliberate_break(
        "who is told to end does not wait, and nobody takes its place while it lives",
        "only-copy",
        (RepairingReplica, "must_stay", _never_stays),
        (GroupView, "leaves", _dead_only),
    ),
    "hints-dropped": deliberate_break("nothing is handed over", "returned", (Hints, "next_page", _no_page)),
    "leaver-not-asked": deliberate_break(
        "newcomers learn from those that stay alone",
        "only-answer",
        (Standing, "missing_sources", _without_leavers),
        (RepairingReplica, "_leaving_sources", _not_the_leaver),
    ),
}
