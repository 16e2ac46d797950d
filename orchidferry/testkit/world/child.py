"""Worker processes of the test kit; they read orders from standard input and report on standard output."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from orchidferry.testkit.process import Order

CLOSE_TIMEOUT_S = 5.0  # time for a worker to write its record and exit


class Counts(NamedTuple):
    """Counts of client requests of one load generator process."""

    asked: int = 0  # requests made, retries not counted
    served: int = 0
    open: int = 0  # requests that have not ended


class Child:
    """A running worker process."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.ready = asyncio.Event()
        self.load_ended = asyncio.Event()  # set when a load generator has ended all its requests
        self.counts = Counts()
        self.reader: asyncio.Task[None] | None = None

    def send_order(self, order: Order) -> None:
        """Send the worker an order, unless its input is closed."""
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(order).encode() + b"\n")

    async def close(self) -> None:
        """Wait until the worker has ended, and kill it after a timeout."""
        try:
            await asyncio.wait_for(self.process.wait(), CLOSE_TIMEOUT_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            self.reader.cancel()

    async def listen(self, on_report: OnReport, on_end: OnEnd) -> None:
        """Pass the worker's reports to `on_report`, and its exit status to `on_end` when it ends."""
        assert self.process.stdout is not None
        while text := await self.process.stdout.readline():
            on_report(self, json.loads(text))
        on_end(self, await self.process.wait())


OnReport = Callable[[Child, Order], None]
OnEnd = Callable[[Child, int], None]


async def start_child(
    folder: Path, module: str, name: str, index: int, on_report: OnReport, on_end: OnEnd
) -> Child:
    """Start a worker process.

    :param folder: the run's folder, which contains the script for the workers
    :param module: the Python module that the worker runs
    :param name: name of the worker, and of the files of its record and its log
    :param index: the worker's index among the workers of its kind
    :param on_report: called with each report of the worker
    :param on_end: called with the worker's exit status
    """
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        module,
        str(folder),
        name,
        str(index),
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        stderr=(folder / f"{name}.log").open("wb"),
        start_new_session=True,
    )
    child = Child(name, process)
    child.reader = asyncio.get_running_loop().create_task(child.listen(on_report, on_end))
    return child
