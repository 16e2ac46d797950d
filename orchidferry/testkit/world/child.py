"""A worker process of the kit's own: orders go to its standard input, news come from its output."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from pathlib import Path
from typing import NamedTuple

from orchidferry.testkit.process import Order

CLOSE_S = 5.0  # for a worker to write its record and go


class Counts(NamedTuple):
    """How many requests a process of clients has made, has had answered, and has open."""

    asked: int = 0
    served: int = 0
    open: int = 0


class Child:
    """A running worker process."""

    def __init__(self, name: str, process: asyncio.subprocess.Process) -> None:
        self.name = name
        self.process = process
        self.ready = asyncio.Event()
        self.played = asyncio.Event()
        self.counts = Counts()
        self.reader: asyncio.Task[None] | None = None

    def tell(self, order: Order) -> None:
        """Send it an order, if it still listens."""
        assert self.process.stdin is not None
        if not self.process.stdin.is_closing():
            self.process.stdin.write(json.dumps(order).encode() + b"\n")

    async def close(self) -> None:
        """Wait until it has ended, and kill it where that takes too long."""
        try:
            await asyncio.wait_for(self.process.wait(), CLOSE_S)
        except TimeoutError:
            self.process.kill()
            await self.process.wait()
        if self.reader is not None:
            self.reader.cancel()

    async def listen(
        self, on_news: Callable[[Child, Order], None], on_end: Callable[[Child, int], None]
    ) -> None:
        """Hand on what it says, until it ends."""
        assert self.process.stdout is not None
        while text := await self.process.stdout.readline():
            on_news(self, json.loads(text))
        on_end(self, await self.process.wait())


OnNews = Callable[[Child, Order], None]
OnEnd = Callable[[Child, int], None]


async def start_child(
    folder: Path, module: str, name: str, index: int, on_news: OnNews, on_end: OnEnd
) -> Child:
    """Start a worker; what it says goes to `on_news`, its exit status to `on_end`."""
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
    child.reader = asyncio.get_running_loop().create_task(child.listen(on_news, on_end))
    return child
