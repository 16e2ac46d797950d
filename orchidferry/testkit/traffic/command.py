"""Runs the commands of `orchidferry traffic`."""

from __future__ import annotations

import argparse
import json
import sys
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from orchidferry.testkit.traffic import export, generate
from orchidferry.testkit.traffic.classes import ClassesFileError
from orchidferry.testkit.traffic.errors import UsageError
from orchidferry.testkit.traffic.formats import LogFormatError
from orchidferry.testkit.traffic.import_command import run_import
from orchidferry.testkit.traffic.importing import TooManyRejectedError
from orchidferry.testkit.traffic.recording import Header, Reader, RecordingError
from orchidferry.testkit.traffic.sources import SourceError
from orchidferry.testkit.traffic.totals import read_totals, summarize

MAX_RATE = 100_000.0  # first attempts per second in generated traffic
MAX_DURATION_S = 86_400.0  # length of generated traffic


def main(args: argparse.Namespace) -> int:
    """Run a command of `orchidferry traffic`.

    :param args: the command-line arguments; `what` is the name of the command.
    :returns: the exit status: 1 if too many lines were rejected, 2 if an argument or a file can't be used.
    """
    commands = {
        "import": run_import,
        "show": _show,
        "generate": _generate,
        "replay": _replay,
        "export": _export,
    }
    try:
        return commands[args.what](args)
    except (UsageError, ClassesFileError, LogFormatError, SourceError, RecordingError) as problem:
        print(f"orchidferry traffic {args.what}: {problem}", file=sys.stderr)
        return 2
    except OSError as problem:
        print(f"orchidferry traffic {args.what}: {problem.filename}: {problem.strerror}", file=sys.stderr)
        return 2
    except TooManyRejectedError as problem:
        print(f"orchidferry traffic {args.what}: {problem}", file=sys.stderr)
        return 1


def _show(args: argparse.Namespace) -> int:
    recording = Path(args.recording)
    totals = read_totals(recording)
    summary = summarize(totals)
    if args.report is not None:
        from orchidferry.testkit.traffic.page import render_page  # imported here: needs matplotlib

        Path(args.report).write_text(render_page(recording.name, totals, summary), encoding="utf-8")
    if args.json:
        print(json.dumps(summary))
    else:
        _print_summary(totals.header, summary)
    return 0


def _print_summary(header: Header, summary: dict[str, Any]) -> None:
    console = Console(highlight=False)
    console.print(
        f"{summary['requests']} requests over {summary['seconds']:.0f} s from a {summary['began']}, "
        f"{summary['rate']['mean']:.1f} per second, {summary['rate']['most']} in the busiest second; "
        f"{summary['clients']} clients, {summary['objects']} objects, {summary['failed']} failed, "
        f"{summary['retries']} retries"
    )
    table = Table("class", "share", "repeat")
    for row in header.classes:
        table.add_row(row["name"], f"{summary['mix'].get(row['name'], 0.0):.2%}", row["repeat"])
    console.print(table)
    for key in ("popularity", "busiest_clients"):
        shares = ", ".join(f"{rank}: {share:.1%}" for rank, share in summary[key].items())
        console.print(
            f"share of the most frequent {'objects' if key == 'popularity' else 'clients'}, {shares}"
        )
    if summary["gaps_ms"]:
        gaps = ", ".join(f"{name} {value:.2f} ms" for name, value in summary["gaps_ms"].items())
        console.print(f"between requests: {gaps}")
    for note in summary["notes"]:
        console.print(f"note: {note}", markup=False)


def _export(args: argparse.Namespace) -> int:
    reader = Reader(Path(args.recording))
    to = Path(args.to)
    Path(args.to + ".classes.toml").write_text(export.classes_text(reader.header), encoding="utf-8")
    partial = to.with_name(to.name + ".part")
    try:
        with partial.open("wb") as out:
            out.writelines(export.lines(reader.header, reader.blocks()))
        partial.replace(to)
    finally:
        partial.unlink(missing_ok=True)
    options = f"--format '{export.LOG_FORMAT}' --classes {to}.classes.toml"
    print(f"{to}, {to}.classes.toml; to import it again: {options}")
    return 0


def _replay(args: argparse.Namespace) -> int:
    from orchidferry.testkit import rehearse

    args.list = False
    args.loss = None
    return rehearse.main(args, "traffic replay")


def _generate(args: argparse.Namespace) -> int:
    if not 0.0 < args.rate <= MAX_RATE or not 0.0 < args.seconds <= MAX_DURATION_S:
        raise UsageError("--rate must be within 0 and 100000, --seconds within 0 and 86400")
    folder = Path(args.folder)
    folder.mkdir(parents=True, exist_ok=True)
    with (folder / "access.log").open("wb") as out:
        out.writelines(generate.log_lines(generate.requests(args.rate, args.seconds, args.seed)))
    with (folder / "traffic.har").open("wb") as out:
        out.writelines(generate.har(generate.requests(args.rate, args.seconds, args.seed)))
    (folder / "classes.toml").write_text(generate.CLASSES, encoding="utf-8")
    print(f"{folder}: access.log, traffic.har, classes.toml; log format:\n{generate.LOG_FORMAT}")
    return 0
