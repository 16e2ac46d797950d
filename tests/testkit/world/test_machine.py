"""The inside of a stand-in server, event by event."""

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


class Bench:
    """A machine with a clock that goes from one wake-up to the next."""

    def __init__(self, tier: Tier = TIER, last: bool = True, cold: bool = False) -> None:
        self.keys = machine.SeenKeys()
        figures = machine.ServerParameters(
            "s", tier, last, 1.0, 1, SCENARIO.rules, lambda cls: self.keys, 0.0 if cold else None
        )
        self.machine = machine.Machine(figures, 0.0)
        self.now = 0.0
        self.wake: float | None = None
        self.log: list[tuple[float, Action]] = []

    def do(self, event: machine.Event, at: float | None = None) -> list[Action]:
        if at is not None:
            self.run(at)
            self.now = at
        actions = self.machine.handle(event, self.now)
        self.wake = next((a.t for a in actions if isinstance(a, WakeAt)), None)
        self.log += [(self.now, a) for a in actions]
        return actions

    def run(self, until: float) -> None:
        while self.wake is not None and self.wake <= until:
            self.now = self.wake
            self.do(Woken())

    def arrive(
        self, id: str, cls: Class = SAFE, at: float | None = None, ends: float = 100.0
    ) -> list[Action]:
        return self.do(Arrived(id, cls, id, f"k-{id[0]}", ends), at)

    def finished(self) -> dict[str, tuple[str, float]]:
        return {a.id: (a.how, round(t, 3)) for t, a in self.log if isinstance(a, Finish)}


def test_one_core_works_one_after_another() -> None:
    bench = Bench()
    bench.arrive("a")
    bench.arrive("b")
    bench.run(10.0)
    assert bench.finished() == {"a": ("served", 0.1), "b": ("served", 0.2)}


def test_beyond_slots_and_room_it_turns_away_unseen() -> None:
    bench = Bench()
    for id in "abcd":
        bench.arrive(id)
    assert bench.finished() == {"d": ("rejected", 0.0)}
    bench.run(10.0)
    assert bench.finished()["c"] == ("served", 0.3)
    assert not any(isinstance(a, Begin) and a.id == "d" for _, a in bench.log)


def test_what_is_over_by_the_time_it_would_begin_is_turned_away() -> None:
    bench = Bench()
    bench.arrive("a")
    bench.arrive("b", ends=0.05)
    bench.run(10.0)
    assert bench.finished()["b"] == ("rejected", 0.1)


def test_a_call_to_the_next_tier_keeps_the_slot_and_frees_the_core() -> None:
    bench = Bench(replace(TIER, slots=2, room=0), last=False)
    bench.arrive("a")
    bench.run(0.05)
    assert any(isinstance(a, Call) and a.id == "a" for _, a in bench.log)
    bench.arrive("b", at=0.06)
    bench.run(0.2)
    assert sum(isinstance(a, Call) for _, a in bench.log) == 2  # b had the core meanwhile
    assert bench.arrive("c")[0] == Finish("c", "rejected")  # and both keep their slots
    bench.do(CallDone("a", True), at=0.5)
    bench.do(CallDone("b", False), at=0.52)
    bench.run(1.0)
    assert bench.finished() == {"c": ("rejected", 0.11), "a": ("served", 0.55), "b": ("error", 0.52)}


def test_a_slow_server_takes_so_many_times_as_long_from_then_on() -> None:
    bench = Bench()
    bench.arrive("a")
    bench.do(ServerFaults(slowdown=4.0), at=0.05)
    bench.run(10.0)
    assert bench.finished() == {"a": ("served", 0.25)}


def test_a_server_that_stands_still_goes_on_where_it_was() -> None:
    bench = Bench()
    bench.arrive("a")
    bench.do(ServerFaults(frozen=True), at=0.04)
    assert bench.wake is None
    bench.arrive("b", at=1.0)
    bench.do(ServerFaults(), at=2.0)
    bench.run(10.0)
    assert bench.finished() == {"a": ("served", 2.06), "b": ("served", 2.16)}


def test_a_server_that_fails_says_so_at_once_and_never_begins() -> None:
    bench = Bench()
    bench.do(ServerFaults(failure_rate=1.0))
    bench.arrive("a", KEYED)
    bench.run(1.0)
    assert bench.finished() == {"a": ("error", 0.005)}
    assert not any(isinstance(a, Begin) for _, a in bench.log)
    bench.do(ServerFaults())
    bench.arrive("a2", KEYED)
    bench.run(2.0)
    assert bench.finished()["a2"][0] == "served"  # its key had not been used up


def test_a_key_is_dropped_within_its_window_and_not_after_it() -> None:
    bench = Bench()
    bench.arrive("a", KEYED)
    bench.arrive("a-again", KEYED, at=1.0)
    bench.arrive("a-late", KEYED, at=KEYED.window_s + 0.1)
    bench.run(20.0)
    hows = {id: how for id, (how, _) in bench.finished().items()}
    assert hows == {"a": "served", "a-again": "repeat", "a-late": "served"}
    assert [a.id for _, a in bench.log if isinstance(a, Begin)] == ["a", "a-late"]


def test_a_key_counts_from_the_beginning_of_work_not_from_the_waiting_room() -> None:
    bench = Bench(replace(TIER, slots=1, room=2))
    bench.arrive("x")
    bench.arrive("a", KEYED)
    bench.do(ClientGone("a"))  # leaves the room: it has never run
    bench.arrive("a-again", KEYED, at=0.2)
    bench.run(5.0)
    assert bench.finished()["a-again"][0] == "served"


def test_two_copies_of_a_key_in_work_at_once_have_one_effect() -> None:
    bench = Bench()
    bench.arrive("a1", KEYED)
    bench.arrive("a2", KEYED)
    bench.run(5.0)
    assert [a.id for _, a in bench.log if isinstance(a, Begin)] == ["a1"]
    assert bench.finished()["a2"][0] == "repeat"


def test_a_cold_server_is_slow_at_first_and_warm_after_its_ramp() -> None:
    bench = Bench(cold=True)
    bench.arrive("a", at=0.001)
    bench.run(1.0)
    assert bench.finished()["a"][1] == pytest.approx(0.1 / 0.345, abs=0.02)
    assert bench.machine.capacity_share(0.0) == pytest.approx(0.34)
    assert bench.machine.capacity_share(TIER.cold_for_s / 2) == pytest.approx(0.67)
    bench.arrive("b", at=9.0)
    bench.run(10.0)
    assert bench.finished()["b"][1] == pytest.approx(9.1)


def test_a_cold_server_pushed_past_its_multiple_falls_and_stays_down() -> None:
    bench = Bench(cold=True)
    actions: list[Action] = []
    for n in range(20):  # 2 core-seconds at once; 1.1 times 3 times 0.34 is what it bears
        actions += bench.arrive(f"x{n}", at=0.01)
        if bench.machine.collapsed:
            break
    assert n == 11
    assert actions[-1] == Collapse()
    assert bench.arrive("y", at=20.0) == []


def test_a_warm_server_bears_any_push() -> None:
    bench = Bench()
    for n in range(200):
        bench.arrive(f"x{n}")
    assert not bench.machine.collapsed
    assert len(bench.finished()) == 197


def test_the_same_events_give_the_same_actions() -> None:
    def play() -> list[tuple[float, Action]]:
        bench = Bench(replace(TIER, slots=5, room=5))
        bench.do(ServerFaults(failure_rate=0.3, slowdown=1.5))
        for n in range(50):
            bench.arrive(f"{n}", (SAFE, KEYED)[n % 2], at=n * 0.03)
        bench.run(60.0)
        return bench.log

    assert play() == play()
