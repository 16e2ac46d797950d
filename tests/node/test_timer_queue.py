"""Many time limits on one timer."""

from __future__ import annotations

import asyncio
import gc
import random
import weakref
from functools import partial

import pytest

from orchidferry.node import timer_queue as module
from orchidferry.node.timer_queue import TimerQueue
from tests.node.peers import run, until


def test_all_that_is_not_called_off_rings_once_in_order_and_never_early() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        timers, rng = TimerQueue(loop), random.Random(1)
        rung: list[tuple[int, float]] = []
        due: dict[int, float] = {}
        for n in range(300):
            delay = rng.choice([0.0, 0.02, 0.05, 0.08]) + rng.random() * 0.02
            asked = loop.time() + delay
            number = timers.schedule(delay, lambda n=n: rung.append((n, loop.time())))  # type: ignore[misc]
            # As it was set: this process may have stood still between the two looks at the clock.
            due[n] = next(at for at, one in timers._heap if one == number)
            assert due[n] >= asked
            if n % 3 == 0:
                timers.cancel(number)
                del due[n]
        await until(lambda: len(rung) >= len(due))
        await asyncio.sleep(0.02)
        assert sorted(n for n, _ in rung) == sorted(due)
        assert all(at >= due[n] for n, at in rung)
        assert [due[n] for n, _ in rung] == sorted(due[n] for n, _ in rung)
        assert len(timers) == 0

    run(test())


def test_one_may_call_off_another_that_is_due_with_it_and_set_new_ones() -> None:
    async def test() -> None:
        timers = TimerQueue(asyncio.get_running_loop())
        rung: list[str] = []
        numbers: dict[str, int] = {}

        def first() -> None:
            rung.append("first")
            timers.cancel(numbers["second"])
            timers.schedule(0.0, lambda: rung.append("third"))

        numbers["first"] = timers.schedule(0.01, first)
        numbers["second"] = timers.schedule(0.01, lambda: rung.append("second"))
        await until(lambda: "third" in rung)
        assert rung == ["first", "third"]

    run(test())


def test_an_earlier_one_is_not_held_up_by_a_later_one() -> None:
    async def test() -> None:
        timers = TimerQueue(asyncio.get_running_loop())
        rung: list[str] = []
        timers.schedule(30.0, lambda: rung.append("late"))
        timers.schedule(0.01, lambda: rung.append("soon"))
        await until(lambda: rung == ["soon"])
        assert len(timers) == 1

    run(test())


def test_one_that_raises_is_told_and_stops_no_other() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        told: list[str] = []
        loop.set_exception_handler(lambda _, context: told.append(str(context["exception"])))
        timers = TimerQueue(loop)
        rung: list[int] = []
        timers.schedule(0.0, partial(list[str]().remove, "nothing"))
        timers.schedule(0.0, lambda: rung.append(1))
        await until(lambda: rung == [1])
        assert len(told) == 1

    run(test())


def test_what_is_called_off_is_not_kept_alive_and_the_heap_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_CANCELLED", 10)

    class Held:
        def ring(self) -> None:
            raise AssertionError("it was called off")

    async def test() -> None:
        timers = TimerQueue(asyncio.get_running_loop())
        held = Held()
        seen = weakref.ref(held)
        for _ in range(1_000):
            timers.cancel(timers.schedule(60.0, held.ring))
        del held
        gc.collect()
        assert seen() is None
        assert len(timers._heap) <= 11 and len(timers) == 0
        timers.cancel(0)

    run(test())
