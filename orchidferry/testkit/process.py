"""Worker processes of the test kit: they load a script, receive orders and send reports over pipes.

A worker exits at the end of its standard input, so that no worker outlives the director, even if the director
is killed.
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
"""Interval at which the lag of an event loop is measured, in seconds."""

MIN_STALL_S = 0.02
"""Least lag that is recorded, in seconds."""

ON_SECOND_INTERVAL_S = 1.0
MAX_REASON_LENGTH = 200  # characters of an exception in a report
Order = dict[str, Any]
"""A JSON object: an order of the director, with its kind in `do`, or a report of a worker, in `did`."""


@dataclass(slots=True)
class WorkerScript:
    """Input of the worker processes at their start."""

    plan: Plan
    zero: float  # the record's zero on the monotonic clock, in seconds
    block: int  # number of the block of loopback addresses that the run uses
    files: CertificateFiles | None = None  # certificates, with HTTP/3
    proof_key: str = ""  # with recorded traffic: key by which peers of unsafe requests prove to be the kit's

    def write(self, folder: Path) -> None:
        """Write the script to the folder from which workers load it."""
        (folder / SCRIPT_FILE).write_bytes(pickle.dumps(self))


class Worker(Protocol):
    """The work of a worker process."""

    async def handle_order(self, order: Order) -> None:
        """Carry out an order of the director."""

    def on_second(self) -> None:
        """Run periodic work; called once a second."""

    async def close(self) -> None:
        """Stop all work and release its resources."""


SendReport = Callable[[Order], None]
WorkerFactory = Callable[[WorkerScript, Block, Recorder, SendReport, int], Worker]


async def _serve(factory: WorkerFactory, folder: Path, name: str, index: int) -> None:
    script: WorkerScript = pickle.loads((folder / SCRIPT_FILE).read_bytes())
    recorder = Recorder(folder / f"{name}.facts", script.zero)
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)

    def send_report(order: Order) -> None:
        # Lines are short and the director reads them at once, so this write does not block.
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
    except Exception as problem:  # the director decides whether the run goes on
        send_report({"did": "failed", "order": order["do"], "why": repr(problem)[:MAX_REASON_LENGTH]})


async def _monitor(worker: Worker, recorder: Recorder, name: str) -> None:
    """Flush the record, record the event loop's lag, and call `on_second` of the worker."""
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
    """Run a worker process; the command line is `python -m MODULE FOLDER NAME INDEX`.

    :param factory: creates the worker
    :param plain: run on the standard event loop, not on uvloop
    :returns: the exit status
    """
    folder = Path(sys.argv[1])
    name = sys.argv[2]
    index = int(sys.argv[3])
    # Ctrl-C signals the whole process group; only the director reacts, and ends workers by closing the pipe.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    (asyncio.run if plain else uvloop.run)(_serve(factory, folder, name, index))
    return 0


def monotonic_at(zero: float, t: float) -> float:
    """Return the time from now until a time of the record, in seconds.

    :param zero: the record's zero on the monotonic clock, in seconds
    :param t: a time of the record, in seconds since its zero
    """
    return zero + t - time.monotonic()
