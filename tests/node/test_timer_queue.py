"""The queue of many timers on one timer of the event loop."""

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


def test_timers_that_are_not_cancelled_fire_once_in_order_and_never_early() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        timers, rng = TimerQueue(loop), random.Random(1)
        fired: list[tuple[int, float]] = []
        due: dict[int, float] = {}
        for n in range(300):
            delay = rng.choice([0.0, 0.02, 0.05, 0.08]) + rng.random() * 0.02
            asked = loop.time() + delay
            timer_id = timers.schedule(delay, lambda n=n: fired.append((n, loop.time())))  # type: ignore[misc]
            # The due time in the heap: the process may have been suspended between the two clock readings.
            due[n] = next(at for at, id in timers._heap if id == timer_id)
            assert due[n] >= asked
            if n % 3 == 0:
                timers.cancel(timer_id)
                del due[n]
        await until(lambda: len(fired) >= len(due))
        await asyncio.sleep(0.02)
        assert sorted(n for n, _ in fired) == sorted(due)
        assert all(at >= due[n] for n, at in fired)
        assert [due[n] for n, _ in fired] == sorted(due[n] for n, _ in fired)
        assert len(timers) == 0

    run(test())


def test_a_callback_may_cancel_a_timer_due_at_the_same_time_and_schedule_new_ones() -> None:
    async def test() -> None:
        timers = TimerQueue(asyncio.get_running_loop())
        fired: list[str] = []
        timer_ids: dict[str, int] = {}

        def first() -> None:
            fired.append("first")
            timers.cancel(timer_ids["second"])
            timers.schedule(0.0, lambda: fired.append("third"))

        timer_ids["first"] = timers.schedule(0.01, first)
        timer_ids["second"] = timers.schedule(0.01, lambda: fired.append("second"))
        await until(lambda: "third" in fired)
        assert fired == ["first", "third"]

    run(test())


def test_an_earlier_timer_is_not_delayed_by_a_later_one() -> None:
    async def test() -> None:
        timers = TimerQueue(asyncio.get_running_loop())
        fired: list[str] = []
        timers.schedule(30.0, lambda: fired.append("late"))
        timers.schedule(0.01, lambda: fired.append("soon"))
        await until(lambda: fired == ["soon"])
        assert len(timers) == 1

    run(test())


def test_an_exception_in_a_callback_is_reported_and_affects_no_other_timer() -> None:
    async def test() -> None:
        loop = asyncio.get_running_loop()
        reported: list[str] = []
        loop.set_exception_handler(lambda _, context: reported.append(str(context["exception"])))
        timers = TimerQueue(loop)
        fired: list[int] = []
        timers.schedule(0.0, partial(list[str]().remove, "nothing"))
        timers.schedule(0.0, lambda: fired.append(1))
        await until(lambda: fired == [1])
        assert len(reported) == 1

    run(test())


def test_cancelled_callbacks_are_not_kept_alive_and_the_heap_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(module, "MAX_CANCELLED", 10)

    class Held:
        def fire(self) -> None:
            raise AssertionError("a cancelled timer fired")

    async def test() -> None:
        timers = TimerQueue(asyncio.get_running_loop())
        held = Held()
        seen = weakref.ref(held)
        for _ in range(1_000):
            timers.cancel(timers.schedule(60.0, held.fire))
        del held
        gc.collect()
        assert seen() is None
        assert len(timers._heap) <= 11 and len(timers) == 0
        timers.cancel(0)

    run(test())
