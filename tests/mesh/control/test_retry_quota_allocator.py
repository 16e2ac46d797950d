"""Retry quotas: simulated allocators and nodes under faults never exceed the total in any window."""

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
DURATION_S = 90.0
TOTAL = ALLOCATED_SHARE * SLACK


class LeaseFromReply(QuotaLease):
    """Fault: counts the lease from the reply instead of the request."""

    def handle_quota(self, quota: RetryQuota, now_s: float) -> bool:
        if quota.number in self._requested_s:
            self._requested_s[quota.number] = now_s
        return super().handle_quota(quota, now_s)


class AnyToken(QuotaLease):
    """Fault: accepts quotas of former owners."""

    def handle_quota(self, quota: RetryQuota, now_s: float) -> bool:
        self.fencing_token = -1
        accepted = super().handle_quota(quota, now_s)
        self.fencing_token = -1
        return accepted


class WithoutExpiry(QuotaLease):
    """Fault: keeps its quota after the lease has expired."""

    def refresh(self, now_s: float) -> bool:
        return super().refresh(min(now_s, self._granted_until_s - 0.01))


class EarlyReuse(QuotaAllocator):
    """Fault: allocates a quota to other nodes as soon as its lease has expired."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        self._count_duration_s = 0.0


class WithoutLearning(QuotaAllocator):
    """Fault: allocates the total as soon as it owns the service."""

    def __init__(self, total: float, window_s: float, now_s: float) -> None:
        super().__init__(total, window_s, now_s, learn_s=0.0)


class IgnoresIncarnation(QuotaAllocator):
    """Fault: doesn't distinguish a restarted node from its previous process."""

    def allocate(
        self, process: NodeProcess, wanted: float, current_amount: float, now_s: float
    ) -> float | None:
        return super().allocate(NodeProcess(process.node, 0), wanted, current_amount, now_s)


class Node:
    """A node that makes as many retries as its quota allows, up to its demand."""

    def __init__(self, name: str, incarnation: int, lease: type[QuotaLease]) -> None:
        self.name = name
        self.incarnation = incarnation
        self.lease = lease()
        self.sent: list[float] = []
        self.excess = 0.0  # retries that it wants to make beyond those already made
        self.frozen_until_s = 0.0
        self.partitioned_until_s = 0.0

    def used(self, now_s: float) -> int:
        return sum(now_s - WINDOW_S - MAX_DELAY_S <= at for at in self.sent)


class World:
    """Nodes, successive owners, and a network that loses, duplicates and delays messages."""

    def __init__(self, seed: int, lease: type[QuotaLease] = QuotaLease) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.lease = lease
        self.nodes = [Node(f"n{n}", 1, lease) for n in range(NODES)]
        self.fencing_token = 0
        self.owners: list[tuple[float, RetryQuotaAllocators]] = []  # with the time of the first reply
        self.in_flight: list[tuple[float, int, Any]] = []
        self.arrivals: list[float] = []
        self.no_faults = False
        self.former_owners_reply = False

    def change_owner(self) -> None:
        self.fencing_token += 1
        token = self.fencing_token
        if not self.former_owners_reply:
            self.owners.clear()
        # Former owners reply again when all nodes know the new one.
        self.owners = [(self.now + 4.0, owner) for _, owner in self.owners]
        self.owners.append((0.0, RetryQuotaAllocators(SLACK, WINDOW_S, lambda service, now: token)))

    def post(self, call: Any, delay_factor: float) -> None:
        draw = 1.0 if self.no_faults else self.rng.random()
        if draw < 0.1 and not self.former_owners_reply:
            return
        for _ in range(2 if draw < 0.2 else 1):
            delay_s = self.rng.uniform(0.0, 9.0 if draw < 0.4 and not self.former_owners_reply else 0.2)
            self.in_flight.append((self.now + delay_s * delay_factor, self.rng.randrange(2**30), call))

    def request(self, node: Node) -> None:
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
        for replies_from_s, owner in self.owners:
            if self.now >= max(replies_from_s, node.partitioned_until_s):
                self.post(lambda owner=owner: self.answer(owner, node, request), 0.5)

    def answer(self, owner: RetryQuotaAllocators, node: Node, request: RetryQuotaRequest) -> None:
        if all(owner is not known for _, known in self.owners):
            return  # this controller knows that it is no longer the owner
        reply = owner.handle(request, self.now)
        if reply is not None:
            self.post(lambda: self.receive(node, reply), 1.0)

    def receive(self, node: Node, reply: RetryQuota) -> None:
        if node.frozen_until_s > self.now:
            self.in_flight.append((node.frozen_until_s, 0, lambda: self.receive(node, reply)))
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
            if not self.no_faults and self.rng.random() < 0.01:  # a frozen process
                node.frozen_until_s = self.now + self.rng.uniform(0.5, 8.0)
            elif not self.no_faults and self.rng.random() < 0.008:  # a restarted process
                self.nodes[n] = Node(node.name, node.incarnation + 1, self.lease)
            elif not self.no_faults and not self.former_owners_reply and self.rng.random() < 0.01:
                node.partitioned_until_s = self.now + self.rng.uniform(1.0, 30.0)
            if not self.no_faults and self.rng.random() < 0.05:
                node.excess = self.rng.choice((0.0, 3.0, 40.0, 40.0))
            if round(self.now / STEP_S + n) % 4 == 0:
                self.request(node)
            node.lease.refresh(self.now)
            assert self.lease is not QuotaLease or node.lease.refresh_due_s > self.now
            while node.excess and node.used(self.now) + 1 <= node.lease.amount:
                node.sent.append(self.now)
                self.arrivals.append(self.now + self.rng.uniform(0.0, MAX_DELAY_S))

    def simulate(self, owner_change_rate: float = 0.02) -> int:
        """Run the simulation, and return the maximum number of retries that arrive in any window."""
        self.change_owner()
        while self.now < 100.0 + DURATION_S:
            if self.rng.random() < owner_change_rate:
                self.change_owner()
            self.step()
        times = sorted(self.arrivals)
        return max((sum(a <= b <= a + WINDOW_S for b in times) for a in times), default=0)


@settings(max_examples=120, deadline=None)
@given(st.integers(0, 2**40), st.sampled_from((0.0, 0.005, 0.02)), st.booleans())
def test_no_window_ever_has_more_retries_than_the_total(
    seed: int, owner_change_rate: float, former_owners_reply: bool
) -> None:
    world = World(seed)
    world.former_owners_reply = former_owners_reply  # if so, every node reaches the present owner
    assert world.simulate(owner_change_rate) <= TOTAL


@pytest.mark.parametrize(
    ("lease", "allocator", "owner_change_rate", "former_owners_reply"),
    [
        (LeaseFromReply, QuotaAllocator, 0.0, False),
        (WithoutExpiry, QuotaAllocator, 0.0, False),
        (AnyToken, QuotaAllocator, 0.005, True),
        (QuotaLease, EarlyReuse, 0.0, False),
        (QuotaLease, WithoutLearning, 0.01, False),
        (QuotaLease, IgnoresIncarnation, 0.0, False),
    ],
)
def test_each_fault_is_detected(
    monkeypatch: pytest.MonkeyPatch,
    lease: type[QuotaLease],
    allocator: type[QuotaAllocator],
    owner_change_rate: float,
    former_owners_reply: bool,
) -> None:
    monkeypatch.setattr(retry_quota_allocator, "QuotaAllocator", allocator)

    def exceeds_total(seed: int) -> bool:
        world = World(seed, lease)
        world.former_owners_reply = former_owners_reply
        return world.simulate(owner_change_rate) > TOTAL

    assert any(exceeds_total(seed) for seed in range(60))


def test_quotas_follow_demand_and_no_node_starves() -> None:
    """If all nodes want many retries, they get equal parts; if one does, it gets most, the rest the floor."""
    world = World(1)
    world.no_faults = True
    world.change_owner()

    def steady_state(*excess: float) -> list[float]:
        for _ in range(200):
            for node, wanted in zip(world.nodes, excess, strict=True):
                node.excess = wanted
            world.step()
        return [node.lease.amount for node in world.nodes]

    shares = steady_state(40.0, 40.0, 40.0, 40.0)
    assert sum(shares) > 0.95 * TOTAL and max(shares) - min(shares) < 0.15 * TOTAL / NODES
    shares = steady_state(40.0, 0.0, 0.0, 0.0)
    assert shares[0] > 0.7 * TOTAL and min(shares) >= 0.95 * TOTAL / (4 * NODES)
    before = sum(shares)
    world.change_owner()  # while the new owner learns, it only renews the quotas that nodes have
    for _ in range(int((LEASE_S + WINDOW_S) / STEP_S)):
        for node, wanted in zip(world.nodes, (40.0, 0.0, 0.0, 0.0), strict=True):
            node.excess = wanted
        world.step()
        assert 0.7 * before < sum(node.lease.amount for node in world.nodes) <= before * 1.001


def test_a_controller_answers_only_for_the_services_that_it_owns() -> None:
    owned: dict[str, int] = {"a": 3}
    controller = RetryQuotaAllocators(SLACK, WINDOW_S, lambda service, now: owned.get(service))

    def request(service: str, token: int, now: float) -> Any:
        return controller.handle(RetryQuotaRequest(service, "n", 1, 7, 0.0, 5.0, 2.0, token), now)

    assert request("b", -1, 0.0) is None and request("a", 4, 0.0) is None
    assert request("a", 3, 0.0) == RetryQuota("a", 3, 7, 2.0, LEASE_S)  # renewed while learning
    assert request("a", 3, LEASE_S + WINDOW_S + MAX_DELAY_S).amount > 2.0
    assert STATIC_SHARE + ALLOCATED_SHARE < 1.0
