"""The command `orchidferry rehearse` for scenarios of the mesh: runs one and prints the verdict."""

from __future__ import annotations

import argparse
import asyncio
import json
import math
import sys
from pathlib import Path
from typing import Any

import uvloop
from rich.console import Console

from orchidferry.testkit.judge.mesh.verdict import Verdict, judge
from orchidferry.testkit.judge.mesh.verdict_json import FORMAT, as_json
from orchidferry.testkit.mesh import seeds
from orchidferry.testkit.mesh.day import DAYS, Day
from orchidferry.testkit.mesh.processes import missing_library
from orchidferry.testkit.mesh.run import PLAYING, Progress
from orchidferry.testkit.mesh.session import CompletedRun, play
from orchidferry.testkit.mesh.terminal_report import show
from orchidferry.testkit.usage import UsageError, kept_folder
from orchidferry.testkit.world.addresses import NoFreeAddressesError

DEFAULT_SEED = 7
MIN_SECONDS = 5.0
MAX_SECONDS = 600.0
PROGRESS_INTERVAL_S = 5.0
PLAIN_WIDTH = 120
"""The width of the output in characters if it is not a terminal."""

UNSUPPORTED_OPTIONS = ("report", "protocol", "loss", "recording", "target", "classes", "no_fleet")
"""Options of `orchidferry rehearse` that do not apply to scenarios of the mesh."""


def main(args: argparse.Namespace) -> int:
    """Run the command; returns its exit status."""
    day = DAYS[args.scenario]
    try:
        seed, seconds = _seed_and_seconds(args, day)
        keep = None if args.keep is None else kept_folder(Path(args.keep)).resolve()
        if args.json is not None:
            _check_writable(Path(args.json))
    except UsageError as problem:
        print(f"orchidferry rehearse: {problem}", file=sys.stderr)
        return 2
    console = Console(width=None if sys.stdout.isatty() else PLAIN_WIDTH)
    try:
        if args.seeds is not None:
            found, status = _run_seeds(console, day, range(seed, seed + args.seeds), seconds, keep)
        else:
            found, status = _run_one(console, day, seed, seconds, keep)
    except NoFreeAddressesError as problem:
        print(f"orchidferry rehearse: {problem}", file=sys.stderr)
        return 2
    if args.json is not None:
        _write_json(Path(args.json), found)
    return status


def _run_one(
    console: Console, day: Day, seed: int, seconds: float, keep: Path | None
) -> tuple[dict[str, Any], int]:
    """Run a scenario once; returns the object for `--json` and the exit status."""
    verdict, completed = _play_and_judge(console, day, seed, seconds, keep, show_progress=True)
    show(console, verdict, completed)
    found = as_json(verdict) | {"usage": usage_as_json(completed)}
    if completed.interrupted:
        return found, seeds.INTERRUPTED
    return found, 0 if verdict.passed else 1


def _run_seeds(
    console: Console, day: Day, seed_range: range, seconds: float, keep: Path | None
) -> tuple[dict[str, Any], int]:
    """Run a scenario once for each seed; returns the object for `--json` and the exit status."""

    def play_seed(seed: int) -> tuple[Verdict, CompletedRun]:
        folder = None if keep is None else keep / f"seed-{seed}"
        return _play_and_judge(console, day, seed, seconds, folder, show_progress=False)

    def report(verdict: Verdict, completed: CompletedRun) -> None:
        show(console, verdict, completed)

    objects, status = seeds.run(console, seed_range, play_seed, report)
    return {"format": FORMAT, "scenario": day.name, "runs": objects}, status


def _play_and_judge(
    console: Console, day: Day, seed: int, seconds: float, folder: Path | None, show_progress: bool
) -> tuple[Verdict, CompletedRun]:
    if folder is not None:
        folder.mkdir(exist_ok=True)
    completed = uvloop.run(_play(console, day, seed, seconds, folder, show_progress))
    return judge(completed.record), completed


def _seed_and_seconds(args: argparse.Namespace, day: Day) -> tuple[int, float]:
    """The seed and the duration of the traffic in seconds, from the command line or by default.

    :raises UsageError: if an option is invalid or does not apply to the mesh
    """
    for name in UNSUPPORTED_OPTIONS:
        if getattr(args, name, None):
            raise UsageError(f"--{name.replace('_', '-')}: not supported by {day.name}")
    if library := missing_library():
        raise UsageError(f"{day.name}: {library} is not installed; install the extra mesh")
    seed = DEFAULT_SEED if args.seed is None else args.seed
    seconds = day.seconds if args.seconds is None else args.seconds
    if args.seeds is not None and not 1 <= args.seeds <= seeds.MAX_SEEDS:
        raise UsageError(f"--seeds {args.seeds}: not within 1 to {seeds.MAX_SEEDS}")
    if not 0 <= seed < 2**63:
        raise UsageError(f"--seed {seed}: not within 0 to 2^63 - 1")
    if not (math.isfinite(seconds) and MIN_SECONDS <= seconds <= MAX_SECONDS):
        raise UsageError(f"--seconds {seconds:g}: not within {MIN_SECONDS:g} to {MAX_SECONDS:g}")
    return seed, seconds


def _check_writable(path: Path) -> None:
    """Check before the run that the file for `--json` can be written."""
    try:
        with path.open("a"):
            pass
    except OSError as problem:
        raise UsageError(f"--json {path}: {problem.strerror}") from None


def _write_json(path: Path, found: dict[str, Any]) -> None:
    """Write a file atomically, by renaming a temporary one."""
    part = path.with_name(path.name + ".part")
    part.write_text(json.dumps(found, indent=1) + "\n")
    part.replace(path)


async def _play(
    console: Console, day: Day, seed: int, seconds: float, keep: Path | None, show_progress: bool
) -> CompletedRun:
    progress = Progress()
    if not show_progress:
        return await play(day, seed, seconds, progress, keep)
    watcher = asyncio.get_running_loop().create_task(_print_progress(console, day, seconds, progress))
    try:
        return await play(day, seed, seconds, progress, keep)
    finally:
        watcher.cancel()
        await asyncio.gather(watcher, return_exceptions=True)


async def _print_progress(console: Console, day: Day, seconds: float, progress: Progress) -> None:
    """Print a line of progress every `PROGRESS_INTERVAL_S`, until cancelled."""
    while True:
        await asyncio.sleep(PROGRESS_INTERVAL_S)
        line = f"{day.name}: {progress.phase}"
        if progress.phase == PLAYING:
            action = f"  !! {progress.current_action}" if progress.current_action else ""
            line += (
                f" {progress.traffic_s:.0f} of {seconds:g} s, "
                f"asked {progress.asked}, served {progress.served}{action}"
            )
        console.print(line, markup=False, highlight=False)


def usage_as_json(completed: CompletedRun) -> dict[str, dict[str, float]]:
    """CPU seconds and peak memory in MB of the processes of each machine, for `--json`."""
    return {
        name: {"cpu_s": round(use.cpu_s, 2), "most_mb": round(use.peak_memory_mb, 1)}
        for name, use in sorted(completed.usage.items())
    }
