"""One run on the mesh, bounded in time; all its processes are ended with it, also when it fails."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import shutil
import signal
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

from orchidferry.testkit.mesh.day import Day
from orchidferry.testkit.mesh.environment import Environment
from orchidferry.testkit.mesh.facts import Record
from orchidferry.testkit.mesh.run import DayRun, Progress, RunAbortedError
from orchidferry.testkit.stop_signals import on_stop_signals
from orchidferry.testkit.world.addresses import claim

EXTRA_TIME_S = 45.0
"""A run that has not ended this long after its traffic is aborted."""

CLOSE_TIMEOUT_S = 4.0
"""How long the shutdown may take beyond the processes' grace time."""

MAX_LOG_LINES = 200
"""How many of the last lines of a process's log are searched for exceptions."""

MAX_LINE_LENGTH = 200
"""Characters of a log line that are reported."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """Resource usage of all processes of one machine, from the kernel's accounting."""

    cpu_s: float
    peak_memory_mb: float  # the largest resident set size of one process


@dataclass
class CompletedRun:
    """The record of a run, and the resource usage and logged exceptions of its processes."""

    record: Record
    interrupted: bool = False  # by SIGINT or SIGTERM
    usage: dict[str, ProcessUsage] = field(default_factory=dict)  # by machine name
    logged_problems: list[str] = field(default_factory=list)  # log lines that report an exception


async def play(
    day: Day, seed: int, seconds: float, progress: Progress, keep: Path | None = None
) -> CompletedRun:
    """Run a scenario once. SIGINT and SIGTERM end it early; the record up to then is still judged.

    :param seconds: duration of the traffic
    :param progress: updated during the run
    :param keep: a folder in which the record and the processes' files are kept; None: they are deleted
    """
    block, reservation = claim()
    folder = Path(tempfile.mkdtemp(prefix="orchidferry-mesh-")) if keep is None else keep
    env: Environment | None = None
    try:
        env = Environment(day, seed, seconds, block, folder)
        run = DayRun(env, progress)
        received: list[signal.Signals] = []

        def on_signal(number: signal.Signals) -> None:
            received.append(number)
            env.abort(f"stopped by {number.name}")

        with on_stop_signals(on_signal):
            _collect_garbage_rarely()
            abort_reason = await _play_until(run, seconds + EXTRA_TIME_S)
            env.record.complete = not abort_reason
            env.record.why = abort_reason
            # The shutdown is recorded too, but its effects on clients are not judged.
            await asyncio.wait_for(run.close(), day.bounds.grace_s + CLOSE_TIMEOUT_S)
        if keep is not None:
            (keep / "record.jsonl").write_text(env.record.lines())
        usage = {name: ProcessUsage(node.cpu_s, node.peak_memory_mb) for name, node in env.nodes.items()}
        return CompletedRun(env.record, bool(received), usage, _logged_problems(env))
    finally:
        if env is not None:
            env.kill()
        with contextlib.suppress(OSError):
            reservation.close()
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


def _collect_garbage_rarely() -> None:
    """Exempt existing objects from garbage collection, and collect less often.

    The record only grows, so repeated collections that traverse it would stall the event loop for nothing.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 50, 100)


async def _play_until(run: DayRun, limit_s: float) -> str:
    """Run the scenario; returns the reason why it did not finish, or an empty text.

    :param limit_s: the run is aborted after this time
    """
    loop = asyncio.get_running_loop()
    work: asyncio.Task[object] = loop.create_task(run.play())
    aborted: asyncio.Task[object] = loop.create_task(run.env.until_aborted())
    done, _ = await asyncio.wait([work, aborted], timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
    record = run.env.record
    record.end = record.end or run.env.context.now()
    abort_reason = "" if work in done else "the run exceeded its time limit"
    if work not in done and aborted in done:
        abort_reason = str(aborted.result())
    aborted.cancel()
    work.cancel()
    try:
        await work
    except RunAbortedError as error:
        abort_reason = str(error)
    except asyncio.CancelledError:
        pass
    return abort_reason


def _logged_problems(env: Environment) -> list[str]:
    """Lines of the processes' logs that report an exception."""
    return [
        f"{name}: {line[:MAX_LINE_LENGTH]}"
        for name, node in env.nodes.items()
        for line in node.tail(MAX_LOG_LINES)
        if "Traceback" in line or "ERROR" in line
    ]
