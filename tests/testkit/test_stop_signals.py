"""A run that is stopped by a signal cleans up first, and reports the signal."""

from __future__ import annotations

import asyncio
import os
import signal
from collections.abc import Callable, Iterator
from types import FrameType

import pytest

from orchidferry.testkit.stop_signals import STOP_SIGNALS, StoppedBySignalError, until_stopped

Handler = signal.Handlers | Callable[[int, FrameType | None], None]


def ignore(number: int, frame: FrameType | None) -> None:
    """A handler that was installed before the run."""


@pytest.fixture(params=[signal.SIG_DFL, ignore], ids=["default action", "a handler"])
def former_handler(request: pytest.FixtureRequest) -> Iterator[Handler]:
    """Install a handler of both stop signals for one test."""
    installed = [(number, signal.signal(number, request.param)) for number in STOP_SIGNALS]
    yield request.param
    for number, handler in installed:
        signal.signal(number, handler)


@pytest.mark.parametrize("number", STOP_SIGNALS)
def test_a_signal_cancels_the_work_and_waits_for_its_clean_up(
    number: signal.Signals, former_handler: Handler
) -> None:
    """The handlers of both signals are restored; whatever was installed before the run, and by whom.

    Failure: the handler of a program that had run in the process before was replaced by the default action.
    """
    steps: list[str] = []

    async def work() -> None:
        os.kill(os.getpid(), number)
        try:
            await asyncio.Event().wait()
        finally:
            await asyncio.sleep(0)
            steps.append("cleaned up")

    with pytest.raises(StoppedBySignalError, match=number.name):
        asyncio.run(until_stopped(work()))
    assert steps == ["cleaned up"]
    assert [signal.getsignal(each) for each in STOP_SIGNALS] == [former_handler, former_handler]


def test_completed_work_returns_its_result() -> None:
    async def work() -> int:
        return 7

    assert asyncio.run(until_stopped(work())) == 7
