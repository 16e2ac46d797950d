"""The model of a stand-in server, event by event."""

from __future__ import annotations

from dataclasses import replace

import pytest

from orchidferry.testkit.scenario import Class, Tier, read_scenario
from orchidferry.testkit.world import machine
from orchidferry.testkit.world.machine import (
    Action,
    Arrived,
    Begin,
    Call,
    CallDone,
    ClientGone,
    Collapse,
    Finish,
    ServerFaults,
    WakeAt,
    Woken,
)

SCENARIO = read_scenario({"name": "x"}, "x")
SAFE = replace(SCENARIO.classes[0], spread=0.0, work_s=0.1)
KEYED = replace(SCENARIO.classes[1], spread=0.0, work_s=0.1)
TIER = Tier("t", 1, 1.0, 1.0, cores=1, slots=2, room=1, speed=(1.0, 1.0))


class MachineDriver:
    """Sends events to a machine and advances its clock from one wake-up to the next."""

    def __init__(self, tier: Tier = TIER, last: bool = True, cold: bool = False) -> None:
        self.keys = machine.SeenKeys()
        parameters = machine.ServerParameters(
            "s", tier, last, 1.0, 1, SCENARIO.rules, lambda cls: self.keys, 0.0 if cold else None
        )
        self.machine = machine.Machine(parameters, 0.0)
        self.now = 0.0
        self.wake: float | None = None
        self.timed_actions: list[tuple[float, Action]] = []

    def handle(self, event: machine.Event, at: float | None = None) -> list[Action]:
        if at is not None:
            self.run(at)
            self.now = at
        actions = self.machine.handle(event, self.now)
        self.wake = next((a.t for a in actions if isinstance(a, WakeAt)), None)
        self.timed_actions += [(self.now, a) for a in actions]
        return actions

    def run(self, until: float) -> None:
        while self.wake is not None and self.wake <= until:
            self.now = self.wake
            self.handle(Woken())

    def arrive(
        self, id: str, cls: Class = SAFE, at: float | None = None, ends: float = 100.0
    ) -> list[Action]:
        return self.handle(Arrived(id, cls, id, f"k-{id[0]}", ends), at)

    def finished(self) -> dict[str, tuple[str, float]]:
        return {a.id: (a.how, round(t, 3)) for t, a in self.timed_actions if isinstance(a, Finish)}


def test_one_core_executes_requests_one_after_another() -> None:
    driver = MachineDriver()
    driver.arrive("a")
    driver.arrive("b")
    driver.run(10.0)
    assert driver.finished() == {"a": ("served", 0.1), "b": ("served", 0.2)}


def test_request_beyond_slots_and_queue_is_rejected_without_execution() -> None:
    driver = MachineDriver()
    for id in "abcd":
        driver.arrive(id)
    assert driver.finished() == {"d": ("rejected", 0.0)}
    driver.run(10.0)
    assert driver.finished()["c"] == ("served", 0.3)
    assert not any(isinstance(a, Begin) and a.id == "d" for _, a in driver.timed_actions)


def test_request_past_its_deadline_is_rejected_instead_of_begun() -> None:
    driver = MachineDriver()
    driver.arrive("a")
    driver.arrive("b", ends=0.05)
    driver.run(10.0)
    assert driver.finished()["b"] == ("rejected", 0.1)


def test_call_to_the_next_tier_keeps_the_slot_and_frees_the_core() -> None:
    driver = MachineDriver(replace(TIER, slots=2, room=0), last=False)
    driver.arrive("a")
    driver.run(0.05)
    assert any(isinstance(a, Call) and a.id == "a" for _, a in driver.timed_actions)
    driver.arrive("b", at=0.06)
    driver.run(0.2)
    # b used the core while a's call was open.
    assert sum(isinstance(a, Call) for _, a in driver.timed_actions) == 2
    assert driver.arrive("c")[0] == Finish("c", "rejected")  # a and b keep their slots during their calls
    driver.handle(CallDone("a", True), at=0.5)
    driver.handle(CallDone("b", False), at=0.52)
    driver.run(1.0)
    assert driver.finished() == {"c": ("rejected", 0.11), "a": ("served", 0.55), "b": ("error", 0.52)}


def test_slowdown_stretches_the_remaining_work() -> None:
    driver = MachineDriver()
    driver.arrive("a")
    driver.handle(ServerFaults(slowdown=4.0), at=0.05)
    driver.run(10.0)
    assert driver.finished() == {"a": ("served", 0.25)}


def test_frozen_server_continues_where_it_stopped() -> None:
    driver = MachineDriver()
    driver.arrive("a")
    driver.handle(ServerFaults(frozen=True), at=0.04)
    assert driver.wake is None
    driver.arrive("b", at=1.0)
    driver.handle(ServerFaults(), at=2.0)
    driver.run(10.0)
    assert driver.finished() == {"a": ("served", 2.06), "b": ("served", 2.16)}


def test_failing_request_ends_early_and_never_begins() -> None:
    driver = MachineDriver()
    driver.handle(ServerFaults(failure_rate=1.0))
    driver.arrive("a", KEYED)
    driver.run(1.0)
    assert driver.finished() == {"a": ("error", 0.005)}
    assert not any(isinstance(a, Begin) for _, a in driver.timed_actions)
    driver.handle(ServerFaults())
    driver.arrive("a2", KEYED)
    driver.run(2.0)
    # The failed request with the same key did not count as seen.
    assert driver.finished()["a2"][0] == "served"


def test_repeated_key_is_dropped_only_within_its_window() -> None:
    driver = MachineDriver()
    driver.arrive("a", KEYED)
    driver.arrive("a-again", KEYED, at=1.0)
    driver.arrive("a-late", KEYED, at=KEYED.window_s + 0.1)
    driver.run(20.0)
    outcomes = {id: how for id, (how, _) in driver.finished().items()}
    assert outcomes == {"a": "served", "a-again": "repeat", "a-late": "served"}
    assert [a.id for _, a in driver.timed_actions if isinstance(a, Begin)] == ["a", "a-late"]


def test_key_counts_as_seen_from_the_start_of_work_and_not_in_the_queue() -> None:
    driver = MachineDriver(replace(TIER, slots=1, room=2))
    driver.arrive("x")
    driver.arrive("a", KEYED)
    driver.handle(ClientGone("a"))  # dropped from the queue, so it was never executed
    driver.arrive("a-again", KEYED, at=0.2)
    driver.run(5.0)
    assert driver.finished()["a-again"][0] == "served"


def test_concurrent_requests_with_one_key_have_one_effect() -> None:
    driver = MachineDriver()
    driver.arrive("a1", KEYED)
    driver.arrive("a2", KEYED)
    driver.run(5.0)
    assert [a.id for _, a in driver.timed_actions if isinstance(a, Begin)] == ["a1"]
    assert driver.finished()["a2"][0] == "repeat"


def test_cold_server_reaches_full_capacity_after_slow_start() -> None:
    driver = MachineDriver(cold=True)
    driver.arrive("a", at=0.001)
    driver.run(1.0)
    assert driver.finished()["a"][1] == pytest.approx(0.1 / 0.345, abs=0.02)
    assert driver.machine.capacity_share(0.0) == pytest.approx(0.34)
    assert driver.machine.capacity_share(TIER.cold_for_s / 2) == pytest.approx(0.67)
    driver.arrive("b", at=9.0)
    driver.run(10.0)
    assert driver.finished()["b"][1] == pytest.approx(9.1)


def test_overloaded_cold_server_collapses_for_good() -> None:
    driver = MachineDriver(cold=True)
    actions: list[Action] = []
    for n in range(20):  # 2 core-seconds at once; the server can bear 1.1 * 3 * 0.34
        actions += driver.arrive(f"x{n}", at=0.01)
        if driver.machine.collapsed:
            break
    assert n == 11
    assert actions[-1] == Collapse()
    assert driver.arrive("y", at=20.0) == []


def test_warm_server_does_not_collapse() -> None:
    driver = MachineDriver()
    for n in range(200):
        driver.arrive(f"x{n}")
    assert not driver.machine.collapsed
    assert len(driver.finished()) == 197


def test_same_events_give_same_actions() -> None:
    def run_events() -> list[tuple[float, Action]]:
        driver = MachineDriver(replace(TIER, slots=5, room=5))
        driver.handle(ServerFaults(failure_rate=0.3, slowdown=1.5))
        for n in range(50):
            driver.arrive(f"{n}", (SAFE, KEYED)[n % 2], at=n * 0.03)
        driver.run(60.0)
        return driver.timed_actions

    assert run_events() == run_events()
