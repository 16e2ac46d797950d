"""Long work as a generator that yields between its steps, so that an event loop can do other work there."""

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
    """Run the steps, and let the event loop do what else is ready after each.

    :returns: the generator's result.
    """
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: T = done.value
            return result
        await asyncio.sleep(0)
