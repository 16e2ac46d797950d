"""Random legal event sequences: the six rules hold on every action, and the checker sees breaks."""

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
from tests.balancing.checker import Checker, RuleBrokenError
from tests.balancing.helpers import settings

RESULTS = list(Result)
WEIGHTS = [12, 3, 3, 1, 3, 1, 1, 0]


@dataclass
class Owed:
    cls: api.RequestClass
    deadline: float
    attempts: list[tuple[float, int, Result | None]] = field(default_factory=list)  # sent, server, result
    ends: int = 0


class World:
    """A node's surroundings, which check what the balancer does."""

    def __init__(self, seed: int, **changes: Any) -> None:
        self.rng = random.Random(seed)
        self.settings = settings(**changes)
        self.balancer = Balancer(self.settings, seed)
        self.checker = Checker(self.settings)
        self.now = 0.0
        self.due: list[tuple[float, int, api.TimerFired | str]] = []  # timers, and deadlines by request
        self.order = 0
        self.requests: dict[str, Owed] = {}
        self.entries: dict[int, api.ServerEntry] = {}
        self.sends: list[tuple[float, int]] = []
        self.tell(api.Started())
        self.news([self.entry(n) for n in range(self.rng.randrange(7))])

    def entry(self, number: int, health: api.Health = api.Health.IN_SERVICE) -> api.ServerEntry:
        started = self.now if self.rng.random() < 0.2 else None
        return api.ServerEntry(number, f"z{number % 2}", "k", number % 3, health, 1.0, started)

    def news(self, entries: list[api.ServerEntry], kind: api.ListKind = api.ListKind.FULL) -> None:
        if kind is api.ListKind.FULL:
            self.entries = {}
        for entry in entries:
            self.entries[entry.server] = entry
        self.tell(api.ServerList(kind, 1, entries))

    def push(self, at: float, what: api.TimerFired | str) -> None:
        self.order += 1
        heapq.heappush(self.due, (at, self.order, what))

    def tell(self, event: api.Event) -> None:
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
        owed = self.requests[id]
        sent, server, _ = owed.attempts[-1]
        owed.attempts[-1] = (sent, server, result)
        settled = bool(owed.ends) or result is Result.SERVED
        if result is Result.SERVED and not owed.ends:
            owed.ends += 1
        number = len(owed.attempts) - 1
        self.tell(api.AttemptEnded(id, number, server, result, self.now - sent, settled))

    def out(self) -> list[str]:
        return [id for id, owed in self.requests.items() if owed.attempts and owed.attempts[-1][2] is None]

    def pass_time(self, step: float) -> None:
        target = self.now + step
        while self.due and self.due[0][0] <= target:
            at, _, what = heapq.heappop(self.due)
            self.now = max(self.now, at)
            if isinstance(what, api.TimerFired):
                self.tell(what)
            elif not self.requests[what].ends:
                owed = self.requests[what]
                if not owed.attempts or owed.attempts[-1][2] is not None:
                    raise RuleBrokenError("rule 1: a request was lost")
                self.finish(what, Result.TIMEOUT)
                assert owed.ends == 1
        self.now = target

    def step(self, number: int) -> None:
        choice = self.rng.random()
        if choice < 0.35:
            id = f"r{number}"
            cls = self.rng.choice(self.settings.classes)
            ttl = self.rng.choice([1.0, 50.0, 700.0, 3000.0])
            self.requests[id] = Owed(cls, self.now + ttl)
            self.push(self.now + ttl, id)
            self.tell(api.Request(id, cls.name, ttl))
        elif choice < 0.7 and self.out():
            self.finish(self.rng.choice(self.out()), self.rng.choices(RESULTS, WEIGHTS)[0])
        elif choice < 0.75:
            number = self.rng.randrange(8)
            health = self.rng.choice([api.Health.IN_SERVICE, api.Health.DRAINING, api.Health.GONE])
            self.news([self.entry(number, health)], api.ListKind.CHANGES)
        elif choice < 0.77:
            self.news([self.entry(n) for n in range(8) if self.rng.random() < 0.7])
        elif choice < 0.78:
            self.tell(api.ServerList(api.ListKind.FAILED))
        else:
            self.pass_time(self.rng.choice([1.0, 5.0, 40.0, 300.0]))


BUDGET = {"repeat_ratio": 0.03, "extra_floor": 3.0, "resend_span_ms": 5000.0}


def play(seed: int, **changes: Any) -> World:
    """A random day, to its end."""
    world = World(seed, **changes)
    for number in range(150):
        world.step(number)
    world.pass_time(20_000.0)
    world.checker.end()
    return world


def check_sums(balancer: Balancer) -> None:
    """Hold what is kept by difference to the true sums, by the walks that the module does not make."""
    fleet = balancer.server_set
    picker = balancer.picker
    ready = list(fleet.assigned.values())
    assert {s.id for s in fleet.servers.values() if s.managed} == set(fleet.assigned)
    assert all(s.in_service and s.part == pytest.approx(fleet.slices.parts[s.id]) for s in ready)
    assert fleet.weight == pytest.approx(sum(s.counted_weight for s in ready), abs=1e-9)
    assert balancer.outliers.ejected_count == sum(s.ejected for s in ready)
    assert balancer.outstanding.lost_count == sum(len(s.overtaken) for s in ready)
    for server in fleet.servers.values():
        assert (
            server.overtaken <= server.outstanding.keys() and server.late.keys() <= server.outstanding.keys()
        )
        assert not server.overtaken & server.late.keys()
    assert set(picker.varying) == {s.id for s in ready if s.varies}
    on = [s.member for s in ready if s.member.state is RotationState.ACTIVE]
    assert picker.schedule.active_count == len(on)
    assert picker.schedule.total_weight == pytest.approx(sum(m.weight for m in on), abs=1e-9)
    assert set(fleet.in_service_ids.items) == {
        id for id, e in fleet.entries.items() if e.health is api.Health.IN_SERVICE
    }
    # A server that nothing varies has just the weight that a walk would give it.
    for server in ready:
        if not server.varies:
            true = server.part * balancer.slow_start.capacity_share(server, picker.now)
            assert server.member.weight == pytest.approx(true)


@pytest.mark.parametrize("seed", range(40))
def test_what_is_kept_by_difference_is_the_true_sum(seed: int) -> None:
    world = World(seed, nodes=1 + seed % 7, number=seed % 3)
    for number in range(300):
        world.step(number)
        check_sums(world.balancer)


@hypothesis_settings(max_examples=150, deadline=None, derandomize=True, database=None)
@given(st.integers(0, 2**32), st.integers(1, 5), st.integers(0, 2), st.booleans(), st.booleans())
def test_rules_hold_on_random_days(seed: int, attempts: int, tier: int, budget: bool, full: bool) -> None:
    extra = BUDGET if budget else {}
    play(seed, max_attempts=attempts, tier=tier, follow_list=bool(seed % 2), full_may_have_run=full, **extra)


def breaks(**changes: Any) -> str:
    """The rule that is broken on the first random day on which one is."""
    for seed in range(60):
        try:
            play(seed, **({"max_attempts": 4} | changes))
        except RuleBrokenError as broken:
            return str(broken)
    return "none"


def test_the_checker_catches_broken_modules(monkeypatch: pytest.MonkeyPatch) -> None:
    """Each fault is one that a careless change could bring; without a fault nothing is reported."""
    assert breaks(**BUDGET, full_may_have_run=True) == "none"

    def always(*_: object) -> bool:
        return True

    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_repeatable", always)
        assert breaks().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_in_budget", always)
        assert breaks(**BUDGET).startswith("rule 5")
    with monkeypatch.context() as patch:
        patch.setattr(records.Server, "group", lambda *_: None)
        assert breaks().startswith("rule 2")
    with monkeypatch.context() as patch:
        patch.setattr(Balancer, "_end", always)
        assert breaks().startswith("rule 1")
    with monkeypatch.context() as patch:
        all_in_service = type("AllInService", (), {"IN_SERVICE": api.Health.DRAINING, "GONE": 0})
        for module in (records, server_set):
            patch.setattr(module, "Health", all_in_service)
        assert breaks(drain_grace_ms=0.0).startswith("rule 3")

    class Deaf(Balancer):
        """Holds that 'full' proves that an attempt never ran, whatever the settings say."""

        def __init__(self, settings: api.Settings, salt: int) -> None:
            super().__init__(settings, salt)
            self._never_ran = logic.NEVER_RAN

    with monkeypatch.context() as patch:
        patch.setattr("tests.balancing.test_property.Balancer", Deaf)
        assert breaks(full_may_have_run=True).startswith("rule 2")


@pytest.mark.parametrize("seed", range(6))
def test_a_burst_onto_cold_servers_stays_in_budget(seed: int) -> None:
    """Two cold servers join, then a burst comes: each gets less than the stated multiple of its part."""
    world = World(seed, tier=1)
    world.news([api.ServerEntry(n) for n in range(4)])

    def load(seconds: float, gap: float, first: int) -> None:
        for k in range(int(seconds * 1000 / gap)):
            id = f"{first}-{k}"
            world.requests[id] = Owed(world.settings.classes[0], world.now + 3000.0)
            world.tell(api.Request(id, "safe", 3000.0))
            world.pass_time(gap)
            for other in world.out():
                if world.now - world.requests[other].attempts[-1][0] >= 30.0:
                    world.finish(other, Result.SERVED)

    load(20, 10.0, 0)
    rate = 100.0 / 4  # a second, to a warm server
    start = world.now
    cold = [api.ServerEntry(n, started_ms=start) for n in (8, 9)]
    world.news([api.ServerEntry(n) for n in range(4)] + cold)
    load(3, 4.0, 1)
    for server in (8, 9):
        times = [at for at, to in world.sends if to == server]
        assert times, "a cold server gets something"
        for at in times:
            span = [t for t in times if at <= t < at + 1000.0]
            warmth = 0.25 + 0.75 * (at - start) / 8000.0
            assert len(span) <= 3.0 * rate * warmth
