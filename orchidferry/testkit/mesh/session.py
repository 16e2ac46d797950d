"""One run on the mesh from beginning to end, bounded in time; all processes end with it, come what may."""

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

MORE_S = 45.0  # beyond the traffic: a run that has not ended by then is cut off
CLOSE_S = 4.0  # beyond their grace, in which all processes have been ended
SIGNALS = (signal.SIGINT, signal.SIGTERM)
# of a process's log that are looked through; characters of one that is told
LOG_LINES = 200
MAX_LINE = 200


@dataclass
class Played:
    """A run's record, and what the kernel said of its processes."""

    record: Record
    interrupted: bool = False
    usage: dict[str, tuple[float, float]] = field(default_factory=dict)  # CPU seconds, most MB, by machine
    notes: list[str] = field(default_factory=list)


async def play(day: Day, seed: int, seconds: float, progress: Progress, keep: Path | None = None) -> Played:
    """Play a day once. SIGINT and SIGTERM end it early; what was seen until then is judged."""
    block, held = claim()
    folder = Path(tempfile.mkdtemp(prefix="orchidferry-mesh-")) if keep is None else keep
    env: Environment | None = None
    try:
        env = Environment(day, seed, seconds, block, folder)
        run = DayRun(env, progress)
        with _abort_on_signals(env) as caught:
            _collect_seldom()
            why = await _play_until(run, seconds + MORE_S)
            env.record.complete = not why
            env.record.why = why
            # What the mesh does of being ended is seen, but what clients see of it is not judged.
            await asyncio.wait_for(run.close(), day.bounds.grace_s + CLOSE_S)
        if keep is not None:
            (keep / "record.jsonl").write_text(env.record.lines())
        usage = {name: (node.cpu_s, node.peak_memory_mb) for name, node in env.nodes.items()}
        return Played(env.record, bool(caught), usage, _problems_logged(env))
    finally:
        if env is not None:
            env.kill()
        with contextlib.suppress(OSError):
            held.close()
        if keep is None:
            shutil.rmtree(folder, ignore_errors=True)


@contextlib.contextmanager
def _abort_on_signals(env: Environment) -> Iterator[list[int]]:
    """Abort the run on these signals; yields those that came."""
    loop = asyncio.get_running_loop()
    caught: list[int] = []

    def signalled(number: int) -> None:
        caught.append(number)
        env.abort(f"stopped by {signal.Signals(number).name}")

    for number in SIGNALS:
        loop.add_signal_handler(number, signalled, number)
    try:
        yield caught
    finally:
        for number in SIGNALS:
            loop.remove_signal_handler(number)


def _collect_seldom() -> None:
    """The record only grows: looking through it again would stop the run."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 50, 100)


async def _play_until(run: DayRun, limit_s: float) -> str:
    """Play the day; returns why it did not come to its end, or an empty text."""
    loop = asyncio.get_running_loop()
    work: asyncio.Task[object] = loop.create_task(run.play())
    aborted: asyncio.Task[object] = loop.create_task(run.env.until_aborted())
    done, _ = await asyncio.wait([work, aborted], timeout=limit_s, return_when=asyncio.FIRST_COMPLETED)
    run.env.record.end = run.env.record.end or run.env.scene.now()
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


def _problems_logged(env: Environment) -> list[str]:
    """Lines of processes' logs that tell of an exception."""
    return [
        f"{name}: {line[:MAX_LINE]}"
        for name, node in env.nodes.items()
        for line in node.tail(LOG_LINES)
        if "Traceback" in line or "ERROR" in line
    ]
