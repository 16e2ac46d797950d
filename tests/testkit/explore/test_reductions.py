"""The reductions of the mesh's exploration, which must lose no distinguishable run."""

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


def without(world: MeshWorld, position: int) -> MeshWorld:
    """Return a copy of a world from which a message is removed."""
    copy: MeshWorld = pickle.loads(pickle.dumps(world))
    del copy.messages[position]
    copy._begin_step()
    return copy


def delivered(world: MeshWorld, position: int) -> MeshWorld:
    """Return a copy of a world in which a message is delivered."""
    copy: MeshWorld = pickle.loads(pickle.dumps(world))
    last_receiver = copy.last_receiver
    copy._deliver(copy.messages.pop(position))
    copy.last_receiver = last_receiver
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
def test_dead_message_changes_nothing_and_stays_dead(
    scene: str, kinds: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(MeshWorld, "_discard_dead_messages", lambda self: None)
    rng = random.Random(scene)
    dead_total = 0
    for _ in range(3):
        world = worst_days.begin(scene, 1, kinds)
        for _ in range(STEPS):
            if world.over or world.violations:
                break
            dead = [position for position, message in enumerate(world.messages) if world._is_dead(message)]
            for position in dead:
                taken = delivered(world, position)
                assert taken.fingerprint() == without(world, position).fingerprint() and not taken.violations
            kept: list[Any] = [world.messages[position] for position in dead]
            dead_total += len(dead)
            actions = world.actions()
            world.apply(actions[0] if rng.random() < 0.6 else rng.choice(actions))
            assert all(
                world._is_dead(message) for message in world.messages if any(message is one for one in kept)
            )
    assert dead_total > 10


def test_message_order_matters_only_on_one_link() -> None:
    world = worst_days.begin("two-contents", 0)
    while len({(message.to, message.sender) for message in world.messages}) < 2:
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


def test_same_outcomes_are_reached_without_reductions(monkeypatch: pytest.MonkeyPatch) -> None:
    def outcomes_and_states() -> tuple[set[str], int]:
        found: set[str] = set()
        finish = worst_days.isolated.IsolatedWorld.finish

        def record_outcome(self: Any) -> None:
            found.add(
                repr(
                    (self.acknowledged_by_base, [(one.name, one.outcome) for one in self.operators.values()])
                )
            )
            finish(self)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(worst_days.isolated.IsolatedWorld, "finish", record_outcome)
            result = worst_days.search("isolated-briefly", 1, ("lose", "kill"), workers=1)
        assert result.exhausted and not result.violations
        return found, result.states

    reduced, fewer = outcomes_and_states()
    monkeypatch.setattr(MeshWorld, "_discard_dead_messages", lambda self: None)
    monkeypatch.setattr(mesh_fingerprint, "by_link", lambda messages: messages)
    monkeypatch.setattr(mesh_fingerprint, "_without_finished_round", lambda part: part)
    unreduced, more = outcomes_and_states()
    assert reduced == unreduced and fewer < more


def test_state_is_new_only_once_in_the_table() -> None:
    seen = StateTable(1 << 10)
    keys = [state_key(b"%d" % n) for n in range(300)]
    assert all(seen.add(one) for one in keys) and not any(seen.add(one) for one in keys)
    assert sorted(seen.keys()) == sorted(keys) and state_key(b"a") != state_key(b"b")
