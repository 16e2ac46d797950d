"""Long work as a generator that yields between its steps: run at once, or with all else that is ready
between.
"""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from typing import TypeVar

T = TypeVar("T")


def run_to_completion(steps: Generator[None, None, T]) -> T:
    """Run it to its end."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: T = done.value
            return result


async def run_cooperatively(steps: Generator[None, None, T]) -> T:
    """Run it to its end, with all else that is ready before each step."""
    while True:
        try:
            next(steps)
        except StopIteration as done:
            result: T = done.value
            return result
        await asyncio.sleep(0)
