"""Orderly shutdown of a run on SIGINT or SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Callable, Coroutine, Iterator
from typing import Any, TypeVar

T = TypeVar("T")

STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM)


class StoppedBySignalError(InterruptedError):
    """The process received a stop signal; the message names it."""


@contextlib.contextmanager
def on_stop_signals(stop: Callable[[signal.Signals], None]) -> Iterator[None]:
    """Call `stop` on the running event loop at SIGINT and SIGTERM; afterwards restore the former handlers.

    A former handler of the event loop itself is not called again.
    """
    loop = asyncio.get_running_loop()
    former = {number: signal.getsignal(number) for number in STOP_SIGNALS}
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop, number)
    try:
        yield
    finally:
        for number, handler in former.items():
            loop.remove_signal_handler(number)
            signal.signal(number, handler)


async def until_stopped(work: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine; on a stop signal cancel it, await its clean-up and raise `StoppedBySignalError`."""
    task = asyncio.get_running_loop().create_task(work)
    stopped: list[signal.Signals] = []

    def stop(number: signal.Signals) -> None:
        stopped.append(number)
        task.cancel()

    with on_stop_signals(stop):
        try:
            return await task
        except asyncio.CancelledError:
            if stopped:
                raise StoppedBySignalError(f"stopped by {stopped[0].name}") from None
            raise
