"""A run that is stopped by a signal cleans up first, and reports the signal."""

from __future__ import annotations

import asyncio
import os
import signal

import pytest

from orchidferry.testkit.stop_signals import STOP_SIGNALS, StoppedBySignalError, until_stopped


@pytest.mark.parametrize("number", STOP_SIGNALS)
def test_a_signal_cancels_the_work_and_waits_for_its_clean_up(number: signal.Signals) -> None:
    steps: list[str] = []

    async def work() -> None:
        os.kill(os.getpid(), number)
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0)
            steps.append("cleaned up")

    before = signal.getsignal(number)
    with pytest.raises(StoppedBySignalError, match=number.name):
        asyncio.run(until_stopped(work()))
    assert steps == ["cleaned up"] and signal.getsignal(number) is before


def test_completed_work_returns_its_result() -> None:
    async def work() -> int:
        return 7

    assert asyncio.run(until_stopped(work())) == 7
