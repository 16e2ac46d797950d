"""The group of controllers in any order of events.

Messages late, lost or twice, and controllers killed and wiped.

The controllers here are the real halves (`shard.Shard`), on disks in memory that write when they are
told to; askers count as nodes do (`claims`). What was granted, taken and read, and who owned the duties
when, is checked against a plain record of it.
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


class Try:
    """One request with a key, at some node."""

    def __init__(self, key: str, holder: str, began_s: float, under: int, group: tuple[str, ...]) -> None:
        self.key = key
        self.holder = holder
        self.began_s = began_s
        self.open = True
        self.count = GrantCount(under, group)


class World:
    """Controllers, what is on its way between them, and what was said."""

    # of the others that a beat goes to; the longest pause between two turns
    beats = 0.3
    turn_s = 0.15

    def __init__(self, rng: random.Random, seeds: tuple[str, ...] = SEEDS, spares: str = "d") -> None:
        self.rng = rng
        self.now = 1.0
        self._number = 0
        self.controllers: dict[str, Controller] = {}
        for name in (*seeds, *spares):
            self.controllers[name] = Controller(name, self, name in seeds, 1, rng, seeds)
        self.wires: list[tuple[str, str, tuple[Any, ...]]] = []
        self.tries: list[Try] = []
        self.granted: dict[str, list[Try]] = {}
        self.versions: dict[int, Value] = {}
        self.taken: dict[int, bytes] = {}  # the digest that was acknowledged on top of each revision
        self.newest = 0  # revision acknowledged
        self.waiting: dict[str, Callable[[RequestEnded], None]] = {}
        self.counts = {"granted": 0, "put": 0, "read": 0, "epoch": 0, "owned": 0}
        self.fences: dict[int, str] = {}

    def number(self) -> int:
        self._number += 1
        return self._number

    def send(self, sender: str, to: str, kind: str, *message: Any) -> None:
        if to in self.controllers:
            self.wires.append((to, kind, message))

    def answer(self, name: str, answer: SendReply) -> None:
        message = answer.message
        if isinstance(message, KeyReleaseAck):
            return
        if isinstance(message, KeyGrant):
            said = (answer.to, name, message.epoch, message.outcome, message.answer)
            self.wires.append(("", "said", said))
        else:
            self.send(name, answer.to, ControllerCall.RECEIVE, name, message.body)

    def request_ended(self, name: str, end: RequestEnded) -> None:
        if end.id in self.waiting:
            self.waiting.pop(end.id)(end)

    def state_changed(self, name: str, changed: StateChanged) -> None:
        """The states are one chain: one for each version, and whoever learns one learns the same."""
        value = changed.new
        assert self.versions.setdefault(value.version, value) == value
        self.counts["epoch"] = max(self.counts["epoch"], epoch(value))

    def owners(self) -> None:
        """At no moment do two do the duties; a fence is one controller's."""
        own = [(k.name, f) for k in self.controllers.values() if k.alive and (f := k.shard.owns(self.now))]
        assert len(own) < 2, own
        for name, fence in own:
            assert self.fences.setdefault(fence, name) == name and fence == max(self.fences)
            self.counts["owned"] += 1

    def some(self, alive: bool = True) -> Controller | None:
        found = [k for k in self.controllers.values() if k.alive is alive]
        return self.rng.choice(found) if found else None

    def claim(self) -> None:
        controller = self.some()
        if controller is not None:
            known = controller.shard.known
            key = f"k{self.rng.randrange(3)}"
            group = tuple(v.name for v in known.voters)
            try_ = Try(key, f"t{self.number()}", self.now, epoch(known), group)
            self.tries.append(try_)
            self.ask(try_)

    def ask(self, try_: Try) -> None:
        for name in try_.count.group:
            if try_.count.awaits(name):
                self.send(
                    "", name, ControllerCall.CLAIM_KEY, try_, 0, try_.count.epoch, try_.key, try_.holder
                )

    def said(self, try_: Try, name: str, under: int, what: str, answer: Any) -> None:
        end = try_.count.add(name, under, what, answer) if try_.open else None
        if end is ClaimOutcome.GRANTED:
            before = [t for t in self.granted.get(try_.key, []) if t.began_s > try_.began_s - WINDOW_S]
            assert not before, f"{try_.key} is {try_.holder}'s and {before[0].holder}'s"
            self.granted.setdefault(try_.key, []).append(try_)
            self.counts["granted"] += 1
            how = self.rng.random()
            if how < 0.5:
                self.tell_all(try_, ControllerCall.RECORD_ANSWER, try_.key, try_.holder, try_.holder)
            elif how < 0.7:  # it never ran after all
                self.granted[try_.key].remove(try_)
                self.tell_all(try_, ControllerCall.RELEASE_KEY, try_, 0, try_.key, try_.holder)
            try_.open = False
        elif end:
            answers = [t.holder for t in self.granted.get(try_.key, [])]
            assert answer is None or answer in answers
            self.give_up(try_)

    def give_up(self, try_: Try) -> None:
        if try_.open:
            try_.open = False
            self.tell_all(try_, ControllerCall.RELEASE_KEY, try_, 0, try_.key, try_.holder)

    def tell_all(self, try_: Try, *message: Any) -> None:
        for name in try_.count.group:
            self.send("", name, *message)

    def put(self) -> None:
        controller = self.some()
        if controller is None:
            return
        on = shard_state.body(controller.shard.known).revision
        revision, digest = on + self.rng.randrange(1, 3), str(self.number()).encode()

        def told(end: RequestEnded) -> None:
            if end.value is not None and not end.why:
                assert self.taken.setdefault(on, digest) == digest
                self.newest = max(self.newest, revision)
                self.counts["put"] += 1

        id = str(self.number())
        self.waiting[id] = told
        controller.execute(
            controller.shard.request_change(
                id, shard_state.PutConfiguration(digest, revision, digest, on), 3.0, self.now
            )
        )

    def read(self) -> None:
        controller, newest = self.some(), self.newest
        if controller is None:
            return

        def told(end: RequestEnded) -> None:
            if end.value is not None:
                assert shard_state.body(end.value).revision >= newest
                self.counts["read"] += 1

        id = str(self.number())
        self.waiting[id] = told
        controller.execute(controller.shard.request_read(id, self.now))

    def play(self, seconds: float, until: Callable[[], bool] = lambda: False) -> None:
        """All goes well: what is sent arrives, and disks take what is written."""
        for _ in range(int(seconds / 0.2)):
            self.now += 0.2
            for controller in self.controllers.values():
                self.tick(controller)
                controller.peers.heard_s = dict.fromkeys(self.controllers, self.now)
            while self.wires or any(controller.writes for controller in self.controllers.values()):
                for to, kind, message in [self.wires.pop(0) for _ in list(self.wires)]:
                    self.said(*message) if kind == "said" else getattr(self.controllers[to], kind)(*message)
                if until():
                    return self.wires.clear()
                for controller in self.controllers.values():
                    while controller.writes:
                        controller.complete_write()
        return None

    def pass_time(self, s: float) -> None:
        for try_ in self.tries:
            self.give_up(try_)
        self.tries.clear()
        self.now += s

    def down(self, wipe: bool) -> None:
        """Kill one; a disk is lost only while all the others remember."""
        controller = self.some()
        up = [
            k
            for k in self.controllers.values()
            if k.alive and k.shard.standing.caught_up and k.shard.register.vote_on_disk
        ]
        if controller is None or sum(k is not controller for k in up) < 2:
            return
        controller.alive = False
        if wipe:
            controller.wipe()

    def tick(self, controller: Controller) -> None:
        controller.send_heartbeats(
            n for n in self.controllers if n != controller.name and self.rng.random() < self.beats
        )
        controller.tick()

    def deliver(self, trouble: float) -> None:
        """A message arrives, or is lost, or arrives and is still on its way."""
        rng = self.rng
        # Mostly in order, so that something comes of it.
        at = 0 if rng.random() < 0.8 else rng.randrange(len(self.wires))
        to, kind, message = self.wires[at] if rng.random() < 0.03 * trouble else self.wires.pop(at)
        if kind == "said":
            self.said(*message)
        elif self.controllers[to].alive and rng.random() > 0.05 * trouble:
            getattr(self.controllers[to], kind)(*message)

    def step(self, trouble: float) -> None:
        rng = self.rng
        dice = self.rng.random()
        if self.wires and dice < 0.8:
            return self.deliver(trouble)
        controller = self.some()
        if controller is not None and dice < 0.92:
            if controller.writes and rng.random() < 0.9:
                while controller.writes and rng.random() < 0.7:
                    controller.complete_write()
                return None
            self.now += rng.random() * self.turn_s
            if rng.random() < 0.02 * trouble:
                controller.peers.fit = not controller.peers.fit
            self.tick(controller)
            return self.owners()
        if dice < 0.94:
            return self.claim()
        if dice < 0.95 and self.tries:
            try_ = rng.choice(self.tries)
            known = controller.shard.known if controller is not None else None
            if try_.open and known is not None and epoch(known) > try_.count.epoch:
                try_.count.restart(epoch(known), tuple(v.name for v in known.voters))
            return self.ask(try_) if try_.open else None
        if dice < 0.96:
            return self.put()
        if dice < 0.97:
            return self.read()
        if dice < 0.985:
            dead = self.some(alive=False)
            return dead.start() if dead is not None and rng.random() < 0.6 else None
        if dice < 0.993 and rng.random() < trouble:
            return self.down(wipe=rng.random() < 0.5)
        if rng.random() < 0.2:
            self.pass_time(rng.choice((1.0, 15.0, 25.0)))
        return None


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((0.0, 0.5, 1.0)))
def test_random_order_of_events(seed: int, trouble: float) -> None:
    world = World(random.Random(seed))
    for _ in range(900):
        world.step(trouble)


def test_a_new_owner_waits_for_the_lease_of_the_last_one() -> None:
    """What the last one was acknowledged came before the change; a change of voters ends that, too."""
    a, b, c, d = (Voter(name, shard_state.GENESIS) for name in "abcd")
    first = shard_state.genesis(SEEDS)
    parameters = ShardParameters(1, "a", first, 3, WINDOW_S, 10)
    shard = Shard(parameters, AcceptorState(shard_state.GENESIS), True, Peers(0.0), random.Random(1))

    def know(value: Value, now: float) -> None:
        shard.receive("b", DecidedState(shard_state_codec.pack_value(value)), now)

    mine = Value(1, (a, b, c), shard_state.Body(0, owner="a", fencing_token=1))
    know(mine, 1.0)
    shard.heartbeat_acknowledged("b", 1.0, 1)
    assert shard.owns(1.0) == 1 and shard.owns(1.9) == 1 and shard.owns(1.0 + LEASE_S) is None
    changed = shard_state.AdmitVoter(d, "c", 3, 0)(mine)
    assert isinstance(changed, Value) and shard_state.body(changed).fencing_token == 2
    shard.register.acceptor.state = AcceptorState(shard_state.GENESIS, (5, "b"), (5, "b"), changed)
    assert shard.owns(1.5) is None  # who counts may have changed
    know(changed, 1.5)
    shard.heartbeat_acknowledged("b", 1.6, 1)
    assert shard.owns(1.6) == 2  # it was the owner before, too
    know(Value(3, (a, b, d), shard_state.Body(1, owner="b", fencing_token=3)), 2.0)
    know(Value(4, (a, b, d), shard_state.Body(1, owner="a", fencing_token=4)), 3.0)
    for now in (3.1, 3.9, 4.0):
        shard.heartbeat_acknowledged("b", now, 4)
        assert shard.owns(now) == (4 if now >= 3.0 + LEASE_S else None)


def test_a_controller_that_was_removed_catches_up_anew() -> None:
    """It missed what was granted without it, so it may not come back as one that has caught up."""
    a, b, c, d = (Voter(name, 1) for name in "abcd")
    first = Value(1, (a, b, c), shard_state.Body(0, 1))
    without = Value(2, (a, b, d), shard_state.Body(1, 1))
    standing = Standing(True)
    assert not standing.is_removed(c, first, None) and not standing.is_removed(c, first, first)
    assert not standing.is_removed(d, first, without)  # hears of its own place late
    assert standing.grants(1, a, without, without) and standing.grants(0, a, first, first)
    assert not standing.grants(1, a, without, first)  # what it accepted last is of the group before
    assert not standing.grants(0, a, first, without) and not Standing(False).grants(1, a, without, without)
    assert standing.is_removed(c, without, first) and not standing.grants(1, c, without, first)


def test_a_second_disk_loss_long_after_the_first_at_a_restart_of_all() -> None:
    """Voters before a change that was decided long ago count no more, though all forgot that it was."""
    world = World(random.Random(1))
    world.controllers.pop("d")
    a, _, c = world.controllers.values()
    world.play(2.0)
    a.wipe()
    a.start()
    world.play(6.0)
    assert a.shard.standing.caught_up
    c.wipe()
    for controller in world.controllers.values():
        controller.start()
    world.play(6.0)
    assert all(controller.shard.grants(2) for controller in world.controllers.values())
    world.claim()
    world.play(1.0)
    assert world.counts["granted"] == 1


def test_wiped_controllers_wait_for_each_other_no_longer_than_the_window() -> None:
    """The second loses its disk before the first has learned.

    What they granted can't be told, so they grant again once it is over.
    """
    world = World(random.Random(1))
    world.controllers.pop("d")

    play = world.play
    play(2.0)
    world.claim()
    play(1.0)
    assert world.counts["granted"] == 1
    a, b, c = world.controllers.values()
    for one in (a, b):
        one.wipe()
        one.start()
        play(4.0, lambda one=one: one.shard.voter in c.shard.known.voters)  # type: ignore[misc]
    assert epoch(c.shard.known) == 2 and not a.shard.standing.caught_up
    kept_s = a.shard.operation_keys.max_retention_s
    for _ in range(30):
        play(kept_s / 32)
        world.claim()
        assert world.counts["granted"] == 1
    play(kept_s / 8)
    world.claim()
    play(1.0)
    assert world.counts["granted"] == 2
