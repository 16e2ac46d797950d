"""Background tasks that belong to one owner."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class TaskSet:
    """The background tasks of one owner; finished ones are dropped, and all can be cancelled together."""

    def __init__(self, on_failed: Callable[[BaseException], None] | None = None) -> None:
        """Create an empty set.

        :param on_failed: called with the exception of a task that failed; None: the event loop reports it
        """
        self._on_failed = on_failed
        self._tasks: set[asyncio.Task[None]] = set()

    def spawn(self, work: Coroutine[Any, Any, None]) -> asyncio.Task[None]:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_done)
        return task

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if self._on_failed is None or task.cancelled():
            return
        if (problem := task.exception()) is not None:
            self._on_failed(problem)

    async def wait(self, timeout_s: float) -> None:
        """Wait until all tasks that are running now have finished, or until the time-out."""
        if self._tasks:
            await asyncio.wait(set(self._tasks), timeout=timeout_s)

    def cancel(self) -> None:
        """Cancel all tasks except the current one."""
        current = asyncio.current_task()
        for task in set(self._tasks):
            if task is not current:
                task.cancel()
