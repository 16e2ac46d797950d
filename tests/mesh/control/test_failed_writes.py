"""A group of controllers whose disks refuse writes for a while; what it has acknowledged can be read then."""

from __future__ import annotations

import random

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.testkit.explore.controller import Controller
from tests.mesh.control.test_membership import World

READABLE_S = 3.0  # within `contact_ms` after the last fault all controllers in contact answer reads
REVISION = 1


class Disks(World):
    """Controllers, of which one at a time has a full disk."""

    heartbeat_share = 1.0

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng, spares="")
        self.run_without_faults(2.0)

    def step(self, fault_rate: float) -> None:
        if self.rng.random() < 0.03:
            full = self.rng.choice([*self.controllers.values(), None])
            for controller in self.controllers.values():
                controller.refuses_writes = controller is full
        super().step(fault_rate)

    def kill(self, wipe: bool) -> None:
        """Kill nobody: a full disk is the loss that the group tolerates."""

    def end_faults(self) -> None:
        """Give all disks room again; messages in transit are lost."""
        self.in_transit.clear()
        for controller in self.controllers.values():
            controller.refuses_writes = False

    def read_everywhere(self) -> dict[str, RequestEnded]:
        """Read at each controller again and again for `READABLE_S`; return the last outcome of each."""
        ended: dict[str, RequestEnded] = {}
        until_s = self.now + READABLE_S
        while self.now < until_s:
            for name, controller in self.controllers.items():
                request = f"read {self.number()}"

                def note(end: RequestEnded, name: str = name) -> None:
                    ended[name] = end

                self.waiting[request] = note
                controller.execute(controller.shard.request_read(request, self.now))
            self.run_without_faults(1.0)
        return ended


def put_once(world: Disks, writer: Controller, full: Controller) -> None:
    """Have a controller acknowledge a configuration that the disk of another one refuses."""
    acknowledged: list[RequestEnded] = []
    world.waiting["put"] = acknowledged.append
    order = shard_state.PutConfiguration(b"text", REVISION, b"digest", 0)
    writer.execute(writer.shard.request_change("put", order, 3.0, world.now))
    for _ in range(20):
        world.now += 0.02
        writer.tick()
        for to, kind, message in [world.in_transit.pop(0) for _ in list(world.in_transit)]:
            getattr(world.controllers[to], kind)(*message)
        accepted = full.shard.accepted_value
        full.refuses_writes = accepted is not None and shard_state.body(accepted).revision == REVISION
        for controller in world.controllers.values():
            while controller.writes:
                controller.complete_write()
            if acknowledged:
                assert acknowledged[0].value is not None
                return
    raise AssertionError("the configuration was not acknowledged")


@pytest.mark.parametrize("seed", (0, 1))
def test_a_configuration_is_found_after_a_disk_refused_the_vote_for_it_and_its_writer_was_lost(
    seed: int,
) -> None:
    """The vote was never written again, so no read ended, and no proxy heard of the revision."""
    world = Disks(random.Random(seed))
    owner = next(iter(world.controllers.values())).shard.body.owner
    writer, full = [one for one in world.controllers.values() if one.name != owner][:: 1 if seed % 2 else -1]
    put_once(world, writer, full)
    del world.controllers[writer.name]
    world.end_faults()
    ended = world.read_everywhere()
    revisions = {name: end.value and shard_state.body(end.value).revision for name, end in ended.items()}
    assert revisions == dict.fromkeys(world.controllers, REVISION)
    for controller in world.controllers.values():  # proxies hear of it from each
        assert controller.shard.body.revision == REVISION


@settings(max_examples=60, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((0.0, 0.5, 1.0)))
@example(830, 1.0)  # both proposers waited for seconds, each for a round of the other that was long over
@example(1624, 1.0)
def test_what_was_acknowledged_beside_full_disks_is_read_after_the_loss_of_any_controller(
    seed: int, fault_rate: float
) -> None:
    """Writes are refused in any order of events; then one controller is gone for good."""
    world = Disks(random.Random(seed))
    for _ in range(500):
        world.step(fault_rate)
    world.end_faults()
    del world.controllers[world.rng.choice(list(world.controllers))]
    newest = world.newest_acknowledged
    ended = world.read_everywhere()
    for name, controller in world.controllers.items():
        value = ended[name].value
        assert value is not None, f"{name}: {ended[name]}"
        assert shard_state.body(value).revision >= newest
        assert controller.shard.body.revision >= newest
