"""A group of controllers in random orders of events, with as many simultaneous losses as it tolerates.

Controllers are also stopped, and orders are resent.

Disks are lost only within the tolerance: a voter counts as lost until it is alive and has caught up, and the
voters that are not lost remain a majority of every group that may be in force.
"""

from __future__ import annotations

import contextlib
import random
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any
from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.balancing.register import Value, Voter
from orchidferry.mesh.control import shard_state
from orchidferry.mesh.control.actions import RequestEnded
from orchidferry.mesh.control.order_history import OrderHistory, Verdict
from orchidferry.mesh.control.repair import RepairingReplica
from orchidferry.testkit.explore.controller import Controller
from tests.mesh.control.test_membership import World

STOP_S = 1.0  # minimum time for which a stopping controller keeps running
GRACE_S = 5.0  # maximum time for which a stopping controller keeps running
SKIPPED_KILLS = 0.7  # share of the kills and disk losses that are skipped, so that groups can recover
BACKLOG = 40  # maximum number of messages in transit
MAX_LISTED_ORDERS = 2  # in a state; low, so that order histories are needed
REFUSALS = (shard_state.OTHER_VERSION, shard_state.OLD_VERSION)


@dataclass(frozen=True)
class Size:
    """The size of a group and of its run.

    :param seeds: names of the founders, one letter each.
    :param spares: names of the other controllers, one letter each.
    :param steps: number of steps of a run.
    :param max_step_s: the longest time between two ticks of any controllers, chosen so that each controller
        ticks about as often in groups of all sizes.
    """

    seeds: str
    spares: str
    steps: int
    max_step_s: float

    @property
    def losses(self) -> int:
        """Number of voters that may be lost at the same time."""
        return len(self.seeds) // 2


THREE = Size("abc", "d", 2_500, 0.15)
FIVE = Size("abcde", "fg", 8_000, 0.086)


class LossWorld(World):
    """`World` with stopping controllers, simultaneous losses, and resent orders."""

    heartbeat_share = 0.6

    def __init__(self, rng: random.Random, size: Size) -> None:
        super().__init__(rng, tuple(size.seeds), size.spares)
        self.size = size
        self.max_step_s = size.max_step_s
        self.leaving: dict[str, float] = {}  # time at which each controller was told to stop
        self.orders: list[shard_state.PutConfiguration] = []
        self.acknowledged: set[shard_state.PutConfiguration] = set()
        self.refused: set[shard_state.PutConfiguration] = set()
        self.counts |= {"wiped": 0, "wiped together": 0, "left": 0, "resent": 0, "confirmed": 0}

    # Losses

    def groups(self) -> Iterator[tuple[Voter, ...]]:
        """Yield the voters of every group that may be in force, former voters included."""
        controllers = self.controllers.values()
        newest = max(k.shard.known.version for k in controllers)
        states: list[Value] = [k.shard.known for k in controllers]
        states += [value for k in controllers if (value := k.shard.accepted_value) is not None]
        for state in states:
            if state.version >= newest:
                yield state.voters
                if state.former_voters:
                    yield state.former_voters

    def remembers(self, voter: Voter) -> bool:
        """Whether a voter is alive, has caught up, and has its vote on disk."""
        controller = self.controllers[voter.name]
        shard = controller.shard
        return (
            controller.alive
            and shard.voter == voter
            and shard.standing.caught_up
            and shard.register.vote_on_disk
        )

    def tolerated(self, lost: list[Controller]) -> bool:
        """Whether each group keeps a majority of voters that are not lost if these controllers are lost."""
        names = {controller.name for controller in lost}
        return all(
            2 * sum(v.name not in names and self.remembers(v) for v in group) > len(group)
            for group in self.groups()
        )

    def kill(self, wipe: bool) -> None:
        """Kill up to as many controllers at once as may be lost; disks are lost only within the tolerance.

        Most calls do nothing, so that groups can recover in between.

        :param wipe: whether the controllers also lose their disks, if that is tolerated.
        """
        if self.rng.random() < SKIPPED_KILLS:
            return
        count = self.rng.randint(1, self.size.losses)
        alive = [controller for controller in self.controllers.values() if controller.alive]
        chosen = self.rng.sample(alive, min(count, len(alive)))
        wipe = wipe and self.tolerated(chosen)
        for controller in chosen:
            self.end(controller)
            if wipe:
                controller.wipe()
                controller.start()  # otherwise checks would see its state from before the loss
                controller.alive = False
                self.counts["wiped"] += 1
        self.counts["wiped together"] += wipe and len(chosen) > 1

    def end(self, controller: Controller) -> None:
        """End a controller's process."""
        controller.alive = False
        self.leaving.pop(controller.name, None)

    # Stopping controllers

    def leave(self) -> None:
        """Tell a random controller to stop."""
        controller = self.random_controller()
        if controller is not None and controller.name not in self.leaving:
            self.leaving[controller.name] = self.now
            controller.peers.stopping = True
            controller.peers.fit = False

    def tick(self, controller: Controller) -> None:
        super().tick(controller)
        since = self.leaving.get(controller.name)
        if since is not None:
            controller.peers.fit = False
            stopping_s = self.now - since
            if stopping_s >= STOP_S and (stopping_s >= GRACE_S or not controller.shard.must_stay(self.now)):
                self.end(controller)
                self.counts["left"] += 1

    # Orders

    def put(self) -> None:
        """Request a new order, or resend an older one."""
        controller = self.random_controller()
        if controller is None:
            return
        if self.orders and self.rng.random() < 0.6:
            order = self.rng.choice(self.orders)
            self.counts["resent"] += 1
        else:
            base = shard_state.body(controller.shard.known).revision
            digest = str(self.number()).encode()
            order = shard_state.PutConfiguration(digest, base + self.rng.randrange(1, 3), digest, base)
            self.orders.append(order)

        def on_ended(end: RequestEnded) -> None:
            self.check_outcome(order, end)

        id = str(self.number())
        self.waiting[id] = on_ended
        controller.execute(controller.shard.request_change(id, order, 3.0, self.now))

    def check_outcome(self, order: shard_state.PutConfiguration, end: RequestEnded) -> None:
        """Check that acknowledgement or refusal of an order is final, and that each base has one order."""
        if end.why in REFUSALS:
            self.refused.add(order)
        elif end.value is not None and not end.why:
            assert self.digest_by_base.setdefault(order.on, order.digest) == order.digest
            self.newest_acknowledged = max(self.newest_acknowledged, order.revision)
            self.counts["confirmed" if order in self.acknowledged else "put"] += 1
            self.acknowledged.add(order)
        assert not self.acknowledged & self.refused, order

    def step(self, fault_rate: float) -> None:
        if len(self.in_transit) > BACKLOG:  # otherwise most messages would be outdated when they arrive
            return self.deliver(fault_rate)
        if self.rng.random() < 0.001 * fault_rate:
            return self.leave()
        if self.rng.random() < 0.004:  # more operations than `World.step` chooses by itself
            return self.rng.choice((self.put, self.read, self.claim))()
        super().step(fault_rate)
        return None


def run_world(seed: int, size: Size, fault_rate: float) -> LossWorld:
    """Run a world; a violated property raises an `AssertionError`."""
    with mock.patch.object(shard_state, "MAX_LISTED_ORDERS", MAX_LISTED_ORDERS):
        world = LossWorld(random.Random(seed), size)
        for _ in range(size.steps):
            world.step(fault_rate)
    return world


@pytest.mark.parametrize("size", [THREE, FIVE], ids=["three", "five"])
def test_random_order_of_events_with_simultaneous_losses(size: Size) -> None:
    @settings(max_examples=30, deadline=None)
    @given(st.integers(0, 2**40), st.sampled_from((0.0, 0.5, 1.0)))
    def run(seed: int, fault_rate: float) -> None:
        run_world(seed, size, fault_rate)

    run()


def test_a_run_in_which_a_key_was_granted_twice() -> None:
    """Regression test with a failing seed of the random test above.

    When a claim arrived, the controllers had not ticked for at least 56 s, as after a pause of their
    processes. The claim was dated by the last tick, so a majority expired the key 49 s after it was granted.
    """
    run_world(31855203, FIVE, 0.0)


@pytest.mark.parametrize("size", [THREE, FIVE], ids=["three", "five"])
def test_random_runs_cover_all_events(size: Size) -> None:
    """16 runs together cover every event; simultaneous disk losses need a tolerance of two."""
    counts: dict[str, int] = {}
    for seed in range(16):
        for what, count in run_world(seed, size, 1.0).counts.items():
            counts[what] = counts.get(what, 0) + count
    unseen = {what for what, count in counts.items() if not count}
    assert unseen == ({"wiped together"} if size.losses == 1 else set()), counts


_verdict = OrderHistory.verdict
_group_changed = RepairingReplica._group_changed


def _refuses_unknown_orders(self: OrderHistory, *order: Any) -> Verdict:
    verdict = _verdict(self, *order)
    return Verdict.OTHER_VERSION if verdict is Verdict.UNKNOWN else verdict


def _catches_up_immediately(self: RepairingReplica, value: Value) -> None:
    _group_changed(self, value)
    if self.voter in value.voters:
        self.standing.caught_up = True


@pytest.mark.parametrize(
    "patches",
    [
        [(OrderHistory, "verdict", _refuses_unknown_orders)],
        [(RepairingReplica, "_group_changed", _catches_up_immediately), (RepairingReplica, "ready", True)],
    ],
    ids=["unknown-refused", "votes-before-learning"],
)
def test_deliberate_breaks_are_caught(patches: list[tuple[Any, str, Any]]) -> None:
    with contextlib.ExitStack() as stack:
        for where, attribute, value in patches:
            stack.enter_context(mock.patch.object(where, attribute, value))
        with pytest.raises(AssertionError):
            for seed in range(400):  # about one seed in a hundred detects the second of these breaks
                run_world(seed, THREE, 1.0)
