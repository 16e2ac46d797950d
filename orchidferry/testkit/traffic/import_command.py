"""`orchidferry traffic import`: checks the arguments, imports with progress, and prints the report."""

from __future__ import annotations

import argparse
import json
import time
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

from rich.console import Console
from rich.progress import Progress, TextColumn
from rich.table import Table

from orchidferry.testkit.traffic.classes import Classes, ClassesFileError, Shapes, mix, propose, read_classes
from orchidferry.testkit.traffic.entry import EntryError
from orchidferry.testkit.traffic.errors import UsageError
from orchidferry.testkit.traffic.formats import compile_format
from orchidferry.testkit.traffic.har import read_har
from orchidferry.testkit.traffic.importing import Plan, Report, import_files, is_har
from orchidferry.testkit.traffic.log_fields import Parser
from orchidferry.testkit.traffic.sources import Source

MAX_ROWS_SHOWN = 10  # printed reasons of rejected lines, and printed paths without a class
MAX_PROPOSED_SHAPES = 200  # most frequent shapes from which classes are proposed
# Classes are proposed from the first COMPLETE_LINES lines of a file, and one in SAMPLED_LINES of the rest
COMPLETE_LINES = 100_000
SAMPLED_LINES = 20
MAX_SHIFT_S = 1e8  # largest absolute value of `--shift`
MAX_WINDOW_S = 3_600.0  # largest value of `--window`
BYTES_PER_MB = 1e6
MIN_TOOK_S = 1e-3  # avoids a division by zero in the speed that is shown at the start


def run_import(args: argparse.Namespace) -> int:
    """Import access logs and HAR files into a recording.

    :param args: the command-line arguments.
    :returns: the exit status.
    :raises UsageError: if an argument can't be used.
    :raises TooManyRejectedError: if too many lines were rejected.
    """
    plan = _plan(args)
    console = Console(highlight=False)
    started_s = time.monotonic()
    report = _import_with_progress(args, plan, console, started_s)
    took_s = time.monotonic() - started_s
    if args.json is not None:
        Path(args.json).write_text(json.dumps(_report_json(report, took_s), indent=1) + "\n")
    _print_report(console, report, took_s)
    return 0


def _plan(args: argparse.Namespace) -> Plan:
    """Check the arguments, and make the plan of the import."""
    files = tuple(Path(name) for name in args.files)
    _zone(args.zone)
    compile_format(args.format)
    if not 0.0 <= args.rejects_share <= 1.0:
        raise UsageError(f"--rejects-share {args.rejects_share:g}: not within 0 to 1")
    if not 0.0 < args.window <= MAX_WINDOW_S:
        raise UsageError(f"--window {args.window:g}: not within 0 to 3600")
    shifts = _shifts(args.shift)
    if unknown := [name for name, _ in shifts if name not in {path.name for path in files}]:
        raise UsageError(f"--shift: {unknown[0]!r} is none of the files")
    for path in files:
        Source(path).open().close()
    return Plan(
        files,
        args.format,
        _classes(args, files),
        args.zone,
        args.seed,
        shifts,
        args.window,
        args.rejects_share,
        args.workers,
    )


def _zone(name: str) -> ZoneInfo:
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise UsageError(f"--zone {name!r}: is no time zone") from None


def _shifts(texts: list[str]) -> tuple[tuple[str, float], ...]:
    return tuple(_shift(text) for text in texts)


def _shift(text: str) -> tuple[str, float]:
    name, _, value = text.rpartition("=")
    try:
        seconds = float(value)
    except ValueError:
        seconds = float("nan")
    if not name or not abs(seconds) <= MAX_SHIFT_S:
        raise UsageError(f"--shift {text!r:.60}: is not FILE=SECONDS")
    return name, seconds


def _classes(args: argparse.Namespace, files: tuple[Path, ...]) -> Classes:
    """Read the classes file, or propose one from the files and write it beside the recording."""
    if args.classes is not None:
        try:
            return read_classes(Path(args.classes).read_bytes())
        except ClassesFileError as problem:
            raise UsageError(f"{args.classes}: {problem}") from None
    text = _proposal(args, files)
    path = Path(args.to + ".classes.toml")
    path.write_text(text, encoding="utf-8")
    print(f"no --classes: proposed in {path}, from {len(files)} files; review the file and import again")
    return read_classes(text.encode())


def _proposal(args: argparse.Namespace, files: tuple[Path, ...]) -> str:
    """:returns: the content of a classes file for the traffic in the files."""
    shapes = Shapes()
    parse = compile_format(args.format, _zone(args.zone))
    for path in files:
        if is_har(Source(path)):
            _count_har_shapes(Source(path), shapes)
        else:
            _count_log_shapes(Source(path), parse, shapes)
    if not shapes.total:
        raise UsageError(f"{files[0]}: nothing in it can be read as {args.format[:60]!r}")
    return propose(shapes.most_common(MAX_PROPOSED_SHAPES), shapes.total)


def _count_har_shapes(source: Source, shapes: Shapes) -> None:
    for entry in read_har(source.chunks()):
        if not isinstance(entry, EntryError):
            shapes.add(entry.method, entry.path)


def _count_log_shapes(source: Source, parse: Parser, shapes: Shapes) -> None:
    for block in source.blocks():
        step = 1 if block.first < COMPLETE_LINES else SAMPLED_LINES
        for line in block.lines[::step]:
            try:
                entry = parse(line or b"")
            except EntryError:
                continue
            shapes.add(entry.method, entry.path)


def _import_with_progress(args: argparse.Namespace, plan: Plan, console: Console, started_s: float) -> Report:
    with Progress(TextColumn("{task.description}"), console=console, transient=True) as progress:
        task = progress.add_task("reading", total=None)

        def show_progress(report: Report) -> None:
            read_mb = report.read / BYTES_PER_MB
            speed = read_mb / max(MIN_TOOK_S, time.monotonic() - started_s)
            progress.update(task, description=f"{report.rows} requests, {read_mb:.0f} MB, {speed:.0f} MB/s")

        rejects = Path(args.rejects or args.to + ".rejects.jsonl")
        return import_files(plan, Path(args.to), rejects, show_progress)


def _report_json(report: Report, took_s: float) -> dict[str, Any]:
    """:returns: the report as `--json` writes it."""
    return {
        "requests": report.rows,
        "rejected": sum(report.rejects.values()),
        "reasons": dict(report.rejects),
        "mix": mix(report.mix),
        "seconds": report.seconds,
        "ties": report.matched_retries,
        "ties_by_chance": report.false_matches,
        "spread": report.spread,
        "notes": report.notes,
        "unmatched": dict(report.unmatched.most_common(MAX_ROWS_SHOWN)),
        "bytes": report.read,
        "took_s": took_s,
    }


def _print_report(console: Console, report: Report, took_s: float) -> None:
    read_mb = report.read / BYTES_PER_MB
    console.print(
        f"{report.rows} requests over {report.seconds:.0f} s, {read_mb:.1f} MB in {took_s:.1f} s; "
        f"{report.matched_retries} retries matched, about {report.false_matches:.0f} of them by chance"
    )
    if report.spread:
        console.print(f"{report.spread} were logged in whole seconds: a random fraction was added, by --seed")
    table = Table("class", "share", "requests")
    for name, count in report.mix.most_common():
        table.add_row(name, f"{count / max(1, report.rows):.2%}", str(count))
    console.print(table)
    for title, rows in (
        ("not in any class", report.unmatched.most_common(MAX_ROWS_SHOWN)),
        ("rejected", report.rejects.most_common(MAX_ROWS_SHOWN)),
    ):
        for text, count in rows:
            console.print(f"{title}: {count} {text}", markup=False)
    for note in report.notes:
        console.print(f"note: {note}", markup=False)
