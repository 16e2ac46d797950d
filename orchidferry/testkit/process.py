"""Worker processes of the kit: they read a script, and take orders and send reports over pipes.

A worker ends when its standard input does, so that none outlives the director, however that one ended.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import pickle
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

import uvloop

from orchidferry.testkit.record import FLUSH_S, Lag, Recorder
from orchidferry.testkit.world.addresses import Block
from orchidferry.testkit.world.plan import Plan

if TYPE_CHECKING:
    from orchidferry.testkit.quic.certs import CertificateFiles

SCRIPT_FILE = "script.pickle"
LAG_INTERVAL_S = 0.05
"""How often the lag of an event loop is measured."""

MIN_STALL_S = 0.02
"""The least lag that is recorded."""

ON_SECOND_INTERVAL_S = 1.0
MAX_REASON_LENGTH = 200
Order = dict[str, Any]
"""An order of the director, named by `do`, or a report of a worker, named by `did`."""


@dataclass(slots=True)
class WorkerScript:
    """All that a worker needs to know at its start."""

    plan: Plan
    zero: float  # the record's zero on the monotonic clock, in seconds
    block: int
    files: CertificateFiles | None = None  # certificates, with HTTP/3
    proof_key: str = ""  # for recorded traffic: what unsafe requests are sent to must have it

    def write(self, folder: Path) -> None:
        """Write the script where workers read it."""
        (folder / SCRIPT_FILE).write_bytes(pickle.dumps(self))


class Worker(Protocol):
    """What a worker process does."""

    async def handle_order(self, order: Order) -> None:
        """Carry out an order of the director."""

    def on_second(self) -> None:
        """Called once a second."""

    async def close(self) -> None:
        """End all that the worker does."""


SendReport = Callable[[Order], None]
WorkerFactory = Callable[[WorkerScript, Block, Recorder, SendReport, int], Worker]


async def _serve(factory: WorkerFactory, folder: Path, name: str, index: int) -> None:
    script: WorkerScript = pickle.loads((folder / SCRIPT_FILE).read_bytes())
    recorder = Recorder(folder / f"{name}.facts", script.zero)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    def send_report(order: Order) -> None:
        # Lines are short and the director reads them at once: this does not block.
        sys.stdout.write(json.dumps(order) + "\n")
        sys.stdout.flush()

    worker = factory(script, Block(script.block), recorder, send_report, index)
    recording = loop.create_task(_monitor(worker, recorder, name))
    orders: set[asyncio.Task[None]] = set()
    gc.collect()
    gc.freeze()
    send_report({"did": "ready"})
    try:
        while text := await reader.readline():
            order: Order = json.loads(text)
            if order["do"] == "close":
                break
            task = loop.create_task(_carry_out(worker.handle_order(order), order, send_report))
            orders.add(task)
            task.add_done_callback(orders.discard)
    finally:
        for task in set(orders):
            task.cancel()
        recording.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await recording
        await worker.close()
        recorder.close()


async def _carry_out(work: Awaitable[None], order: Order, send_report: SendReport) -> None:
    try:
        await work
    except Exception as problem:  # the director decides what that means for the run
        send_report({"did": "failed", "order": order["do"], "why": repr(problem)[:MAX_REASON_LENGTH]})


async def _monitor(worker: Worker, recorder: Recorder, name: str) -> None:
    """Flush the record, record the event loop's lag, and call the worker once a second."""
    loop = asyncio.get_running_loop()
    flushed = loop.time()
    called = flushed
    while True:
        due = loop.time() + LAG_INTERVAL_S
        await asyncio.sleep(LAG_INTERVAL_S)
        now = loop.time()
        if now - due > MIN_STALL_S:
            recorder.put(Lag(recorder.now(), name, "stall", now - due))
        if now - flushed >= FLUSH_S:
            recorder.flush()
            flushed = now
        if now - called >= ON_SECOND_INTERVAL_S:
            worker.on_second()
            called = now


def run_worker(factory: WorkerFactory, plain: bool = False) -> int:
    """Run a worker: `python -m MODULE FOLDER NAME INDEX`.

    :param factory: makes the worker
    :param plain: run on the standard event loop, not on uvloop
    :returns: the exit status
    """
    folder = Path(sys.argv[1])
    name = sys.argv[2]
    index = int(sys.argv[3])
    # Ctrl-C goes to the whole group: the director alone decides, and closes the pipe.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    (asyncio.run if plain else uvloop.run)(_serve(factory, folder, name, index))
    return 0


def monotonic_at(zero: float, t: float) -> float:
    """Seconds from now to a time of the record's clock.

    :param zero: the record's zero on the monotonic clock
    :param t: a time of the record
    """
    return zero + t - time.monotonic()
