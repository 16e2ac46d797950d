"""Groups of controllers without a founder, as all founders were replaced or have lost their disks."""

from __future__ import annotations

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.testkit.explore.controller import SEEDS, Controller
from tests.mesh.control.test_membership import World

CALM_S = 3.0  # within `contact_ms` after the last fault all controllers in contact answer reads
SETTLE_S = 8.0  # for a wiped or new controller to take its place


class Cluster(World):
    """Controllers that are replaced, wiped and restarted together."""

    heartbeat_share = 1.0

    def __init__(self, seed: int, seeds: tuple[str, ...] = SEEDS) -> None:
        super().__init__(random.Random(seed), seeds, spares="")
        self.seeds = seeds
        self.run_without_faults(2.0)

    def replace(self, name: str, successor: str) -> None:
        """Remove a controller for good, and start an empty one under another name in its place."""
        del self.controllers[name]
        seeds = (*self.controllers, successor)
        self.controllers[successor] = Controller(successor, self, False, 1, self.rng, seeds)
        self.run_without_faults(SETTLE_S)

    def wipe(self, name: str) -> None:
        """Restart a controller with an empty disk."""
        controller = self.controllers[name]
        controller.wipe()
        controller.start()
        self.run_without_faults(SETTLE_S)

    def acknowledge(self, writer: Controller, lost: Controller) -> int:
        """Have a revision acknowledged of which one controller hears nothing; return it."""
        revision = shard_state.body(writer.shard.known).revision + 1
        ended: list[RequestEnded] = []
        self.waiting["put"] = ended.append
        order = shard_state.PutConfiguration(b"text", revision, b"digest", revision - 1)
        writer.execute(writer.shard.request_change("put", order, 3.0, self.now))
        for _ in range(50):
            self.now += 0.02
            writer.tick()
            for to, kind, message in [self.in_transit.pop(0) for _ in list(self.in_transit)]:
                if to != lost.name:
                    getattr(self.controllers[to], kind)(*message)
            for controller in self.controllers.values():
                while controller.writes and not ended:
                    controller.complete_write()
            if ended:
                assert ended[0].value is not None
                return revision
        raise AssertionError("the revision was not acknowledged")

    def lose_all_power(self, *wiped: Controller) -> None:
        """Restart all controllers at once, some with empty disks; messages in transit are lost."""
        self.in_transit.clear()
        for controller in wiped:
            controller.wipe()
        for controller in self.controllers.values():
            controller.start()

    def revisions_read(self) -> dict[str, int | None]:
        """Read at each controller after a calm time; return the revisions, None where no read has ended."""
        self.run_without_faults(CALM_S)
        revisions: dict[str, int | None] = dict.fromkeys(self.controllers)
        for name, controller in self.controllers.items():

            def note(end: RequestEnded, name: str = name) -> None:
                revisions[name] = shard_state.body(end.value).revision if end.value is not None else None

            self.waiting[f"read {name}"] = note
            controller.execute(controller.shard.request_read(f"read {name}", self.now))
        self.run_without_faults(1.0)
        return revisions


@pytest.mark.parametrize("are_replaced", [False, True], ids=["wiped", "replaced"])
def test_what_was_acknowledged_is_read_after_a_loss_of_power_in_a_group_without_founders(
    are_replaced: bool,
) -> None:
    """None knew a group at its start, so none ran a round, and the newest state stayed unknown for good."""
    world = Cluster(1)
    for name in "abc":
        world.replace(name, name.upper()) if are_replaced else world.wipe(name)
    writer, voter, lost = world.controllers.values()
    revision = world.acknowledge(writer, lost)
    world.lose_all_power(voter)
    assert world.revisions_read() == dict.fromkeys(world.controllers, revision)


@settings(max_examples=40, deadline=None)
@given(
    st.integers(0, 2**40),
    st.lists(st.tuples(st.booleans(), st.integers(0, 2)), min_size=1, max_size=6),
    st.permutations(range(3)),
)
def test_what_was_acknowledged_is_read_after_any_series_of_replacements_and_a_loss_of_power(
    seed: int, losses: list[tuple[bool, int]], places: list[int]
) -> None:
    world = Cluster(seed)
    for number, (is_replaced, index) in enumerate(losses):
        name = list(world.controllers)[index]
        world.replace(name, f"n{number}") if is_replaced else world.wipe(name)
        assert len(world.controllers) == 3
    writer, voter, lost = (list(world.controllers.values())[place] for place in places)
    revision = world.acknowledge(writer, lost)
    world.lose_all_power(voter)
    assert world.revisions_read() == dict.fromkeys(world.controllers, revision)
