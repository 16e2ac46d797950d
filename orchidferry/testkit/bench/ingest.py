"""`orchidferry bench ingest`: throughput and memory of importing logs into a recording.

A generated log is repeated up to the requested size. Its timestamps start again with each repetition, which
costs the import no more than a sort. Memory is the sum of the proportional set sizes (PSS) of all processes,
sampled at intervals.
"""

from __future__ import annotations

import argparse
import contextlib
import gzip
import os
import shutil
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from backports import zstd

from orchidferry.testkit.traffic import generate
from orchidferry.testkit.traffic.classes import read_classes
from orchidferry.testkit.traffic.importing import Plan, import_files

SOURCE_S = 600.0  # duration that the repeated log covers
SOURCE_RATE = 100.0  # first attempts per second in it
SAMPLE_S = 0.05  # interval between two samples of memory
HAR_S = 60.0  # duration that the HAR file covers


def _descendants(pid: int) -> Iterator[int]:
    yield pid
    with contextlib.suppress(OSError):
        for task in Path(f"/proc/{pid}/task").iterdir():
            for child in (task / "children").read_text().split():
                yield from _descendants(int(child))


def pss_kb(pid: int) -> int:
    """Return the memory of a process and its descendants in KiB, each shared page counted once."""
    total = 0
    for member in _descendants(pid):
        with contextlib.suppress(OSError, StopIteration):
            lines = Path(f"/proc/{member}/smaps_rollup").read_text().splitlines()
            total += int(next(line for line in lines if line.startswith("Pss:")).split()[1])
    return total


class _PeakMemory:
    """A context manager that records the peak memory of this process and its descendants, in KiB."""

    def __enter__(self) -> _PeakMemory:
        self.kb, self._stopped = 0, threading.Event()
        self._thread = threading.Thread(target=self._sample)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopped.set()
        self._thread.join()

    def _sample(self) -> None:
        while not self._stopped.wait(SAMPLE_S):
            self.kb = max(self.kb, pss_kb(os.getpid()))


def _import(name: str, path: Path, folder: Path, workers: int) -> dict[str, Any]:
    plan = Plan((path,), generate.LOG_FORMAT, read_classes(generate.CLASSES.encode()), workers=workers)
    started_s = time.monotonic()
    with _PeakMemory() as peak:
        report = import_files(plan, folder / "a.rec", folder / "rejects")
    took_s = time.monotonic() - started_s
    row = {
        "what": name,
        "mb": report.read / 1e6,
        "requests": report.rows,
        "took_s": took_s,
        "mb_s": report.read / 1e6 / took_s,
        "peak_mb": peak.kb / 1024.0,
        "workers": workers,
        "recording_mb": (folder / "a.rec").stat().st_size / 1e6,
    }
    print(
        f"{name:6} {row['mb']:7.0f} MB, {report.rows:9} requests in {took_s:6.1f} s: "
        f"{row['mb_s']:5.1f} MB/s, {row['peak_mb']:4.0f} MB peak over {workers + 1} processes; "
        f"recording {row['recording_mb']:.1f} MB",
        flush=True,
    )
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """Run the command.

    :returns: the rows of `--json`.
    """
    if not 1 <= args.mb <= 100_000 or not 0 <= args.workers <= 256:
        raise ValueError("--mb must be within 1 to 100000, --workers 0 to 256")
    workers = args.workers or len(os.sched_getaffinity(0))
    rows = []
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as name:
        folder = Path(name)
        source = folder / "source"
        with source.open("wb") as out:
            out.writelines(generate.log_lines(generate.requests(SOURCE_RATE, SOURCE_S, 7)))
        for kind, open_file in (("plain", open), ("gzip", gzip.open), ("zstd", zstd.open)):
            path = folder / kind
            times = args.mb * 1e6 / source.stat().st_size / (1 if kind == "plain" else 5)
            # The log is copied in chunks: memory that this process holds would count as the import's.
            with open_file(path, "wb") as out:
                for _ in range(max(1, round(times))):
                    with source.open("rb") as data:
                        shutil.copyfileobj(data, out)
            rows.append(_import(kind, path, folder, workers))
            path.unlink()
        path = folder / "har"
        with path.open("wb") as out:
            out.writelines(generate.har(generate.requests(SOURCE_RATE, HAR_S, 7)))
        rows.append(_import("har", path, folder, workers))
    return rows
