"""A second loss right after a repair or a replacement of a controller, and controllers that leave."""

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
from orchidferry.testkit.explore.worst_days.scene_setup import SceneSetup

STOP_S = 1.0  # minimum time that a stopping controller stays
GRACE_S = 5.0  # maximum time that a stopping controller stays
ANSWER_AT_ONE = "told-one"  # a run's outcome: only the controller that leaves gets its answer


class LossWorld(MeshWorld):
    """A world in which the script may stop controllers gracefully (`leave`).

    It checks that the group is complete after a run without faults besides those of the script: all voters
    are alive and grant keys, and a majority holds the key's record.

    :cvar all_voters_hold: whether every voter must hold the key's record, not only a majority
    :ivar faults_allowed: how many faults may happen in the run
    :ivar stopping_since: when the shutdown of each stopping controller began
    """

    all_voters_hold = False

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        self.faults_allowed = faults
        self.stopping_since: dict[str, float] = {}
        super().__init__(scene, faults, kinds)

    def key_granted(self, request: KeyRequest) -> None:
        """Record that an attempt was granted the key; for `ANSWER_AT_ONE`, answer only controller a."""
        super().key_granted(request)
        if request.run_outcome == ANSWER_AT_ONE:
            self.send(request.node, "a", ControllerCall.RECORD_ANSWER, KEY, request.holder, request.holder)

    def _apply_fault(self, kind: str, target: list[str]) -> None:
        if kind != "leave":
            return super()._apply_fault(kind, target)
        self.log(f"{target[0]} is told to stop")
        self.stopping_since[target[0]] = self.now
        self.controllers[target[0]].peers.stopping = True
        self.send_heartbeats(target[0])
        return None

    def _advance_time(self) -> None:
        super()._advance_time()
        for name, since in list(self.stopping_since.items()):
            controller = self.controllers[name]
            stopping_for_s = self.now - since
            stays = stopping_for_s < STOP_S or (
                stopping_for_s < GRACE_S and controller.shard.must_stay(self.now)
            )
            if controller.alive and not stays:
                del self.stopping_since[name]
                self.log(f"{name} has stopped")
                self.stop_process(name, math.inf)

    def _voters(self) -> list[Shard]:
        return [self.controllers[voter.name].shard for voter in self.newest_state.voters]

    def _incompleteness(self) -> str:
        """Return why the group is not complete; "" if it is."""
        if not self.granted_attempts:
            return ""
        for voter in self.newest_state.voters:
            controller = self.controllers[voter.name]
            if not controller.alive or controller.shard.voter != voter:
                return f"{voter.name} is a voter, but is not running with its disk"
            if not controller.shard.standing.caught_up:
                return f"{voter.name} has not caught up and grants no keys"
        holders = [
            voter.name
            for voter, shard in zip(self.newest_state.voters, self._voters(), strict=True)
            if (record := shard.operation_keys.records.get(KEY)) is not None
            and record.holder in (self.granted_attempts[0], UNKNOWN_HOLDER)
        ]
        if len(holders) < (
            len(self.newest_state.voters) if self.all_voters_hold else len(self.newest_state.voters) // 2 + 1
        ):
            return f"only {' and '.join(holders) or 'no voters'} hold the key's record"
        if any(one.run_outcome == ANSWER_AT_ONE for one in self.key_requests):
            records = [shard.operation_keys.records.get(KEY) for shard in self._voters()]
            return (
                ""
                if any(record is not None and record.answer for record in records)
                else "the answer is lost"
            )
        return ""

    def succeeded(self) -> bool:
        """Return whether the run ended as in a run without faults."""
        return super().succeeded() and not self._incompleteness()

    def finish(self) -> None:
        """Check the properties that must hold at the end of the run."""
        reason = self._incompleteness()
        if reason and self.faults_left == self.faults_allowed:
            self.report_violation(f"whole: {reason}")

    def fingerprint(self) -> bytes:
        """Return a digest of the state; worlds with equal digests have the same futures."""
        return super().fingerprint() + repr(sorted(self.stopping_since.items())).encode()


class ReturnWorld(LossWorld):
    """A world in which a controller that was unreachable must get all records that it missed."""

    all_voters_hold = True


class NarrowWorld(LossWorld):
    """A world that explores only two choices per step: six controllers send too many messages for more."""

    max_choices = 2

    def _begin_step(self) -> None:
        super()._begin_step()
        self.messages = by_link(self.messages)  # so that worlds with equal fingerprints have the same choices

    def next_items(self) -> tuple[str, list[str]]:
        """Return the next process with items to handle, and the first `max_choices` of them."""
        receiver, items = super().next_items()
        return receiver, items[: self.max_choices]


class StraightWorld(NarrowWorld):
    """A world that explores one order of the items of each process, with faults at every step."""

    max_choices = 1


def _scene(
    description: str,
    again_s: float,
    *script: tuple[float, str],
    run_outcomes: tuple[str, str] = ("broke", "broke"),
    fault_duration_s: float = 0.3,
    spare_controllers: int = 1,
    group_size: int = 3,
    world: type[MeshWorld] = LossWorld,
) -> SceneSetup:
    """Return a scene in which a key is claimed at the start, and again later.

    :param again_s: the time of the second claim, in seconds
    :param script: the scripted events with their times in seconds
    :param run_outcomes: the outcomes of the two runs
    """
    key_requests = (("m", 0.0, run_outcomes[0]), ("n", again_s, run_outcomes[1]))
    scene = Scene(
        "worst-days",
        description,
        fault_duration_s,
        key_requests=key_requests,
        script=script,
        kinds=KINDS,
        spare_controllers=spare_controllers,
        group_size=group_size,
    )
    return SceneSetup(scene, world)


SCENES: dict[str, SceneSetup] = {
    "replaced-wiped": _scene(
        "one of two holders of a key dies and is replaced; the other one is wiped right after",
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
        "one of two holders of a key leaves as planned; the other is wiped catch_up_s after it is replaced",
        7.0,
        (0.0, "cut m c"),
        (0.1, "down d"),
        (0.3, "leave a"),
        (0.3, "up d"),
        (4.3, "wipe b"),
    ),
    "only-answer": _scene(
        "the controller that leaves is the only one that got the answer of a run",
        7.0,
        (0.3, "leave a"),
        (4.3, "wipe b"),
        run_outcomes=(ANSWER_AT_ONE, "broke"),
    ),
    "returned": _scene(
        "a controller is cut off while a key is claimed, and returns; another one is wiped catch_up_s later",
        8.0,
        (0.0, "cut c"),
        (5.8, "wipe a"),
        fault_duration_s=1.8,
        spare_controllers=0,
        world=ReturnWorld,
    ),
    "two-wiped": _scene(
        "of five, one of three holders of a key is replaced, and the others are wiped at once right after",
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
        "the same with one order of messages, few enough runs to explore with faults",
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


def _no_leaving_sources(self: RepairingReplica, now: float) -> list[str]:
    return []


def _asks_voters_but_a(self: Standing, voter: Voter, known: Value) -> list[str]:
    return [name for name in _missing_sources(self, voter, known) if name != "a"]


def _never_leaves(self: GroupView, name: str) -> bool:
    return False


_group_changed = RepairingReplica._group_changed
_missing_sources = Standing.missing_sources


BREAKS: dict[str, Break] = {
    "votes-before-learning": deliberate_break(
        "a new voter counts as caught up when it is admitted",
        "replaced-wiped",
        (RepairingReplica, "_group_changed", _counts_at_once),
        (RepairingReplica, "ready", True),
    ),
    "one-source-replaced": deliberate_break(
        "one source is enough to catch up", "replaced-wiped", (shard_state, "sources_needed", _one_source)
    ),
    "one-source-of-five": deliberate_break(
        "one source of five is enough to catch up", "two-wiped", (shard_state, "sources_needed", _one_source)
    ),
    "leaves-at-once": deliberate_break(
        "a stopping controller does not wait, and is not replaced while it runs",
        "only-copy",
        (RepairingReplica, "must_stay", _never_stays),
        (GroupView, "leaves", _never_leaves),
    ),
    "hints-dropped": deliberate_break("no hints are handed over", "returned", (Hints, "next_page", _no_page)),
    "leaver-not-asked": deliberate_break(
        "new voters catch up only from controllers that stay",
        "only-answer",
        (Standing, "missing_sources", _asks_voters_but_a),
        (RepairingReplica, "_leaving_sources", _no_leaving_sources),
    ),
}
