"""`orchidferry rehearse mesh-...`: from the command line to a verdict on the mesh."""

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
from rich.markup import escape
from rich.table import Table

from orchidferry.testkit.judge.mesh.verdict import Verdict, judge
from orchidferry.testkit.judge.mesh.verdict_json import FORMAT, as_json
from orchidferry.testkit.mesh import seeds
from orchidferry.testkit.mesh.day import DAYS, Day
from orchidferry.testkit.mesh.processes import missing
from orchidferry.testkit.mesh.run import Progress
from orchidferry.testkit.mesh.session import Played, play
from orchidferry.testkit.report.tables import CLASS_HEAD, percent
from orchidferry.testkit.usage import UsageError, kept_folder
from orchidferry.testkit.world.addresses import NoFreeAddressesError

SEED = 7
MIN_SECONDS = 5.0
MAX_SECONDS = 600.0
EVERY_S = 5.0
PLAIN_WIDTH = 120
MAX_BREAKS = 3
LEFT_OUT = ("report", "protocol", "loss", "recording", "target", "classes", "no_fleet")


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status."""
    day = DAYS[args.scenario]
    try:
        seed, seconds = _asked(args, day)
        keep = None if args.keep is None else kept_folder(Path(args.keep)).resolve()
        if args.json is not None:
            _writable(Path(args.json))
    except UsageError as problem:
        print(f"orchidferry rehearse: {problem}", file=sys.stderr)
        return 2
    console = Console(width=None if sys.stdout.isatty() else PLAIN_WIDTH)
    many = args.seeds is not None

    def once(seed: int) -> tuple[Verdict, Played]:
        folder = keep / f"seed-{seed}" if many and keep is not None else keep
        if folder is not None:
            folder.mkdir(exist_ok=True)
        played = uvloop.run(_run(console, day, seed, seconds, folder, not many))
        return judge(played.record), played

    try:
        if many:
            objects, status = seeds.run(
                console, range(seed, seed + args.seeds), once, lambda *run: show(console, *run)
            )
            found: dict[str, Any] = {"format": FORMAT, "scenario": day.name, "runs": objects}
        else:
            verdict, played = once(seed)
            show(console, verdict, played)
            found = as_json(verdict) | {"usage": usage(played)}
            status = 130 if played.interrupted else 0 if verdict.passed else 1
    except NoFreeAddressesError as problem:
        print(f"orchidferry rehearse: {problem}", file=sys.stderr)
        return 2
    if args.json is not None:
        path = Path(args.json)
        part = path.with_name(path.name + ".part")
        part.write_text(json.dumps(found, indent=1) + "\n")
        part.replace(path)
    return status


def _asked(args: argparse.Namespace, day: Day) -> tuple[int, float]:
    for name in LEFT_OUT:
        if getattr(args, name, None):
            raise UsageError(f"--{name.replace('_', '-')}: is not for {day.name}")
    if library := missing():
        raise UsageError(f"{day.name}: {library} is not installed; the extra mesh brings it")
    seed = SEED if args.seed is None else args.seed
    seconds = day.seconds if args.seconds is None else args.seconds
    if args.seeds is not None and not 1 <= args.seeds <= seeds.MOST:
        raise UsageError(f"--seeds {args.seeds}: not within 1 to {seeds.MOST}")
    if not 0 <= seed < 2**63:
        raise UsageError(f"--seed {seed}: not within 0 to 2^63 - 1")
    if not (math.isfinite(seconds) and MIN_SECONDS <= seconds <= MAX_SECONDS):
        raise UsageError(f"--seconds {seconds:g}: not within {MIN_SECONDS:g} to {MAX_SECONDS:g}")
    return seed, seconds


def _writable(path: Path) -> None:
    try:
        with path.open("a"):
            pass
    except OSError as problem:
        raise UsageError(f"--json {path}: {problem.strerror}") from None


async def _run(
    console: Console, day: Day, seed: int, seconds: float, keep: Path | None, tells: bool
) -> Played:
    """Play a day; `tells`: a line now and then."""
    progress = Progress()
    watcher = asyncio.get_running_loop().create_task(_watch(console, day, seconds, progress, tells))
    try:
        return await play(day, seed, seconds, progress, keep)
    finally:
        watcher.cancel()
        await asyncio.gather(watcher, return_exceptions=True)


async def _watch(console: Console, day: Day, seconds: float, progress: Progress, tells: bool) -> None:
    while tells:
        await asyncio.sleep(EVERY_S)
        line = f"{day.name}: {progress.phase}"
        if progress.phase == "playing":
            line += (
                f" {progress.t:.0f} of {seconds:g} s, asked {progress.asked}, "
                f"served {progress.served}{f'  !! {progress.now}' if progress.now else ''}"
            )
        console.print(line, markup=False, highlight=False)


def usage(played: Played) -> dict[str, dict[str, float]]:
    """CPU seconds and most megabytes of each process."""
    return {
        name: {"cpu_s": round(cpu, 2), "most_mb": round(memory, 1)}
        for name, (cpu, memory) in sorted(played.usage.items())
    }


def word(held: bool, checked: int) -> str:
    """A rule's verdict; one with nothing to check has not been kept, it has not been seen."""
    if not held:
        return "[bold red]FAIL[/]"
    return "[green]pass[/]" if checked else "[yellow]nothing to check[/]"


def show(console: Console, verdict: Verdict, played: Played) -> None:
    """The whole report of a run."""
    record = verdict.record
    if not record.complete:
        console.print(f"[bold red]cut off[/]: {escape(record.why)}; what was seen until then:")
    if verdict.void:
        console.print(f"[bold red]void[/]: {verdict.void}: this run says nothing of the mesh")
    table = Table(title=f"{record.scenario}, seed {record.seed}", title_justify="left")
    for n, name in enumerate(CLASS_HEAD):
        table.add_column(name, justify="right" if n else "left")
    for name, row in verdict.classes.items():
        if row.asked:
            counts = (row.asked, row.served, row.refused, row.failed, row.unanswered)
            times = (f"{row.quantile_ms(q):.0f}" for q in (0.5, 0.99))
            table.add_row(name, *map(str, counts), *times, percent(row.service))
    console.print(table)
    found = as_json(verdict)
    mesh = found["mesh"]
    requests = found["requests"]
    sidecars = [use[0] for name, use in played.usage.items() if name not in record.cores]
    console.print(
        f"service {percent(verdict.service)}; {requests['asked']} first tries, {requests['tries']} tries, "
        f"{found['attempts']['per_client_request']:.2f} arrivals for each; answers "
        + ", ".join(f"{name}: {count}" for name, count in mesh["answers"].items())
        + f"; {sum(sidecars):.1f} CPU s on sidecars, "
        f"{sum(use[0] for use in played.usage.values()) - sum(sidecars):.1f} on the core, "
        f"{max((use[1] for use in played.usage.values()), default=0.0):.0f} MB at most",
        highlight=False,
    )
    for event in verdict.trace.events:
        console.print(f"{verdict.trace.elapsed(event.t):9.1f} s  {event.do}: {event.whom}", highlight=False)
    for put in mesh["versions"]:
        took = "not acknowledged" if put["acked_ms"] is None else f"acknowledged in {put['acked_ms']:.0f} ms"
        valid = "" if put["valid"] else " (invalid)"
        console.print(f"version {put['revision']}{valid}: {took}, status {put['status']}", highlight=False)
    rules = Table(title="rules", title_justify="left")
    for name, justify in (("rule", "left"), ("verdict", "left"), ("checked", "right"), ("breaks", "right")):
        rules.add_column(name, justify=justify)  # type: ignore[arg-type]
    for name, finding in verdict.rules.items():
        rules.add_row(
            name, word(finding.passed, finding.checked), str(finding.checked), str(finding.violation_count)
        )
    console.print(rules)
    for name, finding in verdict.rules.items():
        for violation in finding.violations[:MAX_BREAKS]:
            console.print(
                f"[bold red]{name}[/]: {violation.request} at {violation.t:.3f} s: "
                f"{escape(violation.description)}",
                highlight=False,
            )
            for line in violation.history:
                console.print(f"    {line}", markup=False, highlight=False, soft_wrap=True)
        if finding.violation_count > MAX_BREAKS:
            console.print(f"    and {finding.violation_count - MAX_BREAKS} more")
    for note in played.notes[:5]:
        console.print(f"logged at {note}", markup=False, highlight=False)
    if verdict.passed:
        console.print("[bold green]no rule broken[/]")
