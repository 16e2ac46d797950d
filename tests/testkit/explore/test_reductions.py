"""What the exploration of the mesh leaves out: nothing that can be told apart."""

from __future__ import annotations

import pickle
import random
from typing import Any

import pytest

from orchidferry.testkit.explore import mesh_fingerprint, worst_days
from orchidferry.testkit.explore.controller import ControllerCall
from orchidferry.testkit.explore.mesh import MeshWorld
from orchidferry.testkit.explore.mesh_actors import MessageInFlight
from orchidferry.testkit.explore.state_table import StateTable, state_key

STEPS = 400


def without(world: MeshWorld, at: int) -> MeshWorld:
    """A copy whose message there was never sent."""
    copy: MeshWorld = pickle.loads(pickle.dumps(world))
    del copy.messages[at]
    copy._begin_step()
    return copy


def delivered(world: MeshWorld, at: int) -> MeshWorld:
    """A copy that has taken the message there."""
    copy: MeshWorld = pickle.loads(pickle.dumps(world))
    touched = copy.last_receiver
    copy._deliver(copy.messages.pop(at))
    copy.last_receiver = touched
    copy._begin_step()
    return copy


@pytest.mark.parametrize(
    ("scene", "kinds"),
    [
        ("two-contents", ("kill", "lose", "freeze")),
        ("wiped-replica", ("kill", "late")),
        ("frozen-briefly", ("lose", "cut")),
        ("replaced-twice", ("kill",)),
        ("hundreds-owner", ("power",)),
    ],
)
def test_a_dead_message_changes_nothing_and_stays_dead(
    scene: str, kinds: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(MeshWorld, "_discard_dead_messages", lambda self: None)
    rng = random.Random(scene)
    dead_ever = 0
    for _ in range(3):
        world = worst_days.begin(scene, 1, kinds)
        for _ in range(STEPS):
            if world.over or world.violations:
                break
            dead = [at for at, mail in enumerate(world.messages) if world._is_dead(mail)]
            for at in dead:
                taken = delivered(world, at)
                assert taken.fingerprint() == without(world, at).fingerprint() and not taken.violations
            kept: list[Any] = [world.messages[at] for at in dead]
            dead_ever += len(dead)
            actions = world.actions()
            world.apply(actions[0] if rng.random() < 0.6 else rng.choice(actions))
            assert all(world._is_dead(mail) for mail in world.messages if any(mail is one for one in kept))
    assert dead_ever > 10


def test_the_order_of_messages_counts_on_one_link_alone() -> None:
    world = worst_days.begin("two-contents", 0)
    while len({(mail.to, mail.sender) for mail in world.messages}) < 2:
        world.apply(world.actions()[0])
    before = world.fingerprint()
    world.messages.reverse()
    assert len(world.messages) < 2 or world.fingerprint() == before
    first = world.messages[0]
    world.messages[:0] = [
        MessageInFlight(first.sender, first.to, ControllerCall.RECEIVE, ("x", ["know?", 9]), first.is_reply)
    ]
    ahead = world.fingerprint()
    world.messages[:2] = world.messages[1::-1]
    assert world.fingerprint() != ahead


def test_the_same_ends_are_reached_with_all_that_is_left_out(monkeypatch: pytest.MonkeyPatch) -> None:
    def ends() -> tuple[set[str], int]:
        found: set[str] = set()
        finish = worst_days.isolated.IsolatedWorld.finish

        def note(self: Any) -> None:
            found.add(
                repr(
                    (self.acknowledged_by_base, [(one.name, one.outcome) for one in self.operators.values()])
                )
            )
            finish(self)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(worst_days.isolated.IsolatedWorld, "finish", note)
            walked = worst_days.search("isolated-briefly", 1, ("lose", "kill"), workers=1)
        assert walked.exhausted and not walked.violations
        return found, walked.states

    reduced, fewer = ends()
    monkeypatch.setattr(MeshWorld, "_discard_dead_messages", lambda self: None)
    monkeypatch.setattr(mesh_fingerprint, "by_link", lambda messages: messages)
    monkeypatch.setattr(mesh_fingerprint, "_without_finished_round", lambda part: part)
    whole, more = ends()
    assert reduced == whole and fewer < more


def test_a_state_is_new_once_to_all_that_share_the_table() -> None:
    seen = StateTable(1 << 10)
    prints = [state_key(b"%d" % n) for n in range(300)]
    assert all(seen.add(one) for one in prints) and not any(seen.add(one) for one in prints)
    assert sorted(seen.keys()) == sorted(prints) and state_key(b"a") != state_key(b"b")
