"""Long-running work as generators that yield between steps, so that the event loop can do other work."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """Run all steps in one go.

    :returns: the generator's result.
    """
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: T = done.value
            return result


async def run_cooperatively(steps: Generator[None, None, T]) -> T:
    """Run the steps, and let the event loop run other ready callbacks after each step.

    :returns: the generator's result.
    """
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: T = done.value
            return result
        await asyncio.sleep(0)
