"""From files to a recording: parsed in processes, sorted by time on disk, retries tied, written.

Memory is that of the blocks under way and one slice of time, whatever the files' size: each process makes
rows of a block, runs of rows are sorted and spilled to a temporary directory, and slices of them are merged
in order.
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

AHEAD = 2  # blocks for each process that are read ahead of it
MAX_REJECTS = 1_000_000  # lines of the rejects file; past that they are counted only
GAP_S = 300.0  # without any request: reported
HAR_BLOCK = 2_000
UNMATCHED = "other"


def is_har(source: Source) -> bool:
    """:returns: whether a file begins like a HAR: an object whose first key is `log`."""
    head = next(iter(source.chunks()), b"")[:4096].lstrip(b"\xef\xbb\xbf \t\r\n")
    return head[:1] == b"{" and head[1:].lstrip().startswith(b'"log"')


def _jobs(plan: Plan, report: Report) -> Iterator[tuple[int, Callable[..., BlockRows], tuple[Any, ...]]]:
    """Blocks of all files, with what makes rows of them; lines are counted here."""
    shifts = dict(plan.shifts)
    for file, path in enumerate(plan.files):
        shift_s = shifts.get(path.name, 0.0)
        har = is_har(Source(path))
        source = Source(path)
        if har:
            number = 1
            found = read_har(source.chunks(), plan.classes.wanted_fields())
            plain = (str(one) if isinstance(one, EntryError) else one for one in found)
            while batch := list(itertools.islice(plain, HAR_BLOCK)):
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
    """What came of all blocks, in their order, with so many under way."""
    workers = plan.workers or len(os.sched_getaffinity(0))
    gc.collect()
    gc.freeze()  # what a collection touches is shared no more
    context = multiprocessing.get_context("fork")  # numpy and the rest are there already, and shared
    with concurrent.futures.ProcessPoolExecutor(workers, context, start_worker, (plan,)) as pool:
        waiting: list[tuple[int, concurrent.futures.Future[BlockRows]]] = []
        for file, what, args in _jobs(plan, report):
            waiting.append((file, pool.submit(what, *args)))
            if len(waiting) > AHEAD * workers:
                number, future = waiting.pop(0)
                yield number, future.result()
        while waiting:
            number, future = waiting.pop(0)
            yield number, future.result()


def import_files(
    plan: Plan, to: Path, rejects: Path, watch: Callable[[Report], None] = lambda _: None
) -> Report:
    """Make a recording; if the import fails, none is left.

    :param to: path of the recording.
    :param rejects: path of the list of rejected lines.
    :param watch: called with the report so far, after each block.
    :returns: what was imported.
    :raises TooManyRejectedError: if more was rejected than the plan allows.
    :raises SourceError: if a file can't be read.
    :raises OSError: if the recording can't be written.
    """
    report = Report()
    with tempfile.TemporaryDirectory(prefix="orchidferry-import-", dir=to.parent) as name:
        runs = SortedRuns(Path(name))
        with rejects.open("w", encoding="utf-8") as out:
            _collect(plan, report, runs, out, watch)
        bad = sum(report.rejects.values())
        asked = bad + runs.total
        if not runs.total or bad > plan.share * asked:
            reasons = ", ".join(f"{count} {reason}" for reason, count in report.rejects.most_common(3))
            raise TooManyRejectedError(
                f"{bad} of {asked} can't be read ({plan.share:.0%} may be): {reasons or 'nothing there'}"
            )
        _write(plan, report, runs, to)
    return report


def _collect(plan: Plan, report: Report, runs: SortedRuns, out: Any, watch: Callable[[Report], None]) -> None:
    names = [path.name for path in plan.files]
    newest = dict.fromkeys(range(len(names)), 0.0)
    kept = 0
    for file, found in _results(plan, report):
        runs.put(found.rows)
        report.rows = runs.total
        for number, reason in found.rejects:
            report.rejects[reason] += 1
            if kept < MAX_REJECTS:  # where it is and why; its text may hold what must not be kept
                out.write(json.dumps({"file": names[file], "line": number, "reason": reason}) + "\n")
                kept += 1
        for shape, count in found.shapes.items():
            method, _, path = shape.partition("\0")
            report.unmatched.add(method, path, count)
        for jump in found.back:
            report.note(f"{names[file]}: line {jump.line}: time goes back by {jump.by_s:.0f} s")
        if found.first_s and newest[file] - found.first_s > row_columns.JUMP_S:
            report.note(f"{names[file]}: time goes back by {newest[file] - found.first_s:.0f} s")
            newest[file] = found.last_s
        newest[file] = max(newest[file], found.last_s)
        watch(report)


def _class_table(plan: Plan, report: Report) -> list[dict[str, Any]]:
    """The classes as a recording names them, with one for what matches none."""
    table: list[dict[str, Any]] = [
        {
            "name": kind.name,
            "repeat": kind.repeat,
            "worth": kind.worth,
            "wanted_s": kind.wanted_s,
            "gives_up_s": kind.gives_up_s,
        }
        for kind in plan.classes.kinds
    ]
    if report.unmatched.total:
        table.append(
            {"name": UNMATCHED, "repeat": "unsafe", "worth": 1.0, "wanted_s": 1.0, "gives_up_s": 5.0}
        )
    return table


def _write(plan: Plan, report: Report, runs: SortedRuns, to: Path) -> None:
    table = _class_table(plan, report)
    names = [row["name"] for row in table]
    report.seconds = (runs.last - runs.first) / 1e6
    began = datetime.fromtimestamp(runs.first / 1e6, UTC).strftime("%A %H:00 UTC")
    header = Header(table, runs.total, report.seconds, began, plan.window_s, list(report.notes))
    writer = Writer(to, header)
    matcher = RetryMatcher(plan.window_s)
    behind = concurrent.futures.ThreadPoolExecutor(1)  # compresses one slice while the next is tied
    try:
        before = runs.first
        putting: concurrent.futures.Future[None] | None = None
        for rows in prefetched(runs.slices()):
            edges = np.concatenate([[before], rows["t"]]).astype(np.int64)
            before = int(edges[-1])
            for at in np.flatnonzero(np.diff(edges) > GAP_S * 1e6):
                at_s = (edges[at] - runs.first) / 1e6
                gap_s = (edges[at + 1] - edges[at]) / 1e6
                report.note(f"nothing for {gap_s:.0f} s from {at_s:.0f} s on")
            rows["t"] -= np.uint64(runs.first)
            matched = matcher.match(rows)
            report.spread += int(((matched["flags"] & SPREAD) != 0).sum())
            for number, count in enumerate(np.bincount(matched["cls"], minlength=len(names))):
                report.mix[names[number]] += int(count)
            if putting is not None:
                putting.result()
            putting = behind.submit(writer.put, matched)
        if putting is not None:
            putting.result()
        report.ties = matcher.statistics.ties
        report.ties_by_chance = matcher.statistics.by_chance
        writer.close()
    except BaseException:
        behind.shutdown()
        writer.discard()
        raise
    finally:
        behind.shutdown()
