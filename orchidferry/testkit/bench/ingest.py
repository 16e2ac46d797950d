"""`orchidferry bench ingest`: how fast logs become a recording, and in how much memory.

A generated log is repeated up to the size asked for (its clock goes back at each turn, which costs a sort
and nothing else). Memory is the sum of all processes' proportional set size, sampled.
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

# of the log that is repeated
SOURCE_S = 600.0
SOURCE_RATE = 100.0
SAMPLE_S = 0.05
HAR_S = 60.0


def _family(pid: int) -> Iterator[int]:
    yield pid
    with contextlib.suppress(OSError):
        for task in Path(f"/proc/{pid}/task").iterdir():
            for child in (task / "children").read_text().split():
                yield from _family(int(child))


def pss_kb(pid: int) -> int:
    """Memory of a process and its children, each shared page counted once."""
    total = 0
    for one in _family(pid):
        with contextlib.suppress(OSError, StopIteration):
            lines = Path(f"/proc/{one}/smaps_rollup").read_text().splitlines()
            total += int(next(line for line in lines if line.startswith("Pss:")).split()[1])
    return total


class _Peak:
    """Samples memory while it is open."""

    def __enter__(self) -> _Peak:
        self.kb, self._over = 0, threading.Event()
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._over.set()
        self._thread.join()

    def _watch(self) -> None:
        while not self._over.wait(SAMPLE_S):
            self.kb = max(self.kb, pss_kb(os.getpid()))


def _import(name: str, path: Path, folder: Path, workers: int) -> dict[str, Any]:
    plan = Plan((path,), generate.LOG_FORMAT, read_classes(generate.CLASSES.encode()), workers=workers)
    began = time.monotonic()
    with _Peak() as peak:
        report = import_files(plan, folder / "a.rec", folder / "rejects")
    took_s = time.monotonic() - began
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
        f"{row['mb_s']:5.1f} MB/s, {row['peak_mb']:4.0f} MB at most over {workers + 1} processes; "
        f"recording {row['recording_mb']:.1f} MB",
        flush=True,
    )
    return row


def main(args: argparse.Namespace) -> list[dict[str, Any]]:
    """The command; its figures."""
    if not 1 <= args.mb <= 100_000 or not 0 <= args.workers <= 256:
        raise ValueError("--mb must be within 1 and 100000, --workers within 0 and 256")
    workers = args.workers or len(os.sched_getaffinity(0))
    rows = []
    with tempfile.TemporaryDirectory(prefix="orchidferry-bench-") as name:
        folder = Path(name)
        source = folder / "source"
        with source.open("wb") as out:
            out.writelines(generate.log_lines(generate.requests(SOURCE_RATE, SOURCE_S, 7)))
        for kind, wrap in (("plain", open), ("gzip", gzip.open), ("zstd", zstd.open)):
            path = folder / kind
            times = args.mb * 1e6 / source.stat().st_size / (1 if kind == "plain" else 5)
            with wrap(path, "wb") as out:  # in pieces: what is held here would count as the import's memory
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
