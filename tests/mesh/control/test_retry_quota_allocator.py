"""Retry quotas: worlds of allocators, nodes and losses, beside a plain recorder of every window."""

from __future__ import annotations

import random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidferry.mesh.control import retry_quota_allocator
from orchidferry.mesh.control.retry_quota_allocator import (
    ALLOCATED_SHARE,
    LEASE_S,
    MAX_DELAY_S,
    STATIC_SHARE,
    NodeProcess,
    QuotaAllocator,
    RetryQuotaAllocators,
)
from orchidferry.mesh.control.retry_quota_lease import QuotaLease
from orchidferry.mesh.wire.messages import RetryQuota, RetryQuotaRequest

WINDOW_S = 10.0
SLACK = 40.0
STEP_S = 0.25
NODES = 4
ENDS_S = 90.0
TOTAL = ALLOCATED_SHARE * SLACK


class FromAnswer(QuotaLease):
    """Counts its lease from the answer."""

    def handle_quota(self, quota: RetryQuota, now_s: float) -> bool:
        if quota.number in self._requested_s:
            self._requested_s[quota.number] = now_s
        return super().handle_quota(quota, now_s)


class AnyToken(QuotaLease):
    """Believes former owners."""

    def handle_quota(self, quota: RetryQuota, now_s: float) -> bool:
        self.fencing_token = -1
        counts = super().handle_quota(quota, now_s)
        self.fencing_token = -1
        return counts


class Endless(QuotaLease):
    """Keeps its quota when it hears nothing."""

    def refresh(self, now_s: float) -> bool:
        return super().refresh(min(now_s, self._granted_until_s - 0.01))


class AtOnce(QuotaAllocator):
    """Gives a dead node's quota to others when its lease is over."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._counts_s = 0.0


class WithoutLearning(QuotaAllocator):
    """Allocates the total as soon as it owns the service."""

    def __init__(self, total: float, window_s: float, now_s: float) -> None:
        super().__init__(total, window_s, now_s, learn_s=0.0)


class OneIncarnation(QuotaAllocator):
    """Takes a node that has started again for the one before."""

    def allocate(
        self, process: NodeProcess, wanted: float, current_amount: float, now_s: float
    ) -> float | None:
        return super().allocate(NodeProcess(process.node, 0), wanted, current_amount, now_s)


class Node:
    """A node that makes as many retries as it may."""

    def __init__(self, name: str, incarnation: int, lease: type[QuotaLease]) -> None:
        self.name = name
        self.incarnation = incarnation
        self.lease = lease()
        self.sent: list[float] = []
        self.excess = 0.0  # retries that it would make beyond those it made
        self.frozen_until_s = 0.0
        self.partitioned_until_s = 0.0

    def used(self, now_s: float) -> int:
        return sum(now_s - WINDOW_S - MAX_DELAY_S <= at for at in self.sent)


class World:
    """Nodes, owners one after the other, and a network that loses, doubles and holds up."""

    def __init__(self, seed: int, lease: type[QuotaLease] = QuotaLease) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.lease = lease
        self.nodes = [Node(f"n{n}", 1, lease) for n in range(NODES)]
        self.fencing_token = 0
        self.owners: list[tuple[float, RetryQuotaAllocators]] = []  # since when each answers
        self.in_flight: list[tuple[float, int, Any]] = []
        self.arrivals: list[float] = []
        self.no_faults = False
        self.former_owners_speak = False

    def change_owner(self) -> None:
        self.fencing_token += 1
        token = self.fencing_token
        if not self.former_owners_speak:
            self.owners.clear()
        self.owners = [(self.now + 4.0, owner) for _, owner in self.owners]  # speaks when all have heard
        self.owners.append((0.0, RetryQuotaAllocators(SLACK, WINDOW_S, lambda service, now: token)))

    def post(self, call: Any, kind: float) -> None:
        dice = 1.0 if self.no_faults else self.rng.random()
        if dice < 0.1 and not self.former_owners_speak:
            return
        for _ in range(2 if dice < 0.2 else 1):
            wait = self.rng.uniform(0.0, 9.0 if dice < 0.4 and not self.former_owners_speak else 0.2)
            self.in_flight.append((self.now + wait * kind, self.rng.randrange(2**30), call))

    def ask(self, node: Node) -> None:
        lease = node.lease
        request = RetryQuotaRequest(
            "s",
            node.name,
            node.incarnation,
            number=lease.begin_request(self.now),
            retries_made=float(node.used(self.now)),
            retries_wanted=node.used(self.now) + node.excess,
            current_amount=lease.leased_amount(self.now),
            fencing_token=lease.fencing_token,
        )
        for since, owner in self.owners:
            if self.now >= max(since, node.partitioned_until_s):
                self.post(lambda owner=owner: self.answer(owner, node, request), 0.5)

    def answer(self, owner: RetryQuotaAllocators, node: Node, request: RetryQuotaRequest) -> None:
        if all(owner is not known for _, known in self.owners):
            return  # it knows that it owns nothing any more
        reply = owner.handle(request, self.now)
        if reply is not None:
            self.post(lambda: self.hear(node, reply), 1.0)

    def hear(self, node: Node, reply: RetryQuota) -> None:
        if node.frozen_until_s > self.now:
            self.in_flight.append((node.frozen_until_s, 0, lambda: self.hear(node, reply)))
        else:
            node.lease.handle_quota(reply, self.now)

    def step(self) -> None:
        self.now += STEP_S
        due = sorted((one for one in self.in_flight if one[0] <= self.now), key=lambda one: one[:2])
        self.in_flight = [one for one in self.in_flight if one[0] > self.now]
        for _, _, call in due:
            call()
        for n, node in enumerate(self.nodes):
            if node.frozen_until_s > self.now:
                continue
            if not self.no_faults and self.rng.random() < 0.01:  # frozen: a while, or killed and started anew
                node.frozen_until_s = self.now + self.rng.uniform(0.5, 8.0)
            elif not self.no_faults and self.rng.random() < 0.008:
                self.nodes[n] = Node(node.name, node.incarnation + 1, self.lease)
            elif not self.no_faults and not self.former_owners_speak and self.rng.random() < 0.01:
                node.partitioned_until_s = self.now + self.rng.uniform(1.0, 30.0)
            if not self.no_faults and self.rng.random() < 0.05:
                node.excess = self.rng.choice((0.0, 3.0, 40.0, 40.0))
            if round(self.now / STEP_S + n) % 4 == 0:
                self.ask(node)
            node.lease.refresh(self.now)
            assert self.lease is not QuotaLease or node.lease.refresh_due_s > self.now
            while node.excess and node.used(self.now) + 1 <= node.lease.amount:
                node.sent.append(self.now)
                self.arrivals.append(self.now + self.rng.uniform(0.0, MAX_DELAY_S))

    def play(self, changes: float = 0.02) -> int:
        """The most arrivals in any window."""
        self.change_owner()
        while self.now < 100.0 + ENDS_S:
            if self.rng.random() < changes:
                self.change_owner()
            self.step()
        at = sorted(self.arrivals)
        return max((sum(a <= b <= a + WINDOW_S for b in at) for a in at), default=0)


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((0.0, 0.005, 0.02)), st.booleans())
def test_no_window_ever_has_more_retries_than_the_total(
    seed: int, changes: float, former_owners_speak: bool
) -> None:
    world = World(seed)
    world.former_owners_speak = former_owners_speak  # then every node hears the present owner
    assert world.play(changes) <= TOTAL


@pytest.mark.parametrize(
    ("lease", "allocator", "changes", "former_owners_speak"),
    [
        (FromAnswer, QuotaAllocator, 0.0, False),
        (Endless, QuotaAllocator, 0.0, False),
        (AnyToken, QuotaAllocator, 0.005, True),
        (QuotaLease, AtOnce, 0.0, False),
        (QuotaLease, WithoutLearning, 0.01, False),
        (QuotaLease, OneIncarnation, 0.0, False),
    ],
)
def test_each_break_is_caught(
    monkeypatch: pytest.MonkeyPatch,
    lease: type[QuotaLease],
    allocator: type[QuotaAllocator],
    changes: float,
    former_owners_speak: bool,
) -> None:
    monkeypatch.setattr(retry_quota_allocator, "QuotaAllocator", allocator)

    def broken(seed: int) -> bool:
        world = World(seed, lease)
        world.former_owners_speak = former_owners_speak
        return world.play(changes) > TOTAL

    assert any(broken(seed) for seed in range(60))


def test_quotas_follow_demand_and_no_node_starves() -> None:
    """All want much: the total is allocated, in equal parts. One does: it has most, the rest their floor."""
    world = World(1)
    world.no_faults = True
    world.change_owner()

    def steady_state(*excess: float) -> list[float]:
        for _ in range(200):
            for node, wants in zip(world.nodes, excess, strict=True):
                node.excess = wants
            world.step()
        return [node.lease.amount for node in world.nodes]

    shares = steady_state(40.0, 40.0, 40.0, 40.0)
    assert sum(shares) > 0.95 * TOTAL and max(shares) - min(shares) < 0.15 * TOTAL / NODES
    shares = steady_state(40.0, 0.0, 0.0, 0.0)
    assert shares[0] > 0.7 * TOTAL and min(shares) >= 0.95 * TOTAL / (4 * NODES)
    before = sum(shares)
    world.change_owner()  # the new one renews what nodes have, and allocates no more before it has learned
    for _ in range(int((LEASE_S + WINDOW_S) / STEP_S)):
        for node, wants in zip(world.nodes, (40.0, 0.0, 0.0, 0.0), strict=True):
            node.excess = wants
        world.step()
        assert 0.7 * before < sum(node.lease.amount for node in world.nodes) <= before * 1.001


def test_a_controller_answers_only_for_the_services_that_it_owns() -> None:
    owned: dict[str, int] = {"a": 3}
    controller = RetryQuotaAllocators(SLACK, WINDOW_S, lambda service, now: owned.get(service))

    def ask(service: str, token: int, now: float) -> Any:
        return controller.handle(RetryQuotaRequest(service, "n", 1, 7, 0.0, 5.0, 2.0, token), now)

    assert ask("b", -1, 0.0) is None and ask("a", 4, 0.0) is None
    assert ask("a", 3, 0.0) == RetryQuota("a", 3, 7, 2.0, LEASE_S)  # learning: what it has
    assert ask("a", 3, LEASE_S + WINDOW_S + MAX_DELAY_S).amount > 2.0
    assert STATIC_SHARE + ALLOCATED_SHARE < 1.0
