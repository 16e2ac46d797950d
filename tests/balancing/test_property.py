"""Random valid event sequences: the six rules hold for every action, and the checker finds violations."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from orchidferry.balancing import interface as api
from orchidferry.balancing import logic, records, server_set
from orchidferry.balancing.interface import Result
from orchidferry.balancing.logic import Balancer
from orchidferry.balancing.schedule import RotationState
from tests.balancing.checker import Checker, RuleViolationError
from tests.balancing.helpers import settings

RESULTS = list(Result)
WEIGHTS = [12, 3, 3, 1, 3, 1, 1, 0]


@dataclass
class OpenRequest:
    cls: api.RequestClass
    deadline: float
    attempts: list[tuple[float, int, Result | None]] = field(default_factory=list)  # sent, server, result
    ends: int = 0


class World:
    """Simulates clients, servers and timers of one node, and checks the actions of the balancer."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.checker = Checker(self.settings)
        self.now = 0.0
        # Heap of (time, order, timer or the id of a request whose deadline this is)
        self.scheduled: list[tuple[float, int, api.TimerFired | str]] = []
        self.order = 0
        self.requests: dict[str, OpenRequest] = {}
        self.entries: dict[int, api.ServerEntry] = {}
        self.sends: list[tuple[float, int]] = []
        self.handle(api.Started())
        self.list_servers([self.entry(n) for n in range(self.rng.randrange(7))])

    def entry(self, number: int, health: api.Health = api.Health.IN_SERVICE) -> api.ServerEntry:
        started = self.now if self.rng.random() < 0.2 else None
        return api.ServerEntry(number, f"z{number % 2}", "k", number % 3, health, 1.0, started)

    def list_servers(self, entries: list[api.ServerEntry], kind: api.ListKind = api.ListKind.FULL) -> None:
        if kind is api.ListKind.FULL:
            self.entries = {}
        for entry in entries:
            self.entries[entry.server] = entry
        self.handle(api.ServerList(kind, 1, entries))

    def push(self, at: float, item: api.TimerFired | str) -> None:
        self.order += 1
        heapq.heappush(self.scheduled, (at, self.order, item))

    def handle(self, event: api.Event) -> None:
        self.checker.event(event, self.now)
        for action in self.balancer.handle(event, self.now):
            self.check(action)

    def check(self, action: api.Action) -> None:
        self.checker.action(action, self.now)
        if isinstance(action, api.SetTimer):
            assert action.delay_ms >= 0.0
            self.push(self.now + action.delay_ms, api.TimerFired(action.token))
        elif isinstance(action, api.Send):
            self.requests[action.id].attempts.append((self.now, action.server, None))
            self.sends.append((self.now, action.server))
        elif isinstance(action, api.Fail | api.Refuse):
            self.requests[action.id].ends += 1

    def finish(self, id: str, result: Result) -> None:
        request = self.requests[id]
        sent, server, _ = request.attempts[-1]
        request.attempts[-1] = (sent, server, result)
        settled = bool(request.ends) or result is Result.SERVED
        if result is Result.SERVED and not request.ends:
            request.ends += 1
        number = len(request.attempts) - 1
        self.handle(api.AttemptEnded(id, number, server, result, self.now - sent, settled))

    def outstanding(self) -> list[str]:
        return [
            id
            for id, request in self.requests.items()
            if request.attempts and request.attempts[-1][2] is None
        ]

    def pass_time(self, step: float) -> None:
        target = self.now + step
        while self.scheduled and self.scheduled[0][0] <= target:
            at, _, item = heapq.heappop(self.scheduled)
            self.now = max(self.now, at)
            if isinstance(item, api.TimerFired):
                self.handle(item)
            elif not self.requests[item].ends:
                request = self.requests[item]
                if not request.attempts or request.attempts[-1][2] is not None:
                    raise RuleViolationError("rule 1: no final answer")
                self.finish(item, Result.TIMEOUT)
                assert request.ends == 1
        self.now = target

    def step(self, number: int) -> None:
        choice = self.rng.random()
        if choice < 0.35:
            id = f"r{number}"
            cls = self.rng.choice(self.settings.classes)
            ttl = self.rng.choice([1.0, 50.0, 700.0, 3000.0])
            self.requests[id] = OpenRequest(cls, self.now + ttl)
            self.push(self.now + ttl, id)
            self.handle(api.Request(id, cls.name, ttl))
        elif choice < 0.7 and self.outstanding():
            self.finish(self.rng.choice(self.outstanding()), self.rng.choices(RESULTS, WEIGHTS)[0])
        elif choice < 0.75:
            number = self.rng.randrange(8)
            health = self.rng.choice([api.Health.IN_SERVICE, api.Health.DRAINING, api.Health.GONE])
            self.list_servers([self.entry(number, health)], api.ListKind.CHANGES)
        elif choice < 0.77:
            self.list_servers([self.entry(n) for n in range(8) if self.rng.random() < 0.7])
        elif choice < 0.78:
            self.handle(api.ServerList(api.ListKind.FAILED))
        else:
            self.pass_time(self.rng.choice([1.0, 5.0, 40.0, 300.0]))


BUDGET = {"repeat_ratio": 0.03, "extra_floor": 3.0, "resend_span_ms": 5000.0}


def run_random(seed: int, **changes: Any) -> World:
    """Run a random sequence of events until all requests have ended."""
    world = World(seed, **changes)
    for number in range(150):
        world.step(number)
    world.pass_time(20_000.0)
    world.checker.end()
    return world


def check_sums(balancer: Balancer) -> None:
    """Compare incrementally updated sums with sums over all servers, which the balancer never computes."""
    servers = balancer.server_set
    picker = balancer.picker
    assigned = list(servers.assigned.values())
    assert {s.id for s in servers.servers.values() if s.managed} == set(servers.assigned)
    assert all(
        s.in_service and s.assigned_share == pytest.approx(servers.slices.assigned_shares[s.id])
        for s in assigned
    )
    assert servers.weight == pytest.approx(sum(s.counted_weight for s in assigned), abs=1e-9)
    assert balancer.outliers.ejected_count == sum(s.ejected for s in assigned)
    assert balancer.outstanding.lost_count == sum(len(s.overtaken) for s in assigned)
    for server in servers.servers.values():
        assert (
            server.overtaken <= server.outstanding.keys()
            and server.long_overdue.keys() <= server.outstanding.keys()
        )
        assert not server.overtaken & server.long_overdue.keys()
    assert set(picker.varying) == {s.id for s in assigned if s.varies}
    active = [s.member for s in assigned if s.member.state is RotationState.ACTIVE]
    assert picker.schedule.active_count == len(active)
    assert picker.schedule.total_weight == pytest.approx(sum(m.weight for m in active), abs=1e-9)
    assert set(servers.in_service_ids.items) == {
        id for id, e in servers.entries.items() if e.health is api.Health.IN_SERVICE
    }
    # A server whose weight does not vary has exactly the weight that is computed from scratch.
    for server in assigned:
        if not server.varies:
            expected = server.assigned_share * balancer.slow_start.capacity_share(server, picker.now)
            assert server.member.weight == pytest.approx(expected)


@pytest.mark.parametrize("seed", range(40))
def test_incrementally_updated_sums_are_right(seed: int) -> None:
    world = World(seed, nodes=1 + seed % 7, number=seed % 3)
    for number in range(300):
        world.step(number)
        check_sums(world.balancer)


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.integers(1, 5), st.integers(0, 2), st.booleans(), st.booleans())
def test_rules_hold_in_random_runs(seed: int, attempts: int, tier: int, budget: bool, full: bool) -> None:
    extra = BUDGET if budget else {}
    run_random(
        seed, max_attempts=attempts, tier=tier, follow_list=bool(seed % 2), full_may_have_run=full, **extra
    )


def first_violation(**changes: Any) -> str:
    """The first violation in up to 60 random runs; "none" if there is none."""
    for seed in range(60):
        try:
            run_random(seed, **({"max_attempts": 4} | changes))
        except RuleViolationError as violation:
            return str(violation)
    return "none"


def test_the_checker_finds_injected_faults(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each fault is one that a careless change could introduce; without a fault there is no violation."""
    assert first_violation(**BUDGET, full_may_have_run=True) == "none"

    def always(*_: object) -> bool:
        return True

    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_repeatable", always)
        assert first_violation().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_in_budget", always)
        assert first_violation(**BUDGET).startswith("rule 5")
    with monkeypatch.context() as patch:
        patch.setattr(records.Server, "group", lambda *_: None)
        assert first_violation().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_end", always)
        assert first_violation().startswith("rule 1")
    with monkeypatch.context() as patch:
        all_in_service = type("AllInService", (), {"IN_SERVICE": api.Health.DRAINING, "GONE": 0})
        for module in (records, server_set):
            patch.setattr(module, "Health", all_in_service)
        assert first_violation(drain_grace_ms=0.0).startswith("rule 3")

    class IgnoresFullMayHaveRun(Balancer):
        """Takes a refusal as proof that an attempt never ran, whatever the settings say."""

        def __init__(self, settings: api.Settings, salt: int) -> None:
            super().__init__(settings, salt)
            self._never_ran = logic.NEVER_RAN

    with monkeypatch.context() as patch:
        patch.setattr("tests.balancing.test_property.Balancer", IgnoresFullMayHaveRun)
        assert first_violation(full_may_have_run=True).startswith("rule 2")


@pytest.mark.parametrize("seed", range(6))
def test_rule_4_holds_in_a_burst_on_warming_servers(seed: int) -> None:
    """Two cold servers join, then a burst comes: each gets at most `overload_factor` times its share."""
    world = World(seed, tier=1)
    world.list_servers([api.ServerEntry(n) for n in range(4)])

    def load(seconds: float, gap: float, first: int) -> None:
        for k in range(int(seconds * 1000 / gap)):
            id = f"{first}-{k}"
            world.requests[id] = OpenRequest(world.settings.classes[0], world.now + 3000.0)
            world.handle(api.Request(id, "safe", 3000.0))
            world.pass_time(gap)
            for other in world.outstanding():
                if world.now - world.requests[other].attempts[-1][0] >= 30.0:
                    world.finish(other, Result.SERVED)

    load(20, 10.0, 0)
    rate = 100.0 / 4  # requests per second to a warm server
    start = world.now
    cold = [api.ServerEntry(n, started_ms=start) for n in (8, 9)]
    world.list_servers([api.ServerEntry(n) for n in range(4)] + cold)
    load(3, 4.0, 1)
    for server in (8, 9):
        times = [at for at, to in world.sends if to == server]
        assert times, "a cold server gets something"
        for at in times:
            within_1_s = [t for t in times if at <= t < at + 1000.0]
            capacity = 0.25 + 0.75 * (at - start) / 8000.0
            assert len(within_1_s) <= 3.0 * rate * capacity
