"""One run on the mesh from beginning to end, bounded in time; all processes end with it in any case."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import shutil
import signal
import tempfile
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from orchidferry.testkit.mesh.day import Day
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.facts import Record
from orchidferry.testkit.mesh.run import DayRun, Progress, RunAbortedError
from orchidferry.testkit.world.addresses import claim

EXTRA_TIME_S = 45.0
"""Beyond the traffic: a run that has not ended by then is aborted."""

CLOSE_TIMEOUT_S = 4.0
"""Beyond their grace, in which all processes have been ended."""

SIGNALS = (signal.SIGINT, signal.SIGTERM)
MAX_LOG_LINES = 200
"""Lines of a process's log that are searched."""

MAX_LINE_LENGTH = 200


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """What the kernel says that the processes of a machine have used."""

    cpu_s: float
    peak_memory_mb: float


@dataclass
class CompletedRun:
    """A run's record, and what the kernel said of its processes."""

    record: Record
    interrupted: bool = False
    usage: dict[str, ProcessUsage] = field(default_factory=dict)  # by machine
    logged_problems: list[str] = field(default_factory=list)


async def play(
    day: Day, seed: int, seconds: float, progress: Progress, keep: Path | None = None
) -> CompletedRun:
    """Play a day once. SIGINT and SIGTERM end it early; what was seen until then is judged.

    :param seconds: of traffic
    :param progress: is kept up to date
    :param keep: a folder for the record and the processes' files; None: they are deleted
    """
    block, held = claim()
    folder = Path(tempfile.mkdtemp(prefix="orchidferry-mesh-")) if keep is None else keep
    env: Environment | None = None
    try:
        env = Environment(day, seed, seconds, block, folder)
        run = DayRun(env, progress)
        with _abort_on_signals(env) as received:
            _collect_garbage_rarely()
            why = await _play_until(run, seconds + EXTRA_TIME_S)
            env.record.complete = not why
            env.record.why = why
            # How the mesh shuts down is recorded, but what clients see of it is not judged.
            await asyncio.wait_for(run.close(), day.bounds.grace_s + CLOSE_TIMEOUT_S)
        if keep is not None:
            (keep / "record.jsonl").write_text(env.record.lines())
        usage = {name: ProcessUsage(node.cpu_s, node.peak_memory_mb) for name, node in env.nodes.items()}
        return CompletedRun(env.record, bool(received), usage, _logged_problems(env))
    finally:
        if env is not None:
            env.kill()
        with contextlib.suppress(OSError):
            held.close()
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


@contextlib.contextmanager
def _abort_on_signals(env: Environment) -> Iterator[list[int]]:
    """Abort the run on `SIGNALS`; yields a list of those that came."""
    loop = asyncio.get_running_loop()
    received: list[int] = []

    def on_signal(number: int) -> None:
        received.append(number)
        env.abort(f"stopped by {signal.Signals(number).name}")

    for number in SIGNALS:
        loop.add_signal_handler(number, on_signal, number)
    try:
        yield received
    finally:
        for number in SIGNALS:
            loop.remove_signal_handler(number)


def _collect_garbage_rarely() -> None:
    """The record only grows: to look through it again and again would stall the run."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 50, 100)


async def _play_until(run: DayRun, limit_s: float) -> str:
    """Play the day; returns why it did not come to its end, or an empty text."""
    loop = asyncio.get_running_loop()
    work: asyncio.Task[object] = loop.create_task(run.play())
    aborted: asyncio.Task[object] = loop.create_task(run.env.until_aborted())
    done, _ = await asyncio.wait([work, aborted], timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
    record = run.env.record
    record.end = record.end or run.env.context.now()
    why = "" if work in done else "it did not come to its end"
    if work not in done and aborted in done:
        why = str(aborted.result())
    aborted.cancel()
    work.cancel()
    try:
        await work
    except RunAbortedError as reason:
        why = str(reason)
    except asyncio.CancelledError:
        pass
    return why


def _logged_problems(env: Environment) -> list[str]:
    """Lines of processes' logs that report an exception."""
    return [
        f"{name}: {line[:MAX_LINE_LENGTH]}"
        for name, node in env.nodes.items()
        for line in node.tail(MAX_LOG_LINES)
        if "Traceback" in line or "ERROR" in line
    ]
