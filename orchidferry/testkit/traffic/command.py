"""`orchidferry traffic`: the commands."""

from __future__ import annotations

import argparse
import json
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any
from zoneinfo import ZoneInfo, ZoneInfoNotFoundError

import numpy as np
from rich.console import Console
from rich.progress import Progress, TextColumn
from rich.table import Table

from orchidferry.errors import OrchidferryError
from orchidferry.testkit.traffic import export, generate
from orchidferry.testkit.traffic.classes import Classes, ClassesFileError, Shapes, mix, propose, read_classes
from orchidferry.testkit.traffic.entry import EntryError
from orchidferry.testkit.traffic.formats import LogFormatError, compile_format
from orchidferry.testkit.traffic.har import read_har
from orchidferry.testkit.traffic.importing import Plan, Report, TooManyRejectedError, import_files, is_har
from orchidferry.testkit.traffic.recording import Header, Reader, RecordingError
from orchidferry.testkit.traffic.retries import failed
from orchidferry.testkit.traffic.sources import Source, SourceError

SHOWN = 10
TOPS = (1, 10, 100, 1_000)
GAP_EDGES = np.logspace(0, 9, 1_801)  # us, of the histogram of gaps: steps of 1.2 %
QUANTILES = (0.5, 0.9, 0.99)


class _UsageError(OrchidferryError):
    """What can't be done as asked, in one line."""


def main(args: argparse.Namespace) -> int:
    """Run the command; its exit status."""
    what = {"import": _import, "show": _show, "generate": _generate, "replay": _replay, "export": _export}[
        args.what
    ]
    try:
        return what(args)
    except (_UsageError, ClassesFileError, LogFormatError, SourceError, RecordingError) as problem:
        print(f"orchidferry traffic {args.what}: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"orchidferry traffic {args.what}: {problem.filename}: {problem.strerror}", file=sys.stderr)
        return 2
    except TooManyRejectedError as problem:
        print(f"orchidferry traffic {args.what}: {problem}", file=sys.stderr)
        return 1


def _classes(args: argparse.Namespace, files: tuple[Path, ...]) -> Classes:
    """The file's, or those of a proposal that is written beside the recording."""
    if args.classes is not None:
        try:
            return read_classes(Path(args.classes).read_bytes())
        except ClassesFileError as problem:
            raise _UsageError(f"{args.classes}: {problem}") from None
    text = _proposal(args, files)
    path = Path(args.to + ".classes.toml")
    path.write_text(text, encoding="utf-8")
    print(f"no --classes: proposed in {path}, from {len(files)} files; look through it and import again")
    return read_classes(text.encode())


def _proposal(args: argparse.Namespace, files: tuple[Path, ...]) -> str:
    shapes = Shapes()
    parse = compile_format(args.format, _zone(args.zone))
    for path in files:
        source = Source(path)
        if is_har(Source(path)):
            for one in read_har(source.chunks()):
                if not isinstance(one, EntryError):
                    shapes.add(one.method, one.path)
            continue
        for block in source.blocks():
            for line in block.lines[
                :: 1 if block.first < 100_000 else 20
            ]:  # all of what comes first, then some
                try:
                    entry = parse(line or b"")
                except EntryError:
                    continue
                shapes.add(entry.method, entry.path)
    if not shapes.total:
        raise _UsageError(f"{files[0]}: nothing in it can be read as {args.format[:60]!r}")
    return propose(shapes.most(200), shapes.total)


def _zone(name: str) -> ZoneInfo:
    try:
        return ZoneInfo(name)
    except (ZoneInfoNotFoundError, ValueError, OSError):
        raise _UsageError(f"--zone {name!r}: is no time zone") from None


def _shifts(texts: list[str]) -> tuple[tuple[str, float], ...]:
    found = []
    for text in texts:
        name, _, value = text.rpartition("=")
        try:
            found.append((name, float(value)))
        except ValueError:
            name = ""
        if not name or not abs(found[-1][1]) <= 1e8:
            raise _UsageError(f"--shift {text!r:.60}: is not FILE=SECONDS")
    return tuple(found)


def _import(args: argparse.Namespace) -> int:
    files = tuple(Path(name) for name in args.files)
    _zone(args.zone)
    compile_format(args.format)
    if not 0.0 <= args.rejects_share <= 1.0:
        raise _UsageError(f"--rejects-share {args.rejects_share:g}: not within 0 to 1")
    if not 0.0 < args.window <= 3_600.0:
        raise _UsageError(f"--window {args.window:g}: not within 0 to 3600")
    shifts = _shifts(args.shift)
    if unknown := [name for name, _ in shifts if name not in {path.name for path in files}]:
        raise _UsageError(f"--shift: {unknown[0]!r} is none of the files")
    for path in files:
        Source(path).open().close()
    plan = Plan(
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
    console = Console(highlight=False)
    began = time.monotonic()
    with Progress(TextColumn("{task.description}"), console=console, transient=True) as progress:
        task = progress.add_task("reading", total=None)

        def watch(report: Report) -> None:
            speed = report.read / 1e6 / max(1e-3, time.monotonic() - began)
            progress.update(
                task, description=f"{report.rows} requests, {report.read / 1e6:.0f} MB, {speed:.0f} MB/s"
            )

        report = import_files(plan, Path(args.to), Path(args.rejects or args.to + ".rejects.jsonl"), watch)
    took_s = time.monotonic() - began
    found = {
        "requests": report.rows,
        "rejected": sum(report.rejects.values()),
        "reasons": dict(report.rejects),
        "mix": mix(report.mix),
        "seconds": report.seconds,
        "ties": report.ties,
        "ties_by_chance": report.doubt,
        "spread": report.spread,
        "notes": report.notes,
        "unmatched": dict(report.unmatched.most(SHOWN)),
        "bytes": report.read,
        "took_s": took_s,
    }
    if args.json is not None:
        Path(args.json).write_text(json.dumps(found, indent=1) + "\n")
    _tell(console, report, took_s)
    return 0


def _tell(console: Console, report: Report, took_s: float) -> None:
    console.print(
        f"{report.rows} requests over {report.seconds:.0f} s, {report.read / 1e6:.1f} MB in {took_s:.1f} s; "
        f"{report.ties} retries tied, some {report.doubt:.0f} of them by chance"
    )
    if report.spread:
        console.print(f"{report.spread} were logged to the second only: spread within it, by --seed")
    table = Table("class", "share", "requests")
    for name, count in report.mix.most_common():
        table.add_row(name, f"{count / max(1, report.rows):.2%}", str(count))
    console.print(table)
    for title, rows in (
        ("not in any class", report.unmatched.most(SHOWN)),
        ("rejected", report.rejects.most_common(SHOWN)),
    ):
        for what, count in rows:
            console.print(f"{title}: {count} {what}", markup=False)
    for note in report.notes:
        console.print(f"note: {note}", markup=False)


class _Counts:
    """How often each of any number of hashes was there: 16 bytes for each."""

    def __init__(self) -> None:
        self._ids, self._counts = np.zeros(0, np.uint64), np.zeros(0, np.int64)

    def add(self, ids: Any) -> None:
        new, counts = np.unique(ids[ids != 0], return_counts=True)
        every, where = np.unique(np.concatenate([self._ids, new]), return_inverse=True)
        merged = np.bincount(where, np.concatenate([self._counts, counts]), len(every))
        self._ids, self._counts = every, merged.astype(np.int64)

    def __len__(self) -> int:
        return len(self._ids)

    def ranked(self) -> Any:
        """The counts, highest first."""
        return np.sort(self._counts)[::-1]

    def top(self) -> dict[str, float]:
        """The share of all that the first 1, 10, 100 and 1000 have."""
        ranked = self.ranked()
        total = max(1, int(ranked.sum()))
        return {str(n): float(ranked[:n].sum()) / total for n in TOPS if n <= len(ranked)}


@dataclass
class Totals:
    """All that `show` tells of a recording, as it is added up block by block."""

    header: Header
    per_second: Any  # requests, by class and second
    retries_per_second: Any
    failed_per_second: Any
    gaps: Any  # between requests: a histogram over `GAP_EDGES`
    clients: _Counts = field(default_factory=_Counts)
    objects: _Counts = field(default_factory=_Counts)

    @property
    def names(self) -> list[str]:
        return [row["name"] for row in self.header.classes]


def _by_second(times: Any, seconds: int) -> Any:
    return np.bincount(times // 1_000_000, minlength=seconds)[:seconds]


def totals(path: Path) -> Totals:
    """Add a recording up, in one pass; memory goes by its seconds, clients and objects."""
    reader = Reader(path)
    seconds = int(reader.header.seconds) + 1
    kinds = len(reader.header.classes)
    by_class, again, wrong, gaps = (
        np.zeros(shape, np.int64) for shape in ((kinds, seconds), seconds, seconds, len(GAP_EDGES) + 1)
    )
    found = Totals(reader.header, by_class, again, wrong, gaps)
    before: int | None = None
    for rows in reader.blocks():
        times = rows["t"].astype(np.int64)
        for number in range(kinds):
            found.per_second[number] += _by_second(times[rows["cls"] == number], seconds)
        found.retries_per_second += _by_second(times[rows["number"] > 0], seconds)
        found.failed_per_second += _by_second(times[failed(rows)], seconds)
        steps = np.diff(times, prepend=times[:1] if before is None else before)[before is None :]
        found.gaps += np.bincount(np.digitize(steps, GAP_EDGES), minlength=len(GAP_EDGES) + 1)
        before = int(times[-1])
        found.clients.add(rows["client"])
        found.objects.add(rows["object"])
    return found


def summary(path: Path) -> dict[str, Any]:
    """What is in a recording, for `show --json`."""
    return _summary(totals(path))


def _summary(found: Totals) -> dict[str, Any]:
    header = found.header
    names = found.names
    counts = found.per_second.sum(axis=1)
    seconds = found.per_second.sum(axis=0)
    total = int(counts.sum())
    passed = np.cumsum(found.gaps)
    ranks = [int(np.searchsorted(passed, q * passed[-1])) for q in QUANTILES]
    at = [float(GAP_EDGES[min(rank, len(GAP_EDGES) - 1)]) / 1e3 for rank in ranks]
    return {
        "requests": total,
        "seconds": header.seconds,
        "began": header.began,
        "mix": mix({n: int(c) for n, c in zip(names, counts, strict=True) if c}),
        "failed": int(found.failed_per_second.sum()),
        "retries": int(found.retries_per_second.sum()),
        "gaps_ms": dict(zip(("p50", "p90", "p99"), at, strict=True)) if total > 1 else {},
        "clients": len(found.clients),
        "objects": len(found.objects),
        "popularity": found.objects.top(),
        "busiest_clients": found.clients.top(),
        "rate": {"mean": total / max(1e-6, header.seconds), "most": int(seconds.max(initial=0))},
        "per_second": seconds.tolist(),
        "notes": header.notes,
    }


def _show(args: argparse.Namespace) -> int:
    every = totals(Path(args.recording))
    found = _summary(every)
    if args.report is not None:
        from orchidferry.testkit.traffic.page import page

        Path(args.report).write_text(
            page(Path(args.recording).name, every, found, GAP_EDGES), encoding="utf-8"
        )
    if args.json:
        print(json.dumps(found))
        return 0
    console = Console(highlight=False)
    console.print(
        f"{found['requests']} requests over {found['seconds']:.0f} s from a {found['began']}, "
        f"{found['rate']['mean']:.1f} a second, {found['rate']['most']} in the busiest; "
        f"{found['clients']} clients, {found['objects']} objects, {found['failed']} failed, "
        f"{found['retries']} retries"
    )
    table = Table("class", "share", "repeat")
    for row in every.header.classes:
        table.add_row(row["name"], f"{found['mix'].get(row['name'], 0.0):.2%}", row["repeat"])
    console.print(table)
    for what in ("popularity", "busiest_clients"):
        shares = ", ".join(f"{n}: {share:.1%}" for n, share in found[what].items())
        console.print(f"share of the first {'objects' if what == 'popularity' else 'clients'}, {shares}")
    if found["gaps_ms"]:
        gaps = ", ".join(f"{name} {value:.2f} ms" for name, value in found["gaps_ms"].items())
        console.print(f"between requests: {gaps}")
    for note in found["notes"]:
        console.print(f"note: {note}", markup=False)
    return 0


def _export(args: argparse.Namespace) -> int:
    reader = Reader(Path(args.recording))
    to = Path(args.to)
    Path(args.to + ".classes.toml").write_text(export.classes_text(reader.header), encoding="utf-8")
    part = to.with_name(to.name + ".part")
    try:
        with part.open("wb") as out:
            out.writelines(export.lines(reader.header, reader.blocks()))
        part.replace(to)
    finally:
        part.unlink(missing_ok=True)
    print(f"{to}, {to}.classes.toml; to read it back: --format '{export.FORM}' --classes {to}.classes.toml")
    return 0


def _replay(args: argparse.Namespace) -> int:
    from orchidferry.testkit import rehearse

    args.list = False
    args.loss = None
    return rehearse.main(args, "traffic replay")


def _generate(args: argparse.Namespace) -> int:
    if not 0.0 < args.rate <= 100_000.0 or not 0.0 < args.seconds <= 86_400.0:
        raise _UsageError("--rate must be within 0 and 100000, --seconds within 0 and 86400")
    folder = Path(args.folder)
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "access.log").open("wb") as out:
        out.writelines(generate.log_lines(generate.requests(args.rate, args.seconds, args.seed)))
    with (folder / "traffic.har").open("wb") as out:
        out.writelines(generate.har(generate.requests(args.rate, args.seconds, args.seed)))
    (folder / "classes.toml").write_text(generate.CLASSES, encoding="utf-8")
    print(f"{folder}: access.log, traffic.har, classes.toml; the log's format:\n{generate.FORM}")
    return 0
