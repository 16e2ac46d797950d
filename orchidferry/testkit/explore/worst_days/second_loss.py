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

STOP_S = 1.0  # for which a controller that was told to end stays at least
GRACE_S = 5.0  # for which it stays at most
ANSWER_AT_ONE = "told-one"  # what becomes of a run: only the controller that leaves learns its answer


class LossWorld(MeshWorld):
    """A world whose controllers may be told to end (`leave`).

    After a run without a fault but those of the script the group is complete: all its voters are alive and
    grant, and a majority holds the key.
    """

    all_voters_hold = False  # whether every voter has to hold the key, not only a majority

    def __init__(self, scene: Scene, faults: int, kinds: tuple[str, ...]) -> None:
        self.faults_allowed = faults
        self.ending_since: dict[str, float] = {}
        super().__init__(scene, faults, kinds)

    def key_granted(self, one: KeyRequest) -> None:
        """Take note that a key was granted."""
        super().key_granted(one)
        if one.run_outcome == ANSWER_AT_ONE:
            self.send(one.node, "a", ControllerCall.RECORD_ANSWER, KEY, one.holder, one.holder)

    def _apply_fault(self, what: str, about: list[str]) -> None:
        if what != "leave":
            return super()._apply_fault(what, about)
        self.log(f"{about[0]} is told to end")
        self.ending_since[about[0]] = self.now
        self.controllers[about[0]].peers.stopping = True
        self.send_heartbeats(about[0])
        return None

    def _advance_time(self) -> None:
        super()._advance_time()
        for name, since in list(self.ending_since.items()):
            controller = self.controllers[name]
            ending_for_s = self.now - since
            stays = ending_for_s < STOP_S or (ending_for_s < GRACE_S and controller.shard.must_stay(self.now))
            if controller.alive and not stays:
                del self.ending_since[name]
                self.log(f"{name} ends")
                self.stop_process(name, math.inf)

    def _voters(self) -> list[Shard]:
        return [self.controllers[voter.name].shard for voter in self.newest_state.voters]

    def _missing(self) -> str:
        """Return what the group lacks to be complete; "" for nothing."""
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
            len(self.newest_state.voters) if self.all_voters_hold else len(self.newest_state.voters) // 2 + 1
        ):
            return f"{' and '.join(holders) or 'nobody'} alone hold the key"
        if any(one.run_outcome == ANSWER_AT_ONE for one in self.key_requests):
            records = [shard.operation_keys.records.get(KEY) for shard in self._voters()]
            return (
                ""
                if any(record is not None and record.answer for record in records)
                else "the answer is gone"
            )
        return ""

    def succeeded(self) -> bool:
        """Whether this run shows what the scene is about."""
        return super().succeeded() and not self._missing()

    def finish(self) -> None:
        """Let all that is under way come to its end, and judge it."""
        missing = self._missing()
        if missing and self.faults_left == self.faults_allowed:
            self.report_violation(f"whole: {missing}")

    def fingerprint(self) -> bytes:
        """A digest of the state: equal ones have the same futures."""
        return super().fingerprint() + repr(sorted(self.ending_since.items())).encode()


class ReturnWorld(LossWorld):
    """A world in which a controller that was away is handed all that it missed."""

    all_voters_hold = True


class NarrowWorld(LossWorld):
    """A world that explores two choices of what a process takes: six controllers send too much for more."""

    max_choices = 2

    def _begin_step(self) -> None:
        super()._begin_step()
        self.messages = by_link(self.messages)  # so that equal fingerprints have the same choices

    def next_items(self) -> tuple[str, list[str]]:
        """What may come next."""
        receiver, items = super().next_items()
        return receiver, items[: self.max_choices]


class StraightWorld(NarrowWorld):
    """A world that explores one order of what comes to a process, with faults at every moment of it."""

    max_choices = 1


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
    """Return a scene in which a key is claimed at the start, and again after a while.

    :param again_s: when it is claimed again
    :param how: what becomes of the two runs
    """
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
        how=(ANSWER_AT_ONE, "broke"),
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
        (GroupView, "leaves", _never_leaves),
    ),
    "hints-dropped": deliberate_break("nothing is handed over", "returned", (Hints, "next_page", _no_page)),
    "leaver-not-asked": deliberate_break(
        "newcomers learn from those that stay alone",
        "only-answer",
        (Standing, "missing_sources", _asks_voters_but_a),
        (RepairingReplica, "_leaving_sources", _no_leaving_sources),
    ),
}
