"""Tasks that an object has under way: each is forgotten as it ends, and all end with their owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class TaskSet:
    """The tasks of one owner."""

    def __init__(self, failed: Callable[[BaseException], None] | None = None) -> None:
        """`failed` is told what a task raised; with none that is left to the loop."""
        self._failed = failed
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Have something done beside the rest."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._ended)
        return task

    def _ended(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if self._failed is None or task.cancelled():
            return
        if (problem := task.exception()) is not None:
            self._failed(problem)

    async def wait(self, limit_s: float) -> None:
        """Wait for what is under way now."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=limit_s)

    def cancel(self) -> None:
        """End all of them, but for the one that calls this."""
        mine = asyncio.current_task()
        for task in set(self._tasks):
            if task is not mine:
                task.cancel()
