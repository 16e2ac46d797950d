"""Shares of further tries: worlds of dealers, nodes and losses, beside a plain recorder of every window."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control import retry_budget as module
from orchidferry.mesh.control.retry_budget import (
    DEALT_SHARE,
    LATE_S,
    LEASE_S,
    STATIC_SHARE,
    Dealer,
    Holder,
    RetryBudgets,
)
from orchidferry.mesh.wire.messages import RetryQuota, RetryQuotaRequest

WINDOW_S = 10.0
SLACK = 40.0
STEP_S = 0.25
NODES = 4
ENDS_S = 90.0
WHOLE = DEALT_SHARE * SLACK


class FromAnswer(Holder):
    """Counts its lease from the answer."""

    def hear(self, fence: int, number: int, amount: float, for_s: float, now_s: float) -> bool:
        if number in self._asked:
            self._asked[number] = now_s
        return super().hear(fence, number, amount, for_s, now_s)


class AnyFence(Holder):
    """Believes owners that are over."""

    def hear(self, fence: int, number: int, amount: float, for_s: float, now_s: float) -> bool:
        self.fence = -1
        heard = super().hear(fence, number, amount, for_s, now_s)
        self.fence = -1
        return heard


class Endless(Holder):
    """Goes on with what it holds when it hears nothing."""

    def turn(self, now_s: float) -> bool:
        return super().turn(min(now_s, self._until_s - 0.01))


class AtOnce(Dealer):
    """Gives a dead node's share to others when its lease is over."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._counts_s = 0.0


class Unlearnt(Dealer):
    """Deals the whole as soon as it owns it."""

    def __init__(self, whole: float, window_s: float, now_s: float) -> None:
        super().__init__(whole, window_s, now_s, learn_s=0.0)


class OneLife(Dealer):
    """Takes a node that has started again for the one before."""

    def deal(self, node: str, life: int, wanted: float, held: float, now_s: float) -> float | None:
        return super().deal(node, 0, wanted, held, now_s)


class Node:
    """A node that makes as many further tries as it may."""

    def __init__(self, name: str, life: int, holder: type[Holder]) -> None:
        self.name, self.life, self.holder = name, life, holder()
        self.sent: list[float] = []
        self.hunger = 0.0
        self.asleep_s = 0.0
        self.cut_s = 0.0

    def used(self, now_s: float) -> int:
        return sum(now_s - WINDOW_S - LATE_S <= at for at in self.sent)


class World:
    """Nodes, owners one after the other, and a network that loses, doubles and holds up."""

    def __init__(self, seed: int, holder: type[Holder] = Holder) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.made = holder
        self.nodes = [Node(f"n{n}", 1, holder) for n in range(NODES)]
        # how long a former owner sleeps before it speaks again
        self.fence = 0
        self.sleeps_s = 0.0
        self.owners: list[tuple[float, RetryBudgets]] = []
        self.late: list[tuple[float, int, Any]] = []
        self.arrivals: list[float] = []
        self.paradise = self.haunted = False

    def own(self) -> None:
        self.fence += 1
        fence = self.fence
        if not self.haunted:
            self.owners.clear()
        self.owners = [(self.now + 4.0, owner) for _, owner in self.owners]  # speaks when all have heard
        self.owners.append((0.0, RetryBudgets(SLACK, WINDOW_S, lambda service, now: fence)))

    def post(self, call: Any, kind: float) -> None:
        dice = 1.0 if self.paradise else self.rng.random()
        if dice < 0.1 and not self.haunted:
            return
        for _ in range(2 if dice < 0.2 else 1):
            wait = self.rng.uniform(0.0, 9.0 if dice < 0.4 and not self.haunted else 0.2)
            self.late.append((self.now + wait * kind, self.rng.randrange(2**30), call))

    def ask(self, node: Node) -> None:
        holder = node.holder
        number = holder.ask(self.now)
        used, wanted = float(node.used(self.now)), node.used(self.now) + node.hunger
        held = holder.held(self.now)
        fence = holder.fence
        request = RetryQuotaRequest("s", node.name, node.life, number, used, wanted, held, fence)
        for since, owner in self.owners:
            if self.now >= max(since, node.cut_s):
                self.post(lambda owner=owner: self.answer(owner, node, request), 0.5)

    def answer(self, owner: RetryBudgets, node: Node, request: RetryQuotaRequest) -> None:
        if all(owner is not known for _, known in self.owners):
            return  # it knows that it owns nothing any more
        reply = owner.handle(request, self.now)
        if reply is not None:
            self.post(lambda: self.hear(node, reply), 1.0)

    def hear(self, node: Node, reply: RetryQuota) -> None:
        if node.asleep_s > self.now:
            self.late.append((node.asleep_s, 0, lambda: self.hear(node, reply)))
        else:
            node.holder.hear(reply.fencing_token, reply.number, reply.amount, reply.lease_s, self.now)

    def step(self) -> None:
        self.now += STEP_S
        due = sorted((one for one in self.late if one[0] <= self.now), key=lambda one: one[:2])
        self.late = [one for one in self.late if one[0] > self.now]
        for _, _, call in due:
            call()
        for n, node in enumerate(self.nodes):
            if node.asleep_s > self.now:
                continue
            if not self.paradise and self.rng.random() < 0.01:  # frozen: a while, or killed and started anew
                node.asleep_s = self.now + self.rng.uniform(0.5, 8.0)
            elif not self.paradise and self.rng.random() < 0.008:
                self.nodes[n] = Node(node.name, node.life + 1, self.made)
            elif not self.paradise and not self.haunted and self.rng.random() < 0.01:
                node.cut_s = self.now + self.rng.uniform(1.0, 30.0)
            if not self.paradise and self.rng.random() < 0.05:
                node.hunger = self.rng.choice((0.0, 3.0, 40.0, 40.0))
            if round(self.now / STEP_S + n) % 4 == 0:
                self.ask(node)
            node.holder.turn(self.now)
            assert self.made is not Holder or node.holder.due_s > self.now
            while node.hunger and node.used(self.now) + 1 <= node.holder.in_force:
                node.sent.append(self.now)
                self.arrivals.append(self.now + self.rng.uniform(0.0, LATE_S))

    def play(self, changes: float = 0.02) -> int:
        """The most arrivals in any window."""
        self.own()
        while self.now < 100.0 + ENDS_S:
            if self.rng.random() < changes:
                self.own()
            self.step()
        at = sorted(self.arrivals)
        return max((sum(a <= b <= a + WINDOW_S for b in at) for a in at), default=0)


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((0.0, 0.005, 0.02)), st.booleans())
def test_no_window_ever_holds_more_than_the_whole(seed: int, changes: float, haunted: bool) -> None:
    world = World(seed)
    world.haunted = haunted  # owners that are over speak again; then every node hears the one that is
    assert world.play(changes) <= WHOLE


@pytest.mark.parametrize(
    ("holder", "dealer", "changes", "haunted"),
    [
        (FromAnswer, Dealer, 0.0, False),
        (Endless, Dealer, 0.0, False),
        (AnyFence, Dealer, 0.005, True),
        (Holder, AtOnce, 0.0, False),
        (Holder, Unlearnt, 0.01, False),
        (Holder, OneLife, 0.0, False),
    ],
)
def test_each_break_is_caught(
    monkeypatch: pytest.MonkeyPatch, holder: type[Holder], dealer: type[Dealer], changes: float, haunted: bool
) -> None:
    monkeypatch.setattr(module, "Dealer", dealer)

    def broken(seed: int) -> bool:
        world = World(seed, holder)
        world.haunted = haunted
        return world.play(changes) > WHOLE

    assert any(broken(seed) for seed in range(60))


def test_shares_follow_what_is_wanted_and_nobody_starves() -> None:
    """All want much: the whole is out, in equal parts. One wants much: it has most, the rest their floor."""
    world = World(1)
    world.paradise = True
    world.own()

    def settle(*hunger: float) -> list[float]:
        for _ in range(200):
            for node, wants in zip(world.nodes, hunger, strict=True):
                node.hunger = wants
            world.step()
        return [node.holder.in_force for node in world.nodes]

    shares = settle(40.0, 40.0, 40.0, 40.0)
    assert sum(shares) > 0.95 * WHOLE and max(shares) - min(shares) < 0.15 * WHOLE / NODES
    shares = settle(40.0, 0.0, 0.0, 0.0)
    assert shares[0] > 0.7 * WHOLE and min(shares) >= 0.95 * WHOLE / (4 * NODES)
    before = sum(shares)
    world.own()  # the new one renews what is held, and deals no more before it has learnt
    for _ in range(int((LEASE_S + WINDOW_S) / STEP_S)):
        for node, wants in zip(world.nodes, (40.0, 0.0, 0.0, 0.0), strict=True):
            node.hunger = wants
        world.step()
        assert 0.7 * before < sum(node.holder.in_force for node in world.nodes) <= before * 1.001


def test_a_keeper_speaks_only_for_what_it_owns() -> None:
    owned: dict[str, int] = {"a": 3}
    controller = RetryBudgets(SLACK, WINDOW_S, lambda service, now: owned.get(service))

    def ask(service: str, fence: int, now: float) -> Any:
        return controller.handle(RetryQuotaRequest(service, "n", 1, 7, 0.0, 5.0, 2.0, fence), now)

    assert ask("b", -1, 0.0) is None and ask("a", 4, 0.0) is None
    assert ask("a", 3, 0.0) == RetryQuota("a", 3, 7, 2.0, LEASE_S)  # learning: what it holds
    assert ask("a", 3, LEASE_S + WINDOW_S + LATE_S).amount > 2.0
    assert STATIC_SHARE + DEALT_SHARE < 1.0
