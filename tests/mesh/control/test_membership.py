"""A group of controllers in random orders of events.

Messages are delayed, lost or duplicated, and controllers are killed and lose their disks.

The tests run the real `shard.Shard` with in-memory disks, which complete writes on demand. Grants of
operation keys are counted as nodes count them (`operation_key_client.GrantCount`). Granted keys, acknowledged
configurations, reads and ownership are checked against simple records of all events.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.balancing.register import AcceptorState, Value, Voter
from orchidferry.mesh.control import shard_state, shard_state_codec
from orchidferry.mesh.control.actions import RequestEnded, SendReply, StateChanged
from orchidferry.mesh.control.membership import Standing, epoch
from orchidferry.mesh.control.operation_key_client import GrantCount
from orchidferry.mesh.control.operation_keys import ClaimOutcome
from orchidferry.mesh.control.owner_lease import LEASE_S
from orchidferry.mesh.control.peers import Peers
from orchidferry.mesh.control.shard import Shard
from orchidferry.mesh.control.shard_parameters import ShardParameters
from orchidferry.mesh.wire.messages import KeyGrant, KeyReleaseAck
from orchidferry.mesh.wire.shard_messages import DecidedState
from orchidferry.testkit.explore.controller import SEEDS, WINDOW_S, Controller, ControllerCall


class Attempt:
    """One attempt of a node to execute a request under an operation key."""

    def __init__(
        self, key: str, holder: str, began_s: float, claim_epoch: int, group: tuple[str, ...]
    ) -> None:
        self.key = key
        self.holder = holder
        self.began_s = began_s
        self.open = True
        self.count = GrantCount(claim_epoch, group)


class World:
    """Controllers, the messages in transit between them, and records of the results so far."""

    heartbeat_share = 0.3  # share of the other controllers that get each heartbeat
    max_step_s = 0.15  # the longest time that passes between two ticks of any controllers

    def __init__(self, rng: random.Random, seeds: tuple[str, ...] = SEEDS, spares: str = "d") -> None:
        self.rng = rng
        self.now = 1.0
        self._number = 0
        self.controllers: dict[str, Controller] = {}
        for name in (*seeds, *spares):
            self.controllers[name] = Controller(name, self, name in seeds, 1, rng, seeds)
        self.in_transit: list[tuple[str, str, tuple[Any, ...]]] = []
        self.attempts: list[Attempt] = []
        self.granted: dict[str, list[Attempt]] = {}
        self.versions: dict[int, Value] = {}
        self.digest_by_base: dict[int, bytes] = {}  # acknowledged digest by the revision it is based on
        self.newest_acknowledged = 0  # revision
        self.waiting: dict[str, Callable[[RequestEnded], None]] = {}
        self.counts = {"granted": 0, "put": 0, "read": 0, "epoch": 0, "owned": 0}
        self.owner_by_token: dict[int, str] = {}

    def number(self) -> int:
        self._number += 1
        return self._number

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        if to in self.controllers:
            self.in_transit.append((to, kind, message))

    def answer(self, name: str, answer: SendReply) -> None:
        message = answer.message
        if isinstance(message, KeyReleaseAck):
            return
        if isinstance(message, KeyGrant):
            grant = (answer.to, name, message.epoch, message.outcome, message.answer)
            self.in_transit.append(("", "grant", grant))
        else:
            self.send(name, answer.to, ControllerCall.RECEIVE, name, message.body)

    def request_ended(self, name: str, end: RequestEnded) -> None:
        if end.id in self.waiting:
            self.waiting.pop(end.id)(end)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """Check that all controllers learn the same state for each version."""
        value = changed.new
        assert self.versions.setdefault(value.version, value) == value
        self.counts["epoch"] = max(self.counts["epoch"], epoch(value))

    def check_owners(self) -> None:
        """Check that at most one controller owns the shard, and that each fencing token has one owner."""
        owners = [(k.name, f) for k in self.controllers.values() if k.alive and (f := k.shard.owns(self.now))]
        assert len(owners) < 2, owners
        for name, token in owners:
            assert self.owner_by_token.setdefault(token, name) == name and token == max(self.owner_by_token)
            self.counts["owned"] += 1

    def random_controller(self, alive: bool = True) -> Controller | None:
        found = [k for k in self.controllers.values() if k.alive is alive]
        return self.rng.choice(found) if found else None

    def claim(self) -> None:
        controller = self.random_controller()
        if controller is not None:
            known = controller.shard.known
            key = f"k{self.rng.randrange(3)}"
            group = tuple(v.name for v in known.voters)
            attempt = Attempt(key, f"t{self.number()}", self.now, epoch(known), group)
            self.attempts.append(attempt)
            self.ask(attempt)

    def ask(self, attempt: Attempt) -> None:
        for name in attempt.count.group:
            if attempt.count.awaits(name):
                self.send(
                    "",
                    name,
                    ControllerCall.CLAIM_KEY,
                    attempt,
                    0,
                    attempt.count.epoch,
                    attempt.key,
                    attempt.holder,
                )

    def handle_grant(self, attempt: Attempt, name: str, granted_epoch: int, what: str, answer: Any) -> None:
        end = attempt.count.add(name, granted_epoch, what, answer) if attempt.open else None
        if end is ClaimOutcome.GRANTED:
            before = [t for t in self.granted.get(attempt.key, []) if t.began_s > attempt.began_s - WINDOW_S]
            assert not before, f"{attempt.key} was granted to {attempt.holder} and to {before[0].holder}"
            self.granted.setdefault(attempt.key, []).append(attempt)
            self.counts["granted"] += 1
            draw = self.rng.random()
            if draw < 0.5:
                self.send_to_group(
                    attempt, ControllerCall.RECORD_ANSWER, attempt.key, attempt.holder, attempt.holder
                )
            elif draw < 0.7:  # the attempt was not executed
                self.granted[attempt.key].remove(attempt)
                self.send_to_group(
                    attempt, ControllerCall.RELEASE_KEY, attempt, 0, attempt.key, attempt.holder
                )
            attempt.open = False
        elif end:
            answers = [t.holder for t in self.granted.get(attempt.key, [])]
            assert answer is None or answer in answers
            self.give_up(attempt)

    def give_up(self, attempt: Attempt) -> None:
        if attempt.open:
            attempt.open = False
            self.send_to_group(attempt, ControllerCall.RELEASE_KEY, attempt, 0, attempt.key, attempt.holder)

    def send_to_group(self, attempt: Attempt, *message: Any) -> None:
        for name in attempt.count.group:
            self.send("", name, *message)

    def put(self) -> None:
        controller = self.random_controller()
        if controller is None:
            return
        base = shard_state.body(controller.shard.known).revision
        revision, digest = base + self.rng.randrange(1, 3), str(self.number()).encode()

        def on_ended(end: RequestEnded) -> None:
            if end.value is not None and not end.why:
                assert self.digest_by_base.setdefault(base, digest) == digest
                self.newest_acknowledged = max(self.newest_acknowledged, revision)
                self.counts["put"] += 1

        id = str(self.number())
        self.waiting[id] = on_ended
        controller.execute(
            controller.shard.request_change(
                id, shard_state.PutConfiguration(digest, revision, digest, base), 3.0, self.now
            )
        )

    def read(self) -> None:
        controller, newest = self.random_controller(), self.newest_acknowledged
        if controller is None:
            return

        def on_ended(end: RequestEnded) -> None:
            if end.value is not None:
                assert shard_state.body(end.value).revision >= newest
                self.counts["read"] += 1

        id = str(self.number())
        self.waiting[id] = on_ended
        controller.execute(controller.shard.request_read(id, self.now))

    def run_without_faults(self, seconds: float, until: Callable[[], bool] = lambda: False) -> None:
        """Run for a time in which all messages arrive and all writes complete.

        :param until: ends the run early, with all messages in transit lost, as soon as it returns True.
        """
        for _ in range(int(seconds / 0.2)):
            self.now += 0.2
            for controller in self.controllers.values():
                self.tick(controller)
                controller.peers.heard_s = dict.fromkeys(self.controllers, self.now)
            while self.in_transit or any(controller.writes for controller in self.controllers.values()):
                for to, kind, message in [self.in_transit.pop(0) for _ in list(self.in_transit)]:
                    self.handle_grant(*message) if kind == "grant" else getattr(self.controllers[to], kind)(
                        *message
                    )
                if until():
                    return self.in_transit.clear()
                for controller in self.controllers.values():
                    while controller.writes:
                        controller.complete_write()
        return None

    def pass_time(self, s: float) -> None:
        for attempt in self.attempts:
            self.give_up(attempt)
        self.attempts.clear()
        self.now += s

    def kill(self, wipe: bool) -> None:
        """Kill a random controller, if at least two others are alive and have all their state on disk.

        :param wipe: whether the controller also loses its disk.
        """
        controller = self.random_controller()
        intact = [
            k
            for k in self.controllers.values()
            if k.alive and k.shard.standing.caught_up and k.shard.register.vote_on_disk
        ]
        if controller is None or sum(k is not controller for k in intact) < 2:
            return
        controller.alive = False
        if wipe:
            controller.wipe()

    def tick(self, controller: Controller) -> None:
        controller.send_heartbeats(
            n for n in self.controllers if n != controller.name and self.rng.random() < self.heartbeat_share
        )
        controller.tick()

    def deliver(self, fault_rate: float) -> None:
        """Deliver or lose a message, or deliver it and leave a duplicate in transit."""
        rng = self.rng
        # Mostly in order of sending, so that operations complete often enough.
        at = 0 if rng.random() < 0.8 else rng.randrange(len(self.in_transit))
        to, kind, message = (
            self.in_transit[at] if rng.random() < 0.03 * fault_rate else self.in_transit.pop(at)
        )
        if kind == "grant":
            self.handle_grant(*message)
        elif self.controllers[to].alive and rng.random() > 0.05 * fault_rate:
            getattr(self.controllers[to], kind)(*message)

    def step(self, fault_rate: float) -> None:
        rng = self.rng
        draw = self.rng.random()
        if self.in_transit and draw < 0.8:
            return self.deliver(fault_rate)
        controller = self.random_controller()
        if controller is not None and draw < 0.92:
            if controller.writes and rng.random() < 0.9:
                while controller.writes and rng.random() < 0.7:
                    controller.complete_write()
                return None
            self.now += rng.random() * self.max_step_s
            if rng.random() < 0.02 * fault_rate:
                controller.peers.fit = not controller.peers.fit
            self.tick(controller)
            return self.check_owners()
        if draw < 0.94:
            return self.claim()
        if draw < 0.95 and self.attempts:
            attempt = rng.choice(self.attempts)
            known = controller.shard.known if controller is not None else None
            if attempt.open and known is not None and epoch(known) > attempt.count.epoch:
                attempt.count.restart(epoch(known), tuple(v.name for v in known.voters))
            return self.ask(attempt) if attempt.open else None
        if draw < 0.96:
            return self.put()
        if draw < 0.97:
            return self.read()
        if draw < 0.985:
            dead = self.random_controller(alive=False)
            return dead.start() if dead is not None and rng.random() < 0.6 else None
        if draw < 0.993 and rng.random() < fault_rate:
            return self.kill(wipe=rng.random() < 0.5)
        if rng.random() < 0.2:
            self.pass_time(rng.choice((1.0, 15.0, 25.0)))
        return None


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((0.0, 0.5, 1.0)))
def test_random_order_of_events(seed: int, fault_rate: float) -> None:
    world = World(random.Random(seed))
    for _ in range(900):
        world.step(fault_rate)


def test_a_new_owner_waits_for_the_lease_of_the_last_one() -> None:
    """Acknowledgements of the previous owner precede the change; a change of voters also ends the lease."""
    a, b, c, d = (Voter(name, shard_state.FOUNDER_DISK_ID) for name in "abcd")
    first = shard_state.genesis(SEEDS)
    parameters = ShardParameters(1, "a", first, 3, WINDOW_S, 10)
    shard = Shard(parameters, AcceptorState(shard_state.FOUNDER_DISK_ID), True, Peers(0.0), random.Random(1))

    def learn(value: Value, now: float) -> None:
        shard.receive("b", DecidedState(shard_state_codec.pack_value(value)), now)

    mine = Value(1, (a, b, c), shard_state.Body(0, owner="a", fencing_token=1))
    learn(mine, 1.0)
    shard.heartbeat_acknowledged("b", 1.0, 1)
    assert shard.owns(1.0) == 1 and shard.owns(1.9) == 1 and shard.owns(1.0 + LEASE_S) is None
    changed = shard_state.AdmitVoter(d, "c", 3, 0)(mine)
    assert isinstance(changed, Value) and shard_state.body(changed).fencing_token == 2
    shard.register.acceptor.state = AcceptorState(shard_state.FOUNDER_DISK_ID, (5, "b"), (5, "b"), changed)
    assert shard.owns(1.5) is None  # the accepted change of voters may be decided already
    learn(changed, 1.5)
    shard.heartbeat_acknowledged("b", 1.6, 1)
    assert shard.owns(1.6) == 2  # no waiting time: it was the owner before, too
    learn(Value(3, (a, b, d), shard_state.Body(1, owner="b", fencing_token=3)), 2.0)
    learn(Value(4, (a, b, d), shard_state.Body(1, owner="a", fencing_token=4)), 3.0)
    for now in (3.1, 3.9, 4.0):
        shard.heartbeat_acknowledged("b", now, 4)
        assert shard.owns(now) == (4 if now >= 3.0 + LEASE_S else None)


def test_a_controller_that_was_removed_catches_up_anew() -> None:
    """It lacks the keys granted without it, so it must not return to the group as caught up."""
    a, b, c, d = (Voter(name, 1) for name in "abcd")
    first = Value(1, (a, b, c), shard_state.Body(0, 1))
    without = Value(2, (a, b, d), shard_state.Body(1, 1))
    standing = Standing(True)
    assert not standing.is_removed(c, first, None) and not standing.is_removed(c, first, first)
    assert not standing.is_removed(d, first, without)  # it has not learned yet that its admission was decided
    assert standing.grants(1, a, without, without) and standing.grants(0, a, first, first)
    assert not standing.grants(1, a, without, first)  # the state it accepted last is of the previous group
    assert not standing.grants(0, a, first, without) and not Standing(False).grants(1, a, without, without)
    assert standing.is_removed(c, without, first) and not standing.grants(1, c, without, first)


def test_a_second_disk_loss_long_after_the_first_at_a_restart_of_all() -> None:
    """Former voters must not count long after a voter change, even if all forgot that it was decided."""
    world = World(random.Random(1))
    world.controllers.pop("d")
    a, _, c = world.controllers.values()
    world.run_without_faults(2.0)
    a.wipe()
    a.start()
    world.run_without_faults(6.0)
    assert a.shard.standing.caught_up
    c.wipe()
    for controller in world.controllers.values():
        controller.start()
    world.run_without_faults(6.0)
    assert all(controller.shard.grants(2) for controller in world.controllers.values())
    world.claim()
    world.run_without_faults(1.0)
    assert world.counts["granted"] == 1


def test_wiped_controllers_wait_for_each_other_no_longer_than_the_window() -> None:
    """A second controller loses its disk before the first one has caught up.

    The keys that they granted can't be recovered, so both grant again only once those keys have expired.
    """
    world = World(random.Random(1))
    world.controllers.pop("d")

    run = world.run_without_faults
    run(2.0)
    world.claim()
    run(1.0)
    assert world.counts["granted"] == 1
    a, b, c = world.controllers.values()
    for one in (a, b):
        one.wipe()
        one.start()
        run(4.0, lambda one=one: one.shard.voter in c.shard.known.voters)  # type: ignore[misc]
    assert epoch(c.shard.known) == 2 and not a.shard.standing.caught_up
    retention_s = a.shard.operation_keys.max_retention_s
    for _ in range(30):
        run(retention_s / 32)
        world.claim()
        assert world.counts["granted"] == 1
    run(retention_s / 8)
    world.claim()
    run(1.0)
    assert world.counts["granted"] == 2
