"""Imports log files into a recording: parses, sorts by time, matches retries, and writes the rows.

Worker processes parse blocks of the files into rows. Runs of rows are sorted and spilled to a temporary
directory, then merged slice by slice in order of time. Memory use does not depend on the size of the files:
it is bounded by the blocks in progress and one slice of rows.
"""

from __future__ import annotations

import concurrent.futures
import gc
import itertools
import json
import multiprocessing
import os
import tempfile
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import numpy as np

from orchidferry.testkit.traffic import row_columns
from orchidferry.testkit.traffic.block_reader import BlockRows, rows_of_entries, rows_of_lines, start_worker
from orchidferry.testkit.traffic.entry import EntryError
from orchidferry.testkit.traffic.har import read_har
from orchidferry.testkit.traffic.import_plan import Plan, Report, TooManyRejectedError
from orchidferry.testkit.traffic.recording import SPREAD, Header, Writer, prefetched
from orchidferry.testkit.traffic.retries import RetryMatcher
from orchidferry.testkit.traffic.sorted_runs import SortedRuns
from orchidferry.testkit.traffic.sources import Source

__all__ = ["Plan", "Report", "TooManyRejectedError", "import_files", "is_har"]

BLOCKS_PER_WORKER = 2  # blocks per worker process that may be submitted and not yet collected
MAX_REJECTS = 1_000_000  # entries written to the rejects file; further rejected lines are only counted
GAP_S = 300.0  # a longer time without any request is reported
HAR_BLOCK = 2_000  # entries of a HAR that are converted at once
UNMATCHED = "other"  # name of the class for requests that match no class


def is_har(source: Source) -> bool:
    """:returns: whether a file starts like a HAR: with an object that has `log` as its first key."""
    head = next(iter(source.chunks()), b"")[:4096].lstrip(b"\xef\xbb\xbf \t\r\n")
    return head[:1] == b"{" and head[1:].lstrip().startswith(b'"log"')


def _jobs(plan: Plan, report: Report) -> Iterator[tuple[int, Callable[..., BlockRows], tuple[Any, ...]]]:
    """Iterate over the blocks of all files, and count their lines in the report.

    :returns: number of the file in the plan, function that converts a block to rows, and its arguments.
    """
    shifts = dict(plan.shifts)
    for file, path in enumerate(plan.files):
        shift_s = shifts.get(path.name, 0.0)
        har = is_har(Source(path))
        source = Source(path)
        if har:
            number = 1
            entries = read_har(source.chunks(), plan.classes.wanted_fields())
            picklable = (str(entry) if isinstance(entry, EntryError) else entry for entry in entries)
            while batch := list(itertools.islice(picklable, HAR_BLOCK)):
                report.lines += len(batch)
                yield file, rows_of_entries, (file, number, batch, shift_s)
                number += len(batch)
        else:
            for block in source.blocks():
                report.lines += block.count
                yield file, rows_of_lines, (file, block, shift_s)
        report.read += source.read
        if source.problem:
            report.note(f"{path.name}: {source.problem}")


def _results(plan: Plan, report: Report) -> Iterator[tuple[int, BlockRows]]:
    """Convert all blocks to rows in worker processes, with a bounded number of blocks in progress.

    :returns: number of the file in the plan, and rows of the block, in the order of the blocks.
    """
    workers = plan.workers or len(os.sched_getaffinity(0))
    gc.collect()
    gc.freeze()  # a collection in a worker would write to the shared pages, which copies them
    context = multiprocessing.get_context("fork")  # workers share the modules that are already loaded
    with concurrent.futures.ProcessPoolExecutor(workers, context, start_worker, (plan,)) as pool:
        pending: list[tuple[int, concurrent.futures.Future[BlockRows]]] = []
        for file, convert, args in _jobs(plan, report):
            pending.append((file, pool.submit(convert, *args)))
            if len(pending) > BLOCKS_PER_WORKER * workers:
                number, future = pending.pop(0)
                yield number, future.result()
        while pending:
            number, future = pending.pop(0)
            yield number, future.result()


def import_files(
    plan: Plan, to: Path, rejects: Path, on_progress: Callable[[Report], None] = lambda _: None
) -> Report:
    """Import files into a recording; if the import fails, no recording is left.

    :param plan: the files to import, and the settings of the import.
    :param to: path of the recording.
    :param rejects: path of the list of rejected lines.
    :param on_progress: called after each block with the report so far.
    :returns: the report of the import.
    :raises TooManyRejectedError: if more lines were rejected than the plan allows.
    :raises SourceError: if a file can't be read.
    :raises OSError: if the recording can't be written.
    """
    report = Report()
    with tempfile.TemporaryDirectory(prefix="orchidferry-import-", dir=to.parent) as name:
        runs = SortedRuns(Path(name))
        with rejects.open("w", encoding="utf-8") as rejects_file:
            _collect(plan, report, runs, rejects_file, on_progress)
        rejected = sum(report.rejects.values())
        total = rejected + runs.total
        if not runs.total or rejected > plan.share * total:
            reasons = ", ".join(f"{count} {reason}" for reason, count in report.rejects.most_common(3))
            raise TooManyRejectedError(
                f"{rejected} of {total} can't be read ({plan.share:.0%} may be): {reasons or 'nothing there'}"
            )
        _write(plan, report, runs, to)
    return report


def _collect(
    plan: Plan, report: Report, runs: SortedRuns, rejects_file: Any, on_progress: Callable[[Report], None]
) -> None:
    """Read all files, and add their rows to `runs` and their rejected lines to the rejects file."""
    names = [path.name for path in plan.files]
    # Latest logged time so far, by number of the file
    newest_s = dict.fromkeys(range(len(names)), 0.0)
    written = 0
    for file, block in _results(plan, report):
        runs.put(block.rows)
        report.rows = runs.total
        for number, reason in block.rejects:
            report.rejects[reason] += 1
            if written < MAX_REJECTS:  # without its text, which may contain personal data
                rejects_file.write(json.dumps({"file": names[file], "line": number, "reason": reason}) + "\n")
                written += 1
        for shape, count in block.shapes.items():
            method, _, path = shape.partition("\0")
            report.unmatched.add(method, path, count)
        for jump in block.clock_jumps:
            report.note(f"{names[file]}: line {jump.line}: time goes back by {jump.by_s:.0f} s")
        if block.first_s and newest_s[file] - block.first_s > row_columns.JUMP_S:
            report.note(f"{names[file]}: time goes back by {newest_s[file] - block.first_s:.0f} s")
            newest_s[file] = block.last_s
        newest_s[file] = max(newest_s[file], block.last_s)
        on_progress(report)


def _class_table(plan: Plan, report: Report) -> list[dict[str, Any]]:
    """:returns: the classes for the header of the recording, with `UNMATCHED` if any request matched none."""
    table: list[dict[str, Any]] = [
        {
            "name": rule.name,
            "repeat": rule.repeat,
            "worth": rule.worth,
            "wanted_s": rule.wanted_s,
            "gives_up_s": rule.gives_up_s,
        }
        for rule in plan.classes.rules
    ]
    if report.unmatched.total:
        table.append(
            {"name": UNMATCHED, "repeat": "unsafe", "worth": 1.0, "wanted_s": 1.0, "gives_up_s": 5.0}
        )
    return table


def _write(plan: Plan, report: Report, runs: SortedRuns, to: Path) -> None:
    """Match retries in the sorted rows, and write the recording."""
    table = _class_table(plan, report)
    names = [row["name"] for row in table]
    report.seconds = (runs.last - runs.first) / 1e6
    began = datetime.fromtimestamp(runs.first / 1e6, UTC).strftime("%A %H:00 UTC")
    header = Header(table, runs.total, report.seconds, began, plan.window_s, list(report.notes))
    writer = Writer(to, header)
    matcher = RetryMatcher(plan.window_s)
    # Compresses a slice while retries are matched in the next one
    compressor = concurrent.futures.ThreadPoolExecutor(1)
    try:
        previous = runs.first
        pending_write: concurrent.futures.Future[None] | None = None
        for rows in prefetched(runs.slices()):
            times = np.concatenate([[previous], rows["t"]]).astype(np.int64)
            previous = int(times[-1])
            for at in np.flatnonzero(np.diff(times) > GAP_S * 1e6):
                at_s = (times[at] - runs.first) / 1e6
                gap_s = (times[at + 1] - times[at]) / 1e6
                report.note(f"nothing for {gap_s:.0f} s from {at_s:.0f} s on")
            rows["t"] -= np.uint64(runs.first)
            matched = matcher.match(rows)
            report.spread += int(((matched["flags"] & SPREAD) != 0).sum())
            for cls, count in enumerate(np.bincount(matched["cls"], minlength=len(names))):
                report.mix[names[cls]] += int(count)
            if pending_write is not None:
                pending_write.result()
            pending_write = compressor.submit(writer.put, matched)
        if pending_write is not None:
            pending_write.result()
        report.matched_retries = matcher.statistics.matches
        report.false_matches = matcher.statistics.false_matches
        writer.close()
    except BaseException:
        compressor.shutdown()
        writer.discard()
        raise
    finally:
        compressor.shutdown()
